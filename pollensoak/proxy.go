package pollensoak

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"pollenstep.example/pollenstep/platform"
)

// A proxyMode is the way in which a proxy treats its connections.
type proxyMode string

// Proxy modes.
const (
	// proxyPass forwards everything without delay.
	proxyPass proxyMode = "pass"
	// proxyDelay forwards each read after proxyDelayTime.
	proxyDelay proxyMode = "delay"
	// proxyReset resets a connection at its next read.
	proxyReset proxyMode = "reset"
	// proxyOneWay drops the answers of the system.
	proxyOneWay proxyMode = "one-way"
	// proxySilent drops both directions and keeps the connections open.
	proxySilent proxyMode = "silent"
)

// proxyModes holds the faulty modes.
var proxyModes = []proxyMode{proxyDelay, proxyReset, proxyOneWay, proxySilent}

const proxyDelayTime = 300 * time.Millisecond

// A proxy forwards TCP connections of the operator to one balancer, with the faults of
// its mode.
type proxy struct {
	listener net.Listener
	to       netip.AddrPort
	mu       sync.Mutex
	mode     proxyMode
}

// startProxy starts a proxy that listens at the address until its listener is closed.
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

// relay forwards both directions of a connection until one of them ends.
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

// forward forwards one direction of a connection according to the current mode, which
// may change at any time.
func (p *proxy) forward(to, from net.Conn, fromSystem bool) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		switch mode := p.currentMode(); {
		case mode == proxyReset:
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			return
		case mode == proxySilent, mode == proxyOneWay && fromSystem:
			n = 0
		case mode == proxyDelay:
			time.Sleep(proxyDelayTime)
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}
