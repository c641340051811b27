// Package cicadaprocess puts a gateway process together: an entry, which serves
// callers, or an owner, which runs batch jobs. Both follow the platform's store,
// exchange their load with their peers and send work straight to endpoints.
//
// # Usage
//
//	node, err := cicadaprocess.New(cfg, process)
//	return node.Serve(ctx)
package cicadaprocess

import (
	"context"
	"math"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"

	"cicadalink.example/cicadagateway/cicadabatch"
	"cicadalink.example/cicadagateway/cicadaexchange"
	"cicadalink.example/cicadagateway/cicadafollow"
	"cicadalink.example/cicadagateway/cicadapeer"
	"cicadalink.example/cicadagateway/cicadaplace"
	"cicadalink.example/cicadagateway/cicadarelay"
	"cicadalink.example/cicadakernel"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadaretry"
	"cicadalink.example/cicadakernel/cicadaview"
	"cicadalink.example/cicadakernel/cicadawire"
	adapter "cicadalink.example/platform"
)

const (
	// unreadyTime is how long a leaving entry still takes connections: the
	// balancer asks once a second and needs two misses.
	unreadyTime = 2500 * time.Millisecond
	exitMargin  = 400 * time.Millisecond // before the platform kills the process
	// lastRequestTime is kept for requests on the last connection that a leaving entry
	// accepts.
	lastRequestTime = 2 * time.Second
	headerTime      = 5 * time.Second
	idleTime        = 75 * time.Second
	maxHeader       = 64 << 10
	// bodyShare is the part of the memory setting for bodies of requests in flight.
	bodyShare = 0.25
	// catchUpDelay lets this process's own watch bring what a peer knows already.
	catchUpDelay = 200 * time.Millisecond
	// gatherTime is how long news of peers and jobs may wait for others: nothing
	// depends on their coming at once.
	gatherTime = time.Second
	// endpointGather is short against the time in which an endpoint that leaves must
	// get no more requests.
	endpointGather = 200 * time.Millisecond
)

// A Node is one process.
type Node struct {
	cfg     *Settings
	file    string
	log     hclog.Logger
	process *cicadakernel.Process
	store   *cicadaplatform.Client
	link    *cicadafollow.Link
	table   *cicadaplace.Table
	client  *cicadaexchange.Client
	group   *cicadapeer.Group

	directory *directory
	config    atomic.Pointer[cicadaview.Config]
	// configs and endpoints follow what the store holds of them.
	configs   *cicadafollow.Follower
	endpoints *cicadafollow.Follower
	registry  *cicadafollow.Registry
	following atomic.Bool // the three above are set
	polling   atomic.Bool // this process polls the store for all
	behind    atomic.Bool // a look at what peers know is under way
	owner     atomic.Pointer[cicadabatch.Owner]

	crashes    crashes
	drainLimit atomic.Int64 // how long a graceful shutdown may take, in nanoseconds
	leaving    atomic.Bool
	retiring   atomic.Bool
	storeUp    atomic.Bool
	wg         conc.WaitGroup
}

// New returns a node that is not yet serving.
func New(cfg *Settings, p *cicadakernel.Process) (*Node, error) {
	backend, err := cicadaplatform.Open(cfg.Platform)
	if err != nil {
		return nil, merry.Errorf("open platform: %w", err)
	}
	n := &Node{cfg: cfg, file: p.SettingsFile(), log: p.Log(), process: p}
	n.drainLimit.Store(int64(cfg.DrainLimit.Or(defaultDrainLimit)))
	limitMemory(cfg)
	n.store = cicadaplatform.NewClient(backend, cicadaplatform.WithWriteRate(cfg.storeWrites()),
		cicadaplatform.WithReadRate(cfg.storeReads()), cicadaplatform.WithScope(p.Scope()))
	n.link = cicadafollow.NewLink(n.log, func(up bool) {
		n.storeUp.Store(up)
		n.notify()
		n.electPoller()
		if up && n.following.Load() {
			n.configs.Refresh()
			n.endpoints.Refresh()
		}
	})
	n.table = cicadaplace.NewTable(cfg.Name, cicadaplace.WithDataCentre(cfg.DataCentre), cicadaplace.WithChanged(n.notify))
	opened := p.Scope().Counter("endpoint_connections")
	n.client = cicadaexchange.NewClient(cicadaexchange.WithOpened(func() { opened.Inc(1) }))
	return n, nil
}

func (n *Node) notify() {
	if g := n.group; g != nil {
		g.Notify()
	}
}

