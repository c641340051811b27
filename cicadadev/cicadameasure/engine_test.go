package cicadameasure

import (
	"context"
	"net/http"
	"sync"
	"time"

	"cicadalink.example/cicadaagent/cicadaengine"
	"cicadalink.example/cicadakernel/cicadawire"
)

// Cost model of the simulated engine: a step takes stepBaseCost, plus decodeCost for each
// decoding sequence and prefillCost for each prompt token that it prefills.
const (
	stepBaseCost       = 18 * time.Millisecond
	decodeCost         = 250 * time.Microsecond
	prefillCost        = 60 * time.Microsecond
	prefillChunkTokens = 512
	prefixBlock        = 256
	maxCachedPrefixes  = 64
)

// A sequence is a request in the simulated engine.
type sequence struct {
	batch     bool
	prefill   int           // prompt tokens still to prefill
	chunk     int           // prompt tokens to prefill in the current step
	planned   bool          // included in a planned step
	remaining int           // output tokens still to generate
	tokens    chan struct{} // receives an element for each output token
	cancelled bool
}

// A simulatedEngine simulates a model engine with continuous batching, without
// priorities and with a bounded cache of prompt prefixes. The duration of each step
// is multiplied by stepFactor.
type simulatedEngine struct {
	stepFactor func(now time.Time) float64

	mu         sync.Mutex
	active     []*sequence
	wake       chan struct{}
	cache      map[uint64]int
	cacheClock int
	stats      engineStats
}

// engineStats counts the work of an engine.
type engineStats struct {
	onlineTokens int           // generated for online requests
	batchTokens  int           // generated for batch requests
	prefilled    int           // prompt tokens
	hits         int           // prompts with a cached prefix
	prompts      int           // all prompts
	slotTime     time.Duration // step costs, counted once for each online sequence that decodes
}

func newSimulatedEngine() *simulatedEngine {
	return &simulatedEngine{
		stepFactor: func(time.Time) float64 { return 1 },
		wake:       make(chan struct{}, 1),
		cache:      make(map[uint64]int),
	}
}

// runSteps runs steps whenever there is work, until ctx is done.
func (e *simulatedEngine) runSteps(ctx context.Context) {
	for {
		busy, cost := e.planStep()
		if !busy {
			select {
			case <-e.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		sleep(ctx, time.Duration(float64(cost)*e.stepFactor(time.Now())))
		if ctx.Err() != nil {
			return
		}
		e.finishStep(cost)
	}
}

// planStep chooses the work of the next step and returns its cost, or false if
// there is none. Prompts are prefilled in order of arrival, up to
// prefillChunkTokens per step.
func (e *simulatedEngine) planStep() (bool, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	active := e.active[:0]
	for _, s := range e.active {
		if !s.cancelled {
			active = append(active, s)
		}
	}
	e.active = active
	if len(e.active) == 0 {
		return false, 0
	}
	cost := stepBaseCost
	chunkBudget := prefillChunkTokens
	for _, s := range e.active {
		s.planned = true
		if s.prefill == 0 {
			cost += decodeCost
			continue
		}
		s.chunk = min(s.prefill, chunkBudget)
		chunkBudget -= s.chunk
		cost += time.Duration(s.chunk) * prefillCost
	}
	return true, cost
}

// finishStep applies the planned step, and removes the sequences that are complete.
func (e *simulatedEngine) finishStep(cost time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	active := e.active[:0]
	for _, s := range e.active {
		s.prefill -= s.chunk
		e.stats.prefilled += s.chunk
		s.chunk = 0
		if s.planned && s.prefill == 0 && !s.cancelled {
			s.remaining--
			s.tokens <- struct{}{}
			if s.batch {
				e.stats.batchTokens++
			} else {
				e.stats.onlineTokens++
				e.stats.slotTime += cost
			}
		}
		if s.remaining <= 0 {
			close(s.tokens)
			continue
		}
		active = append(active, s)
	}
	e.active = active
}

// admit adds a request as a sequence. A cached prompt prefix is not prefilled
// again.
func (e *simulatedEngine) admit(call *cicadawire.Call, shape requestShape) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	prompt := shape.prompt
	e.stats.prompts++
	if prefix := call.GetPrefix(); prefix != 0 {
		e.cacheClock++
		if _, hit := e.cache[prefix]; hit {
			prompt = max(prompt-shape.shared, 1)
			e.stats.hits++
		}
		e.cache[prefix] = e.cacheClock
		e.evict()
	}
	s := &sequence{
		batch:     call.GetClass() == cicadawire.CallClass_BATCH,
		prefill:   prompt + int(call.GetResumeFrom()),
		remaining: shape.output - int(call.GetResumeFrom()),
		tokens:    make(chan struct{}, shape.output+1),
	}
	e.active = append(e.active, s)
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return s
}

// evict removes the least recently used prefix if the cache is too large.
func (e *simulatedEngine) evict() {
	if len(e.cache) <= maxCachedPrefixes {
		return
	}
	var oldest uint64
	age := e.cacheClock + 1
	for prefix, at := range e.cache {
		if at < age {
			oldest, age = prefix, at
		}
	}
	delete(e.cache, oldest)
}

// adapter returns the simulated engine as a cicadaengine.Engine.
func (e *simulatedEngine) adapter() *cicadaengine.Engine {
	return &cicadaengine.Engine{Run: e.run, CanResume: true}
}

func (e *simulatedEngine) run(ctx context.Context, call *cicadawire.Call, emit func(cicadaengine.Chunk) error) (cicadaengine.Result, error) {
	shape := decodeShape(call.GetBody())
	s := e.admit(call, shape)
	defer func() {
		e.mu.Lock()
		s.cancelled = true
		e.mu.Unlock()
	}()
	if call.GetService() != "" {
		if err := emit(cicadaengine.Chunk{Head: true, Status: http.StatusOK}); err != nil {
			return cicadaengine.Result{}, err
		}
	}
	n := int32(0)
	for {
		select {
		case _, ok := <-s.tokens:
			if !ok {
				return cicadaengine.Result{FinishReason: "stop", OutputTokens: n}, nil
			}
			n++
			if err := emit(cicadaengine.Chunk{Data: tokenData, Software: cicadaengine.Software{Proved: true}}); err != nil {
				return cicadaengine.Result{}, err
			}
		case <-ctx.Done():
			return cicadaengine.Result{}, context.Cause(ctx)
		}
	}
}

var tokenData = []byte("x")

func (e *simulatedEngine) readStats() engineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stats
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
