// Package cicadarelay is a reverse proxy for callers. It forwards each request to
// an endpoint of a service, returns the response, and ensures that a request that
// is not idempotent runs at most once.
//
// # Usage
//
//	relay := cicadarelay.New(config, table, client, log,
//		cicadarelay.WithJobHandlers(handlers), cicadarelay.WithScope(scope))
//	srv := &http.Server{Handler: relay}
//
// A request that certainly did not run is sent to another endpoint, whatever its
// kind. A request that may have run is retried only if it is idempotent. A broken
// stream of a resumable route is resumed after its last event at another endpoint of the
// software version that began it, also if the caller resumes it (see cicadaorigin).
package cicadarelay

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime/debug"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"cicadalink.example/cicadagateway/cicadaexchange"
	"cicadalink.example/cicadagateway/cicadaorigin"
	"cicadalink.example/cicadagateway/cicadaplace"
	"cicadalink.example/cicadakernel/cicadamemory"
	"cicadalink.example/cicadakernel/cicadasuspect"
	"cicadalink.example/cicadakernel/cicadatask"
	"cicadalink.example/cicadakernel/cicadaview"
	adapter "cicadalink.example/platform"
)

const (
	defaultDeadline = 30 * time.Second
	// slotWaitFraction is the fraction of a route's goal that a request may wait for a
	// slot. The remaining time is enough to receive the first event.
	slotWaitFraction = 0.7
	maxSends         = 6 // attempts per request, whether or not the endpoint runs it
)

// QuarantinePeriod is how long a request that crashes endpoints is refused.
const QuarantinePeriod = 30 * time.Second

// JobHandlers holds the handlers of batch jobs. Calls without a handler are refused.
type JobHandlers struct {
	// Submit accepts a job of a customer, whose name may be empty.
	Submit func(ctx context.Context, route *cicadaview.Route, host, customer, id string, body []byte) JobResponse
	// Call handles a call of a customer on an accepted job.
	Call func(ctx context.Context, call adapter.JobCallKind, customer, id, query string, wait time.Duration) JobResponse
	// Timeout limits the time of either, in addition to the wait of a call.
	Timeout time.Duration
}

// A JobResponse is the response to a call on a job.
type JobResponse struct {
	Status int
	Body   []byte
	// JSON reports whether the body is JSON.
	JSON bool
	// RetryAfter is the time after which a refused caller should retry.
	RetryAfter time.Duration
}

// A Relay is the http.Handler that serves callers.
type Relay struct {
	config           func() *cicadaview.Config
	table            *cicadaplace.Table
	client           *cicadaexchange.Client
	log              hclog.Logger
	scope            tally.Scope
	metrics          *metrics
	jobs             JobHandlers
	customers        CustomerPolicy
	customerCounters *customerCounters
	// connectFraction is the fraction of a route's goal that the connection to an endpoint may take, or
	// 0 for no limit but the client's.
	connectFraction float64
	bodies          *cicadamemory.Budget // of requests
	// shuttingDown reports whether the process is shutting down.
	shuttingDown func() bool
	// shutdownEnd returns when open connections are closed, or the zero time.
	shutdownEnd func() time.Time
	// monitor knows requests that crash endpoints.
	monitor *cicadasuspect.Monitor
	// origins knows which versions of endpoints began streams.
	origins *cicadaorigin.Tracker
	tasks   cicadatask.Group
}

// An Option configures a Relay.
type Option func(*Relay)

// WithJobHandlers sets the handlers of batch jobs.
func WithJobHandlers(jobs JobHandlers) Option { return func(r *Relay) { r.jobs = jobs } }

// WithScope sets the scope of the metrics.
func WithScope(scope tally.Scope) Option { return func(r *Relay) { r.scope = scope } }

// WithShuttingDown sets the function that reports whether the process is shutting
// down. During shutdown, connections are closed after their response.
func WithShuttingDown(shuttingDown func() bool) Option {
	return func(r *Relay) { r.shuttingDown = shuttingDown }
}

// WithShutdownEnd sets the function that returns when the process will close open connections.
// It returns the zero time as long as any request may be accepted. From then on, requests that
// may last longer are refused.
func WithShutdownEnd(shutdownEnd func() time.Time) Option {
	return func(r *Relay) { r.shutdownEnd = shutdownEnd }
}

