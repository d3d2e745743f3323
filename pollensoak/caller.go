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

// Manners of the stand-in callers.
const (
	requestTimeout = 2 * time.Second
	pauseMost      = 400 * time.Millisecond
	resendFirst    = 200 * time.Millisecond
	// failurePause is the time after a request that was not answered, since a
	// refusal comes at once.
	failurePause = 100 * time.Millisecond
	// flowsPerCaller is the number of requests that a caller has in progress.
	flowsPerCaller = 8
	// keepFor is the number of requests on one flow to a service that may be
	// repeated.
	keepFor = 25
	probe   = 500 * time.Millisecond
)

// copyDelays are the times at which an opening packet is sent.
var copyDelays = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

// A caller holds one address, at which all its flows take packets.
type caller struct {
	run  *run
	ip   netip.Addr
	conn *net.UDPConn
	mu   sync.Mutex
	// flows is keyed by the caller's port of each flow.
	flows map[uint16]chan pollenpacket.Packet
	port  uint16
}

func startCaller(r *run, ip netip.Addr) (*caller, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, platform.StandInCallerPort)))
	if err != nil {
		return nil, err
	}
	c := &caller{run: r, ip: ip, conn: conn, flows: map[uint16]chan pollenpacket.Packet{}}
	go c.serve()
	return c, nil
}

func (c *caller) serve() {
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

// ask sends requests one after the other until the run stops.
func (c *caller) ask(service int, random *rand.Rand) {
	for c.run.asking() {
		c.mu.Lock()
		c.port++
		f := &flow{
			c: c, service: service, packets: make(chan pollenpacket.Packet, 16), sequence: 1,
			ends: pollenpacket.Flow{Caller: netip.AddrPortFrom(c.ip, c.port), Service: c.run.addresses[service]},
		}
		c.flows[c.port] = f.packets
		c.mu.Unlock()
		if !f.live(random) {
			time.Sleep(failurePause)
		}
		c.mu.Lock()
		delete(c.flows, f.ends.Caller.Port())
		c.mu.Unlock()
	}
}

// A flow is one flow of a caller.
type flow struct {
	c                      *caller
	service                int
	ends                   pollenpacket.Flow
	packets                chan pollenpacket.Packet
	sequence, acknowledged uint32
}

// live opens the flow, sends requests on it and closes it. It returns false after
// a request that was not answered.
func (f *flow) live(random *rand.Rand) bool {
	answered := true
	requests := 1
	if services[f.service].kind != "unsafe" {
		requests = keepFor
	}
	for i := range requests {
		if i > 0 {
			time.Sleep(time.Duration(random.Int64N(int64(pauseMost))))
		}
		if !f.c.run.asking() {
			break
		}
		calm := f.c.run.calmEnd()
		began := time.Now()
		answered = (i > 0 || f.open()) && f.request(f.c.run.requests.Add(1), requestTimeout-time.Since(began))
		f.c.run.check.request(calm, answered)
		if !answered {
			break
		}
	}
	f.c.send(&pollenpacket.Packet{Flow: f.ends, ACK: true, FIN: true, Sequence: f.sequence, Acknowledged: f.acknowledged}, nil)
	return answered
}

func (f *flow) open() bool {
	for i, at := range copyDelays {
		f.c.send(&pollenpacket.Packet{Flow: f.ends, SYN: true, Acknowledged: uint32(i)}, nil)
		wait := 800 * time.Millisecond
		if i+1 < len(copyDelays) {
			wait = copyDelays[i+1] - at
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

func (f *flow) request(id uint64, limit time.Duration) bool {
	stream := binary.BigEndian.AppendUint64(nil, id)
	over := time.After(limit)
	wait := resendFirst
	for {
		f.c.send(&pollenpacket.Packet{Flow: f.ends, ACK: true, Sequence: f.sequence, Acknowledged: f.acknowledged, Size: idSize}, stream)
		resend := time.After(wait)
		wait *= 2
	waiting:
		for {
			select {
			case p := <-f.packets:
				switch {
				case p.RST:
					f.c.run.sawReset(f.ends)
					return false
				case p.Size == idSize && p.Acknowledged == f.sequence+idSize:
					f.sequence += idSize
					f.acknowledged = p.Sequence + idSize
					return true
				}
			case <-resend:
				break waiting
			case <-over:
				return false
			}
		}
	}
}

// send passes a packet to the balancer that the router selects, by a hash over
// those in rotation.
func (c *caller) send(p *pollenpacket.Packet, stream []byte) {
	b := c.run.router.balancer(p.Flow)
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
	misses    map[*host]int
	// delay and lost hold until when packets to a host are delayed or lost.
	delayed, lost map[*host]time.Time
}

const routerDelay = 80 * time.Millisecond

func (r *router) balancer(f pollenpacket.Flow) *host {
	r.mu.Lock()
	defer r.mu.Unlock()
	var best *host
	var most uint64
	for _, h := range r.balancers {
		if r.misses[h] >= 2 {
			continue
		}
		if n := xxhash.Sum64String(fmt.Sprint(h.Name, f)); best == nil || n > most {
			best, most = h, n
		}
	}
	return best
}

func (r *router) fault(h *host) (delay time.Duration, lost bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Before(r.delayed[h]) {
		delay = routerDelay
	}
	return delay, now.Before(r.lost[h])
}

// probe asks a balancer twice a second whether it is ready.
func (r *router) probe(run *run, h *host) {
	client := &http.Client{Timeout: probe, Transport: &http.Transport{DisableKeepAlives: true}}
	url := fmt.Sprintf("http://%s/pollenstep/ready", netip.AddrPortFrom(h.IP, platform.StandInReadyPort))
	for run.running() {
		began := time.Now()
		ready := call(client, http.MethodGet, url, nil) == http.StatusOK
		r.mu.Lock()
		if ready {
			r.misses[h] = 0
		} else {
			r.misses[h]++
		}
		r.mu.Unlock()
		time.Sleep(probe - time.Since(began))
	}
}
