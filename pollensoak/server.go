package pollensoak

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"pollenstep.example/pollenstep/platform"
	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollengate"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenpeer"
)

// Behavior of the stand-in backend servers.
const (
	// workTime is the time that a request runs.
	workTime = 10 * time.Millisecond
	slots    = 4
	// drainDeadline is the time after an acknowledged drain in which new flows may
	// still arrive.
	drainDeadline = 3 * time.Second
	reportTimeout = time.Second
	// idSize is the size in bytes of a request in the stream, which is its ID. An
	// answer repeats it.
	idSize = 8
)

// A server is a stand-in backend server. It runs in the process that calls Run.
type server struct {
	run  *run
	host *host
	// service is the index of the server's service in services.
	service int
	conn    *net.UDPConn
	// outbound is the address at which the gate receives the server's packets.
	outbound netip.AddrPort
	// incarnation is unique among all servers of the run, and grows with each start.
	incarnation int64
	mu          sync.Mutex
	flows       map[pollenpacket.Flow]*serverFlow
	// sequence is the number of the last report of the current incarnation.
	sequence uint64
	draining bool
	drain    Drain
	stopped  bool
}

// serverFlow is the state of a flow at its backend server.
type serverFlow struct {
	// initialSequence is the position of the answer to the opening packet, and
	// nextSequence the end of what the server has sent.
	initialSequence, nextSequence uint32
	// opened is set once the caller has sent a request on the flow.
	opened bool
	// answers holds the answers by the position of the request; an answer is nil while
	// the request runs.
	answers map[uint32][]byte
	// received holds the size of each packet of an upload by its position, contiguous is
	// the end of the data without a gap, and id the first bytes of the upload.
	received   map[uint32]uint32
	contiguous uint32
	id         []byte
}

// startServer starts a backend server of the service beside the host's gate, and its
// reports.
func startServer(r *run, h *host, service int) (*server, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(h.IP, platform.StandInServerPort)))
	if err != nil {
		return nil, err
	}
	s := &server{
		run: r, host: h, service: service, conn: conn, incarnation: r.lastIncarnation.Add(1),
		outbound: netip.AddrPortFrom(h.IP, platform.StandInOutboundPort), flows: map[pollenpacket.Flow]*serverFlow{},
	}
	s.drain = NewDrain(s.incarnation)
	go s.receive()
	go s.sendReports()
	return s, nil
}

// receive handles packets of the gate until the socket is closed.
func (s *server) receive() {
	buffer := make([]byte, 2048)
	for {
		n, err := s.conn.Read(buffer)
		if err != nil {
			return
		}
		if p, ok := (platform.Datagram{}).ParseFromCaller(buffer[:n]); ok {
			s.handlePacket(&p, buffer[:n])
		}
	}
}

// send sends a packet to the caller through the gate.
func (s *server) send(p *pollenpacket.Packet, stream []byte) {
	// A packet that cannot be sent is lost, as on a network.
	_, _ = s.conn.WriteToUDPAddrPort(platform.AppendPacket(nil, p, true, stream), s.outbound)
}

// handlePacket handles a packet that the gate has delivered. It returns a packet of a
// flow that the server does not hold, or with an acknowledgement outside of what it has
// sent, marked as returned by the highest bit of its first byte.
func (s *server) handlePacket(p *pollenpacket.Packet, packet []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[p.Flow]
	switch {
	case p.Opening():
		s.handleOpening(p, f)
	case f == nil || int32(p.Acknowledged-f.initialSequence) <= 0 || int32(f.nextSequence-p.Acknowledged) < 0:
		returned := bytes.Clone(packet)
		returned[0] |= 128
		_, _ = s.conn.WriteToUDPAddrPort(returned, s.outbound)
	case p.FIN:
		delete(s.flows, p.Flow)
		s.send(&pollenpacket.Packet{Flow: p.Flow, ACK: true, FIN: true, Sequence: f.nextSequence, Acknowledged: p.Sequence + 1}, nil)
	case p.Size > 0 && p.Flow.Service == s.run.addresses[uploadRoute]:
		f.opened = true
		s.handleUpload(p, f, packet[len(packet)-p.Size:])
	case p.Size == idSize:
		f.opened = true
		s.handleRequest(p, f, bytes.Clone(packet[len(packet)-idSize:]))
	}
}

// handleOpening handles an opening packet, and checks that it belongs to the server's
// service and that the server has not drained. Retransmissions get the same answer.
func (s *server) handleOpening(p *pollenpacket.Packet, f *serverFlow) {
	if route := slices.Index(s.run.addresses, p.Flow.Service); route < 0 || routes[route].service != services[s.service] {
		s.run.check.addViolation("misrouted", fmt.Sprintf("%s of service %s received a flow to %s", s.host.Name, services[s.service], p.Flow.Service))
	}
	if drained := s.drain.Since(time.Now()); drained > drainDeadline && s.run.isUndisturbed(s.host) && f == nil {
		s.run.check.addViolation("drained", fmt.Sprintf("%s received a flow %s after it had drained", s.host.Name, drained))
	}
	if f == nil {
		// The initial position varies with the flow and the incarnation.
		first := uint32(len(s.flows))<<16 + uint32(s.incarnation)<<8 + 1
		f = &serverFlow{initialSequence: first, nextSequence: first + 1, answers: map[uint32][]byte{}, received: map[uint32]uint32{}, contiguous: 1}
		s.flows[p.Flow] = f
	}
	s.send(&pollenpacket.Packet{Flow: p.Flow, SYN: true, ACK: true, Sequence: f.initialSequence, Acknowledged: p.Sequence + 1}, nil)
}

