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

// errCut reports a stream that ended without a last frame.
var errCut = merry.Sentinel("cicadadispatch: stream ended without its last frame")

// A run is one request on its way.
type run struct {
	d      *Dispatcher
	req    *Request
	sink   func(Piece) error
	tried  []string
	made   int
	pieces int32
	text   []byte
	head   bool
	lost   bool
	// resumeTill is when a stream that has begun is given up.
	resumeTill time.Time
	tasks      conc.WaitGroup
}

// A lane is one attempt of a run.
type lane struct {
	endpoint *cicadafleet.Endpoint
	books    *cicadafleet.Attempt
	call     *cicadawire.Call
	frames   chan *cicadawire.Frame
	err      error
	sinkErr  error
	cancel   context.CancelFunc
	first    *cicadawire.Frame
	next     int32
}

// outcome says how an attempt ended and what may be done about it.
type outcome struct {
	result *Result
	// err is for the caller if nothing else is tried.
	err *cicadaerror.Error
	// notRun is set when the engine has not seen the call.
	notRun bool
	// again is set when another attempt may help.
	again bool
	// free is set when another attempt does not count against the budget.
	free bool
}

func (r *run) nonIdempotent() bool { return r.req.Call.GetNonIdempotent() }

func (r *run) isBatch() bool { return r.req.Call.GetClass() == cicadawire.CallClass_BATCH }

// do makes attempts until one has a whole answer or no other may be made.
func (r *run) do(ctx context.Context) (*Result, error) {
	defer r.tasks.Wait()
	for {
		suspect, err := r.checkSuspicion()
		if err != nil {
			return nil, r.truthful(err)
		}
		chosen, err := r.d.choose(r.req, r.tried)
		if err != nil && r.waitToResume(ctx) {
			continue
		}
		if err != nil {
			return nil, r.truthful(err)
		}
		end := r.attempt(ctx, chosen, suspect)
		if end.result != nil {
			end.result.attempts = r.made
			return end.result, nil
		}
		r.lost = r.lost || !end.notRun
		if !r.mayRetry(ctx, end) && !(end.notRun && r.waitToResume(ctx)) {
			return nil, r.truthful(end.err)
		}
		r.d.scope.Counter("attempts_retried").Inc(1)
	}
}

