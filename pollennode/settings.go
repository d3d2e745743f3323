// Package pollennode runs the two programs that pass packets of flows on
// without ending them: the balancer, which also keeps the replicated state
// where its host has a disk, and the gate beside one backend server.
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

// Settings are what a process of this package is told at its start.
type Settings struct {
	// Name names the process in logs and metrics.
	Name   string
	Domain pollendocument.DomainName
	// Node takes packets and messages of other nodes, over UDP.
	Node netip.AddrPort
	// Seeds are addresses like Node of hosts that were there when the settings
	// were written. The first one names the founder of a new system.
	Seeds []netip.AddrPort
	// FirstStart is set while the whole system starts for the first time.
	FirstStart bool
	// Callers takes callers' packets; only balancers have it.
	Callers netip.AddrPort
	// CallerPort is the port at which every caller takes packets.
	CallerPort uint16
	// Data is the folder of the replicated state; empty without a disk.
	DataFolder string
	// Service, Server and Outbound are those of a gate: the service of its
	// backend server, where that takes packets, and where it sends them.
	Service  pollendocument.ServiceName
	Server   netip.AddrPort
	Outbound netip.AddrPort
	Bounds   pollengate.Bounds
	// Link is what the host's link carries, in bits a second; zero means that it
	// is not known.
	LinkRate float64
	// Metrics serves counters and histograms over HTTP; the zero value turns
	// it off.
	Metrics netip.AddrPort
	Level   logrus.Level
	Format  pollenpacket.Format
}

// A Reloadable takes those settings that may change while a process runs.
type Reloadable interface {
	// SetSeeds replaces the seeds.
	SetSeeds(seeds []netip.AddrPort)
}

// ErrSettings is the cause of errors about settings that a process cannot run
// with.
var ErrSettings = errors.New("settings are unusable")

// Timing that both programs share.
const (
	// TickInterval bounds how late a beat or a timeout is.
	TickInterval = 100 * time.Millisecond
	// catchUpInterval is the least time between two updates to the same peer,
	// longer than a round trip between the farthest hosts.
	catchUpInterval = 150 * time.Millisecond
	// nearestAtChange and nearestAtStart are the balancers that bring forward a
	// peer that lacks a change, and one that has just started and may be nearest
	// to a balancer which lacks a view itself.
	nearestAtChange = 1
	nearestAtStart  = 3
	// laggardAfter is how long a peer must lack something before any balancer
	// sends it: one beat and a half after the nearest one did.
	laggardAfter = 600 * time.Millisecond
)

func (s *Settings) checkBalancer() error {
	if s.Format == nil || !s.Callers.IsValid() || !s.Node.IsValid() {
		return errors.Wrap(ErrSettings, "a balancer needs a format, an address for nodes and one for callers")
	}
	return nil
}

func (s *Settings) checkGate() error {
	if s.Format == nil || !s.Outbound.IsValid() || !s.Server.IsValid() || !s.Node.IsValid() || s.Service == "" {
		return errors.Wrap(ErrSettings, "a gate needs a format, a service, and addresses for nodes, its server and outbound packets")
	}
	return nil
}
