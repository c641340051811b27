package cicadabatch

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func newTestItem(j *job, id string, lastEvent int) *item {
	it := &item{job: j, itemProgress: itemProgress{lastEvent: lastEvent}}
	it.ID = id
	return it
}

// TestEarliestDueJobFirstLateItemsLast guards against all jobs being late when the
// backlog takes longer than the time until they are due.
func TestEarliestDueJobFirstLateItemsLast(t *testing.T) {
	now := time.Unix(1000, 0)
	estimate := &runEstimate{meanTime: 5 * time.Second, meanEvents: 100}
	due := func(d time.Duration) *job {
		return &job{acceptedAt: now, record: jobRecord{DueMs: d.Milliseconds()}}
	}
	late := newTestItem(due(2*time.Second), "late", 0)
	soon := newTestItem(due(6*time.Second), "soon", 0)
	later := newTestItem(due(18*time.Second), "later", 0)
	started := newTestItem(soon.job, "started", 40)
	waiting := []*item{later, late, soon, started}
	slices.SortFunc(waiting, func(a, b *item) int {
		if estimate.less(a, b, now) {
			return -1
		}
		return 1
	})
	var order []string
	for _, it := range waiting {
		order = append(order, it.ID)
	}
	assert.DeepEqual(t, order, []string{"started", "soon", "later", "late"})
}

func TestPreemptionVictim(t *testing.T) {
	now := time.Unix(1000, 0)
	estimate := &runEstimate{meanTime: 5 * time.Second, meanEvents: 100}
	j := &job{acceptedAt: now, record: jobRecord{DueMs: 18000}}
	started, nearlyDone := newTestItem(j, "started", 5), newTestItem(j, "nearly done", 95)
	newer := newTestItem(&job{acceptedAt: now.Add(time.Second), record: jobRecord{DueMs: 18000}}, "newer", 50)
	pinned := newTestItem(j, "pinned", 99)
	pinned.pinned = true
	assert.Equal(t, estimate.preemptionVictim([]*item{started, newer, nearlyDone, pinned}, now).ID, "newer")
	assert.Equal(t, estimate.preemptionVictim([]*item{started, nearlyDone, pinned}, now).ID, "started")
	assert.Assert(t, estimate.preemptionVictim([]*item{pinned}, now) == nil)
}

func TestRemainingTimeEstimate(t *testing.T) {
	var estimate runEstimate
	assert.Equal(t, estimate.remaining(0), initialRunTime)
	estimate.observe(4*time.Second, 100)
	assert.Equal(t, estimate.remaining(50), 2*time.Second)
	assert.Equal(t, estimate.remaining(500), 400*time.Millisecond, "a run longer than the mean still needs some time")
}

func TestEligible(t *testing.T) {
	up := func(name string, age time.Duration) Candidate {
		return Candidate{Name: name, StoreUp: true, StoreAge: age}
	}
	down := func(name string) Candidate { return Candidate{Name: name} }
	old := 10 * time.Second
	for _, c := range []struct {
		name string
		all  []Candidate
		want []string
	}{
		{"idle watches have old responses", []Candidate{up("b", old), up("a", old)}, []string{"a", "b"}},
		{"one has lost the store, another had a recent response", []Candidate{down("a"), up("b", 0), up("c", old)}, []string{"b"}},
		{"one has lost the store, no owner had a recent response: jobs stay", []Candidate{down("a"), up("b", old)}, []string{"a", "b"}},
		{"the store is down: jobs stay", []Candidate{down("a"), down("b")}, []string{"a", "b"}},
		{"one is shutting down", []Candidate{up("a", 0), {Name: "b", StoreUp: true, Leaving: true}}, []string{"a"}},
		{"all are shutting down", []Candidate{{Name: "b", Leaving: true}}, []string{"b"}},
		{"no owners", nil, nil},
	} {
		assert.DeepEqual(t, Eligible(c.all), c.want)
	}
}

func TestRendezvousHashingMovesOnlyLostOwnersJobs(t *testing.T) {
	all := []string{"a", "b", "c", "d"}
	count := make(map[string]int)
	for i := range 400 {
		id := time.Duration(i).String()
		owner := ownerOf(id, all)
		count[owner]++
		if next := ownerOf(id, all[:3]); owner != "d" {
			assert.Equal(t, next, owner)
		}
		peers := rankPeers(id, []Peer{{Name: "c"}, {Name: "a"}, {Name: "d"}, {Name: "b"}})
		assert.Equal(t, peers[0].Name, owner)
	}
	for _, name := range all {
		assert.Assert(t, count[name] > 50, "%s owns %d", name, count[name])
	}
}
