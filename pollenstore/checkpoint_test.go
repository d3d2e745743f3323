package pollenstore_test

import (
	"net/netip"
	"os"
	"path/filepath"
	"testing"

	"github.com/pkg/errors"

	"pollenstep.example/pollenstep/pollencheckpoint"
	"pollenstep.example/pollenstep/pollenstore"
)

// TestCheckpoints guards against a damaged or incomplete file that is taken for a valid
// one, from which wrong flows would be reset, and against a missing file that stops the
// balancer.
func TestCheckpoints(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	if all, err := pollenstore.ReadCheckpoints(pollenstore.Disk{}, folder); err != nil || len(all) != 0 {
		t.Fatalf("missing file: %v, %v", all, err)
	}
	want := pollencheckpoint.Checkpoint{Gate: netip.MustParseAddrPort("10.0.1.1:7000"), Server: "i-1", Incarnation: 7, Counter: 9}
	for range 2 {
		if err := pollenstore.WriteCheckpoints(pollenstore.Disk{}, folder, []pollencheckpoint.Checkpoint{want}); err != nil {
			t.Fatal(err)
		}
	}
	all, err := pollenstore.ReadCheckpoints(pollenstore.Disk{}, folder)
	if err != nil || len(all) != 1 || all[0].Gate != want.Gate || all[0].Counter != 9 {
		t.Fatalf("read %+v, %v", all, err)
	}
	path := filepath.Join(folder, "checkpoints")
	data, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for i := range data {
		damaged := append([]byte{}, data...)
		damaged[i] ^= 0x10
		for name, content := range map[string][]byte{"damaged": damaged, "cut off": data[:i]} {
			if err := os.WriteFile(path, content, 0o600); err != nil {
				t.Fatal(err)
			}
			if _, err := pollenstore.ReadCheckpoints(pollenstore.Disk{}, folder); !errors.Is(err, pollenstore.ErrCorrupt) {
				t.Fatalf("%s at byte %d: %v", name, i, err)
			}
		}
	}
}
