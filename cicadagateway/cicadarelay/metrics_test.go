package cicadarelay

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"cicadalink.example/cicadagateway/cicadaplace"
	"cicadalink.example/cicadakernel/cicadaview"
)

func TestLatenciesAreRecorded(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	m := newMetrics(scope)
	m.recordCompleted(cicadaview.Stream, time.Millisecond, 20*time.Millisecond, time.Second)
	m.recordCompleted(cicadaview.Safe, 0, 0, 60*time.Millisecond)
	m.recordFailed(reasonBusy, 70*time.Millisecond)
	m.recordFailed("unknown reason", time.Second)
	samples := make(map[string]int64)
	for name, h := range scope.Snapshot().Histograms() {
		for _, n := range h.Durations() {
			samples[name] += n
		}
	}
	for name, want := range map[string]int64{
		"first_event_time+": 1, "slot_wait_time+": 2, "answer_time+kind=stream": 1, "answer_time+kind=safe": 1,
		"answer_time+kind=unsafe": 0, "failure_time+reason=busy": 1, "failure_time+reason=timeout": 0,
	} {
		assert.Equal(t, samples[name], want, name)
	}
}

// TestKeepAliveHeaders checks that responses announce the keep-alive timeout, and close
// the connection during shutdown. Otherwise a caller could send a request on a
// connection that is being closed.
func TestKeepAliveHeaders(t *testing.T) {
	shuttingDown := false
	rl := New(func() *cicadaview.Config { return nil }, cicadaplace.NewTable("a"), nil, hclog.NewNullLogger(),
		WithShuttingDown(func() bool { return shuttingDown }))
	for _, c := range []struct {
		shuttingDown          bool
		keepAlive, connection string
	}{{false, "timeout=1", ""}, {true, "", "close"}} {
		shuttingDown = c.shuttingDown
		w := httptest.NewRecorder()
		rl.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/x", nil))
		assert.Equal(t, w.Header().Get("Keep-Alive"), c.keepAlive)
		assert.Equal(t, w.Header().Get("Connection"), c.connection)
	}
}
