// Package cicadaengine provides adapters that connect an agent to the engine of its
// endpoint: a model engine ("inference") or an HTTP service ("plain"). Adapters
// register themselves by name in Adapters.
//
// # Usage
//
//	open, err := cicadaengine.Adapters.Lookup("inference")
//	engine, err := open("http://127.0.0.1:9000")
//	result, err := engine.Run(ctx, call, func(c cicadaengine.Chunk) error {
//		return forward(c)
//	})
//
// When ctx ends, the adapter cancels the call at the engine. ErrCrashed means that
// the engine failed during the call, which may have run.
package cicadaengine

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadakernel"
	"cicadalink.example/cicadakernel/cicadawire"
)

// Errors that the functions of an Engine return.
var (
	// ErrCrashed reports that the engine failed during the call: the connection
	// broke, or a model engine returned a 5xx status other than 503, an error event
	// or an event stream that was invalid or incomplete.
	ErrCrashed = merry.Sentinel("cicadaengine: engine crashed during the call")
	// ErrUnreachable reports that no connection to the engine could be opened. The
	// call was not sent.
	ErrUnreachable = merry.Sentinel("cicadaengine: could not connect to the engine, call not started")
	// ErrBusy reports that the engine rejected the call because of its load, without
	// starting it.
	ErrBusy = merry.Sentinel("cicadaengine: engine is busy, call not started")
	// ErrOrdersUnsupported reports that the engine does not support orders.
	ErrOrdersUnsupported = merry.Sentinel("cicadaengine: engine does not support orders")
)

// A RefusedError reports that the engine refused a request as invalid, such as one
// that it cannot parse.
type RefusedError struct {
	Status  int
	Message string
}

// Error returns the engine's message.
func (e *RefusedError) Error() string { return "cicadaengine: engine refused: " + e.Message }

// An OtherVersionError reports that a call continues an output of another software version
// than the engine's, or that the engine's version could not be proved. The call was not sent.
type OtherVersionError struct{ Software Software }

// Error describes the engine's version.
func (e *OtherVersionError) Error() string {
	if !e.Software.Proved {
		return "cicadaengine: software version of the engine could not be proved, output not continued"
	}
	return "cicadaengine: software version " + e.Software.Version + " of the engine did not begin the output, output not continued"
}

// Software describes the software of the engine process that runs a call. Version is "" if
// the engine states none. It holds for that process only if Proved is set.
type Software struct {
	Version string
	Proved  bool
}

// mayRun reports whether the process may run a call, which may require a version.
func (s Software) mayRun(call *cicadawire.Call) bool {
	return call.Origin == nil || (s.Proved && call.GetOrigin() == s.Version)
}

// A Chunk is a part of a response: the status and headers if Head is set, otherwise
// data. Extra is a JSON delta of a chat response that holds more than text. Software
// describes the process that sent the chunk.
type Chunk struct {
	Head    bool
	Status  int
	Headers []*cicadawire.Header
	Data    []byte
	Extra   []byte

	Software Software
}

// A Result describes a complete response.
type Result struct {
	FinishReason string
	PromptTokens int32
	OutputTokens int32
}

// A LoadReport is an engine's report of its load. Age is the time since the engine
// measured it. SoftwareVersion is the version of the engine's software, or "" if unknown.
type LoadReport struct {
	Running         int
	Models          []string
	Age             time.Duration
	SoftwareVersion string
}

// An Engine gives access to one engine. Functions that the adapter does not support
// are nil.
type Engine struct {
	// Run sends a call to the engine and passes the chunks of the response to emit, which
	// are all from one process. It returns an *OtherVersionError without sending the call
	// if the call states an origin that is not the process's version.
	Run func(ctx context.Context, call *cicadawire.Call, emit func(Chunk) error) (Result, error)
	// Healthy reports whether the engine is up.
	Healthy func(ctx context.Context) bool
	// LoadReport returns the engine's load report.
	LoadReport func(ctx context.Context) (LoadReport, error)
	// Order sends an order with its fencing number to the engine.
	Order func(ctx context.Context, order *cicadawire.EngineOrder) error
	// CanResume reports whether the engine can continue an interrupted stream from
	// the text generated so far.
	CanResume bool
}

// Adapters holds the engine adapters by name. An adapter returns an Engine for the
// engine at an address.
var Adapters cicadakernel.Registry[func(address string) (*Engine, error)]
