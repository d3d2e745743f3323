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

// workTime is the time that a request takes.
const workTime = 20 * time.Millisecond

// response is the answer to every request. Its head and body fit one packet.
var response = []byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")

// A target is a backend server beside a gate.
type target struct {
	system   *system
	machine  *machine
	conn     *net.UDPConn
	onOpened func(t *target, flow netip.AddrPort, at time.Time)

	// standstill is locked while the target's machine is frozen.
	standstill sync.RWMutex

	mu       sync.Mutex
	id       string
	born     int64
	sequence int
	state    string
	down     bool
	flows    map[[2]netip.AddrPort]*targetFlow
	stopped  chan struct{}
}

// A targetFlow is a flow that the target holds or is opening.
type targetFlow struct {
	first, next uint32
	opened      bool
	received    uint32
	answers     map[uint32][]byte
	finished    bool
}

func (s *system) startTarget(m *machine, onOpened func(t *target, flow netip.AddrPort, at time.Time)) (*target, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(m.at(serverPort)))
	if err != nil {
		return nil, err
	}
	t := &target{
		system: s, machine: m, conn: conn, onOpened: onOpened, id: fmt.Sprintf("i-%s-%08x", m.name, rand.Uint32()), born: time.Now().UnixMilli(),
		state: "ready", flows: map[[2]netip.AddrPort]*targetFlow{}, stopped: make(chan struct{}),
	}
	go t.receive()
	go t.report()
	return t, nil
}

func (t *target) stop() {
	close(t.stopped)
	_ = t.conn.Close()
}

// report sends a liveness report every heartbeatMs. One that fails is sent again after half
// of a second.
func (t *target) report() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		t.standstill.RLock()
		t.standstill.RUnlock()
		t.mu.Lock()
		down := t.down
		if !down {
			t.sequence++
		}
		body, err := json.Marshal(map[string]any{
			"service": t.machine.service, "address": t.machine.at(serverPort), "zone": t.machine.zone, "version": "v1", "slots": 5, "state": t.state,
			"coldRemainingMs": 0, "sequence": t.sequence, "born": t.born,
		})
		id := t.id
		t.mu.Unlock()
		wait := heartbeatMs * time.Millisecond
		if err == nil && !down {
			request, err := http.NewRequest(http.MethodPut, "http://"+t.machine.at(controlPort).String()+"/pollenstep/instances/"+id, bytes.NewReader(body))
			if err == nil {
				if answer, err := client.Do(request); err != nil {
					wait = 500 * time.Millisecond
				} else {
					_ = answer.Body.Close()
				}
			}
		}
		select {
		case <-t.stopped:
			return
		case <-time.After(wait):
		}
	}
}

func (t *target) receive() {
	buffer := make([]byte, 2048)
	for {
		n, err := t.conn.Read(buffer)
		if err != nil {
			select {
			case <-t.stopped:
				return
			default:
				continue
			}
		}
		t.standstill.RLock()
		t.standstill.RUnlock()
		raw := append([]byte(nil), buffer[:n]...)
		if p, ok := decode(raw); ok {
			t.handle(&p, raw)
		}
	}
}

func (t *target) send(p *packet) {
	_, _ = t.conn.WriteToUDPAddrPort(p.encode(), t.machine.at(outboundPort))
}

// bounce returns a packet of a flow that the target does not hold; only BOUNCED and the
// padding change.
func (t *target) bounce(raw []byte) {
	raw[0] |= flagBounced
	raw[1] = 0
	_, _ = t.conn.WriteToUDPAddrPort(raw, t.machine.at(outboundPort))
}

func (t *target) handle(p *packet, raw []byte) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down {
		return
	}
	key := [2]netip.AddrPort{p.src, p.dst}
	f := t.flows[key]
	answer := func(flags byte, seq, ack uint32, data []byte) {
		t.send(&packet{flags: flags, seq: seq, ack: ack, src: p.dst, dst: p.src, data: data})
	}
	switch {
	case p.flags&flagSYN != 0:
		if f == nil {
			first := rand.Uint32()
			f = &targetFlow{first: first, next: first + 1, received: p.seq + 1, answers: map[uint32][]byte{}}
			t.flows[key] = f
		}
		answer(flagSYN|flagACK, f.first, f.received, nil)
	case f == nil || int32(p.ack-f.first) <= 0 || int32(f.next-p.ack) < 0:
		t.bounce(raw)
	case p.flags&flagRST != 0:
		delete(t.flows, key)
	case p.flags&flagFIN != 0:
		f.finished = true
		answer(flagFIN|flagACK, f.next, p.seq+1, nil)
	default:
		if !f.opened {
			f.opened = true
			if t.onOpened != nil {
				t.onOpened(t, p.src, time.Now())
			}
		}
		if len(p.data) == 0 {
			return
		}
		if sent, known := f.answers[p.seq]; known {
			if sent != nil {
				answer(flagACK, f.next-uint32(len(sent)), f.received, sent)
			}
			return
		}
		f.answers[p.seq] = nil
		f.received = p.seq + uint32(len(p.data))
		seq := p.seq
		time.AfterFunc(workTime, func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			if t.down || t.flows[key] != f {
				return
			}
			f.answers[seq] = response
			start := f.next
			f.next += uint32(len(response))
			answer(flagACK, start, f.received, response)
		})
	}
}

// holds reports whether the target holds the flow as open.
func (t *target) holds(caller, service netip.AddrPort) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flows[[2]netip.AddrPort{caller, service}]
	return !t.down && f != nil && f.opened && !f.finished
}
