// Package pollencontrol is the state machine of a control host: the replicated
// log, the view folded from it, submissions, leases and repair.
package pollencontrol

import (
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenlog"
	"pollenstep.example/pollenstep/pollenmember"
	"pollenstep.example/pollenstep/pollenview"
)

// A Config holds the settings of a Node.
type Config struct {
	Log   pollenlog.Config
	Codec Codec
	// Lease is how long a member lives without a heartbeat.
	Lease time.Duration
	// CheckInterval is the time between checks of leases and ledger groups.
	CheckInterval time.Duration
	// CompactEvery is the number of applied entries between snapshots.
	CompactEvery int
	Guard        Guard
	// InlineLimit bounds the encoded update in a notice, in bytes.
	MaxInlineBytes int
	// PendingTimeout is how long a submission may stay undecided.
	PendingTimeout time.Duration
	// Replicas is the number of control hosts that the settings name; empty
	// replicas join by themselves up to it.
	Replicas int
	// AutoRepair lets the leader itself replace control hosts that are lost, as
	// replaceLost tells. Without it, an operator asks for each repair.
	AutoRepair bool
}

// A Codec turns what the log and the snapshots hold into bytes.
type Codec interface {
	EncodeCommand(c *pollenview.Command) []byte
	// DecodeCommand returns an error when the bytes are not a command.
	DecodeCommand(data []byte) (pollenview.Command, error)
	EncodeView(v *pollenview.View) []byte
	// DecodeView returns an error when the bytes are not a view.
	DecodeView(data []byte) (*pollenview.View, error)
	// UpdateSize returns the encoded size of an update in bytes.
	UpdateSize(u *pollenview.Update) int
}

// A Node is one control host's state machine. It implements
// pollenkernel.Machine.
type Node struct {
	config  Config
	log     *pollenlog.Node
	replica *pollenview.Replica

	// leases, led and held are those of a leader.
	leases map[pollendocument.ServerName]Lease
	led    time.Time
	held   int
	check  time.Time
	// announced is when members were last told, and untold is set while they
	// have not been told of every revision after toldUpTo.
	announced time.Time
	toldUpTo  pollenview.Revision
	untold    bool
	// joined is when members were last checked because of a heartbeat.
	joined time.Time

	// pending holds the submissions that were proposed here and are not yet
	// decided, by token.
	pending map[pollenlog.Token]pendingSubmission
	reads   map[pollenlog.Token]pendingRead
	// candidates holds the empty replicas that asked to join, by identity.
	candidates map[pollenlog.ReplicaID]candidate
	repair     *repair
	// proposed is set while a membership or ledger command of this leader is
	// not yet applied.
	proposed  pollenlog.Index
	compacted pollenlog.Index
	token     pollenlog.Token

	now     time.Time
	actions []Action
}

type pendingSubmission struct {
	reply Token
	// id is empty for a declaration or an emptied domain, which are done when
	// their own entry is committed.
	id    string
	index pollenlog.Index
	term  pollenlog.Term
	until time.Time
}

type pendingRead struct {
	reply Token
	until time.Time
}

type candidate struct {
	address netip.AddrPort
	heard   time.Time
}

// NewNode returns a new Node that starts from what the disk holds.
func NewNode(now time.Time, config Config, stored pollenlog.StoredState) (*Node, error) {
	view := pollenview.NewView()
	if len(stored.Snapshot.Data) > 0 {
		var err error
		if view, err = config.Codec.DecodeView(stored.Snapshot.Data); err != nil {
			return nil, errors.Wrap(err, "decode snapshot")
		}
	}
	view.Revision = pollenview.Revision(stored.Snapshot.Index)
	return &Node{
		config:     config,
		log:        pollenlog.NewNode(now, config.Log, stored),
		replica:    pollenview.NewReplica(view),
		leases:     map[pollendocument.ServerName]Lease{},
		pending:    map[pollenlog.Token]pendingSubmission{},
		reads:      map[pollenlog.Token]pendingRead{},
		candidates: map[pollenlog.ReplicaID]candidate{},
		compacted:  stored.Snapshot.Index,
	}, nil
}

