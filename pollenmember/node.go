package pollenmember

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollenview"
)

// A Config holds the settings of a Node.
type Config struct {
	// Self is the member as it announces itself.
	Self pollenview.Member
	// Control lists the addresses of the control hosts.
	Control []netip.AddrPort
	// HeartbeatInterval is the time between heartbeats.
	HeartbeatInterval time.Duration
	// StartTimeout is how long a start waits for a majority of control hosts.
	StartTimeout time.Duration
	// FetchTimeout is how long a fetch may take before another is started.
	FetchTimeout time.Duration
	// Seed makes the choice of peers repeatable.
	Seed uint64
}

// maxUnansweredHeartbeats is the number of heartbeats without a notice from a
// control host after which the node again sends heartbeats to all control hosts
// to find the leader.
const maxUnansweredHeartbeats = 2

// A Node renews one member's lease and keeps its view current. It implements
// pollenkernel.Machine.
type Node struct {
	config      Config
	random      *rand.Rand
	replica     *pollenview.Replica
	self        pollenview.Member
	syncedEpoch uint64
	cold        bool
	leaving     bool

	// leader is invalid while no leader is known.
	leader            netip.AddrPort
	lastControlNotice time.Time
	lastHeartbeat     time.Time

	// started is when the first event was received.
	started time.Time
	ready   bool
	// reportedRevisions holds the highest revision that each control host has
	// reported. It is updated until ready is set.
	reportedRevisions map[netip.AddrPort]pollenview.Revision

	// wantedRevision is the highest revision reported by another process, and
	// fetchSource the process that reported it.
	wantedRevision pollenview.Revision
	fetchSource    netip.AddrPort
	fetchStarted   time.Time

	// peers holds the addresses of the other members as of peersRevision.
	peers         []netip.AddrPort
	peersRevision pollenview.Revision
}

// NewNode returns a new Node with an empty view.
func NewNode(config Config) *Node {
	return &Node{
		config:            config,
		random:            rand.New(rand.NewPCG(config.Seed, uint64(config.Self.Incarnation))),
		replica:           pollenview.NewReplica(pollenview.NewView()),
		self:              config.Self,
		reportedRevisions: map[netip.AddrPort]pollenview.Revision{},
	}
}

// An Event is an input of a Node.
type Event interface{ event() }

// A Tick lets the node send its periodic heartbeats and check its timeouts.
type Tick struct{}

// A NoticeReceived delivers a notice from another process.
type NoticeReceived struct {
	From   netip.AddrPort
	Notice Notice
}

// A RevisionReceived reports that another process has a revision.
type RevisionReceived struct {
	From     netip.AddrPort
	Revision pollenview.Revision
}

// A Fetched delivers the answer to a Fetch.
type Fetched struct{ Update pollenview.Update }

// A FetchFailed reports that a Fetch got no answer.
type FetchFailed struct{}

// An Announce changes the values that the member sends in its heartbeats.
type Announce struct {
	Member      pollenview.Member
	SyncedEpoch uint64
	Cold        bool
}

// A Leave releases the lease.
type Leave struct{}

func (Tick) event()             {}
func (NoticeReceived) event()   {}
func (RevisionReceived) event() {}
func (Fetched) event()          {}
func (FetchFailed) event()      {}
func (Announce) event()         {}
func (Leave) event()            {}

// An Action is an output of a Node.
type Action interface{ action() }

// A SendHeartbeat sends a heartbeat to a control host.
type SendHeartbeat struct {
	To        netip.AddrPort
	Heartbeat Heartbeat
}

// A SendNotice sends a notice to another member.
type SendNotice struct {
	To     netip.AddrPort
	Notice Notice
}

// A Fetch requests the update that follows the revision Have from a process.
type Fetch struct {
	From netip.AddrPort
	Have pollenview.Revision
}

// A ViewChanged reports that the view has a newer revision.
type ViewChanged struct{}

// A Ready reports, once, that the node may serve from its view.
type Ready struct {
	// WithoutMajority is set when no majority of control hosts answered within
	// StartTimeout, so that the view may be outdated.
	WithoutMajority bool
}

func (SendHeartbeat) action() {}
func (SendNotice) action()    {}
func (Fetch) action()         {}
func (ViewChanged) action()   {}
func (Ready) action()         {}

// View returns the current view, which the caller must not change.
func (n *Node) View() *pollenview.View { return n.replica.View() }

// UpdateSince returns the update that brings a view at the revision to the
// current one.
func (n *Node) UpdateSince(from pollenview.Revision) pollenview.Update {
	return n.replica.UpdateSince(from)
}

// Step implements pollenkernel.Machine.
func (n *Node) Step(now time.Time, event Event) []Action {
	if n.started.IsZero() {
		n.started = now
	}
	var actions []Action
	switch e := event.(type) {
	case Tick:
		actions = n.tick(now)
	case NoticeReceived:
		actions = n.handleNotice(now, e)
	case RevisionReceived:
		n.recordRevision(e.From, e.Revision)
	case Fetched:
		n.fetchStarted = time.Time{}
		actions = n.applyUpdate(now, e.Update)
	case FetchFailed:
		n.fetchStarted = time.Time{}
		// The next report of a newer revision selects the process to fetch
		// from again.
		n.wantedRevision = n.replica.Revision()
	case Announce:
		n.cold = e.Cold
		if e.Member != n.self || e.SyncedEpoch != n.syncedEpoch {
			n.self, n.syncedEpoch = e.Member, e.SyncedEpoch
			actions = n.sendHeartbeats(now)
		}
	case Leave:
		n.leaving = true
		actions = n.sendHeartbeats(now)
	}
	actions = append(actions, n.fetch(now)...)
	return append(actions, n.checkReady(now)...)
}

