// Package cicadaquota enforces customers' online limits over all entries. Each
// customer has a home entry, found by rendezvous hashing, that leases tokens to
// the entries that serve the customer. While the home cannot be reached an
// entry allows an even share.
//
// # Usage
//
//	limiter := cicadaquota.New(self, peers, ask)
//	decision := limiter.Take(ctx, account)
//	if !decision.Allowed() { ... 429 ... }
//	defer limiter.Done(account)
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
	askTimeout   = 150 * time.Millisecond
	refuseFor    = 50 * time.Millisecond
	firstWant    = 8
	maxWant      = 4096
	wantHeadroom = 1.25
	homeIdle     = 10 * time.Minute
	minShare     = 2
)

// Ask asks a customer's home entry for tokens.
type Ask func(ctx context.Context, home string, req *cicadawire.GrantRequest) (*cicadawire.GrantReply, error)

// Peers finds the other entries.
type Peers interface {
	EntryNames() []string
}

// A Decision says whether a request may pass, and what the caller is told of
// the limit.
type Decision struct {
	allowed   bool
	limited   bool
	limit     int64
	remaining int64
	reset     time.Duration
	reason    string
}

// Allowed reports whether the request may pass.
func (d Decision) Allowed() bool { return d.allowed }

// Limited reports whether the customer has a rate limit at all.
func (d Decision) Limited() bool { return d.limited }

// Limit returns the number of requests allowed in the tightest window.
func (d Decision) Limit() int64 { return d.limit }

// Remaining returns how many are left of them.
func (d Decision) Remaining() int64 { return d.remaining }

// Reset returns the time until the window ends.
func (d Decision) Reset() time.Duration { return d.reset }

// Reason says which limit a refused request has met.
func (d Decision) Reason() string { return d.reason }

// A Limiter enforces limits at one entry.
type Limiter struct {
	self  string
	peers Peers
	ask   Ask
	now   func() time.Time

	mu        sync.Mutex
	customers map[string]*customer
	homes     map[string]*home
	asked     int64
}

type home struct {
	counter *cicadalimit.Home
	tiers   []cicadalimit.Tier
	used    time.Time
}

// customer is what an entry holds of one customer's limits.
type customer struct {
	mu       sync.Mutex
	lease    cicadalimit.Lease
	fallback *cicadalimit.Home
	refused  time.Time
	running  int
	want     int64
}

// An Option changes a Limiter as it is made.
type Option func(*Limiter)

// WithClock sets the clock.
func WithClock(now func() time.Time) Option { return func(l *Limiter) { l.now = now } }

