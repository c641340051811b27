package cicadagate

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadaagent/cicadaengine"
	"cicadalink.example/cicadakernel/cicadaadmit"
	"cicadalink.example/cicadakernel/cicadawire"
)

// fakeEngine generates a token every 10 ms. It records the number of tokens, the
// ResumeFrom of each run and the fencing number of each order. The tokens of a version
// other than "" begin with it.
type fakeEngine struct {
	mu         sync.Mutex
	version    string
	tokens     int
	resumeFrom []int32
	fences     []int64
}

func (e *fakeEngine) engine() *cicadaengine.Engine {
	return &cicadaengine.Engine{
		CanResume: true,
		Order: func(_ context.Context, order *cicadawire.EngineOrder) error {
			e.fences = append(e.fences, order.GetFence())
			return nil
		},
		Run: func(ctx context.Context, call *cicadawire.Call, emit func(cicadaengine.Chunk) error) (cicadaengine.Result, error) {
			e.mu.Lock()
			software := cicadaengine.Software{Version: e.version, Proved: true}
			if call.Origin != nil && call.GetOrigin() != e.version {
				e.mu.Unlock()
				return cicadaengine.Result{}, &cicadaengine.OtherVersionError{Software: software}
			}
			e.resumeFrom = append(e.resumeFrom, call.GetResumeFrom())
			e.mu.Unlock()
			for i := call.GetResumeFrom(); i < call.GetMaxTokens(); i++ {
				select {
				case <-time.After(10 * time.Millisecond):
				case <-ctx.Done():
					return cicadaengine.Result{}, context.Cause(ctx)
				}
				e.mu.Lock()
				e.tokens++
				e.mu.Unlock()
				if err := emit(cicadaengine.Chunk{Data: fmt.Appendf(nil, "%s%d ", software.Version, i), Software: software}); err != nil {
					return cicadaengine.Result{}, err
				}
			}
			return cicadaengine.Result{FinishReason: "stop", OutputTokens: call.GetMaxTokens()}, nil
		},
	}
}

// frameRecorder collects the frames of one attempt.
type frameRecorder struct {
	mu     sync.Mutex
	frames []*cicadawire.Frame
}

func (r *frameRecorder) send(f *cicadawire.Frame) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.frames = append(r.frames, f)
	return nil
}

func (r *frameRecorder) last() *cicadawire.Frame { return r.frames[len(r.frames)-1] }

func (r *frameRecorder) text() string {
	text := ""
	for _, f := range r.frames {
		text += string(f.GetData())
	}
	return text
}

func batchCall(attempt string, tokens int32) *cicadawire.Call {
	return &cicadawire.Call{Attempt: attempt, Class: cicadawire.CallClass_BATCH, MaxTokens: tokens, Customer: "lots"}
}

func onlineCall(attempt string, tokens int32) *cicadawire.Call {
	return &cicadawire.Call{Attempt: attempt, MaxTokens: tokens, Customer: "shop"}
}

// Online requests preempt batch items at once. The batch items resume later where
// they were interrupted, so that no token is generated twice.
func TestBatchIsPreemptedAndResumed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &fakeEngine{}
		g := New("w", engine.engine(), WithPolicy(cicadaadmit.Policy{Slots: 2}))
		batch, online := make([]frameRecorder, 2), make([]frameRecorder, 2)
		var wg sync.WaitGroup
		for i := range batch {
			wg.Go(func() { assert.NilError(t, g.Run(t.Context(), batchCall(fmt.Sprint("b", i), 20), batch[i].send)) })
		}
		time.Sleep(105 * time.Millisecond)
		arrived := time.Now()
		for i := range online {
			wg.Go(func() { assert.NilError(t, g.Run(t.Context(), onlineCall(fmt.Sprint("o", i), 5), online[i].send)) })
		}
		synctest.Wait()
		assert.Equal(t, g.Load().GetOnlineRunning(), int32(2))
		assert.Equal(t, g.Load().GetBatchRunning(), int32(0))
		assert.Equal(t, time.Since(arrived), time.Duration(0), "online requests start at once")
		wg.Wait()
		for i := range batch {
			assert.Equal(t, batch[i].last().GetKind(), cicadawire.FrameKind_LAST)
			assert.Equal(t, batch[i].text(), "0 1 2 3 4 5 6 7 8 9 10 11 12 13 14 15 16 17 18 19 ")
		}
		assert.Equal(t, engine.tokens, 2*20+2*5, "no token is generated twice")
	})
}