// Serve runs the node until ctx ends, and then shuts it down gracefully.
func (n *Node) Serve(ctx context.Context) error {
	n.log.Info("start", "name", n.cfg.Name, "role", n.cfg.Role, "vm", n.cfg.VM, "version", cicadakernel.Version)
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := n.startPeers(work); err != nil {
		return err
	}
	n.startFollowing(work)
	n.wg.Go(func() { n.watchSettings(work) })
	n.wg.Go(func() { n.serveGauges(work) })
	if n.cfg.Role == RoleOwner {
		return n.serveOwner(ctx, work)
	}
	return n.serveCallers(ctx, work)
}

func (n *Node) leave() {
	n.log.Info("stop", "reason", "signal")
	n.leaving.Store(true)
	n.notify()
}

func (n *Node) startPeers(ctx context.Context) error {
	role := cicadapeer.RoleEntry
	if n.cfg.Role == RoleOwner {
		role = cicadapeer.RoleOwner
	}
	self := cicadapeer.Member{Name: n.cfg.Name, Role: role, Address: net.JoinHostPort(n.cfg.IP, strconv.Itoa(n.cfg.PeerPort))}
	group, err := cicadapeer.New(ctx, self, n.log, n.state, n.peerState, n.membership)
	if err != nil {
		return merry.Errorf("start peers: %w", err)
	}
	n.group = group
	n.directory = &directory{
		self: self, store: n.store, log: n.log, found: group.SetMembers, heard: group.Heard,
		tidy: func() bool { return group.First(n.storeUp.Load()) },
	}
	n.directory.start(ctx)
	return nil
}

func (n *Node) state() cicadapeer.State {
	s := cicadapeer.State{
		StoreUp: n.storeUp.Load(), StoreSteady: n.link.Steady(), StoreAge: uint32(min(n.link.Age().Milliseconds(), math.MaxUint32)),
		Leaving: n.leaving.Load() || n.retiring.Load(),
	}
	if c := n.config.Load(); c != nil {
		s.ConfigVersion = c.Version()
	}
	if n.following.Load() && n.storeUp.Load() {
		s.EndpointsAsOf, s.EndpointsDigest = n.endpoints.AsOf(), n.registry.Digest()
	}
	s.Crashes = n.crashes.recent()
	for id, count := range n.table.Own() {
		s.Loads = append(s.Loads, cicadapeer.Load{Endpoint: id, Online: uint16(count.Online), Batch: uint16(count.Batch)})
	}
	return s
}

func (n *Node) peerState(s cicadapeer.State) {
	counts := make(map[string]cicadaplace.Count, len(s.Loads))
	for _, l := range s.Loads {
		counts[l.Endpoint] = cicadaplace.Count{Online: int(l.Online), Batch: int(l.Batch)}
	}
	n.table.SetPeer(s.Member.Name, counts)
	if o := n.owner.Load(); o != nil {
		o.Wake()
	}
	n.crashes.merge(s.Crashes)
	n.catchUp(s)
}

// membership takes in that a peer has come or gone, or reaches the store or not.
func (n *Node) membership() {
	if !n.following.Load() {
		return // the peers' goroutine may run before this process has started whole
	}
	n.shareBudget()
	n.electPoller()
}

// electPoller looks whether it has fallen to this process to poll the store, and
// makes it begin: its watches may be waiting for long.
func (n *Node) electPoller() {
	if !n.following.Load() {
		return
	}
	first := n.group.First(n.storeUp.Load())
	if n.polling.Swap(first) || !first {
		return
	}
	n.log.Info("polls the store for all")
	n.configs.Refresh()
	n.endpoints.Refresh()
}

// catchUp reads from the store what a peer has learnt and this process has not.
func (n *Node) catchUp(s cicadapeer.State) {
	if !n.following.Load() || !n.behind.CompareAndSwap(false, true) {
		return
	}
	config, endpoints := n.config.Load(), n.endpoints
	stale := config != nil && s.ConfigVersion > config.Version()
	missing := s.EndpointsAsOf > endpoints.AsOf() && s.EndpointsDigest != n.registry.Digest()
	if !stale && !missing {
		n.behind.Store(false)
		return
	}
	time.AfterFunc(catchUpDelay, func() {
		defer n.behind.Store(false)
		if c := n.config.Load(); stale && s.ConfigVersion > c.Version() {
			n.log.Info("peer has a newer configuration", "peer", s.Member.Name, "theirs", s.ConfigVersion, "ours", c.Version())
			n.configs.Refresh()
		}
		if missing && s.EndpointsAsOf > endpoints.AsOf() && s.EndpointsDigest != n.registry.Digest() {
			n.log.Info("peer has a newer set of endpoints", "peer", s.Member.Name, "theirs", s.EndpointsAsOf, "ours", endpoints.AsOf())
			endpoints.Refresh()
		}
	})
}

