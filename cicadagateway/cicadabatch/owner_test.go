package cicadabatch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"cicadalink.example/cicadagateway/cicadaplace"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadaview"
	adapter "cicadalink.example/platform"
)

type testResultsPage struct {
	Total   int
	Next    int
	Results []adapter.Result
}

func (m *testOwner) results(t *testing.T, id string, after int) testResultsPage {
	t.Helper()
	resp := m.call(t, &Call{Kind: CallReadResults, Job: id, After: after})
	assert.Equal(t, resp.Status, http.StatusOK)
	var p testResultsPage
	assert.NilError(t, json.Unmarshal(resp.Body, &p))
	return p
}

// checkComplete checks that each item is listed once, as complete and with its whole
// output.
func (e *fakeEngines) checkComplete(t *testing.T, p testResultsPage, id string, events ...int) {
	t.Helper()
	assert.Equal(t, p.Total, len(events))
	seen := make(map[string]bool)
	for _, r := range p.Results {
		assert.Assert(t, !seen[r.ID], "%s is listed twice", r.ID)
		seen[r.ID] = true
		var index int
		_, err := fmt.Sscanf(r.ID, id+"-%d", &index)
		assert.NilError(t, err)
		assert.Equal(t, r.State, adapter.StateComplete)
		e.checkOutput(t, r.ID, r.Output, events[index])
	}
	assert.Equal(t, len(seen), len(events))
}

func TestSubmitRunAndRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		o := d.startOwner("o1", fixedOwners("o1"))
		defer o.stop()
		time.Sleep(time.Second)
		events := []int{20, 30, 40}
		assert.Equal(t, o.call(t, submitCall("j", events...)).Status, http.StatusAccepted)
		assert.Equal(t, o.call(t, submitCall("j", events...)).Status, http.StatusAccepted, "a repeated submission is accepted")
		body := o.call(t, &Call{Kind: CallReadItem, Job: "j", Item: "j-1"})
		assert.Equal(t, string(body.Body), "\xab\xcd\xef")
		time.Sleep(3 * time.Second)
		d.checkComplete(t, o.results(t, "j", 0), "j", events...)
		tail := o.results(t, "j", 2)
		assert.Equal(t, len(tail.Results), 1)
		assert.Equal(t, tail.Next, 3)
		assert.Equal(t, o.call(t, &Call{Kind: CallReadItem, Job: "j", Item: "j-1"}).Status, http.StatusNotFound)
		assert.Equal(t, o.call(t, &Call{Kind: CallReadResults, Job: "none"}).Status, http.StatusNotFound)
		for _, id := range d.startedItems() {
			_, runs := d.eventsAndRuns(id)
			assert.Equal(t, runs, 1, id)
		}
	})
}

func TestReadWaitsForResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		o := d.startOwner("o1", fixedOwners("o1"))
		defer o.stop()
		time.Sleep(time.Second)
		o.call(t, submitCall("j", 10))
		start := time.Now()
		resp := o.call(t, &Call{Kind: CallReadResults, Job: "j", Wait: 5 * time.Second})
		var p testResultsPage
		assert.NilError(t, json.Unmarshal(resp.Body, &p))
		assert.Equal(t, len(p.Results), 1)
		assert.Assert(t, time.Since(start) < time.Second, "%v", time.Since(start))
	})
}

func TestPreemptedItemsResumeAfterLastEvent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		o := d.startOwner("o1", fixedOwners("o1"))
		defer o.stop()
		time.Sleep(time.Second)
		events := []int{100, 100, 100, 100, 100, 100}
		o.call(t, submitCall("j", events...))
		time.Sleep(time.Second)
		o.table.SetPeer("entry", map[string]cicadaplace.InFlight{"e1": {Online: 4}, "e2": {Online: 4}})
		o.Wake()
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, d.activeRuns(), 0, "online requests get all slots at once")
		time.Sleep(800 * time.Millisecond)
		o.table.SetPeer("entry", nil)
		time.Sleep(6 * time.Second)
		d.checkComplete(t, o.results(t, "j", 0), "j", events...)
		for _, id := range d.startedItems() {
			n, _ := d.eventsAndRuns(id)
			assert.Assert(t, n <= 101, "%s: %d events sent, the run did not resume", id, n)
		}
	})
}

