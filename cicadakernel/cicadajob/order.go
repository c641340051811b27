package cicadajob

import "slices"

// A Demand describes a job for the scheduler, which selects the job whose item
// runs next.
type Demand struct {
	// Job identifies the job.
	Job string
	// Customer is the job's customer. Running is the number of the customer's
	// running items and Limit its maximum, or 0 for no limit.
	Customer string
	Running  int
	Limit    int
	// Remaining is the number of the job's items that are neither done nor
	// running, and InFlight the number that are running.
	Remaining int64
	InFlight  int
	// DueMs is the job's due time in Unix milliseconds.
	DueMs int64
	// ItemMs is the mean run time of the job's items in milliseconds.
	ItemMs float64
}

// slackMs is the time that the job could wait and still finish on time, if it then
// ran as many items concurrently as its customer's limit allows.
func (d *Demand) slackMs(nowMs int64, maxRunning int) float64 {
	if d.Limit > 0 {
		maxRunning = min(maxRunning, d.Limit)
	}
	remainingMs := d.ItemMs * float64(d.Remaining) / float64(max(maxRunning, 1))
	return float64(d.DueMs-nowMs) - remainingMs
}

// SelectNext returns the index of the job whose item runs next, or -1 if no job may
// run one. Jobs that can still finish on time come first, ordered by least slack,
// so that a job that is late anyway does not delay others. Late jobs follow in the
// order of their due times. maxRunning is the maximum number of running items of
// all jobs.
func SelectNext(demands []Demand, nowMs int64, maxRunning int) int {
	best := -1
	var bestLate bool
	var bestSlackMs float64
	for i := range demands {
		d := &demands[i]
		if d.Remaining == 0 || (d.Limit > 0 && d.Running >= d.Limit) {
			continue
		}
		slackMs := d.slackMs(nowMs, maxRunning)
		late := slackMs < 0
		if best < 0 || runsBefore(late, slackMs, d, bestLate, bestSlackMs, &demands[best]) {
			best, bestLate, bestSlackMs = i, late, slackMs
		}
	}
	return best
}

// runsBefore reports whether an item of d runs before one of other.
func runsBefore(late bool, slackMs float64, d *Demand, otherLate bool, otherSlackMs float64, other *Demand) bool {
	if late != otherLate {
		return !late
	}
	if late {
		if d.DueMs != other.DueMs {
			return d.DueMs < other.DueMs
		}
		return d.Job < other.Job
	}
	if slackMs != otherSlackMs {
		return slackMs < otherSlackMs
	}
	return d.Job < other.Job
}

// stragglerFactor is the ratio of an item's run time to the median above which the
// item is a straggler.
const stragglerFactor = 4

// IsStraggler reports whether a running item should get a speculative second
// execution: its job has no items left to start, and the item has run much longer
// than the median of the job's finished items.
func IsStraggler(runtimeMs float64, finishedMs []float64, remaining int64) bool {
	if remaining > 0 || len(finishedMs) == 0 {
		return false
	}
	sorted := slices.Clone(finishedMs)
	slices.Sort(sorted)
	return runtimeMs > stragglerFactor*sorted[len(sorted)/2]
}
