package pollensteer

import "time"

// A key is a flow as encoded by pollenlink.AppendFlow.
type key [12]byte

// A flowEntry is the flow cache's entry for one flow: the gate that is believed
// to hold it, or the state of the search for it.
type flowEntry struct {
	gate *gate
	// lastPacket is when the last packet of the flow was received.
	lastPacket time.Time
	// acknowledged is the stream position that the caller's last packet
	// acknowledged.
	acknowledged uint32
	// scope is the scope of the search for the flow; empty before the search.
	scope searchScope
	// queriedAt is when the gates that are not in notFound were last queried.
	queriedAt time.Time
	// unsure holds the gates that need a packet of the flow, and is nil before the first
	// such answer. A pointer keeps the entry below the 128 bytes up to which maps store
	// their values inline.
	unsure *unsureGates
	// notFound lists the gates that reported that they do not hold the flow.
	notFound []*gate
	// transmissions has one bit for each transmission of the opening packet that was
	// received here, and declinedTransmissions for each that was declined by busy
	// gates only.
	transmissions, declinedTransmissions uint8
	// rounds is the number of times that gates were queried within the scope, up to
	// maxRounds.
	rounds uint8
	// urgent is set while the caller waits for the response to its last packet.
	urgent bool
	// repeating is set while the key of the flow is in Balancer.repeating.
	repeating bool
	// due is set while the search waits for the next batch of queries.
	due bool
	// minimum is that of Decision.
	minimum bool
}
