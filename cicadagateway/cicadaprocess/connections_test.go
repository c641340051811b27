package cicadaprocess

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"cicadalink.example/cicadagateway/cicadarelay"
)

// pipeListener is an in-memory net.Listener.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

// Accept returns the server side of the next connection.
func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-p.conns:
		return conn, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return net.ErrClosed.
func (p *pipeListener) Close() error {
	p.once.Do(func() { close(p.done) })
	return nil
}

// Addr returns an empty address.
func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// testCaller is the caller's side of a connection.
type testCaller struct {
	net.Conn
	r *bufio.Reader
}

func (p *pipeListener) dial() *testCaller {
	callerSide, serverSide := net.Pipe()
	p.conns <- serverSide
	return &testCaller{Conn: callerSide, r: bufio.NewReader(callerSide)}
}

func (c *testCaller) send(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(t, err)
}

// readResponse reads a whole response and returns its body.
func (c *testCaller) readResponse(t *testing.T) string {
	t.Helper()
	res, err := http.ReadResponse(c.r, nil)
	assert.NilError(t, err)
	body, err := io.ReadAll(res.Body)
	assert.NilError(t, err)
	return string(body)
}

func (c *testCaller) waitClosed() bool {
	_, err := c.r.ReadByte()
	return err != nil
}

const firstRequest = "GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"

// TestDrainCompletesStartedRequests shuts an entry down while requests arrive in parts.
// Requests whose first bytes have been received must be answered, and connections
// without a request must be closed promptly.
func TestDrainCompletesStartedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tracker connTracker
		ln := newPipeListener()
		srv := &http.Server{ConnState: tracker.setState, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(300 * time.Millisecond)
			_, _ = io.WriteString(w, r.URL.Path)
		})}
		go func() { _ = srv.Serve(callerListener{ln}) }()
		idle, partialOnKept, partialOnNew, inProgress := ln.dial(), ln.dial(), ln.dial(), ln.dial()
		for _, c := range []*testCaller{partialOnKept, idle} {
			c.send(t, firstRequest)
			assert.Equal(t, c.readResponse(t), "/1")
		}
		idleSince := time.Now()
		partialOnKept.send(t, "GET /2 HTTP/1.1\r\nHo")
		partialOnNew.send(t, "GET /3 HT")
		inProgress.send(t, "GET /4 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		time.Sleep(time.Millisecond)

		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		drained := make(chan error, 1)
		go func() { drained <- tracker.drain(ctx, ln, time.Now()) }()
		assert.Equal(t, inProgress.readResponse(t), "/4")
		assert.Assert(t, idle.waitClosed())
		idleFor := time.Since(idleSince)
		assert.Assert(t, idleFor <= idleConnTimeout+2*drainPollInterval, "closed after %v", idleFor)
		assert.Assert(t, idleFor >= cicadarelay.KeepAliveTimeout, "closed after %v, within the announced keep-alive time", idleFor)
		time.Sleep(100 * time.Millisecond)
		partialOnKept.send(t, "st: h\r\nConnection: close\r\n\r\n")
		assert.Equal(t, partialOnKept.readResponse(t), "/2")
		partialOnNew.send(t, "TP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
		assert.Equal(t, partialOnNew.readResponse(t), "/3")
		assert.NilError(t, <-drained)
		assert.NilError(t, srv.Close())
	})
}

// TestDrainAcceptsNewConnections guards against refusing callers that the balancer
// still sends to a draining entry because the zone has no other entry.
func TestDrainAcceptsNewConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tracker connTracker
		ln := newPipeListener()
		srv := &http.Server{ConnState: tracker.setState, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(300 * time.Millisecond)
			_, _ = io.WriteString(w, "ok")
		})}
		go func() { _ = srv.Serve(callerListener{ln}) }()
		const request = "GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
		last := ln.dial()
		last.send(t, request)
		time.Sleep(time.Millisecond)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		drained := make(chan error, 1)
		lastAccept := time.Now().Add(2 * time.Second)
		go func() { drained <- tracker.drain(ctx, ln, lastAccept) }()
		for time.Until(lastAccept) > time.Second {
			time.Sleep(200 * time.Millisecond)
			next := ln.dial()
			next.send(t, request)
			assert.Equal(t, last.readResponse(t), "ok")
			last = next
		}
		assert.Equal(t, last.readResponse(t), "ok")
		assert.NilError(t, <-drained)
		assert.Assert(t, time.Now().Before(lastAccept), "drain must return once all requests are answered")
		assert.NilError(t, srv.Close())
	})
}

func TestDrainStopsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var tracker connTracker
		ln := newPipeListener()
		srv := &http.Server{ConnState: tracker.setState}
		go func() { _ = srv.Serve(callerListener{ln}) }()
		partial, unused := ln.dial(), ln.dial()
		partial.send(t, "GET /1 HT")
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		start := time.Now()
		drained := make(chan error, 1)
		go func() { drained <- tracker.drain(ctx, ln, start.Add(time.Second)) }()
		assert.Assert(t, unused.waitClosed())
		assert.Assert(t, time.Since(start) <= newConnTimeout+2*drainPollInterval)
		assert.ErrorIs(t, <-drained, context.DeadlineExceeded)
		assert.Equal(t, time.Since(start), 3*time.Second)
		assert.NilError(t, srv.Close())
	})
}

// dataAfterCloseConn returns data from Read only after Close.
type dataAfterCloseConn struct {
	net.Conn
	closed chan struct{}
}

// Read blocks until Close and then returns a request.
func (c *dataAfterCloseConn) Read(p []byte) (int, error) {
	<-c.closed
	return copy(p, firstRequest), nil
}

// Close unblocks Read.
func (c *dataAfterCloseConn) Close() error {
	close(c.closed)
	return nil
}

// TestDataReceivedDuringCloseIsDiscarded sends a request on a keep-alive connection
// while it is being closed. The request must not be processed, so that the caller can
// safely retry it elsewhere even if it is not idempotent.
func TestDataReceivedDuringCloseIsDiscarded(t *testing.T) {
	c := &callerConn{Conn: &dataAfterCloseConn{closed: make(chan struct{})}}
	assert.Assert(t, c.closeIfUnused())
	n, err := c.Read(make([]byte, 100))
	assert.Equal(t, n, 0)
	assert.ErrorIs(t, err, net.ErrClosed)
}

// TestShutdownLimitsRequests guards against a stopping entry that accepts requests until its
// end, whatever time they may take.
func TestShutdownLimitsRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const drainLimit = 8 * time.Second
		n := &Node{log: hclog.NewNullLogger()}
		n.drainLimit.Store(int64(drainLimit))
		stopped := time.Now()
		done := make(chan error, 1)
		go func() { done <- n.shutDown(t.Context(), &connTracker{}, newPipeListener()) }()
		time.Sleep(unreadyDelay - time.Millisecond)
		assert.Assert(t, n.connectionsEnd().IsZero(), "the balancer may still send requests of any length")
		time.Sleep(2 * time.Millisecond)
		assert.Equal(t, n.connectionsEnd(), stopped.Add(drainLimit-exitMargin))
		assert.NilError(t, <-done)
	})
}
