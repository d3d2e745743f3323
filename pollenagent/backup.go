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

// keeperCount is the number of peers that keep an agent's records.
const backupPeerCount = 2

// A KeptRecord is what survives the restart of an agent: which flow came from
// which local port.
type BackupRecord struct {
	Key      pollenflow.Key
	Port     uint16
	LastSeen time.Time
}

// A Kept is an agent's records as given to a peer.
type Backup struct {
	Name        pollendocument.ServerName
	Incarnation pollenview.Incarnation
	// Service guards against records of another service under the same name.
	Service pollendocument.ServiceName
	// Version counts the copies that an incarnation gave. Full is set when
	// Records are all there are; else they are added to the copy of version
	// Base, and Removed taken away.
	Version uint64
	Base    uint64
	Full    bool
	Records []BackupRecord
	// Stamp and Limit tell what the backend server bore at its present start.
	StartStamp string
	Limit      int
	Removed    []pollenflow.Key
}

// Newer reports whether the copy is later than another one.
func (k Backup) IsNewerThan(than Backup) bool {
	if k.Incarnation != than.Incarnation {
		return k.Incarnation > than.Incarnation
	}
	return k.Version > than.Version
}

// A keeper remembers what the keepers of this agent's records lack.
type backupState struct {
	// peers holds the incarnations that were given everything.
	peers   []pollenview.ReplicaRef
	changed map[pollenflow.Key]struct{}
	// version is that of the last copy.
	version uint64
	// begun is set once the records of an earlier incarnation were taken back.
	// A copy given before would replace the one that is to be taken back.
	enabled bool
}

func (k *backupState) markChanged(key pollenflow.Key) {
	if k.changed == nil {
		k.changed = map[pollenflow.Key]struct{}{}
	}
	k.changed[key] = struct{}{}
}

// keep gives the changes since the last call to the keepers, and everything to
// a keeper that is new.
func (f *Flows) sendBackups() []Action {
	if !f.backups.enabled {
		return nil
	}
	if f.delivery != pollendocument.DeliveryRelay {
		f.backups.changed = nil
		return nil
	}
	var actions []Action
	var peers []pollenview.ReplicaRef
	delta := f.backupDelta()
	for _, m := range f.backupPeers() {
		peer := pollenview.ReplicaRef{Name: m.Name, Incarnation: m.Incarnation}
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

// BeginKeeping lets the records be copied to keepers, after those of an earlier
// incarnation were taken back.
func (f *Flows) EnableBackups() { f.backups.enabled = true }

// KeepFailed notes that a keeper may lack what it was given, so that it is given
// everything again.
func (f *Flows) BackupFailed(peer pollenview.ReplicaRef) {
	f.backups.peers = slices.DeleteFunc(f.backups.peers, func(p pollenview.ReplicaRef) bool { return p == peer })
}

func (f *Flows) newBackup() Backup {
	return Backup{
		Name: f.config.Self.Name, Incarnation: f.config.Self.Incarnation, Service: f.config.Self.Service,
		Version:    f.backups.version,
		StartStamp: f.config.Limiter.StartStamp(), Limit: f.config.Limiter.Usage().Limit,
	}
}

// keepDelta returns what changed since the last copy, as a new version.
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

// Export returns all records for safe keeping.
func (f *Flows) FullBackup() Backup {
	backup := f.newBackup()
	backup.Full = true
	for _, r := range f.sortedRecords() {
		backup.Records = append(backup.Records, BackupRecord{Key: r.Key, Port: r.Port, LastSeen: r.LastSeen})
	}
	return backup
}

// Keepers returns the addresses of the peers that keep this agent's records.
func (f *Flows) BackupPeers() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, m := range f.backupPeers() {
		addresses = append(addresses, m.Address)
	}
	return addresses
}

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

// Restore takes back a flow that an earlier incarnation held.
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

// A Vault keeps the records of peers. It is not safe for concurrent use.
type BackupStore struct {
	entries map[pollendocument.ServerName]*backupEntry
}

type backupEntry struct {
	incarnation pollenview.Incarnation
	service     pollendocument.ServiceName
	version     uint64
	records     map[pollenflow.Key]BackupRecord
	stamp       string
	limit       int
	updated     time.Time
}

// NewVault returns a new empty Vault.
func NewBackupStore() *BackupStore {
	return &BackupStore{entries: map[pollendocument.ServerName]*backupEntry{}}
}

// Put stores what a peer gives; ok is false when it does not follow the copy
// that is held, and everything must be given again.
func (v *BackupStore) Put(now time.Time, k Backup) (ok bool) {
	e := v.entries[k.Name]
	switch {
	case e != nil && e.incarnation > k.Incarnation:
		return true
	case k.Full:
	case e == nil || e.incarnation != k.Incarnation || e.service != k.Service || e.version != k.Base:
		return false
	}
	if k.Full {
		e = &backupEntry{records: make(map[pollenflow.Key]BackupRecord, len(k.Records))}
		v.entries[k.Name] = e
	}
	e.incarnation, e.service, e.updated = k.Incarnation, k.Service, now
	e.version, e.stamp, e.limit = k.Version, k.StartStamp, k.Limit
	for _, r := range k.Records {
		e.records[r.Key] = r
	}
	for _, key := range k.Removed {
		delete(e.records, key)
	}
	return true
}

// Get returns everything that is kept for a peer.
func (v *BackupStore) Get(name pollendocument.ServerName, service pollendocument.ServiceName) (Backup, bool) {
	e, ok := v.entries[name]
	if !ok || e.service != service {
		return Backup{}, false
	}
	k := Backup{Name: name, Incarnation: e.incarnation, Service: e.service, Full: true, Version: e.version, StartStamp: e.stamp, Limit: e.limit}
	for _, r := range e.records {
		k.Records = append(k.Records, r)
	}
	slices.SortFunc(k.Records, func(a, b BackupRecord) int { return a.Key.Compare(b.Key) })
	return k, true
}

// Expire drops what was not updated within the age.
func (v *BackupStore) Expire(now time.Time, age time.Duration) {
	for name, e := range v.entries {
		if now.Sub(e.updated) >= age {
			delete(v.entries, name)
		}
	}
}
