package cicadajob

import "slices"

// A Demand is what matters of a job when the next item is chosen.
type Demand struct {
	// Job identifies the job.
	Job string
	// Customer is the job's customer; Running is how many of the customer's
	// items run, and Limit how many may, 0 for no limit.
	Customer string
	Running  int
	Limit    int
	// Remaining is how many items of the job are neither done nor running, and
	// InFlight how many run.
	Remaining int64
	InFlight  int
	// DueMs is when the job is due, in milliseconds.
	DueMs int64
	// ItemMs is the mean time that an item of the job takes.
	ItemMs float64
}

// slack is the time that the job could wait and still be on time, if it then
// had all the width that its customer may use.
func (d *Demand) slack(nowMs int64, width int) float64 {
	if d.Limit > 0 {
		width = min(width, d.Limit)
	}
	work := d.ItemMs * float64(d.Remaining) / float64(max(width, 1))
	return float64(d.DueMs-nowMs) - work
}

// Next returns the index of the job whose item goes next, or -1 when none may:
// the one with the least slack among those that can still be on time, then the
// late ones in the order of their due times. A job that cannot be on time must
// not make others late. Width is how many items run at once in all.
func Next(demands []Demand, nowMs int64, width int) int {
	best := -1
	var bestLate bool
	var bestSlack float64
	for i := range demands {
		d := &demands[i]
		if d.Remaining == 0 || (d.Limit > 0 && d.Running >= d.Limit) {
			continue
		}
		slack := d.slack(nowMs, width)
		late := slack < 0
		if best < 0 || less(late, slack, d, bestLate, bestSlack, &demands[best]) {
			best, bestLate, bestSlack = i, late, slack
		}
	}
	return best
}

func less(late bool, slack float64, d *Demand, otherLate bool, otherSlack float64, other *Demand) bool {
	if late != otherLate {
		return !late
	}
	if late {
		if d.DueMs != other.DueMs {
			return d.DueMs < other.DueMs
		}
		return d.Job < other.Job
	}
	if slack != otherSlack {
		return slack < otherSlack
	}
	return d.Job < other.Job
}

// stragglerFactor is how many times the median an item must have run to get a
// second copy.
const stragglerFactor = 4

// Straggler reports whether an item that has run for a time should get a
// speculative copy: its job has nothing left to start, and it has run much
// longer than the median of the finished ones.
func Straggler(ranMs float64, finishedMs []float64, remaining int64) bool {
	if remaining > 0 || len(finishedMs) == 0 {
		return false
	}
	sorted := slices.Clone(finishedMs)
	slices.Sort(sorted)
	return ranMs > stragglerFactor*sorted[len(sorted)/2]
}
