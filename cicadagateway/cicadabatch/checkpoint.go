package cicadabatch

import (
	"context"
	"math"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"

	"cicadalink.example/cicadagateway/cicadacheckpoint"
)

const (
	// checkpointInterval bounds the work on an item that a crash can lose.
	checkpointInterval = 500 * time.Millisecond
	// maxCheckpointFileBytes is the size from which the checkpoint file is compacted.
	maxCheckpointFileBytes = 16 << 20
	replicateTimeout       = time.Second // limit on replicating a checkpoint to the next owner
	// saveRetryDelay is the delay after a failed write. Each retry starts a new file.
	saveRetryDelay = 3 * time.Second
	// maxProgressBytes limits the output in one message to another owner. It is small compared
	// with the largest message that is received.
	maxProgressBytes = 8 << 20
)

// A Checkpoint is the progress of a job's items since the previous checkpoint.
type Checkpoint struct {
	Job   string
	Items []Progress
}

// A CheckpointFile stores an owner's checkpoints on the VM's disk. After a restart the
// owner resumes its items from them.
type CheckpointFile struct {
	log          *cicadacheckpoint.Log
	recovered    map[string]map[string]*recoveredItem // by job and item
	decodeErrors int                                  // intact records that could not be decoded
}

// recoveredItem is the progress of an item restored from the checkpoints of a former
// process.
type recoveredItem struct {
	itemProgress
	resultState string
}

// OpenCheckpoints reads the checkpoints in a directory, which it creates if it does
// not exist.
func OpenCheckpoints(dir string) (*CheckpointFile, error) {
	f := &CheckpointFile{recovered: make(map[string]map[string]*recoveredItem)}
	log, err := cicadacheckpoint.Open(dir, f.replay)
	if err != nil {
		return nil, merry.Errorf("open checkpoints: %w", err)
	}
	f.log = log
	return f, nil
}

// Jobs returns the number of jobs that have checkpoints from before the restart.
func (f *CheckpointFile) Jobs() int { return len(f.recovered) }

// TornFiles returns the number of files that ended in an incomplete or damaged record.
func (f *CheckpointFile) TornFiles() int { return f.log.TornFiles() }

// DecodeErrors returns the number of intact records that could not be decoded.
func (f *CheckpointFile) DecodeErrors() int { return f.decodeErrors }

// replay applies a record. A record that cannot be decoded is skipped and counted.
// Output that does not continue the known output of its item is skipped.
func (f *CheckpointFile) replay(record []byte) {
	var checkpoints []Checkpoint
	if cbor.Unmarshal(record, &checkpoints) != nil {
		f.decodeErrors++
		return
	}
	for _, checkpoint := range checkpoints {
		items := f.recovered[checkpoint.Job]
		if items == nil {
			items = make(map[string]*recoveredItem)
			f.recovered[checkpoint.Job] = items
		}
		for _, p := range checkpoint.Items {
			it := items[p.Item]
			if it == nil || p.From == 0 { // a full progress replaces all earlier ones
				it = &recoveredItem{}
				items[p.Item] = it
			}
			if p.Listed {
				continue
			}
			if applied, _ := it.apply(p); applied && p.State != "" {
				it.resultState = p.State
			}
		}
	}
}

// save writes checkpoints and returns once they are on disk. If full is set, they
// contain all progress that is still needed and replace everything written before.
// needsCompaction reports that the file has become so large that the next save should
// be full.
func (f *CheckpointFile) save(checkpoints []Checkpoint, full bool) (needsCompaction bool, err error) {
	record, err := cbor.Marshal(checkpoints)
	if err != nil {
		return false, merry.Errorf("encode checkpoints: %w", err)
	}
	write := f.log.Append
	if full {
		write = f.log.Replace
	}
	if err := write(record); err != nil {
		return false, err
	}
	return f.log.Size() > maxCheckpointFileBytes, nil
}

// restoreRecovered applies the checkpoints from before a restart to a job that has
// just been added.
func (o *Owner) restoreRecovered(j *job) {
	items := o.recovered[j.id]
	delete(o.recovered, j.id)
	for id, r := range items {
		it := j.itemsByID[id]
		if it == nil || r.lastEvent == 0 && r.resultState == "" {
			continue
		}
		o.resume(it, Progress{
			Item: id, Origin: r.origin, Generation: r.generation, Last: r.lastEvent, Text: r.output.String(),
			Failures: r.failures, State: r.resultState,
		}, sourceFile)
		j.recoveredItems++
	}
	if j.recoveredItems > 0 {
		o.log.Info("job recovered", "job", j.id, "items", j.recoveredItems, "mine", j.owned)
	}
}

