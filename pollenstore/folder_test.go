package pollenstore_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"pollenstep.example/pollenstep/pollenlog"
	"pollenstep.example/pollenstep/pollenstore"
)

const folder = "/data"

func fixedID() pollenlog.ReplicaID { return 42 }

// A model is a copy in memory of the state that a folder stores.
type model struct {
	hard     pollenlog.HardState
	snapshot pollenlog.Index
	entries  []pollenlog.Entry
}

// apply changes the model as a successful Persist changes the folder.
func (m *model) apply(p pollenlog.Persist) {
	if p.Snapshot != nil {
		m.entries = m.entries[min(len(m.entries), int(p.Snapshot.Index-m.snapshot)):]
		m.snapshot = p.Snapshot.Index
	}
	if p.Hard != nil {
		m.hard = *p.Hard
	}
	if len(p.Entries) > 0 {
		at := int(p.Entries[0].Index - m.snapshot - 1)
		m.entries = append(append([]pollenlog.Entry(nil), m.entries[:at]...), p.Entries...)
	}
}

// next returns a random unit of persistence that is valid in the present state:
// a new hard state, a snapshot, an overwritten entry or appended entries.
func (m *model) next(t *rapid.T) pollenlog.Persist {
	var p pollenlog.Persist
	last := m.snapshot + pollenlog.Index(len(m.entries))
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		p.Hard = &pollenlog.HardState{Term: m.hard.Term + 1, Vote: 7, Commit: last}
	case 1:
		if len(m.entries) > 0 {
			drop := rapid.IntRange(1, len(m.entries)).Draw(t, "drop")
			at := m.snapshot + pollenlog.Index(drop)
			p.Snapshot = &pollenlog.Snapshot{Index: at, Term: m.entries[drop-1].Term, Data: []byte("view")}
			p.KeepEntries = true
		}
	case 2:
		if len(m.entries) > 0 {
			from := rapid.IntRange(0, len(m.entries)-1).Draw(t, "overwrite")
			p.Entries = []pollenlog.Entry{{
				Index: m.snapshot + pollenlog.Index(from) + 1, Term: m.hard.Term + 1,
				Kind: pollenlog.EntryCommand, Data: []byte("overwritten"),
			}}
		}
	default:
		for i := range rapid.IntRange(1, 4).Draw(t, "count") {
			p.Entries = append(p.Entries, pollenlog.Entry{
				Index: last + pollenlog.Index(i) + 1, Term: m.hard.Term, Kind: pollenlog.EntryCommand,
				Data: []byte(strings.Repeat("x", rapid.IntRange(0, 200).Draw(t, "size"))),
			})
		}
	}
	return p
}

func (m *model) matches(s pollenlog.StoredState) bool {
	return s.Hard == m.hard && s.Snapshot.Index == m.snapshot && fmt.Sprint(s.Entries) == fmt.Sprint(m.entries)
}

// TestCrashAtEveryOperation guards against losing acknowledged state. A random
// file operation fails, and then a crash drops what was not synced. After the
// restart the folder must hold the acknowledged state, with or without the unit
// that was being persisted.
func TestCrashAtEveryOperation(t *testing.T) {
	crashes := 0
	rapid.Check(t, func(t *rapid.T) {
		files := newMemoryFileSystem(rapid.Uint64().Draw(t, "seed"))
		files.tornWrites = true
		open := func() (*pollenstore.Folder, pollenlog.StoredState) {
			f, stored, err := pollenstore.Open(files, folder, fixedID)
			if err != nil {
				t.Fatalf("open: %v", err)
			}
			return f, stored
		}
		f, _ := open()
		acknowledged := &model{}
		for range rapid.IntRange(1, 40).Draw(t, "units") {
			p := acknowledged.next(t)
			if rapid.IntRange(0, 4).Draw(t, "fault") == 0 {
				files.untilFault = rapid.IntRange(0, 9).Draw(t, "operation")
			}
			err := f.Persist(p)
			attempted := *acknowledged
			attempted.apply(p)
			if err == nil && files.untilFault < 0 || err == nil {
				files.untilFault = -1
				acknowledged = &attempted
			}
			if err == nil && rapid.IntRange(0, 9).Draw(t, "restart") != 0 {
				continue
			}
			if err != nil && f.Persist(p) == nil {
				t.Fatalf("Persist succeeded after an earlier Persist had failed")
			}
			crashes++
			files.crash()
			var stored pollenlog.StoredState
			f, stored = open()
			switch {
			case acknowledged.matches(stored):
			case err != nil && (attempted.matches(stored) || isPartialSnapshot(stored, acknowledged, &attempted)):
				acknowledged = &model{hard: stored.Hard, snapshot: stored.Snapshot.Index, entries: stored.Entries}
			default:
				t.Fatalf("state after restart is %+v, acknowledged state is %+v", stored, acknowledged)
			}
		}
	})
	t.Logf("%d crashes", crashes)
}

// isPartialSnapshot reports whether a crash while a snapshot was persisted left
// the new snapshot with the entries that follow it, and the old hard state.
func isPartialSnapshot(s pollenlog.StoredState, acknowledged, attempted *model) bool {
	return s.Hard == acknowledged.hard && s.Snapshot.Index == attempted.snapshot &&
		fmt.Sprint(s.Entries) == fmt.Sprint(attempted.entries)
}

