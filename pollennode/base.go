package pollennode

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/oklog/run"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"pollenstep.example/pollenstep/pollenkernel"
	"pollenstep.example/pollenstep/pollenlink"
	"pollenstep.example/pollenstep/pollenmetric"
	"pollenstep.example/pollenstep/pollenpeer"
	"pollenstep.example/pollenstep/pollenrecord"
	"pollenstep.example/pollenstep/pollenview"
	"pollenstep.example/pollenstep/pollenwire"
)

// A base is what both programs share.
type base struct {
	settings Settings
	record   *pollenrecord.Recorder
	metrics  *pollenmetric.Set
	link     *pollenlink.Link
	group    run.Group
	began    time.Time

	// mu guards the fields below and the decisions of the program.
	mu    sync.Mutex
	table *pollenpeer.Table
	view  *pollenview.Replica
	// updated holds when each peer was last sent an update.
	updated map[netip.AddrPort]time.Time
	// reloads run when the settings have changed.
	reloads []func(now time.Time)
	// stops run in order when a planned stop begins.
	stops []func()
}

func newBase(now time.Time, s Settings, self pollenpeer.Peer, gauges map[string]pollenmetric.Gauge) (*base, error) {
	self.Address, self.Domain = s.Node, s.Domain
	self.Incarnation = rand.Uint64() | 1
	b := &base{
		settings: s, began: now,
		record: pollenrecord.New(os.Stdout, s.Level, pollenrecord.Fields{"process": s.Name}),
		table:  pollenpeer.NewTable(self, s.Seeds),
		view:   pollenview.NewReplica(pollenview.NewView()), updated: map[netip.AddrPort]time.Time{},
	}
	var err error
	if b.metrics, err = pollenmetric.NewSet(string(self.Role), s.Name, gauges); err != nil {
		return nil, err
	}
	if b.link, err = pollenlink.Open(s.Node); err != nil {
		return nil, err
	}
	b.link.OnLost = func(netip.AddrPort, error) { b.metrics.Count(pollenmetric.EventSendFailed, 1) }
	return b, nil
}

