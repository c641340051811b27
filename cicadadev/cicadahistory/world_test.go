package cicadahistory

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"cicadalink.example/cicadaagent/cicadaengine"
	"cicadalink.example/cicadaagent/cicadagate"
	"cicadalink.example/cicadadev/cicadadeployment"
	"cicadalink.example/cicadaentry/cicadadispatch"
	"cicadalink.example/cicadaentry/cicadafile"
	"cicadalink.example/cicadaentry/cicadafleet"
	"cicadalink.example/cicadaentry/cicadafront"
	"cicadalink.example/cicadaentry/cicadaquota"
	"cicadalink.example/cicadaentry/cicadashard"
	"cicadalink.example/cicadakernel/cicadaadmit"
	"cicadalink.example/cicadakernel/cicadaconfig"
	"cicadalink.example/cicadakernel/cicadamember"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadasuspect"
	"cicadalink.example/cicadakernel/cicadawire"
)

var (
	seeds = flag.Int("seeds", 200, "number of seeds of each history")
	first = flag.Int("first", 1, "first seed")
)

// errCut is what a call gets whose process or connection has gone.
var errCut = errors.New("connection cut")

const (
	checkLimit   = time.Minute
	shards       = 2
	parts        = 6
	entries      = 3
	endpoints    = 3
	settleTime   = 150 * time.Second
	historyModel = "assistant"
)

// eachSeed runs a history in virtual time for each seed, some at a time.
func eachSeed(t *testing.T, run func(t *testing.T, seed uint64)) {
	t.Logf("seeds %d to %d", *first, *first+*seeds-1)
	for part := range parts {
		t.Run(fmt.Sprint("part-", part), func(t *testing.T) {
			t.Parallel()
			for i := part; i < *seeds && !t.Failed(); i += parts {
				synctest.Test(t, func(t *testing.T) { run(t, uint64(*first+i)) })
			}
		})
	}
}

// A process can be paused and killed. Whatever it does with the outside passes
// through enter.
type process struct {
	mu      sync.Mutex
	dead    bool
	resumed chan struct{}
}

func (p *process) enter(ctx context.Context) error {
	for {
		p.mu.Lock()
		dead, resumed := p.dead, p.resumed
		p.mu.Unlock()
		if dead {
			return errCut
		}
		if resumed == nil {
			return nil
		}
		select {
		case <-resumed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (p *process) pause() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed == nil {
		p.resumed = make(chan struct{})
	}
}

func (p *process) resume() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.resumed != nil {
		close(p.resumed)
		p.resumed = nil
	}
}

// kill reports false when the process is dead already.
func (p *process) kill() bool {
	p.mu.Lock()
	alive := !p.dead
	p.dead = true
	p.mu.Unlock()
	p.resume()
	return alive
}

// An entry is one incarnation of an entry's process.
type entry struct {
	process
	name       string
	manager    *cicadashard.Manager
	dispatcher *cicadadispatch.Dispatcher
	front      http.Handler
}

// An endpoint is one incarnation of an agent with its engine.
type endpoint struct {
	process
	name   string
	group  string
	gate   *cicadagate.Gate
	view   *cicadafleet.Endpoint
	died   chan struct{}
	ctx    context.Context
	cancel context.CancelFunc
}

// A world is a deployment in virtual time.
type world struct {
	t         *testing.T
	seed      uint64
	memory    *cicadaplatform.Memory
	config    *cicadaconfig.Snapshot
	protect   protections
	ctx       context.Context
	cancel    context.CancelFunc
	tasks     conc.WaitGroup
	clock     atomic.Int64
	mu        sync.Mutex
	random    *rand.Rand
	entries   [entries]*entry
	endpoints []*endpoint
	faults    faults
	runs      map[string]int
	crashes   int
	history   []porcupine.Operation
}

// protections are turned off, one at a time, by the tests that show that the
// checks can fail.
type protections struct {
	noFence    bool
	noReadBack bool
	noClaim    bool
	noDedupe   bool
}

// faults are the chances of what befalls a call, in percent.
type faults struct {
	down    bool
	refused int
	lost    int
	slow    int
	cut     int
	late    int
	// lostMade is the chance that the answer to a Create is lost.
	lostMade int
}

const worldConfig = `
kind: group
name: assistants
models: [assistant]
slots: 4
---
kind: group
name: ledgers
slots: 8
---
kind: service
name: ledger
group: ledgers
routes:
  - {method: POST, path: /orders, idempotent: false}
---
kind: template
name: desk
parameters: {models: [assistant], services: [ledger], batch-concurrency: 8}
---
kind: customer
name: shop
template: desk
keys: ["KEY-HASH"]
`

// newBareWorld returns a world that has only a store.
func newBareWorld(t *testing.T, seed uint64, protect protections) *world {
	ctx, cancel := context.WithCancel(context.Background())
	w := &world{
		t: t, seed: seed, memory: cicadaplatform.NewMemory(), protect: protect, ctx: ctx, cancel: cancel,
		random: rand.New(rand.NewPCG(seed, 0)), runs: make(map[string]int),
	}
	w.memory.SetFault(w.storeFault)
	return w
}

func newWorld(t *testing.T, seed uint64, protect protections) *world {
	w := newBareWorld(t, seed, protect)
	text := strings.ReplaceAll(worldConfig, "KEY-HASH", cicadadeployment.HashKey("key"))
	resources, err := cicadaconfig.ParseResources("world.yaml", []byte(text))
	assert.NilError(t, err)
	store := cicadaconfig.NewStore(cicadaplatform.NewClient(w.memory.Backend()), w.nonce)
	_, err = store.Apply(w.ctx, cicadaconfig.Request{Operator: "test", Resources: resources})
	assert.NilError(t, err)
	w.config, err = store.Load(w.ctx)
	assert.NilError(t, err)
	for i := range endpoints {
		w.endpoints = append(w.endpoints, w.newEndpoint(fmt.Sprintf("engine-%d", i), "assistants"))
	}
	w.endpoints = append(w.endpoints, w.newEndpoint("ledger-0", "ledgers"), w.newEndpoint("ledger-1", "ledgers"))
	for i := range w.entries {
		w.entries[i] = w.newEntry(i)
	}
	return w
}

func (w *world) intn(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.IntN(n)
}

func (w *world) chance(percent int) bool { return w.intn(100) < percent }

func (w *world) nonce() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.random.Uint64()
}

