package cicadaratelimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// scenario is a fleet with one customer, whose bucket is full when its flood begins at
// floodAt, at all entries.
type scenario struct {
	*testFleet
	c *testCustomer
}

const floodAt = 15 * time.Second

func newScenario(limit Limit) *scenario {
	f := newTestFleet(1, fleetSize, map[string]Limit{"c": limit})
	s := &scenario{f, newTestCustomer(f, "c", limit)}
	s.c.rate = limit.PerSecond / 10
	f.after(floodAt, func() { s.c.rate = floodFactor * (limit.PerSecond + limit.Burst) })
	return s
}

func (s *scenario) worst() float64 {
	ratio, _, _ := s.c.worst(applyTime)
	return ratio
}

// keepsLimit runs a scenario with a protection and without it. It shows that the protection is
// needed, and that the check of the limit can fail.
func keepsLimit(t *testing.T, run func(protected bool) *scenario) {
	t.Helper()
	with, without := run(true).worst(), run(false).worst()
	t.Logf("worst window: %.2f of what is allowed, and %.2f without the protection", with, without)
	assert.Assert(t, with <= 1)
	assert.Assert(t, without > 1)
}

// Guards against homes in two parts of a partition that each grant the whole limit.
func TestPartitionSharesTheLimit(t *testing.T) {
	keepsLimit(t, func(protected bool) *scenario {
		s := newScenario(Limit{100, 100})
		s.shareAll = !protected
		s.after(floodAt+5*time.Second, func() {
			for i := range s.entries {
				for j := range s.entries {
					s.cut[[2]int{i, j}] = i%2 != j%2
				}
			}
		})
		s.run(floodAt + 15*time.Second)
		return s
	})
}

// Guards against two homes that each grant most of the limit while only the link between them
// has failed, because entries don't know that others are in contact with both.
func TestFailedLinkSharesTheLimit(t *testing.T) {
	keepsLimit(t, func(protected bool) *scenario {
		s := newScenario(Limit{100, 1})
		first := s.homeOf("c")
		first.dead = true
		second := s.homeOf("c")
		first.dead = false
		s.c.at = []*testEntry{first, second}
		s.after(floodAt+5*time.Second, func() { s.cut[[2]int{first.index, second.index}] = true })
		s.dropViews = !protected
		s.run(floodAt + 15*time.Second)
		return s
	})
}

// Guards against a home that is killed and starts again with a full bucket.
func TestRestartedHomeStartsWithFewTokens(t *testing.T) {
	keepsLimit(t, func(protected bool) *scenario {
		s := newScenario(Limit{20, 200})
		home := s.homeOf("c")
		s.after(floodAt+2500*time.Millisecond, home.kill)
		s.after(floodAt+3*time.Second, func() {
			s.startFull = !protected
			home.start()
		})
		s.run(floodAt + 10*time.Second)
		return s
	})
}

// Guards against a home that uses the bucket from before it was suspended, while that of the
// home which has replaced it was full too.
func TestResumedHomeDropsItsBuckets(t *testing.T) {
	keepsLimit(t, func(protected bool) *scenario {
		s := newScenario(Limit{20, 200})
		home := s.homeOf("c")
		s.after(time.Second, home.suspend)
		s.after(floodAt+time.Second, func() {
			if !protected {
				home.limiter.activeAt = home.limiter.now()
			}
			home.resume()
			s.c.rate, s.c.at = 8000, []*testEntry{home}
		})
		s.run(floodAt + 10*time.Second)
		return s
	})
}

// Guards against a lease that is used after its entry was suspended for longer than the
// lease's lifetime, by a clock that also counts that time.
func TestLeaseExpiresDuringASuspension(t *testing.T) {
	limit := Limit{200, 200}
	f := newStartedFleet(1, map[string]Limit{"c": limit})
	home := f.homeOf("c")
	e := f.entries[(home.index+1)%fleetSize]
	c := newTestCustomer(f, "c", limit)
	c.rate, c.at = 100, []*testEntry{e}
	for f.run(f.now + 3*time.Second); e.limiter.customers["c"].lease.Unused(e.limiter.now()) == 0; {
		f.run(f.now + time.Millisecond)
	}
	c.rate = 0
	e.suspend()
	home.kill()
	f.run(f.now + 300*time.Millisecond)
	e.suspended = false
	admitted := len(c.admitted)
	c.requestAt(e)
	assert.Equal(t, len(c.admitted), admitted)
	f.run(f.now + 100*time.Millisecond)
	assert.Equal(t, c.unknown, 1, "the home is dead, and the entry does not know yet")
}

// Guards against a change of the home after which less than 0.9 of the limit is used.
func TestLimitIsUsedAfterTheHomeWasKilled(t *testing.T) {
	s := newScenario(Limit{100, 100})
	const killAt = floodAt + 5*time.Second
	s.after(killAt, s.homeOf("c").kill)
	s.run(killAt + 15*time.Second)
	n := s.c.admittedIn(killAt+5*time.Second, killAt+15*time.Second)
	t.Logf("%d of 1000 admitted in 10 s, %d in the 5 s after the home was killed", n, s.c.admittedIn(killAt, killAt+5*time.Second))
	assert.Assert(t, n >= 900)
	assert.Assert(t, s.worst() <= 1)
}
