// Package cicadarelay serves callers: it routes each request to an endpoint of
// its service, passes the answer back as it comes, and sees to it that what may
// run only once runs only once.
//
// # Usage
//
//	relay := cicadarelay.New(config, table, client, log,
//		cicadarelay.WithJobs(jobs), cicadarelay.WithScope(scope))
//	srv := &http.Server{Handler: relay}
//
// A request that was surely not run is sent to another endpoint, whatever its
// kind. One that may have run is repeated only if it is idempotent. A stream of a
// resumable route that breaks goes on at another endpoint after its last event.
package cicadarelay

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"cicadalink.example/cicadagateway/cicadaexchange"
	"cicadalink.example/cicadagateway/cicadaplace"
	"cicadalink.example/cicadakernel/cicadasuspect"
	"cicadalink.example/cicadakernel/cicadaview"
	adapter "cicadalink.example/platform"
)

const (
	defaultDeadline = 30 * time.Second
	// waitShare is the part of a route's goal that a request may wait for a slot:
	// what remains is enough for the first event.
	waitShare = 0.7
	maxSends  = 6 // endpoints that one request is offered to
	// quarantineTime is how long a request that crashes endpoints is refused.
	quarantineTime = 30 * time.Second
)

// Jobs handles the calls on batch routes. A nil function refuses the call.
type Jobs struct {
	// Submit accepts a job.
	Submit func(ctx context.Context, route *cicadaview.Route, host, id string, body []byte) JobAnswer
	// Call answers a call on a job.
	Call func(ctx context.Context, call adapter.JobCall, id, query string, wait time.Duration) JobAnswer
}

// A JobAnswer is the answer to a call on a job.
type JobAnswer struct {
	Status int
	Body   []byte
	// JSON reports whether the body is JSON.
	JSON bool
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
}

// A Relay is the handler for callers.
type Relay struct {
	config  func() *cicadaview.Config
	table   *cicadaplace.Table
	client  *cicadaexchange.Client
	log     hclog.Logger
	scope   tally.Scope
	metrics *metrics
	jobs    Jobs
	bodies  bodies
	leaving func() bool
	// suspects knows requests that crash endpoints, and crashed passes on what
	// this process has seen of them.
	suspects *cicadasuspect.Table
	crashed  func(request uint64, run string)
}

// An Option changes a Relay as it is made.
type Option func(*Relay)

// WithJobs sets what handles batch routes.
func WithJobs(jobs Jobs) Option { return func(r *Relay) { r.jobs = jobs } }

// WithScope sets where requests are counted.
func WithScope(scope tally.Scope) Option { return func(r *Relay) { r.scope = scope } }

// WithLeaving sets what reports that the process shuts down. Connections then
// end after their answer.
func WithLeaving(leaving func() bool) Option { return func(r *Relay) { r.leaving = leaving } }

// WithBodyMemory bounds the bodies of all requests in flight, in bytes.
func WithBodyMemory(limit int64) Option { return func(r *Relay) { r.bodies.limit = limit } }

// WithSuspects shares what is known of requests that crash endpoints. crashed is
// called for each run after which an endpoint's connection broke.
func WithSuspects(table *cicadasuspect.Table, crashed func(request uint64, run string)) Option {
	return func(r *Relay) { r.suspects, r.crashed = table, crashed }
}

// New returns a relay. config returns the configuration in force, or nil.
func New(config func() *cicadaview.Config, table *cicadaplace.Table, client *cicadaexchange.Client, log hclog.Logger, opts ...Option) *Relay {
	r := &Relay{
		config: config, table: table, client: client, log: log, scope: tally.NoopScope, leaving: func() bool { return false },
		suspects: &cicadasuspect.Table{}, crashed: func(uint64, string) {},
	}
	for _, opt := range opts {
		opt(r)
	}
	r.metrics = newMetrics(r.scope)
	return r
}

// KeepAliveTime is how long callers may use an idle connection again. A leaving entry
// closes no connection sooner, so that no request crosses its close.
const KeepAliveTime = time.Second

var keepAlive = "timeout=" + strconv.Itoa(int(KeepAliveTime.Seconds()))

var errTimeout = merry.Sentinel("cicadarelay: route's timeout")

// ServeHTTP serves one request of a caller.
func (l *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if l.leaving() {
		w.Header().Set("Connection", "close")
	} else {
		w.Header().Set("Keep-Alive", keepAlive)
	}
	w.Header()["Date"] = nil
	config := l.config()
	if config == nil {
		l.refuse(w, r, http.StatusServiceUnavailable, "no-configuration", time.Second)
		return
	}
	if call, id := adapter.ParseJobCall(r.Method, r.URL.Path); call != adapter.NoJobCall {
		l.callJob(w, r, call, id)
		return
	}
	route, ok := config.Route(hostOf(r), r.URL.Path)
	if !ok {
		l.refuse(w, r, http.StatusNotFound, "no-route", 0)
		return
	}
	body, held, err := l.bodies.read(w, r, config.Limits().MaxBody)
	defer l.bodies.release(held)
	if err != nil {
		l.refuseBody(w, r, err)
		return
	}
	if route.Kind == cicadaview.Batch {
		l.submit(w, r, route, body)
		return
	}
	l.serve(w, r, route, body)
}

