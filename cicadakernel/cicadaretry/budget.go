// Package cicadaretry bounds extra attempts: retries and hedges may add only a
// share to the requests themselves, so that a fleet that is slow as a whole is
// not made slower.
//
// # Usage
//
//	budget := cicadaretry.NewBudget(0.1, 10)
//	budget.Request()          // for each request
//	if budget.Take() { ... }  // before each extra attempt
package cicadaretry

import (
	"slices"
	"sync"
	"time"
)

// A Budget allows extra attempts as a share of requests. Unused allowance is
// kept up to a bound.
type Budget struct {
	mu     sync.Mutex
	share  float64
	bound  float64
	tokens float64
}

// NewBudget returns a budget of share extra attempts a request that keeps at
// most bound of them. It starts with the bound.
func NewBudget(share, bound float64) *Budget {
	return &Budget{share: share, bound: bound, tokens: bound}
}

// SetShare changes the share.
func (b *Budget) SetShare(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.share = share
}

// Request counts a request, which earns a share of an extra attempt.
func (b *Budget) Request() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.share, b.bound)
}

// Ready reports whether Take would succeed now.
func (b *Budget) Ready() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens >= 1
}

// Take spends one extra attempt, or reports that none is left.
func (b *Budget) Take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

const (
	delaySamples  = 256
	refreshEvery  = 16
	delayQuantile = 0.98
)

// A Delay says how long to wait for a first token before hedging: the 98th
// percentile of the recent times to a first token.
type Delay struct {
	mu     sync.Mutex
	ring   [delaySamples]time.Duration
	n      int
	cached time.Duration
	middle time.Duration
	floor  time.Duration
	start  time.Duration
}

// NewDelay returns a delay that is start until there are samples, and never
// below floor.
func NewDelay(start, floor time.Duration) *Delay {
	return &Delay{start: start, floor: floor}
}

// Observe adds a time to a first token.
func (d *Delay) Observe(first time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ring[d.n%delaySamples] = first
	d.n++
	if d.n%refreshEvery == 0 {
		d.refresh()
	}
}

func (d *Delay) refresh() {
	samples := slices.Clone(d.ring[:min(d.n, delaySamples)])
	slices.Sort(samples)
	d.cached = samples[int(delayQuantile*float64(len(samples)-1))]
	d.middle = samples[len(samples)/2]
}

// Short returns the delay for an attempt that is likely to be slow: the median.
func (d *Delay) Short() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.middle == 0 {
		return d.start
	}
	return max(d.middle, d.floor)
}

// Get returns the delay.
func (d *Delay) Get() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cached == 0 {
		return d.start
	}
	return max(d.cached, d.floor)
}
