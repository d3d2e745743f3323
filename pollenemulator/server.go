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
	resetPeriod = 2 * time.Second
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
	incarnation int
	startTime   time.Time
	alive       bool
	draining    bool
	// drained is when the gate acknowledged that it drains.
	drainedAt time.Time
	sequence  uint64
	flows     map[pollenpacket.Flow]*serverFlow
	running   int
	queue     []func()
	runs      int
}

// held is a flow as its backend server sees it.
type serverFlow struct {
	initialSequence uint32
	// opened is set once the caller has acknowledged the answer to its opening.
	opened bool
	// answers holds the answers that were sent, by the position of the request.
	answers      map[uint32][]byte
	nextSequence uint32
}

// addServer starts a backend server on a new host of the domain.
func (w *world) addServer(s *Service, domain int) *server {
	number := 1000 + len(w.servers)
	h := newHost(w, domain, number)
	v := &server{w: w, service: s, host: h, name: fmt.Sprintf("%s-%d", s.Name, len(w.servers)+1)}
	h.server = v
	w.servers = append(w.servers, v)
	h.start(w.now.Equal(epoch))
	v.start()
	return v
}

func (s *server) start() {
	s.incarnation++
	s.alive, s.draining, s.startTime = true, false, s.w.now
	s.flows, s.running, s.queue, s.sequence = map[pollenpacket.Flow]*serverFlow{}, 0, nil, 0
	s.drainedAt = time.Time{}
	incarnation := s.incarnation
	var report func()
	report = func() {
		if s.incarnation == incarnation && s.alive {
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
		ColdRemaining: max(0, s.startTime.Add(s.service.Cold).Sub(s.w.now)), Incarnation: s.startTime.UnixMilli(), Sequence: s.sequence,
	}
	if s.draining {
		r.State = pollenpeer.ServerDraining
	}
	s.host.runWhenThawed(func() {
		if s.host.gate == nil {
			return
		}
		s.host.gate.HandleReport(s.w.now, r)
		if s.draining && s.drainedAt.IsZero() {
			s.drainedAt = s.w.now
			s.w.after(drainTime, s.shutDown)
		}
	})
}

// drain begins the planned end.
func (s *server) drain() {
	s.draining = true
	s.report()
}

// leave ends the server and its host for good.
func (s *server) shutDown() {
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
	s.incarnation++
	s.flows = map[pollenpacket.Flow]*serverFlow{}
}

// take takes a packet that its gate delivered.
func (s *server) handlePacket(packet []byte) {
	p, ok := pollenpacket.Plain{}.ParseFromCaller(packet)
	if !s.alive || !ok {
		return
	}
	if p.Opening() {
		s.handleOpening(&p)
		return
	}
	h := s.flows[p.Flow]
	if h == nil || int32(p.Acknowledged-h.initialSequence) <= 0 || int32(h.nextSequence-p.Acknowledged) < 0 {
		s.rejectUnknownFlow(&p, packet)
		return
	}
	h.opened = true
	switch {
	case p.FIN:
		delete(s.flows, p.Flow)
		s.send(&pollenpacket.Packet{Flow: p.Flow, ACK: true, FIN: true, Sequence: h.nextSequence, Acknowledged: p.Sequence + 1}, nil)
	case p.Size > 0:
		s.handleRequest(h, &p, slices.Clone(packet[pollenpacket.PlainHeaderSize:]))
	}
}

func (s *server) handleOpening(p *pollenpacket.Packet) {
	s.w.measurements.countOpening(s, p.Flow)
	h := s.flows[p.Flow]
	if h == nil {
		h = &serverFlow{initialSequence: s.w.random.Uint32(), answers: map[uint32][]byte{}}
		h.nextSequence = h.initialSequence + 1
		s.flows[p.Flow] = h
	}
	s.send(&pollenpacket.Packet{Flow: p.Flow, SYN: true, ACK: true, Sequence: h.initialSequence, Acknowledged: p.Sequence + 1}, nil)
}

// request runs a request once, or answers a copy of it as the first.
func (s *server) handleRequest(h *serverFlow, p *pollenpacket.Packet, stream []byte) {
	if answer, known := h.answers[p.Sequence]; known {
		if answer != nil {
			s.sendAnswer(p, h, answer)
		}
		return
	}
	h.answers[p.Sequence] = nil
	if s.running >= s.service.Slots && len(s.queue) >= s.service.Queue {
		s.finish(h, p, stream, false)
		return
	}
	incarnation := s.incarnation
	run := func() {
		s.running++
		s.w.measurements.countRun(s, binary.BigEndian.Uint64(stream))
		s.w.after(s.workTime(), func() {
			if s.incarnation != incarnation {
				return
			}
			s.running--
			s.finish(h, p, stream, true)
			if len(s.queue) > 0 {
				next := s.queue[0]
				s.queue = s.queue[1:]
				next()
			}
		})
	}
	if s.running >= s.service.Slots {
		s.queue = append(s.queue, run)
		return
	}
	run()
}

func (s *server) workTime() time.Duration {
	work := float64(s.service.Work) * (0.5 + s.w.random.Float64())
	if s.w.now.Sub(s.startTime) < s.service.Cold && s.startTime.After(epoch.Add(warmUp)) {
		work *= coldFactor
	}
	return time.Duration(work)
}

func (s *server) finish(h *serverFlow, p *pollenpacket.Packet, stream []byte, completed bool) {
	answer := slices.Clone(stream[:requestSize])
	answer[8] = 0
	if completed {
		answer[8] = 1
	}
	h.answers[p.Sequence] = answer
	s.sendAnswer(p, h, answer)
}

func (s *server) sendAnswer(p *pollenpacket.Packet, h *serverFlow, answer []byte) {
	// Requests and answers have one size, and a flow's first request begins at
	// requestSize, so the place of the answer follows from that of the request.
	sequence := h.initialSequence + 1 + p.Sequence - requestSize
	// A draining server closes each flow after its next answer.
	s.send(&pollenpacket.Packet{
		Flow: p.Flow, ACK: true, FIN: s.draining, Sequence: sequence, Acknowledged: p.Sequence + requestSize,
	}, answer)
	if next := sequence + requestSize; int32(next-h.nextSequence) > 0 {
		h.nextSequence = next
	}
}

func (s *server) send(p *pollenpacket.Packet, stream []byte) {
	datagram := pollenpacket.AppendPlain(make([]byte, pollenlink.HeaderSize, pollenlink.BufferSize), p, true, stream)
	s.sendToGate(datagram)
}

// refuse answers a packet of a flow that the server does not hold. One that has
// just started resets such a flow, others return the packet.
func (s *server) rejectUnknownFlow(p *pollenpacket.Packet, packet []byte) {
	if s.w.now.Sub(s.startTime) < resetPeriod {
		s.send(&pollenpacket.Packet{Flow: p.Flow, ACK: true, RST: true, Sequence: p.Acknowledged}, nil)
		return
	}
	s.returnPacket(packet)
}

// giveBack returns a packet of a flow that the server does not hold.
func (s *server) returnPacket(packet []byte) {
	p, _ := pollenpacket.Plain{}.ParseFromCaller(packet)
	p.Returned = true
	s.sendToGate(pollenpacket.AppendPlain(make([]byte, pollenlink.HeaderSize, pollenlink.BufferSize), &p, false, packet[pollenpacket.PlainHeaderSize:]))
}

func (s *server) sendToGate(datagram []byte) {
	s.w.after(localDelay, func() {
		s.host.runWhenThawed(func() {
			if s.host.gate != nil {
				s.host.gate.HandleServerPacket(s.w.now, datagram)
			}
		})
	})
}
