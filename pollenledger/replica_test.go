package pollenledger_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenledger"
	"pollenstep.example/pollenstep/pollenview"
)

const retention = time.Minute

// testGroup runs the ledger replicas of one service and moves the ledger group
// among the agents, some of which receive new views late.
type testGroup struct {
	t        *rapid.T
	now      time.Time
	view     *pollenview.View
	replicas map[pollenview.MemberRef]*pollenledger.Replica
	sequence uint64
	// granted holds the claims that a majority has granted, by key.
	granted map[string][]pollenledger.ClaimID
}

func newGroup(t *rapid.T, agents int) *testGroup {
	g := &testGroup{
		t: t, now: time.Unix(1_000_000, 0), view: pollenview.NewView(),
		replicas: map[pollenview.MemberRef]*pollenledger.Replica{}, granted: map[string][]pollenledger.ClaimID{},
	}
	g.view.Document.Put(pollendocument.Section{Team: "team", Services: []pollendocument.Service{{
		Name: "rings", Retention: retention,
	}}})
	for i := range agents {
		g.addAgent(i, 1)
	}
	g.changeGroup()
	for _, r := range g.sortedReplicas() {
		g.updateView(r)
	}
	return g
}

// addAgent adds an agent with an empty replica to the view.
func (g *testGroup) addAgent(number int, incarnation pollenview.Incarnation) pollenview.MemberRef {
	m := pollenview.Member{
		Name: pollendocument.ServerName(fmt.Sprintf("rings-%d", number)), Role: pollenview.RoleAgent,
		Incarnation: incarnation, Service: "rings", Domain: pollendocument.DomainName(fmt.Sprintf("d%d", number%3)),
	}
	g.view.Members[m.Name] = m
	ref := pollenview.MemberRef{Name: m.Name, Incarnation: m.Incarnation}
	g.replicas[ref] = pollenledger.NewReplica(ref, "rings")
	g.replicas[ref].ChangeView(g.now, g.view.Clone())
	return ref
}

// changeGroup chooses a new group as the leading control host does: only if every
// live replica of the current group is synced.
func (g *testGroup) changeGroup() {
	present := g.view.Ledgers["rings"]
	for _, r := range present.Replicas {
		if g.view.Live(r) && g.replicas[r].SyncedEpoch() < present.Epoch {
			return
		}
	}
	var agents []pollenview.Member
	for _, m := range g.view.Members {
		agents = append(agents, m)
	}
	slices.SortFunc(agents, func(a, b pollenview.Member) int { return compareNames(a.Name, b.Name) })
	next := pollenview.ChooseReplicas("rings", present, agents)
	if slices.Equal(next, present.Replicas) {
		return
	}
	g.view.Ledgers["rings"] = pollenview.LedgerGroup{Epoch: present.Epoch + 1, Replicas: next, Previous: present.Replicas}
	g.view.Revision++
}

func compareNames(a, b pollendocument.ServerName) int {
	if a < b {
		return -1
	}
	return 1
}

// updateView passes the current view to a replica and delivers the sync requests
// that are due to the previous group.
func (g *testGroup) updateView(r pollenview.MemberRef) {
	replica := g.replicas[r]
	replica.ChangeView(g.now, g.view.Clone())
	for _, m := range replica.SyncTargets(g.now) {
		from := pollenview.MemberRef{Name: m.Name, Incarnation: m.Incarnation}
		if other, ok := g.replicas[from]; ok {
			epoch := replica.Group().Epoch
			replica.HandleSyncReply(g.now, epoch, from, other.HandleSync(g.now, pollenledger.SyncRequest{Service: "rings", Epoch: epoch}))
		}
	}
}

