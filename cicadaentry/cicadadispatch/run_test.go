package cicadadispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadawire"
)

// TestWhoWaitsForAnEndpoint answers endpoints that die with requests in flight
// while no other is free for a moment.
func TestWhoWaitsForAnEndpoint(t *testing.T) {
	online := &cicadawire.Call{Class: cicadawire.CallClass_ONLINE}
	for _, c := range []struct {
		name   string
		call   *cicadawire.Call
		pieces int32
		lost   bool
		waits  bool
	}{
		{"a request that no endpoint had is refused at once", online, 0, false, false},
		{"a request that lost its endpoint before the first piece", online, 0, true, true},
		{"a stream that has begun", online, 3, true, true},
		{"a call that may not run again", &cicadawire.Call{Class: cicadawire.CallClass_ONLINE, NonIdempotent: true}, 0, true, false},
		{"a batch item is queued again by its owner", &cicadawire.Call{Class: cicadawire.CallClass_BATCH}, 0, true, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &run{d: &Dispatcher{now: time.Now}, req: &Request{Call: c.call}, pieces: c.pieces, lost: c.lost}
				start := time.Now()
				assert.Equal(t, r.waitToResume(t.Context()), c.waits)
				if !c.waits {
					return
				}
				assert.Equal(t, time.Since(start), resumeInterval)
				time.Sleep(resumeLimit)
				assert.Assert(t, !r.waitToResume(t.Context()), "the wait is bounded")
			})
		})
	}
}
