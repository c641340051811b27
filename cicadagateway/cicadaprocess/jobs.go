package cicadaprocess

import (
	"context"
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
	"cicadalink.example/cicadakernel/cicadaretry"
	"cicadalink.example/cicadakernel/cicadaview"
	"cicadalink.example/cicadakernel/cicadawire"
	adapter "cicadalink.example/platform"
)

// checkpointFolder holds the checkpoints within the data folder.
const checkpointFolder = "checkpoints"

// callMargin is the time of a call on a job beyond its wait.
const callMargin = 3 * time.Second

var callKinds = map[adapter.JobCall]cicadabatch.CallKind{
	adapter.ReadResults: cicadabatch.CallRead,
	adapter.ReadItem:    cicadabatch.CallItem,
	adapter.EndJob:      cicadabatch.CallEnd,
}

// jobs returns what handles batch routes at an entry: the jobs' owners.
func (n *Node) jobs(client *cicadabatch.Client) cicadarelay.Jobs {
	return cicadarelay.Jobs{
		Submit: func(ctx context.Context, route *cicadaview.Route, host, id string, body []byte) cicadarelay.JobAnswer {
			return n.callOwner(ctx, client, &cicadabatch.Call{
				Kind: cicadabatch.CallSubmit, Job: id, Host: host, Path: route.Prefix, Due: route.Due, GiveUp: route.GiveUpAfter, Body: body,
			})
		},
		Call: func(ctx context.Context, call adapter.JobCall, id, query string, wait time.Duration) cicadarelay.JobAnswer {
			q, _ := url.ParseQuery(query)
			after, _ := strconv.Atoi(q.Get(adapter.QueryAfter))
			return n.callOwner(ctx, client, &cicadabatch.Call{
				Kind: callKinds[call], Job: id, After: after, Item: q.Get(adapter.QueryItem), Wait: wait,
			})
		},
	}
}

func (n *Node) callOwner(ctx context.Context, client *cicadabatch.Client, call *cicadabatch.Call) cicadarelay.JobAnswer {
	ctx, cancel := context.WithTimeout(ctx, call.Wait+callMargin)
	defer cancel()
	a, err := client.Call(ctx, call)
	if err != nil {
		n.log.Warn("job call failed", "job", call.Job, "kind", int(call.Kind), "status", a.Status, "error", err)
	}
	return cicadarelay.JobAnswer{Status: a.Status, Body: a.Body, JSON: a.JSON, RetryAfter: a.RetryAfter}
}

// candidates returns the live owners, this process among them if it is one.
func (n *Node) candidates() []cicadabatch.Candidate {
	var all []cicadabatch.Candidate
	if n.cfg.Role == RoleOwner {
		all = append(all, cicadabatch.Candidate{
			Name: n.cfg.Name, StoreUp: n.storeUp.Load(), StoreAge: n.link.Age(), Leaving: n.leaving.Load() || n.retiring.Load(),
		})
	}
	for _, s := range n.group.Live(cicadapeer.RoleOwner) {
		all = append(all, cicadabatch.Candidate{
			Name: s.Member.Name, StoreUp: s.StoreUp, StoreAge: time.Duration(s.StoreAge) * time.Millisecond, Leaving: s.Leaving,
		})
	}
	return all
}

// ownerPeers returns the owners that may run jobs and can be called.
func (n *Node) ownerPeers() []cicadabatch.Peer {
	addresses := make(map[string]string)
	for _, s := range n.group.Live(cicadapeer.RoleOwner) {
		addresses[s.Member.Name] = s.Member.Address
	}
	var peers []cicadabatch.Peer
	for _, name := range n.ownerNames() {
		address, ok := addresses[name]
		if !ok {
			continue
		}
		peer := cicadabatch.Peer{Name: name, Address: address}
		if !n.group.Direct(name) {
			if through, ok := n.group.Through(name); ok {
				peer.Address, peer.Relayed = through, true
			}
		}
		peers = append(peers, peer)
	}
	return peers
}

