package pollensoak

import (
	"math/rand/v2"
	"os"
	"syscall"
	"time"
)

// Times of faults.
const (
	faultGapLeast = 300 * time.Millisecond
	faultGapMost  = 1500 * time.Millisecond
	restartMost   = 600 * time.Millisecond
	pauseLeast    = 200 * time.Millisecond
	// stopLimit is how long a process may take for a planned stop.
	stopLimit = 6 * time.Second
	// settle is how long after a fault on it a host counts as disturbed.
	settle = 5 * time.Second
)

// A fault disturbs a run; it returns false when it does not fit now.
type fault func(r *run, random *rand.Rand) bool

// faults holds every kind of fault, by name.
var faults = map[string]fault{
	"stop":    func(r *run, random *rand.Rand) bool { return r.restart(random, syscall.SIGTERM, false) },
	"kill":    func(r *run, random *rand.Rand) bool { return r.restart(random, syscall.SIGKILL, false) },
	"wipe":    func(r *run, random *rand.Rand) bool { return r.restart(random, syscall.SIGKILL, true) },
	"pause":   (*run).pause,
	"proxy":   (*run).disturbProxy,
	"delay":   func(r *run, random *rand.Rand) bool { return r.disturbRouter(random, r.router.delayed) },
	"lose":    func(r *run, random *rand.Rand) bool { return r.disturbRouter(random, r.router.lost) },
	"crash":   (*run).crashServer,
	"drain":   (*run).drainServer,
	"declare": func(r *run, _ *rand.Rand) bool { return r.wantDocument() },
	"herd":    (*run).herd,
}

// take claims a host for a fault. Of the hosts with a disk, one is disturbed at
// a time, as the system has to bear.
func (r *run) take(random *rand.Rand, fits func(h *host) bool) *host {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var free []*host
	for _, h := range r.hosts {
		if r.busy[h] || !fits(h) {
			continue
		}
		if h.disk && now.Sub(r.diskFault) < settle {
			continue
		}
		free = append(free, h)
	}
	if len(free) == 0 {
		return nil
	}
	h := free[random.IntN(len(free))]
	r.busy[h] = true
	if h.disk {
		// Until it is released, no other one is taken.
		r.diskFault = now.Add(stopLimit)
	}
	return h
}

// release gives a host back after a fault.
func (r *run) release(h *host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.busy, h)
	if h.disk {
		r.diskFault = time.Now()
	}
}

// disturb notes that an unplanned fault hits the host now.
func (r *run) disturb(h *host) {
	r.mu.Lock()
	h.disturbed = time.Now()
	r.lastFault = h.disturbed
	r.mu.Unlock()
}

// restart ends a process by a signal and starts it again, with an empty disk if
// wipe is set.
func (r *run) restart(random *rand.Rand, signal syscall.Signal, wipe bool) bool {
	h := r.take(random, func(h *host) bool { return !wipe || h.disk })
	if h == nil {
		return false
	}
	wait := time.Duration(random.Int64N(int64(restartMost)))
	r.spawn(func() {
		defer r.release(h)
		if signal != syscall.SIGTERM {
			r.disturb(h)
		}
		h.signal(signal)
		h.end(stopLimit)
		if wipe {
			if err := os.RemoveAll(h.DataFolder); err != nil {
				r.fail(err)
			}
		}
		time.Sleep(wait)
		if err := h.start(false); err != nil {
			r.fail(err)
		}
		if signal != syscall.SIGTERM {
			r.disturb(h)
		}
	})
	return true
}

func (r *run) pause(random *rand.Rand) bool {
	h := r.take(random, func(*host) bool { return true })
	if h == nil {
		return false
	}
	long := pauseLeast + time.Duration(random.Int64N(int64(2*time.Second)))
	r.spawn(func() {
		defer r.release(h)
		r.disturb(h)
		h.signal(syscall.SIGSTOP)
		time.Sleep(long)
		h.signal(syscall.SIGCONT)
		r.disturb(h)
	})
	return true
}

// herd kills every process beside a backend server at once.
func (r *run) herd(random *rand.Rand) bool {
	if random.IntN(4) > 0 {
		return false
	}
	for {
		h := r.take(random, func(h *host) bool { return h.server != nil })
		if h == nil {
			return true
		}
		r.spawn(func() {
			defer r.release(h)
			r.disturb(h)
			h.signal(syscall.SIGKILL)
			h.end(stopLimit)
			if err := h.start(false); err != nil {
				r.fail(err)
			}
			r.disturb(h)
		})
	}
}

func (r *run) disturbProxy(random *rand.Rand) bool {
	p := r.operator.proxies[random.IntN(len(r.operator.proxies))]
	if p.present() != proxyPass {
		return false
	}
	mode := proxyModes[random.IntN(len(proxyModes))]
	long := time.Duration(random.Int64N(int64(3 * time.Second)))
	r.spawn(func() {
		p.set(mode)
		time.Sleep(long)
		p.set(proxyPass)
	})
	return true
}

func (r *run) disturbRouter(random *rand.Rand, until map[*host]time.Time) bool {
	h := r.router.balancers[random.IntN(len(r.router.balancers))]
	long := time.Duration(random.Int64N(int64(2 * time.Second)))
	r.router.mu.Lock()
	until[h] = time.Now().Add(long)
	r.router.mu.Unlock()
	r.disturb(h)
	return true
}

// crashServer has a backend server end without a word and start anew.
func (r *run) crashServer(random *rand.Rand) bool {
	h := r.take(random, func(h *host) bool { return h.server != nil })
	if h == nil {
		return false
	}
	r.disturb(h)
	h.server.replace()
	r.release(h)
	return true
}

// drainServer drains a backend server, which later starts anew.
func (r *run) drainServer(random *rand.Rand) bool {
	h := r.take(random, func(h *host) bool { return h.server != nil })
	if h == nil {
		return false
	}
	r.spawn(func() {
		defer r.release(h)
		h.server.drain()
		time.Sleep(drainBound + time.Second)
		h.server.replace()
	})
	return true
}
