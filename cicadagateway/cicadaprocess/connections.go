package cicadaprocess

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadagateway/cicadarelay"
)

const (
	// drainPollInterval is the interval at which a draining entry looks for idle
	// connections to close.
	drainPollInterval = 20 * time.Millisecond
	// newConnTimeout is how long a new connection may stay open during a drain without
	// sending its first byte.
	newConnTimeout = time.Second
	// idleConnTimeout is how long a keep-alive connection must have been idle before a
	// draining entry closes it. It exceeds the keep-alive time announced to callers, so
	// that they no longer reuse the connection.
	idleConnTimeout = cicadarelay.KeepAliveTimeout + 200*time.Millisecond
)

// connTracker records the state of each caller's connection, so that a graceful
// shutdown closes only connections without a request. http.Server.Shutdown would also
// close a keep-alive connection on which part of a request has been received.
type connTracker struct {
	mu    sync.Mutex
	conns map[*callerConn]connState
}

type connState struct {
	state http.ConnState
	since time.Time
}

// callerConn records whether data has been received since the connection was last idle.
// After closeIfUnused has closed it, Read discards late data, so that the caller can
// assume that its request was not processed and retry it elsewhere.
type callerConn struct {
	net.Conn
	mu             sync.Mutex
	requestStarted bool
	closedUnused   bool // closed without a request
}

// Read implements net.Conn. It returns net.ErrClosed after closeIfUnused has closed the
// connection, even if data was received.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closedUnused {
		return 0, net.ErrClosed
	}
	c.requestStarted = c.requestStarted || n > 0
	return n, err
}

func (c *callerConn) markIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestStarted = false
}

// closeIfUnused closes the connection unless part of a request has been received, and
// reports whether it did.
func (c *callerConn) closeIfUnused() bool {
	c.mu.Lock()
	c.closedUnused = !c.requestStarted
	closing := c.closedUnused
	c.mu.Unlock()
	if closing {
		_ = c.Close() // the server reports the close to setState
	}
	return closing
}

// callerListener wraps accepted connections in callerConn.
type callerListener struct{ net.Listener }

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn}, nil
}

// setState records the new state of a connection. It is the ConnState hook of an
// http.Server.
func (t *connTracker) setState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(t.conns, c)
		return
	case http.StateIdle:
		c.markIdle()
	}
	if t.conns == nil {
		t.conns = make(map[*callerConn]connState)
	}
	t.conns[c] = connState{state: state, since: time.Now()}
}

// drain closes each connection once it has no request in progress. New connections are
// accepted until none is open or lastAccept has passed; then the listener is closed. It
// returns when no connection is left, or with an error when ctx is done.
func (t *connTracker) drain(ctx context.Context, ln net.Listener, lastAccept time.Time) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	var closeErr error
	accepting := true
	for {
		now := time.Now()
		busy := t.closeIdle(now)
		if accepting && (busy == 0 || now.After(lastAccept)) {
			accepting = false
			closeErr = ln.Close()
			busy = t.closeIdle(now) // a connection may have been accepted since the last check
		}
		if busy == 0 {
			return closeErr
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return merry.Errorf("%d connections still in use: %w", busy, ctx.Err())
		}
	}
}

// closeIdle closes the connections without a request in progress and returns the number
// of the others.
func (t *connTracker) closeIdle(now time.Time) (busy int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for c, cs := range t.conns {
		age := now.Sub(cs.since)
		unused := cs.state == http.StateIdle && age > idleConnTimeout || cs.state == http.StateNew && age > newConnTimeout
		if !unused || !c.closeIfUnused() {
			busy++
		}
	}
	return busy
}
