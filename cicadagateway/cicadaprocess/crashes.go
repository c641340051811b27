package cicadaprocess

import (
	"sync"
	"time"

	"cicadalink.example/cicadagateway/cicadapeer"
	"cicadalink.example/cicadakernel/cicadasuspect"
)

const (
	maxCrashes = 32               // reports that a state carries
	crashTime  = 30 * time.Second // how long a report is passed on
)

// crashes is what this process and its peers know of requests that crash
// endpoints.
type crashes struct {
	table cicadasuspect.Table
	mu    sync.Mutex
	own   []cicadapeer.Crash
	at    []time.Time
}

// add records a crash that this process has seen, to be passed on.
func (c *crashes) add(request uint64, run string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.own = append(c.own, cicadapeer.Crash{Request: request, Run: run})
	c.at = append(c.at, time.Now())
	if len(c.own) > maxCrashes {
		c.own, c.at = c.own[1:], c.at[1:]
	}
}

// recent returns the reports to pass on.
func (c *crashes) recent() []cicadapeer.Crash {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.at) > 0 && time.Since(c.at[0]) > crashTime {
		c.own, c.at = c.own[1:], c.at[1:]
	}
	return append([]cicadapeer.Crash(nil), c.own...)
}

// merge records what a peer has seen.
func (c *crashes) merge(reports []cicadapeer.Crash) {
	now := time.Now()
	for _, r := range reports {
		c.table.Crashed(r.Request, r.Run, now)
	}
}
