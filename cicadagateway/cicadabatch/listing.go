package cicadabatch

import (
	"context"
	"errors"
	"slices"
	"time"

	"cicadalink.example/cicadakernel/cicadaplatform"
	adapter "cicadalink.example/platform"
)

// flush starts to store the pending results of a job of this owner in a chunk if the job is
// finished or the flush delay has passed.
func (o *Owner) flush(j *job, now time.Time) {
	if len(j.pending) == 0 || j.writing || !j.loaded || !j.owned {
		return
	}
	if !j.finished() && now.Sub(j.oldestPending) < j.flushDelay(now) {
		return
	}
	j.writing = true
	if o.roster.recordWrite(j.id) {
		o.publishRoster()
	}
	number := j.chunkCount
	length := fitChunk(j.pending, o.store.ValueSize)
	if j.maxChunkLength > 0 {
		length = min(length, j.maxChunkLength)
	}
	c := chunk{Writer: o.name, Results: slices.Clone(j.pending[:length])}
	ctx, cancel := context.WithCancel(o.ctx)
	j.cancelWrite = cancel
	o.wg.Go(func() {
		defer cancel()
		written, err := writeChunk(ctx, o.store, j.id, number, c)
		o.enqueue(func() {
			if errors.Is(err, cicadaplatform.ErrTooLarge) {
				o.splitChunk(j, c)
			}
			o.chunkWritten(j, number, written, err)
		})
	})
}

// splitChunk makes the next chunk half as long as one that was too large for an object. A
// single result that is too large cannot be stored, so that its item fails.
func (o *Owner) splitChunk(j *job, c chunk) {
	if len(c.Results) > 1 {
		j.maxChunkLength = len(c.Results) / 2
		return
	}
	r := c.Results[0]
	o.log.Error("result too large for the store, item failed", "item", r.ID, "job", j.id, "bytes", len(r.Output))
	o.metrics.tooLarge.Inc(1)
	j.dropPending(r.ID)
	if it := j.itemsByID[r.ID]; it != nil && it.state == itemFinished {
		j.finish(it, adapter.StateFailed, "", time.Now())
	}
}

// flushDelay returns how long results of the job may wait to be stored together. Until
// then, checkpoints preserve them.
func (j *job) flushDelay(now time.Time) time.Duration {
	if j.due().Sub(now) < urgentFlushWindow {
		return urgentFlushDelay
	}
	return flushDelay
}

func (o *Owner) chunkWritten(j *job, number int, written chunk, err error) {
	j.writing = false
	if err != nil {
		o.log.Warn("failed to write results", "job", j.id, "chunk", number, "error", err)
		return
	}
	j.maxChunkLength = 0
	if written.Writer != o.name {
		o.log.Warn("another owner wrote results", "job", j.id, "chunk", number, "owner", written.Writer)
		j.renew(time.Now())
	}
	if j.chunkCount == number {
		o.appendChunk(j, written)
	}
	o.metrics.timeLeft.RecordDuration(time.Until(j.due()))
	o.log.Info("results listed", "job", j.id, "chunk", number, "listed", len(j.results), "items", j.record.Total,
		"left", time.Until(j.due()).String())
	o.notifyWaiters(j)
	o.flush(j, time.Now())
}
