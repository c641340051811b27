package cicadabatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadaview"
)

const (
	testEndLimit     = 3 * time.Second // within which the items of an ended job start no more
	testContactTime  = 3 * time.Second // after a silence, within which the limit does not hold
	testWatchTimeout = 17 * time.Second
	testCallTimeout  = 2 * time.Second
)

// A quietStore is a store that is silent for one owner at times: a call that the store gets in a silence is
// never answered.
type quietStore struct {
	mu     sync.Mutex
	silent bool
	ended  time.Time // of the last silence
}

func (s *quietStore) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	if !silent {
		s.ended = time.Now()
	}
}

// disturbed reports whether there was a silence within d before now.
func (s *quietStore) disturbed(d time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silent || !s.ended.IsZero() && time.Since(s.ended) < d
}

// ask makes a call, unless the store is silent.
func ask[T any](ctx context.Context, s *quietStore, timeout time.Duration, call func() (T, error)) (result T, err error) {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if !silent {
		return call()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	<-ctx.Done()
	return result, fmt.Errorf("%w: %w", cicadaplatform.ErrInDoubt, ctx.Err())
}

// of returns the store of a backend as the owner sees it.
func (s *quietStore) of(b cicadaplatform.Backend) cicadaplatform.Backend {
	inner := b
	b.Get = func(ctx context.Context, name string) (cicadaplatform.Object, error) {
		return ask(ctx, s, testCallTimeout, func() (cicadaplatform.Object, error) { return inner.Get(ctx, name) })
	}
	b.List = func(ctx context.Context, prefix, after string, limit int) (cicadaplatform.Page, error) {
		return ask(ctx, s, testCallTimeout, func() (cicadaplatform.Page, error) { return inner.List(ctx, prefix, after, limit) })
	}
	b.Changes = func(ctx context.Context, prefix string, from int64) (cicadaplatform.Page, error) {
		return ask(ctx, s, testCallTimeout, func() (cicadaplatform.Page, error) { return inner.Changes(ctx, prefix, from) })
	}
	b.Watch = func(ctx context.Context, prefix string, from int64) (cicadaplatform.Page, error) {
		return ask(ctx, s, testWatchTimeout, func() (cicadaplatform.Page, error) { return inner.Watch(ctx, prefix, from) })
	}
	b.Create = func(ctx context.Context, name string, value []byte) (cicadaplatform.Object, error) {
		return ask(ctx, s, testCallTimeout, func() (cicadaplatform.Object, error) { return inner.Create(ctx, name, value) })
	}
	b.Update = func(ctx context.Context, name string, version int64, value []byte) (cicadaplatform.Object, error) {
		return ask(ctx, s, testCallTimeout, func() (cicadaplatform.Object, error) { return inner.Update(ctx, name, version, value) })
	}
	return b
}

// startQuietOwner starts an owner with a store of its own and with endpoints that no other owner uses.
func (d *testDeployment) startQuietOwner(name string, owners func() []string, endpoints ...string) (*testOwner, *quietStore) {
	s, own := &quietStore{}, *d
	own.backend = s.of(d.backend)
	o := own.startOwner(name, owners)
	var all []cicadaview.Endpoint
	for _, id := range endpoints {
		all = append(all, cicadaview.Endpoint{ID: id, Service: "s", Address: id, Slots: testSlots})
	}
	o.table.SetEndpoints(all)
	return o, s
}

// startsOf returns the runs of the items of a job.
func (e *fakeEngines) startsOf(job string) []engineStart {
	e.mu.Lock()
	defer e.mu.Unlock()
	var all []engineStart
	for _, s := range e.starts {
		if strings.HasPrefix(s.item, job+"-") {
			all = append(all, s)
		}
	}
	return all
}

// Guards against items that start after their job's end was acknowledged, at an owner whose watch of the
// jobs was lost in a silence of the store, and to which the job has moved.
func TestItemsOfEndedJobDoNotStartAfterLostWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		var owner atomic.Value
		owner.Store("o2")
		owners := func() []string { return []string{owner.Load().(string)} }
		o1, store := d.startQuietOwner("o1", owners, "e1")
		defer o1.stop()
		o2, _ := d.startQuietOwner("o2", owners) // has no endpoint
		defer o2.stop()
		time.Sleep(time.Second)
		o2.call(t, submitCall("ended", 20, 20))
		time.Sleep(time.Second)
		store.setSilent(true)
		o2.call(t, submitCall("open", 20, 20)) // the watch of o1 returns, and the next one is lost
		time.Sleep(2 * time.Second)
		assert.Equal(t, o2.call(t, &Call{Kind: CallEndJob, Job: "ended"}).Status, http.StatusOK)
		time.Sleep(time.Second)
		store.setSilent(false)
		time.Sleep(testContactTime)
		owner.Store("o1")
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(d.startsOf("ended")), 0)
		assert.Equal(t, len(d.startsOf("open")), 2)
	})
}

