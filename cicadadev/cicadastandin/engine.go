// Package cicadastandin holds small stand-ins for what the system meets: a
// model engine and a plain service, both over HTTP. The stand-in for the
// platform is cicadaplatform.Memory.
//
// # Usage
//
//	engine := cicadastandin.NewEngine(cicadastandin.WithModels("order-assistant"))
//	server := httptest.NewServer(engine.Handler())
//
// The engine's answer follows from the prompt alone, so a stream that is
// continued elsewhere goes on where it broke off. A prompt that contains
// CrashWord makes the engine die for a while.
package cicadastandin

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/julienschmidt/httprouter"
)

// CrashWord is what a prompt contains that makes the engine die.
const CrashWord = "crash-the-engine"

const (
	defaultTokenTime = 2 * time.Millisecond
	defaultDownTime  = time.Second
	defaultTokens    = 16
	maxTokens        = 4096
	charsPerToken    = 4
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
	crashes   atomic.Int64

	mu        sync.Mutex
	downUntil time.Time
	died      chan struct{}
	fence     int64
	orders    []string
}

// An EngineOption changes an Engine as it is made.
type EngineOption func(*Engine)

// WithModels sets the models that the engine holds.
func WithModels(models ...string) EngineOption { return func(e *Engine) { e.models = models } }

// WithTokenTime sets the time between tokens.
func WithTokenTime(d time.Duration) EngineOption { return func(e *Engine) { e.tokenTime = d } }

// WithDownTime sets how long the engine is down after a crash.
func WithDownTime(d time.Duration) EngineOption { return func(e *Engine) { e.downTime = d } }

// NewEngine returns an engine.
func NewEngine(opts ...EngineOption) *Engine {
	e := &Engine{tokenTime: defaultTokenTime, downTime: defaultDownTime, died: make(chan struct{})}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Served returns how many answers were whole.
func (e *Engine) Served() int64 { return e.served.Load() }

// Cancelled returns how many answers were given up by the caller.
func (e *Engine) Cancelled() int64 { return e.cancelled.Load() }

// Crashes returns how often the engine died.
func (e *Engine) Crashes() int64 { return e.crashes.Load() }

// Running returns how many answers are under way.
func (e *Engine) Running() int64 { return e.running.Load() }

// Crash makes the engine die: every answer under way breaks off.
func (e *Engine) Crash() {
	e.crashes.Add(1)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.downUntil = time.Now().Add(e.downTime)
	close(e.died)
	e.died = make(chan struct{})
}

func (e *Engine) state() (down bool, died <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.downUntil), e.died
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	router := httprouter.New()
	router.GET("/health", e.health)
	router.GET("/load", e.load)
	router.POST("/orders", e.order)
	router.POST("/v1/completions", e.complete)
	router.POST("/v1/chat/completions", e.complete)
	return router
}

func (e *Engine) health(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if down, _ := e.state(); down {
		panic(http.ErrAbortHandler)
	}
	fmt.Fprintln(w, "ok")
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	if down, _ := e.state(); down {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, map[string]any{"running": e.running.Load(), "models": e.models, "age_ms": 0})
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var order struct {
		Kind  string `json:"kind"`
		Model string `json:"model"`
		Fence int64  `json:"fence"`
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		writeError(w, http.StatusBadRequest, "order is not JSON")
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fence = order.Fence
	e.orders = append(e.orders, order.Kind+" "+order.Model)
	writeJSON(w, http.StatusOK, map[string]any{"accepted": true})
}

type inferenceBody struct {
	Model     string          `json:"model"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int             `json:"max_tokens"`
	ResumeAt  int             `json:"resume_from"`
}

func (b *inferenceBody) text() string { return string(b.Prompt) + string(b.Messages) }

func (e *Engine) complete(w http.ResponseWriter, r *http.Request, _ httprouter.Params) {
	var body inferenceBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		writeError(w, http.StatusBadRequest, "body is not JSON")
		return
	}
	down, died := e.state()
	if down {
		panic(http.ErrAbortHandler)
	}
	if strings.Contains(body.text(), CrashWord) {
		e.Crash()
		panic(http.ErrAbortHandler)
	}
	if strings.Contains(body.text(), "refuse-me") {
		writeError(w, http.StatusUnprocessableEntity, "prompt is refused")
		return
	}
	e.running.Add(1)
	defer e.running.Add(-1)
	e.stream(r.Context(), w, &body, strings.Contains(r.URL.Path, "chat"), died)
}

func (e *Engine) stream(ctx context.Context, w http.ResponseWriter, body *inferenceBody, chat bool, died <-chan struct{}) {
	total := body.MaxTokens
	if total <= 0 {
		total = defaultTokens
	}
	total = min(total, maxTokens)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	ticker := time.NewTicker(max(e.tokenTime, time.Microsecond))
	defer ticker.Stop()
	for i := body.ResumeAt; i < total; i++ {
		select {
		case <-ticker.C:
		case <-died:
			panic(http.ErrAbortHandler)
		case <-ctx.Done():
			e.cancelled.Add(1)
			return
		}
		writeEvent(w, tokenEvent(Token(body.text(), i), chat))
		_ = control.Flush()
	}
	e.served.Add(1)
	prompt := len(body.text())/charsPerToken + 1
	writeEvent(w, map[string]any{"choices": []any{map[string]any{"index": 0, "text": "", "delta": map[string]any{}, "finish_reason": "length"}}})
	writeEvent(w, map[string]any{"choices": []any{}, "usage": map[string]any{
		"prompt_tokens": prompt, "completion_tokens": total, "total_tokens": prompt + total,
	}})
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// Token returns token i of the answer to a prompt.
func Token(prompt string, i int) string {
	h := fnv.New32a()
	fmt.Fprintf(h, "%s/%d", prompt, i)
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
