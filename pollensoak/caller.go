package pollensoak

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"pollenstep.example/pollenstep/platform"
	"pollenstep.example/pollenstep/pollenpacket"
)

// Timing and load of the stand-in callers.
const (
	// requestTimeout is the time in which a request must be answered, including the
	// opening of its flow.
	requestTimeout = 2 * time.Second
	// maxRequestGap is the maximum time between two requests on one flow.
	maxRequestGap = 400 * time.Millisecond
	// initialResendInterval is the time before the first retransmission of a
	// request; it doubles with each one.
	initialResendInterval = 200 * time.Millisecond
	// failureDelay is the time that a caller waits after an unanswered request. A
	// refusal arrives at once, so without it the caller would loop on refusals.
	failureDelay = 100 * time.Millisecond
	// uploadSize is the size of an upload in bytes, maxPayload that of one packet of it,
	// and windowSize that of the data which a caller sends without an acknowledgement.
	uploadSize = 40_000
	maxPayload = 1200
	windowSize = 16 * maxPayload
	// uploadAttempts is the number of flows on which a caller tries to send an upload
	// while its opening packets are reset.
	uploadAttempts = 3
	// requestsPerFlow is the number of requests on one flow to a service whose
	// requests may be repeated. Other flows carry one request.
	requestsPerFlow = 25
	// probeInterval is also the timeout of a readiness probe.
	probeInterval = 500 * time.Millisecond
)

// openingSendTimes holds the times at which the opening packet of a flow is sent,
// from its first transmission on, while no answer has arrived.
var openingSendTimes = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// A caller is a stand-in caller with one address, at which it receives the packets of
// all its flows.
type caller struct {
	run  *run
	ip   netip.Addr
	conn *net.UDPConn
	mu   sync.Mutex
	// flows holds the packet channel of each open flow, by the flow's caller port.
	flows    map[uint16]chan pollenpacket.Packet
	lastPort uint16
}

// startCaller opens the caller's socket and receives packets until it is closed.
func startCaller(r *run, ip netip.Addr) (*caller, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, platform.StandInCallerPort)))
	if err != nil {
		return nil, err
	}
	c := &caller{run: r, ip: ip, conn: conn, flows: map[uint16]chan pollenpacket.Packet{}}
	go c.receive()
	return c, nil
}

// receive passes received packets to their flows until the socket is closed. It drops
// packets of unknown flows, and those that a flow is too slow to take.
func (c *caller) receive() {
	buffer := make([]byte, 2048)
	for {
		n, err := c.conn.Read(buffer)
		if err != nil {
			return
		}
		p, ok := (platform.Datagram{}).ParseFromServer(buffer[:n])
		if !ok {
			continue
		}
		c.mu.Lock()
		flow := c.flows[p.Flow.Caller.Port()]
		c.mu.Unlock()
		select {
		case flow <- p:
		default:
		}
	}
}

// runFlows runs one flow after the other to the route of that index, until requests end.
// If end is not zero, it runs them until then and does not pause between uploads.
func (c *caller) runFlows(route int, random *rand.Rand, end time.Time) {
	attempt := 1
	id := c.run.lastRequestID.Add(1)
	for c.run.sendsRequests() && (end.IsZero() || time.Now().Before(end)) {
		c.mu.Lock()
		c.lastPort++
		f := &flow{
			c: c, route: route, packets: make(chan pollenpacket.Packet, 64), sequence: 1, firstID: id,
			last:      route != uploadRoute || attempt == uploadAttempts,
			endpoints: pollenpacket.Flow{Caller: netip.AddrPortFrom(c.ip, c.lastPort), Service: c.run.addresses[route]},
		}
		c.flows[c.lastPort] = f.packets
		c.mu.Unlock()
		answered := f.run(random)
		c.mu.Lock()
		delete(c.flows, f.endpoints.Caller.Port())
		c.mu.Unlock()
		if f.refused && !f.last {
			attempt++
			continue
		}
		attempt, id = 1, c.run.lastRequestID.Add(1)
		switch {
		case !answered:
			time.Sleep(failureDelay)
		case route == uploadRoute && end.IsZero():
			time.Sleep(time.Duration(random.Int64N(int64(maxRequestGap))))
		}
	}
}

// A flow is the state of a flow at its caller.
type flow struct {
	c *caller
	// route is the index of the flow's route in routes.
	route int
	// firstID is the ID of the first request. It is the same for all attempts to send an
	// upload; last is set for the last of them.
	firstID uint64
	last    bool
	// refused is set once the opening packet was reset.
	refused   bool
	endpoints pollenpacket.Flow
	packets   chan pollenpacket.Packet
	// sequence is the position of the next request in the caller's stream, and
	// acknowledged the end of what the backend server has sent.
	sequence, acknowledged uint32
}

// run opens the flow, sends requests on it and closes it. It returns false if a
// request was not answered.
func (f *flow) run(random *rand.Rand) bool {
	answered := true
	requests := 1
	if routes[f.route].kind == "safe" {
		requests = requestsPerFlow
	}
	for i := range requests {
		if i > 0 {
			time.Sleep(time.Duration(random.Int64N(int64(maxRequestGap))))
		}
		if !f.c.run.sendsRequests() {
			break
		}
		finalPhase := f.c.run.inFinalPhase()
		startTime := time.Now()
		id := f.firstID
		if i > 0 {
			id = f.c.run.lastRequestID.Add(1)
		}
		answered = (i > 0 || f.open()) && f.request(id, routes[f.route].timeout-time.Since(startTime))
		if f.refused && !f.last {
			return false
		}
		f.c.run.check.countRequest(finalPhase, answered)
		if !answered {
			break
		}
	}
	f.c.send(&pollenpacket.Packet{Flow: f.endpoints, ACK: true, FIN: true, Sequence: f.sequence, Acknowledged: f.acknowledged}, nil)
	return answered
}

