// Package cicadagate is the last gate before an endpoint's engine. It decides
// what runs next, puts batch items aside for online requests, suppresses
// duplicates of keyed calls, holds suspects apart, enforces fencing numbers and
// drains.
//
// # Usage
//
//	gate := cicadagate.New("ee-1-w07", engine, cicadagate.WithPolicy(policy))
//	err := gate.Run(ctx, call, func(f *cicadawire.Frame) error { return stream.Send(f) })
//	...
//	gate.Leave()
//	gate.Drain(ctx)
//
// Run reports every outcome of a call as a last frame, of kind LAST or ERROR;
// it returns an error only when frames cannot be sent. An ERROR frame with
// NotRun set means that the engine has not seen the call.
package cicadagate

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/uber-go/tally/v4"

	"cicadalink.example/cicadaagent/cicadaengine"
	"cicadalink.example/cicadakernel/cicadaadmit"
	"cicadalink.example/cicadakernel/cicadawire"
)

const (
	defaultSlots      = 8
	batchQueuePerSlot = 1
	busyRetryAfter    = 100 * time.Millisecond
)

// Codes of ERROR frames that only entries see.
const (
	CodeLeaving   = "leaving"
	CodeBusy      = "busy"
	CodeCrashed   = "engine-crashed"
	CodeNoEngine  = "engine-not-reached"
	CodeDuplicate = "duplicate-key"
	CodeCancelled = "cancelled"
	CodeRefused   = "refused"
	CodeStopped   = "stopped"
	CodeRestarted = "restarted"
)

var (
	errPreempted = merry.Sentinel("cicadagate: batch item preempted")
	errBusy      = merry.Sentinel("cicadagate: a more urgent request took the place in the queue")
	errDraining  = merry.Sentinel("cicadagate: endpoint is draining")
)

// A Gate stands before one engine.
type Gate struct {
	name   string
	engine *cicadaengine.Engine
	scope  tally.Scope
	boot   int64

	mu       sync.Mutex
	policy   cicadaadmit.Policy
	online   []*waiter
	batch    []*waiter
	runs     map[*waiter]struct{}
	state    cicadaadmit.State
	shares   shares
	leaving  bool
	changed  chan struct{}
	idle     chan struct{}
	attempts attempts
	fence    fence
	pace     pace
	models   []string
	revision atomic.Int64
	engineUp atomic.Bool
	crashes  atomic.Int64
}

// A waiter is a call that waits to run or runs.
type waiter struct {
	call     *cicadawire.Call
	long     bool
	arrival  time.Time
	entered  time.Time
	enter    chan struct{}
	refused  error
	started  bool
	running  bool
	stopping bool
	tokens   int
	cancel   context.CancelCauseFunc
}

func (w *waiter) isBatch() bool { return w.call.GetClass() == cicadawire.CallClass_BATCH }

// preemptible reports whether a run may be stopped and continued later.
func (w *waiter) preemptible() bool {
	return w.isBatch() && !w.call.GetNonIdempotent() && !w.stopping
}

// An Option changes a Gate as it is made.
type Option func(*Gate)

// WithPolicy sets what the endpoint runs at once.
func WithPolicy(p cicadaadmit.Policy) Option {
	return func(g *Gate) { g.policy = p }
}

// WithScope sets where the gate counts.
func WithScope(scope tally.Scope) Option {
	return func(g *Gate) { g.scope = scope }
}

// WithModels sets the models that the gate reports.
func WithModels(models ...string) Option {
	return func(g *Gate) { g.models = models }
}

// WithFenceKnown says that no orders have been given before, so orders may be
// taken at once.
func WithFenceKnown(highest int64) Option {
	return func(g *Gate) { g.fence.learn(highest) }
}

