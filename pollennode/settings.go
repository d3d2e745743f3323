// Package pollennode runs the two programs that forward packets of flows without
// terminating the flows: the balancer, which on hosts with a disk also runs a
// replica of the replicated state, and the gate beside one backend server.
package pollennode

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollengate"
	"pollenstep.example/pollenstep/pollenpacket"
)

// Settings configure a process of this package at its start.
type Settings struct {
	// Name identifies the process in logs and metrics.
	Name   string
	Domain pollendocument.DomainName
	// Domains are the failure domains of the system. If it is empty, those of the known
	// peers are used.
	Domains []pollendocument.DomainName
	// Node is the UDP address for packets and messages of other nodes.
	Node netip.AddrPort
	// Seeds are the node addresses of the hosts that existed when the settings were
	// written. The first one chooses the bootstrap host of a new system.
	Seeds []netip.AddrPort
	// FirstStart is set when the whole system starts for the first time.
	FirstStart bool
	// Callers is the UDP address for callers' packets; only balancers have it.
	Callers netip.AddrPort
	// CallerPort is the UDP port at which every caller receives packets.
	CallerPort uint16
	// DataFolder is the path of the data folder of the replicated state; it is empty on
	// hosts without a disk.
	DataFolder string
	// Service, Server and Outbound are set for gates: the service of the backend
	// server, the address at which the server receives packets, and the address to
	// which the server sends them.
	Service  pollendocument.ServiceName
	Server   netip.AddrPort
	Outbound netip.AddrPort
	Bounds   pollengate.Bounds
	// LinkRate is the capacity of the host's network link in bits per second; zero
	// means that it is not known.
	LinkRate float64
	// Metrics is the TCP address that serves the metrics over HTTP; the zero value
	// turns them off.
	Metrics netip.AddrPort
	Level   logrus.Level
	// Format reads and writes the packets of flows.
	Format pollenpacket.Format
}

// A Reloadable accepts the settings that may change while a process runs.
type Reloadable interface {
	// SetSeeds replaces the seeds.
	SetSeeds(seeds []netip.AddrPort)
}

// ErrSettings is the cause of errors about settings with which a process cannot
// run.
var ErrSettings = errors.New("settings are invalid")

// Timing that both programs share.
const (
	// TickInterval is the interval of Tick and bounds the delay of heartbeats and
	// timeouts.
	TickInterval = 100 * time.Millisecond
	// catchUpInterval is the minimum time between two updates to the same peer. It
	// is longer than a round trip between the most distant hosts.
	catchUpInterval = 150 * time.Millisecond
	// nearestAtChange is the number of nearest balancers that send a change to a
	// peer that lacks it. nearestAtStart is that number for a peer that has just
	// started, whose nearest balancer may lack a view itself.
	nearestAtChange = 1
	nearestAtStart  = 3
	// laggingTimeout is how long a peer must lack an update before balancers that are
	// not nearest to it send the update too: one and a half heartbeat intervals after
	// the nearest one did.
	laggingTimeout = 600 * time.Millisecond
)

// bitsPerKilobit converts Settings.LinkRate to the unit of pollenpeer.Peer.LinkRate.
const bitsPerKilobit = 1000

func (s *Settings) checkBalancer() error {
	if s.Format == nil || !s.Callers.IsValid() || !s.Node.IsValid() {
		return errors.Wrapf(ErrSettings, "a balancer needs a packet format, a node address (%s) and an address for callers (%s)", s.Node, s.Callers)
	}
	return nil
}

func (s *Settings) checkGate() error {
	if s.Format == nil || !s.Outbound.IsValid() || !s.Server.IsValid() || !s.Node.IsValid() || s.Service == "" {
		return errors.Wrapf(ErrSettings, "a gate needs a packet format, a service (%q), a node address (%s), a server address (%s) and an outbound address (%s)", s.Service, s.Node, s.Server, s.Outbound)
	}
	return nil
}
