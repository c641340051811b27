package cicadaratelimit

import (
	"math/rand/v2"
	"time"

	"cicadalink.example/cicadakernel/cicadalimit"
)

const (
	// GrantLifetime is how long granted tokens may be used, from the time at which they were
	// asked for.
	GrantLifetime = cicadalimit.BucketLeaseDuration
	// returnGracePeriod is the time after the expiry of a grant within which unused tokens are
	// returned. Tokens returned later could be granted again in a window that the bucket has
	// filled for already.
	returnGracePeriod = 100 * time.Millisecond
	// replyTimeout is the time after which a Request without a reply is repeated, and maxTimeouts
	// the number of Requests without a reply after which the limit counts as not known.
	replyTimeout = 40 * time.Millisecond
	maxTimeouts  = 2
	// maxRequests limits the Requests of one query, so that entries that redirect it to each other
	// do not do so forever.
	maxRequests = 5
	// usageTimeConstant is the time constant of the average of recent usage, and usageFraction the
	// fraction of that usage that is requested in addition to the tokens for waiting requests.
	usageTimeConstant = GrantLifetime
	usageFraction     = 0.75
	// maxWant limits the tokens that one Request asks for.
	maxWant = 4096
	// startSpread spreads the retries of callers that were refused while an entry started, which
	// would otherwise arrive together.
	startSpread = 200 * time.Millisecond
	// minBackoff and maxBackoff bound the time in which an entry refuses requests without
	// asking again.
	minBackoff = 25 * time.Millisecond
	maxBackoff = GrantLifetime
	// maxRetryAfter bounds the time that a refused caller is told to wait. Callers of plain
	// requests wait no longer.
	maxRetryAfter = 1500 * time.Millisecond
	// unknownRetryAfter is the time to wait if the limit is not known because the home entry does
	// not reply. It covers the time until a failed home is replaced; a caller that retries sooner is
	// refused again.
	unknownRetryAfter = 1200 * time.Millisecond
	// customerIdleTime is how long the state of an unused customer is kept.
	customerIdleTime = 2 * Window
)

// A query asks for tokens on behalf of all requests of a customer that wait. It sends one Request
// after another until one is answered.
type query struct {
	waiters   []*waiter
	attempts  []attempt
	timeouts  int
	redirect  string // home according to another entry
	insteadOf string // home that is not ready
	stop      func() bool
}

// An attempt is one Request of a query.
type attempt struct {
	id      int64
	to      string
	at      time.Time
	want    int64
	waiting int64
}

// A waiter is a request that waits for a token.
type waiter struct {
	done      func(Decision) // must not block or call the Limiter
	decided   bool
	abandoned bool
}

// unknownDecision returns the decision on a request whose limit could not be checked. Its caller
// should retry when the limit can be checked. startupLeft is the time until this entry has started.
func (q *query) unknownDecision(home string, startupLeft time.Duration) Decision {
	switch {
	case startupLeft > 0:
		return Decision{retryAfter: startupLeft + rand.N(startSpread), home: home}
	case q.timeouts >= maxTimeouts:
		return Decision{retryAfter: unknownRetryAfter, home: home}
	}
	return Decision{retryAfter: rand.N(startupPeriod), home: home} // the home has just started
}

func (l *Limiter) decide(w *waiter, d Decision) {
	if w.abandoned || w.decided {
		return
	}
	w.decided = true
	switch {
	case d.allowed:
		l.metrics.allowed.Inc(1)
	case d.known:
		l.metrics.refused.Inc(1)
	default:
		l.metrics.unknown.Inc(1)
	}
	w.done(d)
}

// acquire decides on a request, now or when the home entry has replied.
func (l *Limiter) acquire(name string, limit Limit, done func(Decision)) *waiter {
	w := &waiter{done: done}
	now := l.lock()
	defer l.unlock()
	if limit.PerSecond <= 0 {
		l.decide(w, Decision{allowed: true, known: true})
		return w
	}
	c := l.customers[name]
	if c == nil {
		c = &customer{name: name}
		l.customers[name] = c
	}
	c.limit, c.usedAt = limit, now
	switch {
	case c.take(now):
		l.decide(w, Decision{allowed: true, known: true, home: c.home})
	case now.Before(c.refusedUntil):
		l.decide(w, c.refuse(now))
		c.refusedSinceRequest++
	case c.query != nil:
		c.query.waiters = append(c.query.waiters, w)
	default:
		c.query = &query{waiters: []*waiter{w}, stop: func() bool { return false }}
		l.ask(c, now)
	}
	return w
}

// abandon ends the wait of a request.
func (l *Limiter) abandon(w *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.abandoned = true
}

// newRequest returns a Request with a new ID.
func (l *Limiter) newRequest(c *customer, now time.Time) Request {
	l.lastID = max(l.lastID+1, now.UnixNano())
	return Request{ID: l.lastID, Customer: c.name, PerSecond: c.limit.PerSecond, Burst: c.limit.Burst}
}

