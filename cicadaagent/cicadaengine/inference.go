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
	lineBufferBytes   = 4 << 10
	maxEventLineBytes = 1 << 20
	orderTimeout      = 5 * time.Minute
	attemptHeader     = "X-Attempt-Id"
	resumeFromField   = "resume_from"
	resumeTextField   = "resume_text"
)

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

func init() {
	Adapters.Register("inference", openInference)
}

type inferenceEngine struct {
	engineClient
	processes *processPool
}

func openInference(address string) (*Engine, error) {
	e := inferenceEngine{newEngineClient(address), newProcessPool(address)}
	return &Engine{Run: e.run, Healthy: e.healthy, LoadReport: e.loadReport, Order: e.order, CanResume: true}, nil
}

type streamEvent struct {
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
	body, err := requestBody(call)
	if err != nil {
		return Result{}, err
	}
	headers := []*cicadawire.Header{
		{Name: "Content-Type", Value: "application/json"},
		{Name: attemptHeader, Value: call.GetAttempt()},
	}
	var software Software
	res, err := e.processes.send(ctx, func(p *process) (*http.Response, error) {
		if software = p.software; !software.mayRun(call) {
			return nil, &OtherVersionError{software}
		}
		return p.do(ctx, http.MethodPost, call.GetPath(), headers, body)
	})
	if err != nil {
		return Result{}, err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return Result{}, statusError(res)
	}
	return readEvents(ctx, res.Body, call.GetChat(), func(c Chunk) error {
		c.Software = software
		return emit(c)
	})
}

// requestBody returns the call's body, with the resume fields added if the call
// continues an interrupted stream.
func requestBody(call *cicadawire.Call) ([]byte, error) {
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
		return nil, merry.Errorf("encode request body: %w", err)
	}
	return body, nil
}

// statusError returns the error for a response with a status other than 200.
func statusError(res *http.Response) error {
	var body struct {
		Error struct {
			Message string `json:"message"`
		} `json:"error"`
	}
	_ = json.NewDecoder(io.LimitReader(res.Body, maxBodyBytes)).Decode(&body)
	if res.StatusCode == http.StatusTooManyRequests || res.StatusCode == http.StatusServiceUnavailable {
		return merry.Errorf("engine status %d: %w", res.StatusCode, ErrBusy)
	}
	if res.StatusCode >= http.StatusInternalServerError {
		return merry.Errorf("engine status %d: %w", res.StatusCode, ErrCrashed)
	}
	return &RefusedError{Status: res.StatusCode, Message: body.Error.Message}
}

// readEvents reads a stream of server-sent events and passes their chunks to emit. A
// stream that ends before the final marker is an error.
func readEvents(ctx context.Context, r io.Reader, chat bool, emit func(Chunk) error) (Result, error) {
	var result Result
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, lineBufferBytes), maxEventLineBytes)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), dataPrefix)
		if !ok {
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMarker) {
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
	return result, transportError(ctx, err)
}

func handleEvent(data []byte, chat bool, result *Result, emit func(Chunk) error) error {
	var event streamEvent
	if err := json.Unmarshal(data, &event); err != nil {
		return merry.Errorf("decode event: %w: %w", ErrCrashed, err)
	}
	if event.Error != nil {
		return merry.Errorf("engine reported error %q: %w", event.Error.Message, ErrCrashed)
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
		result.FinishReason = choice.FinishReason
	}
	chunk, err := newChunk(choice.Text, choice.Delta, chat)
	if err != nil {
		return err
	}
	if len(chunk.Data) == 0 && len(chunk.Extra) == 0 {
		return nil
	}
	return emit(chunk)
}

// newChunk returns the chunk for a choice. A chat delta with any fields other than
// content and role is passed on unchanged as Extra.
func newChunk(text string, delta json.RawMessage, chat bool) (Chunk, error) {
	if !chat {
		return Chunk{Data: []byte(text)}, nil
	}
	if len(delta) == 0 {
		return Chunk{}, nil
	}
	var textDelta chatDelta
	decoder := json.NewDecoder(bytes.NewReader(delta))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&textDelta); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return Chunk{}, merry.Errorf("decode delta: %w: %w", ErrCrashed, err)
		}
		return Chunk{Extra: bytes.Clone(delta)}, nil
	}
	return Chunk{Data: []byte(textDelta.Content)}, nil
}

// loadReport reads the load report of the process to which calls are sent.
func (e inferenceEngine) loadReport(ctx context.Context) (LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	if err := e.processes.prove(ctx); err != nil {
		return LoadReport{}, merry.Errorf("read load report: %w", err)
	}
	res, err := e.processes.send(ctx, func(p *process) (*http.Response, error) {
		return p.do(ctx, http.MethodGet, reportPath, nil, nil)
	})
	if err != nil {
		return LoadReport{}, merry.Errorf("read load report: %w", err)
	}
	defer res.Body.Close()
	return decodeReport(res.Body)
}

func (e inferenceEngine) order(ctx context.Context, order *cicadawire.EngineOrder) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
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
		return merry.Errorf("send order: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return merry.Errorf("send order: %w", statusError(res))
	}
	return nil
}
