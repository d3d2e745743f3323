package pollenemulator

import (
	"encoding/binary"
	"fmt"
	"slices"
	"time"

	"pollenstep.example/pollenstep/pollengate"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenpeer"
)

// Manners of a backend server.
const (
	coldFactor = 1.6
	// drainTime is how long a draining server serves on after its report was
	// acknowledged.
	drainTime = 4 * time.Second
	// youngTime is how long a server that has started resets flows it does not
	// hold.
	youngTime = 2 * time.Second
	// requestSize is the size of a request or an answer in the stream: its
	// identity and, in an answer, whether it ran.
	requestSize = 9
)

// A server is one backend server behind its own host.
type server struct {
	w       *world
	service *Service
	host    *host
	name    string
	// starts counts its incarnations; born is when the present one began.
	starts   int
	born     time.Time
	alive    bool
	draining bool
	// drained is when the gate acknowledged that it drains.
	drained  time.Time
	sequence uint64
	flows    map[pollenpacket.Flow]*held
	busy     int
	waiting  []func()
	ran      int
}

// held is a flow as its backend server sees it.
type held struct {
	first uint32
	// opened is set once the caller has acknowledged the answer to its opening.
	opened bool
	// answers holds the answers that were sent, by the position of the request.
	answers map[uint32][]byte
	next    uint32
}

// addServer starts a backend server on a new host of the domain.
func (w *world) addServer(s *Service, domain int) *server {
	number := 1000 + len(w.servers)
	h := newHost(w, domain, number)
	v := &server{w: w, service: s, host: h, name: fmt.Sprintf("%s-%d", s.Name, len(w.servers)+1)}
	h.server = v
	w.servers = append(w.servers, v)
	h.start(w.now.Equal(epoch))
	v.begin()
	return v
}

func (s *server) begin() {
	s.starts++
	s.alive, s.draining, s.born = true, false, s.w.now
	s.flows, s.busy, s.waiting, s.sequence = map[pollenpacket.Flow]*held{}, 0, nil, 0
	s.drained = time.Time{}
	start := s.starts
	var report func()
	report = func() {
		if s.starts == start && s.alive {
			s.report()
			s.w.after(reportInterval, report)
		}
	}
	s.w.after(20*time.Millisecond, report)
}

func (s *server) report() {
	s.sequence++
	r := pollengate.Report{
		Name: s.name, Service: s.service.Name, State: pollenpeer.ServerReady, Slots: s.service.Slots,
		ColdRemaining: max(0, s.born.Add(s.service.Cold).Sub(s.w.now)), Incarnation: s.born.UnixMilli(), Sequence: s.sequence,
	}
	if s.draining {
		r.State = pollenpeer.ServerDraining
	}
	s.host.whenAwake(func() {
		if s.host.gate == nil {
			return
		}
		s.host.gate.HandleReport(s.w.now, r)
		if s.draining && s.drained.IsZero() {
			s.drained = s.w.now
			s.w.after(drainTime, s.leave)
		}
	})
}

// drain begins the planned end.
func (s *server) drain() {
	s.draining = true
	s.report()
}

// leave ends the server and its host for good.
func (s *server) leave() {
	if s.host.gate != nil {
		s.host.gate.Deregister(s.w.now, s.name)
	}
	s.crash()
	s.host.stop()
	s.w.after(time.Second, func() { s.host.kill(-1) })
}

// crash ends the server without a word.
func (s *server) crash() {
	s.alive = false
	s.starts++
	s.flows = map[pollenpacket.Flow]*held{}
}

// take takes a packet that its gate delivered.
func (s *server) take(packet []byte) {
	p, ok := pollenpacket.Plain{}.ParseFromCaller(packet)
	if !s.alive || !ok {
		return
	}
	if p.Opening() {
		s.open(&p)
		return
	}
	h := s.flows[p.Flow]
	if h == nil || int32(p.Acknowledged-h.first) <= 0 || int32(h.next-p.Acknowledged) < 0 {
		s.refuse(&p, packet)
		return
	}
	h.opened = true
	switch {
	case p.FIN:
		delete(s.flows, p.Flow)
		s.send(&pollenpacket.Packet{Flow: p.Flow, ACK: true, FIN: true, Sequence: h.next, Acknowledged: p.Sequence + 1}, nil)
	case p.Size > 0:
		s.request(h, &p, slices.Clone(packet[pollenpacket.PlainHeaderSize:]))
	}
}

