package cicadaplace

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadaview"
)

// A crashedFifth is a fleet of entries of which none knows that a fifth of the endpoints has
// just crashed. The crashed ones look idle, as the requests that they were running are gone.
type crashedFifth struct {
	*simulation
	told bool // whether entries tell each other of refusals

	mu        sync.Mutex
	crashed   map[string]bool
	crashedAt time.Time
	attempts  map[string]int // refused connections, by entry and endpoint
	failed    int            // requests that no endpoint served
	late      int            // requests that met more than maxLateRefusals after learningTime
	served    int
}

const (
	refusalTime     = 2 * time.Millisecond   // of a connection
	refusalBudget   = 210 * time.Millisecond // of one request
	learningTime    = 250 * time.Millisecond // from the crash until all entries have heard of it
	maxLateRefusals = 5
	// requestTime is how long a request holds its slot. Four fifths of the slots are taken.
	requestTime        = 700 * time.Millisecond
	crashCheckInterval = 10 * time.Millisecond
)

func newCrashedFifth(ctx context.Context, entries, engines int, told bool) *crashedFifth {
	f := &crashedFifth{crashed: make(map[string]bool), attempts: make(map[string]int), told: told}
	f.simulation = newSimulation(ctx, entries, 0, engines, 7, 30*time.Millisecond)
	for i, table := range f.entries {
		table.onRefusal = func(id string) { f.tell(i, id) }
	}
	return f
}

func (f *crashedFifth) tell(from int, id string) {
	if !f.told {
		return
	}
	for i, table := range f.entries {
		if i != from {
			time.AfterFunc(networkDelay, func() { table.RecordPeerRefusal(id) })
		}
	}
}

func (f *crashedFifth) crash(engines int) {
	f.count(func() {
		f.crashedAt = time.Now()
		for i := range engines / 5 {
			f.crashed[fmt.Sprintf("e%02d", 5*i)] = true
		}
	})
}

func (f *crashedFifth) isCrashed(id string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashed[id]
}

// request sends a request to one endpoint after another until one serves it.
func (f *crashedFifth) request(ctx context.Context, entry int) {
	req := SlotRequest{Service: "s"}
	start, refusals := time.Now(), 0
	for time.Since(start) < refusalBudget {
		grant, err := f.entries[entry].Acquire(ctx, req)
		if err != nil {
			break
		}
		id := grant.Endpoint().ID
		if !f.isCrashed(id) {
			f.count(func() { f.served++ })
			for range requestTime / crashCheckInterval {
				time.Sleep(crashCheckInterval)
				if f.isCrashed(id) {
					break // the entry sees the connection break
				}
			}
			grant.Release()
			return
		}
		time.Sleep(refusalTime)
		refusals++
		f.count(func() { f.attempts[fmt.Sprint(entry, id)]++ })
		if refusals > maxLateRefusals && start.Sub(f.crashedAt) > learningTime {
			f.count(func() { f.late++ })
		}
		grant.RecordRefusal()
		grant.Release()
		req.Avoid = append(req.Avoid, id)
	}
	f.count(func() { f.failed++ })
}

func (f *crashedFifth) count(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// run sends requests at a rate, in requests a second, for two seconds. The crash comes in the
// middle.
func (f *crashedFifth) run(t *testing.T, perSecond, engines int) {
	var requests sync.WaitGroup
	for i := range 2 * perSecond {
		if i == perSecond {
			f.crash(engines)
		}
		entry := rand.IntN(len(f.entries))
		requests.Go(func() { f.request(t.Context(), entry) })
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	requests.Wait()
}

// Guards against requests that are refused although four fifths of the endpoints serve: a
// fifth has crashed and looks idle, and each of ninety entries finds out for itself which.
func TestCrashedEndpointsThatLookIdle(t *testing.T) {
	for _, told := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithCancel(t.Context())
			f := newCrashedFifth(ctx, 90, 160, told)
			f.run(t, 800, 160)
			cancel()
			time.Sleep(time.Second)
			t.Logf("told %v: served %d, failed %d, late %d, refusals %d", told, f.served, f.failed, f.late, len(f.attempts))
			if told {
				assert.Equal(t, f.failed, 0)
				assert.Equal(t, f.late, 0)
				return
			}
			assert.Assert(t, f.late > 0, "without messages, entries must find out for themselves")
		})
	}
}

