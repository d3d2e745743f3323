package pollennode

import (
	"net/netip"
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollenegress"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollensteer"
	"pollenstep.example/pollenstep/pollenview"
)

// bufferSearched stores a packet of a flow whose holder is searched, unless one of the
// same transmission is stored. If the buffer is full, packets of further flows are not
// stored. mu must be held.
func (b *Balancer) bufferSearched(now time.Time, p *pollenpacket.Packet, datagram []byte) {
	buffered, known := b.searchBuffer[p.Flow]
	if known && now.Sub(buffered.bufferedAt) < searchRefreshTime || !known && len(b.searchBuffer) >= maxSearchBuffer {
		return
	}
	b.searchBuffer[p.Flow] = bufferedPacket{datagram: slices.Clone(datagram), bufferedAt: now}
}

// sendProbes sends the packet in the datagram to gates that need one to decide whether they
// hold its flow.
func (b *Balancer) sendProbes(gates []netip.AddrPort, revision pollenview.Revision, datagram []byte) {
	if len(gates) == 0 {
		return
	}
	// The buffered datagram may be in use for another answer.
	datagram = slices.Clone(datagram)
	h := pollenlink.Header{Kind: pollenlink.KindSearch, Revision: revision}
	h.Put(datagram)
	b.settings.Format.SetMark(datagram[pollenlink.HeaderSize:], 0)
	for _, g := range gates {
		b.sendPacket(pollenegress.ClassNormal, 0, g, datagram)
	}
}

// repeatSearches continues the searches that do not wait for a packet of their callers.
func (b *Balancer) repeatSearches(now time.Time) {
	type probe struct {
		gates    []netip.AddrPort
		datagram []byte
	}
	b.mu.Lock()
	repeats := b.steer.RepeatSearches(now)
	revision := b.steer.Revision()
	var probes []probe
	for i := range repeats {
		f := repeats[i].Packet.Flow
		if buffered, found := b.searchBuffer[f]; found {
			// Another goroutine may write the header of the buffered datagram.
			if gates := b.steer.TakeProbes(now, f); len(gates) > 0 {
				probes = append(probes, probe{gates, slices.Clone(buffered.datagram)})
			}
		}
	}
	b.mu.Unlock()
	var batched []*pollensteer.Repeat
	for i := range repeats {
		p, d := &repeats[i].Packet, &repeats[i].Decision
		switch {
		case d.Verdict == pollensteer.VerdictSearch && b.BatchesSearches():
			batched = append(batched, &repeats[i])
		case d.Verdict != pollensteer.VerdictDrop:
			notice := pollenlink.AppendFlow(make([]byte, pollenlink.HeaderSize, 2*pollenlink.HeaderSize), p.Flow)
			b.execute(now, p, d, pollenlink.Header{Revision: revision}, notice)
		}
	}
	b.sendBatches(now, batched, pollenlink.Header{Revision: revision})
	for _, p := range probes {
		b.sendProbes(p.gates, revision, p.datagram)
	}
}
