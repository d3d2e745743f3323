// Package pollensteer implements the steering decisions of a balancer: to which
// gate each packet of a flow is sent. The state that it decides on may be stale.
// The gate at the backend server makes the final decision and returns packets
// that it does not accept.
package pollensteer

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenegress"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenpeer"
	"pollenstep.example/pollenstep/pollenshare"
	"pollenstep.example/pollenstep/pollenview"
)

// A Verdict is the action to take on a packet.
type Verdict string

// Values of Verdict.
const (
	// VerdictPass sends the packet to one gate.
	VerdictPass Verdict = "pass"
	// VerdictSearch queries every gate in Decision.Gates for the flow.
	VerdictSearch Verdict = "search"
	// VerdictReset resets the flow at the caller.
	VerdictReset Verdict = "reset"
	// VerdictBuffer buffers an opening packet until the balancer has the state to
	// place it.
	VerdictBuffer Verdict = "hold"
	// VerdictDrop drops the packet; the caller retransmits it.
	VerdictDrop Verdict = "drop"
)

// A Decision is the result of steering one packet.
type Decision struct {
	Verdict Verdict
	// Reason is why the packet was not passed, and RefusalNone if it was.
	Reason pollenkernel.Refusal
	// Retry is set for a retransmission of an opening packet that is sent to
	// another gate than the transmission before it.
	Retry pollenkernel.Retry
	// Gate is set for VerdictPass.
	Gate netip.AddrPort
	// Gates is set for VerdictSearch.
	Gates []netip.AddrPort
	// Service is the ServiceHash of the service that is routed to. It is zero for
	// packets of open flows, which stay at their gate.
	Service uint32
	// Placed reports whether Gate was chosen for a new flow. Load is then the
	// estimated unfinished work at the gate, in requests, and LoadAge the age of
	// the heartbeat that it is based on.
	Placed  bool
	Load    float64
	LoadAge time.Duration
	// Class and Route are the class and the route of a packet that is passed, on a link
	// that is shaped; Class is empty on any other.
	Class pollenegress.Class
	Route pollenegress.Route
	// Minimum marks an opening packet of a flow that is passed although no gate admits
	// its priority, because one in ten must be. The gate must not decline it for its
	// priority.
	Minimum bool
	// Away reports whether a placed flow leaves the failure domain of the balancer.
	Away bool
}

// Limits of the flow cache.
const (
	// maxCachedFlows bounds the entries of the flow cache. At 90 bytes each they
	// take at most 18 MB.
	maxCachedFlows = 200_000
	// flowIdleTimeout is how long an entry is cached after the last packet of its
	// flow. The holder of a flow that is idle for longer is searched again.
	flowIdleTimeout = 20 * time.Second
	// sweepInterval is the time between two sweeps of the flow cache.
	sweepInterval = 2 * time.Second
)

// startupGrace is the time after its start within which a balancer cannot
// conclude that no server accepts a flow: gates and balancers that start at the
// same time discover each other within it. Until then opening packets are
// buffered, since a reset would use up one of the caller's few retries.
const startupGrace = 1200 * time.Millisecond

// A Config holds the settings of a Balancer.
type Config struct {
	Domain pollendocument.DomainName
	// StartTime is when the process started.
	StartTime time.Time
	// Seed seeds the random choices, so that they can be reproduced.
	Seed uint64
	// LinkRate is the rate of the host's link in bits per second; zero means that
	// it is unknown.
	LinkRate float64
	// Policy chooses the gates of new flows; the default is PolicyTwoChoices.
	Policy PolicyName
}

// A Balancer makes the steering decisions of one balancer. It is not safe for
// concurrent use.
type Balancer struct {
	config Config
	random *rand.Rand
	policy policy
	routes map[netip.AddrPort]*route
	// revision is the revision of the view that routes was built from.
	revision  pollenview.Revision
	evacuated []pollendocument.DomainName
	// gates is keyed by address; services holds the same gates by service,
	// sorted by address.
	gates     map[netip.AddrPort]*gate
	services  map[pollendocument.ServiceName][]*gate
	flowCache map[key]flowEntry
	lastSweep time.Time
	// freshAge is the age up to which a gate's last sign of life counts as current,
	// and gatesComplete is set while no gate can be missing for want of a relay.
	freshAge      time.Duration
	gatesComplete bool
	// checkedAt is when SetGateKnowledge was last called, and steadySince since when that has
	// been the case without a pause; zero before the first call.
	checkedAt, steadySince time.Time
	// systemRestarted is set while every known peer has just started.
	systemRestarted bool
	budget          budget
	// lostFlowsTaken is set once TakeLostFlows has collected the lost flows.
	lostFlowsTaken bool
	// repeating holds the flows whose unanswered queries are repeated without a packet
	// of their callers, at most maxRepeating.
	repeating []key
	// batch counts the queries to each gate while searches are batched, and is nil
	// otherwise.
	batch map[netip.AddrPort]int
	// dueSearches is the number of searches that wait for the next batch.
	dueSearches int
	// gateBuffer holds the gates that a search is about to query, and rankBuffer backs
	// the result of the method rank.
	gateBuffer []netip.AddrPort
	rankBuffer rank
	// admission decides on flows of upload routes; nil while the link is not shaped.
	admission *pollenegress.Admission[key]
	// uploads divides the link of admission between callers by expected bytes.
	uploads  *pollenshare.Table[netip.Addr]
	priority priorityState
	groupSet
}

