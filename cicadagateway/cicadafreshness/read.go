package cicadafreshness

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// readInterval is the shortest interval at which a process without a recent confirmation reads
	// the store. It doubles up to maxReadInterval while reads do not confirm the configuration.
	readInterval    = time.Second
	maxReadInterval = 4 * time.Second
	// readSpread is the time over which processes that lack a confirmation at the same time spread
	// their reads. It is at most 1/readSpreadFraction of the limit.
	readSpread         = 300 * time.Millisecond
	readSpreadFraction = 12
	// newerInterval is the shortest interval at which a newer version is reported. It doubles up
	// to maxNewerInterval while the version is not in force.
	newerInterval    = 300 * time.Millisecond
	maxNewerInterval = 4 * time.Second
)

// reads decides when this process reads the store itself.
type reads struct {
	overdueSince time.Duration // never: the confirmation is recent
	next         time.Duration // earliest time of the next read
	interval     time.Duration
}

// due reports whether to read the store now. recent is set if the confirmation is recent, and delay
// is how long it must have been outdated before a read.
func (r *reads) due(recent bool, delay, now time.Duration) bool {
	if recent {
		r.overdueSince, r.interval = never, readInterval
		return false
	}
	if r.overdueSince == never {
		r.overdueSince = now
	}
	if now-r.overdueSince < delay || now < r.next {
		return false
	}
	r.next = now + r.interval
	r.interval = min(2*r.interval, maxReadInterval)
	return true
}

// readDelay returns how long a process waits before it reads the store. Processes further from the
// root wait longer, so that a read by a process above them reaches them first.
func readDelay(self string, level int, limit time.Duration) time.Duration {
	spread := min(readSpread, limit/readSpreadFraction)
	own := time.Duration(xxhash.Sum64String(self) % uint64(max(spread, 1)))
	return time.Duration(max(level-1, 0))*spread + own
}

// A newerReport limits how often a newer version is reported.
type newerReport struct {
	version  int64
	last     time.Duration
	interval time.Duration
}

// due reports whether to report the version now.
func (r *newerReport) due(version int64, now time.Duration) bool {
	if version > r.version {
		r.version, r.interval = version, newerInterval
	}
	if r.last != never && now-r.last < r.interval {
		return false
	}
	r.last = now
	r.interval = min(2*r.interval, maxNewerInterval)
	return true
}
