package cicadareservation

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/go-hclog"

	"cicadalink.example/cicadakernel/cicadaplatform"
)

const (
	// readInterval is the shortest interval between two reads of a ledger to confirm that
	// a job does not fit. Jobs refused in between don't fit by the last read.
	readInterval = 250 * time.Millisecond
	// shrinkInterval is the shortest interval between two requests to peers to return
	// tokens.
	shrinkInterval = 500 * time.Millisecond
	// maxUpdates limits the attempts of one call to update a ledger that other owners
	// update at the same time.
	maxUpdates    = 6
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 5 * time.Second
	retryJitter   = 0.5 // maximum random addition to a Retry-After, as a fraction
)

// Errors returned by Reserve. Neither leaves tokens reserved for the job.
var (
	// ErrNotReady reports that the owner does not know yet which accepted jobs wait.
	ErrNotReady = merry.Sentinel("cicadareservation: accepted jobs not known yet")
	// ErrContended reports that other owners kept changing the ledger.
	ErrContended = merry.Sentinel("cicadareservation: ledger changed too often")
)

// A Decision is the outcome of Reserve.
type Decision struct {
	granted    bool
	retryAfter time.Duration
	reserved   int64
}

// Granted reports whether the job's tokens are reserved.
func (d Decision) Granted() bool { return d.granted }

// RetryAfter returns when a refused job is expected to fit.
func (d Decision) RetryAfter() time.Duration { return d.retryAfter }

// Reserved returns the tokens that all owners together had reserved, without the job.
func (d Decision) Reserved() int64 { return d.reserved }

// Waiting holds the waiting tokens of accepted jobs, by route. An item waits until its
// result is known; the items of a job that was ended or given up do not wait.
type Waiting struct {
	// Own holds the tokens of the jobs that this owner has accepted, by job.
	Own map[string]map[string]int64
	// Others holds the tokens of the jobs that other owners have accepted, by owner.
	Others map[string]map[string]int64
}

// A Limiter decides for one owner whether jobs fit in the limits of their routes. It is
// safe for concurrent use.
type Limiter struct {
	owner  string
	store  *cicadaplatform.Client
	log    hclog.Logger
	shrink func(ctx context.Context, route string)

	mu       sync.Mutex
	ready    bool
	routes   map[string]*routeState
	sequence int64 // of the last ledger that this owner wrote
}

// An Option configures a Limiter.
type Option func(*Limiter)

// WithShrink sets the function that asks the other owners to call Shrink for a route.
func WithShrink(shrink func(ctx context.Context, route string)) Option {
	return func(l *Limiter) { l.shrink = shrink }
}

// New returns a Limiter for an owner. It grants nothing until SetWaiting was called.
func New(owner string, store *cicadaplatform.Client, log hclog.Logger, opts ...Option) *Limiter {
	l := &Limiter{
		owner: owner, store: store, log: log, routes: make(map[string]*routeState),
		sequence: time.Now().UnixNano(), shrink: func(context.Context, string) {},
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// route returns the state of a route. The caller holds mu.
func (l *Limiter) route(name string) *routeState {
	r := l.routes[name]
	if r == nil {
		r = &routeState{busy: make(chan struct{}, 1), renewalSeen: make(map[string]renewalSeen)}
		l.routes[name] = r
	}
	return r
}

// SetWaiting replaces the waiting tokens of the accepted jobs. It must be called when
// they change, at first once all jobs in the store are known.
func (l *Limiter) SetWaiting(w Waiting) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ready = true
	now := time.Now()
	for name := range w.Own {
		l.route(name)
	}
	for name := range w.Others {
		l.route(name)
	}
	for name, r := range l.routes {
		before := r.account.total
		for job, c := range r.account.jobs {
			if _, waiting := w.Own[name][job]; c.confirmed && !waiting {
				r.account.remove(job)
			}
		}
		for job, tokens := range w.Own[name] {
			if old, known := r.account.jobs[job]; known || tokens > 0 {
				before += max(tokens-old.tokens, 0) // newly known, not drained
				r.account.set(job, charge{tokens: tokens, since: now, confirmed: true})
			}
		}
		r.account.expire(now)
		r.account.drain.observe(max(before-r.account.total, 0), now)
		r.others = w.Others[name]
	}
}

// Release returns the tokens of a job that this owner has not accepted, although Reserve
// has granted it.
func (l *Limiter) Release(route, job string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.route(route).account.remove(job)
}

// Reserve reserves a job's tokens on a route within the limit, in tokens. A job that has
// tokens reserved already is granted again without more. If an error is returned, the
// store could not be asked, and the job must not be accepted.
func (l *Limiter) Reserve(ctx context.Context, route, job string, tokens, limit int64) (Decision, error) {
	l.mu.Lock()
	r, ready := l.route(route), l.ready
	l.mu.Unlock()
	if !ready {
		return Decision{}, ErrNotReady
	}
	select {
	case r.busy <- struct{}{}:
		defer func() { <-r.busy }()
	case <-ctx.Done():
		return Decision{}, merry.Errorf("wait for the ledger of %s: %w", route, ctx.Err())
	}
	if l.chargeWithinReservation(r, job, tokens, limit) {
		return Decision{granted: true}, nil
	}
	return l.enlarge(ctx, route, r, job, tokens, limit)
}

// chargeWithinReservation charges a job if its tokens fit in the current reservation.
func (l *Limiter) chargeWithinReservation(r *routeState, job string, tokens, limit int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, charged := r.account.jobs[job]; charged {
		return true
	}
	own := r.ledger.Reservations[l.owner]
	if !r.inUse(time.Now()) || limit < r.limit || r.account.total+tokens > own.Tokens {
		return false
	}
	r.account.set(job, charge{tokens: tokens, since: time.Now()})
	return true
}

// enlarge updates the ledger so that the reservation covers the job, or finds that the
// job does not fit.
func (l *Limiter) enlarge(ctx context.Context, route string, r *routeState, job string, tokens, limit int64) (Decision, error) {
	asked := false
	for range maxUpdates {
		if !r.known {
			if err := l.read(ctx, route, r); err != nil {
				return Decision{}, err
			}
		}
		needed := l.charged(r) + tokens
		reserved := r.ledger.others(l.owner) + needed
		if reserved > limit {
			if !l.makeRoom(ctx, route, r, &asked) {
				return l.refuse(r, reserved, tokens, limit), nil
			}
			continue
		}
		next := r.ledger.with(l.owner, reservation{Tokens: needed + headroom(limit, reserved)})
		err := l.write(ctx, route, r, next, limit)
		if err == nil {
			l.mu.Lock()
			r.account.set(job, charge{tokens: tokens, since: time.Now()})
			l.mu.Unlock()
			return Decision{granted: true}, nil
		}
		if !errors.Is(err, cicadaplatform.ErrConflict) && !errors.Is(err, cicadaplatform.ErrExists) {
			return Decision{}, err
		}
	}
	return Decision{}, ErrContended
}

// charged returns the tokens that wait on this owner's account.
func (l *Limiter) charged(r *routeState) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return r.account.total
}

