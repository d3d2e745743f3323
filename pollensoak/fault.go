package pollensoak

import (
	"math/rand/v2"
	"os"
	"syscall"
	"time"
)

// Timing of faults.
const (
	minFaultGap     = 300 * time.Millisecond
	maxFaultGap     = 1500 * time.Millisecond
	maxRestartDelay = 600 * time.Millisecond
	minProcessPause = 200 * time.Millisecond
	// stopTimeout is the time in which a process must end after a signal; it is
	// killed afterwards.
	stopTimeout = 6 * time.Second
	// disturbedPeriod is the time after a fault on a host in which the fault may still
	// have effects.
	disturbedPeriod = 5 * time.Second
	burstDuration   = 2 * time.Second
	// burstFlows is the number of flows with uploads that each caller adds in a burst.
	burstFlows = 4
)

// A fault injects one fault into a run. It returns false, and does nothing, if that is
// not possible now.
type fault func(r *run, random *rand.Rand) bool

// faults holds all kinds of faults by name.
var faults = map[string]fault{
	"stop":    func(r *run, random *rand.Rand) bool { return r.restartProcess(random, syscall.SIGTERM, false) },
	"kill":    func(r *run, random *rand.Rand) bool { return r.restartProcess(random, syscall.SIGKILL, false) },
	"wipe":    func(r *run, random *rand.Rand) bool { return r.restartProcess(random, syscall.SIGKILL, true) },
	"pause":   (*run).pauseProcess,
	"proxy":   (*run).disturbProxy,
	"delay":   func(r *run, random *rand.Rand) bool { return r.disturbRouter(random, r.router.delayedUntil) },
	"lose":    func(r *run, random *rand.Rand) bool { return r.disturbRouter(random, r.router.lostUntil) },
	"crash":   (*run).crashServer,
	"drain":   (*run).drainServer,
	"declare": func(r *run, _ *rand.Rand) bool { return r.requestDocument() },
	"herd":    (*run).killAllGates,
	"burst":   (*run).startBurst,
}

// claimHost claims a random host for a fault, out of those that fit and that no other
// fault has claimed. It returns nil if there is none. Only one host with a disk is
// claimed at a time, and none in the disturbedPeriod after it, since the system has to
// tolerate only one such failure at a time.
func (r *run) claimHost(random *rand.Rand, fits func(h *host) bool) *host {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var free []*host
	for _, h := range r.hosts {
		if r.claimed[h] || !fits(h) {
			continue
		}
		if h.disk && now.Sub(r.lastDiskFault) < disturbedPeriod {
			continue
		}
		free = append(free, h)
	}
	if len(free) == 0 {
		return nil
	}
	h := free[random.IntN(len(free))]
	r.claimed[h] = true
	if h.disk {
		// The time is in the future, so that no other host with a disk is claimed
		// until this one is released.
		r.lastDiskFault = now.Add(stopTimeout)
	}
	return h
}

// releaseHost ends the claim on a host after a fault.
func (r *run) releaseHost(h *host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.claimed, h)
	if h.disk {
		r.lastDiskFault = time.Now()
	}
}

// markDisturbed records that an unplanned fault affects the host now.
func (r *run) markDisturbed(h *host) {
	r.mu.Lock()
	h.lastDisturbed = time.Now()
	r.lastFault = h.lastDisturbed
	r.mu.Unlock()
}

// restartProcess ends a process by a signal and starts it again after a random time,
// without its data folder if wipe is set. A stop by SIGTERM is planned, so the host does
// not count as disturbed.
func (r *run) restartProcess(random *rand.Rand, signal syscall.Signal, wipe bool) bool {
	h := r.claimHost(random, func(h *host) bool { return !wipe || h.disk })
	if h == nil {
		return false
	}
	wait := time.Duration(random.Int64N(int64(maxRestartDelay)))
	r.spawn(func() {
		defer r.releaseHost(h)
		if signal != syscall.SIGTERM {
			r.markDisturbed(h)
		}
		h.signal(signal)
		h.waitOrKill(stopTimeout)
		if wipe {
			if err := os.RemoveAll(h.DataFolder); err != nil {
				r.recordFailure(err)
			}
		}
		time.Sleep(wait)
		if err := h.start(false); err != nil {
			r.recordFailure(err)
		}
		if signal != syscall.SIGTERM {
			r.markDisturbed(h)
		}
	})
	return true
}

