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

func draw() pollenlog.ReplicaID { return 42 }

// expect is what was acknowledged.
type expect struct {
	hard     pollenlog.HardState
	snapshot pollenlog.Index
	entries  []pollenlog.Entry
}

func (e *expect) apply(p pollenlog.Persist) {
	if p.Snapshot != nil {
		e.entries = e.entries[min(len(e.entries), int(p.Snapshot.Index-e.snapshot)):]
		e.snapshot = p.Snapshot.Index
	}
	if p.Hard != nil {
		e.hard = *p.Hard
	}
	if len(p.Entries) > 0 {
		at := int(p.Entries[0].Index - e.snapshot - 1)
		e.entries = append(append([]pollenlog.Entry(nil), e.entries[:at]...), p.Entries...)
	}
}

// next returns a random unit of persistence that follows the present one.
func (e *expect) next(t *rapid.T) pollenlog.Persist {
	var p pollenlog.Persist
	last := e.snapshot + pollenlog.Index(len(e.entries))
	switch rapid.IntRange(0, 5).Draw(t, "kind") {
	case 0:
		p.Hard = &pollenlog.HardState{Term: e.hard.Term + 1, Vote: 7, Commit: last}
	case 1:
		if len(e.entries) > 0 {
			drop := rapid.IntRange(1, len(e.entries)).Draw(t, "drop")
			at := e.snapshot + pollenlog.Index(drop)
			p.Snapshot = &pollenlog.Snapshot{Index: at, Term: e.entries[drop-1].Term, Data: []byte("view")}
			p.KeepEntries = true
		}
	case 2:
		if len(e.entries) > 0 {
			from := rapid.IntRange(0, len(e.entries)-1).Draw(t, "overwrite")
			p.Entries = []pollenlog.Entry{{
				Index: e.snapshot + pollenlog.Index(from) + 1, Term: e.hard.Term + 1,
				Kind: pollenlog.EntryCommand, Data: []byte("overwritten"),
			}}
		}
	default:
		for i := range rapid.IntRange(1, 4).Draw(t, "count") {
			p.Entries = append(p.Entries, pollenlog.Entry{
				Index: last + pollenlog.Index(i) + 1, Term: e.hard.Term, Kind: pollenlog.EntryCommand,
				Data: []byte(strings.Repeat("x", rapid.IntRange(0, 200).Draw(t, "size"))),
			})
		}
	}
	return p
}

func (e *expect) matches(s pollenlog.StoredState) bool {
	return s.Hard == e.hard && s.Snapshot.Index == e.snapshot && fmt.Sprint(s.Entries) == fmt.Sprint(e.entries)
}

// TestCrashAtEveryOperation fails a random operation of the file system, loses
// what was not synced, and checks that the restart finds what was acknowledged,
// or that with the one unit that was under way.
func TestCrashAtEveryOperation(t *testing.T) {
	crashes := 0
	rapid.Check(t, func(t *rapid.T) {
		files := newMemory(rapid.Uint64().Draw(t, "seed"))
		files.torn = true
		open := func() (*pollenstore.Folder, pollenlog.StoredState) {
			f, stored, err := pollenstore.Open(files, folder, draw)
			if err != nil {
				t.Fatalf("open: %v", err)
			}
			return f, stored
		}
		f, _ := open()
		known := &expect{}
		for range rapid.IntRange(1, 40).Draw(t, "units") {
			p := known.next(t)
			if rapid.IntRange(0, 4).Draw(t, "fault") == 0 {
				files.operations = rapid.IntRange(0, 9).Draw(t, "operation")
			}
			err := f.Persist(p)
			attempted := *known
			attempted.apply(p)
			if err == nil && files.operations < 0 || err == nil {
				files.operations = -1
				known = &attempted
			}
			if err == nil && rapid.IntRange(0, 9).Draw(t, "restart") != 0 {
				continue
			}
			if err != nil && f.Persist(p) == nil {
				t.Fatalf("folder accepted a unit after a failed one")
			}
			crashes++
			files.crash()
			var stored pollenlog.StoredState
			f, stored = open()
			switch {
			case known.matches(stored):
			case err != nil && (attempted.matches(stored) || partOf(stored, known, &attempted)):
				known = &expect{hard: stored.Hard, snapshot: stored.Snapshot.Index, entries: stored.Entries}
			default:
				t.Fatalf("restart found %+v, acknowledged was %+v", stored, known)
			}
		}
	})
	t.Logf("%d crashes", crashes)
}