// A route is a route of the view, with the sum of the weights of its shares and
// the ServiceHash of the service of each share.
type route struct {
	pollendocument.Route
	weight int
	hashes []uint32
	shaping
}

// A gate is the state of a gate from its last heartbeat, updated by the packets
// that were sent to it and declined by it since.
type gate struct {
	address netip.AddrPort
	// hash is the hash of the address in text form.
	hash     uint64
	domain   pollendocument.DomainName
	server   pollenpeer.Server
	leaving  bool
	lastSeen time.Time
	// unreachable is set while the gate reports that it receives nothing from this
	// process.
	unreachable bool
	// sentOpenings counts the opening packets sent since the last heartbeat.
	sentOpenings int
	// removed is set once the gate is removed from the balancer; flow entries may
	// still point to it.
	removed bool
	gateSpeed
}

// New returns a new Balancer. It panics if the policy is not registered, which
// is a programming error.
func New(config Config) *Balancer {
	if config.Policy == "" {
		config.Policy = PolicyTwoChoices
	}
	policy, err := policies.Lookup(string(config.Policy))
	if err != nil {
		panic(err)
	}
	return &Balancer{
		config: config, policy: policy, priority: priorityState{callers: pollenshare.New[netip.Addr]()}, freshAge: pollenpeer.FreshAge, gatesComplete: true, budget: newBudget(config.LinkRate), random: rand.New(rand.NewPCG(config.Seed, 1)),
		routes: map[netip.AddrPort]*route{}, gates: map[netip.AddrPort]*gate{},
		services: map[pollendocument.ServiceName][]*gate{}, flowCache: map[key]flowEntry{},
		groupSet: groupSet{groups: map[pollendocument.ServiceName]*group{}},
	}
}

// SetView replaces the routes and the evacuated failure domains by those of the
// view. A view older than the one in use is ignored.
func (b *Balancer) SetView(v *pollenview.View) {
	if v.Revision < b.revision {
		return
	}
	b.revision = v.Revision
	b.evacuated = v.Evacuated
	b.routes = make(map[netip.AddrPort]*route, len(v.Declared.Routes))
	for _, r := range v.Declared.Routes {
		rebuilt := &route{Route: r}
		for _, s := range r.Shares {
			rebuilt.weight += s.Weight
			rebuilt.hashes = append(rebuilt.hashes, ServiceHash(s.Service))
		}
		b.routes[r.Address] = rebuilt
	}
	b.setShaping(&v.Declared)
}

// Revision returns the revision of the view in use; zero before the first one.
func (b *Balancer) Revision() pollenview.Revision { return b.revision }

// SetGate adds or updates a gate by the content of its heartbeat, and by the time of
// its last sign of life. A gate whose service has changed is replaced, and cached
// flows no longer refer to it.
func (b *Balancer) SetGate(seen time.Time, p *pollenpeer.Peer) {
	g := b.gates[p.Address]
	if g != nil && g.server.Service != p.Server.Service {
		b.RemoveGate(p.Address)
		g = nil
	}
	if g == nil {
		text := p.Address.AppendTo(make([]byte, 0, 64))
		g = &gate{address: p.Address, hash: xxhash.Sum64(text)}
		b.gates[p.Address] = g
		list := b.services[p.Server.Service]
		at, _ := slices.BinarySearchFunc(list, p.Address, func(g *gate, a netip.AddrPort) int { return g.address.Compare(a) })
		b.services[p.Server.Service] = slices.Insert(list, at, g)
	}
	b.setAdmitBelow(g, p.Server.AdmitBelow)
	b.markMoved(g, p)
	g.domain, g.server, g.leaving, g.lastSeen, g.sentOpenings = p.Domain, p.Server, p.Leaving, seen, 0
}

// SetReachable sets whether the gate at the address receives what this process sends.
func (b *Balancer) SetReachable(address netip.AddrPort, reachable bool) {
	if g := b.gates[address]; g != nil {
		g.unreachable = !reachable
	}
}

// SetSeen records a later sign of life of a gate that comes without news about its
// load. Half of the openings that were sent since count as finished.
func (b *Balancer) SetSeen(address netip.AddrPort, seen time.Time) {
	if g := b.gates[address]; g != nil && seen.After(g.lastSeen) {
		g.lastSeen = seen
		g.sentOpenings /= 2
	}
}

// HasGate reports whether the gate at the address is known.
func (b *Balancer) HasGate(address netip.AddrPort) bool { return b.gates[address] != nil }

