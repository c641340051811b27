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
