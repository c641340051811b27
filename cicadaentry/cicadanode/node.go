// Package cicadanode assembles an entry from its components: the fleet, the
// dispatcher, the shards, the rate limiter, and the listeners for callers,
// operators and other entries.
//
// # Usage
//
//	node, err := cicadanode.New(settings, process)
//	err = node.Serve(ctx) // until ctx ends, then a graceful shutdown
package cicadanode

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"
	"golang.org/x/net/netutil"

	"cicadalink.example/cicadaentry/cicadadispatch"
	"cicadalink.example/cicadaentry/cicadafile"
	"cicadalink.example/cicadaentry/cicadafleet"
	"cicadalink.example/cicadaentry/cicadafront"
	"cicadalink.example/cicadaentry/cicadaquota"
	"cicadalink.example/cicadaentry/cicadashard"
	"cicadalink.example/cicadakernel"
	"cicadalink.example/cicadakernel/cicadaconfig"
	"cicadalink.example/cicadakernel/cicadamember"
	"cicadalink.example/cicadakernel/cicadamemory"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadaretry"
	"cicadalink.example/cicadakernel/cicadasuspect"
	"cicadalink.example/cicadakernel/cicadatask"
	"cicadalink.example/cicadakernel/cicadawire"
)

const (
	maxHeaderBytes      = 64 << 10
	callerIdleTimeout   = 2 * time.Minute
	suspectTimeout      = 300 * time.Millisecond
	attemptQueryTimeout = time.Second
)

// A Node is an entry with all its components.
type Node struct {
	cfg            *Settings
	log            hclog.Logger
	scope          tally.Scope
	reports        cicadatask.Group // broadcasts that nobody waits for
	setReady       func(bool)
	store          *cicadaplatform.Client
	pool           *cicadawire.Pool
	fleet          *cicadafleet.Fleet
	dispatcher     *cicadadispatch.Dispatcher
	limiter        *cicadaquota.Limiter
	files          *cicadafile.Store
	shards         *cicadashard.Manager
	memory         *cicadamemory.Budget // for collected responses and received messages
	callerListener net.Listener
	peerListener   net.Listener
	process        *cicadakernel.Process
}

// New creates an entry and opens its listeners. It serves no requests before Serve
// is called.
func New(cfg *Settings, p *cicadakernel.Process) (*Node, error) {
	backend, err := cicadaplatform.Open(cfg.Platform)
	if err != nil {
		return nil, merry.Errorf("open platform: %w", err)
	}
	writeRate := cfg.WriteRate
	if writeRate == 0 {
		writeRate = DefaultWriteRate
	}
	n := &Node{
		cfg:      cfg,
		log:      p.Log(),
		scope:    p.Scope(),
		setReady: p.SetReady,
		process:  p,
		memory:   cicadamemory.NewBudget(cfg.ResponseMemory.Or(DefaultResponseMemory), cicadamemory.WithScope(p.Scope(), "responses")),
		store:    cicadaplatform.NewClient(backend, cicadaplatform.WithWriteRate(writeRate), cicadaplatform.WithScope(p.Scope())),
	}
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.createComponents()
	return n, nil
}

func (n *Node) listen() error {
	callerTLS, err := n.cfg.TLS.ServerConfig()
	if err != nil {
		return merry.Errorf("tls: %w", err)
	}
	peerTLS, err := n.cfg.PeerTLS.ServerConfig()
	if err != nil {
		return merry.Errorf("peer-tls: %w", err)
	}
	clientTLS, err := n.cfg.PeerTLS.ClientConfig()
	if err != nil {
		return merry.Errorf("peer-tls: %w", err)
	}
	dead := n.scope.Counter("peer_connections_dead")
	n.pool = cicadawire.NewPool(cicadawire.WithTLS(clientTLS), cicadawire.WithOnDead(func(address string, inactivity time.Duration) {
		dead.Inc(1)
		n.log.Warn("dead connections closed", "address", address, "inactive-for", inactivity.String())
	}))
	listener, err := cicadawire.Listen(n.cfg.Listen, callerTLS)
	if err != nil {
		return merry.Errorf("listen for callers: %w", err)
	}
	maxConnections := n.cfg.MaxConnections
	if maxConnections == 0 {
		maxConnections = DefaultMaxConnections
	}
	n.callerListener = netutil.LimitListener(listener, maxConnections)
	if n.peerListener, err = cicadawire.Listen(n.cfg.PeerListen, peerTLS); err != nil {
		return merry.Errorf("listen for other entries: %w", err)
	}
	return nil
}

