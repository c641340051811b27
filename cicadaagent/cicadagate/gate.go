// Package cicadagate controls access to the engine of an endpoint. It schedules
// calls, preempts batch items for online requests, rejects duplicates of calls with
// an idempotency key, runs at most one suspect request at a time, rejects engine
// orders with outdated fencing numbers, and drains the endpoint.
//
// # Usage
//
//	gate := cicadagate.New("ee-1-w07", engine, cicadagate.WithPolicy(policy))
//	err := gate.Run(ctx, call, func(f *cicadawire.Frame) error { return stream.Send(f) })
//	...
//	gate.StartDrain()
//	gate.WaitIdle(ctx)
//
// Run reports every outcome of a call in its last frame, of kind LAST or ERROR; it
// returns an error only if a frame cannot be sent. NotRun in an ERROR frame means
// that the engine has not executed the call.
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

// Codes of ERROR frames. Entries interpret them and do not pass them on to callers.
const (
	CodeLeaving           = "leaving"
	CodeBusy              = "busy"
	CodeCrashed           = "engine-crashed"
	CodeEngineUnreachable = "engine-not-reached"
	CodeDuplicate         = "duplicate-key"
	CodeCancelled         = "cancelled"
	CodeRefused           = "refused"
	CodeStopped           = "stopped"
	CodeRestarted         = "restarted"
	CodeOtherVersion      = "other-version"
)

var (
	errPreempted = merry.Sentinel("cicadagate: batch item preempted")
	errDisplaced = merry.Sentinel("cicadagate: displaced from the queue by a more urgent request")
	errDraining  = merry.Sentinel("cicadagate: endpoint is draining")
)

// A Gate controls access to one engine. Its methods are safe for concurrent use.
type Gate struct {
	name   string
	engine *cicadaengine.Engine
	scope  tally.Scope
	boot   int64

	mu              sync.Mutex
	policy          cicadaadmit.Policy
	onlineQueue     []*task
	batchQueue      []*task
	runningTasks    map[*task]struct{}
	state           cicadaadmit.State
	usage           usageTable
	draining        bool
	loadChanged     chan struct{}
	idle            chan struct{} // closed when no call is running; nil if nobody waits
	attempts        attemptTable
	fence           fence
	latencies       latencies
	models          []string
	softwareVersion string
	revision        atomic.Int64
	engineUp        atomic.Bool
	crashes         atomic.Int64
}

// A task is a call that is queued or running.
type task struct {
	call       *cicadawire.Call
	long       bool
	arrival    time.Time
	startedAt  time.Time     // start of the current run
	decided    chan struct{} // closed when the task is started or rejected
	rejection  error         // set before decided is closed, if the task is rejected
	started    bool          // whether it has been started at least once
	running    bool
	preempting bool // whether it is being preempted; its slot counts as free
	chunks     int  // number of chunks from the engine, over all runs
	cancel     context.CancelCauseFunc
}

func (t *task) isBatch() bool { return t.call.GetClass() == cicadawire.CallClass_BATCH }

// preemptible reports whether a running task may be interrupted to run again later.
func (t *task) preemptible() bool {
	return t.isBatch() && !t.call.GetNonIdempotent() && !t.preempting
}

// An Option configures a Gate.
type Option func(*Gate)

// WithPolicy sets the limits on concurrent calls.
func WithPolicy(p cicadaadmit.Policy) Option {
	return func(g *Gate) { g.policy = p }
}

// WithScope sets the scope of the gate's metrics.
func WithScope(scope tally.Scope) Option {
	return func(g *Gate) { g.scope = scope }
}

// WithModels sets the models that the gate reports as loaded.
func WithModels(models ...string) Option {
	return func(g *Gate) { g.models = models }
}

// WithInitialFence sets the highest fencing number issued before, as InitFence does,
// so that the gate accepts orders at once.
func WithInitialFence(highest int64) Option {
	return func(g *Gate) { g.fence.initialize(highest) }
}

