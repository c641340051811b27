// Package cicadadispatch sends requests to endpoints. It selects an endpoint,
// forwards the frames of the response, sends a hedged attempt when the first
// token is late, retries failed attempts where that is safe, and resumes an
// interrupted stream on another endpoint.
//
// # Usage
//
//	d := cicadadispatch.New(table, open, cicadadispatch.WithScope(scope))
//	result, err := d.Run(ctx, request, func(c cicadadispatch.Chunk) error {
//		return write(c.Data)
//	})
//
// The sink receives each chunk of the response exactly once and in order. Run
// returns a Result only for a complete response; otherwise it returns a
// *cicadaerror.Error that reports whether the request is known not to have run.
//
// An attempt is in one of four states: not sent, rejected before it started,
// started, or finished. In the first two it has not run. A non-idempotent request
// is retried only after an attempt that has not run.
package cicadadispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"cicadalink.example/cicadaentry/cicadafleet"
	"cicadalink.example/cicadakernel/cicadaerror"
	"cicadalink.example/cicadakernel/cicadaretry"
	"cicadalink.example/cicadakernel/cicadaroute"
	"cicadalink.example/cicadakernel/cicadasuspect"
	"cicadalink.example/cicadakernel/cicadawire"
)

// Error codes that agents send in ERROR frames.
const (
	codeLeaving           = "leaving"
	codeBusy              = "busy"
	codeCrashed           = "engine-crashed"
	codeEngineUnreachable = "engine-not-reached"
	codeDuplicate         = "duplicate-key"
	codeCancelled         = "cancelled"
	codeRefused           = "refused"
	codeStopped           = "stopped"
	codeRestarted         = "restarted"
	codeOtherVersion      = "other-version"
)

// Default limits.
const (
	DefaultRetryShare       = 0.1
	DefaultHedgeShare       = 0.025
	DefaultQuarantinePeriod = 10 * time.Minute
	maxRetryTokens          = 20
	maxHedgeTokens          = 2
	// probeHedgeFraction is the fraction of the hedge budget that is reserved
	// for hedging probes of ejected endpoints.
	probeHedgeFraction = 0.4
	// maxAttempts limits the attempts before the first chunk of the response.
	maxAttempts        = 5
	initialHedgeDelay  = time.Second
	minHedgeDelay      = 50 * time.Millisecond
	frameBufferSize    = 16
	overloadRetryAfter = time.Second
	maxResumeTextBytes = 4 << 20
	// maxResumeWait bounds how long an interrupted request waits for an endpoint
	// to resume on. resumeUrgency is the urgency of a resumed call, which places
	// it ahead of all calls that have not started.
	maxResumeWait       = 15 * time.Second
	resumeRetryInterval = 50 * time.Millisecond
	resumeUrgency       = 100
)

// An OpenFunc starts an attempt on an endpoint. Recv returns the frames in order,
// then io.EOF or another error when the stream ends. An error that wraps a
// *cicadawire.DialError means that nothing was sent.
type OpenFunc func(ctx context.Context, e *cicadafleet.Endpoint, call *cicadawire.Call) (recv func() (*cicadawire.Frame, error), err error)

// A Request is a call to dispatch, with its constraints.
type Request struct {
	// Call is the call to send. Run sets its attempt ID, time budget and resume
	// fields for each attempt.
	Call *cicadawire.Call
	// Groups are the names of the endpoint groups that may serve the request.
	Groups []string
	// Deadline is the time by which the response must be complete. The zero time
	// means that there is no deadline.
	Deadline time.Time
}

// A Chunk is a part of a response. If Head is set, it holds the status and headers of
// a service's response. Otherwise it holds data or, in Extra, the JSON delta of a chat
// response that has more fields than role and content.
type Chunk struct {
	Head    bool
	Status  int
	Headers []*cicadawire.Header
	Data    []byte
	Extra   []byte
}

// A Result describes a complete response.
type Result struct {
	finishReason string
	promptTokens int32
	outputTokens int32
	endpoint     string
	attempts     int
}

