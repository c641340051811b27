package cicadarelay

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests to an endpoint that has said in a response, of any status, that it
// is leaving.
func TestLeavingIsTakenFromAllResponses(t *testing.T) {
	const rest = "X-Request-Id: ID\r\nConnection: close\r\nContent-Length: 2\r\nServer-Leaving: 1\r\n"
	responses := map[string]string{
		"success": "HTTP/1.1 200 OK\r\nX-Server-Stamp: s\r\n" + rest + "\r\nok",
		"error":   "HTTP/1.1 500 Internal Server Error\r\nX-Server-Stamp: s\r\n" + rest + "\r\nno",
		"full":    "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\n" + rest + "\r\nno",
		"bad":     "HTTP/1.1 404 Not Found\r\nX-Server-Stamp: s\r\n" + rest + "\r\nno",
	}
	for name, response := range responses {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &endpointScript{responses: []string{response, wholeResponse, wholeResponse}}
				rl, _ := newRelay(s, routes["unsafe"], 1)
				_, _, _, _ = post(t.Context(), rl, "/p/7", "body")
				assert.Equal(t, len(s.requests), 1)
				time.Sleep(time.Minute)
				status, header, _, _ := post(t.Context(), rl, "/p/7", "body")
				assert.Equal(t, status, http.StatusServiceUnavailable)
				assert.Assert(t, header.Get("Retry-After") != "")
				assert.Equal(t, len(s.requests), 1)
			})
		})
	}
	synctest.Test(t, func(t *testing.T) {
		misdirected := strings.Replace(responses["full"], "503 Service Unavailable", "421 Misdirected Request", 1)
		s := &endpointScript{responses: []string{misdirected, wholeResponse}}
		rl, _ := newRelay(s, routes["unsafe"], 1)
		_, _, _, _ = post(t.Context(), rl, "/p/7", "body")
		time.Sleep(time.Minute)
		status, _, _, _ := post(t.Context(), rl, "/p/7", "body")
		assert.Equal(t, status, http.StatusOK, "another endpoint has responded")
	})
}
