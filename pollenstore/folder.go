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
	// temporarySuffix is the suffix of a file while replace writes it.
	temporarySuffix = ".new"
)

// ErrCorrupt is the cause of errors about corrupt files.
var ErrCorrupt = errors.New("data folder is corrupt")

// remedy is the instruction to the operator in errors about a corrupt folder.
const remedy = "stop this host, move the data folder away, start it with an empty one and run: pollenstep repair"

// A Folder is an open data folder. It is not safe for concurrent use.
type Folder struct {
	files FileSystem
	path  string
	id    pollenlog.ReplicaID
	log   File
	// stored is the state that the files hold.
	stored pollenlog.StoredState
	// failure is the error of the first failed operation. The folder refuses
	// every later one, since it is not known what the disk holds then.
	failure error
}

// Open opens a data folder, or creates it with an identity from newID. It
// returns the state from which a replica starts. An incomplete or invalid last
// frame of the log is truncated. Other corruption is an error with the cause
// ErrCorrupt that names the file, the offset in bytes and the remedy.
func Open(files FileSystem, path string, newID func() pollenlog.ReplicaID) (*Folder, pollenlog.StoredState, error) {
	f := &Folder{files: files, path: path}
	if err := files.CreateFolder(path); err != nil {
		return nil, pollenlog.StoredState{}, errors.Wrapf(err, "create data folder %s", path)
	}
	if err := f.openIdentity(newID); err != nil {
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

// Empty reports whether the folder holds no consensus state: the replica has
// never been in a membership.
func (f *Folder) Empty() bool {
	return f.stored.Snapshot.Index == 0 && len(f.stored.Entries) == 0 && f.stored.Hard.Term == 0
}

// Bootstrap stores and returns the state of a new system in which this replica,
// reached at the address, is the only voter. The folder must be empty.
func (f *Folder) Bootstrap(address netip.AddrPort) (pollenlog.StoredState, error) {
	stored := pollenlog.StoredState{
		Hard: pollenlog.HardState{Term: 1},
		Snapshot: pollenlog.Snapshot{Index: 1, Term: 1, Membership: pollenlog.Membership{
			Replicas: []pollenlog.Replica{{ID: f.id, Address: address, Voter: true}},
		}},
	}
	return stored, f.Persist(pollenlog.Persist{Hard: &stored.Hard, Snapshot: &stored.Snapshot})
}

func (f *Folder) filePath(name string) string { return filepath.Join(f.path, name) }

func (f *Folder) openIdentity(newID func() pollenlog.ReplicaID) error {
	data, err := f.files.ReadFile(f.filePath(identityFile))
	if err == nil {
		payload, _, ok := readFrame(data)
		if !ok || len(payload) != 8 {
			return corruptError(f.filePath(identityFile), 0)
		}
		f.id = pollenlog.ReplicaID(binary.BigEndian.Uint64(payload))
		return nil
	}
	if !errors.Is(err, os.ErrNotExist) {
		return errors.Wrap(err, "read identity")
	}
	if _, err := f.files.ReadFile(f.filePath(logFile)); err == nil {
		return errors.Wrapf(ErrCorrupt, "%s is missing although the folder holds a log; %s", f.filePath(identityFile), remedy)
	}
	f.id = newID()
	return f.replace(identityFile, appendFrame(nil, binary.BigEndian.AppendUint64(nil, uint64(f.id))))
}

func (f *Folder) readSnapshot() error {
	data, err := f.files.ReadFile(f.filePath(snapshotFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return errors.Wrap(err, "read snapshot")
	}
	payload, _, ok := readFrame(data)
	if !ok {
		return corruptError(f.filePath(snapshotFile), 0)
	}
	if err := pollenwire.Unmarshal(payload, &f.stored.Snapshot, pollenwire.MapSnapshot); err != nil {
		return errors.Wrap(corruptError(f.filePath(snapshotFile), 0), err.Error())
	}
	return nil
}

func (f *Folder) readLog() error {
	data, err := f.files.ReadFile(f.filePath(logFile))
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
			return f.truncateTail(data, offset)
		}
		var p pollenlog.Persist
		if err := pollenwire.Unmarshal(payload, &p, pollenwire.MapPersist); err != nil {
			return errors.Wrap(corruptError(f.filePath(logFile), offset), err.Error())
		}
		if !f.updateStored(p) {
			return errors.Wrap(corruptError(f.filePath(logFile), offset), "log entries are not consecutive")
		}
		offset += size
	}
	return nil
}

// truncateTail truncates the log at the offset of an invalid frame. At the end
// of the log, such a frame was being written when the host stopped and was
// never acknowledged. When a valid frame follows, acknowledged data is damaged,
// which is an error.
func (f *Folder) truncateTail(data []byte, offset int) error {
	if containsFrame(data[offset+1:]) {
		return corruptError(f.filePath(logFile), offset)
	}
	return errors.Wrap(f.files.Truncate(f.filePath(logFile), int64(offset)), "truncate incomplete log frame")
}

// corruptError returns the error for corruption at an offset in bytes.
func corruptError(file string, offset int) error {
	return errors.Wrapf(ErrCorrupt, "%s at offset %d; %s", file, offset, remedy)
}

// updateStored applies the hard state and the entries of a unit of persistence
// to stored. It returns false when the entries would leave a gap.
func (f *Folder) updateStored(p pollenlog.Persist) (consecutive bool) {
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
		// The snapshot covers these entries, and they replaced every later one.
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

// Persist writes a unit of persistence and syncs it. After an error every later
// call returns that error, and the process must stop.
func (f *Folder) Persist(p pollenlog.Persist) error {
	if f.failure != nil {
		return f.failure
	}
	if err := f.persist(p); err != nil {
		f.failure = errors.Wrap(err, "persist")
		return f.failure
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
	if !f.updateStored(p) {
		return errors.Errorf("log entries from index %d leave a gap", p.Entries[0].Index)
	}
	payload := pollenwire.Marshal(&p, pollenwire.MapPersist)
	if _, err := f.log.Write(appendFrame(nil, payload)); err != nil {
		return errors.Wrap(err, "write log")
	}
	return errors.Wrap(f.log.Sync(), "sync log")
}

// persistSnapshot writes the snapshot first and then a log without the entries
// that the snapshot covers. A crash between the two leaves such entries in the
// log, which readLog skips.
func (f *Folder) persistSnapshot(p pollenlog.Persist) error {
	data := pollenwire.Marshal(p.Snapshot, pollenwire.MapSnapshot)
	if err := f.replace(snapshotFile, appendFrame(nil, data)); err != nil {
		return err
	}
	entries := f.stored.Entries
	if covered := p.Snapshot.Index - f.stored.Snapshot.Index; p.KeepEntries && int(covered) <= len(entries) {
		entries = slices.Clone(entries[covered:])
	} else {
		entries = nil
	}
	f.stored.Snapshot = *p.Snapshot
	f.stored.Snapshot.Data = nil
	f.stored.Entries = entries
	hard := f.stored.Hard
	compacted := pollenlog.Persist{Hard: &hard, Entries: entries}
	if err := f.replace(logFile, appendFrame(nil, pollenwire.Marshal(&compacted, pollenwire.MapPersist))); err != nil {
		return err
	}
	if err := f.log.Close(); err != nil {
		return errors.Wrap(err, "close log")
	}
	return f.openLog()
}

// openLog opens the log for appending and syncs what it holds.
func (f *Folder) openLog() error {
	log, err := f.files.Append(f.filePath(logFile))
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	f.log = log
	// A process that was killed between a write and its sync leaves bytes that
	// readLog returns but that a power loss would still remove.
	if err := log.Sync(); err != nil {
		return errors.Wrap(err, "sync log")
	}
	return errors.Wrap(f.files.SyncFolder(f.path), "sync data folder")
}

// replace atomically replaces a file of the folder.
func (f *Folder) replace(name string, data []byte) error {
	return replaceFile(f.files, f.path, name, data)
}

// Close closes the log file.
func (f *Folder) Close() error { return f.log.Close() }
