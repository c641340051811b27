package cicadaretry

import (
	"testing"

	"pgregory.net/rapid"
)

func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		bound := float64(rapid.IntRange(0, 20).Draw(t, "bound"))
		b := NewBudget(share, bound)
		requests, extra := 0, 0
		for _, request := range rapid.SliceOf(rapid.Bool()).Draw(t, "steps") {
			if request {
				requests++
				b.Request()
			} else if b.Take() {
				extra++
			}
		}
		if float64(extra) > bound+share*float64(requests)+1e-9 {
			t.Fatalf("%d extra attempts for %d requests", extra, requests)
		}
	})
}