func (n *Node) tick(now time.Time) []Action {
	if !n.lastHeartbeat.IsZero() && now.Sub(n.lastHeartbeat) < n.config.HeartbeatInterval {
		return nil
	}
	// Half an interval more allows for the delays of ticks and notices.
	if now.Sub(n.lastControlNotice) > maxUnansweredHeartbeats*n.config.HeartbeatInterval+n.config.HeartbeatInterval/2 {
		n.leader = netip.AddrPort{}
	}
	return append(n.sendHeartbeats(now), n.gossip()...)
}

func (n *Node) sendHeartbeats(now time.Time) []Action {
	n.lastHeartbeat = now
	h := Heartbeat{
		Member: n.self, Revision: n.replica.Revision(), SyncedEpoch: n.syncedEpoch, Cold: n.cold, Leaving: n.leaving,
	}
	if n.leader.IsValid() && n.ready {
		return []Action{SendHeartbeat{To: n.leader, Heartbeat: h}}
	}
	actions := make([]Action, 0, len(n.config.Control))
	for _, to := range n.config.Control {
		actions = append(actions, SendHeartbeat{To: to, Heartbeat: h})
	}
	return actions
}

// gossip sends the revision to one random peer, so that updates also reach
// members that the control hosts cannot reach.
func (n *Node) gossip() []Action {
	view := n.replica.View()
	if n.peersRevision != view.Revision {
		n.updatePeers(view)
	}
	if len(n.peers) == 0 {
		return nil
	}
	to := n.peers[n.random.IntN(len(n.peers))]
	return []Action{SendNotice{To: to, Notice: Notice{Revision: view.Revision}}}
}

// updatePeers lists the other members in failure domains that take traffic. The
// list is sorted, so that a seed gives the same choice of peers in each run.
func (n *Node) updatePeers(view *pollenview.View) {
	n.peersRevision = view.Revision
	n.peers = n.peers[:0]
	for _, m := range view.Members {
		if m.Name != n.self.Name && view.DomainTakesTraffic(m.Domain) {
			n.peers = append(n.peers, m.Address)
		}
	}
	slices.SortFunc(n.peers, netip.AddrPort.Compare)
}

func (n *Node) handleNotice(now time.Time, e NoticeReceived) []Action {
	var actions []Action
	if e.Notice.FromControlHost {
		n.lastControlNotice = now
		if !n.ready {
			n.reportedRevisions[e.From] = max(n.reportedRevisions[e.From], e.Notice.Revision)
		}
		if e.Notice.Leader.IsValid() {
			n.leader = e.Notice.Leader
		}
	} else if e.Notice.Revision < n.replica.Revision() {
		// The peer has an older view: notify it, so that it fetches the update.
		actions = append(actions, SendNotice{
			To: e.From, Notice: Notice{Revision: n.replica.Revision()},
		})
	}
	actions = append(actions, n.applyUpdate(now, e.Notice.Update)...)
	n.recordRevision(e.From, e.Notice.Revision)
	return actions
}

// recordRevision stores a revision as wanted if it is newer than the view and
// every revision reported before.
func (n *Node) recordRevision(from netip.AddrPort, revision pollenview.Revision) {
	if revision > n.replica.Revision() && revision > n.wantedRevision {
		n.wantedRevision, n.fetchSource = revision, from
	}
}

func (n *Node) applyUpdate(now time.Time, u pollenview.Update) []Action {
	if u.Empty() || !n.replica.ApplyUpdate(u) {
		return nil
	}
	actions := []Action{ViewChanged{}}
	if n.ready {
		// The state that operators query takes each member's revision from its
		// heartbeats, so an immediate one shows without delay that a submission
		// is in force.
		actions = append(actions, n.sendHeartbeats(now)...)
	}
	return actions
}

func (n *Node) fetch(now time.Time) []Action {
	if n.wantedRevision <= n.replica.Revision() {
		return nil
	}
	if !n.fetchStarted.IsZero() && now.Sub(n.fetchStarted) < n.config.FetchTimeout {
		return nil
	}
	n.fetchStarted = now
	return []Action{Fetch{From: n.fetchSource, Have: n.replica.Revision()}}
}

// checkReady reports ready once a majority of the control hosts has reported
// its revisions and the view includes the highest of them, or once StartTimeout
// has passed and the view is not empty.
func (n *Node) checkReady(now time.Time) []Action {
	if n.ready {
		return nil
	}
	highest := pollenview.Revision(0)
	for _, r := range n.reportedRevisions {
		highest = max(highest, r)
	}
	majority := len(n.reportedRevisions) > len(n.config.Control)/2
	if majority && n.replica.Revision() >= highest && highest > 0 {
		n.ready = true
		return []Action{Ready{}}
	}
	if now.Sub(n.started) >= n.config.StartTimeout && n.replica.Revision() > 0 {
		n.ready = true
		return []Action{Ready{WithoutMajority: true}}
	}
	return nil
}
