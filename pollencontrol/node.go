// Package pollencontrol is the state machine of a control host: the replicated
// log, the view computed from it, submissions, leases and repair.
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
	// Lease is how long a member stays in the view without a heartbeat.
	Lease time.Duration
	// CheckInterval is the time between checks of leases, ledger groups and
	// replicas.
	CheckInterval time.Duration
	// CompactEvery is the number of applied entries between snapshots, and
	// CompactBytes the size of their data at which a snapshot is made earlier.
	CompactEvery, CompactBytes int
	// Guard prevents the removal of members when too many leases expire at once.
	Guard ExpiryGuard
	// MaxInlineBytes is the maximum size of the encoded update in a notice. A
	// larger update is not sent; members fetch it.
	MaxInlineBytes int
	// PendingTimeout is how long a submission, declaration, evacuation or
	// query may wait for its commit or confirmation. It is then answered with
	// VerdictUnknown, a query with VerdictNotRun.
	PendingTimeout time.Duration
	// Replicas is the number of control hosts in the settings. Empty replicas
	// join without a repair up to this number.
	Replicas int
	// AutoRepair makes the leader replace lost control hosts without an operator.
	// Without it, an operator requests each repair.
	AutoRepair bool
}

// A Codec encodes the commands in the log and the views in the snapshots.
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

	// leases, leaderSince, heldLeases and lastCheck are used by a leader only.
	leases      map[pollendocument.ServerName]Lease
	leaderSince time.Time
	heldLeases  int
	lastCheck   time.Time
	// lastAnnounced is when the members were last notified. announcePending is set
	// while revisions after announcedRevision are not yet announced.
	lastAnnounced     time.Time
	announcedRevision pollenview.Revision
	announcePending   bool
	// lastJoinCheck is when a heartbeat last caused a check of the members.
	lastJoinCheck time.Time

	// pendingSubmissions holds the submissions, declarations and evacuations that
	// were proposed here and are not yet answered.
	pendingSubmissions map[pollenlog.Token]pendingSubmission
	pendingReads       map[pollenlog.Token]pendingRead
	// candidates holds the empty replicas that requested to join.
	candidates map[pollenlog.ReplicaID]candidate
	repair     *repair
	// proposedIndex is the index of a membership or ledger command of this leader
	// that is not yet applied, or zero.
	proposedIndex  pollenlog.Index
	compactedIndex pollenlog.Index
	// uncompactedBytes is the size of the data of the applied entries after
	// compactedIndex.
	uncompactedBytes int
	lastToken        pollenlog.Token

	now     time.Time
	actions []Action
}

type pendingSubmission struct {
	callToken Token
	// id is empty for a declaration or an evacuation, which are done when their
	// own entry is committed.
	id       string
	index    pollenlog.Index
	term     pollenlog.Term
	deadline time.Time
}

type pendingRead struct {
	callToken Token
	deadline  time.Time
}

type candidate struct {
	address  netip.AddrPort
	lastSeen time.Time
}

// NewNode returns a Node that starts from the state stored on disk. It returns
// an error when the stored snapshot cannot be decoded.
func NewNode(now time.Time, config Config, stored pollenlog.StoredState) (*Node, error) {
	view := pollenview.NewView()
	if len(stored.Snapshot.Data) > 0 {
		var err error
		if view, err = config.Codec.DecodeView(stored.Snapshot.Data); err != nil {
			return nil, errors.Wrapf(err, "decode snapshot at index %d", stored.Snapshot.Index)
		}
	}
	view.Revision = pollenview.Revision(stored.Snapshot.Index)
	return &Node{
		config:             config,
		log:                pollenlog.NewNode(now, config.Log, stored),
		replica:            pollenview.NewReplica(view),
		leases:             map[pollendocument.ServerName]Lease{},
		pendingSubmissions: map[pollenlog.Token]pendingSubmission{},
		pendingReads:       map[pollenlog.Token]pendingRead{},
		candidates:         map[pollenlog.ReplicaID]candidate{},
		compactedIndex:     stored.Snapshot.Index,
	}, nil
}

// Step implements pollenkernel.Machine.
func (n *Node) Step(now time.Time, event Event) []Action {
	n.now = now
	n.actions = nil
	wasLeader := n.isLeader()
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
		n.evacuate(e)
	case HeartbeatReceived:
		n.handleHeartbeat(e)
	case Query:
		n.query(e)
	case Join:
		n.addCandidate(e)
	case Repair:
		n.startRepair(e)
	case TransferLeadership:
		n.stepLog(pollenlog.TransferLeadership{})
	}
	if n.isLeader() && !wasLeader {
		n.resetLeaderState()
	}
	return n.actions
}

// resetLeaderState prepares a new leader. It grants every member a whole lease,
// since this replica has not recorded heartbeats until now.
func (n *Node) resetLeaderState() {
	n.leaderSince = n.now
	n.leases = map[pollendocument.ServerName]Lease{}
	n.proposedIndex = 0
	n.heldLeases = 0
	n.repair = nil
	n.lastCheck = n.now
	n.emit(BecameLeader{Term: n.log.Status().Term})
}

func (n *Node) isLeader() bool { return n.log.Status().Role == pollenlog.RoleLeader }

func (n *Node) emit(a Action) { n.actions = append(n.actions, a) }

// View returns the applied view, which the caller must not change.
func (n *Node) View() *pollenview.View { return n.replica.View() }

