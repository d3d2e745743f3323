package pollensoak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"pollenstep.example/pollenstep/platform"
	"pollenstep.example/pollenstep/pollenpacket"
)

// Phases of a run.
const (
	// declareTimeout is the time in which a document must be acknowledged.
	declareTimeout = 20 * time.Second
	// recoveryTime is the time between the last fault and the final phase. In the
	// final phase no fault is injected, and at least the fraction minFinalAnswered of
	// the requests must be answered.
	recoveryTime     = 8 * time.Second
	finalPhaseTime   = 4 * time.Second
	minFinalAnswered = 0.98
	readTimeout      = 10 * time.Second
)

// A Config configures a run.
type Config struct {
	// Seed is the seed of all random choices.
	Seed uint64
	// Duration is the time during which faults are injected.
	Duration time.Duration
	// Binary is the path of the pollenstep program. Folder is the path of the folder for
	// settings, data and logs, which is created if it is missing.
	Binary, Folder string
	// Network is the second byte of every loopback address.
	Network int
	// Balancers and Servers are the numbers of balancers and backend servers in each
	// failure domain, at most 40 and 200. The first balancer of each has a disk.
	Balancers, Servers int
}

// Default numbers of processes in each failure domain.
const (
	DefaultBalancers = 2
	DefaultServers   = 3
)

// run is the state of one run.
type run struct {
	config Config
	check  *check
	hosts  []*host
	// addresses holds the address of each of the routes.
	addresses []netip.AddrPort
	router    *router
	operator  *operator
	callers   []*caller
	// operatorDone is closed when the operator has ended its last call.
	operatorDone    chan struct{}
	lastIncarnation atomic.Int64
	lastRequestID   atomic.Uint64
	// stopped ends all work, and requestsEnded only that of callers and the operator.
	stopped       atomic.Bool
	requestsEnded atomic.Bool
	finalPhase    atomic.Bool
	// documentRequests asks the operator to submit a document.
	documentRequests chan struct{}
	group            sync.WaitGroup

	// mu guards what follows, and host.lastDisturbed.
	mu sync.Mutex
	// claimed holds the hosts that a fault has claimed.
	claimed map[*host]bool
	// lastDiskFault is the end of the last fault on a host with a disk, or a time in
	// the future during one; lastFault is the time of the last unplanned fault.
	lastDiskFault time.Time
	lastFault     time.Time
	// burstEnd is the end of the last burst of uploads.
	burstEnd time.Time
	// failure is the first error of the run itself.
	failure error
}

// Run starts a system, injects faults and returns the counts and violations. It returns
// an error if a process or socket cannot be started, if a data folder cannot be removed,
// or if the first document is not acknowledged. If the context ends, it returns early
// with an error. All processes that it started have ended when it returns.
func Run(ctx context.Context, c Config) (*Result, error) {
	r := &run{
		config: c, check: newCheck(), claimed: map[*host]bool{}, documentRequests: make(chan struct{}, 1), operatorDone: make(chan struct{}),
		router: &router{missedProbes: map[*host]int{}, delayedUntil: map[*host]time.Time{}, lostUntil: map[*host]time.Time{}},
	}
	for i := range routes {
		r.addresses = append(r.addresses, netip.AddrPortFrom(address(c.Network, callerBlock+1, i+1), 443))
	}
	defer r.close()
	random := rand.New(rand.NewPCG(c.Seed, 1))
	if err := r.start(random); err != nil {
		return nil, err
	}
	count := r.inject(ctx, random)
	sleep(ctx, recoveryTime)
	r.finalPhase.Store(true)
	sleep(ctx, finalPhaseTime)
	r.requestsEnded.Store(true)
	if ctx.Err() != nil {
		return nil, errors.Wrap(ctx.Err(), "run was interrupted")
	}
	r.readBack(random)
	if r.failure != nil {
		return nil, r.failure
	}
	return r.result(count), nil
}

