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

func controlAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 1, byte(i)}), 7000)
}

func newNode() *pollenmember.Node {
	return pollenmember.NewNode(pollenmember.Config{
		Self: pollenview.Member{Name: "balancer-1"}, Control: []netip.AddrPort{controlAddress(1), controlAddress(2), controlAddress(3)},
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

// readyAction reports whether the actions include a Ready, and returns its
// WithoutMajority.
func readyAction(actions []pollenmember.Action) (ready, withoutMajority bool) {
	for _, a := range actions {
		if r, ok := a.(pollenmember.Ready); ok {
			return true, r.WithoutMajority
		}
	}
	return false, false
}

// TestStartRequiresMajority guards against a start that serves an outdated view.
// The first control host to answer may itself be behind, so the node must wait
// for a majority and for the highest revision that it reports.
func TestStartRequiresMajority(t *testing.T) {
	n := newNode()
	n.Step(start, pollenmember.Tick{})
	notice := func(from int, revision pollenview.Revision) pollenmember.NoticeReceived {
		return pollenmember.NoticeReceived{From: controlAddress(from), Notice: pollenmember.Notice{Revision: revision, FromControlHost: true}}
	}
	n.Step(start, notice(1, 5))
	if ready, _ := readyAction(n.Step(start, pollenmember.Fetched{Update: pollenview.Update{Full: view(5, 1)}})); ready {
		t.Fatal("ready after one of three control hosts answered")
	}
	if ready, _ := readyAction(n.Step(start, notice(2, 7))); ready {
		t.Fatal("ready at revision 5 although a control host reports 7")
	}
	if ready, withoutMajority := readyAction(n.Step(start, pollenmember.Fetched{Update: pollenview.Update{Full: view(7, 1)}})); !ready || withoutMajority {
		t.Fatal("not ready at the highest revision that the majority reports")
	}
}

// TestStartWithoutMajorityAfterTimeout guards against a start that never serves
// while the control hosts are unreachable. After StartTimeout the node must serve
// the newest view that it got from peers, report that it does so without a
// majority, and never return to a lower revision.
func TestStartWithoutMajorityAfterTimeout(t *testing.T) {
	n := newNode()
	n.Step(start, pollenmember.Tick{})
	n.Step(start, pollenmember.NoticeReceived{From: memberAddress(), Notice: pollenmember.Notice{Revision: 4}})
	if ready, _ := readyAction(n.Step(start, pollenmember.Fetched{Update: pollenview.Update{Full: view(4, 1)}})); ready {
		t.Fatal("ready before the start timeout without control hosts")
	}
	if ready, withoutMajority := readyAction(n.Step(start.Add(3*time.Second), pollenmember.Tick{})); !ready || !withoutMajority {
		t.Fatal("not ready without a majority after the start timeout")
	}
	n.Step(start.Add(4*time.Second), pollenmember.Fetched{Update: pollenview.Update{Full: view(3, 1)}})
	if got := n.View().Revision; got != 4 {
		t.Fatalf("view is at revision %d after an older update, want 4", got)
	}
}

func memberAddress() netip.AddrPort { return netip.MustParseAddrPort("127.4.0.0:7000") }

// BenchmarkMemberHeartbeat measures a member's work for one heartbeat and its
// answer in a system of the planned size, without the system calls.
func BenchmarkMemberHeartbeat(b *testing.B) {
	n := newNode()
	now := start
	n.Step(now, pollenmember.Fetched{Update: pollenview.Update{Full: view(5, 6380)}})
	b.ReportAllocs()
	for range b.N {
		now = now.Add(500 * time.Millisecond)
		n.Step(now, pollenmember.Tick{})
		n.Step(now, pollenmember.NoticeReceived{From: controlAddress(1), Notice: pollenmember.Notice{
			Revision: 5, FromControlHost: true, Leader: controlAddress(1),
		}})
	}
}
