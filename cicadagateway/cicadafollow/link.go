package cicadafollow

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// settleTime is how long after the store's return entries that lapsed meanwhile
// may still be missing from it.
const settleTime = 2200 * time.Millisecond

// steadyGap is the longest time between two answers of a store that is taken to have
// been there all along.
const steadyGap = 2500 * time.Millisecond

// A Link is what a process believes of its connection to the platform's store.
// It starts out lost, is up after an answer, and settles some time after that.
type Link struct {
	mu      sync.Mutex
	up      bool
	ever    bool
	since   time.Time
	heard   time.Time // the last answer
	steady  time.Time // since when answers have come without a gap
	changed func(up bool)
	log     hclog.Logger
}

// NewLink returns a link that is lost. changed, if not nil, is called at each
// change.
func NewLink(log hclog.Logger, changed func(up bool)) *Link {
	return &Link{log: log, since: time.Now(), changed: changed}
}

// Report records the outcome of a call.
func (l *Link) Report(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	up, now := err == nil, time.Now()
	if up {
		if !l.up || now.Sub(l.heard) > steadyGap {
			l.steady = now
		}
		l.heard = now
	}
	if up == l.up {
		return
	}
	if up {
		l.log.Info("store regained", "lost-for", now.Sub(l.since).String(), "first", !l.ever)
	} else {
		l.log.Warn("store lost", "error", err, "up-for", now.Sub(l.since).String())
	}
	l.up, l.since, l.ever = up, now, true
	if l.changed != nil {
		l.changed(up)
	}
}

// Up reports whether the last call was answered.
func (l *Link) Up() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.up
}

// Age returns how long ago the store answered last.
func (l *Link) Age() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.heard)
}

// Settled reports whether the store has been up long enough that an entry
// missing from it is gone.
func (l *Link) Settled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.up && time.Since(l.since) >= settleTime
}

// Steady reports whether the store has answered this process again and again for so
// long that an entry missing from it is gone, whoever misses it. A process that
// hears little of the store may not have noticed that it was away.
func (l *Link) Steady() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	return l.up && now.Sub(l.heard) <= steadyGap && now.Sub(l.steady) >= settleTime
}
