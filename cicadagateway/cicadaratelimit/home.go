package cicadaratelimit

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cicadalink.example/cicadakernel/cicadalimit"
)

const (
	// settleTime is the time after which a share that has risen takes effect. It covers the
	// time by which the earlier home learns later that it no longer is one.
	settleTime = 400 * time.Millisecond
	// standInTime is how long an entry refills a bucket in place of a home that is not ready,
	// after it was last asked to.
	standInTime = 200 * time.Millisecond
	// initialBurst is the part of the burst that a new bucket contains, in addition to half
	// of the slack.
	initialBurst = 0.05
	// denialTime is how long a token is reserved for an entry that got none. It exceeds
	// maxBackoff, after which the entry asks again if it still has requests.
	denialTime = 300 * time.Millisecond
	// maxDenials limits the entries for which tokens are reserved.
	maxDenials = 16
	// bucketIdleTime is how long an unused bucket is kept.
	bucketIdleTime = knownTime
)

// A homeBucket is the state of a customer at its home entry.
type homeBucket struct {
	id     uint64
	bucket *cicadalimit.Bucket
	limit  Limit
	usedAt time.Time

	share        float64 // in effect
	pendingShare float64 // higher share that takes effect at pendingAt, or 0
	pendingAt    time.Time
	insteadOf    string // home that is not ready, until standInUntil
	standInUntil time.Time
	computed     float64 // share for the version of the view and insteadOf
	version      uint64
	computedFor  string

	// fresh is set until the first request after this entry has become the home, at freshAt.
	fresh       bool
	freshAt     time.Time
	refillFrom  time.Time
	lostShareAt time.Time // when the share has become 0

	retryAt time.Time // when the next caller that is refused may come back
	denials []denial  // entries that got no token, the first one first
}

type denial struct {
	entry string
	at    time.Time
}

