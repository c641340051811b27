package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// A worker is a stand-in of a model worker of one version of its software.
type worker struct {
	id, service, zone, version, address string
	events                              func(tokens int) int // that it makes for a request; nil: it is no model worker
	interval                            time.Duration
	slots                               chan struct{}
	queued                              chan struct{}
	born                                int64
	ln                                  net.Listener
	server                              *http.Server
	running                             context.Context
	stop                                context.CancelFunc
	log                                 *record
	mu                                  sync.Mutex
	conns                               map[net.Conn]bool
	onEvent                             func(version, id string, n int)
	leaving                             atomic.Bool
	onRun                               func(id string, reached time.Time) // nil: none
}

type workerConfig struct {
	id, service, zone, version, ip string
	outputs                        func(tokens int) int
	slots                          int
	interval                       time.Duration
}

func startWorker(c workerConfig, log *record) (*worker, error) {
	ln, err := net.Listen("tcp", net.JoinHostPort(c.ip, "0"))
	if err != nil {
		return nil, err
	}
	w := &worker{
		id: c.id, service: c.service, zone: c.zone, version: c.version, address: ln.Addr().String(), events: c.outputs, interval: c.interval,
		slots: make(chan struct{}, c.slots), queued: make(chan struct{}, 24), born: time.Now().UnixMilli(), ln: ln, log: log,
		conns: make(map[net.Conn]bool),
	}
	w.running, w.stop = context.WithCancel(context.Background())
	w.server = &http.Server{Handler: w, ConnState: func(c net.Conn, s http.ConnState) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if s == http.StateClosed || s == http.StateHijacked {
			delete(w.conns, c)
		} else {
			w.conns[c] = true
		}
	}}
	go func() { _ = w.server.Serve(ln) }()
	return w, nil
}

func (w *worker) register(s *store, state string) {
	s.set("servers", w.id, map[string]any{
		"Service": w.service, "Addr": w.address, "Zone": w.zone, "Version": w.version, "Slots": cap(w.slots), "State": state,
		"ColdLeftMs": 0, "Seq": 1, "born": w.born, "Stage": "both", "Models": []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []string{}}},
	})
	w.log.add("server %s version %s registered as %s", w.id, w.version, state)
}

// end ends the worker. Its connections are reset, as those of a crash are.
func (w *worker) end() {
	w.log.add("server %s version %s ends", w.id, w.version)
	w.stop()
	_ = w.ln.Close()
	w.mu.Lock()
	for c := range w.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	w.mu.Unlock()
}

// leave drains the worker: it says so, serves for drain after the store has taken that in, and a little
// longer, and ends.
func (w *worker) leave(s *store, drain time.Duration) {
	w.leaving.Store(true)
	w.register(s, "draining")
	time.Sleep(drain)
	s.unset("servers", w.id)
	w.end()
}

// eventData returns the data of an event of the output that a version writes for a request.
func eventData(version, id string, n int) string {
	return fmt.Sprintf("%s:%s:%d", version, id, n)
}

// wholeOutput returns the data of all events of an output.
func wholeOutput(version, id string, events int) string {
	parts := make([]string, events)
	for n := range parts {
		parts[n] = eventData(version, id, n+1)
	}
	return strings.Join(parts, "\n")
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	reached := time.Now()
	rw.Header()["Date"] = nil
	if w.leaving.Load() {
		rw.Header().Set("Server-Leaving", "1")
		rw.Header().Set("Connection", "close")
	}
	switch r.URL.Path {
	case "/cicadalink/report":
		writeJSON(rw, http.StatusOK, map[string]any{"Stage": "both", "Models": []any{}, "Busy": false, "Seq": 1, "Waiting": len(w.queued), "Running": len(w.slots), "KvUsed": 0, "KvTotal": 100000, "Handles": 0, "born": w.born})
		return
	case "/health":
		rw.Header().Set("X-Instance", w.id)
		if w.leaving.Load() {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		rw.WriteHeader(http.StatusOK)
		return
	}
	id := r.Header.Get("X-Request-Id")
	rw.Header().Set("X-Request-Id", id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		rw.Header().Set("X-Not-Run", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if !w.admit(r.Context()) {
		rw.Header().Set("X-Not-Run", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-w.slots }()
	w.log.add("run id=%s at=%s version=%s method=%s path=%s last-event=%s", id, w.id, w.version, r.Method, r.RequestURI, r.Header.Get("Last-Event-Id"))
	rw.Header().Set("X-Server-Stamp", "stamp."+w.id+"."+id)
	if w.onRun != nil {
		w.onRun(id, reached)
	}
	if w.events == nil {
		w.plain(rw, r, id, body)
		return
	}
	w.stream(rw, r, id)
}

// admit waits for a slot. It reports false if the queue is full.
func (w *worker) admit(ctx context.Context) bool {
	select {
	case w.slots <- struct{}{}:
		return true
	default:
	}
	select {
	case w.queued <- struct{}{}:
		defer func() { <-w.queued }()
	default:
		return false
	}
	select {
	case w.slots <- struct{}{}:
		return true
	case <-ctx.Done():
	case <-w.running.Done():
	}
	panic(http.ErrAbortHandler)
}

func (w *worker) plain(rw http.ResponseWriter, r *http.Request, id string, body []byte) {
	select {
	case <-time.After(w.interval):
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	}
	text := fmt.Sprintf("%s done, %d bytes", id, len(body))
	rw.Header().Set("Content-Length", strconv.Itoa(len(text)))
	rw.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(rw, text)
}

func (w *worker) stream(rw http.ResponseWriter, r *http.Request, id string) {
	rw.Header().Set("Content-Type", "text/event-stream")
	rw.WriteHeader(http.StatusOK)
	_, tokens, _ := strings.Cut(r.Header.Get("X-Token-Count"), ",")
	most, _ := strconv.Atoi(tokens)
	events := w.events(most)
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	ticker := time.NewTicker(w.interval)
	defer ticker.Stop()
	for n := from + 1; n <= events; n++ {
		select {
		case <-ticker.C:
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-w.running.Done():
			panic(http.ErrAbortHandler)
		}
		if _, err := fmt.Fprintf(rw, "id: %d\ndata: %s\n\n", n, eventData(w.version, id, n)); err != nil {
			panic(http.ErrAbortHandler)
		}
		if err := http.NewResponseController(rw).Flush(); err != nil {
			panic(http.ErrAbortHandler)
		}
		w.reportEvent(id, n)
	}
}

// setOnEvent sets the function that is called for each event that was sent.
func (w *worker) setOnEvent(f func(version, id string, n int)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onEvent = f
}

func (w *worker) reportEvent(id string, n int) {
	w.mu.Lock()
	f := w.onEvent
	w.mu.Unlock()
	if f != nil {
		f(w.version, id, n)
	}
}
