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
	// dialTimeout limits the time to connect, including the TLS handshake.
	dialTimeout = time.Second
	// idleTimeout is how long a pool keeps an idle connection.
	idleTimeout = time.Minute
	// maxIdlePerAddress limits the idle connections of a pool to one address.
	maxIdlePerAddress = 64
	// maxMessageSize limits the size of a received message, in bytes.
	maxMessageSize = 32 << 20
	// softCancelGrace is how long cancelling a stream waits for a concurrent send to
	// finish. After that the connection is closed instead of being reused.
	softCancelGrace = 5 * time.Millisecond
	// inactivityTimeout is how long a server waits for the next call on a connection
	// before it closes the connection.
	inactivityTimeout = 5 * time.Minute
)

// A Pool is a client-side connection pool. It keeps idle connections for reuse.
// A connection carries one call at a time, so concurrent calls to an address use
// separate connections.
type Pool struct {
	pool *drpcpool.Pool[string, *drpcconn.Conn]
	dial func(ctx context.Context, address string) (net.Conn, error)
	tls  *tls.Config
}

// A PoolOption configures a Pool.
type PoolOption func(*Pool)

// WithDial sets the dial function. The default dials TCP.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) PoolOption {
	return func(p *Pool) { p.dial = dial }
}

// WithTLS sets the TLS configuration of connections. By default they don't use TLS.
func WithTLS(cfg *tls.Config) PoolOption {
	return func(p *Pool) { p.tls = cfg }
}

// NewPool returns an empty pool.
func NewPool(opts ...PoolOption) *Pool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	p := &Pool{
		pool: drpcpool.New[string, *drpcconn.Conn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: maxIdlePerAddress}),
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Conn returns a connection to an address. Each call uses an idle connection of the
// pool or dials a new one.
func (p *Pool) Conn(address string) drpc.Conn {
	return p.pool.Get(context.Background(), address, p.connect)
}

// Close closes the idle connections.
func (p *Pool) Close() error {
	if err := p.pool.Close(); err != nil {
		return merry.Errorf("close connections: %w", err)
	}
	return nil
}

func (p *Pool) connect(ctx context.Context, address string) (*drpcconn.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, &DialError{address: address, err: err}
	}
	if p.tls != nil {
		tlsConn := tls.Client(conn, withServerName(p.tls, address))
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			_ = conn.Close()
			return nil, &DialError{address: address, err: err}
		}
		conn = tlsConn
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

// withServerName returns cfg with the server name set to the host of the address,
// unless cfg already has one.
func withServerName(cfg *tls.Config, address string) *tls.Config {
	host, _, err := net.SplitHostPort(address)
	if err != nil || cfg.ServerName != "" {
		return cfg
	}
	clone := cfg.Clone()
	clone.ServerName = host
	return clone
}

// A DialError reports that no connection could be established, so that nothing has
// been sent.
type DialError struct {
	address string
	err     error
}

// Error returns the address and the cause.
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

// A Server serves drpc connections.
type Server struct {
	mux *drpcmux.Mux
	srv *drpcserver.Server
}

// NewServer returns a server. Services must be registered on Mux before Serve is
// called.
func NewServer() *Server {
	mux := drpcmux.New()
	manager := managerOptions()
	manager.InactivityTimeout = inactivityTimeout
	return &Server{mux: mux, srv: drpcserver.NewWithOptions(mux, drpcserver.Options{Manager: manager})}
}

// Mux returns the mux on which services are registered.
func (s *Server) Mux() drpc.Mux { return s.mux }

// Serve accepts connections until ctx ends or the listener fails.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
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