// FinishReason returns why the response ended, such as stop or length.
func (r *Result) FinishReason() string { return r.finishReason }

// PromptTokens returns the number of tokens in the prompt.
func (r *Result) PromptTokens() int32 { return r.promptTokens }

// OutputTokens returns the number of tokens in the response.
func (r *Result) OutputTokens() int32 { return r.outputTokens }

// Endpoint returns the name of the endpoint that completed the response.
func (r *Result) Endpoint() string { return r.endpoint }

// Attempts returns the number of attempts that were made.
func (r *Result) Attempts() int { return r.attempts }

// Groups looks up endpoint groups by name.
type Groups interface {
	Group(name string) (*cicadafleet.Group, bool)
}

// A Dispatcher sends requests to endpoints. Its methods are safe for concurrent
// use.
type Dispatcher struct {
	groups           Groups
	openStream       OpenFunc
	scope            tally.Scope
	now              func() time.Time
	intn             func(int) int
	attemptPrefix    string
	attemptSeq       atomic.Uint64
	retryBudget      *cicadaretry.Budget
	hedgeBudget      *cicadaretry.Budget
	probeBudget      *cicadaretry.Budget
	hedgeDelay       *cicadaretry.HedgeDelay
	suspects         *cicadasuspect.Table
	quarantinePeriod atomic.Int64
	prefixes         *cicadasuspect.PartTable
	notices          Notices
	shedding         bool
	attemptCount     atomic.Int64
	requestCount     atomic.Int64
	hedgeCount       atomic.Int64
	selectOnline     func([]cicadaroute.EndpointView, cicadaroute.Criteria, func(int) int) int
}

// An Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithAttemptPrefix sets the prefix of attempt IDs. It must be unique to the
// entry and to the run of its process.
func WithAttemptPrefix(prefix string) Option { return func(d *Dispatcher) { d.attemptPrefix = prefix } }

// WithScope sets the scope of the dispatcher's metrics.
func WithScope(scope tally.Scope) Option { return func(d *Dispatcher) { d.scope = scope } }

// WithBudgets sets the retry and hedge budgets, as fractions of the number of
// online requests.
func WithBudgets(retry, hedge float64) Option {
	return func(d *Dispatcher) {
		d.retryBudget = cicadaretry.NewBudget(retry, maxRetryTokens)
		d.hedgeBudget = cicadaretry.NewBudget(hedge*(1-probeHedgeFraction), maxHedgeTokens)
		d.probeBudget = cicadaretry.NewBudget(hedge*probeHedgeFraction, maxHedgeTokens)
	}
}

// A Crash is a call during which an endpoint's engine crashed.
type Crash struct {
	Fingerprint uint64
	Endpoint    string
	// Prefix is the hash of the beginning of the prompt, or 0 if it is not known.
	Prefix uint64
	SentAt time.Time
	// Answered is set if the call had got a chunk.
	Answered bool
}

// Notices are the functions that notify the other entries.
type Notices struct {
	Crash   func(Crash)              // an engine crashed
	Success func(fingerprint uint64) // a suspect request completed
	// SoundPrefix is called when a request gets its first chunk, or completes, whose prompt begins
	// with a prefix that was under suspicion.
	SoundPrefix func(prefix cicadasuspect.SoundPart)
	// Quarantine is called when this entry quarantines a prefix. Another entry that has run
	// fewer requests may not come to the same conclusion.
	Quarantine func(cicadasuspect.PartQuarantine)
}

// WithSuspects sets the table of suspect requests, the table of prompt prefixes that crash
// engines, and the functions that notify the other entries.
func WithSuspects(table *cicadasuspect.Table, prefixes *cicadasuspect.PartTable, notices Notices) Option {
	return func(d *Dispatcher) { d.suspects, d.prefixes, d.notices = table, prefixes, notices }
}

// WithRandom sets the source of random numbers, which returns a number in [0, n).
func WithRandom(intn func(int) int) Option { return func(d *Dispatcher) { d.intn = intn } }

