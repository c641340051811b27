package cicadaplace

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadaview"
)

// Guards against processes that each wait for an endpoint which two others have found unreachable, and
// against one process that is cut off and makes all others avoid an endpoint that is well.
func TestTwoReportsMakeAnEndpointAvoided(t *testing.T) {
	for name, c := range map[string]struct {
		reporters []string
		pause     time.Duration
		success   bool
		avoided   bool
	}{
		"two reporters":                   {[]string{"p1", "p2"}, 0, false, true},
		"one reporter twice":              {[]string{"p1", "p1"}, 0, false, false},
		"reports far apart":               {[]string{"p1", "p2"}, 2 * unreachableWindow, false, false},
		"the endpoint has just responded": {[]string{"p1", "p2"}, 0, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := NewTable("me")
				table.SetEndpoints([]cicadaview.Endpoint{{ID: "e1", Service: "s", Slots: 1}, {ID: "e2", Service: "s", Slots: 1}})
				if c.success {
					for range 2 {
						g, err := table.Acquire(t.Context(), SlotRequest{Service: "s"})
						assert.NilError(t, err)
						g.RecordSuccess()
						defer g.Release()
					}
				}
				for _, peer := range c.reporters {
					table.RecordPeerUnreachable(peer, "e1")
					time.Sleep(c.pause)
				}
				assert.Equal(t, time.Now().Before(table.endpointsByID["e1"].backoffUntil), c.avoided)
			})
		})
	}
}

// Guards against an unreachable endpoint of which peers are not told.
func TestUnreachableEndpointIsReported(t *testing.T) {
	var reported []string
	table := NewTable("me", WithOnUnreachable(func(id string) { reported = append(reported, id) }))
	table.SetEndpoints([]cicadaview.Endpoint{{ID: "e1", Service: "s", Slots: 2}})
	for range 2 {
		g, err := table.Acquire(t.Context(), SlotRequest{Service: "s"})
		assert.NilError(t, err)
		g.RecordUnreachable()
		g.Release()
	}
	assert.DeepEqual(t, reported, []string{"e1"}) // once for each backoff
}
