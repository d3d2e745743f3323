package pollensoak_test

import (
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollensoak"
)

// TestShortSoak runs the real programs under 8 s of random faults, and guards against
// violated guarantees: broken or misrouted flows, requests that run twice, lost or
// reverted documents, and a system that does not recover. The counts depend on the
// machine, but whether the run passes must not.
func TestShortSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "pollenstep")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", binary, "../cmd/pollenstep").CombinedOutput(); err != nil {
		t.Fatalf("build ../cmd/pollenstep: %v\n%s", err, out)
	}
	result, err := pollensoak.Run(t.Context(), pollensoak.Config{
		Seed: 1, Duration: 8 * time.Second, Binary: binary, Folder: t.TempDir(), Network: 91,
		Balancers: pollensoak.DefaultBalancers, Servers: pollensoak.DefaultServers,
	})
	if err != nil {
		t.Fatal(err)
	}
	if !result.Passed() {
		t.Fatalf("%s\n%q", result.Summary(), result.Notes)
	}
	t.Log(result.Summary())
}
