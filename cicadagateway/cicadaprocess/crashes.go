package cicadaprocess

import (
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadalink.example/cicadagateway/cicadapeer"
	"cicadalink.example/cicadagateway/cicadarelay"
	"cicadalink.example/cicadakernel/cicadasuspect"
)

const (
	// maxSentReports limits the crash reports in one message, and maxPendingReports those
	// that wait to be sent.
	maxSentReports    = 16
	maxPendingReports = 256
	// reportSends is the number of messages that hold a report. The first two follow the
	// crash directly, the others are reportInterval apart.
	reportSends    = 6
	promptSends    = 2
	reportInterval = 200 * time.Millisecond
	// maxSentQuarantines limits the quarantines in one message. Messages take turns.
	maxSentQuarantines = 4
)

// crashReports holds what this process and its peers know of requests that crash
// endpoints. Each report is in a few messages to peers, so that the messages stay small
// however many endpoints crash. Quarantines are repeated while they last, for peers that
// were not reached by the reports.
type crashReports struct {
	suspects cicadasuspect.Table
	notify   func() // requests a message to peers
	mu       sync.Mutex
	pending  []pendingReport
	turn     int // of the quarantines in the next message
}

// A pendingReport is a report of this process that is still sent to peers.
type pendingReport struct {
	cicadapeer.CrashReport
	sends  int
	sentAt time.Time
}

// add records a crash seen by this process, to be sent to peers.
func (c *crashReports) add(request uint64, run string) {
	c.mu.Lock()
	c.pending = append(c.pending, pendingReport{CrashReport: cicadapeer.CrashReport{Request: request, Run: xxhash.Sum64String(run)}})
	if len(c.pending) > maxPendingReports {
		c.pending = c.pending[1:]
	}
	c.mu.Unlock()
	if c.notify != nil {
		c.notify()
	}
}

// nextReports returns the reports for the next message.
func (c *crashReports) nextReports(now time.Time) []cicadapeer.CrashReport {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []cicadapeer.CrashReport
	kept := c.pending[:0]
	for _, r := range c.pending {
		due := r.sends < promptSends || now.Sub(r.sentAt) >= reportInterval
		if due && len(out) < maxSentReports {
			out = append(out, r.CrashReport)
			r.sends, r.sentAt = r.sends+1, now
		}
		if r.sends < reportSends {
			kept = append(kept, r)
		}
	}
	c.pending = kept
	return out
}

// quarantines returns the quarantines for the next message.
func (c *crashReports) quarantines(now time.Time) []cicadapeer.Quarantine {
	all := c.suspects.Quarantines(now, cicadarelay.QuarantinePeriod)
	n := min(len(all), maxSentQuarantines)
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []cicadapeer.Quarantine
	for i := range n {
		q := all[(c.turn+i)%len(all)]
		out = append(out, cicadapeer.Quarantine{Request: q.Fingerprint, Remaining: uint32(q.Remaining.Milliseconds())})
	}
	c.turn += n
	return out
}

// merge records the reports and quarantines of a peer.
func (c *crashReports) merge(s cicadapeer.State, now time.Time) {
	for _, r := range s.CrashReports {
		c.suspects.RecordCrash(r.Request, strconv.FormatUint(r.Run, 16), now)
	}
	for _, q := range s.Quarantines {
		remaining := time.Duration(q.Remaining) * time.Millisecond
		c.suspects.Adopt(cicadasuspect.Quarantine{Fingerprint: q.Request, Remaining: remaining}, now, cicadarelay.QuarantinePeriod)
	}
}