// serve serves a request for tokens at the home entry.
func (l *Limiter) serve(from string, r Request, now time.Time) Reply {
	reply := Reply{ID: r.ID, Customer: r.Customer}
	h := l.homes[r.Customer]
	if r.Want <= 0 {
		if h != nil && h.id == r.Bucket {
			h.bucket.Grant(now, 0, r.Unused)
		}
		return reply
	}
	if l.starting(now) {
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
	if h.share == 0 && h.bucket.Level(now) < 1 {
		reply.Status, reply.Home = statusNotHome, l.view.home(r.Customer, "")
		return reply
	}
	l.grant(from, h, r, &reply, now)
	return reply
}

func (l *Limiter) limitAtHome(r Request) (Limit, bool) {
	if l.limitOf == nil {
		return Limit{PerSecond: r.PerSecond, Burst: r.Burst}, true
	}
	return l.limitOf(r.Customer)
}

// capacity returns the capacity of a bucket.
func (l *Limiter) capacity(limit Limit, share float64) float64 {
	return max((limit.Burst+l.slack/2)*share, 1)
}

// initialLevel returns the level of a bucket of an entry that has just become the home.
func (l *Limiter) initialLevel(limit Limit, share float64) float64 {
	return (l.slack/2 + initialBurst*limit.Burst) * share
}

// newHomeBucket returns a bucket for a customer that was not active lately. If this entry has
// been the home for longer, the bucket has filled since.
func (l *Limiter) newHomeBucket(r Request, limit Limit, now time.Time) *homeBucket {
	since, share := now, l.view.share(r.Customer, r.InsteadOf)
	if r.InsteadOf == "" && l.view.home(r.Customer, "") == l.self {
		since = l.view.homeSince(r.Customer, l.startedAt)
	}
	h := &homeBucket{
		id: rand.Uint64() | 1, limit: limit, share: share, pendingShare: share,
		fresh: true, freshAt: since, refillFrom: since.Add(settleTime),
	}
	filled := max(now.Sub(h.refillFrom).Seconds(), 0) * limit.PerSecond * share
	h.bucket = cicadalimit.NewBucket(now, 0, l.capacity(limit, share), l.initialLevel(limit, share)+filled)
	return h
}

// updateHome brings a bucket up to date with the limit and with the share of this entry.
func (l *Limiter) updateHome(name string, h *homeBucket, limit Limit, now time.Time) {
	if now.After(h.standInUntil) {
		h.insteadOf = ""
	}
	if h.version != l.view.version || h.computedFor != h.insteadOf || h.computed == 0 {
		h.computed = l.view.share(name, h.insteadOf)
		h.version, h.computedFor = l.view.version, h.insteadOf
	}
	h.limit = limit
	h.setShare(h.computed, now)
	rate := limit.PerSecond * h.share
	if now.Before(h.refillFrom) && h.insteadOf == "" {
		rate = 0
	}
	burst := l.capacity(limit, h.share)
	if h.share == 0 {
		// Requests of entries that have not yet learned of the new home use what is left.
		burst = l.capacity(limit, 1)
		if now.Sub(h.lostShareAt) > settleTime {
			burst = l.initialLevel(limit, 1)
		}
	}
	h.bucket.SetLimit(now, rate, burst)
}

// setShare sets the share, at once if it falls, or if the bucket stands in for a home that is
// not ready, and otherwise after settleTime.
func (h *homeBucket) setShare(share float64, now time.Time) {
	switch {
	case share == h.share:
		h.pendingShare = share
	case share < h.share || h.insteadOf != "":
		h.applyShare(share, now)
	case share != h.pendingShare:
		h.pendingShare, h.pendingAt = share, now.Add(settleTime)
	case !now.Before(h.pendingAt):
		h.applyShare(share, now)
	}
}

func (h *homeBucket) applyShare(share float64, now time.Time) {
	switch {
	case share == 0:
		h.lostShareAt = now
	case h.share == 0:
		h.fresh, h.freshAt = true, now
	}
	h.share, h.pendingShare = share, share
}

// grant grants tokens. Requests that wait come before the tokens that an entry asks for in
// advance, of which it gets at most half of the rest. An entry that got none has a token
// reserved, so that entries with many requests don't take them all.
func (l *Limiter) grant(from string, h *homeBucket, r Request, reply *Reply, now time.Time) {
	if h.fresh && r.Initial != 0 && r.Initial != h.id {
		h.bucket.Grant(now, int64(math.Ceil(l.initialLevel(h.limit, h.share))), 0)
	}
	h.fresh = false
	unused := int64(0)
	if r.Bucket == h.id {
		unused = r.Unused
	}
	h.bucket.Grant(now, 0, unused)
	ahead := h.denialsAhead(from, now)
	available := max(int64(h.bucket.Level(now))-int64(ahead), 0)
	n := min(r.Waiting, available)
	if others := len(h.denials); others > 0 && n > 1 {
		n = min(n, available/int64(others+1)+1)
	}
	if n == r.Waiting {
		n += min(r.Want-r.Waiting, (available-n)/2)
	}
	tokens := h.bucket.Grant(now, n, 0).Tokens
	l.metrics.granted.Inc(tokens)
	h.updateDenials(from, tokens, now)
	reply.Tokens, reply.Bucket = tokens, h.id
	reply.Initial = now.Sub(h.freshAt) < Window
	reply.NextMicros = h.bucket.Wait(now, float64(ahead+1)).Microseconds()
	h.tellToWait(max(r.Waiting-tokens, 0), r.Refused, reply, now)
}

// denialsAhead returns the number of entries for which a token is reserved before one for the
// given entry.
func (h *homeBucket) denialsAhead(entry string, now time.Time) int {
	h.denials = slices.DeleteFunc(h.denials, func(d denial) bool { return now.Sub(d.at) > denialTime })
	if i := slices.IndexFunc(h.denials, func(d denial) bool { return d.entry == entry }); i >= 0 {
		return i
	}
	return len(h.denials)
}

func (h *homeBucket) updateDenials(entry string, tokens int64, now time.Time) {
	i := slices.IndexFunc(h.denials, func(d denial) bool { return d.entry == entry })
	switch {
	case tokens > 0 && i >= 0:
		h.denials = slices.Delete(h.denials, i, i+1)
	case tokens > 0:
	case i >= 0:
		h.denials[i].at = now
	case len(h.denials) < maxDenials:
		h.denials = append(h.denials, denial{entry, now})
	}
}

// tellToWait sets when callers that were refused may come back: one after the other, as
// tokens will be added, after those that were told so before. elsewhere is the number of
// callers that the entry has refused on its own since its last request.
func (h *homeBucket) tellToWait(refused, elsewhere int64, reply *Reply, now time.Time) {
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

// tickHomes keeps the buckets up to date, and drops idle ones.
func (l *Limiter) tickHomes(now time.Time) {
	for name, h := range l.homes {
		if now.Sub(h.usedAt) > bucketIdleTime {
			delete(l.homes, name)
			continue
		}
		l.updateHome(name, h, h.limit, now)
	}
}