// RemoveGate removes a gate. An unknown address is ignored.
func (b *Balancer) RemoveGate(a netip.AddrPort) {
	g := b.gates[a]
	if g == nil {
		return
	}
	b.setAdmitBelow(g, 0)
	g.removed = true
	delete(b.gates, a)
	list := b.services[g.server.Service]
	b.services[g.server.Service] = slices.DeleteFunc(list, func(o *gate) bool { return o == g })
	b.markRegroup(g.server.Service)
}

// Steer decides what to do with a packet received from a caller.
func (b *Balancer) Steer(now time.Time, p *pollenpacket.Packet) Decision {
	if b.revision == 0 {
		return bufferOrDrop(p, pollenkernel.RefusalStaleView)
	}
	r, ok := b.routes[p.Flow.Service]
	if !ok && now.Sub(b.config.StartTime) < startupGrace {
		// The view that a host loads from its disk may lack the newest routes.
		return bufferOrDrop(p, pollenkernel.RefusalNoRoute)
	}
	if !ok {
		return resetOrDrop(p, pollenkernel.RefusalNoRoute)
	}
	k := keyOf(p.Flow)
	e, known := b.flowCache[k]
	if known && (e.gate == nil || e.gate.removed) {
		known = false
	}
	if p.Opening() {
		return b.steerOpening(now, k, r, p, e, known)
	}
	if !known {
		e.acknowledged, e.lastPacket, e.urgent = p.Acknowledged, now, urgent(p)
		return b.search(now, k, r, e, e.urgent)
	}
	e.lastPacket = now
	b.flowCache[k] = e
	e.gate.countPacket()
	return b.pass(now, k, r, p, e.gate)
}

// HandleDeclined decides what to do with a packet that a gate declined and
// returned.
func (b *Balancer) HandleDeclined(now time.Time, from netip.AddrPort, h pollenlink.Header, p *pollenpacket.Packet) Decision {
	r, ok := b.routes[p.Flow.Service]
	if !ok {
		return resetOrDrop(p, pollenkernel.RefusalNoRoute)
	}
	k := keyOf(p.Flow)
	cached := b.flowCache[k]
	decliner := b.gates[from]
	if !p.Opening() {
		if cached.gate != nil && !cached.gate.removed && cached.gate != decliner {
			cached.lastPacket = now
			b.flowCache[k] = cached
			return b.pass(now, k, r, p, cached.gate)
		}
		return b.HandleNotFound(now, from, p)
	}
	if decliner != nil {
		decliner.applyRefusal(h.Reason)
		b.recordPriorityRefusal(decliner, &h, r, p)
	}
	if openedElsewhere(&cached, p, decliner) {
		if h.Reason == pollenkernel.RefusalNoSlots {
			cached.declinedTransmissions |= transmissionBit(p)
			b.flowCache[k] = cached
		}
		return Decision{Verdict: VerdictDrop, Reason: h.Reason}
	}
	if h.Reason == pollenkernel.RefusalPriority && p.Acknowledged > 0 {
		// Other gates would most likely decline the retransmission too.
		return b.recordPlaced(now, k, r, Decision{Verdict: VerdictDrop, Reason: h.Reason})
	}
	if h.Reason == pollenkernel.RefusalNoSlots && h.Hops >= maxBusyHops {
		return b.recordPlaced(now, k, r, b.handleAllBusy(k, p, cached))
	}
	if h.Hops >= maxHops {
		return b.recordPlaced(now, k, r, b.rejectOpening(now, p, &cached, pollenkernel.RefusalHopLimit))
	}
	return b.recordPlaced(now, k, r, b.place(now, k, r, p, cached, int(h.Hops), decliner))
}

// RecordHolder caches the gate that reported that it holds the flow. A report
// from an unknown gate is ignored.
func (b *Balancer) RecordHolder(now time.Time, from netip.AddrPort, f pollenpacket.Flow) {
	g := b.gates[from]
	if g == nil {
		return
	}
	b.cacheFlow(keyOf(f), flowEntry{gate: g, lastPacket: now})
}

// cacheFlow stores the entry of a flow. If the cache is full, it evicts an
// arbitrary entry.
func (b *Balancer) cacheFlow(k key, e flowEntry) {
	if _, known := b.flowCache[k]; !known && len(b.flowCache) >= maxCachedFlows {
		for old := range b.flowCache {
			delete(b.flowCache, old)
			break
		}
	}
	b.flowCache[k] = e
}

// Sweep evicts the cached flows that are idle or whose gate was removed. It does
// nothing within sweepInterval of the previous sweep.
func (b *Balancer) Sweep(now time.Time) {
	if now.Sub(b.lastSweep) < sweepInterval {
		return
	}
	b.lastSweep = now
	for k, e := range b.flowCache {
		if now.Sub(e.lastPacket) >= flowIdleTimeout || (e.gate != nil && e.gate.removed) {
			delete(b.flowCache, k)
		}
	}
}

// CachedFlows returns the number of entries in the flow cache.
func (b *Balancer) CachedFlows() int { return len(b.flowCache) }

// GateCount returns the number of known gates.
func (b *Balancer) GateCount() int { return len(b.gates) }
