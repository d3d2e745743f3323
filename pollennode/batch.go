package pollennode

import (
	"net/netip"
	"time"

	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollensteer"
)

// SearchTickInterval is the interval at which TickSearches must be called on a host with a
// low-bandwidth link; searches that wait for each other's queries wait no longer.
const SearchTickInterval = 20 * time.Millisecond

// batchTimeout is how long the answer to a datagram of queries is expected. Datagrams wait
// for a low-bandwidth link for up to 50 ms.
const batchTimeout = 300 * time.Millisecond

// A batch is a sent datagram of queries. The answers name its flows only by their order.
type batch struct {
	gate   netip.AddrPort
	flows  []pollenpacket.Flow
	sentAt time.Time
}

// BatchesSearches reports whether TickSearches must be called at every SearchTickInterval.
func (b *Balancer) BatchesSearches() bool { return b.steer.SlowLink() }

// TickSearches sends the queries of the searches that are due, those to the same gate in one
// datagram.
func (b *Balancer) TickSearches(now time.Time) { b.repeatSearches(now) }

// sendBatches sends the queries of the searches, each gate's in as few datagrams as possible.
func (b *Balancer) sendBatches(now time.Time, searches []*pollensteer.Repeat, h pollenlink.Header) {
	queries := map[netip.AddrPort][]*pollenpacket.Packet{}
	var gates []netip.AddrPort
	for _, s := range searches {
		b.metrics.CountRetry(pollenkernel.RetryFlowSearch)
		for _, g := range s.Decision.Gates {
			if queries[g] == nil {
				gates = append(gates, g)
			}
			queries[g] = append(queries[g], &s.Packet)
		}
	}
	for _, g := range gates {
		for rest := queries[g]; len(rest) > 0; {
			n := min(len(rest), pollenlink.MaxQueries)
			b.sendBatch(now, g, rest[:n], h)
			rest = rest[n:]
		}
	}
}

func (b *Balancer) sendBatch(now time.Time, gate netip.AddrPort, packets []*pollenpacket.Packet, h pollenlink.Header) {
	sent := batch{gate: gate, sentAt: now}
	datagram := make([]byte, pollenlink.HeaderSize, pollenlink.HeaderSize+len(packets)*pollenlink.QuerySize)
	for _, p := range packets {
		sent.flows = append(sent.flows, p.Flow)
		datagram = pollenlink.AppendQuery(datagram, p.Flow, p.Acknowledged)
	}
	b.mu.Lock()
	b.lastBatch++
	h.Kind, h.Service = pollenlink.KindQueries, b.lastBatch
	b.batches[b.lastBatch] = sent
	b.mu.Unlock()
	h.Put(datagram)
	b.transport.SendToNode(gate, datagram)
}

// handleAnswers handles a gate's answers to a datagram of queries. Each is handled like the
// answer to a single query.
func (b *Balancer) handleAnswers(now time.Time, from netip.AddrPort, h pollenlink.Header, datagram []byte) {
	answers := datagram[pollenlink.HeaderSize:]
	b.mu.Lock()
	sent, found := b.batches[h.Service]
	valid := found && sent.gate == from && len(answers) == len(sent.flows)
	if valid {
		delete(b.batches, h.Service)
	}
	b.mu.Unlock()
	if !valid {
		// Its queries are older than batchTimeout or were sent by an earlier run.
		return
	}
	for i, f := range sent.flows {
		kind, ok := pollenlink.ReadAnswer(answers[i])
		if !ok {
			b.countMalformed(now, from, len(datagram), string(h.Kind))
			return
		}
		notice := make([]byte, pollenlink.HeaderSize, 2*pollenlink.HeaderSize)
		b.handleFlowNotice(now, from, pollenlink.Header{Kind: kind, Revision: h.Revision}, f, pollenlink.AppendFlow(notice, f))
	}
}

// evictBatches removes the batches whose answers no longer count. mu must be held.
func (b *Balancer) evictBatches(now time.Time) {
	for id, sent := range b.batches {
		if now.Sub(sent.sentAt) >= batchTimeout {
			delete(b.batches, id)
		}
	}
}
