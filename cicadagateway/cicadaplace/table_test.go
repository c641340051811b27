package cicadaplace

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadaview"
)

func endpoints(n, slots int) []cicadaview.Endpoint {
	out := make([]cicadaview.Endpoint, n)
	for i := range out {
		out[i] = cicadaview.Endpoint{ID: string(rune('a' + i)), Service: "s", Address: "x", Slots: slots}
	}
	return out
}

func acquire(t *testing.T, table *Table, wait time.Duration) *Grant {
	t.Helper()
	g, err := table.Acquire(t.Context(), SlotRequest{Service: "s", MaxWait: wait})
	assert.NilError(t, err)
	return g
}

func TestGrantsAreBalancedOverEndpoints(t *testing.T) {
	table := NewTable("me")
	table.SetEndpoints(endpoints(3, 4))
	for range 12 {
		acquire(t, table, 0)
	}
	for id, n := range table.LocalInFlight() {
		assert.Equal(t, n.Online, 4, id)
	}
	_, err := table.Acquire(t.Context(), SlotRequest{Service: "s"})
	assert.Assert(t, errors.Is(err, ErrBusy))
}

func TestEndpointsFilledByPeersAreNotSelected(t *testing.T) {
	table := NewTable("me")
	table.SetEndpoints(endpoints(2, 4))
	table.SetPeer("other", map[string]InFlight{"a": {Online: 4}, "gone": {Online: 9}})
	for range 4 {
		assert.Equal(t, acquire(t, table, 0).Endpoint().ID, "b")
	}
}

func TestCountsOfSilentPeersExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable("me")
		table.SetEndpoints(endpoints(1, 1))
		table.SetPeer("other", map[string]InFlight{"a": {Online: 1}})
		_, err := table.Acquire(t.Context(), SlotRequest{Service: "s"})
		assert.Assert(t, errors.Is(err, ErrBusy))
		time.Sleep(peerTimeout + time.Millisecond)
		table.SetPeer("third", nil)
		acquire(t, table, 0)
	})
}

func TestQueuedRequestsAreGrantedSlotsInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable("me")
		table.SetEndpoints(endpoints(1, 4))
		held := []*Grant{acquire(t, table, 0), acquire(t, table, 0), acquire(t, table, 0), acquire(t, table, 0)}
		order := make(chan int, 2)
		for i := range 2 {
			go func() {
				g, err := table.Acquire(context.Background(), SlotRequest{Service: "s", MaxWait: time.Second})
				assert.Check(t, err == nil)
				order <- i
				g.Release()
			}()
			synctest.Wait()
		}
		time.Sleep(50 * time.Millisecond)
		held[0].Release()
		assert.Equal(t, <-order, 0)
		assert.Equal(t, <-order, 1)
	})
}

func TestRequestIsRefusedAtOnceIfExpectedWaitExceedsMaxWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable("me")
		table.SetEndpoints(endpoints(1, 1))
		acquire(t, table, 0)
		start := time.Now()
		// The only slot is expected to be held for initialMeanHold.
		_, err := table.Acquire(t.Context(), SlotRequest{Service: "s", MaxWait: 200 * time.Millisecond})
		assert.Assert(t, errors.Is(err, ErrBusy))
		assert.Equal(t, time.Since(start), time.Duration(0))
		retry := table.RetryAfter("s")
		assert.Assert(t, retry >= initialMeanHold && retry <= initialMeanHold*3/2, "%v", retry)
	})
}

func TestRequestIsRefusedAtOnceWithoutUsableEndpoint(t *testing.T) {
	table := NewTable("me")
	_, err := table.Acquire(t.Context(), SlotRequest{Service: "s", MaxWait: time.Hour})
	assert.Assert(t, errors.Is(err, ErrNoEndpoint))
	all := endpoints(1, 1)
	all[0].Draining = true
	table.SetEndpoints(all)
	_, err = table.Acquire(t.Context(), SlotRequest{Service: "s", MaxWait: time.Hour})
	assert.Assert(t, errors.Is(err, ErrNoEndpoint))
}

func TestDrainingEndpointGetsNothingEvenFromTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable("me")
		table.SetEndpoints(endpoints(1, 4))
		var held []*Grant
		for range 4 {
			held = append(held, acquire(t, table, 0))
		}
		got := make(chan error, 1)
		go func() {
			_, err := table.Acquire(context.Background(), SlotRequest{Service: "s", MaxWait: 400 * time.Millisecond})
			got <- err
		}()
		synctest.Wait()
		all := endpoints(1, 4)
		all[0].Draining = true
		table.SetEndpoints(all)
		held[0].Release()
		assert.Assert(t, errors.Is(<-got, ErrBusy))
	})
}

func TestFailedEndpointIsUsedOnlyAfterItsBackoff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable("me")
		table.SetEndpoints(endpoints(2, 4))
		g := acquire(t, table, 0)
		failed := g.Endpoint().ID
		g.RecordFailure()
		g.Release()
		for range 4 {
			assert.Assert(t, acquire(t, table, 0).Endpoint().ID != failed)
		}
		_, err := table.Acquire(t.Context(), SlotRequest{Service: "s"})
		assert.Assert(t, errors.Is(err, ErrBusy))
		time.Sleep(minBackoff + time.Millisecond)
		assert.Equal(t, acquire(t, table, 0).Endpoint().ID, failed)
	})
}