func (w *world) sleep(d time.Duration) { sleep(w.ctx, d) }

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (w *world) currentFaults() faults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

func (w *world) setFaults(f faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = f
}

// storeFault delays, refuses and loses the store's calls.
func (w *world) storeFault(ctx context.Context, call, _ string) (before, after error) {
	f := w.currentFaults()
	delay := time.Duration(1+w.intn(5)) * time.Millisecond
	if w.chance(f.slow) {
		delay = time.Duration(w.intn(4000)) * time.Millisecond
	}
	if call != "watch" {
		sleep(ctx, delay)
	}
	if f.down || w.chance(f.refused) {
		return cicadaplatform.ErrUnavailable, nil
	}
	if w.chance(f.lost) || call == "create" && w.chance(f.lostMade) {
		return nil, cicadaplatform.ErrInDoubt
	}
	return nil, nil
}

// backend is the store as one process reaches it.
func (w *world) backend(p *process) cicadaplatform.Backend {
	b := w.memory.Backend()
	return cicadaplatform.Backend{
		Get: func(ctx context.Context, name string) (cicadaplatform.Object, error) {
			return through(ctx, p, func() (cicadaplatform.Object, error) { return b.Get(ctx, name) })
		},
		List: func(ctx context.Context, prefix, after string, limit int) (cicadaplatform.Page, error) {
			return through(ctx, p, func() (cicadaplatform.Page, error) { return b.List(ctx, prefix, after, limit) })
		},
		Create: func(ctx context.Context, name string, value []byte) (cicadaplatform.Object, error) {
			return through(ctx, p, func() (cicadaplatform.Object, error) {
				return w.perhapsLate(ctx, func(ctx context.Context) (cicadaplatform.Object, error) { return w.create(ctx, b, name, value) })
			})
		},
		Update: func(ctx context.Context, name string, version int64, value []byte) (cicadaplatform.Object, error) {
			return through(ctx, p, func() (cicadaplatform.Object, error) {
				return w.perhapsLate(ctx, func(ctx context.Context) (cicadaplatform.Object, error) { return b.Update(ctx, name, version, value) })
			})
		},
		Delete: func(ctx context.Context, name string, version int64) error {
			_, err := through(ctx, p, func() (struct{}, error) { return struct{}{}, b.Delete(ctx, name, version) })
			return err
		},
		Watch: func(ctx context.Context, prefix string, from int64) (cicadaplatform.Page, error) {
			return through(ctx, p, func() (cicadaplatform.Page, error) { return b.Watch(ctx, prefix, from) })
		},
		VMs: b.VMs,
	}
}

