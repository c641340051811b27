package cicadaexchange

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

const statedStart = "HTTP/1.1 200 OK\nContent-Length: 13\n\n{\"born\":%d}"

func newReportingClient(e *reportingEndpoint) *Client {
	return NewClient(WithDial(e.dial), WithIdentification(Identification{Target: "/report", Decode: decodeBorn}))
}

// Guards against requests for one incarnation that are sent on a connection whose incarnation is
// not known, because the endpoint closes connections after its report.
func TestRequestForAnIncarnationIsNotSentToAnUnknownOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		closing := "HTTP/1.1 200 OK\nConnection: close\nContent-Length: 13\n\n{\"born\":1000}"
		e := &reportingEndpoint{connections: [][]string{
			{closing},
			{closing},
			{"HTTP/1.1 200 OK\nX-Request-Id: id-1\nContent-Length: 2\n\nok"}, // of any incarnation
		}}
		c := newReportingClient(e)
		req := request("id-1")
		req.Identify, req.StartedMs = true, 1000
		outcome := outcomeOf(c.Do(t.Context(), "e:1", req))
		synctest.Wait()
		assert.Assert(t, !slices.Contains(e.methods, "POST"), "outcome %q, requests %v", outcome, e.methods)
		c.CloseIdle("e:1")
	})
}

// Guards against requests for one incarnation that are sent to another one, which refuses its
// report, though the endpoint has stated its start on earlier connections.
func TestRequestForAnIncarnationIsNotSentToOneThatRefusesItsReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const last = "HTTP/1.1 200 OK\nX-Request-Id: id-1\nConnection: close\nContent-Length: 2\n\nok"
		const refused = "HTTP/1.1 503 Service Unavailable\nX-Not-Run: 1\nContent-Length: 0\n\n"
		e := &reportingEndpoint{connections: [][]string{{fmt.Sprintf(statedStart, 1000), last}, {refused, last}}}
		c := newReportingClient(e)
		req := request("id-1")
		req.Identify, req.StartedMs = true, 1000
		assert.Equal(t, outcomeOf(c.Do(t.Context(), "e:1", req)), "start 1000")
		outcome := outcomeOf(c.Do(t.Context(), "e:1", req))
		synctest.Wait()
		c.CloseIdle("e:1")
		assert.DeepEqual(t, e.methods, []string{"GET", "POST", "GET"})
		assert.Equal(t, outcome, "other incarnation", "it was not sent")
	})
}

// Guards against a request for a former incarnation that closes all pooled connections to the
// present one, each after a report.
func TestRequestForAFormerIncarnationKeepsThePool(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const response = "HTTP/1.1 200 OK\nX-Request-Id: id-1\nContent-Length: 2\n\nok"
		const pooled = 4
		e := &reportingEndpoint{}
		for range pooled {
			e.connections = append(e.connections, []string{response, fmt.Sprintf(statedStart, 2000), response})
		}
		e.connections = append(e.connections, []string{fmt.Sprintf(statedStart, 2000), response})
		c := newReportingClient(e)
		defer c.CloseIdle("e:1")
		var responses []*Response
		for range pooled {
			res, err := c.Do(t.Context(), "e:1", request("id-1"))
			assert.NilError(t, err)
			responses = append(responses, res)
		}
		for _, res := range responses {
			res.Discard()
			res.Close()
		}
		assert.Equal(t, len(c.idle["e:1"]), pooled)
		e.methods = nil
		req := request("id-1")
		req.Identify, req.StartedMs = true, 1000
		assert.Equal(t, outcomeOf(c.Do(t.Context(), "e:1", req)), "other incarnation")
		synctest.Wait()
		assert.Assert(t, len(e.methods) <= 2, "%d reports", len(e.methods))
		assert.Assert(t, len(c.idle["e:1"]) >= pooled-1, "%d connections are left", len(c.idle["e:1"]))
	})
}
