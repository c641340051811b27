package cicadawire

import (
	"context"
	"io"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// delayBetween returns two ends of a connection on which bytes take a delay in each direction.
func delayBetween(delay time.Duration) (near, far net.Conn) {
	near, a := net.Pipe()
	far, b := net.Pipe()
	forward := func(to, from net.Conn) {
		type piece struct {
			at time.Time
			b  []byte
		}
		pieces := make(chan piece, 1000)
		go func() {
			defer to.Close()
			for p := range pieces {
				time.Sleep(time.Until(p.at))
				if _, err := to.Write(p.b); err != nil {
					_, _ = io.Copy(io.Discard, from)
				}
			}
		}()
		defer close(pieces)
		buf := make([]byte, 4096)
		for {
			n, err := from.Read(buf)
			if err != nil {
				return
			}
			pieces <- piece{time.Now().Add(delay), append([]byte(nil), buf[:n]...)}
		}
	}
	go forward(b, a)
	go forward(a, b)
	return near, far
}

// TestSlowServerIsNotTakenForDead guards against a server that is slow, and gets a new connection for each
// call and each call late, because it does not answer a ping in time.
func TestSlowServerIsNotTakenForDead(t *testing.T) {
	const answerTime = 400 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		s := newEchoServer(t)
		silent := 0
		pool := NewPool(WithDial(func(context.Context, string) (net.Conn, error) {
			near, far := delayBetween(answerTime / 2)
			s.mu.Lock()
			defer s.mu.Unlock()
			s.conns = append(s.conns, &mutableConn{Conn: near, silent: make(chan struct{}), closed: make(chan struct{})})
			go func() { _ = s.srv.srv.ServeOne(s.ctx, far) }()
			return near, nil
		}), WithOnDead(func(string, time.Duration) { silent++ }))
		var callers sync.WaitGroup
		for range 5 {
			callers.Go(func() { assert.Check(t, callEcho(t.Context(), pool, time.Second) == nil) })
		}
		callers.Wait()
		for range 5 {
			time.Sleep(pingAfter + time.Second)
			assert.NilError(t, callEcho(t.Context(), pool, time.Second))
		}
		assert.Check(t, s.dialed() == 5, "%d connections opened, %d times found silent", s.dialed(), silent)
		assert.Check(t, pool.Close())
		s.closeAll()
		time.Sleep(time.Minute)
	})
}
