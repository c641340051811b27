package cicadarelay

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadagateway/cicadaexchange"
	"cicadalink.example/cicadagateway/cicadaorigin"
	"cicadalink.example/cicadagateway/cicadaplace"
	"cicadalink.example/cicadakernel/cicadaview"
	adapter "cicadalink.example/platform"
)

// An exchange forwards one request of a caller and returns the response. It sends
// the request to one endpoint after another until a response is complete or no
// further attempt is allowed.
type exchange struct {
	relay       *Relay
	w           http.ResponseWriter
	r           *http.Request
	route       *cicadaview.Route
	caller      caller
	returnQuota func() // nil if no quota was acquired
	body        []byte
	id          string
	fingerprint uint64
	parts       []uint64 // of the prompt, see sharedParts
	start       time.Time
	deadline    time.Time
	timer       *time.Timer
	cancel      context.CancelCauseFunc

	sends      int       // attempts, including those that did not reach an endpoint
	unsent     int       // attempts that did not reach an endpoint and do not count, see searchTime
	runs       int       // attempts in which the endpoint may have run the request
	avoid      []string  // IDs of endpoints that are not tried again
	headerSent bool      // whether the response header was sent to the caller
	sentAt     time.Time // of the current run
	// searchStart is when the search for an endpoint began: at first, or after the last run.
	searchStart time.Time
	answered    bool // whether the current run has got an event, or a complete answer
	resumed     bool // whether the current run continues an output
	events      eventParser
	sampler     *cicadaplace.Sampler // of the current attempt, or nil

	stream       string              // id of the request that got the stream's first event
	origin       cicadaorigin.Origin // of the stream, if continues is set
	continues    bool                // whether the next attempt continues an output
	tracked      bool                // whether origins knows the stream as running
	emptyRests   int                 // attempts to resume a stream that brought no event, and no error
	avoidCleared bool                // whether avoid was cleared because no other endpoint was left

	// customersIntroduced is set if the configuration had no customers when the request arrived, and
	// has some since the last attempt.
	customersIntroduced bool
}

// run makes attempts until one succeeds or no further attempt is allowed.
func (x *exchange) run(ctx context.Context) {
	defer x.forgetStream()
	if x.resumedByCaller() {
		x.events.resumeAfter(x.r.Header.Get(adapter.HeaderLastEventID))
		if err := x.findOrigin(ctx); err != nil {
			x.fail(ctx, err)
			return
		}
	}
	for {
		grant, err := x.acquireSlot(ctx)
		if err != nil {
			x.fail(ctx, err)
			return
		}
		if !x.attemptAndRelease(ctx, grant) {
			return
		}
		if !x.refreshRoute() {
			x.fail(ctx, cicadaplace.ErrNoEndpoint)
			return
		}
	}
}

// attemptAndRelease makes one attempt and releases its slot, even if the attempt
// panics with http.ErrAbortHandler to close the caller's connection.
func (x *exchange) attemptAndRelease(ctx context.Context, grant *cicadaplace.Grant) bool {
	defer grant.Release()
	runs := x.runs
	again := x.attempt(ctx, grant)
	if x.runs == runs {
		grant.RecordWork(0)
	}
	return again
}

// refreshRoute looks up the route again, because the configuration may have changed
// while the request waited or ran. It reports whether the request still has a route.
func (x *exchange) refreshRoute() bool {
	config := x.relay.config()
	if config == nil {
		return true
	}
	x.customersIntroduced = config.HasCustomers() && !x.caller.customers
	route, ok := config.Route(hostOf(x.r), x.r.URL.Path)
	if ok {
		x.route = route
	}
	return ok
}

