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

// backend holds the addresses and the start stamp that the backend server last
// announced.
type backend struct {
	datagramAddress netip.AddrPort
	requestAddress  netip.AddrPort
	startStamp      string
}

// An Announcement is the JSON body that a backend server posts to its agent
// every second, at the path /announce. All fields but the two addresses are
// required.
type Announcement struct {
	// Service is the service that the backend server belongs to.
	Service string `json:"service"`
	// DatagramAddress is the UDP address (IP:port) for relay delivery.
	DatagramAddress string `json:"datagrams"`
	// RequestAddress is the HTTP address (IP:port) for http delivery.
	RequestAddress string `json:"requests"`
	// StartStamp identifies one start of the backend server; it differs after
	// each restart.
	StartStamp string `json:"start"`
	// State is "active" or "draining".
	State string `json:"state"`
}

// maxAnnouncementSize limits the body of an announcement, in bytes.
const maxAnnouncementSize = 4096

// addAnnouncementServer adds the HTTP server that receives the backend server's
// announcements.
func (a *Sidecar) addAnnouncementServer() {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /announce", a.handleAnnouncement)
	const readHeaderTimeout = 5 * time.Second
	server := &http.Server{Addr: a.base.Settings.Announce.String(), Handler: mux, ReadHeaderTimeout: readHeaderTimeout}
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

func (a *Sidecar) handleAnnouncement(w http.ResponseWriter, r *http.Request) {
	var wire Announcement
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncementSize))
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

// backend checks the announcement and returns the part that the agent stores. It
// fails on an invalid address, an unknown state or a missing service or start.
func (w Announcement) backend() (backend, error) {
	b := backend{startStamp: w.StartStamp}
	var err error
	if b.datagramAddress, err = parseOptionalAddress(w.DatagramAddress); err != nil {
		return b, errors.Wrapf(err, "field datagrams: value %q", w.DatagramAddress)
	}
	if b.requestAddress, err = parseOptionalAddress(w.RequestAddress); err != nil {
		return b, errors.Wrapf(err, "field requests: value %q", w.RequestAddress)
	}
	if w.Service == "" || w.StartStamp == "" {
		return b, errors.New("fields service and start are required")
	}
	if w.State != string(pollendocument.ServerActive) && w.State != string(pollendocument.ServerDraining) {
		return b, errors.Errorf("field state: value %q: allowed: active, draining", w.State)
	}
	return b, nil
}

// parseOptionalAddress parses an IP:port; an empty text gives the zero address.
func parseOptionalAddress(text string) (netip.AddrPort, error) {
	if text == "" {
		return netip.AddrPort{}, nil
	}
	return netip.ParseAddrPort(text)
}

// applyAnnouncement updates the service, the start stamp and the state from a
// valid announcement, then announces the agent. The lock is held.
func (a *Sidecar) applyAnnouncement(
	now time.Time, service pollendocument.ServiceName, b backend, state pollendocument.ServerState,
) {
	a.announcedAt = now
	a.backend = b
	if a.flows == nil || a.self.Service != service {
		a.startService(now, service)
	}
	if a.limiter.ObserveStart(now, b.startStamp) {
		a.base.Metrics.CountEvent(pollenmetric.EventBackendCold, 1)
		a.base.Log.WithField("start", b.startStamp).Info("backend server restarted; treating it as cold")
	}
	if a.self.State != state {
		a.self.State = state
		a.base.Log.WithField("state", state).Info("backend server state changed")
	}
	a.announce(now)
}

// expireAnnouncement drains a backend server that has sent no announcement
// within announceLease. The lock is held.
func (a *Sidecar) expireAnnouncement(now time.Time) {
	if a.announcedAt.IsZero() || now.Sub(a.announcedAt) < announceLease || a.self.State == pollendocument.ServerDraining {
		return
	}
	a.self.State = pollendocument.ServerDraining
	a.base.Log.Warnf("no announcement from backend server for %s; draining it", announceLease)
	a.announce(now)
}

// stopping reports whether a planned stop has started. The lock is held.
func (a *Sidecar) stopping() bool { return a.flows != nil && a.flows.Stopping() }

// stop drains the agent for a planned stop. It refuses new work, waits until
// another agent receives that work and holds the claims, finishes the open
// requests and sends the flow records to the backup peers.
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
	a.closeFrontend(ctx)
	a.waitForRequests(ctx)
	a.sendFullBackups(ctx)
	if a.frontend != nil {
		// HTTP/3 connections end with the process, so a restart has no flows to
		// restore and the lease can be released at once.
		a.membership.Step(time.Now(), pollenmember.Leave{})
	}
}

// mayLeave reports whether the view no longer lists the agent as active and its
// ledger replica has moved to another agent. When no other agent of the service
// takes new work, the replica cannot move and the agent does not wait for that.
// The lock is held.
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
		if r == a.memberRef() {
			return false
		}
	}
	return true
}

// waitForRequests returns when no request is open or the context ends.
func (a *Sidecar) waitForRequests(ctx context.Context) {
	const pollInterval = 10 * time.Millisecond
	for ctx.Err() == nil {
		a.membership.Lock()
		open := a.requests.Len()
		a.membership.Unlock()
		if open == 0 {
			return
		}
		time.Sleep(pollInterval)
	}
}
