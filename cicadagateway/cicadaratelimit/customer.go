package cicadaratelimit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"cicadalink.example/cicadakernel/cicadalimit"
)

// A customer is the state that an entry keeps for a customer that it serves.
type customer struct {
	name   string
	limit  Limit
	lease  cicadalimit.Lease
	bucket uint64 // source of the lease
	home   string // entry that granted or refused tokens last
	query  *query // nil if none is outstanding
	usedAt time.Time

	// taken is the number of tokens taken, decayed with usageTimeConstant since takenAt.
	taken   float64
	takenAt time.Time

	refusedUntil        time.Time
	retryAt             time.Time     // when the next refused caller should retry
	retryStep           time.Duration // between the retries of two refused callers
	refusedSinceRequest int64         // callers refused since the last Request

	// spent is the number of initial tokens that new buckets have granted, the last ones at
	// spentAt.
	spent   int64
	spentAt time.Time
}

func (c *customer) take(now time.Time) bool {
	if !c.lease.Take(now) {
		return false
	}
	c.countTaken(now, 1)
	return true
}

func (c *customer) countTaken(now time.Time, n float64) {
	c.taken = max(c.recent(now)+n, 0)
	c.takenAt = now
}

// recent returns the approximate number of tokens taken within the last usageTimeConstant.
func (c *customer) recent(now time.Time) float64 {
	return c.taken * math.Exp(-now.Sub(c.takenAt).Seconds()/usageTimeConstant.Seconds())
}

// refuse returns the decision for the next caller over the limit. Each call returns a later retry
// time, so that callers do not retry together.
func (c *customer) refuse(now time.Time) Decision {
	at := c.retryAt
	if !at.After(now) {
		at = c.refusedUntil // this entry refuses all requests before
	}
	if latest := now.Add(maxRetryAfter); at.After(latest) {
		at = latest
	}
	c.retryAt = at.Add(c.retryStep)
	return Decision{known: true, retryAfter: at.Sub(now), home: c.home}
}

// takeUnused removes the unused tokens of a lease to return them. It returns 0 if they have
// expired too long ago.
func (c *customer) takeUnused(now time.Time) int64 {
	left, expired := c.lease.Left(), now.Sub(c.lease.Grant().Expires)
	c.lease.Renew(cicadalimit.Grant{})
	if expired > returnGracePeriod {
		return 0
	}
	return left
}

// tickCustomers returns the unused tokens of expired leases and drops idle customers.
func (l *Limiter) tickCustomers(now time.Time) {
	var unused []*customer
	for name, c := range l.customers {
		switch {
		case c.query != nil:
		case c.lease.Left() > 0 && !now.Before(c.lease.Grant().Expires):
			unused = append(unused, c)
		case now.Sub(c.usedAt) > customerIdleTime:
			delete(l.customers, name)
		}
	}
	slices.SortFunc(unused, func(a, b *customer) int { return cmp.Compare(a.name, b.name) })
	for _, c := range unused {
		if n := c.takeUnused(now); n > 0 {
			l.returnTokens(c, c.home, c.bucket, n, now)
		}
	}
}
