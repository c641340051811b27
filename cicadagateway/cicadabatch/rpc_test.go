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

// counter answers each call and counts it.
type counter struct {
	calls   int
	relayed bool
}

// Handle answers a call.
func (c *counter) Handle(_ context.Context, call *Call) (*Answer, error) {
	c.calls++
	c.relayed = call.Relayed
	return &Answer{Status: http.StatusAccepted, Body: call.Body}, nil
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

func poolOf(t *testing.T) *cicadawire.Pool {
	pool := cicadawire.NewPool()
	t.Cleanup(func() { assert.Check(t, pool.Close() == nil) })
	return pool
}

// TestCallsGoThroughAnotherProcess answers an entry that is cut off from the
// owner of a job, while another entry is not.
func TestCallsGoThroughAnotherProcess(t *testing.T) {
	owner := &counter{}
	address := serve(t, func(mux drpc.Mux) error { return register(mux, owner) })
	middle := NewClient(poolOf(t), func() []Peer { return []Peer{{Name: "o", Address: address}} })
	through := serve(t, middle.Register)
	client := NewClient(poolOf(t), func() []Peer { return []Peer{{Name: "o", Address: through, Relayed: true}} })
	a, err := client.Call(t.Context(), &Call{Kind: CallSubmit, Job: "j", Body: []byte("body")})
	assert.NilError(t, err)
	assert.Equal(t, a.Status, http.StatusAccepted)
	assert.Equal(t, string(a.Body), "body")
	assert.Equal(t, owner.calls, 1)
	assert.Assert(t, owner.relayed)
}

func TestCallsAreRelayedOnce(t *testing.T) {
	client := NewClient(poolOf(t), func() []Peer { return []Peer{{Name: "o", Address: "127.0.0.1:1", Relayed: true}} })
	a, err := client.Call(t.Context(), &Call{Kind: CallRead, Job: "j", Relayed: true})
	assert.ErrorContains(t, err, "no owner")
	assert.Equal(t, a.Status, http.StatusServiceUnavailable)
}

func TestUnreachableOwnerIsNotARefusal(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := ln.Addr().String()
	assert.NilError(t, ln.Close())
	owner := &counter{}
	next := serve(t, func(mux drpc.Mux) error { return register(mux, owner) })
	job := "j"
	names := rank(job, []Peer{{Name: "a"}, {Name: "b"}})
	names[0].Address, names[1].Address = address, next
	client := NewClient(poolOf(t), func() []Peer { return names })
	a, err := client.Call(t.Context(), &Call{Kind: CallSubmit, Job: job})
	assert.NilError(t, err)
	assert.Equal(t, a.Status, http.StatusAccepted, "the next owner is asked")
	alone := NewClient(poolOf(t), func() []Peer { return names[:1] })
	a, err = alone.Call(t.Context(), &Call{Kind: CallSubmit, Job: job})
	assert.Assert(t, err != nil)
	assert.Equal(t, a.Status, http.StatusBadGateway, "an owner may have the job: nothing is promised")
}
