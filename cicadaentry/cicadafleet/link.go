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
	firstRedial   = 100 * time.Millisecond
	maxRedial     = 2 * time.Second
	pushersOfOne  = 2
	repairAfter   = 1500 * time.Millisecond
	linkSilence   = 4 * time.Second
	linkCheckTick = time.Second
)

// keepLink holds the link to one endpoint's agent until ctx ends.
func (f *Fleet) keepLink(ctx context.Context, e *Endpoint) {
	for wait := firstRedial; ; wait = min(2*wait, maxRedial) {
		started := time.Now()
		err := f.link(ctx, e)
		e.Disconnected()
		if ctx.Err() != nil {
			return
		}
		f.log.Debug("link to agent broke", "endpoint", e.Name(), "error", err)
		if time.Since(started) > maxRedial {
			wait = firstRedial
		}
		if !cicadaretry.Wait(ctx, wait/2+f.jitter(wait)) {
			return
		}
	}
}

func (f *Fleet) link(ctx context.Context, e *Endpoint) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stream, err := cicadawire.NewDRPCAgentClient(f.pool.Conn(e.Address())).Link(ctx)
	if err != nil {
		return merry.Errorf("open link: %w", err)
	}
	defer stream.Close()
	if err := stream.Send(&cicadawire.LinkDown{Entry: f.self.Name}); err != nil {
		return merry.Errorf("greet agent: %w", err)
	}
	var tasks conc.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() {
		defer cancel()
		f.push(ctx, e, stream)
	})
	defer cancel()
	for {
		up, err := stream.Recv()
		if err != nil {
			return merry.Errorf("read heartbeat: %w", err)
		}
		if up.GetName() != e.Name() {
			return merry.Errorf("agent at %s is %q, not %q", e.Address(), up.GetName(), e.Name())
		}
		e.SetBoot(up.GetBoot())
		e.Report(up.GetLoad())
	}
}

// push sends the group's configuration down whenever the agent lacks it. Two
// entries push at once; the others only when the agent still lacks it after a
// while.
func (f *Fleet) push(ctx context.Context, e *Endpoint, stream cicadawire.DRPCAgent_LinkClient) {
	ticker := time.NewTicker(linkCheckTick)
	defer ticker.Stop()
	var sent int64
	var behindSince time.Time
	for {
		changed := f.config.Changed()
		snapshot := f.config.Snapshot()
		view, known := groupView(snapshot, e.Group())
		held := e.Load().GetRevision()
		switch {
		case !known || held >= snapshot.Revision():
			behindSince = time.Time{}
		case behindSince.IsZero():
			behindSince = time.Now()
		}
		overdue := !behindSince.IsZero() && time.Since(behindSince) > repairAfter
		if known && held < snapshot.Revision() && (overdue || (sent < snapshot.Revision() && f.pushesTo(e))) {
			down := &cicadawire.LinkDown{Entry: f.self.Name, Revision: snapshot.Revision(), Group: view}
			if stream.Send(down) != nil {
				return
			}
			sent = snapshot.Revision()
			behindSince = time.Now()
		}
		select {
		case <-changed:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		if f.silent(e) {
			return
		}
	}
}

// silent reports that nothing came over the link for so long that it is to be
// made anew.
func (f *Fleet) silent(e *Endpoint) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.lastHeard.IsZero() && time.Since(e.lastHeard) > linkSilence
}

func (f *Fleet) pushesTo(e *Endpoint) bool {
	for _, name := range cicadamember.Top("push/"+e.Name(), f.table.EntryNames(), pushersOfOne) {
		if name == f.self.Name {
			return true
		}
	}
	return false
}

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
