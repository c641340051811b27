package main

import (
	"encoding/json"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// readReport reads the report of an endpoint.
func readReport(t *testing.T, i *incarnation) (report map[string]any) {
	t.Helper()
	res, err := http.Get("http://" + i.address + reportPath)
	assert.NilError(t, err)
	defer res.Body.Close()
	assert.NilError(t, json.NewDecoder(res.Body).Decode(&report))
	return report
}

// TestRestartedEndpointStatesItsOwnStart guards against an upgrade in place that keeps anything but
// the id and the address of the endpoint.
func TestRestartedEndpointStatesItsOwnStart(t *testing.T) {
	e, err := startEndpoint("e", "v1", true)
	assert.NilError(t, err)
	defer func() { e.crash() }()
	first := e.incarnation()
	first.registration("ready")
	for range endpointSlots {
		first.slots <- struct{}{}
	}
	e.crash()
	assert.NilError(t, e.start("v2"))
	second := e.incarnation()
	assert.Assert(t, first.running.Err() != nil && second.running.Err() == nil)
	assert.Equal(t, second.address, first.address)

	registration, report := second.registration("ready"), readReport(t, second)
	assert.Equal(t, registration["Version"], "v2")
	assert.Equal(t, registration["Seq"], int64(1))
	assert.Equal(t, registration["born"], second.started.UnixMilli())
	assert.Equal(t, report["born"], float64(second.started.UnixMilli()))
	assert.Equal(t, report["State"], "ready")
	assert.Equal(t, report["Running"], 0.0)
}

func TestReportNeedsNoSlotAndMayLeaveOutTheStart(t *testing.T) {
	e, err := startEndpoint("e", "v1", false)
	assert.NilError(t, err)
	defer e.crash()
	i := e.incarnation()
	for range endpointSlots {
		i.slots <- struct{}{}
	}
	report := readReport(t, i)
	assert.Equal(t, report["Running"], float64(endpointSlots))
	_, stated := report["born"]
	assert.Assert(t, !stated)
	_, stated = i.registration("ready")["born"]
	assert.Assert(t, !stated)
}
