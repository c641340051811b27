// Package cicadaendpoint runs the agent of one endpoint: it serves entries
// over drpc, keeps a cicadagate.Gate before the engine, and watches the
// engine's health.
//
// # Usage
//
//	agent, err := cicadaendpoint.New(settings, process)
//	err = agent.Serve(ctx) // until ctx ends, then a graceful shutdown
//
// An agent has no disk. What it must know after a restart, the highest fencing
// number, it reads from the platform.
package cicadaendpoint

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"cicadalink.example/cicadaagent/cicadaengine"
	"cicadalink.example/cicadaagent/cicadagate"
	"cicadalink.example/cicadakernel"
	"cicadalink.example/cicadakernel/cicadaadmit"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadaretry"
	"cicadalink.example/cicadakernel/cicadawire"
)

const (
	healthInterval = time.Second
	fenceRetry     = time.Second
	goodbyeDelay   = 100 * time.Millisecond
)

// OrderName returns the name of the object that holds an endpoint's last order
// and its fencing number.
func OrderName(endpoint string) string { return "order/" + endpoint }

// An Agent serves one endpoint.
type Agent struct {
	cfg    *Settings
	log    hclog.Logger
	ready  func(bool)
	engine *cicadaengine.Engine
	gate   *cicadagate.Gate
	ln     net.Listener
	store  *cicadaplatform.Client
	leave  func()

	mu       sync.Mutex
	revision int64
}

// New opens the engine's adapter and the listener. The agent serves once Serve
// is called.
func New(cfg *Settings, p *cicadakernel.Process) (*Agent, error) {
	open, err := cicadaengine.Adapters.Lookup(cfg.Engine.Adapter)
	if err != nil {
		return nil, merry.Errorf("engine.adapter: %w", err)
	}
	engine, err := open(cfg.Engine.Address)
	if err != nil {
		return nil, merry.Errorf("open engine: %w", err)
	}
	secure, err := cfg.TLS.Server()
	if err != nil {
		return nil, merry.Errorf("tls: %w", err)
	}
	ln, err := cicadawire.Listen(cfg.Listen, secure)
	if err != nil {
		return nil, merry.Errorf("listen: %w", err)
	}
	a := &Agent{
		cfg:    cfg,
		log:    p.Log(),
		ready:  p.Ready,
		engine: engine,
		gate:   cicadagate.New(cfg.Name, engine, cicadagate.WithScope(p.Scope())),
		ln:     ln,
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

// Address returns the address that the agent listens on.
func (a *Agent) Address() string { return a.ln.Addr().String() }

// Gate returns the gate before the engine.
func (a *Agent) Gate() *cicadagate.Gate { return a.gate }

// Serve serves until ctx ends, and then shuts down gracefully: it refuses new
// calls, tells the entries, and lets running calls finish.
func (a *Agent) Serve(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	ctx, a.leave = context.WithCancel(ctx)
	defer a.leave()
	var tasks conc.WaitGroup
	defer tasks.Wait()
	server := cicadawire.NewServer()
	if err := cicadawire.DRPCRegisterAgent(server.Mux(), &service{agent: a}); err != nil {
		return merry.Errorf("register service: %w", err)
	}
	failed := make(chan error, 1)
	tasks.Go(func() { failed <- server.Serve(serving, a.ln) })
	tasks.Go(func() { a.watchEngine(serving) })
	tasks.Go(func() { a.learnFence(serving) })
	a.ready(true)
	a.log.Info("serving", "address", a.Address(), "engine", a.cfg.Engine.Address)
	defer stop()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	return a.shutDown(ctx)
}

func (a *Agent) shutDown(ctx context.Context) error {
	a.ready(false)
	a.log.Info("leaving")
	a.gate.StartDrain()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), a.cfg.DrainLimit.Or(DefaultDrainLimit))
	defer cancel()
	err := a.gate.WaitIdle(ctx)
	if err != nil {
		a.log.Warn("calls still running at the drain limit")
		a.gate.CancelRunning()
	}
	cicadaretry.Wait(context.WithoutCancel(ctx), goodbyeDelay)
	a.log.Info("left")
	return nil
}

// watchEngine keeps track of the engine's health and models.
func (a *Agent) watchEngine(ctx context.Context) {
	for {
		up := a.engine.Healthy(ctx)
		a.gate.SetEngineUp(up)
		if up && a.engine.LoadReport != nil {
			if report, err := a.engine.LoadReport(ctx); err == nil {
				a.gate.SetModels(report.Models)
			}
		}
		if !cicadaretry.Wait(ctx, healthInterval) {
			return
		}
	}
}

// learnFence reads the highest fencing number given so far. Until it is known
// the gate takes no orders.
func (a *Agent) learnFence(ctx context.Context) {
	if a.store == nil {
		return
	}
	for {
		highest, err := a.readFence(ctx)
		if err == nil {
			a.gate.InitFence(highest)
			return
		}
		if !cicadaretry.Wait(ctx, fenceRetry) {
			return
		}
	}
}

func (a *Agent) readFence(ctx context.Context) (int64, error) {
	obj, err := a.store.Get(ctx, OrderName(a.cfg.Name))
	if errors.Is(err, cicadaplatform.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, merry.Errorf("read last order: %w", err)
	}
	state := &cicadawire.OrderState{}
	if err := proto.Unmarshal(obj.Value(), state); err != nil {
		return 0, merry.Errorf("decode last order: %w", err)
	}
	return state.GetFence(), nil
}

// configure puts a group's settings in force if the revision is higher than
// the agent's.
func (a *Agent) configure(down *cicadawire.LinkDown) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if down.GetGroup() == nil || down.GetRevision() <= a.revision {
		return
	}
	a.revision = down.GetRevision()
	view := down.GetGroup()
	a.gate.SetPolicy(cicadaadmit.Policy{
		Slots:        int(view.GetSlots()),
		BatchReserve: int(view.GetBatchReserve()),
		LongSlots:    int(view.GetLongSlots()),
		OnlineWeight: view.GetOnlineWeight(),
	})
	a.gate.SetRevision(a.revision)
}
