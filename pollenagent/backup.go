package pollenagent

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenflow"
	"pollenstep.example/pollenstep/pollenview"
)

// backupPeerCount is the number of peers that store backups of an agent's
// records.
const backupPeerCount = 2

// A BackupRecord is the part of a flow record that survives a restart of the
// agent: the flow and the local port of its socket to the backend server.
type BackupRecord struct {
	Key      pollenflow.Key
	Port     uint16
	LastSeen time.Time
}

// A Backup is a full or incremental copy of an agent's flow records, as sent to
// a backup peer.
type Backup struct {
	Name        pollendocument.ServerName
	Incarnation pollenview.Incarnation
	// Service guards against restoring records of another service whose agent
	// had the same name.
	Service pollendocument.ServiceName
	// Version numbers the backups of an incarnation that contain changes. If
	// Full is set, Records is complete. Otherwise the backup is incremental:
	// Records is added to the backup of version Base, and Removed is deleted
	// from it.
	Version uint64
	Base    uint64
	Full    bool
	Records []BackupRecord
	// StartStamp identifies the current start of the backend server, and Limit
	// is the limit of concurrent work that it has reached since.
	StartStamp string
	Limit      int
	Removed    []pollenflow.Key
}

// IsNewerThan reports whether the backup is later than another one, by
// incarnation and then by version.
func (b Backup) IsNewerThan(other Backup) bool {
	if b.Incarnation != other.Incarnation {
		return b.Incarnation > other.Incarnation
	}
	return b.Version > other.Version
}

// A backupState tracks what the backup peers have not been sent yet.
type backupState struct {
	// peers holds the incarnations that were sent a full backup.
	peers []pollenview.MemberRef
	// changed holds the flows opened, restored or closed since the last backup.
	changed map[pollenflow.Key]struct{}
	// version is the version of the last backup.
	version uint64
	// enabled is set once the records of an earlier incarnation have been
	// restored. A backup sent before that would overwrite the one to restore.
	enabled bool
}

func (s *backupState) markChanged(key pollenflow.Key) {
	if s.changed == nil {
		s.changed = map[pollenflow.Key]struct{}{}
	}
	s.changed[key] = struct{}{}
}

// sendBackups sends the changes since the last call to the backup peers, and a
// full backup to each new backup peer.
func (f *Flows) sendBackups() []Action {
	if !f.backups.enabled {
		return nil
	}
	if f.delivery != pollendocument.DeliveryRelay {
		f.backups.changed = nil
		return nil
	}
	var actions []Action
	var peers []pollenview.MemberRef
	delta := f.backupDelta()
	for _, m := range f.backupPeers() {
		peer := pollenview.MemberRef{Name: m.Name, Incarnation: m.Incarnation}
		peers = append(peers, peer)
		if !slices.Contains(f.backups.peers, peer) {
			actions = append(actions, SendBackup{Peer: peer, To: m.Address, Backup: f.FullBackup()})
			continue
		}
		if len(delta.Records)+len(delta.Removed) > 0 {
			actions = append(actions, SendBackup{Peer: peer, To: m.Address, Backup: delta})
		}
	}
	f.backups.peers = peers
	f.backups.changed = nil
	return actions
}

// EnableBackups lets the agent send backups. It must be called after the
// records of an earlier incarnation were restored.
func (f *Flows) EnableBackups() { f.backups.enabled = true }

// BackupFailed records that a backup may not have reached the peer, so that it
// is sent a full backup next.
func (f *Flows) BackupFailed(peer pollenview.MemberRef) {
	f.backups.peers = slices.DeleteFunc(f.backups.peers, func(p pollenview.MemberRef) bool { return p == peer })
}

func (f *Flows) newBackup() Backup {
	return Backup{
		Name: f.config.Self.Name, Incarnation: f.config.Self.Incarnation, Service: f.config.Self.Service,
		Version:    f.backups.version,
		StartStamp: f.config.Limiter.StartStamp(), Limit: f.config.Limiter.Usage().Limit,
	}
}

// backupDelta returns an incremental backup of the changes since the last one.
// The version increases only if there are changes.
func (f *Flows) backupDelta() Backup {
	base := f.backups.version
	if len(f.backups.changed) > 0 {
		f.backups.version++
	}
	backup := f.newBackup()
	backup.Base = base
	for key := range f.backups.changed {
		if r, ok := f.records[key]; ok {
			backup.Records = append(backup.Records, BackupRecord{Key: key, Port: r.Port, LastSeen: r.LastSeen})
		} else {
			backup.Removed = append(backup.Removed, key)
		}
	}
	slices.SortFunc(backup.Records, func(a, b BackupRecord) int { return a.Key.Compare(b.Key) })
	slices.SortFunc(backup.Removed, netip.AddrPort.Compare)
	return backup
}

