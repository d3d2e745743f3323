package pollenpeer_test

import (
	"slices"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollenpeer"
)

// vouchesOf returns the heartbeats of one relay of each of the first count domains,
// which hears all of its domain.
func vouchesOf(now time.Time, sequence uint64, all []pollenpeer.Peer, count int) []pollenpeer.Heartbeat {
	var heartbeats []pollenpeer.Heartbeat
	const size = balancersInDomain + gatesInDomain
	for d := range count {
		domain := all[d*size : (d+1)*size]
		since := now.Add(-2 * time.Second)
		relay := largeTable(since, domain[0], all)
		r := pollenpeer.Round{}
		for sequence, at := uint64(2), since; !at.After(now); sequence, at = sequence+1, at.Add(pollenpeer.HeartbeatInterval) {
			relay.ReportTargets(at)
			hear(relay, at, sequence, true, domain[1:]...)
			r, _ = relay.NextRound(at)
		}
		h := pollenpeer.Heartbeat{Peer: domain[0], Relayed: true, Vouches: r.Own}
		h.Peer.Sequence = sequence
		heartbeats = append(heartbeats, h)
	}
	return heartbeats
}

func receive(tb *pollenpeer.Table, now time.Time, heartbeats []pollenpeer.Heartbeat) {
	for i := range heartbeats {
		tb.Receive(now, &heartbeats[i])
		tb.MergeVouches(now, &heartbeats[i])
	}
}

// TestGatesOfUnvouchedDomainMayBeMissing guards against resetting flows whose gates
// have expired because no relay of their domain was heard.
func TestGatesOfUnvouchedDomainMayBeMissing(t *testing.T) {
	all := members()
	tb := largeTable(startTime, member(1, 5, pollenpeer.RoleBalancer), all)
	receive(tb, startTime, vouchesOf(startTime, 2, all, domains))
	if !tb.Complete(startTime) {
		t.Fatal("gates count as missing although a relay vouches for each domain")
	}
	for i := range 40 {
		now := startTime.Add(time.Duration(i+1) * pollenpeer.HeartbeatInterval)
		receive(tb, now, vouchesOf(now, uint64(i+3), all, domains-1))
		tb.Expire(now)
		if now.Sub(startTime) >= pollenpeer.RelayedFreshAge && tb.Complete(now) {
			t.Fatalf("after %s without its relays no gate of domain %s counts as missing", now.Sub(startTime), domainName(domains-1))
		}
	}
}

// TestMissingGateIsNoticed guards against a newcomer that lacks a gate, because its
// snapshot was lost, and resets the flows of that gate: no other gate holds them.
func TestMissingGateIsNoticed(t *testing.T) {
	all := members()
	missing := len(all) - 1
	tb := largeTable(startTime, member(1, 5, pollenpeer.RoleBalancer), all[:missing])
	receive(tb, startTime, vouchesOf(startTime, 2, all, domains))
	if tb.Complete(startTime) {
		t.Fatal("no gate counts as missing although a relay hears one that is not known here")
	}
	if tb.NextHeartbeat(startTime).Incomplete {
		t.Fatal("a snapshot is asked for before the missing gate can arrive by itself")
	}
	later := startTime.Add(2 * pollenpeer.HeartbeatInterval)
	if !tb.NextHeartbeat(later).Incomplete {
		t.Fatal("the missing gate is not asked for")
	}
	tb.MergeFacts(later, factsOf(all[missing:]))
	if !tb.Complete(later) || tb.NextHeartbeat(later).Incomplete {
		t.Fatal("gates count as missing although all are known")
	}
}

// TestUnknownDomainIsNoticed guards against resets of flows in a failure domain of which
// no gate is known yet, so that it seems to have none.
func TestUnknownDomainIsNoticed(t *testing.T) {
	all := members()
	const size = balancersInDomain + gatesInDomain
	tb := largeTable(startTime, member(1, 5, pollenpeer.RoleBalancer), all[:len(all)-gatesInDomain])
	receive(tb, startTime, vouchesOf(startTime, 2, all, domains))
	if tb.Complete(startTime) {
		t.Fatalf("no gate counts as missing although none of domain %s is known", domainName(domains-1))
	}
	tb = largeTable(startTime, member(1, 5, pollenpeer.RoleBalancer), all[:(domains-1)*size])
	receive(tb, startTime, vouchesOf(startTime, 2, all, domains-1))
	if tb.Complete(startTime) {
		t.Fatalf("no gate counts as missing although no peer of domain %s is known", domainName(domains-1))
	}
	tb.Self().Uptime = time.Minute
	if !tb.Complete(startTime) {
		t.Fatalf("gates count as missing although domain %s has had no peer for a minute", domainName(domains-1))
	}
	tb.MergeFacts(startTime, factsOf(all[len(all)-size:len(all)-gatesInDomain]))
	if tb.Complete(startTime) {
		t.Fatalf("no gate counts as missing although only balancers of domain %s are known", domainName(domains-1))
	}
}

// TestNewcomerGoesByThoseWhoKnowMore guards against a balancer that takes a large system
// for a small one, since it knows only a few peers of it, and then believes that every
// gate would have sent it a heartbeat.
func TestNewcomerGoesByThoseWhoKnowMore(t *testing.T) {
	all := members()
	tb := largeTable(startTime, member(1, 50, pollenpeer.RoleBalancer), all[:balancersInDomain+10])
	h := pollenpeer.Heartbeat{Peer: all[0], Relayed: true, KnownBalancers: domains * balancersInDomain}
	h.Peer.Sequence = 2
	tb.Receive(startTime, &h)
	if !tb.Relayed() || tb.Complete(startTime) {
		t.Fatalf("relayed: %t, every gate known: %t; want a large system with unknown gates", tb.Relayed(), tb.Complete(startTime))
	}
	h.Peer.Sequence, h.KnownBalancers = 3, balancersInDomain
	if tb.Receive(startTime, &h); tb.Relayed() {
		t.Fatal("the system still counts as large although all know few balancers")
	}
}

