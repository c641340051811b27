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

// A stepEngine makes a token every 10 ms, and records what it ran.
type stepEngine struct {
	mu      sync.Mutex
	made    int
	resumed []int32
	orders  []int64
}

func (e *stepEngine) engine() *cicadaengine.Engine {
	return &cicadaengine.Engine{
		Resumes: true,
		Order: func(_ context.Context, order *cicadawire.EngineOrder) error {
			e.orders = append(e.orders, order.GetFence())
			return nil
		},
		Run: func(ctx context.Context, call *cicadawire.Call, emit func(cicadaengine.Chunk) error) (cicadaengine.Result, error) {
			e.mu.Lock()
			e.resumed = append(e.resumed, call.GetResumeFrom())
			e.mu.Unlock()
			for i := call.GetResumeFrom(); i < call.GetMaxTokens(); i++ {
				select {
				case <-time.After(10 * time.Millisecond):
				case <-ctx.Done():
					return cicadaengine.Result{}, context.Cause(ctx)
				}
				e.mu.Lock()
				e.made++
				e.mu.Unlock()
				if err := emit(cicadaengine.Chunk{Data: fmt.Appendf(nil, "%d ", i)}); err != nil {
					return cicadaengine.Result{}, err
				}
			}
			return cicadaengine.Result{Finish: "stop", OutputTokens: call.GetMaxTokens()}, nil
		},
	}
}

// A sink collects the frames of one attempt.
type sink struct {
	mu     sync.Mutex
	frames []*cicadawire.Frame
}

func (s *sink) send(f *cicadawire.Frame) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frames = append(s.frames, f)
	return nil
}

func (s *sink) last() *cicadawire.Frame { return s.frames[len(s.frames)-1] }

func (s *sink) text() string {
	text := ""
	for _, f := range s.frames {
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

// A burst of online requests stops batch items at once; they go on later from
// where they were, so that no token is made twice.
func TestBatchYieldsAndResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &stepEngine{}
		g := New("w", engine.engine(), WithPolicy(cicadaadmit.Policy{Slots: 2}))
		batch, online := make([]sink, 2), make([]sink, 2)
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
		assert.Equal(t, engine.made, 2*20+2*5, "no token is made twice")
	})
}

func TestNonIdempotentBatchIsNotPreempted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &stepEngine{}
		g := New("w", engine.engine(), WithPolicy(cicadaadmit.Policy{Slots: 1}))
		var batch, online sink
		var wg sync.WaitGroup
		wg.Go(func() {
			call := batchCall("b", 10)
			call.NonIdempotent, call.Key = true, "k"
			assert.NilError(t, g.Run(t.Context(), call, batch.send))
		})
		synctest.Wait()
		wg.Go(func() { assert.NilError(t, g.Run(t.Context(), onlineCall("o", 1), online.send)) })
		wg.Wait()
		assert.Equal(t, len(engine.resumed), 2)
		assert.Equal(t, batch.last().GetKind(), cicadawire.FrameKind_LAST)
		assert.Equal(t, online.last().GetKind(), cicadawire.FrameKind_LAST)
	})
}

// A leaving endpoint refuses new calls as not run, and lets running ones
// finish.
func TestLeaveCutsNoOnlineRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New("w", (&stepEngine{}).engine(), WithPolicy(cicadaadmit.Policy{Slots: 2}))
		var running, late, batch sink
		var wg sync.WaitGroup
		wg.Go(func() { assert.NilError(t, g.Run(t.Context(), onlineCall("o", 50), running.send)) })
		wg.Go(func() { assert.NilError(t, g.Run(t.Context(), batchCall("b", 50), batch.send)) })
		time.Sleep(55 * time.Millisecond)
		changed := g.Changed()
		g.Leave()
		<-changed
		assert.Assert(t, g.Load().GetLeaving())
		assert.NilError(t, g.Run(t.Context(), onlineCall("late", 5), late.send))
		assert.Equal(t, late.last().GetCode(), CodeLeaving)
		assert.Assert(t, late.last().GetNotRun())
		assert.NilError(t, g.Drain(t.Context()))
		wg.Wait()
		assert.Equal(t, running.last().GetKind(), cicadawire.FrameKind_LAST)
		assert.Equal(t, batch.last().GetCode(), CodeStopped)
		assert.Assert(t, !batch.last().GetNotRun(), "a batch item that has started is not called not run")
	})
}

