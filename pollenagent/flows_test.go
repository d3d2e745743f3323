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

// newFlows returns the Flows of the agent with the number, in a view of the
// given number of agents, which are numbered from 1.
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
	limits := pollenadmission.Limits{Slots: 100, Cold: 100, ConnectionLimit: 1_000_000}
	f := pollenagent.NewFlows(start, pollenagent.Config{
		Self: member(number), Limiter: pollenadmission.NewLimiter(start, limits, ramp), Placement: placement,
		MaxViewSkew: 5 * time.Second, DirectoryLease: 30 * time.Second, OpenTimeout: 3 * time.Second, SearchRate: 100, MaxPastOwners: 16,
	})
	f.ChangeView(start, newView(agents))
	return f
}

// packet returns a packet of the caller with the port, sent by a balancer to
// the agent with the number. It may open a flow if opens is set.
func packet(number int, port uint16, opens bool) pollenagent.Packet {
	return pollenagent.Packet{
		Key: netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), port), Service: pollenflow.DigestOf("feed"),
		Target: pollenflow.DigestOf(string(member(number).Name)), MayOpenFlow: opens, Revision: 1,
		From: netip.MustParseAddrPort("127.0.2.1:7000"), Balancer: netip.MustParseAddrPort("127.0.2.1:7000"),
	}
}

// TestFlowsRefuseMisaddressedPackets guards against delivery of a packet that
// is addressed to another service or agent, also when this agent holds a flow
// with the same key.
func TestFlowsRefuseMisaddressedPackets(t *testing.T) {
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

// TestFlowsInDomainOut guards against an agent that still serves flows after
// its failure domain was taken out: as soon as its own view has the domain out,
// it closes its flows, refuses packets and sends no answers.
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

// TestFlowsStaleOwnerPlacesNoFlow guards against two agents that place the same
// flow: an agent that has observed a newer revision than its own view may have
// lost the bucket to another owner, so it places no flow until MaxViewSkew has
// passed.
func TestFlowsStaleOwnerPlacesNoFlow(t *testing.T) {
	f := newFlows(t, 1, 1)
	now := start.Add(time.Minute)
	p := packet(1, 1000, true)
	p.Revision = 2
	if d := f.Decide(now, &p); d.Refusal != pollenkernel.RefusalStaleView {
		t.Fatalf("opening packet with a newer revision: %+v", d)
	}
	if d := f.Decide(now.Add(6*time.Second), &p); d.Kind != pollenagent.DecisionDeliver {
		t.Fatalf("opening packet after the maximum view skew: %+v", d)
	}
}

// TestBackupStoreChecksVersions guards against a stored backup that lacks
// changes: an incremental backup whose base is not the stored version, because
// an earlier one was lost, must be refused. It also checks the order of backups.
func TestBackupStoreChecksVersions(t *testing.T) {
	s := pollenagent.NewBackupStore()
	record := func(port uint16) pollenagent.BackupRecord {
		return pollenagent.BackupRecord{Key: packet(1, port, true).Key, Port: port}
	}
	newBackup := func(version, base uint64, full bool, ports ...uint16) pollenagent.Backup {
		b := pollenagent.Backup{Name: "feed-1", Incarnation: 1, Service: "feed", Version: version, Base: base, Full: full}
		for _, p := range ports {
			b.Records = append(b.Records, record(p))
		}
		return b
	}
	if s.Put(start, newBackup(2, 1, false, 1)) {
		t.Fatal("an incremental backup without a stored base was accepted")
	}
	if !s.Put(start, newBackup(2, 0, true, 1, 2)) || !s.Put(start, newBackup(3, 2, false, 3)) {
		t.Fatal("a full backup or the incremental backup based on it was refused")
	}
	if s.Put(start, newBackup(5, 4, false, 4)) {
		t.Fatal("an incremental backup of base version 4 was accepted at version 3")
	}
	b, ok := s.Get("feed-1", "feed")
	if !ok || len(b.Records) != 3 || b.Version != 3 {
		t.Fatalf("stored backup %+v, want 3 records at version 3", b)
	}
	if !b.IsNewerThan(newBackup(2, 0, true)) || b.IsNewerThan(pollenagent.Backup{Incarnation: 2}) {
		t.Fatal("backups are not ordered by incarnation and version")
	}
}

// TestNoBackupBeforeRestore guards against the loss of flows in a restart: a
// new incarnation that sends backups before it has restored the records of the
// earlier one overwrites them at the backup peers.
func TestNoBackupBeforeRestore(t *testing.T) {
	f := newFlows(t, 1, 3)
	countBackups := func(now time.Time) int {
		n := 0
		for _, a := range f.Tick(now) {
			if _, ok := a.(pollenagent.SendBackup); ok {
				n++
			}
		}
		return n
	}
	if n := countBackups(start.Add(time.Minute)); n != 0 {
		t.Fatalf("%d backups before the records were restored, want none", n)
	}
	f.EnableBackups()
	if n := countBackups(start.Add(2 * time.Minute)); n != 2 {
		t.Fatalf("%d backups afterwards, want one for each of two backup peers", n)
	}
}

// BenchmarkDecideHeld decides about a packet whose flow this agent holds.
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
		Key: p.Key, Holder: pollenview.MemberRef{Name: holder.Name, Incarnation: holder.Incarnation},
	}})
	b.ReportAllocs()
	for range b.N {
		if d := f.Decide(now, &p); d.Kind != pollenagent.DecisionForward {
			b.Fatal(d)
		}
	}
}

// BenchmarkDecideOpen opens and ends a flow per iteration.
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

// BenchmarkMemoryPerFlow reports the heap bytes of a held flow and of a
// directory entry.
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
			f.HandleRegistrations(start, []pollenflow.Registration{{Key: key(i), Holder: pollenview.MemberRef{Name: "feed-2", Incarnation: 1}}})
		}), "B/entry")
	}
}

func key(i int) pollenflow.Key {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 50000)
}