// WithBodyMemory sets the budget for the bodies of all requests in flight. The default is a
// budget of the default size.
func WithBodyMemory(memory *cicadamemory.Budget) Option {
	return func(r *Relay) { r.bodies = memory }
}

// WithMonitor sets the monitor of requests that crash endpoints, which may be shared
// with other users.
func WithMonitor(monitor *cicadasuspect.Monitor) Option {
	return func(r *Relay) { r.monitor = monitor }
}

// WithOrigins sets the tracker of the origins of streams. The default knows only those of
// this Relay and of no version that is registered.
func WithOrigins(origins *cicadaorigin.Tracker) Option {
	return func(r *Relay) { r.origins = origins }
}

// connectFraction is the fraction of a route's goal that a connection may take with
// WithPromptFailover. It leaves time for several more attempts within the goal.
const connectFraction = 0.25

// minConnectTimeout is the shortest time limit on a connection, far above the time that an endpoint
// takes that is not overloaded.
const minConnectTimeout = 40 * time.Millisecond

// WithPromptFailover limits the time to connect to an endpoint to a fraction of the route's goal, so
// that a request can still meet the goal at another endpoint, and reports such endpoints to peers.
func WithPromptFailover() Option { return func(r *Relay) { r.connectFraction = connectFraction } }

// connectTimeout returns the time limit on connecting to an endpoint, or 0 for the client's.
func (rl *Relay) connectTimeout(route *cicadaview.Route) time.Duration {
	if rl.connectFraction <= 0 || route.Goal <= 0 {
		return 0
	}
	return max(time.Duration(rl.connectFraction*float64(route.Goal)), minConnectTimeout)
}

// New returns a Relay. The config function returns the current configuration, or
// nil if there is none yet.
func New(config func() *cicadaview.Config, table *cicadaplace.Table, client *cicadaexchange.Client, log hclog.Logger, opts ...Option) *Relay {
	r := &Relay{
		config: config, table: table, client: client, log: log, scope: tally.NoopScope, shuttingDown: func() bool { return false },
		shutdownEnd: func() time.Time { return time.Time{} }, bodies: cicadamemory.NewBudget(0),
		customers: CustomerPolicy{Fresh: func() bool { return true }},
		monitor:   cicadasuspect.NewMonitor("", QuarantinePeriod), origins: cicadaorigin.NewTracker("", cicadaorigin.NewVersions()),
	}
	for _, opt := range opts {
		opt(r)
	}
	r.metrics, r.customerCounters = newMetrics(r.scope), newCustomerCounters(r.scope)
	return r
}

// KeepAliveTimeout is how long callers may reuse an idle connection. During shutdown
// no connection is closed before it has been idle for this time. Otherwise a caller
// could send a request on a connection that is being closed.
const KeepAliveTimeout = time.Second

var keepAliveHeader = "timeout=" + strconv.Itoa(int(KeepAliveTimeout.Seconds()))

var errTimeout = merry.Sentinel("cicadarelay: request timeout exceeded")

// ServeHTTP serves one request of a caller. It implements http.Handler.
func (rl *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	defer rl.reportPanic(r)
	if rl.shuttingDown() {
		w.Header().Set("Connection", "close")
	} else {
		w.Header().Set("Keep-Alive", keepAliveHeader)
	}
	w.Header()["Date"] = nil
	config := rl.checkedConfig()
	if config.Config == nil {
		rl.refuse(w, r, http.StatusServiceUnavailable, "no-configuration", time.Second)
		return
	}
	if call, id := adapter.ParseJobCall(r.Method, r.URL.Path); call != adapter.NoJobCall {
		rl.callJob(w, r, config, call, id)
		return
	}
	route, ok := config.Route(hostOf(r), r.URL.Path)
	if !ok {
		rl.refuse(w, r, http.StatusNotFound, "no-route", 0)
		return
	}
	sender, status, reason := rl.authenticate(config, r, !route.Public)
	if status != 0 {
		rl.refuseKey(w, r, status, reason)
		return
	}
	if err := outgoing(r).Validate(); err != nil {
		rl.log.Info("invalid request", "id", r.Header.Get(adapter.HeaderRequestID), "error", err)
		rl.refuse(w, r, http.StatusBadRequest, "invalid-request", 0)
		return
	}
	body, err := rl.readBody(w, r, config.Limits().MaxBodyBytes)
	if err != nil {
		rl.refuseBody(w, r, err)
		return
	}
	defer body.Release()
	if rl.refuseLate(w, r, rl.timeLimit(r, route)) {
		return
	}
	if route.Kind == cicadaview.Batch {
		rl.submitJob(w, r, route, sender, body.Bytes())
		return
	}
	rl.forward(w, r, route, sender, body.Bytes())
}

