package pollencontrol

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlog"
	"pollenstep.example/pollenstep/pollenview"
)

func (n *Node) reply(token Token, a Answer) {
	n.emit(Reply{Token: token, Answer: a})
}

// refuseNotLeader answers that nothing was done here and where to ask.
func (n *Node) refuseNotLeader(token Token, err error) {
	refusal := pollenkernel.RefusalNoQuorum
	if errors.Is(err, pollenlog.ErrNotLeader) {
		refusal = pollenkernel.RefusalNotLeader
	}
	n.reply(token, Answer{Verdict: VerdictNotRun, Reason: err.Error(), Refusal: refusal, Leader: n.leaderAddress()})
}

// submit proposes the difference between the document and the present one.
func (n *Node) submit(e Submit) {
	if !n.leading() {
		n.refuseNotLeader(e.Token, pollenlog.ErrNotLeader)
		return
	}
	if !n.log.Status().AppliedOwnTerm {
		// The difference to an outdated section would not be what the operator
		// means.
		n.refuseNotLeader(e.Token, pollenlog.ErrNoQuorum)
		return
	}
	if known, ok := n.replica.View().Outcome(e.ID); ok {
		// The outcome is committed, so it holds even if this leader is stale.
		n.reply(e.Token, outcomeAnswer(known))
		return
	}
	if conflicts := e.Document.Check(); len(conflicts) > 0 {
		n.reply(e.Token, Answer{Verdict: VerdictRefused, Reason: pollendocument.FormatConflicts(conflicts)})
		return
	}
	submission, err := n.difference(e)
	if err != nil {
		n.reply(e.Token, Answer{Verdict: VerdictRefused, Reason: err.Error()})
		return
	}
	n.token++
	n.pending[n.token] = pendingSubmission{reply: e.Token, id: e.ID, until: n.now.Add(n.config.PendingTimeout)}
	command := pollenview.Command{Kind: pollenview.CommandSubmit, Submission: submission}
	n.stepLog(pollenlog.Propose{Token: n.token, Data: n.config.Codec.EncodeCommand(&command)})
}

// difference returns the submission that turns the present document into the
// wanted one. A document with no difference is still committed, so that its
// resends get the same answer.
func (n *Node) difference(e Submit) (pollenview.Submission, error) {
	s := pollenview.Submission{ID: e.ID, Submitter: e.Submitter}
	present := &n.replica.View().Document
	for i := range e.Document.Sections {
		wanted := &e.Document.Sections[i]
		current := present.Section(wanted.Team)
		if current == nil {
			current = &pollendocument.Section{Team: wanted.Team}
		}
		change := pollenview.NewChange(current, wanted)
		if change.Empty() {
			continue
		}
		if len(e.Teams) > 0 && !slices.Contains(e.Teams, wanted.Team) {
			return s, fmt.Errorf("section %q differs in %s, and this submission may change only the sections of %s",
				wanted.Team, strings.Join(pollendocument.DiffSections(current, wanted), ", "), joinTeams(e.Teams))
		}
		s.Changes = append(s.Changes, change)
	}
	return s, nil
}

func joinTeams(teams []pollendocument.Team) string {
	words := make([]string, 0, len(teams))
	for _, t := range teams {
		words = append(words, string(t))
	}
	return strings.Join(words, ", ")
}

func outcomeAnswer(o pollenview.Outcome) Answer {
	if o.State == pollenview.OutcomeAccepted {
		return Answer{Verdict: VerdictDone, Outcome: o}
	}
	return Answer{Verdict: VerdictRefused, Reason: outcomeReason(o), Outcome: o}
}

func outcomeReason(o pollenview.Outcome) string {
	if o.State == pollenview.OutcomeInvalid {
		return o.ValidationErrors
	}
	var lines []string
	for _, w := range o.Sections {
		lines = append(lines, fmt.Sprintf("section %q is at version %d (hash %s, submitted by %q); it differs in %s",
			w.Team, w.Version, w.Hash, w.Submitter, strings.Join(w.Fields, ", ")))
	}
	return strings.Join(lines, "\n")
}

