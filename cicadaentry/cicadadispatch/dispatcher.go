// Package cicadadispatch carries requests to endpoints. It picks an endpoint,
// follows the attempt's frames, hedges when the first token is late, retries
// what may be retried, and continues a broken stream on another endpoint.
//
// # Usage
//
//	d := cicadadispatch.New(table, open, cicadadispatch.WithLimits(limits))
//	result, err := d.Run(ctx, request, func(p cicadadispatch.Piece) error {
//		return write(p.Data)
//	})
//
// The sink sees each piece of the answer once and in order. Run returns a
// Result only for a whole answer; otherwise it returns a *cicadaerror.Error
// that says whether the request is known not to have run.
//
// An attempt is not sent, refused before its start, started, or finished. Only
// the first two are called "not run", and only those are retried for a
// non-idempotent request.
package cicadadispatch

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	"cicadalink.example/cicadaentry/cicadafleet"
	"cicadalink.example/cicadakernel/cicadaerror"
	"cicadalink.example/cicadakernel/cicadaretry"
	"cicadalink.example/cicadakernel/cicadaroute"
	"cicadalink.example/cicadakernel/cicadasuspect"
	"cicadalink.example/cicadakernel/cicadawire"
)

// Codes of ERROR frames, as agents send them.
const (
	codeLeaving   = "leaving"
	codeBusy      = "busy"
	codeCrashed   = "engine-crashed"
	codeNoEngine  = "engine-not-reached"
	codeDuplicate = "duplicate-key"
	codeCancelled = "cancelled"
	codeRefused   = "refused"
	codeStopped   = "stopped"
	codeRestarted = "restarted"
)

// Defaults of the limits.
const (
	DefaultRetryShare       = 0.1
	DefaultHedgeShare       = 0.025
	DefaultQuarantinePeriod = 10 * time.Minute
	retryBound              = 20
	hedgeBound              = 2
	// probeShare is the part of the hedges that is kept for those beside probes
	// of ejected endpoints.
	probeShare         = 0.4
	maxAttempts        = 5
	hedgeStart         = time.Second
	hedgeFloor         = 50 * time.Millisecond
	frameBuffer        = 16
	overloadRetryAfter = time.Second
	maxKeptText        = 4 << 20
	// resumeLimit is how long a broken stream is tried again, and resumeUrgency
	// puts it before all that has not begun.
	resumeLimit    = 15 * time.Second
	resumeInterval = 50 * time.Millisecond
	resumeUrgency  = 100
)

// Open starts an attempt on an endpoint and returns its frames in order. Recv
// returns io.EOF or another error when the stream ends. An error that wraps a
// *cicadawire.DialError means that nothing was sent.
type Open func(ctx context.Context, e *cicadafleet.Endpoint, call *cicadawire.Call) (recv func() (*cicadawire.Frame, error), err error)

// A Request is what a caller asks for.
type Request struct {
	// Call is the call without attempt, budget and resume fields.
	Call *cicadawire.Call
	// Groups are the names of the groups that may serve it.
	Groups []string
	// Deadline is when the caller gives up.
	Deadline time.Time
}

// A Piece is a piece of an answer.
type Piece struct {
	Head    bool
	Status  int
	Headers []*cicadawire.Header
	Data    []byte
	Extra   []byte
}

// A Result is the end of a whole answer.
type Result struct {
	finish       string
	promptTokens int32
	outputTokens int32
	endpoint     string
	attempts     int
}

// Finish returns why the answer ended, such as stop or length.
func (r *Result) Finish() string { return r.finish }

// PromptTokens returns the number of tokens of the prompt.
func (r *Result) PromptTokens() int32 { return r.promptTokens }

// OutputTokens returns the number of tokens of the answer.
func (r *Result) OutputTokens() int32 { return r.outputTokens }

// Endpoint returns the name of the endpoint that finished the answer.
func (r *Result) Endpoint() string { return r.endpoint }

