// Package cicadaratelimit enforces the limits of customers over all entries. Each customer
// with a limit has a home entry, selected by rendezvous hashing among the entries in contact.
// It keeps a token bucket and leases tokens to the entries that serve the customer, for 200 ms
// at most. An entry without tokens asks the home entry, once for all requests that wait.
//
// In every sliding window of 5 s, all entries together admit at most
//
//	(rate x 5 s + burst) x 1.1 + slack
//
// requests, also while entries are partitioned, killed, added, suspended and resumed. Of the
// tenth of the rate, up to 0.04 covers tokens that are leased before the window and used in it.
// The rest covers two homes that refill at the same time, because entries learn of a change at
// different times. Half of the slack is part of the capacity of a bucket. Half of it and a fifth
// of the burst are the initial level of a new bucket. The following rules apply:
//
//   - An entry that has started, or was suspended, grants nothing until it is in contact with all
//     entries that it knows, or for startupPeriod. The next in the order of preference grants in its
//     place.
//   - The share of the rate that an entry grants is that of the entries whose home it is, out
//     of all known, so that the shares of all homes add up to at most the whole. A share that
//     rises takes effect after settleTime, one that falls at once.
//   - The initial tokens that a new bucket has granted are taken from the bucket that replaces it
//     within a window. The entries that got them report them, as does the earlier home itself.
//     Several changes of the home within a window therefore add only one initial level.
//
// # Usage
//
//	limiter := cicadaratelimit.New("entry-1", members, send, cicadaratelimit.WithClock(cicadaclock.SinceBoot))
//	limiter.Tick()     // every TickInterval
//	limiter.Receive(m) // on a message of another entry
//
//	d := limiter.Acquire(ctx, customer, cicadaratelimit.Limit{PerSecond: 190, Burst: 190})
//	switch {
//	case d.Allowed(): ... serve, or limiter.Return(customer) if no endpoint gets the request ...
//	case d.Known(): ... 429, Retry-After d.RetryAfter() ...
//	default: ... 503, Retry-After d.RetryAfter() ...
//	}
package cicadaratelimit

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
)

const (
	// TickInterval is the time between calls of Tick.
	TickInterval = 100 * time.Millisecond
	// Window is the length of the sliding windows in which the limit holds.
	Window = 5 * time.Second
	// suspendedAfter is the time without a tick after which an entry counts as suspended. It
	// is shorter than the time in which the other entries replace one that is silent.
	suspendedAfter = 800 * time.Millisecond
	// startupPeriod is how long an entry that has started or resumed waits for contact with all
	// others before it grants tokens. State messages are sent every 250 ms.
	startupPeriod = 400 * time.Millisecond
	// defaultSlack is the number of requests that may exceed the limit in a window.
	defaultSlack = 20
)

// A Limit is the limit of a customer. There is none if PerSecond is 0.
type Limit struct {
	PerSecond float64 // requests per second
	Burst     float64 // requests that may exceed the rate at once
}

// A Limiter decides at one entry which requests are within the limits. It is safe for
// concurrent use.
type Limiter struct {
	self    string
	members func() Members
	send    func(member string, m Message)
	limitOf func(customer string) (Limit, bool) // nil if the home has no view of its own
	clock   func() time.Duration
	after   func(d time.Duration, f func()) (stop func() bool)
	slack   float64
	log     hclog.Logger
	metrics metrics

	mu        sync.Mutex
	view      *view
	startedAt time.Time              // or resumed
	activeAt  time.Time              // last call
	customers map[string]*customer   // by name, those that this entry serves
	homes     map[string]*homeBucket // by customer, the buckets that this entry keeps
	postponed map[string]bool        // customers whose home this entry was while it was starting
	lastID    int64                  // of a Request
	outbox    []outgoing
}

// outgoing is a message that is sent once the Limiter is unlocked.
type outgoing struct {
	to string
	m  Message
}

// An Option configures a Limiter.
type Option func(*Limiter)

// WithClock sets the function that returns the time since the machine was booted, including
// time during which it was suspended. The default is the time since New by the monotonic
// clock, by which suspensions may go unnoticed.
func WithClock(clock func() time.Duration) Option {
	return func(l *Limiter) { l.clock = clock }
}

// WithLog sets the log.
func WithLog(log hclog.Logger) Option {
	return func(l *Limiter) { l.log = log }
}

// WithScope sets the scope of the metrics.
func WithScope(scope tally.Scope) Option {
	return func(l *Limiter) { l.metrics = newMetrics(scope) }
}