func (n *Node) accepted(a pollenlog.Accepted) {
	if p, ok := n.pending[a.Token]; ok {
		p.index, p.term = a.Index, a.Term
		n.pending[a.Token] = p
	}
}

func (n *Node) rejected(a pollenlog.Rejected) {
	if p, ok := n.pending[a.Token]; ok {
		delete(n.pending, a.Token)
		n.refuseNotLeader(p.reply, a.Err)
		return
	}
	if q, ok := n.reads[a.Token]; ok {
		delete(n.reads, a.Token)
		n.refuseNotLeader(q.reply, a.Err)
		return
	}
	n.proposed = 0
}

// decide answers every pending submission with the ID.
func (n *Node) decide(o pollenview.Outcome) {
	for token, p := range n.pending {
		if p.id != "" && p.id == o.ID {
			delete(n.pending, token)
			n.reply(p.reply, outcomeAnswer(o))
		}
	}
}

// undecided answers a submission that was proposed. The same ID may have been
// proposed at another leader too, so only a resend can tell the outcome.
func undecided(id, why string, leader netip.AddrPort) Answer {
	return Answer{
		Verdict: VerdictUnknown, Reason: fmt.Sprintf("%s; resend with the same id %q", why, id), Leader: leader,
	}
}

// failLost answers the submissions whose place in the log went to an entry of
// another term: those will never be committed there.
func (n *Node) failLost(applied []pollenlog.Entry) {
	for token, p := range n.pending {
		for _, e := range applied {
			if e.Index == p.index && e.Term != p.term {
				delete(n.pending, token)
				n.reply(p.reply, undecided(p.id, "another leader took over", n.leaderAddress()))
			}
		}
	}
}

func (n *Node) expirePending() {
	for token, p := range n.pending {
		if n.now.Before(p.until) {
			continue
		}
		delete(n.pending, token)
		n.reply(p.reply, undecided(p.id, "not decided in time", n.leaderAddress()))
	}
	for token, r := range n.reads {
		if n.now.Before(r.until) {
			continue
		}
		delete(n.reads, token)
		n.refuseNotLeader(r.reply, pollenlog.ErrNoQuorum)
	}
}

// query answers with the state once the leadership is confirmed.
func (n *Node) query(e Query) {
	n.token++
	n.reads[n.token] = pendingRead{reply: e.Token, until: n.now.Add(n.config.PendingTimeout)}
	n.stepLog(pollenlog.ConfirmRead{Token: n.token})
}

func (n *Node) readReady(a pollenlog.ReadReady) {
	q, ok := n.reads[a.Token]
	if !ok {
		return
	}
	delete(n.reads, a.Token)
	n.reply(q.reply, Answer{Verdict: VerdictDone, State: n.state()})
}

// HeldLeases returns the number of lapsed leases that the guard keeps now.
func (n *Node) HeldLeases() int { return n.held }

func (n *Node) state() *State {
	s := &State{View: n.replica.View().Clone(), Log: n.log.Status(), HeldLeases: n.held}
	for _, m := range s.View.Members {
		l := n.leases[m.Name]
		known := l.Heartbeat.Member.Incarnation == m.Incarnation
		state := MemberState{Member: m, Silent: !known || n.now.Sub(l.Heard) >= n.config.Lease}
		if known {
			state.Revision = l.Heartbeat.Revision
			state.LedgerEpoch = l.Heartbeat.LedgerEpoch
			state.Cold = l.Heartbeat.Cold
		}
		s.Members = append(s.Members, state)
	}
	slices.SortFunc(s.Members, func(a, b MemberState) int {
		return strings.Compare(string(a.Member.Name), string(b.Member.Name))
	})
	return s
}
