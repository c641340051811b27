// Package cicadaplace assigns slots at endpoints to requests: it selects the
// endpoint, queues requests that must wait and refuses those that would wait too
// long. Engines admit requests in order of arrival and have no priorities, so
// requests are queued here and sent only when a slot is free.
//
// The processes of a deployment that send requests to endpoints exchange how many
// requests each has in flight at each endpoint. A Table adds the counts of its
// peers to its own. Online requests may take slots that batch items hold: the
// processes that run those items see the excess and preempt items.
//
// With WithSpeedLearning a Table also learns from responses how slow each endpoint is, relative to
// the median of its service, and selects the endpoint where a request will be done soonest. Peers
// exchange what they have measured.
//
// Waiting requests are ordered by priority and then by fair shares among customers: the request of
// the customer with the least recent work comes first. Processes report the work of their busiest
// customers to each other.
//
// # Usage
//
//	table := cicadaplace.NewTable("ee-1", cicadaplace.WithOnChange(notifyPeers))
//	table.SetEndpoints(endpoints)
//	grant, err := table.Acquire(ctx, cicadaplace.SlotRequest{Service: "assistants", MaxWait: 200 * time.Millisecond})
//	if err != nil { ... refuse with Retry-After: table.RetryAfter("assistants") ... }
//	defer grant.Release()
//	sampler := grant.StartSampling(true, promptTokens)
//	... sampler.Events(n) for events that were read, sampler.Done() at the end of the response ...
//
// and, if speeds are learned, with each message to and from peers
//
//	samples := table.LocalSpeed(time.Now())
//	table.MergeSpeed(samplesOfPeer, time.Now())
//
// With customers, each request states its customer, and peers exchange the work of customers:
//
//	req := cicadaplace.SlotRequest{Service: "assistants", Customer: "acme", Priority: 1, Work: 800, MaxWait: time.Second}
//	grant, err := table.Acquire(ctx, req)
//	if err != nil { ... refuse with Retry-After: table.RetryAfterFor(req) ... }
//	grant.RecordWork(750)
//	send(table.LocalInFlight(), table.LocalUsage(8))
//	table.SetPeerUsage("ee-2", received)
//
// The package does no network I/O.
package cicadaplace

import (
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadakernel/cicadaview"
)

// Errors returned by Acquire.
var (
	// ErrNoEndpoint reports that the service has no endpoint that may be used.
	ErrNoEndpoint = merry.Sentinel("cicadaplace: no endpoint")
	// ErrBusy reports that no slot became free in time, or that the expected wait or the
	// queue is too long.
	ErrBusy = merry.Sentinel("cicadaplace: all slots taken")
)

const (
	minBackoff      = 150 * time.Millisecond // after the first failure of an endpoint
	maxBackoff      = 3 * time.Second
	overloadBackoff = 15 * time.Millisecond // after an endpoint reported that it is full
	// sameDataCentreBonus, in requests, makes an endpoint of the local data centre
	// preferred when loads are nearly equal.
	sameDataCentreBonus = 0.3
	// batchCost, in requests, is the cost of a slot that a batch item holds. It is less than
	// that of an online request: if more requests arrive than the counts show, items make
	// room for them.
	batchCost = 0.75
	// preemptionCost, in requests, ranks an endpoint where an item must be preempted behind
	// one with an idle slot.
	preemptionCost    = 1.0
	holdSampleWeight  = 0.1 // weight of the newest sample in service.meanHold
	initialMeanHold   = 500 * time.Millisecond
	minMeanHold       = 10 * time.Millisecond
	minRetryAfter     = 20 * time.Millisecond
	retryJitter       = 0.5 // maximum random addition in RetryAfter, as a fraction of the wait
	maxWaitersPerSlot = 2   // queued requests of this process per slot of a service
)

// InFlight holds the numbers of requests that one process has in flight at an endpoint.
type InFlight struct {
	Online int
	Batch  int
	// RateLimit is the limit, in requests a second, that the endpoint has lately stated to
	// the process; Withdrawn; or 0.
	RateLimit float64
}

type endpointState struct {
	cicadaview.Endpoint
	local        InFlight
	peers        InFlight // sum over live peers
	backoffUntil time.Time
	backoff      time.Duration // length of the latest backoff; 0 after a success
	limit        rateLimit
	// versionDoubtUntil is until when the registered software version may be that of a
	// former process.
	versionDoubtUntil time.Time
	statesStart       bool // whether the endpoint has stated its start to this process
	lastSuccess       time.Time
	unreachable       unreachableReport
	speed             *endpointSpeed
}

