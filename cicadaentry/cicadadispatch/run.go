package cicadadispatch

import (
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"

	"cicadalink.example/cicadaentry/cicadafleet"
	"cicadalink.example/cicadakernel/cicadaerror"
	"cicadalink.example/cicadakernel/cicadasuspect"
	"cicadalink.example/cicadakernel/cicadawire"
)

// errInterrupted reports a stream that ended before its last frame.
var errInterrupted = merry.Sentinel("cicadadispatch: stream ended before its last frame")

// A run is the execution of one request, over one or more attempts.
type run struct {
	d          *Dispatcher
	req        *Request
	sink       func(Chunk) error
	tried      []string
	attempts   int
	chunks     int32
	resumeText []byte
	headSent   bool
	mayHaveRun bool
	began      *string // software version that sent the first chunk, or nil if not proved
	// resumeDeadline is when an interrupted request is no longer resumed. It is
	// set by the first call of waitToResume.
	resumeDeadline time.Time
	tasks          conc.WaitGroup
}

// An attempt is one attempt of a run at one endpoint.
type attempt struct {
	endpoint  *cicadafleet.Endpoint
	startedAt time.Time
	tracked   *cicadafleet.Attempt
	call      *cicadawire.Call
	frames    chan *cicadawire.Frame
	err       error
	sinkErr   error
	cancel    context.CancelFunc
	peeked    *cicadawire.Frame
	nextIndex int32
	answered  bool // whether it has got a chunk
}

// outcome describes how an attempt ended and whether another may follow.
type outcome struct {
	result *Result
	// err is returned to the caller if no other attempt is made.
	err *cicadaerror.Error
	// notRun is set if the engine did not receive the call.
	notRun bool
	// retryable is set if another attempt may succeed.
	retryable bool
	// budgetExempt is set if a retry does not count against the retry budget.
	budgetExempt bool
}

func (r *run) nonIdempotent() bool { return r.req.Call.GetNonIdempotent() }

func (r *run) isBatch() bool { return r.req.Call.GetClass() == cicadawire.CallClass_BATCH }

// do makes attempts until one yields a complete response or no further attempt is
// allowed.
func (r *run) do(ctx context.Context) (*Result, error) {
	defer r.tasks.Wait()
	for {
		suspect, err := r.checkQuarantine()
		if err != nil {
			return nil, r.correctNotRun(err)
		}
		selected, err := r.d.selectEndpoint(r.req, r.tried, r.began)
		if err != nil && r.waitToResume(ctx) {
			continue
		}
		if err != nil {
			return nil, r.correctNotRun(err)
		}
		end := r.runAttempt(ctx, selected, suspect)
		if end.result != nil {
			end.result.attempts = r.attempts
			return end.result, nil
		}
		r.mayHaveRun = r.mayHaveRun || !end.notRun
		if !r.canRetry(ctx, end) && !(end.notRun && r.waitToResume(ctx)) {
			return nil, r.correctNotRun(end.err)
		}
		r.d.scope.Counter("attempts_retried").Inc(1)
	}
}