// timeLimit returns the longest time that a request may take once its body has been read.
func (rl *Relay) timeLimit(r *http.Request, route *cicadaview.Route) time.Duration {
	switch limit := callerTimeout(r); {
	case route.Kind == cicadaview.Batch:
		return rl.jobs.Timeout
	case route.Kind != cicadaview.Stream && route.Timeout > 0:
		return min(limit, route.Timeout)
	default:
		return limit // the timeout of a stream's route ends with its first event
	}
}

const (
	// responseMargin is the time to send the end of a response before the connection is closed.
	responseMargin = 50 * time.Millisecond
	// shutdownRetryAfter is the time after which a caller should try another process.
	shutdownRetryAfter = 50 * time.Millisecond
)

// refuseLate refuses a request that may last longer than the process does. It reports whether
// it did.
func (rl *Relay) refuseLate(w http.ResponseWriter, r *http.Request, limit time.Duration) bool {
	end := rl.shutdownEnd()
	if end.IsZero() || time.Until(end) >= limit+responseMargin {
		return false
	}
	rl.refuse(w, r, http.StatusServiceUnavailable, "shutting-down", shutdownRetryAfter)
	return true
}

// reportPanic logs and counts a panic while a request was served. The panic goes on, which
// closes the connection: what the caller has got may be incomplete.
func (rl *Relay) reportPanic(r *http.Request) {
	v := recover()
	if v == nil {
		return
	}
	if v != http.ErrAbortHandler {
		rl.scope.Counter("requests_panicked").Inc(1)
		rl.log.Error("request panicked", "id", r.Header.Get(adapter.HeaderRequestID), "path", r.URL.Path, "error", fmt.Sprint(v),
			"stack", string(debug.Stack()))
	}
	panic(http.ErrAbortHandler)
}

// hostOf returns the host of a request without its port.
func hostOf(r *http.Request) string {
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return host
	}
	return r.Host
}

// refuseBody refuses a request whose body could not be read. If the caller failed to
// send the body, it closes the connection.
func (rl *Relay) refuseBody(w http.ResponseWriter, r *http.Request, err error) {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		rl.refuse(w, r, http.StatusRequestEntityTooLarge, "body-too-large", 0)
		return
	}
	if errors.Is(err, cicadamemory.ErrExhausted) {
		rl.refuse(w, r, http.StatusServiceUnavailable, "bodies-in-flight", bodyRetryAfter)
		return
	}
	rl.log.Info("failed to read request body", "id", r.Header.Get(adapter.HeaderRequestID), "error", err)
	panic(http.ErrAbortHandler)
}

// refuse responds to a request that was not sent to any endpoint.
func (rl *Relay) refuse(w http.ResponseWriter, r *http.Request, status int, reason string, retryAfter time.Duration) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	rl.scope.Tagged(map[string]string{"reason": reason}).Counter("refused").Inc(1)
	rl.log.Info("request refused", "id", r.Header.Get(adapter.HeaderRequestID), "status", status, "reason", reason,
		"path", r.URL.Path, "retry-after", retryAfter.String())
	w.WriteHeader(status)
}

