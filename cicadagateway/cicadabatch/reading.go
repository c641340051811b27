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
		current = j != nil && j.resultsCurrent(time.Now())
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

// resultsCurrent reports whether the results in memory include every result that any
// owner may have returned to a reader.
func (j *job) resultsCurrent(now time.Time) bool {
	if !j.loaded {
		return false
	}
	return j.allListed() || j.owned && now.Sub(j.ownedSince) > lateWriteWindow || now.Sub(j.refreshedAt) < resultCacheTTL
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