// waitToResume waits before retrying a request that may have run or whose response
// was partly received. Such a request must not fail because no endpoint is available
// for a short time. It reports false if the request cannot be resumed
// or has been waiting for maxResumeWait.
func (r *run) waitToResume(ctx context.Context) bool {
	if (r.chunks == 0 && !r.mayHaveRun) || r.nonIdempotent() || !r.canContinue() || r.isBatch() {
		return false
	}
	now := r.d.now()
	if r.resumeDeadline.IsZero() {
		r.resumeDeadline = now.Add(maxResumeWait)
	}
	if now.After(r.resumeDeadline) {
		return false
	}
	r.tried = nil
	timer := time.NewTimer(resumeRetryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// checkQuarantine reports whether the request is a suspect, and returns an error
// if it is quarantined. A batch item is never refused, since it is owed to the end of its
// job; its owner delays it.
func (r *run) checkQuarantine() (bool, error) {
	fingerprint := r.req.Call.GetFingerprint()
	now := r.d.now()
	switch r.d.suspects.Status(fingerprint, now, r.d.QuarantinePeriod()) {
	case cicadasuspect.Quarantined:
		if r.isBatch() {
			return true, nil
		}
		r.d.scope.Counter("requests_quarantined").Inc(1)
		wait := r.d.suspects.Remaining(fingerprint, now, r.d.QuarantinePeriod())
		return false, cicadaerror.New(cicadaerror.Quarantined, "the request has crashed several endpoints and is quarantined").NotRun().RetryAfter(wait)
	case cicadasuspect.Suspect:
		return true, r.checkPrefix(now)
	}
	return false, r.checkPrefix(now)
}

// checkPrefix returns an error if the beginning of the prompt is quarantined.
func (r *run) checkPrefix(now time.Time) error {
	_, wait, quarantined := r.d.prefixes.Quarantined(r.prefixes(), now)
	if !quarantined {
		return nil
	}
	r.d.scope.Counter("prefixes_quarantined").Inc(1)
	return cicadaerror.New(cicadaerror.Quarantined, "requests with the same beginning of the prompt have crashed several endpoints and are quarantined").NotRun().RetryAfter(wait)
}

// correctNotRun returns err without its "not run" mark if an earlier attempt may
// have run.
func (r *run) correctNotRun(err error) error {
	e := cicadaerror.From(err)
	if !r.mayHaveRun || !e.IsNotRun() {
		return e
	}
	return cicadaerror.New(e.Code(), "%s", e.Message()).RetryAfter(e.RetryDelay())
}

func (r *run) canRetry(ctx context.Context, end outcome) bool {
	if !end.retryable || ctx.Err() != nil || (r.attempts >= maxAttempts && r.chunks == 0) {
		return false
	}
	if r.nonIdempotent() && !end.notRun {
		return false
	}
	if !r.canContinue() {
		return false
	}
	if r.isBatch() {
		return !end.notRun
	}
	return end.budgetExempt || r.d.retryBudget.Take()
}

// runAttempt makes one attempt, and hedges it if its first frame is late.
func (r *run) runAttempt(ctx context.Context, selected target, suspect bool) outcome {
	primary := r.start(ctx, selected, suspect)
	if !r.canHedge(suspect) {
		return r.finish(ctx, primary, r.forwardFrames(ctx, primary))
	}
	delay, probe := r.d.hedgeDelay.Get(), primary.tracked.IsProbe()
	if probe {
		delay = r.d.hedgeDelay.Median()
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case frame, ok := <-primary.frames:
		primary.storePeeked(frame, ok)
		return r.finish(ctx, primary, r.forwardFrames(ctx, primary))
	case <-timer.C:
	case <-ctx.Done():
		return r.finish(ctx, primary, r.forwardFrames(ctx, primary))
	}
	hedged, ok := r.hedge(ctx, probe)
	if !ok {
		return r.finish(ctx, primary, r.forwardFrames(ctx, primary))
	}
	return r.race(ctx, primary, hedged)
}

func (r *run) canHedge(suspect bool) bool {
	return !r.nonIdempotent() && !r.isBatch() && !suspect && r.chunks == 0
}

// hedge starts a second attempt at another endpoint, if the hedge budget allows
// one. A probe is likely to need its hedge, so it may also use the budget reserved
// for probes.
func (r *run) hedge(ctx context.Context, probe bool) (*attempt, bool) {
	if !(probe && r.d.probeBudget.Take()) && !r.d.hedgeBudget.Take() {
		return nil, false
	}
	selected, err := r.d.selectEndpoint(r.req, r.tried, r.began)
	if err != nil || slices.Contains(r.tried, selected.endpoint.Name()) {
		return nil, false
	}
	r.d.hedgeCount.Add(1)
	r.d.scope.Counter("attempts_hedged").Inc(1)
	return r.start(ctx, selected, false), true
}

// race forwards the frames of the attempt that sends a frame first and cancels
// the other. If the first attempt to report has failed, the frames of the other
// are forwarded instead.
func (r *run) race(ctx context.Context, a, b *attempt) outcome {
	for {
		winner, loser := a, b
		select {
		case frame, ok := <-a.frames:
			a.storePeeked(frame, ok)
		case frame, ok := <-b.frames:
			winner, loser = b, a
			b.storePeeked(frame, ok)
		case <-ctx.Done():
			b.stop()
			return r.finish(ctx, a, r.forwardFrames(ctx, a))
		}
		if winner.failed() {
			end := r.finish(ctx, winner, winner.peeked)
			r.mayHaveRun = r.mayHaveRun || !end.notRun
			return r.finish(ctx, loser, r.forwardFrames(ctx, loser))
		}
		loser.stop()
		return r.finish(ctx, winner, r.forwardFrames(ctx, winner))
	}
}

// start starts an attempt and reads its frames in the background.
func (r *run) start(ctx context.Context, selected target, suspect bool) *attempt {
	r.attempts++
	r.d.attemptCount.Add(1)
	r.tried = append(r.tried, selected.endpoint.Name())
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{
		endpoint:  selected.endpoint,
		startedAt: r.d.now(),
		tracked:   selected.endpoint.BeginAttempt(r.isBatch()),
		call:      r.d.attemptCall(ctx, r, selected.endpoint.Boot(), suspect),
		frames:    make(chan *cicadawire.Frame, frameBufferSize),
		cancel:    cancel,
	}
	r.tasks.Go(func() { a.read(ctx, r.d.openStream) })
	return a
}

// read receives frames until the stream ends, then closes a.frames.
func (a *attempt) read(ctx context.Context, openStream OpenFunc) {
	defer close(a.frames)
	recv, err := openStream(ctx, a.endpoint, a.call)
	if err != nil {
		a.err = err
		return
	}
	for {
		frame, err := recv()
		if err != nil {
			if !errors.Is(err, io.EOF) {
				a.err = err
			}
			return
		}
		select {
		case a.frames <- frame:
		case <-ctx.Done():
			a.err = ctx.Err()
			return
		}
	}
}

// storePeeked stores a frame that was received outside forwardFrames, which
// processes it first. If ok is false, the stream has ended.
func (a *attempt) storePeeked(frame *cicadawire.Frame, ok bool) {
	if ok {
		a.peeked = frame
		return
	}
	a.peeked = nil
	closed := make(chan *cicadawire.Frame)
	close(closed)
	a.frames = closed
}

// failed reports whether the stream ended without a frame, or the peeked frame is
// an ERROR frame. It is called after storePeeked.
func (a *attempt) failed() bool {
	return a.peeked == nil || a.peeked.GetKind() == cicadawire.FrameKind_ERROR
}

// stop cancels the attempt.
func (a *attempt) stop() {
	a.cancel()
	a.tracked.End()
}

// stopAndWait cancels the attempt, waits for its stream to end and returns the
// stream's error.
func (a *attempt) stopAndWait() error {
	a.stop()
	for range a.frames { //nolint:revive // frames of a cancelled attempt are discarded
	}
	return a.err
}

// forwardFrames passes the chunks of an attempt to the sink up to its last frame,
// which it returns. It returns nil if the stream ended before that.
func (r *run) forwardFrames(ctx context.Context, a *attempt) *cicadawire.Frame {
	for {
		frame := a.peeked
		a.peeked = nil
		if frame == nil {
			var ok bool
			select {
			case frame, ok = <-a.frames:
			case <-ctx.Done():
				return nil
			}
			if !ok {
				return nil
			}
		}
		if frame.GetAttempt() != a.call.GetAttempt() || frame.GetIndex() != a.nextIndex {
			r.d.scope.Counter("frames_out_of_order").Inc(1)
			return nil
		}
		a.nextIndex++
		switch frame.GetKind() {
		case cicadawire.FrameKind_LAST, cicadawire.FrameKind_ERROR:
			return frame
		}
		if !r.recordOrigin(frame) {
			r.d.scope.Counter("outputs_of_other_version").Inc(1)
			return nil
		}
		if err := r.deliver(a, frame); err != nil {
			a.sinkErr = err
			return nil
		}
	}
}

// deliver records a chunk and passes it to the sink.
func (r *run) deliver(a *attempt, frame *cicadawire.Frame) error {
	r.recordAnswer(a)
	firstTokenTime, isFirst := a.tracked.RecordChunk()
	if isFirst && r.chunks == 0 && !r.isBatch() {
		r.d.hedgeDelay.Observe(firstTokenTime)
	}
	isHead := frame.GetKind() == cicadawire.FrameKind_HEAD
	if isHead {
		r.headSent = true
	} else {
		r.chunks++
		if !r.nonIdempotent() && !r.headSent && len(r.resumeText) < maxResumeTextBytes {
			r.resumeText = append(r.resumeText, frame.GetData()...)
		}
	}
	return r.sink(Chunk{
		Head: isHead, Status: int(frame.GetStatus()), Headers: frame.GetHeaders(),
		Data: frame.GetData(), Extra: frame.GetExtra(),
	})
}
