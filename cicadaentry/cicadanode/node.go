// Package cicadanode puts an entry together: the fleet, the dispatcher, the
// shards, the limits, and the listeners for callers, operators and other
// entries.
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
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadaretry"
	"cicadalink.example/cicadakernel/cicadasuspect"
	"cicadalink.example/cicadakernel/cicadawire"
)

const (
	maxHeaderBytes = 64 << 10
	callerIdle     = 2 * time.Minute
	suspectTimeout = 300 * time.Millisecond
	askTimeout     = time.Second
)

// A Node is one entry.
type Node struct {
	cfg        *Settings
	log        hclog.Logger
	scope      tally.Scope
	ready      func(bool)
	store      *cicadaplatform.Client
	pool       *cicadawire.Pool
	fleet      *cicadafleet.Fleet
	dispatcher *cicadadispatch.Dispatcher
	limiter    *cicadaquota.Limiter
	files      *cicadafile.Files
	shards     *cicadashard.Manager
	callers    net.Listener
	peers      net.Listener
	process    *cicadakernel.Process
}

// New opens the listeners. The entry serves once Serve is called.
func New(cfg *Settings, p *cicadakernel.Process) (*Node, error) {
	backend, err := cicadaplatform.Open(cfg.Platform)
	if err != nil {
		return nil, merry.Errorf("open platform: %w", err)
	}
	rate := cfg.WriteRate
	if rate == 0 {
		rate = DefaultWriteRate
	}
	n := &Node{
		cfg:     cfg,
		log:     p.Log(),
		scope:   p.Scope(),
		ready:   p.Ready,
		process: p,
		store:   cicadaplatform.NewClient(backend, cicadaplatform.WithWriteRate(rate), cicadaplatform.WithScope(p.Scope())),
	}
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.assemble()
	return n, nil
}

func (n *Node) listen() error {
	secure, err := n.cfg.TLS.Server()
	if err != nil {
		return merry.Errorf("tls: %w", err)
	}
	securePeers, err := n.cfg.PeerTLS.Server()
	if err != nil {
		return merry.Errorf("peer-tls: %w", err)
	}
	client, err := n.cfg.PeerTLS.Client()
	if err != nil {
		return merry.Errorf("peer-tls: %w", err)
	}
	n.pool = cicadawire.NewPool(cicadawire.WithTLS(client))
	callers, err := cicadawire.Listen(n.cfg.Listen, secure)
	if err != nil {
		return merry.Errorf("listen for callers: %w", err)
	}
	limit := n.cfg.MaxConnections
	if limit == 0 {
		limit = DefaultMaxConnections
	}
	n.callers = netutil.LimitListener(callers, limit)
	if n.peers, err = cicadawire.Listen(n.cfg.PeerListen, securePeers); err != nil {
		return merry.Errorf("listen for entries: %w", err)
	}
	return nil
}

func (n *Node) assemble() {
	self := cicadamember.Member{Name: n.cfg.Name, DataCentre: n.cfg.DataCentre}
	source := cicadaconfig.NewStore(n.store, rand.Uint64)
	n.fleet = cicadafleet.New(self, n.store, source, n.pool,
		cicadafleet.WithLog(n.log), cicadafleet.WithScope(n.scope), cicadafleet.WithPeers(n.cfg.Peers...))
	n.files = cicadafile.New(n.store, rand.Uint64)
	n.dispatcher = cicadadispatch.New(n.fleet.Table(), n.open,
		cicadadispatch.WithName(fmt.Sprintf("%s-%x", n.cfg.Name, rand.Uint32())),
		cicadadispatch.WithScope(n.scope),
		cicadadispatch.WithSuspects(&cicadasuspect.Table{}, n.tellCrashed, n.tellAnswered))
	n.limiter = cicadaquota.New(n.cfg.Name, n.fleet.Table(), n.askHome)
}

// CallerAddress returns the address for callers and operators.
func (n *Node) CallerAddress() string { return n.callers.Addr().String() }

// PeerAddress returns the address for other entries.
func (n *Node) PeerAddress() string { return n.peers.Addr().String() }

// Fleet returns the entry's picture of the fleet.
func (n *Node) Fleet() *cicadafleet.Fleet { return n.fleet }

