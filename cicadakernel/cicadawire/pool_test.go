package cicadawire

import (
	"context"
	"errors"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"storj.io/drpc"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
)

// echo answers each call with what it was sent.
type echo struct{}

// echoText is the message of calls to echo.
type echoText struct{ text string }

func (echo) Echo(_ context.Context, in *echoText) (*echoText, error) { return in, nil }

// Wait waits until the call is cancelled.
func (echo) Wait(ctx context.Context, _ *echoText) (*echoText, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

type echoEncoding struct{}

// Marshal encodes a message.
func (echoEncoding) Marshal(msg drpc.Message) ([]byte, error) {
	return []byte(msg.(*echoText).text), nil
}

// Unmarshal decodes a message.
func (echoEncoding) Unmarshal(b []byte, msg drpc.Message) error {
	msg.(*echoText).text = string(b)
	return nil
}

type echoDescription struct{}

// NumMethods returns the number of methods.
func (echoDescription) NumMethods() int { return 2 }

// Method describes a method.
func (echoDescription) Method(i int) (string, drpc.Encoding, drpc.Receiver, any, bool) {
	name, method := "/echo", echo.Echo
	if i == 1 {
		name, method = "/wait", echo.Wait
	}
	return name, echoEncoding{}, func(srv any, ctx context.Context, in, _ any) (drpc.Message, error) {
		return method(srv.(echo), ctx, in.(*echoText))
	}, method, true
}

// A mutableConn is a connection that can fall silent: from then on it takes what is written, and
// nothing arrives, until it is closed.
type mutableConn struct {
	net.Conn
	silent chan struct{} // closed when the connection falls silent
	closed chan struct{}
	once   sync.Once
}

func (c *mutableConn) isSilent() bool {
	select {
	case <-c.silent:
		return true
	default:
		return false
	}
}

// Write implements net.Conn.
func (c *mutableConn) Write(b []byte) (int, error) {
	if c.isSilent() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Read implements net.Conn.
func (c *mutableConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.isSilent() {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Close implements net.Conn.
func (c *mutableConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// An echoServer serves echo over pipes.
type echoServer struct {
	srv     *Server
	ctx     context.Context
	mu      sync.Mutex
	conns   []*mutableConn
	hanging bool // new connections are silent from the beginning
}

func newEchoServer(t *testing.T) *echoServer {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	s := &echoServer{srv: NewServer(), ctx: ctx}
	assert.NilError(t, s.srv.Mux().Register(echo{}, echoDescription{}))
	return s
}

func (s *echoServer) dial(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	conn := &mutableConn{Conn: client, silent: make(chan struct{}), closed: make(chan struct{})}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.hanging {
		close(conn.silent)
	}
	s.conns = append(s.conns, conn)
	go func() { _ = s.srv.srv.ServeOne(s.ctx, server) }()
	return conn, nil
}

// silence lets all open connections fall silent.
func (s *echoServer) inactivity() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		if !conn.isSilent() {
			close(conn.silent)
		}
	}
}

// closeAll closes all connections.
func (s *echoServer) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *echoServer) dialed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func callEcho(ctx context.Context, pool *Pool, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var out echoText
	return pool.Conn("echo").Invoke(ctx, "/echo", echoEncoding{}, &echoText{text: "hello"}, &out)
}

// TestSilentConnectionIsNotUsedAgain guards against a connection that has fallen silent and is
// used for call after call, as each cancelled call leaves it in the pool.
func TestSilentConnectionIsNotUsedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEchoServer(t)
		pool := NewPool(WithDial(s.dial))
		defer func() { assert.Check(t, pool.Close() == nil) }()
		assert.NilError(t, callEcho(t.Context(), pool, time.Second))
		s.inactivity()
		assert.Assert(t, callEcho(t.Context(), pool, time.Second) != nil)
		for i := range 12 {
			assert.NilError(t, callEcho(t.Context(), pool, time.Second), "call %d after the one on the silent connection", i+1)
		}
	})
}

