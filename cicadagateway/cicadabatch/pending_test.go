package cicadabatch

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadawire"
)

// callerPatience is how long a caller waits beyond the wait that it allows.
const callerPatience = 1500 * time.Millisecond

// A fakeOwner answers calls with a status after a delay, or never if the delay is 0.
type fakeOwner struct {
	name   string
	delay  time.Duration
	status int
	down   bool         // refuses connections
	calls  atomic.Int32 // checks apart
	checks atomic.Int32
	waits  chan time.Duration
}

// Handle answers a call. As a submission does, it goes on after its sender has left.
func (f *fakeOwner) Handle(ctx context.Context, c *Call) (*Response, error) {
	if c.Kind == CallCheck {
		f.checks.Add(1)
		if f.delay > 0 {
			return &Response{Status: http.StatusOK}, nil
		}
	} else {
		f.calls.Add(1)
		f.waits <- c.Wait
	}
	if f.delay == 0 {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	time.Sleep(f.delay)
	return &Response{Status: f.status}, nil
}

// A pipeListener accepts the connections that its dial function opens.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	close(l.done)
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// newFakeClient returns a client of owners, the first being the owner of testJob. It is closed, and the owners
// end, at the end of the test.
func newFakeClient(t *testing.T, owners ...*fakeOwner) *Client {
	t.Helper()
	listeners := make(map[string]*pipeListener)
	ctx, cancel := context.WithCancel(context.Background())
	var peers []Peer
	var servers sync.WaitGroup
	for i, p := range rankPeers(testJob, []Peer{{Name: "a"}, {Name: "b"}, {Name: "c"}})[:len(owners)] {
		o := owners[i]
		o.name, o.waits = p.Name, make(chan time.Duration, 100)
		peers = append(peers, Peer{Name: p.Name, Address: p.Name})
		if o.down {
			continue
		}
		srv := cicadawire.NewServer()
		assert.NilError(t, register(srv.Mux(), o))
		ln := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
		listeners[p.Name] = ln
		servers.Go(func() { _ = srv.Serve(ctx, ln) })
	}
	pool := cicadawire.NewPool(cicadawire.WithDial(func(_ context.Context, address string) (net.Conn, error) {
		ln, ok := listeners[address]
		if !ok {
			return nil, syscall.ECONNREFUSED
		}
		client, server := net.Pipe()
		ln.conns <- server
		return client, nil
	}))
	c := NewClient(pool, func() []Peer { return peers })
	t.Cleanup(func() {
		cancel()
		servers.Wait()
		c.tasks.Wait()
		assert.Check(t, pool.Close() == nil)
	})
	return c
}

const testJob = "j"

// callAsCaller makes a call as a caller does that leaves callerPatience after the wait it allows.
func (c *Client) callAsCaller(t *testing.T, call *Call) (Response, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), call.Wait+callerPatience)
	defer cancel()
	call.Job = testJob
	resp, err := c.Call(ctx, call)
	assert.NilError(t, ctx.Err(), "the caller has left")
	return resp, err
}

// TestReadIsAnsweredBesideHungOwner guards against an owner that does not answer and takes the whole time
// of each caller, so that no other owner is asked and the caller gets no answer.
func TestReadIsAnsweredBesideHungOwner(t *testing.T) {
	for _, wait := range []time.Duration{0, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			hung, next := &fakeOwner{}, &fakeOwner{delay: 100 * time.Millisecond, status: http.StatusOK}
			c := newFakeClient(t, hung, next)
			resp, err := c.callAsCaller(t, &Call{Kind: CallReadResults, Wait: wait})
			assert.NilError(t, err)
			assert.Equal(t, resp.Status, http.StatusOK)
			assert.Equal(t, hung.calls.Load(), int32(2), "the owner is tried over another connection too")
			assert.Equal(t, <-hung.waits, wait)
			assert.Equal(t, <-hung.waits, time.Duration(0), "a further attempt waits for results again")
		})
	}
}

// TestReadIsRefusedInTimeBesideHungOwners guards against callers that leave without any answer because no
// owner answers in time.
func TestReadIsRefusedInTimeBesideHungOwners(t *testing.T) {
	for _, wait := range []time.Duration{0, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			c := newFakeClient(t, &fakeOwner{}, &fakeOwner{}, &fakeOwner{})
			resp, err := c.callAsCaller(t, &Call{Kind: CallReadItem, Wait: wait})
			var failure *CallFailure
			assert.Assert(t, errors.As(err, &failure))
			assert.Equal(t, resp.Status, http.StatusServiceUnavailable)
			assert.Assert(t, resp.RetryAfter > 0)
			assert.Equal(t, failure.End(), EndLimit)
		})
	}
}

// TestSlowAnswerCostsOneCall guards against calls that are made again although their owner only waits, as
// it was asked to, or is a little slow.
func TestSlowAnswerCostsOneCall(t *testing.T) {
	for _, call := range []*Call{
		{Kind: CallReadResults, Wait: time.Second},
		{Kind: CallSubmit},
		{Kind: CallEndJob},
	} {
		synctest.Test(t, func(t *testing.T) {
			slow, next := &fakeOwner{delay: call.Wait + readHedgeDelay - time.Millisecond, status: http.StatusOK}, &fakeOwner{}
			c := newFakeClient(t, slow, next)
			resp, err := c.callAsCaller(t, call)
			assert.NilError(t, err)
			assert.Equal(t, resp.Status, http.StatusOK)
			assert.Equal(t, slow.calls.Load()+next.calls.Load()+slow.checks.Load()+next.checks.Load(), int32(1))
		})
	}
}

