package cicadabatch

import (
	"errors"
	"math/rand/v2"
	"time"

	"cicadalink.example/cicadakernel/cicadaplatform"
)

const (
	minLoadBackoff = 100 * time.Millisecond
	maxLoadBackoff = time.Second
)

// A loadBreaker limits the reads of results while the store fails. Without it, each unloaded
// job and each waiting reader would repeat its read as fast as the store refuses it. After a
// failure no job is read for a backoff, and then one at a time until a read succeeds. The
// zero value is ready to use.
type loadBreaker struct {
	backoff time.Duration // 0 while reads succeed
	until   time.Time
	probing bool // a read that ends the backoff is in progress
}

// allow reports whether a job may be read now.
func (b *loadBreaker) allow(now time.Time) bool {
	switch {
	case b.backoff == 0:
		return true
	case b.probing || now.Before(b.until):
		return false
	}
	b.probing = true
	return true
}

// record records the outcome of a read. Reads that were in progress when the first one failed
// do not extend the backoff.
func (b *loadBreaker) record(failed bool, now time.Time) {
	if !failed {
		*b = loadBreaker{}
		return
	}
	if b.backoff > 0 && now.Before(b.until) {
		return
	}
	b.probing = false
	b.backoff = min(max(2*b.backoff, minLoadBackoff), maxLoadBackoff)
	b.until = now.Add(b.backoff/2 + rand.N(b.backoff))
}

// loadResults starts to read the chunks, and the items, from the store that are not in memory
// yet. It reports false if the store must not be asked now.
func (o *Owner) loadResults(j *job, now time.Time) bool {
	if j.loading {
		return true
	}
	if !o.loads.allow(now) {
		return false
	}
	j.loading, j.loadStarted = true, now
	from, parts := j.chunkCount, 0
	if j.bodiesMissing {
		parts = j.record.Parts
	}
	o.wg.Go(func() {
		items, err := readParts(o.ctx, o.store, j.id, parts)
		if err != nil {
			o.enqueue(func() { o.resultsLoaded(j, from, nil, time.Time{}, err) })
			return
		}
		chunks, asOf, err := readChunks(o.ctx, o.store, j.id, from)
		o.enqueue(func() {
			if parts > 0 && err == nil {
				err = j.setBodies(items)
			}
			o.resultsLoaded(j, from, chunks, asOf, err)
		})
	})
	return true
}

// resultsLoaded ends a read of results. They hold every result that was stored by asOf.
func (o *Owner) resultsLoaded(j *job, from int, chunks []chunk, asOf time.Time, err error) {
	j.loading = false
	o.loads.record(errors.Is(err, cicadaplatform.ErrUnavailable) || errors.Is(err, cicadaplatform.ErrInDoubt), time.Now())
	for i, c := range chunks {
		if from+i == j.chunkCount { // this owner may have written one meanwhile
			o.appendChunk(j, c)
		}
	}
	if err != nil {
		o.log.Warn("failed to read results", "job", j.id, "chunks", j.chunkCount, "error", err)
	} else {
		j.loaded = true
		j.refreshedAt = asOf
		o.log.Info("job loaded", "job", j.id, "chunks", j.chunkCount, "listed", len(j.results), "items", j.record.Total,
			"took", time.Since(j.loadStarted).String())
	}
	o.notifyWaiters(j)
	o.Wake()
}
