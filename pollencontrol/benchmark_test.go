package pollencontrol_test

import (
	"fmt"
	"net/netip"
	"runtime"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollencontrol"
	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenlog"
	"pollenstep.example/pollenstep/pollenmember"
	"pollenstep.example/pollenstep/pollenview"
	"pollenstep.example/pollenstep/pollenwire"
)

// sizes are the sizes of the benchmarks, as numbers of members and of service
// addresses: a tenth of the planned size, and the planned size.
var sizes = []struct{ members, services int }{{638, 180}, {6380, 1800}}

// newLeader returns the leader of a cluster of one control host, its clock, and
// the heartbeats of its members.
func newLeader(tb testing.TB, members, services int) (*pollencontrol.Node, time.Time, []pollenmember.Heartbeat) {
	tb.Helper()
	now := time.Unix(1_000_000, 0)
	n, err := pollencontrol.NewNode(now, pollencontrol.Config{
		Log: pollenlog.Config{
			ID: 1, Address: controlAddress(1), ElectionTimeout: election, HeartbeatInterval: election / 5, Seed: 1, MaxAppendEntries: 64, MaxAppendBytes: 1 << 20,
		},
		Codec: pollenwire.ControlCodec{}, Lease: time.Hour, CheckInterval: 100 * time.Millisecond, CompactEvery: 1000, CompactBytes: compactBytes,
		Guard: pollencontrol.HalfGuard{MaxUnguarded: 2}, MaxInlineBytes: 1100, PendingTimeout: 5 * time.Second, Replicas: 1,
	}, pollenlog.StoredState{Hard: pollenlog.HardState{Term: 1}, Snapshot: pollenlog.Snapshot{
		Index: 1, Term: 1, Membership: pollenlog.Membership{
			Replicas: []pollenlog.Replica{{ID: 1, Address: controlAddress(1), Voter: true}},
		},
	}})
	if err != nil {
		tb.Fatal(err)
	}
	now = now.Add(4 * election)
	n.Step(now, pollencontrol.Tick{})
	n.Step(now, pollencontrol.Submit{Token: 1, ID: "first", Document: *bigDocument(0, services, 5)})
	heartbeats := make([]pollenmember.Heartbeat, members)
	for i := range heartbeats {
		heartbeats[i].Member = pollenview.Member{
			Name: pollendocument.ServerName(fmt.Sprintf("agent-%d", i)), Role: pollenview.RoleAgent, Incarnation: 1,
			Service: pollendocument.ServiceName(fmt.Sprintf("service-%d", i%services)), Domain: domainNames[i%3],
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 4, byte(i >> 8), byte(i)}), 7000),
			State:   pollendocument.ServerActive,
		}
		n.Step(now, pollencontrol.HeartbeatReceived{From: heartbeats[i].Member.Address, Heartbeat: heartbeats[i]})
	}
	now = now.Add(time.Second)
	n.Step(now, pollencontrol.Tick{})
	now = now.Add(time.Second)
	n.Step(now, pollencontrol.Tick{})
	for i := range heartbeats {
		heartbeats[i].Revision = n.View().Revision
	}
	if got := len(n.View().Members); got != members {
		tb.Fatalf("%d members, want %d", got, members)
	}
	return n, now, heartbeats
}

func bigDocument(version uint64, services, slots int) *pollendocument.Document {
	d := &pollendocument.Document{}
	domains := pollendocument.Section{Team: pollendocument.DomainsTeam}
	for _, name := range domainNames {
		domains.Domains = append(domains.Domains, pollendocument.Domain{Name: name, State: pollendocument.DomainIn})
	}
	d.Put(domains)
	section := pollendocument.Section{Team: "team", Version: version}
	for i := range services {
		section.Services = append(section.Services, pollendocument.Service{
			Name: pollendocument.ServiceName(fmt.Sprintf("service-%d", i)), Delivery: pollendocument.DeliveryRelay,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, byte(i >> 8), byte(i)}), 4430),
			Slots:   5, ConnectionLimit: 2000, ColdLimit: 1, QueueLimit: 16, RequestTimeout: time.Second, Retention: time.Minute, IdleTimeout: time.Minute,
		})
	}
	section.Services[0].Slots = slots
	section.Sort()
	d.Put(section)
	return d
}

