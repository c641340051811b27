package cicadafollow

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// settleTime is how long after an outage of the store the registrations that expired
// during it may still be missing.
const settleTime = 2200 * time.Millisecond

// maxSteadyGap is the longest time between two answers over which the connection to the
// store still counts as uninterrupted.
const maxSteadyGap = 2500 * time.Millisecond

// A Link tracks a process's connection to the platform's store. It is down initially
// and up once a call has been answered. It is settled after it has been up for some
// time.
type Link struct {
	mu          sync.Mutex
	up          bool
	reported    bool
	since       time.Time
	lastAnswer  time.Time // time of the last answer
	steadySince time.Time // start of the current series of answers without a long gap
	onChange    func(up bool)
	log         hclog.Logger
}

// NewLink returns a Link that is down. onChange, if not nil, is called when the link
// goes up or down.
func NewLink(log hclog.Logger, onChange func(up bool)) *Link {
	return &Link{log: log, since: time.Now(), onChange: onChange}
}

// Report records the outcome of a call to the store.
func (l *Link) Report(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	up, now := err == nil, time.Now()
	if up {
		if !l.up || now.Sub(l.lastAnswer) > maxSteadyGap {
			l.steadySince = now
		}
		l.lastAnswer = now
	}
	if up == l.up {
		return
	}
	if up {
		l.log.Info("store regained", "lost-for", now.Sub(l.since).String(), "first", !l.reported)
	} else {
		l.log.Warn("store lost", "error", err, "up-for", now.Sub(l.since).String())
	}
	l.up, l.since, l.reported = up, now, true
	if l.onChange != nil {
		l.onChange(up)
	}
}

// Up reports whether the last call was answered.
func (l *Link) Up() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.up
}

// Age returns the time since the last answer of the store.
func (l *Link) Age() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.lastAnswer)
}

// Settled reports whether the store has been up for long enough that an entry missing
// from it was deleted.
func (l *Link) Settled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.up && time.Since(l.since) >= settleTime
}

// Stable reports whether the store has answered this process continuously for so long
// that an entry missing from it was deleted, whichever process finds it missing. A
// process that rarely hears from the store does not count, as it may have missed an
// outage.
func (l *Link) Stable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	return l.up && now.Sub(l.lastAnswer) <= maxSteadyGap && now.Sub(l.steadySince) >= settleTime
}
