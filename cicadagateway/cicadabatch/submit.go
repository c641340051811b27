package cicadabatch

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadagateway/cicadaexchange"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadatask"
	adapter "cicadalink.example/platform"
)

// submit accepts a job. Concurrent submissions of one job by one customer are handled as one.
func (o *Owner) submit(ctx context.Context, c *Call) Response {
	outcome := o.submissions.DoChan(c.Customer+"\x00"+c.Job, func() (any, error) {
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
	var known *Response
	assignments := 0
	if !o.runInLoop(ctx, func() { known, assignments = o.knownJobResponse(c), o.assignments }) {
		return outcomeUnknown()
	}
	if known != nil {
		return *known
	}
	items, err := decodeItems(c)
	if err != nil {
		o.metrics.jobsInvalid.Inc(1)
		o.log.Warn("submission rejected", "job", c.Job, "error", err)
		return Response{Status: http.StatusBadRequest}
	}
	if refusal := o.reserve(ctx, c, sumTokens(items)); refusal != nil {
		return o.confirmRefusal(ctx, c, *refusal)
	}
	if !o.runInLoop(ctx, func() {
		if o.releaseDuplicate(c) {
			known = o.knownJobResponse(c)
		}
	}) {
		return outcomeUnknown()
	}
	if known != nil {
		return *known
	}
	if o.dropsCredentials(c.Customer) {
		dropCredentials(items)
	}
	now := time.Now()
	r := o.newRecord(c, items, now)
	obj, parts, err := storeJob(ctx, o.store, c.Job, r)
	if err != nil && !errors.Is(err, cicadaplatform.ErrExists) {
		return o.submitError(c, err)
	}
	repeat, resp := err != nil, Response{Status: http.StatusAccepted}
	if repeat {
		resp = o.confirmRepeat(ctx, c)
	}
	if resp.Status == http.StatusAccepted {
		o.log.Info("job accepted", "job", c.Job, "customer", c.Customer, "items", len(items), "repeat", repeat, "took", time.Since(now).String())
	}
	if repeat {
		return resp
	}
	o.enqueue(func() {
		if o.jobs[c.Job] == nil {
			j := o.addJob(c.Job, r, now)
			j.version, j.ownedSince = obj.Version(), time.Now()
			j.record.Parts = parts
		}
		o.applyAccepted(o.jobs[c.Job], items, now, assignments)
		o.Wake()
	})
	return Response{Status: http.StatusAccepted}
}

// decodeItems decodes and validates the items of a submission.
func decodeItems(c *Call) ([]adapter.Item, error) {
	items, err := adapter.DecodeJob(c.Body)
	if err != nil {
		return nil, err
	}
	return items, validateItems(c.Host, items)
}

// newRecord returns the record of a job that this owner accepts at a time.
func (o *Owner) newRecord(c *Call, items []adapter.Item, now time.Time) jobRecord {
	return jobRecord{
		Host: c.Host, Path: c.Path, Customer: c.Customer, AcceptedMs: now.UnixMilli(), DueMs: c.Due.Milliseconds(), GiveUpMs: c.GiveUp.Milliseconds(),
		Total: len(items), SubmittedBy: o.name, Items: items,
	}
}

// duplicateResponse returns the response to the submission of a job that exists and belongs to a
// customer: accepted for the same customer, and otherwise a conflict of IDs.
func duplicateResponse(customer string, c *Call) Response {
	if customer != c.Customer {
		return Response{Status: http.StatusConflict}
	}
	return Response{Status: http.StatusAccepted}
}

// knownJobResponse returns the response to the submission of a job that this owner knows, or nil if it
// does not know the job. It is called in the event loop.
func (o *Owner) knownJobResponse(c *Call) *Response {
	j := o.jobs[c.Job]
	if j == nil {
		return nil
	}
	resp := duplicateResponse(j.record.Customer, c)
	return &resp
}

// storedJobResponse returns the response to the submission of a job that is in the store. A record that
// cannot be decoded counts as that of the same customer.
func storedJobResponse(obj cicadaplatform.Object, c *Call) Response {
	r, err := decodeRecord(obj.Value())
	if err != nil {
		return Response{Status: http.StatusAccepted}
	}
	return duplicateResponse(r.Customer, c)
}

// confirmRepeat returns the response to the submission of a job that another owner has stored. A call
// without a customer is accepted without a read of the stored job.
func (o *Owner) confirmRepeat(ctx context.Context, c *Call) Response {
	if !o.dropsCredentials(c.Customer) {
		return Response{Status: http.StatusAccepted}
	}
	obj, err := o.store.Get(ctx, JobsPrefix+c.Job)
	if err != nil {
		o.log.Warn("failed to look up repeated job", "job", c.Job, "error", err)
		return outcomeUnknown()
	}
	resp := storedJobResponse(obj, c)
	if resp.Status == http.StatusConflict {
		o.releaseTokens(c.Host, c.Path, c.Customer, c.Job)
	}
	return resp
}

// dropsCredentials reports whether headers with a key or a customer must be removed from items: the
// job belongs to a customer, or the deployment has customers.
func (o *Owner) dropsCredentials(customer string) bool {
	config := o.config()
	return customer != "" || config != nil && config.HasCustomers()
}

// dropCredentials removes the headers with a key or a customer from items.
func dropCredentials(items []adapter.Item) {
	for _, it := range items {
		for name := range it.Headers {
			if strings.EqualFold(name, adapter.HeaderKey) || strings.EqualFold(name, adapter.HeaderCustomer) {
				delete(it.Headers, name)
			}
		}
	}
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
	j.acceptedAt, j.clockSkew, j.confirmedAt = acceptedAt, 0, acceptedAt
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
		return storedJobResponse(obj, c)
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
		o.releaseTokens(c.Host, c.Path, c.Customer, c.Job)
		return Response{Status: http.StatusRequestEntityTooLarge}
	case errors.Is(err, cicadaplatform.ErrInDoubt):
		return outcomeUnknown()
	case errors.Is(err, cicadaplatform.ErrUnavailable):
		o.releaseTokens(c.Host, c.Path, c.Customer, c.Job)
		return unavailable()
	}
	return outcomeUnknown()
}