// Guards against batch items that are preempted and then go on at an engine that was
// restarted with another software version.
func TestPreemptedItemStartsAgainAtUpgradedEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &fakeEngine{version: "a"}
		g := New("w", engine.engine(), WithPolicy(cicadaadmit.Policy{Slots: 1}))
		var batch, online frameRecorder
		var wg sync.WaitGroup
		wg.Go(func() { assert.NilError(t, g.Run(t.Context(), batchCall("b", 6), batch.send)) })
		time.Sleep(35 * time.Millisecond)
		wg.Go(func() { assert.NilError(t, g.Run(t.Context(), onlineCall("o", 5), online.send)) })
		time.Sleep(25 * time.Millisecond)
		engine.mu.Lock()
		engine.version = "b"
		engine.mu.Unlock()
		wg.Wait()
		assert.Equal(t, batch.last().GetKind(), cicadawire.FrameKind_LAST)
		assert.Equal(t, batch.text(), "b0 b1 b2 b3 b4 b5 ")
		assert.Equal(t, g.Load().GetSoftwareVersion(), "b", "entries learn of the version")
	})
}

func TestNonIdempotentBatchIsNotPreempted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &fakeEngine{}
		g := New("w", engine.engine(), WithPolicy(cicadaadmit.Policy{Slots: 1}))
		var batch, online frameRecorder
		var wg sync.WaitGroup
		wg.Go(func() {
			call := batchCall("b", 10)
			call.NonIdempotent, call.Key = true, "k"
			assert.NilError(t, g.Run(t.Context(), call, batch.send))
		})
		synctest.Wait()
		wg.Go(func() { assert.NilError(t, g.Run(t.Context(), onlineCall("o", 1), online.send)) })
		wg.Wait()
		assert.Equal(t, len(engine.resumeFrom), 2)
		assert.Equal(t, batch.last().GetKind(), cicadawire.FrameKind_LAST)
		assert.Equal(t, online.last().GetKind(), cicadawire.FrameKind_LAST)
	})
}

// A draining endpoint rejects new calls as not run, interrupts running batch items,
// and lets running online requests finish.
func TestDrainDoesNotInterruptOnlineRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New("w", (&fakeEngine{}).engine(), WithPolicy(cicadaadmit.Policy{Slots: 2}))
		var online, late, batch frameRecorder
		var wg sync.WaitGroup
		wg.Go(func() { assert.NilError(t, g.Run(t.Context(), onlineCall("o", 50), online.send)) })
		wg.Go(func() { assert.NilError(t, g.Run(t.Context(), batchCall("b", 50), batch.send)) })
		time.Sleep(55 * time.Millisecond)
		changed := g.LoadChanged()
		g.StartDrain()
		<-changed
		assert.Assert(t, g.Load().GetLeaving())
		assert.NilError(t, g.Run(t.Context(), onlineCall("late", 5), late.send))
		assert.Equal(t, late.last().GetCode(), CodeLeaving)
		assert.Assert(t, late.last().GetNotRun())
		assert.NilError(t, g.WaitIdle(t.Context()))
		wg.Wait()
		assert.Equal(t, online.last().GetKind(), cicadawire.FrameKind_LAST)
		assert.Equal(t, batch.last().GetCode(), CodeStopped)
		assert.Assert(t, !batch.last().GetNotRun(), "a batch item that has started is not reported as not run")
	})
}

// After a query for an unknown key, a call with that key that arrives late is
// rejected, so that the querier can rely on the reply.
func TestCallAfterQueryIsRejected(t *testing.T) {
	g := New("w", (&fakeEngine{}).engine())
	reply := g.Attempts(&cicadawire.AttemptQuery{Customer: "shop", Key: "k"})
	assert.Equal(t, reply.GetState(), cicadawire.AttemptState_UNKNOWN)
	call := onlineCall("o", 1)
	call.NonIdempotent, call.Key = true, "k"
	var frames frameRecorder
	assert.NilError(t, g.Run(t.Context(), call, frames.send))
	assert.Equal(t, frames.last().GetCode(), CodeDuplicate)
}

