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
	"sync/atomic"
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

const eventInterval = 30 * time.Millisecond

// fakeEngines simulates engines whose addresses are their ids. The path of an item
// determines its run: /j/N sends N events, /j/422 is rejected and /j/500 fails.
type fakeEngines struct {
	mu           sync.Mutex
	eventsSent   map[string]int   // by item
	runs         map[string]int   // started, by item
	resumedAfter map[string][]int // by item: the event after which each run was to resume
	active       int
	dropAfter    int                      // the first run of each item is interrupted after this event, if above 0
	stalled      bool                     // new runs send nothing
	crashRuns    int                      // the first runs of each item that end before the first event
	addresses    map[string][]string      // of the runs, by item
	emptyRests   int                      // the first runs of each item that resume it and send nothing
	leaving      string                   // address of an engine that states that it is leaving
	runsAt       map[string]int           // by address
	headers      map[string]http.Header   // of the last run, by item
	beforeDial   func()                   // called for each connection, if set
	startedMs    map[string]int64         // start that an engine reports, by address
	noReports    atomic.Bool              // connections on which the report is requested are closed
	eventsAt     map[string]int           // of an item's output at an engine that does not send N, by address
	starts       []engineStart            // of runs
	dropped      map[string]chan struct{} // closed when the runs at an engine are interrupted, by address
}

// An engineStart is the start of a run.
type engineStart struct {
	item, address string
	at            time.Time
}

func newFakeEngines() *fakeEngines {
	return &fakeEngines{eventsSent: make(map[string]int), runs: make(map[string]int), resumedAfter: make(map[string][]int), runsAt: make(map[string]int), headers: make(map[string]http.Header), addresses: make(map[string][]string), dropped: make(map[string]chan struct{})}
}

// drop interrupts the runs at an engine, those that begin later as well.
func (e *fakeEngines) drop(address string) { close(e.droppedAt(address)) }

// droppedAt returns the channel that is closed when the runs at an engine are interrupted.
func (e *fakeEngines) droppedAt(address string) chan struct{} {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dropped[address] == nil {
		e.dropped[address] = make(chan struct{})
	}
	return e.dropped[address]
}

// activeRuns returns the number of items that are running.
func (e *fakeEngines) activeRuns() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.active
}

// eventsAndRuns returns the number of events sent for an item and of its runs.
func (e *fakeEngines) eventsAndRuns(id string) (events, runs int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.eventsSent[id], e.runs[id]
}

// startedItems returns the ids of the items that have been run.
func (e *fakeEngines) startedItems() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Collect(maps.Keys(e.runs))
}

func (e *fakeEngines) dial(_ context.Context, address string) (net.Conn, error) {
	if e.beforeDial != nil {
		e.beforeDial()
	}
	clientConn, serverConn := net.Pipe()
	go e.serve(serverConn, address)
	return clientConn, nil
}

func (e *fakeEngines) serve(conn net.Conn, address string) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	req, err := http.ReadRequest(r)
	if err == nil && req.URL.Path == adapter.ReportPath {
		if e.noReports.Load() {
			return
		}
		report := fmt.Sprintf(`{"born":%d}`, e.startedMs[address])
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(report), report)
		req, err = http.ReadRequest(r)
	}
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	disconnected := make(chan struct{})
	go func() {
		_, _ = r.ReadByte()
		close(disconnected)
	}()
	id := req.Header.Get(adapter.HeaderRequestID)
	head := "X-Request-Id: " + id + "\r\nX-Server-Stamp: s\r\nConnection: close\r\n"
	if req.Header.Get(adapter.HeaderExpectInstance) != address {
		_, _ = io.WriteString(conn, "HTTP/1.1 421 Misdirected Request\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
		return
	}
	param, _ := strconv.Atoi(req.URL.Path[strings.LastIndex(req.URL.Path, "/")+1:])
	e.mu.Lock()
	lastEvent, _ := strconv.Atoi(req.Header.Get(adapter.HeaderLastEventID))
	e.resumedAfter[id] = append(e.resumedAfter[id], lastEvent)
	e.runs[id]++
	e.runsAt[address]++
	e.headers[id] = req.Header
	e.addresses[id] = append(e.addresses[id], address)
	e.starts = append(e.starts, engineStart{item: id, address: address, at: time.Now()})
	if e.leaving == address {
		head += "Server-Leaving: 1\r\n"
	}
	run := e.runs[id]
	drop := e.dropAfter > 0 && e.runs[id] == 1
	stalled := e.stalled
	crash := e.runs[id] <= e.crashRuns
	e.active++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		e.active--
		e.mu.Unlock()
	}()
	if crash {
		return
	}
	if lastEvent > 0 && e.takeEmptyRest(id) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head+"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n")
		return
	}
	if stalled {
		<-disconnected
		return
	}
	if param >= 400 {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d x\r\n%sContent-Length: 0\r\n\r\n", param, head)
		return
	}
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head+"Transfer-Encoding: chunked\r\n\r\n")
	if n, ok := e.eventsAt[address]; ok {
		param = n
	}
	dropped := e.droppedAt(address)
	for i := lastEvent + 1; i <= param; i++ {
		select {
		case <-disconnected:
			return
		case <-dropped:
			return
		case <-time.After(eventInterval):
		}
		if drop && i > e.dropAfter {
			return
		}
		e.mu.Lock()
		e.eventsSent[id]++
		e.mu.Unlock()
		event := fmt.Sprintf("id: %d\ndata: %s-%d run %d\n\n", i, id, i, run)
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event); err != nil {
			return
		}
	}
	_, _ = io.WriteString(conn, "0\r\n\r\n")
}