// pauseProcess pauses a process by SIGSTOP for a random time.
func (r *run) pauseProcess(random *rand.Rand) bool {
	h := r.claimHost(random, func(*host) bool { return true })
	if h == nil {
		return false
	}
	duration := minProcessPause + time.Duration(random.Int64N(int64(2*time.Second)))
	r.spawn(func() {
		defer r.releaseHost(h)
		r.markDisturbed(h)
		h.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		h.signal(syscall.SIGCONT)
		r.markDisturbed(h)
	})
	return true
}

// killAllGates kills all gates that no other fault has claimed, all at the same time, and
// starts them again.
func (r *run) killAllGates(random *rand.Rand) bool {
	// Three of four attempts are skipped, so that this fault is rarer than others.
	if random.IntN(4) > 0 {
		return false
	}
	for {
		h := r.claimHost(random, func(h *host) bool { return h.server != nil })
		if h == nil {
			return true
		}
		r.spawn(func() {
			defer r.releaseHost(h)
			r.markDisturbed(h)
			h.signal(syscall.SIGKILL)
			h.waitOrKill(stopTimeout)
			if err := h.start(false); err != nil {
				r.recordFailure(err)
			}
			r.markDisturbed(h)
		})
	}
}

// disturbProxy sets a random proxy to a random faulty mode for a random time, unless it is
// in a faulty mode already.
func (r *run) disturbProxy(random *rand.Rand) bool {
	p := r.operator.proxies[random.IntN(len(r.operator.proxies))]
	if p.currentMode() != proxyPass {
		return false
	}
	mode := proxyModes[random.IntN(len(proxyModes))]
	duration := time.Duration(random.Int64N(int64(3 * time.Second)))
	r.spawn(func() {
		p.setMode(mode)
		time.Sleep(duration)
		p.setMode(proxyPass)
	})
	return true
}

// disturbRouter delays or loses the packets to a random balancer for a random time;
// until is the router's map for one of the two.
func (r *run) disturbRouter(random *rand.Rand, until map[*host]time.Time) bool {
	h := r.router.balancers[random.IntN(len(r.router.balancers))]
	duration := time.Duration(random.Int64N(int64(2 * time.Second)))
	r.router.mu.Lock()
	until[h] = time.Now().Add(duration)
	r.router.mu.Unlock()
	r.markDisturbed(h)
	return true
}

// crashServer replaces a backend server by a new incarnation without notice.
func (r *run) crashServer(random *rand.Rand) bool {
	h := r.claimHost(random, func(h *host) bool { return h.server != nil })
	if h == nil {
		return false
	}
	r.markDisturbed(h)
	h.server.replace()
	r.releaseHost(h)
	return true
}

// drainServer drains a backend server, and replaces it by a new incarnation when the
// time for the drain is over.
func (r *run) drainServer(random *rand.Rand) bool {
	h := r.claimHost(random, func(h *host) bool { return h.server != nil })
	if h == nil {
		return false
	}
	r.spawn(func() {
		defer r.releaseHost(h)
		h.server.startDrain()
		time.Sleep(drainDeadline + time.Second)
		h.server.replace()
	})
	return true
}

// startBurst has every caller send further uploads without pauses for burstDuration, unless
// a burst is going on. It disturbs no host, so it excuses nothing.
func (r *run) startBurst(random *rand.Rand) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Before(r.burstEnd) {
		return false
	}
	end := now.Add(burstDuration)
	r.burstEnd = end
	for _, c := range r.callers {
		for range burstFlows {
			own := rand.New(rand.NewPCG(random.Uint64(), 1))
			r.spawn(func() { c.runFlows(uploadRoute, own, end) })
		}
	}
	return true
}
