// Package cicadalimit implements distributed rate limits over the entries of a
// fleet. A customer's home entry counts the customer's requests in fixed windows
// and leases tokens to the entries that serve the customer. An entry uses its
// leased tokens without a remote call, and renews the lease when it expires or
// has no tokens left.
//
// A local layer that is synchronised periodically with a shared one is described
// in "Coordinated Rate Limiting in Microservices". There the shared layer counts
// requests after they have passed, so a window may exceed its limit. Here tokens
// are granted before they are used.
//
// A Bucket is a second source of grants: a token bucket with a rate and a burst, for
// limits over every sliding window.
//
// # Usage
//
//	counter := cicadalimit.NewCounter(tiers) // at the customer's home entry
//	grant := counter.Grant(now, 20, unused)
//
//	var lease cicadalimit.Lease              // at an entry
//	lease.Renew(grant)
//	if !lease.Take(now) { ... 429 ... }
package cicadalimit

import (
	"time"
)

// A Tier limits the number of requests in each window. Windows start at multiples
// of their length, as in the paper, so that processes need not agree on a start.
type Tier struct {
	Requests int64
	Per      time.Duration
}

// leaseDuration is the maximum lifetime of a grant.
const leaseDuration = time.Second

// A Grant is a number of requests that an entry may admit before the grant
// expires. Limit, Remaining and Reset describe the window with the fewest
// remaining requests.
type Grant struct {
	Tokens    int64
	Expires   time.Time
	Limit     int64
	Remaining int64
	Reset     time.Time
}

type window struct {
	tier  Tier
	start time.Time
	used  int64
}

// advance resets the count when a new window has started.
func (w *window) advance(now time.Time) {
	start := now.Truncate(w.tier.Per)
	if start.After(w.start) {
		w.start, w.used = start, 0
	}
}

func (w *window) remaining() int64 { return max(w.tier.Requests-w.used, 0) }

func (w *window) end() time.Time { return w.start.Add(w.tier.Per) }

// A Counter counts one customer's requests in the windows of its tiers.
type Counter struct {
	windows []window
}

// NewCounter returns a counter that grants tokens within the limits of all tiers.
func NewCounter(tiers []Tier) *Counter {
	c := &Counter{}
	for _, tier := range tiers {
		c.windows = append(c.windows, window{tier: tier})
	}
	return c
}

// Grant leases up to want tokens. The caller returns the unused tokens of its
// earlier grant. A grant is limited to half of the requests that remain in the
// tightest window, so that other entries get tokens too.
func (c *Counter) Grant(now time.Time, want, unused int64) Grant {
	for i := range c.windows {
		c.windows[i].advance(now)
		c.windows[i].used = max(c.windows[i].used-unused, 0)
	}
	tightest := c.tightest()
	if tightest == nil {
		return Grant{Tokens: want, Expires: now.Add(leaseDuration)}
	}
	half := (tightest.remaining() + 1) / 2
	tokens := min(want, half)
	for i := range c.windows {
		c.windows[i].used += tokens
	}
	expires := now.Add(leaseDuration)
	for i := range c.windows {
		if end := c.windows[i].end(); end.Before(expires) {
			expires = end
		}
	}
	return Grant{
		Tokens:    tokens,
		Expires:   expires,
		Limit:     tightest.tier.Requests,
		Remaining: tightest.remaining(),
		Reset:     tightest.end(),
	}
}

// tightest returns the window with the fewest remaining requests, or nil if the
// customer has no limits.
func (c *Counter) tightest() *window {
	var tightest *window
	for i := range c.windows {
		if w := &c.windows[i]; tightest == nil || w.remaining() < tightest.remaining() {
			tightest = w
		}
	}
	return tightest
}

// A Lease holds an entry's grant of a customer's tokens. The zero value holds no
// tokens. A Lease is not safe for concurrent use.
type Lease struct {
	grant Grant
	used  int64
}

// Take uses one token. It reports false if none is left or the grant has
// expired.
func (l *Lease) Take(now time.Time) bool {
	if !now.Before(l.grant.Expires) || l.used >= l.grant.Tokens {
		return false
	}
	l.used++
	return true
}

// Renew replaces the grant. The unused tokens of the old one must have been
// returned to the counter.
func (l *Lease) Renew(g Grant) {
	l.grant, l.used = g, 0
}

// Unused returns the number of unused tokens, or 0 if the grant has expired.
func (l *Lease) Unused(now time.Time) int64 {
	if !now.Before(l.grant.Expires) {
		return 0
	}
	return l.Left()
}

// Return gives back a token that Take has used, unless the grant has expired.
func (l *Lease) Return(now time.Time) {
	if l.used > 0 && now.Before(l.grant.Expires) {
		l.used--
	}
}

// Left returns the number of unused tokens, even if the grant has expired. See Unused.
func (l *Lease) Left() int64 { return l.grant.Tokens - l.used }

// Used returns the number of used tokens of the grant.
func (l *Lease) Used() int64 { return l.used }

// Grant returns the current grant.
func (l *Lease) Grant() Grant { return l.grant }

// EvenShare divides the tiers evenly over the entries, at least one request each.
// An entry limits itself to this share while the home entry is unreachable.
func EvenShare(tiers []Tier, entries int) []Tier {
	shares := make([]Tier, len(tiers))
	for i, tier := range tiers {
		shares[i] = Tier{Requests: max(tier.Requests/int64(max(entries, 1)), 1), Per: tier.Per}
	}
	return shares
}
