// Package cicadaprocess assembles a gateway process. An entry serves callers; an owner
// runs batch jobs. Both follow the platform's store, exchange their load with their
// peers and send requests directly to endpoints.
//
// # Usage
//
//	node, err := cicadaprocess.New(cfg, process)
//	return node.Serve(ctx)
package cicadaprocess

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"cicadalink.example/cicadagateway/cicadabatch"
	"cicadalink.example/cicadagateway/cicadaexchange"
	"cicadalink.example/cicadagateway/cicadafollow"
	"cicadalink.example/cicadagateway/cicadafreshness"
	"cicadalink.example/cicadagateway/cicadaorigin"
	"cicadalink.example/cicadagateway/cicadapeer"
	"cicadalink.example/cicadagateway/cicadaplace"
	"cicadalink.example/cicadagateway/cicadaratelimit"
	"cicadalink.example/cicadakernel"
	"cicadalink.example/cicadakernel/cicadamemory"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadatask"
	"cicadalink.example/cicadakernel/cicadaview"
	adapter "cicadalink.example/platform"
)

const (
	// requestMemoryFraction is the fraction of the memory setting available to the bodies of
	// callers' requests in progress, and receivedMemoryFraction the one available to what
	// endpoints, the store and other processes send.
	requestMemoryFraction  = 0.25
	receivedMemoryFraction = 0.25
	// catchUpDelay leaves time for this process's own watch to deliver what a peer
	// already knows.
	catchUpDelay = 200 * time.Millisecond
	// coalesceDelay is how long changes of peers and jobs are collected before they are
	// read together. Nothing needs them sooner.
	coalesceDelay = time.Second
	// endpointCoalesceDelay is short compared with the time within which a leaving
	// endpoint must stop receiving requests.
	endpointCoalesceDelay = 200 * time.Millisecond
)

// A Node is a running gateway process.
type Node struct {
	cfg          *Settings
	settingsFile string
	log          hclog.Logger
	process      *cicadakernel.Process
	store        *cicadaplatform.Client
	link         *cicadafollow.Link
	// requestMemory and receivedMemory are the budgets of requestMemoryFraction and
	// receivedMemoryFraction.
	requestMemory  *cicadamemory.Budget
	receivedMemory *cicadamemory.Budget
	table          *cicadaplace.Table
	client         *cicadaexchange.Client
	group          *cicadapeer.Group

	directory *directory
	config    atomic.Pointer[cicadaview.Config]
	// configFollower and endpointFollower follow the configuration and the endpoints in
	// the store.
	configFollower   *cicadafollow.Follower
	endpointFollower *cicadafollow.Follower
	registry         *cicadafollow.Registry
	followersStarted atomic.Bool // configFollower, endpointFollower and registry are set
	polling          atomic.Bool // this process polls the store for all processes
	catchingUp       atomic.Bool // a catchUp is in progress
	owner            atomic.Pointer[cicadabatch.Owner]

	crashes          *crashEvidence
	refusals         *endpointReports // endpoints that refused connections
	unreachable      *endpointReports // endpoints that this process could not connect to in time
	versions         *cicadaorigin.Versions
	origins          *cicadaorigin.Tracker
	history          *versionHistory
	freshness        *cicadafreshness.Tracker // nil if revoked keys need not be refused in time
	quotas           *cicadaratelimit.Limiter // nil at an owner
	usageSentAt      time.Time                // accessed by the sender of states only
	refusalsReported tally.Counter
	drainLimit       atomic.Int64              // longest time of a graceful shutdown, in nanoseconds
	leaving          atomic.Bool               // this process is shutting down
	shutdownEnd      atomic.Pointer[time.Time] // when connections are closed; nil while all requests are accepted
	retiring         atomic.Bool               // this process's VM is being retired
	storeUp          atomic.Bool               // the state of link
	wg               cicadatask.Group
}

