package cicadaplace

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// A queueTest is a table whose slots are taken, and a log of what becomes of the requests that
// wait.
type queueTest struct {
	*testing.T
	table *Table
	held  []*Grant
	log   []string
}

// testQueue runs a test with a number of slots, each of which is held.
func testQueue(t *testing.T, slots int, test func(q *queueTest)) {
	synctest.Test(t, func(t *testing.T) {
		q := &queueTest{T: t, table: NewTable("me")}
		q.table.SetEndpoints(endpoints(1, slots))
		for range slots {
			q.held = append(q.held, acquire(t, q.table, 0))
		}
		test(q)
		for len(q.held) > 0 {
			q.release()
		}
	})
}

// send sends a request, whose outcome is logged under a name.
func (q *queueTest) send(name string, req SlotRequest) {
	req.Service = "s"
	if req.MaxWait == 0 {
		req.MaxWait = time.Hour
	}
	go func() {
		g, err := q.table.Acquire(context.Background(), req)
		if err != nil {
			q.log = append(q.log, "-"+name)
			return
		}
		q.log = append(q.log, name)
		q.held = append(q.held, g)
	}()
	synctest.Wait()
}

// release releases the slot that has been held for the longest time.
func (q *queueTest) release() {
	g := q.held[0]
	q.held = q.held[1:]
	g.Release()
	synctest.Wait()
}

// check releases slots until nobody waits, and checks the log.
func (q *queueTest) check(want string) {
	q.Helper()
	for q.table.Loads()[0].Waiting > 0 {
		q.release()
	}
	assert.Equal(q, strings.Join(q.log, " "), want)
}

// Guards against a customer that gets all slots because it has queued many requests, and against
// requests of one customer that overtake each other.
func TestCustomersTakeTurns(t *testing.T) {
	testQueue(t, 4, func(q *queueTest) {
		for _, name := range []string{"a1", "a2", "a3", "a4", "b1", "b2", "c1"} {
			q.send(name, SlotRequest{Customer: name[:1], Work: 100})
		}
		q.check("a1 b1 c1 a2 b2 a3 a4")
	})
}

// Guards against shares of requests where those of work are meant.
func TestCustomersShareWorkRatherThanRequests(t *testing.T) {
	testQueue(t, 4, func(q *queueTest) {
		for _, name := range []string{"a1", "a2", "a3", "b1", "b2", "b3", "b4"} {
			q.send(name, SlotRequest{Customer: name[:1], Work: map[string]float64{"a": 300, "b": 100}[name[:1]]})
		}
		q.check("a1 b1 b2 b3 a2 b4 a3")
	})
}

// Guards against a customer that gets its share at each process separately.
func TestWorkAtPeersCounts(t *testing.T) {
	testQueue(t, 4, func(q *queueTest) {
		q.table.SetPeerUsage("other", []CustomerUsage{{hashOf("a"), 150}})
		for _, name := range []string{"a1", "b1", "b2", "b3"} {
			q.send(name, SlotRequest{Customer: name[:1], Work: 100})
		}
		q.check("b1 b2 a1 b3")
	})
}

// Guards against priorities that are ignored among waiters, also of one customer, and against
// streams that break because others come before their continuation.
func TestContinuationsAndPrioritiesComeFirst(t *testing.T) {
	testQueue(t, 4, func(q *queueTest) {
		q.send("low", SlotRequest{Customer: "a", Priority: 2})
		q.send("high1", SlotRequest{Customer: "b"})
		q.send("mid", SlotRequest{Customer: "a", Priority: 1})
		q.send("high2", SlotRequest{Customer: "b"})
		q.send("continues", SlotRequest{Customer: "c", Priority: 2, Continues: true})
		q.send("none", SlotRequest{Priority: 2})
		q.check("continues high1 high2 mid low none")
	})
}

