// Package cicadaplace decides which endpoint runs a request, who waits for a
// slot and who is refused. Engines admit requests as they come and know no
// priorities, so a request waits here, in an order of our own, and is sent only
// when a slot is free for it.
//
// All senders of a deployment exchange how many requests they have at each
// endpoint. A Table joins its own counts with theirs. Online requests may take
// slots that batch items hold: the senders of those items see the excess and put
// items aside.
//
// # Usage
//
//	table := cicadaplace.NewTable("ee-1", cicadaplace.WithChanged(notifyPeers))
//	table.SetEndpoints(endpoints)
//	grant, err := table.Acquire(ctx, cicadaplace.Want{Service: "assistants", MaxWait: 200 * time.Millisecond})
//	if err != nil { ... refuse, and say when to come back: table.RetryAfter("assistants") ... }
//	defer grant.Release()
//
// The package needs no network.
package cicadaplace

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadakernel/cicadaview"
)

// Errors of Acquire.
var (
	// ErrNoEndpoint reports that the service has no endpoint to use.
	ErrNoEndpoint = merry.Sentinel("cicadaplace: no endpoint")
	// ErrBusy reports that no slot comes free in time.
	ErrBusy = merry.Sentinel("cicadaplace: all slots taken")
)

const (
	// peerTimeout is how long the counts of a silent sender are believed.
	peerTimeout = 1500 * time.Millisecond
	firstRest   = 150 * time.Millisecond // an endpoint's pause after a failure
	maxRest     = 3 * time.Second
	fullRest    = 15 * time.Millisecond // an endpoint's pause after it said that it is full
	// localBonus prefers an endpoint of the same data centre when loads are
	// nearly equal, in requests.
	localBonus = 0.3
	// jitter spreads the choices of senders that see the same loads, in requests.
	jitter = 0.4
	// preemptCost ranks a slot held by a batch item behind free ones, in requests.
	preemptCost    = 4.0
	holdSmoothing  = 0.1 // weight of the newest sample in the mean time a slot is held
	firstHold      = 500 * time.Millisecond
	minRetryAfter  = 20 * time.Millisecond
	retrySpread    = 0.5 // refused callers return over this share of the wait beyond it
	waitingPerSlot = 2   // callers that may wait here, for each slot of a service
)

// A Count is how many requests a sender has at an endpoint.
type Count struct {
	Online int
	Batch  int
}

type endpoint struct {
	cicadaview.Endpoint
	own      Count
	peers    Count // sum over live peers, recomputed on each change
	restTill time.Time
	rest     time.Duration
}

func (e *endpoint) online() int { return e.own.Online + e.peers.Online }
func (e *endpoint) batch() int  { return e.own.Batch + e.peers.Batch }
func (e *endpoint) total() int  { return e.online() + e.batch() }

type peer struct {
	counts map[string]Count
	heard  time.Time
}

type waiter struct {
	want  Want
	since time.Time
	grant chan *Grant
}

type service struct {
	endpoints []*endpoint
	waiters   []*waiter
	slots     int
	hold      time.Duration // mean time that an online request holds a slot
}

// A Table holds the load of all endpoints. Its methods may be called by several
// goroutines.
type Table struct {
	mu         sync.Mutex
	name       string
	dataCentre string
	byID       map[string]*endpoint
	gone       map[string]*endpoint // endpoints that left while they had requests of ours
	services   map[string]*service
	peers      map[string]*peer
	changed    func()
}

// An Option changes a Table as it is made.
type Option func(*Table)

// WithChanged calls a function when the table's own counts change. It must not
// call the table.
func WithChanged(changed func()) Option { return func(t *Table) { t.changed = changed } }

// WithDataCentre prefers endpoints of a data centre.
func WithDataCentre(dc string) Option { return func(t *Table) { t.dataCentre = dc } }

