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
	heartbeat     = 1200 * time.Millisecond
	eventInterval = 20 * time.Millisecond
	workerSlots   = 8
)

// An arrival is a request that reached a worker.
type arrival struct {
	at     time.Time
	worker string
	id     string
	path   string
	sentAt time.Time // by the client, if it says so
}

// A fleet holds the workers and records what reaches them.
type fleet struct {
	store *store
	rec   *recorder

	mu       sync.Mutex
	arrivals []arrival
	crashes  []time.Time
	started  int
	all      []*worker
	// onRequest may replace the normal handling of a request. It reports whether it did.
	onRequest func(wk *worker, w http.ResponseWriter, r *http.Request, body []byte) bool
}

// A worker is one lifetime of a stand-in worker.
type worker struct {
	fleet                      *fleet
	id, service, zone, address string
	events                     int
	born                       int64
	ln                         net.Listener
	srv                        *http.Server
	conns                      sync.Map // net.Conn
	slots                      chan struct{}
	stopped                    atomic.Bool
	registered                 atomic.Bool
	leaving                    atomic.Bool // its answers say so
	stopBeat                   context.CancelFunc
}

// start starts a worker at an address, or at a free port if address is empty, and registers it.
func (f *fleet) start(service, zone, address string, events int) (*worker, error) {
	if address == "" {
		address = "127.0.0.1:0"
	}
	ln, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	f.started++
	n := f.started
	f.mu.Unlock()
	wk := &worker{
		fleet: f, id: fmt.Sprintf("i-%s-%d", zone, n), service: service, zone: zone, address: ln.Addr().String(), events: events,
		born: time.Now().UnixMilli(), ln: ln, slots: make(chan struct{}, workerSlots),
	}
	wk.srv = &http.Server{Handler: wk, ConnState: func(c net.Conn, s http.ConnState) {
		if s == http.StateClosed || s == http.StateHijacked {
			wk.conns.Delete(c)
			return
		}
		wk.conns.Store(c, true)
	}}
	go func() { _ = wk.srv.Serve(ln) }()
	f.mu.Lock()
	f.all = append(f.all, wk)
	f.mu.Unlock()
	wk.register("ready")
	f.rec.note("worker %s of %s starts at %s", wk.id, service, wk.address)
	return wk, nil
}

// register writes the worker's entry.
func (wk *worker) register(state string) time.Time {
	wk.registered.Store(true)
	return wk.fleet.store.put("servers", wk.id, map[string]any{
		"Service": wk.service, "Addr": wk.address, "Zone": wk.zone, "Version": "v1", "Slots": workerSlots, "State": state,
		"ColdLeftMs": 0, "Seq": 0, "born": wk.born,
	})
}

// unregister removes the worker's entry without a report that it drains.
func (wk *worker) unregister() time.Time {
	wk.registered.Store(false)
	wk.leaving.Store(true)
	return wk.fleet.store.remove("servers", wk.id)
}

// crash ends the worker at once: its channels are reset and its port refuses.
func (wk *worker) crash() {
	if wk.stopped.Swap(true) {
		return
	}
	_ = wk.ln.Close()
	wk.conns.Range(func(k, _ any) bool {
		c := k.(net.Conn)
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
		return true
	})
	_ = wk.srv.Close()
}

// crashAndReturn crashes the worker. Its entry goes after three intervals of silence, and a new
// lifetime starts at its address after back.
func (wk *worker) crashAndReturn(back time.Duration) {
	if wk.stopped.Load() {
		return
	}
	wk.crash()
	wk.fleet.mu.Lock()
	wk.fleet.crashes = append(wk.fleet.crashes, time.Now())
	wk.fleet.mu.Unlock()
	wk.fleet.rec.note("worker %s crashes", wk.id)
	time.AfterFunc(3*heartbeat, func() { wk.unregister() })
	time.AfterFunc(back, func() {
		if _, err := wk.fleet.start(wk.service, wk.zone, wk.address, wk.events); err != nil {
			wk.fleet.rec.note("worker at %s does not start again: %v", wk.address, err)
		}
	})
}

// stopAll ends all workers.
func (f *fleet) stopAll() {
	f.mu.Lock()
	all := append([]*worker(nil), f.all...)
	f.mu.Unlock()
	for _, wk := range all {
		wk.crash()
	}
}

// snapshot returns the arrivals so far.
func (f *fleet) snapshot() []arrival {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]arrival(nil), f.arrivals...)
}

func (f *fleet) crashTimes() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]time.Time(nil), f.crashes...)
}

// ServeHTTP implements http.Handler.
func (wk *worker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	h := w.Header()
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		h.Set("X-Request-Id", id)
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != wk.id {
		h.Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.Set("X-Weight-Versions", "1")
	if wk.leaving.Load() {
		h.Set("Server-Leaving", "1")
		h.Set("Connection", "close")
	}
	switch r.URL.Path {
	case "/cicadalink/report":
		h.Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{
			"Stage": "both", "Models": []any{map[string]any{"Name": "m", "Version": 1, "Adapters": []any{}}}, "Busy": false, "Seq": 0,
			"Waiting": 0, "Running": len(wk.slots), "KvUsed": 0, "KvTotal": 90000, "Handles": 0, "born": wk.born,
		})
		return
	case "/health":
		h.Set("X-Instance", wk.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	a := arrival{at: time.Now(), worker: wk.id, id: id, path: r.URL.Path}
	if ns, err := strconv.ParseInt(r.Header.Get("X-Sent-Ns"), 10, 64); err == nil {
		a.sentAt = time.Unix(0, ns)
	}
	wk.fleet.mu.Lock()
	wk.fleet.arrivals = append(wk.fleet.arrivals, a)
	wk.fleet.mu.Unlock()
	select {
	case wk.slots <- struct{}{}:
		defer func() { <-wk.slots }()
	case <-time.After(time.Second):
		h.Set("X-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	h.Set("X-Server-Stamp", "stamp."+wk.id+"."+id)
	if wk.fleet.onRequest != nil && wk.fleet.onRequest(wk, w, r, body) {
		return
	}
	wk.answer(w, r)
}

// answer sends the normal answer: events on the routes of streams and batch jobs, else a short body.
func (wk *worker) answer(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/plain/") {
		_, _ = io.WriteString(w, wk.service+" "+r.Header.Get("X-Request-Id"))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= wk.events; n++ {
		if !sendEvent(w, r, n) {
			return
		}
		select {
		case <-time.After(eventInterval):
		case <-r.Context().Done():
			return
		}
	}
}

func sendEvent(w http.ResponseWriter, r *http.Request, n int) bool {
	if _, err := fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", n, r.Header.Get("X-Request-Id"), n); err != nil {
		return false
	}
	return http.NewResponseController(w).Flush() == nil
}
