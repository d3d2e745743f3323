package pollensteer

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenlocality"
	"pollenstep.example/pollenstep/pollenpeer"
	"pollenstep.example/pollenstep/pollenspeed"
)

// Limits of the loads that a group is computed from.
const (
	// coldFraction is the part of its slots that a cold gate of the home domain counts
	// with. Without any it would get no flows and not warm up.
	coldFraction = 0.1
	// maxGateLoad bounds the load per slot of one gate, so that a queue counts only slightly
	// as demand: it grows without bound at a demand just above the capacity.
	maxGateLoad = 1.2
	// carriedTime is the time constant of the counts of packets by domain; it is that of
	// the loads that gates state.
	carriedTime = time.Second
	// minCarriedPackets is the count below which the configured share is used instead of
	// the counted one: at 20 packets the counted one is off by a tenth.
	minCarriedPackets = 20
)

// A group is the state of one service that is recomputed a few times a second from
// heartbeats: the speeds of its servers and the share that leaves the failure domain.
type group struct {
	speed pollenspeed.Service
	spill pollenlocality.Spill
	// domains holds the gates by failure domain: the home domain first, also if it has no
	// gates, then the others by name. It is rebuilt while stale is set.
	domains []*domainGates
	stale   bool
	// updatedAt is when speed was last computed, and oldest the age that the oldest
	// heartbeat of a usable gate had then.
	updatedAt time.Time
	oldest    time.Duration
	home      pollenlocality.Domain
	// away and times are buffers of update.
	away  []pollenlocality.Domain
	times []time.Duration
	// loggedShare is the share of the last SpillChange, and loggedAt its time.
	loggedShare float64
	loggedAt    time.Time
}

// domainGates holds the gates of a service in one failure domain.
type domainGates struct {
	name pollendocument.DomainName
	hash uint64
	// gates is sorted by address.
	gates []*gate
	// packets counts the callers' packets that were passed to these gates since the last
	// update, and recent is the decayed count up to then.
	packets int
	recent  float64
}

// A groupSet holds the group of each service, and buffers. nearBuffer backs the result of near, and
// awayBuffer and scoreBuffer that of orderAway.
type groupSet struct {
	groups      map[pollendocument.ServiceName]*group
	nearBuffer  []*gate
	awayBuffer  []*domainGates
	scoreBuffer []float64
}

// A gateSpeed is the part of a gate's state that is recomputed with its group.
type gateSpeed struct {
	// side holds the gates of the service in the same domain; it is nil before the first flow.
	side *domainGates
	// requestTime is the request time that the gate states, smoothed.
	requestTime time.Duration
	// relative is requestTime relative to the median of the service, and zero where request
	// times are not compared.
	relative float64
}

// groupOf returns the group of the service, with its domains up to date.
func (b *Balancer) groupOf(name pollendocument.ServiceName) *group {
	s := b.groups[name]
	if s == nil {
		s = &group{stale: true}
		b.groups[name] = s
	}
	if s.stale {
		b.regroup(s, b.services[name])
	}
	return s
}

// markMoved makes the groups take in a gate that is new or has changed its domain.
func (b *Balancer) markMoved(g *gate, p *pollenpeer.Peer) {
	if g.side == nil || g.domain != p.Domain {
		b.markRegroup(p.Server.Service)
	}
}

// markRegroup makes the group of the service assign its gates to domains anew.
func (b *Balancer) markRegroup(name pollendocument.ServiceName) {
	if s := b.groups[name]; s != nil {
		s.stale = true
	}
}

func (b *Balancer) regroup(s *group, gates []*gate) {
	s.stale = false
	previous := s.domains
	s.domains = nil
	add := func(name pollendocument.DomainName) *domainGates {
		if i := slices.IndexFunc(s.domains, func(d *domainGates) bool { return d.name == name }); i >= 0 {
			return s.domains[i]
		}
		d := &domainGates{name: name, hash: xxhash.Sum64String(string(name))}
		if i := slices.IndexFunc(previous, func(d *domainGates) bool { return d.name == name }); i >= 0 {
			d.recent, d.packets = previous[i].recent, previous[i].packets
		}
		s.domains = append(s.domains, d)
		return d
	}
	add(b.config.Domain)
	for _, g := range gates {
		g.side = add(g.domain)
		g.side.gates = append(g.side.gates, g)
	}
	slices.SortFunc(s.domains[1:], func(a, o *domainGates) int { return strings.Compare(string(a.name), string(o.name)) })
	if !slices.EqualFunc(previous, s.domains, func(a, o *domainGates) bool { return a.name == o.name }) {
		s.spill.Reset()
	}
}

