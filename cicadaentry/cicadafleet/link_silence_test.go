package cicadafleet

import (
	"context"
	"math/rand/v2"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadaconfig"
	"cicadalink.example/cicadakernel/cicadamember"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadawire"
)

// lateAgent sends its first heartbeat on a link after a delay, and the next ones every half second.
type lateAgent struct {
	cicadawire.DRPCAgentUnimplementedServer
	delay time.Duration
}

// Link implements DRPCAgentServer.
func (a *lateAgent) Link(stream cicadawire.DRPCAgent_LinkStream) error {
	time.Sleep(a.delay)
	for {
		if err := stream.Send(&cicadawire.LinkUp{Name: "agent-1", Load: &cicadawire.Load{}}); err != nil {
			return err
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// TestLinkIsNotEndedForEarlierSilence guards against a link to an agent that was away, which is ended before
// its first heartbeat because the agent was not heard on the link before.
func TestLinkIsNotEndedForEarlierSilence(t *testing.T) {
	for name, heardBefore := range map[string]bool{"never heard": false, "heard before": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				client := cicadaplatform.NewClient(cicadaplatform.NewMemory().Backend())
				srv := cicadawire.NewServer()
				assert.NilError(t, cicadawire.DRPCRegisterAgent(srv.Mux(), &lateAgent{delay: linkTimeout / 2}))
				serveCtx, stopServing := context.WithCancel(t.Context())
				conns := make(chan net.Conn, 10)
				pool := cicadawire.NewPool(cicadawire.WithDial(func(context.Context, string) (net.Conn, error) {
					near, far := net.Pipe()
					conns <- far
					return near, nil
				}))
				served := make(chan struct{})
				go func() {
					defer close(served)
					_ = srv.Serve(serveCtx, pipeListener{conns, serveCtx})
				}()
				f := New(cicadamember.Member{Name: "entry-1", DataCentre: "dc"}, client, cicadaconfig.NewStore(client, rand.Uint64), pool)
				e := NewEndpoint(cicadaplatform.VM{Name: "agent-1", Address: "agent"}, true)
				if heardBefore {
					e.UpdateLoad(&cicadawire.Load{})
					e.MarkDisconnected()
					time.Sleep(time.Minute)
				}
				ctx, cancel := context.WithTimeout(t.Context(), 4*linkTimeout)
				start := time.Now()
				_ = f.link(ctx, e)
				assert.Check(t, time.Since(start) == 4*linkTimeout, "the link ended after %v", time.Since(start))
				cancel()
				stopServing()
				<-served
				time.Sleep(10 * time.Second)
				assert.Check(t, pool.Close())
			})
		})
	}
}

// pipeListener accepts connections until its context ends.
type pipeListener struct {
	conns chan net.Conn
	ctx   context.Context
}

// Accept implements net.Listener.
func (l pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.ctx.Done():
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l pipeListener) Close() error { return nil }

// Addr implements net.Listener.
func (l pipeListener) Addr() net.Addr { return &net.TCPAddr{} }
