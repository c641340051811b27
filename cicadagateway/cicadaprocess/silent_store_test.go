package cicadaprocess

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"cicadalink.example/cicadagateway/cicadafollow"
	"cicadalink.example/cicadagateway/cicadapeer"
	"cicadalink.example/cicadakernel"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadaview"
	adapter "cicadalink.example/platform"
)

const (
	testApplyTime = 2 * time.Second // within which a configuration is in force
	testStateTime = 100 * time.Millisecond
	testWatchWait = 15 * time.Second
)

// silentStore is a store with one configuration, whose connections to some processes fall silent.
type silentStore struct {
	mu      sync.Mutex
	version int64
	changed chan struct{} // closed at a change
	ages    map[int]int   // how often the connections of a process have fallen silent
	conns   []net.Conn
}

func (s *silentStore) change() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *silentStore) silence(process int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ages[process]++
}

func (s *silentStore) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *silentStore) age(process int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ages[process]
}

func (s *silentStore) serve(conn net.Conn, process int) {
	age := s.age(process)
	r := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if s.age(process) == age {
			s.await(req.URL.Query().Get("after"))
		}
		if s.age(process) != age {
			continue
		}
		s.mu.Lock()
		body := strconv.FormatInt(s.version, 10)
		s.mu.Unlock()
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
}

// await waits for a version after the given one, if any, for as long as a watch lasts.
func (s *silentStore) await(after string) {
	from, err := strconv.ParseInt(after, 10, 64)
	if err != nil {
		return
	}
	timer := time.NewTimer(testWatchWait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if version > from {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		}
	}
}

// backend returns the store as a process sees it.
func (s *silentStore) backend(process int) cicadaplatform.Backend {
	transport := cicadaplatform.NewTransport(func() *http.Transport {
		return &http.Transport{MaxIdleConnsPerHost: 4, DialContext: func(context.Context, string, string) (net.Conn, error) {
			client, server := net.Pipe()
			s.mu.Lock()
			s.conns = append(s.conns, client, server)
			s.mu.Unlock()
			go s.serve(server, process)
			return client, nil
		}}
	}, "http://store/")
	read := func(ctx context.Context, over http.RoundTripper, query string) (cicadaplatform.Page, error) {
		ctx, cancel := context.WithTimeout(ctx, testWatchWait+2*time.Second)
		defer cancel()
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://store/"+query, http.NoBody)
		if err != nil {
			return cicadaplatform.Page{}, err
		}
		res, err := over.RoundTrip(req)
		if err != nil {
			return cicadaplatform.Page{}, cicadaplatform.ErrInDoubt
		}
		defer res.Body.Close()
		body, _ := io.ReadAll(res.Body)
		version, err := strconv.ParseInt(string(body), 10, 64)
		object := cicadaplatform.NewObject(adapter.ConfigName, version, fmt.Appendf(nil, `{"Version":%d}`, version))
		return cicadaplatform.NewPage([]cicadaplatform.Object{object}, version, false), err
	}
	return cicadaplatform.Backend{
		List: func(ctx context.Context, _, _ string, _ int) (cicadaplatform.Page, error) {
			return read(ctx, transport, "")
		},
		Watch: func(ctx context.Context, _ string, from int64) (cicadaplatform.Page, error) {
			return read(ctx, transport.Watches(), "?after="+strconv.FormatInt(from, 10))
		},
	}
}

// startConfigFollowers returns processes that follow the configuration and tell each other of it, of
// which the first polls the store.
func startConfigFollowers(ctx context.Context, s *silentStore, process *cicadakernel.Process, n int) []*Node {
	nodes := make([]*Node, n)
	for i := range nodes {
		log := hclog.NewNullLogger()
		node := &Node{process: process, log: log, store: cicadaplatform.NewClient(s.backend(i))}
		node.link = cicadafollow.NewLink(log, nil)
		node.registry = cicadafollow.NewRegistry(ctx, node.link, log, adapter.DecodeEndpoint, func([]cicadaview.Endpoint) {})
		poll := cicadafollow.WithPoll(func() bool { return i == 0 })
		node.configFollower = cicadafollow.New(ctx, node.store, adapter.ConfigPrefix, node.link, log, node.applyConfig, poll)
		node.endpointFollower = cicadafollow.New(ctx, node.store, adapter.EndpointsPrefix, node.link, log, func(cicadafollow.Change) {}, poll)
		node.followersStarted.Store(true)
		nodes[i] = node
	}
	return nodes
}

// exchangeStates makes the processes tell each other which configuration they have.
func exchangeStates(ctx context.Context, nodes []*Node) {
	ticker := time.NewTicker(testStateTime)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, from := range nodes {
			for _, to := range nodes {
				if c := from.config.Load(); c != nil && from != to {
					to.catchUp(cicadapeer.State{ConfigVersion: c.Version()})
				}
			}
		}
	}
}

// keepConnections makes the processes make some calls at once, so that they keep as many connections.
func keepConnections(ctx context.Context, nodes []*Node) {
	var wg sync.WaitGroup
	for _, node := range nodes {
		for range 4 {
			wg.Go(func() { _, _ = node.store.List(ctx, adapter.ConfigPrefix, "", 1) })
		}
	}
	wg.Wait()
}

// Guards against configurations that are not in force in time after the connections of some or all
// processes to the store fell silent: a poll, the list that a peer's word calls for, and the watches
// each waited on them.
func TestConfigurationIsInForceAfterSilence(t *testing.T) {
	process := cicadakernel.NewProcess("test", &cicadakernel.CommonSettings{}, io.Discard)
	for _, silent := range [][]int{{0}, {1}, {0, 1, 2}} {
		for _, at := range []time.Duration{5 * time.Second, 5300 * time.Millisecond, 5600 * time.Millisecond} {
			for _, delay := range []time.Duration{0, 500 * time.Millisecond, 1500 * time.Millisecond, 4 * time.Second} {
				t.Run(fmt.Sprint(silent, at, delay), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { checkConfigurationAfterSilence(t, process, silent, at, delay) })
				})
			}
		}
	}
}

// checkConfigurationAfterSilence lets the connections of some processes fall silent at a time, and
// changes the configuration after a delay.
func checkConfigurationAfterSilence(t *testing.T, process *cicadakernel.Process, silent []int, at, delay time.Duration) {
	s := &silentStore{version: 1, changed: make(chan struct{}), ages: make(map[int]int)}
	defer s.closeAll()
	ctx, cancel := context.WithCancel(t.Context())
	nodes := startConfigFollowers(ctx, s, process, 3)
	var wg sync.WaitGroup
	wg.Go(func() { exchangeStates(ctx, nodes) })
	time.Sleep(at)
	keepConnections(ctx, nodes)
	for _, i := range silent {
		s.silence(i)
	}
	time.Sleep(delay)
	s.change()
	time.Sleep(max(testApplyTime, testContactTime-delay))
	for i, node := range nodes {
		assert.Check(t, node.config.Load().Version() == 2, "process %d has version %d", i, node.config.Load().Version())
	}
	cancel()
	wg.Wait()
	time.Sleep(2 * testWatchWait) // until the store has answered all watches
}