// start starts the processes, backend servers, proxies, operator and callers, and has
// the first document acknowledged.
func (r *run) start(random *rand.Rand) error {
	if err := r.createHosts(); err != nil {
		return err
	}
	var proxies []*proxy
	for i, h := range r.hosts {
		if err := h.start(true); err != nil {
			return err
		}
		if h.role != "balancer" {
			s, err := startServer(r, h, i%len(services))
			if err != nil {
				return errors.Wrapf(err, "start backend server of %s", h.Name)
			}
			h.server = s
			continue
		}
		p, err := startProxy(address(r.config.Network, callerBlock+2, i+1), h)
		if err != nil {
			return errors.Wrapf(err, "start proxy of %s", h.Name)
		}
		proxies = append(proxies, p)
		// The probes of the balancers before this one are running. A balancer is out of
		// rotation until a probe succeeds.
		r.router.mu.Lock()
		r.router.balancers = append(r.router.balancers, h)
		r.router.missedProbes[h] = 2
		r.router.mu.Unlock()
		go r.router.probe(r, h)
	}
	r.operator = newOperator(r, proxies)
	r.operator.declare(random, declareTimeout)
	if r.operator.acknowledged == 0 {
		return errors.Errorf("the first document was not acknowledged within %s", declareTimeout)
	}
	go r.runOperator(rand.New(rand.NewPCG(r.config.Seed, 2)))
	for i := range callerCount {
		c, err := startCaller(r, address(r.config.Network, callerBlock, i+1))
		if err != nil {
			return errors.Wrapf(err, "start caller %d", i+1)
		}
		r.callers = append(r.callers, c)
		for j := range routes {
			for n := range routes[j].flows {
				random := rand.New(rand.NewPCG(r.config.Seed, uint64(100*i+10*j+n+10)))
				r.spawn(func() { c.runFlows(j, random, time.Time{}) })
			}
		}
	}
	// The callers send requests for 2 s before the first fault.
	time.Sleep(2 * time.Second)
	return nil
}

// createHosts creates the hosts of the configuration and the folder, and starts nothing.
func (r *run) createHosts() error {
	var domains []string
	var seeds []netip.Addr
	for d := range domainCount {
		domains = append(domains, domainName(d))
		seeds = append(seeds, address(r.config.Network, d+1, 1))
	}
	add := func(d, number int, role string) *host {
		h := &host{
			Host: platform.Host{
				Name: fmt.Sprintf("%s-%d-%d", role, d+1, number), IP: address(r.config.Network, d+1, number),
				Domain: domainName(d), Domains: domains, Seeds: seeds,
			},
			binary: r.config.Binary, folder: r.config.Folder, role: role,
		}
		r.hosts = append(r.hosts, h)
		return h
	}
	for d := range domainCount {
		for n := range r.config.Balancers {
			h := add(d, n+1, "balancer")
			switch {
			case n == 0:
				h.disk = true
				h.DataFolder = filepath.Join(r.config.Folder, "data-"+h.Name)
			case (n+d)%2 == 1:
				h.LinkMbps = linkMbps
			}
		}
	}
	for n := range r.config.Servers {
		for d := range domainCount {
			h := add(d, firstGateNumber+n, "gate")
			h.Service = services[(len(r.hosts)-1)%len(services)]
		}
	}
	return os.MkdirAll(r.config.Folder, 0o700)
}

// inject injects random faults for the configured duration, and returns their number.
func (r *run) inject(ctx context.Context, random *rand.Rand) int {
	names := slices.Sorted(maps.Keys(faults))
	count := 0
	for end := time.Now().Add(r.config.Duration); ctx.Err() == nil && time.Now().Before(end); {
		name := names[random.IntN(len(names))]
		if faults[name](r, random) {
			count++
		}
		sleep(ctx, minFaultGap+time.Duration(random.Int64N(int64(maxFaultGap-minFaultGap))))
	}
	return count
}

// sleep waits for the duration, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// runOperator submits a document when one is requested, and otherwise reads the document
// every operatorInterval, until requests end.
func (r *run) runOperator(random *rand.Rand) {
	defer close(r.operatorDone)
	for r.running() && !r.requestsEnded.Load() {
		select {
		case <-r.documentRequests:
			r.operator.declare(random, declareTimeout)
		case <-time.After(operatorInterval):
			r.operator.read(random)
		}
	}
}

