package cicadarelay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadagateway/cicadaexchange"
	"cicadalink.example/cicadagateway/cicadaplace"
	"cicadalink.example/cicadakernel/cicadasuspect"
	"cicadalink.example/cicadakernel/cicadaview"
	adapter "cicadalink.example/platform"
)

// An exchange is one request of a caller on its way.
type exchange struct {
	relay    *Relay
	w        http.ResponseWriter
	r        *http.Request
	route    *cicadaview.Route
	body     []byte
	id       string
	print    uint64 // fingerprint of the request
	start    time.Time
	deadline time.Time
	timer    *time.Timer
	abandon  context.CancelCauseFunc

	sends   int      // endpoints that were offered the request
	runs    int      // endpoints that may have run it
	avoid   []string // endpoints not to try again
	headOut bool     // the answer's head has been sent to the caller
	events  events
}

var copyBuffers = sync.Pool{New: func() any { b := make([]byte, 16<<10); return &b }}

// run offers the request to endpoints until one has answered or no other may
// have it.
func (x *exchange) run(ctx context.Context) {
	for {
		grant, err := x.acquire(ctx)
		if err != nil {
			x.giveUp(ctx, err)
			return
		}
		if !x.try(ctx, grant) {
			return
		}
		if !x.current() {
			x.giveUp(ctx, cicadaplace.ErrNoEndpoint)
			return
		}
	}
}

// try makes one attempt and gives its slot back, also when the caller's
// connection is to be cut.
func (x *exchange) try(ctx context.Context, grant *cicadaplace.Grant) bool {
	defer grant.Release()
	return x.attempt(ctx, grant)
}

// current looks the route up again: the configuration may have changed while the
// request waited or ran.
func (x *exchange) current() bool {
	config := x.relay.config()
	if config == nil {
		return true
	}
	route, ok := config.Route(hostOf(x.r), x.r.URL.Path)
	if ok {
		x.route = route
	}
	return ok
}

func (x *exchange) acquire(ctx context.Context) (*cicadaplace.Grant, error) {
	wait := time.Duration(waitShare*float64(x.route.Goal)) - time.Since(x.start)
	if x.runs > 0 {
		wait = time.Until(x.deadline)
	}
	return x.relay.table.Acquire(ctx, cicadaplace.Want{Service: pickService(x.route), MaxWait: max(wait, 0), Avoid: x.avoid})
}

// attempt sends the request to one endpoint. It reports whether another may have
// it.
func (x *exchange) attempt(ctx context.Context, grant *cicadaplace.Grant) bool {
	endpoint := grant.Endpoint()
	x.sends++
	sent := time.Now()
	answer, err := x.relay.client.Do(ctx, endpoint.Address, x.request(endpoint))
	if err != nil {
		return x.failed(ctx, grant, sent, err)
	}
	defer answer.Close()
	if answer.StatusCode == http.StatusMisdirectedRequest || answer.Header.Get(adapter.HeaderNotRun) != "" {
		_, _ = io.Copy(io.Discard, answer)
		return x.notRun(grant, answer.StatusCode)
	}
	x.runs++
	if answer.Header.Get(adapter.HeaderProof) == "" {
		return x.broken(ctx, grant, sent, merry.Errorf("status %d without proof: %w", answer.StatusCode, cicadaexchange.ErrBroken))
	}
	grant.Succeeded()
	if answer.StatusCode >= http.StatusInternalServerError && x.mayRepeat() && ctx.Err() == nil {
		x.logAttempt(grant, sent, "endpoint-error", nil)
		x.avoid = append(x.avoid, endpoint.ID)
		return true
	}
	if err := x.pass(answer); err != nil {
		return x.broken(ctx, grant, sent, err)
	}
	x.finish(grant, answer.StatusCode, sent)
	return false
}

