package cicadaplace

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadaview"
)

// Guards against requests to an endpoint that has said that it is leaving before it was registered,
// while the list has the former incarnation and then its own as ready.
func TestIncarnationThatLeavesBeforeItIsRegisteredGetsNoRequests(t *testing.T) {
	list := func(startedMs int64) []cicadaview.Endpoint {
		return []cicadaview.Endpoint{{ID: "e", Service: "s", Slots: 4, StartedMs: startedMs}}
	}
	const unstated = -1
	for _, next := range []struct {
		stated, startedMs int64
		usable            bool
	}{{200, 100, false}, {200, 200, false}, {200, 300, true}, {unstated, 100, false}, {unstated, 200, true}, {0, 100, false}} {
		table := NewTable("me")
		table.SetEndpoints(list(100))
		grant, err := table.Acquire(t.Context(), SlotRequest{Service: "s"})
		assert.NilError(t, err)
		grant.RecordStart(next.stated)
		grant.RecordLeaving()
		grant.Release()
		table.SetEndpoints(list(next.startedMs))
		_, err = table.Acquire(t.Context(), SlotRequest{Service: "s"})
		assert.Equal(t, err == nil, next.usable, "stated %d, registered with start %d", next.stated, next.startedMs)
	}
}

// Guards against requests to an endpoint that has said that it is leaving, while the list of
// endpoints still has it as ready.
func TestLeavingEndpointGetsNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var said []string
		table := NewTable("me", WithOnLeaving(func(id string) { said = append(said, id) }))
		list := func(startedMs int64) []cicadaview.Endpoint {
			return []cicadaview.Endpoint{{ID: "e", Service: "s", Slots: 4, StartedMs: startedMs}}
		}
		usable := func() bool {
			grant, err := table.Acquire(t.Context(), SlotRequest{Service: "s"})
			item := table.AcquireBatch(SlotRequest{Service: "s"}, true)
			assert.Equal(t, err == nil, item != nil, "online requests and items are treated alike")
			if err != nil {
				assert.ErrorIs(t, err, ErrNoEndpoint)
				return false
			}
			grant.Release()
			item.Release()
			return true
		}
		table.SetEndpoints(list(100))
		grant, err := table.Acquire(t.Context(), SlotRequest{Service: "s"})
		assert.NilError(t, err)
		grant.RecordLeaving()
		grant.RecordLeaving()
		assert.DeepEqual(t, said, []string{"e"})
		_, slots := table.FreeSlots("s")
		assert.Equal(t, slots, 0)
		assert.Equal(t, usable(), false)
		table.SetEndpoints(list(100))
		assert.Equal(t, usable(), false, "an older list")
		table.SetEndpoints(nil)
		time.Sleep(leavingRetention / 2)
		table.SetEndpoints(list(100))
		assert.Equal(t, usable(), false, "registered again without a new start")
		grant.Release()
		table.SetEndpoints(list(200))
		assert.Equal(t, usable(), true, "a new incarnation")
		grant.RecordLeaving()
		assert.Equal(t, usable(), true, "what the former incarnation said does not hold for the new one")
		table.SetEndpoints(list(100))
		assert.Equal(t, usable(), false, "an older list after a new incarnation")
		table.SetEndpoints(nil)
		time.Sleep(2 * leavingRetention)
		table.SetEndpoints(nil)
		assert.Equal(t, len(table.leaving), 0)
	})
}
