package cicadaprocess

import (
	"sync"
	"time"

	"cicadalink.example/cicadagateway/cicadapeer"
	"cicadalink.example/cicadakernel/cicadasuspect"
)

const (
	maxCrashReports = 32               // most recent reports that are sent to peers
	crashReportTTL  = 30 * time.Second // how long a report is sent to peers
)

// crashReports holds the reports, by this process and its peers, of requests that crash
// endpoints.
type crashReports struct {
	suspects cicadasuspect.Table
	mu       sync.Mutex
	local    []cicadapeer.CrashReport
	addedAt  []time.Time
}

// add records a crash seen by this process, to be sent to peers.
func (c *crashReports) add(request uint64, run string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.local = append(c.local, cicadapeer.CrashReport{Request: request, Run: run})
	c.addedAt = append(c.addedAt, time.Now())
	if len(c.local) > maxCrashReports {
		c.local, c.addedAt = c.local[1:], c.addedAt[1:]
	}
}

// recent returns this process's reports that are still sent to peers.
func (c *crashReports) recent() []cicadapeer.CrashReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.addedAt) > 0 && time.Since(c.addedAt[0]) > crashReportTTL {
		c.local, c.addedAt = c.local[1:], c.addedAt[1:]
	}
	return append([]cicadapeer.CrashReport(nil), c.local...)
}

// merge records the reports of a peer.
func (c *crashReports) merge(reports []cicadapeer.CrashReport) {
	now := time.Now()
	for _, r := range reports {
		c.suspects.RecordCrash(r.Request, r.Run, now)
	}
}
