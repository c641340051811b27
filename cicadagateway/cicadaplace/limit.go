package cicadaplace

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadalink.example/cicadakernel/cicadamember"
)

const (
	// minShare is the smallest part of an endpoint's limit that a process gets, in requests
	// a second. The limit is divided among so few processes that none gets less, since
	// each may send one request at once.
	minShare = 0.5
	// ownersShare is the part of a limit for the items of batch jobs.
	ownersShare = 0.25
	// limitTimeout is how long a limit holds after it was last heard of. Processes forget it
	// at different times, up to as long again later, so that the first one finds out.
	limitTimeout = 10 * time.Second
	// withdrawnTimeout is how long it holds after a peer has heard that it was withdrawn.
	withdrawnTimeout = time.Second
	// statedTimeout is how long a process tells its peers what an endpoint has stated to it.
	statedTimeout = 5 * time.Second
	// maxTokens is how many requests a process may send to a limited endpoint at once.
	maxTokens = 1.0
	// maxTokenWait is the expected wait at a process that may send nothing to a service.
	maxTokenWait = time.Second
)

// Withdrawn is the RateLimit of an InFlight if the endpoint has lately answered this
// process without a limit, after it had stated one.
const Withdrawn = -1.0

// Senders holds the names of the processes that send requests to endpoints.
type Senders struct {
	Online []string // those of callers
	Batch  []string // items of batch jobs
}

// A rateLimit is the limit of an endpoint on the requests of all processes together, and
// this process's share of it.
type rateLimit struct {
	perSecond float64 // 0 if there is no limit
	until     time.Time
	delay     time.Duration // by which this process forgets the limit later than others
	share     float64       // of this process, in requests a second
	tokens    float64
	filledAt  time.Time

	// stated is what the endpoint has stated to this process itself: a limit, Withdrawn, or
	// 0 if it has stated none.
	stated   float64
	statedAt time.Time
}

func (l *rateLimit) active(now time.Time) bool { return l.perSecond > 0 && now.Before(l.until) }

// refill adds the tokens of the time since the last call.
func (l *rateLimit) refill(now time.Time) {
	l.tokens = min(l.tokens+l.share*now.Sub(l.filledAt).Seconds(), maxTokens)
	l.filledAt = now
}

// allows reports whether a request may be sent now.
func (l *rateLimit) allows(now time.Time) bool {
	if !l.active(now) {
		return true
	}
	l.refill(now)
	return l.tokens >= 1
}

// take counts a request that is sent.
func (l *rateLimit) take(now time.Time) {
	if l.active(now) {
		l.refill(now)
		l.tokens--
	}
}

// set records a limit. A new limit begins without tokens: the requests that are on their
// way count against it.
func (l *rateLimit) set(perSecond float64, now time.Time) (changed bool) {
	began := !l.active(now)
	if began {
		l.tokens, l.filledAt = 0, now
	}
	changed = began || l.perSecond != perSecond
	l.perSecond, l.until = perSecond, now.Add(limitTimeout+l.delay)
	return changed
}

// advertised returns what peers are told.
func (l *rateLimit) advertised(now time.Time) float64 {
	if now.Sub(l.statedAt) > statedTimeout {
		return 0
	}
	return l.stated
}

// SetSenders sets the processes among which the limits of endpoints are divided.
func (t *Table) SetSenders(s Senders) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.senders = s
	now := time.Now()
	for _, e := range t.endpointsByID {
		if e.limit.active(now) {
			t.divide(e, now)
		}
	}
}

// divide computes this process's share of an endpoint's limit. All processes that know the
// same senders compute the same division.
func (t *Table) divide(e *endpointState, now time.Time) {
	e.limit.refill(now)
	if e.limit.delay == 0 {
		e.limit.delay = forgetDelay(t.name, e.ID)
		e.limit.until = e.limit.until.Add(e.limit.delay)
	}
	online, batch := t.senders.Online, t.senders.Batch
	batchLimit := ownersShare * e.limit.perSecond
	switch {
	case len(online) == 0 && len(batch) == 0:
		online, batchLimit = []string{t.name}, 0 // peers are not known yet
	case len(online) == 0:
		batchLimit = e.limit.perSecond
	case len(batch) == 0:
		batchLimit = 0
	}
	e.limit.share = shareOf(t.name, e.ID, online, e.limit.perSecond-batchLimit) + shareOf(t.name, e.ID, batch, batchLimit)
}