func TestBatchLeavesReserveAndIsPreempted(t *testing.T) {
	table := NewTable("owner")
	table.SetEndpoints(endpoints(1, 4))
	for range 3 {
		assert.Assert(t, table.AcquireBatch(SlotRequest{Service: "s"}, false) != nil)
	}
	assert.Assert(t, table.AcquireBatch(SlotRequest{Service: "s"}, false) == nil)
	assert.Equal(t, len(table.PreemptionCounts()), 0)
	table.SetPeer("entry", map[string]InFlight{"a": {Online: 3}})
	assert.DeepEqual(t, table.PreemptionCounts(), map[string]int{"a": 2})
}

// TestOnlineReserveIsAShareOfTheService guards against a reserve that is computed per
// endpoint, which would leave a slot idle at each of them at large sites.
func TestOnlineReserveIsAShareOfTheService(t *testing.T) {
	for _, c := range []struct{ endpoints, slots, idle int }{{9, 8, 4}, {18, 8, 9}, {47, 7, 20}, {1, 4, 1}, {1, 40, 2}} {
		table := NewTable("owner")
		table.SetEndpoints(endpoints(c.endpoints, c.slots))
		granted := 0
		for table.AcquireBatch(SlotRequest{Service: "s"}, false) != nil {
			granted++
		}
		free, slots := table.FreeSlots("s")
		assert.Equal(t, granted, slots-c.idle)
		assert.Equal(t, slots, c.endpoints*c.slots)
		assert.Equal(t, free, c.idle)
		for range c.idle {
			assert.Assert(t, table.AcquireBatch(SlotRequest{Service: "s"}, true) != nil, "an urgent item may take any idle slot")
		}
		assert.Assert(t, table.AcquireBatch(SlotRequest{Service: "s"}, true) == nil)
	}
}

func TestOwnersAgreeOnPreemption(t *testing.T) {
	counts := map[string]InFlight{"o1": {Batch: 3}, "o2": {Batch: 2}, "o3": {Batch: 1}}
	total := 0
	for name, count := range counts {
		table := NewTable(name)
		table.SetEndpoints(endpoints(1, 8))
		for range count.Batch {
			assert.Assert(t, table.AcquireBatch(SlotRequest{Service: "s"}, true) != nil)
		}
		for other, n := range counts {
			if other != name {
				table.SetPeer(other, map[string]InFlight{"a": n})
			}
		}
		table.SetPeer("entry", map[string]InFlight{"a": {Online: 5}})
		total += table.PreemptionCounts()["a"]
	}
	assert.Equal(t, total, 3)
}

func TestPinnedItemCountsAsOnlineRequest(t *testing.T) {
	table := NewTable("owner")
	table.SetEndpoints(endpoints(1, 2))
	g := table.AcquireBatch(SlotRequest{Service: "s"}, true)
	g.Pin()
	table.SetPeer("entry", map[string]InFlight{"a": {Online: 2}})
	assert.Equal(t, len(table.PreemptionCounts()), 0)
	assert.DeepEqual(t, table.LocalInFlight(), map[string]InFlight{"a": {Online: 1}})
	g.Release()
	assert.Equal(t, len(table.LocalInFlight()), 0)
}

func TestRemovedEndpointKeepsItsLocalCounts(t *testing.T) {
	table := NewTable("me")
	table.SetEndpoints(endpoints(1, 4))
	held := []*Grant{acquire(t, table, 0), acquire(t, table, 0), acquire(t, table, 0)}
	table.SetEndpoints(nil)
	held[0].Release()
	table.SetEndpoints(nil)
	table.SetEndpoints(endpoints(1, 4))
	assert.DeepEqual(t, table.LocalInFlight(), map[string]InFlight{"a": {Online: 2}})
	acquire(t, table, 0)
	acquire(t, table, 0)
	_, err := table.Acquire(t.Context(), SlotRequest{Service: "s"})
	assert.Assert(t, errors.Is(err, ErrBusy))
	held[1].Release()
	acquire(t, table, 0)
}

// TestGrantToAQueuedRequestCallsOnChange guards against stale counts at peers: a slot
// that a peer releases and a queued request takes must be announced at once.
func TestGrantToAQueuedRequestCallsOnChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		changes := 0
		table := NewTable("me", WithOnChange(func() { changes++ }))
		table.SetEndpoints(endpoints(1, 4))
		for range 3 {
			acquire(t, table, 0)
		}
		table.SetPeer("other", map[string]InFlight{"a": {Online: 1}})
		got := make(chan error, 1)
		go func() {
			_, err := table.Acquire(context.Background(), SlotRequest{Service: "s", MaxWait: time.Second})
			got <- err
		}()
		synctest.Wait()
		before := changes
		table.SetPeer("other", nil)
		assert.NilError(t, <-got)
		assert.Equal(t, changes, before+1)
	})
}

func TestLoadsCountQueuedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable("a")
		table.SetEndpoints([]cicadaview.Endpoint{{ID: "e1", Service: "s", Slots: 2}, {ID: "e2", Service: "s", Slots: 2, Draining: true}})
		g, err := table.Acquire(t.Context(), SlotRequest{Service: "s"})
		assert.NilError(t, err)
		assert.DeepEqual(t, table.Loads(), []Load{{Service: "s", Slots: 2, Idle: 1}})
		table.SetPeer("b", map[string]InFlight{"e1": {Online: 1}})
		go func() { _, _ = table.Acquire(t.Context(), SlotRequest{Service: "s", MaxWait: time.Second}) }()
		synctest.Wait()
		assert.DeepEqual(t, table.Loads(), []Load{{Service: "s", Slots: 2, Waiting: 1}})
		g.Release()
		synctest.Wait()
		assert.DeepEqual(t, table.Loads(), []Load{{Service: "s", Slots: 2}})
	})
}