// New returns a Node. Call Serve to run it.
func New(cfg *Settings, p *cicadakernel.Process) (*Node, error) {
	receivedMemory := cfg.memoryBudget(receivedMemoryFraction, p.Scope(), "responses")
	backend, err := cicadaplatform.Open(cfg.Platform, cicadaplatform.WithMemory(receivedMemory))
	if err != nil {
		return nil, merry.Errorf("open platform: %w", err)
	}
	n := &Node{cfg: cfg, settingsFile: p.SettingsFile(), log: p.Log(), process: p}
	n.drainLimit.Store(int64(cfg.DrainLimit.Or(defaultDrainLimit)))
	setMemoryLimit(cfg)
	n.requestMemory = cfg.memoryBudget(requestMemoryFraction, p.Scope(), "requests")
	n.receivedMemory = receivedMemory
	n.store = cicadaplatform.NewClient(backend, cicadaplatform.WithWriteRate(cfg.storeWriteRate()),
		cicadaplatform.WithReadRate(cfg.storeReadRate()), cicadaplatform.WithScope(p.Scope()),
		cicadaplatform.WithOnAnswered(func() { n.link.Resume() }))
	n.link = cicadafollow.NewLink(n.log, func(up bool) {
		n.storeUp.Store(up)
		n.notifyPeers()
		n.electPoller()
		if n.followersStarted.Load() {
			n.updateOriginMembers()
		}
		if up && n.followersStarted.Load() {
			n.configFollower.Refresh()
			n.endpointFollower.Refresh()
		}
	})
	n.table = cicadaplace.NewTable(cfg.Name, n.tableOptions()...)
	n.refusalsReported = p.Scope().Counter("endpoint_refusals_reported")
	n.refusals, n.unreachable = newEndpointReports(), newEndpointReports()
	n.crashes = newCrashEvidence(cfg.Name, n.log, p.Scope(), n.notifyPeers)
	n.versions = cicadaorigin.NewVersions()
	n.origins = cicadaorigin.NewTracker(cfg.Name, n.versions, cicadaorigin.WithSend(n.sendOriginMessage),
		cicadaorigin.WithScope(p.Scope()), cicadaorigin.WithLog(p.Log()))
	n.history = newVersionHistory(n.store, n.versions, n.log)
	connectionsOpened := p.Scope().Counter("endpoint_connections")
	n.client = cicadaexchange.NewClient(cicadaexchange.WithMemory(n.receivedMemory), cicadaexchange.WithOnConnect(func() { connectionsOpened.Inc(1) }), cicadaexchange.WithOnLost(n.table.RecordLost),
		cicadaexchange.WithIdentification(cicadaexchange.Identification{Target: adapter.ReportPath, Decode: adapter.DecodeReportedStart}))
	n.store.OnDead(n.closeInactiveConnections)
	return n, nil
}

// closeInactiveConnections closes the idle connections to endpoints that may have died with those to the
// store.
func (n *Node) closeInactiveConnections(since time.Time) {
	n.process.Scope().Counter("store_connections_dead").Inc(1)
	n.log.Warn("dead connections to the store replaced", "inactive-for", time.Since(since).String())
	n.client.CloseInactive(since)
}

// tableOptions returns the options of the table of endpoints.
func (n *Node) tableOptions() []cicadaplace.Option {
	opts := []cicadaplace.Option{
		cicadaplace.WithDataCentre(n.cfg.DataCentre), cicadaplace.WithOnChange(n.notifyPeers), cicadaplace.WithStaleness(n.peerStaleness),
		cicadaplace.WithOnRefusal(n.reportRefusal), cicadaplace.WithOnUnreachable(n.reportUnreachable),
		cicadaplace.WithOnLeaving(func(id string) { n.log.Info("endpoint states that it is leaving", "endpoint", id) }),
	}
	if n.cfg.LearnEndpointSpeed {
		opts = append(opts, cicadaplace.WithSpeedMetrics(n.process.Scope()))
	}
	return opts
}

func (n *Node) notifyPeers() {
	if g := n.group; g != nil {
		g.Notify()
	}
}

func (n *Node) peerStaleness() time.Duration {
	if g := n.group; g != nil {
		return g.Staleness()
	}
	return 0
}

