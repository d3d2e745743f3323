// Package pollenpeer maintains the peer table of a process, which is built from
// the heartbeats of other processes. This is soft state: no decision of the
// control hosts depends on it, and it works while they are unreachable.
package pollenpeer

import (
	"net/netip"
	"time"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenlog"
	"pollenstep.example/pollenstep/pollenview"
)

// A Role is the role of a peer in the system.
type Role string

// Roles of peers.
const (
	// RoleBalancer receives callers' packets and answers calls to the control
	// cluster.
	RoleBalancer Role = "balancer"
	// RoleGate runs at one backend server.
	RoleGate Role = "gate"
)

// A ServerState is the state of a backend server as seen by its gate.
type ServerState string

// States of a backend server.
const (
	// ServerUnknown is the state until the backend server has first reported.
	ServerUnknown ServerState = "unknown"
	ServerReady   ServerState = "ready"
	// ServerDraining means that it completes its flows and accepts no new ones.
	ServerDraining ServerState = "draining"
	// ServerSilent means that it does not answer any more or has stopped.
	ServerSilent ServerState = "silent"
)

// A Peer is the description of one process, as it sends it in its heartbeats.
type Peer struct {
	// Address is the UDP address for messages and packets of other nodes.
	Address netip.AddrPort
	Role    Role
	Domain  pollendocument.DomainName
	// Incarnation identifies one run of the process; it is drawn at random at each
	// start.
	Incarnation uint64
	// Sequence increases with each heartbeat of an incarnation.
	Sequence uint64
	// Revision is the revision of the view that the peer uses.
	Revision pollenview.Revision
	// Disk is set if the peer can store a replica of the log.
	Disk bool
	// FirstStart is set if the peer is configured to take part in the first start
	// of the whole system.
	FirstStart bool
	// Leaving is set once the planned stop of the process has started.
	Leaving bool
	// LinkRate is the rate of the peer's network link in kilobits per second; zero
	// means that it is not known.
	LinkRate int64
	// Uptime is how long the process had run when it sent the heartbeat.
	Uptime time.Duration
	// Server is set for RoleGate.
	Server Server
}

// A Server is the status of a backend server, as its gate reports it.
type Server struct {
	Service pollendocument.ServiceName
	State   ServerState
	// Slots is the number of requests that it runs concurrently.
	Slots int
	// Cold is set while it can bear only limited load.
	Cold bool
	// Starting is set for some seconds after its start. It then holds no flow that
	// was opened before the start.
	Starting bool
	// ColdCapacity is the number of flows that it may still accept now while it is
	// cold.
	ColdCapacity int
	// Running is the number of its running and waiting requests, including flows
	// that are being opened. Requests of upload routes count once they are complete, and
	// their flows do not count while they are being opened.
	Running int
	// AverageRunning is Running, averaged over the last second.
	AverageRunning float64
	// Failing is set while many of its responses report a server error.
	Failing bool
	// Flows is the number of its open flows.
	Flows int
	// RequestTime is the mean time of a request without its wait for a slot; zero means
	// that it is not known.
	RequestTime time.Duration
	// AdmitBelow bounds the priorities of the new flows that the gate admits: those whose
	// number is below it. Zero means that it admits every priority.
	AdmitBelow int
}

// A Heartbeat is sent once per interval, and immediately when the sender's state
// changes.
type Heartbeat struct {
	Peer Peer
	// Leader is the address of the leading control host that the sender knows;
	// invalid if unknown. Term is the term in which it leads, and LeaderAge the time
	// since a replica last confirmed that.
	Leader    netip.AddrPort
	Term      pollenlog.Term
	LeaderAge time.Duration
	// BootstrapHost is the host that bootstraps the control cluster; it is valid
	// only during the first start of the system.
	BootstrapHost netip.AddrPort
	// Balancers is a sample of the balancers that recently sent a heartbeat to the
	// sender, or the relays of the receiver's failure domain.
	Balancers []netip.AddrPort
	// Gates lists the gates that recently sent a heartbeat to the sender. It is set
	// only in the reply to a new balancer, where heartbeats are not relayed. Facts then
	// holds the other gates that the sender knows, and Listed is set if these are all
	// gates of the system.
	Gates  []netip.AddrPort
	Listed bool
	// KnownBalancers is the number of balancers that the sender knows, itself not
	// included; zero if the sender is a gate.
	KnownBalancers int
	// Relayed is set if the sender sends its heartbeats to relays only, and Report if
	// this one is sent to the receiver as a relay of the sender.
	Relayed, Report bool
	// Incomplete is set if the sender lacks gates that a relay vouches for, or a list
	// of the gates.
	Incomplete bool
	// Unheard lists balancers that the sender expects heartbeats from and receives
	// none.
	Unheard []netip.AddrPort
	// Facts and Vouches are what the sender passes on as a relay.
	Facts   []Fact
	Vouches []Vouch
}

// An Entry is a peer in the table.
type Entry struct {
	Peer Peer
	// LastSeen is when the peer last showed a sign of life: a heartbeat, directly or
	// passed on by others, or a relay that vouched for it.
	LastSeen time.Time
	// HeardAt is when this process itself last received a heartbeat of the peer; it
	// is zero if it never did.
	HeardAt time.Time
	// ReceivedAt is when the heartbeat that Peer comes from was received, here or by
	// the process that passed it on.
	ReceivedAt time.Time
	// ReportedAt is when the peer last sent a heartbeat to this process as its relay.
	ReportedAt time.Time
	// MissesSelf is set if the peer stated in its last heartbeat that it receives none
	// from this process.
	MissesSelf bool
	// knownBalancers is that of the peer's last heartbeat.
	knownBalancers int
	// snapshotAt is when the peer was last sent a snapshot because it lacked peers.
	snapshotAt time.Time
	// passes is the number of rounds in which the peer is still passed on as changed.
	passes int
}

// SetLeadership puts what the sender knows about the leader into the heartbeat.
func (h *Heartbeat) SetLeadership(now time.Time, l Leadership) {
	h.Leader, h.Term, h.LeaderAge = l.Current(now), l.Term, now.Sub(l.ConfirmedAt)
	if !h.Leader.IsValid() {
		h.LeaderAge = 0
	}
}

// LeadershipAt returns what the sender of a heartbeat received at now knows about
// the leader.
func (h *Heartbeat) LeadershipAt(now time.Time) Leadership {
	return Leadership{Leader: h.Leader, Term: h.Term, ConfirmedAt: now.Add(-max(0, h.LeaderAge))}
}
