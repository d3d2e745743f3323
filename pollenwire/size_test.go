package pollenwire_test

import (
	"net/netip"
	"testing"

	"pollenstep.example/pollenstep/pollenflow"
	"pollenstep.example/pollenstep/pollenmember"
	"pollenstep.example/pollenstep/pollenpeer"
	"pollenstep.example/pollenstep/pollenwire"
)

// BenchmarkSizes reports the sizes in bytes of the messages that members send
// each second, with datagram header and trailer but without IP and UDP headers.
// The size of a registration is that of the payload alone.
func BenchmarkSizes(b *testing.B) {
	const frame = pollenwire.HeaderSize + pollenwire.TrailerSize
	m := view().Members["rings-1"]
	heartbeat := pollenmember.Heartbeat{Member: m, Revision: 1_000_000, SyncedEpoch: 300}
	notice := pollenmember.Notice{Revision: 1_000_000, FromControlHost: true, Leader: caller}
	gossip := pollenmember.Notice{Revision: 1_000_000}
	load := pollenflow.Load{Name: m.Name, Incarnation: 1 << 60, Running: 3, Limit: 5, Flows: 1400, ConnectionLimit: 2000}
	registration := []pollenflow.Registration{{Key: caller}}
	registration[0].Holder.Name, registration[0].Holder.Incarnation = m.Name, 1<<60
	for range b.N {
		b.ReportMetric(float64(frame+len(pollenwire.Marshal(&heartbeat, pollenwire.MapHeartbeat))), "B/heartbeat")
		b.ReportMetric(float64(frame+len(pollenwire.Marshal(&notice, pollenwire.MapNotice))), "B/notice")
		b.ReportMetric(float64(frame+len(pollenwire.Marshal(&gossip, pollenwire.MapNotice))), "B/gossip")
		b.ReportMetric(float64(frame+len(pollenwire.Marshal(&load, pollenwire.MapLoad))), "B/load")
		b.ReportMetric(float64(len(pollenwire.Marshal(&registration, pollenwire.MapRegistrations))), "B/registration")
	}
}

// BenchmarkPeerHeartbeat reports the size in bytes of a gate's heartbeat that
// lists 8 balancers, and the time to encode and decode it.
func BenchmarkPeerHeartbeat(b *testing.B) {
	at := netip.MustParseAddrPort("10.1.0.10:7720")
	heartbeat := pollenpeer.Heartbeat{Leader: at, Peer: pollenpeer.Peer{
		Address: at, Role: pollenpeer.RoleGate, Domain: "celje-a", Incarnation: 1 << 62, Sequence: 1000, Revision: 5000,
		Server: pollenpeer.Server{Service: "ringbook", State: pollenpeer.ServerReady, Slots: 5, Running: 3, AverageRunning: 2.5, Flows: 50},
	}}
	for range 8 {
		heartbeat.Balancers = append(heartbeat.Balancers, at)
	}
	size := len(pollenwire.Marshal(&heartbeat, pollenwire.MapPeerHeartbeat))
	b.ReportAllocs()
	for b.Loop() {
		var got pollenpeer.Heartbeat
		if err := pollenwire.Unmarshal(pollenwire.Marshal(&heartbeat, pollenwire.MapPeerHeartbeat), &got, pollenwire.MapPeerHeartbeat); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(size), "bytes")
}
