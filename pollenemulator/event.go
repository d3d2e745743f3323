package pollenemulator

import (
	"time"

	"pollenstep.example/pollenstep/pollendocument"
)

// happen lets an event of the plan happen.
func (w *world) happen(e Event) {
	switch e.Kind {
	case EventDeclare:
		w.repeat(e, func(int) { w.operator.declare() })
	case EventAdd:
		w.addBalancers(false)
	case EventPower:
		w.powerOff(e.For)
	case EventCut:
		domain := w.domainNamed(e.Target)
		w.cut[domain] = true
		w.after(e.For, func() { delete(w.cut, domain) })
	case EventEmpty:
		domain := w.domainNamed(e.Target)
		w.operator.empty(domain, true)
		w.after(e.For, func() { w.operator.empty(domain, false) })
	case EventDrain:
		w.repeat(e, func(i int) { w.replaceServer(e.Target, i) })
	case EventCrash:
		w.repeat(e, func(int) {
			if s := w.anyServer(e.Target); s != nil {
				s.crash()
				w.after(e.For, s.begin)
			}
		})
	default:
		w.repeat(e, func(int) {
			if h := w.hostOf(e); h != nil {
				w.happenAt(h, e)
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

func (w *world) happenAt(h *host, e Event) {
	switch e.Kind {
	case EventStop:
		h.stop()
	case EventKill:
		h.kill(max(restartDelay, e.For))
	case EventFreeze:
		h.thaw = w.now.Add(e.For)
	case EventWipe:
		if h.disk != nil {
			h.disk.wipe()
			h.kill(max(restartDelay, e.For))
		}
	case EventDisk:
		if h.disk != nil {
			h.disk.full = true
			w.after(e.For, func() { h.disk.full = false })
		}
	default:
	}
}

// powerOff stops every host and backend server for the time.
func (w *world) powerOff(down time.Duration) {
	for _, h := range w.hosts {
		if h.away {
			continue
		}
		if h.disk != nil {
			h.disk.losePower()
		}
		spread := time.Duration(w.random.Int64N(int64(400 * time.Millisecond)))
		h.kill(down + spread)
		if h.server != nil && h.server.alive {
			h.server.crash()
			w.after(down+spread/2, h.server.begin)
		}
	}
}

func (w *world) domainNamed(name string) pollendocument.DomainName {
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

func (w *world) anyServer(service string) *server {
	var fit []*server
	for _, s := range w.servers {
		if s.alive && (service == "" || string(s.service.Name) == service) {
			fit = append(fit, s)
		}
	}
	if len(fit) == 0 {
		return nil
	}
	return fit[w.random.IntN(len(fit))]
}

// hostOf returns a host that the event means: one of a group, or the one with
// the address.
func (w *world) hostOf(e Event) *host {
	var fit []*host
	for _, h := range w.hosts {
		if !h.running() || h.frozen() {
			continue
		}
		leads := h.balancer != nil && h.balancer.Leader() == h.node
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
			if !leads {
				continue
			}
		default:
			if h.balancer == nil {
				continue
			}
		}
		fit = append(fit, h)
	}
	if len(fit) == 0 {
		return nil
	}
	return fit[w.random.IntN(len(fit))]
}