func (n *Node) createComponents() {
	self := cicadamember.Member{Name: n.cfg.Name, DataCentre: n.cfg.DataCentre}
	configStore := cicadaconfig.NewStore(n.store, rand.Uint64)
	n.fleet = cicadafleet.New(self, n.store, configStore, n.pool,
		cicadafleet.WithLog(n.log), cicadafleet.WithScope(n.scope), cicadafleet.WithPeers(n.cfg.Peers...))
	n.files = cicadafile.New(n.store, rand.Uint64)
	n.dispatcher = cicadadispatch.New(n.fleet.Table(), n.openAttempt,
		cicadadispatch.WithAttemptPrefix(fmt.Sprintf("%s-%x", n.cfg.Name, rand.Uint32())),
		cicadadispatch.WithScope(n.scope),
		cicadadispatch.WithSuspects(&cicadasuspect.Table{}, cicadasuspect.NewPartTable(n.cfg.Name),
			cicadadispatch.Notices{
				Crash: n.broadcastCrash, Success: n.broadcastCleared, SoundPrefix: n.broadcastSoundPrefix, Quarantine: n.broadcastQuarantine,
			}))
	n.limiter = cicadaquota.New(n.cfg.Name, n.fleet.Table(), n.requestGrant)
}

// CallerAddress returns the listen address for callers and operators.
func (n *Node) CallerAddress() string { return n.callerListener.Addr().String() }

// PeerAddress returns the listen address for other entries.
func (n *Node) PeerAddress() string { return n.peerListener.Addr().String() }

// Fleet returns the entry's view of the fleet.
func (n *Node) Fleet() *cicadafleet.Fleet { return n.fleet }

// Serve serves until ctx ends or a listener fails, and then shuts down gracefully:
// it reports not ready, keeps serving for ReadyDelay, releases its shards, and then
// accepts no more requests and waits for the running ones.
func (n *Node) Serve(ctx context.Context) error {
	servingCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var tasks cicadatask.Group
	defer tasks.Wait()
	defer n.reports.Wait()
	peerServer := cicadawire.NewServer(cicadawire.WithMemory(n.memory))
	if err := cicadawire.DRPCRegisterEntry(peerServer.Mux(), &peerService{n}); err != nil {
		return merry.Errorf("register entry service: %w", err)
	}
	serveErrors := make(chan error, 2)
	tasks.Go(func() { serveErrors <- peerServer.Serve(servingCtx, n.peerListener) })
	if err := n.fleet.Start(ctx); err != nil {
		stop()
		_ = n.callerListener.Close()
		return merry.Errorf("start entry: %w", err)
	}
	n.startShards()
	tasks.Go(func() { n.watchLimits(servingCtx) })
	server := n.callerServer()
	tasks.Go(func() { serveErrors <- server.Serve(n.callerListener) })
	n.setReady(true)
	n.log.Info("serving", "callers", n.CallerAddress(), "entries", n.PeerAddress(), "revision", n.fleet.Config().Snapshot().Revision())
	var err error
	select {
	case err = <-serveErrors:
	case <-ctx.Done():
	}
	n.shutDown(ctx, server)
	stop()
	return err
}

func (n *Node) startShards() {
	n.shards = cicadashard.New(cicadashard.Config{
		Name:          n.cfg.Name,
		Address:       n.PeerAddress(),
		Shards:        n.cfg.Shards,
		FlushInterval: n.cfg.FlushInterval.Or(0),
		ClaimInterval: n.cfg.ClaimInterval.Or(0),
	}, cicadashard.Deps{
		Store:        n.store,
		Files:        n.files,
		Config:       n.fleet.Config().Snapshot,
		Dispatcher:   n.dispatcher,
		Peers:        n.fleet.Table(),
		Dial:         n.entryClient,
		QueryAttempt: n.queryAttempt,
		Nonce:        rand.Uint64,
		Memory:       n.memory,
		Log:          n.log,
		Scope:        n.scope,
	})
}

func (n *Node) callerServer() *http.Server {
	api := cicadafront.New(cicadafront.Deps{
		Name:           n.cfg.Name,
		Fleet:          n.fleet,
		Dispatcher:     n.dispatcher,
		Limiter:        n.limiter,
		Files:          n.files,
		Shards:         n.shards,
		Pool:           n.pool,
		Store:          n.store,
		OperatorByHash: n.cfg.operatorByHash,
		MaxUpload:      n.cfg.MaxUpload.Or(DefaultMaxUpload),
		Memory:         n.memory,
		Log:            n.log,
		Scope:          n.scope,
		LocalStatus:    n.localStatus,
	})
	router := api.Router()
	n.process.AddAdminRoutes(router)
	return &http.Server{
		Handler:           router,
		ReadHeaderTimeout: DefaultHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func (n *Node) shutDown(ctx context.Context, server *http.Server) {
	n.setReady(false)
	n.log.Info("shutting down")
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), n.cfg.DrainLimit.Or(DefaultDrainLimit))
	defer cancel()
	cicadaretry.Sleep(ctx, n.cfg.ReadyDelay.Or(DefaultReadyDelay))
	n.shards.Close()
	if err := server.Shutdown(ctx); err != nil {
		n.log.Warn("drain limit reached with requests still running")
		_ = server.Close()
	}
	n.fleet.Close()
	_ = n.pool.Close()
	n.log.Info("shutdown complete")
}