// partOf reports whether a crash inside a snapshot left the new snapshot with
// the entries that follow it.
func partOf(s pollenlog.StoredState, known, attempted *expect) bool {
	return s.Hard == known.hard && s.Snapshot.Index == attempted.snapshot &&
		fmt.Sprint(s.Entries) == fmt.Sprint(attempted.entries)
}

// TestDamage checks that damage that is not a torn tail is refused with file,
// offset and remedy.
func TestDamage(t *testing.T) {
	path := t.TempDir()
	f, _, err := pollenstore.Open(pollenstore.Disk{}, path, draw)
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
		_, stored, err := pollenstore.Open(pollenstore.Disk{}, path, draw)
		return stored, err
	}
	for cut := 1; cut < len(whole)/5; cut++ {
		stored, err := reopen(whole[:len(whole)-cut])
		if err != nil || len(stored.Entries) != 4 {
			t.Fatalf("torn tail of %d bytes: %d entries, %v", cut, len(stored.Entries), err)
		}
	}
	for at := 0; at < len(whole)*4/5; at++ {
		damaged := append([]byte(nil), whole...)
		damaged[at] ^= 0x40
		_, err := reopen(damaged)
		if !errors.Is(err, pollenstore.ErrCorrupt) {
			t.Fatalf("damage at %d: error %v", at, err)
		}
		for _, part := range []string{log, "offset", "pollenstep repair"} {
			if !strings.Contains(err.Error(), part) {
				t.Fatalf("error %q does not name %q", err, part)
			}
		}
	}
}

// TestIdentity checks that the identity stays with the folder and is drawn
// anew for an empty one.
func TestIdentity(t *testing.T) {
	path := t.TempDir()
	next := pollenlog.ReplicaID(100)
	fresh := func() pollenlog.ReplicaID { next++; return next }
	for _, want := range []pollenlog.ReplicaID{101, 101} {
		f, _, err := pollenstore.Open(pollenstore.Disk{}, path, fresh)
		if err != nil || f.ID() != want {
			t.Fatalf("identity %d, %v; want %d", f.ID(), err, want)
		}
	}
	if err := os.RemoveAll(path); err != nil {
		t.Fatal(err)
	}
	f, _, err := pollenstore.Open(pollenstore.Disk{}, path, fresh)
	if err != nil || f.ID() != 102 || !f.Empty() {
		t.Fatalf("identity %d, empty %t, %v; want 102 and empty", f.ID(), f.Empty(), err)
	}
	if err := os.Remove(filepath.Join(path, "identity")); err != nil {
		t.Fatal(err)
	}
	if _, _, err := pollenstore.Open(pollenstore.Disk{}, path, fresh); !errors.Is(err, pollenstore.ErrCorrupt) {
		t.Fatalf("missing identity beside a log: error %v", err)
	}
}

func BenchmarkPersist(b *testing.B) {
	f, _, err := pollenstore.Open(pollenstore.Disk{}, b.TempDir(), draw)
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

// TestKilledBeforeSync kills a process between a write and its sync, starts it
// again, and then takes the power away: what the restart found must last.
func TestKilledBeforeSync(t *testing.T) {
	for seed := range uint64(20) {
		files := newMemory(seed)
		f, _, err := pollenstore.Open(files, folder, draw)
		if err != nil {
			t.Fatal(err)
		}
		// The write succeeds and the sync does not.
		files.operations = 1
		entry := pollenlog.Entry{Index: 1, Term: 1, Kind: pollenlog.EntryCommand, Data: []byte("vote")}
		if err := f.Persist(pollenlog.Persist{Entries: []pollenlog.Entry{entry}}); err == nil {
			t.Fatal("the failed sync was not noticed")
		}
		files.operations = -1
		_, found, err := pollenstore.Open(files, folder, draw)
		if err != nil {
			t.Fatal(err)
		}
		files.crash()
		_, after, err := pollenstore.Open(files, folder, draw)
		if err != nil {
			t.Fatal(err)
		}
		if len(found.Entries) != len(after.Entries) {
			t.Fatalf("seed %d: a restart found %d entries, and after a power loss there are %d", seed, len(found.Entries), len(after.Entries))
		}
	}
}
