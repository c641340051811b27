package cicadabatch

import (
	"testing"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadagateway/cicadaplace"
	"cicadalink.example/cicadakernel/cicadaview"
	adapter "cicadalink.example/platform"
)

// Guards against a checkpoint that has the first event of a run with the origin of the incarnation
// that was registered before the endpoint stated its start.
func TestCheckpointOfAFirstEventHasTheOriginOfItsRun(t *testing.T) {
	table := cicadaplace.NewTable("me")
	table.SetEndpoints([]cicadaview.Endpoint{{ID: "e", Service: "s", Address: "e", Slots: 1, SoftwareVersion: "v1", StartedMs: 1000}})
	for range 20000 {
		grant := table.AcquireBatch(cicadaplace.SlotRequest{Service: "s"}, true)
		assert.Assert(t, grant != nil)
		r := &run{grant: grant}
		it := &item{Item: adapter.Item{ID: "i"}, state: itemRunning, run: r}
		go func() {
			grant.RecordStart(2000)
			_, _ = r.appendEvent(&sseEvent{started: true, hasData: true, id: 1, data: []byte("a")})
		}()
		for sent := false; !sent; {
			p, _, ok := it.progressSince(progressMark{})
			if sent = ok; ok {
				assert.Equal(t, p.Origin.Version, cicadaview.UnknownVersion, "event %d", p.Last)
			}
		}
		grant.Release()
	}
}
