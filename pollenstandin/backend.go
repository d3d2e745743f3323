// Package pollenstandin provides stand-ins for what surrounds the system: callers,
// backend servers and the network fabric that distributes packets over balancers.
// It is used by the quickstart and by tests, never in production.
package pollenstandin

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// A BackendConfig configures a stand-in backend server.
type BackendConfig struct {
	Name    string
	Service string
	// Prefix is the path prefix of the service's requests. A request with another
	// path counts as CountMisrouted.
	Prefix string
	// Announce is the address at which the agent accepts announcements.
	Announce netip.AddrPort
	// Datagrams and Requests are the addresses on which the backend server listens
	// for feeds and for requests. Datagrams is the zero value for services with
	// http delivery.
	Datagrams netip.AddrPort
	Requests  netip.AddrPort
	// TLS is the configuration for feeds. Requests use plain HTTP.
	TLS *tls.Config
	// Slots is the largest number of concurrent requests; further ones are shed.
	Slots int
	// ColdLimit is the largest number of concurrent requests during a cold start.
	ColdLimit int
	// ColdDuration is the duration of a cold start. A request above ColdLimit during
	// it causes an outage of OutageDuration, in which every request is refused.
	ColdDuration   time.Duration
	OutageDuration time.Duration
	// ServiceTime is how long the execution of a request takes.
	ServiceTime time.Duration
	// FeedInterval is the time between lines of a feed.
	FeedInterval time.Duration
	Tally        *Tally
}

// A Backend is a running stand-in backend server.
type Backend struct {
	config    BackendConfig
	startTime time.Time
	cancel    context.CancelFunc
	group     sync.WaitGroup

	mu              sync.Mutex
	runningRequests int
	outageUntil     time.Time
	draining        bool
}

// StartBackend returns a new Backend that serves requests and announces itself to
// its agent. It fails if one of the addresses is in use.
func StartBackend(config BackendConfig) (*Backend, error) {
	ctx, cancel := context.WithCancel(context.Background())
	b := &Backend{config: config, startTime: time.Now(), cancel: cancel}
	listener, err := net.Listen("tcp", config.Requests.String())
	if err != nil {
		cancel()
		return nil, err
	}
	const headerTimeout = 5 * time.Second
	server := &http.Server{Handler: http.HandlerFunc(b.serveRequest), ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	b.group.Go(func() { _ = server.Serve(listener) })
	if config.Datagrams.IsValid() {
		if err := b.serveFeeds(ctx); err != nil {
			cancel()
			return nil, err
		}
	}
	b.group.Go(func() { b.announce(ctx) })
	return b, nil
}

// Close stops the backend server and waits until its goroutines have ended.
func (b *Backend) Close() {
	b.cancel()
	b.group.Wait()
}

// Drain makes further announcements report that the backend server is draining.
func (b *Backend) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.draining = true
}

func (b *Backend) announce(ctx context.Context) {
	const interval = 300 * time.Millisecond
	for {
		b.postAnnouncement(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}

// postAnnouncement posts the state to the agent once. Errors are ignored, because
// the next announcement follows after the interval.
func (b *Backend) postAnnouncement(ctx context.Context) {
	b.mu.Lock()
	state := "active"
	if b.draining {
		state = "draining"
	}
	body := map[string]string{
		"service": b.config.Service, "requests": b.config.Requests.String(),
		"start": b.startTime.Format(time.RFC3339Nano), "state": state,
	}
	if b.config.Datagrams.IsValid() {
		body["datagrams"] = b.config.Datagrams.String()
	}
	b.mu.Unlock()
	data, err := json.Marshal(body)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.config.Announce.String()+"/announce", bytes.NewReader(data))
	if err != nil {
		return
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

// acquireSlot reports whether a request may run, and takes a slot if so. It
// refuses requests during an outage, above the limit of a cold start, which also
// starts an outage, and when no slot is free.
func (b *Backend) acquireSlot(now time.Time) (ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	cold := now.Sub(b.startTime) < b.config.ColdDuration
	if now.Before(b.outageUntil) {
		return false
	}
	if cold && b.runningRequests >= b.config.ColdLimit {
		b.config.Tally.Add(CountColdOverrun, 1)
		b.outageUntil = now.Add(b.config.OutageDuration)
		return false
	}
	if b.runningRequests >= b.config.Slots {
		b.config.Tally.Add(CountShed, 1)
		return false
	}
	b.runningRequests++
	return true
}

func (b *Backend) releaseSlot() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runningRequests--
}

func (b *Backend) serveRequest(w http.ResponseWriter, r *http.Request) {
	if !hasPrefix(r.URL.Path, b.config.Prefix) {
		b.config.Tally.Add(CountMisrouted, 1)
	}
	if !b.acquireSlot(time.Now()) {
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.releaseSlot()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		b.config.Tally.RecordExecution(key, r.Header.Get("Attempt"))
	}
	select {
	case <-time.After(b.config.ServiceTime):
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Server-Start", b.startTime.Format(time.RFC3339Nano))
	_, _ = fmt.Fprintf(w, "%s %s by %s", r.URL.Path, body, b.config.Name)
}

func hasPrefix(path, prefix string) bool {
	return len(path) >= len(prefix) && path[:len(prefix)] == prefix
}

func (b *Backend) serveFeeds(ctx context.Context) error {
	conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(b.config.Datagrams))
	if err != nil {
		return err
	}
	const idleTimeout = 30 * time.Second
	server := &http3.Server{
		TLSConfig:  http3.ConfigureTLSConfig(b.config.TLS),
		QUICConfig: &quic.Config{MaxIdleTimeout: idleTimeout},
		Handler:    http.HandlerFunc(b.serveFeed),
	}
	context.AfterFunc(ctx, func() { _ = server.Close(); _ = conn.Close() })
	b.group.Go(func() { _ = server.Serve(conn) })
	return nil
}

// serveFeed sends lines numbered from 0 until the caller closes the feed.
func (b *Backend) serveFeed(w http.ResponseWriter, r *http.Request) {
	if !hasPrefix(r.URL.Path, b.config.Prefix) {
		b.config.Tally.Add(CountMisrouted, 1)
	}
	controller := http.NewResponseController(w)
	w.Header().Set("Server-Name", b.config.Name)
	for i := 0; ; i++ {
		if _, err := fmt.Fprintf(w, "%d\n", i); err != nil {
			return
		}
		if err := controller.Flush(); err != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(b.config.FeedInterval):
		}
	}
}
