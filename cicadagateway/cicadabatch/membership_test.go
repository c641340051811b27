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
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadagateway/cicadapeer"
	"cicadalink.example/cicadagateway/cicadaplace"
	"cicadalink.example/cicadakernel/cicadaplatform"
)

const (
	testHeartbeat      = 250 * time.Millisecond
	testFailureTimeout = 1200 * time.Millisecond
	testSlots          = 4 // of each endpoint of a test deployment
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
			online = testSlots
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
