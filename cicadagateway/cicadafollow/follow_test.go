package cicadafollow

import (
	"context"
	"errors"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadaview"
)

// storeFaults injects faults into the calls of a backend.
type storeFaults struct {
	down          atomic.Bool
	silentWatches atomic.Bool // watches block and return no events
	compacted     atomic.Bool // the next watch finds its history discarded
	lists         atomic.Int64
}

func (f *storeFaults) inject(b cicadaplatform.Backend) cicadaplatform.Backend {
	list, watch := b.List, b.Watch
	b.List = func(ctx context.Context, prefix, after string, limit int) (cicadaplatform.Page, error) {
		f.lists.Add(1)
		if f.down.Load() {
			return cicadaplatform.Page{}, cicadaplatform.ErrUnavailable
		}
		return list(ctx, prefix, after, limit)
	}
	b.Watch = func(ctx context.Context, prefix string, from int64) (cicadaplatform.Page, error) {
		if f.compacted.CompareAndSwap(true, false) {
			return cicadaplatform.Page{}, cicadaplatform.ErrCompacted
		}
		if f.silentWatches.Load() || f.down.Load() {
			timer := time.NewTimer(2 * time.Second)
			defer timer.Stop()
			select {
			case <-timer.C:
			case <-ctx.Done():
				return cicadaplatform.Page{}, ctx.Err()
			}
			if f.down.Load() {
				return cicadaplatform.Page{}, cicadaplatform.ErrUnavailable
			}
			return cicadaplatform.NewPage(nil, from, false), nil
		}
		return watch(ctx, prefix, from)
	}
	return b
}

// TestChangesAreCoalesced guards against a burst of store calls when all processes
// start at once: each registration would otherwise cost every follower a call.
func TestChangesAreCoalesced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ft := newFollowerTest()
		ctx, cancel := context.WithCancel(t.Context())
		f := New(ctx, ft.store, "config/", ft.link, hclog.NewNullLogger(), ft.apply, WithCoalesceDelay(500*time.Millisecond))
		time.Sleep(100 * time.Millisecond)
		before := ft.store.Reads()
		for i := range 20 {
			ft.put(t, "config/"+strconv.Itoa(i), "x")
			time.Sleep(10 * time.Millisecond)
		}
		ft.put(t, "config/main", "last")
		time.Sleep(600 * time.Millisecond)
		assert.Equal(t, ft.value(), "last")
		assert.Assert(t, ft.store.Reads()-before <= 2, "%d calls", ft.store.Reads()-before)
		cancel()
		f.Wait()
	})
}

type followerTest struct {
	storeFaults
	memory      *cicadaplatform.Memory
	store       *cicadaplatform.Client
	link        *Link
	objects     map[string]string
	configValue atomic.Pointer[string]
}

func newFollowerTest() *followerTest {
	ft := &followerTest{memory: cicadaplatform.NewMemory(), objects: make(map[string]string)}
	ft.store = cicadaplatform.NewClient(ft.inject(ft.memory.Backend()))
	ft.link = NewLink(hclog.NewNullLogger(), nil)
	return ft
}

func (ft *followerTest) put(t *testing.T, name, value string) {
	t.Helper()
	b := ft.memory.Backend()
	obj, err := b.Get(t.Context(), name)
	if errors.Is(err, cicadaplatform.ErrNotFound) {
		_, err = b.Create(t.Context(), name, []byte(value))
	} else {
		_, err = b.Update(t.Context(), name, obj.Version(), []byte(value))
	}
	assert.NilError(t, err)
}

func (ft *followerTest) apply(c Change) {
	if c.Full() {
		clear(ft.objects)
	}
	for _, obj := range c.Objects() {
		if obj.Value() == nil {
			delete(ft.objects, obj.Name())
			continue
		}
		ft.objects[obj.Name()] = string(obj.Value())
	}
	value := ft.objects["config/main"]
	ft.configValue.Store(&value)
}

func (ft *followerTest) value() string {
	if p := ft.configValue.Load(); p != nil {
		return *p
	}
	return ""
}

func TestFollowerAppliesChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ft := newFollowerTest()
		ft.put(t, "config/main", "1")
		ctx, cancel := context.WithCancel(t.Context())
		f := New(ctx, ft.store, "config/", ft.link, hclog.NewNullLogger(), ft.apply)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, ft.value(), "1")
		ft.put(t, "config/main", "2")
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, ft.value(), "2")
		assert.Assert(t, ft.link.Up())
		cancel()
		f.Wait()
	})
}