// FullBackup returns a backup of all records.
func (f *Flows) FullBackup() Backup {
	backup := f.newBackup()
	backup.Full = true
	for _, r := range f.sortedRecords() {
		backup.Records = append(backup.Records, BackupRecord{Key: r.Key, Port: r.Port, LastSeen: r.LastSeen})
	}
	return backup
}

// BackupPeers returns the addresses of the peers that store this agent's
// backups.
func (f *Flows) BackupPeers() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, m := range f.backupPeers() {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

// backupPeers chooses the backup peers by rendezvous hashing, so that a change
// of members changes few of them.
func (f *Flows) backupPeers() []pollenview.Member {
	peers := slices.DeleteFunc(slices.Clone(f.agents), func(m pollenview.Member) bool {
		return m.Name == f.config.Self.Name
	})
	score := func(m pollenview.Member) uint64 {
		return pollenflow.DigestOf(string(f.config.Self.Name) + "/" + string(m.Name))
	}
	slices.SortFunc(peers, func(a, b pollenview.Member) int { return cmp.Compare(score(b), score(a)) })
	return peers[:min(len(peers), backupPeerCount)]
}

// Restore adds a flow that an earlier incarnation held, as established. It
// returns nil if the agent holds the flow already.
func (f *Flows) Restore(now time.Time, record BackupRecord) *Record {
	if _, ok := f.records[record.Key]; ok {
		return nil
	}
	r := &Record{Key: record.Key, Port: record.Port, LastSeen: now, OpenedAt: now, Established: true}
	f.records[record.Key] = r
	f.config.Limiter.AdoptFlow()
	f.backups.markChanged(record.Key)
	return r
}

// A BackupStore stores the backups of peers. It is not safe for concurrent use.
type BackupStore struct {
	entries map[pollendocument.ServerName]*backupEntry
}

type backupEntry struct {
	incarnation pollenview.Incarnation
	service     pollendocument.ServiceName
	version     uint64
	records     map[pollenflow.Key]BackupRecord
	startStamp  string
	limit       int
	updated     time.Time
}

// NewBackupStore returns an empty BackupStore.
func NewBackupStore() *BackupStore {
	return &BackupStore{entries: map[pollendocument.ServerName]*backupEntry{}}
}

// Put stores a backup received from a peer. ok is false if the backup is
// incremental and not based on the stored version; the peer must then send a
// full backup. A backup of an earlier incarnation than the stored one is
// ignored.
func (s *BackupStore) Put(now time.Time, b Backup) (ok bool) {
	e := s.entries[b.Name]
	switch {
	case e != nil && e.incarnation > b.Incarnation:
		return true
	case b.Full:
	case e == nil || e.incarnation != b.Incarnation || e.service != b.Service || e.version != b.Base:
		return false
	}
	if b.Full {
		e = &backupEntry{records: make(map[pollenflow.Key]BackupRecord, len(b.Records))}
		s.entries[b.Name] = e
	}
	e.incarnation, e.service, e.updated = b.Incarnation, b.Service, now
	e.version, e.startStamp, e.limit = b.Version, b.StartStamp, b.Limit
	for _, r := range b.Records {
		e.records[r.Key] = r
	}
	for _, key := range b.Removed {
		delete(e.records, key)
	}
	return true
}

// Get returns a full backup of the stored records of a peer. It returns false
// if there are none or they belong to another service.
func (s *BackupStore) Get(name pollendocument.ServerName, service pollendocument.ServiceName) (Backup, bool) {
	e, ok := s.entries[name]
	if !ok || e.service != service {
		return Backup{}, false
	}
	b := Backup{Name: name, Incarnation: e.incarnation, Service: e.service, Full: true, Version: e.version, StartStamp: e.startStamp, Limit: e.limit}
	for _, r := range e.records {
		b.Records = append(b.Records, r)
	}
	slices.SortFunc(b.Records, func(a, b BackupRecord) int { return a.Key.Compare(b.Key) })
	return b, true
}

// Expire removes backups whose last update is at least age ago.
func (s *BackupStore) Expire(now time.Time, age time.Duration) {
	for name, e := range s.entries {
		if now.Sub(e.updated) >= age {
			delete(s.entries, name)
		}
	}
}
