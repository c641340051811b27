package cicadaratelimit

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"cicadalink.example/cicadakernel/cicadalimit"
)

const (
	// settleTime is the delay before a higher share takes effect. It covers the time until the
	// previous home learns that it has been replaced.
	settleTime = 400 * time.Millisecond
	// standInTime is how long an entry refills a bucket in place of a home that is not ready,
	// after it was last asked to.
	standInTime = 200 * time.Millisecond
	// initialBurstFraction is the fraction of the burst that a new bucket contains, in addition to
	// half of the slack.
	initialBurstFraction = 0.2
	// standInFraction is the fraction of the initial level with which a home and its stand-in each
	// begin, so that they start with one initial level together.
	standInFraction = 0.5
	// reservationTime is how long a token is reserved for an entry that got none. It exceeds
	// maxBackoff, after which the entry asks again with the next request.
	reservationTime = 600 * time.Millisecond
	// maxReservations limits the entries for which tokens are reserved.
	maxReservations = 16
	// bucketIdleTime is how long an unused bucket is kept.
	bucketIdleTime = knownTime
)

// A homeBucket is the state of a customer at its home entry.
type homeBucket struct {
	id     uint64
	bucket *cicadalimit.Bucket
	limit  Limit
	usedAt time.Time

	share        float64 // of the limit, in effect
	pendingShare float64 // higher share that takes effect at pendingAt, or 0
	pendingAt    time.Time
	insteadOf    string // home that is not ready, until standInUntil
	standInUntil time.Time
	// computedShare is the share for a version of the view and a value of insteadOf.
	computedShare     float64
	computedVersion   uint64
	computedInsteadOf string

	// becameHomeAt is when this entry became the home. granted is the number of tokens granted
	// since then, and initialUsed the number of those that the refill did not cover. charged is the
	// number of tokens removed from the bucket because an earlier home has used as many initial ones.
	becameHomeAt time.Time
	granted      int64
	initialUsed  int64
	charged      float64
	refillFrom   time.Time
	lostShareAt  time.Time // when the share has become 0
	// initialShare is the share for which the initial level was computed.
	initialShare float64
	// burstShare is the share before the last decrease. The capacity is computed from it until
	// burstUntil, because shares decrease briefly while entries learn of a change at different times.
	burstShare float64
	burstUntil time.Time

	retryAt      time.Time     // when the next refused caller should retry
	reservations []reservation // entries that got no token, the first one first
}

// serve serves a request for tokens at the home entry.
func (l *Limiter) serve(from string, r Request, now time.Time) Reply {
	reply := Reply{ID: r.ID, Customer: r.Customer}
	h := l.homes[r.Customer]
	if r.Want <= 0 {
		if h != nil && h.id == r.Bucket {
			h.bucket.Grant(now, 0, r.Unused)
		} else if h != nil {
			l.charge(h, r, now)
		}
		return reply
	}
	if l.starting(now) {
		l.postponed[r.Customer] = true
		reply.Status = statusNotReady
		return reply
	}
	limit, ok := l.limitAtHome(r)
	if !ok {
		reply.Status = statusUnknownCustomer
		return reply
	}
	if limit.PerSecond <= 0 {
		reply.Tokens = r.Want
		return reply
	}
	if h == nil {
		h = l.newHomeBucket(r, limit, now)
		l.homes[r.Customer] = h
	}
	if r.InsteadOf != "" {
		h.insteadOf, h.standInUntil = r.InsteadOf, now.Add(standInTime)
	}
	l.updateHome(r.Customer, h, limit, now)
	h.usedAt = now
	home := l.view.home(r.Customer, h.insteadOf)
	if home != l.self && h.bucket.Level(now) < 1 && (h.share == 0 || now.Sub(h.becameHomeAt) < viewDelay) {
		// The sender may not be in contact with the home yet.
		reply.Status, reply.Home = statusNotHome, home
		return reply
	}
	l.grant(from, h, r, &reply, now)
	return reply
}

// limitAtHome returns the limit by which the home entry serves a Request.
func (l *Limiter) limitAtHome(r Request) (Limit, bool) {
	if l.limitOf == nil {
		return Limit{PerSecond: r.PerSecond, Burst: r.Burst}, true
	}
	return l.limitOf(r.Customer)
}

// newHomeBucket returns a bucket for a customer without one. If this entry has been the home for
// some time, the bucket contains the refill of that time.
func (l *Limiter) newHomeBucket(r Request, limit Limit, now time.Time) *homeBucket {
	since, share := now, l.view.share(r.Customer, r.InsteadOf)
	if r.InsteadOf == "" && l.view.home(r.Customer, "") == l.self {
		since = l.view.homeSince(r.Customer, l.startedAt)
	}
	initial := l.initialLevel(limit, share)
	if r.InsteadOf != "" || l.postponed[r.Customer] {
		initial *= standInFraction
	}
	h := &homeBucket{
		id: rand.Uint64() | 1, limit: limit, share: share, pendingShare: share, initialShare: share,
		becameHomeAt: since, refillFrom: since.Add(settleTime),
	}
	filled := max(now.Sub(h.refillFrom).Seconds(), 0) * limit.PerSecond * share
	h.bucket = cicadalimit.NewBucket(now, 0, l.capacity(limit, share), initial+filled)
	l.log.Debug("bucket created", "customer", r.Customer, "share", share, "tokens", h.bucket.Level(now))
	return h
}

