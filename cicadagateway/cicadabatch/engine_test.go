package cicadabatch

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"cicadalink.example/cicadagateway/cicadaexchange"
	"cicadalink.example/cicadagateway/cicadafollow"
	"cicadalink.example/cicadagateway/cicadaplace"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadaview"
	adapter "cicadalink.example/platform"
)

const eventTime = 30 * time.Millisecond

// engines is a fleet of stand-in engines, reached by their ids as addresses. An
// item's path says what becomes of it: /j/N makes N events, /j/422 can never be
// done and /j/500 fails.
type engines struct {
	mu      sync.Mutex
	events  map[string]int // made, by item
	starts  map[string]int
	asked   map[string][]int // the event after which each run of an item was asked to go on
	running int
	cutAt   int // the first run of each item is cut after this event, if above 0
	silent  bool
}

func newEngines() *engines {
	return &engines{events: make(map[string]int), starts: make(map[string]int), asked: make(map[string][]int)}
}

// active returns how many items run.
func (e *engines) active() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.running
}

// made returns the events made of an item, and in how many runs.
func (e *engines) made(id string) (events, runs int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.events[id], e.starts[id]
}

// items returns the ids of the items that ran.
func (e *engines) items() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Collect(maps.Keys(e.starts))
}

func (e *engines) dial(_ context.Context, address string) (net.Conn, error) {
	near, far := net.Pipe()
	go e.serve(far, address)
	return near, nil
}

func (e *engines) serve(conn net.Conn, address string) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	req, err := http.ReadRequest(r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	gone := make(chan struct{})
	go func() {
		_, _ = r.ReadByte()
		close(gone)
	}()
	id := req.Header.Get(adapter.HeaderRequestID)
	head := "X-Request-Id: " + id + "\r\nX-Server-Stamp: s\r\nConnection: close\r\n"
	if req.Header.Get(adapter.HeaderExpect) != address {
		_, _ = io.WriteString(conn, "HTTP/1.1 421 Misdirected Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		return
	}
	n, _ := strconv.Atoi(req.URL.Path[strings.LastIndex(req.URL.Path, "/")+1:])
	e.mu.Lock()
	from, _ := strconv.Atoi(req.Header.Get(adapter.HeaderLastEventID))
	e.asked[id] = append(e.asked[id], from)
	e.starts[id]++
	run := e.starts[id]
	cut := e.cutAt > 0 && e.starts[id] == 1
	silent := e.silent
	e.running++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.running--
		e.mu.Unlock()
	}()
	if silent {
		<-gone
		return
	}
	if n >= 400 {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d x\r\n%sContent-Length: 0\r\n\r\n", n, head)
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head+"Transfer-Encoding: chunked\r\n\r\n")
	for i := from + 1; i <= n; i++ {
		select {
		case <-gone:
			return
		case <-time.After(eventTime):
		}
		if cut && i > e.cutAt {
			return
		}
		e.mu.Lock()
		e.events[id]++
		e.mu.Unlock()
		event := fmt.Sprintf("id: %d\ndata: %s-%d run %d\n\n", i, id, i, run)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return
		}
	}
	_, _ = io.WriteString(conn, "0\r\n\r\n")
}

// checkOutput checks that a text has each of n events once and in order, and that
// each run in it goes on where it was asked to.
func (e *engines) checkOutput(t *testing.T, id, text string, n int) {
	t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	lines := strings.Split(text, "\n")
	assert.Equal(t, len(lines), n, "events of %s", id)
	before := 0
	for i, line := range lines {
		var run int
		_, err := fmt.Sscanf(line, id+"-"+strconv.Itoa(i+1)+" run %d", &run)
		assert.NilError(t, err, "event %d of %s is %q", i+1, id, line)
		if run != before {
			assert.Equal(t, e.asked[id][run-1], i, "run %d of %s was not asked to go on after event %d", run, id, i)
		}
		before = run
	}
}

// site is a deployment of owners before stand-in engines.
type site struct {
	*engines
	memory  *cicadaplatform.Memory
	backend cicadaplatform.Backend
	config  *cicadaview.Config
	cancel  []context.CancelFunc
}

func newSite() *site {
	memory := cicadaplatform.NewMemory()
	routes := []cicadaview.Route{{
		Name: "r", Host: "h", Prefix: "/j/", Kind: cicadaview.Batch, Due: 18 * time.Second, GiveUpAfter: time.Minute, Attempts: 3,
		Targets: []cicadaview.Target{{Service: "s", Weight: 1}},
	}}
	s := &site{engines: newEngines(), memory: memory, backend: memory.Backend()}
	s.config = cicadaview.NewConfig(1, routes, nil, cicadaview.Limits{})
	return s
}

// member is one owner and what a test does with it.
type member struct {
	*Owner
	table *cicadaplace.Table
	stop  context.CancelFunc
}

// start starts an owner that takes the owners given as the ones that may run jobs.
func (s *site) start(name string, owners func() []string, opts ...Option) *member {
	ctx, cancel := context.WithCancel(context.Background())
	log := hclog.NewNullLogger()
	store := cicadaplatform.NewClient(s.backend)
	var owner *Owner
	table := cicadaplace.NewTable(name)
	table.SetEndpoints([]cicadaview.Endpoint{
		{ID: "e1", Service: "s", Address: "e1", Slots: 4}, {ID: "e2", Service: "s", Address: "e2", Slots: 4},
	})
	client := cicadaexchange.NewClient(cicadaexchange.WithDial(s.dial))
	owner = NewOwner(ctx, name, store, table, client, func() *cicadaview.Config { return s.config }, owners, log, opts...)
	f := cicadafollow.New(ctx, store, JobsPrefix, cicadafollow.NewLink(log, nil), log, owner.Apply)
	m := &member{Owner: owner, table: table}
	m.stop = func() {
		cancel()
		f.Wait()
		owner.wg.Wait()
	}
	return m
}

func only(names ...string) func() []string { return func() []string { return names } }

func submission(id string, events ...int) *Call {
	var items []string
	for i, n := range events {
		items = append(items, fmt.Sprintf(`{"Id":"%s-%d","Path":"/j/%d","Headers":{"X-Model":"m"},"Body":"q83v"}`, id, i, n))
	}
	return &Call{
		Kind: CallSubmit, Job: id, Host: "h", Path: "/j/", Due: 18 * time.Second, GiveUp: time.Minute,
		Body: []byte(`{"Items":[` + strings.Join(items, ",") + `]}`),
	}
}

func (m *member) call(t *testing.T, c *Call) Answer {
	t.Helper()
	a, err := m.Handle(t.Context(), c)
	assert.NilError(t, err)
	return *a
}