// TestDamagedLogIsRefused guards against dropping acknowledged entries when the
// log is damaged. A log whose last frame is incomplete opens without that
// frame; a flipped bit anywhere before the last frame is an error that names
// file, offset and remedy.
func TestDamagedLogIsRefused(t *testing.T) {
	path := t.TempDir()
	f, _, err := pollenstore.Open(pollenstore.Disk{}, path, fixedID)
	if err != nil {
		t.Fatal(err)
	}
	for i := range 5 {
		err := f.Persist(pollenlog.Persist{Entries: []pollenlog.Entry{{
			Index: pollenlog.Index(i + 1), Term: 1, Kind: pollenlog.EntryCommand, Data: []byte("command"),
		}}})
		if err != nil {
			t.Fatal(err)
		}
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	log := filepath.Join(path, "log")
	whole, err := os.ReadFile(log)
	if err != nil {
		t.Fatal(err)
	}
	reopen := func(data []byte) (pollenlog.StoredState, error) {
		if err := os.WriteFile(log, data, 0o600); err != nil {
			t.Fatal(err)
		}
		_, stored, err := pollenstore.Open(pollenstore.Disk{}, path, fixedID)
		return stored, err
	}
	for cut := 1; cut < len(whole)/5; cut++ {
		stored, err := reopen(whole[:len(whole)-cut])
		if err != nil || len(stored.Entries) != 4 {
			t.Fatalf("log cut by %d bytes: got %d entries and error %v, want 4 entries", cut, len(stored.Entries), err)
		}
	}
	for at := 0; at < len(whole)*4/5; at++ {
		damaged := append([]byte(nil), whole...)
		damaged[at] ^= 0x40
		_, err := reopen(damaged)
		if !errors.Is(err, pollenstore.ErrCorrupt) {
			t.Fatalf("bit flipped at offset %d: got error %v, want ErrCorrupt", at, err)
		}
		for _, part := range []string{log, "offset", "pollenstep repair"} {
			if !strings.Contains(err.Error(), part) {
				t.Fatalf("error %q does not name %q", err, part)
			}
		}
	}
}

// TestIdentity guards against a host that comes back under its old identity
// without its log: it would vote again in a term in which it has voted. A
// folder must keep its identity, an empty folder must get a new one, and a
// folder with a log but without an identity must be refused.
func TestIdentity(t *testing.T) {
	path := t.TempDir()
	next := pollenlog.ReplicaID(100)
	newID := func() pollenlog.ReplicaID { next++; return next }
	for _, want := range []pollenlog.ReplicaID{101, 101} {
		f, _, err := pollenstore.Open(pollenstore.Disk{}, path, newID)
		if err != nil || f.ID() != want {
			t.Fatalf("got identity %d and error %v, want %d", f.ID(), err, want)
		}
	}
	if err := os.RemoveAll(path); err != nil {
		t.Fatal(err)
	}
	f, _, err := pollenstore.Open(pollenstore.Disk{}, path, newID)
	if err != nil || f.ID() != 102 || !f.Empty() {
		t.Fatalf("got identity %d, empty %t, error %v; want 102 and empty", f.ID(), f.Empty(), err)
	}
	if err := os.Remove(filepath.Join(path, "identity")); err != nil {
		t.Fatal(err)
	}
	if _, _, err := pollenstore.Open(pollenstore.Disk{}, path, newID); !errors.Is(err, pollenstore.ErrCorrupt) {
		t.Fatalf("identity missing from a folder with a log: got error %v, want ErrCorrupt", err)
	}
}

// BenchmarkPersist measures appending and syncing one entry of 200 bytes.
func BenchmarkPersist(b *testing.B) {
	f, _, err := pollenstore.Open(pollenstore.Disk{}, b.TempDir(), fixedID)
	if err != nil {
		b.Fatal(err)
	}
	data := make([]byte, 200)
	for i := range b.N {
		entry := pollenlog.Entry{Index: pollenlog.Index(i + 1), Term: 1, Kind: pollenlog.EntryCommand, Data: data}
		if err := f.Persist(pollenlog.Persist{Entries: []pollenlog.Entry{entry}}); err != nil {
			b.Fatal(err)
		}
	}
}

// TestKilledBeforeSync guards against state that a restart reads and a power
// loss then removes. A process is killed between a write and its sync, so the
// restart reads bytes that are not on the disk yet: Open must sync them.
func TestKilledBeforeSync(t *testing.T) {
	for seed := range uint64(20) {
		files := newMemoryFileSystem(seed)
		f, _, err := pollenstore.Open(files, folder, fixedID)
		if err != nil {
			t.Fatal(err)
		}
		// The write succeeds and the sync does not.
		files.untilFault = 1
		entry := pollenlog.Entry{Index: 1, Term: 1, Kind: pollenlog.EntryCommand, Data: []byte("vote")}
		if err := f.Persist(pollenlog.Persist{Entries: []pollenlog.Entry{entry}}); err == nil {
			t.Fatal("Persist succeeded although the sync failed")
		}
		files.untilFault = -1
		_, found, err := pollenstore.Open(files, folder, fixedID)
		if err != nil {
			t.Fatal(err)
		}
		files.crash()
		_, after, err := pollenstore.Open(files, folder, fixedID)
		if err != nil {
			t.Fatal(err)
		}
		if len(found.Entries) != len(after.Entries) {
			t.Fatalf("seed %d: %d entries after the restart, but %d after the power loss", seed, len(found.Entries), len(after.Entries))
		}
	}
}
