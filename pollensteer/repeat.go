package pollensteer

import (
	"net/netip"
	"time"

	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenpacket"
)

// A Repeat is a search whose queries are repeated without a packet of the caller.
type Repeat struct {
	// Packet names the flow and the position that its caller last acknowledged.
	Packet pollenpacket.Packet
	// Decision is VerdictDrop if there is nothing to query now. Gates may have to be sent
	// a packet nevertheless; see TakeProbes.
	Decision Decision
}

// repeat adds a flow to those whose unanswered queries are repeated.
func (b *Balancer) repeat(k key, e *flowEntry) {
	if !e.repeating && len(b.repeating) < maxRepeating {
		e.repeating = true
		b.repeating = append(b.repeating, k)
	}
}

// RepeatSearches returns the searches that continue without a packet of the caller, in the
// order in which they began. While gates wait for a packet, a search whose rounds were as
// far apart as the caller's retransmissions would delay the flow for more than a second.
// On a low-bandwidth link all searches continue, as they widen in more steps there. The
// repeated queries leave half of the budget to the first ones of other searches.
func (b *Balancer) RepeatSearches(now time.Time) []Repeat {
	if len(b.repeating) == 0 {
		return nil
	}
	var limit repeatLimit
	if b.SlowLink() {
		b.batch = map[netip.AddrPort]int{}
		defer func() { b.batch = nil }()
		// With less than half of the budget, a batch would hold few flows for each gate.
		limit.all = b.budget.Level(now) < b.budget.Capacity()/2
	}
	b.dueSearches = 0
	var repeats []Repeat
	kept := b.repeating[:0]
	for _, k := range b.repeating {
		repeat, ok := b.repeatSearch(now, k, &limit)
		if !ok {
			continue
		}
		kept = append(kept, k)
		e := b.flowCache[k]
		if e.due {
			b.dueSearches++
		}
		if e.waiting() || repeat.Decision.Verdict != VerdictDrop {
			repeats = append(repeats, repeat)
		}
	}
	b.repeating = kept
	return repeats
}

// A repeatLimit states which searches the budget refuses for the rest of a call of
// RepeatSearches: all, or those whose gates were queried before.
type repeatLimit struct{ all, repeated bool }

// repeatSearch continues the search for one flow. It returns false, and the flow is no
// longer repeated, if only a packet of the caller continues the search.
func (b *Balancer) repeatSearch(now time.Time, k key, limit *repeatLimit) (Repeat, bool) {
	e, known := b.flowCache[k]
	if !known || !e.repeating {
		return Repeat{}, false
	}
	f, _ := pollenlink.ReadFlow(k[:])
	r, routed := b.routes[f.Service]
	if !routed || (e.gate != nil && !e.gate.removed) || now.Sub(e.lastPacket) >= repeatTimeout || !b.repeats(&e) {
		return Repeat{}, b.endRepeat(k)
	}
	repeat := Repeat{
		Packet:   pollenpacket.Packet{Flow: f, ACK: true, Acknowledged: e.acknowledged},
		Decision: Decision{Verdict: VerdictDrop},
	}
	first := e.urgent && e.queriedAt.IsZero()
	if limit.all || (limit.repeated && !first) || now.Sub(e.queriedAt) < b.timeout(e.scope) || (!e.due && e.exhausted(now)) {
		return repeat, true
	}
	d := b.search(now, k, r, e, first)
	switch {
	case d.Verdict != VerdictDrop:
		repeat.Decision = d
	case d.Reason == pollenkernel.RefusalSearchLimit:
		limit.all, limit.repeated = first, true
	case len(b.gateBuffer) == 0:
		// Every gate has answered.
		return Repeat{}, b.endRepeat(k)
	}
	return repeat, true
}

// endRepeat marks a flow as no longer repeated, and returns false.
func (b *Balancer) endRepeat(k key) bool {
	e := b.flowCache[k]
	e.repeating, e.due = false, false
	b.flowCache[k] = e
	return false
}

// repeats reports whether the queries of a search are repeated. Those of a wide scope
// without gates that wait for a packet are repeated twice, and then by the caller's
// packets only.
func (b *Balancer) repeats(e *flowEntry) bool {
	return e.due || e.waiting() || (b.SlowLink() && (e.scope.narrow() || e.rounds < maxRounds))
}
