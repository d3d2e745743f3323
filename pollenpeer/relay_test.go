package pollenpeer_test

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenpeer"
)

// Sizes of the systems in the tests of relays.
const (
	domains           = 5
	balancersInDomain = 20
	gatesInDomain     = 41
)

func domainName(d int) pollendocument.DomainName {
	return pollendocument.DomainName(fmt.Sprintf("d%d", d))
}

// allDomains returns the failure domains of a large system.
func allDomains() []pollendocument.DomainName {
	var all []pollendocument.DomainName
	for d := range domains {
		all = append(all, domainName(d))
	}
	return all
}

func member(domain, number int, role pollenpeer.Role) pollenpeer.Peer {
	return pollenpeer.Peer{
		Address: netip.MustParseAddrPort(fmt.Sprintf("10.%d.0.%d:7000", domain, number)), Role: role,
		Domain: domainName(domain), Incarnation: 1, Sequence: 1,
	}
}

// members returns the peers of a large system. In each domain the first are
// balancers, and the first of these has the fastest link.
func members() []pollenpeer.Peer {
	var all []pollenpeer.Peer
	for d := range domains {
		for n := range balancersInDomain {
			p := member(d, n+1, pollenpeer.RoleBalancer)
			p.LinkRate = 2_000
			if n == 0 {
				p.LinkRate = 100_000
			}
			all = append(all, p)
		}
		for n := range gatesInDomain {
			p := member(d, 100+n, pollenpeer.RoleGate)
			p.Server = pollenpeer.Server{Service: "rings", State: pollenpeer.ServerReady}
			all = append(all, p)
		}
	}
	return all
}

// largeTable returns the table of a process that knows the peers by facts only.
func largeTable(now time.Time, self pollenpeer.Peer, known []pollenpeer.Peer) *pollenpeer.Table {
	tb := pollenpeer.NewTable(self, allDomains(), nil)
	tb.MergeFacts(now, factsOf(known))
	return tb
}

func factsOf(peers []pollenpeer.Peer) []pollenpeer.Fact {
	facts := make([]pollenpeer.Fact, len(peers))
	for i := range peers {
		facts[i] = pollenpeer.Fact{Peer: peers[i]}
	}
	return facts
}

// hear lets the table receive a heartbeat of each peer directly.
func hear(tb *pollenpeer.Table, now time.Time, sequence uint64, report bool, peers ...pollenpeer.Peer) {
	for i := range peers {
		h := pollenpeer.Heartbeat{Peer: peers[i], Relayed: true, Report: report}
		h.Peer.Sequence = sequence
		tb.Receive(now, &h)
	}
}

// TestHeartbeatsOfLargeSystemsAreBounded guards against heartbeats that grow with
// balancers times gates: with 96 balancers and 204 gates they took more than half of
// a link of 2 Mbit/s.
func TestHeartbeatsOfLargeSystemsAreBounded(t *testing.T) {
	all := members()
	sent := 0
	for i := range all {
		tb := largeTable(startTime, all[i], all)
		if all[i].Role == pollenpeer.RoleGate {
			hear(tb, startTime, 2, false, member(0, 1, pollenpeer.RoleBalancer))
		}
		targets := tb.ReportTargets(startTime)
		relay, _ := tb.IsRelay(all[i].Domain)
		switch {
		case relay:
			sent += len(targets)
		case len(targets) != 2:
			t.Fatalf("%s sends its heartbeats to %v; want two relays", all[i].Address, targets)
		}
		fastest := member(int(all[i].Address.Addr().As4()[1]), 1, pollenpeer.RoleBalancer)
		if !relay && !slices.Contains(targets, fastest.Address) {
			t.Fatalf("%s sends its heartbeats to %v; want the balancer with the fastest link among them", all[i].Address, targets)
		}
	}
	if want := domains * 2 * (domains*2 - 1); sent != want {
		t.Fatalf("relays send %d heartbeats to each other; want %d", sent, want)
	}
}

// TestRelayVouchesForWhomItHears guards against peers that count as present after
// they have fallen silent, and as silent while a relay hears them.
func TestRelayVouchesForWhomItHears(t *testing.T) {
	all := members()
	relay := largeTable(startTime, all[0], all)
	receiver := largeTable(startTime, member(1, 5, pollenpeer.RoleBalancer), all)
	own := all[1 : balancersInDomain+gatesInDomain]
	silent := own[len(own)-1]
	later := startTime
	for round := range 12 {
		later = startTime.Add(time.Duration(round+1) * pollenpeer.HeartbeatInterval)
		relay.ReportTargets(later)
		hear(relay, later, uint64(round+2), true, own[:len(own)-1]...)
		r, ok := relay.NextRound(later)
		if !ok || len(r.Own) != 1 {
			t.Fatalf("round %d: the relay vouches for %d domains; want its own", round, len(r.Own))
		}
		h := pollenpeer.Heartbeat{Peer: all[0], Relayed: true, Vouches: r.Own}
		h.Peer.Sequence = uint64(round + 2)
		receiver.Receive(later, &h)
		receiver.MergeVouches(later, &h)
	}
	heard, _ := receiver.Get(own[0].Address)
	if age := later.Sub(heard.LastSeen); age >= pollenpeer.FreshAge {
		t.Errorf("a peer that the relay hears was last seen %s ago", age)
	}
	unheard, _ := receiver.Get(silent.Address)
	if age := later.Sub(unheard.LastSeen); age < pollenpeer.RelayedFreshAge {
		t.Errorf("a peer that the relay does not hear was last seen %s ago", age)
	}
}

