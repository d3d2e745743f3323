package pollenwire_test

import (
	"testing"

	"pollenstep.example/pollenstep/pollenflow"
	"pollenstep.example/pollenstep/pollenmember"
	"pollenstep.example/pollenstep/pollenwire"
)

// BenchmarkSizes reports the bytes of the messages that members send each
// second, with the authenticated header and without IP and UDP.
func BenchmarkSizes(b *testing.B) {
	const frame = pollenwire.HeaderSize + pollenwire.TrailerSize
	m := view().Members["rings-1"]
	heartbeat := pollenmember.Heartbeat{Member: m, Revision: 1_000_000, LedgerEpoch: 300}
	notice := pollenmember.Notice{Revision: 1_000_000, Control: true, Leader: caller}
	gossip := pollenmember.Notice{Revision: 1_000_000}
	load := pollenflow.Load{Name: m.Name, Incarnation: 1 << 60, Running: 3, Limit: 5, Flows: 1400, FlowLimit: 2000}
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
