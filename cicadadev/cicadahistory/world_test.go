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
	seedCount = flag.Int("seeds", 200, "number of seeds for each history")
	firstSeed = flag.Int("first", 1, "first seed")
)

// errConnectionLost is returned by a call whose process was killed or whose
// connection was lost.
var errConnectionLost = errors.New("connection lost")

const (
	checkTimeout  = time.Minute
	numShards     = 2
	numSeedGroups = 6
	numEntries    = 3
	numEndpoints  = 3
	recoveryTime  = 150 * time.Second
	historyModel  = "assistant"
)

// forEachSeed runs a history in virtual time for each seed, in numSeedGroups
// parallel subtests.
func forEachSeed(t *testing.T, run func(t *testing.T, seed uint64)) {
	t.Logf("seeds %d to %d", *firstSeed, *firstSeed+*seedCount-1)
	for group := range numSeedGroups {
		t.Run(fmt.Sprint("group-", group), func(t *testing.T) {
			t.Parallel()
			for i := group; i < *seedCount && !t.Failed(); i += numSeedGroups {
				synctest.Test(t, func(t *testing.T) { run(t, uint64(*firstSeed+i)) })
			}
		})
	}
}

// A process can be paused and killed. The simulation calls awaitRunning before and
// after each call between the process and another process or the store.
type process struct {
	mu      sync.Mutex
	killed  bool
	resumed chan struct{}
}

