package pollencontrol_test

import (
	"flag"
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenstep.example/pollenstep/pollencontrol"
	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenlog"
)

// raceSchedules is the number of seeded interleavings of two operators.
const raceSchedules = 1000

// operator submits a document and resends until the outcome is known.
type operator struct {
	name    string
	id      string
	doc     *pollendocument.Document
	pending []pollencontrol.Token
}

// TestOperatorsRace lets two operators submit different documents with equal
// versions while answers are lost, hosts crash and leaders change. Exactly one
// is accepted, resends get the same answer, and the loser is told the winner.
func TestOperatorsRace(t *testing.T) {
	checks := flag.Lookup("rapid.checks")
	before := checks.Value.String()
	defer func() { _ = checks.Value.Set(before) }()
	if err := checks.Value.Set(strconv.Itoa(raceSchedules)); err != nil {
		t.Fatal(err)
	}
	schedules := 0
	rapid.Check(t, func(t *rapid.T) {
		schedules++
		race(t)
	})
	t.Logf("%d schedules", schedules)
}

func race(t *rapid.T) {
	s := newSystem(t, 3)
	s.settle()
	s.mustSubmit("first", document(0, 3))
	operators := []*operator{
		{name: "ana", id: "ana-1", doc: document(1, 4)},
		{name: "bor", id: "bor-1", doc: document(1, 5)},
	}
	s.lossy = rapid.IntRange(0, 20).Draw(t, "loss")
	for range rapid.IntRange(6, 20).Draw(t, "steps") {
		s.raceStep(t, operators)
	}
	s.lossy = 0
	for _, h := range s.hosts {
		h.cut, h.frozen = false, false
		if h.down {
			s.boot(h)
		}
	}
	s.settle()
	for range 3 {
		for _, o := range operators {
			o.pending = append(o.pending, s.submit(s.settle(), o.id, o.name, o.doc))
			s.run(10 * tick)
		}
	}
	checkRace(t, s, operators)
}

func (s *system) raceStep(t *rapid.T, operators []*operator) {
	h := s.hosts[rapid.IntRange(0, len(s.hosts)-1).Draw(t, "host")]
	switch rapid.IntRange(0, 7).Draw(t, "action") {
	case 0, 1, 2:
		o := operators[rapid.IntRange(0, 1).Draw(t, "operator")]
		to := h
		if l := s.leader(); l != nil {
			to = l
		}
		if !to.down && !to.frozen {
			o.pending = append(o.pending, s.submit(to, o.id, o.name, o.doc))
		}
	case 3:
		if h.down {
			s.boot(h)
		} else {
			h.down = true
		}
	case 4:
		h.frozen = !h.frozen
	case 5:
		h.cut = !h.cut
	default:
		s.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks")) * tick)
	}
}

func checkRace(t *rapid.T, s *system, operators []*operator) {
	accepted := 0
	for _, o := range operators {
		outcome := finalAnswer(t, s, o)
		if outcome.Verdict == pollencontrol.VerdictDone {
			accepted++
			continue
		}
		winners := outcome.Outcome.Sections
		if len(winners) != 1 || winners[0].Version != 2 || winners[0].Submitter == o.name || winners[0].Submitter == "" ||
			!slices.Contains(winners[0].Fields, "services.rings") || winners[0].Hash == "" {
			t.Fatalf("%s lost and was told %+v", o.name, winners)
		}
	}
	if accepted != 1 {
		t.Fatalf("%d submissions were accepted", accepted)
	}
	slots := slotsOf(s.hosts[0].node.View())
	for _, h := range s.hosts {
		if got := slotsOf(h.node.View()); got != slots || (got != 4 && got != 5) {
			t.Fatalf("hosts disagree: %d and %d slots", slots, got)
		}
	}
}

// finalAnswer checks that every answer that tells the outcome is the same, and
// returns it.
func finalAnswer(t *rapid.T, s *system, o *operator) pollencontrol.Answer {
	var outcome *pollencontrol.Answer
	for _, token := range o.pending {
		a, ok := s.answers[token]
		if !ok || a.Verdict == pollencontrol.VerdictUnknown || a.Verdict == pollencontrol.VerdictNotRun {
			continue
		}
		if outcome != nil && (outcome.Verdict != a.Verdict || outcome.Outcome.Revision != a.Outcome.Revision) {
			t.Fatalf("%s got %+v and then %+v", o.name, outcome, a)
		}
		outcome = &a
	}
	if outcome == nil {
		t.Fatalf("%s got no outcome", o.name)
	}
	return *outcome
}

