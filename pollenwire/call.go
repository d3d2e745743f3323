package pollenwire

import (
	"net/netip"
	"time"

	"pollenstep.example/pollenstep/pollencontrol"
	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenledger"
	"pollenstep.example/pollenstep/pollenlog"
	"pollenstep.example/pollenstep/pollenrequest"
	"pollenstep.example/pollenstep/pollenview"
)

// A SubmitCall is an operator's submission as it is sent to a control host. The
// fields have the meaning of those of pollencontrol.Submit.
type SubmitCall struct {
	ID, Submitter string
	Document      pollendocument.Document
	Teams         []pollendocument.Team
}

// MapSubmitCall encodes or decodes a SubmitCall.
func MapSubmitCall(c *Codec, s *SubmitCall) {
	text(c, &s.ID)
	text(c, &s.Submitter)
	list(c, &s.Document.Sections, MapSection)
	list(c, &s.Teams, text[pollendocument.Team])
}

// MapOperatorAnswer encodes or decodes a control host's answer to an operator.
func MapOperatorAnswer(c *Codec, a *pollencontrol.Answer) {
	text(c, &a.Verdict)
	text(c, &a.Reason)
	address(c, &a.Leader)
	MapOutcome(c, &a.Outcome)
	optional(c, &a.State, mapState)
}

func mapState(c *Codec, s *pollencontrol.State) {
	optional(c, &s.View, mapNewView)
	mapLogStatus(c, &s.Log)
	list(c, &s.Members, func(c *Codec, m *pollencontrol.MemberState) {
		MapMember(c, &m.Member)
		unsigned(c, &m.Revision)
		unsigned(c, &m.SyncedEpoch)
		boolean(c, &m.Cold)
		boolean(c, &m.Silent)
	})
	signed(c, &s.HeldLeases)
}

// A match is the encoded form of one item of pollenlog.Status.Match.
type match struct {
	id    pollenlog.ReplicaID
	index pollenlog.Index
}

func mapLogStatus(c *Codec, s *pollenlog.Status) {
	unsigned(c, &s.ID)
	text(c, &s.Role)
	unsigned(c, &s.Term)
	unsigned(c, &s.Leader)
	unsigned(c, &s.Last)
	unsigned(c, &s.Commit)
	unsigned(c, &s.Applied)
	unsigned(c, &s.Snapshot)
	mapMembership(c, &s.Membership)
	boolean(c, &s.HasLease)
	var matches []match
	for _, r := range s.Membership.Replicas {
		if at, ok := s.Match[r.ID]; ok {
			matches = append(matches, match{id: r.ID, index: at})
		}
	}
	list(c, &matches, func(c *Codec, m *match) {
		unsigned(c, &m.id)
		unsigned(c, &m.index)
	})
	if c.decoding() {
		s.Match = make(map[pollenlog.ReplicaID]pollenlog.Index, len(matches))
		for _, m := range matches {
			s.Match[m.id] = m.index
		}
	}
}

// MapJoin encodes or decodes the request of an empty replica to be added to the
// consensus membership.
func MapJoin(c *Codec, j *pollencontrol.Join) {
	unsigned(c, &j.ID)
	address(c, &j.Address)
}

// MapAddress encodes or decodes a message that consists of one address.
func MapAddress(c *Codec, a *netip.AddrPort) { address(c, a) }

// MapRevision encodes or decodes a message that consists of one revision.
func MapRevision(c *Codec, r *pollenview.Revision) { unsigned(c, r) }

// A BackupQuery asks a peer for the backup of an agent's flow records.
type BackupQuery struct {
	Name    pollendocument.ServerName
	Service pollendocument.ServiceName
}

// MapBackupQuery encodes or decodes a BackupQuery.
func MapBackupQuery(c *Codec, q *BackupQuery) {
	text(c, &q.Name)
	text(c, &q.Service)
}

// A RunCall forwards a caller's HTTP request to another agent.
type RunCall struct {
	Service pollendocument.ServiceName
	Method  string
	// Path is the request URI, with the query.
	Path string
	// Key is the idempotency key of the request, empty without one.
	Key    string
	Header []pollenledger.HeaderField
	Body   []byte
	// Deadline is the zero time when the caller did not set one.
	Deadline time.Time
}

// MapRunCall encodes or decodes a RunCall.
func MapRunCall(c *Codec, r *RunCall) {
	text(c, &r.Service)
	text(c, &r.Method)
	text(c, &r.Path)
	text(c, &r.Key)
	list(c, &r.Header, func(c *Codec, h *pollenledger.HeaderField) {
		text(c, &h.Name)
		text(c, &h.Value)
	})
	blob(c, &r.Body)
	instant(c, &r.Deadline)
}

// A RunAnswer reports the result of a RunCall, with the reason for a refusal or
// the backend server's answer.
type RunAnswer struct {
	Result pollenrequest.Result
	Reason pollenkernel.Refusal
	Answer pollenledger.Answer
}

// MapRunAnswer encodes or decodes a RunAnswer.
func MapRunAnswer(c *Codec, r *RunAnswer) {
	text(c, &r.Result)
	text(c, &r.Reason)
	MapAnswer(c, &r.Answer)
}
