package cicadalimit

import (
	"math"
	"time"
)

// BucketLeaseDuration is the lifetime of a bucket's grants. Tokens that are granted before a window
// and used within it exceed the limit by at most the rate times this duration, so it is short.
const BucketLeaseDuration = 200 * time.Millisecond

// maxWait is the longest time that Wait returns, for example if the rate is 0.
const maxWait = time.Hour

// A Bucket grants one customer's tokens from a token bucket. Calls with an earlier time than the
// latest one add no tokens. A Bucket is not safe for concurrent use.
type Bucket struct {
	rate  float64 // tokens per second
	burst float64 // capacity
	level float64
	at    time.Time // at which the bucket had level
}

// NewBucket returns a bucket with the given level, refilled at a rate of tokens per second
// up to burst.
func NewBucket(now time.Time, rate, burst, level float64) *Bucket {
	return &Bucket{rate: rate, burst: burst, level: min(level, burst), at: now}
}

// SetLimit changes the rate and the burst from now on. Tokens above the new burst are lost.
func (b *Bucket) SetLimit(now time.Time, rate, burst float64) {
	b.advance(now)
	b.rate, b.burst = rate, burst
	b.level = min(b.level, burst)
}

// Level returns the number of tokens in the bucket.
func (b *Bucket) Level(now time.Time) float64 {
	b.advance(now)
	return b.level
}

// Grant leases up to want tokens. unused is the number of unused tokens of an earlier grant, which
// are first returned to the bucket.
func (b *Bucket) Grant(now time.Time, want, unused int64) Grant {
	b.advance(now)
	b.level = min(b.level+float64(max(unused, 0)), b.burst)
	tokens := max(min(want, int64(b.level)), 0)
	b.level -= float64(tokens)
	return Grant{
		Tokens:    tokens,
		Expires:   now.Add(BucketLeaseDuration),
		Limit:     int64(b.burst),
		Remaining: int64(b.level),
		Reset:     now.Add(b.Wait(now, 1)),
	}
}

// Take removes n tokens, such as tokens that were granted elsewhere, or adds tokens if n is negative.
// The level may fall below 0, and the refill then has to make up for it before tokens are granted.
func (b *Bucket) Take(now time.Time, n float64) {
	b.advance(now)
	b.level -= n
}

// Wait returns the time until the bucket holds n tokens.
func (b *Bucket) Wait(now time.Time, n float64) time.Duration {
	missing := n - b.Level(now)
	if missing <= 0 {
		return 0
	}
	if missing > b.rate*maxWait.Seconds() {
		return maxWait
	}
	return time.Duration(math.Ceil(missing / b.rate * float64(time.Second)))
}

// advance refills the bucket up to a time.
func (b *Bucket) advance(now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.level = min(b.level+b.rate*elapsed.Seconds(), b.burst)
		b.at = now
	}
}
