package cicadaplace

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// reserveTest returns how many of 64 slots a customer of priority 0 gets, after it and others
// have done work at a peer.
func reserveTest(t *testing.T, work uint64, others ...CustomerUsage) (granted int) {
	table := NewTable("me", WithStaleness(func() time.Duration { return 50 * time.Millisecond }))
	table.SetEndpoints(endpoints(8, 8))
	table.SetPeer("other", nil)
	table.SetPeerUsage("other", append(others, CustomerUsage{hashOf("a"), work}))
	for {
		g, err := table.Acquire(t.Context(), SlotRequest{Service: "s", Customer: "a", Work: 1})
		if err != nil {
			return granted
		}
		defer g.Release()
		granted++
	}
}

// Guards against customers that take every slot which their process releases, so that the requests
// of others at other processes never see one.
func TestCustomerAboveItsShareLeavesSlotsIdle(t *testing.T) {
	b, c := CustomerUsage{hashOf("b"), 1000}, CustomerUsage{hashOf("c"), 1000}
	granted := reserveTest(t, 5000, b, c)
	assert.Assert(t, granted < 64 && granted >= 64*7/8, "%d", granted)
}

// Guards against slots that are left idle although no other customer needs them.
func TestSlotsAreNotLeftIdleWithoutNeed(t *testing.T) {
	b, c := CustomerUsage{hashOf("b"), 1000}, CustomerUsage{hashOf("c"), 1000}
	assert.Equal(t, reserveTest(t, 5000), 64, "it is the only customer")
	assert.Equal(t, reserveTest(t, 1400, b, c), 64, "it has its fair share")
	assert.Equal(t, reserveTest(t, 500000, b), 64, "another one does next to nothing")
}

// Guards against a large customer that leaves more slots idle than one which floods, and so loses them to
// it.
func TestFloodLeavesMoreSlotsIdleThanALargeCustomer(t *testing.T) {
	small := make([]CustomerUsage, 30)
	for i := range small {
		small[i] = CustomerUsage{uint64(i + 1), 100}
	}
	large := reserveTest(t, 1200, append(small[:30:30], CustomerUsage{hashOf("flood"), 6000})...)
	flood := reserveTest(t, 6000, append(small[:30:30], CustomerUsage{hashOf("large"), 1200})...)
	assert.Assert(t, flood <= large, "slots granted to the flood: %d, to the large customer: %d", flood, large)
}

// Guards against requests that leave slots idle for those of a worse priority, and against streams
// that break because their customer is above its share.
func TestBetterPrioritiesAndContinuationsLeaveNoSlotsIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable("me")
		table.SetEndpoints(endpoints(8, 8))
		table.SetPeer("other", nil)
		acquire := func(req SlotRequest) error {
			req.Service = "s"
			_, err := table.Acquire(t.Context(), req)
			return err
		}
		for i := range 4 {
			assert.NilError(t, acquire(SlotRequest{Customer: "b", Priority: 1, Work: 1000}), i)
		}
		for range 60 {
			assert.NilError(t, acquire(SlotRequest{Customer: "a", Work: 200}))
		}
		table.SetEndpoints(endpoints(9, 8))
		time.Sleep(competingWorkInterval)
		var err error
		n := 0
		for ; err == nil; n++ {
			err = acquire(SlotRequest{Customer: "a", Priority: 1, Work: 1})
		}
		assert.ErrorIs(t, err, ErrBusy)
		assert.Assert(t, n-1 < 8, "%d", n)
		assert.NilError(t, acquire(SlotRequest{Customer: "a", Priority: 1, Continues: true}))
	})
}

// Guards against a process that wakes up each millisecond for a request which must leave the slots
// of an endpoint with a limit idle, although it has a token for it.
func TestNoSlotIsReservedAtLimitedEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable("me", WithStaleness(func() time.Duration { return time.Second }))
		table.SetEndpoints(endpoints(8, 8))
		counts := map[string]InFlight{"a": {Online: 6, RateLimit: 10}}
		for _, e := range endpoints(8, 8)[1:] {
			counts[e.ID] = InFlight{Online: 8}
		}
		table.SetPeer("other", counts)
		table.SetPeerUsage("other", []CustomerUsage{{hashOf("a"), 5000}, {hashOf("b"), 1000}, {hashOf("c"), 1000}})
		start := time.Now()
		g, err := table.Acquire(t.Context(), SlotRequest{Service: "s", Customer: "a", MaxWait: time.Second})
		assert.NilError(t, err)
		assert.Equal(t, time.Since(start).Round(10*time.Millisecond), 100*time.Millisecond)
		g.Release()
	})
}