// WithSelector replaces the policy that selects an endpoint for online attempts,
// so that measurements can compare policies.
func WithSelector(selectOnline func([]cicadaroute.EndpointView, cicadaroute.Criteria, func(int) int) int) Option {
	return func(d *Dispatcher) { d.selectOnline = selectOnline }
}

// WithoutShedding disables load shedding: requests queue at overloaded endpoints
// instead of being rejected.
func WithoutShedding() Option { return func(d *Dispatcher) { d.shedding = false } }

// New returns a dispatcher that selects from groups and starts attempts with
// openStream.
func New(groups Groups, openStream OpenFunc, opts ...Option) *Dispatcher {
	d := &Dispatcher{
		groups:        groups,
		openStream:    openStream,
		scope:         tally.NoopScope,
		now:           time.Now,
		intn:          rand.IntN,
		attemptPrefix: "entry",
		hedgeDelay:    cicadaretry.NewHedgeDelay(initialHedgeDelay, minHedgeDelay),
		suspects:      &cicadasuspect.Table{},
		prefixes:      cicadasuspect.NewPartTable(""),
		notices:       Notices{Crash: func(Crash) {}, Success: func(uint64) {}, SoundPrefix: func(cicadasuspect.SoundPart) {}, Quarantine: func(cicadasuspect.PartQuarantine) {}},
		shedding:      true,
		selectOnline:  cicadaroute.SelectOnline,
	}
	d.quarantinePeriod.Store(int64(DefaultQuarantinePeriod))
	WithBudgets(DefaultRetryShare, DefaultHedgeShare)(d)
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// SetLimits sets the retry and hedge budgets, as fractions of the number of
// online requests, and the quarantine period. Zero values select the defaults.
func (d *Dispatcher) SetLimits(retry, hedge float64, quarantine time.Duration) {
	if retry == 0 {
		retry = DefaultRetryShare
	}
	if hedge == 0 {
		hedge = DefaultHedgeShare
	}
	if quarantine == 0 {
		quarantine = DefaultQuarantinePeriod
	}
	d.retryBudget.SetRatio(retry)
	d.hedgeBudget.SetRatio(hedge * (1 - probeHedgeFraction))
	d.probeBudget.SetRatio(hedge * probeHedgeFraction)
	d.quarantinePeriod.Store(int64(quarantine))
}

// Counts returns the numbers of online requests, attempts and hedged attempts.
func (d *Dispatcher) Counts() (requests, attempts, hedges int64) {
	return d.requestCount.Load(), d.attemptCount.Load(), d.hedgeCount.Load()
}

// RecordCrash records a crash that this entry or another one has seen.
func (d *Dispatcher) RecordCrash(c Crash) {
	now := d.now()
	d.suspects.RecordCrash(c.Fingerprint, c.Endpoint, now)
	if c.Prefix == 0 {
		return
	}
	crash := cicadasuspect.Crash{
		Request: c.Fingerprint, Endpoint: xxhash.Sum64String(c.Endpoint), Parts: []uint64{c.Prefix}, SentAt: c.SentAt, Answered: c.Answered,
	}
	if len(d.prefixes.RecordCrash(crash, now)) == 0 {
		return
	}
	for _, q := range d.prefixes.Quarantines(now) {
		if q.Part == c.Prefix {
			d.notices.Quarantine(q)
		}
	}
}

// Prefixes returns the table of prompt prefixes that crash engines.
func (d *Dispatcher) Prefixes() *cicadasuspect.PartTable { return d.prefixes }

// Suspects returns the table of suspect requests.
func (d *Dispatcher) Suspects() *cicadasuspect.Table { return d.suspects }

// QuarantinePeriod returns how long a request stays quarantined.
func (d *Dispatcher) QuarantinePeriod() time.Duration {
	return time.Duration(d.quarantinePeriod.Load())
}

// target is the endpoint selected for an attempt.
type target struct {
	endpoint *cicadafleet.Endpoint
}

// selectEndpoint selects the endpoint for the next attempt of a request. The
// endpoints named in exclude have been tried. A batch attempt uses none of them. An
// online attempt uses them only if no other endpoint is available, and never the
// one tried last. If began is not nil, the request continues an output, which only endpoints
// of that software version can do. Their last load reports say which they are; the agent
// checks it when it sends the call to the engine.
func (d *Dispatcher) selectEndpoint(req *Request, exclude []string, began *string) (target, error) {
	var endpoints []*cicadafleet.Endpoint
	var views []cicadaroute.EndpointView
	now := d.now()
	for _, name := range req.Groups {
		group, ok := d.groups.Group(name)
		if !ok {
			continue
		}
		endpoints = append(endpoints, group.Endpoints()...)
		views = append(views, group.Views(now)...)
	}
	for i, endpoint := range endpoints {
		if began != nil && endpoint.SoftwareVersion() != *began {
			views[i].Unusable = true
		}
	}
	criteria := cicadaroute.Criteria{Prefix: req.Call.GetPrefix(), Exclude: exclude}
	if req.Call.GetClass() == cicadawire.CallClass_BATCH {
		if i := cicadaroute.SelectBatch(views, criteria, d.intn); i >= 0 {
			return target{endpoints[i]}, nil
		}
		return target{}, cicadaerror.New(cicadaerror.Overloaded, "no endpoint has an idle slot").NotRun()
	}
	if d.shedding && cicadaroute.ShouldShed(cicadaroute.Load(views), req.Call.GetUrgency()) {
		d.scope.Counter("requests_shed").Inc(1)
		return target{}, cicadaerror.New(cicadaerror.Overloaded, "endpoints are overloaded").NotRun().RetryAfter(overloadRetryAfter)
	}
	d.suppressProbes(views, req)
	i := d.selectOnline(views, criteria, d.intn)
	if i < 0 && len(exclude) > 0 {
		criteria.Exclude = exclude[len(exclude)-1:]
		i = d.selectOnline(views, criteria, d.intn)
	}
	if i < 0 {
		return target{}, cicadaerror.New(cicadaerror.Overloaded, "no endpoint is available").NotRun().RetryAfter(overloadRetryAfter)
	}
	return target{endpoints[i]}, nil
}

// suppressProbes excludes ejected endpoints that are due for a probe if the probe
// could not be hedged, because the request's caller would wait for an endpoint that is likely to
// be slow. Endpoints whose probe is overdue are not excluded; otherwise more and
// more endpoints would stay ejected.
func (d *Dispatcher) suppressProbes(views []cicadaroute.EndpointView, req *Request) {
	if d.probeBudget.CanTake() && !req.Call.GetNonIdempotent() {
		return
	}
	for i := range views {
		views[i].Ejected = views[i].Ejected || (views[i].ProbeDue && !views[i].ProbeOverdue)
	}
}

// Run executes a request and passes the chunks of its response to sink.
func (d *Dispatcher) Run(ctx context.Context, req *Request, sink func(Chunk) error) (*Result, error) {
	if !req.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, req.Deadline)
		defer cancel()
	}
	if req.Call.GetClass() == cicadawire.CallClass_ONLINE {
		d.requestCount.Add(1)
		d.retryBudget.RecordRequest()
		d.hedgeBudget.RecordRequest()
		d.probeBudget.RecordRequest()
	}
	r := &run{d: d, req: req, sink: sink}
	return r.do(ctx)
}

// attemptCall returns the call to send for one attempt, with its own ID, the
// remaining time and the text to resume from.
func (d *Dispatcher) attemptCall(ctx context.Context, r *run, boot int64, suspect bool) *cicadawire.Call {
	call := proto.CloneOf(r.req.Call)
	call.Attempt = fmt.Sprintf("%s-%d", d.attemptPrefix, d.attemptSeq.Add(1))
	call.Suspect = suspect
	call.Boot = boot
	call.ResumeFrom = r.chunks
	call.ResumeText = r.resumeText
	if r.chunks > 0 {
		call.Origin = r.began
		call.Urgency = resumeUrgency
	}
	if deadline, ok := ctx.Deadline(); ok {
		call.BudgetMs = max(deadline.Sub(d.now()).Milliseconds(), 1)
	}
	return call
}
