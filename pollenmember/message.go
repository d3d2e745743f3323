// Package pollenmember is the state machine by which a balancer or agent renews
// its membership lease and follows the replicated view.
package pollenmember

import (
	"net/netip"

	"pollenstep.example/pollenstep/pollenview"
)

// A Heartbeat renews a member's lease with the control hosts.
type Heartbeat struct {
	Member   pollenview.Member
	Revision pollenview.Revision
	// SyncedEpoch is the latest epoch of its ledger group for which the member
	// is synced: it has every claim that earlier groups may have granted. It
	// is zero until the member is synced for the first time.
	SyncedEpoch uint64
	// Cold is set while the member's backend server is in a cold start.
	Cold bool
	// Leaving is set when the member releases its lease.
	Leaving bool
}

// A Notice reports the sender's revision to another process.
type Notice struct {
	Revision pollenview.Revision
	// FromControlHost is set when the sender is a control host.
	FromControlHost bool
	// Leader is the address of the leading control host; invalid if the sender
	// does not know it.
	Leader netip.AddrPort
	// Update brings the receiver to the revision. It is empty when it does not
	// fit in the datagram.
	Update pollenview.Update
}