func hostOf(r *http.Request) string {
	if host, _, err := net.SplitHostPort(r.Host); err == nil {
		return host
	}
	return r.Host
}

func (l *Relay) refuseBody(w http.ResponseWriter, r *http.Request, err error) {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		l.refuse(w, r, http.StatusRequestEntityTooLarge, "body-too-large", 0)
		return
	}
	if errors.Is(err, errBodies) {
		l.refuse(w, r, http.StatusServiceUnavailable, "bodies-in-flight", bodyRetry)
		return
	}
	l.log.Info("request not read", "id", r.Header.Get(adapter.HeaderRequestID), "error", err)
	panic(http.ErrAbortHandler)
}

// refuse answers without having run the request.
func (l *Relay) refuse(w http.ResponseWriter, r *http.Request, status int, reason string, retryAfter time.Duration) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64))
	}
	l.scope.Tagged(map[string]string{"reason": reason}).Counter("refused").Inc(1)
	l.log.Info("refused", "id", r.Header.Get(adapter.HeaderRequestID), "status", status, "reason", reason,
		"path", r.URL.Path, "retry-after", retryAfter.String())
	w.WriteHeader(status)
}

func (l *Relay) serve(w http.ResponseWriter, r *http.Request, route *cicadaview.Route, body []byte) {
	x := &exchange{
		relay: l, w: w, r: r, route: route, body: body, start: time.Now(),
		id: r.Header.Get(adapter.HeaderRequestID),
	}
	x.deadline = x.start.Add(callerTime(r))
	x.print = fingerprint(r, body)
	if l.suspects.Verdict(x.print, x.start, quarantineTime) == cicadasuspect.Quarantined {
		l.refuse(w, r, http.StatusServiceUnavailable, "crashes-endpoints", quarantineTime)
		return
	}
	ctx, cancel := context.WithDeadlineCause(r.Context(), x.deadline, errTimeout)
	defer cancel()
	if route.Timeout > 0 {
		ctx, x.abandon = context.WithCancelCause(ctx)
		x.timer = time.AfterFunc(route.Timeout, func() { x.abandon(errTimeout) })
		defer x.timer.Stop()
		defer x.abandon(nil)
	}
	x.run(ctx)
}

// fingerprint tells requests apart by what makes them crash an endpoint. A caller
// that comes again has another request id.
func fingerprint(r *http.Request, body []byte) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Method + " " + r.Host + " " + r.RequestURI + "\n")
	_, _ = h.Write(body)
	return h.Sum64()
}

func callerTime(r *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(r.Header.Get(adapter.HeaderDeadline), 64)
	if err != nil || ms <= 0 || ms > float64(defaultDeadline.Milliseconds()) {
		return defaultDeadline
	}
	return time.Duration(ms * float64(time.Millisecond))
}

func (l *Relay) submit(w http.ResponseWriter, r *http.Request, route *cicadaview.Route, body []byte) {
	id := r.Header.Get(adapter.HeaderRequestID)
	if r.Method != http.MethodPost || id == "" {
		l.refuse(w, r, http.StatusBadRequest, "bad-submission", 0)
		return
	}
	if l.jobs.Submit == nil {
		l.refuse(w, r, http.StatusServiceUnavailable, "no-owner", time.Second)
		return
	}
	l.answerJob(w, r, id, l.jobs.Submit(r.Context(), route, r.Host, id, body))
}

func (l *Relay) callJob(w http.ResponseWriter, r *http.Request, call adapter.JobCall, id string) {
	if l.jobs.Call == nil {
		l.refuse(w, r, http.StatusServiceUnavailable, "no-owner", time.Second)
		return
	}
	wait := time.Duration(0)
	if ms, err := strconv.Atoi(r.Header.Get(adapter.HeaderWait)); err == nil {
		wait = time.Duration(ms) * time.Millisecond
	}
	l.answerJob(w, r, id, l.jobs.Call(r.Context(), call, id, r.URL.RawQuery, wait))
}

func (l *Relay) answerJob(w http.ResponseWriter, r *http.Request, id string, a JobAnswer) {
	if a.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(a.RetryAfter.Seconds(), 'f', 3, 64))
	}
	if a.JSON {
		w.Header().Set("Content-Type", "application/json")
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(a.Body)))
	if a.Status >= http.StatusBadRequest || r.Method != http.MethodGet {
		l.log.Info("job call", "job", id, "method", r.Method, "status", a.Status)
	}
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// pickService returns the service for a request, by the route's weights.
func pickService(route *cicadaview.Route) string { return route.Pick(rand.Float64()) }

// skipHeaders are the headers of one connection, and those that the relay sets.
var skipHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true,
	"Proxy-Authorization": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
	"Content-Length": true, "Expect": true,
	http.CanonicalHeaderKey(adapter.HeaderExpect): true, http.CanonicalHeaderKey(adapter.HeaderDeadline): true,
}

// forwardHeader returns the headers to pass on.
func forwardHeader(h http.Header) http.Header {
	out := make(http.Header, len(h)+2)
	for name, values := range h {
		if !skipHeaders[name] {
			out[name] = values
		}
	}
	for _, list := range h["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			out.Del(strings.TrimSpace(name))
		}
	}
	return out
}
