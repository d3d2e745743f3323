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

// Limits of the connections that a Client keeps.
const (
	idleConnections = 256
	idlePerAddress  = 4
	idleExpiration  = time.Minute
	dialTimeout     = time.Second
)

// A Client makes calls and keeps connections for later ones. It is safe for
// concurrent use.
type Client struct {
	config func() *tls.Config
	pool   *drpcpool.Pool[netip.AddrPort, *drpcconn.Conn]
}

// NewClient returns a new Client that asks for its TLS settings at each dial.
func NewClient(config func() *tls.Config) *Client {
	return &Client{
		config: config,
		pool: drpcpool.New[netip.AddrPort, *drpcconn.Conn](drpcpool.Options{
			Expiration: idleExpiration, Capacity: idleConnections, KeyCapacity: idlePerAddress,
		}),
	}
}

// Call makes a call and returns the answer. An error whose cause is ErrNotSent
// says that the other side has not seen the call.
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
	dialer := tls.Dialer{NetDialer: &net.Dialer{}, Config: c.config()}
	conn, err := dialer.DialContext(ctx, "tcp", to.String())
	if err != nil {
		return nil, err
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

// Close closes the kept connections.
func (c *Client) Close() error { return c.pool.Close() }
