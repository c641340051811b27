// Package cicadaretry limits retries and hedged attempts to a fraction of the
// requests, so that they do not amplify an overload of the whole fleet. It also
// computes the delay before a hedged attempt.
//
// # Usage
//
//	budget := cicadaretry.NewBudget(0.1, 10)
//	budget.RecordRequest()    // for each request
//	if budget.Take() { ... }  // before each extra attempt
package cicadaretry

import (
	"slices"
	"sync"
	"time"
)

// A Budget is a token bucket of extra attempts. It is refilled by requests, not by
// time, and is safe for concurrent use.
type Budget struct {
	mu        sync.Mutex
	ratio     float64
	maxTokens float64
	tokens    float64
}

// NewBudget returns a full budget that earns ratio extra attempts per request and
// holds at most maxTokens of them.
func NewBudget(ratio, maxTokens float64) *Budget {
	return &Budget{ratio: ratio, maxTokens: maxTokens, tokens: maxTokens}
}

// SetRatio changes the number of extra attempts earned per request.
func (b *Budget) SetRatio(ratio float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ratio = ratio
}

// RecordRequest adds the extra attempts that a request earns to the budget.
func (b *Budget) RecordRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.ratio, b.maxTokens)
}

// CanTake reports whether Take would succeed now.
func (b *Budget) CanTake() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens >= 1
}

// Take removes one extra attempt from the budget. It reports false if none is
// left.
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
	delaySamples = 256
	// recomputeInterval is the number of samples after which the quantiles are
	// recomputed.
	recomputeInterval = 16
	delayQuantile     = 0.98
)

// A HedgeDelay is the time to wait for a first token before hedging: the 98th
// percentile of the recent times to the first token. It is safe for concurrent
// use.
type HedgeDelay struct {
	mu           sync.Mutex
	samples      [delaySamples]time.Duration // ring buffer
	count        int
	quantile     time.Duration
	median       time.Duration
	minDelay     time.Duration
	initialDelay time.Duration
}

// NewHedgeDelay returns a delay that is initialDelay until the first quantiles are
// computed, and at least minDelay after that.
func NewHedgeDelay(initialDelay, minDelay time.Duration) *HedgeDelay {
	return &HedgeDelay{initialDelay: initialDelay, minDelay: minDelay}
}

// Observe records a time to the first token.
func (d *HedgeDelay) Observe(firstTokenTime time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.samples[d.count%delaySamples] = firstTokenTime
	d.count++
	if d.count%recomputeInterval == 0 {
		d.recompute()
	}
}

func (d *HedgeDelay) recompute() {
	sorted := slices.Clone(d.samples[:min(d.count, delaySamples)])
	slices.Sort(sorted)
	d.quantile = sorted[int(delayQuantile*float64(len(sorted)-1))]
	d.median = sorted[len(sorted)/2]
}

// Median returns a delay based on the median instead of the 98th percentile, for an
// attempt that is likely to be slow, such as a probe of an ejected endpoint.
func (d *HedgeDelay) Median() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.median == 0 {
		return d.initialDelay
	}
	return max(d.median, d.minDelay)
}

// Get returns the delay before a hedged attempt.
func (d *HedgeDelay) Get() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.quantile == 0 {
		return d.initialDelay
	}
	return max(d.quantile, d.minDelay)
}
