package cicadabatch

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"time"

	"cicadalink.example/cicadakernel/cicadaplatform"
	adapter "cicadalink.example/platform"
)

const (
	acceptTimeout = 2500 * time.Millisecond // limit on storing a submission or marking a job as ended
	// resultCacheTTL is how long the results in memory are served without rereading the
	// store, if the job is owned elsewhere or has just moved here.
	resultCacheTTL = 300 * time.Millisecond
	// lateWriteWindow is the time after a job has moved here during which its results
	// are reread from the store, as a delayed write of the former owner may still take
	// effect.
	lateWriteWindow = 10 * time.Second
	readTimeout     = 2 * time.Second // limit on reading a job and its results
	retryAfter      = 300 * time.Millisecond
	statusLimited   = http.StatusTooManyRequests // of a job that does not fit in the limit of its route
)

// A Call is a request about one job, as an entry sends it to the job's owner.
type Call struct {
	Kind   CallKind
	Job    string
	Host   string
	Path   string
	Due    time.Duration
	GiveUp time.Duration
	Body   []byte
	After  int
	Item   string
	Wait   time.Duration
	// Relayed is set by a process that relays the call for a sender that cannot reach
	// the owner. Such a call is not relayed again.
	Relayed bool
	// Progress is the payload of CallHandOver and CallCheckpoint.
	Progress []Progress
	// Waiting is the payload of CallReportWaiting.
	Waiting []WaitingTokens
	// Route is the name of the route of CallShrink.
	Route string
}

// A CallKind selects the operation of a Call.
type CallKind int

// Kinds of calls.
const (
	CallSubmit        CallKind = iota // store a job and run it
	CallReadResults                   // read results from a position on
	CallReadItem                      // read the body of an unfinished item
	CallEndJob                        // end a job; its listed results stay readable
	CallHandOver                      // receive the progress of a job that has moved here
	CallCheckpoint                    // keep a replica of the progress of a job owned elsewhere
	CallReportWaiting                 // receive the waiting tokens of jobs that run elsewhere
	CallShrink                        // return reserved tokens of a route that no job needs
)

// A Response is the response to a Call, with an HTTP status.
type Response struct {
	Status     int
	Body       []byte
	JSON       bool
	RetryAfter time.Duration
}

func unavailable() Response {
	return Response{Status: http.StatusServiceUnavailable, RetryAfter: retryAfter}
}

// outcomeUnknown is the response to a call whose write may still take effect.
func outcomeUnknown() Response { return Response{Status: http.StatusBadGateway} }

// Handle serves a call.
func (o *Owner) Handle(ctx context.Context, c *Call) (*Response, error) {
	var resp Response
	switch c.Kind {
	case CallSubmit:
		resp = o.submit(ctx, c)
	case CallReadResults:
		resp = o.readResults(ctx, c)
	case CallReadItem:
		resp = o.itemBody(ctx, c)
	case CallEndJob:
		resp = o.endJob(ctx, c)
	case CallHandOver:
		o.enqueue(func() { o.receiveHandOver(c.Job, c.Progress) })
		resp = Response{Status: http.StatusOK}
	case CallCheckpoint:
		resp = o.applyCheckpoint(c)
	case CallReportWaiting:
		o.enqueue(func() { o.applyWaiting(c.Waiting) })
		resp = Response{Status: http.StatusOK}
	case CallShrink:
		if o.limiter != nil {
			o.limiter.Shrink(ctx, c.Route)
		}
		resp = Response{Status: http.StatusOK}
	default:
		resp = Response{Status: http.StatusBadRequest}
	}
	return &resp, nil
}

// enqueueAndWait runs f in the event loop and waits until it has returned.
func (o *Owner) enqueueAndWait(f func()) {
	done := make(chan struct{})
	o.enqueue(func() {
		f()
		close(done)
	})
	select {
	case <-done:
	case <-o.ctx.Done():
	}
}

// submit accepts a job. Concurrent submissions of one job are handled as one.
func (o *Owner) submit(ctx context.Context, c *Call) Response {
	outcome := o.submissions.DoChan(c.Job, func() (any, error) {
		ctx, cancel := context.WithTimeout(o.ctx, acceptTimeout)
		defer cancel()
		return o.accept(ctx, c), nil
	})
	select {
	case r := <-outcome:
		return r.Val.(Response)
	case <-ctx.Done():
		return outcomeUnknown()
	}
}

