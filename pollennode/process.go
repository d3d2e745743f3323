package pollennode

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"

	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenmetric"
	"pollenstep.example/pollenstep/pollenpeer"
	"pollenstep.example/pollenstep/pollenrecord"
	"pollenstep.example/pollenstep/pollenstore"
)

// A Process runs a Balancer or a Gate with sockets, signals and timers.
type Process struct {
	settings Settings
	log      *pollenrecord.Logger
	metrics  *pollenmetric.Set
	sockets  *sockets
	group    run.Group
	// reloads are called when the settings have changed.
	reloads []func(now time.Time)
	// stops are called in order at the start of a planned stop.
	stops []func()
}

// NewBalancerProcess returns a new Process that runs a Balancer, with its sockets
// open. The cause of errors about settings is ErrSettings.
func NewBalancerProcess(now time.Time, s Settings) (*Process, *Balancer, error) {
	if err := s.checkBalancer(); err != nil {
		return nil, nil, err
	}
	var b *Balancer
	p, deps, err := newProcess(s, pollenpeer.RoleBalancer, s.Callers, func() map[string]pollenmetric.Gauge { return b.gauges() })
	if err != nil {
		return nil, nil, err
	}
	b = NewBalancer(now, s, deps)
	p.serve(b, b.HandleCallerPacket)
	if b.control != nil {
		p.AddActor("control", b.control.serve)
		p.AddActor("checkpoints", b.ServeCheckpoints)
	}
	p.addTicker("beats", TickInterval, b.Tick)
	if b.BatchesSearches() {
		p.addTicker("searches", SearchTickInterval, b.TickSearches)
	}
	p.stops = append(p.stops, func() {
		b.Leave(time.Now())
		time.Sleep(unreadyServeTime)
	})
	return p, b, nil
}

// NewGateProcess returns a new Process that runs a Gate, with its sockets open. The
// cause of errors about settings is ErrSettings.
func NewGateProcess(now time.Time, s Settings) (*Process, *Gate, error) {
	if err := s.checkGate(); err != nil {
		return nil, nil, err
	}
	var g *Gate
	p, deps, err := newProcess(s, pollenpeer.RoleGate, s.Outbound, func() map[string]pollenmetric.Gauge { return g.gauges() })
	if err != nil {
		return nil, nil, err
	}
	g = NewGate(now, s, deps)
	p.serve(g, g.HandleServerPacket)
	p.addTicker("beats", TickInterval, g.Tick)
	p.stops = append(p.stops, func() {
		g.Leave(time.Now())
		time.Sleep(leaveDelay)
	})
	return p, g, nil
}

// newProcess returns a new Process and the dependencies of its program, with the
// socket for packets of flows at the address. The gauges are called whenever the
// metrics are read.
func newProcess(
	s Settings, role pollenpeer.Role, address netip.AddrPort, gauges func() map[string]pollenmetric.Gauge,
) (*Process, Dependencies, error) {
	p := &Process{
		settings: s, log: pollenrecord.New(os.Stdout, s.Level, pollenrecord.Fields{"process": s.Name}),
	}
	names := map[string]pollenmetric.Gauge{}
	for _, name := range []string{"revision", "flows", "running", "left"} {
		names[name] = func() int64 {
			if read, ok := gauges()[name]; ok {
				return read()
			}
			return 0
		}
	}
	var err error
	if p.metrics, err = pollenmetric.NewSet(string(role), s.Name, names); err != nil {
		return nil, Dependencies{}, err
	}
	if p.sockets, err = openSockets(&s, address, p.metrics); err != nil {
		return nil, Dependencies{}, err
	}
	return p, Dependencies{
		Transport: p.sockets, Metrics: p.metrics, Log: p.log, Files: pollenstore.Disk{}, Seed: rand.Uint64(),
	}, nil
}

// serve passes what the sockets receive to the program.
func (p *Process) serve(handler pollenlink.Handler, handlePacket func(now time.Time, datagram []byte)) {
	p.AddActor("nodes", func(ctx context.Context) error { return p.sockets.link.Serve(ctx, handler) })
	p.AddActor("packets", func(ctx context.Context) error { return servePackets(ctx, p.sockets.packets, handlePacket) })
}

