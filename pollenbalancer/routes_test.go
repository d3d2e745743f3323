package pollenbalancer_test

import (
	"fmt"
	"net/netip"
	"testing"

	"pollenstep.example/pollenstep/pollenbalancer"
	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenflow"
	"pollenstep.example/pollenstep/pollenview"
)

// newView returns a view with the given numbers of services and of agents of
// each service, which are spread over three failure domains.
func newView(services, agents int) *pollenview.View {
	v := pollenview.NewView()
	domains := pollendocument.Section{Team: pollendocument.DomainsTeam}
	for i := range 3 {
		domains.Domains = append(domains.Domains, pollendocument.Domain{
			Name: pollendocument.DomainName(fmt.Sprintf("d%d", i)), State: pollendocument.DomainIn,
		})
	}
	v.Document.Put(domains)
	team := pollendocument.Section{Team: "team"}
	for i := range services {
		name := pollendocument.ServiceName(fmt.Sprintf("s%04d", i))
		team.Services = append(team.Services, pollendocument.Service{
			Name: name, Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 9, byte(i >> 8), byte(i)}), 4430),
		})
		for j := range agents {
			m := pollenview.Member{
				Name: pollendocument.ServerName(fmt.Sprintf("%s-%d", name, j)), Role: pollenview.RoleAgent, Service: name,
				Domain: pollendocument.DomainName(fmt.Sprintf("d%d", j%3)), State: pollendocument.ServerActive,
				Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 8, byte(i), byte(j)}), 7000),
			}
			v.Members[m.Name] = m
		}
	}
	v.Document.Put(team)
	v.Revision = 1
	return v
}

// TestUpdateReplacesOnlyChangedRoutes guards against updates whose cost grows
// with the number of services, and against new flows at a draining agent: a
// change of one service's agents must replace the route of that service alone,
// and the new route must not contain the draining agent.
func TestUpdateReplacesOnlyChangedRoutes(t *testing.T) {
	v := newView(20, 4)
	r := pollenbalancer.NewRoutes()
	if got := len(r.Update(v)); got != 20 {
		t.Fatalf("first update changed %d routes, want 20", got)
	}
	if got := len(r.Update(v)); got != 0 {
		t.Fatalf("update with the same view changed %d routes, want none", got)
	}
	m := v.Members["s0003-1"]
	m.State = pollendocument.ServerDraining
	v.Members[m.Name] = m
	changes := r.Update(v)
	if len(changes) != 1 || changes[0].Route.Service != "s0003" {
		t.Fatalf("changes %+v, want one of s0003", changes)
	}
	for port := range uint16(2000) {
		target, ok := changes[0].Route.Decide(netip.AddrPortFrom(netip.MustParseAddr("192.0.2.1"), port+1))
		if !ok || target.Address == m.Address {
			t.Fatalf("caller port %d: got no agent or the draining one %s", port+1, m.Name)
		}
	}
}

// TestDomainOutMovesOnlyItsBuckets guards against needless moves of directory
// entries: when a failure domain goes out, the buckets owned by agents in the
// other domains must stay with their owners.
func TestDomainOutMovesOnlyItsBuckets(t *testing.T) {
	v := newView(1, 6)
	before := pollenflow.NewOwners(v, "s0000")
	section := v.Document.Section(pollendocument.DomainsTeam)
	section.Domains[0].State = pollendocument.DomainOut
	after := pollenflow.NewOwners(v, "s0000")
	for b := range pollenflow.Bucket(pollenflow.BucketCount) {
		was, _ := before.Owner(b)
		is, _ := after.Owner(b)
		if is.Domain == "d0" || (was.Domain != "d0" && was.Name != is.Name) {
			t.Fatalf("bucket %d moved from %s in %s to %s in %s", b, was.Name, was.Domain, is.Name, is.Domain)
		}
	}
}

// TestOpensFlow checks that Initial packets of QUIC versions 1 and 2 are
// recognized, and that other packets, packets of other versions and packets too
// short for a version field are not.
func TestOpensFlow(t *testing.T) {
	for _, c := range []struct {
		packet []byte
		want   bool
	}{
		{[]byte{0xc0, 0, 0, 0, 1, 8}, true},
		{[]byte{0xcf, 0, 0, 0, 1}, true},
		{[]byte{0xe0, 0, 0, 0, 1}, false},
		{[]byte{0xd0, 0x6b, 0x33, 0x43, 0xcf}, true},
		{[]byte{0xc0, 0x6b, 0x33, 0x43, 0xcf}, false},
		{[]byte{0x40, 0, 0, 0, 1}, false},
		{[]byte{0xc0, 0, 0}, false},
		{nil, false},
	} {
		if got := pollenbalancer.OpensFlow(c.packet); got != c.want {
			t.Errorf("OpensFlow(%x) = %t, want %t", c.packet, got, c.want)
		}
	}
}

// BenchmarkDecideBalancer chooses the agent for a packet.
func BenchmarkDecideBalancer(b *testing.B) {
	r := pollenbalancer.NewRoutes()
	route := r.Update(newView(1, 7))[0].Route
	caller := netip.MustParseAddrPort("192.0.2.1:50000")
	b.ReportAllocs()
	for range b.N {
		if _, ok := route.Decide(caller); !ok {
			b.Fatal("no agent")
		}
	}
}

// BenchmarkRoutesFull builds the routes of 1800 services with 3 agents each, the
// planned size.
func BenchmarkRoutesFull(b *testing.B) {
	v := newView(1800, 3)
	b.ReportAllocs()
	for range b.N {
		pollenbalancer.NewRoutes().Update(v)
	}
}

// BenchmarkRoutesChange applies one change of members at the planned size.
func BenchmarkRoutesChange(b *testing.B) {
	v := newView(1800, 3)
	r := pollenbalancer.NewRoutes()
	r.Update(v)
	m := v.Members["s0003-1"]
	b.ReportAllocs()
	for i := range b.N {
		m.Incarnation = pollenview.Incarnation(i + 1)
		v.Members[m.Name] = m
		if got := len(r.Update(v)); got != 1 {
			b.Fatalf("%d routes changed", got)
		}
	}
}
