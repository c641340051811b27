package cicadameasure

import (
	"context"
	"encoding/binary"
	"flag"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sourcegraph/conc"

	"cicadalink.example/cicadaagent/cicadagate"
	"cicadalink.example/cicadaentry/cicadadispatch"
	"cicadalink.example/cicadaentry/cicadafleet"
	"cicadalink.example/cicadakernel/cicadaadmit"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadaroute"
	"cicadalink.example/cicadakernel/cicadawire"
)

var seconds = flag.Int("seconds", 2, "measured virtual seconds per run")

const (
	networkDelay           = 500 * time.Microsecond
	loadReportInterval     = time.Second
	warmUp                 = 3 * time.Second
	maxLatencyMicros       = 10 * 60 * 1000 * 1000
	histogramDigits        = 3
	slotsPerEndpoint       = 16
	shapeBytes             = 24
	meanOnlinePromptTokens = 300
	meanOnlineOutputTokens = 60
	batchPromptTokens      = 400
	meanBatchOutputTokens  = 200
	longOutputTokens       = 1500
	groupName              = "assistants"
	batchGroup             = "batch-only"
)

// A requestShape gives the token counts of a request. It is encoded in the call's
// body for the simulated engine.
type requestShape struct {
	prompt int
	shared int // prompt tokens that belong to the shared prefix
	output int
}

func (s requestShape) encode() []byte {
	body := make([]byte, shapeBytes)
	binary.BigEndian.PutUint64(body, uint64(s.prompt))
	binary.BigEndian.PutUint64(body[8:], uint64(s.shared))
	binary.BigEndian.PutUint64(body[16:], uint64(s.output))
	return body
}

func decodeShape(body []byte) requestShape {
	return requestShape{
		prompt: int(binary.BigEndian.Uint64(body)),
		shared: int(binary.BigEndian.Uint64(body[8:])),
		output: int(binary.BigEndian.Uint64(body[16:])),
	}
}

// An endpoint of a testbed is a simulated engine behind the scheduler of a real agent.
type endpoint struct {
	name   string
	group  string
	engine *simulatedEngine
	gate   *cicadagate.Gate
}

// A testbed is a set of entries and endpoints in virtual time. The embedded outcomes
// are those of the requests that sendOnline sends.
type testbed struct {
	ctx       context.Context
	cancel    context.CancelFunc
	tasks     conc.WaitGroup
	endpoints []*endpoint
	entries   []*entry
	random    *rand.Rand
	mu        sync.Mutex

	*outcomes
	batchDone    int
	measureStart time.Time
}

// outcomes records the results and latencies of online requests that start after
// the warm-up.
type outcomes struct {
	firstToken      *hdrhistogram.Histogram
	shortFirstToken *hdrhistogram.Histogram // requests with fewer than longOutputTokens
	done            int
	refused         int
	failed          int
	tokens          int
}

func newOutcomes() *outcomes {
	return &outcomes{firstToken: hdrhistogram.New(1, maxLatencyMicros, histogramDigits), shortFirstToken: hdrhistogram.New(1, maxLatencyMicros, histogramDigits)}
}

// An entry of a testbed is a real dispatcher with its own view of the endpoints.
type entry struct {
	testbed            *testbed
	dispatcher         *cicadadispatch.Dispatcher
	loadOnlyDispatcher *cicadadispatch.Dispatcher
	groups             map[string]*cicadafleet.Group
	endpointByName     map[string]*endpoint
}

// Group returns a group of endpoints.
func (e *entry) Group(name string) (*cicadafleet.Group, bool) {
	g, ok := e.groups[name]
	return g, ok
}

type testbedConfig struct {
	seed      uint64
	entries   int
	endpoints int
	dedicated int // endpoints for batch requests only
	policy    cicadaadmit.Policy
	options   []cicadadispatch.Option
	slowdown  func(endpoint int) func(time.Time) float64
}