func (x *exchange) request(endpoint cicadaview.Endpoint) cicadaexchange.Request {
	h := forwardHeader(x.r.Header)
	h.Set(adapter.HeaderExpect, endpoint.ID)
	left := time.Until(x.deadline)
	if x.route.Kind != cicadaview.Stream && x.route.Timeout > 0 {
		left = min(left, x.route.Timeout-time.Since(x.start))
	}
	h.Set(adapter.HeaderDeadline, strconv.FormatInt(max(left.Milliseconds(), 1), 10))
	if x.events.last != "" {
		h.Set(adapter.HeaderLastEventID, x.events.last)
	}
	return cicadaexchange.Request{
		Method: x.r.Method, Target: x.r.RequestURI, Host: x.r.Host, Header: h, Body: x.body,
		EchoHeader: adapter.HeaderRequestID,
	}
}

// mayRepeat reports whether the request may run on one more endpoint.
func (x *exchange) mayRepeat() bool {
	return x.route.Idempotent() && x.runs < x.route.Attempts && x.sends < maxSends
}

func (x *exchange) failed(ctx context.Context, grant *cicadaplace.Grant, sent time.Time, err error) bool {
	if !errors.Is(err, cicadaexchange.ErrNotSent) {
		x.runs++
		return x.broken(ctx, grant, sent, err)
	}
	if ctx.Err() != nil {
		x.giveUp(ctx, err)
		return false
	}
	grant.Failed()
	x.logAttempt(grant, sent, "not-sent", err)
	x.avoid = append(x.avoid, grant.Endpoint().ID)
	if x.sends >= maxSends {
		x.giveUp(ctx, err)
		return false
	}
	return true
}

// notRun handles an endpoint that said it did not run the request.
func (x *exchange) notRun(grant *cicadaplace.Grant, status int) bool {
	if status == http.StatusMisdirectedRequest {
		grant.Failed()
		x.avoid = append(x.avoid, grant.Endpoint().ID)
	} else {
		grant.Full()
	}
	x.logAttempt(grant, time.Now(), "not-run", nil)
	if x.sends >= maxSends {
		x.giveUp(context.Background(), cicadaplace.ErrBusy)
		return false
	}
	return true
}

// broken handles an answer that did not come or broke off.
func (x *exchange) broken(ctx context.Context, grant *cicadaplace.Grant, sent time.Time, err error) bool {
	if ctx.Err() != nil {
		x.giveUp(ctx, err)
		return false
	}
	grant.Failed()
	x.logAttempt(grant, sent, "broken", err)
	run := grant.Endpoint().ID + " " + x.id
	x.relay.suspects.Crashed(x.print, run, time.Now())
	x.relay.crashed(x.print, run)
	if x.relay.suspects.Verdict(x.print, time.Now(), quarantineTime) == cicadasuspect.Quarantined {
		x.giveUp(ctx, err)
		return false
	}
	if x.events.corrupt || !x.mayRepeat() || (x.headOut && x.route.Kind != cicadaview.Stream) {
		x.giveUp(ctx, err)
		return false
	}
	x.avoid = append(x.avoid, grant.Endpoint().ID)
	return true
}

// Reasons why a request is not answered.
const (
	reasonFailed     = "failed"
	reasonCallerLeft = "caller-left"
	reasonTimeout    = "timeout"
	reasonBusy       = "busy"
	reasonNoEndpoint = "no-endpoint"
)