// Attempts returns how many attempts were made.
func (r *Result) Attempts() int { return r.attempts }

// Groups finds groups of endpoints by name.
type Groups interface {
	Group(name string) (*cicadafleet.Group, bool)
}

// A Dispatcher carries requests to endpoints.
type Dispatcher struct {
	groups   Groups
	open     Open
	scope    tally.Scope
	now      func() time.Time
	intn     func(int) int
	name     string
	serial   atomic.Uint64
	retries  *cicadaretry.Budget
	hedges   *cicadaretry.Budget
	probes   *cicadaretry.Budget
	delay    *cicadaretry.Delay
	suspects *cicadasuspect.Table
	period   atomic.Int64
	crashed  func(fingerprint uint64, endpoint string)
	answered func(fingerprint uint64)
	shed     bool
	attempts atomic.Int64
	requests atomic.Int64
	hedged   atomic.Int64
	pick     func([]cicadaroute.View, cicadaroute.Request, func(int) int) int
}

// An Option changes a Dispatcher as it is made.
type Option func(*Dispatcher)

// WithName sets the prefix of attempt ids, which must differ between entries
// and starts.
func WithName(name string) Option { return func(d *Dispatcher) { d.name = name } }

// WithScope sets where the dispatcher counts.
func WithScope(scope tally.Scope) Option { return func(d *Dispatcher) { d.scope = scope } }

// WithShares sets the retry and hedge budgets as shares of the requests.
func WithShares(retry, hedge float64) Option {
	return func(d *Dispatcher) {
		d.retries = cicadaretry.NewBudget(retry, retryBound)
		d.hedges = cicadaretry.NewBudget(hedge*(1-probeShare), hedgeBound)
		d.probes = cicadaretry.NewBudget(hedge*probeShare, hedgeBound)
	}
}

// WithSuspects sets the table of suspects and what is told to other entries.
func WithSuspects(table *cicadasuspect.Table, crashed func(uint64, string), answered func(uint64)) Option {
	return func(d *Dispatcher) {
		d.suspects, d.crashed, d.answered = table, crashed, answered
	}
}

// WithRandom sets the source of random numbers below n.
func WithRandom(intn func(int) int) Option { return func(d *Dispatcher) { d.intn = intn } }

// WithPick replaces the choice of the endpoint for online attempts, so that
// measurements can compare it with others.
func WithPick(pick func([]cicadaroute.View, cicadaroute.Request, func(int) int) int) Option {
	return func(d *Dispatcher) { d.pick = pick }
}

// WithoutShedding lets overload queue up instead of being refused early.
func WithoutShedding() Option { return func(d *Dispatcher) { d.shed = false } }

// New returns a dispatcher.
func New(groups Groups, open Open, opts ...Option) *Dispatcher {
	d := &Dispatcher{
		groups:   groups,
		open:     open,
		scope:    tally.NoopScope,
		now:      time.Now,
		intn:     rand.IntN,
		name:     "entry",
		delay:    cicadaretry.NewDelay(hedgeStart, hedgeFloor),
		suspects: &cicadasuspect.Table{},
		crashed:  func(uint64, string) {},
		answered: func(uint64) {},
		shed:     true,
		pick:     cicadaroute.Online,
	}
	d.period.Store(int64(DefaultQuarantinePeriod))
	WithShares(DefaultRetryShare, DefaultHedgeShare)(d)
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// SetLimits changes the retry and hedge shares and the time of a quarantine.
// Zero values mean the defaults.
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
	d.retries.SetShare(retry)
	d.hedges.SetShare(hedge * (1 - probeShare))
	d.probes.SetShare(hedge * probeShare)
	d.period.Store(int64(quarantine))
}

// Counts returns how many requests, attempts and hedges there were.
func (d *Dispatcher) Counts() (requests, attempts, hedges int64) {
	return d.requests.Load(), d.attempts.Load(), d.hedged.Load()
}

