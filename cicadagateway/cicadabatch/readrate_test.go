package cicadabatch

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// TestReadsOfTheStoreServeReaders guards against readers that get no answer for as long as an owner reads the
// store for them: a read of the store that began before a reader came does not serve it, and the next one waits for
// the owner's share of the store's rate until the reader has left.
func TestReadsOfTheStoreServeReaders(t *testing.T) {
	const (
		jobs     = 40
		rate     = 20 // reads of the store per second
		duration = 8 * time.Second
	)
	for name, restarts := range map[string]bool{"the owner has started": true, "another owner was away": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newTestDeployment()
				d.stalled = true
				o := d.startOwner("o1", fixedOwners("o1"))
				time.Sleep(time.Second)
				for i := range jobs {
					assert.Equal(t, o.call(t, submitCall(fmt.Sprintf("j%d", i), manyEvents)).Status, http.StatusAccepted)
				}
				if restarts {
					o.stop()
					o = d.startOwner("o1", fixedOwners("o1"))
				} else {
					o.enqueueAndWait(func() { o.renewOwnership(time.Now(), []string{"o2"}) })
				}
				defer o.stop()
				o.store.SetRates(rate, rate)
				time.Sleep(time.Second)
				start, before := time.Now(), d.memory.Calls()["get"]
				var mu sync.Mutex
				reads, served := 0, 0
				var readers sync.WaitGroup
				for i := range 2 * jobs {
					readers.Go(func() {
						time.Sleep(time.Duration(i) * 7 * time.Millisecond)
						for time.Since(start) < duration {
							ctx, cancel := context.WithTimeout(t.Context(), callerPatience)
							resp, err := o.Handle(ctx, &Call{Kind: CallReadResults, Job: fmt.Sprintf("j%d", i/2)})
							cancel()
							mu.Lock()
							reads++
							if err == nil && resp.Status == http.StatusOK {
								served++
							}
							mu.Unlock()
							time.Sleep(500 * time.Millisecond)
						}
					})
				}
				readers.Wait()
				gets := int(d.memory.Calls()["get"] - before)
				assert.Check(t, served >= gets/2, "%d of %d readers served by %d reads of the store", served, reads, gets)
			})
		})
	}
}
