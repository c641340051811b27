// Package cicadadeployment runs a whole deployment in one process: stand-ins
// for the platform, the engines and a plain service, with real entries and
// agents that talk over loopback.
//
// # Usage
//
//	d, err := cicadadeployment.Start(ctx, cicadadeployment.WithEntries(3), cicadadeployment.WithEngines(4))
//	defer d.Close()
//	resp, err := http.Get(d.EntryURL(0) + "/v1/models")
//
// The demo configuration has the customer mallet-shop, whose key is CallerKey,
// and the operator demo, whose key is OperatorKey.
package cicadadeployment

import (
	"context"
	"crypto/sha256"
	_ "embed"
	"encoding/hex"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"

	"cicadalink.example/cicadaagent/cicadaendpoint"
	"cicadalink.example/cicadadev/cicadastandin"
	"cicadalink.example/cicadaentry/cicadafleet"
	"cicadalink.example/cicadaentry/cicadanode"
	"cicadalink.example/cicadakernel"
	"cicadalink.example/cicadakernel/cicadaconfig"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadasettings"
)

// Keys and names of the demo configuration.
const (
	CallerKey   = "demo-key"
	OperatorKey = "demo-operator"
	Customer    = "mallet-shop"
	Model       = "order-assistant"
	Service     = "order-ledger"
)

const (
	loopback      = "127.0.0.1:0"
	startLimit    = time.Minute
	startInterval = 20 * time.Millisecond
	headerLimit   = 5 * time.Second
)

//go:embed demo.yaml
var demoResources string

// A Deployment is a running deployment.
type Deployment struct {
	memory     *cicadaplatform.Memory
	ledger     *cicadastandin.Ledger
	engines    []*cicadastandin.Engine
	engineURLs []string
	entries    []*running[*cicadanode.Node]
	agents     []*running[*cicadaendpoint.Agent]
	base       string
	servers    []*http.Server
	tasks      conc.WaitGroup
	opts       options
}

// running is one process of the system, run as a task.
type running[T any] struct {
	part T
	stop context.CancelFunc
	done chan error
}

type options struct {
	entries   int
	engines   int
	ledgers   int
	logs      io.Writer
	logLevel  string
	tokenTime time.Duration
	listen    string
	resources string
	drain     time.Duration
}

// An Option changes a deployment before it starts.
type Option func(*options)

// WithEntries sets how many entries run.
func WithEntries(n int) Option { return func(o *options) { o.entries = n } }

// WithEngines sets how many engines run.
func WithEngines(n int) Option { return func(o *options) { o.engines = n } }

// WithLogs sets where logs go, and the level.
func WithLogs(w io.Writer, level string) Option {
	return func(o *options) { o.logs, o.logLevel = w, level }
}

// WithTokenTime sets the time between the engines' tokens.
func WithTokenTime(d time.Duration) Option { return func(o *options) { o.tokenTime = d } }

// WithListen sets the address of the first entry for callers.
func WithListen(address string) Option { return func(o *options) { o.listen = address } }

