package cicadareservation

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadaplatform"
)

var (
	seedCount = flag.Int("seeds", 60, "histories to check")
	firstSeed = flag.Uint64("first", 1, "seed of the first history")
)

const (
	testRoute = "intake"
	testLimit = 10_000
)

// acceptedJob is a job of the model: the acceptor, and the tokens that wait.
type acceptedJob struct {
	owner     string
	waiting   int64
	createdAt time.Time
}

// fleet is a set of owners that share a store, and the model of what they have accepted.
type fleet struct {
	t       testing.TB
	seed    uint64
	mu      sync.Mutex
	random  *rand.Rand
	backend cicadaplatform.Backend
	owners  map[string]*testOwner
	jobs    map[string]*acceptedJob
	nextJob int
	faulty  bool // the store fails calls and loses responses
	cut     bool // owners cannot hear each other

	granted, refused, failed int
}

// testOwner is one incarnation of an owner.
type testOwner struct {
	name    string
	limiter *Limiter
	stop    context.CancelFunc
	ctx     context.Context
	lag     time.Duration // how late it learns of jobs that others have accepted
	frozen  bool
}

func newFleet(t testing.TB, seed uint64, names ...string) *fleet {
	f := &fleet{t: t, seed: seed, random: rand.New(rand.NewPCG(seed, 2)), owners: make(map[string]*testOwner), jobs: make(map[string]*acceptedJob)}
	f.backend = f.faultyBackend(cicadaplatform.NewMemory().Backend())
	for _, name := range names {
		f.start(name)
	}
	return f
}

// faultyBackend refuses some writes while the store is faulty, loses the responses of
// some, and applies some late.
func (f *fleet) faultyBackend(b cicadaplatform.Backend) cicadaplatform.Backend {
	inject := func(write func() (cicadaplatform.Object, error)) (cicadaplatform.Object, error) {
		f.mu.Lock()
		roll, delay, faulty := f.random.Float64(), time.Duration(f.random.IntN(4000))*time.Millisecond, f.faulty
		f.mu.Unlock()
		time.Sleep(time.Duration(1+roll*8) * time.Millisecond)
		switch {
		case !faulty || roll > 0.5:
			return write()
		case roll < 0.2:
			return cicadaplatform.Object{}, cicadaplatform.ErrUnavailable
		case roll < 0.35:
			_, _ = write()
			return cicadaplatform.Object{}, cicadaplatform.ErrInDoubt
		}
		time.AfterFunc(delay, func() { _, _ = write() })
		return cicadaplatform.Object{}, cicadaplatform.ErrInDoubt
	}
	create, update := b.Create, b.Update
	b.Create = func(ctx context.Context, name string, value []byte) (cicadaplatform.Object, error) {
		return inject(func() (cicadaplatform.Object, error) { return create(context.WithoutCancel(ctx), name, value) })
	}
	b.Update = func(ctx context.Context, name string, version int64, value []byte) (cicadaplatform.Object, error) {
		return inject(func() (cicadaplatform.Object, error) {
			return update(context.WithoutCancel(ctx), name, version, value)
		})
	}
	return b
}

// start starts a new incarnation of an owner, which ends the previous one.
func (f *fleet) start(name string) {
	f.kill(name)
	ctx, cancel := context.WithCancel(context.Background())
	o := &testOwner{name: name, stop: cancel, ctx: ctx}
	o.limiter = New(name, cicadaplatform.NewClient(f.backend, cicadaplatform.WithWriteRate(1000)), hclog.NewNullLogger(),
		WithShrink(func(ctx context.Context, route string) { f.shrinkOthers(ctx, name, route) }))
	f.mu.Lock()
	o.lag = time.Duration(f.random.IntN(1500)) * time.Millisecond
	f.owners[name] = o
	f.mu.Unlock()
	go func() {
		for ctx.Err() == nil {
			o.limiter.SetWaiting(f.waitingFor(o))
			time.Sleep(100 * time.Millisecond)
		}
	}()
}

func (f *fleet) kill(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if o := f.owners[name]; o != nil {
		o.stop()
		delete(f.owners, name)
	}
}

func (f *fleet) stopAll() {
	for _, name := range f.names() {
		f.kill(name)
	}
	time.Sleep(10 * time.Second) // for late writes
}

func (f *fleet) names() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var names []string
	for name := range f.owners {
		names = append(names, name)
	}
	return names
}

func (f *fleet) shrinkOthers(ctx context.Context, from, route string) {
	f.mu.Lock()
	var others []*testOwner
	for name, o := range f.owners {
		if name != from && !f.cut {
			others = append(others, o)
		}
	}
	f.mu.Unlock()
	for _, o := range others {
		o.limiter.Shrink(ctx, route)
	}
}

