package cicadabatch

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"cicadalink.example/cicadakernel/cicadaplatform"
	adapter "cicadalink.example/platform"
)

const (
	// resultCacheTTL is how long the results in memory are served without rereading the
	// store, if the job is owned elsewhere or has just moved here.
	resultCacheTTL = 300 * time.Millisecond
	// lateWriteWindow is the time after a job has moved here during which its results
	// are reread from the store, as a delayed write of the former owner may still take
	// effect.
	lateWriteWindow = 10 * time.Second
	readTimeout     = 2 * time.Second // limit on reading a job and its results
)

// readJob runs f in the event loop with the job of a call, and with the source of its results. The
// results in memory then include every result that any owner may have returned to a reader before the
// call; readJob reads them from the store if needed. If the job cannot be read, or does not belong to
// the customer of the call, readJob returns an error response instead.
func (o *Owner) readJob(ctx context.Context, c *Call, f func(j *job, source resultSource)) *Response {
	id, called := c.Job, time.Now()
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	for fetched := false; ; {
		known, foreign, loading := false, false, (chan struct{})(nil)
		done := false
		ran := o.runInLoop(ctx, func() {
			j := o.jobs[id]
			if known = j != nil; !known {
				return
			}
			if foreign = j.record.Customer != c.Customer; foreign {
				return
			}
			now := time.Now()
			if source := o.resultsSource(j, now, called); source != sourceNone {
				f(j, source)
				done = true
			} else if o.loadResults(j, now) {
				loading = make(chan struct{})
				j.waiters = append(j.waiters, func() { close(loading) })
			}
		})
		switch {
		case !ran:
			resp := unavailable()
			return &resp
		case foreign:
			return &Response{Status: http.StatusNotFound}
		case done:
			return nil
		case !known && !fetched:
			if resp := o.fetchJob(ctx, id); resp != nil {
				return resp
			}
			fetched = true
			continue
		case loading == nil:
			resp := unavailable()
			return &resp
		}
		select {
		case <-loading:
		case <-ctx.Done():
			resp := unavailable()
			return &resp
		}
	}
}

// A resultSource is why the results of a job in memory may be returned to a reader.
type resultSource int

const (
	sourceNone     resultSource = iota // they may not, the store must be read first
	sourceComplete                     // every result is listed
	sourceStore                        // they were read from the store within resultCacheTTL
	sourceOwner                        // only this owner lists results of the job
)

var resultSourceNames = [...]string{sourceNone: "none", sourceComplete: "complete", sourceStore: "store", sourceOwner: "owner"}

// String returns the name of a source, as it is logged.
func (s resultSource) String() string { return resultSourceNames[s] }

// resultsSource returns why the results of a job in memory include every result that any owner may
// have returned to a reader before called, or sourceNone if some may be missing.
func (o *Owner) resultsSource(j *job, now, called time.Time) resultSource {
	switch {
	case !j.loaded:
		return sourceNone
	case j.allListed():
		return sourceComplete
	case now.Sub(j.refreshedAt) < resultCacheTTL || !j.refreshedAt.Before(called):
		return sourceStore
	case j.owned && o.checkTenure(now) && now.Sub(j.ownedSince) > lateWriteWindow:
		return sourceOwner // checkTenure may have changed ownedSince
	}
	return sourceNone
}

// recordRead counts the source of an answer to a reader. It logs the first answer of a job
// and each later one with another source.
func (o *Owner) recordRead(j *job, source resultSource) {
	o.metrics.reads[source].Inc(1)
	if source == j.lastSource {
		return
	}
	now := time.Now()
	o.log.Info("source of results", "job", j.id, "from", j.lastSource.String(), "to", source.String(), "listed", len(j.results),
		"items", j.record.Total, "mine", j.owned, "unconfirmed", o.unconfirmed,
		"owned-for", durationSince(j.ownedSince, now), "store-age", durationSince(j.refreshedAt, now))
	j.lastSource = source
}

// durationSince formats the time since t, which may be zero.
func durationSince(t, now time.Time) string {
	if t.IsZero() {
		return "none"
	}
	return now.Sub(t).String()
}

// fetchJob reads a job that is not in memory from the store. It returns an error
// response, or nil on success.
func (o *Owner) fetchJob(ctx context.Context, id string) *Response {
	obj, err := o.store.Get(ctx, JobsPrefix+id)
	if errors.Is(err, cicadaplatform.ErrNotFound) {
		return &Response{Status: http.StatusNotFound}
	}
	if err != nil {
		o.log.Warn("failed to read job", "job", id, "error", err)
		resp := unavailable()
		return &resp
	}
	o.runInLoop(ctx, func() { o.applyJob(obj, true) })
	return nil
}

// readResults returns the results from a position on. If there are none, it waits for one. What it
// returns is up to date when it returns, not only when it began to wait.
func (o *Owner) readResults(ctx context.Context, c *Call) Response {
	deadline := time.Now().Add(c.Wait)
	for ctx.Err() == nil {
		var page []adapter.Result
		var changed chan struct{}
		total := 0
		errResp := o.readJob(ctx, c, func(j *job, source resultSource) {
			o.recordRead(j, source)
			page, total = slices.Clone(j.resultsPage(c.After)), j.record.Total
			if len(page) == 0 && !j.allListed() && !j.ended && time.Now().Before(deadline) {
				changed = make(chan struct{})
				j.waiters = append(j.waiters, func() { close(changed) })
			}
		})
		if errResp != nil {
			return *errResp
		}
		if changed == nil {
			return o.resultsResponse(c, total, page)
		}
		waitForChange(ctx, changed, deadline)
	}
	return unavailable()
}

// waitForChange waits until changed is closed, the deadline has passed or ctx is done.
func waitForChange(ctx context.Context, changed chan struct{}, deadline time.Time) {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (o *Owner) resultsResponse(c *Call, total int, page []adapter.Result) Response {
	body, err := adapter.EncodeResults(total, max(c.After, 0)+len(page), page)
	if err != nil {
		o.log.Error("failed to encode results", "job", c.Job, "error", err)
		return Response{Status: http.StatusInternalServerError}
	}
	return Response{Status: http.StatusOK, Body: body, JSON: true}
}

func (o *Owner) itemBody(ctx context.Context, c *Call) Response {
	resp := Response{Status: http.StatusNotFound}
	errResp := o.readJob(ctx, c, func(j *job, _ resultSource) {
		if it := j.itemsByID[c.Item]; it != nil && it.state != itemListed && !j.ended {
			resp = Response{Status: http.StatusOK, Body: it.Body}
		}
	})
	if errResp != nil {
		return *errResp
	}
	return resp
}
