package pollensteer_test

import (
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenegress"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollensteer"
)

const thinRate = 5.3e6

// shapedBalancer returns a Balancer on a link of the rate. The route of feed is an upload
// route, unless safe is set, and that of sheets is more urgent.
func shapedBalancer(rate float64, safe bool) *pollensteer.Balancer {
	b := pollensteer.New(pollensteer.Config{Domain: "a", StartTime: startTime, Seed: 1, LinkRate: rate})
	v := view(1)
	for i := range v.Declared.Routes {
		v.Declared.Routes[i].Objective = 800 * time.Millisecond
	}
	v.Declared.Routes[0].Priority, v.Declared.Routes[1].Priority = 2, 1
	if !safe {
		v.Declared.Routes[0].Kind = pollendocument.RouteUpload
	}
	b.SetView(v)
	for n := range 3 {
		b.SetGate(afterGrace, gate(n+1, []pollendocument.ServiceName{"rings", "rings", "sheets"}[n]))
	}
	return b
}

// fill opens uploads until one is refused, and returns that decision and its port.
func fill(t *testing.T, b *pollensteer.Balancer) (port uint16, d pollensteer.Decision) {
	t.Helper()
	for port = 1; port < 100; port++ {
		if d = b.Steer(afterGrace, opening(port, 0)); d.Verdict != pollensteer.VerdictPass {
			return port, d
		}
	}
	t.Fatal("100 uploads of 32 kB were admitted at 5.3 Mbit/s")
	return 0, d
}

// TestFullLinkResetsFirstTransmissions opens more uploads at once than the link carries.
// It guards against a reset of a flow that may have opened: a retransmission, an opening
// packet that a balancer may have received late, or a flow that is already admitted.
func TestFullLinkResetsFirstTransmissions(t *testing.T) {
	b := shapedBalancer(thinRate, false)
	port, d := fill(t, b)
	wantDecision(t, d, pollensteer.VerdictReset, pollenkernel.RefusalLinkFull)
	if !b.Pressure(afterGrace).Closed {
		t.Error("the admission is not closed after a refusal")
	}
	wantDecision(t, b.Steer(afterGrace, opening(port, 1)), pollensteer.VerdictPass, "")
	wantDecision(t, b.Steer(afterGrace, opening(port, 2)), pollensteer.VerdictPass, "")
	// The first transmission arrives after the second.
	wantDecision(t, b.Steer(afterGrace, opening(200, 1)), pollensteer.VerdictPass, "")
	wantDecision(t, b.Steer(afterGrace, opening(200, 0)), pollensteer.VerdictPass, "")
	other := opening(300, 0)
	other.Flow.Service = sheets
	wantDecision(t, b.Steer(afterGrace, other), pollensteer.VerdictPass, "")

	paused := shapedBalancer(thinRate, false)
	paused.SetGateKnowledge(afterGrace.Add(-time.Minute), time.Hour, true)
	for port := range uint16(100) {
		wantDecision(t, paused.Steer(afterGrace, opening(port+1, 0)), pollensteer.VerdictPass, "")
	}
}

// TestDeclinedUploadIsForgotten opens uploads that three busy gates decline each, and
// retransmits others that a gate declines for their priority. It guards
// against a link that counts as full because of flows that never opened.
func TestDeclinedUploadIsForgotten(t *testing.T) {
	b := shapedBalancer(thinRate, false)
	busy := pollenlink.Header{Kind: pollenlink.KindDeclined, Reason: pollenkernel.RefusalNoSlots, Hops: 3}
	for port := range uint16(100) {
		d := b.Steer(afterGrace, opening(port+1, 0))
		wantDecision(t, d, pollensteer.VerdictPass, "")
		wantDecision(t, b.HandleDeclined(afterGrace, d.Gate, busy, opening(port+1, 0)), pollensteer.VerdictDrop, pollenkernel.RefusalNoSlots)
	}
	declined := pollenlink.Header{Kind: pollenlink.KindDeclined, Reason: pollenkernel.RefusalPriority, Hops: 1}
	for port := range uint16(100) {
		d := b.Steer(afterGrace, opening(port+1001, 1))
		wantDecision(t, b.HandleDeclined(afterGrace, d.Gate, declined, opening(port+1001, 1)), pollensteer.VerdictDrop, pollenkernel.RefusalPriority)
	}
	if p := b.Pressure(afterGrace); p.Flows != 0 || p.Outstanding != 0 {
		t.Errorf("pressure %+v; want no flow", p)
	}
}

