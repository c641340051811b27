package cicadabatch

import (
	"context"
	"errors"
	"net/http"
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

// loadedJob returns a job with up-to-date results, which it reads from the store if
// needed. On failure it returns an error response instead.
func (o *Owner) loadedJob(ctx context.Context, id string) (*job, *Response) {
	var j *job
	current := false
	lookup := func() {
		j = o.jobs[id]
		current = j != nil && j.resultsSource(time.Now()) != sourceNone
	}
	o.enqueueAndWait(lookup)
	if current {
		return j, nil
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	if j == nil {
		if resp := o.fetchJob(ctx, id); resp != nil {
			return nil, resp
		}
	}
	for {
		loaded, loading := make(chan struct{}), true
		o.enqueueAndWait(func() {
			lookup()
			if j == nil || current {
				close(loaded)
				return
			}
			if loading = o.loadResults(j, time.Now()); loading {
				j.waiters = append(j.waiters, func() { close(loaded) })
			}
		})
		if !loading {
			resp := unavailable()
			return nil, &resp
		}
		select {
		case <-loaded:
		case <-ctx.Done():
			resp := unavailable()
			return nil, &resp
		}
		o.enqueueAndWait(lookup)
		if current {
			return j, nil
		}
		if j == nil || ctx.Err() != nil {
			resp := unavailable()
			return nil, &resp
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

// resultsSource returns why the results in memory include every result that any owner may
// have returned to a reader, or sourceNone if some may be missing.
func (j *job) resultsSource(now time.Time) resultSource {
	switch {
	case !j.loaded:
		return sourceNone
	case j.allListed():
		return sourceComplete
	case now.Sub(j.refreshedAt) < resultCacheTTL:
		return sourceStore
	case j.owned && now.Sub(j.ownedSince) > lateWriteWindow:
		return sourceOwner
	}
	return sourceNone
}

// recordRead counts the source of an answer to a reader. It logs the first answer of a job
// and each later one with another source.
func (o *Owner) recordRead(j *job, now time.Time) {
	source := j.resultsSource(now)
	o.metrics.reads[source].Inc(1)
	if source == j.lastSource {
		return
	}
	o.log.Info("source of results", "job", j.id, "from", j.lastSource.String(), "to", source.String(), "listed", len(j.results),
		"items", j.record.Total, "mine", j.owned, "owned-for", durationSince(j.ownedSince, now), "store-age", durationSince(j.refreshedAt, now))
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
	o.enqueueAndWait(func() { o.applyJob(obj, true) })
	return nil
}

func (o *Owner) readResults(ctx context.Context, c *Call) Response {
	deadline := time.Now().Add(c.Wait)
	for {
		j, errResp := o.loadedJob(ctx, c.Job)
		if errResp != nil {
			return *errResp
		}
		var page []adapter.Result
		total := 0
		changed := make(chan struct{})
		o.enqueueAndWait(func() {
			o.recordRead(j, time.Now())
			page = append(page, j.resultsPage(c.After)...)
			total = j.record.Total
			if len(page) == 0 && !j.allListed() && !j.ended && time.Now().Before(deadline) {
				j.waiters = append(j.waiters, func() { close(changed) })
			} else {
				close(changed)
			}
		})
		if len(page) > 0 || !waitForChange(ctx, changed, deadline) {
			return o.resultsResponse(j, total, c.After, page)
		}
	}
}

// waitForChange waits until changed is closed, the deadline has passed or ctx is done.
// It reports whether changed was closed before the deadline.
func waitForChange(ctx context.Context, changed chan struct{}, deadline time.Time) bool {
	remaining := time.Until(deadline)
	if remaining <= 0 {
		return false
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-changed:
		return time.Now().Before(deadline)
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

func (o *Owner) resultsResponse(j *job, total, after int, page []adapter.Result) Response {
	body, err := adapter.EncodeResults(total, max(after, 0)+len(page), page)
	if err != nil {
		o.log.Error("failed to encode results", "job", j.id, "error", err)
		return Response{Status: http.StatusInternalServerError}
	}
	return Response{Status: http.StatusOK, Body: body, JSON: true}
}

func (o *Owner) itemBody(ctx context.Context, c *Call) Response {
	j, errResp := o.loadedJob(ctx, c.Job)
	if errResp != nil {
		return *errResp
	}
	resp := Response{Status: http.StatusNotFound}
	o.enqueueAndWait(func() {
		if it := j.itemsByID[c.Item]; it != nil && it.state != itemListed && !j.ended {
			resp = Response{Status: http.StatusOK, Body: it.Body}
		}
	})
	return resp
}