// UpdateSince returns the update that brings a view at the revision to the
// current one.
func (n *Node) UpdateSince(from pollenview.Revision) pollenview.Update {
	return n.replica.UpdateSince(from)
}

// LogStatus returns the state of the replicated log.
func (n *Node) LogStatus() pollenlog.Status { return n.log.Status() }

// stepLog passes an event to the log and executes the resulting actions.
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
			n.handleAccepted(a)
		case pollenlog.Rejected:
			n.handleRejected(a)
		case pollenlog.ReadReady:
			n.handleReadReady(a)
		}
	}
}

// apply applies committed entries to the view and replies to the commands that
// they decide.
func (n *Node) apply(entries []pollenlog.Entry) {
	from := n.replica.Revision()
	for _, e := range entries {
		n.uncompactedBytes += len(e.Data)
		command := pollenview.Command{Kind: pollenview.CommandNone}
		if e.Kind == pollenlog.EntryCommand && len(e.Data) > 0 {
			decoded, err := n.config.Codec.DecodeCommand(e.Data)
			if err != nil {
				// Every replica reads the same bytes, so skipping the entry keeps the
				// views equal.
				n.emit(UndecodableEntry{Index: e.Index, Err: err})
			} else {
				command = decoded
			}
		}
		answer := Answer{Verdict: VerdictDone}
		if view := n.replica.View(); command.Kind == pollenview.CommandEvacuate && view.Overtaken(command.Evacuation) {
			answer = overtakenAnswer(view)
		}
		outcome, submitted := n.replica.Apply(pollenview.Revision(e.Index), command)
		if submitted {
			n.answerDecided(outcome)
		}
		n.answerCommitted(e, answer)
	}
	n.answerOverwritten(entries)
	if n.proposedIndex != 0 && n.proposedIndex <= pollenlog.Index(n.replica.Revision()) {
		n.proposedIndex = 0
	}
	n.announce(from)
	n.compact()
}

// batchInterval is the minimum time between two notices to every member, and
// between two checks that heartbeats of new members cause, so that many changes
// at once share one notice.
const batchInterval = 50 * time.Millisecond

// announce notifies every member of the new revision, with the update since the
// revision from if it is small. Within batchInterval of the last notice it
// leaves that to a later tick, whose update then starts at the earliest such
// revision.
func (n *Node) announce(from pollenview.Revision) {
	if !n.isLeader() {
		return
	}
	if !n.announcePending {
		n.announcedRevision, n.announcePending = from, true
	}
	if n.now.Sub(n.lastAnnounced) < batchInterval {
		return
	}
	n.lastAnnounced, n.announcePending = n.now, false
	notice := n.newNotice(n.announcedRevision)
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

// newNotice returns a notice of the current revision. It includes the update
// since the revision from unless the update exceeds maxInlineCommands or
// Config.MaxInlineBytes or needs a full view.
func (n *Node) newNotice(from pollenview.Revision) pollenmember.Notice {
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

// maxInlineCommands is the maximum number of commands in a notice, which also
// bounds the commands that are encoded to determine their size.
const maxInlineCommands = 16

// leaderAddress returns the address of the leader, or an invalid one when this
// replica knows no leader or is a leader without a quorum.
func (n *Node) leaderAddress() netip.AddrPort {
	s := n.log.Status()
	if s.Role == pollenlog.RoleLeader && !s.HasLease {
		return netip.AddrPort{}
	}
	r, _ := s.Membership.Find(s.Leader)
	return r.Address
}

func (n *Node) handleHeartbeat(e HeartbeatReceived) {
	if n.isLeader() {
		n.renewLease(n.now, e.Heartbeat)
		if view := n.replica.View(); e.Heartbeat.Leaving || view.Members[e.Heartbeat.Member.Name] != e.Heartbeat.Member {
			n.checkMembersThrottled()
		}
	}
	n.emit(SendNotice{To: e.From, Notice: n.newNotice(e.Heartbeat.Revision)})
}

// checkMembersThrottled checks the members after a heartbeat, at most once per
// batchInterval.
func (n *Node) checkMembersThrottled() {
	if n.now.Sub(n.lastJoinCheck) >= batchInterval {
		n.lastJoinCheck = n.now
		n.checkMembers()
	}
}

func (n *Node) tick() {
	n.expirePending()
	if n.announcePending {
		n.announce(n.announcedRevision)
	}
	if !n.isLeader() || n.now.Sub(n.lastCheck) < n.config.CheckInterval {
		return
	}
	n.lastCheck = n.now
	n.checkMembers()
	n.checkLedgers()
	if n.config.AutoRepair {
		n.changeRoster()
	} else {
		n.growMembership()
	}
	n.continueRepair()
}

func (n *Node) checkMembers() {
	if n.proposedIndex != 0 {
		return
	}
	if command, due := n.memberChanges(n.now); due {
		n.propose(command)
	}
}

func (n *Node) checkLedgers() {
	if n.proposedIndex != 0 {
		return
	}
	if command, due := n.ledgerChanges(); due {
		n.propose(command)
	}
}

// propose proposes a command of the leader itself.
func (n *Node) propose(c pollenview.Command) {
	n.lastToken++
	n.proposedIndex = n.log.Status().Last + 1
	n.stepLog(pollenlog.Propose{Token: n.lastToken, Data: n.config.Codec.EncodeCommand(&c)})
}
