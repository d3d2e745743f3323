package pollenflow

import (
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenview"
)

// A Load is an agent's report to the other agents of its service on the work of
// its backend server.
type Load struct {
	Name        pollendocument.ServerName
	Incarnation pollenview.Incarnation
	// Running is the number of running requests or of flows being opened. A
	// report to other agents carries a moving average instead, since the
	// current number is out of date when the message arrives.
	Running int
	// Queued is the number of queued requests.
	Queued int
	// Limit is the number of requests that may run concurrently now. It
	// is below the slots of the document while the backend server is cold.
	Limit int
	// Flows is the number of open flows, and ConnectionLimit its maximum.
	Flows           int
	ConnectionLimit int
}

// HasRoom reports whether the limits allow another flow.
func (l Load) HasRoom() bool { return l.Running < l.Limit && l.Flows < l.ConnectionLimit }

// A Registration reports to a directory owner which agent holds a flow.
type Registration struct {
	Key Key
	// Holder is one incarnation of an agent. A later incarnation holds the flow
	// only after it has restored the flow and registered it again.
	Holder pollenview.MemberRef
	// Withdrawn cancels an earlier registration, because the flow has ended or
	// the holder declined it.
	Withdrawn bool
}

// Loads stores the last Load of each peer, adjusted by the work assigned to the
// peer since. It is not safe for concurrent use.
type Loads struct {
	peers *LeaseMap[pollendocument.ServerName, *peerLoad]
}

type peerLoad struct {
	load Load
	// outstanding is the number of requests sent to the peer that have not
	// ended.
	outstanding int
	// fullUntil is the time until which the peer is treated as full, because it
	// refused a request for lack of room.
	fullUntil time.Time
}

// fullPause is how long a peer that refused a request for lack of room gets no
// other one. It is short, since room becomes free as soon as any request ends.
const fullPause = 20 * time.Millisecond

// NewLoads returns an empty Loads that drops a peer whose load has not been
// updated within the lease.
func NewLoads(lease time.Duration) *Loads {
	return &Loads{peers: NewLeaseMap[pollendocument.ServerName, *peerLoad](lease)}
}

// Update stores a load received from a peer.
func (l *Loads) Update(now time.Time, load Load) {
	p, ok := l.peers.Get(now, load.Name)
	if !ok {
		p = &peerLoad{}
	}
	p.load = load
	l.peers.Put(now, load.Name, p)
}

// Get returns a peer's adjusted load. ok is false if none was received within
// the lease.
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

// AddFlow counts a flow that was assigned to a peer, until the next Update for
// the peer.
func (l *Loads) AddFlow(now time.Time, name pollendocument.ServerName) {
	if p, ok := l.peers.Get(now, name); ok {
		p.load.Flows++
		p.load.Running++
	}
}

// AddRequest counts a request sent to a peer as outstanding.
func (l *Loads) AddRequest(now time.Time, name pollendocument.ServerName) {
	if p, ok := l.peers.Get(now, name); ok {
		p.outstanding++
	}
}

// EndRequest removes a request counted by AddRequest.
func (l *Loads) EndRequest(now time.Time, name pollendocument.ServerName) {
	if p, ok := l.peers.Get(now, name); ok && p.outstanding > 0 {
		p.outstanding--
	}
}

// MarkFull records that a peer has just refused a request for lack of room. Get
// returns the peer as full until fullPause has passed.
func (l *Loads) MarkFull(now time.Time, name pollendocument.ServerName) {
	if p, ok := l.peers.Get(now, name); ok {
		p.fullUntil = now.Add(fullPause)
	}
}

// Expire removes peers whose load was not updated within the lease.
func (l *Loads) Expire(now time.Time) { l.peers.Expire(now, nil) }
