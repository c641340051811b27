package cicadaclock

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a time that is set back when CLOCK_BOOTTIME cannot be read for once: information
// would look younger than it is.
func TestFallbackContinuesBootTime(t *testing.T) {
	const readings = 100
	for range readings {
		before := SinceBoot()
		assert.Assert(t, before > 0)
		assert.Assert(t, monotonic() >= bootTimeAtStart)
		assert.Assert(t, SinceBoot() >= before)
	}
}
