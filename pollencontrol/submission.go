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

// refuseNotRun replies that nothing was proposed and names the leader, if known.
func (n *Node) refuseNotRun(token Token, err error) {
	refusal := pollenkernel.RefusalNoQuorum
	if errors.Is(err, pollenlog.ErrNotLeader) {
		refusal = pollenkernel.RefusalNotLeader
	}
	n.reply(token, Answer{Verdict: VerdictNotRun, Reason: err.Error(), Refusal: refusal, Leader: n.leaderAddress()})
}

// submit proposes the difference between the submitted document and the
// committed one. A resend of a submission whose outcome is committed gets that
// outcome.
func (n *Node) submit(e Submit) {
	if !n.isLeader() {
		n.refuseNotRun(e.Token, pollenlog.ErrNotLeader)
		return
	}
	if !n.log.Status().AppliedOwnTerm {
		// Until then the view may lack committed changes, and the difference
		// to an outdated section would not be the change that the operator
		// intends.
		n.refuseNotRun(e.Token, pollenlog.ErrNoQuorum)
		return
	}
	if known, ok := n.replica.View().Outcome(e.ID); ok {
		// A committed outcome is final, so the answer is valid even if this leader
		// has been deposed.
		n.reply(e.Token, outcomeAnswer(known))
		return
	}
	if problems := e.Document.Check(); len(problems) > 0 {
		n.reply(e.Token, Answer{Verdict: VerdictRefused, Reason: pollendocument.FormatValidationErrors(problems)})
		return
	}
	submission, err := n.newSubmission(e)
	if err != nil {
		n.reply(e.Token, Answer{Verdict: VerdictRefused, Reason: err.Error()})
		return
	}
	n.lastToken++
	n.pendingSubmissions[n.lastToken] = pendingSubmission{callToken: e.Token, id: e.ID, deadline: n.now.Add(n.config.PendingTimeout)}
	command := pollenview.Command{Kind: pollenview.CommandSubmit, Submission: submission}
	n.stepLog(pollenlog.Propose{Token: n.lastToken, Data: n.config.Codec.EncodeCommand(&command)})
}

// newSubmission returns the submission that turns the committed document into
// the submitted one, or an error when a section of a team that is not listed in
// the event differs. A document without differences is committed as well, so
// that resends of it get the same answer.
func (n *Node) newSubmission(e Submit) (pollenview.Submission, error) {
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
	for _, s := range o.Sections {
		lines = append(lines, fmt.Sprintf("section %q is at version %d (hash %s, submitted by %q); it differs in %s",
			s.Team, s.Version, s.Hash, s.Submitter, strings.Join(s.Fields, ", ")))
	}
	return strings.Join(lines, "\n")
}

func (n *Node) handleAccepted(a pollenlog.Accepted) {
	if p, ok := n.pendingSubmissions[a.Token]; ok {
		p.index, p.term = a.Index, a.Term
		n.pendingSubmissions[a.Token] = p
	}
}

func (n *Node) handleRejected(a pollenlog.Rejected) {
	if p, ok := n.pendingSubmissions[a.Token]; ok {
		delete(n.pendingSubmissions, a.Token)
		n.refuseNotRun(p.callToken, a.Err)
		return
	}
	if q, ok := n.pendingReads[a.Token]; ok {
		delete(n.pendingReads, a.Token)
		n.refuseNotRun(q.callToken, a.Err)
		return
	}
	// The leader's own command or membership change was rejected; the next
	// check proposes it again if it is still due.
	n.proposedIndex = 0
}

// answerDecided replies to every pending submission with the ID of the outcome.
func (n *Node) answerDecided(o pollenview.Outcome) {
	for token, p := range n.pendingSubmissions {
		if p.id != "" && p.id == o.ID {
			delete(n.pendingSubmissions, token)
			n.reply(p.callToken, outcomeAnswer(o))
		}
	}
}

// undecidedAnswer returns the answer to a submission that was proposed but
// whose outcome is unknown. The same ID may have been proposed at another
// leader too, so only a resend can determine the outcome. The ID is empty for a
// declaration or an evacuation.
func undecidedAnswer(id, reason string, leader netip.AddrPort) Answer {
	return Answer{
		Verdict: VerdictUnknown, Reason: fmt.Sprintf("%s; resend with the same id %q", reason, id), Leader: leader,
	}
}

// answerOverwritten replies to the pending calls at whose index an entry of
// another term was applied: their own entries can no longer be committed there.
func (n *Node) answerOverwritten(applied []pollenlog.Entry) {
	for token, p := range n.pendingSubmissions {
		for _, e := range applied {
			if e.Index == p.index && e.Term != p.term {
				delete(n.pendingSubmissions, token)
				n.reply(p.callToken, undecidedAnswer(p.id, "another leader took over", n.leaderAddress()))
			}
		}
	}
}

func (n *Node) expirePending() {
	for token, p := range n.pendingSubmissions {
		if n.now.Before(p.deadline) {
			continue
		}
		delete(n.pendingSubmissions, token)
		n.reply(p.callToken, undecidedAnswer(p.id, fmt.Sprintf("not decided within %s", n.config.PendingTimeout), n.leaderAddress()))
	}
	for token, r := range n.pendingReads {
		if n.now.Before(r.deadline) {
			continue
		}
		delete(n.pendingReads, token)
		n.refuseNotRun(r.callToken, pollenlog.ErrNoQuorum)
	}
}

// query replies with the state once a quorum has confirmed the leadership.
func (n *Node) query(e Query) {
	n.lastToken++
	n.pendingReads[n.lastToken] = pendingRead{callToken: e.Token, deadline: n.now.Add(n.config.PendingTimeout)}
	n.stepLog(pollenlog.ConfirmRead{Token: n.lastToken})
}

func (n *Node) handleReadReady(a pollenlog.ReadReady) {
	q, ok := n.pendingReads[a.Token]
	if !ok {
		return
	}
	delete(n.pendingReads, a.Token)
	n.reply(q.callToken, Answer{Verdict: VerdictDone, State: n.state()})
}

// HeldLeases returns the number of expired leases whose members stay in the
// view because the guard prevents their removal, as of the last check.
func (n *Node) HeldLeases() int { return n.heldLeases }

func (n *Node) state() *State {
	s := &State{View: n.replica.View().Clone(), Log: n.log.Status(), HeldLeases: n.heldLeases}
	for _, m := range s.View.Members {
		l := n.leases[m.Name]
		known := l.Heartbeat.Member.Incarnation == m.Incarnation
		state := MemberState{Member: m, Silent: !known || n.now.Sub(l.LastSeen) >= n.config.Lease}
		if known {
			state.Revision = l.Heartbeat.Revision
			state.SyncedEpoch = l.Heartbeat.SyncedEpoch
			state.Cold = l.Heartbeat.Cold
		}
		s.Members = append(s.Members, state)
	}
	slices.SortFunc(s.Members, func(a, b MemberState) int {
		return strings.Compare(string(a.Member.Name), string(b.Member.Name))
	})
	return s
}