// TestNewRelayDoesNotVouch guards against statements of a relay that hears only a few
// of its domain, with a list of all others.
func TestNewRelayDoesNotVouch(t *testing.T) {
	all := members()
	relay := largeTable(startTime, all[0], all)
	hear(relay, startTime, 2, true, all[1:5]...)
	r, ok := relay.NextRound(startTime)
	if !ok || len(r.Own) != 0 {
		t.Fatalf("a relay that hears 4 of %d peers vouches for %d domains; want none", balancersInDomain+gatesInDomain-1, len(r.Own))
	}
}

// TestUnheardGateIsKept guards against resetting the flows of a gate that its relays
// know and do not vouch for, because it does not receive what they send.
func TestUnheardGateIsKept(t *testing.T) {
	all := members()
	gate := all[len(all)-1]
	tb := largeTable(startTime, member(1, 5, pollenpeer.RoleBalancer), all)
	now := startTime
	state := func(sequence uint64, list func(v *pollenpeer.Vouch) *[]netip.AddrPort) {
		now = now.Add(pollenpeer.HeartbeatInterval)
		heartbeats := vouchesOf(now, sequence, all, domains)
		last := &heartbeats[domains-1].Vouches[0]
		*list(last) = append(*list(last), gate.Address)
		receive(tb, now, heartbeats)
		tb.Expire(now)
	}
	for i := range uint64(40) {
		state(i+2, func(v *pollenpeer.Vouch) *[]netip.AddrPort { return &v.Unheard })
	}
	if _, known := tb.Get(gate.Address); !known {
		t.Fatalf("after %s a gate is removed that its relay knows", now.Sub(startTime))
	}
	state(100, func(v *pollenpeer.Vouch) *[]netip.AddrPort { return &v.Gone })
	if _, known := tb.Get(gate.Address); known {
		t.Fatal("a gate is kept that its relay has removed")
	}
}

// TestReportsToOthersReachTheRelays guards against relays that remove a peer which
// reports to another balancer, because it did not get their answers.
func TestReportsToOthersReachTheRelays(t *testing.T) {
	all := members()
	tb := largeTable(startTime, all[7], all)
	tb.ReportTargets(startTime)
	gate := all[balancersInDomain+3]
	hear(tb, startTime, 2, true, gate)
	r, ok := tb.NextRound(startTime)
	relays := tb.RelaysOf(domainName(0))
	if !ok || len(relays) != 2 || !slices.Equal(r.Relays, relays) {
		t.Fatalf("reports are passed on to %v; want the relays %v", r.Relays, relays)
	}
	if len(r.RelayFacts) != 1 || r.RelayFacts[0].Peer.Address != gate.Address {
		t.Fatalf("%d facts are passed on; want the one about the gate that reports", len(r.RelayFacts))
	}
}

// TestPeerOutlivesItsFacts guards against removing peers that a relay vouches for
// when newer facts about them are lost: the flows of such gates would be reset.
func TestPeerOutlivesItsFacts(t *testing.T) {
	all := members()
	tb := largeTable(startTime, member(1, 5, pollenpeer.RoleBalancer), all)
	for i := range 75 {
		now := startTime.Add(time.Duration(i+1) * pollenpeer.HeartbeatInterval)
		receive(tb, now, vouchesOf(now, uint64(i+2), all, domains))
		if expired := tb.Expire(now); len(expired) > 0 {
			t.Fatalf("%d peers expired after %s, although relays vouch for them", len(expired), now.Sub(startTime))
		}
	}
}

// TestExpiredPeerIsNotBroughtBack guards against peers that are passed on for ever by
// processes that have not noticed yet that they are gone.
func TestExpiredPeerIsNotBroughtBack(t *testing.T) {
	all := members()
	tb := largeTable(startTime, all[0], all)
	later := startTime.Add(pollenpeer.PeerTimeout)
	// A relay decides for its own domain when a gate is gone.
	tb.ReportTargets(startTime)
	tb.Expire(later)
	facts := factsOf(all[60:61])
	facts[0].Age, facts[0].SeenAge = later.Sub(startTime), later.Sub(startTime)
	tb.MergeFacts(later, facts)
	if _, known := tb.Get(all[60].Address); known {
		t.Fatal("a peer that has expired is known again by an old fact")
	}
	facts[0].SeenAge = time.Second
	tb.MergeFacts(later, facts)
	if _, known := tb.Get(all[60].Address); !known {
		t.Fatal("a peer that was seen after it had expired here is not known")
	}
}

