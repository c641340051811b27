package cicadafollow

import (
	"context"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadaview"
)

// A registryTest is a registry in virtual time, with what its process and the peers know of the store.
type registryTest struct {
	link              *Link
	registry          *Registry
	stable, unsettled atomic.Bool // what peers report
	count             atomic.Int64
	present, removed  []cicadaplatform.Object
	cancel            context.CancelFunc
	retention         time.Duration
}

// newRegistryTest returns a registry of n endpoints. Its process has seen no failure of the store, but has
// waited for the events of a watch for so long that it would not have noticed a short outage.
func newRegistryTest(t *testing.T, n int) *registryTest {
	rt := &registryTest{link: NewLink(hclog.NewNullLogger(), nil), retention: 300 * time.Millisecond}
	var ctx context.Context
	ctx, rt.cancel = context.WithCancel(t.Context())
	rt.registry = NewRegistry(ctx, rt.link, hclog.NewNullLogger(), decodeTestEndpoint,
		func(all []cicadaview.Endpoint) { rt.count.Store(int64(len(all))) },
		WithPeerStable(rt.stable.Load), WithPeerUnsettled(rt.unsettled.Load), WithRetention(rt.retention))
	for i := range n {
		name := "servers/" + strconv.Itoa(i)
		rt.present = append(rt.present, cicadaplatform.NewObject(name, 1, []byte("x")))
		rt.removed = append(rt.removed, cicadaplatform.NewObject(name, 2, nil))
	}
	rt.link.Report(nil)
	rt.registry.Apply(Change{objects: rt.present, full: true})
	time.Sleep(10 * time.Second)
	return rt
}

func (rt *registryTest) stop() {
	rt.cancel()
	rt.registry.wg.Wait()
}

// lose applies the events of a watch which say that the first n endpoints are not registered any more.
func (rt *registryTest) lose(n int) {
	rt.link.Report(nil)
	rt.registry.Apply(Change{objects: rt.removed[:n]})
}

// This guards against sending requests to endpoints that the store has removed while it was stable, because
// many were removed at once.
func TestEndpointsRemovedTogetherAreNotRetained(t *testing.T) {
	for _, n := range []int{1, 3, 6, 9} {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rt := newRegistryTest(t, 9)
				defer rt.stop()
				rt.stable.Store(true)
				rt.lose(n)
				assert.Equal(t, rt.count.Load(), int64(9-n))
			})
		})
	}
}

// This guards against removing endpoints whose registrations have expired in an outage that this process
// has not noticed, as its watch kept waiting, however many there are.
func TestEndpointsThatExpiredInAnOutageAreRetained(t *testing.T) {
	for _, n := range []int{1, 3, 7, 9} {
		t.Run(strconv.Itoa(n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				rt := newRegistryTest(t, 9)
				defer rt.stop()
				rt.unsettled.Store(true)
				rt.lose(n)
				time.Sleep(settleTime - 100*time.Millisecond)
				assert.Equal(t, rt.count.Load(), int64(9))
				back := n / 2
				rt.registry.Apply(Change{objects: rt.present[:back]})
				rt.unsettled.Store(false)
				rt.stable.Store(true)
				time.Sleep(2 * retainedCheckInterval)
				assert.Equal(t, rt.count.Load(), int64(9-n+back), "endpoints that have not registered again must be removed")
			})
		})
	}
}

// This guards against retaining endpoints beyond the time within which requests must stop going to those
// that were removed, if nobody has called the store for a while.
func TestEndpointsAreRetainedBrieflyIfNobodyKnows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := newRegistryTest(t, 9)
		defer rt.stop()
		rt.lose(6)
		time.Sleep(rt.retention / 2)
		assert.Equal(t, rt.count.Load(), int64(9))
		time.Sleep(rt.retention/2 + 2*retainedCheckInterval)
		assert.Equal(t, rt.count.Load(), int64(3))
	})
}

// This guards against removing endpoints at the end of an outage in which a call of the process that polls
// the store has neither succeeded nor failed.
func TestCallThatOutlastsAnOutageIsNoSignOfAStableStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := newRegistryTest(t, 9)
		defer rt.stop()
		rt.link.setPolling(true)
		for range 5 {
			rt.link.Report(nil)
			time.Sleep(MaxPollInterval)
		}
		assert.Equal(t, rt.registry.storeState(), storeStable)
		time.Sleep(maxStableGap)
		assert.Assert(t, !rt.link.Settled(), "a call is overdue")
		rt.lose(9)
		time.Sleep(MaxPollInterval)
		rt.link.Report(nil)
		assert.Equal(t, rt.count.Load(), int64(9))
		for range 3 {
			time.Sleep(MaxPollInterval)
			rt.link.Report(nil)
		}
		assert.Equal(t, rt.count.Load(), int64(0))
	})
}

// This guards against taking a process that has just begun to poll the store for one whose calls are
// overdue.
func TestNewPollerIsSettled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := newRegistryTest(t, 1)
		defer rt.stop()
		rt.link.setPolling(true)
		assert.Assert(t, rt.link.Settled())
		rt.link.Report(nil)
		assert.Assert(t, rt.link.Settled())
	})
}

// This guards against peers that do not look for a removal themselves, because the digest of the process that
// noticed it still holds the endpoints that it retains.
func TestDigestLeavesOutRetainedEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rt := newRegistryTest(t, 9)
		defer rt.stop()
		before := rt.registry.Digest()
		rt.unsettled.Store(true)
		rt.lose(3)
		assert.Equal(t, rt.count.Load(), int64(9))
		assert.Assert(t, rt.registry.Digest() != before)
		rt.registry.Apply(Change{objects: rt.present[:3]})
		assert.Equal(t, rt.registry.Digest(), before)
	})
}
