package cicadasuspect

import (
	"strconv"
	"sync"
	"time"
)

// maxRecentRuns limits the runs that a Monitor recognises when they are reported again.
const maxRecentRuns = 2048

// A Verdict is the reason why a request is not sent to endpoints.
type Verdict struct {
	Part      uint64 // the part that is quarantined, or 0 if the request itself is
	Remaining time.Duration
}

// A Monitor decides which requests are sent to endpoints, from what is known of requests
// and of parts of prompts that crash endpoints.
type Monitor struct {
	requests Table
	parts    *PartTable
	period   time.Duration
	reported recentRuns
	// onCrash is called for each crash that this process sees, and onSound with parts that
	// it finds sound, so that other processes can be told.
	onCrash func(c Crash)
	onSound func(parts []SoundPart)
	// onQuarantine is called for each part that this process quarantines.
	onQuarantine func(part uint64)
}

// A MonitorOption configures a Monitor.
type MonitorOption func(*Monitor)

// WithCrashNotice sets a function that is called for each crash that this process sees.
func WithCrashNotice(onCrash func(c Crash)) MonitorOption {
	return func(m *Monitor) { m.onCrash = onCrash }
}

// WithSoundNotice sets a function that is called with parts that were under suspicion
// and that this process finds sound.
func WithSoundNotice(onSound func(parts []SoundPart)) MonitorOption {
	return func(m *Monitor) { m.onSound = onSound }
}

// WithQuarantineNotice sets a function that is called for each part that this process
// quarantines.
func WithQuarantineNotice(onQuarantine func(part uint64)) MonitorOption {
	return func(m *Monitor) { m.onQuarantine = onQuarantine }
}

// NewMonitor returns the monitor of the named process. period is how long a request is
// quarantined.
func NewMonitor(name string, period time.Duration, opts ...MonitorOption) *Monitor {
	m := &Monitor{
		parts: NewPartTable(name), period: period,
		onCrash: func(Crash) {}, onSound: func([]SoundPart) {}, onQuarantine: func(uint64) {},
	}
	for _, opt := range opts {
		opt(m)
	}
	return m
}

// Check reports whether a request must not be sent to an endpoint, and why.
func (m *Monitor) Check(request uint64, parts []uint64, now time.Time) (Verdict, bool) {
	if m.requests.Status(request, now, m.period) == Quarantined {
		return Verdict{Remaining: m.requests.Remaining(request, now, m.period)}, true
	}
	part, remaining, ok := m.parts.Quarantined(parts, now)
	return Verdict{Part: part, Remaining: remaining}, ok
}

// RecordCrash records a crash that this process sees.
func (m *Monitor) RecordCrash(c Crash, now time.Time) {
	m.MergeCrash(c, now)
	m.onCrash(c)
}

// MergeCrash records a crash that another process reports, perhaps repeatedly. A run that may only
// have lost its answer is evidence against the request, and only if it had got no event.
// One whose endpoint has crashed is evidence against the parts of the prompt, and against the request
// if it comes again.
func (m *Monitor) MergeCrash(c Crash, now time.Time) {
	if !m.reported.add(c.Run) {
		return
	}
	if c.Lost {
		if !c.Answered {
			m.requests.RecordCrash(c.Request, strconv.FormatUint(c.Run, 16), now)
		}
		return
	}
	for _, part := range m.parts.RecordCrash(c, now) {
		m.onQuarantine(part)
	}
	if m.parts.CrashesAgain(c.Request) {
		m.requests.Quarantine(c.Request, now)
	}
}

// RecordAnswer records that an endpoint has begun to answer a request with the given parts
// that was sent at sentAt.
func (m *Monitor) RecordAnswer(parts []uint64, sentAt, now time.Time) {
	m.notifySound(m.parts.RecordAnswer(parts, sentAt, now))
}

// RecordSuccess records that a request with the given parts that was sent at sentAt got a complete
// answer.
func (m *Monitor) RecordSuccess(request uint64, parts []uint64, sentAt, now time.Time) {
	m.requests.RecordSuccess(request)
	m.notifySound(m.parts.RecordSuccess(request, parts, sentAt, now))
}

func (m *Monitor) notifySound(sound []SoundPart) {
	if len(sound) > 0 {
		m.onSound(sound)
	}
}

// Requests returns the table of requests.
func (m *Monitor) Requests() *Table { return &m.requests }

// Parts returns the table of parts.
func (m *Monitor) Parts() *PartTable { return m.parts }

// recentRuns is a set of runs of bounded size. The zero value is ready to use.
type recentRuns struct {
	mu                sync.Mutex
	current, previous map[uint64]struct{}
}

// add adds a run. It reports whether the run is new.
func (r *recentRuns) add(run uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, inCurrent := r.current[run]
	if _, inPrevious := r.previous[run]; inCurrent || inPrevious {
		return false
	}
	if r.current == nil || len(r.current) >= maxRecentRuns/2 {
		r.previous, r.current = r.current, make(map[uint64]struct{})
	}
	r.current[run] = struct{}{}
	return true
}
