package pollennode

import (
	"net/netip"
	"time"

	"pollenstep.example/pollenstep/pollenegress"
	"pollenstep.example/pollenstep/pollenmetric"
	"pollenstep.example/pollenstep/pollenrecord"
)

// pressureLogInterval is the minimum time between two log lines about the pressure on the
// link.
const pressureLogInterval = time.Second

// queueEvents holds the events that count the datagrams of each class.
var queueEvents = map[pollenegress.Class]struct{ queued, dropped pollenmetric.Event }{
	pollenegress.ClassUrgent: {pollenmetric.EventQueuedUrgent, pollenmetric.EventDroppedUrgent},
	pollenegress.ClassNormal: {pollenmetric.EventQueuedNormal, pollenmetric.EventDroppedNormal},
	pollenegress.ClassBulk:   {pollenmetric.EventQueuedBulk, pollenmetric.EventDroppedBulk},
	pollenegress.ClassUpdate: {pollenmetric.EventQueuedUpdate, pollenmetric.EventDroppedUpdate},
}

// A linkShaper connects the decisions of a balancer about its link with its transport.
type linkShaper struct {
	// transport is nil if it cannot queue.
	transport Shaper
	// counted is what the metrics have counted, and loggedStats what the last log line was
	// based on, at loggedAt.
	counted, loggedStats pollenegress.Stats
	loggedAt             time.Time
	// closed is the state in the last log line.
	closed bool
}

// updateShaping applies a new view to the transport. mu must be held.
func (b *Balancer) updateShaping() {
	if b.shaper.transport != nil {
		b.shaper.transport.SetShaping(b.steer.Shaped())
	}
}

// updateQueued passes what waits for the link on to the decisions on packets. mu must be
// held.
func (b *Balancer) updateQueued() {
	if b.shaper.transport != nil && b.steer.Shaped() {
		b.steer.SetQueued(b.shaper.transport.Waiting())
	}
}

// sendPacket sends a packet of a flow to another node. The class is empty while the link is
// not shaped.
func (b *Balancer) sendPacket(class pollenegress.Class, route pollenegress.Route, to netip.AddrPort, datagram []byte) {
	if class == "" || b.shaper.transport == nil {
		b.transport.SendToNode(to, datagram)
		return
	}
	b.shaper.transport.SendToNodeAs(class, route, to, datagram)
}

// observeLink counts what the queue of the link has done and logs changes of the admission
// of uploads. mu must be held.
func (b *Balancer) observeLink(now time.Time) {
	s := &b.shaper
	if s.transport == nil || (!b.steer.Shaped() && !s.closed) {
		return
	}
	stats := s.transport.ShapingStats()
	b.steer.ObserveLink(now, &stats)
	for _, c := range pollenegress.Classes() {
		e := queueEvents[c]
		b.metrics.CountEvent(e.queued, stats.Of(c).Queued-s.counted.Of(c).Queued)
		b.metrics.CountEvent(e.dropped, stats.Of(c).Dropped-s.counted.Of(c).Dropped)
	}
	s.counted = stats
	p := b.steer.Pressure(now)
	if p.Closed == s.closed || now.Sub(s.loggedAt) < pressureLogInterval {
		return
	}
	fields := pollenrecord.Fields{
		"closed": p.Closed, "flows": p.Flows, "outstanding": p.Outstanding, "queued": p.Queued, "others": int(p.Others),
		"since": now.Sub(s.loggedAt).String(),
	}
	if s.loggedAt.IsZero() {
		fields["since"] = now.Sub(b.startTime).String()
	}
	for _, c := range pollenegress.Classes() {
		// The bytes sent since the line before, in the time of the field "since".
		fields[string(c)] = stats.Of(c).Sent - s.loggedStats.Of(c).Sent
		fields[string(c)+"-dropped"] = stats.Of(c).Dropped - s.loggedStats.Of(c).Dropped
	}
	b.log.Info("link pressure changed", fields)
	s.closed, s.loggedAt, s.loggedStats = p.Closed, now, stats
}