func TestUrgentItemIsNotPreempted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		o := d.startOwner("o1", fixedOwners("o1"))
		defer o.stop()
		time.Sleep(time.Second)
		c := submitCall("j", 100)
		c.Due = 5 * time.Second
		o.call(t, c)
		time.Sleep(500 * time.Millisecond)
		o.table.SetPeer("entry", map[string]cicadaplace.InFlight{"e1": {Online: 4}, "e2": {Online: 4}})
		o.Wake()
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, d.activeRuns(), 1)
	})
}

// TestPinnedItemsAreLimitedPerEndpoint guards against online requests waiting when many
// items are close to their due time at once, as after an outage: one item per endpoint
// is protected, the others are preempted.
func TestPinnedItemsAreLimitedPerEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		o := d.startOwner("o1", fixedOwners("o1"))
		defer o.stop()
		time.Sleep(time.Second)
		c := submitCall("j", 100, 100, 100, 100, 100, 100, 100, 100)
		c.Due = 5 * time.Second
		o.call(t, c)
		time.Sleep(500 * time.Millisecond)
		assert.Assert(t, d.activeRuns() >= 6)
		o.table.SetPeer("entry", map[string]cicadaplace.InFlight{"e1": {Online: 4}, "e2": {Online: 4}})
		o.Wake()
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, d.activeRuns(), 2*maxPinnedPerEndpoint)
	})
}

func TestFailedAndRejectedItems(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		o := d.startOwner("o1", fixedOwners("o1"))
		defer o.stop()
		time.Sleep(time.Second)
		o.call(t, submitCall("j", 422, 500, 5))
		time.Sleep(3 * time.Second)
		p := o.results(t, "j", 0)
		assert.Equal(t, len(p.Results), 3)
		states := make(map[string]string)
		for _, r := range p.Results {
			states[r.ID] = r.State
		}
		assert.DeepEqual(t, states, map[string]string{"j-0": adapter.StateFailed, "j-1": adapter.StateFailed, "j-2": adapter.StateComplete})
		_, first := d.eventsAndRuns("j-0")
		assert.Equal(t, first, 1)
		_, second := d.eventsAndRuns("j-1")
		assert.Equal(t, second, 3, "the route's limit of attempts")
	})
}

func TestBrokenRunResumesElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		d.dropAfter = 7
		o := d.startOwner("o1", fixedOwners("o1"))
		defer o.stop()
		time.Sleep(time.Second)
		o.call(t, submitCall("j", 20, 20))
		time.Sleep(3 * time.Second)
		d.checkComplete(t, o.results(t, "j", 0), "j", 20, 20)
		n, _ := d.eventsAndRuns("j-0")
		assert.Equal(t, n, 20, "no event was sent twice")
	})
}

// Guards against items that are listed as complete with a part of their output, because an
// endpoint sent nothing as the rest. Two that send nothing agree that only the end of the
// first run was lost.
func TestEmptyRestIsNotTheEndOfAnItem(t *testing.T) {
	for emptyRests, events := range map[int]int{1: 20, 2: 7} {
		synctest.Test(t, func(t *testing.T) {
			d := newTestDeployment()
			d.dropAfter, d.emptyRests = 7, emptyRests
			o := d.startOwner("o1", fixedOwners("o1"))
			defer o.stop()
			time.Sleep(time.Second)
			o.call(t, submitCall("j", 20))
			time.Sleep(3 * time.Second)
			d.checkComplete(t, o.results(t, "j", 0), "j", events)
		})
	}
}

// Guards against items that are sent to an endpoint after it has said that it is leaving.
func TestItemsAvoidLeavingEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		d.leaving = "e1"
		o := d.startOwner("o1", fixedOwners("o1"))
		defer o.stop()
		time.Sleep(time.Second)
		o.call(t, submitCall("j", 20, 20, 20, 20, 20))
		time.Sleep(3 * time.Second)
		d.checkComplete(t, o.results(t, "j", 0), "j", 20, 20, 20, 20, 20)
		before := d.runsAt["e1"]
		assert.Assert(t, before > 0)
		o.call(t, submitCall("k", 20, 20, 20, 20, 20))
		time.Sleep(3 * time.Second)
		d.checkComplete(t, o.results(t, "k", 0), "k", 20, 20, 20, 20, 20)
		assert.Equal(t, d.runsAt["e1"], before)
	})
}

