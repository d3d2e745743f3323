// Package pollenledger keeps the claims of keyed requests, so that a request
// with an idempotency key runs at most once. A claim is granted by a majority
// of the service's ledger group before a backend server sees the request.
package pollenledger

import (
	"net/netip"
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenflow"
	"pollenstep.example/pollenstep/pollenview"
)

// A ClaimID names one attempt to run a keyed request.
type ClaimID struct {
	Agent       pollendocument.ServerName
	Incarnation pollenview.Incarnation
	Sequence    uint64
}

// A ClaimState says what is known of a claim.
type ClaimState string

// States of a claim.
const (
	// ClaimRunning means that the request may be running.
	ClaimRunning ClaimState = "running"
	// ClaimDone means that the request ran and its answer is stored.
	ClaimDone ClaimState = "done"
	// ClaimUnknown means that the request may have run and its answer is lost.
	ClaimUnknown ClaimState = "unknown"
	// ClaimReleased means that the request did not run; the claim is dropped.
	ClaimReleased ClaimState = "released"
)

// A HeaderField is one header field of an answer.
type HeaderField struct{ Name, Value string }

// An Answer is a backend server's whole answer.
type Answer struct {
	Status int
	Header []HeaderField
	Body   []byte
}

// An Entry is one claim as a replica holds it.
type Entry struct {
	Key    string
	Claim  ClaimID
	State  ClaimState
	Answer Answer
	// Claimed is when the claim was granted first.
	ClaimedAt time.Time
}

// A Verdict answers a claim.
type Verdict string

// Verdicts.
const (
	VerdictGranted Verdict = "granted"
	// VerdictRunning means that another claim holds the key.
	VerdictRunning Verdict = "running"
	// VerdictDone comes with the stored answer.
	VerdictDone    Verdict = "done"
	VerdictUnknown Verdict = "unknown"
	// VerdictBehind means that the replica has another epoch of the group.
	VerdictEpochMismatch Verdict = "behind"
	// VerdictIncomplete means that the replica cannot vouch for the key yet.
	VerdictIncomplete Verdict = "incomplete"
	// VerdictFull means that the replica holds as many claims as it may.
	VerdictFull Verdict = "full"
)

// A Request asks a replica for a claim.
type Request struct {
	Service pollendocument.ServiceName
	Key     string
	Claim   ClaimID
	Epoch   uint64
	// Revision is that of the asking agent; whoever is behind fetches.
	Revision pollenview.Revision
}

// A Reply answers a Request.
type Reply struct {
	Verdict  Verdict
	Epoch    uint64
	Revision pollenview.Revision
	Answer   Answer
}

// A Settlement tells a replica how a claim ended.
type Completion struct {
	Service pollendocument.ServiceName
	Key     string
	Claim   ClaimID
	State   ClaimState
	Answer  Answer
}

// A SyncRequest asks a replica of the previous group for its claims.
type SyncRequest struct {
	Service pollendocument.ServiceName
	// Epoch is that of the new group.
	Epoch uint64
	// Revision is that of the asking agent, which is at From.
	Revision pollenview.Revision
	From     netip.AddrPort
}

// A SyncReply answers a SyncRequest; Entries counts only when OK is set.
type SyncReply struct {
	OK      bool
	Entries []Entry
}

// maxEntries bounds the claims that a replica holds.
const maxEntries = 200_000

// A Replica holds one agent's part of the ledger. It is not safe for
// concurrent use.
type Replica struct {
	self    pollenview.ReplicaRef
	service pollendocument.ServiceName

	view      *pollenview.View
	group     pollenview.LedgerGroup
	retention time.Duration
	// complete is the latest epoch for which the replica knows every claim
	// that may have been granted.
	complete uint64
	// changed is when the present epoch was first seen.
	changed time.Time
	// synced holds the members of the previous group that have answered.
	synced []pollenview.ReplicaRef
	asked  time.Time
	// entries are dropped when their retention has passed.
	entries *pollenflow.LeaseMap[string, *Entry]
	waited  bool
}

// NewReplica returns a new Replica that vouches for nothing.
func NewReplica(self pollenview.ReplicaRef, service pollendocument.ServiceName) *Replica {
	return &Replica{self: self, service: service, view: pollenview.NewView()}
}

// Epoch returns the latest epoch for which the replica is complete.
func (r *Replica) SyncedEpoch() uint64 { return r.complete }

// Group returns the present ledger group.
func (r *Replica) Group() pollenview.LedgerGroup { return r.group }

// Len returns the number of claims held.
func (r *Replica) Len() int {
	if r.entries == nil {
		return 0
	}
	return r.entries.Len()
}

// WaitedRetention reports whether the replica vouches because the retention
// has passed and not because it was told.
func (r *Replica) RetentionElapsed() bool { return r.waited }

// ChangeView follows a newer view.
func (r *Replica) ChangeView(now time.Time, view *pollenview.View) {
	r.view = view
	service, _, ok := view.Document.Service(r.service)
	if !ok {
		return
	}
	r.retention = service.Retention
	if r.entries == nil {
		r.entries = pollenflow.NewLeaseMap[string, *Entry](r.retention)
	}
	group := view.Ledgers[r.service]
	if group.Epoch == r.group.Epoch {
		return
	}
	before := r.group
	r.group = group
	r.changed = now
	r.synced = nil
	r.asked = time.Time{}
	if !slices.Contains(group.Replicas, r.self) {
		return
	}
	if len(group.Previous) == 0 || r.staysComplete(before) {
		r.complete = group.Epoch
		return
	}
	if r.complete == group.Epoch-1 && slices.Contains(group.Previous, r.self) {
		r.synced = append(r.synced, r.self)
	}
	r.checkSynced()
}

