package pollensoak

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"pollenstep.example/pollenstep/platform"
)

// A proxyMode says what a proxy does with its connections.
type proxyMode string

const (
	proxyPass proxyMode = "pass"
	// proxyDelay holds every piece back for a while.
	proxyDelay proxyMode = "delay"
	// proxyReset resets connections.
	proxyReset proxyMode = "reset"
	// proxyOneWay loses what the system answers.
	proxyOneWay proxyMode = "one-way"
	// proxySilent loses both directions and keeps the connections.
	proxySilent proxyMode = "silent"
)

var proxyModes = []proxyMode{proxyDelay, proxyReset, proxyOneWay, proxySilent}

const proxyDelayTime = 300 * time.Millisecond

// A proxy stands between the operator and one balancer.
type proxy struct {
	listener net.Listener
	to       netip.AddrPort
	mu       sync.Mutex
	mode     proxyMode
}

func startProxy(at netip.Addr, h *host) (*proxy, error) {
	l, err := net.Listen("tcp4", netip.AddrPortFrom(at, platform.StandInControlPort).String())
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, to: netip.AddrPortFrom(h.IP, platform.StandInControlPort), mode: proxyPass}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.relay(c)
		}
	}()
	return p, nil
}

func (p *proxy) setMode(m proxyMode) {
	p.mu.Lock()
	p.mode = m
	p.mu.Unlock()
}

func (p *proxy) currentMode() proxyMode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

func (p *proxy) relay(client net.Conn) {
	defer func() { _ = client.Close() }()
	server, err := net.DialTimeout("tcp4", p.to.String(), time.Second)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	done := make(chan struct{}, 2)
	go func() { p.forward(server, client, false); done <- struct{}{} }()
	go func() { p.forward(client, server, true); done <- struct{}{} }()
	<-done
}

// copy passes bytes on as the mode says, which may change meanwhile.
func (p *proxy) forward(to, from net.Conn, answers bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		switch mode := p.currentMode(); {
		case mode == proxyReset:
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			return
		case mode == proxySilent, mode == proxyOneWay && answers:
			n = 0
		case mode == proxyDelay:
			time.Sleep(proxyDelayTime)
		}
		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
