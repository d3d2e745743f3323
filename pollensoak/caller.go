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
	// flowsPerCaller is the number of flows that a caller uses at a time, with one
	// request each.
	flowsPerCaller = 8
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

// runFlows runs one flow after the other to the service of that index, until requests
// end.
func (c *caller) runFlows(service int, random *rand.Rand) {
	for c.run.sendsRequests() {
		c.mu.Lock()
		c.lastPort++
		f := &flow{
			c: c, service: service, packets: make(chan pollenpacket.Packet, 16), sequence: 1,
			endpoints: pollenpacket.Flow{Caller: netip.AddrPortFrom(c.ip, c.lastPort), Service: c.run.addresses[service]},
		}
		c.flows[c.lastPort] = f.packets
		c.mu.Unlock()
		if !f.run(random) {
			time.Sleep(failureDelay)
		}
		c.mu.Lock()
		delete(c.flows, f.endpoints.Caller.Port())
		c.mu.Unlock()
	}
}

// A flow is the state of a flow at its caller.
type flow struct {
	c *caller
	// service is the index of the flow's service in services.
	service   int
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
	if services[f.service].kind != "unsafe" {
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
		answered = (i > 0 || f.open()) && f.request(f.c.run.lastRequestID.Add(1), requestTimeout-time.Since(startTime))
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

// request sends a request and retransmits it until it is answered. It returns false
// after a reset or the time limit.
func (f *flow) request(id uint64, limit time.Duration) bool {
	stream := binary.BigEndian.AppendUint64(nil, id)
	timeout := time.After(limit)
	wait := initialResendInterval
	for {
		f.c.send(&pollenpacket.Packet{Flow: f.endpoints, ACK: true, Sequence: f.sequence, Acknowledged: f.acknowledged, Size: idSize}, stream)
		resend := time.After(wait)
		wait *= 2
	waiting:
		for {
			select {
			case p := <-f.packets:
				switch {
				case p.RST:
					f.c.run.checkReset(f.endpoints)
					return false
				case p.Size == idSize && p.Acknowledged == f.sequence+idSize:
					f.sequence += idSize
					f.acknowledged = p.Sequence + idSize
					return true
				}
			case <-resend:
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