// TestSilentRelayIsReplaced guards against processes that go on reporting to a relay
// which does not answer them, and against leaving it for good.
func TestSilentRelayIsReplaced(t *testing.T) {
	all := members()
	tb := largeTable(startTime, all[7], all)
	first := tb.ReportTargets(startTime)
	now := startTime
	for i := range 4 {
		now = startTime.Add(time.Duration(i+1) * pollenpeer.HeartbeatInterval)
		tb.MergeFacts(now, factsOf(all))
		for _, p := range all {
			if p.Address == first[1] {
				hear(tb, now, uint64(i+2), false, p)
			}
		}
	}
	replaced := tb.ReportTargets(now)
	if slices.Contains(replaced, first[0]) || !slices.Contains(replaced, first[1]) || len(replaced) != 2 {
		t.Fatalf("reports to %v after %s stopped answering, before to %v", replaced, first[0], first)
	}
}

// TestAllRelaysSilent guards against a gate that waits until the relays it knows have
// expired, when all of them fall silent at once: its relays removed it meanwhile, and
// the flows at its server were reset.
func TestAllRelaysSilent(t *testing.T) {
	all := members()
	seed := netip.MustParseAddrPort("10.9.0.1:7000")
	self := all[balancersInDomain]
	tb := pollenpeer.NewTable(self, allDomains(), []netip.AddrPort{seed})
	known := all[:4]
	hear(tb, startTime, 2, false, known...)
	tb.DuePeers(startTime)
	hear(tb, startTime, 3, false, known...)
	later := startTime.Add(2 * pollenpeer.RelayedFreshAge)
	tb.Expire(later)
	due := tb.DuePeers(later)
	if !slices.Contains(due, seed) {
		t.Errorf("heartbeats due: %v; want the seed among them", due)
	}
	for i := range known {
		if !slices.Contains(due, known[i].Address) {
			t.Errorf("heartbeats due: %v; want %s among them", due, known[i].Address)
		}
	}
}

// TestMisdirectedReportIsAnswered guards against domains that take former relays of
// another domain for its relays and so never hear of it again.
func TestMisdirectedReportIsAnswered(t *testing.T) {
	all := members()
	tb := largeTable(startTime, all[7], all)
	tb.ReportTargets(startTime)
	report := pollenpeer.Heartbeat{Peer: member(3, 1, pollenpeer.RoleBalancer), Relayed: true, Report: true}
	if !tb.Misdirected(&report) {
		t.Fatal("a report to a balancer that is no relay does not count as misdirected")
	}
	facts, _ := tb.Snapshot(startTime, &report.Peer)
	relays := tb.RelaysOf(domainName(0))
	for _, a := range relays {
		if !slices.ContainsFunc(facts, func(f pollenpeer.Fact) bool { return f.Peer.Address == a }) {
			t.Errorf("the answer does not name the relay %s", a)
		}
	}
}

// TestOneWayCutIsIsolation guards against a balancer that stays in use although none
// of its packets arrive: it still receives the heartbeats of all others.
func TestOneWayCutIsIsolation(t *testing.T) {
	tb := table()
	tb.Self().Uptime = time.Minute
	unheard := []netip.AddrPort{address(1)}
	for n := 2; n < 12; n++ {
		h := heartbeat(n, 1)
		if n%2 == 0 {
			h.Unheard = unheard
		}
		tb.Receive(startTime, h)
	}
	if tb.Isolated(startTime) {
		t.Fatal("isolated although half of the balancers hear this process")
	}
	h := heartbeat(3, 2)
	h.Unheard = unheard
	tb.Receive(startTime, h)
	if !tb.Isolated(startTime) {
		t.Fatal("not isolated although most balancers hear nothing of this process")
	}
	tb.Self().Uptime = time.Second
	if tb.Isolated(startTime) {
		t.Fatal("isolated just after the start, before the others can have heard of this process")
	}
}

// TestSilenceIsReported guards against heartbeats that do not say from which
// balancers none arrive.
func TestSilenceIsReported(t *testing.T) {
	tb := table()
	tb.Receive(startTime, heartbeat(2, 1))
	tb.Receive(startTime, heartbeat(3, 1))
	later := startTime.Add(pollenpeer.FreshAge)
	tb.Receive(later, heartbeat(3, 2))
	if h := tb.NextHeartbeat(later); !slices.Equal(h.Unheard, []netip.AddrPort{address(2)}) {
		t.Fatalf("unheard: %v; want %s", h.Unheard, address(2))
	}
}