// Serve runs the node until ctx is done and then shuts it down gracefully.
func (n *Node) Serve(ctx context.Context) error {
	n.log.Info("starting", "name", n.cfg.Name, "role", n.cfg.Role, "vm", n.cfg.VM, "version", cicadakernel.Version)
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	if err := n.startPeers(workCtx); err != nil {
		return err
	}
	n.startCustomers(workCtx)
	n.startFollowers(workCtx)
	n.wg.Go(func() { n.watchSettings(workCtx) })
	n.wg.Go(func() { n.updateGauges(workCtx) })
	if n.cfg.Role == RoleOwner {
		return n.serveOwner(ctx, workCtx)
	}
	return n.serveCallers(ctx, workCtx)
}

func (n *Node) startPeers(ctx context.Context) error {
	role := cicadapeer.RoleEntry
	if n.cfg.Role == RoleOwner {
		role = cicadapeer.RoleOwner
	}
	self := cicadapeer.Member{Name: n.cfg.Name, Role: role, Address: n.cfg.peerAddress()}
	group, err := cicadapeer.New(ctx, self, n.log, n.localState, n.applyPeerState, n.membershipChanged,
		cicadapeer.WithScope(n.process.Scope()), cicadapeer.WithListen(n.cfg.peerListen()), cicadapeer.WithOnMessage(n.receiveMessage))
	if err != nil {
		return merry.Errorf("start peers: %w", err)
	}
	n.group = group
	n.directory = &directory{
		self: self, store: n.store, log: n.log, onMembers: group.SetMembers, recentlySeen: group.RecentlySeen,
		isCleaner: func() bool { return group.IsCoordinator(n.storeUp.Load()) },
	}
	n.directory.start(ctx)
	n.history.isWriter = n.directory.isCleaner
	n.history.onRead = n.notifyPeers
	n.history.start(ctx)
	return nil
}

func (n *Node) localState() cicadapeer.State {
	s := cicadapeer.State{
		StoreUp: n.storeUp.Load(), StoreStable: n.link.Stable(), StoreSettled: n.link.Settled(),
		StoreAge: uint32(min(n.link.Age().Milliseconds(), math.MaxUint32)),
		Leaving:  n.leaving.Load() || n.retiring.Load(), VersionsDigest: n.versions.Digest(),
	}
	if c := n.config.Load(); c != nil {
		s.ConfigVersion = c.Version()
	}
	if n.followersStarted.Load() && n.storeUp.Load() {
		s.EndpointsAsOf, s.EndpointsDigest = n.endpointFollower.AsOf(), n.registry.Digest()
	}
	if o := n.owner.Load(); o != nil {
		s.Roster = o.Roster()
	}
	n.crashes.addTo(&s, time.Now())
	s.Refusals, s.Unreachable = n.refusals.next(time.Now()), n.unreachable.next(time.Now())
	for id, count := range n.table.LocalInFlight() {
		s.InFlight = append(s.InFlight, encodeInFlight(id, count))
	}
	s.Speeds = encodeSpeeds(n.table.LocalSpeed(time.Now()))
	s.Usage = n.nextUsage(time.Now())
	return s
}

func (n *Node) applyPeerState(s cicadapeer.State) {
	counts := make(map[string]cicadaplace.InFlight, len(s.InFlight))
	for _, l := range s.InFlight {
		counts[l.Endpoint] = decodeInFlight(l)
	}
	n.table.SetPeer(s.Member.Name, counts)
	for _, endpoint := range s.Refusals {
		n.table.RecordPeerRefusal(endpoint)
	}
	for _, endpoint := range s.Unreachable {
		n.table.RecordPeerUnreachable(s.Member.Name, endpoint)
	}
	if o := n.owner.Load(); o != nil {
		o.Wake()
	}
	n.crashes.merge(s, time.Now())
	n.table.MergeSpeed(decodeSpeeds(s.Speeds), time.Now())
	if len(s.Usage) > 0 {
		n.table.SetPeerUsage(s.Member.Name, decodeUsage(s.Usage))
	}
	if n.versions.SetPeer(s.Member.Name, s.VersionsDigest) {
		n.origins.Update()
	}
	n.catchUp(s)
}

// membershipChanged handles a peer that joins or leaves, or that gains or loses its
// connection to the store.
func (n *Node) membershipChanged() {
	if !n.followersStarted.Load() {
		return // the peer group's goroutine may call this before Serve has started the followers
	}
	n.updateStoreRates()
	n.updateSenders()
	n.updateOriginMembers()
	n.electPoller()
}