// awaitRunning blocks while the process is paused. It fails if the process was
// killed or ctx is done.
func (p *process) awaitRunning(ctx context.Context) error {
	for {
		p.mu.Lock()
		killed, resumed := p.killed, p.resumed
		p.mu.Unlock()
		if killed {
			return errConnectionLost
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

// kill kills the process. It reports false if it was killed before.
func (p *process) kill() bool {
	p.mu.Lock()
	wasRunning := !p.killed
	p.killed = true
	p.mu.Unlock()
	p.resume()
	return wasRunning
}

// An entry is one incarnation of an entry process.
type entry struct {
	process
	name       string
	manager    *cicadashard.Manager
	dispatcher *cicadadispatch.Dispatcher
	front      http.Handler
}

// An endpoint is one incarnation of an agent and its engine.
type endpoint struct {
	process
	name    string
	group   string
	gate    *cicadagate.Gate
	view    *cicadafleet.Endpoint
	crashed chan struct{}
	ctx     context.Context
	cancel  context.CancelFunc
}

// A simulation is a deployment in virtual time, with a simulated network and
// fault injection.
type simulation struct {
	t            *testing.T
	seed         uint64
	memory       *cicadaplatform.Memory
	config       *cicadaconfig.Snapshot
	disabled     disabledSafeguards
	ctx          context.Context
	cancel       context.CancelFunc
	tasks        conc.WaitGroup
	logicalClock atomic.Int64
	mu           sync.Mutex
	random       *rand.Rand
	entries      [numEntries]*entry
	endpoints    []*endpoint
	faults       faults
	runs         map[string]int
	crashes      int
	history      []porcupine.Operation
}

// disabledSafeguards names the safeguards that a run disables. Some tests disable
// one at a time, to show that the checkers detect the resulting violation. The fields
// describe what holds while a safeguard is enabled.
type disabledSafeguards struct {
	fence    bool // a log segment is never overwritten
	readBack bool // the client reads the object back if the reply to a write was lost
	claim    bool // an order has an idempotency key, which is claimed before the order runs
	dedupe   bool // submitting a job again returns the existing job
}

// faults holds the failures to inject. The numbers are probabilities per call,
// in percent.
type faults struct {
	storeDown      bool
	refuse         int
	loseReply      int
	delay          int
	loseConnection int
	delayWrite     int
	// loseCreateReply applies to Create only, in addition to loseReply.
	loseCreateReply int
}

const simulationConfig = `
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

// newStoreSimulation returns a simulation that has only a store.
func newStoreSimulation(t *testing.T, seed uint64, disabled disabledSafeguards) *simulation {
	ctx, cancel := context.WithCancel(context.Background())
	sim := &simulation{
		t: t, seed: seed, memory: cicadaplatform.NewMemory(), disabled: disabled, ctx: ctx, cancel: cancel,
		random: rand.New(rand.NewPCG(seed, 0)), runs: make(map[string]int),
	}
	sim.memory.SetFault(sim.storeFault)
	return sim
}

func newSimulation(t *testing.T, seed uint64, disabled disabledSafeguards) *simulation {
	sim := newStoreSimulation(t, seed, disabled)
	text := strings.ReplaceAll(simulationConfig, "KEY-HASH", cicadadeployment.HashKey("key"))
	resources, err := cicadaconfig.ParseResources("simulation.yaml", []byte(text))
	assert.NilError(t, err)
	store := cicadaconfig.NewStore(cicadaplatform.NewClient(sim.memory.Backend()), sim.nonce)
	_, err = store.Apply(sim.ctx, cicadaconfig.Request{Operator: "test", Resources: resources})
	assert.NilError(t, err)
	sim.config, err = store.Load(sim.ctx)
	assert.NilError(t, err)
	for i := range numEndpoints {
		sim.endpoints = append(sim.endpoints, sim.newEndpoint(fmt.Sprintf("engine-%d", i), "assistants"))
	}
	sim.endpoints = append(sim.endpoints, sim.newEndpoint("ledger-0", "ledgers"), sim.newEndpoint("ledger-1", "ledgers"))
	for i := range sim.entries {
		sim.entries[i] = sim.newEntry(i)
	}
	return sim
}

func (sim *simulation) intn(n int) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.random.IntN(n)
}

func (sim *simulation) percentChance(percent int) bool { return sim.intn(100) < percent }

func (sim *simulation) nonce() uint64 {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.random.Uint64()
}

func (sim *simulation) sleep(d time.Duration) { sleep(sim.ctx, d) }

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (sim *simulation) currentFaults() faults {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.faults
}

func (sim *simulation) setFaults(f faults) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.faults = f
}

// storeFault delays and refuses calls to the store, and loses their replies, according
// to the current faults.
func (sim *simulation) storeFault(ctx context.Context, call, _ string) (before, after error) {
	f := sim.currentFaults()
	delay := time.Duration(1+sim.intn(5)) * time.Millisecond
	if sim.percentChance(f.delay) {
		delay = time.Duration(sim.intn(4000)) * time.Millisecond
	}
	if call != "watch" {
		sleep(ctx, delay)
	}
	if f.storeDown || sim.percentChance(f.refuse) {
		return cicadaplatform.ErrUnavailable, nil
	}
	if sim.percentChance(f.loseReply) || call == "create" && sim.percentChance(f.loseCreateReply) {
		return nil, cicadaplatform.ErrInDoubt
	}
	return nil, nil
}

// backend returns the store as seen by one process.
func (sim *simulation) backend(p *process) cicadaplatform.Backend {
	b := sim.memory.Backend()
	return cicadaplatform.Backend{
		Get: func(ctx context.Context, name string) (cicadaplatform.Object, error) {
			return callFrom(ctx, p, func() (cicadaplatform.Object, error) { return b.Get(ctx, name) })
		},
		List: func(ctx context.Context, prefix, after string, limit int) (cicadaplatform.Page, error) {
			return callFrom(ctx, p, func() (cicadaplatform.Page, error) { return b.List(ctx, prefix, after, limit) })
		},
		Create: func(ctx context.Context, name string, value []byte) (cicadaplatform.Object, error) {
			return callFrom(ctx, p, func() (cicadaplatform.Object, error) {
				return sim.maybeDelayWrite(ctx, func(ctx context.Context) (cicadaplatform.Object, error) { return sim.create(ctx, b, name, value) })
			})
		},
		Update: func(ctx context.Context, name string, version int64, value []byte) (cicadaplatform.Object, error) {
			return callFrom(ctx, p, func() (cicadaplatform.Object, error) {
				return sim.maybeDelayWrite(ctx, func(ctx context.Context) (cicadaplatform.Object, error) { return b.Update(ctx, name, version, value) })
			})
		},
		Delete: func(ctx context.Context, name string, version int64) error {
			_, err := callFrom(ctx, p, func() (struct{}, error) { return struct{}{}, b.Delete(ctx, name, version) })
			return err
		},
		Watch: func(ctx context.Context, prefix string, from int64) (cicadaplatform.Page, error) {
			return callFrom(ctx, p, func() (cicadaplatform.Page, error) { return b.Watch(ctx, prefix, from) })
		},
		Changes: func(ctx context.Context, prefix string, from int64) (cicadaplatform.Page, error) {
			return callFrom(ctx, p, func() (cicadaplatform.Page, error) { return b.Changes(ctx, prefix, from) })
		},
		VMs: b.VMs,
	}
}

// maybeDelayWrite applies a write immediately, or lets its caller time out and
// applies it up to 10 s later, when the writer may have made other writes, lost
// its lease or been restarted.
func (sim *simulation) maybeDelayWrite(ctx context.Context, write func(context.Context) (cicadaplatform.Object, error)) (cicadaplatform.Object, error) {
	if !sim.percentChance(sim.currentFaults().delayWrite) {
		return write(ctx)
	}
	sim.tasks.Go(func() {
		sim.sleep(time.Duration(sim.intn(10000)) * time.Millisecond)
		_, _ = write(sim.ctx)
	})
	<-ctx.Done()
	return cicadaplatform.Object{}, cicadaplatform.ErrInDoubt
}

// create is the store's Create. If the fence is disabled, it overwrites existing
// log segments.
func (sim *simulation) create(ctx context.Context, b cicadaplatform.Backend, name string, value []byte) (cicadaplatform.Object, error) {
	obj, err := b.Create(ctx, name, value)
	if sim.disabled.fence && errors.Is(err, cicadaplatform.ErrExists) && strings.Contains(name, "/log/") {
		old, getErr := sim.memory.Backend().Get(ctx, name)
		if getErr != nil {
			return old, getErr
		}
		return b.Update(ctx, name, old.Version(), value)
	}
	return obj, err
}

// callFrom calls the store on behalf of a process. If the process is killed
// during the call, the result is lost.
func callFrom[T any](ctx context.Context, p *process, call func() (T, error)) (T, error) {
	var none T
	if err := p.awaitRunning(ctx); err != nil {
		return none, fmt.Errorf("%w: %w", cicadaplatform.ErrUnavailable, err)
	}
	result, err := call()
	if err := p.awaitRunning(ctx); err != nil {
		return none, fmt.Errorf("%w: %w", cicadaplatform.ErrInDoubt, err)
	}
	return result, err
}

type entryNames struct{}

// EntryNames returns the names of the entries.
func (entryNames) EntryNames() []string {
	var all []string
	for i := range numEntries {
		all = append(all, fmt.Sprintf("entry-%d", i))
	}
	return all
}

func (sim *simulation) newEntry(i int) *entry {
	e := &entry{name: fmt.Sprintf("entry-%d", i)}
	opts := []cicadaplatform.ClientOption{cicadaplatform.WithWriteRate(10000), cicadaplatform.WithDeadline(500 * time.Millisecond)}
	if sim.disabled.readBack {
		opts = append(opts, cicadaplatform.WithoutReadBack())
	}
	store := cicadaplatform.NewClient(sim.backend(&e.process), opts...)
	e.dispatcher = cicadadispatch.New(sim, sim.openFunc(e), cicadadispatch.WithAttemptPrefix(fmt.Sprintf("%s-%x", e.name, sim.nonce())),
		cicadadispatch.WithRandom(sim.intn), cicadadispatch.WithoutShedding(),
		cicadadispatch.WithSuspects(&cicadasuspect.Table{}, cicadasuspect.NewPartTable(e.name), cicadadispatch.Notices{
			Crash: func(c cicadadispatch.Crash) {
				sim.updatePeerSuspects(e, func(d *cicadadispatch.Dispatcher) { d.RecordCrash(c) })
			},
			Success: func(fingerprint uint64) {
				sim.updatePeerSuspects(e, func(d *cicadadispatch.Dispatcher) { d.Suspects().RecordSuccess(fingerprint) })
			},
			SoundPrefix: func(prefix cicadasuspect.SoundPart) {
				sim.updatePeerSuspects(e, func(d *cicadadispatch.Dispatcher) { d.Prefixes().RecordSound(prefix, time.Now()) })
			},
			Quarantine: func(q cicadasuspect.PartQuarantine) {
				sim.updatePeerSuspects(e, func(d *cicadadispatch.Dispatcher) { d.Prefixes().Adopt(q, time.Now()) })
			},
		}))
	fleet := cicadafleet.New(cicadamember.Member{Name: e.name, DataCentre: "dc"}, store, cicadaconfig.NewStore(store, sim.nonce), cicadawire.NewPool())
	fleet.Config().ReplaceIfNewer(sim.config)
	files := cicadafile.New(store, sim.nonce)
	e.manager = cicadashard.New(cicadashard.Config{
		Name: e.name, Address: e.name, Shards: numShards, FlushInterval: 200 * time.Millisecond, ClaimInterval: 5 * time.Millisecond, MaxRunningItems: 16,
	}, cicadashard.Deps{
		Store: store, Files: files, Config: func() *cicadaconfig.Snapshot { return sim.config }, Dispatcher: e.dispatcher, Peers: entryNames{},
		Dial: func(address string) cicadawire.DRPCEntryClient { return &peerClient{sim: sim, from: e, to: address} },
		QueryAttempt: func(ctx context.Context, group, customer, key string) (*cicadawire.AttemptReply, error) {
			return sim.queryAttempt(ctx, e, group, customer, key)
		},
		Nonce: sim.nonce, Log: hclog.NewNullLogger(), Scope: tally.NoopScope,
	})
	front := cicadafront.New(cicadafront.Deps{
		Name: e.name, Fleet: fleet, Dispatcher: e.dispatcher, Files: files, Shards: e.manager, Store: store, Scope: tally.NoopScope,
		Limiter:        cicadaquota.New(e.name, entryNames{}, nil),
		OperatorByHash: func(string) (string, bool) { return "", false }, MaxUpload: 1 << 20, Log: hclog.NewNullLogger(),
	})
	e.front = front.Router()
	return e
}

// updatePeerSuspects applies a suspect report to the tables of the other entries.
func (sim *simulation) updatePeerSuspects(from *entry, update func(*cicadadispatch.Dispatcher)) {
	for i := range numEntries {
		if e := sim.entry(i); e != from {
			sleep(sim.ctx, time.Millisecond)
			update(e.dispatcher)
		}
	}
}

// entry returns the current incarnation of an entry.
func (sim *simulation) entry(i int) *entry {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.entries[i]
}

func (sim *simulation) entryAt(address string) *entry {
	for i := range numEntries {
		if e := sim.entry(i); e.name == address {
			return e
		}
	}
	return nil
}

// restartEntry kills an entry and starts a new incarnation up to 8 s later.
func (sim *simulation) restartEntry(i int) {
	old := sim.entry(i)
	if !old.kill() {
		return
	}
	sim.tasks.Go(old.manager.Close)
	sim.sleep(time.Duration(sim.intn(8000)) * time.Millisecond)
	replacement := sim.newEntry(i)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.entries[i] = replacement
}

func (sim *simulation) newEndpoint(name, group string) *endpoint {
	e := &endpoint{name: name, group: group, crashed: make(chan struct{})}
	e.ctx, e.cancel = context.WithCancel(sim.ctx)
	engine := &cicadaengine.Engine{
		Run: func(ctx context.Context, call *cicadawire.Call, emit func(cicadaengine.Chunk) error) (cicadaengine.Result, error) {
			return sim.runEngine(ctx, e, call, emit)
		},
		Healthy:   func(context.Context) bool { return true },
		CanResume: true,
	}
	e.gate = cicadagate.New(name, engine, cicadagate.WithPolicy(cicadaadmit.Policy{Slots: 4}))
	e.view = cicadafleet.NewEndpoint(cicadaplatform.VM{Name: name, Address: name, Group: group}, true)
	e.view.UpdateLoad(e.gate.Load())
	sim.tasks.Go(func() { sim.heartbeat(e) })
	return e
}

// heartbeat updates the entries' view of an endpoint's load periodically.
func (sim *simulation) heartbeat(e *endpoint) {
	for e.ctx.Err() == nil {
		if e.awaitRunning(e.ctx) != nil {
			e.view.MarkDisconnected()
			return
		}
		e.view.UpdateLoad(e.gate.Load())
		sleep(e.ctx, 500*time.Millisecond)
	}
}

func (sim *simulation) endpointsOf(group string) []*endpoint {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	var found []*endpoint
	for _, e := range sim.endpoints {
		if e.group == group {
			found = append(found, e)
		}
	}
	return found
}

// replaceEndpoint kills an endpoint's VM and starts another of the same name up
// to 4 s later.
func (sim *simulation) replaceEndpoint(i int) {
	sim.mu.Lock()
	old := sim.endpoints[i]
	sim.mu.Unlock()
	if !old.kill() {
		return
	}
	old.cancel()
	old.view.MarkDisconnected()
	sim.sleep(time.Duration(sim.intn(4000)) * time.Millisecond)
	replacement := sim.newEndpoint(old.name, old.group)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.endpoints[i] = replacement
}

// Group returns the endpoints of a group. Dispatchers call it.
func (sim *simulation) Group(name string) (*cicadafleet.Group, bool) {
	var views []*cicadafleet.Endpoint
	for _, e := range sim.endpointsOf(name) {
		views = append(views, e.view)
	}
	return cicadafleet.NewGroup(name, views...), true
}

// crashEngine fails every call that an endpoint's engine is running. The engine
// accepts new calls immediately.
func (sim *simulation) crashEngine(e *endpoint) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.crashes++
	close(e.crashed)
	e.crashed = make(chan struct{})
}

// runEngine simulates an engine: it runs a call for up to 300 ms and counts the
// runs of each body.
func (sim *simulation) runEngine(ctx context.Context, e *endpoint, call *cicadawire.Call, emit func(cicadaengine.Chunk) error) (cicadaengine.Result, error) {
	body := string(call.GetBody())
	if strings.Contains(body, crashingMidwayPrefix) {
		if err := emit(cicadaengine.Chunk{Data: []byte("word "), Software: cicadaengine.Software{Proved: true}}); err != nil {
			return cicadaengine.Result{}, err
		}
	}
	if strings.Contains(body, `"crash"`) || strings.Contains(body, crashingPrefix) || strings.Contains(body, crashingMidwayPrefix) {
		sim.crashEngine(e)
		return cicadaengine.Result{}, cicadaengine.ErrCrashed
	}
	sim.mu.Lock()
	crashed := e.crashed
	sim.mu.Unlock()
	timer := time.NewTimer(time.Duration(1+sim.intn(300)) * time.Millisecond)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-crashed:
		return cicadaengine.Result{}, cicadaengine.ErrCrashed
	case <-ctx.Done():
		return cicadaengine.Result{}, context.Cause(ctx)
	}
	if e.awaitRunning(ctx) != nil {
		return cicadaengine.Result{}, cicadaengine.ErrCrashed
	}
	sim.mu.Lock()
	sim.runs[string(call.GetBody())]++
	n := sim.runs[string(call.GetBody())]
	sim.mu.Unlock()
	if call.GetService() != "" {
		if err := emit(cicadaengine.Chunk{Head: true, Status: http.StatusCreated}); err != nil {
			return cicadaengine.Result{}, err
		}
		return cicadaengine.Result{FinishReason: "stop"}, emit(cicadaengine.Chunk{Data: fmt.Appendf(nil, `{"run":%d}`, n)})
	}
	for range 3 {
		if err := emit(cicadaengine.Chunk{Data: []byte("word "), Software: cicadaengine.Software{Proved: true}}); err != nil {
			return cicadaengine.Result{}, err
		}
	}
	return cicadaengine.Result{FinishReason: "stop", OutputTokens: 3}, nil
}

// openFunc returns a function that opens attempts from an entry at an endpoint's
// gate, over a network that may lose the connection at any frame.
func (sim *simulation) openFunc(from *entry) cicadadispatch.OpenFunc {
	return func(ctx context.Context, view *cicadafleet.Endpoint, call *cicadawire.Call) (func() (*cicadawire.Frame, error), error) {
		if err := from.awaitRunning(ctx); err != nil {
			return nil, err
		}
		to := sim.endpointNamed(view)
		if to == nil || to.awaitRunning(ctx) != nil {
			return nil, &cicadawire.DialError{}
		}
		frames := make(chan *cicadawire.Frame)
		streamCtx, disconnect := context.WithCancel(ctx)
		sim.tasks.Go(func() {
			defer close(frames)
			// Losing the agent's VM also cancels the run.
			runCtx, stop := context.WithCancel(streamCtx)
			defer stop()
			defer context.AfterFunc(to.ctx, stop)()
			_ = to.gate.Run(runCtx, call, func(f *cicadawire.Frame) error {
				if sim.percentChance(sim.currentFaults().loseConnection) {
					disconnect()
				}
				if to.awaitRunning(streamCtx) != nil || from.awaitRunning(streamCtx) != nil {
					return errConnectionLost
				}
				select {
				case frames <- f:
					return nil
				case <-streamCtx.Done():
					return errConnectionLost
				}
			})
		})
		return func() (*cicadawire.Frame, error) {
			select {
			case f, ok := <-frames:
				if !ok {
					disconnect()
					return nil, io.EOF
				}
				return f, nil
			case <-streamCtx.Done():
				disconnect()
				return nil, errConnectionLost
			case <-to.ctx.Done():
				disconnect()
				return nil, errConnectionLost
			}
		}, nil
	}
}

func (sim *simulation) endpointNamed(view *cicadafleet.Endpoint) *endpoint {
	for _, e := range sim.endpointsOf(view.Group()) {
		if e.view == view {
			return e
		}
	}
	return nil
}

func (sim *simulation) queryAttempt(ctx context.Context, from *entry, group, customer, key string) (*cicadawire.AttemptReply, error) {
	for _, e := range sim.endpointsOf(group) {
		if err := from.awaitRunning(ctx); err != nil {
			return nil, err
		}
		if err := e.awaitRunning(ctx); err != nil {
			return nil, err
		}
		reply := e.gate.Attempts(&cicadawire.AttemptQuery{Customer: customer, Key: key})
		if reply.GetState() != cicadawire.AttemptState_UNKNOWN {
			return reply, nil
		}
	}
	return &cicadawire.AttemptReply{}, nil
}

// peerClient calls one entry from another.
type peerClient struct {
	cicadawire.DRPCEntryClient
	sim  *simulation
	from *entry
	to   string
}

func callPeer[T any](ctx context.Context, c *peerClient, call func(*entry) T) (T, error) {
	var none T
	peer := c.sim.entryAt(c.to)
	if peer == nil || c.from.awaitRunning(ctx) != nil || peer.awaitRunning(ctx) != nil {
		return none, errConnectionLost
	}
	sleep(ctx, time.Millisecond)
	reply := call(peer)
	if c.sim.percentChance(c.sim.currentFaults().loseConnection) || peer.awaitRunning(ctx) != nil || c.from.awaitRunning(ctx) != nil {
		return none, errConnectionLost
	}
	return reply, nil
}

// Job forwards a job operation.
func (c *peerClient) Job(ctx context.Context, req *cicadawire.JobRequest) (*cicadawire.JobReply, error) {
	return callPeer(ctx, c, func(e *entry) *cicadawire.JobReply { return e.manager.ServeJob(ctx, req) })
}

// Claim forwards a claim.
func (c *peerClient) Claim(ctx context.Context, req *cicadawire.ClaimRequest) (*cicadawire.ClaimReply, error) {
	return callPeer(ctx, c, func(e *entry) *cicadawire.ClaimReply { return e.manager.ServeClaim(ctx, req) })
}

// Settle forwards a settlement.
func (c *peerClient) Settle(ctx context.Context, req *cicadawire.SettleRequest) (*cicadawire.SettleReply, error) {
	return callPeer(ctx, c, func(e *entry) *cicadawire.SettleReply { return e.manager.ServeSettle(ctx, req) })
}

// doRequest sends a caller's request to an entry. It reports false if the entry
// was killed before it responded.
func (sim *simulation) doRequest(i int, method, path, body string, headers ...string) (*httptest.ResponseRecorder, bool) {
	e := sim.entry(i)
	if e.awaitRunning(sim.ctx) != nil {
		return nil, false
	}
	req := httptest.NewRequestWithContext(sim.ctx, method, path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer key")
	for k := 0; k+1 < len(headers); k += 2 {
		req.Header.Set(headers[k], headers[k+1])
	}
	rec := httptest.NewRecorder()
	completed := serve(e.front, rec, req)
	return rec, completed && e.awaitRunning(sim.ctx) == nil
}

// serve runs the handler. It reports false if the handler aborted the response
// with http.ErrAbortHandler, which a server would turn into a closed connection.
func serve(h http.Handler, rec *httptest.ResponseRecorder, req *http.Request) (completed bool) {
	defer func() {
		if recovered := recover(); recovered != nil && recovered != http.ErrAbortHandler { //nolint:errorlint // net/http compares this value too
			panic(recovered)
		}
	}()
	h.ServeHTTP(rec, req)
	return true
}

// record adds a completed operation to the history.
func (sim *simulation) record(client int, input any, call int64, output any) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.history = append(sim.history, porcupine.Operation{ClientId: client, Input: input, Call: call, Output: output, Return: sim.logicalClock.Add(1)})
}

// injectFaults injects random faults for d, then clears them and resumes all
// entries.
func (sim *simulation) injectFaults(d time.Duration) {
	end := time.Now().Add(d)
	for time.Now().Before(end) && sim.ctx.Err() == nil {
		sim.sleep(time.Duration(sim.intn(3000)) * time.Millisecond)
		switch sim.intn(7) {
		case 0:
			sim.tasks.Go(func() { sim.restartEntry(sim.intn(numEntries)) })
		case 1:
			e := sim.entry(sim.intn(numEntries))
			e.pause()
			sim.tasks.Go(func() {
				sim.sleep(time.Duration(sim.intn(15000)) * time.Millisecond)
				e.resume()
			})
		case 2:
			sim.tasks.Go(func() { sim.replaceEndpoint(sim.intn(numEndpoints + 2)) })
		case 3:
			sim.setFaults(faults{storeDown: true})
		case 4:
			sim.setFaults(faults{refuse: 20, loseReply: 20, delay: 10})
		case 5:
			sim.setFaults(faults{loseConnection: 10, loseReply: 10, delayWrite: 10})
		case 6:
			sim.setFaults(faults{})
		}
	}
	sim.setFaults(faults{})
	for i := range numEntries {
		sim.entry(i).resume()
	}
}

// close stops everything in the simulation and waits for its goroutines.
func (sim *simulation) close() {
	sim.setFaults(faults{})
	for i := range numEntries {
		e := sim.entry(i)
		e.resume()
		sim.tasks.Go(e.manager.Close)
	}
	sim.cancel()
	sim.tasks.Wait()
	for i := range numEntries {
		sim.entry(i).manager.Close()
	}
}

// checkLinearizable returns an error if the history is not linearizable.
func checkLinearizable(model porcupine.Model, history []porcupine.Operation) error {
	result := porcupine.CheckOperationsTimeout(model, history, checkTimeout)
	if result != porcupine.Ok {
		return fmt.Errorf("history of %d operations: %s%s", len(history), result, describeViolations(model, history))
	}
	return nil
}

// describeViolations lists the operations of each partition of the history that
// is not linearizable.
func describeViolations(model porcupine.Model, history []porcupine.Operation) string {
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
