package cicadasuspect

import (
	"slices"
	"time"
)

const (
	// crashSpan is the time within which the reports of one crash arrive from all processes.
	crashSpan = 2 * time.Second
	// crashWindow is how long a crash counts. maxCrashes limits the crashes that are kept, and
	// maxCrashRuns the runs of each.
	crashWindow  = 30 * time.Second
	maxCrashes   = 128
	maxCrashRuns = 64
)

// A phase says how far a run had come when its endpoint crashed, or how much of its answer
// shows that it did not.
type phase int

const (
	// beforeFirstEvent is the time until the first event. An event proves only that the
	// request does not crash endpoints before it.
	beforeFirstEvent phase = iota
	// wholeRun is all of a run. Only a complete answer proves that the request does not crash
	// endpoints at any point of it.
	wholeRun
)

// A crashedRun is a run that ended with the crash of its endpoint.
type crashedRun struct {
	request uint64
	// parts holds the parts that no complete answer has acquitted, and early those that no
	// first event has acquitted. It is empty if the run itself had got one.
	parts, early []uint64
	answered     bool
	// completed is set once the request has been sent again and answered completely.
	completed bool
}

// candidates returns the parts that may have caused the crash in a phase.
func (r *crashedRun) candidates(p phase) []uint64 {
	if p == beforeFirstEvent {
		return r.early
	}
	return r.parts
}

// An endpointCrash is the crash of an endpoint, with the runs that it ended. One of them
// caused it, unless it has another cause.
type endpointCrash struct {
	endpoint uint64
	at       time.Time // of the first report
	runs     []crashedRun
	cause    uint64 // the quarantined part that explains it, or 0
}

// holds reports whether a run that ended in a phase holds a part.
func (c *endpointCrash) holds(part uint64, p phase) bool {
	for i := range c.runs {
		if slices.Contains(c.runs[i].candidates(p), part) {
			return true
		}
	}
	return false
}

// addRequests adds the requests that hold a part to a set. It reports whether there are any.
func (c *endpointCrash) addRequests(requests map[uint64]bool, part uint64) bool {
	holds := false
	for i := range c.runs {
		if r := &c.runs[i]; slices.Contains(r.parts, part) {
			requests[r.request] = true
			holds = true
		}
	}
	return holds
}

// ended reports whether the crash ended a run of a request that has not been answered completely
// since.
func (c *endpointCrash) ended(request uint64) bool {
	for i := range c.runs {
		if c.runs[i].request == request && !c.runs[i].completed {
			return true
		}
	}
	return false
}

// A crashLog holds the latest crashes of endpoints, the oldest first. The zero value is ready
// to use.
type crashLog struct {
	crashes []*endpointCrash
}

// expire removes the crashes that no longer count.
func (l *crashLog) expire(now time.Time) {
	l.crashes = slices.DeleteFunc(l.crashes, func(c *endpointCrash) bool { return now.Sub(c.at) > crashWindow })
}

// at returns the crash of an endpoint that is reported now, with a run that was sent at sentAt. A run
// that was sent after a crash had been reported was ended by another one.
func (l *crashLog) at(endpoint uint64, sentAt, now time.Time) *endpointCrash {
	for _, c := range slices.Backward(l.crashes) {
		if c.endpoint == endpoint && now.Sub(c.at) <= crashSpan && sentAt.Before(c.at) {
			return c
		}
	}
	if len(l.crashes) >= maxCrashes {
		l.crashes = l.crashes[1:]
	}
	c := &endpointCrash{endpoint: endpoint, at: now}
	l.crashes = append(l.crashes, c)
	return c
}

// add adds a run to a crash.
func (c *endpointCrash) add(crash Crash) {
	if len(c.runs) >= maxCrashRuns {
		return
	}
	run := crashedRun{request: crash.Request, parts: slices.Clone(crash.Parts), answered: crash.Answered}
	if !crash.Answered {
		run.early = slices.Clone(crash.Parts)
	}
	c.runs = append(c.runs, run)
}

// acquit drops a part from the crashes before sentAt, when a request that holds it was sent
// that got through a phase. It returns the number of crashes that it is dropped from.
func (l *crashLog) acquit(part uint64, p phase, sentAt time.Time) int {
	dropped := 0
	for _, c := range l.crashes {
		if !c.at.Before(sentAt) {
			break
		}
		if c.cause != 0 || !c.holds(part, p) {
			continue
		}
		dropped++
		for i := range c.runs {
			r := &c.runs[i]
			r.early = without(r.early, part)
			if p == wholeRun {
				r.parts = without(r.parts, part)
			}
		}
	}
	return dropped
}

func without(parts []uint64, part uint64) []uint64 {
	return slices.DeleteFunc(parts, func(other uint64) bool { return other == part })
}

// acquitRequest drops a request from the crashes before sentAt, when it was sent and answered
// completely.
func (l *crashLog) acquitRequest(request uint64, sentAt time.Time) {
	for _, c := range l.crashes {
		if !c.at.Before(sentAt) {
			break
		}
		for i := range c.runs {
			if c.runs[i].request == request {
				c.runs[i].completed = true
			}
		}
	}
}

// explain records that a part has caused the crashes that it may have caused. They are no
// evidence against others. It returns the time of the first one, or now if there is none.
func (l *crashLog) explain(part uint64, now time.Time) time.Time {
	first := now
	for _, c := range l.crashes {
		if c.cause == 0 && c.holds(part, wholeRun) {
			c.cause = part
			if c.at.Before(first) {
				first = c.at
			}
		}
	}
	return first
}

// reopen makes the crashes that a part has explained evidence again.
func (l *crashLog) reopen(part uint64) {
	for _, c := range l.crashes {
		if c.cause == part {
			c.cause = 0
		}
	}
}