func newTestbed(cfg testbedConfig) *testbed {
	ctx, cancel := context.WithCancel(context.Background())
	tb := &testbed{
		ctx: ctx, cancel: cancel, random: rand.New(rand.NewPCG(cfg.seed, 0)),
		outcomes: newOutcomes(),
	}
	for i := range cfg.endpoints {
		ep := &endpoint{name: fmt.Sprintf("w-%02d", i), group: groupName, engine: newSimulatedEngine()}
		if i >= cfg.endpoints-cfg.dedicated {
			ep.group = batchGroup
		}
		if cfg.slowdown != nil {
			ep.engine.stepFactor = cfg.slowdown(i)
		}
		ep.gate = cicadagate.New(ep.name, ep.engine.adapter(), cicadagate.WithPolicy(cfg.policy))
		tb.endpoints = append(tb.endpoints, ep)
		tb.tasks.Go(func() { ep.engine.runSteps(ctx) })
	}
	for range cfg.entries {
		tb.entries = append(tb.entries, tb.newEntry(cfg))
	}
	return tb
}

func (tb *testbed) newEntry(cfg testbedConfig) *entry {
	e := &entry{testbed: tb, groups: make(map[string]*cicadafleet.Group), endpointByName: make(map[string]*endpoint)}
	views := make(map[string][]*cicadafleet.Endpoint)
	for _, ep := range tb.endpoints {
		e.endpointByName[ep.name] = ep
		view := cicadafleet.NewEndpoint(cicadaplatform.VM{Name: ep.name, Group: ep.group}, true)
		view.UpdateLoad(ep.gate.Load())
		views[ep.group] = append(views[ep.group], view)
		tb.tasks.Go(func() { tb.heartbeat(ep, view) })
	}
	for name, list := range views {
		e.groups[name] = cicadafleet.NewGroup(name, list...)
	}
	options := append([]cicadadispatch.Option{cicadadispatch.WithRandom(tb.intn)}, cfg.options...)
	e.dispatcher = cicadadispatch.New(e, e.open, options...)
	e.loadOnlyDispatcher = cicadadispatch.New(e, e.open, append(options, cicadadispatch.WithSelector(routeWithoutAffinity))...)
	return e
}

// routeWithoutAffinity routes like the system, but ignores the prompt's prefix.
func routeWithoutAffinity(views []cicadaroute.EndpointView, req cicadaroute.Criteria, intn func(int) int) int {
	req.Prefix = 0
	return cicadaroute.SelectOnline(views, req, intn)
}

// withoutPrefixRouting returns the entry with the dispatcher that routes by load
// only.
func (e *entry) withoutPrefixRouting() *entry {
	other := *e
	other.dispatcher = e.loadOnlyDispatcher
	return &other
}

// heartbeat sends an endpoint's load to an entry periodically.
func (tb *testbed) heartbeat(ep *endpoint, view *cicadafleet.Endpoint) {
	sleep(tb.ctx, time.Duration(tb.intn(int(loadReportInterval))))
	for tb.ctx.Err() == nil {
		load := ep.gate.Load()
		sleep(tb.ctx, networkDelay)
		view.UpdateLoad(load)
		sleep(tb.ctx, loadReportInterval)
	}
}

func (tb *testbed) intn(n int) int {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.random.IntN(n)
}

func (tb *testbed) expRandom(mean float64) float64 {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	return tb.random.ExpFloat64() * mean
}

