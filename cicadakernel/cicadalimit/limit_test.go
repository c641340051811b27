package cicadalimit

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Whatever the entries ask for and give back, no window passes more than its
// tier allows.
func TestGrantsStayWithinEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tiers := []Tier{
			{Requests: int64(rapid.IntRange(1, 50).Draw(t, "short")), Per: time.Second},
			{Requests: int64(rapid.IntRange(1, 300).Draw(t, "long")), Per: 10 * time.Second},
		}
		home := NewHome(tiers)
		now := time.Unix(1000, 0)
		leases := make([]Lease, 3)
		passed := make(map[time.Duration]map[int64]int64)
		for _, tier := range tiers {
			passed[tier.Per] = make(map[int64]int64)
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			l := &leases[rapid.IntRange(0, len(leases)-1).Draw(t, "entry")]
			if !l.Take(now) {
				l.Refill(home.Grant(now, int64(rapid.IntRange(1, 100).Draw(t, "want")), l.Unused(now)))
				if !l.Take(now) {
					continue
				}
			}
			for _, tier := range tiers {
				window := now.UnixNano() / int64(tier.Per)
				passed[tier.Per][window]++
				if passed[tier.Per][window] > tier.Requests {
					t.Fatalf("%d requests pass in a window of %s that allows %d", passed[tier.Per][window], tier.Per, tier.Requests)
				}
			}
		}
	})
}