// Suspects returns the table of suspects.
func (d *Dispatcher) Suspects() *cicadasuspect.Table { return d.suspects }

// Period returns the time of a quarantine.
func (d *Dispatcher) Period() time.Duration { return time.Duration(d.period.Load()) }

// target is an endpoint chosen for an attempt.
type target struct {
	endpoint *cicadafleet.Endpoint
}

// choose picks the endpoint for the next attempt of a request.
func (d *Dispatcher) choose(req *Request, exclude []string) (target, error) {
	var endpoints []*cicadafleet.Endpoint
	var views []cicadaroute.View
	now := d.now()
	for _, name := range req.Groups {
		group, ok := d.groups.Group(name)
		if !ok {
			continue
		}
		endpoints = append(endpoints, group.Endpoints()...)
		views = append(views, group.Views(now)...)
	}
	choice := cicadaroute.Request{Prefix: req.Call.GetPrefix(), Exclude: exclude}
	if req.Call.GetClass() == cicadawire.CallClass_BATCH {
		if i := cicadaroute.Batch(views, choice, d.intn); i >= 0 {
			return target{endpoints[i]}, nil
		}
		return target{}, cicadaerror.New(cicadaerror.Overloaded, "no endpoint has an idle slot").NotRun()
	}
	if d.shed && cicadaroute.Shed(cicadaroute.Load(views), req.Call.GetUrgency()) {
		d.scope.Counter("requests_shed").Inc(1)
		return target{}, cicadaerror.New(cicadaerror.Overloaded, "endpoints are overloaded").NotRun().RetryAfter(overloadRetryAfter)
	}
	d.holdProbes(views, req)
	i := d.pick(views, choice, d.intn)
	if i < 0 && len(exclude) > 0 {
		choice.Exclude = exclude[len(exclude)-1:]
		i = d.pick(views, choice, d.intn)
	}
	if i < 0 {
		return target{}, cicadaerror.New(cicadaerror.Overloaded, "no endpoint is available").NotRun().RetryAfter(overloadRetryAfter)
	}
	return target{endpoints[i]}, nil
}

// holdProbes keeps ejected endpoints out while no hedge could be sent beside
// the probe: a caller must not wait for what is likely to be slow. An endpoint
// that is overdue comes in all the same, or one after the other would stay out.
func (d *Dispatcher) holdProbes(views []cicadaroute.View, req *Request) {
	if d.probes.Ready() && !req.Call.GetNonIdempotent() {
		return
	}
	for i := range views {
		views[i].Ejected = views[i].Ejected || (views[i].Probing && !views[i].Overdue)
	}
}

// Run carries a request and hands its answer to sink.
func (d *Dispatcher) Run(ctx context.Context, req *Request, sink func(Piece) error) (*Result, error) {
	if !req.Deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, req.Deadline)
		defer cancel()
	}
	if req.Call.GetClass() == cicadawire.CallClass_ONLINE {
		d.requests.Add(1)
		d.retries.Request()
		d.hedges.Request()
		d.probes.Request()
	}
	r := &run{d: d, req: req, sink: sink}
	return r.do(ctx)
}

// attemptCall returns the call of one attempt.
func (d *Dispatcher) attemptCall(ctx context.Context, r *run, boot int64, suspect bool) *cicadawire.Call {
	call := proto.CloneOf(r.req.Call)
	call.Attempt = fmt.Sprintf("%s-%d", d.name, d.serial.Add(1))
	call.Suspect = suspect
	call.Boot = boot
	call.ResumeFrom = r.pieces
	call.ResumeText = r.text
	if r.pieces > 0 {
		call.Urgency = resumeUrgency
	}
	if deadline, ok := ctx.Deadline(); ok {
		call.BudgetMs = max(deadline.Sub(d.now()).Milliseconds(), 1)
	}
	return call
}

// unsent reports that an attempt's call never left this process.
func unsent(err error) bool {
	var dial *cicadawire.DialError
	return errors.As(err, &dial)
}
