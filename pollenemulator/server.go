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

// Behavior of a backend server.
const (
	// coldFactor is the ratio of a request's run time on a cold server to that on a
	// warm one.
	coldFactor = 1.6
	// drainTime is the time for which a draining server still serves after its gate
	// has acknowledged the drain.
	drainTime = 4 * time.Second
	// resetPeriod is the time after its start in which a server resets flows that it
	// does not hold, instead of returning their packets.
	resetPeriod = 2 * time.Second
	// requestSize is the size in bytes of a request or an answer in the stream: 8
	// bytes with the request ID and, in an answer, 1 byte that is 1 if the request ran.
	requestSize = 9
)

// A server is a backend server behind the gate of its own host.
type server struct {
	w       *world
	service *Service
	host    *host
	name    string
	// incarnation changes with every start and every end; startTime is when the
	// current incarnation started.
	incarnation int
	startTime   time.Time
	alive       bool
	draining    bool
	// drainedAt is when the gate acknowledged the drain, and zero before.
	drainedAt time.Time
	// sequence is the number of the last report of the current incarnation.
	sequence uint64
	flows    map[pollenpacket.Flow]*serverFlow
	// running is the number of requests that run now, and queue holds those
	// that wait.
	running int
	queue   []func()
	// runs counts the requests that all incarnations have run.
	runs int
}

// serverFlow is the state of a flow at its backend server.
type serverFlow struct {
	// initialSequence is the position of the answer to the opening packet, and
	// nextSequence the end of what the server has sent.
	initialSequence uint32
	// opened is set once the caller has acknowledged the answer to its opening packet.
	opened bool
	// answers holds the answers that were sent, by the position of the request; an
	// answer is nil while the request waits or runs.
	answers      map[uint32][]byte
	nextSequence uint32
}

// addServer starts a backend server on a new host of the domain. Hosts of backend servers
// are numbered from 1000 on.
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

// start starts a new incarnation without flows, and its periodic reports.
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

// report reports the server's state to its gate. The first report of a drain that the
// gate receives starts the drain time.
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

// drain starts draining the server. It shuts down drainTime after its gate has
// acknowledged the drain.
func (s *server) drain() {
	s.draining = true
	s.report()
}

// shutDown deregisters the server, ends it and stops its host. After a second it ends the
// host for good, since host.stop lets it start again.
func (s *server) shutDown() {
	if s.host.gate != nil {
		s.host.gate.Deregister(s.w.now, s.name)
	}
	s.crash()
	s.host.stop()
	s.w.after(time.Second, func() { s.host.kill(-1) })
}

// crash ends the server without notice; its flows are lost.
func (s *server) crash() {
	s.alive = false
	s.incarnation++
	s.flows = map[pollenpacket.Flow]*serverFlow{}
}

// handlePacket handles a packet that the gate has delivered. A flow that the server
// does not hold, or an acknowledgement outside of what it has sent, is rejected.
func (s *server) handlePacket(packet []byte) {
	p, ok := pollenpacket.Plain{}.ParseFromCaller(packet)
	if !s.alive || !ok {
		return
	}
	if p.Opening() {
		s.handleOpening(&p)
		return
	}
	f := s.flows[p.Flow]
	if f == nil || int32(p.Acknowledged-f.initialSequence) <= 0 || int32(f.nextSequence-p.Acknowledged) < 0 {
		s.rejectUnknownFlow(&p, packet)
		return
	}
	f.opened = true
	switch {
	case p.FIN:
		delete(s.flows, p.Flow)
		s.send(&pollenpacket.Packet{Flow: p.Flow, ACK: true, FIN: true, Sequence: f.nextSequence, Acknowledged: p.Sequence + 1}, nil)
	case p.Size > 0:
		s.handleRequest(f, &p, slices.Clone(packet[pollenpacket.PlainHeaderSize:]))
	}
}

