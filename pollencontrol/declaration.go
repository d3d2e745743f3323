package pollencontrol

import (
	"pollenstep.example/pollenstep/pollenlog"
	"pollenstep.example/pollenstep/pollenview"
)

// declare proposes a declaration. What a committed view already overtakes is
// answered at once, also by a leader that has been deposed without knowing it:
// a committed version never goes back.
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

// empty proposes to take a failure domain out or back. It is proposed even when
// the view shows it done, since the view may lag behind an opposite wish.
func (n *Node) empty(e Evacuate) {
	n.proposeFor(e.Token, pollenview.Command{Kind: pollenview.CommandEvacuate, Evacuation: e.Evacuation})
}

// proposeFor proposes a command whose commit is the answer to the token.
func (n *Node) proposeFor(reply Token, c pollenview.Command) {
	if !n.leading() {
		n.refuseNotLeader(reply, pollenlog.ErrNotLeader)
		return
	}
	n.token++
	n.pending[n.token] = pendingSubmission{reply: reply, until: n.now.Add(n.config.PendingTimeout)}
	n.stepLog(pollenlog.Propose{Token: n.token, Data: n.config.Codec.EncodeCommand(&c)})
}

// settle answers the command whose own entry was committed.
func (n *Node) settle(e pollenlog.Entry) {
	for token, p := range n.pending {
		if p.id == "" && p.index == e.Index && p.term == e.Term {
			delete(n.pending, token)
			n.reply(p.reply, Answer{Verdict: VerdictDone})
		}
	}
}
