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

// maxMessage bounds a call's size in bytes; a whole view or snapshot at the
// largest planned size is well below it.
const maxMessage = 64 << 20

// inactivity is how long a connection without a call is kept by the server.
const inactivity = 2 * time.Minute

// A Handler answers one call. An error is passed to the other side as text.
type Handler func(ctx context.Context, request []byte) ([]byte, error)

// A Server answers calls.
type Server struct {
	handlers map[Method]Handler
	tls      *tls.Config
}

// NewServer returns a new Server with the handlers.
func NewServer(config *tls.Config, handlers map[Method]Handler) *Server {
	return &Server{handlers: handlers, tls: config}
}

// Serve answers calls on the listener until the context ends.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := drpcserver.NewWithOptions(s, drpcserver.Options{Manager: managerOptions()})
	return server.Serve(ctx, tls.NewListener(listener, s.tls))
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:            drpcwire.ReaderOptions{MaximumBufferSize: maxMessage},
		InactivityTimeout: inactivity,
		SoftCancel:        true,
	}
}

// HandleRPC implements drpc.Handler.
func (s *Server) HandleRPC(stream drpc.Stream, rpc string) error {
	handler, ok := s.handlers[Method(rpc)]
	if !ok {
		return errors.Errorf("method %q is not served here", rpc)
	}
	var request []byte
	if err := stream.MsgRecv(&request, codec{}); err != nil {
		return errors.Wrap(err, "receive call")
	}
	answer, err := handler(stream.Context(), request)
	if err != nil {
		return err
	}
	if err := stream.MsgSend(&answer, codec{}); err != nil {
		return errors.Wrap(err, "answer call")
	}
	return stream.CloseSend()
}
