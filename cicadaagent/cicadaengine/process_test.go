package cicadaengine

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadawire"
)

// restartingEngine serves a version of a model engine at an address that stays the same when
// it is restarted with another one.
type restartingEngine struct {
	mu      sync.Mutex
	version string
	report  http.HandlerFunc // replaces the handler of reports if set
	closes  bool             // whether each connection is closed after the report
	reports int
	runs    int
	resumed int
	conns   map[net.Conn]struct{}
	server  *httptest.Server
}

func newRestartingEngine(t *testing.T, version string) *restartingEngine {
	e := &restartingEngine{version: version, conns: make(map[net.Conn]struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", e.handleReport)
	mux.HandleFunc("POST /v1/completions", e.handleCompletion)
	e.server = httptest.NewUnstartedServer(mux)
	e.server.Config.ConnState = func(c net.Conn, state http.ConnState) {
		e.mu.Lock()
		defer e.mu.Unlock()
		if state == http.StateNew {
			e.conns[c] = struct{}{}
		}
	}
	e.server.Start()
	t.Cleanup(e.server.Close)
	return e
}

func (e *restartingEngine) handleReport(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	e.reports++
	report, closes, version := e.report, e.closes, e.version
	e.mu.Unlock()
	if closes {
		w.Header().Set("Connection", "close")
	}
	if report != nil {
		report(w, r)
		return
	}
	fmt.Fprintf(w, `{"version":%q}`, version)
}

func (e *restartingEngine) handleCompletion(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	e.mu.Lock()
	e.runs++
	if string(body) != "{}" {
		e.resumed++
	}
	version := e.version
	e.mu.Unlock()
	fmt.Fprintf(w, "data: {\"choices\":[{\"text\":%q}]}\n\ndata: [DONE]\n\n", version)
}

// restart ends all connections, as a crash does, and goes on with a version.
func (e *restartingEngine) restart(version string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version = version
	for c := range e.conns {
		_ = c.Close()
	}
	clear(e.conns)
}

// callResult is the outcome of a call to an engine.
type callResult struct {
	text     string
	software Software
	err      error
}

func runCall(t *testing.T, engine *Engine, call *cicadawire.Call) callResult {
	t.Helper()
	var result callResult
	call.Path, call.Body = "/v1/completions", []byte("{}")
	_, result.err = engine.Run(t.Context(), call, func(c Chunk) error {
		result.text, result.software = result.text+string(c.Data), c.Software
		return nil
	})
	return result
}

func continuedCall(origin string) *cicadawire.Call {
	return &cicadawire.Call{ResumeFrom: 3, ResumeText: []byte("abc"), Origin: &origin}
}

// runAfterRestart makes a call until the engine's process has answered one: the first may
// find only a connection that has just ended.
func runAfterRestart(t *testing.T, engine *Engine, newCall func() *cicadawire.Call) callResult {
	t.Helper()
	for {
		if result := runCall(t, engine, newCall()); !errors.Is(result.err, ErrCrashed) {
			return result
		}
	}
}

// Guards against outputs that are taken for, or go on at, the version that the engine had
// before it was restarted: its version is known with the first call, without another poll.
func TestRunStatesTheVersionOfTheProcessThatAnswers(t *testing.T) {
	served := newRestartingEngine(t, "v1")
	engine, err := openInference(served.server.URL)
	assert.NilError(t, err)
	begin := func() *cicadawire.Call { return &cicadawire.Call{} }
	assert.Equal(t, runCall(t, engine, begin()), callResult{"v1", Software{"v1", true}, nil})
	assert.Equal(t, runCall(t, engine, continuedCall("v1")), callResult{"v1", Software{"v1", true}, nil})

	served.restart("v2")
	other := &OtherVersionError{}
	continued := runAfterRestart(t, engine, func() *cicadawire.Call { return continuedCall("v1") })
	assert.Assert(t, errors.As(continued.err, &other))
	assert.Equal(t, other.Software, Software{"v2", true})
	assert.Equal(t, served.resumed, 1, "the call was sent to a process of another version")
	assert.Equal(t, runCall(t, engine, begin()), callResult{"v2", Software{"v2", true}, nil})
	assert.Equal(t, runCall(t, engine, continuedCall("v2")), callResult{"v2", Software{"v2", true}, nil})

	served.restart("v3")
	assert.Equal(t, runAfterRestart(t, engine, begin), callResult{"v3", Software{"v3", true}, nil})
}

// The report is read once for each connection, not for each call.
func TestReportIsReadOncePerConnection(t *testing.T) {
	served := newRestartingEngine(t, "v1")
	engine, err := openInference(served.server.URL)
	assert.NilError(t, err)
	for range 50 {
		assert.NilError(t, runCall(t, engine, &cicadawire.Call{}).err)
	}
	served.mu.Lock()
	defer served.mu.Unlock()
	assert.Equal(t, served.reports, len(served.conns))
	assert.Assert(t, served.reports < 10, "%d reports for 50 calls", served.reports)
}

// Engines that state no version run calls, and continue those of their kind if they have no
// report, but none if they have one that cannot be read or does not hold for later calls.
func TestEnginesWithoutProvedVersion(t *testing.T) {
	status := func(code int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
	}
	for _, c := range []struct {
		name      string
		report    http.HandlerFunc
		closes    bool
		software  Software
		continues bool
	}{
		{name: "no report", report: status(http.StatusNotFound), software: Software{Proved: true}, continues: true},
		{name: "failing report", report: status(http.StatusInternalServerError)},
		{name: "report that is no JSON", report: func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, "fine") }},
		{name: "connections of one request", closes: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			served := newRestartingEngine(t, "v1")
			served.report, served.closes = c.report, c.closes
			engine, err := openInference(served.server.URL)
			assert.NilError(t, err)
			begun := runCall(t, engine, &cicadawire.Call{})
			assert.NilError(t, begun.err)
			assert.Equal(t, begun.software, c.software)
			continued := runCall(t, engine, continuedCall(""))
			assert.Equal(t, continued.err == nil, c.continues)
			assert.Equal(t, served.resumed > 0, c.continues)
		})
	}
}