// WithSlack sets the number of requests that may exceed a limit in a window (setting
// quota-slack).
func WithSlack(requests float64) Option {
	return func(l *Limiter) { l.slack = max(requests, 0) }
}

// WithLimitOf sets the function that returns a customer's limit at its home entry. It reports
// false if there is no such customer. It must not call the Limiter.
func WithLimitOf(limitOf func(customer string) (Limit, bool)) Option {
	return func(l *Limiter) { l.limitOf = limitOf }
}

// New returns a Limiter for the named entry. members returns the entries that it knows, and
// must not call the Limiter. send sends a message to another entry without blocking. Messages
// may be lost.
func New(self string, members func() Members, send func(member string, m Message), opts ...Option) *Limiter {
	start := time.Now()
	l := &Limiter{
		self: self, members: members, send: send, slack: defaultSlack,
		clock:   func() time.Duration { return time.Since(start) },
		after:   func(d time.Duration, f func()) func() bool { return time.AfterFunc(d, f).Stop },
		log:     hclog.NewNullLogger(),
		metrics: newMetrics(tally.NoopScope),
		view:    newView(self), customers: make(map[string]*customer), homes: make(map[string]*homeBucket),
		postponed: make(map[string]bool),
	}
	for _, opt := range opts {
		opt(l)
	}
	l.startedAt = l.now()
	l.activeAt = l.startedAt
	return l
}

// now returns the time since the boot as a time, as cicadalimit expects.
func (l *Limiter) now() time.Time { return time.Unix(0, 0).Add(l.clock()) }

// lock locks the Limiter and returns the time. If the process was suspended, it drops the
// buckets, since other entries may have replaced them. It also updates an outdated view.
func (l *Limiter) lock() time.Time {
	l.mu.Lock()
	now := l.now()
	if gap := now.Sub(l.activeAt); gap > suspendedAfter {
		l.log.Info("suspension noticed, buckets dropped", "gap", gap)
		l.metrics.resets.Inc(1)
		clear(l.homes)
		clear(l.postponed)
		l.startedAt = now
	}
	l.activeAt = now
	if now.Sub(l.view.refreshed) >= viewRefreshInterval || now.Before(l.view.refreshed) {
		l.view.set(l.members(), now)
	}
	return now
}

// unlock unlocks the Limiter and sends the messages that have been queued since lock.
func (l *Limiter) unlock() {
	out := l.outbox
	l.outbox = nil
	l.mu.Unlock()
	for _, o := range out {
		l.send(o.to, o.m)
	}
}

func (l *Limiter) queue(to string, m Message) {
	m.From = l.self
	l.outbox = append(l.outbox, outgoing{to, m})
}

// starting reports whether this entry has just started or resumed, and is not yet in contact with
// all others.
func (l *Limiter) starting(now time.Time) bool {
	return now.Sub(l.startedAt) < startupPeriod && !l.view.complete()
}

// Acquire decides whether a request of a customer may be served. It waits for the reply of
// the home entry if this entry has no token.
func (l *Limiter) Acquire(ctx context.Context, customer string, limit Limit) Decision {
	done := make(chan Decision, 1)
	w := l.acquire(customer, limit, func(d Decision) { done <- d })
	select {
	case d := <-done:
		return d
	case <-ctx.Done():
		l.abandon(w)
		select {
		case d := <-done:
			return d
		default:
			return Decision{}
		}
	}
}

// Return gives back a token of a request that no endpoint got. A token that was acquired more
// than GrantLifetime ago counts as used, and must not be returned.
func (l *Limiter) Return(customer string) {
	now := l.lock()
	defer l.unlock()
	if c := l.customers[customer]; c != nil {
		c.lease.Return(now)
		c.countTaken(now, -1)
	}
}

// Receive handles a message of another entry.
func (l *Limiter) Receive(m Message) {
	now := l.lock()
	defer l.unlock()
	if m.View != nil {
		l.view.setPeer(m.From, *m.View, now)
	}
	if m.Request != nil {
		if reply := l.serve(m.From, *m.Request, now); m.Request.Want > 0 {
			l.queue(m.From, Message{Reply: &reply})
		}
	}
	if m.Reply != nil {
		l.receiveReply(m.From, *m.Reply, now)
	}
}

// Tick does the periodic work. It must be called every TickInterval.
func (l *Limiter) Tick() {
	now := l.lock()
	defer l.unlock()
	l.view.expire(now)
	for _, name := range l.view.receivers(now) {
		v := l.view.message()
		l.queue(name, Message{View: &v})
	}
	l.tickHomes(now)
	l.tickCustomers(now)
}
