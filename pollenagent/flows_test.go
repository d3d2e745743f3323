package pollenagent_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollenadmission"
	"pollenstep.example/pollenstep/pollenagent"
	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenflow"
	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenview"
)

var start = time.Unix(1_000_000, 0)

func member(number int) pollenview.Member {
	return pollenview.Member{
		Name: pollendocument.ServerName(fmt.Sprintf("feed-%d", number)), Role: pollenview.RoleAgent, Incarnation: 1, Service: "feed",
		Domain: "celje-a", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 3, byte(number)}), 7000),
		State: pollendocument.ServerActive,
	}
}

func newView(agents int) *pollenview.View {
	v := pollenview.NewView()
	v.Document.Put(pollendocument.Section{Team: pollendocument.DomainsTeam, Domains: []pollendocument.Domain{
		{Name: "celje-a", State: pollendocument.DomainIn},
	}})
	v.Document.Put(pollendocument.Section{Team: "team", Services: []pollendocument.Service{{
		Name: "feed", Delivery: pollendocument.DeliveryRelay, Slots: 100, ConnectionLimit: 1_000_000, ColdLimit: 100, IdleTimeout: time.Hour,
	}}})
	for i := range agents {
		m := member(i + 1)
		v.Members[m.Name] = m
	}
	v.Revision = 1
	return v
}

func newFlows(tb testing.TB, number, agents int) *pollenagent.Flows {
	tb.Helper()
	placement, err := pollenflow.Placements.Lookup(pollenflow.PlacementOwner)
	if err != nil {
		tb.Fatal(err)
	}
	ramp, err := pollenadmission.Ramps.Lookup(pollenadmission.RampOff)
	if err != nil {
		tb.Fatal(err)
	}
	limits := pollenadmission.Limits{Slots: 100, Cold: 100, Connections: 1_000_000}
	f := pollenagent.NewFlows(start, pollenagent.Config{
		Self: member(number), Limiter: pollenadmission.NewLimiter(start, limits, ramp), Placement: placement,
		Window: 5 * time.Second, Lease: 30 * time.Second, OpenTimeout: 3 * time.Second, SearchRate: 100, MaxPastOwners: 16,
	})
	f.ChangeView(start, newView(agents))
	return f
}

func packet(number int, port uint16, opens bool) pollenagent.Packet {
	return pollenagent.Packet{
		Key: netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), port), Service: pollenflow.DigestOf("feed"),
		Target: pollenflow.DigestOf(string(member(number).Name)), MayOpenFlow: opens, Revision: 1,
		From: netip.MustParseAddrPort("127.0.2.1:7000"), Balancer: netip.MustParseAddrPort("127.0.2.1:7000"),
	}
}

// TestFlowsRefuseStrays checks that a packet of another service, or meant for
// another agent, is never delivered, also when a flow has the same key.
func TestFlowsRefuseStrays(t *testing.T) {
	f := newFlows(t, 1, 1)
	now := start.Add(time.Minute)
	p := packet(1, 1000, true)
	if d := f.Decide(now, &p); d.Kind != pollenagent.DecisionDeliver || !d.New {
		t.Fatalf("opening packet: %+v", d)
	}
	other := p
	other.Service = pollenflow.DigestOf("rings")
	if d := f.Decide(now, &other); d.Refusal != pollenkernel.RefusalWrongService {
		t.Fatalf("packet of another service: %+v", d)
	}
	other = p
	other.Target = pollenflow.DigestOf("feed-2")
	if d := f.Decide(now, &other); d.Refusal != pollenkernel.RefusalWrongMember {
		t.Fatalf("packet for another agent: %+v", d)
	}
}

// TestFlowsInDomainOut checks that an agent gives its flows up and refuses
// packets as soon as its own view says that its domain is out.
func TestFlowsInDomainOut(t *testing.T) {
	f := newFlows(t, 1, 2)
	now := start.Add(time.Minute)
	p := packet(1, 1000, true)
	p.Assigned = true
	f.Decide(now, &p)
	v := newView(2)
	v.Document.Section(pollendocument.DomainsTeam).Domains[0].State = pollendocument.DomainOut
	v.Revision = 2
	if closed := f.ChangeView(now, v); len(closed) != 1 {
		t.Fatalf("%d actions, want one closed flow", len(closed))
	}
	if d := f.Decide(now, &p); d.Refusal != pollenkernel.RefusalDomainOut {
		t.Fatalf("packet after the domain went out: %+v", d)
	}
	if _, ok := f.RouteAnswer(now, p.Key); ok {
		t.Fatal("an answer left a domain that is out")
	}
}

// TestFlowsStaleHomePlacesNothing checks that an agent that knows of a newer
// view does not place a new flow by its old one.
func TestFlowsStaleHomePlacesNothing(t *testing.T) {
	f := newFlows(t, 1, 1)
	now := start.Add(time.Minute)
	p := packet(1, 1000, true)
	p.Revision = 2
	if d := f.Decide(now, &p); d.Refusal != pollenkernel.RefusalStaleView {
		t.Fatalf("opening packet with a newer revision: %+v", d)
	}
	if d := f.Decide(now.Add(6*time.Second), &p); d.Kind != pollenagent.DecisionDeliver {
		t.Fatalf("opening packet after the window: %+v", d)
	}
}

