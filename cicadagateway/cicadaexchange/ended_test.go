package cicadaexchange

import (
	"context"
	"net"
	"syscall"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
)

// This guards against taking an endpoint for dead that has only lost an answer, and one for alive that
// has started anew at its address.
func TestEnded(t *testing.T) {
	for _, c := range []struct {
		name     string
		response string // of the endpoint to the request for its report
		refused  bool
		started  int64
		ended    bool
	}{
		{name: "connection refused", refused: true, started: 1000, ended: true},
		{name: "the same incarnation", response: "HTTP/1.1 200 OK\nContent-Length: 13\n\n{\"born\":1000}", started: 1000},
		{name: "another incarnation", response: "HTTP/1.1 200 OK\nContent-Length: 13\n\n{\"born\":2000}", started: 1000, ended: true},
		{name: "no start stated", response: "HTTP/1.1 404 Not Found\nContent-Length: 0\n\n", started: 1000},
		{name: "no answer", response: "(silent)", started: 1000},
		{name: "start not known", response: "HTTP/1.1 200 OK\nContent-Length: 13\n\n{\"born\":2000}"},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				endpoint := &reportingEndpoint{connections: [][]string{{c.response}}}
				dial := func(ctx context.Context, address string) (net.Conn, error) {
					if c.refused {
						return nil, syscall.ECONNREFUSED
					}
					return endpoint.dial(ctx, address)
				}
				client := NewClient(WithDial(dial), WithIdentification(Identification{Target: "/report", Decode: decodeBorn}))
				assert.Equal(t, client.Ended(t.Context(), "e:1", c.started), c.ended)
			})
		})
	}
}