// Serve serves until ctx ends, and then shuts down gracefully: readiness goes
// first, then new requests are refused, and running ones finish.
func (n *Node) Serve(ctx context.Context) error {
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	var tasks conc.WaitGroup
	defer tasks.Wait()
	peerServer := cicadawire.NewServer()
	if err := cicadawire.DRPCRegisterEntry(peerServer.Mux(), &peerService{n}); err != nil {
		return merry.Errorf("register service: %w", err)
	}
	failed := make(chan error, 2)
	tasks.Go(func() { failed <- peerServer.Serve(serving, n.peers) })
	if err := n.fleet.Start(ctx); err != nil {
		stop()
		_ = n.callers.Close()
		return merry.Errorf("start: %w", err)
	}
	n.startShards()
	tasks.Go(func() { n.followLimits(serving) })
	server := n.callerServer()
	tasks.Go(func() { failed <- server.Serve(n.callers) })
	n.ready(true)
	n.log.Info("serving", "callers", n.CallerAddress(), "entries", n.PeerAddress(), "revision", n.fleet.Config().Snapshot().Revision())
	var err error
	select {
	case err = <-failed:
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
		Store:  n.store,
		Files:  n.files,
		Config: n.fleet.Config().Snapshot,
		Runner: n.dispatcher,
		Peers:  n.fleet.Table(),
		Dial:   n.entryClient,
		Ask:    n.askAgents,
		Nonce:  rand.Uint64,
		Log:    n.log,
		Scope:  n.scope,
	})
}

func (n *Node) callerServer() *http.Server {
	front := cicadafront.New(cicadafront.Deps{
		Name:       n.cfg.Name,
		Fleet:      n.fleet,
		Dispatcher: n.dispatcher,
		Limiter:    n.limiter,
		Files:      n.files,
		Shards:     n.shards,
		Pool:       n.pool,
		Store:      n.store,
		Operator:   n.cfg.operatorByHash,
		MaxUpload:  n.cfg.MaxUpload.Or(DefaultMaxUpload),
		Log:        n.log,
		Scope:      n.scope,
		Peer:       n.peer,
	})
	router := front.Router()
	n.process.AddAdminRoutes(router)
	return &http.Server{
		Handler:           router,
		ReadHeaderTimeout: DefaultHeaderTime,
		IdleTimeout:       callerIdle,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

func (n *Node) shutDown(ctx context.Context, server *http.Server) {
	n.ready(false)
	n.log.Info("leaving")
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), n.cfg.DrainLimit.Or(DefaultDrainLimit))
	defer cancel()
	cicadaretry.Wait(ctx, n.cfg.ReadyDelay.Or(DefaultReadyDelay))
	n.shards.Close()
	if err := server.Shutdown(ctx); err != nil {
		n.log.Warn("requests still running at the drain limit")
		_ = server.Close()
	}
	n.fleet.Close()
	_ = n.pool.Close()
	n.log.Info("left")
}

// followLimits puts the fleet's limits in force in the dispatcher.
func (n *Node) followLimits(ctx context.Context) {
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

// open starts an attempt over drpc.
func (n *Node) open(ctx context.Context, e *cicadafleet.Endpoint, call *cicadawire.Call) (func() (*cicadawire.Frame, error), error) {
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

// askHome asks a customer's home entry for rate-limit tokens.
func (n *Node) askHome(ctx context.Context, home string, req *cicadawire.GrantRequest) (*cicadawire.GrantReply, error) {
	address, ok := n.fleet.Table().EntryAddress(home)
	if !ok {
		return nil, merry.Errorf("entry %q has no address", home)
	}
	return n.entryClient(address).Grant(ctx, req)
}

// askAgents asks the agents of a group what became of a keyed call. It fails
// unless every live one answers or one knows the call.
func (n *Node) askAgents(ctx context.Context, group, customer, key string) (*cicadawire.AttemptReply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	query := &cicadawire.AttemptQuery{Customer: customer, Key: key}
	var errs []error
	for _, vm := range n.fleet.Table().VMs() {
		if vm.Role != cicadafleet.RoleEndpoint || vm.Group != group {
			continue
		}
		reply, err := n.agentClient(vm.Address).Attempts(ctx, query)
		if err != nil {
			errs = append(errs, merry.Errorf("ask %s: %w", vm.Name, err))
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

// tellCrashed tells every other entry of a crash, so that a resend elsewhere is
// known. It waits for their answers, but not long.
func (n *Node) tellCrashed(fingerprint uint64, endpoint string) {
	n.tellSuspects(&cicadawire.SuspectReport{Fingerprint: fingerprint, Endpoint: endpoint, Crashed: true})
}

func (n *Node) tellAnswered(fingerprint uint64) {
	n.tellSuspects(&cicadawire.SuspectReport{Fingerprint: fingerprint, Cleared: true})
}

func (n *Node) tellSuspects(report *cicadawire.SuspectReport) {
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
