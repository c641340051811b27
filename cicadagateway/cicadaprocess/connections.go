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
	// drainInterval is how often a leaving entry looks which connections it may
	// close.
	drainInterval = 20 * time.Millisecond
	// newTime is how long a connection may stand before its first byte comes.
	newTime = time.Second
	// quietTime is how long a kept connection must have been idle before a leaving
	// entry closes it: callers know that they may not use it so late.
	quietTime = cicadarelay.KeepAliveTime + 200*time.Millisecond
)

// connections knows the connections of callers, so that a graceful shutdown closes
// those on which no request is under way and no other. (http.Server.Shutdown also
// closes a kept connection on which the first part of a request has come.)
type connections struct {
	mu   sync.Mutex
	open map[*callerConn]connState
}

type connState struct {
	state http.ConnState
	since time.Time
}

// A callerConn notices that bytes have come since it was idle last. Once it is
// closed for lack of a request, bytes that cross the close reach nobody: the caller
// may take them as not read and send the request elsewhere.
type callerConn struct {
	net.Conn
	mu     sync.Mutex
	begun  bool
	unused bool // closed without a request
}

// Read reads from the connection.
func (c *callerConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unused {
		return 0, net.ErrClosed
	}
	c.begun = c.begun || n > 0
	return n, err
}

func (c *callerConn) idle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.begun = false
}

// closeUnused closes the connection unless a request has begun to come.
func (c *callerConn) closeUnused() bool {
	c.mu.Lock()
	c.unused = !c.begun
	unused := c.unused
	c.mu.Unlock()
	if unused {
		_ = c.Close() // the server reports it as closed
	}
	return unused
}

// callerListener hands out callerConns.
type callerListener struct{ net.Listener }

// Accept waits for the next connection.
func (l callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn}, nil
}

// changed takes in a connection's state, as an http.Server reports it.
func (s *connections) changed(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*callerConn)
	if !ok {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(s.open, c)
		return
	case http.StateIdle:
		c.idle()
	}
	if s.open == nil {
		s.open = make(map[*callerConn]connState)
	}
	s.open[c] = connState{state: state, since: time.Now()}
}

// drain closes each connection once no request is under way on it. It goes on
// accepting connections until none is left or lastAccept has come, then closes the
// listener. It returns when nothing is left, or with an error when ctx ends.
func (s *connections) drain(ctx context.Context, ln net.Listener, lastAccept time.Time) error {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	var closed error
	accepting := true
	for {
		now := time.Now()
		busy := s.closeIdle(now)
		if accepting && (busy == 0 || now.After(lastAccept)) {
			accepting = false
			closed = ln.Close()
			busy = s.closeIdle(now) // one may have come since
		}
		if busy == 0 {
			return closed
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return merry.Errorf("%d requests under way: %w", busy, ctx.Err())
		}
	}
}

// closeIdle closes the connections on which nothing is under way and returns how
// many others there are.
func (s *connections) closeIdle(now time.Time) (busy int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, known := range s.open {
		quiet := now.Sub(known.since)
		unused := known.state == http.StateIdle && quiet > quietTime || known.state == http.StateNew && quiet > newTime
		if !unused || !c.closeUnused() {
			busy++
		}
	}
	return busy
}