// perhapsLate makes a write at once, or lets its caller time out and makes it
// after a while, when its writer may have done or become something else.
func (w *world) perhapsLate(ctx context.Context, write func(context.Context) (cicadaplatform.Object, error)) (cicadaplatform.Object, error) {
	if !w.chance(w.currentFaults().late) {
		return write(ctx)
	}
	w.tasks.Go(func() {
		w.sleep(time.Duration(w.intn(10000)) * time.Millisecond)
		_, _ = write(w.ctx)
	})
	<-ctx.Done()
	return cicadaplatform.Object{}, cicadaplatform.ErrInDoubt
}

// create is the store's Create. Without the fence it overwrites segments.
func (w *world) create(ctx context.Context, b cicadaplatform.Backend, name string, value []byte) (cicadaplatform.Object, error) {
	obj, err := b.Create(ctx, name, value)
	if w.protect.noFence && errors.Is(err, cicadaplatform.ErrExists) && strings.Contains(name, "/log/") {
		old, getErr := w.memory.Backend().Get(ctx, name)
		if getErr != nil {
			return old, getErr
		}
		return b.Update(ctx, name, old.Version(), value)
	}
	return obj, err
}

// through makes a process's call to the outside. A process that dies during the
// call does not get the answer.
func through[T any](ctx context.Context, p *process, call func() (T, error)) (T, error) {
	var none T
	if err := p.enter(ctx); err != nil {
		return none, fmt.Errorf("%w: %w", cicadaplatform.ErrUnavailable, err)
	}
	result, err := call()
	if err := p.enter(ctx); err != nil {
		return none, fmt.Errorf("%w: %w", cicadaplatform.ErrInDoubt, err)
	}
	return result, err
}

type names struct{}

// EntryNames returns the names of the entries.
func (names) EntryNames() []string {
	var all []string
	for i := range entries {
		all = append(all, fmt.Sprintf("entry-%d", i))
	}
	return all
}

func (w *world) newEntry(i int) *entry {
	e := &entry{name: fmt.Sprintf("entry-%d", i)}
	opts := []cicadaplatform.ClientOption{cicadaplatform.WithWriteRate(10000), cicadaplatform.WithDeadline(500 * time.Millisecond)}
	if w.protect.noReadBack {
		opts = append(opts, cicadaplatform.WithoutReadBack())
	}
	store := cicadaplatform.NewClient(w.backend(&e.process), opts...)
	e.dispatcher = cicadadispatch.New(w, w.open(e), cicadadispatch.WithAttemptPrefix(fmt.Sprintf("%s-%x", e.name, w.nonce())),
		cicadadispatch.WithRandom(w.intn), cicadadispatch.WithoutShedding(),
		cicadadispatch.WithSuspects(&cicadasuspect.Table{},
			func(fingerprint uint64, endpoint string) {
				w.tellOthers(e, func(t *cicadasuspect.Table) { t.Crashed(fingerprint, endpoint, time.Now()) })
			},
			func(fingerprint uint64) {
				w.tellOthers(e, func(t *cicadasuspect.Table) { t.Answered(fingerprint) })
			}))
	fleet := cicadafleet.New(cicadamember.Member{Name: e.name, DataCentre: "dc"}, store, cicadaconfig.NewStore(store, w.nonce), cicadawire.NewPool())
	fleet.Config().Offer(w.config)
	files := cicadafile.New(store, w.nonce)
	e.manager = cicadashard.New(cicadashard.Config{
		Name: e.name, Address: e.name, Shards: shards, FlushInterval: 200 * time.Millisecond, ClaimInterval: 5 * time.Millisecond, MaxRunningItems: 16,
	}, cicadashard.Deps{
		Store: store, Files: files, Config: func() *cicadaconfig.Snapshot { return w.config }, Dispatcher: e.dispatcher, Peers: names{},
		Dial: func(address string) cicadawire.DRPCEntryClient { return &peerClient{w: w, from: e, to: address} },
		QueryAttempt: func(ctx context.Context, group, customer, key string) (*cicadawire.AttemptReply, error) {
			return w.ask(ctx, e, group, customer, key)
		},
		Nonce: w.nonce, Log: hclog.NewNullLogger(), Scope: tally.NoopScope,
	})
	front := cicadafront.New(cicadafront.Deps{
		Name: e.name, Fleet: fleet, Dispatcher: e.dispatcher, Files: files, Shards: e.manager, Store: store, Scope: tally.NoopScope,
		Limiter:        cicadaquota.New(e.name, names{}, nil),
		OperatorByHash: func(string) (string, bool) { return "", false }, MaxUpload: 1 << 20, Log: hclog.NewNullLogger(),
	})
	e.front = front.Router()
	return e
}

