package cicadarelay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"cicadalink.example/cicadagateway/cicadaexchange"
	"cicadalink.example/cicadagateway/cicadaplace"
	"cicadalink.example/cicadakernel/cicadamemory"
	"cicadalink.example/cicadakernel/cicadaview"
	adapter "cicadalink.example/platform"
)

// endlessGuard ends a response that the relay should have given up long before, in bytes.
const endlessGuard = 64 << 20

// endlessFleet responds to requests of the path /p/sound with a whole response and to all others
// with a start and then a block again and again. It counts the bytes that were read from all
// connections that are open.
type endlessFleet struct {
	start, block string
	blocks       int // after which nothing follows until the relay closes the connection; 0 if without end
	mu           sync.Mutex
	open, most   int64
}

// A countedConn is a connection that adds what was read from it to the bytes of its fleet until
// it is closed.
type countedConn struct {
	net.Conn
	fleet *endlessFleet
	mu    sync.Mutex
	read  int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read += int64(n)
	c.fleet.count(int64(n))
	return n, err
}

func (c *countedConn) Close() error {
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fleet.count(-c.read)
	c.read = 0
	return err
}

// connectionMemory is for the read buffer of a connection, the head of a response and the buffer
// that copies a stream, in bytes.
const connectionMemory = 24 << 10

// soundBody is a whole response, which is also one event.
var soundBody = "data: " + strings.Repeat("s", 4_000) + "\n\n"

func (f *endlessFleet) dial(context.Context, string) (net.Conn, error) {
	client, server := net.Pipe()
	go f.serve(server)
	return &countedConn{Conn: client, fleet: f}, nil
}

func (f *endlessFleet) serve(conn net.Conn) {
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, req.Body)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: x\r\n", adapter.HeaderRequestID, req.Header.Get(adapter.HeaderRequestID), adapter.HeaderSignature)
	if strings.HasSuffix(req.RequestURI, "/sound") {
		_, _ = fmt.Fprintf(conn, "%sContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", head, len(soundBody), soundBody)
		return
	}
	_, err = io.WriteString(conn, head+f.start)
	for sent := 0; err == nil && sent < endlessGuard && (f.blocks == 0 || sent < f.blocks*len(f.block)); sent += len(f.block) {
		_, err = io.WriteString(conn, f.block)
	}
	if f.blocks > 0 {
		_, _ = io.Copy(io.Discard, conn)
	}
}

// count adds to the bytes of open connections.
func (f *endlessFleet) count(n int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open += n
	f.most = max(f.most, f.open)
}

// TestBytesWithoutEndFromManyEndpoints guards against a process that runs out of memory because
// many endpoints at once send responses without end, each of which is limited.
func TestBytesWithoutEndFromManyEndpoints(t *testing.T) {
	const requests = 150
	kilobyte := strings.Repeat("x", 1<<10)
	for _, test := range []struct {
		name, route, start, block string
		blocks                    int
		limit                     int64 // of the memory
	}{
		{"body", "safe", "\r\n", kilobyte, 0, 16 << 20},
		{"chunks", "safe", "Transfer-Encoding: chunked\r\n\r\n", "400\r\n" + kilobyte + "\r\n", 0, 16 << 20},
		{"event", "stream", "Content-Type: text/event-stream\r\n\r\ndata: ", kilobyte, 0, 16 << 20},
		{"heads that stall", "safe", "X-Long: ", kilobyte, 60, 4 << 20},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &endlessFleet{start: test.start, block: test.block, blocks: test.blocks}
				memory := cicadamemory.NewBudget(test.limit)
				rl := endlessRelay(f, routes[test.route], requests+1, memory)
				var wg sync.WaitGroup
				for i := range requests {
					wg.Go(func() {
						status, _, _, _ := postWithID(t.Context(), rl, fmt.Sprint("id-", i), fmt.Sprint("/p/endless-", i), "")
						assert.Check(t, status == http.StatusBadGateway || test.blocks > 0 && status == http.StatusGatewayTimeout, "status %d", status)
					})
				}
				wg.Go(func() {
					status, _, body, complete := postWithID(t.Context(), rl, "sound", "/p/sound", "")
					assert.Check(t, complete && status == http.StatusOK && body == soundBody, "status %d, %d bytes", status, len(body))
				})
				wg.Wait()
				synctest.Wait()
				assert.Check(t, f.most <= test.limit+requests*connectionMemory, "%d bytes read of open responses", f.most)
				assert.Equal(t, memory.Used(), int64(0))
			})
		})
	}
}

// endlessRelay returns a Relay with one route and an endpoint with one slot for each request.
func endlessRelay(f *endlessFleet, route cicadaview.Route, endpoints int, memory *cicadamemory.Budget) *Relay {
	table := cicadaplace.NewTable("me")
	var all []cicadaview.Endpoint
	for i := range endpoints {
		all = append(all, cicadaview.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Address: fmt.Sprint("e", i, ":1"), Slots: 1})
	}
	table.SetEndpoints(all)
	route.Host, route.Prefix, route.MaxAttempts = "h.example", "/p/", 1
	route.Targets = []cicadaview.Target{{Service: "s", Weight: 1}}
	config := cicadaview.NewConfig(1, []cicadaview.Route{route}, nil, cicadaview.Limits{MaxBodyBytes: 100})
	client := cicadaexchange.NewClient(cicadaexchange.WithDial(f.dial), cicadaexchange.WithMemory(memory))
	return New(func() *cicadaview.Config { return config }, table, client, hclog.NewNullLogger())
}

// TestAnswerWithoutMemoryIsNoCrash guards against requests that are refused as they are taken to
// crash endpoints, while it was this process that had no memory for their answers.
func TestAnswerWithoutMemoryIsNoCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &endlessFleet{start: "\r\n", block: strings.Repeat("x", 1<<10)}
		rl := endlessRelay(f, routes["safe"], 10, cicadamemory.NewBudget(1<<20))
		for i := range 10 {
			status, _, _, _ := postWithID(t.Context(), rl, fmt.Sprint("id-", i), "/p/endless", "")
			assert.Equal(t, status, http.StatusBadGateway)
		}
	})
}
