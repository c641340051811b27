package cicadaplatform

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

// connections are the connections that were opened between two replacements.
type connections struct {
	base *http.Transport
	// spare is a pool apart for second attempts and some health checks, so that there is mostly a
	// kept connection that can be checked while those of base are in use or dead.
	spare *http.Transport

	// Guarded by Transport.mu.
	diagnosing     bool
	diagnosedAt    time.Time // start of the last diagnosis by which the store answered, and these stay
	spareCheckedAt time.Time

	deadSince time.Time // set before replace is called
	replaced  context.Context
	replace   context.CancelFunc
}

func newConnections(base, spare *http.Transport) *connections {
	c := &connections{base: base, spare: spare, spareCheckedAt: time.Now()}
	c.replaced, c.replace = context.WithCancel(context.Background())
	return c
}

// closeIdle closes the connections that are not in use, and lets no other be kept.
func (c *connections) closeIdle() {
	c.base.CloseIdleConnections()
	c.spare.CloseIdleConnections()
}

// errNoneKept reports that a pool has no idle connection.
var errNoneKept = merry.Sentinel("cicadaplatform: no connection is kept")

// keptOnly is the key of a context value for requests that no connection is opened for.
type keptOnly struct{}

// newPool returns a http.Transport whose connections are of type conn.
func (t *Transport) newPool() *http.Transport {
	pool := t.newBase()
	dial := pool.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	pool.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		if ctx.Value(keptOnly{}) != nil {
			return nil, errNoneKept
		}
		nc, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: nc, openedAt: time.Now()}, nil
	}
	return pool
}

// A conn is a connection that knows its last activity.
type conn struct {
	net.Conn
	openedAt   time.Time
	receivedAt atomic.Pointer[time.Time]
}

// unwrapConn returns the conn that a connection of a pool is or wraps, or nil.
func unwrapConn(nc net.Conn) *conn {
	if wrapper, ok := nc.(interface{ NetConn() net.Conn }); ok {
		nc = wrapper.NetConn()
	}
	c, _ := nc.(*conn)
	return c
}

// Read implements net.Conn.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		now := time.Now()
		c.receivedAt.Store(&now)
	}
	return n, err
}

// activeAfter reports whether the connection was opened, or something was received on it, after a
// time.
func (c *conn) activeAfter(at time.Time) bool {
	receivedAt := c.receivedAt.Load()
	return c.openedAt.After(at) || receivedAt != nil && receivedAt.After(at)
}