// open opens the flow, and returns false if it was reset or not answered in time.
func (f *flow) open() bool {
	for i, at := range openingSendTimes {
		f.c.send(&pollenpacket.Packet{Flow: f.endpoints, SYN: true, Acknowledged: uint32(i)}, nil)
		wait := 800 * time.Millisecond
		if i+1 < len(openingSendTimes) {
			wait = openingSendTimes[i+1] - at
		}
		deadline := time.After(wait)
	waiting:
		for {
			select {
			case p := <-f.packets:
				if p.RST {
					f.refused = true
					f.c.run.checkReset(f.endpoints, f.route, true)
					return false
				}
				if p.SYN {
					f.acknowledged = p.Sequence + 1
					return true
				}
			case <-deadline:
				break waiting
			}
		}
	}
	return false
}

// request sends a request and retransmits what is not acknowledged until it is answered.
// It returns false after a reset or the time limit.
func (f *flow) request(id uint64, limit time.Duration) bool {
	data := make([]byte, routes[f.route].size)
	binary.BigEndian.PutUint64(data, id)
	start, end := f.sequence, f.sequence+uint32(len(data))
	timeout := time.After(limit)
	wait := initialResendInterval
	// The data before received is acknowledged, and that before next was sent.
	received, next := start, start
	for {
		for ; next < end && next < received+windowSize; next = min(end, next+maxPayload) {
			payload := data[next-start : min(end, next+maxPayload)-start]
			f.c.send(&pollenpacket.Packet{Flow: f.endpoints, ACK: true, Sequence: next, Acknowledged: f.acknowledged, Size: len(payload)}, payload)
		}
		resend := time.After(wait)
	waiting:
		for {
			select {
			case p := <-f.packets:
				switch {
				case p.RST:
					f.c.run.checkReset(f.endpoints, f.route, false)
					return false
				case p.Size == idSize && p.Acknowledged == end:
					f.sequence = end
					f.acknowledged = p.Sequence + idSize
					return true
				case !p.SYN && p.Acknowledged > received && p.Acknowledged <= end:
					received = p.Acknowledged
					next = max(next, received)
					wait = initialResendInterval
					break waiting
				}
			case <-resend:
				next = received
				if received == end {
					// The answer was lost: the last packet requests it again.
					next = start + (uint32(len(data))-1)/maxPayload*maxPayload
				}
				wait *= 2
				break waiting
			case <-timeout:
				return false
			}
		}
	}
}

// send sends a packet to the balancer that the router selects for its flow, with the
// router's current faults.
func (c *caller) send(p *pollenpacket.Packet, stream []byte) {
	b := c.run.router.selectBalancer(p.Flow)
	if b == nil {
		return
	}
	packet := platform.AppendPacket(nil, p, false, stream)
	to := net.UDPAddrFromAddrPort(netip.AddrPortFrom(b.IP, platform.StandInCallerPort))
	delay, lost := c.run.router.fault(b)
	if lost {
		return
	}
	send := func() { _, _ = c.conn.WriteToUDP(packet, to) }
	if delay > 0 {
		time.AfterFunc(delay, send)
		return
	}
	send()
}

// A router selects the balancer of each packet, and delays or loses packets.
type router struct {
	mu        sync.Mutex
	balancers []*host
	// missedProbes holds the number of consecutive failed probes of each balancer.
	missedProbes map[*host]int
	// delayedUntil and lostUntil hold the times until which packets to a host are
	// delayed by routerDelay, or lost.
	delayedUntil, lostUntil map[*host]time.Time
}

const routerDelay = 80 * time.Millisecond

// selectBalancer selects a balancer by rendezvous hashing of the flow. A balancer is
// out of rotation after two consecutive failed probes. It returns nil if all are.
func (r *router) selectBalancer(f pollenpacket.Flow) *host {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best *host
	var highest uint64
	for _, h := range r.balancers {
		if r.missedProbes[h] >= 2 {
			continue
		}
		if n := xxhash.Sum64String(fmt.Sprint(h.Name, f)); best == nil || n > highest {
			best, highest = h, n
		}
	}
	return best
}

// fault returns the current delay of packets to the host, and whether they are lost.
func (r *router) fault(h *host) (delay time.Duration, lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Before(r.delayedUntil[h]) {
		delay = routerDelay
	}
	return delay, now.Before(r.lostUntil[h])
}

// probe queries the readiness of a balancer every probeInterval while the run lasts.
func (r *router) probe(run *run, h *host) {
	client := &http.Client{Timeout: probeInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	url := fmt.Sprintf("http://%s/pollenstep/ready", netip.AddrPortFrom(h.IP, platform.StandInReadyPort))
	for run.running() {
		startTime := time.Now()
		ready := requestStatus(client, http.MethodGet, url, nil) == http.StatusOK
		r.mu.Lock()
		if ready {
			r.missedProbes[h] = 0
		} else {
			r.missedProbes[h]++
		}
		r.mu.Unlock()
		time.Sleep(probeInterval - time.Since(startTime))
	}
}