// open starts an attempt at an endpoint, and returns a function that receives its
// frames. Dispatchers call it.
func (e *entry) open(ctx context.Context, target *cicadafleet.Endpoint, call *cicadawire.Call) (func() (*cicadawire.Frame, error), error) {
	ep := e.endpointByName[target.Name()]
	frames := make(chan *cicadawire.Frame, 4)
	e.testbed.tasks.Go(func() {
		defer close(frames)
		sleep(ctx, networkDelay)
		_ = ep.gate.Run(ctx, call, func(frame *cicadawire.Frame) error {
			select {
			case frames <- frame:
				return nil
			case <-ctx.Done():
				return ctx.Err()
			}
		})
	})
	return func() (*cicadawire.Frame, error) {
		select {
		case frame, ok := <-frames:
			if !ok {
				return nil, io.EOF
			}
			return frame, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}, nil
}

// sendOnline sends an online request and records its outcome in the testbed.
func (tb *testbed) sendOnline(e *entry, shape requestShape, prefix uint64, urgency int32, customer string) {
	tb.send(tb.outcomes, e, shape, prefix, urgency, customer)
}

// sendOnlineFor sends a request of typical shape for a customer and records its
// outcome in out.
func (tb *testbed) sendOnlineFor(out *outcomes, e *entry, customer string) {
	tb.send(out, e, tb.typicalShape(), 0, 1, customer)
}

// send sends an online request and records its outcome in out, unless the request
// starts before the measured time or the testbed stops during it.
func (tb *testbed) send(out *outcomes, e *entry, shape requestShape, prefix uint64, urgency int32, customer string) {
	call := &cicadawire.Call{Customer: customer, Body: shape.encode(), MaxTokens: int32(shape.output), Prefix: prefix, Urgency: urgency}
	start := time.Now()
	seen := false
	req := &cicadadispatch.Request{Call: call, Groups: []string{groupName}, Deadline: start.Add(time.Minute)}
	_, err := e.dispatcher.Run(tb.ctx, req, func(cicadadispatch.Chunk) error {
		if !seen {
			seen = true
			tb.recordFirstToken(out, start, shape)
		}
		return nil
	})
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if !start.After(tb.measureStart) || tb.ctx.Err() != nil {
		return
	}
	switch {
	case err == nil:
		out.done++
		out.tokens += shape.output
	case isOverload(err):
		out.refused++
	default:
		out.failed++
	}
}

func (tb *testbed) recordFirstToken(out *outcomes, start time.Time, shape requestShape) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if !start.After(tb.measureStart) {
		return
	}
	_ = out.firstToken.RecordValue(time.Since(start).Microseconds())
	if shape.output < longOutputTokens {
		_ = out.shortFirstToken.RecordValue(time.Since(start).Microseconds())
	}
}

func (tb *testbed) typicalShape() requestShape {
	return requestShape{prompt: 50 + int(tb.expRandom(meanOnlinePromptTokens-50)), output: 10 + int(tb.expRandom(meanOnlineOutputTokens-10))}
}

// sendWithPrefix sends a request with a prompt prefix. Without affinity it is
// routed by load only.
func (tb *testbed) sendWithPrefix(e *entry, shape requestShape, prefix uint64, affinity bool) {
	if affinity {
		tb.sendOnline(e, shape, prefix, 1, "shop")
		return
	}
	tb.sendOnline(e.withoutPrefixRouting(), shape, prefix, 1, "shop")
}

// startArrivals starts Poisson arrivals of requests, at a rate per second that may
// change over time, until ctx is done.
func (tb *testbed) startArrivals(rate func(time.Time) float64, request func(e *entry)) {
	tb.tasks.Go(func() {
		for tb.ctx.Err() == nil {
			perSecond := rate(time.Now())
			sleep(tb.ctx, time.Duration(tb.expRandom(float64(time.Second)/perSecond)))
			e := tb.entries[tb.intn(len(tb.entries))]
			tb.tasks.Go(func() { request(e) })
		}
	})
}

func constant(rate float64) func(time.Time) float64 { return func(time.Time) float64 { return rate } }

// sendTypical sends a request of typical shape.
func (tb *testbed) sendTypical(e *entry) { tb.sendOnline(e, tb.typicalShape(), 0, 1, "shop") }

// startBatch keeps the given number of batch items running, each sent through a
// random entry.
func (tb *testbed) startBatch(concurrency int, class cicadawire.CallClass, group string) {
	for range concurrency {
		e := tb.entries[tb.intn(len(tb.entries))]
		tb.tasks.Go(func() {
			for tb.ctx.Err() == nil {
				shape := requestShape{prompt: batchPromptTokens, output: meanBatchOutputTokens/2 + tb.intn(meanBatchOutputTokens)}
				call := &cicadawire.Call{Customer: "lots", Class: class, Body: shape.encode(), MaxTokens: int32(shape.output)}
				req := &cicadadispatch.Request{Call: call, Groups: []string{group}}
				_, err := e.dispatcher.Run(tb.ctx, req, func(cicadadispatch.Chunk) error { return nil })
				if err != nil {
					sleep(tb.ctx, time.Duration(10+tb.intn(20))*time.Millisecond)
					continue
				}
				tb.mu.Lock()
				tb.batchDone++
				tb.mu.Unlock()
			}
		})
	}
}

