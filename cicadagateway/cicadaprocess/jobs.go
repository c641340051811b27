package cicadaprocess

import (
	"context"
	"net"
	"net/url"
	"sort"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadagateway/cicadabatch"
	"cicadalink.example/cicadagateway/cicadafollow"
	"cicadalink.example/cicadagateway/cicadapeer"
	"cicadalink.example/cicadagateway/cicadarelay"
	"cicadalink.example/cicadakernel/cicadaview"
	"cicadalink.example/cicadakernel/cicadawire"
	adapter "cicadalink.example/platform"
)

// callMargin is the time of a call on a job beyond its wait.
const callMargin = 3 * time.Second

var callKinds = map[adapter.JobCall]cicadabatch.CallKind{
	adapter.ReadResults: cicadabatch.CallRead,
	adapter.ReadItem:    cicadabatch.CallItem,
	adapter.EndJob:      cicadabatch.CallEnd,
}

// jobs returns what handles batch routes at an entry: the jobs' owners.
func (n *Node) jobs() cicadarelay.Jobs {
	client := cicadabatch.NewClient(cicadawire.NewPool(), n.ownerPeers)
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

// ownerPeers returns the owners that may run jobs: those that reach the store,
// or all that are live if none does.
func (n *Node) ownerPeers() []cicadabatch.Peer {
	var able, live []cicadabatch.Peer
	for _, s := range n.group.Live(cicadapeer.RoleOwner) {
		peer := cicadabatch.Peer{Name: s.Member.Name, Address: s.Member.Address}
		live = append(live, peer)
		if s.StoreUp && !s.Leaving {
			able = append(able, peer)
		}
	}
	if len(able) == 0 {
		return live
	}
	return able
}

func (n *Node) ownerNames() []string {
	var names []string
	if n.storeUp.Load() && !n.leaving.Load() {
		names = append(names, n.cfg.Name)
	}
	for _, s := range n.group.Live(cicadapeer.RoleOwner) {
		if s.StoreUp && !s.Leaving {
			names = append(names, s.Member.Name)
		}
	}
	if len(names) == 0 {
		names = append(names, n.cfg.Name)
	}
	sort.Strings(names)
	return names
}

// serveOwner runs jobs until ctx ends.
func (n *Node) serveOwner(ctx, work context.Context) error {
	owner := cicadabatch.NewOwner(work, n.cfg.Name, n.store, n.table, n.client, n.config.Load, n.ownerNames, n.log)
	n.owner.Store(owner)
	cicadafollow.New(work, n.store, cicadabatch.JobsPrefix, n.link, n.log, owner.Apply)
	srv := cicadawire.NewServer()
	if err := owner.Register(srv.Mux()); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", net.JoinHostPort(n.cfg.IP, strconv.Itoa(n.cfg.PeerPort)))
	if err != nil {
		return merry.Errorf("listen for entries: %w", err)
	}
	n.wg.Go(func() {
		if err := srv.Serve(work, ln); err != nil && work.Err() == nil {
			n.log.Error("owner listener failed", "error", err)
		}
	})
	<-ctx.Done()
	n.leave()
	time.Sleep(ownerLinger)
	return nil
}

// ownerLinger is how long a leaving owner still answers, so that entries have
// heard that its jobs have moved.
const ownerLinger = 500 * time.Millisecond