// New returns a gate for an engine.
func New(name string, engine *cicadaengine.Engine, opts ...Option) *Gate {
	g := &Gate{
		name:         name,
		engine:       engine,
		scope:        tally.NoopScope,
		boot:         time.Now().UnixNano(),
		policy:       cicadaadmit.Policy{Slots: defaultSlots},
		runningTasks: make(map[*task]struct{}),
		loadChanged:  make(chan struct{}),
	}
	g.engineUp.Store(true)
	for _, opt := range opts {
		opt(g)
	}
	return g
}

// SetPolicy changes the limits on concurrent calls.
func (g *Gate) SetPolicy(p cicadaadmit.Policy) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.policy = p
	g.schedule()
}

// SetRevision records the configuration revision that the agent has applied.
func (g *Gate) SetRevision(revision int64) {
	g.revision.Store(revision)
	g.notifyLoadChanged()
}

// SetEngineUp records whether the engine is up.
func (g *Gate) SetEngineUp(up bool) {
	if g.engineUp.Swap(up) != up {
		g.notifyLoadChanged()
	}
}

// SetModels records the models that the engine has loaded.
func (g *Gate) SetModels(models []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.models = models
}

// Run executes one attempt of a call and sends its frames. It returns after the last
// frame.
func (g *Gate) Run(ctx context.Context, call *cicadawire.Call, send func(*cicadawire.Frame) error) error {
	frames := &frameWriter{gate: g, call: call, send: send}
	ctx = detach(ctx, call)
	if ms := call.GetBudgetMs(); ms > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
	}
	if call.GetNonIdempotent() && call.GetBoot() != 0 && call.GetBoot() != g.boot {
		return frames.reject(CodeRestarted, "agent has restarted since the call was sent")
	}
	if call.GetResumeFrom() > 0 && call.Origin == nil {
		return frames.fail(CodeOtherVersion, "call continues an output whose software version it does not state", true)
	}
	if !g.attempts.begin(call) {
		return frames.fail(CodeDuplicate, "a call with this key has already been recorded at this endpoint", false)
	}
	t := &task{
		call:    call,
		long:    call.GetMaxTokens() >= cicadaadmit.LongRequestTokens,
		arrival: time.Now(),
		decided: make(chan struct{}),
	}
	if code, message := g.enqueue(t); code != "" {
		g.attempts.forget(call)
		return frames.reject(code, message)
	}
	return g.runToCompletion(ctx, t, frames)
}

// detach returns the context for a call. For a non-idempotent call it is not
// cancelled when the entry disconnects: the call runs to its end, and its outcome
// can be queried later.
func detach(ctx context.Context, call *cicadawire.Call) context.Context {
	if call.GetNonIdempotent() {
		return context.WithoutCancel(ctx)
	}
	return ctx
}

// awaitStart waits until a task is started. It reports false if the task was not
// started; an ERROR frame has been sent then.
func (g *Gate) awaitStart(ctx context.Context, t *task, frames *frameWriter) (bool, error) {
	select {
	case <-t.decided:
	case <-ctx.Done():
		if g.dequeue(t) {
			g.attempts.forget(t.call)
			return false, frames.fail(CodeCancelled, "call was cancelled or timed out while it waited for a slot", !t.started)
		}
		<-t.decided
	}
	if t.rejection == nil {
		return true, nil
	}
	if t.started {
		return false, frames.fail(CodeStopped, "call interrupted: endpoint is draining", false)
	}
	g.attempts.forget(t.call)
	if errors.Is(t.rejection, errDisplaced) {
		return false, frames.reject(CodeBusy, "displaced from the queue by a more urgent request")
	}
	return false, frames.reject(CodeLeaving, "endpoint is draining")
}

// runToCompletion runs a task, again after each preemption, and sends its last
// frame.
func (g *Gate) runToCompletion(ctx context.Context, t *task, frames *frameWriter) error {
	for {
		started, err := g.awaitStart(ctx, t, frames)
		if !started {
			return err
		}
		result, err := g.runOnce(ctx, t, frames)
		if g.endRun(t, err) {
			continue
		}
		return frames.finish(ctx, result, err)
	}
}

