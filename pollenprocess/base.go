// Package pollenprocess implements what the processes of all roles share: the
// datagram socket, calls, keys, metrics, health checks, signal handling and
// cluster membership.
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

// A Base is the part that the processes of all roles share. Actors, tickers and
// stop hooks must be added before Run.
type Base struct {
	Settings *pollensettings.Settings
	Log      *logrus.Entry
	Metrics  *pollenmetric.Set
	Keyring  *pollenkey.Keyring
	Socket   *Socket
	Client   *pollencall.Client

	listener net.Listener
	group    run.Group
	ready    atomic.Bool
	alive    atomic.Bool
	// stopHooks run in order when a planned stop starts.
	stopHooks []func(ctx context.Context)
}

// NewBase returns a new Base with its sockets open and the gauges registered
// under their names. It fails when the keys cannot be loaded or an address is in
// use.
func NewBase(s *pollensettings.Settings, gauges map[string]pollenmetric.Gauge) (*Base, error) {
	b := &Base{Settings: s, Log: NewLog(s)}
	var err error
	if b.Keyring, err = pollenkey.Load(s.Keys); err != nil {
		return nil, err
	}
	if b.Metrics, err = pollenmetric.NewSet(string(s.Role), string(s.Name), gauges); err != nil {
		return nil, err
	}
	if b.Socket, err = OpenSocket(s.Address, b.Keyring.DatagramKeys(), b.Metrics); err != nil {
		return nil, err
	}
	if b.listener, err = net.Listen("tcp", s.Address.String()); err != nil {
		return nil, errors.Wrap(err, "listen for calls")
	}
	b.Client = pollencall.NewClient(b.Keyring.ClientTLS)
	b.alive.Store(true)
	return b, nil
}

// NewLog returns a new log that writes to standard error with the level and
// format of the settings.
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

// AddActor adds a function that Run runs until the context ends. The process stops
// when any actor returns; the name is put before the actor's error.
func (b *Base) AddActor(name string, actor func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	b.group.Add(func() error {
		return errors.Wrap(actor(ctx), name)
	}, func(error) { cancel() })
}

// AddTicker adds an actor that calls step at the interval until the process stops.
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

// OnStop adds a function that runs when a planned stop starts, after the functions
// added before. The context, which all of them share, ends after the settings' drain
// timeout, or after one second if that is zero.
func (b *Base) OnStop(stop func(ctx context.Context)) { b.stopHooks = append(b.stopHooks, stop) }

// SetReady sets whether the process is ready to serve and logs each change.
func (b *Base) SetReady(ready bool) {
	if b.ready.Swap(ready) != ready {
		b.Log.WithField("ready", ready).Info("readiness changed")
	}
}

// Ready reports whether the process is ready to serve.
func (b *Base) Ready() bool { return b.ready.Load() }

// errStopped makes the run group end after a planned stop.
var errStopped = errors.New("planned stop")

// Run serves calls and runs the actors. It returns nil after a planned stop, or
// else the error of the actor that failed.
func (b *Base) Run(handlers map[pollencall.Method]pollencall.Handler) error {
	server := pollencall.NewServer(b.Keyring.ServerTLS(), handlers)
	b.AddActor("calls", func(ctx context.Context) error { return server.Serve(ctx, b.listener) })
	b.AddActor("datagrams", func(ctx context.Context) error { return b.Socket.Serve(ctx) })
	b.AddActor("signals", b.handleSignals)
	if b.Settings.Admin.IsValid() {
		b.addAdminServer()
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

func (b *Base) addAdminServer() {
	mux := http.NewServeMux()
	mux.Handle("/metrics", b.Metrics.Handler())
	mux.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { writeHealth(w, b.alive.Load()) })
	mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) { writeHealth(w, b.ready.Load()) })
	const readHeaderTimeout = 5 * time.Second
	server := &http.Server{Addr: b.Settings.Admin.String(), Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
	b.group.Add(func() error {
		return errors.Wrap(server.ListenAndServe(), "admin")
	}, func(error) { _ = server.Close() })
}

func writeHealth(w http.ResponseWriter, ok bool) {
	if !ok {
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte("no\n"))
		return
	}
	_, _ = w.Write([]byte("ok\n"))
}

// handleSignals starts a planned stop on SIGTERM or SIGINT and reloads the keys on
// SIGHUP.
func (b *Base) handleSignals(ctx context.Context) error {
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

// stop makes the process unready and runs the stop hooks.
func (b *Base) stop() {
	b.Log.Info("planned stop started")
	limit := b.Settings.DrainTimeout
	if limit == 0 {
		limit = time.Second
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	b.SetReady(false)
	for _, stop := range b.stopHooks {
		stop(ctx)
	}
}

// reload loads the keys of the files again.
func (b *Base) reload() {
	if err := b.Keyring.Reload(); err != nil {
		b.Log.WithError(err).Error("cannot reload keys; the old keys stay in use")
		return
	}
	if err := b.Socket.SetKeys(b.Keyring.DatagramKeys()); err != nil {
		b.Log.WithError(err).Error("cannot reload datagram keys; the old keys stay in use")
		return
	}
	b.Log.Info("keys reloaded; other settings change only on restart")
}

// newNoncePrefix returns a random nonce prefix for a Sealer.
func newNoncePrefix() (prefix [6]byte) {
	// crypto/rand.Read never fails on the supported systems.
	_, _ = rand.Read(prefix[:])
	return prefix
}
