package pollenmember_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenmember"
	"pollenstep.example/pollenstep/pollenview"
)

var start = time.Unix(1_000_000, 0)

func controlAt(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 7000)
}

func newNode() *pollenmember.Node {
	return pollenmember.NewNode(pollenmember.Config{
		Self: pollenview.Member{Name: "balancer-1"}, Control: []netip.AddrPort{controlAt(1), controlAt(2), controlAt(3)},
		HeartbeatInterval: 500 * time.Millisecond, StartTimeout: 3 * time.Second, FetchTimeout: time.Second, Seed: 1,
	})
}

func view(revision pollenview.Revision, members int) *pollenview.View {
	v := pollenview.NewView()
	v.Revision = revision
	v.Document.Put(pollendocument.Section{Team: pollendocument.DomainsTeam, Domains: []pollendocument.Domain{
		{Name: "celje-a", State: pollendocument.DomainIn},
	}})
	for i := range members {
		m := pollenview.Member{
			Name: pollendocument.ServerName(fmt.Sprintf("agent-%d", i)), Role: pollenview.RoleAgent, Domain: "celje-a",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 4, byte(i >> 8), byte(i)}), 7000),
		}
		v.Members[m.Name] = m
	}
	return v
}

// ready reports whether the actions say that the node serves, and how.
func ready(actions []pollenmember.Action) (serves, alone bool) {
	for _, a := range actions {
		if r, ok := a.(pollenmember.Ready); ok {
			return true, r.WithoutMajority
		}
	}
	return false, false
}

// TestStartAsksMajority checks that a start serves only once it holds what a
// majority of control hosts reports.
func TestStartAsksMajority(t *testing.T) {
	n := newNode()
	n.Step(start, pollenmember.Tick{})
	notice := func(from int, revision pollenview.Revision) pollenmember.NoticeReceived {
		return pollenmember.NoticeReceived{From: controlAt(from), Notice: pollenmember.Notice{Revision: revision, FromControlHost: true}}
	}
	n.Step(start, notice(1, 5))
	if serves, _ := ready(n.Step(start, pollenmember.Fetched{Update: pollenview.Update{Full: view(5, 1)}})); serves {
		t.Fatal("serves after one of three control hosts answered")
	}
	if serves, _ := ready(n.Step(start, notice(2, 7))); serves {
		t.Fatal("serves revision 5 although a control host reports 7")
	}
	if serves, alone := ready(n.Step(start, pollenmember.Fetched{Update: pollenview.Update{Full: view(7, 1)}})); !serves || alone {
		t.Fatal("does not serve what the majority reports")
	}
}

// TestStartAloneAfterBound checks that a start without a majority serves the
// newest view heard of once the bound has passed, and says so.
func TestStartAloneAfterBound(t *testing.T) {
	n := newNode()
	n.Step(start, pollenmember.Tick{})
	n.Step(start, pollenmember.NoticeReceived{From: memberAt(), Notice: pollenmember.Notice{Revision: 4}})
	if serves, _ := ready(n.Step(start, pollenmember.Fetched{Update: pollenview.Update{Full: view(4, 1)}})); serves {
		t.Fatal("serves at once without control")
	}
	if serves, alone := ready(n.Step(start.Add(3*time.Second), pollenmember.Tick{})); !serves || !alone {
		t.Fatal("does not serve after the bound")
	}
	n.Step(start.Add(4*time.Second), pollenmember.Fetched{Update: pollenview.Update{Full: view(3, 1)}})
	if got := n.View().Revision; got != 4 {
		t.Fatalf("moved to the lower revision %d", got)
	}
}

func memberAt() netip.AddrPort { return netip.MustParseAddrPort("127.4.0.0:7000") }

// BenchmarkMemberBeat is a member's work between two heartbeats at the planned
// size, without the system calls.
func BenchmarkMemberBeat(b *testing.B) {
	n := newNode()
	now := start
	n.Step(now, pollenmember.Fetched{Update: pollenview.Update{Full: view(5, 6380)}})
	b.ReportAllocs()
	for range b.N {
		now = now.Add(500 * time.Millisecond)
		n.Step(now, pollenmember.Tick{})
		n.Step(now, pollenmember.NoticeReceived{From: controlAt(1), Notice: pollenmember.Notice{
			Revision: 5, FromControlHost: true, Leader: controlAt(1),
		}})
	}
}