func (n *Node) ownerNames() []string { return cicadabatch.Eligible(n.candidates()) }

// serveOwner runs jobs until ctx ends.
func (n *Node) serveOwner(ctx, work context.Context) error {
	peers := cicadabatch.NewClient(cicadawire.NewPool(), n.ownerPeers)
	opts := append(n.checkpoints(), cicadabatch.WithHandOver(peers.HandOver), cicadabatch.WithCopies(peers.Copy),
		cicadabatch.WithScope(n.process.Scope()),
		cicadabatch.WithKeep(n.cfg.KeepJobs.Or(defaultKeepJobs)+keepMargin))
	owner := cicadabatch.NewOwner(work, n.cfg.Name, n.store, n.table, n.client, n.config.Load, n.ownerNames, n.log, opts...)
	n.owner.Store(owner)
	n.wg.Go(func() { n.checkStore(work) })
	retirements := newRetirements(work, n, owner.Idle)
	cicadafollow.New(work, n.store, adapter.RetirementsPrefix, n.link, n.log, retirements.apply)
	cicadafollow.New(work, n.store, cicadabatch.JobsPrefix, n.link, n.log, owner.Apply, cicadafollow.WithGather(gatherTime))
	if err := n.servePeers(work, owner.Register); err != nil {
		return err
	}
	<-ctx.Done()
	n.leave()
	cicadaretry.Wait(context.Background(), ownerLinger)
	n.log.Info("stopped")
	return nil
}

// checkpoints opens the checkpoints on the VM's disk. An owner whose disk fails goes
// without: its items then begin anew after a crash.
func (n *Node) checkpoints() []cicadabatch.Option {
	if n.cfg.DataDir == "" {
		n.log.Info("no checkpoints", "reason", "no data folder")
		return nil
	}
	file, err := cicadabatch.OpenCheckpoints(filepath.Join(n.cfg.DataDir, checkpointFolder))
	if err != nil {
		n.log.Error("no checkpoints", "folder", n.cfg.DataDir, "error", err)
		return nil
	}
	n.log.Info("checkpoints read", "folder", n.cfg.DataDir, "jobs", file.Jobs(), "torn", file.Torn(), "refused", file.Refused())
	return []cicadabatch.Option{cicadabatch.WithCheckpoints(file)}
}

// servePeers serves calls on jobs from other processes.
func (n *Node) servePeers(ctx context.Context, register func(drpc.Mux) error) error {
	srv := cicadawire.NewServer()
	if err := register(srv.Mux()); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", net.JoinHostPort(n.cfg.IP, strconv.Itoa(n.cfg.PeerPort)))
	if err != nil {
		return merry.Errorf("listen for peers: %w", err)
	}
	n.wg.Go(func() {
		if err := srv.Serve(ctx, ln); err != nil && ctx.Err() == nil {
			n.log.Error("peer listener failed", "error", err)
		}
	})
	return nil
}

// ownerLinger is how long a leaving owner still answers, so that entries have
// heard that its jobs have moved.
const ownerLinger = 1500 * time.Millisecond

// keepMargin covers the time between a job's first submission and its acceptance,
// and the reads that come just before its end.
const keepMargin = 30 * time.Second

const (
	checkInterval = 500 * time.Millisecond
	// checkAge is how old the store's last answer may be, while another owner has
	// lost the store, before this one asks again.
	checkAge = 600 * time.Millisecond
)

// checkStore makes sure of the store while another owner has lost it.
func (n *Node) checkStore(ctx context.Context) {
	for cicadaretry.Wait(ctx, checkInterval) {
		lost := slices.ContainsFunc(n.group.Live(cicadapeer.RoleOwner), func(s cicadapeer.State) bool { return !s.StoreUp })
		if !lost || !n.storeUp.Load() {
			continue
		}
		if n.link.Age() > checkAge {
			n.configs.Refresh()
		}
		n.notify()
	}
}
