package cicadabatch

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadatask"
)

// TestFailedEventLoopIsReported guards against an owner that keeps its jobs although its event
// loop has ended or is blocked.
func TestFailedEventLoopIsReported(t *testing.T) {
	blocked := make(chan struct{})
	for reason, f := range map[string]func(){
		cicadatask.ReasonPanic: func() { panic("inconsistent job") },
		cicadatask.ReasonStall: func() { <-blocked },
	} {
		t.Run(reason, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				blocked = make(chan struct{})
				var failure atomic.Pointer[cicadatask.Failure]
				defer cicadatask.HandleFailures(func(f *cicadatask.Failure) { failure.CompareAndSwap(nil, f) })()
				o := newTestDeployment().startOwner("o1", fixedOwners("o1"))
				time.Sleep(3 * stallLimit)
				assert.Assert(t, failure.Load() == nil, "a loop that makes progress was reported")
				o.enqueue(f)
				time.Sleep(2 * stallLimit)
				assert.Assert(t, failure.Load() != nil, "the failure was not reported")
				assert.Equal(t, failure.Load().Reason(), reason)
				close(blocked)
				o.stop()
			})
		})
	}
}

// TestPanicOfRunIsContained guards against one item that ends the processes that run it.
func TestPanicOfRunIsContained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		var dials atomic.Int32
		d.beforeDial = func() {
			if dials.Add(1) == 1 {
				panic("unexpected response")
			}
		}
		o := d.startOwner("o1", fixedOwners("o1"))
		defer o.stop()
		time.Sleep(time.Second)
		o.call(t, submitCall("j", 10))
		time.Sleep(4 * time.Second)
		d.checkComplete(t, o.results(t, "j", 0), "j", 10)
		assert.Assert(t, dials.Load() > 1)
	})
}
