package cicadafleet

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"

	"cicadalink.example/cicadakernel/cicadaconfig"
	"cicadalink.example/cicadakernel/cicadamember"
	"cicadalink.example/cicadakernel/cicadaretry"
	"cicadalink.example/cicadakernel/cicadawire"
)

const (
	initialRedialDelay = 100 * time.Millisecond
	maxRedialDelay     = 2 * time.Second
	// pushersPerEndpoint is how many entries push a new revision of the
	// configuration to an agent immediately. If the agent has an older one after
	// pushTakeoverAfter, the other entries push it too.
	pushersPerEndpoint = 2
	pushTakeoverAfter  = 1500 * time.Millisecond
	linkTimeout        = 4 * time.Second
	linkCheckInterval  = time.Second
)

// maintainLink keeps a link open to the agent of one endpoint until ctx ends. It
// reconnects with exponential backoff.
func (f *Fleet) maintainLink(ctx context.Context, e *Endpoint) {
	for wait := initialRedialDelay; ; wait = min(2*wait, maxRedialDelay) {
		startedAt := time.Now()
		err := f.link(ctx, e)
		e.MarkDisconnected()
		if ctx.Err() != nil {
			return
		}
		f.log.Debug("link to agent closed", "endpoint", e.Name(), "error", err)
		if time.Since(startedAt) > maxRedialDelay {
			wait = initialRedialDelay
		}
		if !cicadaretry.Sleep(ctx, wait/2+f.jitter(wait)) {
			return
		}
	}
}

// link opens a link to an agent, receives its heartbeats and pushes the
// configuration to it until the link fails.
func (f *Fleet) link(ctx context.Context, e *Endpoint) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := cicadawire.NewDRPCAgentClient(f.pool.Conn(e.Address())).Link(ctx)
	if err != nil {
		return merry.Errorf("open link: %w", err)
	}
	defer stream.Close()
	if err := stream.Send(&cicadawire.LinkDown{Entry: f.self.Name}); err != nil {
		return merry.Errorf("send first message on link: %w", err)
	}
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() {
		defer cancel()
		f.pushConfig(ctx, e, stream)
	})
	defer cancel()
	for {
		up, err := stream.Recv()
		if err != nil {
			return merry.Errorf("read heartbeat: %w", err)
		}
		if up.GetName() != e.Name() {
			return merry.Errorf("agent at %s reports name %q, want %q", e.Address(), up.GetName(), e.Name())
		}
		e.SetBoot(up.GetBoot())
		e.UpdateLoad(up.GetLoad())
	}
}

// pushConfig sends the configuration of the endpoint's group to the agent whenever
// the agent has an older revision. Only pushersPerEndpoint entries push
// immediately; the others do so after pushTakeoverAfter. It returns when ctx
// ends or the link has timed out.
func (f *Fleet) pushConfig(ctx context.Context, e *Endpoint, stream cicadawire.DRPCAgent_LinkClient) {
	openedAt := time.Now()
	ticker := time.NewTicker(linkCheckInterval)
	defer ticker.Stop()
	var sentRevision int64
	var behindSince time.Time
	for {
		changed := f.config.Changed()
		snapshot := f.config.Snapshot()
		view, known := groupView(snapshot, e.Group())
		agentRevision := e.Load().GetRevision()
		switch {
		case !known || agentRevision >= snapshot.Revision():
			behindSince = time.Time{}
		case behindSince.IsZero():
			behindSince = time.Now()
		}
		takeOver := !behindSince.IsZero() && time.Since(behindSince) > pushTakeoverAfter
		if known && agentRevision < snapshot.Revision() && (takeOver || (sentRevision < snapshot.Revision() && f.isPusherFor(e))) {
			down := &cicadawire.LinkDown{Entry: f.self.Name, Revision: snapshot.Revision(), Group: view}
			if stream.Send(down) != nil {
				return
			}
			sentRevision = snapshot.Revision()
			behindSince = time.Now()
		}
		select {
		case <-changed:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if f.linkTimedOut(e, openedAt) {
			return
		}
	}
}

// linkTimedOut reports whether nothing was received from the agent for linkTimeout,
// so that the link must be reopened. An agent has that time from the opening.
func (f *Fleet) linkTimedOut(e *Endpoint, openedAt time.Time) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	last := e.lastMessageAt
	if last.Before(openedAt) {
		last = openedAt
	}
	return time.Since(last) > linkTimeout
}

// isPusherFor reports whether this entry is one of those that push the configuration
// to the endpoint's agent immediately.
func (f *Fleet) isPusherFor(e *Endpoint) bool {
	for _, name := range cicadamember.Top("push/"+e.Name(), f.table.EntryNames(), pushersPerEndpoint) {
		if name == f.self.Name {
			return true
		}
	}
	return false
}

// groupView returns the part of the configuration that the agents of a group need.
func groupView(s *cicadaconfig.Snapshot, name string) (*cicadawire.GroupView, bool) {
	group, ok := s.Group(name)
	if !ok {
		return nil, false
	}
	return &cicadawire.GroupView{
		Slots:         int32(group.Slots),
		BatchReserve:  int32(group.BatchReserve),
		LongSlots:     int32(group.LongSlots),
		OnlineWeight:  s.Limits().OnlineWeight,
		ChecksFencing: group.ChecksFencing,
		Version:       group.Version,
	}, true
}
