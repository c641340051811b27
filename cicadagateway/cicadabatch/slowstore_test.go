package cicadabatch

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadawire"
)

// newOwnersClient returns a client of real owners, and a function that stops the connections.
func newOwnersClient(t *testing.T, owners ...*testOwner) (*Client, func()) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	listeners := make(map[string]*pipeListener)
	var peers []Peer
	var servers sync.WaitGroup
	for _, o := range owners {
		srv := cicadawire.NewServer()
		assert.NilError(t, o.Register(srv.Mux()))
		ln := &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
		listeners[o.name] = ln
		peers = append(peers, Peer{Name: o.name, Address: o.name})
		servers.Go(func() { _ = srv.Serve(ctx, ln) })
	}
	pool := cicadawire.NewPool(cicadawire.WithDial(func(_ context.Context, address string) (net.Conn, error) {
		client, server := net.Pipe()
		listeners[address].conns <- server
		return client, nil
	}))
	c := NewClient(pool, func() []Peer { return peers })
	return c, func() {
		cancel()
		servers.Wait()
		c.tasks.Wait()
		assert.Check(t, pool.Close() == nil)
	}
}

// readBesideSlowStore reads a job again and again whose owner has to ask the store, which takes a delay. The client
// knows the first n of three owners. It returns how many readers were served, and the reads of the store.
func readBesideSlowStore(t *testing.T, n int, delay time.Duration) (served int, gets int32) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		d.stalled = true
		var slow atomic.Bool
		var calls atomic.Int32
		get := d.backend.Get
		d.backend.Get = func(ctx context.Context, name string) (cicadaplatform.Object, error) {
			if slow.Load() {
				calls.Add(1)
				time.Sleep(delay)
			}
			return get(ctx, name)
		}
		before := d.startOwner("before", fixedOwners("before"))
		time.Sleep(time.Second)
		assert.Equal(t, before.call(t, submitCall(testJob, manyEvents)).Status, http.StatusAccepted)
		before.stop()
		names := []string{"a", "b", "c"}
		var owners []*testOwner
		for _, name := range names {
			owners = append(owners, d.startOwner(name, fixedOwners(names...)))
		}
		c, stop := newOwnersClient(t, owners...)
		known := rankPeers(testJob, c.owners())[:n]
		c.owners = func() []Peer { return known }
		time.Sleep(time.Second)
		slow.Store(true)
		var mu sync.Mutex
		var readers sync.WaitGroup
		for i := range 20 {
			readers.Go(func() {
				time.Sleep(time.Duration(i) * 250 * time.Millisecond)
				resp, _ := c.callAsCaller(t, &Call{Kind: CallReadResults})
				mu.Lock()
				defer mu.Unlock()
				if resp.Status == http.StatusOK {
					served++
				}
			})
		}
		readers.Wait()
		gets = calls.Load()
		slow.Store(false)
		time.Sleep(5 * time.Second)
		stop()
		for _, o := range owners {
			o.stop()
		}
	})
	return served, gets
}

// TestFurtherAttemptsSpareASlowStore guards against a store that gets several times as many reads when it is
// slow: an owner that waits for it is taken for hung, and the other owners read the store as well.
func TestFurtherAttemptsSpareASlowStore(t *testing.T) {
	for _, delay := range []time.Duration{700 * time.Millisecond, 900 * time.Millisecond} {
		served, gets := readBesideSlowStore(t, 1, delay)
		servedAll, getsAll := readBesideSlowStore(t, 3, delay)
		assert.Check(t, getsAll <= gets*3/2, "the store takes %v: %d of 20 readers served by %d reads of the store, with two more owners %d by %d",
			delay, served, gets, servedAll, getsAll)
	}
}
