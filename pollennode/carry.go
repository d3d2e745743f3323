package pollennode

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenrecord"
	"pollenstep.example/pollenstep/pollensteer"
)

// A pending packet waits, as a datagram, until the holder of its flow is found.
type pending struct {
	datagram []byte
	at       time.Time
}

// Limits of pending and held packets.
const (
	// maxPending and maxHeld bound the packets of either kind; at 1.3 KB each
	// they take less than a megabyte.
	maxPending = 512
	maxHeld    = 512
	// pendingFor is longer than a search takes; the caller's own copy comes then.
	pendingFor = 300 * time.Millisecond
	// heldFor is the longest time between two copies of an opening packet.
	heldFor = 400 * time.Millisecond
)

// forget drops packets that wait for longer than the time.
func forget(now time.Time, packets map[pollenpacket.Flow]pending, after time.Duration) {
	for f, p := range packets {
		if now.Sub(p.at) >= after {
			delete(packets, f)
		}
	}
}

// carryOut does what was decided on a packet.
func (b *Balancer) carryOut(
	now time.Time, p *pollenpacket.Packet, d *pollensteer.Decision, h pollenlink.Header, datagram []byte,
) {
	if p.Opening() || d.Verdict == pollensteer.VerdictReset {
		b.logDecision(now, p, d, h)
	}
	if d.Reason != pollenkernel.RefusalNone {
		b.metrics.CountRefusal(d.Reason)
	}
	if d.Retry != "" {
		b.metrics.CountRetry(d.Retry)
	}
	h.Service = d.Service
	h.Reason = pollenkernel.RefusalNone
	switch d.Verdict {
	case pollensteer.VerdictPass:
		h.Kind = pollenlink.KindPass
		h.Put(datagram)
		b.settings.Format.SetMark(datagram[pollenlink.HeaderSize:], markOf(b.settings.Node))
		b.outlet.SendToNode(d.Gate, datagram)
	case pollensteer.VerdictSearch:
		b.search(now, p, d, h, datagram)
	case pollensteer.VerdictReset:
		b.reset(p)
	case pollensteer.VerdictBuffer:
		b.hold(now, p, datagram)
	case pollensteer.VerdictDrop:
	}
}

// hold keeps an opening packet until a message tells this host more.
func (b *Balancer) hold(now time.Time, p *pollenpacket.Packet, datagram []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, known := b.held[p.Flow]; known || len(b.held) < maxHeld {
		b.held[p.Flow] = pending{datagram: slices.Clone(datagram), at: now}
	}
}

// release steers the held packets that can be placed by now.
func (b *Balancer) release(now time.Time) {
	type released struct {
		packet   pollenpacket.Packet
		decision pollensteer.Decision
		datagram []byte
	}
	var ready []released
	b.mu.Lock()
	if len(b.held) == 0 {
		// Every message that arrives comes by here.
		b.mu.Unlock()
		return
	}
	revision := b.steer.Revision()
	// In order, so that an emulation repeats.
	for _, f := range slices.SortedFunc(maps.Keys(b.held), pollenpacket.Flow.Compare) {
		h := b.held[f]
		p, _ := b.settings.Format.ParseFromCaller(h.datagram[pollenlink.HeaderSize:])
		if d := b.steer.Steer(now, &p); d.Verdict != pollensteer.VerdictBuffer {
			ready = append(ready, released{p, d, h.datagram})
			delete(b.held, f)
		}
	}
	b.mu.Unlock()
	for i := range ready {
		r := &ready[i]
		b.carryOut(now, &r.packet, &r.decision, pollenlink.Header{Revision: revision}, r.datagram)
	}
}

// search asks gates whether they hold the flow, and keeps its packet meanwhile.
// A question is a twentieth of a packet, and a service may have many gates.
func (b *Balancer) search(
	now time.Time, p *pollenpacket.Packet, d *pollensteer.Decision, h pollenlink.Header, datagram []byte,
) {
	b.metrics.CountRetry(pollenkernel.RetryFlowSearch)
	if !pollenlink.IsFlowOnly(datagram) {
		b.mu.Lock()
		if len(b.pending) < maxPending {
			b.pending[p.Flow] = pending{datagram: slices.Clone(datagram), at: now}
		}
		b.mu.Unlock()
	}
	h.Kind = pollenlink.KindQuery
	query := make([]byte, pollenlink.HeaderSize, 2*pollenlink.HeaderSize)
	h.Put(query)
	query = pollenlink.AppendQuery(query, p.Flow, p.Acknowledged)
	for _, g := range d.Gates {
		b.outlet.SendToNode(g, query)
	}
}

// takeFlow takes what a gate says of a flow without a packet of it.
func (b *Balancer) takeFlow(now time.Time, from netip.AddrPort, h pollenlink.Header, f pollenpacket.Flow, datagram []byte) {
	p := pollenpacket.Packet{Flow: f, ACK: true}
	b.mu.Lock()
	waiting, found := b.pending[f]
	var d pollensteer.Decision
	switch h.Kind {
	case pollenlink.KindHolder:
		b.steer.RecordHolder(now, from, f)
		delete(b.pending, f)
	case pollenlink.KindNotFound:
		d = b.steer.HandleFlowNotFound(now, from, &p)
	default:
	}
	h.Revision = b.steer.Revision()
	b.mu.Unlock()
	packet := waiting.datagram
	switch {
	case h.Kind == pollenlink.KindNotFound:
		b.carryOut(now, &p, &d, h, datagram)
	case !found:
	case h.Kind == pollenlink.KindHolder:
		h.Kind = pollenlink.KindPass
		h.Put(packet)
		b.settings.Format.SetMark(packet[pollenlink.HeaderSize:], markOf(b.settings.Node))
		b.outlet.SendToNode(from, packet)
	case h.Kind == pollenlink.KindNeedsPacket:
		h.Kind = pollenlink.KindSearch
		h.Put(packet)
		b.settings.Format.SetMark(packet[pollenlink.HeaderSize:], 0)
		b.outlet.SendToNode(from, packet)
	}
}

// markOf returns the mark by which a gate finds the balancer that passed a
// packet: its IPv4 address.
func markOf(node netip.AddrPort) uint32 {
	ip := node.Addr().As4()
	return uint32(ip[0])<<24 | uint32(ip[1])<<16 | uint32(ip[2])<<8 | uint32(ip[3])
}

func (b *Balancer) logDecision(now time.Time, p *pollenpacket.Packet, d *pollensteer.Decision, h pollenlink.Header) {
	if !b.record.AllowDecision(now) {
		return
	}
	b.record.Decision("flow steered", pollenrecord.Fields{
		"caller": p.Flow.Caller, "service": p.Flow.Service, "copy": p.Acknowledged, "opening": p.Opening(),
		"verdict": d.Verdict, "reason": d.Reason, "gate": d.Gate, "load": d.Load, "age": d.LoadAge.String(),
		"hops": h.Hops, "declined": h.Reason, "revision": h.Revision,
	})
}
