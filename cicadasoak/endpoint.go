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
	"time"
)

const (
	service       = "assistant"
	endpointSlots = 16
	eventInterval = 40 * time.Millisecond
	streamEvents  = 40
)

// An endpoint is a stand-in of a model worker, of one version of its software.
type endpoint struct {
	id, address, version string
	slots                chan struct{}
	mu                   sync.Mutex
	server               *http.Server
}

// startEndpoint starts an endpoint at an address, or at a new one if that is empty.
func startEndpoint(id, address, version string) (*endpoint, error) {
	e := &endpoint{id: id, address: address, version: version, slots: make(chan struct{}, endpointSlots)}
	return e, e.listen()
}

func (e *endpoint) listen() error {
	address := e.address
	if address == "" {
		address = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.address, e.server = ln.Addr().String(), &http.Server{Handler: e}
	server := e.server
	go func() { _ = server.Serve(ln) }() // ends with crash
	return nil
}

// crash closes the endpoint's connections and its listener.
func (e *endpoint) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	_ = e.server.Close()
}

// registration returns the endpoint's entry in the store.
func (e *endpoint) registration(state string) map[string]any {
	return map[string]any{
		"Service": service, "Addr": e.address, "Zone": "z-a", "Version": e.version, "Slots": endpointSlots, "State": state,
		"ColdLeftMs": 0, "Seq": 1,
	}
}

// ServeHTTP runs a request. The data of each event names the stream, the version and the event.
func (e *endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	h := w.Header()
	h.Set("X-Request-Id", r.Header.Get("X-Request-Id"))
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	case <-time.After(time.Second):
		h.Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	stream := r.Header.Get("X-Request-Id")
	if resumes := r.Header.Get("Resumes"); resumes != "" {
		stream = resumes
	}
	h.Set("X-Server-Stamp", "stamp."+e.id+"."+r.Header.Get("X-Request-Id"))
	if strings.HasPrefix(r.URL.Path, markerPrefix) {
		_, _ = io.WriteString(w, "ok")
		return
	}
	h.Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.sendEvents(r.Context(), w, stream, last)
}

func (e *endpoint) sendEvents(ctx context.Context, w http.ResponseWriter, stream string, last int) {
	control := http.NewResponseController(w)
	for n := last + 1; n <= streamEvents; n++ {
		select {
		case <-time.After(eventInterval):
		case <-ctx.Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, eventData(stream, e.version, n)); err != nil || control.Flush() != nil {
			return
		}
	}
}

func eventData(stream, version string, n int) string {
	return fmt.Sprintf("%s %s %d", stream, version, n)
}
