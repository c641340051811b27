package cicadabatch

import (
	"time"
)

const (
	// startEstimate is how long an item is taken to run before any has finished.
	startEstimate = 5 * time.Second
	// runSmoothing is the weight of the newest run in the mean.
	runSmoothing = 0.1
	// urgentSlack is the slack below which an item is not put aside for online
	// requests: it would be late.
	urgentSlack = 1500 * time.Millisecond
	// stragglerShare is the least part of the mean run that a running item is
	// taken to need still.
	stragglerShare = 0.1
)

// pace is what is known of how long items run.
type pace struct {
	run    time.Duration // mean time of a whole run
	events float64       // mean events of a whole run
}

func (p *pace) add(run time.Duration, events int) {
	if p.run == 0 {
		p.run, p.events = run, float64(events)
		return
	}
	p.run += time.Duration(runSmoothing * float64(run-p.run))
	p.events += runSmoothing * (float64(events) - p.events)
}

// remaining is how long an item with so many events done still runs.
func (p *pace) remaining(events int) time.Duration {
	if p.run == 0 {
		return startEstimate
	}
	left := 1 - float64(events)/max(p.events, 1)
	return time.Duration(max(left, stragglerShare) * float64(p.run))
}

// slack is how long an item may still wait without being late.
func (p *pace) slack(it *item, now time.Time) time.Duration {
	return it.job.due().Sub(now) - p.remaining(it.last)
}

// less orders items that wait for a slot: those that can still be in time come
// first. Among them the job that is due first goes first, so that under a long
// backlog some jobs are whole and in time rather than all of them late, and in a
// job the item that is nearest to its end. Items are put aside in the opposite
// order.
func (p *pace) less(a, b *item, now time.Time) bool {
	if la, lb := p.slack(a, now) < 0, p.slack(b, now) < 0; la != lb {
		return lb
	}
	if da, db := a.job.due(), b.job.due(); !da.Equal(db) {
		return da.Before(db)
	}
	if a.last != b.last {
		return a.last > b.last
	}
	return a.ID < b.ID
}

// putAside returns the running item at an endpoint that can best wait, or nil if
// each would be late.
func (p *pace) putAside(running []*item, now time.Time) *item {
	var best *item
	for _, it := range running {
		if it.pinned {
			continue
		}
		if best == nil || p.less(best, it, now) {
			best = it
		}
	}
	return best
}
