package cicadagate

import (
	"context"

	"github.com/ansel1/merry/v2"
)

// Leave makes the gate refuse new calls, tells the entries so at once, and
// sends waiting calls elsewhere.
func (g *Gate) Leave() {
	g.mu.Lock()
	g.leaving = true
	for _, w := range append(g.online, g.batch...) {
		w.refused = errDraining
		close(w.enter)
	}
	g.online, g.batch = nil, nil
	for w := range g.runs {
		if w.preemptible() && w.cancel != nil {
			w.cancel(errDraining)
		}
	}
	g.mu.Unlock()
	g.announce()
}

// Stop ends what still runs, so that entries continue it elsewhere.
// Non-idempotent calls run on.
func (g *Gate) Stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for w := range g.runs {
		if !w.call.GetNonIdempotent() && w.cancel != nil {
			w.cancel(errDraining)
		}
	}
}

// Drain waits until no call runs, or ctx ends.
func (g *Gate) Drain(ctx context.Context) error {
	g.mu.Lock()
	if len(g.runs) == 0 {
		g.mu.Unlock()
		return nil
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	idle := g.idle
	g.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return merry.Errorf("drain endpoint: %w", ctx.Err())
	}
}
