package cicadabatch

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadaplatform"
)

// answerDelay is less than what is left until the next tick of an owner in acceptJob.
const answerDelay = 20 * time.Millisecond

// acceptJob submits a job to the only owner of a deployment, whose watch reports the job before
// or after the store has answered the submission. duringAnswer, if set, is called between the two.
func acceptJob(t *testing.T, d *testDeployment, watchFirst bool, c *Call, duringAnswer func(o *testOwner)) *testOwner {
	var o *testOwner
	create, watch := d.backend.Create, d.backend.Watch
	d.backend.Create = func(ctx context.Context, name string, value []byte) (cicadaplatform.Object, error) {
		obj, err := create(ctx, name, value)
		if !strings.HasPrefix(name, JobsPrefix) {
			return obj, err
		}
		if watchFirst {
			time.Sleep(answerDelay)
		}
		known := false
		o.enqueueAndWait(func() { known = o.jobs[c.Job] != nil })
		assert.Check(t, known == watchFirst, "the watch has reported the job before the answer: %v", known)
		if duringAnswer != nil {
			duringAnswer(o)
		}
		return obj, err
	}
	d.backend.Watch = func(ctx context.Context, prefix string, from int64) (cicadaplatform.Page, error) {
		page, err := watch(ctx, prefix, from)
		if !watchFirst {
			time.Sleep(answerDelay)
		}
		return page, err
	}
	o = d.startOwner("o1", fixedOwners("o1"))
	time.Sleep(time.Second + tickInterval/2)
	assert.Equal(t, o.call(t, c).Status, http.StatusAccepted)
	return o
}

// readForAWhile reads the results of a job for as long as late writes are expected and returns the
// number of reads of the store that this takes.
func (o *testOwner) readForAWhile(t *testing.T, d *testDeployment, job string) int64 {
	before := d.memory.Calls()["get"]
	for end := time.Now().Add(lateWriteWindow); time.Now().Before(end); time.Sleep(tickInterval) {
		assert.Equal(t, o.call(t, &Call{Kind: CallReadResults, Job: job}).Status, http.StatusOK)
	}
	return d.memory.Calls()["get"] - before
}

// TestAcceptedJobIsReadFromMemory guards against an owner that takes a job that it has accepted for
// one that has moved to it, and reads the store for its readers, as the watch reports it first.
func TestAcceptedJobIsReadFromMemory(t *testing.T) {
	for name, c := range map[string]struct{ watchFirst, large bool }{
		"answer first":              {false, false},
		"watch first":               {true, false},
		"answer first, many bodies": {false, true},
		"watch first, many bodies":  {true, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newTestDeployment()
				d.quoteValues(cicadaplatform.MaxValueSize)
				d.stalled = true
				job := submitCall("j", manyEvents)
				if c.large {
					job, _ = largeCall("j", 200, 6<<10)
				}
				o := acceptJob(t, d, c.watchFirst, job, nil)
				defer o.stop()
				assert.Equal(t, o.readForAWhile(t, d, "j"), int64(0))
				assert.Assert(t, d.activeRuns() > 0, "the items run")
			})
		})
	}
}

// TestJobThatMovesWhileItIsAcceptedIsReadAgain guards against results that callers have read and that
// are missing at an owner whose submission was stored late: another owner may have listed them.
func TestJobThatMovesWhileItIsAcceptedIsReadAgain(t *testing.T) {
	for name, watchFirst := range map[string]bool{"answer first": false, "watch first": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newTestDeployment()
				d.stalled = true
				o := acceptJob(t, d, watchFirst, submitCall("j", manyEvents), func(o *testOwner) {
					o.enqueueAndWait(func() { o.renewOwnership(time.Now(), []string{"o2"}) })
				})
				defer o.stop()
				assert.Assert(t, o.readForAWhile(t, d, "j") > int64(lateWriteWindow/resultCacheTTL/2))
			})
		})
	}
}

// TestRefusalIsTrueAfterASubmissionInDoubt guards against a submission that is refused with 503, as not accepted, while
// an earlier one of the same job, whose outcome was unknown, has stored it.
func TestRefusalIsTrueAfterASubmissionInDoubt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		var down, mended atomic.Bool
		create, get, watch := d.backend.Create, d.backend.Get, d.backend.Watch
		d.backend.Create = func(ctx context.Context, name string, value []byte) (cicadaplatform.Object, error) {
			if down.Load() {
				return cicadaplatform.Object{}, cicadaplatform.ErrUnavailable
			}
			obj, err := create(ctx, name, value)
			if strings.HasPrefix(name, JobsPrefix) && !mended.Load() {
				down.Store(true)
				<-ctx.Done() // the answer is lost
				return cicadaplatform.Object{}, ctx.Err()
			}
			return obj, err
		}
		d.backend.Get = func(ctx context.Context, name string) (cicadaplatform.Object, error) {
			if down.Load() {
				return cicadaplatform.Object{}, cicadaplatform.ErrUnavailable
			}
			return get(ctx, name)
		}
		d.backend.Watch = func(ctx context.Context, prefix string, from int64) (cicadaplatform.Page, error) {
			page, err := watch(ctx, prefix, from)
			if down.Load() {
				return cicadaplatform.Page{}, cicadaplatform.ErrUnavailable
			}
			return page, err
		}
		o := d.startOwner("o1", fixedOwners("o1"))
		defer o.stop()
		time.Sleep(time.Second)
		assert.Equal(t, o.call(t, submitCall("j", 5)).Status, http.StatusBadGateway)
		again := o.call(t, submitCall("j", 5)).Status
		mended.Store(true)
		down.Store(false)
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(o.results(t, "j", 0).Results), 1)
		assert.Equal(t, again, http.StatusBadGateway, "the job has run")
	})
}
