package cicadabatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadagateway/cicadaexchange"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadatask"
	adapter "cicadalink.example/platform"
)

// submit accepts a job. Concurrent submissions of one job are handled as one.
func (o *Owner) submit(ctx context.Context, c *Call) Response {
	outcome := o.submissions.DoChan(c.Job, func() (any, error) {
		ctx, cancel := context.WithTimeout(o.ctx, acceptTimeout)
		defer cancel()
		resp := outcomeUnknown()
		if err := cicadatask.Try(func() { resp = o.accept(ctx, c) }); err != nil {
			o.log.Error("submission panicked", "job", c.Job, "error", err)
		}
		return o.doubts.apply(c.Job, resp, time.Now()), nil
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
	exists, assignments := false, 0
	if !o.runInLoop(ctx, func() { exists, assignments = o.jobs[c.Job] != nil, o.assignments }) {
		return outcomeUnknown()
	}
	if exists {
		return Response{Status: http.StatusAccepted}
	}
	items, err := adapter.DecodeJob(c.Body)
	if err == nil {
		err = validateItems(c.Host, items)
	}
	if err != nil {
		o.metrics.jobsInvalid.Inc(1)
		o.log.Warn("submission rejected", "job", c.Job, "error", err)
		return Response{Status: http.StatusBadRequest}
	}
	if refusal := o.reserve(ctx, c, sumTokens(items)); refusal != nil {
		return o.confirmRefusal(ctx, c, *refusal)
	}
	if !o.runInLoop(ctx, func() { exists = o.releaseDuplicate(c) }) {
		return outcomeUnknown()
	}
	if exists {
		return Response{Status: http.StatusAccepted}
	}
	now := time.Now()
	r := jobRecord{
		Host: c.Host, Path: c.Path, AcceptedMs: now.UnixMilli(), DueMs: c.Due.Milliseconds(), GiveUpMs: c.GiveUp.Milliseconds(),
		Total: len(items), SubmittedBy: o.name, Items: items,
	}
	obj, parts, err := storeJob(ctx, o.store, c.Job, r)
	if err != nil && !errors.Is(err, cicadaplatform.ErrExists) {
		return o.submitError(c, err)
	}
	o.log.Info("job accepted", "job", c.Job, "items", len(items), "repeat", err != nil, "took", time.Since(now).String())
	if err == nil {
		o.enqueue(func() {
			if o.jobs[c.Job] == nil {
				j := o.addJob(c.Job, r, now)
				j.version, j.ownedSince = obj.Version(), time.Now()
				j.record.Parts = parts
			}
			o.applyAccepted(o.jobs[c.Job], items, now, assignments)
			o.Wake()
		})
	}
	return Response{Status: http.StatusAccepted}
}

// validateItems reports whether the items can be sent as requests.
func validateItems(host string, items []adapter.Item) error {
	for _, it := range items {
		header := itemHeader(it)
		header.Set(adapter.HeaderRequestID, it.ID)
		req := cicadaexchange.Request{Method: http.MethodPost, Target: it.Path, Host: host, Header: header}
		if err := req.Validate(); err != nil {
			return merry.Errorf("item %q: %w", it.ID, err)
		}
	}
	return nil
}

// itemHeader returns the fields of an item's header that reach the endpoint.
func itemHeader(it adapter.Item) http.Header {
	header := make(http.Header, len(it.Headers))
	for name, value := range it.Headers {
		header.Set(name, value)
	}
	return cicadaexchange.EndToEnd(header)
}

// applyAccepted completes a job that this process has stored; the watch may have reported it before
// the store's answer. Unless jobs may have moved since the given number of assignments, the job
// has been here from the beginning, and its results in memory are complete.
func (o *Owner) applyAccepted(j *job, items []adapter.Item, acceptedAt time.Time, assignments int) {
	j.acceptedAt, j.clockSkew = acceptedAt, 0
	if o.assignments != assignments || j.bodiesMissing && j.setBodies(items) != nil {
		return
	}
	j.ownedSince, j.loaded = time.Time{}, true
}

func sumTokens(items []adapter.Item) int64 {
	tokens := int64(0)
	for _, it := range items {
		tokens += int64(it.Tokens)
	}
	return tokens
}

// confirmRefusal returns the refusal of a job that is not in the store. A job that another owner has
// accepted, and this one does not know yet, is not refused. That the store did not have a job earlier
// says nothing: another owner may have got the same submission since, and the watch may be late.
func (o *Owner) confirmRefusal(ctx context.Context, c *Call, refusal Response) Response {
	obj, err := o.store.Get(ctx, JobsPrefix+c.Job)
	switch {
	case err == nil:
		o.enqueue(func() { o.applyJob(obj, true) })
		return Response{Status: http.StatusAccepted}
	case errors.Is(err, cicadaplatform.ErrNotFound):
		return refusal
	}
	o.log.Warn("failed to look up refused job", "job", c.Job, "error", err)
	return outcomeUnknown()
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
