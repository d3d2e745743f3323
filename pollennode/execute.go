package pollennode

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollenegress"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenrecord"
	"pollenstep.example/pollenstep/pollensteer"
)

// A bufferedPacket is the datagram of a packet that waits until it can be passed
// to a gate.
type bufferedPacket struct {
	datagram   []byte
	bufferedAt time.Time
}

// Limits of buffered packets.
const (
	// maxSearchBuffer and maxOpeningBuffer bound the number of packets in the two
	// buffers; at 1.3 KB each, the packets of a buffer take less than a megabyte.
	maxSearchBuffer  = 512
	maxOpeningBuffer = 512
	// searchBufferTime is longer than a search takes; after it the caller's own
	// retransmission arrives.
	searchBufferTime = 300 * time.Millisecond
	// searchRefreshTime is the age from which a buffered packet is replaced by a later
	// one of its flow: the caller's first retransmission comes after 200 ms. Earlier
	// packets of the flow belong to the same window, of which the first is kept.
	searchRefreshTime = 150 * time.Millisecond
	// openingBufferTime is the longest time between two transmissions of an opening
	// packet.
	openingBufferTime = 400 * time.Millisecond
)

// evictExpired removes packets that have been buffered for maxAge or longer.
func evictExpired(now time.Time, packets map[pollenpacket.Flow]bufferedPacket, maxAge time.Duration) {
	for f, p := range packets {
		if now.Sub(p.bufferedAt) >= maxAge {
			delete(packets, f)
		}
	}
}

// execute carries out the decision on a packet.
func (b *Balancer) execute(
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
	b.countPlacement(d)
	h.Service = d.Service
	h.Reason = pollenkernel.RefusalNone
	switch d.Verdict {
	case pollensteer.VerdictPass:
		h.Kind = pollenlink.KindPass
		if d.Minimum {
			h.Reason = pollenkernel.RefusalPriority
		}
		h.Put(datagram)
		b.settings.Format.SetMark(datagram[pollenlink.HeaderSize:], markOf(b.settings.Node))
		b.sendPacket(d.Class, d.Route, d.Gate, datagram)
	case pollensteer.VerdictSearch:
		b.sendQueries(now, p, d, h, datagram)
	case pollensteer.VerdictReset:
		b.sendReset(p)
	case pollensteer.VerdictBuffer:
		b.bufferOpening(now, p, datagram)
	case pollensteer.VerdictDrop:
	}
}

// bufferOpening stores an opening packet until a message brings what is needed to
// place its flow. If the buffer is full, packets of further flows are dropped.
func (b *Balancer) bufferOpening(now time.Time, p *pollenpacket.Packet, datagram []byte) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if _, known := b.openingBuffer[p.Flow]; known || len(b.openingBuffer) < maxOpeningBuffer {
		b.openingBuffer[p.Flow] = bufferedPacket{datagram: slices.Clone(datagram), bufferedAt: now}
	}
}

// releaseBuffered steers the buffered opening packets whose flows can now be
// placed.
func (b *Balancer) releaseBuffered(now time.Time) {
	type released struct {
		packet   pollenpacket.Packet
		decision pollensteer.Decision
		datagram []byte
	}
	var ready []released
	b.mu.Lock()
	if len(b.openingBuffer) == 0 {
		// This function runs for every received message, so it returns early.
		b.mu.Unlock()
		return
	}
	revision := b.steer.Revision()
	// In sorted order, so that emulations are reproducible.
	for _, f := range slices.SortedFunc(maps.Keys(b.openingBuffer), pollenpacket.Flow.Compare) {
		buffered := b.openingBuffer[f]
		p, _ := b.settings.Format.ParseFromCaller(buffered.datagram[pollenlink.HeaderSize:])
		if d := b.steer.Steer(now, &p); d.Verdict != pollensteer.VerdictBuffer {
			ready = append(ready, released{p, d, buffered.datagram})
			delete(b.openingBuffer, f)
		}
	}
	b.mu.Unlock()
	for i := range ready {
		r := &ready[i]
		b.execute(now, &r.packet, &r.decision, pollenlink.Header{Revision: revision}, r.datagram)
	}
}

