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
	startTimeout = 20 * time.Second
	// recoverTime is the time between the last fault and the calm end, in which
	// every request must be answered but for a few.
	recoveryTime     = 8 * time.Second
	finalPhaseTime   = 4 * time.Second
	minFinalAnswered = 0.98
	readTimeout      = 10 * time.Second
)

// A Config says what to run.
type Config struct {
	Seed uint64
	// Duration is the time during which faults are injected.
	Duration time.Duration
	// Binary is the program, and Folder takes settings, data and logs.
	Binary, Folder string
	// Network is the second number of every loopback address.
	Network int
	// Balancers and Servers are the processes of each failure domain; the first
	// balancer has a disk. There are at most 40 and 200.
	Balancers, Servers int
}

// Size of a usual run.
const (
	DefaultBalancers = 2
	DefaultServers   = 3
)

// run is one run.
type run struct {
	config    Config
	check     *check
	hosts     []*host
	addresses []netip.AddrPort
	router    *router
	operator  *operator
	callers   []*caller
	// operated is closed when the operator has ended its last call.
	operatorDone     chan struct{}
	lastIncarnation  atomic.Int64
	lastRequestID    atomic.Uint64
	stopped          atomic.Bool
	requestsEnded    atomic.Bool
	finalPhase       atomic.Bool
	documentRequests chan struct{}
	group            sync.WaitGroup

	mu            sync.Mutex
	claimed       map[*host]bool
	lastDiskFault time.Time
	lastFault     time.Time
	failure       error
}

// Run starts a system, disturbs it, and says what came of it. Every process that
// it started has ended when it returns, which it does early with an error when
// the context ends.
func Run(ctx context.Context, c Config) (*Result, error) {
	r := &run{
		config: c, check: newCheck(), claimed: map[*host]bool{}, documentRequests: make(chan struct{}, 1), operatorDone: make(chan struct{}),
		router: &router{missedProbes: map[*host]int{}, delayedUntil: map[*host]time.Time{}, lostUntil: map[*host]time.Time{}},
	}
	for i := range services {
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
		return nil, errors.Wrap(ctx.Err(), "run was ended")
	}
	r.readBack(random)
	if r.failure != nil {
		return nil, r.failure
	}
	return r.result(count), nil
}

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
				return errors.Wrap(err, "start backend server")
			}
			h.server = s
			continue
		}
		p, err := startProxy(address(r.config.Network, callerBlock+2, i+1), h)
		if err != nil {
			return errors.Wrap(err, "start proxy")
		}
		proxies = append(proxies, p)
		r.router.balancers = append(r.router.balancers, h)
		r.router.missedProbes[h] = 2
		go r.router.probe(r, h)
	}
	r.operator = newOperator(r, proxies)
	r.operator.declare(random, startTimeout)
	if r.operator.acknowledged == 0 {
		return errors.New("the first document was not acknowledged")
	}
	go r.runOperator(rand.New(rand.NewPCG(r.config.Seed, 2)))
	for i := range callerCount {
		c, err := startCaller(r, address(r.config.Network, callerBlock, i+1))
		if err != nil {
			return errors.Wrap(err, "start caller")
		}
		r.callers = append(r.callers, c)
		for j := range flowsPerCaller {
			random := rand.New(rand.NewPCG(r.config.Seed, uint64(100*i+j+10)))
			r.spawn(func() { c.runFlows(j%len(services), random) })
		}
	}
	time.Sleep(2 * time.Second)
	return nil
}

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
			if n == 0 {
				h.disk = true
				h.DataFolder = filepath.Join(r.config.Folder, "data-"+h.Name)
			}
		}
	}
	for n := range r.config.Servers {
		for d := range domainCount {
			h := add(d, firstGateNumber+n, "gate")
			h.Service = services[(len(r.hosts)-1)%len(services)].name
		}
	}
	return os.MkdirAll(r.config.Folder, 0o700)
}

// inject disturbs the system until the time is over, and returns the number of
// faults.
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

// sleep waits for the time, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// operate submits documents when one is wanted, and reads otherwise.
func (r *run) runOperator(random *rand.Rand) {
	defer close(r.operatorDone)
	for r.running() && !r.requestsEnded.Load() {
		select {
		case <-r.documentRequests:
			r.operator.declare(random, startTimeout)
		case <-time.After(operatorInterval):
			r.operator.read(random)
		}
	}
}

func (r *run) requestDocument() bool {
	select {
	case r.documentRequests <- struct{}{}:
		return true
	default:
		return false
	}
}

// readBack reads the document after all faults.
func (r *run) readBack(random *rand.Rand) {
	<-r.operatorDone
	for end := time.Now().Add(readTimeout); time.Now().Before(end); time.Sleep(operatorInterval) {
		if r.operator.read(random) {
			return
		}
	}
	r.check.addViolation("lost", "no balancer gives the document after all faults")
}

func (r *run) result(count int) *Result {
	c := r.check
	c.mu.Lock()
	defer c.mu.Unlock()
	if float64(c.finalAnswered) < minFinalAnswered*float64(c.finalSent) || c.finalSent == 0 {
		c.violations["recovered"]++
		c.notes = append(c.notes, fmt.Sprintf("recovered: %d of %d requests were answered after all faults", c.finalAnswered, c.finalSent))
	}
	return &Result{
		Seed: r.config.Seed, Sent: c.sent, Answered: c.answered, ExcusedResets: c.excusedResets, Faults: count,
		Violations: c.violations, Notes: c.notes,
	}
}

// sawReset checks a reset that a caller got on an open flow.
func (r *run) checkReset(f pollenpacket.Flow) {
	for _, h := range r.hosts {
		if h.server == nil || !h.server.holds(f) {
			continue
		}
		r.mu.Lock()
		excused := time.Since(r.lastFault) < disturbedPeriod
		r.mu.Unlock()
		if excused {
			r.check.mu.Lock()
			r.check.excusedResets++
			r.check.mu.Unlock()
			continue
		}
		r.check.addViolation("broken", fmt.Sprintf("flow of %s was reset; %s holds it", f.Caller, h.Name))
	}
}

// calm reports whether the host was not disturbed lately.
func (r *run) isUndisturbed(h *host) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Since(h.lastDisturbed) > disturbedPeriod
}

func (r *run) running() bool       { return !r.stopped.Load() }
func (r *run) sendsRequests() bool { return !r.stopped.Load() && !r.requestsEnded.Load() }
func (r *run) inFinalPhase() bool  { return r.finalPhase.Load() }

func (r *run) spawn(work func()) {
	r.group.Add(1)
	go func() {
		defer r.group.Done()
		work()
	}()
}

func (r *run) recordFailure(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.failure == nil {
		r.failure = err
	}
}

// close ends every process that the run has started.
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
