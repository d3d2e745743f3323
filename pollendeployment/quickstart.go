package pollendeployment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenstandin"
)

// QuickstartLayout returns the layout of the quickstart: the ring registry with
// its feed, and the label sheets, with the limits of the first deployment.
func QuickstartLayout() Layout {
	l := Layout{
		Network: 77, Domains: []pollendocument.DomainName{"celje-a", "celje-b", "velenje"}, Control: 3, Balancers: 2,
	}
	service := func(name string, delivery pollendocument.Delivery) pollendocument.Service {
		const (
			slots       = 5
			connections = 2000
			queue       = 16
			deadline    = 5 * time.Second
			retention   = 10 * time.Minute
			idle        = 90 * time.Second
		)
		return pollendocument.Service{
			Name: pollendocument.ServiceName(name), Address: l.ServiceAddress(len(l.Services)), Delivery: delivery,
			Slots: slots, ConnectionLimit: connections, ColdLimit: 1, WarmUp: backendColdDuration, QueueLimit: queue,
			RequestTimeout: deadline, Retention: retention, IdleTimeout: idle,
		}
	}
	l.Services = append(l.Services, ServiceLayout{Service: service("rings", pollendocument.DeliveryHTTP), Team: "registry", Agents: 4})
	l.Services = append(l.Services, ServiceLayout{Service: service("feed", pollendocument.DeliveryRelay), Team: "registry", Agents: 3})
	l.Services = append(l.Services, ServiceLayout{Service: service("sheets", pollendocument.DeliveryHTTP), Team: "labels", Agents: 3})
	return l
}

// Parameters of the quickstart's traffic and of its restarts. repeatShare is the
// fraction of registrations that are sent again after their answer; callerCount is
// the number of callers for each service.
const (
	feedCount          = 12
	feedSilenceTimeout = 4 * time.Second
	registerInterval   = 40 * time.Millisecond
	downloadInterval   = 120 * time.Millisecond
	repeatShare        = 0.2
	callerCount        = 6
	stopTimeout        = 20 * time.Second
)

// disabledDomain is the failure domain that the quickstart sets to state out and
// then back to in.
const disabledDomain = pollendocument.DomainName("velenje")

// Quickstart starts the system, sends traffic and, while it runs, restarts
// processes and changes the document. It reports each step, and counts in the
// system's tally what callers and backend servers observe.
func Quickstart(ctx context.Context, s *System, report func(format string, args ...any)) error {
	if err := s.StartAll(ctx); err != nil {
		return err
	}
	report("%d control hosts, %d balancers, %d agents are serving", s.Layout.Control, s.Layout.Balancers, len(s.Layout.agents()))
	feeds, err := s.openFeeds(ctx)
	if err != nil {
		return err
	}
	report("%d feeds are open", len(feeds))
	trafficCtx, stopTraffic := context.WithCancel(ctx)
	var group sync.WaitGroup
	s.startTraffic(trafficCtx, ctx, &group)
	err = s.runDisturbances(ctx, report)
	stopTraffic()
	group.Wait()
	s.countBrokenFeeds(feeds, report)
	for _, f := range feeds {
		f.Close()
	}
	return err
}

func (s *System) openFeeds(ctx context.Context) ([]*pollenstandin.Feed, error) {
	address := s.serviceLayout("feed").Service.Address
	var feeds []*pollenstandin.Feed
	for i := range feedCount {
		caller := pollenstandin.NewCaller(address, s.CallerTLS(), s.Tally)
		s.Tally.Add(pollenstandin.CountRequests, 1)
		f, err := caller.OpenFeed(ctx, fmt.Sprintf("/feed/club-%d", i))
		if err != nil {
			return nil, errors.Wrap(err, "open feed")
		}
		s.Tally.Add(pollenstandin.CountAnswered, 1)
		feeds = append(feeds, f)
	}
	return feeds, nil
}

func (s *System) serviceLayout(name pollendocument.ServiceName) ServiceLayout {
	for _, l := range s.Layout.Services {
		if l.Service.Name == name {
			return l
		}
	}
	return ServiceLayout{}
}