// tellOthers passes a report of a suspect to the other entries.
func (w *world) tellOthers(from *entry, tell func(*cicadasuspect.Table)) {
	for i := range entries {
		if e := w.entry(i); e != from {
			sleep(w.ctx, time.Millisecond)
			tell(e.dispatcher.Suspects())
		}
	}
}

// entry returns the present incarnation of an entry.
func (w *world) entry(i int) *entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries[i]
}

func (w *world) entryAt(address string) *entry {
	for i := range entries {
		if e := w.entry(i); e.name == address {
			return e
		}
	}
	return nil
}

// killEntry kills an entry and starts it anew after a while.
func (w *world) killEntry(i int) {
	old := w.entry(i)
	if !old.kill() {
		return
	}
	w.tasks.Go(old.manager.Close)
	w.sleep(time.Duration(w.intn(8000)) * time.Millisecond)
	fresh := w.newEntry(i)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.entries[i] = fresh
}

func (w *world) newEndpoint(name, group string) *endpoint {
	e := &endpoint{name: name, group: group, died: make(chan struct{})}
	e.ctx, e.cancel = context.WithCancel(w.ctx)
	engine := &cicadaengine.Engine{
		Run: func(ctx context.Context, call *cicadawire.Call, emit func(cicadaengine.Chunk) error) (cicadaengine.Result, error) {
			return w.runEngine(ctx, e, call, emit)
		},
		Healthy: func(context.Context) bool { return true },
		Resumes: true,
	}
	e.gate = cicadagate.New(name, engine, cicadagate.WithPolicy(cicadaadmit.Policy{Slots: 4}))
	e.view = cicadafleet.NewEndpoint(cicadaplatform.VM{Name: name, Address: name, Group: group}, true)
	e.view.UpdateLoad(e.gate.Load())
	w.tasks.Go(func() { w.heartbeat(e) })
	return e
}

// heartbeat keeps the entries' view of an endpoint fresh.
func (w *world) heartbeat(e *endpoint) {
	for e.ctx.Err() == nil {
		if e.enter(e.ctx) != nil {
			e.view.MarkDisconnected()
			return
		}
		e.view.UpdateLoad(e.gate.Load())
		sleep(e.ctx, 500*time.Millisecond)
	}
}

func (w *world) endpointsOf(group string) []*endpoint {
	w.mu.Lock()
	defer w.mu.Unlock()
	var found []*endpoint
	for _, e := range w.endpoints {
		if e.group == group {
			found = append(found, e)
		}
	}
	return found
}

// killEndpoint loses a VM and brings another of the same name up after a while.
func (w *world) killEndpoint(i int) {
	w.mu.Lock()
	old := w.endpoints[i]
	w.mu.Unlock()
	if !old.kill() {
		return
	}
	old.cancel()
	old.view.MarkDisconnected()
	w.sleep(time.Duration(w.intn(4000)) * time.Millisecond)
	fresh := w.newEndpoint(old.name, old.group)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.endpoints[i] = fresh
}

// Group returns the endpoints of a group, for the dispatchers.
func (w *world) Group(name string) (*cicadafleet.Group, bool) {
	var views []*cicadafleet.Endpoint
	for _, e := range w.endpointsOf(name) {
		views = append(views, e.view)
	}
	return cicadafleet.NewGroup(name, views...), true
}

// crash makes an endpoint's engine die with all that it runs, and come back.
func (w *world) crash(e *endpoint) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crashes++
	close(e.died)
	e.died = make(chan struct{})
}