// requestDocument has the operator submit a document. It returns false if a request is
// already pending.
func (r *run) requestDocument() bool {
	select {
	case r.documentRequests <- struct{}{}:
		return true
	default:
		return false
	}
}

// readBack checks that the document can be read after all faults.
func (r *run) readBack(random *rand.Rand) {
	<-r.operatorDone
	for end := time.Now().Add(readTimeout); time.Now().Before(end); time.Sleep(operatorInterval) {
		if r.operator.read(random) {
			return
		}
	}
	r.check.addViolation("lost", "no balancer returned the document within "+readTimeout.String()+" after all faults")
}

// result returns the counts and violations, after a check of the final phase.
func (r *run) result(faultCount int) *Result {
	c := r.check
	c.mu.Lock()
	defer c.mu.Unlock()
	if float64(c.finalAnswered) < minFinalAnswered*float64(c.finalSent) || c.finalSent == 0 {
		c.violations["recovered"]++
		c.notes = append(c.notes, fmt.Sprintf("recovered: %d of %d requests were answered in the final phase without faults", c.finalAnswered, c.finalSent))
	}
	return &Result{
		Seed: r.config.Seed, Sent: c.sent, Answered: c.answered, ExcusedResets: c.excusedResets, Faults: faultCount,
		LostResets: c.lostResets, Refusals: c.refusals, Uploads: c.uploads,
		Violations: c.violations, Notes: c.notes,
	}
}

// checkReset checks a reset that a caller received on an open flow or, if opening is set,
// as the answer to its opening packet. It is a violation if a backend server holds the flow,
// unless an unplanned fault was in the last disturbedPeriod. An open flow that no server
// holds has lost its server, and its gate may reset it.
func (r *run) checkReset(f pollenpacket.Flow, route int, opening bool) {
	held := false
	for _, h := range r.hosts {
		if h.server == nil || !h.server.holds(f, opening) {
			continue
		}
		held = true
		r.mu.Lock()
		excused := time.Since(r.lastFault) < disturbedPeriod
		r.mu.Unlock()
		if excused {
			r.check.mu.Lock()
			r.check.excusedResets++
			r.check.mu.Unlock()
			continue
		}
		r.check.addViolation("broken", fmt.Sprintf("flow of caller %s to %s was reset (opening: %t), but %s holds it", f.Caller, routes[route].name, opening, h.Name))
	}
	r.check.mu.Lock()
	defer r.check.mu.Unlock()
	switch {
	case opening:
		r.check.refusals[routes[route].name]++
	case !held:
		r.check.lostResets++
	}
}

// isUndisturbed reports whether no unplanned fault affected the host in the last
// disturbedPeriod.
func (r *run) isUndisturbed(h *host) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(h.lastDisturbed) > disturbedPeriod
}

// running reports whether the run has not been stopped.
func (r *run) running() bool { return !r.stopped.Load() }

// sendsRequests reports whether callers still send requests.
func (r *run) sendsRequests() bool { return !r.stopped.Load() && !r.requestsEnded.Load() }

// inFinalPhase reports whether the final phase, which has no faults, has begun.
func (r *run) inFinalPhase() bool { return r.finalPhase.Load() }

// spawn runs work in a goroutine that close waits for.
func (r *run) spawn(work func()) {
	r.group.Add(1)
	go func() {
		defer r.group.Done()
		work()
	}()
}

// recordFailure records the first error of the run itself, which Run returns.
func (r *run) recordFailure(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failure == nil {
		r.failure = err
	}
}

// close stops the run's goroutines, ends every process that the run has started, and
// waits for them.
func (r *run) close() {
	r.stopped.Store(true)
	r.group.Wait()
	for _, c := range r.callers {
		_ = c.conn.Close()
	}
	for _, h := range r.hosts {
		if h.server != nil {
			h.server.stop()
		}
		if h.exited != nil {
			h.signal(syscall.SIGCONT)
			h.signal(syscall.SIGKILL)
			<-h.exited
		}
	}
	if r.operator != nil {
		for _, p := range r.operator.proxies {
			_ = p.listener.Close()
		}
	}
}
