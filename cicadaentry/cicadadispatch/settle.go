package cicadadispatch

import (
	"context"
	"errors"
	"time"

	"cicadalink.example/cicadakernel/cicadaerror"
	"cicadalink.example/cicadakernel/cicadawire"
)

// settle closes an attempt's books and says what its end means.
func (r *run) settle(ctx context.Context, l *lane, last *cicadawire.Frame) outcome {
	defer l.stop()
	if last == nil {
		return r.settleCut(ctx, l)
	}
	l.endpoint.Report(last.GetLoad())
	if last.GetKind() == cicadawire.FrameKind_LAST {
		r.d.suspects.Answered(r.req.Call.GetFingerprint())
		if l.call.GetSuspect() {
			r.d.answered(r.req.Call.GetFingerprint())
		}
		return outcome{result: &Result{
			finish:       last.GetFinishReason(),
			promptTokens: last.GetPromptTokens(),
			outputTokens: last.GetOutputTokens(),
			endpoint:     l.endpoint.Name(),
		}}
	}
	return r.settleError(ctx, l, last)
}

// settleCut says what the end of an attempt without a last frame means.
func (r *run) settleCut(ctx context.Context, l *lane) outcome {
	ended := l.wait()
	switch {
	case l.sinkErr != nil:
		return outcome{err: cicadaerror.New(cicadaerror.Internal, "caller went away: %w", l.sinkErr)}
	case unsent(ended) && ctx.Err() == nil:
		l.endpoint.Disconnected()
		return outcome{
			err:    cicadaerror.New(cicadaerror.Unavailable, "endpoint not reached").NotRun().RetryAfter(overloadRetryAfter),
			notRun: true, again: true, free: true,
		}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return outcome{err: r.doubtful(cicadaerror.Timeout, "no whole answer within the deadline")}
	case ctx.Err() != nil:
		return outcome{err: cicadaerror.New(cicadaerror.Internal, "caller went away")}
	}
	return outcome{err: r.doubtful(cicadaerror.Unavailable, errCut.Error()), again: true}
}

// doubtful returns an error of an attempt that may have run: for a
// non-idempotent request its outcome is unknown, whatever the cause.
func (r *run) doubtful(code cicadaerror.Code, message string) *cicadaerror.Error {
	if r.nonIdempotent() {
		return cicadaerror.New(cicadaerror.OutcomeUnknown, "the request may have run: %s", message)
	}
	return cicadaerror.New(code, "%s", message)
}

// settleError says what an ERROR frame means.
func (r *run) settleError(ctx context.Context, l *lane, last *cicadawire.Frame) outcome {
	notRun := last.GetNotRun()
	wait := time.Duration(last.GetRetryAfterMs()) * time.Millisecond
	switch last.GetCode() {
	case codeLeaving:
		l.endpoint.SetLeaving(true)
		return outcome{err: refusal(cicadaerror.Unavailable, last, wait), notRun: notRun, again: true, free: true}
	case codeBusy, codeNoEngine, codeRestarted:
		return outcome{err: refusal(cicadaerror.Overloaded, last, wait), notRun: notRun, again: true, free: last.GetCode() != codeBusy}
	case codeStopped:
		return outcome{err: r.doubtful(cicadaerror.Unavailable, last.GetMessage()), again: true, free: true}
	case codeCrashed:
		r.reportCrash(l)
		return outcome{err: r.doubtful(cicadaerror.EngineFailed, last.GetMessage()), again: true, free: true}
	case codeRefused:
		return outcome{err: engineRefusal(last)}
	case codeDuplicate:
		return outcome{err: cicadaerror.New(cicadaerror.OutcomeUnknown, "%s", last.GetMessage())}
	case codeCancelled:
		if notRun {
			return outcome{err: refusal(cicadaerror.Timeout, last, 0), notRun: true}
		}
		if errors.Is(ctx.Err(), context.DeadlineExceeded) || ctx.Err() == nil {
			return outcome{err: r.doubtful(cicadaerror.Timeout, "no whole answer within the deadline")}
		}
	}
	return outcome{err: r.doubtful(cicadaerror.EngineFailed, last.GetMessage())}
}

func refusal(code cicadaerror.Code, last *cicadawire.Frame, wait time.Duration) *cicadaerror.Error {
	e := cicadaerror.New(code, "%s", last.GetMessage()).RetryAfter(wait)
	if last.GetNotRun() {
		e = e.NotRun()
	}
	return e
}

// engineRefusal passes an engine's refusal on with the nearest code.
func engineRefusal(last *cicadawire.Frame) *cicadaerror.Error {
	code := cicadaerror.Unprocessable
	switch last.GetStatus() {
	case 400:
		code = cicadaerror.BadRequest
	case 404:
		code = cicadaerror.NotFound
	case 413:
		code = cicadaerror.TooLarge
	}
	return cicadaerror.New(code, "%s", last.GetMessage())
}

// reportCrash puts the request under suspicion, here and at the other entries,
// before it is tried again.
func (r *run) reportCrash(l *lane) {
	fingerprint := r.req.Call.GetFingerprint()
	if fingerprint == 0 {
		return
	}
	r.d.suspects.Crashed(fingerprint, l.endpoint.Name(), r.d.now())
	r.d.crashed(fingerprint, l.endpoint.Name())
}
