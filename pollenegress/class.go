// Package pollenegress implements the decisions about what a balancer sends over a
// low-bandwidth link: the order in which datagrams that wait for the link are sent, and
// whether a new flow with a large request is admitted. Time is an argument, and there is
// no input or output.
package pollenegress

import (
	"time"

	"pollenstep.example/pollenstep/pollendocument"
)

// A Class is the precedence of a datagram on the host's link.
type Class string

// Classes, most urgent first.
const (
	// ClassUrgent is for opening packets, packets of the most urgent routes, queries and
	// notices about flows, and short messages.
	ClassUrgent Class = "urgent"
	// ClassNormal is for all other packets of flows.
	ClassNormal Class = "normal"
	// ClassBulk is for the data of upload routes.
	ClassBulk Class = "bulk"
	// ClassUpdate is for the fragments of long messages.
	ClassUpdate Class = "update"
)

// Classes returns all classes, most urgent first.
func Classes() []Class { return []Class{ClassUrgent, ClassNormal, ClassBulk, ClassUpdate} }

// classCount is the number of classes.
const classCount = 4

// index returns the position of the class in Classes.
func (c Class) index() int {
	switch c {
	case ClassUrgent:
		return 0
	case ClassNormal:
		return 1
	case ClassBulk:
		return 2
	case ClassUpdate:
		return 3
	}
	return 1
}

// limits holds the limits of each class, in the order of Classes.
var limits = [classCount]struct {
	// share is the share of the rate that the class gets while it is backlogged.
	share float64
	// delay bounds the time that a datagram waits. That of bulk is below the 200 ms after
	// which a caller retransmits, so that the queue holds no packet twice.
	delay time.Duration
}{
	{0, 50 * time.Millisecond},
	{0.2, 100 * time.Millisecond},
	{0.15, 150 * time.Millisecond},
	{0.15, 250 * time.Millisecond},
}

// Delay returns the longest time that a datagram of the class waits.
func (c Class) Delay() time.Duration { return limits[c.index()].delay }

// A Route identifies a route within the scheduling of a class; zero stands for what
// belongs to none.
type Route uint32

// maxRate is the rate in bits per second of the widest link that is shaped. A wider one
// carries the load of a balancer's share of a core.
const maxRate = 10e6

// Shapes reports whether a link of rate bits per second, zero if it is not known, is
// shaped under the declaration: it is narrow, and callers send large requests.
func Shapes(rate float64, d *pollendocument.Declaration) bool {
	if rate <= 0 || rate > maxRate {
		return false
	}
	for i := range d.Routes {
		if d.Routes[i].Kind == pollendocument.RouteUpload {
			return true
		}
	}
	return false
}