// HashKey returns the hash of a key, as settings and resources hold it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// Start starts a deployment and waits until it serves.
func Start(ctx context.Context, opts ...Option) (*Deployment, error) {
	d := &Deployment{
		memory: cicadaplatform.NewMemory(),
		opts: options{
			entries: 2, engines: 3, ledgers: 2, logs: io.Discard, logLevel: "error",
			tokenTime: 5 * time.Millisecond, listen: loopback, resources: demoResources, drain: 5 * time.Second,
		},
	}
	for _, opt := range opts {
		opt(&d.opts)
	}
	if err := d.start(ctx); err != nil {
		d.Close()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	base, err := d.serve(cicadaplatform.Handler(d.memory.Backend()))
	if err != nil {
		return merry.Errorf("start platform: %w", err)
	}
	d.base = base
	if err := d.applyDemo(ctx); err != nil {
		return merry.Errorf("apply demo configuration: %w", err)
	}
	d.ledger = cicadastandin.NewLedger()
	for i := range d.opts.engines {
		if err := d.startEngine(fmt.Sprintf("engine-%d", i+1)); err != nil {
			return merry.Errorf("start engine: %w", err)
		}
	}
	for i := range d.opts.ledgers {
		address, err := d.serve(d.ledger.Handler())
		if err != nil {
			return merry.Errorf("start service: %w", err)
		}
		if err := d.startAgent(fmt.Sprintf("ledger-%d", i+1), "ledgers", "plain", address); err != nil {
			return merry.Errorf("start agent: %w", err)
		}
	}
	for i := range d.opts.entries {
		if err := d.startEntry(fmt.Sprintf("entry-%d", i+1)); err != nil {
			return merry.Errorf("start entry: %w", err)
		}
	}
	return d.waitReady(ctx)
}

func (d *Deployment) applyDemo(ctx context.Context) error {
	text := strings.NewReplacer("CALLER-HASH", HashKey(CallerKey)).Replace(d.opts.resources)
	resources, err := cicadaconfig.ParseResources("demo.yaml", []byte(text))
	if err != nil {
		return err
	}
	store := cicadaconfig.NewStore(cicadaplatform.NewClient(d.memory.Backend()), rand.Uint64)
	_, err = store.Apply(ctx, cicadaconfig.Request{Operator: "demo", Reason: "demo configuration", Resources: resources})
	return err
}

func (d *Deployment) serve(h http.Handler) (string, error) {
	ln, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", merry.Errorf("listen: %w", err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerLimit}
	d.servers = append(d.servers, server)
	d.tasks.Go(func() { _ = server.Serve(ln) })
	return "http://" + ln.Addr().String(), nil
}

func (d *Deployment) startEngine(name string) error {
	engine := cicadastandin.NewEngine(cicadastandin.WithModels(Model), cicadastandin.WithTokenTime(d.opts.tokenTime))
	address, err := d.serve(engine.Handler())
	if err != nil {
		return err
	}
	d.engines = append(d.engines, engine)
	d.engineURLs = append(d.engineURLs, address)
	return d.startAgent(name, "assistants", "inference", address)
}

func (d *Deployment) process(name string) (*cicadakernel.Common, *cicadakernel.Process) {
	common := &cicadakernel.Common{Log: cicadakernel.LogSettings{Level: d.opts.logLevel, Format: "text"}}
	return common, cicadakernel.NewProcess(name, common, d.opts.logs)
}

func (d *Deployment) startAgent(name, group, adapter, engine string) error {
	common, process := d.process(name)
	cfg := &cicadaendpoint.Settings{
		Common: *common, Name: name, DataCentre: "dc-1", Group: group, Listen: loopback,
		Engine:     cicadaendpoint.EngineSettings{Adapter: adapter, Address: engine},
		Platform:   d.base,
		DrainLimit: cicadasettings.Duration(d.opts.drain),
	}
	agent, err := cicadaendpoint.New(cfg, process)
	if err != nil {
		return err
	}
	d.memory.SetVM(cicadaplatform.VM{
		Name: name, Role: cicadafleet.RoleEndpoint, DataCentre: "dc-1", Address: agent.Address(), Group: group, State: cicadaplatform.VMLive,
	})
	d.agents = append(d.agents, run(&d.tasks, agent, agent.Serve))
	return nil
}

func (d *Deployment) startEntry(name string) error {
	common, process := d.process(name)
	listen := loopback
	if len(d.entries) == 0 {
		listen = d.opts.listen
	}
	cfg := &cicadanode.Settings{
		Common: *common, Name: name, DataCentre: "dc-1", Listen: listen, PeerListen: loopback, Platform: d.base,
		Shards:        4,
		FlushInterval: cicadasettings.Duration(100 * time.Millisecond),
		ClaimInterval: cicadasettings.Duration(5 * time.Millisecond),
		ReadyDelay:    cicadasettings.Duration(time.Millisecond),
		DrainLimit:    cicadasettings.Duration(d.opts.drain),
		Operators:     []cicadanode.Operator{{Name: "demo", Key: HashKey(OperatorKey)}},
	}
	node, err := cicadanode.New(cfg, process)
	if err != nil {
		return err
	}
	d.memory.SetVM(cicadaplatform.VM{
		Name: name, Role: cicadafleet.RoleEntry, DataCentre: "dc-1", Address: node.PeerAddress(), State: cicadaplatform.VMLive,
	})
	d.entries = append(d.entries, run(&d.tasks, node, node.Serve))
	return nil
}

func run[T any](tasks *conc.WaitGroup, part T, serve func(context.Context) error) *running[T] {
	ctx, stop := context.WithCancel(context.Background())
	r := &running[T]{part: part, stop: stop, done: make(chan error, 1)}
	tasks.Go(func() { r.done <- serve(ctx) })
	return r
}

// waitReady waits until each entry is ready, sees every endpoint live, and the
// shards have owners.
func (d *Deployment) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for {
		if d.isReady() {
			return nil
		}
		timer := time.NewTimer(startInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return merry.Errorf("deployment is not ready: %w", ctx.Err())
		}
	}
}

func (d *Deployment) isReady() bool {
	for i, entry := range d.entries {
		live := 0
		for _, group := range entry.part.Fleet().Table().Groups() {
			for _, e := range group.Endpoints() {
				if e.State() == "live" && e.Load().GetRevision() > 0 {
					live++
				}
			}
		}
		if live < len(d.agents) || !isUp(d.EntryURL(i)+"/readyz") {
			return false
		}
	}
	return true
}

func isUp(url string) bool {
	res, err := http.Get(url) //nolint:gosec // loopback
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// EntryURL returns the base URL of an entry for callers and operators.
func (d *Deployment) EntryURL(i int) string { return "http://" + d.entries[i].part.CallerAddress() }

// Platform returns the stand-in for the platform, and its address.
func (d *Deployment) Platform() (*cicadaplatform.Memory, string) { return d.memory, d.base }

// Engine returns an engine.
func (d *Deployment) Engine(i int) *cicadastandin.Engine { return d.engines[i] }

// EngineURL returns the base URL of an engine.
func (d *Deployment) EngineURL(i int) string { return d.engineURLs[i] }

// Ledger returns the plain service.
func (d *Deployment) Ledger() *cicadastandin.Ledger { return d.ledger }

// StopEntry shuts an entry down gracefully and returns when it has stopped.
func (d *Deployment) StopEntry(i int) error {
	d.entries[i].stop()
	return <-d.entries[i].done
}

// StopAgent shuts an agent down gracefully and returns when it has stopped.
func (d *Deployment) StopAgent(i int) error {
	d.agents[i].stop()
	return <-d.agents[i].done
}

// Close stops everything.
func (d *Deployment) Close() {
	for _, e := range d.entries {
		e.stop()
	}
	for _, a := range d.agents {
		a.stop()
	}
	for _, e := range d.entries {
		<-e.done
		e.done <- nil
	}
	for _, a := range d.agents {
		<-a.done
		a.done <- nil
	}
	for _, s := range d.servers {
		_ = s.Close()
	}
	d.tasks.Wait()
}