// staysComplete reports whether a replica of the previous group needs to ask
// nobody. That holds while at most one replica left: every claim was granted
// by a majority, so a majority of the new group knows it.
func (r *Replica) staysComplete(before pollenview.LedgerGroup) bool {
	if r.complete == 0 || r.complete != r.group.Epoch-1 || before.Epoch != r.complete {
		return false
	}
	left := 0
	for _, p := range r.group.Previous {
		if !slices.Contains(r.group.Replicas, p) {
			left++
		}
	}
	return left <= 1
}

// syncInterval is the time between questions to the previous group.
const syncInterval = 300 * time.Millisecond

// Missing returns the members of the previous group that are to be asked for
// their claims now.
func (r *Replica) SyncTargets(now time.Time) []pollenview.Member {
	if !r.incomplete() {
		return nil
	}
	if now.Sub(r.changed) >= r.retention {
		r.complete = r.group.Epoch
		r.waited = true
		return nil
	}
	if now.Sub(r.asked) < syncInterval {
		return nil
	}
	r.asked = now
	var members []pollenview.Member
	for _, p := range r.group.Previous {
		if p != r.self && !slices.Contains(r.synced, p) && r.view.Live(p) {
			members = append(members, r.view.Members[p.Name])
		}
	}
	return members
}

func (r *Replica) incomplete() bool {
	return r.complete < r.group.Epoch && slices.Contains(r.group.Replicas, r.self)
}

// Sync answers a replica of a newer group.
func (r *Replica) HandleSync(now time.Time, q SyncRequest) SyncReply {
	if q.Service != r.service || r.group.Epoch < q.Epoch || r.complete+1 < q.Epoch || r.entries == nil {
		return SyncReply{}
	}
	reply := SyncReply{OK: true}
	r.entries.ForEach(now, func(_ string, e *Entry) { reply.Entries = append(reply.Entries, *e) })
	slices.SortFunc(reply.Entries, func(a, b Entry) int { return compareStrings(a.Key, b.Key) })
	return reply
}

func compareStrings(a, b string) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	}
	return 0
}

// Synced takes in the answer of a member of the previous group.
func (r *Replica) HandleSyncReply(now time.Time, epoch uint64, from pollenview.ReplicaRef, reply SyncReply) {
	if epoch != r.group.Epoch || !reply.OK || !slices.Contains(r.group.Previous, from) {
		return
	}
	for i := range reply.Entries {
		e := reply.Entries[i]
		if old, ok := r.entries.Get(now, e.Key); ok && (old.State != ClaimRunning || e.State == ClaimRunning) {
			continue
		}
		r.entries.Put(now, e.Key, &e)
	}
	if !slices.Contains(r.synced, from) {
		r.synced = append(r.synced, from)
	}
	r.checkSynced()
}

func (r *Replica) checkSynced() {
	if len(r.synced) >= pollenview.Majority(len(r.group.Previous)) {
		r.complete = r.group.Epoch
	}
}

// Claim answers an agent that wants to run a keyed request.
func (r *Replica) Claim(now time.Time, q Request) Reply {
	reply := Reply{Epoch: r.group.Epoch, Revision: r.view.Revision}
	switch {
	case q.Service != r.service || q.Epoch != r.group.Epoch || !slices.Contains(r.group.Replicas, r.self):
		reply.Verdict = VerdictEpochMismatch
		return reply
	case r.complete != r.group.Epoch:
		reply.Verdict = VerdictIncomplete
		return reply
	}
	e, held := r.entries.Get(now, q.Key)
	switch {
	case !held && r.entries.Len() >= maxEntries:
		reply.Verdict = VerdictFull
	case !held:
		r.entries.Put(now, q.Key, &Entry{Key: q.Key, Claim: q.Claim, State: ClaimRunning, ClaimedAt: now})
		reply.Verdict = VerdictGranted
	case e.State == ClaimDone:
		reply.Verdict = VerdictDone
		reply.Answer = e.Answer
	case e.State == ClaimUnknown:
		reply.Verdict = VerdictUnknown
	case e.Claim == q.Claim:
		reply.Verdict = VerdictGranted
	case !r.view.Live(pollenview.ReplicaRef{Name: e.Claim.Agent, Incarnation: e.Claim.Incarnation}):
		reply.Verdict = VerdictUnknown
	default:
		reply.Verdict = VerdictRunning
	}
	return reply
}

// Settle records how a claim ended. A settlement of another claim than the one
// that holds the key changes nothing, unless it is the answer of a request
// that ran.
func (r *Replica) Complete(now time.Time, s Completion) {
	if s.Service != r.service || r.entries == nil {
		return
	}
	e, held := r.entries.Get(now, s.Key)
	switch {
	case s.State == ClaimDone:
		claimed := now
		if held {
			claimed = e.ClaimedAt
		}
		r.entries.Put(now, s.Key, &Entry{Key: s.Key, Claim: s.Claim, State: ClaimDone, Answer: s.Answer, ClaimedAt: claimed})
	case !held || e.Claim != s.Claim || e.State == ClaimDone:
	case s.State == ClaimReleased:
		r.entries.Delete(s.Key)
	default:
		e.State = s.State
	}
}

// Tick drops claims whose retention has passed.
func (r *Replica) Tick(now time.Time) {
	if r.entries != nil {
		r.entries.Expire(now, nil)
	}
}
