package cicadabatch

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"cicadalink.example/cicadagateway/cicadareservation"
	"cicadalink.example/cicadakernel/cicadaplatform"
)

// TestTokensAreReservedOnce guards against a submission that a second owner gets beside the first, and whose
// tokens stay reserved at both, so that jobs which fit are refused.
func TestTokensAreReservedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newLimitedDeployment(1000)
		d.stalled = true
		create, update := d.backend.Create, d.backend.Update
		d.backend.Create = func(ctx context.Context, name string, value []byte) (cicadaplatform.Object, error) {
			if name == JobsPrefix+"j1" {
				time.Sleep(time.Second) // longer than writeHedgeDelay
			}
			return create(ctx, name, value)
		}
		d.backend.Update = func(ctx context.Context, name string, version int64, value []byte) (cicadaplatform.Object, error) {
			if strings.HasPrefix(name, cicadareservation.Prefix) {
				time.Sleep(400 * time.Millisecond) // the watch reports the job of the first owner meanwhile
			}
			return update(ctx, name, version, value)
		}
		o1 := d.startLimited("o1", fixedOwners("o1", "o2"))
		defer o1.stop()
		o2 := d.startLimited("o2", fixedOwners("o1", "o2"))
		defer o2.stop()
		time.Sleep(time.Second)
		statuses := make(chan int, 2)
		for _, o := range []*testOwner{o1, o2} {
			go func() { statuses <- o.call(t, limitedCall("j1", 900, 900, 900, 900, 900)).Status }()
			time.Sleep(writeHedgeDelay)
		}
		assert.Equal(t, <-statuses, http.StatusAccepted)
		assert.Equal(t, <-statuses, http.StatusAccepted)
		time.Sleep(2 * time.Second)
		assert.Equal(t, o1.call(t, limitedCall("j2", 900, 900)).Status, http.StatusAccepted, "500 of 1000 tokens wait")
	})
}

// TestRefusalIsNotRememberedBesideAnotherAttempt guards against an owner that refuses a submission while
// another one accepts it, and refuses it again later, because it remembers that the job did not exist.
func TestRefusalIsNotRememberedBesideAnotherAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newLimitedDeployment(500)
		d.stalled = true
		create, watch := d.backend.Create, d.backend.Watch
		d.backend.Create = func(ctx context.Context, name string, value []byte) (cicadaplatform.Object, error) {
			if name == JobsPrefix+"j1" {
				time.Sleep(time.Second) // longer than writeHedgeDelay
			}
			return create(ctx, name, value)
		}
		o1 := d.startLimited("o1", fixedOwners("o1", "o2"))
		defer o1.stop()
		d.backend.Watch = func(ctx context.Context, prefix string, from int64) (cicadaplatform.Page, error) {
			page, err := watch(ctx, prefix, from)
			time.Sleep(3 * time.Second) // a watch on a connection that fell silent
			return page, err
		}
		o2 := d.startLimited("o2", fixedOwners("o1", "o2"))
		defer o2.stop()
		time.Sleep(time.Second)
		job := limitedCall("j1", 900, 900, 900, 900, 900)
		accepted := make(chan int, 1)
		go func() { accepted <- o1.call(t, job).Status }()
		time.Sleep(writeHedgeDelay)
		assert.Equal(t, o2.call(t, job).Status, http.StatusTooManyRequests)
		assert.Equal(t, <-accepted, http.StatusAccepted)
		time.Sleep(time.Second)
		assert.Equal(t, o2.call(t, job).Status, http.StatusAccepted, "the first owner has accepted the job")
	})
}

// TestLostReportIsRepeated guards against tokens that stay reserved for a job that is finished, because the
// report of that was lost once and is not sent again.
func TestLostReportIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newLimitedDeployment(500)
		var eligible atomic.Value
		eligible.Store("o1")
		owners := func() []string { return []string{eligible.Load().(string)} }
		o1 := d.startLimited("o1", owners)
		defer o1.stop()
		var cut atomic.Bool
		cut.Store(true)
		limiter := cicadareservation.New("o2", cicadaplatform.NewClient(d.backend), hclog.NewNullLogger(),
			cicadareservation.WithShrink(func(ctx context.Context, route string) { o1.limiter.Shrink(ctx, route) }))
		o2 := d.startOwner("o2", owners, WithLimiter(limiter, func(_ context.Context, reports []WaitingTokens) {
			if !cut.Load() {
				o1.enqueue(func() { o1.applyWaiting(reports) })
			}
		}))
		d.limitedOwners["o2"] = o2
		defer o2.stop()
		time.Sleep(time.Second)
		assert.Equal(t, o1.call(t, limitedCall("j1", 60, 60, 60, 60, 60)).Status, http.StatusAccepted)
		eligible.Store("o2")
		time.Sleep(8 * time.Second)
		assert.Equal(t, len(o2.results(t, "j1", 0).Results), 5)
		cut.Store(false)
		time.Sleep(8 * time.Second)
		assert.Equal(t, o2.call(t, limitedCall("j2", 20, 20, 20, 20, 20)).Status, http.StatusAccepted)
	})
}