// A non-idempotent call that was sent to the agent before its restart is rejected,
// because the agent may have lost the record of an earlier attempt.
func TestCallWithOldBootIsRejected(t *testing.T) {
	g := New("w", (&fakeEngine{}).engine())
	call := onlineCall("o", 1)
	call.NonIdempotent, call.Key, call.Boot = true, "k", g.Boot()-1
	var frames frameRecorder
	assert.NilError(t, g.Run(t.Context(), call, frames.send))
	assert.Equal(t, frames.last().GetCode(), CodeRestarted)
	assert.Assert(t, frames.last().GetNotRun())
}

// Guards against calls that continue an output of an unknown software version.
func TestContinuationWithoutOriginIsNotRun(t *testing.T) {
	engine := &fakeEngine{}
	g := New("w", engine.engine())
	call := onlineCall("o", 5)
	call.ResumeFrom, call.ResumeText = 2, []byte("0 1 ")
	var frames frameRecorder
	assert.NilError(t, g.Run(t.Context(), call, frames.send))
	assert.Equal(t, frames.last().GetCode(), CodeOtherVersion)
	assert.Assert(t, frames.last().GetNotRun())
	assert.Equal(t, len(engine.resumeFrom), 0)
}

// A gate rejects all orders until it knows the highest fencing number, and then
// those with a lower number.
func TestOrdersAreFenced(t *testing.T) {
	engine := &fakeEngine{}
	g := New("w", engine.engine())
	order := func(fence int64) bool {
		return g.Order(t.Context(), &cicadawire.EngineOrder{Kind: "load", Model: "m", Fence: fence}).GetAccepted()
	}
	assert.Assert(t, !order(9), "rejected before the highest number is known")
	g.InitFence(5)
	assert.Assert(t, !order(4))
	assert.Assert(t, order(6))
	assert.Assert(t, !order(5), "an order of a former holder that arrives late is rejected")
	assert.Assert(t, order(6), "the same order may be repeated")
	assert.DeepEqual(t, engine.fences, []int64{6, 6})
}

// A customer that sends many requests at once cannot take the last free slots.
func TestFloodDoesNotTakeLastSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New("w", (&fakeEngine{}).engine(), WithPolicy(cicadaadmit.Policy{Slots: 16}))
		var first frameRecorder
		assert.NilError(t, g.Run(t.Context(), onlineCall("first", 1), first.send))
		var wg sync.WaitGroup
		flood := make([]frameRecorder, 40)
		for i := range flood {
			call := onlineCall(fmt.Sprint("f", i), 100)
			call.Customer = "flood"
			wg.Go(func() { assert.NilError(t, g.Run(t.Context(), call, flood[i].send)) })
		}
		synctest.Wait()
		var shop frameRecorder
		start := time.Now()
		assert.NilError(t, g.Run(t.Context(), onlineCall("o", 1), shop.send))
		assert.Equal(t, shop.last().GetKind(), cicadawire.FrameKind_LAST)
		assert.Equal(t, time.Since(start), 10*time.Millisecond, "the request does not wait for those of the flood")
		wg.Wait()
	})
}

// An endpoint runs at most one suspect request at a time.
func TestSuspectsRunOneAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New("w", (&fakeEngine{}).engine(), WithPolicy(cicadaadmit.Policy{Slots: 8}))
		var wg sync.WaitGroup
		recorders := make([]frameRecorder, 3)
		for i := range recorders {
			call := onlineCall(fmt.Sprint("s", i), 10)
			call.Suspect = true
			wg.Go(func() { assert.NilError(t, g.Run(t.Context(), call, recorders[i].send)) })
		}
		synctest.Wait()
		assert.Equal(t, g.Load().GetOnlineRunning(), int32(1))
		wg.Wait()
		for i := range recorders {
			assert.Equal(t, recorders[i].last().GetKind(), cicadawire.FrameKind_LAST)
		}
	})
}
