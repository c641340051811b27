package cicadaplace

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/ansel1/merry/v2"
)

// A Want asks for a slot.
type Want struct {
	Service string
	// MaxWait is how long an online request may wait for a slot.
	MaxWait time.Duration
	// Avoid lists endpoints that are not wanted again.
	Avoid []string
}

func (w Want) avoids(id string) bool {
	for _, a := range w.Avoid {
		if a == id {
			return true
		}
	}
	return false
}

// Acquire returns a slot for an online request. If none is free it waits, in
// order of arrival, for at most MaxWait; it refuses at once when the wait is
// expected to be longer.
func (t *Table) Acquire(ctx context.Context, w Want) (*Grant, error) {
	t.mu.Lock()
	svc := t.service(w.Service)
	if len(svc.waiters) == 0 {
		if e := t.pick(svc, w); e != nil {
			g := t.grant(e, time.Now())
			t.mu.Unlock()
			t.changed()
			return g, nil
		}
	}
	if !svc.usable(w) {
		t.mu.Unlock()
		return nil, ErrNoEndpoint
	}
	if w.MaxWait <= 0 || svc.expectedWait() > w.MaxWait || len(svc.waiters) >= waitingPerSlot*svc.slots {
		t.mu.Unlock()
		return nil, ErrBusy
	}
	waiting := &waiter{want: w, since: time.Now(), grant: make(chan *Grant, 1)}
	svc.waiters = append(svc.waiters, waiting)
	t.mu.Unlock()
	return t.wait(ctx, svc, waiting)
}

func (t *Table) wait(ctx context.Context, svc *service, waiting *waiter) (*Grant, error) {
	timer := time.NewTimer(waiting.want.MaxWait)
	defer timer.Stop()
	var err error
	select {
	case g := <-waiting.grant:
		t.changed()
		return g, nil
	case <-timer.C:
		err = ErrBusy
	case <-ctx.Done():
		err = merry.Errorf("wait for a slot: %w", ctx.Err())
	}
	t.mu.Lock()
	svc.drop(waiting)
	t.mu.Unlock()
	select {
	case g := <-waiting.grant:
		if ctx.Err() == nil {
			t.changed()
			return g, nil
		}
		g.Release()
	default:
	}
	return nil, err
}

func (s *service) drop(w *waiter) {
	for i, other := range s.waiters {
		if other == w {
			s.waiters = append(s.waiters[:i], s.waiters[i+1:]...)
			return
		}
	}
}

func (s *service) usable(w Want) bool {
	for _, e := range s.endpoints {
		if !e.Draining && !w.avoids(e.ID) {
			return true
		}
	}
	return false
}

// expectedWait is how long a request that joins the queue now waits for a slot,
// as far as this sender's own share of the slots tells.
func (s *service) expectedWait() time.Duration {
	own := 0
	for _, e := range s.endpoints {
		own += e.own.Online
	}
	return s.hold * time.Duration(len(s.waiters)+1) / time.Duration(max(own, 1))
}

// RetryAfter returns when a refused caller should come back. Callers are spread,
// so that they do not return together.
func (t *Table) RetryAfter(name string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	wait := max(t.service(name).expectedWait(), minRetryAfter)
	return wait + time.Duration(rand.Float64()*retrySpread*float64(wait))
}

// wake grants slots to those who wait, in their order.
func (t *Table) wake() {
	for _, svc := range t.services {
		for i := 0; i < len(svc.waiters); {
			w := svc.waiters[i]
			e := t.pick(svc, w.want)
			if e == nil {
				i++
				if len(w.want.Avoid) == 0 {
					break
				}
				continue
			}
			svc.waiters = append(svc.waiters[:i], svc.waiters[i+1:]...)
			w.grant <- t.grant(e, w.since)
		}
	}
}