// TestNewRelayIsConfirmed guards against a newcomer that knows only a few gates and, as
// a relay, vouches for them as if they were all: another newcomer that knows the same
// few would reset the flows of all others.
func TestNewRelayIsConfirmed(t *testing.T) {
	all := members()
	few := slices.Concat(all[:balancersInDomain+10], all[balancersInDomain+gatesInDomain:])
	// vouch returns what a relay of the first domain states that knows the peers and
	// has heard those of its domain for a time, and has received the others' statements.
	vouch := func(heard time.Duration, known []pollenpeer.Peer, others ...pollenpeer.Vouch) pollenpeer.Vouch {
		relay := largeTable(startTime, all[0], known)
		statement := pollenpeer.Vouch{}
		for sequence, at := uint64(2), time.Duration(0); at <= heard; sequence, at = sequence+1, at+pollenpeer.HeartbeatInterval {
			now := startTime.Add(at)
			relay.ReportTargets(now)
			hearDomain(relay, now, sequence, known[1:])
			relay.MergeVouches(now, &pollenpeer.Heartbeat{Peer: all[1], Vouches: others})
			r, ok := relay.NextRound(now)
			if !ok || len(r.Own) != 1 {
				t.Fatalf("the relay vouches for %d domains; want its own", len(r.Own))
			}
			statement = r.Own[0]
		}
		return statement
	}
	settled, same := vouch(2*time.Second, all), vouch(2*time.Second, few)
	settled.Relay, same.Relay = all[1].Address, all[1].Address
	for name, c := range map[string]struct {
		vouch pollenpeer.Vouch
		want  bool
	}{
		"just started":                 {vouch(0, few), false},
		"hears for long":               {vouch(2*time.Second, few), true},
		"just started, confirmed":      {vouch(0, few, same), true},
		"hears for long, contradicted": {vouch(2*time.Second, few, settled), false},
	} {
		if c.vouch.Complete != c.want {
			t.Errorf("a relay that %s vouches for all gates: %t; want %t", name, c.vouch.Complete, c.want)
		}
	}
}

// TestPausedRelayIsConfirmed guards against a relay that was paused, and vouches for all
// gates as soon as it hears its domain again: it may have missed new ones.
func TestPausedRelayIsConfirmed(t *testing.T) {
	all := members()
	relay := largeTable(startTime, all[0], all)
	complete := func(at time.Duration, sequence uint64) bool {
		now := startTime.Add(at)
		relay.ReportTargets(now)
		hearDomain(relay, now, sequence, all[1:])
		r, ok := relay.NextRound(now)
		return ok && len(r.Own) == 1 && r.Own[0].Complete
	}
	for i := range 6 {
		if at := time.Duration(i) * pollenpeer.HeartbeatInterval; complete(at, uint64(i+2)) != (i == 5) {
			t.Fatalf("vouches for all gates after %s: %t", at, i != 5)
		}
	}
	resumed := 8 * time.Second
	if complete(resumed+pollenpeer.HeartbeatInterval, 20) {
		t.Fatal("vouches for all gates just after a pause")
	}
}

// hearDomain lets the table receive a heartbeat of each peer of the first domain.
func hearDomain(tb *pollenpeer.Table, now time.Time, sequence uint64, peers []pollenpeer.Peer) {
	for i := range peers {
		if peers[i].Domain == domainName(0) {
			hear(tb, now, sequence, true, peers[i])
		}
	}
}

// TestSilentDomainCausesNoSnapshots guards against hundreds of processes that ask for a
// snapshot every second while a failure domain is lost: nobody knows its gates better.
func TestSilentDomainCausesNoSnapshots(t *testing.T) {
	all := members()
	tb := largeTable(startTime, member(1, 5, pollenpeer.RoleBalancer), all)
	for i := range 5 {
		now := startTime.Add(time.Duration(i) * pollenpeer.HeartbeatInterval)
		receive(tb, now, vouchesOf(now, uint64(i+2), all, domains-1))
		if tb.Complete(now) {
			t.Fatalf("no gate counts as missing although no relay vouches for domain %s", domainName(domains-1))
		}
		if tb.NextHeartbeat(now).Incomplete {
			t.Fatalf("a snapshot is asked for after %s without a relay of domain %s", now.Sub(startTime), domainName(domains-1))
		}
	}
	if now := startTime.Add(4 * pollenpeer.HeartbeatInterval); !tb.Unsure(now) {
		t.Fatal("the process does not know that gates may be missing")
	}
}

// TestSnapshotIsRepeated guards against a relay that sends the snapshot only once,
// though it may be lost, and against one that sends it with every heartbeat.
func TestSnapshotIsRepeated(t *testing.T) {
	all := members()
	tb := largeTable(startTime, all[0], all)
	tb.ReportTargets(startTime)
	lacking := all[4].Address
	if !tb.SnapshotDue(startTime, lacking) || tb.SnapshotDue(startTime.Add(pollenpeer.HeartbeatInterval), lacking) {
		t.Fatal("want a snapshot at once, and none at the next heartbeat")
	}
	if !tb.SnapshotDue(startTime.Add(time.Second), lacking) {
		t.Fatal("no snapshot a second after the last one")
	}
	if tb.SnapshotDue(startTime, all[len(all)-1].Address) {
		t.Fatal("a snapshot is sent to a peer of another failure domain")
	}
}