// This guards against an item that is never placed again because endpoints crashed while
// they ran it: they have room, and the only other one has none.
func TestItemReturnsToEndpointsThatCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		d.crashRuns = maxExcludedEndpoints
		o := d.startOwner("o1", fixedOwners("o1"))
		defer o.stop()
		all := []cicadaview.Endpoint{{ID: "full", Service: "s", Address: "full", Slots: 4}}
		for i := range maxExcludedEndpoints {
			name := fmt.Sprint("e", i)
			all = append(all, cicadaview.Endpoint{ID: name, Service: "s", Address: name, Slots: 4})
		}
		o.table.SetEndpoints(all)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go o.occupy(ctx, "full", 4)
		time.Sleep(time.Second)
		o.call(t, submitCall("j", 20))
		time.Sleep(10 * time.Second)
		_, runs := d.eventsAndRuns("j-0")
		assert.Equal(t, runs, maxExcludedEndpoints+1)
		d.checkComplete(t, o.results(t, "j", 0), "j", 20)
	})
}

func TestStalledRunIsRetried(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		d.stalled = true
		o := d.startOwner("o1", fixedOwners("o1"))
		defer o.stop()
		time.Sleep(time.Second)
		o.call(t, submitCall("j", 20))
		time.Sleep(time.Second)
		d.mu.Lock()
		d.stalled = false
		d.mu.Unlock()
		time.Sleep(stallTimeout + 2*time.Second)
		d.checkComplete(t, o.results(t, "j", 0), "j", 20)
	})
}

func TestEndedJobStopsAndStaysReadable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		o1 := d.startOwner("o1", fixedOwners("o1"))
		defer o1.stop()
		o2 := d.startOwner("o2", fixedOwners("o1"))
		defer o2.stop()
		time.Sleep(time.Second)
		o1.call(t, submitCall("j", 10, 200, 200))
		time.Sleep(2 * time.Second)
		assert.Equal(t, d.activeRuns(), 2)
		assert.Equal(t, o2.call(t, &Call{Kind: CallEndJob, Job: "j"}).Status, http.StatusOK)
		time.Sleep(time.Second)
		assert.Equal(t, d.activeRuns(), 0, "the owner is notified that another process ended the job")
		assert.Equal(t, o1.call(t, &Call{Kind: CallEndJob, Job: "j"}).Status, http.StatusOK)
		assert.Equal(t, len(o1.results(t, "j", 0).Results), 1)
		assert.Equal(t, o1.call(t, &Call{Kind: CallReadItem, Job: "j", Item: "j-1"}).Status, http.StatusNotFound)
		assert.Equal(t, o1.call(t, &Call{Kind: CallEndJob, Job: "none"}).Status, http.StatusNotFound)
	})
}

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

func TestResultsAreNotListedDuringStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		down := d.stopCreates()
		o := d.startOwner("o1", fixedOwners("o1"))
		defer o.stop()
		time.Sleep(time.Second)
		o.call(t, submitCall("j", 30))
		down.Store(true)
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(o.results(t, "j", 0).Results), 0, "results are not listed before they are stored")
		assert.Equal(t, o.call(t, submitCall("k", 30)).Status, http.StatusServiceUnavailable)
		down.Store(false)
		time.Sleep(4 * time.Second)
		d.checkComplete(t, o.results(t, "j", 0), "j", 30)
		_, first := d.eventsAndRuns("j-0")
		assert.Equal(t, first, 1)
		_, refused := d.eventsAndRuns("k-0")
		assert.Equal(t, refused, 0, "a rejected job is not run")
	})
}

func TestExpiredJobsAreDeleted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		o := d.startOwner("o1", fixedOwners("o1"), WithRetention(20*time.Second))
		defer o.stop()
		time.Sleep(time.Second)
		o.call(t, submitCall("j", 10))
		o.call(t, submitCall("long", 1500))
		time.Sleep(15 * time.Second)
		d.checkComplete(t, o.results(t, "j", 0), "j", 10)
		time.Sleep(10 * time.Second)
		assert.Equal(t, o.call(t, &Call{Kind: CallReadResults, Job: "j"}).Status, http.StatusNotFound)
		_, err := d.memory.Backend().Get(t.Context(), chunkName("j", 0))
		assert.Assert(t, errors.Is(err, cicadaplatform.ErrNotFound), "%v", err)
		assert.Equal(t, o.call(t, &Call{Kind: CallReadResults, Job: "long"}).Status, http.StatusOK, "a running job is kept")
	})
}