// handleUpload handles a packet of an upload. It runs the upload once all of its packets
// have arrived, and acknowledges them before.
func (s *server) handleUpload(p *pollenpacket.Packet, f *serverFlow, payload []byte) {
	f.received[p.Sequence] = uint32(p.Size)
	if p.Sequence == 1 {
		f.id = bytes.Clone(payload[:idSize])
	}
	for size := f.received[f.contiguous]; size > 0; size = f.received[f.contiguous] {
		f.contiguous += size
	}
	if f.contiguous == 1+uploadSize {
		s.handleRequest(&pollenpacket.Packet{Flow: p.Flow, Sequence: 1, Size: uploadSize}, f, f.id)
		return
	}
	s.send(&pollenpacket.Packet{Flow: p.Flow, ACK: true, Sequence: f.nextSequence, Acknowledged: f.contiguous}, nil)
}

// handleRequest runs a request. A retransmission does not run again, and gets the same
// answer.
func (s *server) handleRequest(p *pollenpacket.Packet, f *serverFlow, id []byte) {
	if answer, known := f.answers[p.Sequence]; known {
		if answer != nil {
			s.sendAnswer(p, f, answer)
		}
		return
	}
	f.answers[p.Sequence] = nil
	if services[s.service] == "orders" {
		s.run.check.countRun(binary.BigEndian.Uint64(id), p.Size == uploadSize)
	}
	packet := *p
	time.AfterFunc(workTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		f.answers[packet.Sequence] = id
		s.sendAnswer(&packet, f, id)
	})
}

// sendAnswer sends the answer to the request in p.
func (s *server) sendAnswer(p *pollenpacket.Packet, f *serverFlow, answer []byte) {
	// Requests and answers have the same size, except for the only one of an upload, and a flow's first request is at
	// position 1, so the position of the answer follows from that of the request.
	sequence := f.initialSequence + 1 + p.Sequence - 1
	s.send(&pollenpacket.Packet{Flow: p.Flow, ACK: true, Sequence: sequence, Acknowledged: p.Sequence + uint32(p.Size)}, answer)
	if next := sequence + idSize; int32(next-f.nextSequence) > 0 {
		f.nextSequence = next
	}
}

// holds reports whether the server holds the flow, and its caller has sent a request on
// it or opening is set.
func (s *server) holds(f pollenpacket.Flow, opening bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	flow := s.flows[f]
	return !s.stopped && flow != nil && (opening || flow.opened)
}

// sendReports reports the server's state to the gate, after each
// platform.StandInReportInterval, until the server has stopped.
func (s *server) sendReports() {
	client := &http.Client{Timeout: reportTimeout}
	base := fmt.Sprintf("http://%s/pollenstep/instances/i-%d", netip.AddrPortFrom(s.host.IP, platform.StandInControlPort), s.incarnation)
	for {
		s.mu.Lock()
		if s.stopped {
			s.mu.Unlock()
			return
		}
		s.sequence++
		r := pollengate.Report{
			Service: pollendocument.ServiceName(services[s.service]), State: pollenpeer.ServerReady,
			Slots: slots, Incarnation: s.incarnation, Sequence: s.sequence,
		}
		if s.draining {
			r.State = pollenpeer.ServerDraining
		}
		s.mu.Unlock()
		if requestStatus(client, http.MethodPut, base, platform.StandInReportBody(&r, netip.AddrPortFrom(s.host.IP, platform.StandInServerPort))) == http.StatusOK {
			s.mu.Lock()
			s.drain.Acknowledge(time.Now(), r.Incarnation, r.State)
			s.mu.Unlock()
		}
		time.Sleep(platform.StandInReportInterval)
	}
}

// requestStatus sends an HTTP request and returns the status of the response, or 0 if
// there was none.
func requestStatus(client *http.Client, method, url string, body []byte) int {
	request, err := http.NewRequest(method, url, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	response, err := client.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// replace drops all state of the server and gives it a new incarnation, like a server
// that was replaced by a new one at the same address.
func (s *server) replace() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flows = map[pollenpacket.Flow]*serverFlow{}
	s.incarnation, s.sequence = s.run.lastIncarnation.Add(1), 0
	s.draining, s.drain = false, NewDrain(s.incarnation)
}

// startDrain starts draining the server, which its next report announces to the gate.
func (s *server) startDrain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

// stop closes the server's socket and ends its goroutines.
func (s *server) stop() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	_ = s.conn.Close()
}
