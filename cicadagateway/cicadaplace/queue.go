package cicadaplace

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
)

// A SlotRequest describes the slot that a request needs.
type SlotRequest struct {
	Service string
	// MaxWait is how long an online request may wait for a slot.
	MaxWait time.Duration
	// Avoid lists the IDs of endpoints that must not be used.
	Avoid []string
	// Continues is set if the request continues an output, which only an endpoint of the
	// software version that began it can do. Such a request comes before others.
	Continues bool
	// Version is the version that began the output, if Continues is set.
	Version string
}

// allows reports whether an endpoint may be used for the request at all.
func (req SlotRequest) allows(e *endpointState) bool {
	if e.Draining {
		return false
	}
	if req.Continues && (e.SoftwareVersion != req.Version || time.Now().Before(e.versionDoubtUntil)) {
		return false
	}
	return !slices.Contains(req.Avoid, e.ID)
}

// Unrestricted reports whether the request may use all endpoints of its service.
func (req SlotRequest) Unrestricted() bool { return len(req.Avoid) == 0 && !req.Continues }

// Acquire returns a slot for an online request. If none is free, the request waits
// for at most MaxWait. Requests are granted slots in order of arrival, those that continue
// an output before the others. Acquire fails with ErrBusy at once if the expected wait exceeds MaxWait or the queue is
// full, and with ErrNoEndpoint if no endpoint can be used.
func (t *Table) Acquire(ctx context.Context, req SlotRequest) (*Grant, error) {
	t.mu.Lock()
	svc := t.service(req.Service)
	if len(svc.waiters) == 0 || req.Continues {
		if e := t.selectEndpoint(svc, req); e != nil {
			g := t.grantOnline(e, time.Now())
			t.mu.Unlock()
			t.onChange()
			return g, nil
		}
	}
	if !svc.hasCandidate(req) {
		t.mu.Unlock()
		return nil, ErrNoEndpoint
	}
	ahead := svc.waitersAhead(req)
	if req.MaxWait <= 0 || svc.expectedWait(ahead, req, time.Now()) > req.MaxWait || len(svc.waiters) >= maxWaitersPerSlot*svc.slots {
		t.mu.Unlock()
		return nil, ErrBusy
	}
	queued := &waiter{request: req, enqueuedAt: time.Now(), granted: make(chan *Grant, 1)}
	svc.waiters = slices.Insert(svc.waiters, ahead, queued)
	t.wakeForToken(svc)
	t.mu.Unlock()
	return t.wait(ctx, svc, queued)
}

// wait blocks until the waiter is granted a slot, its MaxWait has passed or ctx is
// done. A slot that is granted just before the waiter is removed from the queue is
// returned after MaxWait, but released if ctx is done.
func (t *Table) wait(ctx context.Context, svc *service, w *waiter) (*Grant, error) {
	timer := time.NewTimer(w.request.MaxWait)
	defer timer.Stop()
	var err error
	select {
	case g := <-w.granted:
		t.onChange()
		return g, nil
	case <-timer.C:
		err = ErrBusy
	case <-ctx.Done():
		err = merry.Errorf("wait for a slot: %w", ctx.Err())
	}
	t.mu.Lock()
	svc.removeWaiter(w)
	t.mu.Unlock()
	select {
	case g := <-w.granted:
		if ctx.Err() == nil {
			t.onChange()
			return g, nil
		}
		g.Release()
	default:
	}
	return nil, err
}

func (s *service) removeWaiter(w *waiter) {
	for i, other := range s.waiters {
		if other == w {
			s.waiters = append(s.waiters[:i], s.waiters[i+1:]...)
			return
		}
	}
}

// hasCandidate reports whether any endpoint may be used for the request, even if
// all its slots are taken or it is in backoff.
func (s *service) hasCandidate(req SlotRequest) bool {
	for _, e := range s.endpoints {
		if req.allows(e) {
			return true
		}
	}
	return false
}

// waitersAhead returns the number of waiters that come before a request that arrives now.
func (s *service) waitersAhead(req SlotRequest) int {
	if !req.Continues {
		return len(s.waiters)
	}
	ahead := 0
	for ahead < len(s.waiters) && s.waiters[ahead].request.Continues {
		ahead++
	}
	return ahead
}

// expectedWait estimates how long a request that joins the queue behind others will wait
// for a slot. It assumes that the waiters of this process get only slots that its own
// online requests release, or the tokens of the endpoints if all of them have limits.
func (s *service) expectedWait(ahead int, req SlotRequest, now time.Time) time.Duration {
	if rate, limited := s.tokenRate(now); limited {
		return time.Duration(float64(ahead+1) / max(rate, 1/maxTokenWait.Seconds()) * float64(time.Second))
	}
	releasing := 0
	for _, e := range s.endpoints {
		switch {
		case !req.Continues:
			releasing += e.local.Online
		case e.SoftwareVersion == req.Version:
			releasing += e.online()
		}
	}
	return s.meanHold * time.Duration(ahead+1) / time.Duration(max(releasing, 1))
}

// RetryAfter returns the time after which a refused caller should retry. It is
// randomized so that refused callers do not all return at once.
func (t *Table) RetryAfter(name string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	svc := t.service(name)
	wait := max(svc.expectedWait(len(svc.waiters), SlotRequest{}, time.Now()), minRetryAfter)
	return wait + time.Duration(rand.Float64()*retryJitter*float64(wait))
}

// grantWaiters grants free slots to queued requests in order. A request that may not use
// any of the free endpoints does not block those behind it.
func (t *Table) grantWaiters() {
	for _, svc := range t.services {
		for i := 0; i < len(svc.waiters); {
			w := svc.waiters[i]
			e := t.selectEndpoint(svc, w.request)
			if e == nil {
				i++
				if w.request.Unrestricted() {
					break
				}
				continue
			}
			svc.waiters = append(svc.waiters[:i], svc.waiters[i+1:]...)
			w.granted <- t.grantOnline(e, w.enqueuedAt)
		}
	}
}
