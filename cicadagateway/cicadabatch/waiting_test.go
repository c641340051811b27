package cicadabatch

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"cicadalink.example/cicadagateway/cicadareservation"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadaview"
)

// limitedDeployment is a deployment whose batch route limits the waiting tokens, and whose
// owners reach each other unless they are cut off.
type limitedDeployment struct {
	*testDeployment
	mu            sync.Mutex
	limitedOwners map[string]*testOwner
}

func newLimitedDeployment(limit int64) *limitedDeployment {
	d := &limitedDeployment{testDeployment: newTestDeployment(), limitedOwners: make(map[string]*testOwner)}
	d.config = cicadaview.NewConfig(1, []cicadaview.Route{{
		Name: "r", Host: "h", Prefix: "/j/", Kind: cicadaview.Batch, Due: 18 * time.Second, GiveUpAfter: time.Minute, MaxAttempts: 3,
		MaxWaitingTokens: limit, Targets: []cicadaview.Target{{Service: "s", Weight: 1}},
	}}, nil, cicadaview.Limits{})
	return d
}

func (d *limitedDeployment) startLimited(name string, owners func() []string) *testOwner {
	others := func(call func(o *testOwner)) {
		d.mu.Lock()
		current := maps.Clone(d.limitedOwners)
		d.mu.Unlock()
		for other, o := range current {
			if other != name {
				call(o)
			}
		}
	}
	limiter := cicadareservation.New(name, cicadaplatform.NewClient(d.backend), hclog.NewNullLogger(),
		cicadareservation.WithShrink(func(ctx context.Context, route string) {
			others(func(o *testOwner) { o.limiter.Shrink(ctx, route) })
		}))
	o := d.startOwner(name, owners, WithLimiter(limiter, func(_ context.Context, reports []WaitingTokens) {
		others(func(o *testOwner) { o.enqueue(func() { o.applyWaiting(reports) }) })
	}))
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limitedOwners[name] = o
	return o
}

// limitedCall returns a submission of a job whose items have 100 tokens each.
func limitedCall(id string, events ...int) *Call {
	c := submitCall(id, events...)
	items := ""
	for i, n := range events {
		items += fmt.Sprintf(`,{"Id":"%s-%d","Path":"/j/%d","Headers":{"X-Model":"m"},"Body":"q83v","Tokens":100}`, id, i, n)
	}
	c.Body = []byte(`{"Items":[` + items[1:] + `]}`)
	return c
}

// TestJobBeyondTheLimitIsRefused covers a job that does not fit in the limit of its route: it
// gets 429 with a Retry-After, and is accepted once enough items have finished.
func TestJobBeyondTheLimitIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newLimitedDeployment(500)
		o := d.startLimited("o1", fixedOwners("o1"))
		defer o.stop()
		time.Sleep(time.Second)
		assert.Equal(t, o.call(t, limitedCall("j1", 20, 20, 20, 20)).Status, http.StatusAccepted)
		refused := o.call(t, limitedCall("j2", 20, 20))
		assert.Equal(t, refused.Status, http.StatusTooManyRequests)
		assert.Assert(t, refused.RetryAfter > 0)
		assert.Equal(t, o.call(t, &Call{Kind: CallReadResults, Job: "j2"}).Status, http.StatusNotFound)
		assert.Equal(t, o.call(t, limitedCall("j1", 20, 20, 20, 20)).Status, http.StatusAccepted, "an accepted job is not refused when it comes again")
		time.Sleep(4 * time.Second)
		assert.Equal(t, o.call(t, limitedCall("j2", 20, 20)).Status, http.StatusAccepted)
	})
}

// TestEndedJobDoesNotWait checks that the tokens of an ended job can be used by the next.
func TestEndedJobDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newLimitedDeployment(500)
		o := d.startLimited("o1", fixedOwners("o1"))
		defer o.stop()
		time.Sleep(time.Second)
		assert.Equal(t, o.call(t, limitedCall("j1", 900, 900, 900, 900, 900)).Status, http.StatusAccepted)
		assert.Equal(t, o.call(t, limitedCall("j2", 20)).Status, http.StatusTooManyRequests)
		assert.Equal(t, o.call(t, &Call{Kind: CallEndJob, Job: "j1"}).Status, http.StatusOK)
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, o.call(t, limitedCall("j2", 20)).Status, http.StatusAccepted)
	})
}

