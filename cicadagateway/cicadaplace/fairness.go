package cicadaplace

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// workHalfLife is the half-life of recorded work. It is about the length of a load peak.
	workHalfLife = 2 * time.Second
	// maxCustomers limits the customers of this process whose work is recorded.
	maxCustomers = 4096
	// minRecordedWork, in tokens, is the decayed work below which a customer is forgotten.
	minRecordedWork = 1.0
	// defaultWork, in tokens, is the work assumed for a request that states none.
	defaultWork = 100.0
	// minRequestWork and maxRequestWork, in tokens, limit what a request may state.
	minRequestWork = 1.0
	maxRequestWork = 1e6
	// maxWorkAge limits the scale of work, 2^(age/workHalfLife), so that it does not overflow.
	maxWorkAge = 100 * workHalfLife
)

// A CustomerUsage is the recent work of a customer, as processes report it to each other.
type CustomerUsage struct {
	Customer uint64 // hash of the name
	Work     uint64 // decayed, in tokens
}

// noCustomer is the hash of the customer of requests without one. Together they are ranked as
// one customer, so that neither they nor the customers can take all slots.
var noCustomer = xxhash.Sum64String("")

// requestWork returns the work that a request is charged with.
func requestWork(stated float64) float64 {
	if !(stated > 0) { // also if it is not a number
		return defaultWork
	}
	return min(max(stated, minRequestWork), maxRequestWork)
}

// A customerAccount holds the work of one customer. Work is multiplied by a scale that doubles
// with each half-life, instead of being divided by it later. The accounts of different customers
// can then be compared at any time, and their order changes only with new work.
type customerAccount struct {
	id     uint64
	weight float64
	// priority is that of the customer's latest request in this process.
	priority int
	local    float64 // scaled
	peers    float64 // scaled sum of what peers report
	reports  int     // reports that peers contains
	waiting  int     // queued requests; the account is kept as long as there are any
	// queued is the scaled work of the waiters that were ranked so far, see workAccounts.rank.
	queued float64
}

// weightedWork returns the scaled work of the customer divided by its weight. Among requests of
// equal priority, that of the customer with the least weighted work comes first.
func (a *customerAccount) weightedWork() float64 { return (a.local + a.peers + a.queued) / a.weight }

// unused reports whether the account may be dropped.
func (a *customerAccount) unused(scale float64) bool {
	return a.reports == 0 && a.waiting == 0 && a.local < minRecordedWork*scale
}

// peerUsage holds the scaled work that one peer reports.
type peerUsage struct {
	work      map[*customerAccount]float64
	updatedAt time.Time
}

// workAccounts holds the decayed work of customers, that of this process and what its peers
// report. The zero value is not usable.
type workAccounts struct {
	scaledSince time.Time // when the scale was 1
	byID        map[uint64]*customerAccount
	peers       map[string]*peerUsage
	pruneAt     int                   // number of accounts from which prune is called
	nextExpiry  time.Time             // no report expires before this
	changes     uint64                // counts the changes of work
	competing   map[int]competingWork // by priority, reused for competingWorkInterval
}

func newWorkAccounts() *workAccounts {
	return &workAccounts{byID: make(map[uint64]*customerAccount), peers: make(map[string]*peerUsage), competing: make(map[int]competingWork), pruneAt: maxCustomers}
}

// scale returns the factor by which work that is done now is multiplied.
func (s *workAccounts) scale(now time.Time) float64 {
	if now.Sub(s.scaledSince) > maxWorkAge {
		s.rescale(now)
	}
	return math.Exp2(now.Sub(s.scaledSince).Seconds() / workHalfLife.Seconds())
}

// rescale sets the scale to 1.
func (s *workAccounts) rescale(now time.Time) {
	factor := math.Exp2(-now.Sub(s.scaledSince).Seconds() / workHalfLife.Seconds())
	s.scaledSince = now
	for _, a := range s.byID {
		a.local *= factor
		a.peers *= factor
		a.queued *= factor
	}
	clear(s.competing)
	for _, p := range s.peers {
		for a := range p.work {
			p.work[a] *= factor
		}
	}
}

// account returns the account of a customer, which is created if there is none.
func (s *workAccounts) account(id uint64, now time.Time) *customerAccount {
	a := s.byID[id]
	if a == nil {
		if len(s.byID) >= s.pruneAt {
			s.prune(now)
		}
		a = &customerAccount{id: id, weight: 1}
		s.byID[id] = a
	}
	return a
}

