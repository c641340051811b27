// Package cicadastandin provides stand-ins (test doubles) for the external services
// that the system calls over HTTP: a model engine and an order service, which is a
// plain HTTP service. The stand-in for the platform is cicadaplatform.Memory.
//
// # Usage
//
//	engine := cicadastandin.NewEngine(cicadastandin.WithModels("order-assistant"))
//	server := httptest.NewServer(engine.Handler())
//
// The engine's output depends only on the prompt and the software version, so any engine
// of one version can resume a stream at the token where another stopped. A prompt that
// contains CrashMarker crashes the engine, which is then unavailable for the time set by
// WithDownTime. A server whose ConnState hook is the engine's loses its connections then.
package cicadastandin

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
)

// CrashMarker crashes the engine when a prompt contains it.
const CrashMarker = "crash-the-engine"

const (
	defaultTokenTime    = 2 * time.Millisecond
	defaultDownTime     = time.Second
	defaultOutputTokens = 16
	maxOutputTokens     = 4096
	charsPerToken       = 4
)

var vocabulary = strings.Fields("the maple mallet head turns true and its ash handle fits a wedge of beech " +
	"sand finish oil dry order quote note last heel arch carve measure check ship")

// An Engine is a stand-in for a model engine.
type Engine struct {
	models    []string
	tokenTime time.Duration
	downTime  time.Duration
	running   atomic.Int64
	served    atomic.Int64
	cancelled atomic.Int64
	resumed   atomic.Int64
	tokens    atomic.Int64
	crashes   atomic.Int64

	mu             sync.Mutex
	version        string
	downUntil      time.Time
	crashed        chan struct{}
	conns          map[net.Conn]struct{}
	lastFence      int64
	receivedOrders []string
}

// An EngineOption configures an Engine.
type EngineOption func(*Engine)

// WithModels sets the models that the engine reports as loaded.
func WithModels(models ...string) EngineOption { return func(e *Engine) { e.models = models } }

// WithSoftwareVersion sets the software version that the engine reports.
func WithSoftwareVersion(version string) EngineOption {
	return func(e *Engine) { e.version = version }
}

// WithTokenTime sets the interval at which tokens are generated.
func WithTokenTime(d time.Duration) EngineOption { return func(e *Engine) { e.tokenTime = d } }

// WithDownTime sets how long the engine is unavailable after a crash.
func WithDownTime(d time.Duration) EngineOption { return func(e *Engine) { e.downTime = d } }

// NewEngine returns an engine. It reports no models unless WithModels is given.
func NewEngine(opts ...EngineOption) *Engine {
	e := &Engine{tokenTime: defaultTokenTime, downTime: defaultDownTime, crashed: make(chan struct{}), conns: make(map[net.Conn]struct{})}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Served returns the number of completed responses.
func (e *Engine) Served() int64 { return e.served.Load() }

// Cancelled returns the number of responses cancelled by the caller.
func (e *Engine) Cancelled() int64 { return e.cancelled.Load() }

// Resumed returns the number of requests that continued an output.
func (e *Engine) Resumed() int64 { return e.resumed.Load() }

// Tokens returns the number of tokens sent.
func (e *Engine) Tokens() int64 { return e.tokens.Load() }

// Crashes returns the number of crashes.
func (e *Engine) Crashes() int64 { return e.crashes.Load() }

// Running returns the number of requests being processed.
func (e *Engine) Running() int64 { return e.running.Load() }

// ConnState is the ConnState hook of a server of the engine. It records the connections
// that end when the engine crashes.
func (e *Engine) ConnState(c net.Conn, state http.ConnState) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch state {
	case http.StateNew:
		e.conns[c] = struct{}{}
	case http.StateClosed, http.StateHijacked:
		delete(e.conns, c)
	}
}

// SoftwareVersion returns the version of the engine's software.
func (e *Engine) SoftwareVersion() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.version
}

// Crash crashes the engine. It aborts every response in progress and closes all
// connections.
func (e *Engine) Crash() { e.Restart(e.SoftwareVersion()) }

// Restart crashes the engine, which comes back with a version of its software.
func (e *Engine) Restart(version string) {
	e.crashes.Add(1)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.version = version
	e.downUntil = time.Now().Add(e.downTime)
	close(e.crashed)
	e.crashed = make(chan struct{})
	for c := range e.conns {
		_ = c.Close()
	}
}

