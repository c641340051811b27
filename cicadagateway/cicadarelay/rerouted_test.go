package cicadarelay

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadaview"
)

// Guards against a stream that goes on at another incarnation because its route can no longer be
// resumed after a change of the configuration.
func TestStreamOfAChangedRouteStaysAtItsIncarnation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestartedFleet(t, 3)
		config := f.relay.config()
		route, ok := config.Route("h.example", "/p/7")
		assert.Assert(t, ok)
		changed := *route
		changed.Resumable = false
		calls := 0
		f.relay.config = func() *cicadaview.Config {
			if calls++; calls == 2 { // after the first event
				f.restart("e0:1", process{"v2", 2000})
				f.restart("e1:1", process{"v2", 2001})
				config = cicadaview.NewConfig(2, []cicadaview.Route{changed}, nil, cicadaview.Limits{MaxBodyBytes: 100})
			}
			return config
		}
		_, _, text, _ := postWithID(t.Context(), f.relay, "id", "/p/7", "body")
		assert.Assert(t, calls >= 2)
		assert.Equal(t, text, "id: 1\ndata: v1\n\n")
	})
}

// Guards against a present incarnation that gets no more requests because a former one, to which a
// connection was pooled, has stated that it is leaving.
func TestFormerIncarnationThatIsLeavingMarksOnlyItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestartedFleet(t, 1)
		register := func(p process) {
			f.processes["e0:1"] = p
			f.table.SetEndpoints([]cicadaview.Endpoint{
				{ID: "e0", Service: "s", Address: "e0:1", Slots: 8, SoftwareVersion: p.version, StartedMs: p.startedMs},
			})
		}
		register(process{"v1", 1000})
		_, _, _, _ = postWithID(t.Context(), f.relay, "id", "/p/7", "body")
		time.Sleep(time.Second) // the backoff ends
		res := resume(t, f.relay, "again", "id")
		assert.Equal(t, res.StatusCode, http.StatusOK) // its connection is pooled
		f.awaitChecks()
		f.leaving = 1000
		register(process{"v2", 2000})
		_, _, text, _ := postWithID(t.Context(), f.relay, "later", "/p/7", "body")
		assert.Equal(t, text, "id: 1\ndata: v1\n\n", "the former process still serves")
		present, _ := f.table.CountVersion("s", "v2")
		assert.Equal(t, present, 1, "endpoints that may be used")
	})
}

// Guards against a stream that breaks off though the endpoint at which it began has registered
// meanwhile, so that its version is known.
func TestStreamGoesOnOnceItsIncarnationIsRegistered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestartedFleet(t, 3)
		f.restart("e0:1", process{"v2", 2000})
		f.restart("e1:1", process{"v2", 2001})
		config, calls := f.relay.config(), 0
		f.relay.config = func() *cicadaview.Config {
			if calls++; calls == 2 { // after the first event
				f.register()
			}
			return config
		}
		_, _, text, complete := postWithID(t.Context(), f.relay, "id", "/p/7", "body")
		assert.Assert(t, complete)
		assert.Equal(t, text, "id: 1\ndata: v2\n\nid: 2\ndata: v2\n\n")
	})
}
