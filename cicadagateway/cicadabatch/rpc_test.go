package cicadabatch

import (
	"context"
	"net"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
	"storj.io/drpc"

	"cicadalink.example/cicadakernel/cicadawire"
)

// countingHandler accepts all calls and counts them.
type countingHandler struct {
	calls   int
	relayed bool
}

// Handle accepts a call.
func (c *countingHandler) Handle(_ context.Context, call *Call) (*Response, error) {
	c.calls++
	c.relayed = call.Relayed
	return &Response{Status: http.StatusAccepted, Body: call.Body}, nil
}

func serve(t *testing.T, register func(drpc.Mux) error) string {
	t.Helper()
	srv := cicadawire.NewServer()
	assert.NilError(t, register(srv.Mux()))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = srv.Serve(ctx, ln)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return ln.Addr().String()
}

func newPool(t *testing.T) *cicadawire.Pool {
	pool := cicadawire.NewPool()
	t.Cleanup(func() { assert.Check(t, pool.Close() == nil) })
	return pool
}

// TestCallRelayedThroughAnotherProcess covers an entry that cannot reach the owner of a
// job while another entry can.
func TestCallRelayedThroughAnotherProcess(t *testing.T) {
	owner := &countingHandler{}
	address := serve(t, func(mux drpc.Mux) error { return register(mux, owner) })
	relay := NewClient(newPool(t), func() []Peer { return []Peer{{Name: "o", Address: address}} })
	relayAddress := serve(t, relay.Register)
	client := NewClient(newPool(t), func() []Peer { return []Peer{{Name: "o", Address: relayAddress, Relayed: true}} })
	resp, err := client.Call(t.Context(), &Call{Kind: CallSubmit, Job: "j", Body: []byte("body")})
	assert.NilError(t, err)
	assert.Equal(t, resp.Status, http.StatusAccepted)
	assert.Equal(t, string(resp.Body), "body")
	assert.Equal(t, owner.calls, 1)
	assert.Assert(t, owner.relayed)
}

func TestCallIsRelayedOnlyOnce(t *testing.T) {
	client := NewClient(newPool(t), func() []Peer { return []Peer{{Name: "o", Address: "127.0.0.1:1", Relayed: true}} })
	resp, err := client.Call(t.Context(), &Call{Kind: CallReadResults, Job: "j", Relayed: true})
	assert.ErrorContains(t, err, "no owner")
	assert.Equal(t, resp.Status, http.StatusServiceUnavailable)
}

func TestCallOfUnreachableOwnerIsRefused(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := ln.Addr().String()
	assert.NilError(t, ln.Close())
	owner := &countingHandler{}
	next := serve(t, func(mux drpc.Mux) error { return register(mux, owner) })
	job := "j"
	names := rankPeers(job, []Peer{{Name: "a"}, {Name: "b"}})
	names[0].Address, names[1].Address = address, next
	client := NewClient(newPool(t), func() []Peer { return names })
	resp, err := client.Call(t.Context(), &Call{Kind: CallSubmit, Job: job})
	assert.NilError(t, err)
	assert.Equal(t, resp.Status, http.StatusAccepted, "the next owner is tried")
	alone := NewClient(newPool(t), func() []Peer { return names[:1] })
	resp, err = alone.Call(t.Context(), &Call{Kind: CallSubmit, Job: job})
	assert.Assert(t, err != nil)
	assert.Equal(t, resp.Status, http.StatusServiceUnavailable, "nothing was sent, so that the refusal is true")
}
