package cicadabatch

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestSoundOwnerHasTimeBesideTwoHungOnes guards against owners that hang one after the other and leave the
// last, sound one no time to answer.
func TestSoundOwnerHasTimeBesideTwoHungOnes(t *testing.T) {
	for _, wait := range []time.Duration{0, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			c := newFakeClient(t, &fakeOwner{}, &fakeOwner{}, &fakeOwner{delay: 100 * time.Millisecond, status: http.StatusOK})
			resp, err := c.callAsCaller(t, &Call{Kind: CallReadResults, Wait: wait})
			assert.Check(t, err)
			assert.Equal(t, resp.Status, http.StatusOK)
		})
	}
}

// TestHungRelayIsNotAskedForEachOwner guards against a relay that hangs and is asked again for the next owner
// behind it, while an owner that can be called directly gets no time.
func TestHungRelayIsNotAskedForEachOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		relay, direct := &fakeOwner{}, &fakeOwner{delay: 100 * time.Millisecond, status: http.StatusOK}
		c := newFakeClient(t, relay, &fakeOwner{}, direct)
		peers := c.owners()
		for i := range 2 {
			peers[i].Address, peers[i].Relayed = peers[0].Address, true
		}
		resp, err := c.callAsCaller(t, &Call{Kind: CallReadResults})
		assert.Check(t, err)
		assert.Check(t, resp.Status == http.StatusOK, "status %d", resp.Status)
		assert.Check(t, relay.calls.Load() <= 2, "the relay was asked %d times", relay.calls.Load())
	})
}

// TestUnsentWriteIsRefused guards against a submission or an end that is answered with an unknown outcome
// though no owner was sent it, so that nothing can have been done.
func TestUnsentWriteIsRefused(t *testing.T) {
	for name, owners := range map[string][]*fakeOwner{
		"no owner":         nil,
		"all owners down":  {{down: true}, {down: true}, {down: true}},
		"only owner down":  {{down: true}},
		"no sound address": {{down: true}, {down: true}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newFakeClient(t, owners...)
				for _, kind := range []CallKind{CallSubmit, CallEndJob} {
					resp, _ := c.callAsCaller(t, &Call{Kind: kind})
					assert.Check(t, resp.Status == http.StatusServiceUnavailable, "kind %d: status %d", kind, resp.Status)
				}
			})
		})
	}
}
