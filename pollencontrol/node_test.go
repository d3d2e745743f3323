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
)

// concurrentSchedules is the number of random interleavings of two operators.
const concurrentSchedules = 1000

// operator submits a document and resends until the outcome is known.
type operator struct {
	name    string
	id      string
	doc     *pollendocument.Document
	pending []pollencontrol.Token
}

// TestConcurrentSubmissions guards against an operator who overwrites the change
// of another. Two operators submit different documents based on the same version
// while messages are lost, hosts crash and leaders change. Exactly one submission
// must be accepted, resends must get the same answer, and the rejected operator
// must get the conflicting section.
func TestConcurrentSubmissions(t *testing.T) {
	checks := flag.Lookup("rapid.checks")
	before := checks.Value.String()
	defer func() { _ = checks.Value.Set(before) }()
	if err := checks.Value.Set(strconv.Itoa(concurrentSchedules)); err != nil {
		t.Fatal(err)
	}
	schedules := 0
	rapid.Check(t, func(t *rapid.T) {
		schedules++
		runConcurrentSubmissions(t)
	})
	t.Logf("%d schedules", schedules)
}

// runConcurrentSubmissions runs one random schedule, heals the cluster, resends
// both submissions and checks their outcomes.
func runConcurrentSubmissions(t *rapid.T) {
	c := newCluster(t, 3)
	c.waitForLeader()
	c.mustSubmit("first", document(0, 3))
	operators := []*operator{
		{name: "ana", id: "ana-1", doc: document(1, 4)},
		{name: "bor", id: "bor-1", doc: document(1, 5)},
	}
	c.lossPercent = rapid.IntRange(0, 20).Draw(t, "loss")
	for range rapid.IntRange(6, 20).Draw(t, "steps") {
		c.randomStep(t, operators)
	}
	c.lossPercent = 0
	for _, h := range c.hosts {
		h.partitioned, h.frozen = false, false
		if h.down {
			c.start(h)
		}
	}
	c.waitForLeader()
	for range 3 {
		for _, o := range operators {
			o.pending = append(o.pending, c.submit(c.waitForLeader(), o.id, o.name, o.doc))
			c.run(10 * tick)
		}
	}
	checkConcurrentSubmissions(t, c, operators)
}

func (c *cluster) randomStep(t *rapid.T, operators []*operator) {
	h := c.hosts[rapid.IntRange(0, len(c.hosts)-1).Draw(t, "host")]
	switch rapid.IntRange(0, 7).Draw(t, "action") {
	case 0, 1, 2:
		o := operators[rapid.IntRange(0, 1).Draw(t, "operator")]
		to := h
		if l := c.leader(); l != nil {
			to = l
		}
		if !to.down && !to.frozen {
			o.pending = append(o.pending, c.submit(to, o.id, o.name, o.doc))
		}
	case 3:
		if h.down {
			c.start(h)
		} else {
			h.down = true
		}
	case 4:
		h.frozen = !h.frozen
	case 5:
		h.partitioned = !h.partitioned
	default:
		c.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "ticks")) * tick)
	}
}

func checkConcurrentSubmissions(t *rapid.T, c *cluster, operators []*operator) {
	accepted := 0
	for _, o := range operators {
		outcome := finalAnswer(t, c, o)
		if outcome.Verdict == pollencontrol.VerdictDone {
			accepted++
			continue
		}
		sections := outcome.Outcome.Sections
		if len(sections) != 1 || sections[0].Version != 2 || sections[0].Submitter == o.name || sections[0].Submitter == "" ||
			!slices.Contains(sections[0].Fields, "services.rings") || sections[0].Hash == "" {
			t.Fatalf("conflicting sections in the answer to %s: %+v", o.name, sections)
		}
	}
	if accepted != 1 {
		t.Fatalf("%d submissions were accepted, want 1", accepted)
	}
	slots := slotsOf(c.hosts[0].node.View())
	for _, h := range c.hosts {
		if got := slotsOf(h.node.View()); got != slots || (got != 4 && got != 5) {
			t.Fatalf("hosts disagree: %d and %d slots", slots, got)
		}
	}
}

