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

// TestEndOfOlderRunKeepsSlot guards against the end of a run that was abandoned which frees the
// slot, and takes the output, of a later run of its item.
func TestEndOfOlderRunKeepsSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		o := d.startOwner("o1", fixedOwners("o1"))
		defer o.stop()
		time.Sleep(time.Second)
		o.call(t, submitCall("j", manyEvents))
		time.Sleep(time.Second)
		ran, kept, lastEvent := false, false, 0
		o.enqueueAndWait(func() {
			it := o.jobs["j"].items[0]
			grant := it.grant
			ran = grant != nil
			o.endRun(it, &run{lastEvent: 3 * manyEvents}, grant, runBroken, nil)
			kept, lastEvent = it.grant == grant && it.state == itemRunning, it.lastEvent
		})
		assert.Assert(t, ran, "the item does not run")
		assert.Assert(t, kept, "the later run lost its slot")
		assert.Equal(t, lastEvent, 0)
	})
}