// claim requests a key from the group in an agent's view, releases a claim that
// no majority grants, and fails when two claims of a key get a majority.
func (g *testGroup) claim(agent pollenview.MemberRef, key string) {
	group := g.replicas[agent].Group()
	g.sequence++
	claim := pollenledger.ClaimID{Agent: agent.Name, Incarnation: agent.Incarnation, Sequence: g.sequence}
	granted := 0
	for _, r := range group.Replicas {
		replica, up := g.replicas[r]
		if !up || rapid.IntRange(0, 9).Draw(g.t, "unreachable") == 0 {
			continue
		}
		reply := replica.Claim(g.now, pollenledger.Request{Service: "rings", Key: key, Claim: claim, Epoch: group.Epoch})
		if reply.Verdict == pollenledger.VerdictGranted {
			granted++
		}
	}
	if granted < pollenview.Majority(len(group.Replicas)) {
		g.complete(group, key, claim, pollenledger.ClaimReleased)
		return
	}
	g.granted[key] = append(g.granted[key], claim)
	if len(g.granted[key]) > 1 {
		g.t.Fatalf("key %s was granted to several claims: %+v", key, g.granted[key])
	}
}

func (g *testGroup) complete(group pollenview.LedgerGroup, key string, claim pollenledger.ClaimID, state pollenledger.ClaimState) {
	for _, r := range group.Replicas {
		if replica, up := g.replicas[r]; up {
			replica.Complete(g.now, pollenledger.Completion{Service: "rings", Key: key, Claim: claim, State: state})
		}
	}
}

func (g *testGroup) sortedReplicas() []pollenview.MemberRef {
	var refs []pollenview.MemberRef
	for r := range g.replicas {
		refs = append(refs, r)
	}
	slices.SortFunc(refs, func(a, b pollenview.MemberRef) int { return compareNames(a.Name, b.Name) })
	return refs
}

// TestKeyIsGrantedOnce guards against two grants of one key within the
// retention, with which a request would run twice. Such grants can come about
// when the group changes while a replica is lost or has an old view. The random
// schedules lose and restart replicas one at a time, deliver views late and make
// replicas unreachable.
func TestKeyIsGrantedOnce(t *testing.T) {
	schedules, claims, groups := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		schedules++
		g := newGroup(t, rapid.IntRange(1, 6).Draw(t, "agents"))
		incarnation := pollenview.Incarnation(1)
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			g.now = g.now.Add(50 * time.Millisecond)
			refs := g.sortedReplicas()
			r := refs[rapid.IntRange(0, len(refs)-1).Draw(t, "agent")]
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0, 1, 2:
				g.claim(r, fmt.Sprintf("key-%d", rapid.IntRange(0, 9).Draw(t, "key")))
			case 3, 4:
				g.updateView(r)
			case 5:
				g.changeGroup()
			case 6, 7:
				g.changeGroupAndViews(refs)
			default:
				incarnation++
				g.restart(r, incarnation)
			}
		}
		claims += len(g.granted)
		groups += int(g.view.Ledgers["rings"].Epoch)
	})
	t.Logf("%d schedules, %d claims, %d groups", schedules, claims, groups)
}

// changeGroupAndViews changes the group and then updates the view of every
// replica.
func (g *testGroup) changeGroupAndViews(refs []pollenview.MemberRef) {
	g.changeGroup()
	for _, r := range refs {
		g.now = g.now.Add(50 * time.Millisecond)
		g.updateView(r)
	}
}

// restart replaces an agent with one that has an empty replica. A replica of the
// group is replaced only while the group has its full size and all its replicas
// are live and synced: the ledger tolerates the loss of one replica at a time.
func (g *testGroup) restart(r pollenview.MemberRef, incarnation pollenview.Incarnation) {
	present := g.view.Ledgers["rings"]
	if slices.Contains(present.Replicas, r) {
		for _, other := range present.Replicas {
			if !g.view.Live(other) || g.replicas[other] == nil || g.replicas[other].SyncedEpoch() < present.Epoch {
				return
			}
		}
		if len(present.Replicas) < pollenview.MaxLedgerReplicas {
			return
		}
	}
	delete(g.replicas, r)
	number := 0
	if _, err := fmt.Sscanf(string(r.Name), "rings-%d", &number); err != nil {
		g.t.Fatal(err)
	}
	g.view.Revision++
	g.addAgent(number, incarnation)
}

