package cicadareservation

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadaplatform"
)

// TestJobThatFitsIsNotRefused covers a route whose tokens other owners have reserved and do
// not use: they must return them.
func TestJobThatFitsIsNotRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, "a", "b", "c")
		defer f.stopAll()
		time.Sleep(200 * time.Millisecond)
		for _, owner := range []string{"a", "b", "c"} {
			for range 3 {
				assert.Assert(t, f.submit(owner, 1000))
			}
		}
		assert.Assert(t, !f.submit("a", 1500), "9,000 of 10,000 tokens wait")
		assert.Assert(t, f.submit("b", 1000))
		f.mu.Lock()
		for _, j := range f.jobs {
			if j.owner == "c" {
				j.waiting = 0
			}
		}
		f.mu.Unlock()
		time.Sleep(time.Second)
		assert.Assert(t, f.submit("a", 3000), "the tokens of c have drained")
		assert.Assert(t, !f.submit("b", 500))
	})
}

// TestTokensOfALostOwnerReturn covers an owner that is lost for good. What its waiting jobs
// need stays reserved, the rest returns after returnTimeout.
func TestTokensOfALostOwnerReturn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, "a", "b")
		defer f.stopAll()
		time.Sleep(200 * time.Millisecond)
		for range 4 {
			assert.Assert(t, f.submit("a", 1500))
		}
		assert.Assert(t, f.submit("b", 4000))
		f.kill("a")
		f.mu.Lock()
		for _, j := range f.jobs {
			if j.owner == "a" {
				j.waiting = 500
			}
		}
		f.mu.Unlock()
		time.Sleep(time.Second)
		assert.Assert(t, !f.submit("b", 2000), "a may still accept jobs on its reservation")
		time.Sleep(returnTimeout + time.Second)
		assert.Assert(t, f.submit("b", 4000))
		assert.Assert(t, !f.submit("b", 1), "the waiting tokens of a are still reserved")
	})
}

// TestReservationIsNotUsedAfterASuspension covers an owner that is suspended for longer than
// its reservation is valid without renewal: the next job must renew it.
func TestReservationIsNotUsedAfterASuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, "a", "b")
		defer f.stopAll()
		time.Sleep(200 * time.Millisecond)
		assert.Assert(t, f.submit("a", 100))
		limiter := f.owners["a"].limiter
		writes := limiter.store.Writes()
		assert.Assert(t, f.submit("a", 100))
		assert.Equal(t, limiter.store.Writes(), writes, "the job fits in the headroom")
		time.Sleep(useTimeout)
		assert.Assert(t, f.submit("a", 100))
		assert.Assert(t, limiter.store.Writes() > writes)
	})
}

// TestLoweredLimitHoldsAtOnce covers a configuration that lowers the limit below what is
// reserved.
func TestLoweredLimitHoldsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1, "a", "b")
		defer f.stopAll()
		time.Sleep(200 * time.Millisecond)
		assert.Assert(t, f.submit("a", 400))
		decision, err := f.owners["a"].limiter.Reserve(t.Context(), testRoute, "late", 200, 500)
		assert.NilError(t, err)
		assert.Assert(t, !decision.Granted())
		decision, err = f.owners["a"].limiter.Reserve(t.Context(), testRoute, "small", 100, 500)
		assert.NilError(t, err)
		assert.Assert(t, decision.Granted())
	})
}

// TestRepeatedJobIsChargedOnce covers submissions of the same job and the release of a job
// that was not accepted.
func TestRepeatedJobIsChargedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New("a", cicadaplatform.NewClient(cicadaplatform.NewMemory().Backend()), hclog.NewNullLogger())
		_, err := l.Reserve(t.Context(), testRoute, "j", 1, 100)
		assert.Assert(t, errors.Is(err, ErrNotReady))
		l.SetWaiting(Waiting{})
		for range 5 {
			decision, err := l.Reserve(t.Context(), testRoute, "j", 60, 100)
			assert.NilError(t, err)
			assert.Assert(t, decision.Granted())
		}
		l.Release(testRoute, "j")
		decision, err := l.Reserve(t.Context(), testRoute, "k", 100, 100)
		assert.NilError(t, err)
		assert.Assert(t, decision.Granted())
	})
}

