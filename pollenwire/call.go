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

// A SubmitCall is an operator's submission.
type SubmitCall struct {
	ID, Submitter string
	Document      pollendocument.Document
	Teams         []pollendocument.Team
}

// MapSubmitCall maps an operator's submission.
func MapSubmitCall(c *Codec, s *SubmitCall) {
	text(c, &s.ID)
	text(c, &s.Submitter)
	list(c, &s.Document.Sections, MapSection)
	list(c, &s.Teams, text[pollendocument.Team])
}

// MapOperatorAnswer maps a control host's answer to an operator.
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
		unsigned(c, &m.LedgerEpoch)
		boolean(c, &m.Cold)
		boolean(c, &m.Silent)
	})
	signed(c, &s.HeldLeases)
}

// match pairs a replica with the index it holds for mapping.
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

// MapJoin maps an empty replica's request to take part.
func MapJoin(c *Codec, j *pollencontrol.Join) {
	unsigned(c, &j.ID)
	address(c, &j.Address)
}

// MapAddress maps an address by itself.
func MapAddress(c *Codec, a *netip.AddrPort) { address(c, a) }

// MapRevision maps a revision by itself.
func MapRevision(c *Codec, r *pollenview.Revision) { unsigned(c, r) }

// A BackupQuery asks for the records that are kept for an agent.
type BackupQuery struct {
	Name    pollendocument.ServerName
	Service pollendocument.ServiceName
}

// MapBackupQuery maps a KeptQuery.
func MapBackupQuery(c *Codec, q *BackupQuery) {
	text(c, &q.Name)
	text(c, &q.Service)
}

// A RunCall passes a request to another agent.
type RunCall struct {
	Service  pollendocument.ServiceName
	Method   string
	Path     string
	Key      string
	Header   []pollenledger.HeaderField
	Body     []byte
	Deadline time.Time
}

// MapRunCall maps a RunCall.
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

// A RunAnswer says how a RunCall ended.
type RunAnswer struct {
	Result pollenrequest.Result
	Reason pollenkernel.Refusal
	Answer pollenledger.Answer
}

// MapRunAnswer maps a RunAnswer.
func MapRunAnswer(c *Codec, r *RunAnswer) {
	text(c, &r.Result)
	text(c, &r.Reason)
	MapAnswer(c, &r.Answer)
}
