package pollencall

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

// Limits of a Client's connections.
const (
	maxIdleConnections = 256
	maxIdlePerAddress  = 4
	idleExpiration     = time.Minute
	dialTimeout        = time.Second
)

// A Client makes calls and pools connections for later calls. It is safe for
// concurrent use.
type Client struct {
	tlsConfig func() *tls.Config
	pool      *drpcpool.Pool[netip.AddrPort, *drpcconn.Conn]
}

// NewClient returns a new Client that calls config for its TLS settings at each
// dial, so that reloaded keys apply to new connections.
func NewClient(config func() *tls.Config) *Client {
	return &Client{
		tlsConfig: config,
		pool: drpcpool.New[netip.AddrPort, *drpcconn.Conn](drpcpool.Options{
			Expiration: idleExpiration, Capacity: maxIdleConnections, KeyCapacity: maxIdlePerAddress,
		}),
	}
}

// Call makes a call and returns the answer. If the error wraps ErrNotSent, no
// connection was made and the other side has not received the call; after any
// other error it may have handled it.
func (c *Client) Call(ctx context.Context, to netip.AddrPort, method Method, request []byte) ([]byte, error) {
	conn, ok := c.pool.Take(to)
	if !ok {
		var err error
		if conn, err = c.dial(ctx, to); err != nil {
			return nil, errors.Wrapf(ErrNotSent, "dial %s: %v", to, err)
		}
	}
	var answer []byte
	if err := conn.Invoke(ctx, string(method), codec{}, &request, &answer); err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "call %s at %s", method, to)
	}
	c.pool.Put(to, conn)
	return answer, nil
}

func (c *Client) dial(ctx context.Context, to netip.AddrPort) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialer := tls.Dialer{NetDialer: &net.Dialer{}, Config: c.tlsConfig()}
	conn, err := dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

// Close closes the pooled connections.
func (c *Client) Close() error { return c.pool.Close() }
