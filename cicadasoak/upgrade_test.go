package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// serve lets an incarnation serve a stream from an event on for a time and returns what it sent.
func serve(i *incarnation, stream string, last int, d time.Duration) string {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, streamPrefix+stream, http.NoBody)
	r.Header.Set("X-Request-Id", stream)
	r.Header.Set("X-Expect-Instance", i.id)
	if last > 0 {
		r.Header.Set("Last-Event-Id", strconv.Itoa(last))
	}
	w := httptest.NewRecorder()
	i.ServeHTTP(w, r)
	return w.Body.String()
}

// outputOf returns the data of events, as a job lists it.
func outputOf(events string) string {
	var data []string
	for line := range strings.Lines(events) {
		if d, ok := strings.CutPrefix(strings.TrimSpace(line), "data: "); ok {
			data = append(data, d)
		}
	}
	return strings.Join(data, "\n")
}

// TestUpgradeWithinAStreamIsFound guards against a scenario of upgrades that would pass although streams
// and outputs go on at another version of the endpoint that began them.
func TestUpgradeWithinAStreamIsFound(t *testing.T) {
	for next, mixed := range map[string]bool{"v1": false, "v2": true} {
		synctest.Test(t, func(t *testing.T) {
			const begun = 10
			before := serve(newIncarnation("e", "a", "v1", true), "s", 0, begun*eventInterval+eventInterval/2)
			after := serve(newIncarnation("e", "a", next, true), "s", begun, time.Minute)
			checks := newChecks(hclog.NewNullLogger())
			checks.maxMixed = 0
			c, s := newCaller(nil, checks, newRandom(1)), &stream{}
			s.name = "s"
			assert.NilError(t, c.readEvents(strings.NewReader(before), s))
			assert.Equal(t, s.last, begun)
			assert.NilError(t, c.readEvents(strings.NewReader(after), s))
			s.end(checks)
			assert.Equal(t, checks.violations[mixedVersions] == 1 && checks.broken(), mixed, next)
			checks.checkOutput("s", outputOf(before+after))
			assert.Equal(t, checks.counts["outputs of two versions"] == 1, mixed, next)
			assert.Equal(t, len(checks.violations) > 0, mixed, fmt.Sprint(checks.violations))
		})
	}
}

type registeredEndpoint struct {
	Version string
	Seq     int
	Born    int64 `json:"born"`
}

// TestUpgradedEndpointReportsLate guards against upgrades that the store knows of at once, which leave
// nothing to find.
func TestUpgradedEndpointReportsLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const delay = 3 * time.Second
		log := hclog.NewNullLogger()
		d := &deployment{store: newStore(), log: log}
		s := &soak{deployment: d, log: log}
		registered := func() (r registeredEndpoint) {
			synctest.Wait()
			d.store.mu.Lock()
			defer d.store.mu.Unlock()
			assert.NilError(t, json.Unmarshal(d.store.kinds["servers"]["e"].Spec, &r))
			return r
		}
		old := newIncarnation("e", "a", "v1", true)
		s.sendHeartbeats(old, 0)
		assert.Equal(t, registered().Version, "v1")
		time.Sleep(heartbeatInterval)
		assert.Equal(t, registered().Seq, 2)
		old.cancel()
		upgraded := newIncarnation("e", "a", "v2", true)
		s.sendHeartbeats(upgraded, delay)
		time.Sleep(delay - time.Millisecond)
		assert.Equal(t, registered().Version, "v1")
		assert.Equal(t, registered().Seq, 2)
		time.Sleep(time.Millisecond)
		r := registered()
		assert.Equal(t, r.Version, "v2")
		assert.Equal(t, r.Seq, 1)
		assert.Equal(t, r.Born, upgraded.started.UnixMilli())
		upgraded.cancel()
		d.heartbeats.Wait()
	})
}