// endRun updates the state after a run of a task. It reports whether the task was
// preempted, and requeues it in that case.
func (g *Gate) endRun(t *task, err error) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.runningTasks, t)
	if !t.preempting {
		g.updateState(t, -1)
	}
	preempted := t.preempting && errors.Is(err, errPreempted)
	t.running, t.preempting, t.cancel = false, false, nil
	if preempted {
		g.requeue(t)
	}
	g.schedule()
	return preempted
}

// runOnce runs a started task on the engine until it completes, fails or is
// interrupted.
func (g *Gate) runOnce(ctx context.Context, t *task, frames *frameWriter) (cicadaengine.Result, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	g.mu.Lock()
	t.cancel = cancel
	if t.preempting {
		cancel(errPreempted)
	}
	g.mu.Unlock()
	started := time.Now()
	lastChunk := started
	result, err := g.callEngine(ctx, frames, func(c cicadaengine.Chunk) error {
		now := time.Now()
		if !t.isBatch() {
			g.latencies.record(now, now.Sub(lastChunk), lastChunk.Equal(started))
		}
		lastChunk = now
		g.mu.Lock()
		t.chunks++
		g.mu.Unlock()
		return frames.writeChunk(c)
	})
	if cause := context.Cause(ctx); err != nil && (errors.Is(cause, errPreempted) || errors.Is(cause, errDraining)) {
		err = merry.Errorf("run interrupted: %w", cause)
	}
	return result, err
}

// LoadChanged returns a channel that is closed when the load has changed in a way
// that is reported to entries before the next heartbeat: the engine went up or down or
// has another software version, a configuration revision was applied, or the endpoint is
// draining.
func (g *Gate) LoadChanged() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.loadChanged
}

func (g *Gate) notifyLoadChanged() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.loadChanged)
	g.loadChanged = make(chan struct{})
}

// Load returns the current load report for entries.
func (g *Gate) Load() *cicadawire.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	tokenInterval, timeToFirstToken := g.latencies.read(now)
	timeToFirstToken = max(timeToFirstToken, g.longestFirstTokenWait(now))
	return &cicadawire.Load{
		OnlineRunning: int32(g.state.Online),
		OnlineWaiting: int32(len(g.onlineQueue)),
		BatchRunning:  int32(g.state.Batch),
		BatchWaiting:  int32(len(g.batchQueue)),
		Slots:         int32(g.policy.Slots),
		TokenUs:       tokenInterval.Microseconds(),
		PrefillUs:     timeToFirstToken.Microseconds(),
		Leaving:       g.draining,
		Models:        g.models,
		Revision:      g.revision.Load(),
		EngineUp:      g.engineUp.Load(),

		SoftwareVersion: g.softwareVersion,
	}
}

// longestFirstTokenWait returns the longest time for which a running online request
// has been waiting for its first token. The caller must hold g.mu.
func (g *Gate) longestFirstTokenWait(now time.Time) time.Duration {
	var longest time.Duration
	for t := range g.runningTasks {
		if !t.isBatch() && t.chunks == 0 {
			longest = max(longest, now.Sub(t.startedAt))
		}
	}
	return longest
}

// Boot returns the agent's boot number, which differs after each start.
func (g *Gate) Boot() int64 { return g.boot }

// Crashes returns the number of calls that were in progress when the engine crashed.
func (g *Gate) Crashes() int64 { return g.crashes.Load() }

// Attempts returns the state of a call with an idempotency key at this endpoint. If
// the key is unknown, a call with it is rejected from now on.
func (g *Gate) Attempts(query *cicadawire.AttemptQuery) *cicadawire.AttemptReply {
	reply := g.attempts.query(query.GetCustomer(), query.GetKey())
	reply.Boot = g.boot
	return reply
}

// Order passes an engine order to the engine, unless its fencing number is lower
// than the highest one so far.
func (g *Gate) Order(ctx context.Context, order *cicadawire.EngineOrder) *cicadawire.OrderReply {
	if g.engine.Order == nil {
		return &cicadawire.OrderReply{Reason: cicadaengine.ErrOrdersUnsupported.Error()}
	}
	return g.fence.execute(order, func() error { return g.engine.Order(ctx, order) })
}

// InitFence sets the highest fencing number issued before the agent started. The
// gate rejects all orders until then.
func (g *Gate) InitFence(highest int64) { g.fence.initialize(highest) }
