package cicadabatch

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadaplatform"
)

// TestEndThatMayHaveTakenEffectIsNotRefused guards against the end of a job that is answered as not done,
// although the store may have recorded it.
func TestEndThatMayHaveTakenEffectIsNotRefused(t *testing.T) {
	for name, test := range map[string]struct {
		err  error
		want int
	}{
		"in doubt":    {cicadaplatform.ErrInDoubt, http.StatusBadGateway},
		"unavailable": {cicadaplatform.ErrUnavailable, http.StatusServiceUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newTestDeployment()
				d.backend.Update = func(context.Context, string, int64, []byte) (cicadaplatform.Object, error) {
					return cicadaplatform.Object{}, test.err
				}
				o := d.startOwner("o1", fixedOwners("o1"))
				defer o.stop()
				time.Sleep(startDelay)
				o.call(t, submitCall("j", manyEvents))
				assert.Equal(t, o.call(t, &Call{Kind: CallEndJob, Job: "j"}).Status, test.want)
			})
		})
	}
}

// TestCallsEndBesideBlockedEventLoop guards against calls that wait for an event loop that stands still after
// their senders have left, each with a connection.
func TestCallsEndBesideBlockedEventLoop(t *testing.T) {
	for name, call := range map[string]*Call{
		"read":   {Kind: CallReadResults, Job: "j"},
		"body":   {Kind: CallReadItem, Job: "j", Item: "j-0"},
		"submit": submitCall("other", 1),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newTestDeployment()
				o := d.startOwner("o1", fixedOwners("o1"))
				defer o.stop()
				time.Sleep(startDelay)
				o.call(t, submitCall("j", manyEvents))
				unblock := make(chan struct{})
				o.enqueue(func() { <-unblock })
				ctx, cancel := context.WithTimeout(t.Context(), callerPatience)
				defer cancel()
				ended := make(chan Response)
				go func() { ended <- o.handle(ctx, call) }()
				time.Sleep(stallLimit / 2)
				select {
				case resp := <-ended:
					assert.Assert(t, resp.Status >= http.StatusInternalServerError, "status %d", resp.Status)
				default:
					t.Error("the call has not ended")
				}
				close(unblock)
			})
		})
	}
}
