// Package cicadalimit holds rate limits over the entries of a fleet. A
// customer's home entry counts its requests in windows and leases tokens to
// the entries that serve it; an entry spends its lease without asking, and
// settles at an interval. The idea of a local layer that is synchronised with a
// shared one at an interval is from "Coordinated Rate Limiting in
// Microservices"; there the shared layer counts after the fact and a window may
// be overshot, here tokens are granted before they are spent.
//
// # Usage
//
//	home := cicadalimit.NewHome(tiers)      // at the customer's home entry
//	grant := home.Grant("entry-2", now, 20, used)
//
//	var lease cicadalimit.Lease             // at an entry
//	lease.Refill(grant, now)
//	if !lease.Take(now) { ... 429 ... }
package cicadalimit

import (
	"time"
)

// A Tier allows a number of requests in each window. Windows start at multiples
// of their length, as in the paper, so that no process has to agree on a start.
type Tier struct {
	Requests int64
	Per      time.Duration
}

// leaseTime is how long an entry may spend a grant.
const leaseTime = time.Second

// A Grant is a number of requests that an entry may let pass until it expires.
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

func (w *window) roll(now time.Time) {
	start := now.Truncate(w.tier.Per)
	if start.After(w.start) {
		w.start, w.used = start, 0
	}
}

func (w *window) remaining() int64 { return max(w.tier.Requests-w.used, 0) }

func (w *window) end() time.Time { return w.start.Add(w.tier.Per) }

// A Home counts one customer's requests.
type Home struct {
	windows []window
}

// NewHome returns a home for the tiers, all of which must allow a request.
func NewHome(tiers []Tier) *Home {
	h := &Home{}
	for _, tier := range tiers {
		h.windows = append(h.windows, window{tier: tier})
	}
	return h
}

// Grant leases up to want tokens. Tokens of an earlier grant that were not used
// come back with unused. What remains in the tightest window is not given away
// whole, so that other entries get some too.
func (h *Home) Grant(now time.Time, want, unused int64) Grant {
	for i := range h.windows {
		h.windows[i].roll(now)
		h.windows[i].used = max(h.windows[i].used-unused, 0)
	}
	tight := h.tightest()
	if tight == nil {
		return Grant{Tokens: want, Expires: now.Add(leaseTime)}
	}
	part := (tight.remaining() + 1) / 2
	tokens := min(want, part)
	for i := range h.windows {
		h.windows[i].used += tokens
	}
	expires := now.Add(leaseTime)
	for i := range h.windows {
		if end := h.windows[i].end(); end.Before(expires) {
			expires = end
		}
	}
	return Grant{
		Tokens:    tokens,
		Expires:   expires,
		Limit:     tight.tier.Requests,
		Remaining: tight.remaining(),
		Reset:     tight.end(),
	}
}

func (h *Home) tightest() *window {
	var tight *window
	for i := range h.windows {
		if w := &h.windows[i]; tight == nil || w.remaining() < tight.remaining() {
			tight = w
		}
	}
	return tight
}

// A Lease is what an entry holds of a customer's tokens. The zero value holds
// none.
type Lease struct {
	grant Grant
	spent int64
}

// Take spends a token, or reports that none is left.
func (l *Lease) Take(now time.Time) bool {
	if !now.Before(l.grant.Expires) || l.spent >= l.grant.Tokens {
		return false
	}
	l.spent++
	return true
}

// Refill replaces the lease by a new grant, to which what is left of the old
// one was returned.
func (l *Lease) Refill(g Grant) {
	l.grant, l.spent = g, 0
}

// Unused returns the tokens of a grant that has not expired and are not spent.
func (l *Lease) Unused(now time.Time) int64 {
	if !now.Before(l.grant.Expires) {
		return 0
	}
	return l.grant.Tokens - l.spent
}

// Spent returns how many tokens of the grant are spent.
func (l *Lease) Spent() int64 { return l.spent }

// Grant returns the grant held.
func (l *Lease) Grant() Grant { return l.grant }

// Share returns the tiers of one entry when the home cannot be reached: an even
// split over the entries.
func Share(tiers []Tier, entries int) []Tier {
	shares := make([]Tier, len(tiers))
	for i, tier := range tiers {
		shares[i] = Tier{Requests: max(tier.Requests/int64(max(entries, 1)), 1), Per: tier.Per}
	}
	return shares
}
