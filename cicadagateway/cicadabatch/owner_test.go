package cicadabatch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
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
