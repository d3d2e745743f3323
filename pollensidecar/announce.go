package pollensidecar

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"pollenstep.example/pollenstep/pollendocument"
	"pollenstep.example/pollenstep/pollenmember"
	"pollenstep.example/pollenstep/pollenmetric"
	"pollenstep.example/pollenstep/pollenrequest"
	"pollenstep.example/pollenstep/pollenview"
)

// backend is what the backend server last announced.
type backend struct {
	datagrams netip.AddrPort
	requests  netip.AddrPort
	stamp     string
}

// Announcement is the JSON body that a backend server posts to its agent every
// second, at the path /announce.
type Announcement struct {
	// Service is the service that the backend server belongs to.
	Service string `json:"service"`
	// Datagrams is its UDP address, for relay delivery.
	Datagrams string `json:"datagrams"`
	// Requests is its HTTP address, for http delivery.
	Requests string `json:"requests"`
	// Start tells one start of it from every other.
	Start string `json:"start"`
	// State is active or draining.
	State string `json:"state"`
}

const maxAnnouncement = 4096

// addAnnounce serves the address at which the backend server announces itself.
func (a *Sidecar) addAnnounce() {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /announce", a.takeAnnouncement)
	const headerTimeout = 5 * time.Second
	server := &http.Server{Addr: a.base.Settings.Announce.String(), Handler: mux, ReadHeaderTimeout: headerTimeout}
	a.base.AddActor("announce", func(ctx context.Context) error {
		stop := context.AfterFunc(ctx, func() { _ = server.Close() })
		defer stop()
		err := server.ListenAndServe()
		if ctx.Err() != nil {
			return nil
		}
		return errors.Wrap(err, "listen for announcements")
	})
}

func (a *Sidecar) takeAnnouncement(w http.ResponseWriter, r *http.Request) {
	var wire Announcement
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&wire); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b, err := wire.backend()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	a.membership.Lock()
	defer a.membership.Unlock()
	a.applyAnnouncement(time.Now(), pollendocument.ServiceName(wire.Service), b, pollendocument.ServerState(wire.State))
	w.WriteHeader(http.StatusNoContent)
}

func (w Announcement) backend() (backend, error) {
	b := backend{stamp: w.Start}
	var err error
	if b.datagrams, err = optionalAddress(w.Datagrams); err != nil {
		return b, errors.Wrap(err, "field datagrams")
	}
	if b.requests, err = optionalAddress(w.Requests); err != nil {
		return b, errors.Wrap(err, "field requests")
	}
	if w.Service == "" || w.Start == "" {
		return b, errors.New("fields service and start are required")
	}
	if w.State != string(pollendocument.ServerActive) && w.State != string(pollendocument.ServerDraining) {
		return b, errors.Errorf("field state: value %q: allowed: active, draining", w.State)
	}
	return b, nil
}

func optionalAddress(text string) (netip.AddrPort, error) {
	if text == "" {
		return netip.AddrPort{}, nil
	}
	return netip.ParseAddrPort(text)
}

// applyAnnouncement follows what the backend server says of itself. The lock
// is held.
func (a *Sidecar) applyAnnouncement(
	now time.Time, service pollendocument.ServiceName, b backend, state pollendocument.ServerState,
) {
	a.announced = now
	a.backend = b
	if a.flows == nil || a.self.Service != service {
		a.adopt(now, service)
	}
	if a.limiter.ObserveStart(now, b.stamp) {
		a.base.Metrics.CountEvent(pollenmetric.EventBackendCold, 1)
		a.base.Log.WithField("start", b.stamp).Info("backend server restarted; cold again")
	}
	if a.self.State != state {
		a.self.State = state
		a.base.Log.WithField("state", state).Info("backend server changed its state")
	}
	a.announce(now)
}

// expireAnnouncement stops giving work to a backend server that has fallen
// silent. The lock is held.
func (a *Sidecar) expireAnnouncement(now time.Time) {
	if a.announced.IsZero() || now.Sub(a.announced) < announceLease || a.self.State == pollendocument.ServerDraining {
		return
	}
	a.self.State = pollendocument.ServerDraining
	a.base.Log.Warn("backend server is silent; no new work")
	a.announce(now)
}

// stopping reports whether a planned stop has begun. The lock is held.
func (a *Sidecar) stopping() bool { return a.flows != nil && a.flows.Stopping() }

// stop drains the agent: no new work, records to the keepers, claims to the
// next ledger replica, then the open requests.
func (a *Sidecar) stop(ctx context.Context) {
	a.membership.Lock()
	if a.flows == nil {
		a.membership.Unlock()
		return
	}
	now := time.Now()
	a.flows.Drain()
	a.stepRequests(now, pollenrequest.Stop{})
	a.announce(now)
	a.membership.Unlock()

	a.membership.WaitFor(ctx, func(view *pollenview.View) bool { return a.mayLeave(view) })
	a.closeFront(ctx)
	a.waitRequests(ctx)
	a.handOver(ctx)
	if a.front != nil {
		// Nothing is left that a restart could take back.
		a.membership.Step(time.Now(), pollenmember.Leave{})
	}
}

// mayLeave reports whether no new work comes here any more and the claims are
// held elsewhere. The lock is held.
func (a *Sidecar) mayLeave(view *pollenview.View) bool {
	self, ok := view.Members[a.self.Name]
	if ok && self.State != pollendocument.ServerDraining {
		return false
	}
	others := 0
	for _, m := range view.Agents(a.self.Service) {
		if m.Name != a.self.Name && view.TakesNewWork(m) {
			others++
		}
	}
	if others == 0 {
		return true
	}
	for _, r := range view.Ledgers[a.self.Service].Replicas {
		if r == a.reference() {
			return false
		}
	}
	return true
}

// waitRequests returns when no request is open or the context ends.
func (a *Sidecar) waitRequests(ctx context.Context) {
	const poll = 10 * time.Millisecond
	for ctx.Err() == nil {
		a.membership.Lock()
		open := a.requests.Len()
		a.membership.Unlock()
		if open == 0 {
			return
		}
		time.Sleep(poll)
	}
}
