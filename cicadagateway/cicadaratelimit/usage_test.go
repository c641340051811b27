package cicadaratelimit

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newStartedFleet returns a fleet whose entries have started and are in contact with each other.
func newStartedFleet(seed uint64, limits map[string]Limit) *testFleet {
	f := newTestFleet(seed, fleetSize, limits)
	f.run(3 * time.Second)
	return f
}

// Guards against tokens that are lost at entries that don't use them. A customer sends eight
// times its usual rate at 3 of 23 entries. Each second after the first ones, at least 0.9 of
// what its rate allows is admitted.
func TestFloodAtFewEntriesUsesTheLimit(t *testing.T) {
	for _, perSecond := range []float64{0.5, 2, 20, 190} {
		t.Run(fmt.Sprint(perSecond, " a second"), func(t *testing.T) {
			const seconds = 20
			f := newStartedFleet(1, map[string]Limit{"c": {perSecond, perSecond}})
			c := newTestCustomer(f, "c", Limit{perSecond, perSecond})
			start := f.now
			c.rate, c.at = floodFactor*perSecond, []*testEntry{f.entries[3], f.entries[11], f.entries[19]}
			f.run(start + seconds*time.Second)
			t.Log("second  offered  allowed by rate  admitted")
			for s := range seconds {
				from := start + time.Duration(s)*time.Second
				t.Logf("%6d  %7.0f  %15.1f  %8d", s+1, c.rate, perSecond, c.admittedIn(from, from+time.Second))
			}
			allowed := perSecond*seconds + perSecond
			t.Logf("%d of %.0f admitted (%.3f), %d messages", len(c.admitted), allowed, float64(len(c.admitted))/allowed, f.messages)
			assert.Assert(t, float64(len(c.admitted)) >= 0.9*allowed)
			settled := c.admittedIn(start+5*time.Second, start+seconds*time.Second)
			assert.Assert(t, float64(settled) >= 0.9*perSecond*(seconds-5), "%d after the first 5 s", settled)
			ratio, n, at := c.worst(applyTime)
			assert.Assert(t, ratio <= 1, "%d requests in the window up to %s", n, at)
		})
	}
}

// Guards against small customers whose requests are refused although they are within their
// limit, because tokens are at other entries. Without faults, and without loss of messages,
// none is refused. Of the large customers, which send all that their limits allow, few are.
func TestSmallCustomersWithinTheirLimitAreNotRefused(t *testing.T) {
	limits := make(map[string]Limit)
	for i := range 78 {
		rate := 0.5 + float64(i%4)*0.5
		limits[fmt.Sprint("small-", i)] = Limit{rate, max(rate, 1)}
	}
	limits["large-1"], limits["large-2"] = Limit{190, 190}, Limit{60, 60}
	f := newTestFleet(1, fleetSize, limits)
	f.loss = 0
	f.run(2 * time.Second)
	var customers []*testCustomer
	for _, name := range slices.Sorted(maps.Keys(limits)) {
		limit := limits[name]
		c := newTestCustomer(f, name, limit)
		c.rate, c.shaper = 2*limit.PerSecond, &shaper{}
		customers = append(customers, c)
	}
	f.run(40 * time.Second)
	sent := 0
	for _, c := range customers {
		assert.Equal(t, c.unknown, 0, "%s", c.name)
		if c.limit.PerSecond <= 2 {
			assert.Equal(t, c.refused, 0, "%s", c.name)
		} else {
			t.Logf("%s: %d of %d requests refused", c.name, c.refused, c.sent)
			assert.Assert(t, 200*c.refused <= c.sent)
		}
		sent += c.sent
	}
	t.Logf("%d requests, %d messages", sent, f.messages)
	assert.Assert(t, f.messages <= 2*sent)
}

// Guards against requests within the limit that are refused after all entries were restarted.
func TestRestartOfAllDoesNotRefuseSmallCustomers(t *testing.T) {
	limit := Limit{1, 2}
	f := newStartedFleet(1, map[string]Limit{"c": limit})
	for _, e := range f.entries {
		e.kill()
		e.start()
	}
	f.run(f.now + time.Second)
	c := newTestCustomer(f, "c", limit)
	c.rate, c.shaper = 2, &shaper{}
	f.run(f.now + 20*time.Second)
	assert.Equal(t, c.refused, 0)
	t.Logf("%d requests", c.sent)
}

// Guards against requests within the limit that are refused as over it while the entries are
// restarted one after the other. For those whose home is down, the limit is not known until the
// others notice.
func TestRollingRestartDoesNotRefuseSmallCustomers(t *testing.T) {
	limits := make(map[string]Limit)
	for i := range 40 {
		limits[fmt.Sprint("small-", i)] = Limit{0.5 + float64(i%4)*0.5, 1}
	}
	f := newStartedFleet(1, limits)
	var customers []*testCustomer
	for _, name := range slices.Sorted(maps.Keys(limits)) {
		c := newTestCustomer(f, name, limits[name])
		c.rate, c.shaper = 2*c.limit.PerSecond, &shaper{}
		customers = append(customers, c)
	}
	for _, e := range f.entries {
		f.run(f.now + time.Second)
		e.kill()
		f.run(f.now + time.Second)
		e.start()
	}
	sent, refused, unknown := 0, 0, 0
	for _, c := range customers {
		sent, refused, unknown = sent+c.sent, refused+c.refused, unknown+c.unknown
	}
	t.Logf("of %d requests, %d were refused, and for %d the limit was not known", sent, refused, unknown)
	assert.Equal(t, refused, 0)
	assert.Assert(t, 20*unknown <= sent)
}

// Guards against entries with many requests that take all tokens, so that the customer's
// requests at other entries get none.
func TestHomeServesEntriesFairly(t *testing.T) {
	for _, perSecond := range []float64{2, 60} {
		f := newStartedFleet(1, map[string]Limit{"c": {perSecond, 1}})
		flood, other := newTestCustomer(f, "c", Limit{perSecond, 1}), newTestCustomer(f, "c", Limit{perSecond, 1})
		flood.rate, flood.at = 20*perSecond, []*testEntry{f.entries[3]}
		other.rate, other.at = 4*perSecond, []*testEntry{f.entries[11]}
		f.run(f.now + 30*time.Second)
		share := float64(len(other.admitted)) / float64(len(flood.admitted)+len(other.admitted))
		t.Logf("%.0f a second: %d admitted at one entry, %d at the other", perSecond, len(flood.admitted), len(other.admitted))
		assert.Assert(t, share >= 0.25)
	}
}

// Guards against callers that come back when they were told to and are refused again. Each
// sends one request, and returns until it is admitted.
func TestRetryAfterSaysWhenACallerIsAdmitted(t *testing.T) {
	const callers = 40
	limit := Limit{40, 1}
	f := newStartedFleet(1, map[string]Limit{"c": limit})
	f.loss = 0
	refused := make([]int, callers)
	var request func(i int)
	request = func(i int) {
		e := f.entries[f.random.IntN(3)]
		e.limiter.acquire("c", limit, func(d Decision) {
			if !d.Allowed() {
				assert.Assert(t, d.RetryAfter() <= maxRetryAfter)
				refused[i]++
				f.after(d.RetryAfter(), func() { request(i) })
			}
		})
	}
	for i := range callers {
		f.after(time.Duration(i)*time.Millisecond, func() { request(i) })
	}
	f.run(f.now + 5*time.Second)
	total := 0
	for _, n := range refused {
		total += n
		assert.Assert(t, n <= 4)
	}
	t.Logf("%d callers were refused %d times", callers, total)
	assert.Assert(t, total <= 2*callers)
}