// attempt sends the request to one endpoint. It reports whether the request may be
// sent to another one.
func (x *exchange) attempt(ctx context.Context, grant *cicadaplace.Grant) bool {
	endpoint := grant.Endpoint()
	if x.refused() {
		x.fail(ctx, errCrashesEndpoints)
		return false
	}
	if !x.recheckKey(ctx) {
		return false
	}
	x.sends++
	x.answered, x.resumed = false, x.events.lastID != "" || x.resumedByCaller()
	sent := time.Now()
	x.sentAt = sent
	x.sampler = x.startSampling(grant)
	res, err := x.relay.client.Do(ctx, endpoint.Address, x.endpointRequest(endpoint))
	if err != nil {
		return x.handleError(ctx, grant, sent, err)
	}
	defer res.Close()
	grant.RecordStart(res.StartedMs())
	if limit, ok := adapter.StatedRateLimit(res.StatusCode, res.Header); ok {
		grant.RecordRateLimit(limit)
	}
	if adapter.StatesLeaving(res.StatusCode, res.Header) {
		grant.RecordLeaving()
	}
	if res.StatusCode == http.StatusMisdirectedRequest || res.Header.Get(adapter.HeaderNotRun) != "" {
		res.Discard()
		return x.handleNotRun(grant, res.StatusCode)
	}
	x.runs++
	if res.Header.Get(adapter.HeaderSignature) == "" {
		return x.handleInvalidResponse(ctx, grant, sent, merry.Errorf("response with status %d has no signature: %w", res.StatusCode, cicadaexchange.ErrInvalidResponse))
	}
	grant.RecordSuccess()
	if res.StatusCode >= http.StatusInternalServerError {
		grant.RecordErrorResponse()
	}
	if x.headerSent && !x.continuesStream(res) {
		res.Discard()
		return x.handleNotTheRest(ctx, grant, sent, merry.Errorf("status %d, type %q: %w", res.StatusCode, res.Header.Get("Content-Type"), errNotTheRest))
	}
	if res.StatusCode >= http.StatusInternalServerError && x.mayRunAgain() && ctx.Err() == nil {
		x.logFailedAttempt(grant, sent, "endpoint-error", nil)
		x.avoid = append(x.avoid, endpoint.ID)
		return true
	}
	err = x.forwardResponse(ctx, res, grant)
	if errors.Is(err, errNotTheRest) {
		return x.handleNotTheRest(ctx, grant, sent, err)
	}
	if err != nil {
		return x.handleInvalidResponse(ctx, grant, sent, err)
	}
	if res.StatusCode == http.StatusOK {
		x.recordSuccess(res, grant)
	}
	x.recordCompleted(grant, res, sent)
	return false
}

// endpointRequest returns the request to send to an endpoint. A stream is resumed
// after the last event that was sent to the caller.
func (x *exchange) endpointRequest(endpoint cicadaview.Endpoint) cicadaexchange.Request {
	req := outgoing(x.r)
	h := req.Header
	x.caller.setHeaders(h)
	h.Set(adapter.HeaderExpectInstance, endpoint.ID)
	deadline := x.deadline
	if limit := x.start.Add(x.route.Timeout); x.route.Kind != cicadaview.Stream && x.route.Timeout > 0 && limit.Before(deadline) {
		deadline = limit
	}
	if x.events.lastID != "" {
		h.Set(adapter.HeaderLastEventID, x.events.lastID)
	}
	req.ConnectTimeout = x.relay.connectTimeout(x.route)
	req.Body, req.EchoHeader = x.body, adapter.HeaderRequestID
	req.DeadlineHeader, req.Deadline = adapter.HeaderDeadline, deadline
	req.Identify = (x.continues || x.route.Kind == cicadaview.Stream && x.route.Resumable) && endpoint.StartedMs != 0
	if x.continues {
		req.StartedMs, req.SameProcess = endpoint.StartedMs, true
	}
	return req
}

// mayRunAgain reports whether a request that may have run may be sent to another
// endpoint. A stream of which the caller has events without an id cannot be resumed.
func (x *exchange) mayRunAgain() bool {
	if x.headerSent && x.events.lastID == "" {
		return false
	}
	return x.route.Idempotent() && x.runs < x.route.MaxAttempts && x.sends-x.unsent < maxSends
}