// local reports whether flows of the service are placed in the home domain first. With the
// gates in one domain only, or without a domain, every gate is ranked alike.
func (b *Balancer) local(s *group) bool {
	others := len(s.domains) - 1
	return b.config.Domain != "" && others > 0 && (others > 1 || len(s.domains[0].gates) > 0)
}

// update recomputes the speeds and the share of the service if that is due.
func (b *Balancer) update(now time.Time, s *group) {
	if !s.spill.Due(now) || now.Sub(s.updatedAt) < pollenlocality.UpdateInterval {
		return
	}
	s.times = s.times[:0]
	for _, d := range s.domains {
		for _, g := range d.gates {
			g.requestTime = pollenspeed.Smooth(g.requestTime, g.server.RequestTime, now.Sub(s.updatedAt))
			if g.requestTime > 0 && b.available(now, g) {
				s.times = append(s.times, g.requestTime)
			}
		}
	}
	s.speed.Update(s.times)
	s.oldest = 0
	s.away = s.away[:0]
	for i, d := range s.domains {
		state := b.measure(now, s, d, i == 0)
		if i == 0 {
			s.home = state
		} else {
			s.away = append(s.away, state)
		}
	}
	s.setCarried(now)
	s.updatedAt = now
	if b.local(s) {
		if now.Sub(b.config.StartTime) < startupGrace {
			// While gates become known, the share of a moment ago has no meaning.
			s.spill = pollenlocality.Spill{}
		}
		s.spill.Update(now, s.home, s.away)
	}
}

// measure returns the capacity and the load of a domain's available gates and sets their
// relative request times. The packets that this balancer has sent since the heartbeats do
// not count, so that the balancers of a domain agree.
func (b *Balancer) measure(now time.Time, s *group, d *domainGates, home bool) (state pollenlocality.Domain) {
	for _, g := range d.gates {
		g.relative = 0
		relative := s.speed.Relative(g.requestTime)
		if s.speed.Active() {
			g.relative = relative
		}
		if !b.available(now, g) {
			continue
		}
		slots := float64(max(1, g.server.Slots))
		capacity := slots / relative
		if g.server.Cold {
			if !home {
				continue
			}
			capacity *= coldFraction
		}
		s.oldest = max(s.oldest, now.Sub(g.lastSeen))
		load := min(maxGateLoad, (float64(g.server.Running)+g.server.AverageRunning)/2/slots)
		state.Capacity += capacity
		state.Load += load * capacity
	}
	if state.Capacity > 0 {
		state.Load /= state.Capacity
	}
	return state
}

// setCarried sets the share of this balancer's traffic of the service in each domain. Open
// flows stay where they are, so that it follows the share of new flows with a delay.
func (s *group) setCarried(now time.Time) {
	total, rooms := 0.0, 0.0
	decay := math.Exp(-now.Sub(s.updatedAt).Seconds() / carriedTime.Seconds())
	for i, d := range s.domains {
		d.recent = d.recent*decay + float64(d.packets)
		d.packets = 0
		total += d.recent
		if i > 0 {
			rooms += s.spill.Room(i - 1)
		}
	}
	if total >= minCarriedPackets {
		s.home.Carried = s.domains[0].recent / total
		for i := range s.away {
			s.away[i].Carried = s.domains[i+1].recent / total
		}
		return
	}
	s.home.Carried = 1 - s.spill.Share()
	for i := range s.away {
		if rooms > 0 {
			s.away[i].Carried = s.spill.Share() * s.spill.Room(i) / rooms
		}
	}
}

// countPacket counts a caller's packet that is passed to the gate.
func (g *gate) countPacket() {
	if g.side != nil {
		g.side.packets++
	}
}

// sooner returns the gate at which a new flow is expected to complete first.
func sooner(a, b *gate) *gate {
	if pollenspeed.Completion(b.load(), b.server.Slots, b.relative) < pollenspeed.Completion(a.load(), a.server.Slots, a.relative) {
		return b
	}
	return a
}
