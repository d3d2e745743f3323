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
	// Running is the number of requests being run or of flows being opened.
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
func (l Load) Room() bool { return l.Running < l.Limit && l.Flows < l.FlowLimit }

// A Registration tells a home agent which agent holds a flow.
type Registration struct {
	Key Key
	// Holder is one incarnation of an agent: a later one holds the flow only
	// after it has taken it back and registered it again.
	Holder pollenview.ReplicaRef
	// Gone ends an earlier registration, because the flow has ended or the
	// holder declined it.
	Gone bool
}

// Loads remembers the last Load of each peer, corrected by what was sent to
// the peer since.
type Loads struct {
	heard *Leased[pollendocument.ServerName, Load]
}

// NewLoads returns a new Loads that forgets a peer after the lease.
func NewLoads(lease time.Duration) *Loads {
	return &Loads{heard: NewLeased[pollendocument.ServerName, Load](lease)}
}

// Hear records a peer's load.
func (l *Loads) Hear(now time.Time, load Load) { l.heard.Put(now, load.Name, load) }

// Get returns a peer's load; ok is false when nothing recent is known.
func (l *Loads) Get(now time.Time, name pollendocument.ServerName) (Load, bool) {
	return l.heard.Get(now, name)
}

// AddFlow counts a flow that was assigned to a peer.
func (l *Loads) AddFlow(now time.Time, name pollendocument.ServerName) {
	if load, ok := l.heard.Get(now, name); ok {
		load.Flows++
		load.Running++
		l.heard.Put(now, name, load)
	}
}

// AddRequest counts a request that was passed to a peer.
func (l *Loads) AddRequest(now time.Time, name pollendocument.ServerName) {
	if load, ok := l.heard.Get(now, name); ok {
		load.Running++
		l.heard.Put(now, name, load)
	}
}

// EndRequest takes back what AddRequest counted.
func (l *Loads) EndRequest(now time.Time, name pollendocument.ServerName) {
	if load, ok := l.heard.Get(now, name); ok && load.Running > 0 {
		load.Running--
		l.heard.Put(now, name, load)
	}
}

// Full notes that a peer has just refused a request for want of room.
func (l *Loads) Full(now time.Time, name pollendocument.ServerName) {
	if load, ok := l.heard.Get(now, name); ok {
		load.Running = max(load.Running, load.Limit)
		l.heard.Put(now, name, load)
	}
}

// Expire forgets peers that were not heard within the lease.
func (l *Loads) Expire(now time.Time) { l.heard.Expire(now, nil) }
