package cicadawire

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcpool"
)

const (
	// dialTimeout limits the time to connect, including the TLS handshake.
	dialTimeout = time.Second
	// idleTimeout is how long a pool keeps an idle connection.
	idleTimeout = time.Minute
	// maxIdlePerAddress limits the idle connections of a pool to one address.
	maxIdlePerAddress = 64
)

// A Pool is a client-side connection pool. It keeps idle connections for reuse.
// A connection carries one call at a time, so concurrent calls to an address use
// separate connections.
//
// A connection may be dead although neither end has closed it: nothing passes any more. An idle connection
// whose last call got no answer, or that was inactive for some time, is therefore used again only after it
// has answered a ping. If it does not, all idle connections to its address are closed.
type Pool struct {
	pool   *drpcpool.Pool[string, *pooledConn]
	dial   func(ctx context.Context, address string) (net.Conn, error)
	tls    *tls.Config
	onDead func(address string, inactivity time.Duration)
	closed atomic.Bool
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

// WithOnDead sets a function that is called for each connection that is closed because it did not
// answer a ping, with the time since its last activity.
func WithOnDead(onDead func(address string, inactivity time.Duration)) PoolOption {
	return func(p *Pool) { p.onDead = onDead }
}

// NewPool returns an empty pool.
func NewPool(opts ...PoolOption) *Pool {
	dialer := &net.Dialer{Timeout: dialTimeout}
	p := &Pool{
		pool: drpcpool.New[string, *pooledConn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: maxIdlePerAddress}),
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		onDead: func(string, time.Duration) {},
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Conn returns a connection to an address. Each call uses an idle connection of the
// pool or dials a new one. A call that ends without an answer fails with a *CallError, or with
// a *DialError if nothing was sent.
func (p *Pool) Conn(address string) drpc.Conn { return &addressConn{pool: p, address: address} }

// Close closes the idle connections, and each other one when its call has ended.
func (p *Pool) Close() error {
	p.closed.Store(true)
	if err := p.pool.Close(); err != nil {
		return merry.Errorf("close connections: %w", err)
	}
	return nil
}

// take returns an idle connection that is not known to be dead, or a new one.
func (p *Pool) take(ctx context.Context, address string) (*pooledConn, error) {
	for {
		conn, ok := p.pool.Take(address)
		if !ok {
			return p.connect(ctx, address)
		}
		conn.reused = true
		if !conn.needsPing() && !mustVerify(ctx) {
			return conn, nil
		}
		err := conn.ping(ctx, address)
		if err == nil {
			return conn, nil
		}
		_ = conn.Close()
		if ctx.Err() != nil {
			return nil, &DialError{address: address, err: err}
		}
		p.onDead(address, conn.inactivity())
		p.closeIdle(address)
	}
}

// put returns a connection whose call has ended.
func (p *Pool) put(address string, conn *pooledConn) {
	p.pool.Put(address, conn)
	if p.closed.Load() {
		p.closeIdle(address)
	}
}

// closeIdle closes the idle connections to an address.
func (p *Pool) closeIdle(address string) {
	for {
		conn, ok := p.pool.Take(address)
		if !ok {
			return
		}
		_ = conn.Close()
	}
}

func (p *Pool) connect(ctx context.Context, address string) (*pooledConn, error) {
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
	return newPooledConn(conn), nil
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

// A pooledConn is a connection of a pool.
type pooledConn struct {
	*drpcconn.Conn
	reused   bool
	openedAt time.Time
	activeAt atomic.Int64 // nanoseconds from openedAt to the last answer
	// unanswered is set if the last call got no answer.
	unanswered atomic.Bool
}

func newPooledConn(conn net.Conn) *pooledConn {
	return &pooledConn{Conn: drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), openedAt: time.Now()}
}

// recordActivity records that an answer has arrived.
func (c *pooledConn) recordActivity() {
	c.activeAt.Store(int64(time.Since(c.openedAt)))
	c.unanswered.Store(false)
}

// inactivity returns for how long nothing was received.
func (c *pooledConn) inactivity() time.Duration {
	return time.Since(c.openedAt) - time.Duration(c.activeAt.Load())
}

// callError returns the error of a call. An error that the server has answered with is returned as it is.
func (c *pooledConn) callError(ctx context.Context, address string, err error) error {
	end := EndedByContext
	if ctx.Err() == nil {
		select {
		case <-c.Closed():
			end = EndedByConnection
		default:
			c.recordActivity()
			return err
		}
	}
	c.unanswered.Store(true)
	return &CallError{address: address, reused: c.reused, age: time.Since(c.openedAt), inactivity: c.inactivity(), end: end, err: err}
}
