package cicadabatch

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadatask"
	adapter "cicadalink.example/platform"
)

const (
	acceptTimeout = 2500 * time.Millisecond // limit on storing a submission or marking a job as ended
	retryAfter    = 300 * time.Millisecond
	statusLimited = http.StatusTooManyRequests // of a job that does not fit in the limit of its route
)

// A Call is a request about one job, as an entry sends it to the job's owner.
type Call struct {
	Kind CallKind
	Job  string
	// Customer is the name of the customer that the caller belongs to, or empty.
	Customer string
	Host     string
	Path     string
	Due      time.Duration
	GiveUp   time.Duration
	Body     []byte
	After    int
	Item     string
	Wait     time.Duration
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
	CallCheck                         // answer, to show that calls are answered
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

// Handle serves a call. If that panics, the caller gets an error.
func (o *Owner) Handle(ctx context.Context, c *Call) (*Response, error) {
	var resp Response
	start := time.Now()
	if err := cicadatask.Try(func() { resp = o.handle(ctx, c) }); err != nil {
		o.log.Error("call panicked", "job", c.Job, "kind", int(c.Kind), "error", err)
		return nil, merry.Errorf("handle call: %w", err)
	}
	if ctx.Err() != nil {
		o.metrics.callsAbandoned.Inc(1)
		o.log.Warn("sender of job call left", "job", c.Job, "kind", int(c.Kind), "relayed", c.Relayed, "took", time.Since(start).String(), "status", resp.Status)
	}
	return &resp, nil
}

func (o *Owner) handle(ctx context.Context, c *Call) Response {
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
		resp = o.applyCheckpoint(ctx, c)
	case CallReportWaiting:
		o.enqueue(func() { o.applyWaiting(c.Waiting) })
		resp = Response{Status: http.StatusOK}
	case CallShrink:
		if o.limiter != nil {
			o.limiter.Shrink(ctx, c.Route)
		}
		resp = Response{Status: http.StatusOK}
	case CallCheck:
		resp = unavailable()
		if o.runInLoop(ctx, func() {}) {
			resp = Response{Status: http.StatusOK}
		}
	default:
		resp = Response{Status: http.StatusBadRequest}
	}
	return resp
}

// enqueueAndWait runs f in the event loop and waits until it has returned or the owner has ended.
func (o *Owner) enqueueAndWait(f func()) { o.runInLoop(o.ctx, f) }

// runInLoop runs f in the event loop. It reports false if ctx or the owner ended first: f may
// still run then, so that the caller must not use what f sets.
func (o *Owner) runInLoop(ctx context.Context, f func()) bool {
	done := make(chan struct{})
	task := func() {
		f()
		close(done)
	}
	select {
	case o.tasks <- task:
	case <-ctx.Done():
		return false
	case <-o.ctx.Done():
		return false
	}
	select {
	case <-done:
		return true
	case <-ctx.Done():
	case <-o.ctx.Done():
	}
	return false
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
		done, resp := o.storeEnded(ctx, c, obj)
		if done {
			return resp
		}
	}
}

// storeEnded marks a job in the store as ended and removes the bodies of its items. It
// reports false if the object has changed since it was read and must be read again.
func (o *Owner) storeEnded(ctx context.Context, c *Call, obj cicadaplatform.Object) (bool, Response) {
	r, err := decodeRecord(obj.Value())
	if err != nil {
		o.log.Error("failed to decode job to be ended", "name", obj.Name(), "error", err)
		return true, Response{Status: http.StatusInternalServerError}
	}
	if r.Customer != c.Customer {
		return true, Response{Status: http.StatusNotFound}
	}
	if !r.Ended {
		r.Ended = true
		for i := range r.Items {
			r.Items[i] = adapter.Item{ID: r.Items[i].ID, Path: r.Items[i].Path}
		}
		value, err := cicadaplatform.EncodeJSON(r)
		if err != nil {
			return true, Response{Status: http.StatusInternalServerError}
		}
		updated, err := o.store.Update(ctx, cicadaplatform.ClassClaim, obj.Name(), obj.Version(), value)
		if errors.Is(err, cicadaplatform.ErrConflict) {
			return false, Response{}
		}
		if err != nil {
			o.log.Warn("failed to mark job as ended", "name", obj.Name(), "error", err)
			if errors.Is(err, cicadaplatform.ErrUnavailable) && !errors.Is(err, cicadaplatform.ErrInDoubt) {
				return true, unavailable()
			}
			return true, outcomeUnknown()
		}
		obj = updated
	}
	o.runInLoop(ctx, func() { o.applyJob(obj, true) })
	return true, Response{Status: http.StatusOK}
}
