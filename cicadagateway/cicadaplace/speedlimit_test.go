package cicadaplace

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a limit that collapses, that does not rise again, or that rises while the
// endpoint is slow.
func TestLoadLimit(t *testing.T) {
	var l loadLimit
	now := time.Now()
	steps := func(n int, slowness float64, load int) int {
		for range n {
			now = now.Add(limitInterval)
			l.update(slowness, load, 8, now)
		}
		return l.requests(8)
	}
	assert.Equal(t, steps(9, 2, 8), 8) // nothing is known of a light load
	assert.Equal(t, steps(9, 1, 2), 8)
	assert.Equal(t, steps(1, 2, 7), 6) // 5.6
	assert.Equal(t, steps(9, 2, 7), 4)
	assert.Equal(t, steps(9, 1.3, 5), 4)
	rising := steps(15, 1, 4)
	assert.Assert(t, rising > 4 && rising < 8)
	assert.Equal(t, steps(40, 1, 4), 8)
	assert.Equal(t, steps(20, 2, 4), 8) // slow at a load that it should run well
	assert.Equal(t, steps(20, 2, 8), 8) // and so always slow
}