// A version that could not be proved once is proved by a later poll of the report.
func TestPollProvesTheVersion(t *testing.T) {
	served := newRestartingEngine(t, "v1")
	served.closes = true
	engine, err := openInference(served.server.URL)
	assert.NilError(t, err)
	assert.Equal(t, runCall(t, engine, &cicadawire.Call{}).software, Software{})
	served.mu.Lock()
	served.closes = false
	served.mu.Unlock()
	report, err := engine.LoadReport(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, report.SoftwareVersion, "v1")
	assert.Equal(t, runCall(t, engine, continuedCall("v1")).software, Software{"v1", true})
}

// An engine that is too busy for a report gets no call on the connection.
func TestBusyReportIsNotRun(t *testing.T) {
	served := newRestartingEngine(t, "v1")
	served.report = func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }
	engine, err := openInference(served.server.URL)
	assert.NilError(t, err)
	assert.Assert(t, errors.Is(runCall(t, engine, &cicadawire.Call{}).err, ErrBusy))
	assert.Equal(t, served.runs, 0)
}

// Bytes beyond a report belong to no response, and a report without end is none.
func TestReportIsBounded(t *testing.T) {
	for _, c := range []struct {
		name    string
		reply   string
		endless bool
	}{
		{"bytes after the report", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}HTTP/1.1 200 OK\r\n", false},
		{"header without end", "HTTP/1.1 200 OK\r\nX-Fill: ", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer ln.Close()
			var tasks sync.WaitGroup
			defer tasks.Wait()
			tasks.Go(func() {
				for {
					conn, err := ln.Accept()
					if err != nil {
						return
					}
					tasks.Go(func() { replyTo(conn, c.reply, c.endless) })
				}
			})
			pool := newProcessPool("http://" + ln.Addr().String())
			software, err := pool.readSoftware(t.Context())
			assert.Assert(t, err != nil || !software.Proved)
			_ = ln.Close()
		})
	}
}

// replyTo sends a reply, and more bytes until the other side closes if it is endless.
func replyTo(conn net.Conn, reply string, endless bool) {
	defer conn.Close()
	_, err := io.WriteString(conn, reply)
	for err == nil && endless {
		_, err = conn.Write(make([]byte, 4096))
	}
	_, _ = io.Copy(io.Discard, conn)
}