// handleOpening handles an opening packet. Retransmissions get the same answer.
func (s *server) handleOpening(p *pollenpacket.Packet) {
	s.w.measurements.countOpening(s, p.Flow)
	f := s.flows[p.Flow]
	if f == nil {
		f = &serverFlow{initialSequence: s.w.random.Uint32(), answers: map[uint32][]byte{}}
		f.nextSequence = f.initialSequence + 1
		s.flows[p.Flow] = f
	}
	s.send(&pollenpacket.Packet{Flow: p.Flow, SYN: true, ACK: true, Sequence: f.initialSequence, Acknowledged: p.Sequence + 1}, nil)
}

// handleRequest runs or queues a request, or sheds it if the queue is full. A
// retransmission does not run again, and gets the same answer.
func (s *server) handleRequest(f *serverFlow, p *pollenpacket.Packet, stream []byte) {
	if answer, known := f.answers[p.Sequence]; known {
		if answer != nil {
			s.sendAnswer(p, f, answer)
		}
		return
	}
	f.answers[p.Sequence] = nil
	if s.running >= s.service.Slots && len(s.queue) >= s.service.Queue {
		s.finish(f, p, stream, false)
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
			s.finish(f, p, stream, true)
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

// workTime returns the run time of a request: 0.5 to 1.5 times the service's mean, and
// more on a cold server. Servers that started before the callers are never cold.
func (s *server) workTime() time.Duration {
	work := float64(s.service.Work) * (0.5 + s.w.random.Float64())
	if s.w.now.Sub(s.startTime) < s.service.Cold && s.startTime.After(epoch.Add(warmUp)) {
		work *= coldFactor
	}
	return time.Duration(work)
}

// finish stores and sends the answer to a request; completed is false if the request
// was shed.
func (s *server) finish(f *serverFlow, p *pollenpacket.Packet, stream []byte, completed bool) {
	answer := slices.Clone(stream[:requestSize])
	answer[8] = 0
	if completed {
		answer[8] = 1
	}
	f.answers[p.Sequence] = answer
	s.sendAnswer(p, f, answer)
}

// sendAnswer sends the answer to the request in p.
func (s *server) sendAnswer(p *pollenpacket.Packet, f *serverFlow, answer []byte) {
	// Requests and answers have the same size, and a flow's first request is at
	// position requestSize, so the position of the answer follows from that of the
	// request.
	sequence := f.initialSequence + 1 + p.Sequence - requestSize
	// A draining server closes each flow after its next answer.
	s.send(&pollenpacket.Packet{
		Flow: p.Flow, ACK: true, FIN: s.draining, Sequence: sequence, Acknowledged: p.Sequence + requestSize,
	}, answer)
	if next := sequence + requestSize; int32(next-f.nextSequence) > 0 {
		f.nextSequence = next
	}
}

// send sends a packet to the caller through the gate.
func (s *server) send(p *pollenpacket.Packet, stream []byte) {
	datagram := pollenpacket.AppendPlain(make([]byte, pollenlink.HeaderSize, pollenlink.BufferSize), p, true, stream)
	s.sendToGate(datagram)
}

// rejectUnknownFlow answers a packet of a flow that the server does not hold. During
// resetPeriod the server resets the flow, afterwards it returns the packet.
func (s *server) rejectUnknownFlow(p *pollenpacket.Packet, packet []byte) {
	if s.w.now.Sub(s.startTime) < resetPeriod {
		s.send(&pollenpacket.Packet{Flow: p.Flow, ACK: true, RST: true, Sequence: p.Acknowledged}, nil)
		return
	}
	s.returnPacket(packet)
}

// returnPacket sends a packet of a caller back to the gate, marked as returned.
func (s *server) returnPacket(packet []byte) {
	p, _ := pollenpacket.Plain{}.ParseFromCaller(packet)
	p.Returned = true
	s.sendToGate(pollenpacket.AppendPlain(make([]byte, pollenlink.HeaderSize, pollenlink.BufferSize), &p, false, packet[pollenpacket.PlainHeaderSize:]))
}

// sendToGate delivers a datagram to the gate on the same host.
func (s *server) sendToGate(datagram []byte) {
	s.w.after(localDelay, func() {
		s.host.runWhenThawed(func() {
			if s.host.gate != nil {
				s.host.gate.HandleServerPacket(s.w.now, datagram)
			}
		})
	})
}
