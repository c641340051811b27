package cicadadispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadawire"
)

// TestWaitToResume checks which requests wait for another endpoint after their
// own has failed while no other is available, and that the wait is bounded.
func TestWaitToResume(t *testing.T) {
	online := &cicadawire.Call{Class: cicadawire.CallClass_ONLINE}
	version := "v1"
	for _, c := range []struct {
		name       string
		call       *cicadawire.Call
		chunks     int32
		mayHaveRun bool
		began      *string
		waits      bool
	}{
		{"request that never started fails at once", online, 0, false, nil, false},
		{"request that lost its endpoint before the first chunk", online, 0, true, nil, true},
		{"stream that has started", online, 3, true, &version, true},
		{"stream that has started at a version that is not known", online, 3, true, nil, false},
		{"non-idempotent call", &cicadawire.Call{Class: cicadawire.CallClass_ONLINE, NonIdempotent: true}, 0, true, nil, false},
		{"batch item, which its owner queues again", &cicadawire.Call{Class: cicadawire.CallClass_BATCH}, 0, true, nil, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &run{d: &Dispatcher{now: time.Now}, req: &Request{Call: c.call}, chunks: c.chunks, mayHaveRun: c.mayHaveRun, began: c.began}
				start := time.Now()
				assert.Equal(t, r.waitToResume(t.Context()), c.waits)
				if !c.waits {
					return
				}
				assert.Equal(t, time.Since(start), resumeRetryInterval)
				time.Sleep(maxResumeWait)
				assert.Assert(t, !r.waitToResume(t.Context()), "waited longer than maxResumeWait")
			})
		})
	}
}
