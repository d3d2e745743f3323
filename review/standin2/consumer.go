package main

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// openingTimes are those at which a consumer sends a SYN and its copies.
var openingTimes = [...]time.Duration{0, 200 * time.Millisecond, 600 * time.Millisecond}

const openingLimit = 1400 * time.Millisecond

// A router forwards the packets of consumers to the edge nodes in rotation.
type router struct {
	c      *scenario
	mu     sync.Mutex
	misses map[*machine]int
}

func (r *router) probe(m *machine) {
	client := &http.Client{Timeout: 500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	for !r.c.ended() {
		begin := time.Now()
		response, err := client.Get(fmt.Sprintf("http://%s/pollenstep/ready", m.at(readyPort)))
		ok := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		r.mu.Lock()
		if ok {
			r.misses[m] = 0
		} else {
			r.misses[m]++
		}
		r.mu.Unlock()
		time.Sleep(500*time.Millisecond - time.Since(begin))
	}
}

// choose returns the node for a flow of a consumer in the zone, or nil.
func (r *router) choose(zone string, k flowKey) *machine {
	r.mu.Lock()
	defer r.mu.Unlock()
	var own, ownAll, others []*machine
	for _, m := range r.c.edges() {
		in := r.misses[m] < 2
		switch {
		case m.zone == zone && in:
			own = append(own, m)
			ownAll = append(ownAll, m)
		case m.zone == zone:
			ownAll = append(ownAll, m)
		case in:
			others = append(others, m)
		}
	}
	list := own
	switch {
	case len(own) == 0:
		list = others
	case 2*len(own) < len(ownAll):
		list = ownAll
	}
	var best *machine
	var highest uint32
	for _, m := range list {
		h := fnv.New32a()
		fmt.Fprint(h, m.name, k.consumer, k.route)
		if s := h.Sum32(); best == nil || s > highest {
			best, highest = m, s
		}
	}
	return best
}

// A consumer has one address and opens flows from new ports.
type consumer struct {
	c     *scenario
	zone  string
	ip    netip.Addr
	conn  *net.UDPConn
	mu    sync.Mutex
	port  uint16
	flows map[uint16]chan packet
}

func startConsumer(c *scenario, zone string, ip netip.Addr) (*consumer, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, datagramPort)))
	if err != nil {
		return nil, err
	}
	u := &consumer{c: c, zone: zone, ip: ip, conn: conn, port: 40000, flows: map[uint16]chan packet{}}
	go u.receive()
	return u, nil
}

func (u *consumer) receive() {
	buffer := make([]byte, 2048)
	for {
		n, err := u.conn.Read(buffer)
		if err != nil {
			return
		}
		p, ok := decodePacket(buffer[:n])
		if !ok {
			continue
		}
		if !p.checksumMatching && !(p.rst && p.sum == 0) {
			u.c.violation("MIXED", "consumer %s got a packet that its sender did not write so", u.ip)
		}
		u.mu.Lock()
		f := u.flows[p.dst.Port()]
		u.mu.Unlock()
		select {
		case f <- p:
		default:
		}
	}
}

func (u *consumer) send(k flowKey, raw []byte) {
	if m := u.c.router.choose(u.zone, k); m != nil {
		_, _ = u.conn.WriteToUDPAddrPort(raw, m.at(datagramPort))
	}
}

// An outcome is how a request of a consumer ended.
type outcome string

const (
	answered  outcome = "answered"
	notOpened outcome = "the flow did not open"
	refused   outcome = "reset before the flow was open"
	broken    outcome = "reset on the open flow"
	late      outcome = "no answer within the time limit"
	foreign   outcome = "an answer to another request"
)

// A conversation is one flow at its consumer.
type conversation struct {
	u        *consumer
	k        flowKey
	packets  chan packet
	seq, ack uint32
}

// open opens a flow to the route; the outcome is answered if it is open.
func (u *consumer) open(route netip.AddrPort) (*conversation, outcome) {
	u.mu.Lock()
	u.port++
	v := &conversation{u: u, k: flowKey{netip.AddrPortFrom(u.ip, u.port), route}, packets: make(chan packet, 64), seq: uint32(u.port) << 12}
	u.flows[u.port] = v.packets
	u.mu.Unlock()
	begin := time.Now()
	for i := range openingTimes {
		u.send(v.k, encodePacket(flagSyn, v.seq, uint32(i), v.k.consumer, v.k.route, nil))
		until := openingLimit
		if i+1 < len(openingTimes) {
			until = openingTimes[i+1]
		}
		deadline := time.After(until - time.Since(begin))
		for waiting := true; waiting; {
			select {
			case p := <-v.packets:
				switch {
				case p.rst:
					v.forget()
					return nil, refused
				case p.syn && p.isAck:
					v.seq++
					v.ack = p.seq + 1
					u.send(v.k, encodePacket(flagAck, v.seq, v.ack, v.k.consumer, v.k.route, nil))
					return v, answered
				}
			case <-deadline:
				waiting = false
			}
		}
	}
	v.forget()
	return nil, notOpened
}

func (v *conversation) forget() {
	v.u.mu.Lock()
	delete(v.u.flows, v.k.consumer.Port())
	v.u.mu.Unlock()
}

// request sends a request on the flow and waits for the answer.
func (v *conversation) request(id, method string, limit time.Duration) outcome {
	data := fmt.Appendf(nil, "%s /item HTTP/1.1\r\nHost: pollen\r\nAttempt-Id: %s\r\nContent-Length: 0\r\n\r\n", method, id)
	raw := encodePacket(flagAck, v.seq, v.ack, v.k.consumer, v.k.route, data)
	end := v.seq + uint32(len(data))
	limitReached := time.After(limit)
	for wait := 200 * time.Millisecond; ; wait = min(2*wait, 1600*time.Millisecond) {
		v.u.send(v.k, raw)
		resend := time.After(wait)
		for waiting := true; waiting; {
			select {
			case p := <-v.packets:
				switch {
				case p.rst:
					return broken
				case len(p.data) > 0 && p.seq == v.ack:
					v.seq, v.ack = end, v.ack+uint32(len(p.data))
					v.u.send(v.k, encodePacket(flagAck, v.seq, v.ack, v.k.consumer, v.k.route, nil))
					if !strings.HasSuffix(string(p.data), "answer to "+id) {
						return foreign
					}
					return answered
				}
			case <-resend:
				waiting = false
			case <-limitReached:
				return late
			}
		}
	}
}

// wait reports a reset on an idle flow within the duration.
func (v *conversation) wait(d time.Duration) (reset bool) {
	deadline := time.After(d)
	for {
		select {
		case p := <-v.packets:
			if p.rst {
				return true
			}
		case <-deadline:
			return false
		}
	}
}

func (v *conversation) close() {
	v.u.send(v.k, encodePacket(flagAck|flagFin, v.seq, v.ack, v.k.consumer, v.k.route, nil))
	v.forget()
}

// attemptID returns the value of Attempt-Id in a request.
func attemptID(data []byte) string {
	_, rest, _ := bytes.Cut(data, []byte("Attempt-Id: "))
	id, _, _ := bytes.Cut(rest, []byte("\r\n"))
	return string(id)
}
