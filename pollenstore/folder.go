package pollenstore

import (
	"encoding/binary"
	"net/netip"
	"os"
	"path/filepath"
	"slices"

	"github.com/pkg/errors"

	"pollenstep.example/pollenstep/pollenlog"
	"pollenstep.example/pollenstep/pollenwire"
)

// Names of the files in a data folder.
const (
	identityFile = "identity"
	logFile      = "log"
	snapshotFile = "snapshot"
	temporary    = ".new"
)

// ErrCorrupt is the cause of errors about damaged files.
var ErrCorrupt = errors.New("data folder is damaged")

// remedy tells the operator what to do about a damaged folder.
const remedy = "stop this host, move the data folder away, start it with an empty one and run: pollenstep repair"

// A Folder is an open data folder. It is not safe for concurrent use.
type Folder struct {
	files FileSystem
	path  string
	id    pollenlog.ReplicaID
	log   File
	// stored mirrors what the files hold.
	stored pollenlog.StoredState
	// broken is set when an operation failed; the folder then accepts nothing,
	// since what the disk holds is not known.
	broken error
}

// Open opens a data folder, or makes it with an identity from draw. It returns
// what a replica starts from. A torn last frame is cut off; other damage is an
// error that names the file, the offset and the remedy.
func Open(files FileSystem, path string, draw func() pollenlog.ReplicaID) (*Folder, pollenlog.StoredState, error) {
	f := &Folder{files: files, path: path}
	if err := files.MakeFolder(path); err != nil {
		return nil, pollenlog.StoredState{}, errors.Wrapf(err, "make data folder %s", path)
	}
	if err := f.openIdentity(draw); err != nil {
		return nil, pollenlog.StoredState{}, err
	}
	if err := f.readSnapshot(); err != nil {
		return nil, pollenlog.StoredState{}, err
	}
	if err := f.readLog(); err != nil {
		return nil, pollenlog.StoredState{}, err
	}
	if err := f.openLog(); err != nil {
		return nil, pollenlog.StoredState{}, err
	}
	stored := f.stored
	stored.Entries = slices.Clone(stored.Entries)
	return f, stored, nil
}

// ID returns the identity of the replica.
func (f *Folder) ID() pollenlog.ReplicaID { return f.id }

// Empty reports whether the replica has never been in a membership.
func (f *Folder) Empty() bool {
	return f.stored.Snapshot.Index == 0 && len(f.stored.Entries) == 0 && f.stored.Hard.Term == 0
}

// Found makes the replica the only voter of a new system. The folder must be
// empty.
func (f *Folder) Bootstrap(address netip.AddrPort) (pollenlog.StoredState, error) {
	stored := pollenlog.StoredState{
		Hard: pollenlog.HardState{Term: 1},
		Snapshot: pollenlog.Snapshot{Index: 1, Term: 1, Membership: pollenlog.Membership{
			Replicas: []pollenlog.Replica{{ID: f.id, Address: address, Voter: true}},
		}},
	}
	return stored, f.Persist(pollenlog.Persist{Hard: &stored.Hard, Snapshot: &stored.Snapshot})
}

func (f *Folder) file(name string) string { return filepath.Join(f.path, name) }

func (f *Folder) openIdentity(draw func() pollenlog.ReplicaID) error {
	data, err := f.files.ReadFile(f.file(identityFile))
	if err == nil {
		payload, _, ok := readFrame(data)
		if !ok || len(payload) != 8 {
			return corrupt(f.file(identityFile), 0)
		}
		f.id = pollenlog.ReplicaID(binary.BigEndian.Uint64(payload))
		return nil
	}
	if !errors.Is(err, os.ErrNotExist) {
		return errors.Wrap(err, "read identity")
	}
	if _, err := f.files.ReadFile(f.file(logFile)); err == nil {
		return errors.Wrapf(ErrCorrupt, "%s is missing beside a log; %s", f.file(identityFile), remedy)
	}
	f.id = draw()
	return f.replace(identityFile, appendFrame(nil, binary.BigEndian.AppendUint64(nil, uint64(f.id))))
}