// Guards against batch work that stands still while the store is away.
func TestItemsStartWhileTheStoreIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		o, store := d.startQuietOwner("o1", fixedOwners("o1"))
		defer o.stop()
		time.Sleep(time.Second)
		events := make([]int, 30)
		for i := range events {
			events[i] = 20
		}
		o.call(t, submitCall("j", events...))
		time.Sleep(10 * time.Second)
		store.setSilent(true)
		time.Sleep(time.Second)
		o.table.SetEndpoints([]cicadaview.Endpoint{{ID: "e1", Service: "s", Address: "e1", Slots: 2}})
		time.Sleep(15 * time.Second)
		starts := d.startsOf("j")
		assert.Equal(t, len(starts), len(events))
		for i, s := range starts[1:] {
			assert.Assert(t, s.at.Sub(starts[i].at) <= testContactTime/2, "no start for %v", s.at.Sub(starts[i].at))
		}
	})
}

// An endedJob is a job of a history, with the time at which its end was acknowledged.
type endedJob struct {
	id  string
	ack time.Time
}

// playEnds plays a history of two owners that lose the store by turns and take each other's jobs, while jobs
// are submitted and ended at either. It checks each start of an item.
func playEnds(t *testing.T, random *rand.Rand) {
	d := newTestDeployment()
	var owner atomic.Value
	owner.Store("o1")
	owners := func() []string { return []string{owner.Load().(string)} }
	o1, s1 := d.startQuietOwner("o1", owners, "e1")
	defer o1.stop()
	o2, s2 := d.startQuietOwner("o2", owners, "e2")
	defer o2.stop()
	members, stores := []*testOwner{o1, o2}, []*quietStore{s1, s2}
	time.Sleep(time.Second)
	var jobs []*endedJob
	checked, until := 0, time.Now().Add(40*time.Second)
	for time.Now().Before(until) {
		i := random.IntN(2)
		switch random.IntN(12) {
		case 0:
			stores[i].setSilent(true)
		case 1, 2, 3:
			stores[i].setSilent(false)
		case 4:
			owner.Store(members[i].name)
		case 5, 6, 7:
			j := &endedJob{id: fmt.Sprint("j", len(jobs))}
			if members[i].call(t, submitCall(j.id, 60, 60, 60, 60, 60, 60)).Status == http.StatusAccepted {
				jobs = append(jobs, j)
			}
		case 8, 9:
			if len(jobs) == 0 {
				break
			}
			j := jobs[len(jobs)-1-random.IntN(min(len(jobs), 4))]
			if members[i].call(t, &Call{Kind: CallEndJob, Job: j.id}).Status == http.StatusOK && j.ack.IsZero() {
				j.ack = time.Now()
			}
		}
		for range 1 + random.IntN(10) {
			time.Sleep(50 * time.Millisecond)
			checked = checkStarts(t, d, jobs, stores, checked)
		}
	}
}

// checkStarts checks the starts of items since those that were checked, and returns how many there are.
func checkStarts(t *testing.T, d *testDeployment, jobs []*endedJob, stores []*quietStore, checked int) int {
	d.mu.Lock()
	starts := d.starts[checked:]
	d.mu.Unlock()
	for _, s := range starts {
		store := stores[0]
		if s.address == "e2" {
			store = stores[1]
		}
		for _, j := range jobs {
			if strings.HasPrefix(s.item, j.id+"-") && !j.ack.IsZero() && s.at.Sub(j.ack) > testEndLimit {
				assert.Assert(t, store.disturbed(testContactTime), "%s started at %s %v after the ack of its job's end", s.item, s.address, s.at.Sub(j.ack))
			}
		}
	}
	return checked + len(starts)
}

// Guards against items that start long after their job's end, whichever owner acknowledged it, and whatever was lost.
func TestHistoryOfEnds(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount)/3; seed++ {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { playEnds(t, rand.New(rand.NewPCG(seed, 3))) })
		})
	}
}