// TestOwnerThatAnswersChecksIsGivenItsTime guards against other owners that do the same work once more while
// the job's owner waits for the store.
func TestOwnerThatAnswersChecksIsGivenItsTime(t *testing.T) {
	for _, call := range []*Call{{Kind: CallReadResults}, {Kind: CallSubmit}} {
		synctest.Test(t, func(t *testing.T) {
			slow, next := &fakeOwner{delay: 1200 * time.Millisecond, status: http.StatusOK}, &fakeOwner{delay: time.Millisecond, status: http.StatusOK}
			c := newFakeClient(t, slow, next)
			resp, err := c.callAsCaller(t, call)
			assert.NilError(t, err)
			assert.Equal(t, resp.Status, http.StatusOK)
			assert.Equal(t, slow.checks.Load(), int32(1))
			assert.Equal(t, next.calls.Load(), int32(0))
		})
	}
}

// TestUnreachableOwnerLeavesItsTimeToTheNext guards against an owner that refuses connections and costs callers
// a wait.
func TestUnreachableOwnerLeavesItsTimeToTheNext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFakeClient(t, &fakeOwner{down: true}, &fakeOwner{delay: time.Millisecond, status: http.StatusAccepted})
		start := time.Now()
		resp, err := c.callAsCaller(t, &Call{Kind: CallSubmit})
		assert.NilError(t, err)
		assert.Equal(t, resp.Status, http.StatusAccepted)
		assert.Equal(t, time.Since(start), time.Millisecond)
	})
}

// TestSubmissionIsRefusedOnlyIfNotAccepted guards against a submission that is answered as refused by the
// next owner, while the job's owner, which has not answered, accepts it later.
func TestSubmissionIsRefusedOnlyIfNotAccepted(t *testing.T) {
	const soon = 10 * time.Millisecond
	for name, test := range map[string]struct {
		first, next *fakeOwner
		want        int
	}{
		"first hangs":                {&fakeOwner{}, &fakeOwner{delay: soon, status: http.StatusTooManyRequests}, http.StatusBadGateway},
		"first hangs, next is away":  {&fakeOwner{}, &fakeOwner{delay: soon, status: http.StatusServiceUnavailable}, http.StatusBadGateway},
		"first accepts late":         {&fakeOwner{delay: 2 * time.Second, status: http.StatusAccepted}, &fakeOwner{delay: soon, status: http.StatusTooManyRequests}, http.StatusAccepted},
		"first refuses late":         {&fakeOwner{delay: 2 * time.Second, status: http.StatusTooManyRequests}, &fakeOwner{delay: soon, status: http.StatusTooManyRequests}, http.StatusTooManyRequests},
		"first got nothing":          {&fakeOwner{down: true}, &fakeOwner{delay: soon, status: http.StatusTooManyRequests}, http.StatusTooManyRequests},
		"first hangs, next accepts":  {&fakeOwner{}, &fakeOwner{delay: soon, status: http.StatusAccepted}, http.StatusAccepted},
		"first does not know":        {&fakeOwner{delay: soon, status: http.StatusBadGateway}, &fakeOwner{delay: soon, status: http.StatusAccepted}, http.StatusBadGateway},
		"first knows no more, later": {&fakeOwner{delay: 2 * time.Second, status: http.StatusBadGateway}, &fakeOwner{delay: soon, status: http.StatusTooManyRequests}, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newFakeClient(t, test.first, test.next)
				resp, _ := c.Call(t.Context(), &Call{Kind: CallSubmit, Job: testJob})
				assert.Equal(t, resp.Status, test.want)
			})
		})
	}
}

// TestRelayedCallIsMadeOnce guards against calls that multiply at each process on their way.
func TestRelayedCallIsMadeOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		slow, next := &fakeOwner{delay: time.Second, status: http.StatusOK}, &fakeOwner{delay: time.Millisecond, status: http.StatusOK}
		c := newFakeClient(t, slow, next)
		resp, err := c.Call(t.Context(), &Call{Kind: CallReadResults, Job: testJob, Relayed: true})
		assert.NilError(t, err)
		assert.Equal(t, resp.Status, http.StatusOK)
		assert.Equal(t, slow.calls.Load(), int32(1))
		assert.Equal(t, next.calls.Load(), int32(0))
	})
}

// TestProgressGoesToOneOwner guards against progress of a job that counts as delivered because an owner that does
// not run the job has taken it.
func TestProgressGoesToOneOwner(t *testing.T) {
	for _, first := range []*fakeOwner{{}, {down: true}} {
		synctest.Test(t, func(t *testing.T) {
			next := &fakeOwner{delay: time.Millisecond, status: http.StatusOK}
			c := newFakeClient(t, first, next)
			ctx, cancel := context.WithTimeout(t.Context(), handOverTimeout)
			defer cancel()
			assert.Check(t, c.HandOver(ctx, testJob, []Progress{{Item: "i"}}) != nil)
			assert.Check(t, c.Replicate(ctx, Checkpoint{Job: testJob, Items: []Progress{{Item: "i"}}}) != nil)
			assert.Equal(t, next.calls.Load(), int32(0))
		})
	}
}
