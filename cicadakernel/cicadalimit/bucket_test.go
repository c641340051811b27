package cicadalimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against windows that exceed the limit by more than the lifetime of leases allows,
// whatever the entries request and return.
func TestBucketRespectsEverySlidingWindow(t *testing.T) {
	const window = 5 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		rate, burst := rapid.Float64Range(0.5, 200).Draw(t, "rate"), rapid.Float64Range(1, 200).Draw(t, "burst")
		now := time.Unix(1000, 0)
		bucket := NewBucket(now, rate, burst, burst)
		leases := make([]Lease, 3)
		var admitted []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "operations") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			lease := &leases[rapid.IntRange(0, len(leases)-1).Draw(t, "entry")]
			if !lease.Take(now) {
				lease.Renew(bucket.Grant(now, int64(rapid.IntRange(1, 100).Draw(t, "want")), lease.Unused(now)))
				if !lease.Take(now) {
					continue
				}
			}
			admitted = append(admitted, now)
			for now.Sub(admitted[0]) > window {
				admitted = admitted[1:]
			}
			if most := rate*(window+BucketLeaseDuration).Seconds() + burst; float64(len(admitted)) > most+1e-6 {
				t.Fatalf("%d requests are admitted in a window that allows %.1f", len(admitted), most)
			}
		}
	})
}

// Guards against tokens that are lost or kept when the limit of a customer changes.
func TestBucketLimitChanges(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBucket(now, 10, 20, 20)
	b.SetLimit(now, 10, 5)
	assert.Equal(t, b.Level(now), 5.0)
	b.SetLimit(now, 2, 50)
	assert.Equal(t, b.Grant(now, 10, 0).Tokens, int64(5))
	assert.Equal(t, b.Wait(now, 1), 500*time.Millisecond)
	b.SetLimit(now.Add(time.Second), 0, 50)
	assert.Equal(t, b.Level(now.Add(time.Hour)), 2.0)
	assert.Equal(t, b.Wait(now.Add(time.Hour), 3), maxWait)
}

// Guards against a token that is used twice because it is returned after its grant expired.
func TestLeaseReturn(t *testing.T) {
	now := time.Unix(1000, 0)
	var l Lease
	l.Renew(Grant{Tokens: 1, Expires: now.Add(time.Second)})
	assert.Assert(t, l.Take(now))
	l.Return(now)
	assert.Assert(t, l.Take(now))
	l.Return(now.Add(time.Second))
	assert.Equal(t, l.Left(), int64(0))
}
