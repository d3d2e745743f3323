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
	watchDialTimeout   = 500 * time.Millisecond
	watchRetryInterval = 100 * time.Millisecond
)

// watchBackend holds an idle connection to the backend server to detect a restart
// before a request is sent. A server may also close idle connections, so a closed
// connection counts as a restart only when the next dial fails.
func (a *Sidecar) watchBackend(ctx context.Context) error {
	connected := false
	for ctx.Err() == nil {
		conn, err := a.dialBackend(ctx)
		if err == nil {
			connected = true
			waitForClose(ctx, conn)
			continue
		}
		if connected {
			connected = false
			a.markBackendRestarted(time.Now())
		}
		select {
		case <-ctx.Done():
		case <-time.After(watchRetryInterval):
		}
	}
	return nil
}

// dialBackend connects to the backend server. It returns net.ErrClosed until the
// backend server has announced its request address.
func (a *Sidecar) dialBackend(ctx context.Context) (net.Conn, error) {
	a.membership.Lock()
	address := a.backend.requestAddress
	a.membership.Unlock()
	if address == (netip.AddrPort{}) {
		return nil, net.ErrClosed
	}
	dialer := net.Dialer{Timeout: watchDialTimeout}
	return dialer.DialContext(ctx, "tcp", address.String())
}

// waitForClose returns when the backend server closes the connection or the
// context ends.
func waitForClose(ctx context.Context, conn net.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	_, _ = conn.Read(make([]byte, 1))
}

// markBackendRestarted treats the backend server as cold from now on.
func (a *Sidecar) markBackendRestarted(now time.Time) {
	a.membership.Lock()
	defer a.membership.Unlock()
	if a.limiter == nil {
		return
	}
	a.limiter.Observe(now, pollenadmission.SignalRestarted)
	a.base.Metrics.CountEvent(pollenmetric.EventBackendCold, 1)
	a.base.Log.Info("backend server closed its connection and accepts no new one; treating it as cold")
}
