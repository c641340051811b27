package cicadabatch

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadaplatform"
	adapter "cicadalink.example/platform"
)

// TestReadKeepsChunksBesideAWrite guards against results that a read of the store has found, and that are dropped
// because this owner stored a chunk before them meanwhile: a reader at another owner may have got them.
func TestReadKeepsChunksBesideAWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		d.stalled = true
		o := d.startOwner("o1", fixedOwners("o1"))
		defer o.stop()
		time.Sleep(time.Second)
		assert.Equal(t, o.call(t, submitCall("j", manyEvents, manyEvents)).Status, http.StatusAccepted)
		o.enqueueAndWait(func() {
			own := chunk{Writer: "o1", Results: []adapter.Result{{ID: "j-0", State: adapter.StateComplete}}}
			other := chunk{Writer: "o2", Results: []adapter.Result{{ID: "j-1", State: adapter.StateComplete}}}
			j := o.jobs["j"]
			o.chunkWritten(j, 0, own, nil)
			o.resultsLoaded(j, 0, []chunk{own, other}, time.Now(), nil)
		})
		assert.Equal(t, len(o.results(t, "j", 0).Results), 2)
	})
}

// TestReadIsAsOfTheTimeTheStoreWasAsked guards against a read that counts as older than it is, by the time that it
// has waited for the owner's share of the store's rate.
func TestReadIsAsOfTheTimeTheStoreWasAsked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		var asked time.Time
		get := d.backend.Get
		d.backend.Get = func(ctx context.Context, name string) (cicadaplatform.Object, error) {
			asked = time.Now()
			time.Sleep(200 * time.Millisecond)
			return get(ctx, name)
		}
		client := cicadaplatform.NewClient(d.backend)
		client.SetRates(1, 1)
		start := time.Now()
		for range 10 { // more than may be read at once
			_, asOf, err := readChunks(t.Context(), client, "j", 0)
			assert.NilError(t, err)
			assert.Equal(t, asOf, asked)
		}
		assert.Assert(t, time.Since(start) > 4*time.Second, "no read waited")
	})
}

// TestReadsOfABusyStoreAreFew covers a store that refuses all calls at once while many jobs
// have moved to an owner and callers read them. The owner must not repeat the reads as fast
// as they are refused, and must read the jobs soon after the store is back.
func TestReadsOfABusyStoreAreFew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const jobs, outage = 40, 5 * time.Second
		d := newTestDeployment()
		var eligible atomic.Value
		eligible.Store("o1")
		owners := func() []string { return []string{eligible.Load().(string)} }
		o1, o2 := d.startOwner("o1", owners), d.startOwner("o2", owners)
		defer o1.stop()
		defer o2.stop()
		time.Sleep(time.Second)
		for i := range jobs {
			assert.Equal(t, o1.call(t, submitCall(fmt.Sprint("j", i), 5)).Status, http.StatusAccepted)
		}
		time.Sleep(10 * time.Second)
		var busy atomic.Bool
		busy.Store(true)
		d.memory.SetFault(func(_ context.Context, call, _ string) (error, error) {
			if call == "get" && busy.Load() {
				return cicadaplatform.ErrUnavailable, nil
			}
			return nil, nil
		})
		before := d.memory.Calls()["get"]
		eligible.Store("o2")
		reads, start := 0, time.Now()
		for time.Since(start) < outage {
			reads++
			resp := o2.call(t, &Call{Kind: CallReadResults, Job: fmt.Sprint("j", reads%jobs)})
			assert.Equal(t, resp.Status, http.StatusServiceUnavailable)
			time.Sleep(10 * time.Millisecond)
		}
		calls := d.memory.Calls()["get"] - before
		assert.Assert(t, calls <= jobs+20, "%d calls for %d jobs and %d reads", calls, jobs, reads)
		busy.Store(false)
		time.Sleep(3 * time.Second)
		for i := range jobs {
			assert.Equal(t, len(o2.results(t, fmt.Sprint("j", i), 0).Results), 1)
		}
	})
}