// runEngine is an engine: it takes a while, and counts what it has run.
func (w *world) runEngine(ctx context.Context, e *endpoint, call *cicadawire.Call, emit func(cicadaengine.Chunk) error) (cicadaengine.Result, error) {
	if strings.Contains(string(call.GetBody()), `"crash"`) {
		w.crash(e)
		return cicadaengine.Result{}, cicadaengine.ErrDied
	}
	w.mu.Lock()
	died := e.died
	w.mu.Unlock()
	timer := time.NewTimer(time.Duration(1+w.intn(300)) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-died:
		return cicadaengine.Result{}, cicadaengine.ErrDied
	case <-ctx.Done():
		return cicadaengine.Result{}, context.Cause(ctx)
	}
	if e.enter(ctx) != nil {
		return cicadaengine.Result{}, cicadaengine.ErrDied
	}
	w.mu.Lock()
	w.runs[string(call.GetBody())]++
	n := w.runs[string(call.GetBody())]
	w.mu.Unlock()
	if call.GetService() != "" {
		if err := emit(cicadaengine.Chunk{Head: true, Status: http.StatusCreated}); err != nil {
			return cicadaengine.Result{}, err
		}
		return cicadaengine.Result{Finish: "stop"}, emit(cicadaengine.Chunk{Data: fmt.Appendf(nil, `{"run":%d}`, n)})
	}
	for range 3 {
		if err := emit(cicadaengine.Chunk{Data: []byte("word ")}); err != nil {
			return cicadaengine.Result{}, err
		}
	}
	return cicadaengine.Result{Finish: "stop", OutputTokens: 3}, nil
}

// open carries attempts from an entry to an endpoint's gate over a network that
// may cut the stream at any frame.
func (w *world) open(from *entry) cicadadispatch.OpenFunc {
	return func(ctx context.Context, view *cicadafleet.Endpoint, call *cicadawire.Call) (func() (*cicadawire.Frame, error), error) {
		if err := from.enter(ctx); err != nil {
			return nil, err
		}
		to := w.endpointNamed(view)
		if to == nil || to.enter(ctx) != nil {
			return nil, &cicadawire.DialError{}
		}
		frames := make(chan *cicadawire.Frame)
		streamCtx, cut := context.WithCancel(ctx)
		w.tasks.Go(func() {
			defer close(frames)
			// The agent outlives the entry's stream, but not its own VM.
			runCtx, stop := context.WithCancel(streamCtx)
			defer stop()
			defer context.AfterFunc(to.ctx, stop)()
			_ = to.gate.Run(runCtx, call, func(f *cicadawire.Frame) error {
				if w.chance(w.currentFaults().cut) {
					cut()
				}
				if to.enter(streamCtx) != nil || from.enter(streamCtx) != nil {
					return errCut
				}
				select {
				case frames <- f:
					return nil
				case <-streamCtx.Done():
					return errCut
				}
			})
		})
		return func() (*cicadawire.Frame, error) {
			select {
			case f, ok := <-frames:
				if !ok {
					cut()
					return nil, io.EOF
				}
				return f, nil
			case <-streamCtx.Done():
				cut()
				return nil, errCut
			case <-to.ctx.Done():
				cut()
				return nil, errCut
			}
		}, nil
	}
}

func (w *world) endpointNamed(view *cicadafleet.Endpoint) *endpoint {
	for _, e := range w.endpointsOf(view.Group()) {
		if e.view == view {
			return e
		}
	}
	return nil
}

func (w *world) ask(ctx context.Context, from *entry, group, customer, key string) (*cicadawire.AttemptReply, error) {
	for _, e := range w.endpointsOf(group) {
		if err := from.enter(ctx); err != nil {
			return nil, err
		}
		if err := e.enter(ctx); err != nil {
			return nil, err
		}
		reply := e.gate.Attempts(&cicadawire.AttemptQuery{Customer: customer, Key: key})
		if reply.GetState() != cicadawire.AttemptState_UNKNOWN {
			return reply, nil
		}
	}
	return &cicadawire.AttemptReply{}, nil
}

// peerClient is an entry's client of another entry.
type peerClient struct {
	cicadawire.DRPCEntryClient
	w    *world
	from *entry
	to   string
}

func toPeer[T any](ctx context.Context, c *peerClient, call func(*entry) T) (T, error) {
	var none T
	peer := c.w.entryAt(c.to)
	if peer == nil || c.from.enter(ctx) != nil || peer.enter(ctx) != nil {
		return none, errCut
	}
	sleep(ctx, time.Millisecond)
	reply := call(peer)
	if c.w.chance(c.w.currentFaults().cut) || peer.enter(ctx) != nil || c.from.enter(ctx) != nil {
		return none, errCut
	}
	return reply, nil
}