// prune drops unused accounts and, if too many are left, those with the least work. It drops many
// at once, because it visits all accounts.
func (s *workAccounts) prune(now time.Time) {
	const room = maxCustomers / 4
	scale := s.scale(now)
	var droppable []*customerAccount
	for id, a := range s.byID {
		if a.unused(scale) {
			delete(s.byID, id)
		} else if a.reports == 0 && a.waiting == 0 {
			droppable = append(droppable, a)
		}
	}
	if excess := len(droppable) - (maxCustomers - room); excess > 0 {
		slices.SortFunc(droppable, func(a, b *customerAccount) int { return cmp.Compare(a.local, b.local) })
		for _, a := range droppable[:excess] {
			delete(s.byID, a.id)
		}
	}
	s.pruneAt = max(len(s.byID)+room, maxCustomers)
}

// charge records work of this process for a customer. Negative work corrects earlier work.
func (s *workAccounts) charge(id uint64, work float64, now time.Time) {
	scale := s.scale(now)
	a := s.account(id, now)
	a.local = max(a.local+work*scale, 0)
	s.changes++
}

// remaining returns what is left of work that was charged earlier.
func remaining(work float64, age time.Duration) float64 {
	return work * math.Exp2(-age.Seconds()/workHalfLife.Seconds())
}

// busiest returns the n customers with the most work of this process. Without customers it
// returns none.
func (s *workAccounts) busiest(n int, now time.Time) []CustomerUsage {
	scale := s.scale(now)
	var usage []CustomerUsage
	for id, a := range s.byID {
		if a.unused(scale) {
			delete(s.byID, id)
			continue
		}
		u := CustomerUsage{Customer: id, Work: uint64(a.local / scale)}
		if u.Work == 0 {
			continue
		}
		i, _ := slices.BinarySearchFunc(usage, u, func(a, b CustomerUsage) int {
			return cmp.Or(cmp.Compare(b.Work, a.Work), cmp.Compare(a.Customer, b.Customer))
		})
		if i < n {
			usage = slices.Insert(usage, i, u)
			usage = usage[:min(len(usage), n)]
		}
	}
	if len(usage) == 1 && len(s.byID) == 1 && usage[0].Customer == noCustomer {
		return nil
	}
	return usage
}

// setPeer replaces what a peer reports.
func (s *workAccounts) setPeer(name string, usage []CustomerUsage, now time.Time) {
	s.expire(now)
	if old := s.peers[name]; old != nil {
		s.subtract(old)
		delete(s.peers, name)
	}
	if len(usage) == 0 {
		return
	}
	scale := s.scale(now)
	p := &peerUsage{work: make(map[*customerAccount]float64, len(usage)), updatedAt: now}
	for _, u := range usage {
		a := s.account(u.Customer, now)
		if _, repeated := p.work[a]; repeated {
			continue
		}
		p.work[a] = float64(u.Work) * scale
		a.peers += p.work[a]
		a.reports++
	}
	s.peers[name] = p
	s.changes++
}

func (s *workAccounts) subtract(p *peerUsage) {
	for a, work := range p.work {
		a.reports--
		a.peers = max(a.peers-work, 0)
		if a.reports == 0 {
			a.peers = 0 // without rounding errors
		}
	}
	s.changes++
}

// expire removes the reports that peers have not renewed for peerTimeout.
func (s *workAccounts) expire(now time.Time) {
	if !now.After(s.nextExpiry) {
		return
	}
	oldest := now
	for name, p := range s.peers {
		if now.Sub(p.updatedAt) > peerTimeout {
			s.subtract(p)
			delete(s.peers, name)
		} else if p.updatedAt.Before(oldest) {
			oldest = p.updatedAt
		}
	}
	s.nextExpiry = oldest.Add(peerTimeout)
}

// LocalUsage returns the n customers with the most recent work in this process. The caller sends
// them to peers, which pass them to SetPeerUsage.
func (t *Table) LocalUsage(n int) []CustomerUsage {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.work.busiest(n, time.Now())
}

// SetPeerUsage replaces the recent work of customers in a peer. It expires as the counts of the
// peer do. It must not be called for a message without usage, which does not mean that there is
// none.
func (t *Table) SetPeerUsage(peer string, usage []CustomerUsage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.work.setPeer(peer, usage, time.Now())
}

// RecordWork corrects the work of the request, in tokens, once its actual amount is known: 0 if the
// endpoint has not run the request. Work beyond the stated amount is charged as of now, since the
// endpoint has done it recently. A reduction is decayed since the grant, as the charge was.
func (g *Grant) RecordWork(work float64) {
	t := g.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if g.work == 0 || !(work >= 0) {
		return
	}
	now := time.Now()
	correction := min(work, maxRequestWork) - g.work
	if correction < 0 {
		t.work.charge(g.customer, remaining(correction, now.Sub(g.grantedAt)), now)
	} else {
		t.work.charge(g.customer, correction, now)
	}
	g.work += correction
}
