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
	// FetchTimeout is how long a fetch may take before another is begun.
	FetchTimeout time.Duration
	// Seed makes the choice of peers repeatable.
	Seed uint64
}

// silentBeats is the number of heartbeats without an answer after which the
// leader is looked for again.
const silentBeats = 2

// A Node keeps one member's lease and view. It implements
// pollenkernel.Machine.
type Node struct {
	config  Config
	random  *rand.Rand
	replica *pollenview.Replica
	self    pollenview.Member
	epoch   uint64
	cold    bool
	leaving bool

	// leader is invalid while no leader is known.
	leader   netip.AddrPort
	answered time.Time
	beat     time.Time

	// started is when the first event came.
	started time.Time
	ready   bool
	// reported holds, until ready, the revision of each control host heard.
	reported map[netip.AddrPort]pollenview.Revision

	// wanted is the highest revision heard of and source where it was heard.
	wanted   pollenview.Revision
	source   netip.AddrPort
	fetching time.Time

	// peers holds the addresses of the other members as of peersAt.
	peers   []netip.AddrPort
	peersAt pollenview.Revision
}

// NewNode returns a new Node with an empty view.
func NewNode(config Config) *Node {
	return &Node{
		config:   config,
		random:   rand.New(rand.NewPCG(config.Seed, uint64(config.Self.Incarnation))),
		replica:  pollenview.NewReplica(pollenview.NewView()),
		self:     config.Self,
		reported: map[netip.AddrPort]pollenview.Revision{},
	}
}

// An Event is an input of a Node.
type Event interface{ event() }

// A Tick tells the time.
type Tick struct{}

// A NoticeReceived delivers a notice from another process.
type NoticeReceived struct {
	From   netip.AddrPort
	Notice Notice
}

// A RevisionReceived tells that a process holds a revision.
type RevisionReceived struct {
	From     netip.AddrPort
	Revision pollenview.Revision
}

// A Fetched delivers the answer to a Fetch.
type Fetched struct{ Update pollenview.Update }

// A FetchFailed tells that a Fetch got no answer.
type FetchFailed struct{}

// An Announce changes what the member announces.
type Announce struct {
	Member      pollenview.Member
	LedgerEpoch uint64
	Cold        bool
}

// A Leave gives the lease up.
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

// A SendHeartbeat passes a heartbeat to a control host.
type SendHeartbeat struct {
	To        netip.AddrPort
	Heartbeat Heartbeat
}

// A SendNotice passes a notice to a peer.
type SendNotice struct {
	To     netip.AddrPort
	Notice Notice
}

// A Fetch asks a process for what the view lacks.
type Fetch struct {
	From netip.AddrPort
	Have pollenview.Revision
}

// A ViewChanged tells that the view has moved forward.
type ViewChanged struct{}

// A Ready tells, once, that the view is current enough to serve from.
type Ready struct {
	// WithoutMajority is set when no majority of control hosts answered in time.
	WithoutMajority bool
}

func (SendHeartbeat) action() {}
func (SendNotice) action()    {}
func (Fetch) action()         {}
func (ViewChanged) action()   {}
func (Ready) action()         {}

// View returns the present view, which the caller must not change.
func (n *Node) View() *pollenview.View { return n.replica.View() }

// UpdateSince returns what a view at the revision lacks.
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
		actions = n.receive(now, e)
	case RevisionReceived:
		n.hear(e.From, e.Revision)
	case Fetched:
		n.fetching = time.Time{}
		actions = n.accept(now, e.Update)
	case FetchFailed:
		n.fetching = time.Time{}
		n.wanted = n.replica.Revision()
	case Announce:
		n.cold = e.Cold
		if e.Member != n.self || e.LedgerEpoch != n.epoch {
			n.self, n.epoch = e.Member, e.LedgerEpoch
			actions = n.heartbeats(now)
		}
	case Leave:
		n.leaving = true
		actions = n.heartbeats(now)
	}
	actions = append(actions, n.fetch(now)...)
	return append(actions, n.checkReady(now)...)
}

func (n *Node) tick(now time.Time) []Action {
	if !n.beat.IsZero() && now.Sub(n.beat) < n.config.HeartbeatInterval {
		return nil
	}
	if now.Sub(n.answered) > silentBeats*n.config.HeartbeatInterval+n.config.HeartbeatInterval/2 {
		n.leader = netip.AddrPort{}
	}
	return append(n.heartbeats(now), n.gossip()...)
}

func (n *Node) heartbeats(now time.Time) []Action {
	n.beat = now
	h := Heartbeat{
		Member: n.self, Revision: n.replica.Revision(), LedgerEpoch: n.epoch, Cold: n.cold, Leaving: n.leaving,
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

// gossip tells one random peer the revision, so that news spread between
// members that control cannot reach.
func (n *Node) gossip() []Action {
	view := n.replica.View()
	if n.peersAt != view.Revision {
		n.findPeers(view)
	}
	if len(n.peers) == 0 {
		return nil
	}
	to := n.peers[n.random.IntN(len(n.peers))]
	return []Action{SendNotice{To: to, Notice: Notice{Revision: view.Revision}}}
}

// findPeers lists the members that the view names, in a repeatable order.
func (n *Node) findPeers(view *pollenview.View) {
	n.peersAt = view.Revision
	n.peers = n.peers[:0]
	for _, m := range view.Members {
		if m.Name != n.self.Name && view.DomainTakesTraffic(m.Domain) {
			n.peers = append(n.peers, m.Address)
		}
	}
	slices.SortFunc(n.peers, netip.AddrPort.Compare)
}

func (n *Node) receive(now time.Time, e NoticeReceived) []Action {
	var actions []Action
	if e.Notice.FromControlHost {
		n.answered = now
		if !n.ready {
			n.reported[e.From] = max(n.reported[e.From], e.Notice.Revision)
		}
		if e.Notice.Leader.IsValid() {
			n.leader = e.Notice.Leader
		}
	} else if e.Notice.Revision < n.replica.Revision() {
		// The peer is behind: tell it, so that it fetches.
		actions = append(actions, SendNotice{
			To: e.From, Notice: Notice{Revision: n.replica.Revision()},
		})
	}
	actions = append(actions, n.accept(now, e.Notice.Update)...)
	n.hear(e.From, e.Notice.Revision)
	return actions
}

func (n *Node) hear(from netip.AddrPort, revision pollenview.Revision) {
	if revision > n.replica.Revision() && revision > n.wanted {
		n.wanted, n.source = revision, from
	}
}

func (n *Node) accept(now time.Time, u pollenview.Update) []Action {
	if u.Empty() || !n.replica.ApplyUpdate(u) {
		return nil
	}
	actions := []Action{ViewChanged{}}
	if n.ready {
		// Reporting at once is what lets a submission be seen in force.
		actions = append(actions, n.heartbeats(now)...)
	}
	return actions
}

func (n *Node) fetch(now time.Time) []Action {
	if n.wanted <= n.replica.Revision() {
		return nil
	}
	if !n.fetching.IsZero() && now.Sub(n.fetching) < n.config.FetchTimeout {
		return nil
	}
	n.fetching = now
	return []Action{Fetch{From: n.source, Have: n.replica.Revision()}}
}

func (n *Node) checkReady(now time.Time) []Action {
	if n.ready {
		return nil
	}
	highest := pollenview.Revision(0)
	for _, r := range n.reported {
		highest = max(highest, r)
	}
	majority := len(n.reported) > len(n.config.Control)/2
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