// accept stores a job, if its tokens fit in the limit of its route.
func (o *Owner) accept(ctx context.Context, c *Call) Response {
	exists := false
	o.enqueueAndWait(func() { exists = o.jobs[c.Job] != nil })
	if exists {
		return Response{Status: http.StatusAccepted}
	}
	items, err := adapter.DecodeJob(c.Body)
	if err != nil {
		o.log.Warn("submission rejected", "job", c.Job, "error", err)
		return Response{Status: http.StatusBadRequest}
	}
	if refusal := o.reserve(ctx, c, sumTokens(items)); refusal != nil {
		return o.confirmRefusal(ctx, c, *refusal)
	}
	now := time.Now()
	r := jobRecord{
		Host: c.Host, Path: c.Path, AcceptedMs: now.UnixMilli(), DueMs: c.Due.Milliseconds(), GiveUpMs: c.GiveUp.Milliseconds(),
		Total: len(items), SubmittedBy: o.name, Items: items,
	}
	value, err := json.Marshal(r)
	if err != nil {
		o.releaseTokens(c.Host, c.Path, c.Job)
		o.log.Error("failed to encode submission", "job", c.Job, "error", err)
		return Response{Status: http.StatusInternalServerError}
	}
	obj, err := o.store.Create(ctx, cicadaplatform.ClassClaim, JobsPrefix+c.Job, value)
	if err != nil && !errors.Is(err, cicadaplatform.ErrExists) {
		return o.submitError(c, err)
	}
	o.log.Info("job accepted", "job", c.Job, "items", len(items), "repeat", err != nil, "took", time.Since(now).String())
	if err == nil {
		o.enqueue(func() {
			if o.jobs[c.Job] == nil {
				j := o.addJob(c.Job, r, now)
				j.version = obj.Version()
				j.loaded = true // a new job has no results to load
			}
			o.Wake()
		})
	}
	return Response{Status: http.StatusAccepted}
}

func sumTokens(items []adapter.Item) int64 {
	tokens := int64(0)
	for _, it := range items {
		tokens += int64(it.Tokens)
	}
	return tokens
}

// lookupTTL is how long the store's answer that a refused job does not exist is trusted.
// Callers may return many times within their time, and each look-up is a call to the store.
const lookupTTL = 5 * time.Second

// confirmRefusal returns the refusal of a job that is not in the store. A job that another
// owner has accepted, and this one does not know yet, is not refused.
func (o *Owner) confirmRefusal(ctx context.Context, c *Call, refusal Response) Response {
	recent := false
	o.enqueueAndWait(func() { recent = time.Since(o.absentJobs[c.Job]) < lookupTTL })
	if recent {
		return refusal
	}
	_, err := o.store.Get(ctx, JobsPrefix+c.Job)
	switch {
	case err == nil:
		return Response{Status: http.StatusAccepted}
	case errors.Is(err, cicadaplatform.ErrNotFound):
		o.enqueue(func() { o.absentJobs[c.Job] = time.Now() })
		return refusal
	}
	o.log.Warn("failed to look up refused job", "job", c.Job, "error", err)
	return outcomeUnknown()
}

// forgetAbsentJobs removes look-ups that are not trusted any more.
func (o *Owner) forgetAbsentJobs(now time.Time) {
	maps.DeleteFunc(o.absentJobs, func(_ string, at time.Time) bool { return now.Sub(at) >= lookupTTL })
}

func (o *Owner) submitError(c *Call, err error) Response {
	o.log.Warn("failed to store job", "job", c.Job, "error", err)
	switch {
	case errors.Is(err, cicadaplatform.ErrTooLarge):
		o.releaseTokens(c.Host, c.Path, c.Job)
		return Response{Status: http.StatusRequestEntityTooLarge}
	case errors.Is(err, cicadaplatform.ErrInDoubt):
		return outcomeUnknown()
	case errors.Is(err, cicadaplatform.ErrUnavailable):
		o.releaseTokens(c.Host, c.Path, c.Job)
		return unavailable()
	}
	return outcomeUnknown()
}

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

// endJob marks a job in the store as ended. Its owner is notified by its watch.
func (o *Owner) endJob(ctx context.Context, c *Call) Response {
	ctx, cancel := context.WithTimeout(ctx, acceptTimeout)
	defer cancel()
	for {
		obj, err := o.store.Get(ctx, JobsPrefix+c.Job)
		if errors.Is(err, cicadaplatform.ErrNotFound) {
			return Response{Status: http.StatusNotFound}
		}
		if err != nil {
			o.log.Warn("failed to read job to be ended", "job", c.Job, "error", err)
			return unavailable()
		}
		done, resp := o.storeEnded(ctx, obj)
		if done {
			return resp
		}
	}
}

// storeEnded marks a job in the store as ended and removes the bodies of its items. It
// reports false if the object has changed since it was read and must be read again.
func (o *Owner) storeEnded(ctx context.Context, obj cicadaplatform.Object) (bool, Response) {
	r, err := decodeRecord(obj.Value())
	if err != nil {
		o.log.Error("failed to decode job to be ended", "name", obj.Name(), "error", err)
		return true, Response{Status: http.StatusInternalServerError}
	}
	if !r.Ended {
		r.Ended = true
		for i := range r.Items {
			r.Items[i] = adapter.Item{ID: r.Items[i].ID, Path: r.Items[i].Path}
		}
		value, err := json.Marshal(r)
		if err != nil {
			return true, Response{Status: http.StatusInternalServerError}
		}
		updated, err := o.store.Update(ctx, cicadaplatform.ClassClaim, obj.Name(), obj.Version(), value)
		if errors.Is(err, cicadaplatform.ErrConflict) {
			return false, Response{}
		}
		if err != nil {
			o.log.Warn("failed to mark job as ended", "name", obj.Name(), "error", err)
			return true, unavailable()
		}
		obj = updated
	}
	o.enqueueAndWait(func() { o.applyJob(obj, true) })
	return true, Response{Status: http.StatusOK}
}