// A key that was asked about never starts later, whoever still holds the call.
func TestAskedKeyIsSealed(t *testing.T) {
	g := New("w", (&stepEngine{}).engine())
	reply := g.Attempts(&cicadawire.AttemptQuery{Customer: "shop", Key: "k"})
	assert.Equal(t, reply.GetState(), cicadawire.AttemptState_UNKNOWN)
	call := onlineCall("o", 1)
	call.NonIdempotent, call.Key = true, "k"
	var out sink
	assert.NilError(t, g.Run(t.Context(), call, out.send))
	assert.Equal(t, out.last().GetCode(), CodeDuplicate)
}

// A call that was meant for the agent before its restart does not run.
func TestCallForEarlierStartIsRefused(t *testing.T) {
	g := New("w", (&stepEngine{}).engine())
	call := onlineCall("o", 1)
	call.NonIdempotent, call.Key, call.Boot = true, "k", g.Boot()-1
	var out sink
	assert.NilError(t, g.Run(t.Context(), call, out.send))
	assert.Equal(t, out.last().GetCode(), CodeRestarted)
	assert.Assert(t, out.last().GetNotRun())
}

// An agent refuses orders until it knows the highest fencing number, and older
// ones after that.
func TestOrdersAreFenced(t *testing.T) {
	engine := &stepEngine{}
	g := New("w", engine.engine())
	order := func(fence int64) bool {
		return g.Order(t.Context(), &cicadawire.EngineOrder{Kind: "load", Model: "m", Fence: fence}).GetAccepted()
	}
	assert.Assert(t, !order(9), "taken before the highest number is known")
	g.LearnFence(5)
	assert.Assert(t, !order(4))
	assert.Assert(t, order(6))
	assert.Assert(t, !order(5), "an old holder that wakes up is refused")
	assert.Assert(t, order(6), "the same order may be given again")
	assert.DeepEqual(t, engine.orders, []int64{6, 6})
}

// A customer that floods the endpoint cannot take the last slots.
func TestFloodLeavesSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New("w", (&stepEngine{}).engine(), WithPolicy(cicadaadmit.Policy{Slots: 16}))
		var first sink
		assert.NilError(t, g.Run(t.Context(), onlineCall("first", 1), first.send))
		var wg sync.WaitGroup
		floods := make([]sink, 40)
		for i := range floods {
			call := onlineCall(fmt.Sprint("f", i), 100)
			call.Customer = "flood"
			wg.Go(func() { assert.NilError(t, g.Run(t.Context(), call, floods[i].send)) })
		}
		synctest.Wait()
		var shop sink
		before := time.Now()
		assert.NilError(t, g.Run(t.Context(), onlineCall("o", 1), shop.send))
		assert.Equal(t, shop.last().GetKind(), cicadawire.FrameKind_LAST)
		assert.Equal(t, time.Since(before), 10*time.Millisecond, "no wait behind the flood")
		wg.Wait()
	})
}

// Two suspects never run on one endpoint at once.
func TestSuspectsRunApart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := New("w", (&stepEngine{}).engine(), WithPolicy(cicadaadmit.Policy{Slots: 8}))
		var wg sync.WaitGroup
		outs := make([]sink, 3)
		for i := range outs {
			call := onlineCall(fmt.Sprint("s", i), 10)
			call.Suspect = true
			wg.Go(func() { assert.NilError(t, g.Run(t.Context(), call, outs[i].send)) })
		}
		synctest.Wait()
		assert.Equal(t, g.Load().GetOnlineRunning(), int32(1))
		wg.Wait()
		for i := range outs {
			assert.Equal(t, outs[i].last().GetKind(), cicadawire.FrameKind_LAST)
		}
	})
}