// New returns a gate before an engine.
func New(name string, engine *cicadaengine.Engine, opts ...Option) *Gate {
	g := &Gate{
		name:    name,
		engine:  engine,
		scope:   tally.NoopScope,
		boot:    time.Now().UnixNano(),
		policy:  cicadaadmit.Policy{Slots: defaultSlots},
		runs:    make(map[*waiter]struct{}),
		changed: make(chan struct{}),
	}
	g.engineUp.Store(true)
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// SetPolicy changes what the endpoint runs at once.
func (g *Gate) SetPolicy(p cicadaadmit.Policy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.policy = p
	g.schedule()
}

// SetRevision records the configuration revision in force at the agent.
func (g *Gate) SetRevision(revision int64) {
	g.revision.Store(revision)
	g.announce()
}

// SetEngineUp records whether the engine answers.
func (g *Gate) SetEngineUp(up bool) {
	if g.engineUp.Swap(up) != up {
		g.announce()
	}
}

// SetModels records the models that the engine holds.
func (g *Gate) SetModels(models []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.models = models
}

// Run carries one attempt and sends its frames.
func (g *Gate) Run(ctx context.Context, call *cicadawire.Call, send func(*cicadawire.Frame) error) error {
	out := &output{gate: g, call: call, send: send}
	ctx = detach(ctx, call)
	if ms := call.GetBudgetMs(); ms > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	if call.GetNonIdempotent() && call.GetBoot() != 0 && call.GetBoot() != g.boot {
		return out.refuse(CodeRestarted, "agent has restarted since the call was sent")
	}
	if !g.attempts.begin(call) {
		return out.fail(CodeDuplicate, "this key has run on this endpoint", false)
	}
	w := &waiter{
		call:    call,
		long:    call.GetMaxTokens() >= cicadaadmit.LongTokens,
		arrival: time.Now(),
		enter:   make(chan struct{}),
	}
	if code, message := g.enqueue(w); code != "" {
		g.attempts.forget(call)
		return out.refuse(code, message)
	}
	return g.serve(ctx, w, out)
}

// detach lets a non-idempotent call run to its end when the entry goes away,
// so that its outcome can be asked for later.
func detach(ctx context.Context, call *cicadawire.Call) context.Context {
	if call.GetNonIdempotent() {
		return context.WithoutCancel(ctx)
	}
	return ctx
}

// await waits for a call's turn. It reports false when the call did not get
// one, and has then said so in a frame.
func (g *Gate) await(ctx context.Context, w *waiter, out *output) (bool, error) {
	select {
	case <-w.enter:
	case <-ctx.Done():
		if g.abandon(w) {
			g.attempts.forget(w.call)
			return false, out.fail(CodeCancelled, "gave up while waiting for a slot", !w.started)
		}
		<-w.enter
	}
	if w.refused == nil {
		return true, nil
	}
	if w.started {
		return false, out.fail(CodeStopped, "endpoint is stopping", false)
	}
	g.attempts.forget(w.call)
	if errors.Is(w.refused, errBusy) {
		return false, out.refuse(CodeBusy, "a more urgent request came")
	}
	return false, out.refuse(CodeLeaving, "endpoint is leaving")
}

// serve runs a call when its turn comes, as often as it is preempted.
func (g *Gate) serve(ctx context.Context, w *waiter, out *output) error {
	for {
		entered, err := g.await(ctx, w, out)
		if !entered {
			return err
		}
		result, err := g.runOnce(ctx, w, out)
		if g.leave(w, err) {
			continue
		}
		return out.finish(ctx, result, err)
	}
}

// leave takes a run out of the engine. It reports whether the call was
// preempted, and then puts it ahead of the batch items that wait.
func (g *Gate) leave(w *waiter, err error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.runs, w)
	if !w.stopping {
		g.count(w, -1)
	}
	preempted := w.stopping && errors.Is(err, errPreempted)
	w.running, w.stopping, w.cancel = false, false, nil
	if preempted {
		g.requeue(w)
	}
	g.schedule()
	return preempted
}

func (g *Gate) runOnce(ctx context.Context, w *waiter, out *output) (cicadaengine.Result, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	g.mu.Lock()
	w.cancel = cancel
	if w.stopping {
		cancel(errPreempted)
	}
	g.mu.Unlock()
	started := time.Now()
	last := started
	result, err := g.engine.Run(ctx, out.next(g.engine.Resumes), func(c cicadaengine.Chunk) error {
		now := time.Now()
		if !w.isBatch() {
			g.pace.token(now, now.Sub(last), last.Equal(started))
		}
		last = now
		g.mu.Lock()
		w.tokens++
		g.mu.Unlock()
		return out.chunk(c)
	})
	if cause := context.Cause(ctx); err != nil && (errors.Is(cause, errPreempted) || errors.Is(cause, errDraining)) {
		err = merry.Errorf("run stopped: %w", cause)
	}
	return result, err
}

// Changed returns a channel that is closed when entries should hear of a
// change at once.
func (g *Gate) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changed
}

func (g *Gate) announce() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.changed)
	g.changed = make(chan struct{})
}

// Load returns the gate's load as of now.
func (g *Gate) Load() *cicadawire.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	token, first := g.pace.read(now)
	first = max(first, g.oldestWait(now))
	return &cicadawire.Load{
		OnlineRunning: int32(g.state.Online),
		OnlineWaiting: int32(len(g.online)),
		BatchRunning:  int32(g.state.Batch),
		BatchWaiting:  int32(len(g.batch)),
		Slots:         int32(g.policy.Slots),
		TokenUs:       token.Microseconds(),
		PrefillUs:     first.Microseconds(),
		Leaving:       g.leaving,
		Models:        g.models,
		Revision:      g.revision.Load(),
		EngineUp:      g.engineUp.Load(),
	}
}

// oldestWait returns how long an online request has waited for its first token
// inside the engine. The caller holds the lock.
func (g *Gate) oldestWait(now time.Time) time.Duration {
	var oldest time.Duration
	for w := range g.runs {
		if !w.isBatch() && w.tokens == 0 {
			oldest = max(oldest, now.Sub(w.entered))
		}
	}
	return oldest
}

// Boot returns a number that differs after each start of the agent.
func (g *Gate) Boot() int64 { return g.boot }

// Crashes returns how many calls were in flight when the engine died.
func (g *Gate) Crashes() int64 { return g.crashes.Load() }

// Attempts answers what became of a keyed call on this endpoint.
func (g *Gate) Attempts(query *cicadawire.AttemptQuery) *cicadawire.AttemptReply {
	reply := g.attempts.query(query.GetCustomer(), query.GetKey())
	reply.Boot = g.boot
	return reply
}

// Order passes an engine order on if its fencing number is not below one seen
// before.
func (g *Gate) Order(ctx context.Context, order *cicadawire.EngineOrder) *cicadawire.OrderReply {
	if g.engine.Order == nil {
		return &cicadawire.OrderReply{Reason: cicadaengine.ErrNoOrders.Error()}
	}
	return g.fence.pass(order, func() error { return g.engine.Order(ctx, order) })
}

// LearnFence tells the gate the highest fencing number given before it
// started. It takes no orders until it knows.
func (g *Gate) LearnFence(highest int64) { g.fence.learn(highest) }
