// Package cicadaengine holds the adapters through which an agent speaks to
// what runs on its endpoint: a model engine ("inference") or a plain service
// ("plain"). An adapter is a plug-in; it registers itself under its name.
//
// # Usage
//
//	open, err := cicadaengine.Adapters.Lookup("inference")
//	engine, err := open("http://127.0.0.1:9000")
//	result, err := engine.Run(ctx, call, func(c cicadaengine.Chunk) error {
//		return forward(c)
//	})
//
// When ctx ends the adapter cancels the work at the engine. ErrDied means that
// the engine went away with the call in flight.
package cicadaengine

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadakernel"
	"cicadalink.example/cicadakernel/cicadawire"
)

// Errors of engines.
var (
	// ErrDied reports that the engine went away while the call was in flight.
	ErrDied = merry.Sentinel("cicadaengine: engine died during the call")
	// ErrNotStarted reports that the engine could not be reached at all.
	ErrNotStarted = merry.Sentinel("cicadaengine: engine not reached, call not started")
	// ErrBusy reports that the engine refused the call before it started.
	ErrBusy = merry.Sentinel("cicadaengine: engine refused the call, not started")
	// ErrNoOrders reports that the engine takes no orders.
	ErrNoOrders = merry.Sentinel("cicadaengine: engine takes no orders")
)

// A RefusedError is an engine's own refusal of a request, such as one that it
// cannot parse.
type RefusedError struct {
	Status  int
	Message string
}

// Error returns the engine's message.
func (e *RefusedError) Error() string { return "cicadaengine: engine refused: " + e.Message }

// A Chunk is a piece of an answer.
type Chunk struct {
	Head    bool
	Status  int
	Headers []*cicadawire.Header
	Data    []byte
	Extra   []byte
}

// A Result is the end of an answer.
type Result struct {
	Finish       string
	PromptTokens int32
	OutputTokens int32
}

// A Report is an engine's own report of its load, which lags.
type Report struct {
	Running int
	Models  []string
	Age     time.Duration
}

// An Engine is an open adapter. Calls that the kind of engine does not have
// are nil.
type Engine struct {
	// Run passes a call and hands the answer to emit piece by piece.
	Run func(ctx context.Context, call *cicadawire.Call, emit func(Chunk) error) (Result, error)
	// Healthy reports whether the engine is up.
	Healthy func(ctx context.Context) bool
	// Report returns the engine's load report.
	Report func(ctx context.Context) (Report, error)
	// Order passes an order with its fencing number.
	Order func(ctx context.Context, order *cicadawire.EngineOrder) error
	// Resumes reports whether the engine continues a stream from the text so
	// far.
	Resumes bool
}

// Adapters holds the engine adapters by name.
var Adapters cicadakernel.Registry[func(address string) (*Engine, error)]
