// Package pollenagent is the state machine of an agent: the flows it holds, its
// share of the flow directory, and the safe keeping of its peers' records.
package pollenagent

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollenadmission"
	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenflow"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenview"
)

// A Config holds the settings of a Flows.
type Config struct {
	Self    pollenview.Member
	Limiter *pollenadmission.Limiter
	// Placement chooses the holder of a new flow.
	Placement pollenflow.Placement
	// Window is how long two processes may hold different views of a change;
	// until it has passed, earlier homes are asked before a flow is placed.
	Window time.Duration
	// Lease is how long a directory entry lives; holders renew at a third.
	Lease time.Duration
	// OpenTimeout is how long a flow may go without a first answer from the
	// backend server.
	OpenTimeout time.Duration
	// SearchRate bounds the searches begun in a second.
	SearchRate int
	// Generations is the number of earlier homes that are remembered.
	Generations int
	Seed        uint64
}

// A Record is a flow that the agent holds.
type Record struct {
	Key pollenflow.Key
	// Port is the local port towards the backend server; zero when the agent
	// ends the flow itself.
	Port uint16
	// Balancer is where the last packet came through.
	Balancer netip.AddrPort
	Seen     time.Time
	Opened   time.Time
	// Established is set once the backend server has answered.
	Established bool
	// registered is when the home was last told.
	registered time.Time
}

// Flows decides about packets. It is not safe for concurrent use.
type Flows struct {
	config  Config
	random  *rand.Rand
	self    pollenflow.Digest
	service pollenflow.Digest

	view    *pollenview.View
	heard   pollenview.Revision
	heardAt time.Time
	started time.Time
	serving bool
	// draining follows the view; stopping is set by Drain.
	draining bool
	stopping bool
	delivery pollendocument.Delivery
	idle     time.Duration

	homes *pollenflow.Homes
	// generations holds the homes before the present ones, latest first, each
	// with the time at which it was replaced.
	generations []generation
	// agents holds the service's agents in failure domains that are in, sorted
	// by name.
	agents    []pollenview.Member
	balancers []pollenview.Member

	records   map[pollenflow.Key]*Record
	directory *pollenflow.Leased[pollenflow.Key, pollenview.ReplicaRef]
	absent    *pollenflow.Leased[pollenflow.Key, struct{}]
	loads     *pollenflow.Loads
	scratch   []pollenflow.Load
	indexes   []int
	searches  budget
	keeping   keeper
	swept     time.Time
	// running is the smoothed number of units of work.
	running float64
}

type generation struct {
	homes    *pollenflow.Homes
	replaced time.Time
}

// absentLease is how long a flow that no agent held is not searched again.
const absentLease = time.Second

// loadLease is how long a peer's load is believed.
const loadLease = 5 * time.Second

// NewFlows returns a new Flows that serves nothing until it is given a view.
func NewFlows(now time.Time, config Config) *Flows {
	return &Flows{
		config:    config,
		random:    rand.New(rand.NewPCG(config.Seed, uint64(config.Self.Incarnation))),
		self:      pollenflow.DigestOf(config.Self.Name),
		service:   pollenflow.DigestOf(config.Self.Service),
		view:      pollenview.NewView(),
		started:   now,
		records:   map[pollenflow.Key]*Record{},
		directory: pollenflow.NewLeased[pollenflow.Key, pollenview.ReplicaRef](config.Lease),
		absent:    pollenflow.NewLeased[pollenflow.Key, struct{}](absentLease),
		loads:     pollenflow.NewLoads(loadLease),
		searches:  budget{rate: float64(config.SearchRate), burst: float64(config.SearchRate)},
	}
}

// A Packet is a caller's packet as it reached this agent.
type Packet struct {
	Key     pollenflow.Key
	Service pollenflow.Digest
	Target  pollenflow.Digest
	// From is the process that sent it here and Balancer the first one.
	From, Balancer netip.AddrPort
	Revision       pollenview.Revision
	Opens          bool
	Assigned       bool
	// Search is set while the home asks agents in turn; SearchIndex is the
	// position of the next one.
	Search      bool
	SearchIndex uint8
	Hops        uint8
}

// A DecisionKind says what happens to a packet.
type DecisionKind string

// Kinds of decisions.
const (
	DecisionDeliver DecisionKind = "deliver"
	DecisionForward DecisionKind = "forward"
	DecisionDrop    DecisionKind = "drop"
)

