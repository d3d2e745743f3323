package pollenflow

import (
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenview"
)

// A Load is what an agent tells the other agents of its service about the work
// of its backend server.
type Load struct {
	Name        pollendocument.ServerName
	Incarnation pollenview.Incarnation
	// Running is the number of requests being run or of flows being opened. A
	// message tells its recent average, since the present number is out of date
	// when it arrives.
	Running int
	// Waiting is the number of queued requests.
	Waiting int
	// Limit is the number of requests that may run at once now; below the
	// document's slots while the backend server is cold.
	Limit int
	// Flows is the number of open flows and FlowLimit the most that may be.
	Flows     int
	FlowLimit int
}

// Room reports whether the agent would take another flow.
func (l Load) HasRoom() bool { return l.Running < l.Limit && l.Flows < l.FlowLimit }

// A Registration tells a home agent which agent holds a flow.
type Registration struct {
	Key Key
	// Holder is one incarnation of an agent: a later one holds the flow only
	// after it has taken it back and registered it again.
	Holder pollenview.ReplicaRef
	// Gone ends an earlier registration, because the flow has ended or the
	// holder declined it.
	Withdrawn bool
}

// Loads remembers the last Load of each peer, corrected by what was sent to
// the peer since. It is not safe for concurrent use.
type Loads struct {
	peers *LeaseMap[pollendocument.ServerName, *peerLoad]
}

type peerLoad struct {
	load Load
	// outstanding is the number of requests passed to the peer that have not
	// ended.
	outstanding int
	// fullUntil is when a refusal for want of room is forgotten.
	fullUntil time.Time
}

// fullPause is how long a peer that had no room is not asked again. It is
// short, since room comes free as soon as any request ends.
const fullPause = 20 * time.Millisecond

// NewLoads returns a new Loads that forgets a peer after the lease.
func NewLoads(lease time.Duration) *Loads {
	return &Loads{peers: NewLeaseMap[pollendocument.ServerName, *peerLoad](lease)}
}

// Hear records a peer's load.
func (l *Loads) Update(now time.Time, load Load) {
	p, ok := l.peers.Get(now, load.Name)
	if !ok {
		p = &peerLoad{}
	}
	p.load = load
	l.peers.Put(now, load.Name, p)
}

// Get returns a peer's load; ok is false when nothing recent is known.
func (l *Loads) Get(now time.Time, name pollendocument.ServerName) (load Load, ok bool) {
	p, ok := l.peers.Get(now, name)
	if !ok {
		return Load{}, false
	}
	load = p.load
	load.Running = max(load.Running, p.outstanding)
	if now.Before(p.fullUntil) {
		load.Running = max(load.Running, load.Limit)
	}
	return load, true
}

// AddFlow counts a flow that was assigned to a peer, until it is heard again.
func (l *Loads) AddFlow(now time.Time, name pollendocument.ServerName) {
	if p, ok := l.peers.Get(now, name); ok {
		p.load.Flows++
		p.load.Running++
	}
}

// AddRequest counts a request that was passed to a peer.
func (l *Loads) AddRequest(now time.Time, name pollendocument.ServerName) {
	if p, ok := l.peers.Get(now, name); ok {
		p.outstanding++
	}
}

// EndRequest takes back what AddRequest counted.
func (l *Loads) EndRequest(now time.Time, name pollendocument.ServerName) {
	if p, ok := l.peers.Get(now, name); ok && p.outstanding > 0 {
		p.outstanding--
	}
}

// Full notes that a peer has just refused a request for want of room.
func (l *Loads) MarkFull(now time.Time, name pollendocument.ServerName) {
	if p, ok := l.peers.Get(now, name); ok {
		p.fullUntil = now.Add(fullPause)
	}
}

// Expire forgets peers that were not heard within the lease.
func (l *Loads) Expire(now time.Time) { l.peers.Expire(now, nil) }