// TestNotRunIsTrue cuts the leader off and checks that what it refuses as not
// run is never in force, and that what it accepted is never lost.
func TestNotRunIsTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSystem(t, 3)
		s.settle()
		s.mustSubmit("first", document(0, 3))
		version := uint64(1)
		refused := map[int]bool{}
		inForce := 3
		for i := range rapid.IntRange(2, 8).Draw(t, "submissions") {
			h := s.hosts[rapid.IntRange(0, 2).Draw(t, "host")]
			if rapid.Bool().Draw(t, "toggle") {
				h.cut = !h.cut
			}
			slots := 10 + i
			target := s.hosts[rapid.IntRange(0, 2).Draw(t, "target")]
			token := s.submit(target, fmt.Sprintf("s%d", i), "test", document(version, slots))
			s.run(time.Duration(rapid.IntRange(0, 400).Draw(t, "ticks")) * tick)
			a, ok := s.answers[token]
			switch {
			case ok && a.Verdict == pollencontrol.VerdictDone:
				version++
				inForce = slots
			case ok && a.Verdict == pollencontrol.VerdictNotRun:
				refused[slots] = true
			default:
				// Not known: heal and ask again, as an operator would.
				for _, h := range s.hosts {
					h.cut = false
				}
				l := s.settle()
				token = s.submit(l, fmt.Sprintf("s%d", i), "test", document(version, slots))
				s.run(20 * tick)
				if a, ok = s.answers[token]; !ok || a.Verdict != pollencontrol.VerdictDone {
					t.Fatalf("resent submission got %+v", a)
				}
				version++
				inForce = slots
			}
		}
		for _, h := range s.hosts {
			h.cut = false
		}
		s.settle()
		s.run(time.Second)
		for _, h := range s.hosts {
			got := slotsOf(h.node.View())
			if refused[got] || got != inForce {
				t.Fatalf("host %s has %d slots in force; accepted last: %d; refused as not run: %v", h.address, got, inForce, refused)
			}
		}
	})
}

// TestRepair loses a host's disk, repairs it, loses a second host straight
// after the repair is reported done, and checks that nothing is lost.
func TestRepair(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSystem(t, 3)
		s.settle()
		s.mustSubmit("first", document(0, 3))
		l := s.settle()
		var others []*host
		for _, h := range s.hosts {
			if h != l {
				others = append(others, h)
			}
		}
		lost, second := others[0], others[1]
		if rapid.Bool().Draw(t, "lose the leader next") {
			second = l
		}
		lost.disk = pollenlog.StoredState{}
		// The new identity may sort before or after the lost one.
		lost.id = pollenlog.ReplicaID(rapid.SampledFrom([]int{5, 77}).Draw(t, "identity"))
		s.boot(lost)
		s.run(time.Second)
		s.mustSubmit("second", document(1, 4))
		if got := lost.node.LogStatus().Last; got != 0 {
			t.Fatalf("a replica that lost its disk took part before its repair, up to %d", got)
		}
		s.token++
		repair := s.token
		s.step(s.leader(), pollencontrol.Repair{Token: repair, Address: lost.address})
		for range 200 {
			if _, done := s.answers[repair]; done {
				break
			}
			s.run(tick)
		}
		if a := s.answers[repair]; a.Verdict != pollencontrol.VerdictDone {
			t.Fatalf("repair: %+v", a)
		}
		second.down = true
		second.disk = pollenlog.StoredState{}
		for range 50 {
			s.run(100 * time.Millisecond)
			if s.leader() != nil {
				break
			}
		}
		if s.leader() == nil {
			t.Fatalf("no leader after the second loss")
		}
		if got := slotsOf(s.leader().node.View()); got != 4 {
			t.Fatalf("%d slots in force after the second loss; accepted were 4", got)
		}
		s.mustSubmit("third", document(2, 5))
	})
}

