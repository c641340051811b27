package cicadawire

import (
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
	"storj.io/drpc/drpcwire"

	"cicadalink.example/cicadakernel/cicadamemory"
)

// A pipeListener accepts the connections that it is given.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) dial(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// TestMessagesWithoutEndOnManyConnections guards against a process that runs out of memory because
// many peers at once send messages that do not end, each of which is limited.
func TestMessagesWithoutEndOnManyConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const peers, size, limit = 40, 1 << 20, 8 << 20
		memory := cicadamemory.NewBudget(limit)
		server := NewServer(WithMemory(memory))
		assert.NilError(t, server.Mux().Register(echo{}, echoDescription{}))
		ln := newPipeListener()
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { _ = server.Serve(ctx, ln) })
		var received atomic.Int64
		for range peers {
			wg.Go(func() {
				conn, err := ln.dial(ctx, "")
				assert.NilError(t, err)
				defer conn.Close()
				header := drpcwire.AppendVarint([]byte{byte(drpcwire.KindMessage << 1), 1, 1}, maxMessageSize)
				if _, err := conn.Write(append(header, make([]byte, size)...)); err == nil {
					received.Add(size)
					_, _ = conn.Read(make([]byte, 1)) // until the server closes the connection
					received.Add(-size)
				}
			})
		}
		synctest.Wait()
		assert.Check(t, messageMemory*received.Load() <= limit, "%d bytes kept", received.Load())
		pool := NewPool(WithDial(ln.dial))
		var out echoText
		text := strings.Repeat("x", 10_000)
		assert.NilError(t, pool.Conn("peer").Invoke(ctx, "/echo", echoEncoding{}, &echoText{text}, &out))
		assert.Equal(t, out.text, text)
		assert.NilError(t, pool.Close())
		cancel()
		wg.Wait()
		assert.Equal(t, memory.Used(), int64(0))
	})
}

// TestMemoryOfAnsweredMessagesIsReleased guards against memory that stays reserved on connections
// that wait for the next call.
func TestMemoryOfAnsweredMessagesIsReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := cicadamemory.NewBudget(8 << 20)
		server := NewServer(WithMemory(memory))
		assert.NilError(t, server.Mux().Register(echo{}, echoDescription{}))
		ln := newPipeListener()
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { _ = server.Serve(ctx, ln) })
		pool := NewPool(WithDial(ln.dial))
		for range 20 {
			var out echoText
			assert.NilError(t, pool.Conn("peer").Invoke(ctx, "/echo", echoEncoding{}, &echoText{strings.Repeat("x", 1<<20)}, &out))
			assert.Equal(t, len(out.text), 1<<20)
			synctest.Wait()
			assert.Assert(t, memory.Used() <= messageMemory*maxFrameHeader, "%d bytes reserved", memory.Used())
		}
		assert.NilError(t, pool.Close())
		cancel()
		wg.Wait()
	})
}

// TestMessageWithoutMemoryClosesItsConnection checks that the peer learns of it.
func TestMessageWithoutMemoryClosesItsConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := NewServer(WithMemory(cicadamemory.NewBudget(1 << 20)))
		assert.NilError(t, server.Mux().Register(echo{}, echoDescription{}))
		ln := newPipeListener()
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { _ = server.Serve(ctx, ln) })
		pool := NewPool(WithDial(ln.dial))
		err := pool.Conn("peer").Invoke(ctx, "/echo", echoEncoding{}, &echoText{strings.Repeat("x", 1<<20)}, &echoText{})
		var callErr *CallError
		assert.Assert(t, errors.As(err, &callErr) && callErr.End() == EndedByConnection, "%v", err)
		assert.NilError(t, pool.Close())
		cancel()
		wg.Wait()
	})
}

// TestFrameScanner checks that the size of a message is that of its frames, in whatever pieces
// they arrive.
func TestFrameScanner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var s frameScanner
		for message := range rapid.IntRange(1, 5).Draw(t, "messages") {
			frames := rapid.IntRange(1, 4).Draw(t, "frames")
			var wire []byte
			for i := range frames {
				data := make([]byte, rapid.IntRange(0, 300).Draw(t, "data"))
				wire = drpcwire.AppendFrame(wire, drpcwire.Frame{
					Data: data, ID: drpcwire.ID{Stream: 1, Message: uint64(message)}, Kind: drpcwire.KindMessage, Done: i == frames-1,
				})
			}
			size := len(wire)
			for len(wire) > 0 {
				assert.Assert(t, !s.complete || len(wire) == size)
				n := rapid.IntRange(1, len(wire)).Draw(t, "piece")
				assert.NilError(t, s.scan(wire[:n]))
				wire = wire[n:]
			}
			assert.Assert(t, s.complete)
			assert.Equal(t, s.size, size)
		}
	})
}
