package cicadarelay

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	adapter "cicadalink.example/platform"
)

// checkUnregisteredStream begins a stream at processes of v2 that have not registered, after those of
// v1 have stated their starts, and checks that processes of v1 do not continue it.
func checkUnregisteredStream(t *testing.T, report func(conn net.Conn, p process) bool) {
	f := newRestartedFleet(t, 1)
	for i := range 20 {
		_, _, text, _ := postWithID(t.Context(), f.relay, fmt.Sprint("former-", i), "/p/7", "body")
		assert.Equal(t, text, "id: 1\ndata: v1\n\n")
		time.Sleep(10 * time.Second) // backoffs end
	}
	f.awaitChecks()
	f.restartingEndpoints.report = report
	f.restart("e0:1", process{"v2", 2000})
	f.restart("e1:1", process{"v2", 2001})
	_, _, text, complete := postWithID(t.Context(), f.relay, "id", "/p/7", "body")
	assert.Equal(t, complete, false)
	assert.Equal(t, text, "id: 1\ndata: v2\n\n")
	f.restart("e0:1", process{"v1", 1000})
	f.restart("e1:1", process{"v1", 1000})
	time.Sleep(time.Minute / 4) // backoffs end
	res := resume(t, f.relay, "again", "id")
	rest, _ := io.ReadAll(res.Body)
	assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable, "a stream of v2 goes on with %q", rest)
}

// Guards against streams whose origin is the registered version although the endpoint has stated
// another start, on connections that it closed after its report.
func TestStreamOfAnEndpointThatClosesAfterItsReportIsNotOfTheRegisteredVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		checkUnregisteredStream(t, func(conn net.Conn, p process) bool {
			report := fmt.Sprintf(`{"born":%d}`, p.startedMs)
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
			return false
		})
	})
}

// Guards against streams whose origin is the registered version although the incarnation that
// began them has refused its report.
func TestStreamOfAnEndpointThatRefusesItsReportIsNotOfTheRegisteredVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		checkUnregisteredStream(t, func(conn net.Conn, _ process) bool {
			_, err := io.WriteString(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n")
			return err == nil
		})
	})
}

// Guards against streams that begin at an unregistered incarnation and go on at an endpoint which
// is registered without a software version.
func TestUnknownVersionIsNotThatOfAnEndpointWithoutOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestartedFleet(t, 1)
		f.restart("e0:1", process{"v2", 2000})
		f.restart("e1:1", process{"v2", 2001})
		_, _, text, _ := postWithID(t.Context(), f.relay, "id", "/p/7", "body")
		assert.Equal(t, text, "id: 1\ndata: v2\n\n")
		f.restart("e0:1", process{"", 3000})
		f.restart("e1:1", process{"", 3001})
		f.register()
		res := resume(t, f.relay, "again", "id")
		rest, _ := io.ReadAll(res.Body)
		assert.Equal(t, res.StatusCode, http.StatusServiceUnavailable, "a stream of v2 goes on with %q", rest)
	})
}

// Guards against endpoints that serve, and get no streams because they do not respond to the
// request for their report.
func TestStreamsBeginAtEndpointsWithoutAReport(t *testing.T) {
	for name, report := range map[string]func(conn net.Conn, p process) bool{
		"reset":  func(net.Conn, process) bool { return false },
		"silent": func(net.Conn, process) bool { time.Sleep(time.Second); return false },
		"slow": func(conn net.Conn, _ process) bool {
			time.Sleep(400 * time.Millisecond)
			_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"born\":1000}")
			return err == nil
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newRestartedFleet(t, 3)
				f.restartingEndpoints.report = report
				served := 0
				for i := range 5 {
					_, _, text, _ := postWithID(t.Context(), f.relay, fmt.Sprint("id-", i), "/p/7", "body")
					if text != "" {
						served++
					}
					time.Sleep(10 * time.Second) // backoffs end
				}
				assert.Assert(t, served > 0, "%d of 5 streams", served)
			})
		})
	}
}

// Guards against deadlines that do not include the time in which the endpoint was asked for its
// report.
func TestDeadlineIncludesTheTimeOfTheReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestartedFleet(t, 1)
		f.restartingEndpoints.report = func(conn net.Conn, _ process) bool {
			time.Sleep(140 * time.Millisecond)
			_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"born\":1000}")
			return err == nil
		}
		begun := time.Now()
		f.onSend = func(req *http.Request) {
			ms, err := strconv.Atoi(req.Header.Get(adapter.HeaderDeadline))
			assert.NilError(t, err)
			over := time.Since(begun) + time.Duration(ms)*time.Millisecond - 5*time.Second
			assert.Check(t, over < 50*time.Millisecond, "the endpoint may work %v longer than the caller waits", over)
		}
		_, _, _, _ = postWithID(t.Context(), f.relay, "id", "/p/7", "body")
		f.awaitChecks()
	})
}
