package cicadabatch

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadagateway/cicadareservation"
	"cicadalink.example/cicadakernel/cicadaplatform"
)

// TestReviewTokensAreReservedOnce guards against a submission that a second owner gets beside the first, and whose
// tokens stay reserved at both, so that jobs which fit are refused.
func TestReviewTokensAreReservedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newLimitedDeployment(1000)
		d.stalled = true
		create, update := d.backend.Create, d.backend.Update
		d.backend.Create = func(ctx context.Context, name string, value []byte) (cicadaplatform.Object, error) {
			if name == JobsPrefix+"j1" {
				time.Sleep(time.Second) // longer than writePatience
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
			time.Sleep(writePatience)
		}
		assert.Equal(t, <-statuses, http.StatusAccepted)
		assert.Equal(t, <-statuses, http.StatusAccepted)
		time.Sleep(2 * time.Second)
		assert.Equal(t, o1.call(t, limitedCall("j2", 900, 900)).Status, http.StatusAccepted, "500 of 1000 tokens wait")
	})
}

// TestReviewRefusalIsNotRememberedBesideAnotherAttempt guards against an owner that refuses a submission while
// another one accepts it, and refuses it again later, because it remembers that the job did not exist.
func TestReviewRefusalIsNotRememberedBesideAnotherAttempt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newLimitedDeployment(500)
		d.stalled = true
		create, watch := d.backend.Create, d.backend.Watch
		d.backend.Create = func(ctx context.Context, name string, value []byte) (cicadaplatform.Object, error) {
			if name == JobsPrefix+"j1" {
				time.Sleep(time.Second) // longer than writePatience
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
		time.Sleep(writePatience)
		assert.Equal(t, o2.call(t, job).Status, http.StatusTooManyRequests)
		assert.Equal(t, <-accepted, http.StatusAccepted)
		time.Sleep(time.Second)
		assert.Equal(t, o2.call(t, job).Status, http.StatusAccepted, "the first owner has accepted the job")
	})
}