// handleError handles a request that could not be sent or got no response. It
// reports whether the request may be sent to another endpoint.
func (x *exchange) handleError(ctx context.Context, grant *cicadaplace.Grant, sent time.Time, err error) bool {
	if !errors.Is(err, cicadaexchange.ErrNotSent) {
		x.runs++
		return x.handleInvalidResponse(ctx, grant, sent, err)
	}
	if ctx.Err() != nil {
		x.fail(ctx, err)
		return false
	}
	switch {
	case errors.Is(err, cicadaexchange.ErrOtherIncarnation):
		grant.RecordOtherIncarnation()
	case cicadaexchange.RefusedConnection(err):
		grant.RecordRefusal()
	case x.relay.connectFraction > 0 && cicadaexchange.ConnectionTimedOut(err):
		grant.RecordUnreachable()
	default:
		grant.RecordFailure()
	}
	x.logFailedAttempt(grant, sent, "not-sent", err)
	x.avoid = append(x.avoid, grant.Endpoint().ID)
	if time.Since(x.searchStart) < x.searchTime() {
		x.unsent++
	}
	if x.sends-x.unsent >= maxSends {
		x.fail(ctx, err)
		return false
	}
	return true
}

// searchTime is how long attempts that reach no endpoint do not count. Many endpoints may
// have crashed at once, and each attempt at one of them takes little time.
func (x *exchange) searchTime() time.Duration {
	return time.Duration(slotWaitFraction * float64(x.route.Goal))
}

// handleNotRun handles a response which states that the endpoint did not run the
// request. It reports whether the request may be sent to another endpoint.
func (x *exchange) handleNotRun(grant *cicadaplace.Grant, status int) bool {
	if status == http.StatusMisdirectedRequest {
		grant.RecordFailure()
		x.avoid = append(x.avoid, grant.Endpoint().ID)
	} else {
		grant.RecordOverload()
	}
	x.logFailedAttempt(grant, time.Now(), "not-run", nil)
	if x.sends-x.unsent >= maxSends {
		x.fail(context.Background(), cicadaplace.ErrBusy)
		return false
	}
	return true
}

// handleInvalidResponse handles a missing, incomplete or otherwise invalid response
// to a request that may have run. It reports whether the request may be sent to
// another endpoint.
func (x *exchange) handleInvalidResponse(ctx context.Context, grant *cicadaplace.Grant, sent time.Time, err error) bool {
	if ctx.Err() != nil {
		x.fail(ctx, err)
		return false
	}
	grant.RecordFailure()
	x.searchStart = time.Now()
	x.logFailedAttempt(grant, sent, "broken", err)
	x.recordCrash(grant, err)
	if x.refused() {
		x.fail(ctx, err)
		return false
	}
	if x.events.oversized || !x.mayRunAgain() {
		x.fail(ctx, err)
		return false
	}
	x.avoid = append(x.avoid, grant.Endpoint().ID)
	return true
}

// Reasons why a request failed.
const (
	reasonFailed             = "failed"
	reasonCallerDisconnected = "caller-left"
	reasonTimeout            = "timeout"
	reasonBusy               = "busy"
	reasonNoEndpoint         = "no-endpoint"
	reasonKeyRevoked         = "key-withdrawn"
)

// errKeyRevoked reports that the key of a request was revoked between two attempts.
var errKeyRevoked = merry.Sentinel("cicadarelay: key withdrawn")

