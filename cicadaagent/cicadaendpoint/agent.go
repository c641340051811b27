// Package cicadaendpoint implements the agent of an endpoint. It serves the agent
// RPCs to entries, executes their calls through a cicadagate.Gate, and monitors the
// engine's health.
//
// # Usage
//
//	agent, err := cicadaendpoint.New(settings, process)
//	err = agent.Serve(ctx) // shuts down gracefully when ctx ends
//
// An agent stores nothing on disk. After a restart it reads the highest fencing
// number of the engine orders from the platform.
package cicadaendpoint

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/go-hclog"
	"google.golang.org/protobuf/proto"

	"cicadalink.example/cicadaagent/cicadaengine"
	"cicadalink.example/cicadaagent/cicadagate"
	"cicadalink.example/cicadakernel"
	"cicadalink.example/cicadakernel/cicadaadmit"
	"cicadalink.example/cicadakernel/cicadamemory"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadaretry"
	"cicadalink.example/cicadakernel/cicadatask"
	"cicadalink.example/cicadakernel/cicadawire"
)

const (
	healthCheckInterval = time.Second
	fenceRetryInterval  = time.Second
	// closeDelay is how long connections stay open after the drain, so that the last
	// frames and load reports reach the entries.
	closeDelay = 100 * time.Millisecond
	// messageMemory limits the memory for calls that are received at a time.
	messageMemory = 128 << 20 // bytes
)

// OrderObjectName returns the name of the platform object that holds an endpoint's
// last engine order with its fencing number.
func OrderObjectName(endpoint string) string { return "order/" + endpoint }

// An Agent runs calls from entries on one endpoint.
type Agent struct {
	cfg              *Settings
	log              hclog.Logger
	setReady         func(bool)
	engine           *cicadaengine.Engine
	gate             *cicadagate.Gate
	listener         net.Listener
	store            *cicadaplatform.Client // nil if no platform is configured
	initiateShutdown func()

	mu       sync.Mutex
	revision int64
}

// New creates an agent and opens its listener. It serves no calls before Serve is
// called.
func New(cfg *Settings, p *cicadakernel.Process) (*Agent, error) {
	openEngine, err := cicadaengine.Adapters.Lookup(cfg.Engine.Adapter)
	if err != nil {
		return nil, merry.Errorf("engine.adapter: %w", err)
	}
	engine, err := openEngine(cfg.Engine.Address)
	if err != nil {
		return nil, merry.Errorf("open engine: %w", err)
	}
	tlsConfig, err := cfg.TLS.ServerConfig()
	if err != nil {
		return nil, merry.Errorf("tls: %w", err)
	}
	listener, err := cicadawire.Listen(cfg.Listen, tlsConfig)
	if err != nil {
		return nil, merry.Errorf("listen: %w", err)
	}
	a := &Agent{
		cfg:      cfg,
		log:      p.Log(),
		setReady: p.SetReady,
		engine:   engine,
		gate:     cicadagate.New(cfg.Name, engine, cicadagate.WithScope(p.Scope())),
		listener: listener,
	}
	if cfg.Platform != "" {
		backend, err := cicadaplatform.Open(cfg.Platform)
		if err != nil {
			return nil, merry.Errorf("open platform: %w", err)
		}
		a.store = cicadaplatform.NewClient(backend, cicadaplatform.WithScope(p.Scope()))
	}
	return a, nil
}

// Address returns the agent's listen address.
func (a *Agent) Address() string { return a.listener.Addr().String() }

// Gate returns the gate that controls access to the engine.
func (a *Agent) Gate() *cicadagate.Gate { return a.gate }