// electPoller determines whether this process polls the store for all processes. A
// process that has just been elected refreshes its followers, whose watches may
// otherwise block for a long time.
func (n *Node) electPoller() {
	if !n.followersStarted.Load() {
		return
	}
	elected := n.group.IsCoordinator(n.storeUp.Load())
	if n.polling.Swap(elected) || !elected {
		return
	}
	n.log.Info("elected to poll the store")
	n.configFollower.Refresh()
	n.endpointFollower.Refresh()
}

// catchUp refreshes the followers if a peer knows a newer configuration or newer
// endpoints than this process.
func (n *Node) catchUp(s cicadapeer.State) {
	if !n.followersStarted.Load() || !n.catchingUp.CompareAndSwap(false, true) {
		return
	}
	config, endpoints := n.config.Load(), n.endpointFollower
	stale := config != nil && s.ConfigVersion > config.Version()
	missing := s.EndpointsAsOf > endpoints.AsOf() && s.EndpointsDigest != n.registry.Digest()
	if !stale && !missing {
		n.catchingUp.Store(false)
		return
	}
	time.AfterFunc(catchUpDelay, func() {
		defer n.catchingUp.Store(false)
		if c := n.config.Load(); stale && s.ConfigVersion > c.Version() {
			n.log.Info("peer has a newer configuration", "peer", s.Member.Name, "theirs", s.ConfigVersion, "ours", c.Version())
			n.configFollower.Refresh()
		}
		if missing && s.EndpointsAsOf > endpoints.AsOf() && s.EndpointsDigest != n.registry.Digest() {
			n.log.Info("peer has newer endpoints", "peer", s.Member.Name, "theirs", s.EndpointsAsOf, "ours", endpoints.AsOf())
			endpoints.Refresh()
		}
	})
}

func (n *Node) startFollowers(ctx context.Context) {
	whenElected := cicadafollow.WithPoll(func() bool { return n.group.IsCoordinator(n.storeUp.Load()) })
	n.registry = cicadafollow.NewRegistry(ctx, n.link, n.log, adapter.DecodeEndpoint, n.setEndpoints,
		cicadafollow.WithPeerStable(n.group.StoreStable), cicadafollow.WithPeerUnsettled(n.group.StoreUnsettled),
		cicadafollow.WithRetention(n.cfg.retention()))
	n.configFollower = cicadafollow.New(ctx, n.store, adapter.ConfigPrefix, n.link, n.log, n.applyConfig, whenElected)
	n.endpointFollower = cicadafollow.New(ctx, n.store, adapter.EndpointsPrefix, n.link, n.log, n.registry.Apply, whenElected,
		cicadafollow.WithPollInterval(n.cfg.pollInterval()), cicadafollow.WithCoalesceDelay(endpointCoalesceDelay))
	n.followersStarted.Store(true)
	n.updateStoreRates()
	n.updateSenders()
	n.updateOriginMembers()
	cicadafollow.New(ctx, n.store, peersPrefix, n.link, n.log, n.directory.apply, cicadafollow.WithCoalesceDelay(coalesceDelay))
}

func (n *Node) applyConfig(c cicadafollow.Change) {
	for _, obj := range c.Objects() {
		if obj.Name() != adapter.ConfigName || obj.Value() == nil {
			continue
		}
		config := n.decodeConfig(obj.Value(), obj.Version())
		if config == nil {
			continue
		}
		if old := n.config.Load(); old == nil || config.Version() > old.Version() {
			n.setConfig(config, obj.Version())
		}
		n.confirmConfig(c, config)
	}
}

// setConfig puts a newer configuration in force.
func (n *Node) setConfig(config *cicadaview.Config, revision int64) {
	n.config.Store(config)
	if n.freshness != nil {
		n.freshness.SetVersion(config.Version())
	}
	n.process.SetReady(true)
	n.log.Info("configuration applied", "version", config.Version(), "revision", revision, "routes", config.RouteCount(),
		"customers", config.CustomerCount())
	n.notifyPeers()
}