// handOverRecovered acts once after a restart, when the jobs in the store are known. It
// sends the recovered progress of jobs that now run elsewhere to their owners, and
// drops that of jobs which no longer exist.
func (o *Owner) handOverRecovered() {
	if !o.jobsReceived || o.recoveryDone {
		return
	}
	o.recoveryDone, o.recovered = true, nil
	for _, j := range o.jobs {
		if j.recoveredItems > 0 && !j.owned {
			o.handOver(j)
		}
	}
}

// checkpoint saves the progress of items to the disk, and replicates it to the next
// owner of each job, which is the one that would run the job if this one failed.
func (o *Owner) checkpoint(now time.Time) {
	if now.Sub(o.lastCheckpoint) < checkpointInterval {
		return
	}
	o.lastCheckpoint = now
	o.saveProgress()
	for _, j := range o.jobs {
		if j.owned && !j.ended && !j.replicating {
			o.replicateProgress(j)
		}
	}
}

// saveProgress starts to write a checkpoint to the disk, unless the previous write is
// still in progress. A slow disk makes checkpoints less frequent and blocks nothing.
func (o *Owner) saveProgress() {
	if o.checkpointFile == nil || o.saving || !o.recoveryDone || time.Now().Before(o.nextSaveAt) {
		return
	}
	full := o.saveFull
	var checkpoints []Checkpoint
	for _, j := range o.jobs {
		if !j.owned || j.ended {
			continue
		}
		if items := j.progressSince(full, math.MaxInt, func(it *item) *progressMark { return &it.savedMark }); len(items) > 0 {
			checkpoints = append(checkpoints, Checkpoint{Job: j.id, Items: items})
		}
	}
	if len(checkpoints) == 0 {
		return
	}
	o.saving = true
	o.wg.Go(func() {
		needsCompaction, err := o.checkpointFile.save(checkpoints, full)
		o.enqueue(func() {
			o.saving, o.saveFull = false, needsCompaction || err != nil
			if err != nil {
				o.metrics.checkpointsFailed.Inc(1)
				o.nextSaveAt = time.Now().Add(saveRetryDelay)
				o.log.Warn("failed to write checkpoint", "jobs", len(checkpoints), "error", err)
				return
			}
			o.metrics.checkpointsWritten.Inc(1)
		})
	})
}

// replicateProgress sends a job's progress since the last replication to its next
// owner. What does not fit in a message follows with the next checkpoint.
func (o *Owner) replicateProgress(j *job) {
	items := j.progressSince(j.replicateFull, maxProgressBytes, func(it *item) *progressMark { return &it.replicatedMark })
	if len(items) == 0 {
		return
	}
	j.replicating, j.replicateFull = true, false
	o.wg.Go(func() {
		ctx, cancel := context.WithTimeout(o.ctx, replicateTimeout)
		defer cancel()
		err := o.sendCheckpoint(ctx, Checkpoint{Job: j.id, Items: items})
		o.enqueue(func() {
			j.replicating, j.replicateFull = false, err != nil
			if err != nil {
				o.log.Debug("failed to replicate checkpoint", "job", j.id, "error", err)
			}
		})
	})
}

// progressSince returns the progress of a job's items since the marks that markOf
// selects, and advances these marks. If full is set, it returns all progress. It stops once
// the output reaches limit bytes.
func (j *job) progressSince(full bool, limit int, markOf func(*item) *progressMark) []Progress {
	for _, it := range j.items {
		if full && it.state != itemListed {
			*markOf(it) = progressMark{}
		}
	}
	var all []Progress
	size := 0
	for _, it := range j.items {
		if size >= limit {
			break
		}
		m := markOf(it)
		p, next, ok := it.progressSince(*m)
		if ok {
			*m = next
			all = append(all, p)
			size += len(p.Text)
		}
	}
	return all
}

// applyCheckpoint applies a checkpoint of a job that another owner runs, in case the
// job moves here. The response is a conflict if the job is not known here yet or an
// earlier checkpoint is missing.
func (o *Owner) applyCheckpoint(ctx context.Context, c *Call) Response {
	status := http.StatusOK
	ran := o.runInLoop(ctx, func() {
		j := o.jobs[c.Job]
		if j == nil {
			status = http.StatusConflict // the watch has not delivered the job yet
			return
		}
		if j.owned || j.ended {
			return
		}
		for _, p := range c.Progress {
			it := j.itemsByID[p.Item]
			switch {
			case it == nil:
			case p.Listed:
				j.discardProgress(it)
			case !o.resume(it, p, sourceCheckpoint):
				status = http.StatusConflict
			}
		}
	})
	if !ran {
		return unavailable()
	}
	return Response{Status: status}
}
