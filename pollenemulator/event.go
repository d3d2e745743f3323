package pollenemulator

import (
	"time"

	"pollenstep.example/pollenstep/pollendocument"
)

// happen lets an event of the plan happen.
func (w *world) runEvent(e Event) {
	switch e.Kind {
	case EventDeclare:
		w.repeat(e, func(int) { w.operator.declare() })
	case EventAddBalancers:
		w.addBalancers(false)
	case EventPowerOff:
		w.powerOff(e.For)
	case EventPartition:
		domain := w.domainByName(e.Target)
		w.partitioned[domain] = true
		w.after(e.For, func() { delete(w.partitioned, domain) })
	case EventEvacuate:
		domain := w.domainByName(e.Target)
		w.operator.setEvacuation(domain, true)
		w.after(e.For, func() { w.operator.setEvacuation(domain, false) })
	case EventDrain:
		w.repeat(e, func(i int) { w.replaceServer(e.Target, i) })
	case EventCrash:
		w.repeat(e, func(int) {
			if s := w.randomServer(e.Target); s != nil {
				s.crash()
				w.after(e.For, s.start)
			}
		})
	default:
		w.repeat(e, func(int) {
			if h := w.randomHost(e); h != nil {
				w.runHostEvent(h, e)
			}
		})
	}
}

// repeat runs step Count times, one each Gap.
func (w *world) repeat(e Event, step func(i int)) {
	for i := range e.Count {
		w.after(time.Duration(i)*e.Gap, func() { step(i) })
	}
}

func (w *world) runHostEvent(h *host, e Event) {
	switch e.Kind {
	case EventStop:
		h.stop()
	case EventKill:
		h.kill(max(restartDelay, e.For))
	case EventFreeze:
		h.frozenUntil = w.now.Add(e.For)
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

// powerOff stops every host and backend server for the time.
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

func (w *world) domainByName(name string) pollendocument.DomainName {
	for _, d := range w.plan.Domains {
		if string(d) == name {
			return d
		}
	}
	return w.plan.Domains[w.random.IntN(len(w.plan.Domains))]
}

// replaceServer starts a new backend server, and drains the oldest one that
// does not drain yet.
func (w *world) replaceServer(service string, number int) {
	for _, s := range w.servers {
		if s.alive && !s.draining && (service == "" || string(s.service.Name) == service) {
			w.addServer(s.service, number%len(w.plan.Domains))
			w.after(time.Second, s.drain)
			return
		}
	}
}

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

// hostOf returns a host that the event means: one of a group, or the one with
// the address.
func (w *world) randomHost(e Event) *host {
	var candidates []*host
	for _, h := range w.hosts {
		if !h.running() || h.frozen() {
			continue
		}
		isLeader := h.balancer != nil && h.balancer.Leader() == h.node
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