// crashState reports whether the engine is down, and returns its software version and a
// channel that is closed at the next crash.
func (e *Engine) crashState() (down bool, version string, crashed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.downUntil), e.version, e.crashed
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	router := httprouter.New()
	router.GET("/health", e.handleHealth)
	router.GET("/load", e.handleLoad)
	router.POST("/orders", e.handleOrder)
	router.POST("/v1/completions", e.handleCompletion)
	router.POST("/v1/chat/completions", e.handleCompletion)
	return router
}

func (e *Engine) handleHealth(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if down, _, _ := e.crashState(); down {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintln(w, "ok")
}

func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	down, version, _ := e.crashState()
	if down {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, map[string]any{"running": e.running.Load(), "models": e.models, "age_ms": 0, "version": version})
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var order struct {
		Kind  string `json:"kind"`
		Model string `json:"model"`
		Fence int64  `json:"fence"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, "order is not valid JSON")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastFence = order.Fence
	e.receivedOrders = append(e.receivedOrders, order.Kind+" "+order.Model)
	writeJSON(w, http.StatusOK, map[string]any{"accepted": true})
}

type inferenceBody struct {
	Model      string          `json:"model"`
	Prompt     json.RawMessage `json:"prompt"`
	Messages   json.RawMessage `json:"messages"`
	MaxTokens  int             `json:"max_tokens"`
	ResumeFrom int             `json:"resume_from"`

	chat    bool
	version string // of the software that generates the output
}

func (b *inferenceBody) promptText() string { return string(b.Prompt) + string(b.Messages) }

func (e *Engine) handleCompletion(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var body inferenceBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		writeError(w, http.StatusBadRequest, "body is not valid JSON")
		return
	}
	down, version, crashed := e.crashState()
	if down {
		panic(http.ErrAbortHandler)
	}
	if strings.Contains(body.promptText(), CrashMarker) {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	if strings.Contains(body.promptText(), "refuse-me") {
		writeError(w, http.StatusUnprocessableEntity, "prompt is refused")
		return
	}
	e.running.Add(1)
	defer e.running.Add(-1)
	body.chat, body.version = strings.Contains(r.URL.Path, "chat"), version
	e.stream(r.Context(), w, &body, crashed)
}

func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, body *inferenceBody, crashed <-chan struct{}) {
	numTokens := body.MaxTokens
	if numTokens <= 0 {
		numTokens = defaultOutputTokens
	}
	numTokens = min(numTokens, maxOutputTokens)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	ticker := time.NewTicker(max(e.tokenTime, time.Microsecond))
	defer ticker.Stop()
	if body.ResumeFrom > 0 {
		e.resumed.Add(1)
	}
	for i := body.ResumeFrom; i < numTokens; i++ {
		select {
		case <-ticker.C:
		case <-crashed:
			panic(http.ErrAbortHandler)
		case <-ctx.Done():
			e.cancelled.Add(1)
			return
		}
		writeEvent(w, tokenEvent(Token(body.version, body.promptText(), i), body.chat))
		_ = control.Flush()
		e.tokens.Add(1)
	}
	e.served.Add(1)
	promptTokens := len(body.promptText())/charsPerToken + 1
	writeEvent(w, map[string]any{"choices": []any{map[string]any{"index": 0, "text": "", "delta": map[string]any{}, "finish_reason": "length"}}})
	writeEvent(w, map[string]any{"choices": []any{}, "usage": map[string]any{
		"prompt_tokens": promptTokens, "completion_tokens": numTokens, "total_tokens": promptTokens + numTokens,
	}})
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// Token returns token i of the output that a software version generates for a prompt.
func Token(version, prompt string, i int) string {
	h := fnv.New32a()
	fmt.Fprintf(h, "%s%s/%d", version, prompt, i)
	return vocabulary[int(h.Sum32())%len(vocabulary)] + " "
}

func tokenEvent(token string, chat bool) any {
	if chat {
		return map[string]any{"choices": []any{map[string]any{"index": 0, "delta": map[string]any{"content": token}}}}
	}
	return map[string]any{"choices": []any{map[string]any{"index": 0, "text": token}}}
}

func writeEvent(w http.ResponseWriter, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		return
	}
	fmt.Fprintf(w, "data: %s\n\n", data)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func writeError(w http.ResponseWriter, status int, message string) {
	writeJSON(w, status, map[string]any{"error": map[string]any{"message": message}})
}
