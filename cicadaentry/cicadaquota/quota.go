// Package cicadaquota enforces the customers' limits on online requests across all
// entries. Each customer has a home entry, selected by rendezvous hashing, that
// leases rate-limit tokens to the entries that serve the customer. While the home
// is unreachable, each entry allows an even share of the limit.
//
// # Usage
//
//	limiter := cicadaquota.New(self, peers, requestGrant)
//	decision := limiter.Acquire(ctx, customer)
//	if !decision.Allowed() { ... 429 ... }
//	defer limiter.Release(customer)
package cicadaquota

import (
	"context"
	"sync"
	"time"

	"cicadalink.example/cicadakernel/cicadaconfig"
	"cicadalink.example/cicadakernel/cicadalimit"
	"cicadalink.example/cicadakernel/cicadamember"
	"cicadalink.example/cicadakernel/cicadawire"
)

const (
	// grantTimeout bounds a grant request to a home entry.
	grantTimeout = 150 * time.Millisecond
	// refusalCacheTime is how long an entry refuses a customer's requests without
	// another request to the home entry.
	refusalCacheTime = 50 * time.Millisecond
	// minWant and maxWant bound the number of tokens in a grant request.
	// wantHeadroom is the ratio of that number to the tokens used under the last lease.
	minWant      = 8
	maxWant      = 4096
	wantHeadroom = 1.25
	// homeIdleTimeout is how long a home entry keeps an unused customer's counter.
	homeIdleTimeout = 10 * time.Minute
	// minConcurrencyShare is the minimum number of concurrent requests that an entry
	// allows, unless the customer's limit is lower.
	minConcurrencyShare = 2
)

// A GrantFunc requests tokens from a customer's home entry.
type GrantFunc func(ctx context.Context, home string, req *cicadawire.GrantRequest) (*cicadawire.GrantReply, error)

// Peers lists the live entries of the fleet.
type Peers interface {
	EntryNames() []string
}

// A Decision is the result of Acquire: whether a request is allowed, and the state
// of the limit that is reported to the caller.
type Decision struct {
	allowed   bool
	limited   bool
	limit     int64
	remaining int64
	reset     time.Duration
	reason    string
}

// Allowed reports whether the request is allowed.
func (d Decision) Allowed() bool { return d.allowed }

// Limited reports whether Limit, Remaining and Reset are set: the customer has a
// rate limit, or has reached its concurrency limit.
func (d Decision) Limited() bool { return d.limited }

// Limit returns the number of requests allowed in the rate-limit window that has the
// fewest requests left.
// If the concurrency limit was reached, it returns that limit.
func (d Decision) Limit() int64 { return d.limit }

// Remaining returns how many requests are left in that window.
func (d Decision) Remaining() int64 { return d.remaining }

// Reset returns the time until that window ends. If the concurrency limit was
// reached, it returns the time to wait before a retry.
func (d Decision) Reset() time.Duration { return d.reset }

// Reason returns a message for the caller that names the limit reached. It is
// meaningful only if the request was refused.
func (d Decision) Reason() string { return d.reason }

// A Limiter enforces limits at one entry. Its methods are safe for concurrent use.
type Limiter struct {
	self         string
	peers        Peers
	requestGrant GrantFunc
	now          func() time.Time

	mu            sync.Mutex
	customers     map[string]*customerState
	homes         map[string]*homeCounter
	grantRequests int64
}

// homeCounter counts the requests of a customer whose home is this entry.
type homeCounter struct {
	windows  *cicadalimit.Counter
	tiers    []cicadalimit.Tier
	lastUsed time.Time
}

// customerState is the state of one customer's limits at this entry.
type customerState struct {
	mu           sync.Mutex
	lease        cicadalimit.Lease
	fallback     *cicadalimit.Counter
	refusedUntil time.Time
	running      int
	want         int64
}

// An Option configures a Limiter.
type Option func(*Limiter)

// WithClock sets the function that returns the current time.
func WithClock(now func() time.Time) Option { return func(l *Limiter) { l.now = now } }