// NewTable returns a table without endpoints for the sender of that name.
func NewTable(name string, opts ...Option) *Table {
	t := &Table{
		name: name, byID: make(map[string]*endpoint), services: make(map[string]*service),
		peers: make(map[string]*peer), changed: func() {},
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// SetEndpoints replaces the set of endpoints. An endpoint that started anew
// keeps nothing but this sender's own counts, and one that comes back has the
// requests that it still runs.
func (t *Table) SetEndpoints(all []cicadaview.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	byID := make(map[string]*endpoint, len(all))
	for _, svc := range t.services {
		svc.endpoints, svc.slots = svc.endpoints[:0], 0
	}
	for _, e := range all {
		known := t.byID[e.ID]
		if known == nil {
			known = t.gone[e.ID]
		}
		if known == nil {
			known = &endpoint{}
		}
		if known.Started != e.Started {
			known.rest, known.restTill = 0, time.Time{}
		}
		known.Endpoint = e
		byID[e.ID] = known
		svc := t.service(e.Service)
		svc.endpoints = append(svc.endpoints, known)
		if !e.Draining {
			svc.slots += e.Slots
		}
	}
	t.gone = leftBehind(byID, t.byID, t.gone)
	t.byID = byID
	t.sumPeers()
	t.wake()
}

// leftBehind returns the endpoints of earlier sets that are not in the present one
// and still have requests of this sender.
func leftBehind(present map[string]*endpoint, earlier ...map[string]*endpoint) map[string]*endpoint {
	gone := make(map[string]*endpoint)
	for _, set := range earlier {
		for id, e := range set {
			if present[id] == nil && e.own != (Count{}) {
				gone[id] = e
			}
		}
	}
	return gone
}

func (t *Table) service(name string) *service {
	svc := t.services[name]
	if svc == nil {
		svc = &service{hold: firstHold}
		t.services[name] = svc
	}
	return svc
}

// SetPeer records the counts that another sender has announced.
func (t *Table) SetPeer(name string, counts map[string]Count) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[name] = &peer{counts: counts, heard: time.Now()}
	t.sumPeers()
	t.wake()
}

func (t *Table) sumPeers() {
	for _, e := range t.byID {
		e.peers = Count{}
	}
	now := time.Now()
	for name, p := range t.peers {
		if now.Sub(p.heard) > peerTimeout {
			delete(t.peers, name)
			continue
		}
		for id, n := range p.counts {
			if e := t.byID[id]; e != nil {
				e.peers.Online += n.Online
				e.peers.Batch += n.Batch
			}
		}
	}
}

// Own returns this sender's counts that are not zero.
func (t *Table) Own() map[string]Count {
	t.mu.Lock()
	defer t.mu.Unlock()
	own := make(map[string]Count)
	for id, e := range t.byID {
		if e.own != (Count{}) {
			own[id] = e.own
		}
	}
	return own
}

// pick returns the endpoint for an online request, or nil if online requests
// hold all slots. Endpoints that rest after a failure are used when there is no
// other.
func (t *Table) pick(svc *service, w Want) *endpoint {
	now := time.Now()
	if e := t.best(svc, w, now, false); e != nil {
		return e
	}
	if svc.awake(w, now) {
		return nil
	}
	return t.best(svc, w, now, true)
}

func (s *service) awake(w Want, now time.Time) bool {
	for _, e := range s.endpoints {
		if !e.Draining && !w.avoids(e.ID) && now.After(e.restTill) {
			return true
		}
	}
	return false
}

func (t *Table) best(svc *service, w Want, now time.Time, resting bool) *endpoint {
	var found *endpoint
	lowest := 0.0
	for _, e := range svc.endpoints {
		if e.Draining || w.avoids(e.ID) || e.online() >= e.Slots || (!resting && now.Before(e.restTill)) {
			continue
		}
		cost := float64(e.total()) + jitter*rand.Float64()
		if e.total() >= e.Slots {
			cost = float64(e.Slots) + preemptCost + float64(e.online()) + jitter*rand.Float64()
		}
		if e.DataCentre == t.dataCentre {
			cost -= localBonus
		}
		if found == nil || cost < lowest {
			found, lowest = e, cost
		}
	}
	return found
}