// fail ends the request without a complete response. The status is 503 only if the
// request certainly did not run. Otherwise it is 502 or 504, and the caller cannot
// tell whether the request ran. If the response has begun or the caller has
// disconnected, the caller's connection is closed instead.
func (x *exchange) fail(ctx context.Context, err error) {
	reason := reasonFailed
	cause := context.Cause(ctx)
	switch {
	case cause != nil && !errors.Is(cause, errTimeout):
		reason = reasonCallerDisconnected
	case errors.Is(cause, errTimeout):
		reason = reasonTimeout
	case errors.Is(err, cicadaplace.ErrBusy):
		reason = reasonBusy
	case errors.Is(err, cicadaorigin.ErrUnknown):
		reason = reasonUnknownOrigin
	case errors.Is(err, cicadaplace.ErrNoEndpoint) && x.continues:
		reason = reasonVersionGone
	case errors.Is(err, cicadaplace.ErrNoEndpoint):
		reason = reasonNoEndpoint
	case errors.Is(err, errCrashesEndpoints):
		reason = reasonCrashesEndpoints
	case errors.Is(err, errKeyRevoked):
		reason = reasonKeyRevoked
	}
	status := x.failureStatus(reason)
	x.relay.scope.Tagged(map[string]string{"reason": reason}).Counter("failed").Inc(1)
	x.relay.metrics.recordFailed(reason, time.Since(x.start))
	x.relay.log.Info("request failed", "id", x.id, "route", x.route.Name, "customer", x.caller.name(), "kind", x.route.Kind.String(), "reason", reason,
		"status", status, "runs", x.runs, "sends", x.sends, "started", x.headerSent,
		"software-version", x.origin.Version, "resumes", x.r.Header.Get(adapter.HeaderResumes),
		"resumed-after", x.r.Header.Get(adapter.HeaderLastEventID), "after", time.Since(x.start).String(), "error", err)
	if x.headerSent || reason == reasonCallerDisconnected {
		panic(http.ErrAbortHandler)
	}
	if status == http.StatusServiceUnavailable {
		retry := x.relay.table.RetryAfter(x.route.Targets[0].Service)
		if x.caller.customer != nil {
			retry = x.relay.table.RetryAfterFor(x.slotRequest())
		}
		switch reason {
		case reasonCrashesEndpoints:
			verdict, _ := x.relay.monitor.Check(x.fingerprint, x.parts, time.Now())
			retry = verdict.Remaining
		case reasonUnknownOrigin:
			retry = unknownOriginRetryAfter
		case reasonVersionGone:
			retry = versionGoneRetryAfter
		}
		x.w.Header().Set("Retry-After", strconv.FormatFloat(retry.Seconds(), 'f', 3, 64))
	}
	x.w.WriteHeader(status)
}

func (x *exchange) failureStatus(reason string) int {
	switch {
	case x.runs == 0:
		return http.StatusServiceUnavailable
	case reason == reasonTimeout:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

// recordCompleted counts and logs a request whose response was sent completely.
func (x *exchange) recordCompleted(grant *cicadaplace.Grant, res *cicadaexchange.Response, sent time.Time) {
	now := time.Now()
	x.relay.scope.Tagged(map[string]string{"kind": x.route.Kind.String()}).Counter("answered").Inc(1)
	x.relay.metrics.recordCompleted(x.route.Kind, grant.WaitTime(), x.events.timeToFirst(x.start), now.Sub(x.start))
	x.relay.log.Info("request completed", "id", x.id, "route", x.route.Name, "customer", x.caller.name(), "kind", x.route.Kind.String(), "status", res.StatusCode,
		"endpoint", grant.Endpoint().ID, "software-version", grant.Endpoint().SoftwareVersion, "registered-start", grant.Endpoint().StartedMs, "start", res.StartedMs(), "resumes", x.r.Header.Get(adapter.HeaderResumes),
		"resumed-after", x.r.Header.Get(adapter.HeaderLastEventID), "rate-limit", res.Header.Get(adapter.HeaderRateLimit),
		"load", grant.Load(), "waited", grant.WaitTime().String(), "sends", x.sends, "runs", x.runs,
		"sent-after", sent.Sub(x.start).String(), "first-event", x.events.timeToFirst(x.start).String(), "took", now.Sub(x.start).String())
}

// logFailedAttempt counts and logs an attempt that did not lead to a complete
// response.
func (x *exchange) logFailedAttempt(grant *cicadaplace.Grant, sent time.Time, outcome string, err error) {
	x.relay.scope.Tagged(map[string]string{"outcome": outcome}).Counter("attempts_failed").Inc(1)
	x.relay.log.Info("attempt failed", "id", x.id, "route", x.route.Name, "outcome", outcome, "endpoint", grant.Endpoint().ID,
		"software-version", grant.Endpoint().SoftwareVersion, "registered-start", grant.Endpoint().StartedMs, "address", grant.Endpoint().Address,
		"load", grant.Load(), "sends", x.sends, "runs", x.runs, "last-event", x.events.lastID,
		"fingerprint", strconv.FormatUint(x.fingerprint, 16), "prompt", loggedPrompt(x.r.Header),
		"sent-for", time.Since(sent).String(), "error", err)
}

// maxLoggedPrompt limits the parts of a prompt in a log line, in bytes.
const maxLoggedPrompt = 256

// loggedPrompt returns the parts of a request's prompt for a log line.
func loggedPrompt(h http.Header) string {
	prompt := h.Get(adapter.HeaderPrefix)
	return prompt[:min(len(prompt), maxLoggedPrompt)]
}