func (s *server) open(p *pollenpacket.Packet) {
	s.w.measure.opened(s, p.Flow)
	h := s.flows[p.Flow]
	if h == nil {
		h = &held{first: s.w.random.Uint32(), answers: map[uint32][]byte{}}
		h.next = h.first + 1
		s.flows[p.Flow] = h
	}
	s.send(&pollenpacket.Packet{Flow: p.Flow, SYN: true, ACK: true, Sequence: h.first, Acknowledged: p.Sequence + 1}, nil)
}

// request runs a request once, or answers a copy of it as the first.
func (s *server) request(h *held, p *pollenpacket.Packet, stream []byte) {
	if answer, known := h.answers[p.Sequence]; known {
		if answer != nil {
			s.answer(p, h, answer)
		}
		return
	}
	h.answers[p.Sequence] = nil
	if s.busy >= s.service.Slots && len(s.waiting) >= s.service.Queue {
		s.finish(h, p, stream, false)
		return
	}
	start := s.starts
	run := func() {
		s.busy++
		s.w.measure.ran(s, binary.BigEndian.Uint64(stream))
		s.w.after(s.workTime(), func() {
			if s.starts != start {
				return
			}
			s.busy--
			s.finish(h, p, stream, true)
			if len(s.waiting) > 0 {
				next := s.waiting[0]
				s.waiting = s.waiting[1:]
				next()
			}
		})
	}
	if s.busy >= s.service.Slots {
		s.waiting = append(s.waiting, run)
		return
	}
	run()
}

func (s *server) workTime() time.Duration {
	work := float64(s.service.Work) * (0.5 + s.w.random.Float64())
	if s.w.now.Sub(s.born) < s.service.Cold && s.born.After(epoch.Add(lead)) {
		work *= coldFactor
	}
	return time.Duration(work)
}

func (s *server) finish(h *held, p *pollenpacket.Packet, stream []byte, ran bool) {
	answer := slices.Clone(stream[:requestSize])
	answer[8] = 0
	if ran {
		answer[8] = 1
	}
	h.answers[p.Sequence] = answer
	s.answer(p, h, answer)
}

func (s *server) answer(p *pollenpacket.Packet, h *held, answer []byte) {
	// Requests and answers have one size, and a flow's first request begins at
	// requestSize, so the place of the answer follows from that of the request.
	sequence := h.first + 1 + p.Sequence - requestSize
	// A draining server closes each flow after its next answer.
	s.send(&pollenpacket.Packet{
		Flow: p.Flow, ACK: true, FIN: s.draining, Sequence: sequence, Acknowledged: p.Sequence + requestSize,
	}, answer)
	if next := sequence + requestSize; int32(next-h.next) > 0 {
		h.next = next
	}
}

func (s *server) send(p *pollenpacket.Packet, stream []byte) {
	datagram := pollenpacket.AppendPlain(make([]byte, pollenlink.HeaderSize, pollenlink.BufferSize), p, true, stream)
	s.toGate(datagram)
}

// refuse answers a packet of a flow that the server does not hold. One that has
// just started resets such a flow, others return the packet.
func (s *server) refuse(p *pollenpacket.Packet, packet []byte) {
	if s.w.now.Sub(s.born) < youngTime {
		s.send(&pollenpacket.Packet{Flow: p.Flow, ACK: true, RST: true, Sequence: p.Acknowledged}, nil)
		return
	}
	s.giveBack(packet)
}

// giveBack returns a packet of a flow that the server does not hold.
func (s *server) giveBack(packet []byte) {
	p, _ := pollenpacket.Plain{}.ParseFromCaller(packet)
	p.Returned = true
	s.toGate(pollenpacket.AppendPlain(make([]byte, pollenlink.HeaderSize, pollenlink.BufferSize), &p, false, packet[pollenpacket.PlainHeaderSize:]))
}

func (s *server) toGate(datagram []byte) {
	s.w.after(localDelay, func() {
		s.host.whenAwake(func() {
			if s.host.gate != nil {
				s.host.gate.HandleServerPacket(s.w.now, datagram)
			}
		})
	})
}
