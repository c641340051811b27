package cicadaprocess

import (
	"context"
	"errors"
	"net"
	"net/url"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"
	"storj.io/drpc"

	"cicadalink.example/cicadagateway/cicadabatch"
	"cicadalink.example/cicadagateway/cicadafollow"
	"cicadalink.example/cicadagateway/cicadapeer"
	"cicadalink.example/cicadagateway/cicadarelay"
	"cicadalink.example/cicadagateway/cicadareservation"
	"cicadalink.example/cicadakernel/cicadaretry"
	"cicadalink.example/cicadakernel/cicadatask"
	"cicadalink.example/cicadakernel/cicadaview"
	"cicadalink.example/cicadakernel/cicadawire"
	adapter "cicadalink.example/platform"
)

// checkpointDir is the directory of the checkpoints within the data directory.
const checkpointDir = "checkpoints"

// jobCallMargin is added to a job call's wait to get its timeout.
const jobCallMargin = 3 * time.Second

var callKinds = map[adapter.JobCallKind]cicadabatch.CallKind{
	adapter.ReadResults: cicadabatch.CallReadResults,
	adapter.ReadItem:    cicadabatch.CallReadItem,
	adapter.EndJob:      cicadabatch.CallEndJob,
}

// jobHandlers returns the handlers of an entry's batch routes, which forward the calls
// to the owners of the jobs.
func (n *Node) jobHandlers(client *cicadabatch.Client) cicadarelay.JobHandlers {
	return cicadarelay.JobHandlers{
		Timeout: jobCallMargin,
		Submit: func(ctx context.Context, route *cicadaview.Route, host, customer, id string, body []byte) cicadarelay.JobResponse {
			return n.callOwner(ctx, client, &cicadabatch.Call{
				Kind: cicadabatch.CallSubmit, Job: id, Customer: customer, Host: host, Path: route.Prefix, Due: route.Due, GiveUp: route.GiveUpAfter, Body: body,
			})
		},
		Call: func(ctx context.Context, call adapter.JobCallKind, customer, id, query string, wait time.Duration) cicadarelay.JobResponse {
			q, _ := url.ParseQuery(query)
			after, _ := strconv.Atoi(q.Get(adapter.QueryAfter))
			return n.callOwner(ctx, client, &cicadabatch.Call{
				Kind: callKinds[call], Job: id, Customer: customer, After: after, Item: q.Get(adapter.QueryItem), Wait: wait,
			})
		},
	}
}

// newPeerPool returns a pool of connections to other processes.
func (n *Node) newPeerPool() *cicadawire.Pool {
	dead := n.process.Scope().Counter("peer_connections_dead")
	return cicadawire.NewPool(cicadawire.WithOnDead(func(address string, inactivity time.Duration) {
		dead.Inc(1)
		n.log.Warn("dead connections closed", "address", address, "inactive-for", inactivity.String())
	}))
}

// callOwner sends a call to the owner of its job.
func (n *Node) callOwner(ctx context.Context, client *cicadabatch.Client, call *cicadabatch.Call) cicadarelay.JobResponse {
	ctx, cancel := context.WithTimeout(ctx, call.Wait+jobCallMargin)
	defer cancel()
	start := time.Now()
	resp, err := client.Call(ctx, call)
	if err != nil {
		n.reportFailedCall(call, resp, err, time.Since(start))
	}
	return cicadarelay.JobResponse{Status: resp.Status, Body: resp.Body, JSON: resp.JSON, RetryAfter: resp.RetryAfter}
}

// reportFailedCall counts and logs a call that no owner has answered.
func (n *Node) reportFailedCall(call *cicadabatch.Call, resp cicadabatch.Response, err error, took time.Duration) {
	end, attempts := cicadabatch.EndRemote, ""
	var failure *cicadabatch.CallFailure
	if errors.As(err, &failure) {
		end, attempts = failure.End(), failure.Attempts()
	}
	n.process.Scope().Tagged(map[string]string{"end": string(end)}).Counter("job_calls_failed").Inc(1)
	n.log.Warn("failed to call job owner", "job", call.Job, "kind", int(call.Kind), "status", resp.Status, "took", took.String(),
		"wait", call.Wait.String(), "end", string(end), "attempts", attempts, "error", err)
}

// candidates returns the live owners, including this process if it is an owner.
func (n *Node) candidates() []cicadabatch.Candidate {
	var candidates []cicadabatch.Candidate
	if n.cfg.Role == RoleOwner {
		candidates = append(candidates, cicadabatch.Candidate{
			Name: n.cfg.Name, StoreUp: n.storeUp.Load(), StoreAge: n.link.Age(), Leaving: n.leaving.Load() || n.retiring.Load(),
		})
	}
	for _, s := range n.group.Live(cicadapeer.RoleOwner) {
		candidates = append(candidates, cicadabatch.Candidate{
			Name: s.Member.Name, StoreUp: s.StoreUp, StoreAge: time.Duration(s.StoreAge) * time.Millisecond, Leaving: s.Leaving,
		})
	}
	return candidates
}