func (n *Node) startFollowing(ctx context.Context) {
	polls := cicadafollow.WithPoll(func() bool { return n.group.First(n.storeUp.Load()) })
	n.registry = cicadafollow.NewRegistry(ctx, n.link, n.log, adapter.DecodeEndpoint, n.table.SetEndpoints,
		cicadafollow.WithVouched(n.group.StoreSteady))
	n.configs = cicadafollow.New(ctx, n.store, adapter.ConfigPrefix, n.link, n.log, n.applyConfig, polls)
	n.endpoints = cicadafollow.New(ctx, n.store, adapter.EndpointsPrefix, n.link, n.log, n.registry.Apply, polls,
		cicadafollow.WithGather(endpointGather))
	n.following.Store(true)
	n.shareBudget()
	cicadafollow.New(ctx, n.store, peersPrefix, n.link, n.log, n.directory.apply, cicadafollow.WithGather(gatherTime))
}

func (n *Node) applyConfig(c cicadafollow.Change) {
	for _, obj := range c.Objects() {
		if obj.Name() != adapter.ConfigName || obj.Value() == nil {
			continue
		}
		config, err := adapter.DecodeConfig(obj.Value())
		if err != nil {
			n.log.Error("configuration refused", "version", obj.Version(), "error", err)
			continue
		}
		if old := n.config.Load(); old != nil && config.Version() <= old.Version() {
			continue
		}
		n.config.Store(config)
		n.process.Ready(true)
		n.log.Info("configuration in force", "version", config.Version(), "revision", obj.Version(), "routes", config.Routes())
		n.notify()
	}
}

func (n *Node) serveCallers(ctx, work context.Context) error {
	client := cicadabatch.NewClient(cicadawire.NewPool(), n.ownerPeers)
	if err := n.servePeers(work, client.Register); err != nil {
		return err
	}
	relay := cicadarelay.New(n.config.Load, n.table, n.client, n.log,
		cicadarelay.WithScope(n.process.Scope()), cicadarelay.WithLeaving(n.leaving.Load), cicadarelay.WithJobs(n.jobs(client)),
		cicadarelay.WithSuspects(&n.crashes.table, n.crashes.add),
		cicadarelay.WithBodyMemory(int64(bodyShare*float64(n.cfg.Memory))))
	var callers connections
	srv := &http.Server{
		ConnState: callers.changed,
		Handler:   relay, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: maxHeader,
		ErrorLog: n.log.StandardLogger(&hclog.StandardLoggerOptions{ForceLevel: hclog.Debug}),
	}
	ln, err := net.Listen("tcp", n.cfg.Listen)
	if err != nil {
		return merry.Errorf("listen for callers: %w", err)
	}
	ready, err := net.Listen("tcp", n.cfg.Ready)
	if err != nil {
		return merry.Errorf("listen for the balancer: %w", err)
	}
	readySrv := &http.Server{Handler: http.HandlerFunc(n.serveReady), ReadHeaderTimeout: headerTime}
	failed := make(chan error, 2)
	n.wg.Go(func() { failed <- srv.Serve(callerListener{ln}) })
	n.wg.Go(func() { failed <- readySrv.Serve(ready) })
	select {
	case err := <-failed:
		return merry.Errorf("serve callers: %w", err)
	case <-ctx.Done():
	}
	err = n.shutDown(&callers, ln)
	_ = srv.Close() // ends what the shutdown had no time for, and its report says so
	return err
}

// shutDown goes on serving until the balancer has noticed, then waits for the
// requests that are being served.
func (n *Node) shutDown(callers *connections, ln net.Listener) error {
	end := time.Now().Add(time.Duration(n.drainLimit.Load()) - exitMargin)
	n.leave()
	cicadaretry.Wait(context.Background(), unreadyTime)
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := callers.drain(ctx, ln, end.Add(-lastRequestTime)); err != nil {
		n.log.Warn("shutdown was not clean", "error", err)
	}
	n.log.Info("stopped")
	return nil
}

func (n *Node) serveReady(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != adapter.ReadyPath {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if n.leaving.Load() || n.config.Load() == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}