// Step implements pollenkernel.Machine.
func (n *Node) Step(now time.Time, event Event) []Action {
	n.now = now
	n.actions = nil
	wasLeader := n.leading()
	switch e := event.(type) {
	case Tick:
		n.stepLog(pollenlog.Tick{})
		n.tick()
	case LogMessage:
		n.stepLog(pollenlog.Receive{Message: e.Message})
	case Submit:
		n.submit(e)
	case Declare:
		n.declare(e)
	case Evacuate:
		n.empty(e)
	case HeartbeatReceived:
		n.heartbeat(e)
	case Query:
		n.query(e)
	case Join:
		n.join(e)
	case Repair:
		n.beginRepair(e)
	case TransferLeadership:
		n.stepLog(pollenlog.TransferLeadership{})
	}
	if n.leading() && !wasLeader {
		n.takeOver()
	}
	return n.actions
}

// takeOver grants every member a whole lease, since this replica has not
// listened to them until now.
func (n *Node) takeOver() {
	n.led = n.now
	n.leases = map[pollendocument.ServerName]Lease{}
	n.proposed = 0
	n.held = 0
	n.repair = nil
	n.check = n.now
	n.emit(BecameLeader{Term: n.log.Status().Term})
}

func (n *Node) leading() bool { return n.log.Status().Role == pollenlog.RoleLeader }

func (n *Node) emit(a Action) { n.actions = append(n.actions, a) }

// View returns the applied view, which the caller must not change.
func (n *Node) View() *pollenview.View { return n.replica.View() }

// UpdateSince returns what a view at the revision lacks.
func (n *Node) UpdateSince(from pollenview.Revision) pollenview.Update {
	return n.replica.UpdateSince(from)
}

// LogStatus returns the state of the replicated log.
func (n *Node) LogStatus() pollenlog.Status { return n.log.Status() }

// stepLog passes an event to the log and carries out what concerns this node.
func (n *Node) stepLog(e pollenlog.Event) {
	for _, a := range n.log.Step(n.now, e) {
		switch a := a.(type) {
		case pollenlog.Persist:
			n.emit(Persist{Unit: a})
		case pollenlog.Send:
			n.emit(SendLog{To: a.Address, Message: a.Message})
		case pollenlog.Apply:
			n.apply(a.Entries)
		case pollenlog.Restore:
			n.restore(a.Snapshot)
		case pollenlog.Accepted:
			n.accepted(a)
		case pollenlog.Rejected:
			n.rejected(a)
		case pollenlog.ReadReady:
			n.readReady(a)
		}
	}
}

func (n *Node) apply(entries []pollenlog.Entry) {
	from := n.replica.Revision()
	for _, e := range entries {
		command := pollenview.Command{Kind: pollenview.CommandNone}
		if e.Kind == pollenlog.EntryCommand && len(e.Data) > 0 {
			decoded, err := n.config.Codec.DecodeCommand(e.Data)
			if err != nil {
				// Every replica meets the same bytes, so skipping keeps them equal.
				n.emit(UndecodableEntry{Index: e.Index, Err: err})
			} else {
				command = decoded
			}
		}
		outcome, submitted := n.replica.Apply(pollenview.Revision(e.Index), command)
		if submitted {
			n.decide(outcome)
		}
		n.settle(e)
	}
	n.failLost(entries)
	if n.proposed != 0 && n.proposed <= pollenlog.Index(n.replica.Revision()) {
		n.proposed = 0
	}
	n.announce(from)
	n.compact()
}

func (n *Node) restore(s pollenlog.Snapshot) {
	view := pollenview.NewView()
	if len(s.Data) > 0 {
		decoded, err := n.config.Codec.DecodeView(s.Data)
		if err != nil {
			n.emit(UndecodableEntry{Index: s.Index, Err: err})
			return
		}
		view = decoded
	}
	view.Revision = pollenview.Revision(s.Index)
	n.replica.ApplyUpdate(pollenview.Update{Full: view})
	n.compacted = s.Index
}