// TestVaultFollowsVersions checks that a copy that does not follow the held one
// is refused, and that the newest copy wins.
func TestVaultFollowsVersions(t *testing.T) {
	v := pollenagent.NewBackupStore()
	record := func(port uint16) pollenagent.BackupRecord {
		return pollenagent.BackupRecord{Key: packet(1, port, true).Key, Port: port}
	}
	kept := func(version, base uint64, full bool, ports ...uint16) pollenagent.Backup {
		k := pollenagent.Backup{Name: "feed-1", Incarnation: 1, Service: "feed", Version: version, Base: base, Full: full}
		for _, p := range ports {
			k.Records = append(k.Records, record(p))
		}
		return k
	}
	if v.Put(start, kept(2, 1, false, 1)) {
		t.Fatal("a difference to an unknown copy was taken")
	}
	if !v.Put(start, kept(2, 0, true, 1, 2)) || !v.Put(start, kept(3, 2, false, 3)) {
		t.Fatal("a whole copy and its difference were refused")
	}
	if v.Put(start, kept(5, 4, false, 4)) {
		t.Fatal("a difference with a gap was taken")
	}
	k, ok := v.Get("feed-1", "feed")
	if !ok || len(k.Records) != 3 || k.Version != 3 {
		t.Fatalf("kept %+v", k)
	}
	if !k.IsNewerThan(kept(2, 0, true)) || k.IsNewerThan(pollenagent.Backup{Incarnation: 2}) {
		t.Fatal("copies are not ordered by incarnation and version")
	}
}

// TestNothingIsKeptBeforeTakingBack checks that a new incarnation does not
// replace the copies of the earlier one before it has taken them back.
func TestNothingIsKeptBeforeTakingBack(t *testing.T) {
	f := newFlows(t, 1, 3)
	kept := func(now time.Time) int {
		n := 0
		for _, a := range f.Tick(now) {
			if _, ok := a.(pollenagent.SendBackup); ok {
				n++
			}
		}
		return n
	}
	if n := kept(start.Add(time.Minute)); n != 0 {
		t.Fatalf("%d copies before the records were taken back", n)
	}
	f.EnableBackups()
	if n := kept(start.Add(2 * time.Minute)); n != 2 {
		t.Fatalf("%d copies afterwards, want one for each of two keepers", n)
	}
}

func BenchmarkDecideHeld(b *testing.B) {
	f := newFlows(b, 1, 1)
	now := start.Add(time.Minute)
	p := packet(1, 1000, true)
	f.Decide(now, &p)
	p.MayOpenFlow = false
	b.ReportAllocs()
	for range b.N {
		if d := f.Decide(now, &p); d.Kind != pollenagent.DecisionDeliver {
			b.Fatal(d)
		}
	}
}

// BenchmarkDecideForward decides about a packet whose flow another agent holds.
func BenchmarkDecideForward(b *testing.B) {
	f := newFlows(b, 1, 7)
	now := start.Add(time.Minute)
	p := packet(1, 1000, false)
	holder := member(2)
	f.HandleRegistrations(now, []pollenflow.Registration{{
		Key: p.Key, Holder: pollenview.ReplicaRef{Name: holder.Name, Incarnation: holder.Incarnation},
	}})
	b.ReportAllocs()
	for range b.N {
		if d := f.Decide(now, &p); d.Kind != pollenagent.DecisionForward {
			b.Fatal(d)
		}
	}
}

// BenchmarkDecideOpen opens a flow each time.
func BenchmarkDecideOpen(b *testing.B) {
	f := newFlows(b, 1, 1)
	now := start.Add(time.Minute)
	b.ReportAllocs()
	for i := range b.N {
		p := packet(1, uint16(i)|1, true)
		p.Key = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 24), byte(i >> 16), byte(i >> 8)}), uint16(i)|1)
		f.Decide(now, &p)
		f.RouteAnswer(now, p.Key)
		f.EndFlow(now, p.Key)
	}
}

// BenchmarkMemoryPerFlow reports the memory of a held flow and of a directory
// entry.
func BenchmarkMemoryPerFlow(b *testing.B) {
	const flows = 100_000
	for range b.N {
		b.ReportMetric(memoryOf(b, flows, func(f *pollenagent.Flows, i int) {
			p := packet(1, 1, true)
			p.Key = key(i)
			f.Decide(start.Add(time.Minute), &p)
			f.RouteAnswer(start.Add(time.Minute), p.Key)
		}), "B/flow")
		b.ReportMetric(memoryOf(b, flows, func(f *pollenagent.Flows, i int) {
			f.HandleRegistrations(start, []pollenflow.Registration{{Key: key(i), Holder: pollenview.ReplicaRef{Name: "feed-2", Incarnation: 1}}})
		}), "B/entry")
	}
}

func key(i int) pollenflow.Key {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 50000)
}
