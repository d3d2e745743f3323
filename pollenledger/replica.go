// Package pollenledger stores claims on idempotency keys, so that a request
// with such a key runs at most once. A majority of the service's ledger group
// must grant the claim before the request is sent to a backend server.
package pollenledger

import (
	"net/netip"
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenflow"
	"pollenstep.example/pollenstep/pollenview"
)

// A ClaimID identifies one attempt to run a keyed request.
type ClaimID struct {
	Agent       pollendocument.ServerName
	Incarnation pollenview.Incarnation
	Sequence    uint64
}

// A ClaimState is what a replica has recorded about the request of a claim.
type ClaimState string

// States of a claim.
const (
	// ClaimRunning means that the request may be running.
	ClaimRunning ClaimState = "running"
	// ClaimDone means that the request ran and its answer is stored.
	ClaimDone ClaimState = "done"
	// ClaimUnknown means that the request may have run and its answer is lost.
	ClaimUnknown ClaimState = "unknown"
	// ClaimReleased means that the request did not run. The claim is deleted,
	// so a replica never stores this state.
	ClaimReleased ClaimState = "released"
)

// A HeaderField is one HTTP header field of an answer.
type HeaderField struct{ Name, Value string }

// An Answer is the complete HTTP response of a backend server.
type Answer struct {
	Status int
	Header []HeaderField
	Body   []byte
}

// An Entry is one claim in a replica's store.
type Entry struct {
	Key   string
	Claim ClaimID
	State ClaimState
	// Answer is set when State is ClaimDone.
	Answer Answer
	// ClaimedAt is when the claim was first granted.
	ClaimedAt time.Time
}

// A Verdict is a replica's decision about a claim.
type Verdict string

// Verdicts about a claim.
const (
	// VerdictGranted means that the replica has stored the claim. The request
	// may run once a majority of the group has granted it.
	VerdictGranted Verdict = "granted"
	// VerdictRunning means that another claim holds the key and its request may
	// be running.
	VerdictRunning Verdict = "running"
	// VerdictDone means that the request has run; the reply contains the stored
	// answer.
	VerdictDone Verdict = "done"
	// VerdictUnknown means that an earlier attempt may have run and its answer
	// is lost, or that the incarnation of its agent is no longer a member.
	VerdictUnknown Verdict = "unknown"
	// VerdictEpochMismatch means that the replica does not serve the claim's
	// epoch of the group: either side may have the older view.
	VerdictEpochMismatch Verdict = "behind"
	// VerdictIncomplete means that the replica has not yet received the claims
	// of the previous group, so the key may be claimed there.
	VerdictIncomplete Verdict = "incomplete"
	// VerdictFull means that the replica stores the largest allowed number of
	// claims.
	VerdictFull Verdict = "full"
)

// A Request asks a replica for a claim.
type Request struct {
	Service pollendocument.ServiceName
	Key     string
	Claim   ClaimID
	Epoch   uint64
	// Revision is that of the claiming agent's view. The side with the lower
	// revision fetches the newer view.
	Revision pollenview.Revision
}

// A Reply answers a Request.
type Reply struct {
	Verdict Verdict
	// Epoch is that of the replica's group.
	Epoch uint64
	// Revision is that of the replica's view.
	Revision pollenview.Revision
	// Answer is set with VerdictDone.
	Answer Answer
}

// A Completion reports the final state of a claim to a replica.
type Completion struct {
	Service pollendocument.ServiceName
	Key     string
	Claim   ClaimID
	// State is any state but ClaimRunning.
	State ClaimState
	// Answer is set when State is ClaimDone.
	Answer Answer
}

// A SyncRequest asks a replica of the previous group for all its claims.
type SyncRequest struct {
	Service pollendocument.ServiceName
	// Epoch is that of the new group.
	Epoch uint64
	// Revision is that of the requesting agent's view.
	Revision pollenview.Revision
	// From is the address of the requesting agent.
	From netip.AddrPort
}

// A SyncReply answers a SyncRequest.
type SyncReply struct {
	// OK is false when the replica cannot answer for the previous epoch. Entries
	// is then empty.
	OK bool
	// Entries is sorted by key.
	Entries []Entry
}

// maxEntries is the largest number of claims that a replica stores.
const maxEntries = 200_000

// A Replica is the ledger replica of one agent for one service. It grants claims
// only when it is synced: when it knows every claim that earlier groups may have
// granted. It is not safe for concurrent use.
type Replica struct {
	self    pollenview.MemberRef
	service pollendocument.ServiceName

	view      *pollenview.View
	group     pollenview.LedgerGroup
	retention time.Duration
	// syncedEpoch is the latest epoch for which the replica is synced, or zero.
	syncedEpoch uint64
	// epochChangedAt is when the replica first received the current epoch.
	epochChangedAt time.Time
	// syncedFrom holds the members of the previous group whose claims are
	// included in entries.
	syncedFrom []pollenview.MemberRef
	// lastSyncAt is when sync requests were last due.
	lastSyncAt time.Time
	// entries is nil until the view contains the service. An entry expires when
	// its retention has passed.
	entries          *pollenflow.LeaseMap[string, *Entry]
	retentionElapsed bool
}

// NewReplica returns a Replica that grants no claims until ChangeView gives it a
// view whose ledger group contains it.
func NewReplica(self pollenview.MemberRef, service pollendocument.ServiceName) *Replica {
	return &Replica{self: self, service: service, view: pollenview.NewView()}
}

// SyncedEpoch returns the latest epoch for which the replica is synced, or zero.
func (r *Replica) SyncedEpoch() uint64 { return r.syncedEpoch }

// Group returns the ledger group of the replica's view.
func (r *Replica) Group() pollenview.LedgerGroup { return r.group }