// Serve serves until ctx ends, the Drain RPC requests a stop, or the listener fails.
// In the first two cases it shuts down gracefully: it rejects new calls, reports the
// drain to the entries, and waits for running calls up to the drain limit.
func (a *Agent) Serve(ctx context.Context) error {
	servingCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ctx, a.initiateShutdown = context.WithCancel(ctx)
	defer a.initiateShutdown()
	var tasks cicadatask.Group
	defer tasks.Wait()
	server := cicadawire.NewServer(cicadawire.WithMemory(cicadamemory.NewBudget(messageMemory)))
	if err := cicadawire.DRPCRegisterAgent(server.Mux(), &service{agent: a}); err != nil {
		return merry.Errorf("register agent service: %w", err)
	}
	serveError := make(chan error, 1)
	tasks.Go(func() { serveError <- server.Serve(servingCtx, a.listener) })
	tasks.Go(func() { a.monitorEngine(servingCtx) })
	tasks.Go(func() { a.initFence(servingCtx) })
	a.setReady(true)
	a.log.Info("serving", "address", a.Address(), "engine", a.cfg.Engine.Address)
	defer stop()
	select {
	case err := <-serveError:
		return err
	case <-ctx.Done():
	}
	return a.shutDown(ctx)
}

func (a *Agent) shutDown(ctx context.Context) error {
	a.setReady(false)
	a.log.Info("shutting down")
	a.gate.StartDrain()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.cfg.DrainLimit.Or(DefaultDrainLimit))
	defer cancel()
	err := a.gate.WaitIdle(ctx)
	if err != nil {
		a.log.Warn("drain limit reached with calls still running")
		a.gate.CancelRunning()
	}
	cicadaretry.Sleep(context.WithoutCancel(ctx), closeDelay)
	a.log.Info("shutdown complete")
	return nil
}

// monitorEngine polls the engine's health, models and software version, and passes them to
// the gate, until ctx ends.
func (a *Agent) monitorEngine(ctx context.Context) {
	for {
		up := a.engine.Healthy(ctx)
		a.gate.SetEngineUp(up)
		if up && a.engine.LoadReport != nil {
			if report, err := a.engine.LoadReport(ctx); err == nil {
				a.gate.SetModels(report.Models)
				a.gate.SetSoftwareVersion(report.SoftwareVersion)
			}
		}
		if !cicadaretry.Sleep(ctx, healthCheckInterval) {
			return
		}
	}
}

// initFence reads the highest fencing number from the platform and passes it to the
// gate, which rejects all orders until then. It retries until it succeeds.
func (a *Agent) initFence(ctx context.Context) {
	if a.store == nil {
		return
	}
	for {
		highest, err := a.readHighestFence(ctx)
		if err == nil {
			a.gate.InitFence(highest)
			return
		}
		if !cicadaretry.Sleep(ctx, fenceRetryInterval) {
			return
		}
	}
}

// readHighestFence returns the fencing number of the endpoint's last order, or 0 if
// there has been none.
func (a *Agent) readHighestFence(ctx context.Context) (int64, error) {
	obj, err := a.store.Get(ctx, OrderObjectName(a.cfg.Name))
	if errors.Is(err, cicadaplatform.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, merry.Errorf("read last engine order: %w", err)
	}
	state := &cicadawire.OrderState{}
	if err := proto.Unmarshal(obj.Value(), state); err != nil {
		return 0, merry.Errorf("decode last engine order: %w", err)
	}
	return state.GetFence(), nil
}

// applyConfig applies the settings of the endpoint's group if their revision is higher
// than the one applied last.
func (a *Agent) applyConfig(down *cicadawire.LinkDown) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if down.GetGroup() == nil || down.GetRevision() <= a.revision {
		return
	}
	a.revision = down.GetRevision()
	group := down.GetGroup()
	a.gate.SetPolicy(cicadaadmit.Policy{
		Slots:        int(group.GetSlots()),
		BatchReserve: int(group.GetBatchReserve()),
		LongSlots:    int(group.GetLongSlots()),
		OnlineWeight: group.GetOnlineWeight(),
	})
	a.gate.SetRevision(a.revision)
}
