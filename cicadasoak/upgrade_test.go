package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"runtime"
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

// TestEndpointUpgradedAmongFaultsReportsLate guards against upgrades among other faults that the store knows
// of at once, that report although the endpoint has crashed, or that start an endpoint which another fault keeps down.
func TestEndpointUpgradedAmongFaultsReportsLate(t *testing.T) {
	for name, c := range map[string]struct {
		taken, crashes bool
		delay          time.Duration
		version, want  string // served, and registered
	}{
		"reports": {false, false, 0, "v2", "v2"},
		"crashes": {false, true, time.Hour, "v2", "v1"},
		"taken":   {true, false, 0, "v1", "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s, e := newUpgradeSoak(t)
			first := e.incarnation()
			e.taken.Store(c.taken)
			s.upgradeInPlace(t.Context(), c.delay)
			if c.crashes {
				for e.incarnation() == first {
					runtime.Gosched()
				}
				assert.Equal(t, s.registered(t).Version, "v1")
				e.crash()
			}
			s.faults.Wait()
			assert.Equal(t, e.incarnation().version, c.version)
			assert.Equal(t, s.registered(t).Version, c.want)
			assert.Equal(t, e.taken.Load(), c.taken)
		})
	}
}

// TestEndpointThatHasLeftIsNotRegistered guards against endpoints that report after they were removed.
func TestEndpointThatHasLeftIsNotRegistered(t *testing.T) {
	s, e := newUpgradeSoak(t)
	assert.Assert(t, s.registerServing(e, e.incarnation()))
	assert.Equal(t, s.registered(t).Seq, 2)
	s.endpoints = nil
	assert.Assert(t, !s.registerServing(e, e.incarnation()))
	assert.Equal(t, s.registered(t).Seq, 2)
}

// newUpgradeSoak returns a soak without processes that has one endpoint, registered with v1.
func newUpgradeSoak(t *testing.T) (*soak, *endpoint) {
	t.Helper()
	log := hclog.NewNullLogger()
	e, err := startEndpoint("e", "v1", true)
	assert.NilError(t, err)
	t.Cleanup(func() { e.crash() })
	d := &deployment{store: newStore(), log: log, endpoints: []*endpoint{e}}
	d.register(e.incarnation(), "ready")
	return &soak{deployment: d, checks: newChecks(log), log: log, random: newRandom(1), releases: 1}, e
}

// registered returns the registration of the endpoint e.
func (s *soak) registered(t *testing.T) (r registeredEndpoint) {
	t.Helper()
	s.store.mu.Lock()
	defer s.store.mu.Unlock()
	assert.NilError(t, json.Unmarshal(s.store.kinds["servers"]["e"].Spec, &r))
	return r
}
