package pollensoak

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"pollenstep.example/pollenstep/platform"
	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollengate"
	"pollenstep.example/pollenstep/pollenpacket"
	"pollenstep.example/pollenstep/pollenpeer"
)

// Manners of the stand-in backend servers.
const (
	workTime = 10 * time.Millisecond
	slots    = 4
	// drainBound is the time after an acknowledged report in which new flows may
	// still come.
	drainBound = 3 * time.Second
	reportWait = time.Second
	// idSize is the size of a request in the stream; an answer repeats it.
	idSize = 8
)

// A server is a stand-in backend server that lives in this process.
type server struct {
	run      *run
	host     *host
	service  int
	conn     *net.UDPConn
	outbound netip.AddrPort
	born     int64
	mu       sync.Mutex
	flows    map[pollenpacket.Flow]*serverFlow
	sequence uint64
	draining bool
	// drained is when the gate acknowledged that the server drains.
	drained time.Time
	stopped bool
}

type serverFlow struct {
	first, next uint32
	opened      bool
	// answers holds what was answered, by the position of the request; nil while
	// it runs.
	answers map[uint32][]byte
}

func startServer(r *run, h *host, service int) (*server, error) {
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(h.IP, platform.StandInServerPort)))
	if err != nil {
		return nil, err
	}
	s := &server{
		run: r, host: h, service: service, conn: conn, born: r.births.Add(1),
		outbound: netip.AddrPortFrom(h.IP, platform.StandInOutboundPort), flows: map[pollenpacket.Flow]*serverFlow{},
	}
	go s.serve()
	go s.reports()
	return s, nil
}

func (s *server) serve() {
	buffer := make([]byte, 2048)
	for {
		n, err := s.conn.Read(buffer)
		if err != nil {
			return
		}
		if p, ok := (platform.Datagram{}).ParseFromCaller(buffer[:n]); ok {
			s.take(&p, buffer[:n])
		}
	}
}

func (s *server) send(p *pollenpacket.Packet, stream []byte) {
	// What is not sent is lost, as on a network.
	_, _ = s.conn.WriteToUDPAddrPort(platform.AppendPacket(nil, p, true, stream), s.outbound)
}

func (s *server) take(p *pollenpacket.Packet, packet []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.flows[p.Flow]
	switch {
	case p.Opening():
		s.open(p, f)
	case f == nil || int32(p.Acknowledged-f.first) <= 0 || int32(f.next-p.Acknowledged) < 0:
		returned := bytes.Clone(packet)
		returned[0] |= 128
		_, _ = s.conn.WriteToUDPAddrPort(returned, s.outbound)
	case p.FIN:
		delete(s.flows, p.Flow)
		s.send(&pollenpacket.Packet{Flow: p.Flow, ACK: true, FIN: true, Sequence: f.next, Acknowledged: p.Sequence + 1}, nil)
	case p.Size == idSize:
		f.opened = true
		s.request(p, f, bytes.Clone(packet[len(packet)-idSize:]))
	}
}

func (s *server) open(p *pollenpacket.Packet, f *serverFlow) {
	if p.Flow.Service != s.run.addresses[s.service] {
		s.run.check.found("misrouted", fmt.Sprintf("%s of %s got a flow to %s", s.host.Name, services[s.service].name, p.Flow.Service))
	}
	if !s.drained.IsZero() && time.Since(s.drained) > drainBound && s.run.calm(s.host) && f == nil {
		s.run.check.found("drained", fmt.Sprintf("%s got a flow %s after it drained", s.host.Name, time.Since(s.drained)))
	}
	if f == nil {
		first := uint32(len(s.flows))<<16 + uint32(s.born)<<8 + 1
		f = &serverFlow{first: first, next: first + 1, answers: map[uint32][]byte{}}
		s.flows[p.Flow] = f
	}
	s.send(&pollenpacket.Packet{Flow: p.Flow, SYN: true, ACK: true, Sequence: f.first, Acknowledged: p.Sequence + 1}, nil)
}

// request runs a request once, and answers its copies as the first.
func (s *server) request(p *pollenpacket.Packet, f *serverFlow, id []byte) {
	if answer, known := f.answers[p.Sequence]; known {
		if answer != nil {
			s.answer(p, f, answer)
		}
		return
	}
	f.answers[p.Sequence] = nil
	if services[s.service].kind == "unsafe" {
		s.run.check.ran(binary.BigEndian.Uint64(id))
	}
	packet := *p
	time.AfterFunc(workTime, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		f.answers[packet.Sequence] = id
		s.answer(&packet, f, id)
	})
}

func (s *server) answer(p *pollenpacket.Packet, f *serverFlow, answer []byte) {
	sequence := f.first + 1 + p.Sequence - 1
	s.send(&pollenpacket.Packet{Flow: p.Flow, ACK: true, Sequence: sequence, Acknowledged: p.Sequence + idSize}, answer)
	if next := sequence + idSize; int32(next-f.next) > 0 {
		f.next = next
	}
}

// holds reports whether the flow is open here.
func (s *server) holds(f pollenpacket.Flow) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	held := s.flows[f]
	return !s.stopped && held != nil && held.opened
}

// reports tells the gate about the server until it has stopped.
func (s *server) reports() {
	client := &http.Client{Timeout: reportWait}
	base := fmt.Sprintf("http://%s/pollenstep/instances/i-%d", netip.AddrPortFrom(s.host.IP, platform.StandInControlPort), s.born)
	for {
		s.mu.Lock()
		if s.stopped {
			s.mu.Unlock()
			return
		}
		s.sequence++
		r := pollengate.Report{
			Service: pollendocument.ServiceName(services[s.service].name), State: pollenpeer.ServerReady,
			Slots: slots, Incarnation: s.born, Sequence: s.sequence,
		}
		if s.draining {
			r.State = pollenpeer.ServerDraining
		}
		s.mu.Unlock()
		if call(client, http.MethodPut, base, platform.StandInReportBody(&r, netip.AddrPortFrom(s.host.IP, platform.StandInServerPort))) == http.StatusOK {
			s.mu.Lock()
			if r.State == pollenpeer.ServerDraining && s.drained.IsZero() {
				s.drained = time.Now()
			}
			s.mu.Unlock()
		}
		time.Sleep(platform.StandInReportInterval)
	}
}

// call makes a call and returns its status, or zero if there was no answer.
func call(client *http.Client, method, url string, body []byte) int {
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

// replace has the server forget everything, like one that was replaced by a new
// start at the same address.
func (s *server) replace() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.flows = map[pollenpacket.Flow]*serverFlow{}
	s.born, s.sequence = s.run.births.Add(1), 0
	s.draining, s.drained = false, time.Time{}
}

func (s *server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

func (s *server) stop() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	_ = s.conn.Close()
}