// sendQueries asks gates whether they hold the flow and buffers its packet in the
// meantime. Sending the packet itself to every gate would take about twenty times
// the bytes of a query, and a service may have many gates.
func (b *Balancer) sendQueries(
	now time.Time, p *pollenpacket.Packet, d *pollensteer.Decision, h pollenlink.Header, datagram []byte,
) {
	b.metrics.CountRetry(pollenkernel.RetryFlowSearch)
	if !pollenlink.IsFlowOnly(datagram) {
		b.mu.Lock()
		b.bufferSearched(now, p, datagram)
		b.mu.Unlock()
	}
	h.Kind = pollenlink.KindQuery
	query := make([]byte, pollenlink.HeaderSize, 2*pollenlink.HeaderSize)
	h.Put(query)
	query = pollenlink.AppendQuery(query, p.Flow, p.Acknowledged)
	for _, g := range d.Gates {
		b.transport.SendToNode(g, query)
	}
}

// handleFlowNotice handles a gate's notice about a flow that carries no packet of
// the flow, such as the answer to a query.
func (b *Balancer) handleFlowNotice(now time.Time, from netip.AddrPort, h pollenlink.Header, f pollenpacket.Flow, datagram []byte) {
	p := pollenpacket.Packet{Flow: f, ACK: true}
	b.mu.Lock()
	waiting, found := b.searchBuffer[f]
	var d pollensteer.Decision
	switch h.Kind {
	case pollenlink.KindHolder:
		b.steer.RecordHolder(now, from, f)
		delete(b.searchBuffer, f)
	case pollenlink.KindNotFound:
		d = b.steer.HandleFlowNotFound(now, from, &p)
	case pollenlink.KindNeedsPacket:
		b.steer.HandleNeedsPacket(now, from, f)
	default:
	}
	var probed []netip.AddrPort
	if found {
		probed = b.steer.TakeProbes(now, f)
	}
	h.Revision = b.steer.Revision()
	packet := waiting.datagram
	var class pollenegress.Class
	var route pollenegress.Route
	if found && h.Kind == pollenlink.KindHolder {
		waited, _ := b.settings.Format.ParseFromCaller(packet[pollenlink.HeaderSize:])
		class, route = b.steer.PassWaiting(now, &waited)
	}
	b.mu.Unlock()
	switch {
	case h.Kind == pollenlink.KindNotFound:
		b.execute(now, &p, &d, h, datagram)
	case found && h.Kind == pollenlink.KindHolder:
		h.Kind = pollenlink.KindPass
		h.Put(packet)
		b.settings.Format.SetMark(packet[pollenlink.HeaderSize:], markOf(b.settings.Node))
		b.sendPacket(class, route, from, packet)
	}
	b.sendProbes(probed, h.Revision, packet)
}

// markOf returns the mark that identifies the balancer that passed a packet: its
// IPv4 address.
func markOf(node netip.AddrPort) uint32 {
	ip := node.Addr().As4()
	return uint32(ip[0])<<24 | uint32(ip[1])<<16 | uint32(ip[2])<<8 | uint32(ip[3])
}

func (b *Balancer) logDecision(now time.Time, p *pollenpacket.Packet, d *pollensteer.Decision, h pollenlink.Header) {
	if !b.log.AllowDecision(now) {
		return
	}
	b.log.Decision("flow steered", pollenrecord.Fields{
		"caller": p.Flow.Caller, "service": p.Flow.Service, "copy": p.Acknowledged, "opening": p.Opening(),
		"verdict": d.Verdict, "reason": d.Reason, "gate": d.Gate, "load": d.Load, "age": d.LoadAge.String(),
		"hops": h.Hops, "declined": h.Reason, "revision": h.Revision,
	})
}
