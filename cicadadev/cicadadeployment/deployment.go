// Package cicadadeployment runs a complete deployment in one process: real
// entries and agents that communicate over loopback, with stand-ins for the
// platform, the model engines and an order service (see package cicadastandin).
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

	"cicadalink.example/cicadaagent/cicadaendpoint"
	"cicadalink.example/cicadadev/cicadastandin"
	"cicadalink.example/cicadaentry/cicadafleet"
	"cicadalink.example/cicadaentry/cicadanode"
	"cicadalink.example/cicadakernel"
	"cicadalink.example/cicadakernel/cicadaconfig"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadasettings"
	"cicadalink.example/cicadakernel/cicadatask"
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
	loopbackAddress   = "127.0.0.1:0"
	startTimeout      = time.Minute
	pollInterval      = 20 * time.Millisecond
	readHeaderTimeout = 5 * time.Second
)

//go:embed demo.yaml
var demoConfig string

// A Deployment is a running deployment.
type Deployment struct {
	memory      *cicadaplatform.Memory
	ledger      *cicadastandin.Ledger
	engines     []*cicadastandin.Engine
	engineURLs  []string
	entries     []*runningProcess[*cicadanode.Node]
	agents      []*runningProcess[*cicadaendpoint.Agent]
	platformURL string
	servers     []*http.Server
	tasks       cicadatask.Group
	opts        options
}

// runningProcess is an entry or agent that runs as a goroutine.
type runningProcess[T any] struct {
	process T
	stop    context.CancelFunc
	// done receives the result of Serve. Close receives from it too, so whoever receives
	// the result before Close must send a value for Close.
	done chan error
}

type options struct {
	entries    int
	engines    int
	versions   []string // of the engines' software
	ledgers    int
	logs       io.Writer
	logLevel   string
	tokenTime  time.Duration
	downTime   time.Duration
	listen     string
	resources  string
	drainLimit time.Duration
}

// An Option configures a deployment.
type Option func(*options)

// WithEntries sets how many entries run.
func WithEntries(n int) Option { return func(o *options) { o.entries = n } }

// WithEngines sets how many engines run.
func WithEngines(n int) Option { return func(o *options) { o.engines = n } }

// WithLogs sets the destination and the level of the logs.
func WithLogs(w io.Writer, level string) Option {
	return func(o *options) { o.logs, o.logLevel = w, level }
}

// WithSoftwareVersions sets the versions of the engines' software, in order.
func WithSoftwareVersions(versions ...string) Option {
	return func(o *options) { o.versions = versions }
}

// WithTokenTime sets the interval at which the engines generate tokens.
func WithTokenTime(d time.Duration) Option { return func(o *options) { o.tokenTime = d } }

// WithDownTime sets how long an engine is unavailable after a crash.
func WithDownTime(d time.Duration) Option { return func(o *options) { o.downTime = d } }

// WithListen sets the address at which the first entry serves callers.
func WithListen(address string) Option { return func(o *options) { o.listen = address } }

