package cicadareservation

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadakernel/cicadaplatform"
)

const (
	// useTimeout is how long after its last renewal an owner accepts jobs on its
	// reservation without renewing it.
	useTimeout = 8 * time.Second
	// returnTimeout is how long a reservation must not have been renewed before another
	// owner takes back what no waiting job needs. It exceeds useTimeout by more than the
	// time from a decision to the job's appearance at all owners that follow the store,
	// also if a watch was silent.
	returnTimeout = 30 * time.Second
)

// routeState is an owner's view of one route.
type routeState struct {
	// busy holds one element while a call reads or writes the ledger. The fields of the
	// first group are accessed only by the holder.
	busy        chan struct{}
	ledger      ledger
	version     int64 // store version of ledger; 0 if unknown or absent
	known       bool  // ledger was read or written
	readAt      time.Time
	renewedAt   time.Time // when this owner last renewed its reservation
	limit       int64     // for which the reservation was last renewed
	lastShrink  time.Time
	renewalSeen map[string]renewalSeen // by owner

	// The fields below are guarded by Limiter.mu.
	account account
	others  map[string]int64 // waiting tokens by accepting owner
}

// renewalSeen is the last renewal seen of an owner's reservation, and when it was first seen.
type renewalSeen struct {
	renewal int64
	since   time.Time
}

// inUse reports whether this owner may use its reservation without renewing it. A process
// may have been suspended, in which case the monotonic clock may have stopped, or the wall
// clock may have been set; the greater of the two elapsed times counts.
func (r *routeState) inUse(now time.Time) bool {
	if r.renewedAt.IsZero() {
		return false
	}
	elapsed := max(now.Sub(r.renewedAt), now.Round(0).Sub(r.renewedAt.Round(0)))
	return elapsed < useTimeout
}

// read reads the ledger of a route.
func (l *Limiter) read(ctx context.Context, route string, r *routeState) error {
	obj, err := l.store.Get(ctx, objectName(route))
	switch {
	case errors.Is(err, cicadaplatform.ErrNotFound):
		r.set(ledger{}, 0)
		return nil
	case err != nil:
		return merry.Errorf("read reservations of %s: %w", route, err)
	}
	next, err := decodeLedger(obj.Value())
	if err != nil {
		return merry.Errorf("reservations of %s: %w", route, err)
	}
	r.set(next, obj.Version())
	return nil
}

// set records the content of the ledger in the store.
func (r *routeState) set(l ledger, version int64) {
	now := time.Now()
	r.ledger, r.version, r.known, r.readAt = l, version, true, now
	for owner, res := range l.Reservations {
		if seen, ok := r.renewalSeen[owner]; !ok || seen.renewal != res.Renewal {
			r.renewalSeen[owner] = renewalSeen{renewal: res.Renewal, since: now}
		}
	}
	for owner := range r.renewalSeen {
		if _, ok := l.Reservations[owner]; !ok {
			delete(r.renewalSeen, owner)
		}
	}
}

// write stores a ledger that renews the reservation of this owner.
func (l *Limiter) write(ctx context.Context, route string, r *routeState, next ledger, limit int64) error {
	if own, ok := next.Reservations[l.owner]; ok {
		own.Renewal = l.nextSequence()
		next.Reservations[l.owner] = own
	}
	start := time.Now()
	if err := l.storeLedger(ctx, route, r, next); err != nil {
		return err
	}
	r.renewedAt, r.limit = start, limit
	return nil
}

func (l *Limiter) nextSequence() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	return l.sequence
}

// storeLedger stores a ledger if the one in the store has not changed since it was read.
func (l *Limiter) storeLedger(ctx context.Context, route string, r *routeState, next ledger) error {
	next.Writer, next.Sequence = l.owner, l.nextSequence()
	value, err := next.encode()
	if err != nil {
		return err
	}
	// A write with an unknown outcome may take effect later. Until the next write has
	// succeeded, which makes it fail, the reservation is not used.
	r.known, r.renewedAt = false, time.Time{}
	var obj cicadaplatform.Object
	if r.version == 0 {
		obj, err = l.store.Create(ctx, cicadaplatform.ClassClaim, objectName(route), value)
	} else {
		obj, err = l.store.Update(ctx, cicadaplatform.ClassClaim, objectName(route), r.version, value)
	}
	if err != nil {
		return merry.Errorf("write reservations of %s: %w", route, err)
	}
	r.set(next, obj.Version())
	return nil
}

// takeBack reduces the reservations that have not been renewed for returnTimeout to what
// the waiting jobs of their owners need.
func (l *Limiter) takeBack(ctx context.Context, route string, r *routeState) {
	next, changed := r.ledger, false
	now := time.Now()
	for owner, other := range r.ledger.Reservations {
		seen := r.renewalSeen[owner]
		if owner == l.owner || seen.renewal != other.Renewal || now.Sub(seen.since) < returnTimeout {
			continue
		}
		l.mu.Lock()
		waiting := r.others[owner]
		l.mu.Unlock()
		if waiting < other.Tokens {
			next, changed = next.with(owner, reservation{Tokens: waiting, Renewal: other.Renewal}), true
			l.log.Info("reservation taken back", "route", route, "owner", owner, "tokens", other.Tokens, "waiting", waiting)
		}
	}
	if !changed {
		return
	}
	if err := l.storeLedger(ctx, route, r, next); err != nil {
		l.log.Warn("failed to take back reservations", "route", route, "error", err)
	}
}
