package cicadaplace

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// newWaiter returns a waiter that is not in the queue.
func (t *Table) newWaiter(req SlotRequest, now time.Time) *waiter {
	t.arrivals++
	account := t.work.account(xxhash.Sum64String(req.Customer), now)
	account.priority = req.Priority
	return &waiter{request: req, enqueuedAt: now, arrival: t.arrivals, work: requestWork(req.Work), account: account}
}

// compareWaiters orders waiters: those that continue an output first, then by priority, by the
// work of their customers and by arrival.
func compareWaiters(a, b *waiter) int {
	if c := compareClasses(a, b); c != 0 {
		return c
	}
	return cmp.Or(cmp.Compare(a.weightedWork, b.weightedWork), cmp.Compare(a.arrival, b.arrival))
}

// compareClasses orders waiters by what takes precedence over the work of their customers.
func compareClasses(a, b *waiter) int {
	if a.request.Continues != b.request.Continues {
		if a.request.Continues {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.request.Priority, b.request.Priority)
}

// orderMatters reports whether the order of two requests depends on their customers or
// priorities. Otherwise they are ordered by arrival, and neither may displace the other.
func orderMatters(a, b SlotRequest) bool {
	return a.Customer != "" || b.Customer != "" || a.Priority != b.Priority
}

// rank orders waiters and reports whether their order has changed. Each is ranked as if those of
// its customer that come before it had been granted their slots, so that its position is the one
// in which it will be granted its own. The waiters of one customer must be ordered by class and
// arrival, as they are after rank and insert.
func (s *workAccounts) rank(waiters []*waiter, now time.Time) bool {
	s.expire(now)
	scale := s.scale(now)
	for _, w := range waiters {
		w.account.queued = 0
	}
	for _, w := range waiters {
		w.weightedWork = w.account.weightedWork()
		w.account.queued += w.work * scale
	}
	for _, w := range waiters {
		w.account.queued = 0
	}
	if slices.IsSortedFunc(waiters, compareWaiters) {
		return false
	}
	slices.SortFunc(waiters, compareWaiters)
	return true
}

// position returns how many of the ranked waiters come before a new one, and sets the weighted work
// of the new one.
func (s *workAccounts) position(waiters []*waiter, w *waiter, now time.Time) int {
	scale := s.scale(now)
	for _, other := range waiters {
		if other.account == w.account && compareClasses(other, w) <= 0 {
			w.account.queued += other.work * scale
		}
	}
	w.weightedWork = w.account.weightedWork()
	w.account.queued = 0
	ahead, _ := slices.BinarySearchFunc(waiters, w, compareWaiters)
	return ahead
}

// waitersAhead returns how many waiters come before a new one.
func (t *Table) waitersAhead(svc *service, w *waiter, now time.Time) int {
	if len(svc.waiters) == 0 {
		return 0
	}
	t.work.rank(svc.waiters, now)
	return t.work.position(svc.waiters, w, now)
}

// rankForGrant ranks the waiters of a service if the work of customers has changed. It reports
// whether their order has changed.
func (t *Table) rankForGrant(svc *service) bool {
	if svc.rankedAt == t.work.changes {
		return false
	}
	svc.rankedAt = t.work.changes
	return t.work.rank(svc.waiters, time.Now())
}

// hasRoom reports whether the queue has room for a waiter with so many others ahead of it. If the
// queue is full, the last waiter is refused to make room for one of a better rank.
func (s *service) hasRoom(w *waiter, ahead int) bool {
	if len(s.waiters) < maxWaitersPerSlot*s.slots {
		return true
	}
	if ahead >= len(s.waiters) || !orderMatters(w.request, s.waiters[len(s.waiters)-1].request) {
		return false
	}
	s.takeWaiter(len(s.waiters) - 1).refuse()
	return true
}

// expectedWait estimates how long a request will wait for a slot behind others.
func (t *Table) expectedWait(svc *service, w *waiter, ahead int, now time.Time) time.Duration {
	left := t.work.yieldedByOthers(w.account, w.request.Priority, now)
	return svc.expectedWait(ahead, w.request, left, now)
}

// enqueue inserts a waiter behind others. Waiters behind it that would now miss their deadline are
// refused.
func (t *Table) enqueue(svc *service, w *waiter, ahead int, now time.Time) {
	w.granted = make(chan *Grant, 1)
	w.deadline = now.Add(w.request.MaxWait)
	w.expectedAt = now.Add(t.expectedWait(svc, w, ahead, now))
	w.account.waiting++
	svc.waiters = slices.Insert(svc.waiters, ahead, w)
	if ahead+1 < len(svc.waiters) {
		t.refuseDelayed(svc, w, ahead+1, now)
	}
}

// refuseDelayed refuses the waiters from an index on that are expected to miss their deadline
// because by was inserted before them. Waiters that were expected to miss it anyway wait until
// their timeout, because the expected wait is an estimate.
func (t *Table) refuseDelayed(svc *service, by *waiter, from int, now time.Time) {
	ordinary := svc.expectedWait(0, SlotRequest{}, 0, now)
	preferred := svc.expectedWait(0, SlotRequest{}, t.work.competingWith(by.request.Priority, now).above, now)
	kept := svc.waiters[:from]
	for _, w := range svc.waiters[from:] {
		if !w.request.Continues && orderMatters(w.request, by.request) {
			waitForOne := ordinary
			if t.work.yieldedByOthers(w.account, w.request.Priority, now) > 0 {
				waitForOne = preferred
			}
			w.expectedAt = w.expectedAt.Add(waitForOne)
			expectedNow := now.Add(waitForOne * time.Duration(len(kept)+1))
			if w.expectedAt.After(w.deadline) && expectedNow.After(w.deadline) {
				w.account.waiting--
				w.refuse()
				continue
			}
		}
		kept = append(kept, w)
	}
	clear(svc.waiters[len(kept):])
	svc.waiters = kept
}

// takeWaiter removes a waiter from the queue.
func (s *service) takeWaiter(i int) *waiter {
	w := s.waiters[i]
	w.account.waiting--
	s.waiters = slices.Delete(s.waiters, i, i+1)
	return w
}

// refuse makes Acquire fail for a waiter that has been removed from the queue.
func (w *waiter) refuse() { w.granted <- nil }

// grant grants a slot to a request and charges its customer.
func (t *Table) grant(e *endpointState, w *waiter) *Grant {
	g := t.grantOnline(e, w.enqueuedAt)
	g.customer, g.work = w.account.id, w.work
	t.work.charge(g.customer, g.work, g.grantedAt)
	return g
}
