package pollencall

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/pkg/errors"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

// maxMessageSize limits the size of a message in bytes. A whole view or snapshot at
// the largest planned size is well below it.
const maxMessageSize = 64 << 20

// inactivityTimeout is how long a connection without a call stays open.
const inactivityTimeout = 2 * time.Minute

// A Handler answers one call. An error reaches the other side as its text only.
type Handler func(ctx context.Context, request []byte) ([]byte, error)

// A Server answers calls from authenticated processes.
type Server struct {
	handlers map[Method]Handler
	tls      *tls.Config
}

// NewServer returns a new Server that answers each method with its handler.
func NewServer(config *tls.Config, handlers map[Method]Handler) *Server {
	return &Server{handlers: handlers, tls: config}
}

// Serve answers calls on the listener until the context ends or the listener
// fails.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := drpcserver.NewWithOptions(s, drpcserver.Options{Manager: managerOptions()})
	return server.Serve(ctx, tls.NewListener(listener, s.tls))
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: maxMessageSize},
		InactivityTimeout: inactivityTimeout,
		SoftCancel:        true,
	}
}

// HandleRPC implements drpc.Handler. It fails for a method without a handler.
func (s *Server) HandleRPC(stream drpc.Stream, rpc string) error {
	handler, ok := s.handlers[Method(rpc)]
	if !ok {
		return errors.Errorf("method %q has no handler in this process", rpc)
	}
	var request []byte
	if err := stream.MsgRecv(&request, codec{}); err != nil {
		return errors.Wrapf(err, "receive request of call %s", rpc)
	}
	answer, err := handler(stream.Context(), request)
	if err != nil {
		return err
	}
	if err := stream.MsgSend(&answer, codec{}); err != nil {
		return errors.Wrapf(err, "send answer of call %s", rpc)
	}
	return stream.CloseSend()
}
