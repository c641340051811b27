package cicadagate

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"cicadalink.example/cicadaagent/cicadaengine"
	"cicadalink.example/cicadakernel/cicadawire"
)

// An output turns an engine's answer into frames. Online answers go out piece
// by piece; a batch item's answer is kept until it is whole, so that the item
// can be put aside and continued.
type output struct {
	gate  *Gate
	call  *cicadawire.Call
	send  func(*cicadawire.Frame) error
	index int32
	held  []cicadaengine.Chunk
	text  []byte
	kept  []cicadaengine.Chunk
}

func (o *output) holds() bool { return o.call.GetClass() == cicadawire.CallClass_BATCH }

// next returns the call for the next run: the call itself, or, after a
// preemption, one that continues from what the engine has already made.
func (o *output) next(resumes bool) *cicadawire.Call {
	if len(o.held) == 0 {
		return o.call
	}
	if !resumes || o.call.GetService() != "" {
		o.gate.scope.Counter("batch_tokens_wasted").Inc(int64(len(o.held)))
		o.held, o.text = nil, nil
		return o.call
	}
	resumed := proto.Clone(o.call).(*cicadawire.Call)
	resumed.ResumeFrom = o.call.GetResumeFrom() + int32(len(o.held))
	resumed.ResumeText = append(append([]byte(nil), o.call.GetResumeText()...), o.text...)
	return resumed
}

func (o *output) chunk(c cicadaengine.Chunk) error {
	if _, keyed := keyOf(o.call); keyed {
		o.kept = append(o.kept, c)
	}
	if o.holds() {
		o.held = append(o.held, c)
		o.text = append(o.text, c.Data...)
		return nil
	}
	return o.emit(c)
}

func (o *output) emit(c cicadaengine.Chunk) error {
	frame := &cicadawire.Frame{Kind: cicadawire.FrameKind_DATA, Data: c.Data, Extra: c.Extra}
	if c.Head {
		frame.Kind = cicadawire.FrameKind_HEAD
		frame.Status, frame.Headers = int32(c.Status), c.Headers
	}
	return o.write(frame)
}

func (o *output) write(frame *cicadawire.Frame) error {
	frame.Attempt = o.call.GetAttempt()
	frame.Index = o.index
	o.index++
	err := o.send(frame)
	if err != nil && !o.call.GetNonIdempotent() {
		return merry.Errorf("send frame: %w", err)
	}
	return nil
}

func (o *output) refuse(code, message string) error {
	return o.write(&cicadawire.Frame{
		Kind: cicadawire.FrameKind_ERROR, Code: code, Message: message, NotRun: true,
		RetryAfterMs: int32(busyRetryAfter.Milliseconds()), Load: o.gate.Load(),
	})
}

func (o *output) fail(code, message string, notRun bool) error {
	return o.write(&cicadawire.Frame{
		Kind: cicadawire.FrameKind_ERROR, Code: code, Message: message, NotRun: notRun, Load: o.gate.Load(),
	})
}

// finish sends the last frame of a call that has run.
func (o *output) finish(ctx context.Context, result cicadaengine.Result, err error) error {
	g := o.gate
	if err != nil {
		g.attempts.abandon(o.call)
	}
	var refused *cicadaengine.RefusedError
	switch {
	case err == nil:
		return o.succeed(result)
	case errors.As(err, &refused):
		g.attempts.forget(o.call)
		return o.write(&cicadawire.Frame{
			Kind: cicadawire.FrameKind_ERROR, Code: CodeRefused, Message: refused.Message,
			Status: int32(refused.Status), Load: g.Load(),
		})
	case errors.Is(err, cicadaengine.ErrNotStarted):
		g.attempts.forget(o.call)
		g.SetEngineUp(false)
		return o.fail(CodeNoEngine, "engine not reached", true)
	case errors.Is(err, cicadaengine.ErrBusy):
		g.attempts.forget(o.call)
		return o.refuse(CodeBusy, "engine refused the call")
	case errors.Is(err, errDraining):
		return o.fail(CodeStopped, "endpoint is stopping", false)
	case errors.Is(err, cicadaengine.ErrDied):
		g.crashes.Add(1)
		g.scope.Counter("engine_crashes_in_flight").Inc(1)
		g.SetEngineUp(g.engine.Healthy != nil && g.engine.Healthy(ctx))
		return o.fail(CodeCrashed, "engine died during the call", false)
	case ctx.Err() != nil:
		return o.fail(CodeCancelled, "call was cancelled", false)
	}
	return o.fail(CodeCrashed, "engine failed: "+err.Error(), false)
}

func (o *output) succeed(result cicadaengine.Result) error {
	o.gate.attempts.finish(o.call, o.kept)
	for _, c := range o.held {
		if err := o.emit(c); err != nil {
			return err
		}
	}
	return o.write(&cicadawire.Frame{
		Kind:         cicadawire.FrameKind_LAST,
		FinishReason: result.Finish,
		PromptTokens: result.PromptTokens,
		OutputTokens: result.OutputTokens,
		Load:         o.gate.Load(),
	})
}
