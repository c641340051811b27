package cicadabatch

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadawire"
)

// A fallibleConn is a connection on which nothing passes once fallen is closed, until it is closed.
type fallibleConn struct {
	net.Conn
	fallen <-chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (c *fallibleConn) hasFallen() bool {
	select {
	case <-c.fallen:
		return true
	default:
		return false
	}
}

// Write implements net.Conn.
func (c *fallibleConn) Write(b []byte) (int, error) {
	if c.hasFallen() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *fallibleConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.hasFallen() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Close implements net.Conn.
func (c *fallibleConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// TestProgressIsSentAgainAfterADeadConnection guards against progress of a job that is lost because its only message
// took a connection that had fallen silent, and its whole time, while new connections are sound.
func TestProgressIsSentAgainAfterADeadConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fallen := make(chan struct{})
		srvCtx, stop := context.WithCancel(context.Background())
		defer stop()
		o := &fakeOwner{delay: time.Millisecond, status: http.StatusOK, waits: make(chan time.Duration, 100)}
		srv := cicadawire.NewServer()
		assert.NilError(t, register(srv.Mux(), o))
		ln := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
		var serving sync.WaitGroup
		serving.Go(func() { _ = srv.Serve(srvCtx, ln) })
		first := true
		pool := cicadawire.NewPool(cicadawire.WithDial(func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			ln.conns <- far
			if first {
				first = false
				return &fallibleConn{Conn: near, fallen: fallen, closed: make(chan struct{})}, nil
			}
			return near, nil
		}))
		c := NewClient(pool, func() []Peer { return []Peer{{Name: "o", Address: "o"}} })
		assert.NilError(t, c.HandOver(t.Context(), testJob, []Progress{{Item: "i"}}))
		close(fallen)
		ctx, cancel := context.WithTimeout(t.Context(), handOverTimeout)
		defer cancel()
		assert.Check(t, c.HandOver(ctx, testJob, []Progress{{Item: "i"}}))
		assert.Check(t, o.calls.Load() == 2, "%d messages arrived", o.calls.Load())
		assert.Check(t, pool.Close())
		stop()
		serving.Wait()
	})
}