// TestCallErrorNamesItsEnd guards against logs that take the end of a connection for a caller that
// has left: drpc reports both as a cancelled context.
func TestCallErrorNamesItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEchoServer(t)
		pool := NewPool(WithDial(s.dial))
		defer func() { assert.Check(t, pool.Close() == nil) }()
		s.hanging = true
		time.AfterFunc(time.Second, s.closeAll)
		var callErr *CallError
		assert.Assert(t, errors.As(callEcho(t.Context(), pool, 2*time.Second), &callErr))
		assert.Equal(t, callErr.End(), EndedByConnection)
		assert.Assert(t, errors.As(callEcho(t.Context(), pool, time.Second), &callErr))
		assert.Equal(t, callErr.End(), EndedByContext)
		assert.Equal(t, callErr.Address(), "echo")
		assert.Equal(t, callErr.Inactivity(), time.Second)
		assert.Equal(t, callErr.Age(), time.Second)
		assert.Assert(t, !callErr.Reused())
	})
}

// TestIdleConnectionsThatFellSilentCostOneCallAtMost guards against calls that each find the next of
// many idle connections silent.
func TestIdleConnectionsThatFellSilentCostOneCallAtMost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEchoServer(t)
		var closed []time.Duration
		pool := NewPool(WithDial(s.dial), WithOnDead(func(_ string, inactivity time.Duration) { closed = append(closed, inactivity) }))
		defer func() { assert.Check(t, pool.Close() == nil) }()
		var callers sync.WaitGroup
		for range 10 {
			callers.Go(func() { assert.Check(t, callEcho(t.Context(), pool, time.Second) == nil) })
		}
		callers.Wait()
		idle := s.dialed()
		time.Sleep(pingAfter + time.Second)
		s.inactivity()
		start := time.Now()
		for range 3 {
			assert.NilError(t, callEcho(t.Context(), pool, time.Second))
		}
		assert.Equal(t, time.Since(start), pingTimeout)
		assert.Equal(t, s.dialed(), idle+1)
		assert.DeepEqual(t, closed, []time.Duration{pingAfter + time.Second + pingTimeout})
	})
}

// TestVerifyConnPingsTrustedConnections guards against a second attempt that is lost on a silent
// connection as the first one was.
func TestVerifyConnPingsTrustedConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEchoServer(t)
		pool := NewPool(WithDial(s.dial))
		defer func() { assert.Check(t, pool.Close() == nil) }()
		assert.NilError(t, callEcho(t.Context(), pool, time.Second))
		s.inactivity()
		assert.NilError(t, callEcho(VerifyConn(t.Context()), pool, time.Second))
	})
}

// TestSoundConnectionsAreKept guards against connections that are opened anew for each call that
// is cancelled, and for each one after a pause.
func TestSoundConnectionsAreKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEchoServer(t)
		pool := NewPool(WithDial(s.dial))
		defer func() { assert.Check(t, pool.Close() == nil) }()
		assert.NilError(t, callEcho(t.Context(), pool, time.Second))
		for range 5 {
			ctx, cancel := context.WithCancel(t.Context())
			time.AfterFunc(time.Second, cancel)
			assert.Assert(t, pool.Conn("echo").Invoke(ctx, "/wait", echoEncoding{}, &echoText{}, &echoText{}) != nil)
			time.Sleep(pingAfter + time.Second)
			assert.NilError(t, callEcho(t.Context(), pool, time.Second))
		}
		assert.Equal(t, s.dialed(), 1)
	})
}

// TestServerWithoutPingsCountsAsAlive guards against connections to a server of an earlier release,
// which answers a ping with an error, that are taken for silent.
func TestServerWithoutPingsCountsAsAlive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newEchoServer(t)
		s.srv.srv = drpcserver.New(drpcmux.New())
		pool := NewPool(WithDial(s.dial))
		defer func() { assert.Check(t, pool.Close() == nil) }()
		for range 3 {
			err := callEcho(t.Context(), pool, time.Second)
			assert.ErrorContains(t, err, "unknown rpc")
			time.Sleep(pingAfter + time.Second)
		}
		assert.Equal(t, s.dialed(), 1)
	})
}