// A Decision says what to do with a packet.
type Decision struct {
	Kind DecisionKind
	// Record is the flow to deliver to; New is set when it was just opened.
	Record *Record
	New    bool
	// To and Target are set to forward; the other fields replace the packet's.
	To          netip.AddrPort
	Target      pollenflow.Digest
	Assigned    bool
	Search      bool
	SearchIndex uint8
	Hops        uint8
	// Refusal says why a packet is dropped.
	Refusal pollenkernel.Refusal
	// Tell is valid when a process must be told who holds the flow, or that
	// this agent declines it.
	Tell    netip.AddrPort
	Decline bool
}

// MaxHops bounds how often a packet is passed on.
const MaxHops = 4

// Decide returns what to do with a packet. It allocates only when it opens a
// flow.
func (f *Flows) Decide(now time.Time, p *Packet) Decision {
	switch {
	case p.Service != f.service:
		return drop(pollenkernel.RefusalWrongService)
	case p.Target != f.self:
		return drop(pollenkernel.RefusalWrongMember)
	}
	f.hear(now, p.Revision)
	if !f.serving {
		return drop(f.whyNotServing())
	}
	if r, ok := f.records[p.Key]; ok {
		r.Seen = now
		r.Balancer = p.Balancer
		d := Decision{Kind: DecisionDeliver, Record: r}
		if p.Search {
			d.Tell = p.From
		}
		return d
	}
	if p.Assigned {
		return f.takeAssigned(now, p)
	}
	if p.Hops >= MaxHops {
		return drop(pollenkernel.RefusalHopLimit)
	}
	if to, ok := f.holder(now, p.Key); ok {
		return Decision{Kind: DecisionForward, To: to.Address, Target: pollenflow.DigestOf(to.Name), Hops: p.Hops + 1}
	}
	if p.Search && p.SearchIndex > 0 && !f.isReturn(p) {
		// Asked in a search, and not the holder: the packet goes back.
		return Decision{
			Kind: DecisionForward, To: p.From, Target: f.digestAt(p.From),
			Search: true, SearchIndex: p.SearchIndex, Hops: p.Hops,
		}
	}
	return f.decideHome(now, p)
}

func drop(why pollenkernel.Refusal) Decision {
	return Decision{Kind: DecisionDrop, Refusal: why}
}

func (f *Flows) whyNotServing() pollenkernel.Refusal {
	if f.view.Revision > 0 && !f.view.DomainIn(f.config.Self.Domain) {
		return pollenkernel.RefusalDomainOut
	}
	return pollenkernel.RefusalNotReady
}

// hear notes that another process holds a revision.
func (f *Flows) hear(now time.Time, revision pollenview.Revision) {
	if revision > f.heard {
		if f.heard <= f.view.Revision {
			f.heardAt = now
		}
		f.heard = revision
	}
}

// stale reports whether a newer view is known to exist that this agent should
// soon have.
func (f *Flows) stale(now time.Time) bool {
	return f.heard > f.view.Revision && now.Sub(f.heardAt) < f.config.Window
}

// holder returns the agent that the directory names, if it still is one.
func (f *Flows) holder(now time.Time, key pollenflow.Key) (*pollenview.Member, bool) {
	ref, ok := f.directory.Get(now, key)
	if !ok || ref.Name == f.config.Self.Name {
		return nil, false
	}
	m, ok := f.agent(ref.Name)
	return m, ok && m.Incarnation == ref.Incarnation
}

// Reference names this incarnation of the agent.
func (f *Flows) Reference() pollenview.ReplicaRef { return reference(f.config.Self) }

func reference(m pollenview.Member) pollenview.ReplicaRef {
	return pollenview.ReplicaRef{Name: m.Name, Incarnation: m.Incarnation}
}

func (f *Flows) agent(name pollendocument.ServerName) (*pollenview.Member, bool) {
	for i := range f.agents {
		if f.agents[i].Name == name {
			return &f.agents[i], true
		}
	}
	return nil, false
}

// digestAt returns the digest of the agent at an address.
func (f *Flows) digestAt(address netip.AddrPort) pollenflow.Digest {
	for i := range f.agents {
		if f.agents[i].Address == address {
			return pollenflow.DigestOf(f.agents[i].Name)
		}
	}
	return 0
}

// isReturn reports whether a search packet comes back to its home.
func (f *Flows) isReturn(p *Packet) bool {
	home, ok := f.homes.Home(pollenflow.BucketOf(f.service, p.Key))
	return ok && home.Name == f.config.Self.Name
}

