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

var seconds = flag.Int("seconds", 2, "virtual seconds of each measured run")

const (
	networkDelay = 500 * time.Microsecond
	reportDelay  = time.Second
	warmUp       = 3 * time.Second
	maxLatency   = 10 * 60 * 1000 * 1000
	significant  = 3
	rigSlots     = 16
	bodySize     = 24
	onlinePrompt = 300
	onlineOutput = 60
	batchPrompt  = 400
	batchOutput  = 200
	longOutput   = 1500
	groupName    = "assistants"
	batchGroup   = "batch-only"
)

// A requestShape is what matters of a request for the fake engine. It travels
// in the call's body.
type requestShape struct {
	prompt int
	shared int
	output int
}

func (s requestShape) encode() []byte {
	body := make([]byte, bodySize)
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

// A node is an endpoint of a rig: a fake engine behind a real gate.
type node struct {
	name   string
	group  string
	engine *fakeEngine
	gate   *cicadagate.Gate
}

// A rig is a set of entries and endpoints in virtual time.
type rig struct {
	ctx    context.Context
	cancel context.CancelFunc
	tasks  conc.WaitGroup
	nodes  []*node
	fronts []*front
	random *rand.Rand
	mu     sync.Mutex

	*books
	batch    int
	measured time.Time
}

// books record what became of online requests.
type books struct {
	first   *hdrhistogram.Histogram
	short   *hdrhistogram.Histogram
	done    int
	refused int
	failed  int
	tokens  int
}

func newBooks() *books {
	return &books{first: hdrhistogram.New(1, maxLatency, significant), short: hdrhistogram.New(1, maxLatency, significant)}
}

// A front is an entry of a rig: a real dispatcher with its own view of the
// endpoints.
type front struct {
	rig        *rig
	dispatcher *cicadadispatch.Dispatcher
	loadOnly   *cicadadispatch.Dispatcher
	groups     map[string]*cicadafleet.Group
	byName     map[string]*node
}

// Group returns a group of endpoints.
func (f *front) Group(name string) (*cicadafleet.Group, bool) {
	g, ok := f.groups[name]
	return g, ok
}

type rigConfig struct {
	seed    uint64
	fronts  int
	nodes   int
	apart   int
	policy  cicadaadmit.Policy
	options []cicadadispatch.Option
	slow    func(node int) func(time.Time) float64
}

func newRig(cfg rigConfig) *rig {
	ctx, cancel := context.WithCancel(context.Background())
	r := &rig{
		ctx: ctx, cancel: cancel, random: rand.New(rand.NewPCG(cfg.seed, 0)),
		books: newBooks(),
	}
	for i := range cfg.nodes {
		n := &node{name: fmt.Sprintf("w-%02d", i), group: groupName, engine: newFakeEngine()}
		if i >= cfg.nodes-cfg.apart {
			n.group = batchGroup
		}
		if cfg.slow != nil {
			n.engine.slow = cfg.slow(i)
		}
		n.gate = cicadagate.New(n.name, n.engine.engine(), cicadagate.WithPolicy(cfg.policy))
		r.nodes = append(r.nodes, n)
		r.tasks.Go(func() { n.engine.loop(ctx) })
	}
	for range cfg.fronts {
		r.fronts = append(r.fronts, r.newFront(cfg))
	}
	return r
}

func (r *rig) newFront(cfg rigConfig) *front {
	f := &front{rig: r, groups: make(map[string]*cicadafleet.Group), byName: make(map[string]*node)}
	views := make(map[string][]*cicadafleet.Endpoint)
	for _, n := range r.nodes {
		f.byName[n.name] = n
		view := cicadafleet.NewEndpoint(cicadaplatform.VM{Name: n.name, Group: n.group}, true)
		view.UpdateLoad(n.gate.Load())
		views[n.group] = append(views[n.group], view)
		r.tasks.Go(func() { r.heartbeat(n, view) })
	}
	for name, list := range views {
		f.groups[name] = cicadafleet.NewGroup(name, list...)
	}
	options := append([]cicadadispatch.Option{cicadadispatch.WithRandom(r.intn)}, cfg.options...)
	f.dispatcher = cicadadispatch.New(f, f.open, options...)
	f.loadOnly = cicadadispatch.New(f, f.open, append(options, cicadadispatch.WithSelector(withoutAffinity))...)
	return f
}

// withoutAffinity routes as the system does, but for the prompt's prefix.
func withoutAffinity(views []cicadaroute.View, req cicadaroute.Request, intn func(int) int) int {
	req.Prefix = 0
	return cicadaroute.Online(views, req, intn)
}

// byLoad returns the entry with a dispatcher that knows no prefixes.
func (f *front) byLoad() *front {
	other := *f
	other.dispatcher = f.loadOnly
	return &other
}

// heartbeat carries a gate's load to an entry.
func (r *rig) heartbeat(n *node, view *cicadafleet.Endpoint) {
	sleep(r.ctx, time.Duration(r.intn(int(reportDelay))))
	for r.ctx.Err() == nil {
		load := n.gate.Load()
		sleep(r.ctx, networkDelay)
		view.UpdateLoad(load)
		sleep(r.ctx, reportDelay)
	}
}

func (r *rig) intn(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

func (r *rig) exp(mean float64) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.ExpFloat64() * mean
}

// open carries an attempt to a gate.
func (f *front) open(ctx context.Context, e *cicadafleet.Endpoint, call *cicadawire.Call) (func() (*cicadawire.Frame, error), error) {
	n := f.byName[e.Name()]
	frames := make(chan *cicadawire.Frame, 4)
	f.rig.tasks.Go(func() {
		defer close(frames)
		sleep(ctx, networkDelay)
		_ = n.gate.Run(ctx, call, func(frame *cicadawire.Frame) error {
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

// online sends one online request and records its times.
func (r *rig) online(f *front, shape requestShape, prefix uint64, urgency int32, customer string) {
	r.send(r.books, f, shape, prefix, urgency, customer)
}

// onlineFor sends a request of the usual shape for a customer with books of its
// own.
func (r *rig) onlineFor(b *books, f *front, customer string) {
	r.send(b, f, r.usualShape(), 0, 1, customer)
}

func (r *rig) send(b *books, f *front, shape requestShape, prefix uint64, urgency int32, customer string) {
	call := &cicadawire.Call{Customer: customer, Body: shape.encode(), MaxTokens: int32(shape.output), Prefix: prefix, Urgency: urgency}
	start := time.Now()
	seen := false
	req := &cicadadispatch.Request{Call: call, Groups: []string{groupName}, Deadline: start.Add(time.Minute)}
	_, err := f.dispatcher.Run(r.ctx, req, func(cicadadispatch.Chunk) error {
		if !seen {
			seen = true
			r.recordFirst(b, start, shape)
		}
		return nil
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	if !start.After(r.measured) || r.ctx.Err() != nil {
		return
	}
	switch {
	case err == nil:
		b.done++
		b.tokens += shape.output
	case isOverload(err):
		b.refused++
	default:
		b.failed++
	}
}

func (r *rig) recordFirst(b *books, start time.Time, shape requestShape) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !start.After(r.measured) {
		return
	}
	_ = b.first.RecordValue(time.Since(start).Microseconds())
	if shape.output < longOutput {
		_ = b.short.RecordValue(time.Since(start).Microseconds())
	}
}

func (r *rig) usualShape() requestShape {
	return requestShape{prompt: 50 + int(r.exp(onlinePrompt-50)), output: 10 + int(r.exp(onlineOutput-10))}
}

// onlineWithPrefix sends a request with a prompt prefix. Without affinity it is
// routed by load alone.
func (r *rig) onlineWithPrefix(f *front, shape requestShape, prefix uint64, affinity bool) {
	if affinity {
		r.online(f, shape, prefix, 1, "shop")
		return
	}
	r.online(f.byLoad(), shape, prefix, 1, "shop")
}

// arrivals starts requests at a rate that may change with time, until ctx ends.
func (r *rig) arrivals(rate func(time.Time) float64, request func(f *front)) {
	r.tasks.Go(func() {
		for r.ctx.Err() == nil {
			perSecond := rate(time.Now())
			sleep(r.ctx, time.Duration(r.exp(float64(time.Second)/perSecond)))
			f := r.fronts[r.intn(len(r.fronts))]
			r.tasks.Go(func() { request(f) })
		}
	})
}

func constant(rate float64) func(time.Time) float64 { return func(time.Time) float64 { return rate } }

// plainOnline sends a request of the usual shape.
func (r *rig) plainOnline(f *front) { r.online(f, r.usualShape(), 0, 1, "shop") }

// feedBatch keeps width batch items going through an entry.
func (r *rig) feedBatch(width int, class cicadawire.CallClass, group string) {
	for range width {
		f := r.fronts[r.intn(len(r.fronts))]
		r.tasks.Go(func() {
			for r.ctx.Err() == nil {
				shape := requestShape{prompt: batchPrompt, output: batchOutput/2 + r.intn(batchOutput)}
				call := &cicadawire.Call{Customer: "lots", Class: class, Body: shape.encode(), MaxTokens: int32(shape.output)}
				req := &cicadadispatch.Request{Call: call, Groups: []string{group}}
				_, err := f.dispatcher.Run(r.ctx, req, func(cicadadispatch.Chunk) error { return nil })
				if err != nil {
					sleep(r.ctx, time.Duration(10+r.intn(20))*time.Millisecond)
					continue
				}
				r.mu.Lock()
				r.batch++
				r.mu.Unlock()
			}
		})
	}
}

// run lets the rig go for the measured time after its warm-up, and returns the
// engines' counts of the measured time.
func (r *rig) run() engineStats {
	r.mu.Lock()
	r.measured = time.Now().Add(warmUp)
	r.mu.Unlock()
	sleep(r.ctx, warmUp)
	before := r.total()
	sleep(r.ctx, time.Duration(*seconds)*time.Second)
	after := r.total()
	r.cancel()
	r.tasks.Wait()
	return engineStats{
		onlineTokens: after.onlineTokens - before.onlineTokens,
		batchTokens:  after.batchTokens - before.batchTokens,
		prefilled:    after.prefilled - before.prefilled,
		hits:         after.hits - before.hits,
		prompts:      after.prompts - before.prompts,
		slotTime:     after.slotTime - before.slotTime,
	}
}

func (r *rig) total() engineStats {
	var sum engineStats
	for _, n := range r.nodes {
		s := n.engine.read()
		sum.onlineTokens += s.onlineTokens
		sum.batchTokens += s.batchTokens
		sum.prefilled += s.prefilled
		sum.hits += s.hits
		sum.prompts += s.prompts
		sum.slotTime += s.slotTime
	}
	return sum
}

// attempts returns attempts and hedges per request over all entries.
func (r *rig) attempts() (attempts, hedges float64) {
	var requests, made, hedged int64
	for _, f := range r.fronts {
		q, a, h := f.dispatcher.Counts()
		requests, made, hedged = requests+q, made+a, hedged+h
	}
	return float64(made) / float64(max(requests, 1)), float64(hedged) / float64(max(requests, 1))
}

func p99(h *hdrhistogram.Histogram) float64 { return float64(h.ValueAtPercentile(99)) / 1000 }

func p50(h *hdrhistogram.Histogram) float64 { return float64(h.ValueAtPercentile(50)) / 1000 }

// inVirtualTime runs a measured run in a bubble of its own.
func inVirtualTime(t *testing.T, run func()) {
	t.Helper()
	synctest.Test(t, func(*testing.T) { run() })
}

// report prints a measure line. Target is the bound that the users state, such
// as <=1.05, or none.
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

// pickers are the baselines that routing is compared with.
var pickers = map[string]func([]cicadaroute.View, cicadaroute.Request, func(int) int) int{
	"round-robin":       roundRobin(),
	"least-outstanding": leastOutstanding,
	"random-of-two":     randomOfTwo,
}

func roundRobin() func([]cicadaroute.View, cicadaroute.Request, func(int) int) int {
	var mu sync.Mutex
	next := 0
	return func(views []cicadaroute.View, _ cicadaroute.Request, _ func(int) int) int {
		mu.Lock()
		defer mu.Unlock()
		next++
		return next % len(views)
	}
}

func leastOutstanding(views []cicadaroute.View, _ cicadaroute.Request, intn func(int) int) int {
	best := intn(len(views))
	for i := range views {
		if views[i].Online < views[best].Online {
			best = i
		}
	}
	return best
}

func randomOfTwo(views []cicadaroute.View, _ cicadaroute.Request, intn func(int) int) int {
	a, b := intn(len(views)), intn(len(views))
	if views[b].Online < views[a].Online {
		return b
	}
	return a
}
