package cicadabatch

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against items that start anew because the message with their progress was sent to their new
// owner over a connection that had fallen silent.
func TestHandOverIsRepeatedAfterSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		var owner atomic.Value
		owner.Store("o1")
		owners := func() []string { return []string{owner.Load().(string)} }
		var o2 *testOwner
		var moved atomic.Int64 // Unix milliseconds
		o1 := d.startOwner("o1", owners, WithHandOver(func(ctx context.Context, job string, p []Progress) error {
			if time.Now().UnixMilli()-moved.Load() < 500 {
				<-ctx.Done()
				return ctx.Err()
			}
			_, err := o2.Handle(ctx, &Call{Kind: CallHandOver, Job: job, Progress: p})
			return err
		}))
		defer o1.stop()
		o2 = d.startOwner("o2", owners)
		defer o2.stop()
		time.Sleep(time.Second)
		o1.call(t, submitCall("j", 100, 100))
		time.Sleep(1500 * time.Millisecond)
		moved.Store(time.Now().UnixMilli())
		owner.Store("o2")
		time.Sleep(5 * time.Second)
		d.checkComplete(t, o2.results(t, "j", 0), "j", 100, 100)
		wanted := 100 + int((handOverTimeout+2*tickInterval)/eventInterval) // those until the second message are made again
		for _, id := range d.startedItems() {
			n, _ := d.eventsAndRuns(id)
			assert.Assert(t, n <= wanted, "%s: %d events sent, the run did not resume", id, n)
		}
	})
}
