package cicadabatch

import (
	"context"
	"time"
)

const (
	// handOverTimeout bounds one hand-over message.
	handOverTimeout = time.Second
	// handOverTries is how often a message is sent: its connection may have fallen silent.
	handOverTries = 2
)

// handOver sends the progress of a job's unlisted items to the job's new owner. The
// progress of items that are still running is sent again when their runs have ended.
func (o *Owner) handOver(j *job) {
	var all []Progress
	size := 0
	for _, it := range j.items {
		p, _, ok := it.progressSince(progressMark{})
		if !ok {
			continue
		}
		all = append(all, p)
		if size += len(p.Text); size >= maxProgressBytes {
			o.sendProgress(j, all)
			all, size = nil, 0
		}
	}
	o.sendProgress(j, all)
}

func (o *Owner) sendProgress(j *job, all []Progress) {
	if len(all) == 0 || j.ended {
		return
	}
	o.wg.Go(func() {
		for try := range handOverTries {
			err := o.tryHandOver(j.id, all)
			o.log.Info("job handed over", "job", j.id, "items", len(all), "try", try+1, "error", err)
			if err == nil || o.ctx.Err() != nil {
				return
			}
		}
	})
}

// tryHandOver sends a hand-over message. It may arrive more than once.
func (o *Owner) tryHandOver(job string, all []Progress) error {
	ctx, cancel := context.WithTimeout(o.ctx, handOverTimeout)
	defer cancel()
	return o.sendHandOver(ctx, job, all)
}

// receiveHandOver applies the progress that another owner hands over. Running items are
// stopped, and the progress is applied to them when their runs have ended.
func (o *Owner) receiveHandOver(id string, all []Progress) {
	j := o.jobs[id]
	if j == nil || j.ended {
		return
	}
	applied := 0
	for _, p := range all {
		it := j.itemsByID[p.Item]
		if it == nil || !it.wants(p) {
			continue
		}
		applied++
		it.handedOver = &p
		if it.state == itemRunning {
			it.stop()
			continue
		}
		o.applyHandOver(it)
	}
	o.log.Info("progress taken over", "job", id, "items", len(all), "taken", applied)
	o.Wake()
}

// wants reports whether a progress that is handed over is of more use than what the item has, its current run
// and what was handed over before included.
func (it *item) wants(p Progress) bool {
	generation, last := it.generation, it.currentEvent()
	if h := it.handedOver; h != nil {
		if h.State != "" {
			return false
		}
		if h.Generation > generation || h.Generation == generation && h.Last > last {
			generation, last = h.Generation, h.Last
		}
	}
	switch {
	case it.state >= itemFinished:
		return false
	case p.State != "":
		return true
	case p.Generation != generation:
		return p.Generation > generation
	}
	return p.Last > last
}

// applyHandOver resumes an item that is not running from the progress handed over by
// another owner.
func (o *Owner) applyHandOver(it *item) {
	p := it.handedOver
	it.handedOver = nil
	if p != nil && it.wants(*p) {
		o.resume(it, *p, sourceHandOver)
	}
}

// Idle reports whether the owner has no unfinished job and no running item, so that
// it can shut down without losing work.
func (o *Owner) Idle() bool {
	idle := true
	o.enqueueAndWait(func() {
		for _, j := range o.jobs {
			if j.owned && !j.ended && !j.allListed() {
				idle = false
			}
		}
		if len(o.running) > 0 {
			idle = false
		}
	})
	return idle
}
