package cicadaengine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadakernel/cicadawire"
)

const (
	streamBuffer    = 4 << 10
	maxEventLine    = 1 << 20
	orderLimit      = 5 * time.Minute
	attemptHeader   = "X-Attempt-Id"
	resumeFromField = "resume_from"
	resumeTextField = "resume_text"
)

var (
	eventPrefix = []byte("data:")
	doneEvent   = []byte("[DONE]")
)

func init() {
	Adapters.Register("inference", openInference)
}

type inferenceEngine struct {
	httpEngine
}

func openInference(address string) (*Engine, error) {
	e := inferenceEngine{newHTTPEngine(address)}
	return &Engine{Run: e.run, Healthy: e.healthy, Report: e.report, Order: e.order, Resumes: true}, nil
}

type engineEvent struct {
	Choices []struct {
		Text         string          `json:"text"`
		Delta        json.RawMessage `json:"delta"`
		FinishReason string          `json:"finish_reason"`
	} `json:"choices"`
	Usage *struct {
		PromptTokens     int32 `json:"prompt_tokens"`
		CompletionTokens int32 `json:"completion_tokens"`
	} `json:"usage"`
	Error *struct {
		Message string `json:"message"`
	} `json:"error"`
}

type chatDelta struct {
	Content string `json:"content"`
	Role    string `json:"role"`
}

func (e inferenceEngine) run(ctx context.Context, call *cicadawire.Call, emit func(Chunk) error) (Result, error) {
	body, err := withResume(call)
	if err != nil {
		return Result{}, err
	}
	headers := []*cicadawire.Header{
		{Name: "Content-Type", Value: "application/json"},
		{Name: attemptHeader, Value: call.GetAttempt()},
	}
	res, err := e.do(ctx, http.MethodPost, call.GetPath(), headers, body)
	if err != nil {
		return Result{}, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return Result{}, refusal(res)
	}
	return readEvents(ctx, res.Body, call.GetChat(), emit)
}

// withResume adds the text so far to a body that continues a broken stream.
func withResume(call *cicadawire.Call) ([]byte, error) {
	if call.GetResumeFrom() == 0 {
		return call.GetBody(), nil
	}
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(call.GetBody(), &fields); err != nil {
		return nil, &RefusedError{Status: http.StatusBadRequest, Message: "body is not a JSON object"}
	}
	fields[resumeFromField], _ = json.Marshal(call.GetResumeFrom())
	fields[resumeTextField], _ = json.Marshal(string(call.GetResumeText()))
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, merry.Errorf("encode resume: %w", err)
	}
	return body, nil
}

func refusal(res *http.Response) error {
	var body struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	_ = json.NewDecoder(io.LimitReader(res.Body, bodyLimit)).Decode(&body)
	if res.StatusCode == http.StatusTooManyRequests || res.StatusCode == http.StatusServiceUnavailable {
		return merry.Errorf("status %d: %w", res.StatusCode, ErrBusy)
	}
	if res.StatusCode >= http.StatusInternalServerError {
		return merry.Errorf("engine status %d: %w", res.StatusCode, ErrDied)
	}
	return &RefusedError{Status: res.StatusCode, Message: body.Error.Message}
}

func readEvents(ctx context.Context, r io.Reader, chat bool, emit func(Chunk) error) (Result, error) {
	var result Result
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, streamBuffer), maxEventLine)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), eventPrefix)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneEvent) {
			return result, nil
		}
		if err := handleEvent(data, chat, &result, emit); err != nil {
			return result, err
		}
	}
	err := lines.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return result, classify(ctx, err)
}

func handleEvent(data []byte, chat bool, result *Result, emit func(Chunk) error) error {
	var event engineEvent
	if err := json.Unmarshal(data, &event); err != nil {
		return merry.Errorf("decode event: %w: %w", ErrDied, err)
	}
	if event.Error != nil {
		return merry.Errorf("engine error %q: %w", event.Error.Message, ErrDied)
	}
	if event.Usage != nil {
		result.PromptTokens = event.Usage.PromptTokens
		result.OutputTokens = event.Usage.CompletionTokens
	}
	if len(event.Choices) == 0 {
		return nil
	}
	choice := event.Choices[0]
	if choice.FinishReason != "" {
		result.Finish = choice.FinishReason
	}
	chunk, err := chunkOf(choice.Text, choice.Delta, chat)
	if err != nil {
		return err
	}
	if len(chunk.Data) == 0 && len(chunk.Extra) == 0 {
		return nil
	}
	return emit(chunk)
}

// chunkOf keeps plain text as text, and passes any other delta on as it is.
func chunkOf(text string, delta json.RawMessage, chat bool) (Chunk, error) {
	if !chat {
		return Chunk{Data: []byte(text)}, nil
	}
	if len(delta) == 0 {
		return Chunk{}, nil
	}
	var plain chatDelta
	strict := json.NewDecoder(bytes.NewReader(delta))
	strict.DisallowUnknownFields()
	if err := strict.Decode(&plain); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return Chunk{}, merry.Errorf("decode delta: %w: %w", ErrDied, err)
		}
		return Chunk{Extra: bytes.Clone(delta)}, nil
	}
	return Chunk{Data: []byte(plain.Content)}, nil
}

func (e inferenceEngine) report(ctx context.Context) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, healthLimit)
	defer cancel()
	res, err := e.do(ctx, http.MethodGet, "/load", nil, nil)
	if err != nil {
		return Report{}, merry.Errorf("read load report: %w", err)
	}
	defer res.Body.Close()
	var body struct {
		Running int      `json:"running"`
		Models  []string `json:"models"`
		AgeMs   int64    `json:"age_ms"`
	}
	if err := json.NewDecoder(io.LimitReader(res.Body, bodyLimit)).Decode(&body); err != nil {
		return Report{}, merry.Errorf("decode load report: %w", err)
	}
	return Report{Running: body.Running, Models: body.Models, Age: time.Duration(body.AgeMs) * time.Millisecond}, nil
}

func (e inferenceEngine) order(ctx context.Context, order *cicadawire.EngineOrder) error {
	ctx, cancel := context.WithTimeout(ctx, orderLimit)
	defer cancel()
	body, err := json.Marshal(map[string]any{
		"kind": order.GetKind(), "model": order.GetModel(), "version": order.GetVersion(),
		"adapter": order.GetAdapter(), "role": order.GetRole(), "fence": order.GetFence(),
	})
	if err != nil {
		return merry.Errorf("encode order: %w", err)
	}
	res, err := e.do(ctx, http.MethodPost, "/orders", []*cicadawire.Header{{Name: "Content-Type", Value: "application/json"}}, body)
	if err != nil {
		return merry.Errorf("pass order: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return merry.Errorf("pass order: %w", refusal(res))
	}
	return nil
}
