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
	// Customer is the name of the customer that sent the request. Requests without one are
	// ordered by arrival among themselves.
	Customer string
	// Priority orders waiting requests, also those without a customer. 0 comes first.
	Priority int
	// Work is the expected number of tokens, of the prompt and the output.
	Work float64
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
// for at most MaxWait. Those that continue an output are granted slots before the others. Then
// they are ordered by priority, by the recent work of their customers in all processes, and by
// arrival. Acquire fails with ErrBusy at once if the expected wait exceeds MaxWait or the queue is
// full of requests that come first, also when later requests have been put before it. It fails
// with ErrNoEndpoint if no endpoint can be used.
func (t *Table) Acquire(ctx context.Context, req SlotRequest) (*Grant, error) {
	t.mu.Lock()
	svc, now := t.service(req.Service), time.Now()
	w := t.newWaiter(req, now)
	ahead := t.waitersAhead(svc, w, now)
	reserve := slotReserve{table: t, service: svc, now: now}
	if (req.Continues || reserve.blocksAll(svc.waiters[:ahead])) && !reserve.blocks(w) {
		if e := t.selectEndpoint(svc, req); e != nil {
			g := t.grant(e, w)
			t.mu.Unlock()
			t.onChange()
			return g, nil
		}
	}
	if !svc.hasCandidate(req) {
		t.mu.Unlock()
		return nil, ErrNoEndpoint
	}
	if req.MaxWait <= 0 || t.expectedWait(svc, w, ahead, now) > req.MaxWait || !svc.hasRoom(w, ahead) {
		t.mu.Unlock()
		return nil, ErrBusy
	}
	t.enqueue(svc, w, ahead, now)
	t.wakeForToken(svc)
	t.mu.Unlock()
	return t.wait(ctx, svc, w)
}

// wait blocks until the waiter is granted a slot or refused, its MaxWait has passed or ctx is
// done. A slot that is granted just before the waiter is removed from the queue is
// returned after MaxWait, but released if ctx is done.
func (t *Table) wait(ctx context.Context, svc *service, w *waiter) (*Grant, error) {
	timer := time.NewTimer(w.request.MaxWait)
	defer timer.Stop()
	var err error
	select {
	case g := <-w.granted:
		if g == nil {
			return nil, ErrBusy
		}
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
		if g == nil {
			break
		}
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
	if i := slices.Index(s.waiters, w); i >= 0 {
		s.takeWaiter(i)
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

// expectedWait estimates how long a request that joins the queue behind others will wait
// for a slot. It assumes that the waiters of this process get only slots that its own
// online requests release, a part of those that other processes release (see yieldedByOthers), or
// the tokens of the endpoints if all of them have limits.
func (s *service) expectedWait(ahead int, req SlotRequest, left float64, now time.Time) time.Duration {
	if rate, limited := s.tokenRate(now); limited {
		return time.Duration(float64(ahead+1) / max(rate, 1/maxTokenWait.Seconds()) * float64(time.Second))
	}
	releasing, elsewhere := 0, 0
	for _, e := range s.endpoints {
		switch {
		case !req.Continues:
			releasing += e.local.Online
			elsewhere += e.peers.Online
		case e.SoftwareVersion == req.Version:
			releasing += e.online()
		}
	}
	releasing += int(left * float64(elsewhere))
	return s.meanHold * time.Duration(ahead+1) / time.Duration(max(releasing, 1))
}

// RetryAfter returns the time after which a refused caller should retry. It is
// randomized so that refused callers do not all return at once.
func (t *Table) RetryAfter(name string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	svc := t.service(name)
	return retryAfter(svc.expectedWait(len(svc.waiters), SlotRequest{}, 0, time.Now()))
}

// RetryAfterFor returns the time after which a refused caller should retry a request. By then the
// request is expected to be granted a slot at its place among those that wait now.
func (t *Table) RetryAfterFor(req SlotRequest) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	svc, now := t.service(req.Service), time.Now()
	w := t.newWaiter(req, now)
	ahead := t.waitersAhead(svc, w, now)
	return retryAfter(t.expectedWait(svc, w, ahead, now))
}

// retryAfter adds a random time to an expected wait.
func retryAfter(wait time.Duration) time.Duration {
	wait = max(wait, minRetryAfter)
	return wait + time.Duration(rand.Float64()*retryJitter*float64(wait))
}

// grantWaiters grants free slots to queued requests in order.
func (t *Table) grantWaiters() {
	for _, svc := range t.services {
		t.grantWaitersOf(svc)
	}
}

// grantWaitersOf grants the free slots of a service. A request that may not use any of the free
// endpoints, or that must leave them idle, does not block those behind it. As most calls find no
// free slot, requests are ranked only when there is one.
func (t *Table) grantWaitersOf(svc *service) {
	if len(svc.waiters) == 0 {
		return
	}
	reserve := slotReserve{table: t, service: svc, now: time.Now()}
	for i := 0; i < len(svc.waiters); {
		w := svc.waiters[i]
		if reserve.blocks(w) {
			i++
			continue
		}
		e := t.selectEndpoint(svc, w.request)
		if e == nil {
			i++
			if w.request.Unrestricted() {
				break
			}
			continue
		}
		if t.rankForGrant(svc) {
			i = 0
			continue
		}
		svc.takeWaiter(i).granted <- t.grant(e, w)
		reserve.idle--
	}
}
