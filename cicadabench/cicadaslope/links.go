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
	linkSettleTime  = 2 * time.Second
	linkMeasureTime = 6 * time.Second
	loopbackAddress = "127.0.0.1:0"
)

var linkCounts = []int{0, 30, 60, 120}

func init() {
	measurements.Register("links", measureLinks)
}

// measureLinks measures the cost of the links between one entry and several numbers of
// agents. CPU time and memory are those of both ends, which share one process.
func measureLinks(ctx context.Context) ([]Slope, error) {
	var idleCPU, linkCPU, memory, traffic []Point
	for _, n := range linkCounts {
		cost, err := measureLinkCost(ctx, n)
		if err != nil {
			return nil, err
		}
		x := float64(n)
		idleCPU = append(idleCPU, Point{x, cost.idleCPU})
		linkCPU = append(linkCPU, Point{x, cost.cpu - cost.idleCPU})
		memory = append(memory, Point{x, cost.memory})
		traffic = append(traffic, Point{x, cost.traffic})
	}
	return []Slope{
		fitLine("agents/processor", "share of a core per idle agent", idleCPU),
		fitLine("links/processor", "share of a core per link, both ends", linkCPU),
		fitLine("links/memory", "bytes per link, both ends", memory),
		fitLine("links/bytes", "bytes/s per link, both directions", traffic),
	}, nil
}

// A linkCost is what agents and their links to one entry cost.
type linkCost struct {
	idleCPU float64 // fraction of a core before the entry connects
	cpu     float64 // fraction of a core with all links open
	memory  float64 // bytes
	traffic float64 // bytes per second in both directions
}

// A countingConn counts the bytes that are read from and written to a connection.
type countingConn struct {
	net.Conn
	count *atomic.Int64
}

// Read reads from the connection and counts the bytes.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count.Add(int64(n))
	return n, err
}

// measureLinkCost measures the given number of agents, first without an entry and
// then with one that is connected to all of them.
func measureLinkCost(ctx context.Context, agents int) (linkCost, error) {
	ctx, cancel := context.WithCancel(ctx)
	var tasks conc.WaitGroup
	defer tasks.Wait()
	defer cancel()
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") }))
	defer engine.Close()
	memory := cicadaplatform.NewMemory()
	client := cicadaplatform.NewClient(memory.Backend())
	configStore := cicadaconfig.NewStore(client, rand.Uint64)
	resources, err := cicadaconfig.ParseResources("bench.yaml", []byte("kind: group\nname: all\nslots: 8\nsubset: 100000\n"))
	if err != nil {
		return linkCost{}, err
	}
	if _, err := configStore.Apply(ctx, cicadaconfig.Request{Operator: "bench", Resources: resources}); err != nil {
		return linkCost{}, err
	}
	memory.SetVM(cicadaplatform.VM{Name: "entry-1", Role: cicadafleet.RoleEntry, DataCentre: "dc-1", State: cicadaplatform.VMLive})
	memoryBefore := memoryInUse()
	common := &cicadakernel.CommonSettings{Log: cicadakernel.LogSettings{Level: "off", Format: "text"}}
	process := cicadakernel.NewProcess("bench", common, io.Discard)
	for i := range agents {
		name := fmt.Sprintf("w-%04d", i)
		agent, err := cicadaendpoint.New(&cicadaendpoint.Settings{
			CommonSettings: *common, Name: name, DataCentre: "dc-1", Group: "all", Listen: loopbackAddress,
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
	var transferred atomic.Int64
	pool := cicadawire.NewPool(cicadawire.WithDial(func(ctx context.Context, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return countingConn{conn, &transferred}, nil
	}))
	if err := sleep(ctx, linkSettleTime); err != nil {
		return linkCost{}, err
	}
	idleCPU := cpuTime()
	if err := sleep(ctx, linkMeasureTime); err != nil {
		return linkCost{}, err
	}
	idleCPU = cpuTime() - idleCPU
	fleet := cicadafleet.New(cicadamember.Member{Name: "entry-1", DataCentre: "dc-1"}, client, configStore, pool)
	if err := fleet.Start(ctx); err != nil {
		return linkCost{}, err
	}
	defer fleet.Close()
	if err := sleep(ctx, linkSettleTime); err != nil {
		return linkCost{}, err
	}
	startCPU, startBytes := cpuTime(), transferred.Load()
	if err := sleep(ctx, linkMeasureTime); err != nil {
		return linkCost{}, err
	}
	return linkCost{
		idleCPU: float64(idleCPU) / float64(linkMeasureTime),
		cpu:     float64(cpuTime()-startCPU) / float64(linkMeasureTime),
		memory:  memoryInUse() - memoryBefore,
		traffic: float64(transferred.Load()-startBytes) / linkMeasureTime.Seconds(),
	}, nil
}
