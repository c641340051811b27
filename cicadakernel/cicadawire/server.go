package cicadawire

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/ansel1/merry/v2"
	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"cicadalink.example/cicadakernel/cicadamemory"
)

const (
	// maxMessageSize limits the size of a received message, in bytes.
	maxMessageSize = 32 << 20
	// softCancelGrace is how long cancelling a stream waits for a concurrent send to
	// finish. After that the connection is closed instead of being reused.
	softCancelGrace = 5 * time.Millisecond
	// inactivityTimeout is how long a server waits for the next call on a connection
	// before it closes the connection.
	inactivityTimeout = 5 * time.Minute
)

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:          drpcwire.ReaderOptions{MaximumBufferSize: maxMessageSize},
		SoftCancel:      true,
		SoftCancelGrace: softCancelGrace,
	}
}

// A Server serves drpc connections.
type Server struct {
	mux    *drpcmux.Mux
	srv    *drpcserver.Server
	memory *cicadamemory.Budget
}

// A ServerOption configures a Server.
type ServerOption func(*Server)

// WithMemory sets the budget for messages that are received. A connection on which one exceeds it
// is closed. Without it each message is limited, but not all of them together.
func WithMemory(memory *cicadamemory.Budget) ServerOption {
	return func(s *Server) { s.memory = memory }
}

// NewServer returns a server. Services must be registered on Mux before Serve is
// called.
func NewServer(opts ...ServerOption) *Server {
	mux := drpcmux.New()
	if err := mux.Register(pinger{}, pingDescription{}); err != nil {
		panic(err) // the description is wrong
	}
	manager := managerOptions()
	manager.InactivityTimeout = inactivityTimeout
	s := &Server{mux: mux, srv: drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: manager})}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Mux returns the mux on which services are registered.
func (s *Server) Mux() drpc.Mux { return s.mux }

// Serve accepts connections until ctx ends or the listener fails.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	if s.memory != nil {
		ln = receivedListener{Listener: ln, memory: s.memory}
	}
	if err := s.srv.Serve(ctx, ln); err != nil {
		return merry.Errorf("serve drpc: %w", err)
	}
	return nil
}

// Listen returns a TCP listener, which uses TLS if cfg is not nil.
func Listen(address string, cfg *tls.Config) (net.Listener, error) {
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, merry.Errorf("listen on %s: %w", address, err)
	}
	if cfg != nil {
		ln = tls.NewListener(ln, cfg)
	}
	return ln, nil
}
