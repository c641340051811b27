package cicadabatch

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"cicadalink.example/cicadagateway/cicadaexchange"
	"cicadalink.example/cicadagateway/cicadaplace"
	"cicadalink.example/cicadakernel/cicadaview"
)

// Guards against samples of failed and of resumed runs, which would make an endpoint look faster or
// slower than it is.
func TestSamplesOfSpeed(t *testing.T) {
	const head = "\r\nX-Request-Id: i\r\nX-Server-Stamp: s\r\nContent-Length: "
	for _, test := range []struct {
		name, response       string
		resumed              int
		firstEvent, failures int64
	}{
		{"whole", "HTTP/1.1 200 OK" + head + "32\r\n\r\nid: 1\ndata: a\n\nid: 2\ndata: b\n\n", 0, 1, 0},
		{"failed", "HTTP/1.1 500 E" + head + "0\r\n\r\n", 0, 0, 1},
		{"rejected", "HTTP/1.1 422 R" + head + "0\r\n\r\n", 0, 0, 0},
		{"resumed", "HTTP/1.1 200 OK" + head + "16\r\n\r\nid: 3\ndata: a\n\n", 2, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			scope := tally.NewTestScope("", nil)
			table := cicadaplace.NewTable("me", cicadaplace.WithSpeedMetrics(scope))
			table.SetEndpoints([]cicadaview.Endpoint{{ID: "e", Service: "s", Address: "e:1", Slots: 8}})
			client := cicadaexchange.NewClient(cicadaexchange.WithDial(func(context.Context, string) (net.Conn, error) {
				conn, endpoint := net.Pipe()
				go func() {
					defer endpoint.Close()
					if _, err := http.ReadRequest(bufio.NewReader(endpoint)); err == nil {
						_, _ = io.WriteString(endpoint, test.response)
					}
				}()
				return conn, nil
			}))
			grant := table.AcquireBatch(cicadaplace.SlotRequest{Service: "s"}, true)
			r := &run{grant: grant, firstEvent: test.resumed, lastEvent: test.resumed}
			req := cicadaexchange.Request{Method: http.MethodPost, Target: "/p/1", Host: "h", Header: make(http.Header)}
			_, _ = r.execute(t.Context(), client, req, grant.Endpoint())
			counters := scope.Snapshot().Counters()
			assert.Equal(t, counters["speed_samples+kind=first-event"].Value(), test.firstEvent)
			assert.Equal(t, counters["speed_errors+"].Value(), test.failures)
		})
	}
}