// watchLimits applies the limits of the configuration to the dispatcher, now and
// after each change, until ctx ends.
func (n *Node) watchLimits(ctx context.Context) {
	for {
		changed := n.fleet.Config().Changed()
		limits := n.fleet.Config().Snapshot().Limits()
		n.dispatcher.SetLimits(limits.RetryShare, limits.HedgeShare, time.Duration(limits.QuarantinePeriod))
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// openAttempt starts an attempt on an endpoint and returns a function that receives
// its frames.
func (n *Node) openAttempt(ctx context.Context, e *cicadafleet.Endpoint, call *cicadawire.Call) (func() (*cicadawire.Frame, error), error) {
	stream, err := cicadawire.NewDRPCAgentClient(n.pool.Conn(e.Address())).Run(ctx, call)
	if err != nil {
		return nil, merry.Errorf("start attempt: %w", err)
	}
	return stream.Recv, nil
}

func (n *Node) entryClient(address string) cicadawire.DRPCEntryClient {
	return cicadawire.NewDRPCEntryClient(n.pool.Conn(address))
}

func (n *Node) agentClient(address string) cicadawire.DRPCAgentClient {
	return cicadawire.NewDRPCAgentClient(n.pool.Conn(address))
}

// requestGrant requests rate-limit tokens from a customer's home entry.
func (n *Node) requestGrant(ctx context.Context, home string, req *cicadawire.GrantRequest) (*cicadawire.GrantReply, error) {
	address, ok := n.fleet.Table().EntryAddress(home)
	if !ok {
		return nil, merry.Errorf("entry %q has no address", home)
	}
	return n.entryClient(address).Grant(ctx, req)
}

// queryAttempt queries the agents of a group, one after another, for the outcome of
// a keyed call. It returns the first reply with a record of the call. If there is
// none and an agent has not replied, it fails, because that agent may have a record.
func (n *Node) queryAttempt(ctx context.Context, group, customer, key string) (*cicadawire.AttemptReply, error) {
	ctx, cancel := context.WithTimeout(ctx, attemptQueryTimeout)
	defer cancel()
	query := &cicadawire.AttemptQuery{Customer: customer, Key: key}
	var errs []error
	for _, vm := range n.fleet.Table().VMs() {
		if vm.Role != cicadafleet.RoleEndpoint || vm.Group != group {
			continue
		}
		reply, err := n.agentClient(vm.Address).Attempts(ctx, query)
		if err != nil {
			errs = append(errs, merry.Errorf("query agent of %s: %w", vm.Name, err))
			continue
		}
		if reply.GetState() != cicadawire.AttemptState_UNKNOWN {
			return reply, nil
		}
	}
	if err := errors.Join(errs...); err != nil {
		return nil, err
	}
	return &cicadawire.AttemptReply{}, nil
}

// broadcastCrash reports a request during which an engine crashed to all other
// entries, so that they recognise the request if it is sent to them. It waits for
// their replies for up to suspectTimeout.
func (n *Node) broadcastCrash(c cicadadispatch.Crash) {
	n.broadcastReport(&cicadawire.SuspectReport{
		Fingerprint: c.Fingerprint, Endpoint: c.Endpoint, Prefix: c.Prefix, Crashed: true,
		AgeMs: time.Since(c.SentAt).Milliseconds(), Answered: c.Answered,
	})
}

// broadcastCleared reports a suspect request that has completed to all other entries,
// so that they no longer suspect it, unless they have quarantined it. It waits like
// broadcastCrash.
func (n *Node) broadcastCleared(fingerprint uint64) {
	n.broadcastReport(&cicadawire.SuspectReport{Fingerprint: fingerprint, Cleared: true})
}

// broadcastSoundPrefix reports that a prompt with a prefix under suspicion was run. It does not wait, as
// the response is not complete yet.
func (n *Node) broadcastSoundPrefix(prefix cicadasuspect.SoundPart) {
	report := &cicadawire.SuspectReport{
		Prefix: prefix.Part, Cleared: true, Complete: prefix.Complete, AgeMs: time.Since(prefix.SentAt).Milliseconds(),
	}
	n.reports.Go(func() { n.broadcastReport(report) })
}

// broadcastQuarantine reports a prefix that this entry has quarantined. It does not wait,
// as the crash of another entry's request may have led to it.
func (n *Node) broadcastQuarantine(q cicadasuspect.PartQuarantine) {
	n.log.Warn("prompt prefix quarantined", "prefix", q.Part, "for", q.Remaining.String())
	report := &cicadawire.SuspectReport{
		Prefix: q.Part, QuarantinedMs: q.Remaining.Milliseconds(), QuarantineLevel: int32(q.Level),
		AgeMs: time.Since(q.Since).Milliseconds(), Early: q.Early,
	}
	n.reports.Go(func() { n.broadcastReport(report) })
}

func (n *Node) broadcastReport(report *cicadawire.SuspectReport) {
	ctx, cancel := context.WithTimeout(context.Background(), suspectTimeout)
	defer cancel()
	var tasks conc.WaitGroup
	for _, vm := range n.fleet.Table().Entries() {
		if vm.Name == n.cfg.Name {
			continue
		}
		tasks.Go(func() {
			if _, err := n.entryClient(vm.Address).Suspect(ctx, report); err != nil {
				n.scope.Counter("suspect_reports_lost").Inc(1)
			}
		})
	}
	tasks.Wait()
}