// Guards against requests of a worse priority that wait although a slot is free.
func TestWorsePriorityGetsFreeSlots(t *testing.T) {
	table := NewTable("me")
	table.SetEndpoints(endpoints(2, 4))
	for i := range 8 {
		_, err := table.Acquire(t.Context(), SlotRequest{Service: "s", Customer: "a", Priority: i})
		assert.NilError(t, err)
	}
}

// Guards against a request that waits, or is refused, although a slot is free, because those before it must
// leave the slot idle.
func TestRequestPassesThoseThatLeaveSlotsIdle(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable("me")
		table.SetEndpoints(endpoints(8, 8))
		counts := make(map[string]InFlight)
		for _, e := range endpoints(7, 8) {
			counts[e.ID] = InFlight{Online: 8}
		}
		counts["h"] = InFlight{Online: 7}
		table.SetPeer("other", counts)
		table.SetPeerUsage("other", []CustomerUsage{{hashOf("a"), 5000}, {hashOf("b"), 1000}, {hashOf("c"), 1000}})
		go func() {
			_, _ = table.Acquire(t.Context(), SlotRequest{Service: "s", Customer: "a", MaxWait: time.Second})
		}()
		synctest.Wait()
		assert.Equal(t, table.Loads()[0].Waiting, 1)
		_, err := table.Acquire(t.Context(), SlotRequest{Service: "s", Customer: "d", Priority: 1})
		assert.NilError(t, err)
	})
}

// Guards against a full queue that keeps out requests which come before its last one, and against
// requests that change places although nothing ranks them.
func TestFullQueueRefusesItsLastRequest(t *testing.T) {
	testQueue(t, 1, func(q *queueTest) {
		q.send("a1", SlotRequest{Customer: "a"})
		q.send("a2", SlotRequest{Customer: "a"})
		q.send("a3", SlotRequest{Customer: "a"})
		q.send("b1", SlotRequest{Customer: "b"})
		q.send("a4", SlotRequest{Customer: "a"})
		q.check("-a3 -a2 -a4 a1 b1")
	})
	testQueue(t, 1, func(q *queueTest) {
		q.send("1", SlotRequest{})
		q.send("2", SlotRequest{})
		q.send("continues", SlotRequest{Continues: true})
		q.check("-continues 1 2")
	})
}

// Guards against requests that wait in vain until their time is up: others have come before them.
func TestOvertakenRequestIsRefusedAtOnce(t *testing.T) {
	testQueue(t, 1, func(q *queueTest) {
		start := time.Now()
		q.send("patient", SlotRequest{Customer: "a", Priority: 1, MaxWait: 2 * initialMeanHold})
		q.send("late", SlotRequest{Customer: "b", Priority: 1, MaxWait: 2 * initialMeanHold})
		q.send("first", SlotRequest{Customer: "c"})
		assert.Equal(t, time.Since(start), time.Duration(0))
		q.check("-late first patient")
	})
	testQueue(t, 2, func(q *queueTest) {
		q.send("1", SlotRequest{MaxWait: initialMeanHold})
		q.send("2", SlotRequest{MaxWait: initialMeanHold})
		q.send("continues", SlotRequest{Continues: true})
		q.check("continues 1 2")
	})
}

// Guards against callers that are told to come back when the whole queue is served, although their
// request would come first, and against callers that all come back at the same time.
func TestRetryAfterDependsOnThePlaceInTheOrder(t *testing.T) {
	testQueue(t, 4, func(q *queueTest) {
		for range 7 {
			q.send("a", SlotRequest{Customer: "a"})
		}
		times := make(map[time.Duration]bool)
		perRequest := initialMeanHold / 4
		for range 20 {
			first := q.table.RetryAfterFor(SlotRequest{Service: "s", Customer: "b"})
			assert.Assert(t, first >= 2*perRequest && first < 3*perRequest, "%v", first)
			last := q.table.RetryAfterFor(SlotRequest{Service: "s", Customer: "a"})
			assert.Assert(t, last >= 8*perRequest && last < 12*perRequest, "%v", last)
			times[first] = true
		}
		assert.Assert(t, len(times) > 10)
	})
}
