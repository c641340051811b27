package cicadawire

import (
	"context"
	"errors"
	"io"

	"storj.io/drpc"
	"storj.io/drpc/drpcsignal"
)

// An addressConn makes calls to one address, each over a connection of the pool.
type addressConn struct {
	pool    *Pool
	address string
}

// Close does nothing: the connections belong to the pool.
func (c *addressConn) Close() error { return nil }

// Closed returns a channel that is never closed.
func (c *addressConn) Closed() <-chan struct{} { return nil }

// Invoke makes a unary call.
func (c *addressConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	conn, err := c.pool.take(ctx, c.address)
	if err != nil {
		return err
	}
	defer c.pool.put(c.address, conn)
	if err := conn.Invoke(ctx, rpc, enc, in, out); err != nil {
		return conn.callError(ctx, c.address, err)
	}
	conn.recordActivity()
	return nil
}

// NewStream begins a streaming call. The connection returns to the pool when the stream has ended.
func (c *addressConn) NewStream(ctx context.Context, rpc string, enc drpc.Encoding) (drpc.Stream, error) {
	conn, err := c.pool.take(ctx, c.address)
	if err != nil {
		return nil, err
	}
	s, err := conn.NewStream(ctx, rpc, enc)
	if err != nil {
		c.pool.put(c.address, conn)
		return nil, conn.callError(ctx, c.address, err)
	}
	conn.unanswered.Store(true) // until a message arrives
	stream := &pooledStream{Stream: s, conn: conn, ctx: &streamContext{Context: s.Context()}}
	go func() {
		<-s.Context().Done()
		c.pool.put(c.address, conn)
		stream.ctx.done.Close()
	}()
	return stream, nil
}

// A pooledStream is a stream over a connection of a pool.
type pooledStream struct {
	drpc.Stream
	conn *pooledConn
	ctx  *streamContext
}

// Context returns a context that is done once the stream has ended and its connection can be reused.
func (s *pooledStream) Context() context.Context { return s.ctx }

// MsgRecv receives a message.
func (s *pooledStream) MsgRecv(msg drpc.Message, enc drpc.Encoding) error {
	err := s.Stream.MsgRecv(msg, enc)
	if err == nil || errors.Is(err, io.EOF) {
		s.conn.recordActivity()
	}
	return err
}

// A streamContext is the context of a stream, done a little later.
type streamContext struct {
	context.Context
	done drpcsignal.Chan
}

// Done returns a channel that is closed when the stream's connection can be reused.
func (c *streamContext) Done() <-chan struct{} { return c.done.Get() }
