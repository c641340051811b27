package cicadaretry

import (
	"context"
	"time"
)

// Sleep pauses for d, for example between two attempts. It reports false if ctx
// is done first.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
