package pollendeployment

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenstandin"
)

// Parameters of the stand-in backend servers.
const (
	backendServiceTime    = 20 * time.Millisecond
	backendFeedInterval   = 200 * time.Millisecond
	backendColdDuration   = 2 * time.Second
	backendOutageDuration = 2 * time.Second
)

// StartAll starts every process and stand-in, submits the document and waits
// until every balancer is ready and every member is active.
func (s *System) StartAll(ctx context.Context) error {
	if err := s.StartControl(ctx); err != nil {
		return err
	}
	for i := 1; i <= s.Layout.Balancers; i++ {
		if err := s.Start("balancer", fmt.Sprintf("balancer-%d", i)); err != nil {
			return err
		}
	}
	for _, a := range s.Layout.agents() {
		if err := s.Start("agent", a.name); err != nil {
			return err
		}
		if err := s.startBackend(a); err != nil {
			return err
		}
	}
	text, code, err := s.Submit(ctx, s.Layout.Document(&pollendocument.Document{}, nil))
	if err != nil || code != 0 {
		return errors.Errorf("submit: exit %d: %v: %s", code, err, text)
	}
	if err := s.startFabric(); err != nil {
		return err
	}
	return s.waitUntilServing(ctx)
}

// StartControl bootstraps the system on the first control host, starts the others
// and waits until all of them vote.
func (s *System) StartControl(ctx context.Context) error {
	for i := 1; i <= s.Layout.Control; i++ {
		var flags []string
		if i == 1 {
			flags = []string{"--found"}
		}
		if err := s.Start("control", fmt.Sprintf("control-%d", i), flags...); err != nil {
			return err
		}
	}
	for i := 1; i <= s.Layout.Control; i++ {
		admin := netip.AddrPortFrom(s.Layout.address(blockControl, i), portAdmin)
		if err := s.WaitReady(ctx, admin); err != nil {
			return err
		}
	}
	return s.waitForVoters(ctx)
}

// waitForVoters waits until every control host is a voter. With fewer voters, the
// loss of one host may be the loss of the majority.
func (s *System) waitForVoters(ctx context.Context) error {
	const poll = 50 * time.Millisecond
	for ctx.Err() == nil {
		if status, err := s.Status(ctx); err == nil && status.Voters() == s.Layout.Control {
			return nil
		}
		time.Sleep(poll)
	}
	return errors.Wrap(ctx.Err(), "wait until every control host is a voter")
}

func (s *System) startBackend(a agentInstance) error {
	ip := s.Layout.address(blockBackend, a.number)
	config := pollenstandin.BackendConfig{
		Name: a.name, Service: string(a.service.Service.Name), Prefix: "/" + string(a.service.Service.Name) + "/",
		Announce: netip.AddrPortFrom(s.Layout.address(blockAgent, a.number), portAnnounce),
		Requests: netip.AddrPortFrom(ip, portBackend),
		TLS:      s.serverTLS, Slots: a.service.Service.Slots, ColdLimit: a.service.Service.ColdLimit,
		ColdDuration: backendColdDuration, OutageDuration: backendOutageDuration, ServiceTime: backendServiceTime, FeedInterval: backendFeedInterval, Tally: s.Tally,
	}
	if a.service.Service.Delivery == pollendocument.DeliveryRelay {
		config.Datagrams = netip.AddrPortFrom(ip, portBackend)
	}
	b, err := pollenstandin.StartBackend(config)
	if err != nil {
		return errors.Wrapf(err, "start backend server %s", a.name)
	}
	s.Backends[a.name] = b
	return nil
}

func (s *System) startFabric() error {
	var services []netip.AddrPort
	for _, l := range s.Layout.Services {
		services = append(services, l.Service.Address)
	}
	var balancers []pollenstandin.Balancer
	for i := 1; i <= s.Layout.Balancers; i++ {
		ip := s.Layout.address(blockBalancer, i)
		balancers = append(balancers, pollenstandin.Balancer{Bind: ip, Admin: netip.AddrPortFrom(ip, portAdmin)})
	}
	var err error
	s.Fabric, err = pollenstandin.StartFabric(s.Layout.address(blockCaller, 1), services, balancers)
	return err
}

// waitUntilServing waits until the fabric sees every balancer as ready and the
// status reports every balancer and agent as active.
func (s *System) waitUntilServing(ctx context.Context) error {
	const poll = 100 * time.Millisecond
	for ctx.Err() == nil {
		status, err := s.Status(ctx)
		if err == nil && status.Active() >= s.Layout.Balancers+len(s.Layout.agents()) && s.Fabric.Ready() == s.Layout.Balancers {
			return nil
		}
		time.Sleep(poll)
	}
	return errors.Wrap(ctx.Err(), "wait until every balancer and agent is active")
}