// finalAnswer checks that all answers with an outcome agree, and returns the
// last of them.
func finalAnswer(t *rapid.T, c *cluster, o *operator) pollencontrol.Answer {
	var outcome *pollencontrol.Answer
	for _, token := range o.pending {
		a, ok := c.answers[token]
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

// TestNotRunSubmissionNeverInForce guards against a wrong VerdictNotRun and
// against the loss of an accepted submission. A partitioned leader may have
// proposed a submission that a later leader commits. A submission that is
// answered as not run must never be in force, and the one that was accepted
// last must be in force at every host.
func TestNotRunSubmissionNeverInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3)
		c.waitForLeader()
		c.mustSubmit("first", document(0, 3))
		version := uint64(1)
		notRun := map[int]bool{}
		inForce := 3
		for i := range rapid.IntRange(2, 8).Draw(t, "submissions") {
			h := c.hosts[rapid.IntRange(0, 2).Draw(t, "host")]
			if rapid.Bool().Draw(t, "toggle") {
				h.partitioned = !h.partitioned
			}
			slots := 10 + i
			target := c.hosts[rapid.IntRange(0, 2).Draw(t, "target")]
			token := c.submit(target, fmt.Sprintf("s%d", i), "test", document(version, slots))
			c.run(time.Duration(rapid.IntRange(0, 400).Draw(t, "ticks")) * tick)
			a, ok := c.answers[token]
			switch {
			case ok && a.Verdict == pollencontrol.VerdictDone:
				version++
				inForce = slots
			case ok && a.Verdict == pollencontrol.VerdictNotRun:
				notRun[slots] = true
			default:
				// The outcome is unknown: heal the partitions and resend, as an
				// operator's client does.
				for _, h := range c.hosts {
					h.partitioned = false
				}
				l := c.waitForLeader()
				token = c.submit(l, fmt.Sprintf("s%d", i), "test", document(version, slots))
				c.run(20 * tick)
				if a, ok = c.answers[token]; !ok || a.Verdict != pollencontrol.VerdictDone {
					t.Fatalf("answer to the resent submission: %+v", a)
				}
				version++
				inForce = slots
			}
		}
		for _, h := range c.hosts {
			h.partitioned = false
		}
		c.waitForLeader()
		c.run(time.Second)
		for _, h := range c.hosts {
			got := slotsOf(h.node.View())
			if notRun[got] || got != inForce {
				t.Fatalf("host %s has %d slots in force; accepted last: %d; refused as not run: %v", h.address, got, inForce, notRun)
			}
		}
	})
}

// TestIsolatedMemberLearnsFromPeers guards against a member that misses changes
// while only the control hosts cannot reach it. It must receive from its peers,
// within three seconds, that a failure domain was taken out of service.
func TestIsolatedMemberLearnsFromPeers(t *testing.T) {
	const bound = 3 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3)
		c.waitForLeader()
		c.addMembers(6)
		c.mustSubmit("first", document(0, 3))
		c.run(3 * time.Second)
		isolated := c.members[rapid.IntRange(0, 5).Draw(t, "cut")]
		isolated.controlBlocked = true
		c.run(time.Duration(rapid.IntRange(0, 100).Draw(t, "phase")) * tick)
		out := document(1, 3, pollendocument.DomainOut)
		out.Section(pollendocument.DomainsTeam).Version = 1
		a := c.mustSubmit("out", out)
		c.run(bound)
		if isolated.node.View().Revision < a.Outcome.Revision || isolated.node.View().DomainTakesTraffic(domainNames[0]) {
			t.Fatalf("isolated member is at revision %d after %s; the domain was taken out at revision %d",
				isolated.node.View().Revision, bound, a.Outcome.Revision)
		}
	})
}