func (n *Node) compact() {
	applied := n.log.Status().Applied
	if int(applied-n.compacted) < n.config.CompactEvery {
		return
	}
	n.compacted = applied
	data := n.config.Codec.EncodeView(n.replica.View())
	n.stepLog(pollenlog.Compact{Index: applied, Data: data})
}

// burstPause is the least time between two pushes to every member, and between
// two checks that heartbeats of new members cause, so that many changes at once
// cost one push together.
const burstPause = 50 * time.Millisecond

// announce tells every member of the new revision, with the update itself if
// it is small. Within a burst it waits for the next tick.
func (n *Node) announce(from pollenview.Revision) {
	if !n.leading() {
		return
	}
	if !n.untold {
		n.toldUpTo, n.untold = from, true
	}
	if n.now.Sub(n.announced) < burstPause {
		return
	}
	n.announced, n.untold = n.now, false
	notice := n.notice(n.toldUpTo)
	view := n.replica.View()
	names := make([]pollendocument.ServerName, 0, len(view.Members))
	for name := range view.Members {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		n.emit(SendNotice{To: view.Members[name].Address, Notice: notice})
	}
}

func (n *Node) notice(from pollenview.Revision) pollenmember.Notice {
	notice := pollenmember.Notice{
		Revision: n.replica.Revision(), FromControlHost: true, Leader: n.leaderAddress(),
	}
	if from >= n.replica.Revision() {
		return notice
	}
	if n.replica.Revision()-from > maxInlineCommands {
		return notice
	}
	update := n.replica.UpdateSince(from)
	if update.Full != nil {
		return notice
	}
	if n.config.Codec.UpdateSize(&update) <= n.config.MaxInlineBytes {
		notice.Update = update
	}
	return notice
}

// maxInlineCommands bounds the commands that are tried for a notice.
const maxInlineCommands = 16

// leaderAddress returns the address of the leader, or an invalid one when this
// replica knows none or leads without its quorum.
func (n *Node) leaderAddress() netip.AddrPort {
	s := n.log.Status()
	if s.Role == pollenlog.RoleLeader && !s.HasLease {
		return netip.AddrPort{}
	}
	r, _ := s.Membership.Find(s.Leader)
	return r.Address
}

func (n *Node) heartbeat(e HeartbeatReceived) {
	if n.leading() {
		n.hear(n.now, e.Heartbeat)
		if view := n.replica.View(); e.Heartbeat.Leaving || view.Members[e.Heartbeat.Member.Name] != e.Heartbeat.Member {
			n.checkJoined()
		}
	}
	n.emit(SendNotice{To: e.From, Notice: n.notice(e.Heartbeat.Revision)})
}

// checkJoined checks members because of a heartbeat, unless that was just done.
func (n *Node) checkJoined() {
	if n.now.Sub(n.joined) >= burstPause {
		n.joined = n.now
		n.checkMembers()
	}
}

func (n *Node) tick() {
	n.expirePending()
	if n.untold {
		n.announce(n.toldUpTo)
	}
	if !n.leading() || n.now.Sub(n.check) < n.config.CheckInterval {
		return
	}
	n.check = n.now
	n.checkMembers()
	n.checkLedgers()
	n.growMembership()
	if n.config.AutoRepair {
		n.replaceLost()
	}
	n.continueRepair()
}

func (n *Node) checkMembers() {
	if n.proposed != 0 {
		return
	}
	if command, due := n.memberChanges(n.now); due {
		n.propose(command)
	}
}

func (n *Node) checkLedgers() {
	if n.proposed != 0 {
		return
	}
	if command, due := n.ledgerChanges(); due {
		n.propose(command)
	}
}

// propose appends a command of the leader itself.
func (n *Node) propose(c pollenview.Command) {
	n.token++
	n.proposed = n.log.Status().Last + 1
	n.stepLog(pollenlog.Propose{Token: n.token, Data: n.config.Codec.EncodeCommand(&c)})
}