// ownerPeers returns the other owners that are eligible to run jobs, with the addresses
// at which to call them. Calls to an owner that this process cannot reach directly are
// relayed by an entry that can.
func (n *Node) ownerPeers() []cicadabatch.Peer {
	addresses := make(map[string]string)
	for _, s := range n.group.Live(cicadapeer.RoleOwner) {
		addresses[s.Member.Name] = s.Member.Address
	}
	var peers []cicadabatch.Peer
	for _, name := range n.eligibleOwners() {
		address, ok := addresses[name]
		if !ok {
			continue
		}
		peer := cicadabatch.Peer{Name: name, Address: address}
		if !n.group.ReceivesDirectly(name) {
			if relay, ok := n.group.RelayAddress(name); ok {
				peer.Address, peer.Relayed = relay, true
			}
		}
		peers = append(peers, peer)
	}
	return peers
}

func (n *Node) eligibleOwners() []string { return cicadabatch.Eligible(n.candidates()) }

// serveOwner runs jobs until ctx is done.
func (n *Node) serveOwner(ctx, workCtx context.Context) error {
	peers := cicadabatch.NewClient(n.newPeerPool(), n.ownerPeers)
	limiter := cicadareservation.New(n.cfg.Name, n.store, n.log, cicadareservation.WithShrink(peers.Shrink))
	opts := append(n.openCheckpoints(), cicadabatch.WithLimiter(limiter, peers.ReportWaiting), cicadabatch.WithHandOver(peers.HandOver), cicadabatch.WithReplication(peers.Replicate),
		cicadabatch.WithPeers(n.group.OwnerViews, n.notifyPeers), cicadabatch.WithScope(n.process.Scope()),
		cicadabatch.WithEndLimit(n.cfg.jobEndLimit()), cicadabatch.WithRetention(n.cfg.KeepJobs.Or(defaultKeepJobs)+jobRetentionMargin))
	owner := cicadabatch.NewOwner(workCtx, n.cfg.Name, n.store, n.table, n.client, n.config.Load, n.eligibleOwners, n.log, opts...)
	n.owner.Store(owner)
	n.wg.Go(func() { n.watchStore(workCtx) })
	retirements := newRetirementHandler(workCtx, n, owner.Idle)
	cicadafollow.New(workCtx, n.store, adapter.RetirementsPrefix, n.link, n.log, retirements.apply)
	owner.Follow(cicadafollow.New(workCtx, n.store, cicadabatch.JobsPrefix, n.link, n.log, owner.Apply, cicadafollow.WithCoalesceDelay(coalesceDelay)))
	if err := n.servePeers(workCtx, owner.Register); err != nil {
		return err
	}
	<-ctx.Done()
	n.announceShutdown(ctx)
	cicadaretry.Sleep(context.Background(), ownerShutdownDelay)
	n.log.Info("shutdown complete")
	return nil
}

// openCheckpoints opens the checkpoints on the VM's disk. If the disk fails, the owner
// runs without checkpoints, and its items start from the beginning after a crash.
func (n *Node) openCheckpoints() []cicadabatch.Option {
	if n.cfg.DataDir == "" {
		n.log.Info("checkpoints disabled", "reason", "data-dir not set")
		return nil
	}
	checkpoints, err := cicadabatch.OpenCheckpoints(filepath.Join(n.cfg.DataDir, checkpointDir))
	if err != nil {
		n.log.Error("failed to open checkpoints", "folder", n.cfg.DataDir, "error", err)
		return nil
	}
	n.log.Info("checkpoints read", "folder", n.cfg.DataDir, "jobs", checkpoints.Jobs(), "torn", checkpoints.TornFiles(), "refused", checkpoints.DecodeErrors())
	return []cicadabatch.Option{cicadabatch.WithCheckpoints(checkpoints)}
}

// servePeers serves job calls from other processes.
func (n *Node) servePeers(ctx context.Context, register func(drpc.Mux) error) error {
	srv := cicadawire.NewServer(cicadawire.WithMemory(n.receivedMemory))
	if err := register(srv.Mux()); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", n.cfg.peerListen())
	if err != nil {
		return merry.Errorf("listen for peers: %w", err)
	}
	n.wg.Go(func() {
		if err := srv.Serve(ctx, ln); err != nil && ctx.Err() == nil {
			cicadatask.Fail(merry.Errorf("serve peers: %w", err))
		}
	})
	return nil
}

// ownerShutdownDelay is how long a stopping owner keeps serving calls, so that entries
// detect that its jobs have moved.
const ownerShutdownDelay = 1500 * time.Millisecond

// jobRetentionMargin is added to the retention time of jobs. It covers the time from a
// job's first submission to its acceptance, and reads just before the retention ends.
const jobRetentionMargin = 30 * time.Second

const (
	storeCheckInterval = 500 * time.Millisecond
	// maxStoreAge is the maximum time since the last successful call to the store while
	// another owner has lost its connection. After that, this owner calls the store again.
	maxStoreAge = 600 * time.Millisecond
)

// watchStore checks at intervals that this owner still reaches the store while another
// owner has lost its connection.
func (n *Node) watchStore(ctx context.Context) {
	for cicadaretry.Sleep(ctx, storeCheckInterval) {
		peerLostStore := slices.ContainsFunc(n.group.Live(cicadapeer.RoleOwner), func(s cicadapeer.State) bool { return !s.StoreUp })
		if !peerLostStore || !n.storeUp.Load() {
			continue
		}
		if n.link.Age() > maxStoreAge {
			n.configFollower.Refresh()
		}
		n.notifyPeers()
	}
}