// Len returns the number of stored claims, including expired ones that no Tick
// has removed yet.
func (r *Replica) Len() int {
	if r.entries == nil {
		return 0
	}
	return r.entries.Len()
}

// RetentionElapsed reports whether the replica ever counted as synced because
// the retention had passed since the epoch changed, and not because it received
// the previous group's claims.
func (r *Replica) RetentionElapsed() bool { return r.retentionElapsed }

// ChangeView replaces the replica's view. When the epoch of the ledger group
// changes, it determines whether the replica must sync with the previous group.
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
	previous := r.group
	r.group = group
	r.epochChangedAt = now
	r.syncedFrom = nil
	r.lastSyncAt = time.Time{}
	if !slices.Contains(group.Replicas, r.self) {
		return
	}
	if len(group.Previous) == 0 || r.staysSynced(previous) {
		r.syncedEpoch = group.Epoch
		return
	}
	if r.syncedEpoch == group.Epoch-1 && slices.Contains(group.Previous, r.self) {
		r.syncedFrom = append(r.syncedFrom, r.self)
	}
	r.markSynced()
}

// staysSynced reports whether a replica that was synced in the previous group
// needs no sync requests. This holds while at most one replica was removed from
// the group: every claim was granted by a majority of the previous group, so
// that a majority of the new group knows it.
func (r *Replica) staysSynced(previous pollenview.LedgerGroup) bool {
	if r.syncedEpoch == 0 || r.syncedEpoch != r.group.Epoch-1 || previous.Epoch != r.syncedEpoch {
		return false
	}
	removed := 0
	for _, p := range r.group.Previous {
		if !slices.Contains(r.group.Replicas, p) {
			removed++
		}
	}
	return removed <= 1
}

// syncInterval is the time between two rounds of sync requests to the previous
// group.
const syncInterval = 300 * time.Millisecond

// SyncTargets returns the members of the previous group to which a SyncRequest
// is due now, at most once in each syncInterval. When the retention has passed
// since the epoch changed, every claim of the previous group has expired: the
// replica then counts as synced, and the result is empty.
func (r *Replica) SyncTargets(now time.Time) []pollenview.Member {
	if !r.needsSync() {
		return nil
	}
	if now.Sub(r.epochChangedAt) >= r.retention {
		r.syncedEpoch = r.group.Epoch
		r.retentionElapsed = true
		return nil
	}
	if now.Sub(r.lastSyncAt) < syncInterval {
		return nil
	}
	r.lastSyncAt = now
	var members []pollenview.Member
	for _, p := range r.group.Previous {
		if p != r.self && !slices.Contains(r.syncedFrom, p) && r.view.Live(p) {
			members = append(members, r.view.Members[p.Name])
		}
	}
	return members
}

// needsSync reports whether the replica belongs to the current group but is not
// synced.
func (r *Replica) needsSync() bool {
	return r.syncedEpoch < r.group.Epoch && slices.Contains(r.group.Replicas, r.self)
}

// HandleSync returns the replica's claims for a replica of a newer group. The
// reply is not OK unless this replica has received the new epoch, after which it
// grants no more claims of the previous one, and was synced for the previous
// epoch.
func (r *Replica) HandleSync(now time.Time, q SyncRequest) SyncReply {
	if q.Service != r.service || r.group.Epoch < q.Epoch || r.syncedEpoch+1 < q.Epoch || r.entries == nil {
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

// HandleSyncReply merges the claims from a member of the previous group. A claim
// that the replica has already stored is replaced only when it is running here
// and ended there. The replica is synced once a majority of the previous group
// has answered.
func (r *Replica) HandleSyncReply(now time.Time, epoch uint64, from pollenview.MemberRef, reply SyncReply) {
	if epoch != r.group.Epoch || !reply.OK || !slices.Contains(r.group.Previous, from) {
		return
	}
	for i := range reply.Entries {
		e := reply.Entries[i]
		if stored, ok := r.entries.Get(now, e.Key); ok && (stored.State != ClaimRunning || e.State == ClaimRunning) {
			continue
		}
		r.entries.Put(now, e.Key, &e)
	}
	if !slices.Contains(r.syncedFrom, from) {
		r.syncedFrom = append(r.syncedFrom, from)
	}
	r.markSynced()
}

// markSynced marks the replica as synced if the claims of a majority of the
// previous group are included. Each granted claim is among these, because a
// majority granted it.
func (r *Replica) markSynced() {
	if len(r.syncedFrom) >= pollenview.Majority(len(r.group.Previous)) {
		r.syncedEpoch = r.group.Epoch
	}
}

// Claim decides about a claim and stores it if it is granted. It may be repeated
// with the same ClaimID and grants the claim again while it is running.
func (r *Replica) Claim(now time.Time, q Request) Reply {
	reply := Reply{Epoch: r.group.Epoch, Revision: r.view.Revision}
	switch {
	case q.Service != r.service || q.Epoch != r.group.Epoch || !slices.Contains(r.group.Replicas, r.self):
		reply.Verdict = VerdictEpochMismatch
		return reply
	case r.syncedEpoch != r.group.Epoch:
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
	case !r.view.Live(pollenview.MemberRef{Name: e.Claim.Agent, Incarnation: e.Claim.Incarnation}):
		reply.Verdict = VerdictUnknown
	default:
		reply.Verdict = VerdictRunning
	}
	return reply
}

// Complete stores the final state of a claim. A Completion of a claim other
// than the one that holds the key is ignored, unless it is ClaimDone: the
// answer of a request that ran is always stored. A stored answer is not
// replaced by another state.
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

// Tick deletes claims whose retention has passed.
func (r *Replica) Tick(now time.Time) {
	if r.entries != nil {
		r.entries.Expire(now, nil)
	}
}
