package cicadaretry

import (
	"context"
	"time"
)

// Wait waits between two tries. It reports false when ctx ends first.
func Wait(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
