package cicadabatch

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadaview"
)

const (
	formerStart  = 1000 // Unix milliseconds
	presentStart = 2000
)

// setRestarted registers e1, with the given start and version, and e2 at v1. The process at e1 is
// of v2 and was started at presentStart.
func (m *testOwner) setRestarted(startedMs int64, version string) {
	m.table.SetEndpoints([]cicadaview.Endpoint{
		{ID: "e1", Service: "s", Address: "e1", Slots: 16, SoftwareVersion: version, StartedMs: startedMs},
		{ID: "e2", Service: "s", Address: "e2", Slots: 16, SoftwareVersion: "v1", StartedMs: formerStart},
	})
}

// Guards against items whose output continues at, or has begun at, an endpoint that has started
// anew under its ID with another software version and has not registered again.
func TestItemDoesNotContinueAcrossAnUnregisteredRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		d.startedMs = map[string]int64{"e1": presentStart, "e2": formerStart}
		o := d.startOwner("o1", fixedOwners("o1"))
		defer o.stop()
		o.setRestarted(formerStart, "v1")
		time.Sleep(time.Second)
		o.call(t, submitCall("warm-up", 20))
		time.Sleep(5 * time.Second) // the time that an output takes is known then
		d.mu.Lock()
		d.dropAfter = 7
		d.mu.Unlock()
		o.call(t, submitCall("j", 20, 20, 20, 20, 20, 20, 20, 20))
		time.Sleep(5 * time.Second)
		o.setRestarted(presentStart, "v2")
		time.Sleep(5 * time.Second)
		d.checkComplete(t, o.results(t, "j", 0), "j", 20, 20, 20, 20, 20, 20, 20, 20)
		continued := 0
		for i := range 8 {
			id := fmt.Sprint("j-", i)
			ran, after := d.addresses[id], d.resumedAfter[id]
			for n := 1; n < len(ran); n++ {
				if after[n] > 0 {
					continued++
					assert.Equal(t, ran[n], ran[n-1], "item %d goes on after event %d", i, after[n])
				}
			}
		}
		assert.Assert(t, continued > 0)
	})
}

// Guards against items that start anew though the incarnation that began them has registered by
// the time at which they are interrupted.
func TestItemContinuesOnceItsIncarnationIsRegistered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		d.dropAfter = 7
		d.startedMs = map[string]int64{"e1": presentStart, "e2": formerStart}
		o := d.startOwner("o1", fixedOwners("o1"))
		defer o.stop()
		o.setRestarted(formerStart, "v1")
		time.Sleep(time.Second)
		o.call(t, submitCall("j", 20, 20, 20, 20, 20, 20, 20, 20))
		time.Sleep(5 * eventInterval)
		o.setRestarted(presentStart, "v2")
		time.Sleep(5 * time.Second)
		d.checkComplete(t, o.results(t, "j", 0), "j", 20, 20, 20, 20, 20, 20, 20, 20)
		for i := range 8 {
			id := fmt.Sprint("j-", i)
			assert.DeepEqual(t, d.resumedAfter[id], []int{0, 7})
			assert.Equal(t, d.addresses[id][0], d.addresses[id][1])
		}
	})
}

// Guards against items that wait without end at endpoints which do not state their start, or no
// longer do so.
func TestItemsDoNotWaitForReports(t *testing.T) {
	for name, stated := range map[string]bool{"never stated": false, "stated before": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				d := newTestDeployment()
				d.dropAfter = 7
				d.startedMs = map[string]int64{"e1": formerStart, "e2": formerStart}
				d.noReports.Store(!stated)
				o := d.startOwner("o1", fixedOwners("o1"))
				defer o.stop()
				o.setRestarted(formerStart, "v1")
				time.Sleep(time.Second)
				o.call(t, submitCall("j", 20, 20, 20, 20, 20, 20, 20, 20))
				time.Sleep(3 * eventInterval)
				d.noReports.Store(true)
				time.Sleep(20 * time.Second)
				d.checkComplete(t, o.results(t, "j", 0), "j", 20, 20, 20, 20, 20, 20, 20, 20)
			})
		})
	}
}
