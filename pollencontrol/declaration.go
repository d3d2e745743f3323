package pollencontrol

import (
	"fmt"

	"pollenstep.example/pollenstep/pollenlog"
	"pollenstep.example/pollenstep/pollenview"
)

// declare proposes a declaration. One whose version is not higher than the
// version in force is answered as done at once, also by a replica that is not
// the leader or does not know that it has been deposed: the committed version
// never decreases.
func (n *Node) declare(e Declare) {
	if e.Declaration.Version <= n.replica.View().Declared.Version {
		n.reply(e.Token, Answer{Verdict: VerdictDone})
		return
	}
	if err := e.Declaration.Check(); err != nil {
		n.reply(e.Token, Answer{Verdict: VerdictRefused, Reason: err.Error()})
		return
	}
	n.proposeFor(e.Token, pollenview.Command{Kind: pollenview.CommandDeclare, Declaration: &e.Declaration})
}

// evacuate proposes to take a failure domain out of service or to put it back.
// The command is proposed even when the view already shows the requested state,
// since the view may lag behind a committed command for the opposite state.
func (n *Node) evacuate(e Evacuate) {
	if view := n.replica.View(); view.Overtaken(e.Evacuation) {
		n.reply(e.Token, overtakenAnswer(view))
		return
	}
	n.proposeFor(e.Token, pollenview.Command{Kind: pollenview.CommandEvacuate, Evacuation: e.Evacuation})
}

// proposeFor proposes a command and replies to the caller's token once the
// command is committed.
func (n *Node) proposeFor(callToken Token, c pollenview.Command) {
	if !n.isLeader() {
		n.refuseNotRun(callToken, pollenlog.ErrNotLeader)
		return
	}
	n.lastToken++
	n.pendingSubmissions[n.lastToken] = pendingSubmission{callToken: callToken, deadline: n.now.Add(n.config.PendingTimeout)}
	n.stepLog(pollenlog.Propose{Token: n.lastToken, Data: n.config.Codec.EncodeCommand(&c)})
}

func overtakenAnswer(v *pollenview.View) Answer {
	return Answer{
		Verdict: VerdictConflict,
		Reason:  fmt.Sprintf("an evacuation was started or ended at revision %d, after the caller read the state", v.EvacuatedAt),
	}
}

// answerCommitted replies with the answer to the pending command without a submission
// ID whose entry is e.
func (n *Node) answerCommitted(e pollenlog.Entry, a Answer) {
	for token, p := range n.pendingSubmissions {
		if p.id == "" && p.index == e.Index && p.term == e.Term {
			delete(n.pendingSubmissions, token)
			n.reply(p.callToken, a)
		}
	}
}