// Job passes a job operation.
func (c *peerClient) Job(ctx context.Context, in *cicadawire.JobRequest) (*cicadawire.JobReply, error) {
	return toPeer(ctx, c, func(e *entry) *cicadawire.JobReply { return e.manager.ServeJob(ctx, in) })
}

// Claim passes a claim.
func (c *peerClient) Claim(ctx context.Context, in *cicadawire.ClaimRequest) (*cicadawire.ClaimReply, error) {
	return toPeer(ctx, c, func(e *entry) *cicadawire.ClaimReply { return e.manager.ServeClaim(ctx, in) })
}

// Settle passes a settlement.
func (c *peerClient) Settle(ctx context.Context, in *cicadawire.SettleRequest) (*cicadawire.SettleReply, error) {
	return toPeer(ctx, c, func(e *entry) *cicadawire.SettleReply { return e.manager.ServeSettle(ctx, in) })
}

// call sends a caller's request to an entry. It reports false when the entry
// died before it answered.
func (w *world) call(i int, method, path, body string, headers ...string) (*httptest.ResponseRecorder, bool) {
	e := w.entry(i)
	if e.enter(w.ctx) != nil {
		return nil, false
	}
	req := httptest.NewRequestWithContext(w.ctx, method, path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer key")
	for k := 0; k+1 < len(headers); k += 2 {
		req.Header.Set(headers[k], headers[k+1])
	}
	rec := httptest.NewRecorder()
	whole := serve(e.front, rec, req)
	return rec, whole && e.enter(w.ctx) == nil
}

// serve reports false when the handler cut its answer, as a server would.
func serve(h http.Handler, rec *httptest.ResponseRecorder, req *http.Request) (whole bool) {
	defer func() {
		if recovered := recover(); recovered != nil && recovered != http.ErrAbortHandler { //nolint:errorlint // the very value
			panic(recovered)
		}
	}()
	h.ServeHTTP(rec, req)
	return true
}

// record adds an operation to the history.
func (w *world) record(client int, input any, call int64, output any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.history = append(w.history, porcupine.Operation{ClientId: client, Input: input, Call: call, Output: output, Return: w.clock.Add(1)})
}

// disturb makes trouble of all kinds for a time, and then lets it pass.
func (w *world) disturb(d time.Duration) {
	end := time.Now().Add(d)
	for time.Now().Before(end) && w.ctx.Err() == nil {
		w.sleep(time.Duration(w.intn(3000)) * time.Millisecond)
		switch w.intn(7) {
		case 0:
			w.tasks.Go(func() { w.killEntry(w.intn(entries)) })
		case 1:
			e := w.entry(w.intn(entries))
			e.pause()
			w.tasks.Go(func() {
				w.sleep(time.Duration(w.intn(15000)) * time.Millisecond)
				e.resume()
			})
		case 2:
			w.tasks.Go(func() { w.killEndpoint(w.intn(endpoints + 2)) })
		case 3:
			w.setFaults(faults{down: true})
		case 4:
			w.setFaults(faults{refused: 20, lost: 20, slow: 10})
		case 5:
			w.setFaults(faults{cut: 10, lost: 10, late: 10})
		case 6:
			w.setFaults(faults{})
		}
	}
	w.setFaults(faults{})
	for i := range entries {
		w.entry(i).resume()
	}
}

// close ends the world, so that nothing is left running.
func (w *world) close() {
	w.setFaults(faults{})
	for i := range entries {
		e := w.entry(i)
		e.resume()
		w.tasks.Go(e.manager.Close)
	}
	w.cancel()
	w.tasks.Wait()
	for i := range entries {
		w.entry(i).manager.Close()
	}
}

// check fails the test when a history is not linearizable.
func check(model porcupine.Model, history []porcupine.Operation) error {
	result := porcupine.CheckOperationsTimeout(model, history, checkLimit)
	if result != porcupine.Ok {
		return fmt.Errorf("history of %d operations: %s%s", len(history), result, describe(model, history))
	}
	return nil
}

// describe lists the operations of the parts of a history that are not
// linearizable.
func describe(model porcupine.Model, history []porcupine.Operation) string {
	var text strings.Builder
	for _, part := range model.Partition(history) {
		if porcupine.CheckOperations(model, part) {
			continue
		}
		for _, op := range part {
			fmt.Fprintf(&text, "\n  client %d, %d to %d: %+v: %+v", op.ClientId, op.Call, op.Return, op.Input, op.Output)
		}
	}
	return text.String()
}