// run runs the testbed for the warm-up and the measured time, and returns the
// engines' counts for the measured time.
func (tb *testbed) run() engineStats {
	tb.mu.Lock()
	tb.measureStart = time.Now().Add(warmUp)
	tb.mu.Unlock()
	sleep(tb.ctx, warmUp)
	before := tb.totalStats()
	sleep(tb.ctx, time.Duration(*seconds)*time.Second)
	after := tb.totalStats()
	tb.cancel()
	tb.tasks.Wait()
	return engineStats{
		onlineTokens: after.onlineTokens - before.onlineTokens,
		batchTokens:  after.batchTokens - before.batchTokens,
		prefilled:    after.prefilled - before.prefilled,
		hits:         after.hits - before.hits,
		prompts:      after.prompts - before.prompts,
		slotTime:     after.slotTime - before.slotTime,
	}
}

func (tb *testbed) totalStats() engineStats {
	var sum engineStats
	for _, ep := range tb.endpoints {
		s := ep.engine.readStats()
		sum.onlineTokens += s.onlineTokens
		sum.batchTokens += s.batchTokens
		sum.prefilled += s.prefilled
		sum.hits += s.hits
		sum.prompts += s.prompts
		sum.slotTime += s.slotTime
	}
	return sum
}

// attemptRates returns the attempts and hedges per request over all entries.
func (tb *testbed) attemptRates() (attempts, hedges float64) {
	var requests, made, hedged int64
	for _, e := range tb.entries {
		q, a, h := e.dispatcher.Counts()
		requests, made, hedged = requests+q, made+a, hedged+h
	}
	return float64(made) / float64(max(requests, 1)), float64(hedged) / float64(max(requests, 1))
}

func p99(h *hdrhistogram.Histogram) float64 { return float64(h.ValueAtPercentile(99)) / 1000 }

func p50(h *hdrhistogram.Histogram) float64 { return float64(h.ValueAtPercentile(50)) / 1000 }

// inVirtualTime executes run in its own synctest bubble.
func inVirtualTime(t *testing.T, run func()) {
	t.Helper()
	synctest.Test(t, func(*testing.T) { run() })
}

// report logs a measure line. The target is the required bound, such as <=1.05,
// or none.
func report(t *testing.T, name string, value float64, unit string, baseline float64, target string) {
	t.Helper()
	t.Logf("measure: %s value=%.3f unit=%s baseline=%.3f target=%s", name, value, unit, baseline, target)
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return math.Inf(1)
	}
	return a / b
}

// selectors are the baselines that the system's routing is compared with.
var selectors = map[string]func([]cicadaroute.EndpointView, cicadaroute.Criteria, func(int) int) int{
	"round-robin":       roundRobin(),
	"least-outstanding": leastOutstanding,
	"random-of-two":     randomOfTwo,
}

func roundRobin() func([]cicadaroute.EndpointView, cicadaroute.Criteria, func(int) int) int {
	var mu sync.Mutex
	next := 0
	return func(views []cicadaroute.EndpointView, _ cicadaroute.Criteria, _ func(int) int) int {
		mu.Lock()
		defer mu.Unlock()
		next++
		return next % len(views)
	}
}

func leastOutstanding(views []cicadaroute.EndpointView, _ cicadaroute.Criteria, intn func(int) int) int {
	best := intn(len(views))
	for i := range views {
		if views[i].Online < views[best].Online {
			best = i
		}
	}
	return best
}

func randomOfTwo(views []cicadaroute.EndpointView, _ cicadaroute.Criteria, intn func(int) int) int {
	a, b := intn(len(views)), intn(len(views))
	if views[b].Online < views[a].Online {
		return b
	}
	return a
}
