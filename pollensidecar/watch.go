package pollensidecar

import (
	"context"
	"net"
	"net/netip"
	"time"

	"pollenstep.example/pollenstep/pollenadmission"
	"pollenstep.example/pollenstep/pollenmetric"
)

const (
	watchDial  = 500 * time.Millisecond
	watchPause = 100 * time.Millisecond
)

// watchBackend holds an idle connection to the backend server, whose end tells
// of a restart before any request is sent. A server may close idle connections
// too, so the end counts only when a new connection is refused.
func (a *Sidecar) watchBackend(ctx context.Context) error {
	connected := false
	for ctx.Err() == nil {
		conn, err := a.dialBackend(ctx)
		if err == nil {
			connected = true
			waitEnd(ctx, conn)
			continue
		}
		if connected {
			connected = false
			a.backendEnded(time.Now())
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchPause):
		}
	}
	return nil
}

func (a *Sidecar) dialBackend(ctx context.Context) (net.Conn, error) {
	a.membership.Lock()
	address := a.backend.requests
	a.membership.Unlock()
	if address == (netip.AddrPort{}) {
		return nil, net.ErrClosed
	}
	dialer := net.Dialer{Timeout: watchDial}
	return dialer.DialContext(ctx, "tcp", address.String())
}

// waitEnd returns when the other side ends the connection.
func waitEnd(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	_, _ = conn.Read(make([]byte, 1))
}

// backendEnded takes the backend server for cold from now on.
func (a *Sidecar) backendEnded(now time.Time) {
	a.membership.Lock()
	defer a.membership.Unlock()
	if a.limiter == nil {
		return
	}
	a.limiter.Observe(now, pollenadmission.SignalRestarted)
	a.base.Metrics.CountEvent(pollenmetric.EventBackendCold, 1)
	a.base.Log.Info("backend server ended its connections and refuses new ones; cold")
}