// giveUp ends the request without a whole answer. What has surely not run, or
// may run again, is refused; of the rest nothing is promised.
func (x *exchange) giveUp(ctx context.Context, err error) {
	reason := reasonFailed
	cause := context.Cause(ctx)
	switch {
	case cause != nil && !errors.Is(cause, errTimeout):
		reason = reasonCallerLeft
	case errors.Is(cause, errTimeout):
		reason = reasonTimeout
	case errors.Is(err, cicadaplace.ErrBusy):
		reason = reasonBusy
	case errors.Is(err, cicadaplace.ErrNoEndpoint):
		reason = reasonNoEndpoint
	}
	status := x.failureStatus(reason)
	x.relay.scope.Tagged(map[string]string{"reason": reason}).Counter("failed").Inc(1)
	x.relay.metrics.failed(reason, time.Since(x.start))
	x.relay.log.Info("not answered", "id", x.id, "route", x.route.Name, "kind", x.route.Kind.String(), "reason", reason,
		"status", status, "runs", x.runs, "sends", x.sends, "started", x.headOut, "after", time.Since(x.start).String(), "error", err)
	if x.headOut || reason == reasonCallerLeft {
		panic(http.ErrAbortHandler)
	}
	if status == http.StatusServiceUnavailable {
		retry := x.relay.table.RetryAfter(x.route.Targets[0].Service)
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

// pass sends the endpoint's answer to the caller.
func (x *exchange) pass(answer *cicadaexchange.Answer) error {
	if x.route.Kind == cicadaview.Stream && answer.StatusCode == http.StatusOK {
		return x.passStream(answer)
	}
	return x.passWhole(answer)
}

func (x *exchange) sendHead(answer *cicadaexchange.Answer, length int) {
	x.headOut = true
	h := x.w.Header()
	for name, values := range forwardHeader(answer.Header) {
		h[name] = values
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.Itoa(length))
	}
	x.w.WriteHeader(answer.StatusCode)
}

// passWhole reads the whole answer before it is sent on, so that one that breaks
// can be had from another endpoint.
func (x *exchange) passWhole(answer *cicadaexchange.Answer) error {
	body, err := io.ReadAll(answer)
	if err != nil {
		return merry.Errorf("read answer: %w", err)
	}
	x.stopTimer()
	x.sendHead(answer, len(body))
	if _, err := x.w.Write(body); err != nil {
		return merry.Errorf("write answer: %w", err)
	}
	return nil
}

func (x *exchange) stopTimer() {
	if x.timer != nil {
		x.timer.Stop()
	}
}

// passStream sends events on as they arrive. Only whole events are sent, so that
// a stream that breaks can go on after the last one.
func (x *exchange) passStream(answer *cicadaexchange.Answer) error {
	control := http.NewResponseController(x.w)
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	x.events.reset()
	for {
		n, err := answer.Read(*buffer)
		if n > 0 {
			x.stopTimer()
			whole := x.events.add((*buffer)[:n])
			if len(whole) > 0 {
				if !x.headOut {
					x.sendHead(answer, -1)
				}
				if _, err := x.w.Write(whole); err != nil {
					return merry.Errorf("write events: %w", err)
				}
				if err := control.Flush(); err != nil {
					return merry.Errorf("flush events: %w", err)
				}
			}
		}
		if errors.Is(err, io.EOF) {
			return x.endStream(answer)
		}
		if err != nil {
			return merry.Errorf("read events: %w", err)
		}
	}
}

func (x *exchange) endStream(answer *cicadaexchange.Answer) error {
	if len(x.events.partial) > 0 {
		return merry.Errorf("stream ends within an event: %w", cicadaexchange.ErrBroken)
	}
	if !x.headOut {
		x.sendHead(answer, 0)
	}
	return nil
}

func (x *exchange) finish(grant *cicadaplace.Grant, status int, sent time.Time) {
	now := time.Now()
	x.relay.scope.Tagged(map[string]string{"kind": x.route.Kind.String()}).Counter("answered").Inc(1)
	x.relay.metrics.answered(x.route.Kind, grant.Waited(), x.events.firstAfter(x.start), now.Sub(x.start))
	x.relay.log.Info("answered", "id", x.id, "route", x.route.Name, "kind", x.route.Kind.String(), "status", status,
		"endpoint", grant.Endpoint().ID, "load", grant.Load(), "waited", grant.Waited().String(), "sends", x.sends, "runs", x.runs,
		"sent-after", sent.Sub(x.start).String(), "first-event", x.events.firstAfter(x.start).String(), "took", now.Sub(x.start).String())
}

func (x *exchange) logAttempt(grant *cicadaplace.Grant, sent time.Time, outcome string, err error) {
	x.relay.scope.Tagged(map[string]string{"outcome": outcome}).Counter("attempts_failed").Inc(1)
	x.relay.log.Info("attempt failed", "id", x.id, "route", x.route.Name, "outcome", outcome, "endpoint", grant.Endpoint().ID,
		"address", grant.Endpoint().Address, "load", grant.Load(), "sends", x.sends, "runs", x.runs, "last-event", x.events.last,
		"sent-for", time.Since(sent).String(), "error", err)
}