// forgetDelay spreads the times at which processes forget the limit of an endpoint.
func forgetDelay(name, endpoint string) time.Duration {
	return time.Duration(hashFraction(name, endpoint) * float64(limitTimeout))
}

// hashFraction returns a number from 0 to 1 that is fixed for a process and an endpoint, and spreads
// what several processes do at different times.
func hashFraction(name, endpoint string) float64 {
	return float64(xxhash.Sum64String(name+"\x00"+endpoint)) / math.MaxUint64
}

// shareOf returns the part of a limit that a process gets if it is divided among names.
func shareOf(name, endpoint string, names []string, limit float64) float64 {
	if limit <= 0 || !slices.Contains(names, name) {
		return 0
	}
	n := min(max(int(limit/minShare), 1), len(names))
	if !slices.Contains(cicadamember.Top(endpoint, names, n), name) {
		return 0
	}
	return limit / float64(n)
}

// RecordRateLimit records the limit that the endpoint states in an answer, in requests a
// second from all processes together, or 0 if it states none.
func (g *Grant) RecordRateLimit(perSecond float64) {
	t := g.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if g.endpoint.StartedMs != g.state.StartedMs && g.startedMs() != g.state.StartedMs {
		return // the endpoint has restarted since
	}
	l, now := &g.state.limit, time.Now()
	if perSecond > 0 {
		l.stated, l.statedAt = perSecond, now
		if l.set(perSecond, now) {
			t.divide(g.state, now)
		}
		return
	}
	if l.active(now) || l.stated != 0 {
		l.stated, l.statedAt = Withdrawn, now
	}
	l.perSecond = 0
}

// notePeerLimits records what endpoints have stated to a peer.
func (t *Table) notePeerLimits(counts map[string]InFlight, now time.Time) {
	for id, n := range counts {
		e := t.endpointsByID[id]
		if e == nil || n.RateLimit == 0 {
			continue
		}
		if n.RateLimit > 0 {
			if e.limit.set(n.RateLimit, now) {
				t.divide(e, now)
			}
		} else if until := now.Add(withdrawnTimeout); until.Before(e.limit.until) {
			e.limit.until = until
		}
	}
}

// tokenRate returns the rate at which this process may send requests to a service whose
// usable endpoints all have limits. limited is false if one has none.
func (s *service) tokenRate(now time.Time) (perSecond float64, limited bool) {
	for _, e := range s.endpoints {
		if e.Draining {
			continue
		}
		if !e.limit.active(now) {
			return 0, false
		}
		perSecond += e.limit.share
		limited = true
	}
	return perSecond, limited
}

// nextToken returns the time until this process may send another request to some limited
// endpoint of a service that has an idle slot. It reports false if there is none.
func (s *service) nextToken(now time.Time) (time.Duration, bool) {
	next, ok := time.Duration(0), false
	for _, e := range s.endpoints {
		if e.Draining || !e.limit.active(now) || e.limit.share <= 0 || e.online() >= e.Slots {
			continue
		}
		e.limit.refill(now)
		wait := time.Duration(max(1-e.limit.tokens, 0) / e.limit.share * float64(time.Second))
		if !ok || wait < next {
			next, ok = wait, true
		}
	}
	return next, ok
}

// tokenMargin is added to the wait for a token, so that it is there.
const tokenMargin = time.Millisecond

// wakeForToken grants slots to waiters when the next token is there.
func (t *Table) wakeForToken(svc *service) {
	if svc.tokenTimer || len(svc.waiters) == 0 {
		return
	}
	wait, ok := svc.nextToken(time.Now())
	if !ok {
		return
	}
	svc.tokenTimer = true
	time.AfterFunc(wait+tokenMargin, func() {
		t.mu.Lock()
		svc.tokenTimer = false
		t.grantWaiters()
		t.wakeForToken(svc)
		t.mu.Unlock()
	})
}
