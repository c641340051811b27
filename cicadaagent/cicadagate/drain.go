package cicadagate

import (
	"context"

	"github.com/ansel1/merry/v2"
)

// StartDrain makes the gate reject new calls and all queued ones, so that entries
// send them to other endpoints, and interrupts the batch items that can be retried
// there. The other running calls continue. The change is reported to the entries
// at once.
func (g *Gate) StartDrain() {
	g.mu.Lock()
	g.draining = true
	for _, t := range append(g.onlineQueue, g.batchQueue...) {
		t.rejection = errDraining
		close(t.decided)
	}
	g.onlineQueue, g.batchQueue = nil, nil
	for t := range g.runningTasks {
		if t.preemptible() && t.cancel != nil {
			t.cancel(errDraining)
		}
	}
	g.mu.Unlock()
	g.notifyLoadChanged()
}

// CancelRunning interrupts the running calls that entries can retry or resume on
// other endpoints. Non-idempotent calls continue.
func (g *Gate) CancelRunning() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for t := range g.runningTasks {
		if !t.call.GetNonIdempotent() && t.cancel != nil {
			t.cancel(errDraining)
		}
	}
}

// WaitIdle waits until no call is running, or ctx ends.
func (g *Gate) WaitIdle(ctx context.Context) error {
	g.mu.Lock()
	if len(g.runningTasks) == 0 {
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
		return merry.Errorf("wait for running calls: %w", ctx.Err())
	}
}