func (f *Flows) decideHome(now time.Time, p *Packet) Decision {
	bucket := pollenflow.BucketOf(f.service, p.Key)
	home, ok := f.homes.Home(bucket)
	if !ok {
		return drop(pollenkernel.RefusalNoMember)
	}
	if home.Name != f.config.Self.Name {
		d := Decision{
			Kind: DecisionForward, To: home.Address, Target: pollenflow.DigestOf(home.Name), Hops: p.Hops + 1,
		}
		if p.Hops > 0 {
			// An agent took this one for the holder or for the home.
			d.Tell, d.Decline = p.From, true
		}
		return d
	}
	if _, known := f.absent.Get(now, p.Key); known && !p.Opens {
		return drop(pollenkernel.RefusalUnknownFlow)
	}
	if p.Opens && f.stale(now) {
		// Another agent may be the home by now; the caller sends again.
		return drop(pollenkernel.RefusalStale)
	}
	if d, searching := f.search(now, p, bucket); searching {
		return d
	}
	if p.Opens {
		return f.place(now, p)
	}
	f.absent.Put(now, p.Key, struct{}{})
	return drop(pollenkernel.RefusalUnknownFlow)
}

// maxSearch bounds the agents that are asked for one packet.
const maxSearch = 12

// search sends the packet to the next agent that may hold the flow; ok is false
// when every candidate was asked.
func (f *Flows) search(now time.Time, p *Packet, bucket pollenflow.Bucket) (d Decision, ok bool) {
	candidates := f.candidates(now, p.Opens, bucket)
	at := int(p.SearchIndex)
	if at >= len(candidates) || at >= maxSearch {
		return Decision{}, false
	}
	if at == 0 && !f.searches.take(now) {
		return drop(pollenkernel.RefusalSearchLimit), true
	}
	to := &f.agents[candidates[at]]
	return Decision{
		Kind: DecisionForward, To: to.Address, Target: pollenflow.DigestOf(to.Name),
		Search: true, SearchIndex: p.SearchIndex + 1, Hops: p.Hops,
	}, true
}

// candidates returns indexes into agents: the earlier homes of the bucket, and
// then, for a packet that opens nothing or right after the start, every other
// agent.
func (f *Flows) candidates(now time.Time, opens bool, bucket pollenflow.Bucket) []int {
	f.indexes = f.indexes[:0]
	for _, g := range f.generations {
		if now.Sub(g.replaced) >= f.config.Window {
			break
		}
		if home, ok := g.homes.Home(bucket); ok {
			f.addCandidate(home.Name)
		}
	}
	if opens && now.Sub(f.started) >= f.config.Window {
		return f.indexes
	}
	for i := range f.agents {
		f.addCandidate(f.agents[i].Name)
	}
	return f.indexes
}

func (f *Flows) addCandidate(name pollendocument.ServerName) {
	if name == f.config.Self.Name {
		return
	}
	for i := range f.agents {
		if f.agents[i].Name == name {
			if !slices.Contains(f.indexes, i) {
				f.indexes = append(f.indexes, i)
			}
			return
		}
	}
}

// place chooses the holder of a new flow.
func (f *Flows) place(now time.Time, p *Packet) Decision {
	f.scratch = append(f.scratch[:0], f.Load())
	for _, m := range f.homes.Members() {
		if m.Name == f.config.Self.Name {
			continue
		}
		if load, ok := f.loads.Get(now, m.Name); ok {
			f.scratch = append(f.scratch, load)
		}
	}
	if f.Draining() {
		f.scratch[0].Limit = 0
	}
	at, ok := f.config.Placement.Choose(f.random, f.scratch, pollenflow.FlowFullness)
	if !ok {
		return drop(f.whyNoRoom())
	}
	if at == 0 {
		return f.open(now, p)
	}
	to, ok := f.agent(f.scratch[at].Name)
	if !ok {
		return drop(pollenkernel.RefusalNoMember)
	}
	f.directory.Put(now, p.Key, reference(*to))
	f.loads.AddFlow(now, to.Name)
	return Decision{
		Kind: DecisionForward, To: to.Address, Target: pollenflow.DigestOf(to.Name),
		Assigned: true, Hops: p.Hops + 1,
	}
}

