package pollenstandin

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"
)

// A Balancer is a balancer to which the fabric forwards datagrams.
type Balancer struct {
	// Bind is the address on which the balancer listens, on the port of each
	// service.
	Bind netip.Addr
	// Admin is the address at which the fabric polls the balancer's readiness.
	Admin netip.AddrPort
}

// A Fabric stands in for the network in front of the balancers. It forwards each
// datagram of a caller to a random balancer that is ready. Each pair of a caller
// and a service has a socket of its own, whose address the balancers see as the
// caller's address; answers to it are relayed back to the caller.
type Fabric struct {
	source    netip.Addr
	balancers []Balancer
	ready     []atomic.Bool
	cancel    context.CancelFunc
	group     sync.WaitGroup

	mu      sync.Mutex
	sockets map[callerKey]*net.UDPConn
}

type callerKey struct{ caller, service netip.AddrPort }

// StartFabric returns a new Fabric that listens on the service addresses. It opens
// the sockets for callers on the source address. It fails if a service address is
// in use.
func StartFabric(source netip.Addr, services []netip.AddrPort, balancers []Balancer) (*Fabric, error) {
	ctx, cancel := context.WithCancel(context.Background())
	f := &Fabric{
		source: source, balancers: balancers, ready: make([]atomic.Bool, len(balancers)),
		cancel: cancel, sockets: map[callerKey]*net.UDPConn{},
	}
	for _, service := range services {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(service))
		if err != nil {
			cancel()
			return nil, err
		}
		_ = conn.SetReadBuffer(socketBufferSize)
		context.AfterFunc(ctx, func() { _ = conn.Close() })
		f.group.Go(func() { f.forward(conn, service) })
	}
	for i := range balancers {
		f.group.Go(func() { f.pollReadiness(ctx, i) })
	}
	return f, nil
}

// Sizes in bytes.
const (
	socketBufferSize = 4 << 20
	maxDatagramSize  = 2048
)

// Close stops the fabric and waits until its goroutines have ended.
func (f *Fabric) Close() {
	f.cancel()
	f.mu.Lock()
	for _, conn := range f.sockets {
		_ = conn.Close()
	}
	f.mu.Unlock()
	f.group.Wait()
}

// Ready returns the number of balancers that were ready at the last poll.
func (f *Fabric) Ready() int {
	n := 0
	for i := range f.ready {
		if f.ready[i].Load() {
			n++
		}
	}
	return n
}

// pollReadiness polls the readiness of the balancer at index i until the context
// ends.
func (f *Fabric) pollReadiness(ctx context.Context, i int) {
	const interval = 100 * time.Millisecond
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		response, err := client.Get("http://" + f.balancers[i].Admin.String() + "/readyz")
		ready := err == nil && response.StatusCode == http.StatusOK
		if err == nil {
			_ = response.Body.Close()
		}
		f.ready[i].Store(ready)
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// forward passes the datagrams that callers send to a service to the balancers. It
// drops a datagram if no balancer is ready.
func (f *Fabric) forward(conn *net.UDPConn, service netip.AddrPort) {
	buffer := make([]byte, maxDatagramSize)
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}
		socket, err := f.callerSocket(conn, callerKey{caller: from, service: service})
		if err != nil {
			continue
		}
		if balancer, ok := f.pickBalancer(service.Port()); ok {
			_, _ = socket.WriteToUDPAddrPort(buffer[:n], balancer)
		}
	}
}

// pickBalancer returns the address of a random balancer that is ready; ok is false
// if none is.
func (f *Fabric) pickBalancer(port uint16) (netip.AddrPort, bool) {
	start := rand.IntN(len(f.balancers))
	for i := range f.balancers {
		index := (start + i) % len(f.balancers)
		if f.ready[index].Load() {
			return netip.AddrPortFrom(f.balancers[index].Bind, port), true
		}
	}
	return netip.AddrPort{}, false
}

// callerSocket returns the socket that represents a caller, and opens it on the
// first datagram. The socket relays answers through the service's socket.
func (f *Fabric) callerSocket(service *net.UDPConn, key callerKey) (*net.UDPConn, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if conn, ok := f.sockets[key]; ok {
		return conn, nil
	}
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(f.source, 0)))
	if err != nil {
		return nil, err
	}
	_ = conn.SetReadBuffer(socketBufferSize)
	f.sockets[key] = conn
	f.group.Go(func() {
		buffer := make([]byte, maxDatagramSize)
		for {
			n, _, err := conn.ReadFromUDPAddrPort(buffer)
			if err != nil {
				return
			}
			_, _ = service.WriteToUDPAddrPort(buffer[:n], key.caller)
		}
	})
	return conn, nil
}