// makeRoom refreshes the ledger after it has, or may have, changed in favour of a job that
// does not fit. It reports false if there is nothing left to try.
func (l *Limiter) makeRoom(ctx context.Context, route string, r *routeState, asked *bool) bool {
	now := time.Now()
	switch {
	case now.Sub(r.readAt) > readInterval:
	case !*asked && now.Sub(r.lastShrink) > shrinkInterval:
		*asked, r.lastShrink = true, now
		l.shrink(ctx, route)
	default:
		return false
	}
	if err := l.read(ctx, route, r); err != nil {
		l.log.Warn("failed to read reservations", "route", route, "error", err)
		return false
	}
	l.takeBack(ctx, route, r)
	return true
}

// refuse returns the decision on a job that does not fit.
func (l *Limiter) refuse(r *routeState, reserved, tokens, limit int64) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Decision{retryAfter: l.retryAfter(r, reserved-limit, reserved-tokens), reserved: reserved - tokens}
}

// retryAfter estimates when missing tokens will have drained. Owners are assumed to drain
// in proportion to what waits on their accounts.
func (l *Limiter) retryAfter(r *routeState, missing, waiting int64) time.Duration {
	rate := r.account.drain.perSecond
	if r.account.total > 0 {
		rate *= max(float64(waiting)/float64(r.account.total), 1)
	}
	wait := maxRetryAfter
	if rate > 0 {
		wait = time.Duration(min(float64(missing)/rate, maxRetryAfter.Seconds()) * float64(time.Second))
	}
	wait = max(wait, minRetryAfter)
	return wait + time.Duration(rand.Float64()*retryJitter*float64(wait))
}

// Shrink reduces the reservation of this owner to the tokens that wait on its account. It
// does nothing while a call of Reserve uses the ledger, because such a call leaves no more
// than is needed once tokens are short.
func (l *Limiter) Shrink(ctx context.Context, route string) {
	l.mu.Lock()
	r, ready := l.route(route), l.ready
	l.mu.Unlock()
	if !ready {
		return
	}
	select {
	case r.busy <- struct{}{}:
		defer func() { <-r.busy }()
	default:
		return
	}
	own, needed := r.ledger.Reservations[l.owner], l.charged(r)
	if r.known && own.Tokens <= needed {
		return
	}
	if err := l.read(ctx, route, r); err != nil {
		l.log.Warn("failed to read reservations", "route", route, "error", err)
		return
	}
	if own = r.ledger.Reservations[l.owner]; own.Tokens <= needed {
		return
	}
	err := l.write(ctx, route, r, r.ledger.with(l.owner, reservation{Tokens: needed}), r.limit)
	l.log.Info("reservation shrunk", "route", route, "from", own.Tokens, "to", needed, "error", err)
}