// Add runs an actor until the context ends; the process stops when any actor
// returns.
func (b *base) Add(name string, actor func(ctx context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	b.group.Add(func() error { return errors.Wrap(actor(ctx), name) }, func(error) { cancel() })
}

// AddHTTP serves a handler until the process stops.
func (b *base) AddHTTP(name string, address netip.AddrPort, handler http.Handler) error {
	listener, err := net.Listen("tcp4", address.String())
	if err != nil {
		return errors.Wrapf(err, "listen for %s", name)
	}
	server := &http.Server{
		Handler: handler, ReadHeaderTimeout: headerTimeout, ReadTimeout: bodyTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeader,
	}
	b.group.Add(func() error {
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
func (b *base) every(name string, interval time.Duration, step func(now time.Time)) {
	b.Add(name, func(ctx context.Context) error {
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
func (b *base) OnReload(reload func(now time.Time)) { b.reloads = append(b.reloads, reload) }

// SetSeeds replaces the seeds, after the settings have changed.
func (b *base) SetSeeds(seeds []netip.AddrPort) {
	b.mu.Lock()
	b.table.SetSeeds(seeds)
	b.mu.Unlock()
	b.record.Change("settings reloaded", pollenrecord.Fields{"seeds": seeds})
}

// Recorder returns the log of the process.
func (b *base) Recorder() *pollenrecord.Recorder { return b.record }

// errStopped ends the run group after a planned stop.
var errStopped = errors.New("planned stop")

// logFlush is how long a stop waits for its last log lines.
const logFlush = 100 * time.Millisecond

// run serves until a planned stop has finished or an actor fails.
func (b *base) run(handler pollenlink.Handler) error {
	b.Add("nodes", func(ctx context.Context) error { return b.link.Serve(ctx, handler) })
	b.Add("signals", b.watchSignals)
	if b.settings.Metrics.IsValid() {
		if err := b.AddHTTP("metrics", b.settings.Metrics, b.metrics.Handler()); err != nil {
			// A process without metrics serves; one that does not start does not.
			b.record.Fault("metrics are not served", err, pollenrecord.Fields{"address": b.settings.Metrics})
		}
	}
	b.record.Change("started", pollenrecord.Fields{
		"node": b.settings.Node, "domain": b.settings.Domain, "service": b.settings.Service,
		"seeds": b.settings.Seeds, "first": b.settings.First, "data": b.settings.Data,
	})
	err := b.group.Run()
	if errors.Is(err, errStopped) {
		err = nil
	}
	if err != nil {
		b.record.Fault("stopped by a failure", err, nil)
	} else {
		b.record.Change("stopped", nil)
	}
	b.record.Close(logFlush)
	return err
}

// watchSignals turns SIGTERM and SIGINT into a planned stop and SIGHUP into a
// reload.
func (b *base) watchSignals(ctx context.Context) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-ctx.Done():
			return nil
		case s := <-signals:
			if s == syscall.SIGHUP {
				for _, reload := range b.reloads {
					reload(time.Now())
				}
				continue
			}
			b.record.Change("planned stop begins", pollenrecord.Fields{"signal": s.String()})
			for _, stop := range b.stops {
				stop()
			}
			return errStopped
		}
	}
}

// take decodes a message, or counts and logs that it is malformed.
func take[T any](b *base, from netip.AddrPort, kind pollenlink.Kind, message []byte, mapping func(*pollenwire.Codec, *T)) (value T, ok bool) {
	if err := pollenwire.Unmarshal(message, &value, mapping); err != nil {
		b.malformed(from, len(message), string(kind))
		return value, false
	}
	return value, true
}

// malformed counts bytes that are nothing that this process takes.
func (b *base) malformed(from netip.AddrPort, size int, what string) {
	b.metrics.Refused(pollenkernel.RefusalMalformed)
	if b.record.Wants(time.Now()) {
		b.record.Decision("malformed datagram ignored", pollenrecord.Fields{"from": from, "size": size, "what": what})
	}
}

// TakeGarbage implements pollenlink.Handler.
func (b *base) TakeGarbage(from netip.AddrPort, size int) { b.malformed(from, size, "unknown kind") }

// sendBeat sends this process's beat. The lock is held.
func (b *base) sendBeat(to netip.AddrPort, beat *pollenpeer.Beat) {
	b.link.SendMessage(to, pollenlink.KindBeat, pollenwire.Marshal(beat, pollenwire.MapBeat))
}

// sendUpdate brings a peer's view forward, unless it was just sent one. The
// lock is held.
func (b *base) sendUpdate(now time.Time, p *pollenpeer.Peer) {
	if p.Revision >= b.view.Revision() || now.Sub(b.updated[p.Address]) < catchUpInterval {
		return
	}
	b.updated[p.Address] = now
	update := b.view.Since(p.Revision)
	b.link.SendMessage(p.Address, pollenlink.KindUpdate, pollenwire.Marshal(&update, pollenwire.MapUpdate))
}

// accept folds an update into the view and reports whether it moved. The lock
// is held.
func (b *base) accept(u pollenview.Update, from netip.AddrPort) bool {
	before := b.view.View().Declared.Version
	emptied := b.view.View().Emptied
	had := b.view.Revision()
	if !b.view.Accept(u) {
		return false
	}
	v := b.view.View()
	b.table.Self().Revision = v.Revision
	b.metrics.Count(pollenmetric.EventViewChanged, 1)
	if v.Declared.Version != before || len(emptied) != len(v.Emptied) {
		b.record.Change("view moved forward", pollenrecord.Fields{
			"from": from, "had": had, "revision": v.Revision, "document": v.Declared.Summary(), "emptied": v.Emptied,
		})
	}
	return true
}

// logPeer tells that a peer was found, came back or changed its state.
func (b *base) logPeer(change pollenpeer.Change, p *pollenpeer.Peer) {
	if change == pollenpeer.ChangeNone || !b.record.Wants(time.Now()) {
		return
	}
	b.record.Change("peer "+string(change), peerFields(p))
}

func peerFields(p *pollenpeer.Peer) logrus.Fields {
	f := logrus.Fields{
		"peer": p.Address, "role": p.Role, "domain": p.Domain, "incarnation": p.Incarnation,
		"sequence": p.Sequence, "revision": p.Revision, "leaving": p.Leaving,
	}
	if p.Role == pollenpeer.RoleGate {
		f["service"], f["state"], f["cold"], f["running"] = p.Server.Service, p.Server.State, p.Server.Cold, p.Server.Running
	}
	return f
}
