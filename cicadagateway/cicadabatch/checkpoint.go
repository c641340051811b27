package cicadabatch

import (
	"context"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"cicadalink.example/cicadagateway/cicadacheckpoint"
)

const (
	// checkpointInterval is how much work on an item a crash may cost.
	checkpointInterval = 500 * time.Millisecond
	// maxCheckpointFile is the size from which the checkpoint file is begun anew
	// with what is still needed, in bytes.
	maxCheckpointFile = 16 << 20
	checkpointTime    = time.Second // for another owner to take a copy
	// saveRetry is how long a disk that failed is left alone: each try begins a file.
	saveRetry = 3 * time.Second
)

// A Checkpoint is how far the items of a job have come since the last one.
type Checkpoint struct {
	Job   string
	Items []Progress
}

// A CheckpointFile keeps checkpoints on the VM's disk. The owner that starts there
// next goes on from them.
type CheckpointFile struct {
	log     *cicadacheckpoint.Log
	found   map[string]map[string]*recovered // by job and item
	refused int                              // records that could not be decoded
}

// recovered is the progress of an item as the checkpoints before a restart tell it.
type recovered struct {
	partial
	state string
}

// OpenCheckpoints reads the checkpoints in a folder, which it makes if there is
// none.
func OpenCheckpoints(dir string) (*CheckpointFile, error) {
	f := &CheckpointFile{found: make(map[string]map[string]*recovered)}
	log, err := cicadacheckpoint.Open(dir, f.replay)
	if err != nil {
		return nil, merry.Errorf("open checkpoints: %w", err)
	}
	f.log = log
	return f, nil
}

// Jobs returns how many jobs have checkpoints from before the restart.
func (f *CheckpointFile) Jobs() int { return len(f.found) }

// Torn returns how many files ended in a record that was not whole.
func (f *CheckpointFile) Torn() int { return f.log.Torn() }

// Refused returns how many whole records could not be decoded.
func (f *CheckpointFile) Refused() int { return f.refused }

// replay takes in a record. One that cannot be decoded, or that does not follow on
// what is known, costs its items their progress and nothing else.
func (f *CheckpointFile) replay(record []byte) {
	var points []Checkpoint
	if cbor.Unmarshal(record, &points) != nil {
		f.refused++
		return
	}
	for _, point := range points {
		items := f.found[point.Job]
		if items == nil {
			items = make(map[string]*recovered)
			f.found[point.Job] = items
		}
		for _, p := range point.Items {
			it := items[p.Item]
			if it == nil || p.From == 0 { // a whole progress replaces all before it
				it = &recovered{}
				items[p.Item] = it
			}
			if !p.Listed && it.take(p) && p.State != "" {
				it.state = p.State
			}
		}
	}
}

// save writes checkpoints and returns when they last. With whole they are all that
// is still needed; what was there before is removed. full reports that it is time
// for that.
func (f *CheckpointFile) save(points []Checkpoint, whole bool) (full bool, err error) {
	record, err := cbor.Marshal(points)
	if err != nil {
		return false, merry.Errorf("encode checkpoints: %w", err)
	}
	write := f.log.Append
	if whole {
		write = f.log.Replace
	}
	if err := write(record); err != nil {
		return false, err
	}
	return f.log.Size() > maxCheckpointFile, nil
}

// recover makes a job that has become known go on from the checkpoints before the
// restart.
func (o *Owner) recover(j *job) {
	items := o.found[j.id]
	delete(o.found, j.id)
	for id, r := range items {
		it := j.byID[id]
		if it == nil || r.last == 0 && r.state == "" {
			continue
		}
		j.resume(it, Progress{Item: id, Last: r.last, Text: r.output.String(), Failures: r.failures, State: r.state})
		j.recovered++
	}
	if j.recovered > 0 {
		o.log.Info("job recovered", "job", j.id, "items", j.recovered, "mine", j.mine)
	}
}

// settleRecovered hands what was recovered of another owner's jobs to that one, and
// lets go of what belongs to jobs that are no more.
func (o *Owner) settleRecovered() {
	if !o.listed || o.settled {
		return
	}
	o.settled, o.found = true, nil
	for _, j := range o.jobs {
		if j.recovered > 0 && !j.mine {
			o.handOver(j)
		}
	}
}

// checkpoint saves what has become of the items since the last time, on the disk
// and at the owner that would be next to run the job.
func (o *Owner) checkpoint(now time.Time) {
	if now.Sub(o.checkpointed) < checkpointInterval {
		return
	}
	o.checkpointed = now
	o.saveProgress()
	for _, j := range o.jobs {
		if j.mine && !j.ended && !j.copying {
			o.copyProgress(j)
		}
	}
}

// saveProgress writes to the disk, unless the last write is still under way: a slow
// disk makes checkpoints rarer and holds nothing up.
func (o *Owner) saveProgress() {
	if o.file == nil || o.saving || !o.settled || time.Now().Before(o.saveAfter) {
		return
	}
	whole := o.saveWhole
	var points []Checkpoint
	for _, j := range o.jobs {
		if !j.mine || j.ended {
			continue
		}
		if items := j.news(whole, func(it *item) *mark { return &it.saved }); len(items) > 0 {
			points = append(points, Checkpoint{Job: j.id, Items: items})
		}
	}
	if len(points) == 0 {
		return
	}
	o.saving = true
	o.wg.Go(func() {
		full, err := o.file.save(points, whole)
		o.do(func() {
			o.saving, o.saveWhole = false, full || err != nil
			if err != nil {
				o.metrics.saveFailed.Inc(1)
				o.saveAfter = time.Now().Add(saveRetry)
				o.log.Warn("checkpoint not written", "jobs", len(points), "error", err)
				return
			}
			o.metrics.saved.Inc(1)
		})
	})
}

// copyProgress passes the news of a job to its next owner.
func (o *Owner) copyProgress(j *job) {
	items := j.news(j.copyWhole, func(it *item) *mark { return &it.copied })
	if len(items) == 0 {
		return
	}
	j.copying, j.copyWhole = true, false
	o.wg.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, checkpointTime)
		defer cancel()
		err := o.copyOver(ctx, Checkpoint{Job: j.id, Items: items})
		o.do(func() {
			j.copying, j.copyWhole = false, err != nil
			if err != nil {
				o.log.Debug("checkpoint not copied", "job", j.id, "error", err)
			}
		})
	})
}

// news returns what has become of a job's items since their marks, and moves the
// marks. With whole it begins anew.
func (j *job) news(whole bool, markOf func(*item) *mark) []Progress {
	var all []Progress
	for _, it := range j.items {
		m := markOf(it)
		if whole && it.state != itemListed {
			*m = mark{}
		}
		p, next, ok := it.news(*m)
		if ok {
			*m = next
			all = append(all, p)
		}
	}
	return all
}

// takeCopy keeps a checkpoint of a job that another owner runs, in case the job
// moves here. The answer is a conflict if something before it is missing.
func (o *Owner) takeCopy(c *Call) Answer {
	status := http.StatusOK
	o.ask(func() {
		j := o.jobs[c.Job]
		if j == nil {
			status = http.StatusConflict // the store's news of the job is under way
			return
		}
		if j.mine || j.ended {
			return
		}
		for _, p := range c.Progress {
			it := j.byID[p.Item]
			switch {
			case it == nil:
			case p.Listed:
				j.forget(it)
			case !j.resume(it, p):
				status = http.StatusConflict
			}
		}
	})
	return Answer{Status: status}
}
