package cicadabatch

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func itemOf(j *job, id string, last int) *item {
	it := &item{job: j, partial: partial{last: last}}
	it.ID = id
	return it
}

// TestJobDueFirstGoesFirstAndLateItemsLast answers a backlog that is longer than
// the time to the due times: finishing some jobs beats being late with all.
func TestJobDueFirstGoesFirstAndLateItemsLast(t *testing.T) {
	now := time.Unix(1000, 0)
	p := &pace{run: 5 * time.Second, events: 100}
	due := func(d time.Duration) *job {
		return &job{accepted: now, record: record{DueMs: d.Milliseconds()}}
	}
	late := itemOf(due(2*time.Second), "late", 0)
	soon := itemOf(due(6*time.Second), "soon", 0)
	later := itemOf(due(18*time.Second), "later", 0)
	begun := itemOf(soon.job, "begun", 40)
	waiting := []*item{later, late, soon, begun}
	slices.SortFunc(waiting, func(a, b *item) int {
		if p.less(a, b, now) {
			return -1
		}
		return 1
	})
	var order []string
	for _, it := range waiting {
		order = append(order, it.ID)
	}
	assert.DeepEqual(t, order, []string{"begun", "soon", "later", "late"})
}

func TestTheItemThatCanBestWaitIsPutAside(t *testing.T) {
	now := time.Unix(1000, 0)
	p := &pace{run: 5 * time.Second, events: 100}
	j := &job{accepted: now, record: record{DueMs: 18000}}
	begun, ending := itemOf(j, "begun", 5), itemOf(j, "ending", 95)
	newer := itemOf(&job{accepted: now.Add(time.Second), record: record{DueMs: 18000}}, "newer", 50)
	pinned := itemOf(j, "pinned", 99)
	pinned.pinned = true
	assert.Equal(t, p.putAside([]*item{begun, newer, ending, pinned}, now).ID, "newer")
	assert.Equal(t, p.putAside([]*item{begun, ending, pinned}, now).ID, "begun")
	assert.Assert(t, p.putAside([]*item{pinned}, now) == nil)
}

func TestRemainingFollowsFinishedRuns(t *testing.T) {
	var p pace
	assert.Equal(t, p.remaining(0), startEstimate)
	p.add(4*time.Second, 100)
	assert.Equal(t, p.remaining(50), 2*time.Second)
	assert.Equal(t, p.remaining(500), 400*time.Millisecond, "a straggler still needs some time")
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
		{"quiet watches are old", []Candidate{up("b", old), up("a", old)}, []string{"a", "b"}},
		{"one has lost the store, another is sure", []Candidate{down("a"), up("b", 0), up("c", old)}, []string{"b"}},
		{"one has lost the store, nobody is sure: jobs stay", []Candidate{down("a"), up("b", old)}, []string{"a", "b"}},
		{"the store is down: jobs stay", []Candidate{down("a"), down("b")}, []string{"a", "b"}},
		{"one leaves", []Candidate{up("a", 0), {Name: "b", StoreUp: true, Leaving: true}}, []string{"a"}},
		{"all leave", []Candidate{{Name: "b", Leaving: true}}, []string{"b"}},
		{"none", nil, nil},
	} {
		assert.DeepEqual(t, Eligible(c.all), c.want)
	}
}

func TestRendezvousMovesOnlyTheLostOwnersJobs(t *testing.T) {
	all := []string{"a", "b", "c", "d"}
	count := make(map[string]int)
	for i := range 400 {
		id := time.Duration(i).String()
		owner := ownerOf(id, all)
		count[owner]++
		if next := ownerOf(id, all[:3]); owner != "d" {
			assert.Equal(t, next, owner)
		}
		peers := rank(id, []Peer{{Name: "c"}, {Name: "a"}, {Name: "d"}, {Name: "b"}})
		assert.Equal(t, peers[0].Name, owner)
	}
	for _, name := range all {
		assert.Assert(t, count[name] > 50, "%s owns %d", name, count[name])
	}
}
