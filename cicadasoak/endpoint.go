package main

import (
	"context"
	"encoding/json"
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

const (
	service       = "assistant"
	endpointSlots = 16
	eventInterval = 40 * time.Millisecond
	streamEvents  = 40
	reportPath    = "/cicadalink/report"
)

// An endpoint is a stand-in of a model worker. It keeps its id and its address when it starts
// again, and nothing else.
type endpoint struct {
	id          string
	statesStart bool // whether registrations and reports have the start
	observe     observer
	// taken is set while a fault keeps the endpoint from serving.
	taken atomic.Bool

	mu      sync.Mutex
	address string
	current *incarnation
	proxy   *proxy // in front of it, or nil
}

// An incarnation is one lifetime of an endpoint, of one version of its software.
type incarnation struct {
	id, address, version string
	reachedAt            string // the address that it registers
	statesStart          bool
	started              time.Time
	slots                chan struct{}
	heartbeats           atomic.Int64
	listener             net.Listener
	server               *http.Server
	running              context.Context // done after a crash
	cancel               context.CancelFunc
	// unframed makes streams end with their connection.
	unframed atomic.Bool
	observe  observer
}

// An observer sees each request that an endpoint is about to run, with its body.
type observer func(r *http.Request, body []byte)

// startEndpoint starts an endpoint of a version at a new address.
func startEndpoint(id, version string, statesStart bool, observers ...observer) (*endpoint, error) {
	e := &endpoint{id: id, address: "127.0.0.1:0", statesStart: statesStart, observe: func(r *http.Request, body []byte) {
		for _, observe := range observers {
			observe(r, body)
		}
	}}
	return e, e.start(version)
}

// start starts an incarnation of a version at the endpoint's address.
func (e *endpoint) start(version string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	ln, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.address = ln.Addr().String()
	i := newIncarnation(e.id, e.address, version, e.statesStart)
	i.observe = e.observe
	i.listener, i.server = ln, &http.Server{Handler: i}
	if e.proxy != nil {
		i.reachedAt = e.proxy.address()
	}
	e.current = i
	go func() { _ = i.server.Serve(ln) }() // ends with crash
	return nil
}

// newIncarnation returns an incarnation that starts now and does not listen yet.
func newIncarnation(id, address, version string, statesStart bool) *incarnation {
	i := &incarnation{
		id: id, address: address, reachedAt: address, version: version, statesStart: statesStart,
		started: time.Now(), slots: make(chan struct{}, endpointSlots), observe: func(*http.Request, []byte) {},
	}
	i.running, i.cancel = context.WithCancel(context.Background())
	return i
}

// putBehind lets the endpoint be reached through a proxy from its next registration on.
func (e *endpoint) putBehind(p *proxy) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.proxy, e.current.reachedAt = p, p.address()
}

// incarnation returns the newest incarnation.
func (e *endpoint) incarnation() *incarnation {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.current
}

// crash closes the endpoint's connections and its listener.
func (e *endpoint) crash() {
	i := e.incarnation()
	i.cancel()
	_ = i.listener.Close() // the server may not know it yet
	if e.proxy != nil {
		e.proxy.each((*link).reset)
	}
	_ = i.server.Close()
}

// take reserves the endpoint for a fault that ends it and starts it again, unless another one has.
func (e *endpoint) take() bool { return e.taken.CompareAndSwap(false, true) }

func (e *endpoint) giveBack() { e.taken.Store(false) }

// stated adds the start to what the incarnation says of itself, if it states its start.
func (i *incarnation) stated(fields map[string]any) map[string]any {
	if i.statesStart {
		fields["born"] = i.started.UnixMilli()
	}
	return fields
}

// registration returns the next entry of the incarnation in the store.
func (i *incarnation) registration(state string) map[string]any {
	return i.stated(map[string]any{
		"Service": service, "Addr": i.reachedAt, "Zone": "z-a", "Version": i.version, "Slots": endpointSlots, "State": state,
		"ColdLeftMs": 0, "Seq": i.heartbeats.Add(1),
	})
}

// report returns the incarnation's report of its load.
func (i *incarnation) report() map[string]any {
	return i.stated(map[string]any{
		"Stage": "both", "Models": []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []any{}}},
		"Busy": false, "Seq": 0, "Waiting": 0, "Running": len(i.slots), "KvUsed": 0, "KvTotal": 90000, "Handles": 0,
		"Pinned": 0, "held": 0, "State": "ready", "Next": 0, "Runs": []any{},
	})
}

// ServeHTTP runs a request, or answers with the report, which needs no slot. The data of each event names the stream, the version and the event.
func (i *incarnation) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	h := w.Header()
	h.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != i.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == reportPath {
		h.Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(i.report())
		return
	}
	select {
	case i.slots <- struct{}{}:
		defer func() { <-i.slots }()
	case <-time.After(time.Second):
		h.Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	i.observe(r, body)
	stream := r.Header.Get("X-Request-Id")
	if resumes := r.Header.Get("Resumes"); resumes != "" {
		stream = resumes
	}
	h.Set("X-Server-Stamp", "stamp."+i.id+"."+r.Header.Get("X-Request-Id"))
	if !strings.HasPrefix(r.URL.Path, streamPrefix) && !strings.HasPrefix(r.URL.Path, batchPrefix) {
		_, _ = io.WriteString(w, "ok")
		return
	}
	h.Set("Content-Type", "text/event-stream")
	if i.unframed.Load() {
		h.Set("Transfer-Encoding", "identity")
	}
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	i.sendEvents(r.Context(), w, stream, last)
}

func (i *incarnation) sendEvents(ctx context.Context, w http.ResponseWriter, stream string, last int) {
	control := http.NewResponseController(w)
	for n := last + 1; n <= streamEvents; n++ {
		select {
		case <-time.After(eventInterval):
		case <-ctx.Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventData(stream, i.version, n)); err != nil || control.Flush() != nil {
			return
		}
	}
}

func eventData(stream, version string, n int) string {
	return fmt.Sprintf("%s %s %d", stream, version, n)
}
