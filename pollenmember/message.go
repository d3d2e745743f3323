// Package pollenmember is the part of a balancer or agent that keeps its
// membership alive and its view current.
package pollenmember

import (
	"net/netip"

	"pollenstep.example/pollenstep/pollenview"
)

// A Heartbeat renews a member's lease with the control hosts.
type Heartbeat struct {
	Member   pollenview.Member
	Revision pollenview.Revision
	// LedgerEpoch is the latest epoch of its ledger group that the member is
	// complete for; zero when it is in none.
	LedgerEpoch uint64
	// Cold is set while the member's backend server is in a cold start.
	Cold bool
	// Leaving gives the lease up.
	Leaving bool
}

// A Notice tells a process which revision another one holds.
type Notice struct {
	Revision pollenview.Revision
	// Control is set when the sender is a control host.
	FromControlHost bool
	// Leader is the address of the leading control host, if the sender knows it.
	Leader netip.AddrPort
	// Update brings the receiver forward when it fits in the datagram.
	Update pollenview.Update
}