func (f *Folder) readSnapshot() error {
	data, err := f.files.ReadFile(f.file(snapshotFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read snapshot")
	}
	payload, _, ok := readFrame(data)
	if !ok {
		return corrupt(f.file(snapshotFile), 0)
	}
	if err := pollenwire.Unmarshal(payload, &f.stored.Snapshot, pollenwire.MapSnapshot); err != nil {
		return errors.Wrap(corrupt(f.file(snapshotFile), 0), err.Error())
	}
	return nil
}

func (f *Folder) readLog() error {
	data, err := f.files.ReadFile(f.file(logFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read log")
	}
	offset := 0
	for offset < len(data) {
		payload, size, ok := readFrame(data[offset:])
		if !ok {
			return f.cutTail(data, offset)
		}
		var p pollenlog.Persist
		if err := pollenwire.Unmarshal(payload, &p, pollenwire.MapPersist); err != nil {
			return errors.Wrap(corrupt(f.file(logFile), offset), err.Error())
		}
		if !f.mirror(p) {
			return errors.Wrap(corrupt(f.file(logFile), offset), "entries do not follow one another")
		}
		offset += size
	}
	return nil
}

// cutTail drops a frame that was being written when the host stopped. Damage
// that sound frames follow is something else.
func (f *Folder) cutTail(data []byte, offset int) error {
	if soundFrameAfter(data[offset+1:]) {
		return corrupt(f.file(logFile), offset)
	}
	return errors.Wrap(f.files.Truncate(f.file(logFile), int64(offset)), "cut torn frame")
}

func corrupt(file string, offset int) error {
	return errors.Wrapf(ErrCorrupt, "%s at offset %d; %s", file, offset, remedy)
}

// mirror folds a unit of persistence into stored; ok is false on a gap.
func (f *Folder) mirror(p pollenlog.Persist) (ok bool) {
	if p.Hard != nil {
		f.stored.Hard = *p.Hard
	}
	if len(p.Entries) == 0 {
		return true
	}
	entries := p.Entries
	base := f.stored.Snapshot.Index
	for len(entries) > 0 && entries[0].Index <= base {
		entries = entries[1:]
	}
	if len(entries) == 0 {
		// Everything after the last of these entries was cut off by them.
		f.stored.Entries = nil
		return true
	}
	position := int(entries[0].Index - base - 1)
	if position > len(f.stored.Entries) {
		return false
	}
	f.stored.Entries = append(f.stored.Entries[:position], entries...)
	return true
}

// Persist makes a unit of persistence last. After an error the folder accepts
// nothing more and the process must stop.
func (f *Folder) Persist(p pollenlog.Persist) error {
	if f.broken != nil {
		return f.broken
	}
	if err := f.persist(p); err != nil {
		f.broken = errors.Wrap(err, "persist")
		return f.broken
	}
	return nil
}

func (f *Folder) persist(p pollenlog.Persist) error {
	if p.Snapshot != nil {
		if err := f.persistSnapshot(p); err != nil {
			return err
		}
	}
	if p.Hard == nil && len(p.Entries) == 0 {
		return nil
	}
	if !f.mirror(p) {
		return errors.New("entries leave a gap")
	}
	payload := pollenwire.Marshal(&p, pollenwire.MapPersist)
	if _, err := f.log.Write(appendFrame(nil, payload)); err != nil {
		return errors.Wrap(err, "write log")
	}
	return errors.Wrap(f.log.Sync(), "sync log")
}

// persistSnapshot writes the snapshot first and then a log without the entries
// that it stands for. A crash between the two leaves entries that readLog
// skips.
func (f *Folder) persistSnapshot(p pollenlog.Persist) error {
	data := pollenwire.Marshal(p.Snapshot, pollenwire.MapSnapshot)
	if err := f.replace(snapshotFile, appendFrame(nil, data)); err != nil {
		return err
	}
	kept := f.stored.Entries
	if drop := p.Snapshot.Index - f.stored.Snapshot.Index; p.KeepEntries && int(drop) <= len(kept) {
		kept = slices.Clone(kept[drop:])
	} else {
		kept = nil
	}
	f.stored.Snapshot = *p.Snapshot
	f.stored.Snapshot.Data = nil
	f.stored.Entries = kept
	hard := f.stored.Hard
	whole := pollenlog.Persist{Hard: &hard, Entries: kept}
	if err := f.replace(logFile, appendFrame(nil, pollenwire.Marshal(&whole, pollenwire.MapPersist))); err != nil {
		return err
	}
	if err := f.log.Close(); err != nil {
		return errors.Wrap(err, "close log")
	}
	return f.openLog()
}

func (f *Folder) openLog() error {
	log, err := f.files.Append(f.file(logFile))
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	f.log = log
	// A process that was killed between a write and its sync left bytes that are
	// read back here but that a power loss would still take.
	if err := log.Sync(); err != nil {
		return errors.Wrap(err, "sync log")
	}
	return errors.Wrap(f.files.SyncFolder(f.path), "sync data folder")
}

// replace writes a file beside the old one, syncs it and puts it in its place.
func (f *Folder) replace(name string, data []byte) error {
	file, err := f.files.Create(f.file(name + temporary))
	if err != nil {
		return errors.Wrapf(err, "create %s", name)
	}
	if _, err := file.Write(data); err != nil {
		_ = file.Close()
		return errors.Wrapf(err, "write %s", name)
	}
	if err := file.Sync(); err != nil {
		_ = file.Close()
		return errors.Wrapf(err, "sync %s", name)
	}
	if err := file.Close(); err != nil {
		return errors.Wrapf(err, "close %s", name)
	}
	if err := f.files.Rename(f.file(name+temporary), f.file(name)); err != nil {
		return errors.Wrapf(err, "rename %s", name)
	}
	return errors.Wrap(f.files.SyncFolder(f.path), "sync data folder")
}

// Close closes the log file.
func (f *Folder) Close() error { return f.log.Close() }
