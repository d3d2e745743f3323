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

// group runs the replicas of one service and moves the ledger group among the
// agents, some of which follow late.
type group struct {
	t        *rapid.T
	now      time.Time
	view     *pollenview.View
	replicas map[pollenview.ReplicaRef]*pollenledger.Replica
	sequence uint64
	// won holds the claims that a majority granted, by key.
	won map[string][]pollenledger.ClaimID
}

func newGroup(t *rapid.T, agents int) *group {
	g := &group{
		t: t, now: time.Unix(1_000_000, 0), view: pollenview.NewView(),
		replicas: map[pollenview.ReplicaRef]*pollenledger.Replica{}, won: map[string][]pollenledger.ClaimID{},
	}
	g.view.Document.Put(pollendocument.Section{Team: "team", Services: []pollendocument.Service{{
		Name: "rings", Retention: retention,
	}}})
	for i := range agents {
		g.join(i, 1)
	}
	g.move()
	for _, r := range g.live() {
		g.follow(r)
	}
	return g
}

func (g *group) join(number int, incarnation pollenview.Incarnation) pollenview.ReplicaRef {
	m := pollenview.Member{
		Name: pollendocument.ServerName(fmt.Sprintf("rings-%d", number)), Role: pollenview.RoleAgent,
		Incarnation: incarnation, Service: "rings", Domain: pollendocument.DomainName(fmt.Sprintf("d%d", number%3)),
	}
	g.view.Members[m.Name] = m
	ref := pollenview.ReplicaRef{Name: m.Name, Incarnation: m.Incarnation}
	g.replicas[ref] = pollenledger.NewReplica(ref, "rings")
	g.replicas[ref].ChangeView(g.now, g.view.Clone())
	return ref
}

// move lets the leading control host change the group, if every live replica
// is complete.
func (g *group) move() {
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
	slices.SortFunc(agents, func(a, b pollenview.Member) int { return cmpNames(a.Name, b.Name) })
	next := pollenview.ChooseReplicas("rings", present, agents)
	if slices.Equal(next, present.Replicas) {
		return
	}
	g.view.Ledgers["rings"] = pollenview.LedgerGroup{Epoch: present.Epoch + 1, Replicas: next, Previous: present.Replicas}
	g.view.Revision++
}

func cmpNames(a, b pollendocument.ServerName) int {
	if a < b {
		return -1
	}
	return 1
}

// follow lets a replica see the present view, and ask its predecessors.
func (g *group) follow(r pollenview.ReplicaRef) {
	replica := g.replicas[r]
	replica.ChangeView(g.now, g.view.Clone())
	for _, m := range replica.SyncTargets(g.now) {
		from := pollenview.ReplicaRef{Name: m.Name, Incarnation: m.Incarnation}
		if other, ok := g.replicas[from]; ok {
			epoch := replica.Group().Epoch
			replica.HandleSyncReply(g.now, epoch, from, other.HandleSync(g.now, pollenledger.SyncRequest{Service: "rings", Epoch: epoch}))
		}
	}
}

// claim asks the group of an agent's view for a key, and notes a majority.
func (g *group) claim(asker pollenview.ReplicaRef, key string) {
	view := g.replicas[asker].Group()
	g.sequence++
	claim := pollenledger.ClaimID{Agent: asker.Name, Incarnation: asker.Incarnation, Sequence: g.sequence}
	granted := 0
	for _, r := range view.Replicas {
		replica, up := g.replicas[r]
		if !up || rapid.IntRange(0, 9).Draw(g.t, "unreachable") == 0 {
			continue
		}
		reply := replica.Claim(g.now, pollenledger.Request{Service: "rings", Key: key, Claim: claim, Epoch: view.Epoch})
		if reply.Verdict == pollenledger.VerdictGranted {
			granted++
		}
	}
	if granted < pollenview.Majority(len(view.Replicas)) {
		g.settle(view, key, claim, pollenledger.ClaimReleased)
		return
	}
	g.won[key] = append(g.won[key], claim)
	if len(g.won[key]) > 1 {
		g.t.Fatalf("key %s was claimed by %+v", key, g.won[key])
	}
}

func (g *group) settle(view pollenview.LedgerGroup, key string, claim pollenledger.ClaimID, state pollenledger.ClaimState) {
	for _, r := range view.Replicas {
		if replica, up := g.replicas[r]; up {
			replica.Complete(g.now, pollenledger.Completion{Service: "rings", Key: key, Claim: claim, State: state})
		}
	}
}

func (g *group) live() []pollenview.ReplicaRef {
	var refs []pollenview.ReplicaRef
	for r := range g.replicas {
		refs = append(refs, r)
	}
	slices.SortFunc(refs, func(a, b pollenview.ReplicaRef) int { return cmpNames(a.Name, b.Name) })
	return refs
}

