package cicadaexchange

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/tools/txtar"
	"gotest.tools/v3/assert"
)

// reportingEndpoint sends scripted responses, those of one connection after the other, and
// records the methods of the requests.
type reportingEndpoint struct {
	connections [][]string
	mu          sync.Mutex
	methods     []string
}

func (e *reportingEndpoint) dial(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	responses := e.connections[0]
	e.connections = e.connections[1:]
	go func() {
		defer server.Close()
		r := bufio.NewReader(server)
		for _, response := range responses {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			e.mu.Lock()
			e.methods = append(e.methods, req.Method)
			e.mu.Unlock()
			_, _ = io.Copy(io.Discard, req.Body)
			if response == "(silent)" {
				break
			}
			_, _ = io.WriteString(server, strings.ReplaceAll(response, "\n", "\r\n"))
		}
		if len(responses) > 1 || responses[0] == "(silent)" {
			_, _ = io.Copy(io.Discard, r)
		}
	}()
	return client, nil
}

func decodeBorn(body []byte) int64 {
	text, ok := strings.CutPrefix(string(body), `{"born":`)
	n, err := strconv.ParseInt(strings.TrimSuffix(text, "}"), 10, 64)
	if !ok || err != nil {
		return 0
	}
	return n
}

// TestIncarnations reads from each file what an endpoint sends and what a request must lead to.
// It guards against requests that reach another incarnation than the one they are meant for.
func TestIncarnations(t *testing.T) {
	files, err := filepath.Glob("testdata/incarnation/*.txtar")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 10)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkIncarnation(t, file) })
		})
	}
}

func checkIncarnation(t *testing.T, file string) {
	archive, err := txtar.ParseFile(file)
	assert.NilError(t, err)
	e, req, want := &reportingEndpoint{}, request("id-1"), ""
	req.Identify = true
	for _, f := range archive.Files {
		text := strings.TrimSuffix(string(f.Data), "\n")
		switch f.Name {
		case "request":
			_, err := fmt.Sscanf(text, "start: %d", &req.StartedMs)
			assert.NilError(t, err)
		case "want":
			want = text
		default:
			e.connections = append(e.connections, strings.Split(text, "\n---\n"))
		}
	}
	c := NewClient(WithDial(e.dial), WithIdentification(Identification{Target: "/report", Decode: decodeBorn}))
	got := outcomeOf(c.Do(t.Context(), "e:1", req))
	synctest.Wait()
	assert.Equal(t, got+", requests "+strings.Join(e.methods, " "), want)
	c.CloseIdle("e:1")
}

func outcomeOf(res *Response, err error) string {
	switch {
	case errors.Is(err, ErrOtherIncarnation) && errors.Is(err, ErrNotSent):
		return "other incarnation"
	case errors.Is(err, ErrNotSent):
		return "not sent"
	case err != nil:
		return err.Error()
	}
	body, err := res.ReadAll(100)
	res.Close()
	if err != nil || string(body.Bytes()) != "ok" {
		return fmt.Sprintf("body %v, error %v", body, err)
	}
	return fmt.Sprint("start ", res.StartedMs())
}

// Guards against a pooled connection to a former incarnation that keeps requests from the present
// one.
func TestPooledConnectionOfAFormerIncarnationIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		report := func(startedMs int) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\nContent-Length: 13\n\n{\"born\":%d}", startedMs)
		}
		const response = "HTTP/1.1 200 OK\nX-Request-Id: id-1\nContent-Length: 2\n\nok"
		e := &reportingEndpoint{connections: [][]string{{report(1000), response, response}, {report(2000), response, response}}}
		c := NewClient(WithDial(e.dial), WithIdentification(Identification{Target: "/report", Decode: decodeBorn}))
		for _, startedMs := range []int64{0, 1000, 2000, 2000} {
			req := request("id-1")
			req.Identify, req.StartedMs = true, startedMs
			want := "start 1000"
			if startedMs == 2000 {
				want = "start 2000"
			}
			assert.Equal(t, outcomeOf(c.Do(t.Context(), "e:1", req)), want)
		}
		assert.Equal(t, strings.Join(e.methods, " "), "GET POST POST GET POST POST")
		c.CloseIdle("e:1")
	})
}

// Guards against an endpoint that is told of more time than is left, because it took long to state
// its start.
func TestDeadlineIsThatOfTheTimeOfSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		left := ""
		c := NewClient(WithIdentification(Identification{Target: "/report", Decode: decodeBorn}),
			WithDial(func(context.Context, string) (net.Conn, error) {
				client, server := net.Pipe()
				go func() {
					r := bufio.NewReader(server)
					_, _ = http.ReadRequest(r)
					time.Sleep(100 * time.Millisecond)
					_, _ = io.WriteString(server, "HTTP/1.1 200 OK\r\nContent-Length: 13\r\n\r\n{\"born\":1000}")
					req, err := http.ReadRequest(r)
					if err == nil {
						left = req.Header.Get("X-Left")
					}
					_ = server.Close()
				}()
				return client, nil
			}))
		req := request("id-1")
		req.Identify, req.DeadlineHeader, req.Deadline = true, "X-Left", time.Now().Add(time.Second)
		_, err := c.Do(t.Context(), "e:1", req)
		assert.Assert(t, errors.Is(err, ErrInvalidResponse))
		assert.Equal(t, left, "900")
	})
}