// TestGroupWithoutPredecessorsWaitsForRetention guards against a second grant
// after the loss of a whole group. The claims of the previous group cannot be
// read any more, so the new group must grant none until all of them have
// expired.
func TestGroupWithoutPredecessorsWaitsForRetention(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(t, 3)
		g.claim(g.sortedReplicas()[0], "key")
		for i, r := range g.sortedReplicas() {
			delete(g.replicas, r)
			g.addAgent(i, 2)
		}
		g.changeGroup()
		for _, r := range g.sortedReplicas() {
			g.updateView(r)
			if got := g.replicas[r].Claim(g.now, pollenledger.Request{Service: "rings", Key: "key", Epoch: g.replicas[r].Group().Epoch}); got.Verdict == pollenledger.VerdictGranted {
				t.Fatal("a replica whose predecessors are lost granted a claim before the retention passed")
			}
		}
		g.now = g.now.Add(retention)
		for _, r := range g.sortedReplicas() {
			g.updateView(r)
			if !g.replicas[r].RetentionElapsed() {
				t.Fatal("the replica is not synced after the retention has passed")
			}
		}
	})
}

// TestVerdictOfRepeatedClaim guards against a second run of a repeated request:
// while the first claim is running the repeat is not granted, after it is done
// the repeat gets the stored answer, and after the retention it is granted.
func TestVerdictOfRepeatedClaim(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(t, 1)
		r := g.replicas[g.sortedReplicas()[0]]
		claim := pollenledger.ClaimID{Agent: "rings-0", Incarnation: 1, Sequence: 1}
		claimAgain := func(sequence uint64) pollenledger.Reply {
			q := pollenledger.Request{Service: "rings", Key: "key", Claim: claim, Epoch: 1}
			q.Claim.Sequence = sequence
			return r.Claim(g.now, q)
		}
		if got := claimAgain(1).Verdict; got != pollenledger.VerdictGranted {
			t.Fatalf("verdict of the first claim: %s", got)
		}
		if got := claimAgain(2).Verdict; got != pollenledger.VerdictRunning {
			t.Fatalf("verdict while the first claim is running: %s", got)
		}
		r.Complete(g.now, pollenledger.Completion{
			Service: "rings", Key: "key", Claim: claim, State: pollenledger.ClaimDone,
			Answer: pollenledger.Answer{Status: 200, Body: []byte("whole")},
		})
		if got := claimAgain(3); got.Verdict != pollenledger.VerdictDone || string(got.Answer.Body) != "whole" {
			t.Fatalf("reply after the first claim is done: %+v", got)
		}
		g.now = g.now.Add(retention)
		if got := claimAgain(4).Verdict; got != pollenledger.VerdictGranted {
			t.Fatalf("verdict after the retention has passed: %s", got)
		}
	})
}

func BenchmarkDecideClaim(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	view := pollenview.NewView()
	view.Document.Put(pollendocument.Section{Team: "team", Services: []pollendocument.Service{{Name: "rings", Retention: retention}}})
	ref := pollenview.MemberRef{Name: "rings-0", Incarnation: 1}
	view.Members[ref.Name] = pollenview.Member{Name: ref.Name, Incarnation: 1, Service: "rings"}
	view.Ledgers["rings"] = pollenview.LedgerGroup{Epoch: 1, Replicas: []pollenview.MemberRef{ref}}
	r := pollenledger.NewReplica(ref, "rings")
	r.ChangeView(now, view)
	keys := make([]string, 1024)
	for i := range keys {
		keys[i] = fmt.Sprintf("key-%d", i)
	}
	b.ReportAllocs()
	for i := range b.N {
		q := pollenledger.Request{Service: "rings", Key: keys[i%len(keys)], Epoch: 1, Claim: pollenledger.ClaimID{Sequence: uint64(i)}}
		r.Claim(now, q)
		r.Complete(now, pollenledger.Completion{Service: "rings", Key: q.Key, Claim: q.Claim, State: pollenledger.ClaimReleased})
	}
}