// New returns a limiter of the entry named self.
func New(self string, peers Peers, ask Ask, opts ...Option) *Limiter {
	l := &Limiter{
		self:      self,
		peers:     peers,
		ask:       ask,
		now:       time.Now,
		customers: make(map[string]*customer),
		homes:     make(map[string]*home),
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Asked returns how many grants were asked of other entries.
func (l *Limiter) Asked() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.asked
}

func (l *Limiter) customer(name string) *customer {
	l.mu.Lock()
	defer l.mu.Unlock()
	c, ok := l.customers[name]
	if !ok {
		c = &customer{want: firstWant}
		l.customers[name] = c
	}
	return c
}

func tiersOf(account *cicadaconfig.Account) []cicadalimit.Tier {
	rates := account.Parameters().OnlineRate
	tiers := make([]cicadalimit.Tier, len(rates))
	for i, rate := range rates {
		tiers[i] = cicadalimit.Tier{Requests: rate.Requests, Per: time.Duration(rate.Per)}
	}
	return tiers
}

// Take asks whether a request may pass. A request that may must be ended with
// Done.
func (l *Limiter) Take(ctx context.Context, account *cicadaconfig.Account) Decision {
	c := l.customer(account.Name())
	c.mu.Lock()
	defer c.mu.Unlock()
	if limit := l.concurrency(account); limit > 0 && c.running >= limit {
		return Decision{reason: "too many requests at once", reset: time.Second, limit: int64(account.Parameters().OnlineConcurrency), limited: true}
	}
	decision := Decision{allowed: true}
	if tiers := tiersOf(account); len(tiers) > 0 {
		decision = l.takeToken(ctx, account.Name(), c, tiers)
	}
	if decision.allowed {
		c.running++
	}
	return decision
}

// Done ends a request that Take allowed.
func (l *Limiter) Done(account *cicadaconfig.Account) {
	c := l.customer(account.Name())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running--
}

// concurrency returns this entry's share of a customer's concurrency. The
// shares add up to a little more than the limit, so that an uneven balancer
// does not refuse what the limit allows.
func (l *Limiter) concurrency(account *cicadaconfig.Account) int {
	limit := account.Parameters().OnlineConcurrency
	if limit == 0 {
		return 0
	}
	entries := max(len(l.peers.EntryNames()), 1)
	return min(limit, max((limit+entries-1)/entries, minShare))
}

func (l *Limiter) takeToken(ctx context.Context, name string, c *customer, tiers []cicadalimit.Tier) Decision {
	now := l.now()
	if c.lease.Take(now) {
		return decisionOf(c, true, now)
	}
	if now.Before(c.refused) {
		return decisionOf(c, false, now)
	}
	l.refill(ctx, name, c, tiers)
	if c.lease.Take(now) {
		return decisionOf(c, true, now)
	}
	c.refused = now.Add(refuseFor)
	return decisionOf(c, false, now)
}

func decisionOf(c *customer, allowed bool, now time.Time) Decision {
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

// refill renews a customer's lease. It asks for what was spent of the last one,
// and some more.
func (l *Limiter) refill(ctx context.Context, name string, c *customer, tiers []cicadalimit.Tier) {
	now := l.now()
	spent := float64(c.lease.Spent())
	c.want = min(max(int64(spent*wantHeadroom), firstWant), maxWant)
	unused := c.lease.Unused(now)
	homeName := cicadamember.Home("limit/"+name, l.peers.EntryNames())
	if homeName == "" || homeName == l.self {
		c.lease.Refill(l.grantHere(name, tiers, c.want, unused))
		return
	}
	l.mu.Lock()
	l.asked++
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := l.ask(ctx, homeName, &cicadawire.GrantRequest{Customer: name, Entry: l.self, Want: c.want, Used: unused})
	if err != nil {
		c.lease.Refill(c.share(now, tiers, len(l.peers.EntryNames())))
		return
	}
	c.fallback = nil
	c.lease.Refill(cicadalimit.Grant{
		Tokens:    reply.GetTokens(),
		Expires:   now.Add(time.Duration(reply.GetValidMs()) * time.Millisecond),
		Limit:     reply.GetLimit(),
		Remaining: reply.GetRemaining(),
		Reset:     now.Add(time.Duration(reply.GetResetMs()) * time.Millisecond),
	})
}

// share grants from an even share while the home cannot be reached.
func (c *customer) share(now time.Time, tiers []cicadalimit.Tier, entries int) cicadalimit.Grant {
	if c.fallback == nil {
		c.fallback = cicadalimit.NewHome(cicadalimit.Share(tiers, entries))
	}
	return c.fallback.Grant(now, c.want, 0)
}

func (l *Limiter) grantHere(name string, tiers []cicadalimit.Tier, want, unused int64) cicadalimit.Grant {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	h, ok := l.homes[name]
	if !ok || !sameTiers(h.tiers, tiers) {
		h = &home{counter: cicadalimit.NewHome(tiers), tiers: tiers}
		l.homes[name] = h
	}
	h.used = now
	l.dropIdle(now)
	return h.counter.Grant(now, want, unused)
}

// dropIdle forgets one customer that has not been asked for lately.
func (l *Limiter) dropIdle(now time.Time) {
	for name, h := range l.homes {
		if now.Sub(h.used) > homeIdle {
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

// ServeGrant answers another entry's request for tokens.
func (l *Limiter) ServeGrant(account *cicadaconfig.Account, req *cicadawire.GrantRequest) *cicadawire.GrantReply {
	grant := l.grantHere(account.Name(), tiersOf(account), req.GetWant(), req.GetUsed())
	now := l.now()
	return &cicadawire.GrantReply{
		Tokens:    grant.Tokens,
		ValidMs:   max(grant.Expires.Sub(now).Milliseconds(), 0),
		Limit:     grant.Limit,
		Remaining: grant.Remaining,
		ResetMs:   max(grant.Reset.Sub(now).Milliseconds(), 0),
	}
}