// startTraffic sends registrations and downloads until trafficCtx ends. Requests
// that are in progress then complete under runCtx.
func (s *System) startTraffic(trafficCtx, runCtx context.Context, group *sync.WaitGroup) {
	sendEvery := func(interval time.Duration, service pollendocument.ServiceName, send func(c *pollenstandin.Caller, n int)) {
		callers := make([]*pollenstandin.Caller, callerCount)
		for i := range callers {
			callers[i] = pollenstandin.NewCaller(s.serviceLayout(service).Service.Address, s.CallerTLS(), s.Tally)
		}
		group.Go(func() {
			var inner sync.WaitGroup
			for n := 0; trafficCtx.Err() == nil; n++ {
				inner.Go(func() { send(callers[n%len(callers)], n) })
				time.Sleep(interval)
			}
			inner.Wait()
			for _, c := range callers {
				c.Close()
			}
		})
	}
	sendEvery(registerInterval, "rings", func(c *pollenstandin.Caller, n int) {
		c.Register(runCtx, fmt.Sprintf("/rings/%d", n), fmt.Sprintf("ring-%d", n), rand.Float64() < repeatShare)
	})
	sendEvery(downloadInterval, "sheets", func(c *pollenstandin.Caller, n int) {
		c.Download(runCtx, fmt.Sprintf("/sheets/%d", n))
	})
}

// runDisturbances executes the planned changes in sequence, with a pause before
// each one and after the last one.
func (s *System) runDisturbances(ctx context.Context, report func(format string, args ...any)) error {
	const pause = 1500 * time.Millisecond
	steps := []struct {
		description string
		apply       func() error
	}{
		{"backend server rings-4 drains", func() error { s.Backends["rings-4"].Drain(); return nil }},
		{"balancer-1 restarts", func() error { return s.restart("balancer", "balancer-1") }},
		{"agent feed-1 restarts", func() error { return s.restart("agent", "feed-1") }},
		{"agent rings-2 restarts", func() error { return s.restart("agent", "rings-2") }},
		{"failure domain " + string(disabledDomain) + " is taken out", func() error { return s.setDomainState(ctx, pollendocument.DomainOut) }},
		{"failure domain " + string(disabledDomain) + " comes back", func() error {
			time.Sleep(pause)
			return s.setDomainState(ctx, pollendocument.DomainIn)
		}},
	}
	for _, step := range steps {
		time.Sleep(pause)
		started := time.Now()
		if err := step.apply(); err != nil {
			return errors.Wrap(err, step.description)
		}
		report("%s (%s)", step.description, time.Since(started).Round(time.Millisecond))
	}
	time.Sleep(pause)
	return nil
}

func (s *System) restart(role, name string) error {
	if err := s.Stop(name, syscall.SIGTERM, stopTimeout); err != nil {
		return err
	}
	return s.Start(role, name)
}

func (s *System) setDomainState(ctx context.Context, state pollendocument.DomainState) error {
	current, err := s.CurrentDocument(ctx)
	if err != nil {
		return err
	}
	states := map[pollendocument.DomainName]pollendocument.DomainState{disabledDomain: state}
	text, code, err := s.Submit(ctx, s.Layout.Document(current, states))
	if err != nil || code != 0 {
		return errors.Errorf("submit: exit %d: %v: %s", code, err, text)
	}
	return nil
}

// countBrokenFeeds counts the feeds that failed and reports why. Feeds whose
// backend server is in the disabled failure domain count as given up instead of
// broken. It then reports the counters that are not part of the tally's summary.
func (s *System) countBrokenFeeds(feeds []*pollenstandin.Feed, report func(format string, args ...any)) {
	domains := map[string]pollendocument.DomainName{}
	for _, a := range s.Layout.agents() {
		domains[a.name] = a.domain
	}
	for i, f := range feeds {
		if domains[f.Server()] == disabledDomain {
			s.Tally.Add(pollenstandin.CountGivenUp, 1)
			continue
		}
		if failure := f.Failure(time.Now(), feedSilenceTimeout); failure != "" {
			s.Tally.Add(pollenstandin.CountBroken, 1)
			report("feed %d from %s broke: %s", i, f.Server(), failure)
		}
	}
	report("givenup=%d unknown=%d repeated=%d shed=%d coldoverrun=%d wronganswer=%d",
		s.Tally.Get(pollenstandin.CountGivenUp), s.Tally.Get(pollenstandin.CountUnknown),
		s.Tally.Get(pollenstandin.CountRepeated), s.Tally.Get(pollenstandin.CountShed),
		s.Tally.Get(pollenstandin.CountColdOverrun), s.Tally.Get(pollenstandin.CountWrongAnswer))
}
