package pollensoak

import (
	"math/rand/v2"
	"os"
	"syscall"
	"time"
)

// Times of faults.
const (
	minFaultGap     = 300 * time.Millisecond
	maxFaultGap     = 1500 * time.Millisecond
	maxRestartDelay = 600 * time.Millisecond
	minProcessPause = 200 * time.Millisecond
	// stopLimit is how long a process may take for a planned stop.
	stopTimeout = 6 * time.Second
	// settle is how long after a fault on it a host counts as disturbed.
	disturbedPeriod = 5 * time.Second
)

// A fault disturbs a run; it returns false when it does not fit now.
type fault func(r *run, random *rand.Rand) bool

// faults holds every kind of fault, by name.
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
}

// take claims a host for a fault. Of the hosts with a disk, one is disturbed at
// a time, as the system has to bear.
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
		// Until it is released, no other one is taken.
		r.lastDiskFault = now.Add(stopTimeout)
	}
	return h
}

// release gives a host back after a fault.
func (r *run) releaseHost(h *host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.claimed, h)
	if h.disk {
		r.lastDiskFault = time.Now()
	}
}

// disturb notes that an unplanned fault hits the host now.
func (r *run) markDisturbed(h *host) {
	r.mu.Lock()
	h.lastDisturbed = time.Now()
	r.lastFault = h.lastDisturbed
	r.mu.Unlock()
}

// restart ends a process by a signal and starts it again, with an empty disk if
// wipe is set.
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

// herd kills every process beside a backend server at once.
func (r *run) killAllGates(random *rand.Rand) bool {
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

func (r *run) disturbRouter(random *rand.Rand, until map[*host]time.Time) bool {
	h := r.router.balancers[random.IntN(len(r.router.balancers))]
	duration := time.Duration(random.Int64N(int64(2 * time.Second)))
	r.router.mu.Lock()
	until[h] = time.Now().Add(duration)
	r.router.mu.Unlock()
	r.markDisturbed(h)
	return true
}

// crashServer has a backend server end without a word and start anew.
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

// drainServer drains a backend server, which later starts anew.
func (r *run) drainServer(random *rand.Rand) bool {
	h := r.claimHost(random, func(h *host) bool { return h.server != nil })
	if h == nil {
		return false
	}
	r.spawn(func() {
		defer r.releaseHost(h)
		h.server.drain()
		time.Sleep(drainDeadline + time.Second)
		h.server.replace()
	})
	return true
}