// TestCutMemberLearnsFromPeers keeps control away from one member and checks
// that it learns of a domain taken out within three seconds.
func TestCutMemberLearnsFromPeers(t *testing.T) {
	const bound = 3 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		s := newSystem(t, 3)
		s.settle()
		s.addMembers(6)
		s.mustSubmit("first", document(0, 3))
		s.run(3 * time.Second)
		cut := s.members[rapid.IntRange(0, 5).Draw(t, "cut")]
		cut.behind = true
		s.run(time.Duration(rapid.IntRange(0, 100).Draw(t, "phase")) * tick)
		out := document(1, 3, pollendocument.DomainOut)
		out.Section(pollendocument.DomainsTeam).Version = 1
		a := s.mustSubmit("out", out)
		s.run(bound)
		if cut.node.View().Revision < a.Outcome.Revision || cut.node.View().DomainTakesTraffic(domainNames[0]) {
			t.Fatalf("a member cut from control is at revision %d after %s; the taking-out is %d",
				cut.node.View().Revision, bound, a.Outcome.Revision)
		}
	})
}

// TestInForceEverywhere checks that a document is in force at every member
// within three seconds although a tenth of the messages is lost.
func TestInForceEverywhere(t *testing.T) {
	const bound = 3 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		s := newSystem(t, 3)
		s.settle()
		s.addMembers(9)
		s.mustSubmit("first", document(0, 3))
		s.run(3 * time.Second)
		a := s.mustSubmit("second", document(1, 4))
		s.lossy = 10
		s.run(bound)
		for _, m := range s.members {
			if m.node.View().Revision < a.Outcome.Revision {
				t.Fatalf("member %s is at revision %d of %d after %s", m.address, m.node.View().Revision, a.Outcome.Revision, bound)
			}
		}
	})
}

// TestRestartAfterManyChanges restarts a member and a host after 500 changes
// have passed them by.
func TestRestartAfterManyChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSystem(t, 3)
		l := s.settle()
		s.addMembers(3)
		s.mustSubmit("first", document(0, 3))
		s.run(2 * time.Second)
		var behind *host
		for _, h := range s.hosts {
			if h != l {
				behind = h
			}
		}
		behind.down = true
		s.members[0].silent = true
		for i := range 500 {
			s.mustSubmit(fmt.Sprintf("change-%d", i), document(uint64(i+1), 4+i%5))
		}
		s.boot(behind)
		s.members[0].silent = false
		s.run(3 * time.Second)
		want := s.leader().node.View().Revision
		if got := behind.node.View().Revision; got != want {
			t.Fatalf("host is at revision %d of %d", got, want)
		}
		if got := s.members[0].node.View().Revision; got != want {
			t.Fatalf("member is at revision %d of %d", got, want)
		}
	})
}

// TestMassLapseIsHeld checks that the guard keeps the members when most leases
// lapse at once, drops a few that lapse, and keeps a new leader from dropping
// members that it has not listened to.
func TestMassLapseIsHeld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSystem(t, 3)
		s.settle()
		s.addMembers(12)
		s.mustSubmit("first", document(0, 3))
		s.run(2 * time.Second)
		s.members[0].silent = true
		s.run(lease + time.Second)
		if got := len(s.leader().node.View().Members); got != 11 {
			t.Fatalf("%d members after one lease lapsed, want 11", got)
		}
		for _, m := range s.members[1:10] {
			m.silent = true
		}
		s.run(2 * lease)
		if got := len(s.leader().node.View().Members); got != 11 {
			t.Fatalf("%d members although most leases lapsed at once, want 11", got)
		}
		for _, m := range s.members {
			m.silent = false
		}
		s.run(lease)
		l := s.leader()
		l.down = true
		s.run(4 * time.Second)
		if got := len(s.leader().node.View().Members); got != 12 {
			t.Fatalf("%d members after a change of leader, want 12", got)
		}
	})
}

// TestLedgerMovesOneAtATime checks that a ledger group changes only once its
// live replicas have reported that they are complete.
func TestLedgerMovesOneAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSystem(t, 3)
		s.settle()
		s.addMembers(6)
		s.mustSubmit("first", document(0, 3))
		s.run(3 * time.Second)
		group := s.leader().node.View().Ledgers["rings"]
		// The members here never report an epoch, so after the first group
		// nothing may move.
		first := s.members[slices.IndexFunc(s.members, func(m *member) bool {
			return m.node.View().Members[group.Replicas[0].Name].Address == m.address
		})]
		first.silent = true
		s.run(lease + 2*time.Second)
		if got := s.leader().node.View().Ledgers["rings"]; got.Epoch != group.Epoch {
			t.Fatalf("group moved from epoch %d to %d before its replicas were complete", group.Epoch, got.Epoch)
		}
	})
}
