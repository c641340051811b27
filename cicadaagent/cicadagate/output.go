package cicadagate

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"cicadalink.example/cicadaagent/cicadaengine"
	"cicadalink.example/cicadakernel/cicadawire"
)

// A frameWriter converts the engine's response to a call into frames. The chunks of
// the response to an online request are sent as they arrive. The response to a batch
// item is buffered until it is complete, so that the item can be preempted and
// resumed.
type frameWriter struct {
	gate         *Gate
	call         *cicadawire.Call
	send         func(*cicadawire.Frame) error
	index        int32
	buffered     []cicadaengine.Chunk
	bufferedText []byte
	recorded     []cicadaengine.Chunk
	runs         int // at the engine
}

func (f *frameWriter) isBuffered() bool { return f.call.GetClass() == cicadawire.CallClass_BATCH }

// nextCall returns the call for the engine's next run: the original call, or, after
// a preemption, one that resumes after the buffered chunks at the version that sent them.
// If the call cannot be resumed, the buffered chunks are discarded and it starts again.
func (f *frameWriter) nextCall(canResume bool) *cicadawire.Call {
	f.runs++
	if len(f.buffered) == 0 {
		return f.call
	}
	software := f.buffered[0].Software
	if !canResume || f.call.GetService() != "" || !software.Proved {
		f.discardBuffered()
		return f.call
	}
	resumed := proto.Clone(f.call).(*cicadawire.Call)
	resumed.Origin = &software.Version
	resumed.ResumeFrom = f.call.GetResumeFrom() + int32(len(f.buffered))
	resumed.ResumeText = append(append([]byte(nil), f.call.GetResumeText()...), f.bufferedText...)
	return resumed
}

// discardBuffered discards the buffered chunks, so that the call starts again. It reports
// whether there were any.
func (f *frameWriter) discardBuffered() bool {
	n := len(f.buffered)
	f.gate.scope.Counter("batch_tokens_wasted").Inc(int64(n))
	f.buffered, f.bufferedText = nil, nil
	return n > 0
}

func (f *frameWriter) writeChunk(c cicadaengine.Chunk) error {
	if _, tracked := attemptKeyOf(f.call); tracked {
		f.recorded = append(f.recorded, c)
	}
	if f.isBuffered() {
		f.buffered = append(f.buffered, c)
		f.bufferedText = append(f.bufferedText, c.Data...)
		return nil
	}
	return f.sendChunk(c)
}

func (f *frameWriter) sendChunk(c cicadaengine.Chunk) error {
	frame := &cicadawire.Frame{Kind: cicadawire.FrameKind_DATA, Data: c.Data, Extra: c.Extra}
	if c.Head {
		frame.Kind = cicadawire.FrameKind_HEAD
		frame.Status, frame.Headers = int32(c.Status), c.Headers
	}
	if f.index == 0 && c.Software.Proved {
		frame.SoftwareVersion = &c.Software.Version
	}
	return f.sendFrame(frame)
}

// sendFrame sends a frame. It ignores errors if the call is non-idempotent: such a
// call continues after the entry has disconnected.
func (f *frameWriter) sendFrame(frame *cicadawire.Frame) error {
	frame.Attempt = f.call.GetAttempt()
	frame.Index = f.index
	f.index++
	err := f.send(frame)
	if err != nil && !f.call.GetNonIdempotent() {
		return merry.Errorf("send frame: %w", err)
	}
	return nil
}

// reject ends a call that has not run, and asks the entry to wait before a retry.
func (f *frameWriter) reject(code, message string) error {
	return f.sendFrame(&cicadawire.Frame{
		Kind: cicadawire.FrameKind_ERROR, Code: code, Message: message, NotRun: true,
		RetryAfterMs: int32(busyRetryAfter.Milliseconds()), Load: f.gate.Load(),
	})
}

// fail ends a call with an ERROR frame without a retry delay.
func (f *frameWriter) fail(code, message string, notRun bool) error {
	return f.sendFrame(&cicadawire.Frame{
		Kind: cicadawire.FrameKind_ERROR, Code: code, Message: message, NotRun: notRun, Load: f.gate.Load(),
	})
}

// finish records the outcome of a call after its last run and sends the last frame.
func (f *frameWriter) finish(ctx context.Context, result cicadaengine.Result, err error) error {
	g := f.gate
	if err != nil {
		g.attempts.abandon(f.call)
	}
	var refused *cicadaengine.RefusedError
	var other *cicadaengine.OtherVersionError
	switch {
	case err == nil:
		return f.succeed(result)
	case errors.As(err, &other):
		g.attempts.forget(f.call)
		return f.fail(CodeOtherVersion, other.Error(), f.runs == 1)
	case errors.As(err, &refused):
		g.attempts.forget(f.call)
		return f.sendFrame(&cicadawire.Frame{
			Kind: cicadawire.FrameKind_ERROR, Code: CodeRefused, Message: refused.Message,
			Status: int32(refused.Status), Load: g.Load(),
		})
	case errors.Is(err, cicadaengine.ErrUnreachable):
		g.attempts.forget(f.call)
		g.SetEngineUp(false)
		return f.fail(CodeEngineUnreachable, "could not connect to the engine", true)
	case errors.Is(err, cicadaengine.ErrBusy):
		g.attempts.forget(f.call)
		return f.reject(CodeBusy, "engine is busy")
	case errors.Is(err, errDraining):
		return f.fail(CodeStopped, "call interrupted: endpoint is draining", false)
	case errors.Is(err, cicadaengine.ErrCrashed):
		g.crashes.Add(1)
		g.scope.Counter("engine_crashes_in_flight").Inc(1)
		g.SetEngineUp(g.engine.Healthy != nil && g.engine.Healthy(ctx))
		return f.fail(CodeCrashed, "engine crashed during the call", false)
	case ctx.Err() != nil:
		return f.fail(CodeCancelled, "call was cancelled or timed out", false)
	}
	return f.fail(CodeCrashed, "engine failed: "+err.Error(), false)
}

// succeed records the response, sends the buffered chunks and ends the call.
func (f *frameWriter) succeed(result cicadaengine.Result) error {
	f.gate.attempts.finish(f.call, f.recorded)
	for _, c := range f.buffered {
		if err := f.sendChunk(c); err != nil {
			return err
		}
	}
	return f.sendFrame(&cicadawire.Frame{
		Kind:         cicadawire.FrameKind_LAST,
		FinishReason: result.FinishReason,
		PromptTokens: result.PromptTokens,
		OutputTokens: result.OutputTokens,
		Load:         f.gate.Load(),
	})
}
