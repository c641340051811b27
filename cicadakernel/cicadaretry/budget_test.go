package cicadaretry

import (
	"testing"

	"pgregory.net/rapid"
)

func TestBudgetIsNeverExceeded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratio := rapid.Float64Range(0, 1).Draw(t, "ratio")
		maxTokens := float64(rapid.IntRange(0, 20).Draw(t, "maxTokens"))
		b := NewBudget(ratio, maxTokens)
		requests, extra := 0, 0
		for _, isRequest := range rapid.SliceOf(rapid.Bool()).Draw(t, "operations") {
			if isRequest {
				requests++
				b.RecordRequest()
			} else if b.Take() {
				extra++
			}
		}
		if float64(extra) > maxTokens+ratio*float64(requests)+1e-9 {
			t.Fatalf("%d extra attempts are allowed for %d requests", extra, requests)
		}
	})
}
