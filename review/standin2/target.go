package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"
)

// A flowKey names a flow by the consumer's end and the route's address.
type flowKey struct{ consumer, route netip.AddrPort }

// A targetFlow is a flow at its target.
type targetFlow struct {
	first   uint32 // the sequence number of the SYN+ACK
	opened  bool
	next    uint32            // the end of what the target has sent
	answers map[uint32][]byte // the packet of the answer, by the position of the request; nil while it runs
}

// A target runs requests of one service beside a gate.
type target struct {
	c        *scenario
	m        *machine
	id       string
	born     int64
	conn     *net.UDPConn
	mu       sync.Mutex
	flows    map[flowKey]*targetFlow
	ended    map[flowKey]bool
	sequence int
	state    string
	stopped  bool
	runs     int
	// drainAcknowledged is when a report that the target leaves was first acknowledged.
	drainAcknowledged time.Time
	// openedLate counts the flows opened later than drainMs after that.
	openedLate int
}

func startTarget(c *scenario, m *machine) (*target, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(m.at(appPort)))
	if err != nil {
		return nil, err
	}
	t := &target{
		c: c, m: m, id: fmt.Sprintf("i-%08x", rand.Uint32()), born: time.Now().UnixMilli(), conn: conn, state: "ready",
		flows: map[flowKey]*targetFlow{}, ended: map[flowKey]bool{},
	}
	c.record.printf("target %s of %s starts beside %s", t.id, m.service, m.name)
	go t.receive()
	go t.reports()
	return t, nil
}

func (t *target) send(raw []byte) { _, _ = t.conn.WriteToUDPAddrPort(raw, t.m.at(outboundPort)) }

func (t *target) receive() {
	buffer := make([]byte, 2048)
	for {
		n, err := t.conn.Read(buffer)
		if err != nil {
			return
		}
		if p, ok := decodePacket(buffer[:n]); ok {
			t.handle(&p, buffer[:n])
		}
	}
}

func (t *target) handle(p *packet, raw []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.stopped {
		return
	}
	k := flowKey{p.src, p.dst}
	f := t.flows[k]
	if !p.checksumMatching {
		t.c.violation("UNASKED", "target %s got a packet that its sender did not write so", t.id)
	}
	switch {
	case p.syn && !p.isAck:
		if f == nil {
			first := rand.Uint32()
			f = &targetFlow{first: first, next: first + 1, answers: map[uint32][]byte{}}
			t.flows[k] = f
			delete(t.ended, k)
			if t.c.routeService(p.dst) != t.m.service {
				t.c.violation("ROUTE", "target %s of %s got a flow to %s", t.id, t.m.service, p.dst)
			}
		}
		t.send(encodePacket(flagSyn|flagAck, f.first, p.seq+1, p.dst, p.src, nil))
	case f == nil || int32(p.ack-f.first) <= 0 || int32(f.next-p.ack) < 0:
		if t.ended[k] {
			flags, seq := byte(flagRst), p.ack
			if p.fin {
				flags = flagAck
			}
			t.send(encodePacket(flags, seq, p.seq+uint32(len(p.data))+1, p.dst, p.src, nil))
			return
		}
		bounced := append([]byte(nil), raw...)
		bounced[0] |= flagBounced
		bounced[1] = 0
		t.send(bounced)
	case p.rst:
		delete(t.flows, k)
		t.ended[k] = true
	default:
		t.handleOpen(k, f, p)
	}
}

// handleOpen handles a packet of a flow that the target holds.
func (t *target) handleOpen(k flowKey, f *targetFlow, p *packet) {
	if !f.opened {
		f.opened = true
		if late := time.Since(t.drainAcknowledged); !t.drainAcknowledged.IsZero() && late > drainTime {
			t.openedLate++
			t.c.record.printf("target %s: flow of %s opens %s after the leave was acknowledged", t.id, k.consumer, late.Round(time.Millisecond))
		}
	}
	switch {
	case p.fin:
		delete(t.flows, k)
		t.ended[k] = true
		t.send(encodePacket(flagAck|flagFin, f.next, p.seq+1, k.route, k.consumer, nil))
	case len(p.data) > 0:
		if answer, known := f.answers[p.seq]; known {
			if answer != nil {
				t.send(answer)
			}
			return
		}
		f.answers[p.seq] = nil
		t.runs++
		id := attemptID(p.data)
		t.c.record.printf("target %s runs request %s of %s", t.id, id, k.consumer)
		t.c.ran(id)
		seq, end := p.seq, p.seq+uint32(len(p.data))
		time.AfterFunc(t.c.work, func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			if t.stopped || t.flows[k] != f {
				return
			}
			body := "answer to " + id
			data := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
			f.answers[seq] = encodePacket(flagAck, f.next, end, k.route, k.consumer, []byte(data))
			f.next += uint32(len(data))
			t.send(f.answers[seq])
		})
	}
}

// holds reports whether the target holds an open flow.
func (t *target) holds(k flowKey) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flows[k]
	return !t.stopped && f != nil && f.opened
}

// reports sends the target's liveness reports to its gate.
func (t *target) reports() {
	for {
		t.mu.Lock()
		if t.stopped {
			t.mu.Unlock()
			return
		}
		t.sequence++
		state, sequence := t.state, t.sequence
		t.mu.Unlock()
		status := t.report(state, sequence)
		if state == "draining" && status == http.StatusOK {
			t.mu.Lock()
			if t.drainAcknowledged.IsZero() {
				t.drainAcknowledged = time.Now()
				t.c.record.printf("target %s: the report that it leaves is acknowledged", t.id)
			}
			t.mu.Unlock()
		}
		time.Sleep(heartbeat)
	}
}

func (t *target) report(state string, sequence int) int {
	return putReport(t.m, t.id, map[string]any{
		"service": t.m.service, "address": t.m.at(appPort), "zone": t.m.zone, "version": "v1", "slots": 5, "state": state,
		"coldRemainingMs": 0, "sequence": sequence, "born": t.born,
	})
}

var reportClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// putReport sends a liveness report and returns the status of the answer, or 0.
func putReport(m *machine, id string, report map[string]any) int {
	body, _ := json.Marshal(report)
	request, err := http.NewRequest(http.MethodPut, fmt.Sprintf("http://%s/pollenstep/instances/%s", m.at(controlPort), id), bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := reportClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (t *target) stop() {
	t.mu.Lock()
	t.stopped = true
	t.mu.Unlock()
	_ = t.conn.Close()
}
