package pollenwire

import "pollenstep.example/pollenstep/pollenlog"

// MapMessage encodes or decodes a consensus message.
func MapMessage(c *Codec, m *pollenlog.Message) {
	text(c, &m.Kind)
	unsigned(c, &m.From)
	unsigned(c, &m.To)
	address(c, &m.Address)
	unsigned(c, &m.Term)
	unsigned(c, &m.Index)
	unsigned(c, &m.LogTerm)
	list(c, &m.Entries, MapEntry)
	unsigned(c, &m.Commit)
	boolean(c, &m.Reject)
	unsigned(c, &m.MaxMatch)
	unsigned(c, &m.Round)
	boolean(c, &m.Forced)
	optional(c, &m.Snapshot, MapSnapshot)
}

// MapEntry encodes or decodes a log entry.
func MapEntry(c *Codec, e *pollenlog.Entry) {
	unsigned(c, &e.Index)
	unsigned(c, &e.Term)
	text(c, &e.Kind)
	blob(c, &e.Data)
	mapMembership(c, &e.Membership)
}

// MapSnapshot encodes or decodes a snapshot.
func MapSnapshot(c *Codec, s *pollenlog.Snapshot) {
	unsigned(c, &s.Index)
	unsigned(c, &s.Term)
	mapMembership(c, &s.Membership)
	blob(c, &s.Data)
}

// MapHardState encodes or decodes the state that a replica must not lose: term,
// vote and commit index.
func MapHardState(c *Codec, h *pollenlog.HardState) {
	unsigned(c, &h.Term)
	unsigned(c, &h.Vote)
	unsigned(c, &h.Commit)
}

// MapPersist encodes or decodes the hard state and the entries of one unit of
// persistence, without the snapshot, which is stored in a file of its own.
func MapPersist(c *Codec, p *pollenlog.Persist) {
	optional(c, &p.Hard, MapHardState)
	list(c, &p.Entries, MapEntry)
}

func mapMembership(c *Codec, m *pollenlog.Membership) {
	list(c, &m.Replicas, MapReplica)
}

// MapReplica encodes or decodes one replica of the membership.
func MapReplica(c *Codec, r *pollenlog.Replica) {
	unsigned(c, &r.ID)
	address(c, &r.Address)
	boolean(c, &r.Voter)
}