// TestPollingSeesChangesThatWatchMisses uses a store whose watches return nothing for a
// while, as a store may do before it discards its history.
func TestPollingSeesChangesThatWatchMisses(t *testing.T) {
	for _, polls := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			ft := newFollowerTest()
			ft.put(t, "config/main", "1")
			ft.silentWatches.Store(true)
			ctx, cancel := context.WithCancel(t.Context())
			f := New(ctx, ft.store, "config/", ft.link, hclog.NewNullLogger(), ft.apply, WithPoll(func() bool { return polls }))
			time.Sleep(100 * time.Millisecond)
			ft.put(t, "config/main", "2")
			time.Sleep(1500 * time.Millisecond)
			assert.Equal(t, ft.value() == "2", polls)
			f.Refresh()
			time.Sleep(100 * time.Millisecond)
			assert.Equal(t, ft.value(), "2", "Refresh must list the objects immediately")
			cancel()
			f.Wait()
		})
	}
}

func TestFollowerRelistsAfterCompaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ft := newFollowerTest()
		ft.put(t, "config/main", "1")
		ctx, cancel := context.WithCancel(t.Context())
		ft.compacted.Store(true)
		f := New(ctx, ft.store, "config/", ft.link, hclog.NewNullLogger(), ft.apply)
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, ft.lists.Load(), int64(2))
		cancel()
		f.Wait()
	})
}

func TestViewIsKeptWhileStoreIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ft := newFollowerTest()
		ft.put(t, "config/main", "1")
		ft.silentWatches.Store(true)
		ctx, cancel := context.WithCancel(t.Context())
		f := New(ctx, ft.store, "config/", ft.link, hclog.NewNullLogger(), ft.apply)
		time.Sleep(100 * time.Millisecond)
		ft.down.Store(true)
		time.Sleep(30 * time.Second)
		assert.Equal(t, ft.value(), "1")
		assert.Assert(t, !ft.link.Up())
		assert.Assert(t, ft.lists.Load() < 60, "%d lists in 30 s", ft.lists.Load())
		ft.put(t, "config/main", "2")
		ft.down.Store(false)
		time.Sleep(4 * time.Second)
		assert.Equal(t, ft.value(), "2")
		cancel()
		f.Wait()
	})
}

func decodeTestEndpoint(id string, value []byte) (cicadaview.Endpoint, error) {
	if strings.HasPrefix(string(value), "malformed") {
		return cicadaview.Endpoint{}, errors.New("malformed endpoint")
	}
	return cicadaview.Endpoint{ID: id, Address: string(value)}, nil
}

// TestMissingEndpointIsRemovedIfPeerIsStable guards against sending requests to an
// endpoint that left while only this process was cut off from the store. A peer had a
// stable connection, so the endpoint's registration was deleted and has not expired in
// an outage.
func TestMissingEndpointIsRemovedIfPeerIsStable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		link := NewLink(hclog.NewNullLogger(), nil)
		var count atomic.Int64
		var peerStable atomic.Bool
		g := NewRegistry(ctx, link, hclog.NewNullLogger(), decodeTestEndpoint,
			func(all []cicadaview.Endpoint) { count.Store(int64(len(all))) }, WithPeerStable(peerStable.Load))
		applyFull := func(ids ...string) {
			var objects []cicadaplatform.Object
			for _, id := range ids {
				objects = append(objects, cicadaplatform.NewObject("servers/"+id, 1, []byte("x")))
			}
			g.Apply(Change{objects: objects, full: true})
		}
		link.Report(nil)
		time.Sleep(settleTime)
		for _, c := range []struct {
			peerStable bool
			want       int64
		}{{false, 8}, {true, 7}} {
			peerStable.Store(c.peerStable)
			applyFull("a", "b", "c", "d", "e", "f", "g", "h")
			link.Report(cicadaplatform.ErrUnavailable)
			time.Sleep(10 * time.Second)
			link.Report(nil)
			applyFull("b", "c", "d", "e", "f", "g", "h")
			assert.Equal(t, count.Load(), c.want, "peer stable: %v", c.peerStable)
		}
		cancel()
		g.wg.Wait()
	})
}

