package cicadalimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever the entries request and return, no window admits more requests than its
// tier allows.
func TestGrantsRespectEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tiers := []Tier{
			{Requests: int64(rapid.IntRange(1, 50).Draw(t, "short")), Per: time.Second},
			{Requests: int64(rapid.IntRange(1, 300).Draw(t, "long")), Per: 10 * time.Second},
		}
		counter := NewCounter(tiers)
		now := time.Unix(1000, 0)
		leases := make([]Lease, 3)
		admitted := make(map[time.Duration]map[int64]int64)
		for _, tier := range tiers {
			admitted[tier.Per] = make(map[int64]int64)
		}
		for range rapid.IntRange(1, 200).Draw(t, "operations") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			lease := &leases[rapid.IntRange(0, len(leases)-1).Draw(t, "entry")]
			if !lease.Take(now) {
				lease.Renew(counter.Grant(now, int64(rapid.IntRange(1, 100).Draw(t, "want")), lease.Unused(now)))
				if !lease.Take(now) {
					continue
				}
			}
			for _, tier := range tiers {
				window := now.UnixNano() / int64(tier.Per)
				admitted[tier.Per][window]++
				if admitted[tier.Per][window] > tier.Requests {
					t.Fatalf("%d requests are admitted in a window of %s that allows %d", admitted[tier.Per][window], tier.Per, tier.Requests)
				}
			}
		}
	})
}
