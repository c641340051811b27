package cicadaslope

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"

	"cicadalink.example/cicadaagent/cicadaendpoint"
	"cicadalink.example/cicadaentry/cicadafleet"
	"cicadalink.example/cicadakernel"
	"cicadalink.example/cicadakernel/cicadaconfig"
	"cicadalink.example/cicadakernel/cicadamember"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadawire"
)

const (
	linkSettle  = 2 * time.Second
	linkMeasure = 6 * time.Second
	loopback    = "127.0.0.1:0"
)

var linkCounts = []int{0, 30, 60, 120}

func init() {
	measurements.Register("links", measureLinks)
}

// measureLinks grows the number of agents that one entry is linked to. The
// processor time and memory are of both ends together.
func measureLinks(ctx context.Context) ([]Slope, error) {
	var idle, processor, memory, bytes []Point
	for _, n := range linkCounts {
		cost, err := linked(ctx, n)
		if err != nil {
			return nil, err
		}
		x := float64(n)
		idle = append(idle, Point{x, cost.idle})
		processor = append(processor, Point{x, cost.processor - cost.idle})
		memory = append(memory, Point{x, cost.memory})
		bytes = append(bytes, Point{x, cost.bytes})
	}
	return []Slope{
		fit("agents/processor", "share of a core per idle agent", idle),
		fit("links/processor", "share of a core per link, both ends", processor),
		fit("links/memory", "bytes per link, both ends", memory),
		fit("links/bytes", "bytes/s per link, both directions", bytes),
	}, nil
}

type linkCost struct {
	idle      float64
	processor float64
	memory    float64
	bytes     float64
}

// countingConn counts the bytes of a connection.
type countingConn struct {
	net.Conn
	n *atomic.Int64
}

// Read counts what it reads.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.n.Add(int64(n))
	return n, err
}

// Write counts what it writes.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.n.Add(int64(n))
	return n, err
}

func linked(ctx context.Context, n int) (linkCost, error) {
	ctx, cancel := context.WithCancel(ctx)
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer cancel()
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") }))
	defer engine.Close()
	memory := cicadaplatform.NewMemory()
	client := cicadaplatform.NewClient(memory.Backend())
	source := cicadaconfig.NewStore(client, rand.Uint64)
	resources, err := cicadaconfig.ParseResources("bench.yaml", []byte("kind: group\nname: all\nslots: 8\nsubset: 100000\n"))
	if err != nil {
		return linkCost{}, err
	}
	if _, err := source.Apply(ctx, cicadaconfig.Request{Operator: "bench", Resources: resources}); err != nil {
		return linkCost{}, err
	}
	memory.SetVM(cicadaplatform.VM{Name: "entry-1", Role: cicadafleet.RoleEntry, DataCentre: "dc-1", State: cicadaplatform.VMLive})
	before := heap()
	common := &cicadakernel.Common{Log: cicadakernel.LogSettings{Level: "off", Format: "text"}}
	process := cicadakernel.NewProcess("bench", common, io.Discard)
	for i := range n {
		name := fmt.Sprintf("w-%04d", i)
		agent, err := cicadaendpoint.New(&cicadaendpoint.Settings{
			Common: *common, Name: name, DataCentre: "dc-1", Group: "all", Listen: loopback,
			Engine: cicadaendpoint.EngineSettings{Adapter: "plain", Address: engine.URL},
		}, process)
		if err != nil {
			return linkCost{}, merry.Errorf("start agent: %w", err)
		}
		memory.SetVM(cicadaplatform.VM{
			Name: name, Role: cicadafleet.RoleEndpoint, DataCentre: "dc-1", Address: agent.Address(), Group: "all", State: cicadaplatform.VMLive,
		})
		tasks.Go(func() { _ = agent.Serve(ctx) })
	}
	var bytes atomic.Int64
	pool := cicadawire.NewPool(cicadawire.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return countingConn{conn, &bytes}, nil
	}))
	if err := wait(ctx, linkSettle); err != nil {
		return linkCost{}, err
	}
	idle := processorTime()
	if err := wait(ctx, linkMeasure); err != nil {
		return linkCost{}, err
	}
	idle = processorTime() - idle
	fleet := cicadafleet.New(cicadamember.Member{Name: "entry-1", DataCentre: "dc-1"}, client, source, pool)
	if err := fleet.Start(ctx); err != nil {
		return linkCost{}, err
	}
	defer fleet.Close()
	if err := wait(ctx, linkSettle); err != nil {
		return linkCost{}, err
	}
	used, moved := processorTime(), bytes.Load()
	if err := wait(ctx, linkMeasure); err != nil {
		return linkCost{}, err
	}
	return linkCost{
		idle:      float64(idle) / float64(linkMeasure),
		processor: float64(processorTime()-used) / float64(linkMeasure),
		memory:    heap() - before,
		bytes:     float64(bytes.Load()-moved) / linkMeasure.Seconds(),
	}, nil
}