func (f *Flows) whyNoRoom() pollenkernel.Refusal {
	u := f.config.Limiter.Usage()
	switch {
	case f.Draining():
		return pollenkernel.RefusalDraining
	case u.Flows >= u.Connections:
		return pollenkernel.RefusalConnectionLimit
	default:
		return pollenkernel.RefusalColdLimit
	}
}

// takeAssigned opens a flow that the home agent gave to this one, or declines.
func (f *Flows) takeAssigned(now time.Time, p *Packet) Decision {
	d := drop(pollenkernel.RefusalDraining)
	if !f.Draining() {
		d = f.open(now, p)
	}
	d.Tell = p.From
	d.Decline = d.Kind == DecisionDrop
	return d
}

// open makes the record of a new flow if there is room.
func (f *Flows) open(now time.Time, p *Packet) Decision {
	l := f.config.Limiter
	if !l.OpenFlow() {
		return drop(pollenkernel.RefusalConnectionLimit)
	}
	relay := f.delivery == pollendocument.DeliveryRelay
	if relay && !l.Begin() {
		l.CloseFlow()
		return drop(pollenkernel.RefusalColdLimit)
	}
	r := &Record{
		Key: p.Key, Balancer: p.Balancer, Seen: now, Opened: now, Established: !relay, registered: now,
	}
	f.records[p.Key] = r
	f.directory.Delete(p.Key)
	f.keeping.changed(r.Key)
	return Decision{Kind: DecisionDeliver, Record: r, New: true}
}

// Answered notes that the backend server sent a packet to the flow's caller,
// and returns the balancer that the answer goes through; ok is false when the
// flow is not held or no balancer is left.
func (f *Flows) Answered(now time.Time, key pollenflow.Key) (balancer netip.AddrPort, ok bool) {
	r, held := f.records[key]
	if !held || !f.serving {
		return netip.AddrPort{}, false
	}
	r.Seen = now
	if !r.Established {
		r.Established = true
		f.config.Limiter.End(now, pollenadmission.SignalSuccess)
	}
	return f.answerRoute(r)
}

// answerRoute returns the flow's last balancer, or another one when that is
// gone or its failure domain is out.
func (f *Flows) answerRoute(r *Record) (netip.AddrPort, bool) {
	for i := range f.balancers {
		if f.balancers[i].Address == r.Balancer {
			return r.Balancer, true
		}
	}
	if len(f.balancers) == 0 {
		return r.Balancer, r.Balancer.IsValid()
	}
	return f.AnyBalancer()
}

// AnyBalancer returns a balancer for a packet that belongs to no held flow; ok
// is false when there is none.
func (f *Flows) AnyBalancer() (balancer netip.AddrPort, ok bool) {
	if len(f.balancers) == 0 {
		return netip.AddrPort{}, false
	}
	return f.balancers[f.random.IntN(len(f.balancers))].Address, true
}

// Failed notes that the backend server refused the flow's packet. A flow that
// was being opened is given up, so that the caller's next packet finds another
// backend server.
func (f *Flows) Failed(now time.Time, key pollenflow.Key) (closed *Record, ok bool) {
	r, held := f.records[key]
	if !held || r.Established {
		return nil, false
	}
	f.config.Limiter.Learn(now, pollenadmission.SignalRefused)
	f.close(now, r, pollenadmission.SignalRefused)
	return r, true
}

// close drops a record.
func (f *Flows) close(now time.Time, r *Record, signal pollenadmission.Signal) {
	delete(f.records, r.Key)
	f.config.Limiter.CloseFlow()
	if !r.Established {
		f.config.Limiter.End(now, signal)
	}
	f.keeping.changed(r.Key)
}

// Load returns the agent's own load.
func (f *Flows) Load() pollenflow.Load {
	u := f.config.Limiter.Usage()
	return pollenflow.Load{
		Name: f.config.Self.Name, Incarnation: f.config.Self.Incarnation,
		Running: u.Running, Limit: u.Limit, Flows: u.Flows, FlowLimit: u.Connections,
	}
}

// Loads returns what is known of the peers' loads.
func (f *Flows) Loads() *pollenflow.Loads { return f.loads }

// Record returns the flow with the key.
func (f *Flows) Record(key pollenflow.Key) (*Record, bool) {
	r, ok := f.records[key]
	return r, ok
}

// Len returns the numbers of held flows and of directory entries.
func (f *Flows) Len() (held, directory int) { return len(f.records), f.directory.Len() }
