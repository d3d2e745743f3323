// Package pollensteer decides, at a balancer, where each packet of a flow goes.
// What it knows may be outdated: the gate beside the backend server decides
// last, and sends back what it does not take.
package pollensteer

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenpeer"
	"pollenstep.example/pollenstep/pollenview"
)

// A Verdict says what happens to a packet.
type Verdict string

// Verdicts.
const (
	// VerdictPass sends the packet to one gate.
	VerdictPass Verdict = "pass"
	// VerdictSearch sends it to every gate that may hold the flow.
	VerdictSearch Verdict = "search"
	// VerdictReset ends the flow at the caller.
	VerdictReset Verdict = "reset"
	// VerdictHold keeps an opening packet until more is known.
	VerdictBuffer Verdict = "hold"
	// VerdictDrop leaves the packet to the caller's retransmission.
	VerdictDrop Verdict = "drop"
)

// A Decision is the outcome for one packet.
type Decision struct {
	Verdict Verdict
	// Reason says why the packet was not passed as it came.
	Reason pollenkernel.Refusal
	// Retry is set for a copy of an opening packet that goes elsewhere.
	Retry pollenkernel.Retry
	// Gate is set for VerdictPass.
	Gate netip.AddrPort
	// Gates is set for VerdictSearch; it is valid until the next decision.
	Gates []netip.AddrPort
	// Service is the hash of the service that is routed to, and zero for packets
	// of open flows, which stay where they are.
	Service uint32
	// Chosen tells that Gate was chosen for a new flow, by Load at the age of
	// its beat.
	Placed  bool
	Load    float64
	LoadAge time.Duration
}

// Limits of the hints.
const (
	// maxHints bounds the flows that a balancer remembers the holder of; at 90
	// bytes each they take 18 MB at most.
	maxHints = 200_000
	// hintIdle is how long a hint outlives the last packet of its flow; a flow
	// that is silent for longer is searched again.
	hintIdle = 20 * time.Second
	// sweepInterval is the time between two sweeps of the hints.
	sweepInterval = 2 * time.Second
)

// settleTime is how long after its start a balancer cannot know that no server
// takes a flow: gates and balancers that start together find each other within
// it. Until then an opening packet is held, since a reset would use up one of
// its caller's few retries.
const settleTime = 1200 * time.Millisecond

// A Config holds the settings of a Balancer.
type Config struct {
	Domain pollendocument.DomainName
	// Begun is when the process started.
	StartTime time.Time
	// Seed makes the choices repeatable.
	Seed uint64
	// Link is what the host's link carries, in bits a second; zero means that it
	// is not known.
	LinkRate float64
	// Policy chooses the gates of new flows; the default is PolicyTwoChoices.
	Policy PolicyName
}

// A Balancer decides on packets. It is not safe for concurrent use.
type Balancer struct {
	config Config
	random *rand.Rand
	policy policy
	routes map[netip.AddrPort]*route
	// revision is that of the view that routes were made from.
	revision pollenview.Revision
	emptied  []pollendocument.DomainName
	// gates is keyed by address; services holds the same gates by service,
	// sorted by address.
	gates    map[netip.AddrPort]*gate
	services map[pollendocument.ServiceName][]*gate
	hints    map[key]hint
	swept    time.Time
	// restarted is set while every known peer has just started.
	restarted bool
	budget    budget
	// settled is set once Gone has found every gate known.
	settled bool
	// list is the memory of Decision.Gates, and ranked that of rank.
	list   []netip.AddrPort
	ranked rank
}

type key [12]byte

// A hint says who was last believed to hold a flow.
type hint struct {
	gate *gate
	// used is when the flow's last packet came.
	used time.Time
	// acknowledged is what the caller's last packet did.
	acknowledged uint32
	// reach is that of the flow's search; empty before it.
	reach reach
	// asked is when the gates that are not in absent were last asked.
	asked time.Time
	// absent holds the gates that were searched and do not hold the flow.
	absent []*gate
	// declined has the bit of each copy of the opening packet that came back from
	// busy gates only.
	declined uint8
}

type route struct {
	pollendocument.Route
	weight int
	hashes []uint32
}

type gate struct {
	address netip.AddrPort
	// hash is that of the address.
	hash    uint64
	domain  pollendocument.DomainName
	server  pollenpeer.Server
	leaving bool
	heard   time.Time
	// sent counts the opening packets since the last beat.
	sent int
	// gone is set when the gate is no longer known.
	gone bool
}

// New returns a new Balancer. It panics when the policy is not registered, which
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
		config: config, policy: policy, budget: newBudget(config.StartTime, config.LinkRate), random: rand.New(rand.NewPCG(config.Seed, 1)),
		routes: map[netip.AddrPort]*route{}, gates: map[netip.AddrPort]*gate{},
		services: map[pollendocument.ServiceName][]*gate{}, hints: map[key]hint{},
	}
}

