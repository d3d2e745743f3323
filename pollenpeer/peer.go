// Package pollenpeer keeps what a process knows of the others by their beats:
// soft state that no decision of the control hosts depends on, and that goes on
// working while they cannot be reached.
package pollenpeer

import (
	"net/netip"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenview"
)

// A Role is what a peer does.
type Role string

// Roles of peers.
const (
	// RoleBalancer takes callers' packets, and is asked for control.
	RoleBalancer Role = "balancer"
	// RoleGate stands beside one backend server.
	RoleGate Role = "gate"
)

// A ServerState says what a gate knows of its backend server.
type ServerState string

// States of a backend server.
const (
	// ServerUnknown is the state until the backend server has reported.
	ServerUnknown ServerState = "unknown"
	ServerReady   ServerState = "ready"
	// ServerDraining finishes its flows and takes no new ones.
	ServerDraining ServerState = "draining"
	// ServerSilent has not answered for a while, or is gone.
	ServerSilent ServerState = "silent"
)

// A Peer describes one process as it describes itself.
type Peer struct {
	// Address takes messages and packets of other nodes, over UDP.
	Address netip.AddrPort
	Role    Role
	Domain  pollendocument.DomainName
	// Incarnation is drawn at each start of the process.
	Incarnation uint64
	// Sequence grows with each beat of an incarnation.
	Sequence uint64
	// Revision is that of the view that the peer serves from.
	Revision pollenview.Revision
	// Disk is set when the peer can hold a replica of the log.
	Disk bool
	// First is set while the peer starts together with the whole system.
	FirstStart bool
	// Leaving is set once the process has begun its planned stop.
	Leaving bool
	// Uptime is how long the process had run when it sent the beat.
	Uptime time.Duration
	// Server is set for RoleGate.
	Server Server
}

// A Server is what a gate tells of its backend server.
type Server struct {
	Service pollendocument.ServiceName
	State   ServerState
	// Slots is the number of requests that it runs at once.
	Slots int
	// Cold is set while it bears only a little load.
	Cold bool
	// Starting is set for some seconds after it started; it then holds no flow
	// that is older.
	Starting bool
	// Room is the number of flows that a cold one may still take now.
	ColdCapacity int
	// Running is the number of requests that are running or waiting there,
	// flows being opened included.
	Running int
	// Average is Running, averaged over the last second.
	AverageRunning float64
	// Failing is set while many of its answers say that it failed.
	Failing bool
	// Flows is the number of open flows.
	Flows int
}

// A Beat is sent at each interval, and at once when the sender's state changes.
type Heartbeat struct {
	Peer Peer
	// Leader is the address of the leading control host, if known.
	Leader netip.AddrPort
	// Founder is named only while the system starts for the first time.
	BootstrapHost netip.AddrPort
	// Balancers are some of the balancers that the sender heard of lately.
	Balancers []netip.AddrPort
	// Gates are those that the sender heard of lately. Only the answer to a
	// balancer that is new holds them.
	Gates []netip.AddrPort
}

// A Known is a peer together with when it was heard.
type Entry struct {
	Peer Peer
	// Heard is when the last beat came.
	LastSeen time.Time
}