// TestLinkStable checks that a process that calls the store rarely, and so may miss an
// outage, does not report a stable connection.
func TestLinkStable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		link := NewLink(hclog.NewNullLogger(), nil)
		reportSuccesses := func(n int, gap time.Duration) {
			for range n {
				link.Report(nil)
				time.Sleep(gap)
			}
		}
		assert.Assert(t, !link.Stable())
		reportSuccesses(2, 900*time.Millisecond)
		assert.Assert(t, !link.Stable(), "calls have succeeded for too short a time")
		reportSuccesses(2, 900*time.Millisecond)
		assert.Assert(t, link.Stable())
		time.Sleep(8 * time.Second)
		assert.Assert(t, !link.Stable(), "no successful call within maxStableGap")
		assert.Assert(t, link.Settled())
		link.Report(nil)
		assert.Assert(t, !link.Stable(), "an outage may have been missed")
		reportSuccesses(3, 900*time.Millisecond)
		assert.Assert(t, link.Stable())
		link.Report(cicadaplatform.ErrUnavailable)
		assert.Assert(t, !link.Stable())
	})
}

// TestRefreshInterruptsBackoff guards against a delay after an outage: the first
// follower of a process that reaches the store again refreshes the others.
func TestRefreshInterruptsBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ft := newFollowerTest()
		ft.put(t, "config/main", "1")
		ft.down.Store(true)
		ctx, cancel := context.WithCancel(t.Context())
		f := New(ctx, ft.store, "config/", ft.link, hclog.NewNullLogger(), ft.apply)
		time.Sleep(20 * time.Second)
		ft.down.Store(false)
		f.Refresh()
		time.Sleep(time.Millisecond)
		assert.Equal(t, ft.value(), "1")
		cancel()
		f.Wait()
	})
}

func TestRegistryKeepsEndpointsDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		link := NewLink(hclog.NewNullLogger(), nil)
		var count atomic.Int64
		g := NewRegistry(ctx, link, hclog.NewNullLogger(), decodeTestEndpoint, func(all []cicadaview.Endpoint) { count.Store(int64(len(all))) })
		obj := func(id, value string) cicadaplatform.Object {
			var b []byte
			if value != "" {
				b = []byte(value)
			}
			return cicadaplatform.NewObject("servers/"+id, 1, b)
		}
		link.Report(nil)
		time.Sleep(settleTime)
		g.Apply(Change{objects: []cicadaplatform.Object{obj("a", "x"), obj("b", "y"), obj("c", "malformed")}, full: true})
		assert.Equal(t, count.Load(), int64(2), "a malformed registration adds no endpoint")

		g.Apply(Change{objects: []cicadaplatform.Object{obj("b", "")}})
		assert.Equal(t, count.Load(), int64(1), "must be removed immediately while the store is settled")

		link.Report(cicadaplatform.ErrUnavailable)
		time.Sleep(5 * time.Second)
		link.Report(nil)
		g.Apply(Change{objects: []cicadaplatform.Object{obj("d", "z")}, full: true})
		assert.Equal(t, count.Load(), int64(2), "a must be retained: its registration may have expired during the outage")
		time.Sleep(settleTime - 300*time.Millisecond)
		assert.Equal(t, count.Load(), int64(2))
		time.Sleep(time.Second)
		assert.Equal(t, count.Load(), int64(1), "a has not registered again and must be removed")
		cancel()
		g.wg.Wait()
	})
}

func TestDigestIsIndependentOfOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		link := NewLink(hclog.NewNullLogger(), nil)
		publish := func([]cicadaview.Endpoint) {}
		one := NewRegistry(ctx, link, hclog.NewNullLogger(), decodeTestEndpoint, publish)
		two := NewRegistry(ctx, link, hclog.NewNullLogger(), decodeTestEndpoint, publish)
		a := cicadaplatform.NewObject("servers/a", 1, []byte("x"))
		b := cicadaplatform.NewObject("servers/b", 2, []byte("y"))
		one.Apply(Change{objects: []cicadaplatform.Object{a, b}})
		two.Apply(Change{objects: []cicadaplatform.Object{b}})
		assert.Assert(t, one.Digest() != two.Digest())
		two.Apply(Change{objects: []cicadaplatform.Object{a}})
		assert.Equal(t, one.Digest(), two.Digest())
		cancel()
		one.wg.Wait()
		two.wg.Wait()
	})
}
