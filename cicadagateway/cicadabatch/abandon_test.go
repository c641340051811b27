package cicadabatch

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	adapter "cicadalink.example/platform"
)

// TestItemAbandonedDuringRunIsListedAfterStoreOutage guards against an owner that stops for
// good at the checkpoint after a running item was abandoned.
func TestItemAbandonedDuringRunIsListedAfterStoreOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		down := d.stopCreates()
		o := d.startOwner("o1", fixedOwners("o1"), WithCheckpoints(openCheckpoints(t, t.TempDir())))
		defer o.stop()
		time.Sleep(time.Second)
		abandoned := submitCall("old", 300)
		abandoned.GiveUp = 5 * time.Second
		o.call(t, abandoned)
		o.call(t, submitCall("new", 100))
		down.Store(true)
		time.Sleep(8 * time.Second)
		down.Store(false)
		time.Sleep(3 * time.Second)
		d.checkComplete(t, o.results(t, "new", 0), "new", 100)
		results := o.results(t, "old", 0).Results
		assert.Equal(t, len(results), 1)
		assert.Equal(t, results[0].State, adapter.StateFailed)
	})
}