// takeEmptyRest reports whether a run of an item that is resumed sends nothing.
func (e *fakeEngines) takeEmptyRest(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]-1 <= e.emptyRests
}

// checkOutput checks that an output has each of n events once and in order, and that
// each run in it starts where it was asked to resume.
func (e *fakeEngines) checkOutput(t *testing.T, id, text string, n int) {
	t.Helper()
	e.mu.Lock()
	defer e.mu.Unlock()
	lines := strings.Split(text, "\n")
	assert.Equal(t, len(lines), n, "events of %s", id)
	previousRun := 0
	for i, line := range lines {
		var run int
		_, err := fmt.Sscanf(line, id+"-"+strconv.Itoa(i+1)+" run %d", &run)
		assert.NilError(t, err, "event %d of %s is %q", i+1, id, line)
		if run != previousRun {
			assert.Equal(t, e.resumedAfter[id][run-1], i, "run %d of %s was not asked to resume after event %d", run, id, i)
		}
		previousRun = run
	}
}

// testDeployment is a store and fake engines that owners share.
type testDeployment struct {
	*fakeEngines
	memory  *cicadaplatform.Memory
	backend cicadaplatform.Backend
	config  *cicadaview.Config
	cancel  []context.CancelFunc
}

func newTestDeployment() *testDeployment {
	memory := cicadaplatform.NewMemory()
	routes := []cicadaview.Route{{
		Name: "r", Host: "h", Prefix: "/j/", Kind: cicadaview.Batch, Due: 18 * time.Second, GiveUpAfter: time.Minute, MaxAttempts: 3,
		Targets: []cicadaview.Target{{Service: "s", Weight: 1}},
	}}
	d := &testDeployment{fakeEngines: newFakeEngines(), memory: memory, backend: memory.Backend()}
	d.config = cicadaview.NewConfig(1, routes, nil, cicadaview.Limits{})
	return d
}

// stopCreates makes the store refuse to create objects while the returned value is true. It
// must be called before the owners are started.
func (d *testDeployment) stopCreates() *atomic.Bool {
	down, create := new(atomic.Bool), d.backend.Create
	d.backend.Create = func(ctx context.Context, name string, value []byte) (cicadaplatform.Object, error) {
		if down.Load() {
			return cicadaplatform.Object{}, cicadaplatform.ErrUnavailable
		}
		return create(ctx, name, value)
	}
	return down
}

// testOwner is an owner with its slot table and a function to stop it.
type testOwner struct {
	*Owner
	table *cicadaplace.Table
	stop  context.CancelFunc
}

// startOwner starts an owner. owners returns the owners that may run jobs.
func (d *testDeployment) startOwner(name string, owners func() []string, opts ...Option) *testOwner {
	ctx, cancel := context.WithCancel(context.Background())
	log := hclog.NewNullLogger()
	store := cicadaplatform.NewClient(d.backend)
	var owner *Owner
	table := cicadaplace.NewTable(name)
	table.SetEndpoints([]cicadaview.Endpoint{
		{ID: "e1", Service: "s", Address: "e1", Slots: testSlots}, {ID: "e2", Service: "s", Address: "e2", Slots: testSlots},
	})
	client := cicadaexchange.NewClient(cicadaexchange.WithDial(d.dial),
		cicadaexchange.WithIdentification(cicadaexchange.Identification{Target: adapter.ReportPath, Decode: adapter.DecodeReportedStart}))
	owner = NewOwner(ctx, name, store, table, client, func() *cicadaview.Config { return d.config }, owners, log, opts...)
	f := cicadafollow.New(ctx, store, JobsPrefix, cicadafollow.NewLink(log, nil), log, owner.Apply)
	owner.Follow(f)
	m := &testOwner{Owner: owner, table: table}
	m.stop = func() {
		cancel()
		f.Wait()
		owner.wg.Wait()
		for _, address := range []string{"e1", "e2", "e3", "e4"} {
			client.CloseIdle(address)
		}
	}
	return m
}

func fixedOwners(names ...string) func() []string { return func() []string { return names } }

func submitCall(id string, events ...int) *Call {
	var items []string
	for i, n := range events {
		items = append(items, fmt.Sprintf(`{"Id":"%s-%d","Path":"/j/%d","Headers":{"X-Model":"m"},"Body":"q83v"}`, id, i, n))
	}
	return &Call{
		Kind: CallSubmit, Job: id, Host: "h", Path: "/j/", Due: 18 * time.Second, GiveUp: time.Minute,
		Body: []byte(`{"Items":[` + strings.Join(items, ",") + `]}`),
	}
}

func (m *testOwner) call(t *testing.T, c *Call) Response {
	t.Helper()
	resp, err := m.Handle(t.Context(), c)
	assert.NilError(t, err)
	return *resp
}

// occupy keeps slots of an endpoint taken by online requests of another process until ctx
// is done.
func (m *testOwner) occupy(ctx context.Context, endpoint string, slots int) {
	for {
		m.table.SetPeer("entry", map[string]cicadaplace.InFlight{endpoint: {Online: slots}})
		select {
		case <-ctx.Done():
			return
		case <-time.After(250 * time.Millisecond):
		}
	}
}
