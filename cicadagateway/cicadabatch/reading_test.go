package cicadabatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestOwnerThatWasLeftOutReadsItsJobsAgain guards against results that callers have read and that
// are missing once the owner of their job is back: it was suspended or cut off, another owner
// listed them meanwhile, and the owner took its memory for complete.
func TestOwnerThatWasLeftOutReadsItsJobsAgain(t *testing.T) {
	for name, c := range map[string]struct{ leave, back func(m *testMembership) }{
		"suspended":             {func(m *testMembership) { m.freeze("o1") }, func(m *testMembership) { m.wake("o1") }},
		"cut off":               {func(m *testMembership) { m.setCut("o1", true, true, true) }, func(m *testMembership) { m.setCut("o1", true, true, false) }},
		"not heard":             {func(m *testMembership) { m.setCut("o1", true, false, true) }, func(m *testMembership) { m.setCut("o1", true, false, false) }},
		"not heard, not mended": {func(m *testMembership) { m.setCut("o1", true, false, true) }, func(*testMembership) {}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				m := newTestMembership(ctx, false, "o1", "o2", "o3")
				defer m.stop()
				defer cancel()
				m.occupy("o1", true)
				time.Sleep(2 * time.Second)
				job := m.ownedBy("o1")
				assert.Equal(t, m.members["o1"].call(t, submitCall(job, 10, 10)).Status, http.StatusAccepted)
				time.Sleep(lateWriteWindow + time.Second)
				assert.Equal(t, m.members["o1"].roster.ownerOf(job), "o1")
				c.leave(m)
				time.Sleep(testFailureTimeout + 2*time.Second)
				n, ok := m.read(t, "o2", job)
				assert.Assert(t, ok && n > 0, "another owner has listed %d results", n)
				c.back(m)
				for range 20 {
					shown, ok := m.read(t, "o1", job)
					assert.Assert(t, !ok || shown >= n, "%d of %d results are shown", shown, n)
					time.Sleep(100 * time.Millisecond)
				}
				_, ok = m.read(t, "o1", job)
				assert.Assert(t, ok, "the owner can read the job")
			})
		})
	}
}

// TestCalmOwnersReadFromMemory guards against reads of callers that each cost a call to the store.
func TestCalmOwnersReadFromMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		m := newTestMembership(ctx, false, "o1", "o2", "o3")
		defer m.stop()
		defer cancel()
		m.occupy("o2", true)
		time.Sleep(2 * time.Second)
		job := m.ownedBy("o2")
		m.members["o2"].call(t, submitCall(job, 10))
		for range 100 {
			_, ok := m.read(t, "o2", job)
			assert.Assert(t, ok)
			time.Sleep(100 * time.Millisecond)
		}
		var loads time.Time
		m.members["o2"].enqueueAndWait(func() { loads = m.members["o2"].jobs[job].loadStarted })
		assert.Assert(t, loads.IsZero(), "results were read from the store")
	})
}

// TestResultsOnceReadStayUnderFaults suspends owners and cuts links at random, while readers ask
// all owners. Whatever one reader got, all others must get within maxVisibilityDelay.
func TestResultsOnceReadStayUnderFaults(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount)/6; seed++ {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				for _, violation := range readUnderFaults(t, false, rand.New(rand.NewPCG(seed, 2))) {
					t.Error(violation)
				}
			})
		})
	}
}

// TestReadHistoryFindsMissingResults shows that the check of reads under faults detects owners
// that trust their own views.
func TestReadHistoryFindsMissingResults(t *testing.T) {
	const lastSeed = 40
	found := 0
	for seed := uint64(10); seed < lastSeed && found == 0; seed++ {
		synctest.Test(t, func(t *testing.T) {
			found = len(readUnderFaults(t, true, rand.New(rand.NewPCG(seed, 2))))
		})
	}
	assert.Assert(t, found > 0)
}

// readUnderFaults returns a description of each read that missed results.
func readUnderFaults(t *testing.T, trusting bool, random *rand.Rand) (violations []string) {
	ctx, cancel := context.WithCancel(t.Context())
	names := []string{"o1", "o2", "o3"}
	m := newTestMembership(ctx, trusting, names...)
	defer m.stop()
	defer cancel()
	time.Sleep(2 * time.Second)
	jobs := map[string][]int{m.ownedBy("o1"): {90, 150, 250, 320, 390}, m.ownedBy("o2"): {60, 200, 380}}
	for job, events := range jobs {
		assert.Equal(t, m.members["o1"].call(t, submitCall(job, events...)).Status, http.StatusAccepted)
	}
	history := &readHistory{membership: m, firstRead: make(map[string][]time.Time)}
	var wg sync.WaitGroup
	for job := range jobs {
		for _, name := range names {
			pause := time.Duration(50+random.IntN(400)) * time.Millisecond
			wg.Go(func() {
				for ctx.Err() == nil {
					history.readAt(t, name, job)
					time.Sleep(pause)
				}
			})
		}
	}
	for range 8 {
		m.playFault(random, names)
	}
	for _, name := range names {
		m.occupy(name, false)
	}
	time.Sleep(20 * time.Second)
	cancel()
	wg.Wait()
	for job, events := range jobs {
		for _, name := range names {
			m.checkComplete(t, m.members[name].results(t, job, 0), job, events...)
		}
	}
	return history.violations
}

// A readHistory checks reads of jobs against earlier ones.
type readHistory struct {
	membership *testMembership
	mu         sync.Mutex
	firstRead  map[string][]time.Time // by job and position
	violations []string
}

// readAt reads a job at a member. A frozen member answers no calls.
func (h *readHistory) readAt(t *testing.T, name, job string) {
	if h.membership.isFrozen(name) {
		return
	}
	sent := time.Now()
	n, ok := h.membership.read(t, name, job)
	if !ok {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.firstRead[job]) < n {
		h.firstRead[job] = append(h.firstRead[job], time.Now())
	}
	for position, at := range h.firstRead[job][n:] {
		if sent.Sub(at) > maxVisibilityDelay {
			h.violations = append(h.violations, fmt.Sprintf("%s shows %d results of %s; position %d was read %v before", name, n, job, n+position, sent.Sub(at)))
			return
		}
	}
}
