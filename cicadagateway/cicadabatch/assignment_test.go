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
	adapter "cicadalink.example/platform"
)

// TestTwoOwnersOfOneJob covers owners that do not know of each other: work may be done
// twice, but each item is listed once and at the same position for all readers.
func TestTwoOwnersOfOneJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		o1 := d.startOwner("o1", fixedOwners("o1"))
		defer o1.stop()
		o2 := d.startOwner("o2", fixedOwners("o2"))
		defer o2.stop()
		time.Sleep(time.Second)
		events := []int{10, 60, 25, 40, 33}
		o1.call(t, submitCall("j", events...))
		var longest []adapter.Result
		for range 40 {
			time.Sleep(100 * time.Millisecond)
			for _, o := range []*testOwner{o1, o2} {
				p := o.results(t, "j", 0)
				for i := range min(len(p.Results), len(longest)) {
					assert.DeepEqual(t, p.Results[i], longest[i])
				}
				if len(p.Results) > len(longest) {
					longest = p.Results
				}
			}
		}
		d.checkComplete(t, o1.results(t, "j", 0), "j", events...)
		d.checkComplete(t, o2.results(t, "j", 0), "j", events...)
	})
}

func TestNewOwnerResumesFromStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		o1 := d.startOwner("o1", fixedOwners("o1"))
		time.Sleep(time.Second)
		events := []int{10, 100}
		o1.call(t, submitCall("j", events...))
		time.Sleep(2 * time.Second)
		before := o1.results(t, "j", 0)
		assert.Equal(t, len(before.Results), 1)
		o1.stop()
		o2 := d.startOwner("o2", fixedOwners("o2"))
		defer o2.stop()
		time.Sleep(5 * time.Second)
		after := o2.results(t, "j", 0)
		d.checkComplete(t, after, "j", events...)
		assert.DeepEqual(t, after.Results[0], before.Results[0])
	})
}

// TestJobAcceptedDuringBriefOwnerChangeIsRun guards against a job that no owner runs: it
// is submitted while the set of owners differs for less than a tick, and must be run by
// its owner in the last set that was applied.
func TestJobAcceptedDuringBriefOwnerChangeIsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		var others atomic.Bool
		o := d.startOwner("o1", func() []string {
			if others.Load() {
				return []string{"o2"}
			}
			return []string{"o1"}
		})
		defer o.stop()
		time.Sleep(time.Second + tickInterval/2)
		others.Store(true)
		assert.Equal(t, o.call(t, submitCall("j", 10)).Status, http.StatusAccepted)
		synctest.Wait()
		others.Store(false)
		time.Sleep(5 * time.Second)
		d.checkComplete(t, o.results(t, "j", 0), "j", 10)
	})
}

// maxVisibilityDelay is the time that users allow between the first read of a result at
// one owner and its visibility at all others.
const maxVisibilityDelay = time.Second

// TestResultsOnceReadStayReadable guards against results that were read at one owner but
// are missing at another. It happens if the store applies a write of the former owner
// seconds after the job has moved.
func TestResultsOnceReadStayReadable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		create := d.backend.Create
		var delayed atomic.Bool
		d.backend.Create = func(ctx context.Context, name string, value []byte) (cicadaplatform.Object, error) {
			if !strings.HasPrefix(name, resultsPrefix) || !delayed.CompareAndSwap(false, true) {
				return create(ctx, name, value)
			}
			time.AfterFunc(3*time.Second, func() { _, _ = create(context.Background(), name, value) })
			<-ctx.Done()
			return cicadaplatform.Object{}, cicadaplatform.ErrInDoubt
		}
		var owner atomic.Value
		owner.Store("o1")
		owners := func() []string { return []string{owner.Load().(string)} }
		o1 := d.startOwner("o1", owners)
		defer o1.stop()
		o2 := d.startOwner("o2", owners)
		defer o2.stop()
		time.Sleep(time.Second)
		o1.call(t, submitCall("j", 10, 100))
		for !delayed.Load() {
			time.Sleep(tickInterval)
		}
		d.mu.Lock()
		d.stalled = true // the new owner cannot complete the second item
		d.mu.Unlock()
		owner.Store("o2")
		var firstRead time.Time // when the result was first read at the former owner
		for range 60 {
			time.Sleep(100 * time.Millisecond)
			if firstRead.IsZero() && len(o1.results(t, "j", 0).Results) > 0 {
				firstRead = time.Now()
			}
			visible := len(o2.results(t, "j", 0).Results) > 0
			assert.Assert(t, visible || firstRead.IsZero() || time.Since(firstRead) <= maxVisibilityDelay, "read at the former owner %v ago", time.Since(firstRead))
		}
		assert.Assert(t, !firstRead.IsZero())
		assert.Equal(t, len(o2.results(t, "j", 0).Results), 1)
	})
}

// TestFormerOwnerStoresNoResults guards against results that the owner of a job does not know of,
// because a former owner stored them when a run ended after the job had moved and been read.
func TestFormerOwnerStoresNoResults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		var owner atomic.Value
		owner.Store("o1")
		o1 := d.startOwner("o1", func() []string { return []string{owner.Load().(string)} })
		defer o1.stop()
		time.Sleep(time.Second)
		o1.call(t, submitCall("j", 10, 300))
		waitForPending(t, o1, "j")
		owner.Store("o2")
		time.Sleep(2 * tickInterval)
		assert.Equal(t, len(o1.results(t, "j", 0).Results), 0)
		o1.enqueueAndWait(func() { o1.flush(o1.jobs["j"], time.Now().Add(flushDelay)) })
		synctest.Wait()
		_, found, err := readChunk(t.Context(), o1.store, "j", 0)
		assert.NilError(t, err)
		assert.Assert(t, !found, "the former owner has stored results")
	})
}

// waitForPending waits until an owner has a result of a job that is not stored yet.
func waitForPending(t *testing.T, o *testOwner, job string) {
	t.Helper()
	for range 100 {
		pending := 0
		o.enqueueAndWait(func() { pending = len(o.jobs[job].pending) })
		if pending > 0 {
			return
		}
		time.Sleep(tickInterval / 2)
	}
	t.Fatal("no item has finished")
}

func TestMovedJobKeepsProgress(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		var owner atomic.Value
		owner.Store("o1")
		owners := func() []string { return []string{owner.Load().(string)} }
		var o2 *testOwner
		o1 := d.startOwner("o1", owners, WithHandOver(func(ctx context.Context, job string, p []Progress) error {
			_, err := o2.Handle(ctx, &Call{Kind: CallHandOver, Job: job, Progress: p})
			return err
		}))
		defer o1.stop()
		o2 = d.startOwner("o2", owners)
		defer o2.stop()
		time.Sleep(time.Second)
		o1.call(t, submitCall("j", 100, 100))
		time.Sleep(1500 * time.Millisecond)
		owner.Store("o2")
		time.Sleep(4 * time.Second)
		d.checkComplete(t, o2.results(t, "j", 0), "j", 100, 100)
		for _, id := range d.startedItems() {
			n, _ := d.eventsAndRuns(id)
			assert.Assert(t, n < 115, "%s: %d events sent, the run did not resume", id, n)
		}
		assert.Assert(t, o1.Idle())
	})
}