// TestClockSkewDoesNotAbandonEarly guards against a job that is abandoned too early because
// the wall clock of its new owner is ahead of that of the owner that accepted it.
func TestClockSkewDoesNotAbandonEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		d.stalled = true
		value, err := json.Marshal(jobRecord{
			Host: "h", Path: "/j/", AcceptedMs: time.Now().Add(-8 * time.Second).UnixMilli(), DueMs: 18000, GiveUpMs: 60000, Total: 1,
			Items: []adapter.Item{{ID: "j-0", Path: "/j/5"}},
		})
		assert.NilError(t, err)
		_, err = d.memory.Backend().Create(t.Context(), JobsPrefix+"j", value)
		assert.NilError(t, err)
		o := d.startOwner("o1", fixedOwners("o1"))
		defer o.stop()
		time.Sleep(59 * time.Second)
		assert.Equal(t, len(o.results(t, "j", 0).Results), 0)
		time.Sleep(2*maxClockSkew + time.Second)
		assert.Equal(t, o.results(t, "j", 0).Results[0].State, adapter.StateFailed)
	})
}

func TestSubmissionWithUnknownOutcome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		d.backend.Create = func(context.Context, string, []byte) (cicadaplatform.Object, error) {
			return cicadaplatform.Object{}, cicadaplatform.ErrInDoubt
		}
		o := d.startOwner("o1", fixedOwners("o1"))
		defer o.stop()
		time.Sleep(time.Second)
		resp := o.call(t, submitCall("j", 30))
		assert.Equal(t, resp.Status, http.StatusBadGateway)
	})
}

func TestMalformedSubmissionIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		o := d.startOwner("o1", fixedOwners("o1"))
		defer o.stop()
		resp := o.call(t, &Call{Kind: CallSubmit, Job: "j", Body: []byte(`{"Items":7}`)})
		assert.Equal(t, resp.Status, http.StatusBadRequest)
		_, err := d.memory.Backend().Get(t.Context(), JobsPrefix+"j")
		assert.Assert(t, errors.Is(err, cicadaplatform.ErrNotFound))
	})
}

// TestItemsFollowRouteWeights covers a route that is split between two services.
func TestItemsFollowRouteWeights(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		d.config = cicadaview.NewConfig(1, []cicadaview.Route{{
			Name: "r", Host: "h", Prefix: "/j/", Kind: cicadaview.Batch, Due: 18 * time.Second, GiveUpAfter: time.Minute, MaxAttempts: 3,
			Targets: []cicadaview.Target{{Service: "none", Weight: 50}, {Service: "s", Weight: 50}},
		}}, nil, cicadaview.Limits{})
		o := d.startOwner("o1", fixedOwners("o1"))
		defer o.stop()
		time.Sleep(time.Second)
		events := make([]int, 60)
		for i := range events {
			events[i] = 1
		}
		o.call(t, submitCall("j", events...))
		time.Sleep(3 * time.Second)
		started := len(d.startedItems())
		assert.Assert(t, started > 15 && started < 45, "%d of 60 items were assigned to the service that has endpoints", started)
	})
}

// BenchmarkScheduleWithBacklog measures schedule while 2,000 items wait and no slot is
// idle. In production it runs several hundred times a second.
func BenchmarkScheduleWithBacklog(b *testing.B) {
	d := newTestDeployment()
	table := cicadaplace.NewTable("o1")
	table.SetEndpoints([]cicadaview.Endpoint{{ID: "e1", Service: "s", Slots: 4}})
	table.SetPeer("entry", map[string]cicadaplace.InFlight{"e1": {Online: 4}})
	o := &Owner{
		table: table, config: func() *cicadaview.Config { return d.config }, log: hclog.NewNullLogger(),
		jobs: make(map[string]*job), running: make(map[string][]*item), waitingServices: make(map[string]bool),
		metrics: newMetrics(tally.NoopScope),
	}
	for n := range 10 {
		items := make([]adapter.Item, 200)
		for i := range items {
			items[i] = adapter.Item{ID: fmt.Sprint(n, "-", i), Path: "/j/1"}
		}
		j := newJob(fmt.Sprint(n), jobRecord{Host: "h", Items: items, DueMs: 18000}, time.Now())
		j.owned, j.loaded = true, true
		o.jobs[j.id] = j
	}
	b.ReportAllocs()
	for b.Loop() {
		o.schedule()
	}
}