func (e *endpointState) online() int { return e.local.Online + e.peers.Online }
func (e *endpointState) batch() int  { return e.local.Batch + e.peers.Batch }
func (e *endpointState) total() int  { return e.online() + e.batch() }

type waiter struct {
	request      SlotRequest
	enqueuedAt   time.Time
	granted      chan *Grant // sends nil if the request is refused
	arrival      uint64      // ascending
	work         float64     // in tokens
	account      *customerAccount
	weightedWork float64   // of the customer, see compareWaiters
	deadline     time.Time // end of MaxWait
	expectedAt   time.Time // when a slot is expected, updated as requests are inserted before it
}

type service struct {
	endpoints []*endpointState
	waiters   []*waiter
	slots     int
	meanHold  time.Duration // moving average of how long an online request holds a slot
	// batchGrants holds the times of the latest grants to batch items.
	batchGrants []time.Time
	tokenTimer  bool // a timer of wakeForToken is set
	// rankedAt is the number of changes of work when the waiters were last ranked for a grant.
	rankedAt uint64
}

// A Table tracks the requests in flight at all endpoints and grants slots. It is
// safe for concurrent use.
type Table struct {
	mu            sync.Mutex
	name          string
	dataCentre    string
	endpointsByID map[string]*endpointState
	removed       map[string]*endpointState // removed endpoints that still have local requests
	services      map[string]*service
	peers         map[string]*peer
	senders       Senders
	nextExpiry    time.Time // no counts of a peer expire before this
	onChange      func()
	onRefusal     func(id string)
	onUnreachable func(id string)
	onLeaving     func(id string)
	leaving       map[string]leavingMark // by endpoint
	staleness     func() time.Duration
	candidates    []candidate   // reused by choose
	speed         *speedLearner // nil if speeds are not learned
	work          *workAccounts
	arrivals      uint64
}

// An Option configures a Table.
type Option func(*Table)

// WithOnChange sets a function that is called after the counts of this process have
// changed. It must not call methods of the Table.
func WithOnChange(onChange func()) Option { return func(t *Table) { t.onChange = onChange } }

// WithOnRefusal sets a function that is called with the ID of an endpoint that has refused a
// connection and was not in backoff. It is to pass this on to peers, whose tables take it
// in by RecordPeerRefusal.
func WithOnRefusal(onRefusal func(id string)) Option {
	return func(t *Table) { t.onRefusal = onRefusal }
}

// WithOnLeaving sets a function that is called with the ID of an endpoint that has said that
// it is leaving and is not registered as draining. It must not call methods of the Table.
func WithOnLeaving(onLeaving func(id string)) Option {
	return func(t *Table) { t.onLeaving = onLeaving }
}

// WithStaleness sets the function that returns how old the counts of peers are on average.
// The default is 0.
func WithStaleness(staleness func() time.Duration) Option {
	return func(t *Table) { t.staleness = staleness }
}

// WithDataCentre makes Acquire prefer endpoints of the given data centre.
func WithDataCentre(dc string) Option { return func(t *Table) { t.dataCentre = dc } }

