package cicadabatch

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadaview"
)

// setVersions registers endpoints with the given software versions, e1 the first.
func (m *testOwner) setVersions(versions ...string) {
	var all []cicadaview.Endpoint
	for i, v := range versions {
		id := fmt.Sprint("e", i+1)
		if v != "" {
			all = append(all, cicadaview.Endpoint{ID: id, Service: "s", Address: id, Slots: 4, SoftwareVersion: v})
		}
	}
	m.table.SetEndpoints(all)
}

// versionsOf returns the versions at which an item ran.
func (e *fakeEngines) versionsOf(item string, versions map[string]string) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var ran []string
	for _, address := range e.addresses[item] {
		ran = append(ran, versions[address])
	}
	return ran
}

var fourVersions = map[string]string{"e1": "v1", "e2": "v2", "e3": "v1", "e4": "v2"}

// Guards against items whose output continues, after a broken run, at another software
// version.
func TestItemContinuesAtTheVersionThatBeganIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		d.dropAfter = 7
		o := d.startOwner("o1", fixedOwners("o1"))
		defer o.stop()
		o.setVersions("v1", "v2", "v1", "v2")
		time.Sleep(time.Second)
		o.call(t, submitCall("j", 20, 20, 20, 20, 20, 20, 20, 20))
		time.Sleep(4 * time.Second)
		d.checkComplete(t, o.results(t, "j", 0), "j", 20, 20, 20, 20, 20, 20, 20, 20)
		for i := range 8 {
			ran := d.versionsOf(fmt.Sprint("j-", i), fourVersions)
			assert.Equal(t, len(ran), 2)
			assert.Equal(t, ran[0], ran[1], "item %d", i)
		}
	})
}

// Guards against items that another owner takes over from a checkpoint and continues at
// another software version.
func TestNextOwnerContinuesAtTheVersionThatBeganTheItem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		var owner atomic.Value
		owner.Store("o1")
		owners := func() []string { return []string{owner.Load().(string)} }
		var o2 *testOwner
		o1 := d.startOwner("o1", owners, WithReplication(func(ctx context.Context, p Checkpoint) error {
			resp, err := o2.Handle(ctx, &Call{Kind: CallCheckpoint, Job: p.Job, Progress: p.Items})
			if err == nil && resp.Status != http.StatusOK {
				return errCheckpointGap
			}
			return err
		}))
		o2 = d.startOwner("o2", owners)
		defer o2.stop()
		o1.setVersions("v1", "v2", "v1", "v2")
		o2.setVersions("v1", "v2", "v1", "v2")
		time.Sleep(time.Second)
		o1.call(t, submitCall("j", 200, 200, 200, 200, 200, 200))
		time.Sleep(3 * time.Second)
		o1.stop()
		owner.Store("o2")
		time.Sleep(8 * time.Second)
		d.checkComplete(t, o2.results(t, "j", 0), "j", 200, 200, 200, 200, 200, 200)
		for i := range 6 {
			ran := d.versionsOf(fmt.Sprint("j-", i), fourVersions)
			assert.Equal(t, len(ran), 2)
			assert.Equal(t, ran[0], ran[1], "item %d", i)
		}
	})
}

// Guards against items that wait for a software version that has left.
func TestItemStartsAnewWhereItsVersionIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		d.dropAfter = 7
		o := d.startOwner("o1", fixedOwners("o1"))
		defer o.stop()
		o.setVersions("v1")
		time.Sleep(time.Second)
		o.call(t, submitCall("j", 20))
		time.Sleep(5 * eventInterval)
		o.setVersions("", "v2")
		time.Sleep(3 * time.Second)
		d.checkComplete(t, o.results(t, "j", 0), "j", 20)
		assert.DeepEqual(t, d.resumedAfter["j-0"], []int{0, 0})
		assert.DeepEqual(t, d.versionsOf("j-0", fourVersions), []string{"v1", "v2"})
	})
}

// Guards against items that wait without end for the busy endpoints of their software version
// while others are idle.
func TestItemStartsAnewWhereItsVersionIsBusyForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		d.dropAfter = 7
		o := d.startOwner("o1", fixedOwners("o1"))
		defer o.stop()
		o.setVersions("v1")
		time.Sleep(time.Second)
		o.call(t, submitCall("warm-up", 20))
		time.Sleep(2 * time.Second)
		o.call(t, submitCall("j", 20))
		time.Sleep(5 * eventInterval)
		o.setVersions("v1", "v2")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go o.occupy(ctx, "e1", 4)
		time.Sleep(10 * time.Second)
		d.checkComplete(t, o.results(t, "j", 0), "j", 20)
		ran := d.versionsOf("j-0", fourVersions)
		assert.Equal(t, ran[len(ran)-1], "v2")
		assert.Equal(t, d.resumedAfter["j-0"][len(ran)-1], 0)
	})
}
