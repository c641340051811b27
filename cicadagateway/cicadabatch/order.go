package cicadabatch

import (
	"time"
)

const (
	// initialRunTime is the estimated time of a run before any run has completed.
	initialRunTime = 5 * time.Second
	// runTimeSmoothing is the weight of the newest run in the moving averages.
	runTimeSmoothing = 0.1
	// urgentSlack is the slack below which an item is urgent: it would be late if it
	// were preempted for online requests.
	urgentSlack = 1500 * time.Millisecond
	// minRemainingFraction is the minimum estimate of an item's remaining time, as a
	// fraction of the mean run time. It applies once an item has about as many events as
	// the mean run.
	minRemainingFraction = 0.1
)

// runEstimate holds exponential moving averages of complete runs.
type runEstimate struct {
	meanTime   time.Duration // of a complete run
	meanEvents float64       // of a complete run
}

func (e *runEstimate) observe(run time.Duration, events int) {
	if e.meanTime == 0 {
		e.meanTime, e.meanEvents = run, float64(events)
		return
	}
	e.meanTime += time.Duration(runTimeSmoothing * float64(run-e.meanTime))
	e.meanEvents += runTimeSmoothing * (float64(events) - e.meanEvents)
}

// remaining estimates the remaining run time of an item after the given number of
// events.
func (e *runEstimate) remaining(events int) time.Duration {
	if e.meanTime == 0 {
		return initialRunTime
	}
	fraction := 1 - float64(events)/max(e.meanEvents, 1)
	return time.Duration(max(fraction, minRemainingFraction) * float64(e.meanTime))
}

// elapsed estimates the run time until the given number of events.
func (e *runEstimate) elapsed(events int) time.Duration {
	if e.meanTime == 0 {
		return initialRunTime
	}
	return time.Duration(float64(events) / max(e.meanEvents, 1) * float64(e.meanTime))
}

// slack returns how long an item can still wait without being late.
func (e *runEstimate) slack(it *item, now time.Time) time.Duration {
	return it.job.due().Sub(now) - e.remaining(it.lastEvent)
}

// less reports whether a should get a slot before b. Items that can still complete in
// time come before those that cannot. Next, the item whose job is due first comes first,
// so that under a long backlog some jobs complete in time instead of all being late.
// Within a job, the item with the most events comes first. Items are preempted in the
// reverse order.
func (e *runEstimate) less(a, b *item, now time.Time) bool {
	if lateA, lateB := e.slack(a, now) < 0, e.slack(b, now) < 0; lateA != lateB {
		return lateB
	}
	if dueA, dueB := a.job.due(), b.job.due(); !dueA.Equal(dueB) {
		return dueA.Before(dueB)
	}
	if a.lastEvent != b.lastEvent {
		return a.lastEvent > b.lastEvent
	}
	return a.ID < b.ID
}

// preemptionVictim returns the item to preempt among those running at an endpoint, or
// nil if all are pinned.
func (e *runEstimate) preemptionVictim(running []*item, now time.Time) *item {
	var victim *item
	for _, it := range running {
		if it.pinned {
			continue
		}
		if victim == nil || e.less(victim, it, now) {
			victim = it
		}
	}
	return victim
}