// NewTable returns a table without endpoints. The name identifies this process
// among its peers.
func NewTable(name string, opts ...Option) *Table {
	t := &Table{
		name: name, endpointsByID: make(map[string]*endpointState), services: make(map[string]*service),
		peers: make(map[string]*peer), onChange: func() {}, onRefusal: func(string) {}, onUnreachable: func(string) {}, onLeaving: func(string) {},
		leaving: make(map[string]leavingMark), staleness: func() time.Duration { return 0 },
		work: newWorkAccounts(),
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// SetEndpoints replaces the set of endpoints. The local counts of an endpoint are
// kept while it is missing from the set and when it restarts. A restart resets its
// backoff.
func (t *Table) SetEndpoints(all []cicadaview.Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	byID := make(map[string]*endpointState, len(all))
	for _, svc := range t.services {
		svc.endpoints, svc.slots = svc.endpoints[:0], 0
	}
	for _, e := range all {
		state := t.endpointsByID[e.ID]
		if state == nil {
			state = t.removed[e.ID]
		}
		if state == nil {
			state = &endpointState{}
		}
		if state.StartedMs != e.StartedMs {
			state.backoff, state.backoffUntil = 0, time.Time{}
			state.limit = rateLimit{}
			state.unreachable = unreachableReport{}
		}
		restarted := state.StartedMs != e.StartedMs || state.SoftwareVersion != e.SoftwareVersion
		if restarted {
			state.versionDoubtUntil = time.Time{}
		}
		if restarted || state.speed == nil {
			t.resetSpeed(state, e.ID, state.ID != "")
		}
		e.Draining = e.Draining || t.saidLeaving(e)
		state.Endpoint = e
		byID[e.ID] = state
		svc := t.service(e.Service)
		svc.endpoints = append(svc.endpoints, state)
		if !e.Draining {
			svc.slots += e.Slots
		}
	}
	t.removed = removedInUse(byID, t.endpointsByID, t.removed)
	t.endpointsByID = byID
	t.forgetLeaving(time.Now())
	t.expirePeers(time.Now())
	t.sumPeers()
	t.grantWaiters()
}

// removedInUse returns the endpoints of previous sets that are not in the current
// set and still have requests of this process in flight.
func removedInUse(current map[string]*endpointState, previous ...map[string]*endpointState) map[string]*endpointState {
	removed := make(map[string]*endpointState)
	for _, set := range previous {
		for id, e := range set {
			if current[id] == nil && e.local != (InFlight{}) {
				removed[id] = e
			}
		}
	}
	return removed
}

// service returns the state of a service, which is created if it is not known yet.
func (t *Table) service(name string) *service {
	svc := t.services[name]
	if svc == nil {
		svc = &service{meanHold: initialMeanHold}
		t.services[name] = svc
	}
	return svc
}

// LocalInFlight returns the nonzero counts of this process, by endpoint, and what endpoints
// have lately stated to it.
func (t *Table) LocalInFlight() map[string]InFlight {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts, now := make(map[string]InFlight), time.Now()
	for id, e := range t.endpointsByID {
		n := InFlight{Online: e.local.Online, Batch: e.local.Batch, RateLimit: e.limit.advertised(now)}
		if n != (InFlight{}) {
			counts[id] = n
		}
	}
	return counts
}

// selectEndpoint returns the endpoint for an online request, or nil if online
// requests hold all slots. Endpoints in backoff are used only if there is no other. A request
// that has failed before, or that continues an output, is sent to an endpoint that has not
// responded since its backoff only if there is no other: several of these may have crashed.
func (t *Table) selectEndpoint(svc *service, req SlotRequest) *endpointState {
	now := time.Now()
	if !req.Unrestricted() {
		if e := t.choose(svc, req, func(e *endpointState) bool { return e.backoff == 0 && !now.Before(e.backoffUntil) }); e != nil {
			return e
		}
	}
	if e := t.choose(svc, req, func(e *endpointState) bool { return !now.Before(e.backoffUntil) }); e != nil {
		return e
	}
	if svc.hasReady(req, now) {
		return nil
	}
	return t.choose(svc, req, func(*endpointState) bool { return true })
}

// hasReady reports whether any endpoint that may be used for the request is not in
// backoff.
func (s *service) hasReady(req SlotRequest, now time.Time) bool {
	for _, e := range s.endpoints {
		if req.allows(e) && now.After(e.backoffUntil) {
			return true
		}
	}
	return false
}

// choose returns an endpoint for the request among those that are healthy and where online
// requests do not hold all slots, or nil.
func (t *Table) choose(svc *service, req SlotRequest, healthy func(*endpointState) bool) *endpointState {
	now := time.Now()
	t.refreshSpeeds(req.Service, svc, now)
	t.candidates = t.candidates[:0]
	for _, e := range svc.endpoints {
		if !req.allows(e) || e.online() >= e.Slots || !healthy(e) || !e.limit.allows(now) {
			continue
		}
		cost := float64(e.online()) + batchCost*float64(e.batch()) + e.speedCost()
		if e.total() >= e.Slots {
			cost += preemptionCost
		}
		if e.DataCentre == t.dataCentre {
			cost -= sameDataCentreBonus
		}
		t.candidates = append(t.candidates, candidate{e, cost})
	}
	t.candidates = avoidSlow(t.candidates)
	return spread(t.candidates, 1+t.unseenArrivals(svc))
}

// unseenArrivals estimates how many online requests other processes have sent to a service
// that their last messages do not include yet.
func (t *Table) unseenArrivals(svc *service) float64 {
	online := 0
	for _, e := range svc.endpoints {
		online += e.peers.Online
	}
	return float64(online) * t.staleness().Seconds() / max(svc.meanHold.Seconds(), minMeanHold.Seconds())
}