// HashKey returns the hash of a key in the form used in settings and resources.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// Start starts a deployment and waits until it is ready.
func Start(ctx context.Context, opts ...Option) (*Deployment, error) {
	d := &Deployment{
		memory: cicadaplatform.NewMemory(),
		opts: options{
			entries: 2, engines: 3, ledgers: 2, logs: io.Discard, logLevel: "error",
			tokenTime: 5 * time.Millisecond, downTime: time.Second, listen: loopbackAddress, resources: demoConfig, drainLimit: 5 * time.Second,
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
	platformURL, err := d.serve(cicadaplatform.Handler(d.memory.Backend()))
	if err != nil {
		return merry.Errorf("start platform: %w", err)
	}
	d.platformURL = platformURL
	if err := d.applyConfig(ctx); err != nil {
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

func (d *Deployment) applyConfig(ctx context.Context) error {
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
	return d.runServer(&http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout})
}

func (d *Deployment) runServer(server *http.Server) (string, error) {
	ln, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return "", merry.Errorf("listen: %w", err)
	}
	d.servers = append(d.servers, server)
	d.tasks.Go(func() { _ = server.Serve(ln) })
	return "http://" + ln.Addr().String(), nil
}

func (d *Deployment) startEngine(name string) error {
	version := ""
	if n := len(d.engines); n < len(d.opts.versions) {
		version = d.opts.versions[n]
	}
	engine := cicadastandin.NewEngine(cicadastandin.WithModels(Model), cicadastandin.WithTokenTime(d.opts.tokenTime),
		cicadastandin.WithSoftwareVersion(version), cicadastandin.WithDownTime(d.opts.downTime))
	address, err := d.runServer(&http.Server{
		Handler: engine.Handler(), ReadHeaderTimeout: readHeaderTimeout, ConnState: engine.ConnState,
	})
	if err != nil {
		return err
	}
	d.engines = append(d.engines, engine)
	d.engineURLs = append(d.engineURLs, address)
	return d.startAgent(name, "assistants", "inference", address)
}

func (d *Deployment) newProcess(name string) (*cicadakernel.CommonSettings, *cicadakernel.Process) {
	common := &cicadakernel.CommonSettings{Log: cicadakernel.LogSettings{Level: d.opts.logLevel, Format: "text"}}
	return common, cicadakernel.NewProcess(name, common, d.opts.logs)
}

func (d *Deployment) startAgent(name, group, adapter, engine string) error {
	common, process := d.newProcess(name)
	cfg := &cicadaendpoint.Settings{
		CommonSettings: *common, Name: name, DataCentre: "dc-1", Group: group, Listen: loopbackAddress,
		Engine:     cicadaendpoint.EngineSettings{Adapter: adapter, Address: engine},
		Platform:   d.platformURL,
		DrainLimit: cicadasettings.Duration(d.opts.drainLimit),
	}
	agent, err := cicadaendpoint.New(cfg, process)
	if err != nil {
		return err
	}
	d.memory.SetVM(cicadaplatform.VM{
		Name: name, Role: cicadafleet.RoleEndpoint, DataCentre: "dc-1", Address: agent.Address(), Group: group, State: cicadaplatform.VMLive,
	})
	d.agents = append(d.agents, runProcess(&d.tasks, agent, agent.Serve))
	return nil
}

func (d *Deployment) startEntry(name string) error {
	common, process := d.newProcess(name)
	listen := loopbackAddress
	if len(d.entries) == 0 {
		listen = d.opts.listen
	}
	cfg := &cicadanode.Settings{
		CommonSettings: *common, Name: name, DataCentre: "dc-1", Listen: listen, PeerListen: loopbackAddress, Platform: d.platformURL,
		Shards:        4,
		FlushInterval: cicadasettings.Duration(100 * time.Millisecond),
		ClaimInterval: cicadasettings.Duration(5 * time.Millisecond),
		ReadyDelay:    cicadasettings.Duration(time.Millisecond),
		DrainLimit:    cicadasettings.Duration(d.opts.drainLimit),
		Operators:     []cicadanode.Operator{{Name: "demo", Key: HashKey(OperatorKey)}},
	}
	node, err := cicadanode.New(cfg, process)
	if err != nil {
		return err
	}
	d.memory.SetVM(cicadaplatform.VM{
		Name: name, Role: cicadafleet.RoleEntry, DataCentre: "dc-1", Address: node.PeerAddress(), State: cicadaplatform.VMLive,
	})
	d.entries = append(d.entries, runProcess(&d.tasks, node, node.Serve))
	return nil
}

func runProcess[T any](tasks *cicadatask.Group, process T, serve func(context.Context) error) *runningProcess[T] {
	ctx, stop := context.WithCancel(context.Background())
	r := &runningProcess[T]{process: process, stop: stop, done: make(chan error, 1)}
	tasks.Go(func() { r.done <- serve(ctx) })
	return r
}

// waitReady waits until every entry reports that it is ready and knows every endpoint
// as live and configured.
func (d *Deployment) waitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		if d.isReady() {
			return nil
		}
		timer := time.NewTimer(pollInterval)
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
		for _, group := range entry.process.Fleet().Table().Groups() {
			for _, e := range group.Endpoints() {
				if e.State() == "live" && e.Load().GetRevision() > 0 {
					live++
				}
			}
		}
		if live < len(d.agents) || !respondsOK(d.EntryURL(i)+"/readyz") {
			return false
		}
	}
	return true
}

func respondsOK(url string) bool {
	res, err := http.Get(url) //nolint:gosec // loopback
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// EntryURL returns the base URL that entry i serves to callers and operators.
func (d *Deployment) EntryURL(i int) string {
	return "http://" + d.entries[i].process.CallerAddress()
}

// Platform returns the stand-in for the platform and its base URL.
func (d *Deployment) Platform() (*cicadaplatform.Memory, string) { return d.memory, d.platformURL }

// Engine returns engine i.
func (d *Deployment) Engine(i int) *cicadastandin.Engine { return d.engines[i] }

// EngineURL returns the base URL of engine i.
func (d *Deployment) EngineURL(i int) string { return d.engineURLs[i] }

// Ledger returns the stand-in for the order service.
func (d *Deployment) Ledger() *cicadastandin.Ledger { return d.ledger }

// StopEntry shuts entry i down gracefully and waits until it has stopped.
func (d *Deployment) StopEntry(i int) error {
	d.entries[i].stop()
	return <-d.entries[i].done
}

// StopAgent shuts agent i down gracefully and waits until it has stopped.
func (d *Deployment) StopAgent(i int) error {
	d.agents[i].stop()
	return <-d.agents[i].done
}

// Close stops all entries, agents and stand-ins and waits for them.
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