// New returns a limiter for the entry named self.
func New(self string, peers Peers, requestGrant GrantFunc, opts ...Option) *Limiter {
	l := &Limiter{
		self:         self,
		peers:        peers,
		requestGrant: requestGrant,
		now:          time.Now,
		customers:    make(map[string]*customerState),
		homes:        make(map[string]*homeCounter),
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// GrantRequests returns the number of grant requests sent to other entries.
func (l *Limiter) GrantRequests() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.grantRequests
}

// stateOf returns the state of a customer's limits, which it creates if needed.
func (l *Limiter) stateOf(name string) *customerState {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.customers[name]
	if !ok {
		c = &customerState{want: minWant}
		l.customers[name] = c
	}
	return c
}

func tiersOf(customer *cicadaconfig.ResolvedCustomer) []cicadalimit.Tier {
	rates := customer.Parameters().OnlineRate
	tiers := make([]cicadalimit.Tier, len(rates))
	for i, rate := range rates {
		tiers[i] = cicadalimit.Tier{Requests: rate.Requests, Per: time.Duration(rate.Per)}
	}
	return tiers
}

// Acquire decides whether a request is allowed. If it is, the caller must call
// Release when the request ends.
func (l *Limiter) Acquire(ctx context.Context, customer *cicadaconfig.ResolvedCustomer) Decision {
	c := l.stateOf(customer.Name())
	c.mu.Lock()
	defer c.mu.Unlock()
	if limit := l.concurrencyShare(customer); limit > 0 && c.running >= limit {
		return Decision{reason: "concurrency limit reached", reset: time.Second, limit: int64(customer.Parameters().OnlineConcurrency), limited: true}
	}
	decision := Decision{allowed: true}
	if tiers := tiersOf(customer); len(tiers) > 0 {
		decision = l.takeToken(ctx, customer.Name(), c, tiers)
	}
	if decision.allowed {
		c.running++
	}
	return decision
}

// Release records the end of a request that Acquire allowed.
func (l *Limiter) Release(customer *cicadaconfig.ResolvedCustomer) {
	c := l.stateOf(customer.Name())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
}

// concurrencyShare returns this entry's share of a customer's concurrency limit, or
// 0 if there is none. The shares add up to slightly more than the limit, so that
// requests within the limit are not refused if the load balancer spreads them
// unevenly.
func (l *Limiter) concurrencyShare(customer *cicadaconfig.ResolvedCustomer) int {
	limit := customer.Parameters().OnlineConcurrency
	if limit == 0 {
		return 0
	}
	entries := max(len(l.peers.EntryNames()), 1)
	return min(limit, max((limit+entries-1)/entries, minConcurrencyShare))
}

// takeToken takes a token from the customer's lease, which it renews if needed. After
// a refusal, it does not renew the lease for refusalCacheTime.
func (l *Limiter) takeToken(ctx context.Context, name string, c *customerState, tiers []cicadalimit.Tier) Decision {
	now := l.now()
	if c.lease.Take(now) {
		return newDecision(c, true, now)
	}
	if now.Before(c.refusedUntil) {
		return newDecision(c, false, now)
	}
	l.renewLease(ctx, name, c, tiers)
	if c.lease.Take(now) {
		return newDecision(c, true, now)
	}
	c.refusedUntil = now.Add(refusalCacheTime)
	return newDecision(c, false, now)
}

func newDecision(c *customerState, allowed bool, now time.Time) Decision {
	grant := c.lease.Grant()
	return Decision{
		allowed:   allowed,
		limited:   true,
		limit:     grant.Limit,
		remaining: grant.Remaining + c.lease.Unused(now),
		reset:     max(grant.Reset.Sub(now), 0),
		reason:    "rate limit reached",
	}
}

// renewLease renews a customer's lease. It requests the number of tokens used under
// the last lease, plus headroom.
func (l *Limiter) renewLease(ctx context.Context, name string, c *customerState, tiers []cicadalimit.Tier) {
	now := l.now()
	used := float64(c.lease.Used())
	c.want = min(max(int64(used*wantHeadroom), minWant), maxWant)
	unused := c.lease.Unused(now)
	homeName := cicadamember.Home("limit/"+name, l.peers.EntryNames())
	if homeName == "" || homeName == l.self {
		c.lease.Renew(l.grantLocally(name, tiers, c.want, unused))
		return
	}
	l.mu.Lock()
	l.grantRequests++
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()
	reply, err := l.requestGrant(ctx, homeName, &cicadawire.GrantRequest{Customer: name, Entry: l.self, Want: c.want, Used: unused})
	if err != nil {
		c.lease.Renew(c.fallbackGrant(now, tiers, len(l.peers.EntryNames())))
		return
	}
	c.fallback = nil
	c.lease.Renew(cicadalimit.Grant{
		Tokens:    reply.GetTokens(),
		Expires:   now.Add(time.Duration(reply.GetValidMs()) * time.Millisecond),
		Limit:     reply.GetLimit(),
		Remaining: reply.GetRemaining(),
		Reset:     now.Add(time.Duration(reply.GetResetMs()) * time.Millisecond),
	})
}

// fallbackGrant grants tokens from an even share of the limit while the home entry
// is unreachable.
func (c *customerState) fallbackGrant(now time.Time, tiers []cicadalimit.Tier, entries int) cicadalimit.Grant {
	if c.fallback == nil {
		c.fallback = cicadalimit.NewCounter(cicadalimit.EvenShare(tiers, entries))
	}
	return c.fallback.Grant(now, c.want, 0)
}

// grantLocally grants tokens of a customer whose home is this entry. The counter
// is reset if the customer's limits have changed.
func (l *Limiter) grantLocally(name string, tiers []cicadalimit.Tier, want, unused int64) cicadalimit.Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	h, ok := l.homes[name]
	if !ok || !sameTiers(h.tiers, tiers) {
		h = &homeCounter{windows: cicadalimit.NewCounter(tiers), tiers: tiers}
		l.homes[name] = h
	}
	h.lastUsed = now
	l.dropIdleHome(now)
	return h.windows.Grant(now, want, unused)
}

// dropIdleHome examines one counter, in Go's random map order, and deletes it if it
// has not been used for homeIdleTimeout.
func (l *Limiter) dropIdleHome(now time.Time) {
	for name, h := range l.homes {
		if now.Sub(h.lastUsed) > homeIdleTimeout {
			delete(l.homes, name)
		}
		return
	}
}

func sameTiers(a, b []cicadalimit.Tier) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// ServeGrant serves another entry's grant request.
func (l *Limiter) ServeGrant(customer *cicadaconfig.ResolvedCustomer, req *cicadawire.GrantRequest) *cicadawire.GrantReply {
	grant := l.grantLocally(customer.Name(), tiersOf(customer), req.GetWant(), req.GetUsed())
	now := l.now()
	return &cicadawire.GrantReply{
		Tokens:    grant.Tokens,
		ValidMs:   max(grant.Expires.Sub(now).Milliseconds(), 0),
		Limit:     grant.Limit,
		Remaining: grant.Remaining,
		ResetMs:   max(grant.Reset.Sub(now).Milliseconds(), 0),
	}
}
