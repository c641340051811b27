package cicadaprocess

import (
	"math"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"cicadalink.example/cicadagateway/cicadapeer"
	"cicadalink.example/cicadagateway/cicadarelay"
	"cicadalink.example/cicadakernel/cicadasuspect"
)

// maxSentQuarantines limits the quarantines of each kind in one message. Messages take
// turns.
const maxSentQuarantines = 4

// crashEvidence holds what this process and its peers know of requests that crash
// endpoints. Each report is in a few messages to peers, so that the messages stay small
// however many endpoints crash. Quarantines are repeated while they last, for peers that
// were not reached by the reports.
type crashEvidence struct {
	monitor *cicadasuspect.Monitor
	notify  func() // requests a message to peers

	mu        sync.Mutex
	crashes   outbox[cicadasuspect.Crash]
	sound     outbox[cicadasuspect.SoundPart]
	requests  rotation
	partsTurn rotation
}

func newCrashEvidence(name string, log hclog.Logger, scope tally.Scope, notify func()) *crashEvidence {
	c := &crashEvidence{notify: notify}
	quarantined, released := scope.Counter("prompt_parts_quarantined"), scope.Counter("prompt_parts_released")
	c.monitor = cicadasuspect.NewMonitor(name, cicadarelay.QuarantinePeriod,
		cicadasuspect.WithCrashNotice(c.reportCrash),
		cicadasuspect.WithSoundNotice(func(parts []cicadasuspect.SoundPart) {
			for _, part := range parts {
				if part.Released {
					log.Info("prompt part found sound", "part", formatPart(part.Part), "complete-answer", part.Complete)
					released.Inc(1)
				}
			}
			c.reportSound(parts)
		}),
		cicadasuspect.WithQuarantineNotice(func(part uint64) {
			log.Warn("prompt part quarantined", "part", formatPart(part))
			quarantined.Inc(1)
			notify()
		}))
	return c
}

func formatPart(part uint64) string { return strconv.FormatUint(part, 16) }

// reportCrash reports a crash seen by this process to peers.
func (c *crashEvidence) reportCrash(crash cicadasuspect.Crash) {
	c.mu.Lock()
	c.crashes.add(crash)
	c.mu.Unlock()
	c.notify()
}

func (c *crashEvidence) reportSound(parts []cicadasuspect.SoundPart) {
	c.mu.Lock()
	for _, part := range parts {
		waits := slices.ContainsFunc(c.sound.entries, func(e outboxEntry[cicadasuspect.SoundPart]) bool { return e.value == part })
		if !waits {
			c.sound.add(part)
		}
	}
	c.mu.Unlock()
	c.notify()
}

// addTo adds to the next message what peers need to know.
func (c *crashEvidence) addTo(s *cicadapeer.State, now time.Time) {
	requests, parts := c.monitor.Requests().Quarantines(now, cicadarelay.QuarantinePeriod), c.monitor.Parts().Quarantines(now)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, crash := range c.crashes.next(now) {
		s.CrashReports = append(s.CrashReports, cicadapeer.CrashReport{
			Request: crash.Request, Run: crash.Run, Endpoint: crash.Endpoint, Parts: crash.Parts,
			Age: age(crash.SentAt, now), Answered: crash.Answered, Lost: crash.Lost,
		})
	}
	for _, part := range c.sound.next(now) {
		s.SoundParts = append(s.SoundParts, cicadapeer.SoundPart{
			Part: part.Part, Age: age(part.SentAt, now), Complete: part.Complete,
		})
	}
	for _, q := range selectFrom(&c.requests, requests, maxSentQuarantines) {
		s.Quarantines = append(s.Quarantines, cicadapeer.Quarantine{Request: q.Fingerprint, Remaining: uint32(q.Remaining.Milliseconds())})
	}
	for _, q := range selectFrom(&c.partsTurn, parts, maxSentQuarantines) {
		s.PartQuarantines = append(s.PartQuarantines, cicadapeer.PartQuarantine{
			Part: q.Part, Remaining: uint32(q.Remaining.Milliseconds()), Level: uint8(q.Level), Age: age(q.Since, now), Early: q.Early,
		})
	}
}

// merge records what a peer reports.
func (c *crashEvidence) merge(s cicadapeer.State, now time.Time) {
	for _, r := range s.CrashReports {
		c.monitor.MergeCrash(cicadasuspect.Crash{
			Request: r.Request, Run: r.Run, Endpoint: r.Endpoint, Parts: r.Parts,
			SentAt: now.Add(-milliseconds(r.Age)), Answered: r.Answered, Lost: r.Lost,
		}, now)
	}
	for _, part := range s.SoundParts {
		c.monitor.Parts().RecordSound(cicadasuspect.SoundPart{
			Part: part.Part, SentAt: now.Add(-milliseconds(part.Age)), Complete: part.Complete,
		}, now)
	}
	for _, q := range s.Quarantines {
		c.monitor.Requests().Adopt(cicadasuspect.Quarantine{Fingerprint: q.Request, Remaining: milliseconds(q.Remaining)}, now, cicadarelay.QuarantinePeriod)
	}
	for _, q := range s.PartQuarantines {
		sound, void := c.monitor.Parts().Adopt(cicadasuspect.PartQuarantine{
			Part: q.Part, Remaining: milliseconds(q.Remaining), Level: int(q.Level), Since: now.Add(-milliseconds(q.Age)), Early: q.Early,
		}, now)
		if void {
			c.reportSound([]cicadasuspect.SoundPart{sound})
		}
	}
}

func milliseconds(n uint32) time.Duration { return time.Duration(n) * time.Millisecond }

// age returns the time since t in milliseconds.
func age(t, now time.Time) uint32 {
	return uint32(min(max(now.Sub(t).Milliseconds(), 0), math.MaxUint32))
}