// TestAcceptorLearnsOfItemsThatAnotherOwnerFinishes covers a job that was accepted by one
// owner and is run by another: its tokens stay on the account of the first until the second
// reports them finished.
func TestAcceptorLearnsOfItemsThatAnotherOwnerFinishes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newLimitedDeployment(500)
		var eligible atomic.Value
		eligible.Store("o1")
		owners := func() []string { return []string{eligible.Load().(string)} }
		o1, o2 := d.startLimited("o1", owners), d.startLimited("o2", owners)
		defer o1.stop()
		defer o2.stop()
		time.Sleep(time.Second)
		assert.Equal(t, o1.call(t, limitedCall("j1", 60, 60, 60, 60, 60)).Status, http.StatusAccepted)
		eligible.Store("o2")
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, o2.call(t, limitedCall("j2", 20)).Status, http.StatusTooManyRequests)
		time.Sleep(8 * time.Second)
		assert.Equal(t, len(o2.results(t, "j1", 0).Results), 5)
		assert.Equal(t, o2.call(t, limitedCall("j2", 20, 20, 20, 20, 20)).Status, http.StatusAccepted)
	})
}

// TestRestartedAcceptorLearnsOfFinishedItems guards against tokens that stay reserved for a job that is finished,
// because the owner that accepted it has started anew and has lost the reports.
func TestRestartedAcceptorLearnsOfFinishedItems(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newLimitedDeployment(500)
		var eligible atomic.Value
		eligible.Store("o1")
		owners := func() []string { return []string{eligible.Load().(string)} }
		o1, o2 := d.startLimited("o1", owners), d.startLimited("o2", owners)
		defer o2.stop()
		time.Sleep(time.Second)
		assert.Equal(t, o1.call(t, limitedCall("j1", 60, 60, 60, 60, 60)).Status, http.StatusAccepted)
		eligible.Store("o2")
		time.Sleep(8 * time.Second)
		assert.Equal(t, len(o2.results(t, "j1", 0).Results), 5)
		o1.stop()
		o1 = d.startLimited("o1", owners)
		defer o1.stop()
		time.Sleep(maxRepeatInterval + minRepeatInterval)
		assert.Equal(t, o1.call(t, limitedCall("j2", 20, 20, 20, 20, 20)).Status, http.StatusAccepted)
	})
}

// TestRefusalOfAJobAcceptedElsewhere covers a repeated submission that reaches an owner which
// has not learnt of the job yet. The job is accepted, so it must not be refused.
func TestRefusalOfAJobAcceptedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newLimitedDeployment(500)
		o1 := d.startLimited("o1", fixedOwners("o1"))
		defer o1.stop()
		time.Sleep(time.Second)
		assert.Equal(t, o1.call(t, limitedCall("j1", 900, 900, 900, 900, 900)).Status, http.StatusAccepted)
		o2 := d.startLimited("o2", fixedOwners("o1"))
		defer o2.stop()
		synctest.Wait()
		o2.enqueueAndWait(func() { delete(o2.jobs, "j1") })
		assert.Equal(t, o2.call(t, limitedCall("j1", 900, 900, 900, 900, 900)).Status, http.StatusAccepted)
	})
}

// TestOwnerThatKnowsNoJobsRefusesOnlyForNow covers an owner that has just started: it does not
// know what waits on its account.
func TestOwnerThatKnowsNoJobsRefusesOnlyForNow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newLimitedDeployment(500)
		d.memory.SetFault(func(_ context.Context, call, _ string) (error, error) {
			if call == "list" {
				return cicadaplatform.ErrUnavailable, nil
			}
			return nil, nil
		})
		o := d.startLimited("o1", fixedOwners("o1"))
		defer o.stop()
		time.Sleep(time.Second)
		assert.Equal(t, o.call(t, limitedCall("j1", 20)).Status, http.StatusServiceUnavailable)
		d.memory.SetFault(nil)
		time.Sleep(3 * time.Second)
		assert.Equal(t, o.call(t, limitedCall("j1", 20)).Status, http.StatusAccepted)
	})
}
