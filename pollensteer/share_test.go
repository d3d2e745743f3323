package pollensteer_test

import (
	"encoding/binary"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollensteer"
)

// from returns the packet as one of the caller with the number.
func from(caller int, p *pollenpacket.Packet) *pollenpacket.Packet {
	a := binary.BigEndian.AppendUint32(nil, 100<<24|64<<16|uint32(caller))
	address, _ := netip.AddrFromSlice(a)
	p.Flow.Caller = netip.AddrPortFrom(address, p.Flow.Caller.Port())
	return p
}

// An uploadReplay plays uploads of 32 kB over a link of thinRate.
type uploadReplay struct {
	steer *pollensteer.Balancer
	now   time.Time
	ports map[int]uint16
	// open holds the next packet of each admitted flow, and left the bytes of it.
	open []*pollenpacket.Packet
	left []int
	// refused counts by reason.
	refused map[pollenkernel.Refusal]int
}

// ask opens a flow of the caller and reports whether it was admitted.
func (u *uploadReplay) ask(caller int) bool {
	u.ports[caller]++
	port := u.ports[caller]
	d := u.steer.Steer(u.now, from(caller, opening(port, 0)))
	if d.Verdict != pollensteer.VerdictPass {
		u.refused[d.Reason]++
		return false
	}
	u.open, u.left = append(u.open, from(caller, packet(port))), append(u.left, 32_000)
	return true
}

// send advances the time by 10 ms and sends what the link carries within it, one packet
// of each flow in turn.
func (u *uploadReplay) send() {
	u.now = u.now.Add(10 * time.Millisecond)
	u.steer.SetGateKnowledge(u.now, time.Hour, true)
	stateLevels(u.steer, u.now, 0, 0)
	for range 5 {
		if len(u.open) == 0 {
			return
		}
		p, left := u.open[0], u.left[0]-1200
		u.open, u.left = u.open[1:], u.left[1:]
		p.Size = 1200
		u.steer.Steer(u.now, p)
		if left <= 0 {
			p.Size, p.FIN = 0, true
			u.steer.Steer(u.now, p)
			continue
		}
		u.open, u.left = append(u.open, p), append(u.left, left)
	}
}

// Load pattern: one caller keeps 100 flows and retries at once, while 30 others ask for 0.3
// uploads a second each, together half of what the link carries. Guards against light callers
// that are refused while the heavy one is admitted, and against a link that is left unused.
func TestHeavyCallerOfAFullLink(t *testing.T) {
	const light, seconds = 30, 60
	u := uploadReplay{steer: shapedBalancer(thinRate, false), now: afterGrace, refused: map[pollenkernel.Refusal]int{}, ports: map[int]uint16{}}
	random := rand.New(rand.NewPCG(1, 2))
	asked, admitted, heavy := 0, 0, 0
	for range seconds * 100 {
		for caller := 1; caller <= light; caller++ {
			if random.Float64() < 0.003 {
				asked++
				if u.ask(caller) {
					admitted++
				}
			}
		}
		// Ports are not used twice within the replay.
		for range 10 {
			if len(u.open) < 100 && u.ask(0) {
				heavy++
			}
		}
		u.send()
	}
	t.Logf("light callers: %d of %d; heavy: %d; refused %v", admitted, asked, heavy, u.refused)
	if admitted*10 < asked*9 {
		t.Errorf("light callers got %d of %d uploads; want nine tenths", admitted, asked)
	}
	// 500 packets of 1,200 B a second carry 18.5 uploads of 27 packets.
	if total, carried := heavy+admitted, 18.5*seconds; float64(total) < 0.9*carried {
		t.Errorf("%d uploads admitted; want nine tenths of the %.0f that the link carries", total, carried)
	}
}

// Load pattern: 31 callers ask for less than the link carries, one of them for most of it.
// Guards against refusals without contention.
func TestUnequalCallersWithoutContention(t *testing.T) {
	u := uploadReplay{steer: shapedBalancer(thinRate, false), now: afterGrace, refused: map[pollenkernel.Refusal]int{}, ports: map[int]uint16{}}
	for i := range 6000 {
		if i%10 == 0 {
			u.ask(max(0, i/10%60-29))
		}
		u.send()
	}
	if len(u.refused) != 0 {
		t.Errorf("refused %v; want none", u.refused)
	}
}

// Load pattern: no gate admits the priority, a caller opens 1,000 flows a second, and 20 others
// one each. Guards against a caller with many flows that takes the whole minimum share of the
// priority, and against a minimum share that nobody gets.
func TestMinimumOfPriorityIsShared(t *testing.T) {
	b := closableBalancer(afterGrace, feedPriority, feedPriority)
	now, port, taken, asked := afterGrace, uint16(0), [2]int{}, [2]int{}
	reasons := map[pollenkernel.Refusal]int{}
	ask := func(caller int) {
		port++
		kind := min(caller, 1)
		asked[kind]++
		if d := b.Steer(now, from(caller, opening(port, 0))); d.Verdict == pollensteer.VerdictPass {
			taken[kind]++
		} else {
			reasons[d.Reason]++
		}
	}
	for i := range 10_000 {
		now = now.Add(time.Millisecond)
		if i%50 == 0 {
			b.SetGateKnowledge(now, time.Hour, true)
			stateLevels(b, now, feedPriority, feedPriority)
			ask(1 + i/50%20)
		}
		ask(0)
	}
	t.Logf("light: %d of %d; heavy: %d of %d; refused %v", taken[1], asked[1], taken[0], asked[0], reasons)
	if taken[1]*10 < asked[1]*9 {
		t.Errorf("light callers got %d of %d flows; want nine tenths", taken[1], asked[1])
	}
	if total := taken[0] + taken[1]; total*10 < asked[0]+asked[1]-50 || total*10 > asked[0]+asked[1]+10 {
		t.Errorf("%d of %d flows passed; want one in ten", total, asked[0]+asked[1])
	}
}