// Guards against a stream that goes on at an endpoint which has started anew, with another
// software version, under the id of one that was registered before.
func TestVersionIsInDoubtAfterARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable("me")
		list := func(startedMs int64, version string) []cicadaview.Endpoint {
			return []cicadaview.Endpoint{{ID: "e", Service: "s", Slots: 4, StartedMs: startedMs, SoftwareVersion: version}}
		}
		continues := func(version string) error {
			grant, err := table.Acquire(t.Context(), SlotRequest{Service: "s", Continues: true, Version: version})
			if err == nil {
				grant.Release()
			}
			return err
		}
		begin := func() string {
			grant, err := table.Acquire(t.Context(), SlotRequest{Service: "s"})
			assert.NilError(t, err)
			grant.Release()
			return grant.Endpoint().SoftwareVersion
		}
		table.SetEndpoints(list(1, "v1"))
		assert.NilError(t, continues("v1"))
		assert.Equal(t, begin(), "v1")
		table.RecordPeerRefusal("e")
		assert.ErrorIs(t, continues("v1"), ErrNoEndpoint)
		assert.Equal(t, begin(), cicadaview.UnknownVersion)
		table.SetEndpoints(list(2, "v2"))
		assert.NilError(t, continues("v2"))
		assert.ErrorIs(t, continues("v1"), ErrNoEndpoint)
		assert.Equal(t, begin(), "v2")
		table.RecordPeerRefusal("e")
		time.Sleep(versionDoubtTime)
		assert.NilError(t, continues("v2"), "it would have registered by now")
		table.RecordPeerRefusal("e")
		table.SetEndpoints(list(2, "v3"))
		assert.NilError(t, continues("v3"), "it has registered again without a new start")
	})
}

// Guards against streams that begin or go on at the version of a process that has ended, at an
// endpoint that does not state its start; and against doubts about one that does.
func TestVersionIsInDoubtAfterConnectionsAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable("me")
		set := func(version string) {
			table.SetEndpoints([]cicadaview.Endpoint{
				{ID: "silent", Service: "s", Address: "a:1", Slots: 4, SoftwareVersion: version},
				{ID: "stating", Service: "t", Address: "b:1", Slots: 4, SoftwareVersion: version, StartedMs: 1},
				{ID: "unversioned", Service: "u", Address: "c:1", Slots: 4},
			})
		}
		check := func(service, version string, want error) {
			t.Helper()
			begun, err := table.Acquire(t.Context(), SlotRequest{Service: service})
			assert.NilError(t, err)
			begun.Release()
			at := begun.Version()
			assert.Assert(t, (at == version) == (want == nil), "version %q", at)
			grant, err := table.Acquire(t.Context(), SlotRequest{Service: service, Continues: true, Version: version})
			assert.ErrorIs(t, err, want)
			if err == nil {
				grant.Release()
			}
		}
		set("v1")
		stating, err := table.Acquire(t.Context(), SlotRequest{Service: "t"})
		assert.NilError(t, err)
		stating.RecordStart(1)
		stating.Release()
		before, err := table.Acquire(t.Context(), SlotRequest{Service: "s"})
		assert.NilError(t, err)
		for _, address := range []string{"a:1", "b:1", "c:1"} {
			table.RecordLost(address)
		}
		assert.Equal(t, before.Version(), cicadaview.UnknownVersion, "the connection may have been opened after the loss")
		before.Release()
		check("s", "v1", ErrNoEndpoint)
		check("t", "v1", nil)
		check("u", "", nil)
		set("v2")
		check("s", "v2", nil)
		table.RecordLost("a:1")
		time.Sleep(versionDoubtTime)
		check("s", "v2", nil)
	})
}

// Guards against outputs that are tried again and again at an endpoint which has stated another
// start than the registered one, and against new requests that avoid it.
func TestOtherIncarnationContinuesNothingUntilItIsRegistered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable("me")
		set := func(startedMs int64) {
			table.SetEndpoints([]cicadaview.Endpoint{{ID: "e", Service: "s", Slots: 4, SoftwareVersion: "v1", StartedMs: startedMs}})
		}
		acquire := func(continues bool) error {
			grant, err := table.Acquire(t.Context(), SlotRequest{Service: "s", Continues: continues, Version: "v1"})
			if err == nil {
				grant.Release()
			}
			return err
		}
		set(1000)
		grant, err := table.Acquire(t.Context(), SlotRequest{Service: "s"})
		assert.NilError(t, err)
		grant.RecordOtherIncarnation()
		assert.ErrorIs(t, acquire(true), ErrNoEndpoint)
		assert.NilError(t, acquire(false), "it serves what begins")
		set(2000)
		assert.NilError(t, acquire(true))
		grant.RecordOtherIncarnation()
		assert.NilError(t, acquire(true), "another registration was meant")
		grant.Release()
	})
}