// TestRetryAfterFollowsTheDrain checks that a refused caller is told when its job will fit.
func TestRetryAfterFollowsTheDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := New("a", cicadaplatform.NewClient(cicadaplatform.NewMemory().Backend()), hclog.NewNullLogger())
		waiting := int64(1000)
		report := func() {
			l.SetWaiting(Waiting{Own: map[string]map[string]int64{testRoute: {"j": waiting}}})
		}
		report()
		_, err := l.Reserve(t.Context(), testRoute, "first", 1, 1000)
		assert.NilError(t, err)
		for range 50 { // 100 tokens a second
			time.Sleep(100 * time.Millisecond)
			waiting -= 10
			report()
		}
		decision, err := l.Reserve(t.Context(), testRoute, "k", 700, 1000)
		assert.NilError(t, err)
		assert.Assert(t, !decision.Granted())
		want := 2 * time.Second // 200 tokens are missing
		assert.Assert(t, decision.RetryAfter() > want*8/10 && decision.RetryAfter() < want*18/10, "%v", decision.RetryAfter())
	})
}

// TestStoreOutageIsNotARefusal checks that a job is not decided on while the store cannot be
// asked.
func TestStoreOutageIsNotARefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := cicadaplatform.NewMemory()
		memory.SetFault(func(context.Context, string, string) (error, error) { return cicadaplatform.ErrUnavailable, nil })
		l := New("a", cicadaplatform.NewClient(memory.Backend()), hclog.NewNullLogger())
		l.SetWaiting(Waiting{})
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, err := l.Reserve(ctx, testRoute, "j", 1, 100)
		assert.Assert(t, errors.Is(err, cicadaplatform.ErrUnavailable))
		memory.SetFault(nil)
		decision, err := l.Reserve(t.Context(), testRoute, "j", 1, 100)
		assert.NilError(t, err)
		assert.Assert(t, decision.Granted())
	})
}

// TestLateWriteCannotInvalidateAReservation covers a write whose response is lost and that
// takes effect seconds later: it reduces the reservation of an owner that goes on accepting
// jobs.
func TestLateWriteCannotInvalidateAReservation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		backend := cicadaplatform.NewMemory().Backend()
		update, delayed := backend.Update, false
		backend.Update = func(ctx context.Context, name string, version int64, value []byte) (cicadaplatform.Object, error) {
			if !delayed {
				return update(ctx, name, version, value)
			}
			time.AfterFunc(time.Second, func() { _, _ = update(context.WithoutCancel(ctx), name, version, value) })
			<-ctx.Done()
			return cicadaplatform.Object{}, cicadaplatform.ErrInDoubt
		}
		start := func(name string) *Limiter {
			l := New(name, cicadaplatform.NewClient(backend), hclog.NewNullLogger())
			l.SetWaiting(Waiting{})
			return l
		}
		accepted := int64(0)
		accept := func(l *Limiter, job string, tokens int64) {
			decision, err := l.Reserve(t.Context(), testRoute, job, tokens, 1600)
			if err == nil && decision.Granted() {
				accepted += tokens
			}
		}
		a, b := start("a"), start("b")
		accept(a, "first", 100) // a reserves headroom for 100 more
		delayed = true
		ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		a.Shrink(ctx, testRoute)
		cancel()
		delayed = false
		time.Sleep(2 * time.Second) // the late write takes effect
		accept(b, "second", 1500)
		accept(a, "third", 100)
		assert.Assert(t, accepted <= 1600, "%d tokens accepted", accepted)
	})
}
