package cicadawire

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/ansel1/merry/v2"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

const (
	dialTimeout       = time.Second
	idleExpiry        = time.Minute
	idlePerAddress    = 64
	maxMessageSize    = 32 << 20
	softCancelGrace   = 5 * time.Millisecond
	inactivityTimeout = 5 * time.Minute
)

// A Pool keeps idle connections per address, so that many calls to one address
// share a few connections without waiting for each other.
type Pool struct {
	pool *drpcpool.Pool[string, *drpcconn.Conn]
	dial func(ctx context.Context, address string) (net.Conn, error)
	tls  *tls.Config
}

// A PoolOption changes a Pool as it is made.
type PoolOption func(*Pool)

// WithDial replaces the way that connections are made.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) PoolOption {
	return func(p *Pool) { p.dial = dial }
}

// WithTLS makes connections speak TLS.
func WithTLS(cfg *tls.Config) PoolOption {
	return func(p *Pool) { p.tls = cfg }
}

// NewPool returns an empty pool that dials TCP.
func NewPool(opts ...PoolOption) *Pool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	p := &Pool{
		pool: drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{Expiration: idleExpiry, KeyCapacity: idlePerAddress}),
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Conn returns a connection to an address. It dials when a call needs it.
func (p *Pool) Conn(address string) drpc.Conn {
	return p.pool.Get(context.Background(), address, p.open)
}

// Close closes the idle connections.
func (p *Pool) Close() error {
	if err := p.pool.Close(); err != nil {
		return merry.Errorf("close connections: %w", err)
	}
	return nil
}

func (p *Pool) open(ctx context.Context, address string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, &DialError{address: address, err: err}
	}
	if p.tls != nil {
		secure := tls.Client(conn, withServerName(p.tls, address))
		if err := secure.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, &DialError{address: address, err: err}
		}
		conn = secure
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

func withServerName(cfg *tls.Config, address string) *tls.Config {
	host, _, err := net.SplitHostPort(address)
	if err != nil || cfg.ServerName != "" {
		return cfg
	}
	named := cfg.Clone()
	named.ServerName = host
	return named
}

// A DialError says that no connection could be made, so nothing was sent.
type DialError struct {
	address string
	err     error
}

// Error names the address and the cause.
func (e *DialError) Error() string { return "cicadawire: dial " + e.address + ": " + e.err.Error() }

// Unwrap returns the cause.
func (e *DialError) Unwrap() error { return e.err }

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		Reader:          drpcwire.ReaderOptions{MaximumBufferSize: maxMessageSize},
		SoftCancel:      true,
		SoftCancelGrace: softCancelGrace,
	}
}

// A Server serves drpc on listeners.
type Server struct {
	mux *drpcmux.Mux
	srv *drpcserver.Server
}

// NewServer returns a server; register services on Mux before serving.
func NewServer() *Server {
	mux := drpcmux.New()
	manager := managerOptions()
	manager.InactivityTimeout = inactivityTimeout
	return &Server{mux: mux, srv: drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: manager})}
}

// Mux returns where services are registered.
func (s *Server) Mux() drpc.Mux { return s.mux }

// Serve accepts connections until ctx ends or the listener fails.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	if err := s.srv.Serve(ctx, ln); err != nil {
		return merry.Errorf("serve drpc: %w", err)
	}
	return nil
}

// Listen returns a TCP listener, secured when cfg is not nil.
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
