package cicadabatch

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadagateway/cicadapeer"
	"cicadalink.example/cicadagateway/cicadaplace"
	"cicadalink.example/cicadakernel/cicadaplatform"
)

const (
	testHeartbeat      = 250 * time.Millisecond
	testFailureTimeout = 1200 * time.Millisecond
)

// A testMember is an owner in a testMembership.
type testMember struct {
	*testOwner
	heard    map[string]report // newest report of each other member
	frozenAt time.Time         // zero while the member runs
	woken    chan struct{}     // closed when the member is no longer frozen
	occupied bool              // by online requests
}

// A report is what one member has heard from another.
type report struct {
	sentAt, receivedAt time.Time
	roster             []cicadapeer.RosterEntry
	heardAt            map[string]time.Time // when the newest report of each member that the sender had was sent
}

// A testMembership is a deployment whose owners exchange their rosters, unless links between
// them are cut or they are frozen. A frozen owner finds its view of the others as it was, and
// its calls to the store go on when it is awake.
type testMembership struct {
	*testDeployment
	mu      sync.Mutex
	members map[string]*testMember
	wg      sync.WaitGroup
	cut     map[[2]string]bool // by sender and receiver
}

// newTestMembership starts a membership whose owners know what the others report, unless they are
// to trust their own views.
func newTestMembership(ctx context.Context, trusting bool, names ...string) *testMembership {
	m := &testMembership{testDeployment: newTestDeployment(), members: make(map[string]*testMember), cut: make(map[[2]string]bool)}
	for _, name := range names {
		m.members[name] = &testMember{heard: make(map[string]report), woken: closedChannel()}
	}
	for _, name := range names {
		d := *m.testDeployment
		d.backend = m.backendOf(name)
		var opts []Option
		if !trusting {
			opts = append(opts, WithPeers(func() []cicadapeer.OwnerView { return m.views(name) }, func() {}))
		}
		m.members[name].testOwner = d.startOwner(name, func() []string { return m.live(name) }, opts...)
	}
	m.wg.Go(func() {
		for ctx.Err() == nil {
			m.exchange()
			time.Sleep(testHeartbeat)
		}
	})
	return m
}

// occupy gives all slots to online requests at a member, which then runs no items, or frees them.
func (m *testMembership) occupy(name string, occupied bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members[name].occupied = occupied
}

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// stop stops the members. The context of the membership must be done.
func (m *testMembership) stop() {
	m.wg.Wait()
	for _, member := range m.members {
		member.stop()
	}
}

// backendOf returns the store as a member reaches it.
func (m *testMembership) backendOf(name string) cicadaplatform.Backend {
	backend := m.backend
	wait := func() {
		m.mu.Lock()
		woken := m.members[name].woken
		m.mu.Unlock()
		<-woken
	}
	get, create := backend.Get, backend.Create
	backend.Get = func(ctx context.Context, object string) (cicadaplatform.Object, error) {
		wait()
		defer wait()
		return get(ctx, object)
	}
	backend.Create = func(ctx context.Context, object string, value []byte) (cicadaplatform.Object, error) {
		wait()
		return create(ctx, object, value)
	}
	return backend
}

// exchange lets each member send its report to all others that it reaches.
func (m *testMembership) exchange() {
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	for from, sender := range m.members {
		online := 0
		if sender.occupied {
			online = 4
		}
		sender.table.SetPeer("entry", map[string]cicadaplace.InFlight{"e1": {Online: online}, "e2": {Online: online}})
		if !sender.frozenAt.IsZero() {
			continue
		}
		r := report{sentAt: now, receivedAt: now, roster: sender.Roster(), heardAt: make(map[string]time.Time)}
		for name, h := range sender.heard {
			r.heardAt[name] = h.sentAt
		}
		for to, receiver := range m.members {
			if to != from && receiver.frozenAt.IsZero() && !m.cut[[2]string{from, to}] {
				receiver.heard[from] = r
			}
		}
	}
}

// live returns the members that a member considers live, itself included.
func (m *testMembership) live(name string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	self, now := m.members[name], time.Now()
	if !self.frozenAt.IsZero() {
		now = self.frozenAt
	}
	live := []string{name}
	for other, r := range self.heard {
		if now.Sub(r.receivedAt) <= testFailureTimeout {
			live = append(live, other)
		}
	}
	slices.Sort(live)
	return live
}

func (m *testMembership) views(name string) []cicadapeer.OwnerView {
	m.mu.Lock()
	defer m.mu.Unlock()
	var views []cicadapeer.OwnerView
	for _, other := range slices.Sorted(maps.Keys(m.members[name].heard)) {
		r := m.members[name].heard[other]
		v := cicadapeer.OwnerView{Owner: other, Incarnation: 1}
		for _, e := range r.roster {
			switch e.Name {
			case other:
				v.RunsJobs = true
			case name:
				v.Since = e.Since
				if at, ok := r.heardAt[name]; ok {
					v.ValidUntil = at.Add(testFailureTimeout)
				}
			}
		}
		views = append(views, v)
	}
	return views
}

func (m *testMembership) freeze(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members[name].frozenAt, m.members[name].woken = time.Now(), make(chan struct{})
}

func (m *testMembership) isFrozen(name string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.members[name].frozenAt.IsZero()
}

func (m *testMembership) wake(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members[name].frozenAt = time.Time{}
	close(m.members[name].woken)
}

// setCut cuts or restores the links from a member to all others, those from all others to it, or
// both.
func (m *testMembership) setCut(name string, outbound, inbound, cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for other := range m.members {
		if outbound {
			m.cut[[2]string{name, other}] = cut
		}
		if inbound {
			m.cut[[2]string{other, name}] = cut
		}
	}
}

// read returns the number of results that a member shows of a job. It reports false if the
// member cannot be sure.
func (m *testMembership) read(t *testing.T, name, job string) (int, bool) {
	t.Helper()
	resp := m.members[name].call(t, &Call{Kind: CallReadResults, Job: job})
	if resp.Status == http.StatusServiceUnavailable {
		return 0, false
	}
	assert.Equal(t, resp.Status, http.StatusOK)
	var p testResultsPage
	assert.NilError(t, json.Unmarshal(resp.Body, &p))
	return len(p.Results), true
}

// ownedBy returns the id of a job that the named one of the members owns.
func (m *testMembership) ownedBy(name string) string {
	for i := 0; ; i++ {
		if id := fmt.Sprint("j", i); ownerOf(id, slices.Sorted(maps.Keys(m.members))) == name {
			return id
		}
	}
}

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

// playFault suspends a member that has no slots, or cuts its links, for some seconds.
func (m *testMembership) playFault(random *rand.Rand, names []string) {
	time.Sleep(time.Duration(random.IntN(4000)) * time.Millisecond)
	name, outage := names[random.IntN(len(names))], time.Duration(500+random.IntN(4500))*time.Millisecond
	for _, member := range names {
		m.occupy(member, member == name || random.IntN(3) == 0)
	}
	switch random.IntN(4) {
	case 0, 1:
		m.freeze(name)
		time.Sleep(outage)
		m.wake(name)
	case 2:
		m.setCut(name, true, true, true)
		time.Sleep(outage)
		m.setCut(name, true, true, false)
	case 3:
		inbound := random.IntN(2) == 0
		m.setCut(name, !inbound, inbound, true)
		time.Sleep(outage)
		m.setCut(name, !inbound, inbound, false)
	}
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
