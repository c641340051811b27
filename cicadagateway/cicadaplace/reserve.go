package cicadaplace

import (
	"math"
	"time"
)

// The order of waiters concerns one process. A process where only a flooding customer waits would
// grant it each slot that it releases, and the waiters of other processes would never see that
// slot. While a customer is above its fair share, its requests therefore leave some slots idle, so
// that other processes learn of them: this is trunk reservation.
const (
	// reserveFrom and reserveFully are the shares, as multiples of the mean of other customers, from
	// which a customer leaves slots idle, and from which it leaves the whole reserve.
	reserveFrom  = 1.5
	reserveFully = 3.0
	// reserveDeviations is the reserve for fluctuations of the load of other customers, as a multiple
	// of the square root of the slots of a service. The requests that arrive until other processes
	// learn of an idle slot are added to it.
	reserveDeviations = 0.25
	// maxReserve is the largest reserve as a fraction of the slots of a service.
	maxReserve = 1.0 / 8
	// levelInterval is how long a sum over all customers is reused.
	levelInterval = 100 * time.Millisecond
)

// A workLevel is the work of the customers whose requests may compete with those of a priority.
type workLevel struct {
	sum        float64 // scaled
	customers  int
	above      float64 // fraction of the work that is that of customers above their fair share
	computedAt time.Time
}

// level returns the work of the customers of at least the given priority.
func (s *workAccounts) level(priority int, now time.Time) workLevel {
	l, ok := s.levels[priority]
	if ok && now.Sub(l.computedAt) < levelInterval {
		return l
	}
	s.expire(now)
	l = workLevel{computedAt: now}
	scale := s.scale(now)
	for _, a := range s.byID {
		if a.priority > priority || a.unused(scale) {
			continue
		}
		l.sum += a.share()
		l.customers++
	}
	for _, a := range s.byID {
		if a.priority <= priority && l.sum > 0 {
			l.above += l.aboveShare(a) * a.share() / l.sum
		}
	}
	s.levels[priority] = l
	return l
}

// aboveShare returns how far a customer is above its fair share, from 0 to 1.
func (l workLevel) aboveShare(a *customerAccount) float64 {
	others := l.sum - a.share()
	if l.customers < 2 || others <= 0 {
		return 0
	}
	multiple := a.share() / (others / float64(l.customers-1))
	return min(max((multiple-reserveFrom)/(reserveFully-reserveFrom), 0), 1)
}

// excess returns how far a customer is above its fair share, multiplied by the fraction of the
// work that is done for others.
func (s *workAccounts) excess(a *customerAccount, priority int, now time.Time) float64 {
	l := s.level(priority, now)
	if above := l.aboveShare(a); above > 0 {
		return above * max(1-a.share()/l.sum, 0)
	}
	return 0
}

// leftByOthers returns the fraction of the slots held in other processes that a customer may get
// when they are released, because the customers that hold them leave them idle.
func (s *workAccounts) leftByOthers(a *customerAccount, priority int, now time.Time) float64 {
	l := s.level(priority, now)
	if l.aboveShare(a) > 0 {
		return 0
	}
	return l.above
}

// A slotReserve decides which requests must leave the idle slots of a service. It counts the slots
// when the first customer above its fair share asks.
type slotReserve struct {
	table   *Table
	service *service
	now     time.Time
	counted bool
	spare   int
	reserve float64
}

// blocks reports whether a request must leave the idle slots. Without peers, none must.
func (r *slotReserve) blocks(w *waiter) bool {
	if len(r.table.peers) == 0 || w.request.Continues {
		return false
	}
	excess := r.table.work.excess(w.account, w.request.Priority, r.now)
	if excess == 0 {
		return false
	}
	if !r.counted {
		r.count()
	}
	leave := math.Round(excess * r.reserve)
	return leave > 0 && float64(r.spare) <= leave
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
	r.counted, r.spare, r.reserve = true, 0, 0
	for _, e := range r.service.endpoints {
		if e.limit.active(r.now) {
			return
		}
		if !e.Draining && !r.now.Before(e.backoffUntil) {
			r.spare += max(e.Slots-e.online(), 0)
		}
	}
	slots := float64(r.service.slots)
	r.reserve = min(reserveDeviations*math.Sqrt(slots)+r.table.unseenArrivals(r.service), maxReserve*slots)
}
