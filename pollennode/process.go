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

// A Process runs one program with sockets, signals and timers.
type Process struct {
	settings Settings
	record   *pollenrecord.Logger
	metrics  *pollenmetric.Set
	sockets  *sockets
	group    run.Group
	// reloads run when the settings have changed.
	reloads []func(now time.Time)
	// stops run in order when a planned stop begins.
	stops []func()
}

// NewBalancerProcess returns a new Process that runs a Balancer, with its
// sockets open.
func NewBalancerProcess(now time.Time, s Settings) (*Process, *Balancer, error) {
	if err := s.checkBalancer(); err != nil {
		return nil, nil, err
	}
	var b *Balancer
	p, parts, err := newProcess(s, pollenpeer.RoleBalancer, s.Callers, func() map[string]pollenmetric.Gauge { return b.gauges() })
	if err != nil {
		return nil, nil, err
	}
	b = NewBalancer(now, s, parts)
	p.serve(b, b.HandleCallerPacket)
	if b.control != nil {
		p.Add("control", b.control.serve)
	}
	p.every("beats", TickInterval, b.Tick)
	p.stops = append(p.stops, func() {
		b.Leave(time.Now())
		time.Sleep(lingerTime)
	})
	return p, b, nil
}

// NewGateProcess returns a new Process that runs a Gate, with its sockets open.
func NewGateProcess(now time.Time, s Settings) (*Process, *Gate, error) {
	if err := s.checkGate(); err != nil {
		return nil, nil, err
	}
	var g *Gate
	p, parts, err := newProcess(s, pollenpeer.RoleGate, s.Outbound, func() map[string]pollenmetric.Gauge { return g.gauges() })
	if err != nil {
		return nil, nil, err
	}
	g = NewGate(now, s, parts)
	p.serve(g, g.HandleServerPacket)
	p.every("beats", TickInterval, g.Tick)
	p.stops = append(p.stops, func() {
		g.Leave(time.Now())
		time.Sleep(partTime)
	})
	return p, g, nil
}

// newProcess opens what a program works with. The gauges are read when the
// metrics are.
func newProcess(
	s Settings, role pollenpeer.Role, outer netip.AddrPort, gauges func() map[string]pollenmetric.Gauge,
) (*Process, Dependencies, error) {
	p := &Process{
		settings: s, record: pollenrecord.New(os.Stdout, s.Level, pollenrecord.Fields{"process": s.Name}),
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
	if p.sockets, err = openSockets(&s, outer, p.metrics); err != nil {
		return nil, Dependencies{}, err
	}
	return p, Dependencies{
		Transport: p.sockets, Metrics: p.metrics, Log: p.record, Files: pollenstore.Disk{}, Seed: rand.Uint64(),
	}, nil
}

// serve passes what arrives at the sockets to the program.
func (p *Process) serve(handler pollenlink.Handler, takeOuter func(now time.Time, datagram []byte)) {
	p.Add("nodes", func(ctx context.Context) error { return p.sockets.link.Serve(ctx, handler) })
	p.Add("packets", func(ctx context.Context) error { return serveOuter(ctx, p.sockets.outer, takeOuter) })
}

// serveOuter reads packets of flows until the context ends. Each lies from
// pollenlink.HeaderSize on, so that a header can go before it without a copy.
func serveOuter(ctx context.Context, conn *net.UDPConn, take func(now time.Time, datagram []byte)) error {
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
			// An earlier datagram was refused by its receiver.
			continue
		}
		take(time.Now(), buffer[:pollenlink.HeaderSize+n])
	}
}

// Add runs an actor until the context ends; the process stops when any actor
// returns.
func (p *Process) Add(name string, actor func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	p.group.Add(func() error { return errors.Wrap(actor(ctx), name) }, func(error) { cancel() })
}

// AddHTTP serves a handler until the process stops.
func (p *Process) AddHTTP(name string, address netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return errors.Wrapf(err, "listen for %s", name)
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeader,
	}
	p.group.Add(func() error {
		return errors.Wrap(server.Serve(listener), name)
	}, func(error) { _ = server.Close() })
	return nil
}

// Limits of callers over HTTP, so that slow or silent ones hold nothing for
// long.
const (
	headerTimeout = 2 * time.Second
	bodyTimeout   = 5 * time.Second
	idleTimeout   = 30 * time.Second
	maxHeader     = 16 << 10
)

// every runs step at the interval until the process stops.
func (p *Process) every(name string, interval time.Duration, step func(now time.Time)) {
	p.Add(name, func(ctx context.Context) error {
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

// OnReload runs reload when a signal says that the settings have changed.
func (p *Process) OnReload(reload func(now time.Time)) { p.reloads = append(p.reloads, reload) }

// errStopped ends the run group after a planned stop.
var errStopped = errors.New("planned stop")

// logFlush is how long a stop waits for its last log lines.
const logFlush = 100 * time.Millisecond

// Run serves until a planned stop has finished or an actor fails.
func (p *Process) Run() error {
	p.Add("signals", p.watchSignals)
	if p.settings.Metrics.IsValid() {
		if err := p.AddHTTP("metrics", p.settings.Metrics, p.metrics.Handler()); err != nil {
			// A process without metrics serves; one that does not start does not.
			p.record.Warn("metrics are not served", err, pollenrecord.Fields{"address": p.settings.Metrics})
		}
	}
	p.record.Info("started", pollenrecord.Fields{
		"node": p.settings.Node, "domain": p.settings.Domain, "service": p.settings.Service,
		"seeds": p.settings.Seeds, "first": p.settings.FirstStart, "data": p.settings.DataFolder,
	})
	err := p.group.Run()
	if errors.Is(err, errStopped) {
		err = nil
	}
	if err != nil {
		p.record.Warn("stopped by a failure", err, nil)
	} else {
		p.record.Info("stopped", nil)
	}
	p.record.Close(logFlush)
	return err
}

// watchSignals turns SIGTERM and SIGINT into a planned stop and SIGHUP into a
// reload.
func (p *Process) watchSignals(ctx context.Context) error {
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
			p.record.Info("planned stop begins", pollenrecord.Fields{"signal": s.String()})
			for _, stop := range p.stops {
				stop()
			}
			return errStopped
		}
	}
}
