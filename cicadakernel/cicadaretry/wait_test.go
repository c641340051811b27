package cicadaretry

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a loop that goes on after its context has ended, because it pauses for no time.
func TestPauseOfNoTimeEndsWithContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	assert.Assert(t, Sleep(ctx, 0))
	cancel()
	for range 100 {
		assert.Assert(t, !Sleep(ctx, 0))
	}
}