// ServiceHash returns the hash by which nodes tell services apart.
func ServiceHash(name pollendocument.ServiceName) uint32 {
	return uint32(xxhash.Sum64String(string(name))) | 1
}

// SetView replaces routes and emptied failure domains. An older view is
// ignored.
func (b *Balancer) SetView(v *pollenview.View) {
	if v.Revision < b.revision {
		return
	}
	b.revision = v.Revision
	b.emptied = v.Evacuated
	b.routes = make(map[netip.AddrPort]*route, len(v.Declared.Routes))
	for _, r := range v.Declared.Routes {
		made := &route{Route: r}
		for _, s := range r.Shares {
			made.weight += s.Weight
			made.hashes = append(made.hashes, ServiceHash(s.Service))
		}
		b.routes[r.Address] = made
	}
}

// Revision returns the revision of the view in use.
func (b *Balancer) Revision() pollenview.Revision { return b.revision }

// SetGate records what a gate tells of itself.
func (b *Balancer) SetGate(now time.Time, p *pollenpeer.Peer) {
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
	g.domain, g.server, g.leaving, g.heard, g.sent = p.Domain, p.Server, p.Leaving, now, 0
}

// RemoveGate forgets a gate.
func (b *Balancer) RemoveGate(a netip.AddrPort) {
	g := b.gates[a]
	if g == nil {
		return
	}
	g.gone = true
	delete(b.gates, a)
	list := b.services[g.server.Service]
	b.services[g.server.Service] = slices.DeleteFunc(list, func(o *gate) bool { return o == g })
}

func keyOf(f pollenpacket.Flow) (k key) {
	var buffer [12]byte
	pollenlink.AppendFlow(buffer[:0], f)
	return key(buffer)
}

// Steer decides on a packet that came from a caller.
func (b *Balancer) Steer(now time.Time, p *pollenpacket.Packet) Decision {
	if b.revision == 0 {
		return wait(p, pollenkernel.RefusalStaleView)
	}
	r, ok := b.routes[p.Flow.Service]
	if !ok && now.Sub(b.config.StartTime) < settleTime {
		// The view that a host finds on its disk may lack the newest routes.
		return wait(p, pollenkernel.RefusalNoRoute)
	}
	if !ok {
		return refuse(p, pollenkernel.RefusalNoRoute)
	}
	k := keyOf(p.Flow)
	h, known := b.hints[k]
	if known && (h.gate == nil || h.gate.gone) {
		known = false
	}
	if p.Opening() {
		return b.open(now, k, r, p, h, known)
	}
	if !known {
		h.acknowledged = p.Acknowledged
		return b.search(now, k, r, h, urgent(p))
	}
	h.used = now
	b.hints[k] = h
	return Decision{Verdict: VerdictPass, Gate: h.gate.address}
}

// Declined decides on a packet that a gate sent back.
func (b *Balancer) HandleDeclined(now time.Time, from netip.AddrPort, h pollenlink.Header, p *pollenpacket.Packet) Decision {
	r, ok := b.routes[p.Flow.Service]
	if !ok {
		return refuse(p, pollenkernel.RefusalNoRoute)
	}
	k := keyOf(p.Flow)
	known := b.hints[k]
	decliner := b.gates[from]
	if !p.Opening() {
		if known.gate != nil && !known.gate.gone && known.gate != decliner {
			known.used = now
			b.hints[k] = known
			return Decision{Verdict: VerdictPass, Gate: known.gate.address}
		}
		return b.HandleNotFound(now, from, p)
	}
	if decliner != nil {
		decliner.learn(h.Reason)
	}
	if h.Reason == pollenkernel.RefusalNoSlots && h.Hops >= busyHops {
		return b.allBusy(now, k, p, known)
	}
	if h.Hops >= maxHops {
		return refuse(p, pollenkernel.RefusalHopLimit)
	}
	return b.place(now, k, r, p, known, int(h.Hops), decliner)
}

// Held records who holds a flow.
func (b *Balancer) RecordHolder(now time.Time, from netip.AddrPort, f pollenpacket.Flow) {
	g := b.gates[from]
	if g == nil {
		return
	}
	b.remember(keyOf(f), hint{gate: g, used: now})
}

func (b *Balancer) remember(k key, h hint) {
	if _, known := b.hints[k]; !known && len(b.hints) >= maxHints {
		for old := range b.hints {
			delete(b.hints, old)
			break
		}
	}
	b.hints[k] = h
}

// Sweep forgets flows that were silent for long.
func (b *Balancer) Sweep(now time.Time) {
	if now.Sub(b.swept) < sweepInterval {
		return
	}
	b.swept = now
	for k, h := range b.hints {
		if now.Sub(h.used) >= hintIdle || (h.gate != nil && h.gate.gone) {
			delete(b.hints, k)
		}
	}
}

// Flows returns the number of flows whose holder is remembered.
func (b *Balancer) CachedFlows() int { return len(b.hints) }

// Gates returns the number of gates that are known.
func (b *Balancer) GateCount() int { return len(b.gates) }
