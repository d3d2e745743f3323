package pollensteer

import (
	"encoding/binary"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenstep.example/pollenstep/pollendocument"
)

// Numbers of gates that a flow is placed at and searched at by failure domain.
const (
	// homeTries is the number of tries in the home domain. homeNear is the number of its gates
	// within scopeNear, two for each try; those of the other domains share the rest of maxRanked.
	homeTries = 2
	homeNear  = 2 * homeTries
)

// Bounds of the log lines about the share.
const (
	spillChange      = 0.1
	spillLogInterval = time.Second
)

// A SpillChange describes a change of the share of a service's new flows that leaves the
// failure domain.
type SpillChange struct {
	Service       pollendocument.ServiceName
	Previous, New float64
	// HomeLoad and AwayLoad are the mean loads per slot.
	HomeLoad, AwayLoad float64
	// InputAge is the age of the oldest heartbeat of a usable gate.
	InputAge time.Duration
}

// saltSpill separates the hash that decides whether a flow leaves from those that rank
// gates and domains.
const saltSpill = 0x7370696c6c

// flowHash returns a hash of the flow and a salt, the same at every balancer.
func flowHash(k key, salt uint64) uint64 {
	var input [len(k) + 8]byte
	copy(input[:], k[:])
	binary.BigEndian.PutUint64(input[len(k):], salt)
	return xxhash.Sum64(input[:])
}

// orderAway sorts the other domains into awayBuffer: the one first that the flow goes to if it
// leaves the home domain.
func (b *Balancer) orderAway(k key, s *group) []*domainGates {
	b.awayBuffer, b.scoreBuffer = b.awayBuffer[:0], b.scoreBuffer[:0]
	for i, d := range s.domains[1:] {
		score := s.spill.Score(i, flowHash(k, d.hash))
		b.awayBuffer, b.scoreBuffer = append(b.awayBuffer, d), append(b.scoreBuffer, score)
		for j := i; j > 0 && b.scoreBuffer[j-1] < score; j-- {
			b.awayBuffer[j], b.awayBuffer[j-1] = b.awayBuffer[j-1], b.awayBuffer[j]
			b.scoreBuffer[j], b.scoreBuffer[j-1] = b.scoreBuffer[j-1], b.scoreBuffer[j]
		}
	}
	return b.awayBuffer
}

// nearHome chooses a gate for a flow by failure domain: two choices in the home domain, or in
// the domain that the flow leaves for. After a decline the flow goes on in the home domain and
// then in the others. It returns nil if the choice gives no gate.
func (b *Balancer) nearHome(c *choice, s *group) *gate {
	home := s.domains[0]
	homeTry := c.tries
	if s.spill.Leaves(flowHash(c.key, saltSpill)) {
		// The first try is in another domain.
		homeTry--
	}
	if homeTry >= 0 && homeTry < homeTries {
		if g := b.twoOf(c, home.gates, skipped(homeTry)); g != nil {
			return g
		}
	}
	for _, d := range b.orderAway(c.key, s) {
		if g := b.twoOf(c, d.gates, skipped(c.tries-homeTries)); g != nil {
			return g
		}
	}
	return b.twoOf(c, home.gates, 0)
}

// skipped returns the number of highest-ranked gates that earlier tries considered: two in each,
// of which the one that was tried last is excluded otherwise.
func skipped(tries int) int { return max(0, 2*tries-1) }

// twoOf returns the less loaded of the two highest-ranked usable gates, after the first skip
// ones, or nil if there are no others.
func (b *Balancer) twoOf(c *choice, gates []*gate, skip int) *gate {
	var first *gate
	for _, g := range b.rank(c.key, gates) {
		if g == c.excluded || !b.usable(c.now, g) {
			continue
		}
		switch {
		case skip > 0:
			skip--
		case first == nil:
			first = g
		default:
			return lessLoaded(first, g)
		}
	}
	return first
}

// near returns the gates of the service of which one was probably chosen for the flow, at most
// maxRanked, the most probable first. Where flows are placed by domain these are the
// highest-ranked ones of each domain, whatever the share was when the flow was placed.
func (b *Balancer) near(k key, name pollendocument.ServiceName) []*gate {
	gates := b.services[name]
	if len(gates) == 0 {
		return nil
	}
	s := b.groupOf(name)
	if !b.local(s) {
		return b.rank(k, gates)
	}
	home := b.rank(k, s.domains[0].gates)
	var buffer [homeNear]*gate
	home = buffer[:copy(buffer[:], home)]
	others := b.orderAway(k, s)
	each := max(1, (maxRanked-len(home))/len(others))
	b.nearBuffer = b.nearBuffer[:0]
	const pair = 2
	if !s.spill.Leaves(flowHash(k, saltSpill)) {
		first := min(pair, len(home))
		b.nearBuffer, home = append(b.nearBuffer, home[:first]...), home[first:]
	}
	for i, d := range others {
		ranked := b.rank(k, d.gates)
		b.nearBuffer = append(b.nearBuffer, ranked[:min(each, len(ranked))]...)
		if i == 0 {
			b.nearBuffer = append(b.nearBuffer, home...)
		}
	}
	return b.nearBuffer[:min(maxRanked, len(b.nearBuffer))]
}

// SpillChanges returns the services whose share has changed by more than a tenth since it was
// last returned, each at most once a second. It also keeps the shares up to date while no flow
// is placed.
func (b *Balancer) SpillChanges(now time.Time) (changes []SpillChange) {
	for name := range b.services {
		s := b.groupOf(name)
		b.update(now, s)
		if math.Abs(s.spill.Share()-s.loggedShare) <= spillChange || now.Sub(s.loggedAt) < spillLogInterval {
			continue
		}
		change := SpillChange{
			Service: name, Previous: s.loggedShare, New: s.spill.Share(), HomeLoad: s.home.Load,
			InputAge: s.oldest + now.Sub(s.updatedAt),
		}
		capacity := 0.0
		for _, d := range s.away {
			change.AwayLoad += d.Load * d.Capacity
			capacity += d.Capacity
		}
		if capacity > 0 {
			change.AwayLoad /= capacity
		}
		s.loggedShare, s.loggedAt = change.New, now
		changes = append(changes, change)
	}
	slices.SortFunc(changes, func(a, o SpillChange) int { return strings.Compare(string(a.Service), string(o.Service)) })
	return changes
}