// grant grants tokens, first for requests that wait and then in advance. One token is reserved for
// each entry that got none, so that entries with many requests don't take them all.
func (l *Limiter) grant(from string, h *homeBucket, r Request, reply *Reply, now time.Time) {
	l.charge(h, r, now)
	unused := int64(0)
	if r.Bucket == h.id {
		unused = r.Unused
	}
	h.bucket.Grant(now, 0, unused)
	ahead := h.reservationsAhead(from, now)
	available := max(int64(h.bucket.Level(now))-int64(ahead), 0)
	n := min(r.Waiting, available)
	if others := len(h.reservations); others > 0 && n > 1 {
		n = min(n, available/int64(others+1)+1)
	}
	if n == r.Waiting {
		n += min(r.Want-r.Waiting, l.spare(h, r, available-n))
	}
	tokens := h.bucket.Grant(now, n, 0).Tokens
	l.metrics.granted.Inc(tokens)
	h.updateReservations(from, tokens, now)
	reply.Tokens, reply.Bucket = tokens, h.id
	reply.Initial = h.countInitial(tokens, now)
	reply.NextMicros = h.bucket.Wait(now, float64(ahead+1)).Microseconds()
	h.scheduleRetries(max(r.Waiting-tokens, 0), r.Refused, reply, now)
}

// countInitial returns how many of the tokens that are granted now are initial ones of a new
// bucket.
func (h *homeBucket) countInitial(tokens int64, now time.Time) int64 {
	if now.Sub(h.becameHomeAt) >= Window {
		return 0
	}
	h.granted += tokens
	from := h.becameHomeAt
	if h.refillFrom.After(from) {
		from = h.refillFrom
	}
	refilled := max(now.Sub(from).Seconds(), 0) * h.limit.PerSecond * h.share
	n := max(h.granted-int64(refilled)-h.initialUsed, 0)
	h.initialUsed += n
	return n
}

// charge removes from a new bucket the initial tokens that an earlier home has granted, so that
// the initial tokens are granted only once if the home changes more than once within a window.
func (l *Limiter) charge(h *homeBucket, r Request, now time.Time) {
	if r.Bucket == h.id || r.Spent <= 0 || now.Sub(h.becameHomeAt) >= Window {
		return
	}
	n := min(float64(r.Spent), l.initialLevel(h.limit, h.share)-h.charged)
	if n > 0 {
		h.charged += n
		h.bucket.Take(now, n)
		l.log.Debug("tokens of an earlier home taken", "customer", r.Customer, "tokens", n, "level", h.bucket.Level(now))
	}
}

// spare returns how many of the remaining tokens may be granted in advance. An entry that has not
// refused any requests may not need them, so it gets only tokens beyond a reserve for requests at
// other entries.
func (l *Limiter) spare(h *homeBucket, r Request, left int64) int64 {
	if r.Refused == 0 {
		left -= int64(l.slack / 2 * h.share)
	}
	return max(left/2, 0)
}

// scheduleRetries sets when refused callers should retry: one after the other, at the rate at
// which tokens are added, and after callers that were refused before. elsewhere is the number of
// callers that the entry has refused on its own since its last Request.
func (h *homeBucket) scheduleRetries(refused, elsewhere int64, reply *Reply, now time.Time) {
	rate := h.limit.PerSecond * h.share
	step := maxRetryAfter
	if rate > 0 {
		step = min(time.Duration(float64(time.Second)/rate), maxRetryAfter)
	}
	first := now.Add(h.bucket.Wait(now, 1))
	if h.retryAt.After(first) {
		first = h.retryAt
	}
	latest := now.Add(maxRetryAfter)
	if first.After(latest) {
		first = latest
	}
	reply.RetryMicros, reply.StepMicros = first.Sub(now).Microseconds(), step.Microseconds()
	h.retryAt = first.Add(time.Duration(min(refused+elsewhere, int64(maxRetryAfter/step)+1)) * step)
	if h.retryAt.After(latest) {
		h.retryAt = latest
	}
}

// tickHomes updates the buckets and drops idle ones.
func (l *Limiter) tickHomes(now time.Time) {
	for _, name := range slices.Sorted(maps.Keys(l.homes)) {
		h := l.homes[name]
		idle, lost := now.Sub(h.usedAt), h.share == 0 && now.Sub(h.lostShareAt) > Window
		if idle > bucketIdleTime || lost && idle > Window {
			delete(l.homes, name)
			continue
		}
		l.updateHome(name, h, h.limit, now)
	}
	if now.Sub(l.startedAt) > Window {
		clear(l.postponed)
	}
}
