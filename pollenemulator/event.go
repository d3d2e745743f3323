package pollenemulator

import (
	"time"

	"pollenstep.example/pollenstep/pollendocument"
)

// runEvent executes an event of the plan.
func (w *world) runEvent(e Event) {
	switch e.Kind {
	case EventDeclare:
		w.repeat(e, func(int) { w.operator.declare() })
	case EventAddBalancers:
		w.addBalancers(false, e.For)
	case EventPowerOff:
		w.powerOff(e.For)
	case EventPartition:
		c := w.domainCuts[w.domainByName(e.Target)]
		c.add(e.Direction, 1)
		w.after(e.For, func() { c.add(e.Direction, -1) })
	case EventEvacuate:
		domain := w.domainByName(e.Target)
		w.operator.setEvacuation(domain, true)
		w.after(e.For, func() { w.operator.setEvacuation(domain, false) })
	case EventReplaceServer:
		w.repeat(e, func(i int) { w.replaceServer(e.Target, i) })
	case EventCrash:
		w.repeat(e, func(int) {
			if s := w.randomServer(e.Target); s != nil {
				s.crash()
				w.after(e.For, s.start)
			}
		})
	default:
		w.repeat(e, func(i int) {
			if h := w.randomHost(e); h != nil {
				w.runHostEvent(h, e, i)
			}
		})
	}
}

// repeat schedules step e.Count times, e.Gap apart, the first one now.
func (w *world) repeat(e Event, step func(i int)) {
	for i := range e.Count {
		w.after(time.Duration(i)*e.Gap, func() { step(i) })
	}
}

// runHostEvent executes an event that affects the program or the disk of one host. number
// is the index of the repetition.
func (w *world) runHostEvent(h *host, e Event, number int) {
	switch e.Kind {
	case EventStop:
		h.stop()
	case EventKill:
		h.kill(max(restartDelay, e.For))
	case EventMiss:
		h.missed = number + 1
		h.kill(max(restartDelay, e.For))
	case EventFreeze:
		h.frozenUntil = w.now.Add(e.For)
	case EventIsolate:
		h.cuts.add(e.Direction, 1)
		w.after(e.For, func() { h.cuts.add(e.Direction, -1) })
	case EventLoseDisk:
		if h.disk != nil {
			h.disk.erase()
			h.kill(max(restartDelay, e.For))
		}
	case EventDiskFull:
		if h.disk != nil {
			h.disk.full = true
			w.after(e.For, func() { h.disk.full = false })
		}
	default:
	}
}

// powerOff cuts the power of every host and backend server. Each starts again after
// downTime plus a random delay of up to 400 ms, so that they return in any order.
// Hosts whose program was killed and has not started again are left out.
func (w *world) powerOff(downTime time.Duration) {
	for _, h := range w.hosts {
		if h.down {
			continue
		}
		if h.disk != nil {
			h.disk.losePower()
		}
		spread := time.Duration(w.random.Int64N(int64(400 * time.Millisecond)))
		h.kill(downTime + spread)
		if h.server != nil && h.server.alive {
			h.server.crash()
			w.after(downTime+spread/2, h.server.start)
		}
	}
}

// domainByName returns the failure domain of that name, or a random one if there is
// none.
func (w *world) domainByName(name string) pollendocument.DomainName {
	for _, d := range w.plan.Domains {
		if string(d) == name {
			return d
		}
	}
	return w.plan.Domains[w.random.IntN(len(w.plan.Domains))]
}

// replaceServer starts a new backend server of the service, or of any if service is
// empty, and a second later drains the oldest one that does not drain yet. number, the
// index of the repetition, selects the failure domain of the new server.
func (w *world) replaceServer(service string, number int) {
	for _, s := range w.servers {
		if s.alive && !s.draining && (service == "" || string(s.service.Name) == service) {
			w.addServer(s.service, number%len(w.plan.Domains))
			w.after(time.Second, s.drain)
			return
		}
	}
}

// randomServer returns a random running backend server of the service, or of any if
// service is empty. It returns nil if there is none.
func (w *world) randomServer(service string) *server {
	var candidates []*server
	for _, s := range w.servers {
		if s.alive && (service == "" || string(s.service.Name) == service) {
			candidates = append(candidates, s)
		}
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[w.random.IntN(len(candidates))]
}

// randomHost returns a random running host of the group that the event's target
// names; any target but gates, disks and leader selects the balancers. It returns nil
// if the group is empty.
func (w *world) randomHost(e Event) *host {
	var candidates []*host
	for _, h := range w.hosts {
		if !h.running() || h.frozen() {
			continue
		}
		isLeader := h.balancer != nil && h.balancer.Leader(w.now) == h.node
		switch e.Target {
		case "gates":
			if h.gate == nil {
				continue
			}
		case "disks":
			if h.disk == nil {
				continue
			}
		case "leader":
			if !isLeader {
				continue
			}
		default:
			if h.balancer == nil {
				continue
			}
		}
		candidates = append(candidates, h)
	}
	if len(candidates) == 0 {
		return nil
	}
	return candidates[w.random.IntN(len(candidates))]
}
