package cicadaplace

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The order of waiters concerns one process. A process where only a flooding customer waits would
// grant it each slot that it releases, and the waiters of other processes would never see that
// slot. While a customer is above its fair share, its requests therefore leave some slots idle, so
// that other processes learn of them: this is trunk reservation.
const (
	// reserveFrom and reserveFully are multiples of the mean weighted work of other customers. A
	// customer above reserveFrom leaves slots idle, and one above reserveFully the whole reserve.
	reserveFrom  = 1.5
	reserveFully = 3.0
	// reserveDeviations is the reserve for fluctuations of the load of other customers, as a multiple
	// of the square root of the slots of a service. The requests that arrive until other processes
	// learn of an idle slot are added to it.
	reserveDeviations = 0.25
	// maxReserve is the largest reserve as a fraction of the slots of a service.
	maxReserve = 1.0 / 8
	// competingWorkInterval is how long a sum over all customers is reused, because it visits all
	// accounts.
	competingWorkInterval = 100 * time.Millisecond
)

// A competingWork is the weighted work of the customers whose requests compete with those of one
// priority: customers whose priority is equal or better.
type competingWork struct {
	sum        float64 // scaled
	customers  int
	above      float64 // fraction of the work of customers above their fair share
	computedAt time.Time
	ascending  []*customerAccount // by work
	// before is the fraction of the work that is done for customers with less work than the given one,
	// which come before it.
	before map[*customerAccount]float64
}

// competingWith returns the work of the customers that compete with the given priority.
func (s *workAccounts) competingWith(priority int, now time.Time) competingWork {
	l, ok := s.competing[priority]
	if ok && now.Sub(l.computedAt) < competingWorkInterval {
		return l
	}
	s.expire(now)
	l = competingWork{computedAt: now, before: make(map[*customerAccount]float64)}
	scale := s.scale(now)
	for _, a := range s.byID {
		if a.priority > priority || a.unused(scale) {
			continue
		}
		l.sum += a.weightedWork()
		l.customers++
		l.ascending = append(l.ascending, a)
	}
	slices.SortFunc(l.ascending, func(a, b *customerAccount) int { return cmp.Compare(a.weightedWork(), b.weightedWork()) })
	before := 0.0
	for _, a := range l.ascending {
		l.before[a] = before / l.sum
		before += a.weightedWork()
		l.above += l.excessOf(a) * a.weightedWork() / l.sum
	}
	s.competing[priority] = l
	return l
}

// excessOf returns how far a customer is above its fair share: 0 up to reserveFrom, 1 from
// reserveFully.
func (l competingWork) excessOf(a *customerAccount) float64 {
	others := l.sum - a.weightedWork()
	if l.customers < 2 || others <= 0 {
		return 0
	}
	multiple := a.weightedWork() / (others / float64(l.customers-1))
	return min(max((multiple-reserveFrom)/(reserveFully-reserveFrom), 0), 1)
}

// reserveFraction returns the fraction of the reserve that a customer must leave idle: how far it is
// above its fair share, multiplied by the fraction of the work that is done for customers which come
// before it. A customer thus leaves no slots to one that has had more work done.
func (s *workAccounts) reserveFraction(a *customerAccount, priority int, now time.Time) float64 {
	l := s.competingWith(priority, now)
	if above := l.excessOf(a); above > 0 {
		return above * l.before[a]
	}
	return 0
}

// yieldedByOthers returns the fraction of the slots held in other processes that a customer may get
// when they are released, because customers above their fair share leave them idle. It is 0 for a
// customer that is above its own.
func (s *workAccounts) yieldedByOthers(a *customerAccount, priority int, now time.Time) float64 {
	l := s.competingWith(priority, now)
	if l.excessOf(a) > 0 {
		return 0
	}
	return l.above
}

// A slotReserve decides which requests must leave the idle slots of a service to others. It counts
// the idle slots for the first customer above its fair share, and is valid while the table is
// locked.
type slotReserve struct {
	table   *Table
	service *service
	now     time.Time
	counted bool
	idle    int     // slots
	reserve float64 // slots that a customer far above its fair share leaves idle
}

// blocks reports whether a request must leave the idle slots to other processes. Without peers, none
// must.
func (r *slotReserve) blocks(w *waiter) bool {
	if len(r.table.peers) == 0 || w.request.Continues {
		return false
	}
	fraction := r.table.work.reserveFraction(w.account, w.request.Priority, r.now)
	if fraction == 0 {
		return false
	}
	if !r.counted {
		r.count()
	}
	leave := math.Round(fraction * r.reserve)
	return leave > 0 && float64(r.idle) <= leave
}

// blocksAll reports whether all of some waiters must leave the idle slots, so that a request behind
// them may use one.
func (r *slotReserve) blocksAll(waiters []*waiter) bool {
	for _, w := range waiters {
		if !r.blocks(w) {
			return false
		}
	}
	return true
}

// count counts the slots that no online request holds and computes the reserve. There is none if
// an endpoint has a limit on the rate of requests, which is divided among processes anyway.
func (r *slotReserve) count() {
	r.counted, r.idle, r.reserve = true, 0, 0
	for _, e := range r.service.endpoints {
		if e.limit.active(r.now) {
			return
		}
		if !e.Draining && !r.now.Before(e.backoffUntil) {
			r.idle += max(e.Slots-e.online(), 0)
		}
	}
	slots := float64(r.service.slots)
	r.reserve = min(reserveDeviations*math.Sqrt(slots)+r.table.unseenArrivals(r.service), maxReserve*slots)
}
