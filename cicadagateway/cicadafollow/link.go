package cicadafollow

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// settleTime is the time after an outage of the store during which registrations that
// expired in the outage may still be missing.
const settleTime = 2200 * time.Millisecond

// maxStableGap is the maximum time between two successful calls to the store for which
// the connection is considered uninterrupted.
const maxStableGap = 2500 * time.Millisecond

// A Link tracks a process's connection to the platform's store. It is initially
// down. A successful call sets it up, and a failed call sets it down. It is settled once
// it has been up for settleTime.
type Link struct {
	mu          sync.Mutex
	up          bool
	everUp      bool
	since       time.Time // time of the last change of up
	lastSuccess time.Time // time of the last successful call
	stableSince time.Time // start of the current series of successful calls without a gap above maxStableGap
	pollSince   time.Time // when this process began to poll the store, or the zero time if it does not
	overdueAt   time.Time // time of the last success that came later than maxStableGap while polling
	onChange    func(up bool)
	onResume    []func() // see subscribe
	log         hclog.Logger
}

// NewLink returns a Link that is down. onChange, if not nil, is called when the link
// goes up or down.
func NewLink(log hclog.Logger, onChange func(up bool)) *Link {
	return &Link{log: log, since: time.Now(), onChange: onChange}
}

// subscribe adds a function that is called when the link goes up, or by Resume, and must not block. What
// waited for the store before may have been lost.
func (l *Link) subscribe(f func()) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.onResume = append(l.onResume, f)
}

// Report records the outcome of a call to the store.
func (l *Link) Report(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	up, now := err == nil, time.Now()
	if up {
		if l.overdue(now) {
			l.overdueAt = now
		}
		if !l.up || now.Sub(l.lastSuccess) > maxStableGap {
			l.stableSince = now
		}
		l.lastSuccess = now
	}
	if up == l.up {
		return
	}
	if up {
		l.log.Info("store connection established", "lost-for", now.Sub(l.since).String(), "first", !l.everUp)
	} else {
		l.log.Warn("store connection lost", "error", err, "up-for", now.Sub(l.since).String())
	}
	l.up, l.since, l.everUp = up, now, true
	if l.onChange != nil {
		l.onChange(up)
	}
	if up {
		l.resumeLocked()
	}
}

// Resume makes all followers of the link repeat their watches, which may have been lost.
func (l *Link) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resumeLocked()
}

func (l *Link) resumeLocked() {
	for _, f := range l.onResume {
		f()
	}
}

// setPolling records whether this process polls the store, so that its calls must succeed at short
// intervals.
func (l *Link) setPolling(polling bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !polling:
		l.pollSince = time.Time{}
	case l.pollSince.IsZero():
		l.pollSince = time.Now()
	}
}

// overdue reports whether this process polls the store and has had no success for maxStableGap.
func (l *Link) overdue(now time.Time) bool {
	return !l.pollSince.IsZero() && now.Sub(l.pollSince) > maxStableGap && now.Sub(l.lastSuccess) > maxStableGap
}

// Up reports whether the last call succeeded.
func (l *Link) Up() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.up
}

// Age returns the time since the last successful call to the store.
func (l *Link) Age() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Since(l.lastSuccess)
}

// Settled reports whether this process has seen no sign that the store was away within settleTime: no
// call has failed, and none has been overdue while it polled the store. A process that only waits for
// the events of a watch may not notice an outage.
func (l *Link) Settled() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	return l.up && now.Sub(l.since) >= settleTime && !l.overdue(now) && now.Sub(l.overdueAt) >= settleTime
}

// Stable reports whether calls to the store have succeeded for at least settleTime
// without a gap above maxStableGap. An object that is then missing from the store has
// been deleted, whichever process finds it missing. Unlike Settled, Stable returns false
// if this process calls the store rarely, as it may then not have detected an outage.
func (l *Link) Stable() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	return l.up && now.Sub(l.lastSuccess) <= maxStableGap && now.Sub(l.stableSince) >= settleTime
}
