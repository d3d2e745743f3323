// Package pollencheckpoint holds the checkpoints of gates: lists of the open flows of
// one backend server that balancers with a disk keep, so that the flows can be reset
// after a restart of the gate's host. Checkpoints are soft state: without one, flows are
// found by search.
package pollencheckpoint

import (
	"net/netip"
	"slices"

	"pollenstep.example/pollenstep/pollenpacket"
)

// MaxFlows is the maximum number of flows in a checkpoint. It is more than any
// connection limit of a document in use.
const MaxFlows = 2048

// A Flow is an open flow of a backend server.
type Flow struct {
	Flow pollenpacket.Flow
	// Position is the position that the server's stream had reached.
	Position uint32
}

// A Checkpoint holds the open flows of the backend server of one gate.
type Checkpoint struct {
	// Gate is the address of the gate.
	Gate netip.AddrPort
	// Server is the name of the backend server, and Incarnation identifies the start of
	// it that holds the flows.
	Server      string
	Incarnation int64
	// Counter increases with each checkpoint of a gate, also across its restarts.
	Counter uint64
	// Flows is sorted by flow and holds at most MaxFlows.
	Flows []Flow
}

// Newer reports whether c replaces the other checkpoint of the same gate.
func (c *Checkpoint) Newer(other *Checkpoint) bool {
	if c.Incarnation != other.Incarnation {
		return c.Incarnation > other.Incarnation
	}
	return c.Counter > other.Counter
}

// Sizes of a checkpoint in bytes.
const (
	// FlowSize is the size of an encoded flow: its addresses and the position.
	FlowSize = 16
	// overhead is slightly more than the size of the other fields without the name, the
	// headers of a message and those of UDP and IP.
	overhead = 100
)

// Size returns an upper bound of the bytes that the checkpoint takes on the wire and in
// a file.
func (c *Checkpoint) Size() int { return overhead + len(c.Server) + FlowSize*len(c.Flows) }

// positionTolerance is the difference of positions up to which a flow counts as
// unchanged. Callers accept a reset whose position differs by up to 76,800 bytes.
const positionTolerance = 16_000

// sameFlows reports whether two checkpoints serve the same purpose.
func (c *Checkpoint) sameFlows(other *Checkpoint) bool {
	return c.Server == other.Server && c.Incarnation == other.Incarnation &&
		slices.EqualFunc(c.Flows, other.Flows, func(a, b Flow) bool {
			moved := int32(a.Position - b.Position)
			return a.Flow == b.Flow && moved <= positionTolerance && moved >= -positionTolerance
		})
}