// TestDocumentReachesEveryMember checks that a document is in force at every
// member within three seconds while a tenth of the messages is lost.
func TestDocumentReachesEveryMember(t *testing.T) {
	const bound = 3 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3)
		c.waitForLeader()
		c.addMembers(9)
		c.mustSubmit("first", document(0, 3))
		c.run(3 * time.Second)
		a := c.mustSubmit("second", document(1, 4))
		c.lossPercent = 10
		c.run(bound)
		for _, m := range c.members {
			if m.node.View().Revision < a.Outcome.Revision {
				t.Fatalf("member %s is at revision %d of %d after %s", m.address, m.node.View().Revision, a.Outcome.Revision, bound)
			}
		}
	})
}

// TestRestartAfterManyChanges guards against a member or control host that
// cannot catch up. Both miss 500 changes, of which the control hosts have
// compacted the older ones into a snapshot.
func TestRestartAfterManyChanges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3)
		l := c.waitForLeader()
		c.addMembers(3)
		c.mustSubmit("first", document(0, 3))
		c.run(2 * time.Second)
		var behind *host
		for _, h := range c.hosts {
			if h != l {
				behind = h
			}
		}
		behind.down = true
		c.members[0].silent = true
		for i := range 500 {
			c.mustSubmit(fmt.Sprintf("change-%d", i), document(uint64(i+1), 4+i%5))
		}
		c.start(behind)
		c.members[0].silent = false
		c.run(3 * time.Second)
		want := c.leader().node.View().Revision
		if got := behind.node.View().Revision; got != want {
			t.Fatalf("host is at revision %d of %d", got, want)
		}
		if got := c.members[0].node.View().Revision; got != want {
			t.Fatalf("member is at revision %d of %d", got, want)
		}
	})
}

// TestGuardPreventsMassRemoval guards against a leader that removes members
// because of its own fault. A few members with expired leases must be removed,
// but none when most leases expire at once, and a new leader must not remove
// members before it has had time to receive their heartbeats.
func TestGuardPreventsMassRemoval(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3)
		c.waitForLeader()
		c.addMembers(12)
		c.mustSubmit("first", document(0, 3))
		c.run(2 * time.Second)
		c.members[0].silent = true
		c.run(lease + time.Second)
		if got := len(c.leader().node.View().Members); got != 11 {
			t.Fatalf("%d members after one lease expired, want 11", got)
		}
		for _, m := range c.members[1:10] {
			m.silent = true
		}
		c.run(2 * lease)
		if got := len(c.leader().node.View().Members); got != 11 {
			t.Fatalf("%d members after most leases expired at once, want 11", got)
		}
		for _, m := range c.members {
			m.silent = false
		}
		c.run(lease)
		l := c.leader()
		l.down = true
		c.run(4 * time.Second)
		if got := len(c.leader().node.View().Members); got != 12 {
			t.Fatalf("%d members after a change of leader, want 12", got)
		}
	})
}

// TestLedgerGroupWaitsForSyncedReplicas guards against the loss of claims when
// a ledger group changes too early. The group may change only once all its live
// replicas have reported that they are synced.
func TestLedgerGroupWaitsForSyncedReplicas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t, 3)
		c.waitForLeader()
		c.addMembers(6)
		c.mustSubmit("first", document(0, 3))
		c.run(3 * time.Second)
		group := c.leader().node.View().Ledgers["rings"]
		// These members never report a ledger epoch, so the first group must not
		// change.
		first := c.members[slices.IndexFunc(c.members, func(m *member) bool {
			return m.node.View().Members[group.Replicas[0].Name].Address == m.address
		})]
		first.silent = true
		c.run(lease + 2*time.Second)
		if got := c.leader().node.View().Ledgers["rings"]; got.Epoch != group.Epoch {
			t.Fatalf("group changed from epoch %d to %d before its replicas were synced", group.Epoch, got.Epoch)
		}
	})
}