// TestClaimedOnce checks, over random schedules in which replicas are lost and
// restarted one at a time, views arrive late and answers are lost, that no key
// is ever claimed twice within the retention.
func TestClaimedOnce(t *testing.T) {
	schedules, claims, moves := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		schedules++
		g := newGroup(t, rapid.IntRange(1, 6).Draw(t, "agents"))
		incarnation := pollenview.Incarnation(1)
		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			g.now = g.now.Add(50 * time.Millisecond)
			refs := g.live()
			r := refs[rapid.IntRange(0, len(refs)-1).Draw(t, "agent")]
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0, 1, 2:
				g.claim(r, fmt.Sprintf("key-%d", rapid.IntRange(0, 9).Draw(t, "key")))
			case 3, 4:
				g.follow(r)
			case 5:
				g.move()
			case 6, 7:
				g.settleMoves(refs)
			default:
				incarnation++
				g.restart(r, incarnation)
			}
		}
		claims += len(g.won)
		moves += int(g.view.Ledgers["rings"].Epoch)
	})
	t.Logf("%d schedules, %d claims, %d groups", schedules, claims, moves)
}

// settleMoves lets every replica follow, and the group move on.
func (g *group) settleMoves(refs []pollenview.ReplicaRef) {
	g.move()
	for _, r := range refs {
		g.now = g.now.Add(50 * time.Millisecond)
		g.follow(r)
	}
}

// restart loses what an agent holds. A second replica of the group is lost only
// after the group has moved on and its replicas are complete.
func (g *group) restart(r pollenview.ReplicaRef, incarnation pollenview.Incarnation) {
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
	g.join(number, incarnation)
}

// TestLostGroupWaitsForRetention checks that a group whose predecessors were
// all lost vouches only once every claim of theirs has run out.
func TestLostGroupWaitsForRetention(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(t, 3)
		g.claim(g.live()[0], "key")
		for i, r := range g.live() {
			delete(g.replicas, r)
			g.join(i, 2)
		}
		g.move()
		for _, r := range g.live() {
			g.follow(r)
			if got := g.replicas[r].Claim(g.now, pollenledger.Request{Service: "rings", Key: "key", Epoch: g.replicas[r].Group().Epoch}); got.Verdict == pollenledger.VerdictGranted {
				t.Fatal("a replica without predecessors granted a claim at once")
			}
		}
		g.now = g.now.Add(retention)
		for _, r := range g.live() {
			g.follow(r)
			if !g.replicas[r].RetentionElapsed() {
				t.Fatal("the replica does not vouch after the retention")
			}
		}
	})
}

// TestRepeatGetsStoredAnswer checks what a repeat is told in each state.
func TestRepeatGetsStoredAnswer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := newGroup(t, 1)
		r := g.replicas[g.live()[0]]
		claim := pollenledger.ClaimID{Agent: "rings-0", Incarnation: 1, Sequence: 1}
		ask := func(sequence uint64) pollenledger.Reply {
			q := pollenledger.Request{Service: "rings", Key: "key", Claim: claim, Epoch: 1}
			q.Claim.Sequence = sequence
			return r.Claim(g.now, q)
		}
		if got := ask(1).Verdict; got != pollenledger.VerdictGranted {
			t.Fatalf("first claim: %s", got)
		}
		if got := ask(2).Verdict; got != pollenledger.VerdictRunning {
			t.Fatalf("claim of a held key: %s", got)
		}
		r.Complete(g.now, pollenledger.Completion{
			Service: "rings", Key: "key", Claim: claim, State: pollenledger.ClaimDone,
			Answer: pollenledger.Answer{Status: 200, Body: []byte("whole")},
		})
		if got := ask(3); got.Verdict != pollenledger.VerdictDone || string(got.Answer.Body) != "whole" {
			t.Fatalf("claim of a done key: %+v", got)
		}
		g.now = g.now.Add(retention)
		if got := ask(4).Verdict; got != pollenledger.VerdictGranted {
			t.Fatalf("claim after the retention: %s", got)
		}
	})
}

func BenchmarkDecideClaim(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	view := pollenview.NewView()
	view.Document.Put(pollendocument.Section{Team: "team", Services: []pollendocument.Service{{Name: "rings", Retention: retention}}})
	ref := pollenview.ReplicaRef{Name: "rings-0", Incarnation: 1}
	view.Members[ref.Name] = pollenview.Member{Name: ref.Name, Incarnation: 1, Service: "rings"}
	view.Ledgers["rings"] = pollenview.LedgerGroup{Epoch: 1, Replicas: []pollenview.ReplicaRef{ref}}
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