// TestUploadIsAccountedUntilItsEnd guards against uploads that count as outstanding after
// they were sent, or after their flow has ended.
func TestUploadIsAccountedUntilItsEnd(t *testing.T) {
	b := shapedBalancer(thinRate, false)
	b.Steer(afterGrace, opening(1, 0))
	data := packet(1)
	data.Size = 1200
	b.Steer(afterGrace, data)
	if p := b.Pressure(afterGrace); p.Flows != 1 || p.Outstanding >= 32_000-1200 || p.Outstanding < 32_000-1400 {
		t.Errorf("pressure %+v after one packet of 1200 B; want 32,000 B less that", p)
	}
	end := packet(1)
	end.FIN = true
	b.Steer(afterGrace, end)
	if p := b.Pressure(afterGrace); p.Flows != 0 || p.Outstanding != 0 {
		t.Errorf("pressure %+v after the end; want no flow", p)
	}
}

// TestClasses guards against packets that are sent in the wrong class: opening packets and
// the most urgent route behind uploads, or uploads ahead of anything. Where the link is
// wide or no route takes uploads, there is no class and no flow is refused.
func TestClasses(t *testing.T) {
	packets := func(change func(p *pollenpacket.Packet)) *pollenpacket.Packet {
		p := packet(1)
		change(p)
		return p
	}
	for _, c := range []struct {
		name   string
		packet *pollenpacket.Packet
		want   pollenegress.Class
	}{
		{"opening", opening(1, 0), pollenegress.ClassUrgent},
		{"retransmitted opening", opening(1, 1), pollenegress.ClassUrgent},
		{"acknowledgement of an upload", packet(1), pollenegress.ClassNormal},
		{"data of an upload", packets(func(p *pollenpacket.Packet) { p.Size = 1200 }), pollenegress.ClassBulk},
		{"opening of the urgent route", packets(func(p *pollenpacket.Packet) { p.Flow.Service, p.SYN, p.ACK, p.Acknowledged = sheets, true, false, 0 }), pollenegress.ClassUrgent},
		{"data of the urgent route", packets(func(p *pollenpacket.Packet) { p.Flow.Service, p.Size = sheets, 900 }), pollenegress.ClassUrgent},
	} {
		for _, off := range []*pollensteer.Balancer{shapedBalancer(100e6, false), shapedBalancer(0, false), shapedBalancer(thinRate, true)} {
			off.Steer(afterGrace, opening(1, 0))
			if d := off.Steer(afterGrace, c.packet); d.Class != "" || d.Route != 0 || off.Shaped() {
				t.Errorf("%s: decision %+v without shaping; want no class", c.name, d)
			}
		}
		b := shapedBalancer(thinRate, false)
		b.Steer(afterGrace, opening(1, 0))
		other := opening(1, 0)
		other.Flow.Service = sheets
		b.Steer(afterGrace, other)
		if d := b.Steer(afterGrace, c.packet); d.Verdict != pollensteer.VerdictPass || d.Class != c.want || d.Route == 0 {
			t.Errorf("%s: decision %+v; want class %s", c.name, d, c.want)
		}
	}
	wide := shapedBalancer(100e6, false)
	for port := range uint16(200) {
		wantDecision(t, wide.Steer(afterGrace, opening(port+1, 0)), pollensteer.VerdictPass, "")
	}
}

// BenchmarkSteerOpenFlow measures a packet of an open flow of an upload route, with and
// without shaping.
func BenchmarkSteerOpenFlow(b *testing.B) {
	for name, rate := range map[string]float64{"plain": 0, "shaped": thinRate} {
		b.Run(name, func(b *testing.B) {
			steer := shapedBalancer(rate, false)
			steer.Steer(afterGrace, opening(1, 0))
			data := packet(1)
			data.Size = 1200
			b.ReportAllocs()
			for b.Loop() {
				steer.Steer(afterGrace, data)
			}
		})
	}
}

// BenchmarkSteerOpening measures a first opening packet that is refused by the full link.
func BenchmarkSteerOpening(b *testing.B) {
	for name, rate := range map[string]float64{"plain": 0, "shaped": thinRate} {
		b.Run(name, func(b *testing.B) {
			steer := shapedBalancer(rate, false)
			port := uint16(0)
			for b.Loop() {
				port++
				steer.Steer(afterGrace, opening(port, 0))
			}
		})
	}
}
