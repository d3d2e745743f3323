// Package pollenprocess holds what the shells of all roles share: the datagram
// socket, calls, keys, metrics, health, signals and the member loop.
package pollenprocess

import (
	"context"
	"crypto/rand"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"pollenstep.example/pollenstep/pollencall"
	"pollenstep.example/pollenstep/pollenkey"
	"pollenstep.example/pollenstep/pollenmetric"
	"pollenstep.example/pollenstep/pollensettings"
)

// A Base is the shared part of a process.
type Base struct {
	Settings *pollensettings.Settings
	Log      *logrus.Entry
	Metrics  *pollenmetric.Set
	Ring     *pollenkey.Keyring
	Socket   *Socket
	Client   *pollencall.Client

	listener net.Listener
	group    run.Group
	ready    atomic.Bool
	alive    atomic.Bool
	// stops run in order when a planned stop begins.
	stops []func(ctx context.Context)
}

// NewBase returns a new Base with its sockets open.
func NewBase(s *pollensettings.Settings, gauges map[string]pollenmetric.Gauge) (*Base, error) {
	b := &Base{Settings: s, Log: NewLog(s)}
	var err error
	if b.Ring, err = pollenkey.Load(s.Keys); err != nil {
		return nil, err
	}
	if b.Metrics, err = pollenmetric.NewSet(string(s.Role), string(s.Name), gauges); err != nil {
		return nil, err
	}
	if b.Socket, err = OpenSocket(s.Address, b.Ring.Datagram(), b.Metrics); err != nil {
		return nil, err
	}
	if b.listener, err = net.Listen("tcp", s.Address.String()); err != nil {
		return nil, errors.Wrap(err, "listen for calls")
	}
	b.Client = pollencall.NewClient(b.Ring.ClientTLS)
	b.alive.Store(true)
	return b, nil
}

// NewLog returns a new log with the level and format of the settings.
func NewLog(s *pollensettings.Settings) *logrus.Entry {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	if s.LogFormat == pollensettings.LogJSON {
		log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	} else {
		log.SetFormatter(&logrus.TextFormatter{FullTimestamp: true, DisableColors: true, TimestampFormat: time.RFC3339Nano})
	}
	if level, err := logrus.ParseLevel(string(s.LogLevel)); err == nil {
		log.SetLevel(level)
	}
	return log.WithFields(logrus.Fields{"role": s.Role, "process": s.Name})
}

// Add runs an actor until the context ends; the process stops when any actor
// returns.
func (b *Base) AddActor(name string, actor func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	b.group.Add(func() error {
		return errors.Wrap(actor(ctx), name)
	}, func(error) { cancel() })
}

// Every runs step at the interval until the process stops.
func (b *Base) AddTicker(name string, interval time.Duration, step func(now time.Time)) {
	b.AddActor(name, func(ctx context.Context) error {
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

// OnStop runs stop when a planned stop begins, after those added before. The
// context ends when the time for it is over.
func (b *Base) OnStop(stop func(ctx context.Context)) { b.stops = append(b.stops, stop) }

// SetReady says whether the process serves.
func (b *Base) SetReady(ready bool) {
	if b.ready.Swap(ready) != ready {
		b.Log.WithField("ready", ready).Info("readiness changed")
	}
}

// Ready reports whether the process serves.
func (b *Base) Ready() bool { return b.ready.Load() }

// errStopped ends the run group after a planned stop.
var errStopped = errors.New("planned stop")

// Run serves calls until a planned stop has finished or an actor fails.
func (b *Base) Run(handlers map[pollencall.Method]pollencall.Handler) error {
	server := pollencall.NewServer(b.Ring.Server(), handlers)
	b.AddActor("calls", func(ctx context.Context) error { return server.Serve(ctx, b.listener) })
	b.AddActor("datagrams", func(ctx context.Context) error { return b.Socket.Serve(ctx) })
	b.AddActor("signals", b.watchSignals)
	if b.Settings.Admin.IsValid() {
		b.addAdmin()
	}
	b.Log.WithField("address", b.Settings.Address).Info("started")
	err := b.group.Run()
	_ = b.Client.Close()
	if errors.Is(err, errStopped) {
		b.Log.Info("stopped")
		return nil
	}
	return err
}

func (b *Base) addAdmin() {
	mux := http.NewServeMux()
	mux.Handle("/metrics", b.Metrics.Handler())
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { answerHealth(w, b.alive.Load()) })
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) { answerHealth(w, b.ready.Load()) })
	const headerTimeout = 5 * time.Second
	server := &http.Server{Addr: b.Settings.Admin.String(), Handler: mux, ReadHeaderTimeout: headerTimeout}
	b.group.Add(func() error {
		return errors.Wrap(server.ListenAndServe(), "admin")
	}, func(error) { _ = server.Close() })
}

func answerHealth(w http.ResponseWriter, ok bool) {
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("no\n"))
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// watchSignals turns SIGTERM and SIGINT into a planned stop and SIGHUP into a
// reload of the keys.
func (b *Base) watchSignals(ctx context.Context) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-signals:
			if s != syscall.SIGHUP {
				b.stop()
				return errStopped
			}
			b.reload()
		}
	}
}

func (b *Base) stop() {
	b.Log.Info("planned stop begins")
	limit := b.Settings.DrainTimeout
	if limit == 0 {
		limit = time.Second
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	b.SetReady(false)
	for _, stop := range b.stops {
		stop(ctx)
	}
}

func (b *Base) reload() {
	if err := b.Ring.Reload(); err != nil {
		b.Log.WithError(err).Error("keys not reloaded; the old ones stay in force")
		return
	}
	if err := b.Socket.SetKeys(b.Ring.Datagram()); err != nil {
		b.Log.WithError(err).Error("datagram keys not reloaded; the old ones stay in force")
		return
	}
	b.Log.Info("keys reloaded; other settings need a restart")
}

// drawPrefix draws the nonce prefix of a Sealer.
func drawPrefix() (prefix [6]byte) {
	// crypto/rand.Read never fails on the supported systems.
	_, _ = rand.Read(prefix[:])
	return prefix
}
