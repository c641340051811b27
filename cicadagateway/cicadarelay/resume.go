package cicadarelay

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadagateway/cicadaexchange"
	"cicadalink.example/cicadagateway/cicadaorigin"
	"cicadalink.example/cicadagateway/cicadaplace"
	"cicadalink.example/cicadakernel/cicadaview"
	adapter "cicadalink.example/platform"
)

// Reasons why a stream was not continued.
const (
	reasonUnknownOrigin = "unknown-origin"
	reasonVersionGone   = "version-gone"
)

// unknownOriginRetryAfter is the time after which a caller should try to resume a stream of
// unknown origin at another entry. Its record may only have been late.
const unknownOriginRetryAfter = 100 * time.Millisecond

// versionGoneRetryAfter is the time after which a caller should try to resume a stream whose
// version has no endpoint. One that has crashed is back after some seconds.
const versionGoneRetryAfter = time.Second

// resumedByCaller reports whether the request is the rest of a stream that the caller has
// received in part.
func (x *exchange) resumedByCaller() bool {
	return x.route.Kind == cicadaview.Stream && x.route.Resumable && x.r.Header.Get(adapter.HeaderLastEventID) != ""
}

// findOrigin finds out which version of which service began the stream that the caller
// resumes.
func (x *exchange) findOrigin(ctx context.Context) error {
	services := make([]string, len(x.route.Targets))
	for i, target := range x.route.Targets {
		services[i] = target.Service
	}
	x.stream = x.r.Header.Get(adapter.HeaderResumes)
	origin, err := x.relay.origins.Find(ctx, x.stream, services)
	if err != nil {
		return err
	}
	x.origin, x.continues = origin, true
	return nil
}

// slotRequest returns the request for a slot of the next attempt.
func (x *exchange) slotRequest() cicadaplace.SlotRequest {
	req := cicadaplace.SlotRequest{MaxWait: max(x.slotWait(), 0), Avoid: x.avoid}
	if x.caller.customer != nil {
		req.Customer, req.Priority = x.caller.customer.Name, x.caller.customer.PriorityOn(x.route)
		req.Work = float64(adapter.RequestedTokens(x.r.Header))
	}
	if !x.continues {
		req.Service = selectService(x.route)
		return req
	}
	req.Service, req.Continues, req.Version = x.origin.Service, true, x.origin.Version
	return req
}

// slotWait returns how long the next attempt may wait for a slot. Once the request may have
// run, it may wait until its deadline. A caller that resumes a stream has been waiting since
// the last event.
func (x *exchange) slotWait() time.Duration {
	if x.runs > 0 {
		return time.Until(x.deadline)
	}
	wait := time.Duration(slotWaitFraction * float64(x.route.Goal))
	if x.continues {
		wait = max(wait, x.route.PauseGoal)
	}
	return wait - time.Since(x.start)
}

// continuable reports whether the route still has the service that began the stream.
func (x *exchange) continuable() bool {
	return !x.continues || slices.ContainsFunc(x.route.Targets, func(t cicadaview.Target) bool { return t.Service == x.origin.Service })
}

// acquireSlot waits for a slot for the next attempt. A stream that was begun may return to
// an endpoint that failed before, if no other of its version is left.
func (x *exchange) acquireSlot(ctx context.Context) (*cicadaplace.Grant, error) {
	if !x.continuable() {
		return nil, cicadaplace.ErrNoEndpoint
	}
	if origin, ok := x.relay.origins.Origin(x.stream); ok && x.continues {
		x.origin = origin // the endpoint may have been registered since
	}
	grant, err := x.relay.table.Acquire(ctx, x.slotRequest())
	if errors.Is(err, cicadaplace.ErrNoEndpoint) && x.continues && len(x.avoid) > 0 && !x.avoidCleared {
		x.avoid, x.avoidCleared = nil, true
		return x.relay.table.Acquire(ctx, x.slotRequest())
	}
	return grant, err
}

// recordOrigin records where a stream that can be resumed has begun, or goes on, before its
// next events are sent to the caller. It fails if they must not be sent.
func (x *exchange) recordOrigin(ctx context.Context, grant *cicadaplace.Grant) error {
	if x.route.Kind != cicadaview.Stream || !x.route.Resumable {
		return nil
	}
	switch {
	case !x.continues:
		return x.begin(ctx, grant)
	case x.resumedByCaller():
		x.relay.metrics.countResumed(brokenOffByCaller)
	default:
		x.relay.metrics.countResumed(brokenOffByEndpoint)
	}
	if x.stream != "" {
		x.relay.origins.Begin(x.stream, x.origin, len(x.route.Targets) > 1)
		x.tracked = true
	}
	return nil
}

// begin records where a stream has begun.
func (x *exchange) begin(ctx context.Context, grant *cicadaplace.Grant) error {
	endpoint := grant.Endpoint()
	origin := cicadaorigin.Origin{Service: endpoint.Service, Version: grant.Version()}
	switch {
	case x.id == "":
	case origin.Version != cicadaview.UnknownVersion:
		x.relay.origins.Begin(x.id, origin, len(x.route.Targets) > 1)
	default:
		at := cicadaorigin.Incarnation{Endpoint: endpoint.ID, StartedMs: grant.StatedStart()}
		err := x.relay.origins.BeginUnregistered(ctx, x.id, endpoint.Service, at)
		x.relay.log.Info("stream begun at an unregistered incarnation", "id", x.id, "endpoint", endpoint.ID,
			"registered-start", endpoint.StartedMs, "start", at.StartedMs, "error", err)
		if err != nil {
			return merry.Errorf("begin stream: %w: %w", errNotTheRest, err)
		}
	}
	x.stream, x.origin, x.continues, x.tracked = x.id, origin, true, x.id != ""
	return nil
}

// continuesStream reports whether a response is the rest of a stream that has begun: of the
// same status and type.
func (x *exchange) continuesStream(res *cicadaexchange.Response) bool {
	return x.route.Kind == cicadaview.Stream && res.StatusCode == http.StatusOK && res.Header.Get("Content-Type") == x.w.Header().Get("Content-Type")
}

// errNotTheRest reports a response of which nothing may be sent to the caller: one that is not the
// rest of the stream of which the caller has a part, or a stream that could not be recorded.
var errNotTheRest = merry.Sentinel("cicadarelay: response is not the rest of the stream")

// handleNotTheRest handles a response that is not the rest of the stream. Nothing of it is
// sent to the caller. It reports whether the request may be sent to another endpoint.
func (x *exchange) handleNotTheRest(ctx context.Context, grant *cicadaplace.Grant, sent time.Time, err error) bool {
	x.logFailedAttempt(grant, sent, "not-the-rest", err)
	if ctx.Err() != nil || !x.mayRunAgain() {
		x.fail(ctx, err)
		return false
	}
	if !x.headerSent && !x.resumedByCaller() {
		x.events = eventParser{}
	}
	x.avoid = append(x.avoid, grant.Endpoint().ID)
	return true
}

// forgetStream ends the record of a running stream.
func (x *exchange) forgetStream() {
	if x.tracked {
		x.relay.origins.End(x.stream)
	}
}