// servePackets reads packets of flows until the context ends. Each packet begins
// at offset pollenlink.HeaderSize of the buffer, so that a header can be put
// before it without copying.
func servePackets(ctx context.Context, conn *net.UDPConn, handle func(now time.Time, datagram []byte)) error {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	buffer := make([]byte, pollenlink.BufferSize)
	for {
		n, _, err := conn.ReadFromUDPAddrPort(buffer[pollenlink.HeaderSize:])
		if err != nil {
			if ctx.Err() != nil {
				return nil
			}
			if errors.Is(err, net.ErrClosed) {
				return errors.Wrap(err, "read packets of flows")
			}
			// A datagram sent earlier was refused by its receiver; the socket stays
			// usable.
			continue
		}
		handle(time.Now(), buffer[:pollenlink.HeaderSize+n])
	}
}

// AddActor adds an actor that runs until its context ends. The process stops when
// any actor returns. AddActor must be called before Run.
func (p *Process) AddActor(name string, actor func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	p.group.Add(func() error { return errors.Wrap(actor(ctx), name) }, func(error) { cancel() })
}

// AddHTTP adds an HTTP server for the handler, which runs until the process stops.
// It returns an error if it cannot listen at the address. name appears in errors.
func (p *Process) AddHTTP(name string, address netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return errors.Wrapf(err, "listen for %s", name)
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes,
	}
	p.group.Add(func() error {
		return errors.Wrap(server.Serve(listener), name)
	}, func(error) { _ = server.Close() })
	return nil
}

// Limits on HTTP requests, so that slow or silent clients do not hold resources
// for long. maxHeaderBytes is in bytes.
const (
	readHeaderTimeout = 2 * time.Second
	readTimeout       = 5 * time.Second
	idleTimeout       = 30 * time.Second
	maxHeaderBytes    = 16 << 10
)

// addTicker adds an actor that calls step at the interval until the process stops.
func (p *Process) addTicker(name string, interval time.Duration, step func(now time.Time)) {
	p.AddActor(name, func(ctx context.Context) error {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return nil
			case <-ticker.C:
				step(time.Now())
			}
		}
	})
}

// OnReload registers a function that is called on SIGHUP, when the settings have
// changed. It must be called before Run.
func (p *Process) OnReload(reload func(now time.Time)) { p.reloads = append(p.reloads, reload) }

// errStopped ends the run group after a planned stop.
var errStopped = errors.New("planned stop")

// logFlushTimeout is how long a stop waits until the last log lines are written.
const logFlushTimeout = 100 * time.Millisecond

// Run runs the process. It returns nil after a planned stop, and the error of the
// actor if one fails.
func (p *Process) Run() error {
	p.AddActor("signals", p.handleSignals)
	if p.settings.Metrics.IsValid() {
		if err := p.AddHTTP("metrics", p.settings.Metrics, p.metrics.Handler()); err != nil {
			// Metrics are optional: a process that did not start because of them would
			// serve nobody.
			p.log.Warn("cannot listen for metrics; running without metrics", err, pollenrecord.Fields{"address": p.settings.Metrics})
		}
	}
	p.log.Info("started", pollenrecord.Fields{
		"node": p.settings.Node, "domain": p.settings.Domain, "service": p.settings.Service,
		"seeds": p.settings.Seeds, "first": p.settings.FirstStart, "data": p.settings.DataFolder,
	})
	err := p.group.Run()
	if errors.Is(err, errStopped) {
		err = nil
	}
	if err != nil {
		p.log.Warn("stopped after a failure", err, nil)
	} else {
		p.log.Info("stopped", nil)
	}
	p.log.Close(logFlushTimeout)
	return err
}

// handleSignals starts a planned stop on SIGTERM and SIGINT, and a reload of the
// settings on SIGHUP.
func (p *Process) handleSignals(ctx context.Context) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-signals:
			if s == syscall.SIGHUP {
				for _, reload := range p.reloads {
					reload(time.Now())
				}
				continue
			}
			p.log.Info("planned stop started", pollenrecord.Fields{"signal": s.String()})
			for _, stop := range p.stops {
				stop()
			}
			return errStopped
		}
	}
}