// forward sends a request to the endpoints of its route.
func (rl *Relay) forward(w http.ResponseWriter, r *http.Request, route *cicadaview.Route, sender caller, body []byte) {
	x := &exchange{
		relay: rl, w: w, r: r, route: route, caller: sender, body: body, start: time.Now(),
		id: r.Header.Get(adapter.HeaderRequestID),
	}
	x.searchStart = x.start
	x.deadline = x.start.Add(callerTimeout(r))
	x.fingerprint, x.parts = fingerprint(r, body), sharedParts(r.Header)
	if verdict, refused := rl.monitor.Check(x.fingerprint, x.parts, x.start); refused {
		rl.refuse(w, r, http.StatusServiceUnavailable, reasonCrashesEndpoints, verdict.Remaining)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), x.deadline, errTimeout)
	defer cancel()
	if route.Timeout > 0 {
		ctx, x.cancel = context.WithCancelCause(ctx)
		x.timer = time.AfterFunc(route.Timeout, func() { x.cancel(errTimeout) })
		defer x.timer.Stop()
		defer x.cancel(nil)
	}
	if !x.acquireQuota(ctx) {
		return
	}
	defer x.releaseQuota()
	x.run(ctx)
}

// fingerprint hashes the parts of a request that may crash an endpoint. The request
// id is not one of them because a caller's retry has a new one.
func fingerprint(r *http.Request, body []byte) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Method + " " + r.Host + " " + r.RequestURI + "\n")
	_, _ = h.Write(body)
	return h.Sum64()
}

// callerTimeout returns the time that the caller allows for the request. It is at
// most defaultDeadline.
func callerTimeout(r *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(r.Header.Get(adapter.HeaderDeadline), 64)
	if err != nil || ms <= 0 || ms > float64(defaultDeadline.Milliseconds()) {
		return defaultDeadline
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func (rl *Relay) submitJob(w http.ResponseWriter, r *http.Request, route *cicadaview.Route, sender caller, body []byte) {
	id := r.Header.Get(adapter.HeaderRequestID)
	if r.Method != http.MethodPost || id == "" {
		rl.refuse(w, r, http.StatusBadRequest, "bad-submission", 0)
		return
	}
	if rl.refuseUnchecked(w, r, sender) {
		return
	}
	if rl.jobs.Submit == nil {
		rl.refuse(w, r, http.StatusServiceUnavailable, "no-owner", time.Second)
		return
	}
	rl.writeJobResponse(w, r, id, rl.jobs.Submit(r.Context(), route, hostOf(r), sender.name(), id, body))
}

func (rl *Relay) callJob(w http.ResponseWriter, r *http.Request, config checkedConfig, call adapter.JobCallKind, id string) {
	sender, status, reason := rl.authenticate(config, r, !config.HasPublicBatch())
	if status != 0 {
		rl.refuseKey(w, r, status, reason)
		return
	}
	if rl.refuseUnchecked(w, r, sender) {
		return
	}
	if rl.jobs.Call == nil {
		rl.refuse(w, r, http.StatusServiceUnavailable, "no-owner", time.Second)
		return
	}
	wait := time.Duration(0)
	if ms, err := strconv.Atoi(r.Header.Get(adapter.HeaderWait)); err == nil {
		wait = time.Duration(ms) * time.Millisecond
	}
	if rl.refuseLate(w, r, wait+rl.jobs.Timeout) {
		return
	}
	rl.writeJobResponse(w, r, id, rl.jobs.Call(r.Context(), call, sender.name(), id, r.URL.RawQuery, wait))
}

func (rl *Relay) writeJobResponse(w http.ResponseWriter, r *http.Request, id string, res JobResponse) {
	if res.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(res.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if res.JSON {
		w.Header().Set("Content-Type", "application/json")
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(res.Body)))
	if res.Status >= http.StatusBadRequest || r.Method != http.MethodGet {
		rl.log.Info("job call", "job", id, "method", r.Method, "status", res.Status)
	}
	w.WriteHeader(res.Status)
	_, _ = w.Write(res.Body)
}

// selectService selects a service of the route at random, by weight.
func selectService(route *cicadaview.Route) string { return route.SelectService(rand.Float64()) }

// outgoing returns what is sent to an endpoint of a caller's request, whatever the endpoint.
func outgoing(r *http.Request) cicadaexchange.Request {
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI() // the caller has sent the whole URL
	}
	return cicadaexchange.Request{Method: r.Method, Target: target, Host: r.Host, Header: forwardedHeaders(r.Header)}
}

// forwardedHeaders returns the headers to forward, without those that the relay sets itself.
func forwardedHeaders(h http.Header) http.Header {
	out := cicadaexchange.EndToEnd(h)
	out.Del(adapter.HeaderExpectInstance)
	out.Del(adapter.HeaderDeadline)
	return out
}