// waitToResume waits a little before a request whose endpoint was lost is tried
// again: a caller who has half an answer, or whose request was under way, must not
// lose it to a moment without a free endpoint.
func (r *run) waitToResume(ctx context.Context) bool {
	if (r.pieces == 0 && !r.lost) || r.head || r.nonIdempotent() || r.overKept() || r.isBatch() {
		return false
	}
	now := r.d.now()
	if r.resumeTill.IsZero() {
		r.resumeTill = now.Add(resumeLimit)
	}
	if now.After(r.resumeTill) {
		return false
	}
	r.tried = nil
	timer := time.NewTimer(resumeInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *run) checkSuspicion() (bool, error) {
	fingerprint := r.req.Call.GetFingerprint()
	now := r.d.now()
	switch r.d.suspects.Verdict(fingerprint, now, r.d.Period()) {
	case cicadasuspect.Quarantined:
		r.d.scope.Counter("requests_quarantined").Inc(1)
		wait := r.d.suspects.Remaining(fingerprint, now, r.d.Period())
		return false, cicadaerror.New(cicadaerror.Quarantined, "this request has crashed several endpoints and is not run again for now").NotRun().RetryAfter(wait)
	case cicadasuspect.Suspect:
		return true, nil
	}
	return false, nil
}

// truthful takes back "not run" when an earlier attempt may have run.
func (r *run) truthful(err error) error {
	e := cicadaerror.From(err)
	if !r.lost || !e.IsNotRun() {
		return e
	}
	return cicadaerror.New(e.Code(), "%s", e.Message()).RetryAfter(e.Wait())
}

func (r *run) mayRetry(ctx context.Context, end outcome) bool {
	if !end.again || ctx.Err() != nil || (r.made >= maxAttempts && r.pieces == 0) {
		return false
	}
	if r.nonIdempotent() && !end.notRun {
		return false
	}
	if r.head || r.overKept() {
		return false
	}
	if r.isBatch() {
		return !end.notRun
	}
	return end.free || r.d.retries.Take()
}

// overKept reports that the text so far is too long to have been kept for a
// resume.
func (r *run) overKept() bool { return r.pieces > 0 && len(r.text) >= maxKeptText }

// attempt makes one attempt, with a hedge when its first frame is late.
func (r *run) attempt(ctx context.Context, chosen target, suspect bool) outcome {
	main := r.start(ctx, chosen, suspect)
	if !r.mayHedge(suspect) {
		return r.settle(ctx, main, r.follow(ctx, main))
	}
	delay, probe := r.d.delay.Get(), main.books.Probe()
	if probe {
		delay = r.d.delay.Short()
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case frame, ok := <-main.frames:
		main.take(frame, ok)
		return r.settle(ctx, main, r.follow(ctx, main))
	case <-timer.C:
	case <-ctx.Done():
		return r.settle(ctx, main, r.follow(ctx, main))
	}
	other, ok := r.hedge(ctx, probe)
	if !ok {
		return r.settle(ctx, main, r.follow(ctx, main))
	}
	return r.race(ctx, main, other)
}

func (r *run) mayHedge(suspect bool) bool {
	return !r.nonIdempotent() && !r.isBatch() && !suspect && r.pieces == 0
}

// hedge starts a second attempt. One beside a probe, which is likely to be
// needed, may also use the probes' part of the budget.
func (r *run) hedge(ctx context.Context, probe bool) (*lane, bool) {
	if !(probe && r.d.probes.Take()) && !r.d.hedges.Take() {
		return nil, false
	}
	chosen, err := r.d.choose(r.req, r.tried)
	if err != nil || slices.Contains(r.tried, chosen.endpoint.Name()) {
		return nil, false
	}
	r.d.hedged.Add(1)
	r.d.scope.Counter("attempts_hedged").Inc(1)
	return r.start(ctx, chosen, false), true
}

// race follows whichever lane brings a piece of the answer first, and cancels
// the other. A lane that fails leaves the race to the other.
func (r *run) race(ctx context.Context, a, b *lane) outcome {
	for {
		winner, loser := a, b
		select {
		case frame, ok := <-a.frames:
			a.take(frame, ok)
		case frame, ok := <-b.frames:
			winner, loser = b, a
			b.take(frame, ok)
		case <-ctx.Done():
			b.stop()
			return r.settle(ctx, a, r.follow(ctx, a))
		}
		if winner.failed() {
			end := r.settle(ctx, winner, winner.first)
			r.lost = r.lost || !end.notRun
			return r.settle(ctx, loser, r.follow(ctx, loser))
		}
		loser.stop()
		return r.settle(ctx, winner, r.follow(ctx, winner))
	}
}

// start opens an attempt and reads its frames in the background.
func (r *run) start(ctx context.Context, chosen target, suspect bool) *lane {
	r.made++
	r.d.attempts.Add(1)
	r.tried = append(r.tried, chosen.endpoint.Name())
	ctx, cancel := context.WithCancel(ctx)
	l := &lane{
		endpoint: chosen.endpoint,
		books:    chosen.endpoint.Begin(r.isBatch()),
		call:     r.d.attemptCall(ctx, r, chosen.endpoint.Boot(), suspect),
		frames:   make(chan *cicadawire.Frame, frameBuffer),
		cancel:   cancel,
	}
	r.tasks.Go(func() { l.read(ctx, r.d.open) })
	return l
}

func (l *lane) read(ctx context.Context, open Open) {
	defer close(l.frames)
	recv, err := open(ctx, l.endpoint, l.call)
	if err != nil {
		l.err = err
		return
	}
	for {
		frame, err := recv()
		if err != nil {
			if !errors.Is(err, io.EOF) {
				l.err = err
			}
			return
		}
		select {
		case l.frames <- frame:
		case <-ctx.Done():
			l.err = ctx.Err()
			return
		}
	}
}

func (l *lane) take(frame *cicadawire.Frame, ok bool) {
	if ok {
		l.first = frame
		return
	}
	l.first = nil
	closed := make(chan *cicadawire.Frame)
	close(closed)
	l.frames = closed
}

func (l *lane) failed() bool {
	return l.first == nil || l.first.GetKind() == cicadawire.FrameKind_ERROR
}

// stop gives an attempt up.
func (l *lane) stop() {
	l.cancel()
	l.books.End()
}

// wait gives an attempt up and returns why its stream ended.
func (l *lane) wait() error {
	l.stop()
	for range l.frames { //nolint:revive // the frames of a given-up attempt do not matter
	}
	return l.err
}

// follow hands the pieces of an attempt to the sink until its last frame, which
// it returns; nil means that the stream was cut.
func (r *run) follow(ctx context.Context, l *lane) *cicadawire.Frame {
	for {
		frame := l.first
		l.first = nil
		if frame == nil {
			var ok bool
			select {
			case frame, ok = <-l.frames:
			case <-ctx.Done():
				return nil
			}
			if !ok {
				return nil
			}
		}
		if frame.GetAttempt() != l.call.GetAttempt() || frame.GetIndex() != l.next {
			r.d.scope.Counter("frames_out_of_order").Inc(1)
			return nil
		}
		l.next++
		switch frame.GetKind() {
		case cicadawire.FrameKind_LAST, cicadawire.FrameKind_ERROR:
			return frame
		}
		if err := r.deliver(l, frame); err != nil {
			l.sinkErr = err
			return nil
		}
	}
}

func (r *run) deliver(l *lane, frame *cicadawire.Frame) error {
	first, isFirst := l.books.Token()
	if isFirst && r.pieces == 0 && !r.isBatch() {
		r.d.delay.Observe(first)
	}
	isHead := frame.GetKind() == cicadawire.FrameKind_HEAD
	if isHead {
		r.head = true
	} else {
		r.pieces++
		if !r.nonIdempotent() && !r.head && len(r.text) < maxKeptText {
			r.text = append(r.text, frame.GetData()...)
		}
	}
	return r.sink(Piece{
		Head: isHead, Status: int(frame.GetStatus()), Headers: frame.GetHeaders(),
		Data: frame.GetData(), Extra: frame.GetExtra(),
	})
}
