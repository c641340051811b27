package cicadatask

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// collectFailures returns a channel that gets the failures during a test.
func collectFailures(t *testing.T) <-chan *Failure {
	t.Helper()
	failed := make(chan *Failure, 10)
	t.Cleanup(HandleFailures(func(f *Failure) { failed <- f }))
	return failed
}

// TestPanicOfGoroutineIsAFailure guards against a process that lives on without a goroutine
// that has ended by a panic.
func TestPanicOfGoroutineIsAFailure(t *testing.T) {
	failed := collectFailures(t)
	var g Group
	g.Go(func() {
		var none []int
		none[2] = 1
	})
	g.Wait()
	f := <-failed
	assert.Equal(t, f.Reason(), ReasonPanic)
	assert.Assert(t, strings.Contains(f.Error(), "index out of range [2]"), f.Error())
	assert.Assert(t, strings.Contains(f.Error(), "TestPanicOfGoroutineIsAFailure"), "the stack is missing: %s", f)
}

func TestTryReturnsPanic(t *testing.T) {
	failed := collectFailures(t)
	err := Try(func() { panic("one request") })
	assert.ErrorContains(t, err, "one request")
	assert.NilError(t, Try(func() {}))
	assert.Equal(t, len(failed), 0, "a contained panic is no failure of the process")
}

// TestBlockedLoopIsAFailure guards against a process that lives on with a loop that is blocked.
func TestBlockedLoopIsAFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		failed := collectFailures(t)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		const limit = 10 * time.Second
		w := NewWatch(ctx, "event loop", limit)
		for range 20 {
			time.Sleep(limit - time.Second)
			w.Progress()
		}
		synctest.Wait()
		assert.Equal(t, len(failed), 0)
		time.Sleep(2 * limit)
		synctest.Wait()
		assert.Equal(t, len(failed), 1)
		f := <-failed
		assert.Equal(t, f.Reason(), ReasonStall)
		assert.Assert(t, strings.Contains(f.Error(), "event loop"), f.Error())
	})
}