// ask sends the request of a customer's query, or serves it if this entry is the home.
func (l *Limiter) ask(c *customer, now time.Time) {
	q := c.query
	if len(q.attempts) >= maxRequests {
		l.finishUnknown(c)
		return
	}
	home := l.target(c, now)
	if home == "" {
		l.finishUnknown(c)
		return
	}
	r := l.newRequest(c, now)
	r.Waiting = int64(len(q.waiters))
	r.Want = r.Waiting
	if home != l.self {
		r.Want += int64(usageFraction * max(c.recent(now)-1, 0))
	}
	r.Want = min(r.Want, maxWant)
	r.Waiting = min(r.Waiting, r.Want)
	r.Refused, c.refusedSinceRequest = c.refusedSinceRequest, 0
	r.Bucket, r.Unused = c.bucket, c.takeUnused(now)
	if now.Sub(c.spentAt) < Window {
		r.Spent = c.spent
	}
	r.InsteadOf = q.insteadOf
	q.attempts = append(q.attempts, attempt{id: r.ID, to: home, at: now, want: r.Want, waiting: r.Waiting})
	if home == l.self {
		l.applyReply(c, q.attempts[len(q.attempts)-1], l.serve(l.self, r, now), now)
		return
	}
	l.metrics.requests.Inc(1)
	l.queue(home, Message{Request: &r})
	q.stop()
	q.stop = l.after(replyTimeout, func() { l.timeOut(c, q, r.ID) })
}

// target returns the entry that a query is to be sent to.
func (l *Limiter) target(c *customer, now time.Time) string {
	q := c.query
	if q.redirect != "" {
		home := q.redirect
		q.redirect = ""
		return home
	}
	home := l.view.home(c.name, q.insteadOf)
	if home == l.self && l.starting(now) {
		if q.insteadOf != "" {
			return ""
		}
		l.postponed[c.name] = true
		q.insteadOf = l.self
		home = l.view.home(c.name, l.self)
	}
	return home
}

// timeOut repeats a request that has had no reply.
func (l *Limiter) timeOut(c *customer, q *query, id int64) {
	now := l.lock()
	defer l.unlock()
	if c.query != q || q.attempts[len(q.attempts)-1].id != id {
		return
	}
	if q.timeouts++; q.timeouts >= maxTimeouts {
		l.finishUnknown(c)
		return
	}
	l.metrics.retries.Inc(1)
	l.ask(c, now)
}

// finishUnknown ends a customer's query because its limit could not be checked.
func (l *Limiter) finishUnknown(c *customer) {
	startupLeft := startupPeriod - l.now().Sub(l.startedAt)
	q := c.query
	c.query = nil
	q.stop()
	home := ""
	if n := len(q.attempts); n > 0 {
		home = q.attempts[n-1].to
	}
	for _, w := range q.waiters {
		l.decide(w, q.unknownDecision(home, startupLeft))
	}
}

// receiveReply handles a reply of another entry. Tokens that no query waits for are returned.
func (l *Limiter) receiveReply(from string, r Reply, now time.Time) {
	c := l.customers[r.Customer]
	if c != nil && c.query != nil {
		for _, a := range c.query.attempts {
			if a.id == r.ID && a.to == from {
				l.applyReply(c, a, r, now)
				return
			}
		}
	}
	age := now.Sub(time.Unix(0, r.ID))
	if c != nil && r.Tokens > 0 && age >= 0 && age < GrantLifetime+returnGracePeriod {
		l.returnTokens(c, from, r.Bucket, r.Tokens, now)
	}
}

func (l *Limiter) returnTokens(c *customer, home string, bucket uint64, n int64, now time.Time) {
	l.metrics.returned.Inc(n)
	r := l.newRequest(c, now)
	r.Bucket, r.Unused = bucket, n
	if home == l.self {
		l.serve(l.self, r, now)
		return
	}
	l.queue(home, Message{Request: &r})
}

// applyReply applies a reply to a customer's query.
func (l *Limiter) applyReply(c *customer, a attempt, r Reply, now time.Time) {
	q := c.query
	switch r.Status {
	case statusGranted:
		l.applyGrant(c, a, r, now)
	case statusNotReady:
		q.insteadOf = a.to
		l.ask(c, now)
	case statusNotHome:
		q.redirect = r.Home
		l.ask(c, now)
	default:
		l.finishUnknown(c)
	}
}

// applyGrant gives the tokens of a reply to the requests that wait. The rest are those that joined
// the query after the Request was sent. They are refused if the home entry granted fewer tokens
// than requested, and are otherwise the subject of a new query.
func (l *Limiter) applyGrant(c *customer, a attempt, r Reply, now time.Time) {
	q := c.query
	q.stop()
	c.query = nil
	c.home, c.bucket = a.to, r.Bucket
	if r.Initial > 0 {
		if now.Sub(c.spentAt) >= Window {
			c.spent = 0
		}
		c.spent, c.spentAt = c.spent+r.Initial, now
	}
	c.retryAt, c.retryStep = now.Add(micros(r.RetryMicros)), micros(r.StepMicros)
	l.allowWaiters(c, q, now)
	c.lease.Renew(cicadalimit.Grant{Tokens: r.Tokens, Expires: a.at.Add(GrantLifetime)})
	l.allowWaiters(c, q, now)
	switch {
	case len(q.waiters) == 0:
	case r.Tokens >= a.want:
		c.query = &query{waiters: q.waiters, stop: q.stop}
		l.ask(c, now)
	default:
		c.refusedUntil = now.Add(min(max(micros(r.NextMicros), minBackoff), maxBackoff))
		c.refusedSinceRequest += max(int64(len(q.waiters))-(a.waiting-r.Tokens), 0)
		for _, w := range q.waiters {
			l.decide(w, c.refuse(now))
		}
	}
}

// allowWaiters allows the requests that wait for which the lease has tokens.
func (l *Limiter) allowWaiters(c *customer, q *query, now time.Time) {
	for len(q.waiters) > 0 && (q.waiters[0].abandoned || c.take(now)) {
		l.decide(q.waiters[0], Decision{allowed: true, known: true, home: c.home})
		q.waiters = q.waiters[1:]
	}
}

func micros(n int64) time.Duration { return time.Duration(n) * time.Microsecond }