// waitingFor returns the waiting tokens as an owner knows them.
func (f *fleet) waitingFor(o *testOwner) Waiting {
	f.mu.Lock()
	defer f.mu.Unlock()
	own, others := make(map[string]int64), make(map[string]int64)
	for id, j := range f.jobs {
		switch {
		case j.owner == o.name:
			own[id] = j.waiting
		case time.Since(j.createdAt) >= o.lag:
			others[j.owner] += j.waiting
		}
	}
	return Waiting{Own: map[string]map[string]int64{testRoute: own}, Others: map[string]map[string]int64{testRoute: others}}
}

// totalWaiting returns the tokens that wait. The caller holds mu.
func (f *fleet) totalWaiting() int64 {
	total := int64(0)
	for _, j := range f.jobs {
		total += j.waiting
	}
	return total
}

// submit submits a job to an owner and reports whether it was accepted. It fails the test if
// more tokens wait than the limit allows.
func (f *fleet) submit(name string, tokens int64) bool {
	f.mu.Lock()
	o := f.owners[name]
	f.nextJob++
	id := fmt.Sprint("job-", f.nextJob)
	f.mu.Unlock()
	if o == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(o.ctx, 2500*time.Millisecond)
	defer cancel()
	decision, err := o.limiter.Reserve(ctx, testRoute, id, tokens, testLimit)
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case err != nil || o.ctx.Err() != nil:
		f.failed++
		return false
	case !decision.Granted():
		f.refused++
		assert.Check(f.t, decision.RetryAfter() >= minRetryAfter, "seed %d: Retry-After of %v", f.seed, decision.RetryAfter())
		return false
	}
	f.granted++
	f.jobs[id] = &acceptedJob{owner: name, waiting: tokens, createdAt: time.Now()}
	assert.Check(f.t, f.totalWaiting() <= testLimit, "seed %d: %d tokens wait after %s was accepted", f.seed, f.totalWaiting(), id)
	return true
}

// finish finishes some of the waiting tokens.
func (f *fleet) finish(share float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, j := range f.jobs {
		if f.random.Float64() < share {
			j.waiting -= min(j.waiting, 1+f.random.Int64N(j.waiting+1))
		}
	}
}

// runHistory lets four owners accept jobs while faults come and go.
func runHistory(t testing.TB, seed uint64) *fleet {
	f := newFleet(t, seed, "a", "b", "c", "d")
	time.Sleep(200 * time.Millisecond)
	var wg sync.WaitGroup
	for range 300 {
		f.mu.Lock()
		step, owner, tokens := f.random.IntN(60), string(rune('a'+f.random.IntN(4))), 50+f.random.Int64N(700)
		pause := time.Duration(f.random.IntN(300)) * time.Millisecond
		f.mu.Unlock()
		switch step {
		case 0:
			f.kill(owner)
		case 1, 2:
			f.start(owner)
		case 3, 4:
			f.mu.Lock()
			f.faulty = !f.faulty
			f.mu.Unlock()
		case 5:
			f.mu.Lock()
			f.cut = !f.cut
			f.mu.Unlock()
		case 6:
			time.Sleep(returnTimeout)
		case 7, 8, 9, 10, 11, 12, 13, 14, 15:
			f.finish(0.3)
		default:
			wg.Go(func() { f.submit(owner, tokens) })
			time.Sleep(pause)
		}
	}
	wg.Wait()
	f.stopAll()
	return f
}

// TestHistoryOfReservations checks histories of owners that accept jobs on one route at the
// same time, while owners are killed and restarted and cannot hear each other, and while the
// store fails, loses responses and applies writes late. The tokens that wait never exceed
// the limit.
func TestHistoryOfReservations(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount); seed++ {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := runHistory(t, seed)
				assert.Assert(t, f.granted > 20, "only %d jobs granted, %d refused, %d failed", f.granted, f.refused, f.failed)
			})
		})
	}
}

// FuzzOrderOfEvents checks the same for orders of events that the fuzzer chooses: each byte
// is an event at one of three owners.
func FuzzOrderOfEvents(fz *testing.F) {
	random := rand.New(rand.NewPCG(1, 3))
	for range 40 {
		events := make([]byte, 20+random.IntN(60))
		for i := range events {
			events[i] = byte(random.Uint32())
		}
		fz.Add(events)
	}
	fz.Fuzz(func(t *testing.T, events []byte) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, uint64(len(events)), "a", "b", "c")
			defer f.stopAll()
			time.Sleep(200 * time.Millisecond)
			for _, event := range events[:min(len(events), maxFuzzEvents)] {
				f.apply(event)
			}
		})
	})
}

const maxFuzzEvents = 200

// apply applies one event of FuzzOrderOfEvents.
func (f *fleet) apply(event byte) {
	owner, kind := string(rune('a'+event%3)), event/3%16
	switch kind {
	case 0:
		f.start(owner)
	case 1:
		f.kill(owner)
	case 2, 3:
		f.mu.Lock()
		f.faulty, f.cut = kind == 2, kind == 3
		f.mu.Unlock()
	case 4, 5, 6:
		f.finish(0.4)
	case 7:
		time.Sleep(returnTimeout / 2)
	default:
		f.submit(owner, 200*int64(kind))
	}
}
