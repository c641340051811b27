package cicadadispatch

import (
	"context"
	"errors"
	"time"

	"cicadalink.example/cicadakernel/cicadaerror"
	"cicadalink.example/cicadakernel/cicadawire"
)

// finish ends an attempt and classifies its last frame, which is nil if the
// stream ended without one.
func (r *run) finish(ctx context.Context, a *attempt, last *cicadawire.Frame) outcome {
	defer a.stop()
	if last == nil {
		return r.finishInterrupted(ctx, a)
	}
	a.endpoint.UpdateLoad(last.GetLoad())
	if last.GetKind() == cicadawire.FrameKind_LAST {
		r.recordSuccess(a)
		return outcome{result: &Result{
			finishReason: last.GetFinishReason(),
			promptTokens: last.GetPromptTokens(),
			outputTokens: last.GetOutputTokens(),
			endpoint:     a.endpoint.Name(),
		}}
	}
	return r.finishError(ctx, a, last)
}

// finishInterrupted classifies an attempt that ended without a last frame.
func (r *run) finishInterrupted(ctx context.Context, a *attempt) outcome {
	streamErr := a.stopAndWait()
	switch {
	case a.sinkErr != nil:
		return outcome{err: cicadaerror.New(cicadaerror.Internal, "the caller disconnected: %w", a.sinkErr)}
	case isDialError(streamErr) && ctx.Err() == nil:
		a.endpoint.MarkDisconnected()
		return outcome{
			err:    cicadaerror.New(cicadaerror.Unavailable, "could not connect to the endpoint").NotRun().RetryAfter(overloadRetryAfter),
			notRun: true, retryable: true, budgetExempt: true,
		}
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return outcome{err: r.uncertainError(cicadaerror.Timeout, "the response was not complete within the deadline")}
	case ctx.Err() != nil:
		return outcome{err: cicadaerror.New(cicadaerror.Internal, "the caller disconnected")}
	}
	return outcome{err: r.uncertainError(cicadaerror.Unavailable, errInterrupted.Error()), retryable: true}
}

// uncertainError returns the error of an attempt that may have run. For a
// non-idempotent request the outcome is unknown, whatever the cause.
func (r *run) uncertainError(code cicadaerror.Code, message string) *cicadaerror.Error {
	if r.nonIdempotent() {
		return cicadaerror.New(cicadaerror.OutcomeUnknown, "the request may have run: %s", message)
	}
	return cicadaerror.New(code, "%s", message)
}

// finishError classifies an attempt that ended with an ERROR frame.
func (r *run) finishError(ctx context.Context, a *attempt, last *cicadawire.Frame) outcome {
	notRun := last.GetNotRun()
	wait := time.Duration(last.GetRetryAfterMs()) * time.Millisecond
	switch last.GetCode() {
	case codeLeaving:
		a.endpoint.SetLeaving(true)
		return outcome{err: notStartedError(cicadaerror.Unavailable, last, wait), notRun: notRun, retryable: true, budgetExempt: true}
	case codeBusy, codeEngineUnreachable, codeRestarted:
		return outcome{err: notStartedError(cicadaerror.Overloaded, last, wait), notRun: notRun, retryable: true, budgetExempt: last.GetCode() != codeBusy}
	case codeOtherVersion:
		return outcome{err: notStartedError(cicadaerror.Overloaded, last, wait), notRun: notRun}
	case codeStopped:
		return outcome{err: r.uncertainError(cicadaerror.Unavailable, last.GetMessage()), retryable: true, budgetExempt: true}
	case codeCrashed:
		r.reportCrash(a)
		code := cicadaerror.EngineFailed
		if r.isBatch() {
			code = cicadaerror.Unavailable // no failure of the item
		}
		return outcome{err: r.uncertainError(code, last.GetMessage()), retryable: true, budgetExempt: true}
	case codeRefused:
		return outcome{err: refusedError(last)}
	case codeDuplicate:
		return outcome{err: cicadaerror.New(cicadaerror.OutcomeUnknown, "%s", last.GetMessage())}
	case codeCancelled:
		if notRun {
			return outcome{err: notStartedError(cicadaerror.Timeout, last, 0), notRun: true}
		}
		if errors.Is(ctx.Err(), context.DeadlineExceeded) || ctx.Err() == nil {
			return outcome{err: r.uncertainError(cicadaerror.Timeout, "the response was not complete within the deadline")}
		}
	}
	return outcome{err: r.uncertainError(cicadaerror.EngineFailed, last.GetMessage())}
}

// notStartedError returns the error of a call that the agent did not start. It
// is marked as not run only if the agent reports so.
func notStartedError(code cicadaerror.Code, last *cicadawire.Frame, wait time.Duration) *cicadaerror.Error {
	e := cicadaerror.New(code, "%s", last.GetMessage()).RetryAfter(wait)
	if last.GetNotRun() {
		e = e.NotRun()
	}
	return e
}

// refusedError returns the error of a call that the engine refused, with the
// code closest to the engine's status.
func refusedError(last *cicadawire.Frame) *cicadaerror.Error {
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

// recordSuccess ends the suspicion against a request that completed, and against the
// beginning of its prompt.
func (r *run) recordSuccess(a *attempt) {
	r.d.suspects.RecordSuccess(r.req.Call.GetFingerprint())
	if a.call.GetSuspect() {
		r.d.notices.Success(r.req.Call.GetFingerprint())
	}
	r.recordAnswer(a)
	if a.call.GetResumeFrom() > 0 {
		return // the rest of a response proves nothing of its beginning
	}
	for _, prefix := range r.d.prefixes.RecordSuccess(r.req.Call.GetFingerprint(), r.prefixes(), a.startedAt, r.d.now()) {
		r.d.notices.SoundPrefix(prefix)
	}
}

// recordAnswer records that an attempt has got its first chunk: the beginning of its prompt does not
// crash engines before that.
func (r *run) recordAnswer(a *attempt) {
	if a.answered {
		return
	}
	a.answered = true
	for _, prefix := range r.d.prefixes.RecordAnswer(r.prefixes(), a.startedAt, r.d.now()) {
		r.d.notices.SoundPrefix(prefix)
	}
}

// prefixes returns the beginning of the prompt, if it is known. Batch items are no
// evidence: they are never refused.
func (r *run) prefixes() []uint64 {
	if prefix := r.req.Call.GetPrefix(); prefix != 0 && !r.isBatch() {
		return []uint64{prefix}
	}
	return nil
}

// reportCrash records the request as a suspect here and at the other entries.
// This must happen before the request is retried, so that a resend to another
// entry is recognised.
func (r *run) reportCrash(a *attempt) {
	crash := Crash{Fingerprint: r.req.Call.GetFingerprint(), Endpoint: a.endpoint.Name(), SentAt: a.startedAt, Answered: a.answered}
	if crash.Fingerprint == 0 {
		return
	}
	if prefixes := r.prefixes(); len(prefixes) > 0 {
		crash.Prefix = prefixes[0]
	}
	r.d.RecordCrash(crash)
	r.d.notices.Crash(crash)
}

// isDialError reports whether the connection failed, so that the call was not sent.
func isDialError(err error) bool {
	var dialErr *cicadawire.DialError
	return errors.As(err, &dialErr)
}