// BenchmarkLeaderHeartbeat measures the leader's work for one heartbeat, without
// the system calls.
func BenchmarkLeaderHeartbeat(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("members=%d", size.members), func(b *testing.B) {
			n, now, heartbeats := newLeader(b, size.members, size.services)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				h := heartbeats[i%len(heartbeats)]
				n.Step(now, pollencontrol.HeartbeatReceived{From: h.Member.Address, Heartbeat: h})
			}
		})
	}
}

// BenchmarkLeaderChange measures the leader's work for one accepted change and
// its notices to every member, without the system calls. It reports the size of
// the notice to one member.
func BenchmarkLeaderChange(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("members=%d", size.members), func(b *testing.B) {
			n, now, _ := newLeader(b, size.members, size.services)
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Second)
				actions := n.Step(now, pollencontrol.Submit{
					Token: 2, ID: fmt.Sprintf("change-%d", i), Document: *bigDocument(uint64(i+1), size.services, 6+i%2),
				})
				for _, a := range actions {
					if notice, ok := a.(pollencontrol.SendNotice); ok {
						b.ReportMetric(float64(len(pollenwire.Marshal(&notice.Notice, pollenwire.MapNotice))), "B/push")
						break
					}
				}
			}
		})
	}
}

// BenchmarkLeaderCheck measures the leader's periodic check of leases and ledger
// groups, which runs ten times a second.
func BenchmarkLeaderCheck(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("members=%d", size.members), func(b *testing.B) {
			n, now, _ := newLeader(b, size.members, size.services)
			b.ResetTimer()
			for range b.N {
				now = now.Add(100 * time.Millisecond)
				n.Step(now, pollencontrol.Tick{})
			}
		})
	}
}

// BenchmarkView measures the decoding of a full view and reports its size on the
// wire and in memory.
func BenchmarkView(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprintf("members=%d", size.members), func(b *testing.B) {
			n, _, _ := newLeader(b, size.members, size.services)
			data := pollenwire.Marshal(n.View(), pollenwire.MapView)
			memory := viewMemory(b, data)
			b.ResetTimer()
			for range b.N {
				view := pollenview.NewView()
				if err := pollenwire.Unmarshal(data, view, pollenwire.MapView); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "B/wire")
			b.ReportMetric(memory, "B/memory")
		})
	}
}

// viewMemory returns the heap memory of the decoded view, in bytes.
func viewMemory(b *testing.B, data []byte) float64 {
	b.Helper()
	before := heapBytes()
	view := pollenview.NewView()
	if err := pollenwire.Unmarshal(data, view, pollenwire.MapView); err != nil {
		b.Fatal(err)
	}
	used := heapBytes() - before
	runtime.KeepAlive(view)
	return float64(used)
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkCatchUp measures the decoding of a view and of the update that brings
// it up by the missed changes.
func BenchmarkCatchUp(b *testing.B) {
	for _, changes := range []int{500, 5000} {
		b.Run(fmt.Sprintf("changes=%d", changes), func(b *testing.B) {
			n, now, _ := newLeader(b, 638, 180)
			from := n.View().Revision
			start := pollenwire.Marshal(n.View(), pollenwire.MapView)
			for i := range changes {
				n.Step(now, pollencontrol.Submit{
					Token: 2, ID: fmt.Sprintf("change-%d", i), Document: *bigDocument(uint64(i+1), 180, 6+i%2),
				})
			}
			update := n.UpdateSince(from)
			data := pollenwire.Marshal(&update, pollenwire.MapUpdate)
			b.ResetTimer()
			for range b.N {
				view := pollenview.NewView()
				if err := pollenwire.Unmarshal(start, view, pollenwire.MapView); err != nil {
					b.Fatal(err)
				}
				var u pollenview.Update
				if err := pollenwire.Unmarshal(data, &u, pollenwire.MapUpdate); err != nil {
					b.Fatal(err)
				}
				if !pollenview.NewReplica(view).ApplyUpdate(u) {
					b.Fatal("update did not change the view")
				}
			}
			b.ReportMetric(float64(len(data)), "B/update")
		})
	}
}
