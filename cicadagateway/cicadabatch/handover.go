package cicadabatch

import (
	"context"
	"time"
)

// handOverTime bounds one message that hands progress over.
const handOverTime = time.Second

// handOver passes on what is known of a job's items beyond what the store has.
// Items that still run are passed on once more when their run has ended.
func (o *Owner) handOver(j *job) {
	var all []Progress
	for _, it := range j.items {
		if p, _, ok := it.news(mark{}); ok {
			all = append(all, p)
		}
	}
	o.sendProgress(j, all)
}

func (o *Owner) sendProgress(j *job, all []Progress) {
	if len(all) == 0 || j.ended {
		return
	}
	o.wg.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, handOverTime)
		defer cancel()
		err := o.sendOver(ctx, j.id, all)
		o.log.Info("job handed over", "job", j.id, "items", len(all), "error", err)
	})
}

// adopt takes in the progress that another owner hands over.
func (o *Owner) adopt(id string, all []Progress) {
	j := o.jobs[id]
	if j == nil || j.ended {
		return
	}
	taken := 0
	for _, p := range all {
		it := j.byID[p.Item]
		if it == nil || it.state >= itemFinished || (p.State == "" && p.Last <= it.reached()) {
			continue
		}
		taken++
		it.adopted = &p
		if it.state == itemRunning {
			it.stop()
			continue
		}
		o.takeProgress(it)
	}
	o.log.Info("progress taken over", "job", id, "items", len(all), "taken", taken)
	o.Wake()
}

// takeProgress makes an item that does not run go on from where another owner
// left it.
func (o *Owner) takeProgress(it *item) {
	p := it.adopted
	it.adopted = nil
	if p != nil {
		it.job.resume(it, *p)
	}
}

// Idle reports whether the owner has no job to run and nothing that others need.
func (o *Owner) Idle() bool {
	idle := true
	o.ask(func() {
		for _, j := range o.jobs {
			if j.mine && !j.ended && !j.listed() {
				idle = false
			}
		}
		if len(o.running) > 0 {
			idle = false
		}
	})
	return idle
}
