package main

import (
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// A router forwards a consumer's packets to the edges of its zone that are in rotation, by
// a hash of the addresses that moves only the flows of an edge that joins or leaves.
type router struct {
	mu    sync.Mutex
	zones map[string][]*machine
	out   map[*machine]int
}

// missesOut is the number of readiness probes that an edge misses before it is out of
// rotation.
const missesOut = 2

func (s *system) startRouter() *router {
	r := &router{zones: map[string][]*machine{}, out: map[*machine]int{}}
	for _, m := range s.edges {
		r.add(m)
	}
	return r
}

func (r *router) add(m *machine) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.zones[m.zone] = append(r.zones[m.zone], m)
	r.out[m] = missesOut
	go r.probe(m)
}

func (r *router) probe(m *machine) {
	client := &http.Client{Timeout: 450 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for range time.Tick(500 * time.Millisecond) {
		ok := false
		if a, err := client.Get("http://" + m.at(readyPort).String() + "/pollenstep/ready"); err == nil {
			_ = a.Body.Close()
			ok = a.StatusCode == http.StatusOK
		}
		r.mu.Lock()
		if ok {
			r.out[m] = 0
		} else {
			r.out[m]++
		}
		r.mu.Unlock()
	}
}

func score(m *machine, src netip.AddrPort) uint64 {
	h := uint64(14695981039346656037)
	for _, b := range append(append(m.ip.AsSlice(), src.Addr().AsSlice()...), byte(src.Port()>>8), byte(src.Port())) {
		h = (h ^ uint64(b)) * 1099511628211
	}
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	return h ^ h>>32
}

// pick returns the edge for a flow: one in rotation, or any of the zone if fewer than half
// of them are.
func (r *router) pick(zone string, src netip.AddrPort) *machine {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.zones[zone]
	var in []*machine
	for _, m := range all {
		if r.out[m] < missesOut {
			in = append(in, m)
		}
	}
	if 2*len(in) < len(all) {
		in = all
	}
	var best *machine
	for _, m := range in {
		if best == nil || score(m, src) > score(best, src) {
			best = m
		}
	}
	return best
}

// A consumer has one address, at which it receives the packets of all its flows.
type consumer struct {
	system *system
	router *router
	zone   string
	ip     netip.Addr
	conn   *net.UDPConn
	mu     sync.Mutex
	flows  map[uint16]chan packet
	port   uint16
}

func (s *system) startConsumer(r *router, zone, number int) (*consumer, error) {
	c := &consumer{system: s, router: r, zone: s.zones[zone], ip: s.address(100+zone, number), flows: map[uint16]chan packet{}, port: 20000}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(c.ip, callerPort)))
	if err != nil {
		return nil, err
	}
	c.conn = conn
	go func() {
		buffer := make([]byte, 2048)
		for {
			n, err := conn.Read(buffer)
			if err != nil {
				continue
			}
			if p, ok := decode(append([]byte(nil), buffer[:n]...)); ok {
				c.mu.Lock()
				flow := c.flows[p.dst.Port()]
				c.mu.Unlock()
				if flow != nil {
					select {
					case flow <- p:
					default:
					}
				}
			}
		}
	}()
	return c, nil
}

// A flow is a consumer's end of one flow.
type flow struct {
	consumer     *consumer
	src, service netip.AddrPort
	in           chan packet
	next, ack    uint32
	openedAt     time.Time
	sentAt       time.Time
	via          *machine
}

// An outcome is the end of an attempt.
type outcome string

const (
	outcomeAnswered outcome = "answered"
	outcomeReset    outcome = "reset"
	outcomeSilent   outcome = "no answer"
)

func (c *consumer) newFlow(service netip.AddrPort) *flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.port++
	f := &flow{consumer: c, src: netip.AddrPortFrom(c.ip, c.port), service: service, in: make(chan packet, 64), next: uint32(c.port) * 1000}
	c.flows[c.port] = f.in
	return f
}

func (f *flow) close() {
	f.consumer.mu.Lock()
	defer f.consumer.mu.Unlock()
	delete(f.consumer.flows, f.src.Port())
}

func (f *flow) send(flags byte, seq, ack uint32, data []byte) {
	f.via = f.consumer.router.pick(f.consumer.zone, f.src)
	p := &packet{flags: flags, seq: seq, ack: ack, src: f.src, dst: f.service, data: data}
	_, _ = f.consumer.conn.WriteToUDPAddrPort(p.encode(), f.via.at(callerPort))
}

// open sends the SYN and its copies after 200 and 600 ms, and gives up after 1.4 s.
func (f *flow) open() outcome {
	start := time.Now()
	f.sentAt = start
	for copies, until := range []time.Duration{200, 600, 1400} {
		f.send(flagSYN, f.next, uint32(copies), nil)
		timer := time.After(time.Until(start.Add(until * time.Millisecond)))
	wait:
		for {
			select {
			case p := <-f.in:
				if p.flags&flagRST != 0 {
					return outcomeReset
				}
				if p.flags&(flagSYN|flagACK) == flagSYN|flagACK {
					f.next++
					f.ack = p.seq + 1
					f.openedAt = time.Now()
					f.send(flagACK, f.next, f.ack, nil)
					return outcomeAnswered
				}
			case <-timer:
				break wait
			}
		}
	}
	return outcomeSilent
}

// request sends one request on the flow, again after 200 ms and then after twice the time
// before, up to 1.6 s, and waits for the answer until the limit.
func (f *flow) request(data []byte, limit time.Duration) outcome {
	end := time.Now().Add(limit)
	wait := 200 * time.Millisecond
	for time.Now().Before(end) {
		f.send(flagACK, f.next, f.ack, data)
		timer := time.After(min(wait, time.Until(end)))
		wait = min(2*wait, 1600*time.Millisecond)
	receive:
		for {
			select {
			case p := <-f.in:
				switch {
				case p.flags&flagRST != 0:
					return outcomeReset
				case len(p.data) > 0 && p.seq == f.ack:
					f.next += uint32(len(data))
					f.ack += uint32(len(p.data))
					f.send(flagACK, f.next, f.ack, nil)
					return outcomeAnswered
				}
			case <-timer:
				break receive
			}
		}
	}
	return outcomeSilent
}

// finish closes the flow with a FIN.
func (f *flow) finish() { f.send(flagFIN|flagACK, f.next, f.ack, nil) }
