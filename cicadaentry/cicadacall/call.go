// Package cicadacall turns what a caller asks for, online or in a batch item,
// into a request for the dispatcher. It checks the body's fields and the
// customer's parameters.
//
// # Usage
//
//	request, err := cicadacall.Inference(snapshot, account, "/v1/completions", body)
//	request, err := cicadacall.Service(snapshot, account, method, "order-ledger", "/orders", headers, body)
package cicadacall

import (
	"bytes"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadalink.example/cicadaentry/cicadadispatch"
	"cicadalink.example/cicadakernel/cicadaconfig"
	"cicadalink.example/cicadakernel/cicadaerror"
	"cicadalink.example/cicadakernel/cicadawire"
)

// Paths of inference.
const (
	PathCompletions = "/v1/completions"
	PathChat        = "/v1/chat/completions"
	// ServicePrefix begins the paths of plain services.
	ServicePrefix = "/services/"
)

const (
	// DefaultDeadline is how long a request may take when the limits do not
	// say.
	DefaultDeadline  = 2 * time.Minute
	defaultMaxTokens = 256
	prefixBytes      = 256
)

// Body holds the fields of an inference request that the system reads. All
// others go to the engine as they are.
type Body struct {
	Model         string          `json:"model"`
	Prompt        json.RawMessage `json:"prompt"`
	Messages      json.RawMessage `json:"messages"`
	MaxTokens     *int32          `json:"max_tokens"`
	MaxCompletion *int32          `json:"max_completion_tokens"`
	Stream        bool            `json:"stream"`
	StreamOptions *struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	N        *int   `json:"n"`
	Logprobs any    `json:"logprobs"`
	Echo     bool   `json:"echo"`
	Adapter  string `json:"adapter"`
}

// IncludeUsage reports whether a stream ends with a usage event.
func (b *Body) IncludeUsage() bool { return b.StreamOptions != nil && b.StreamOptions.IncludeUsage }

// IsInference reports whether a path is one of inference.
func IsInference(path string) bool { return path == PathCompletions || path == PathChat }

// ParseBody reads the fields of an inference request.
func ParseBody(path string, data []byte) (*Body, error) {
	var b Body
	if err := json.Unmarshal(data, &b); err != nil {
		return nil, bodyError(err)
	}
	if b.Model == "" {
		return nil, cicadaerror.New(cicadaerror.BadRequest, "field model is missing").Param("model")
	}
	if path == PathChat {
		if err := checkMessages(b.Messages); err != nil {
			return nil, err
		}
	} else if err := checkPrompt(b.Prompt); err != nil {
		return nil, err
	}
	if tokens := b.maxTokens(); tokens <= 0 {
		return nil, cicadaerror.New(cicadaerror.Unprocessable, "max_tokens must be above 0").Param("max_tokens")
	}
	if b.N != nil && *b.N != 1 {
		return nil, cicadaerror.New(cicadaerror.Unprocessable, "n must be 1").Param("n")
	}
	return &b, nil
}

func bodyError(err error) error {
	var kind *json.UnmarshalTypeError
	if errors.As(err, &kind) && kind.Field != "" {
		return cicadaerror.New(cicadaerror.Unprocessable, "field %s has a wrong type: %s", kind.Field, kind.Value).Param(kind.Field)
	}
	return cicadaerror.New(cicadaerror.BadRequest, "body is not a JSON object of a request: %s", err)
}

func checkMessages(raw json.RawMessage) error {
	var messages []struct {
		Role string `json:"role"`
	}
	if len(raw) == 0 || json.Unmarshal(raw, &messages) != nil {
		return cicadaerror.New(cicadaerror.Unprocessable, "messages must be a list of messages").Param("messages")
	}
	if len(messages) == 0 {
		return cicadaerror.New(cicadaerror.Unprocessable, "messages is empty").Param("messages")
	}
	for _, m := range messages {
		if m.Role == "" {
			return cicadaerror.New(cicadaerror.Unprocessable, "a message has no role").Param("messages")
		}
	}
	return nil
}

func checkPrompt(raw json.RawMessage) error {
	raw = bytes.TrimSpace(raw)
	if len(raw) == 0 {
		return cicadaerror.New(cicadaerror.BadRequest, "field prompt is missing").Param("prompt")
	}
	if raw[0] != '"' && raw[0] != '[' {
		return cicadaerror.New(cicadaerror.Unprocessable, "prompt must be a string").Param("prompt")
	}
	return nil
}

func (b *Body) maxTokens() int32 {
	switch {
	case b.MaxCompletion != nil:
		return *b.MaxCompletion
	case b.MaxTokens != nil:
		return *b.MaxTokens
	}
	return defaultMaxTokens
}

// prefix returns the hash of the beginning of the prompt, by which requests
// with a common beginning go to the same endpoint.
func (b *Body) prefix() uint64 {
	text := []byte(b.Prompt)
	if len(b.Messages) > 0 {
		text = b.Messages
	}
	if len(text) < prefixBytes {
		return 0
	}
	return xxhash.Sum64(append([]byte(b.Model+"\x00"), text[:prefixBytes]...))
}

// Fingerprint identifies a request for suspicion of crashing endpoints.
func Fingerprint(customer, path string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(customer)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(path)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// Inference returns the request of an inference body.
func Inference(s *cicadaconfig.Snapshot, account *cicadaconfig.Account, path string, data []byte) (*cicadadispatch.Request, *Body, error) {
	b, err := ParseBody(path, data)
	if err != nil {
		return nil, nil, err
	}
	groups := s.GroupsOf(b.Model)
	if !account.MayUseModel(b.Model) || len(groups) == 0 {
		return nil, nil, cicadaerror.New(cicadaerror.NotFound, "no model %q", b.Model).Param("model")
	}
	if b.Adapter != "" && !account.MayUseAdapter(b.Adapter) {
		return nil, nil, cicadaerror.New(cicadaerror.NotFound, "no adapter %q", b.Adapter).Param("adapter")
	}
	body, err := streamed(data)
	if err != nil {
		return nil, nil, err
	}
	call := &cicadawire.Call{
		Customer:    account.Name(),
		Urgency:     account.Urgency(),
		Model:       b.Model,
		Adapter:     b.Adapter,
		Method:      "POST",
		Path:        path,
		Body:        body,
		MaxTokens:   b.maxTokens(),
		Chat:        path == PathChat,
		Prefix:      b.prefix(),
		Fingerprint: Fingerprint(account.Name(), path, data),
	}
	return &cicadadispatch.Request{Call: call, Groups: groups}, b, nil
}

// streamed returns a body that asks the engine for a stream with usage, which
// is how agents always speak to engines.
func streamed(data []byte) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(data, &fields); err != nil {
		return nil, bodyError(err)
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	body, err := json.Marshal(fields)
	if err != nil {
		return nil, bodyError(err)
	}
	return body, nil
}

// SplitService splits a path such as /services/NAME/rest.
func SplitService(path string) (name, rest string, ok bool) {
	tail, ok := strings.CutPrefix(path, ServicePrefix)
	if !ok {
		return "", "", false
	}
	name, rest, _ = strings.Cut(tail, "/")
	return name, "/" + rest, name != ""
}

// Service returns the request of a call of a plain service. Whether it may be
// repeated follows from the service's routes: a call without a route is treated
// as non-idempotent unless its method is safe.
func Service(s *cicadaconfig.Snapshot, account *cicadaconfig.Account, method, name, path string, headers []*cicadawire.Header, body []byte) (*cicadadispatch.Request, error) {
	service, ok := s.Service(name)
	if !ok || !account.MayUseService(name) {
		return nil, cicadaerror.New(cicadaerror.NotFound, "no service %q", name)
	}
	call := &cicadawire.Call{
		Customer:      account.Name(),
		Urgency:       account.Urgency(),
		Service:       name,
		Method:        method,
		Path:          path,
		Headers:       headers,
		Body:          body,
		NonIdempotent: !idempotent(service, method, path),
		Fingerprint:   Fingerprint(account.Name(), ServicePrefix+name+path, body),
	}
	return &cicadadispatch.Request{Call: call, Groups: []string{service.Group}}, nil
}

func idempotent(service *cicadaconfig.Service, method, path string) bool {
	bare, _, _ := strings.Cut(path, "?")
	longest, result := -1, method == "GET" || method == "HEAD" || method == "OPTIONS"
	for _, route := range service.Routes {
		if route.Method == method && covers(route.Path, bare) && len(route.Path) > longest {
			longest, result = len(route.Path), route.Idempotent
		}
	}
	return result
}

// covers reports whether a path is the route's or below it.
func covers(route, path string) bool {
	rest, ok := strings.CutPrefix(path, route)
	return ok && (rest == "" || strings.HasSuffix(route, "/") || strings.HasPrefix(rest, "/"))
}

// Deadline returns how long a request may take.
func Deadline(s *cicadaconfig.Snapshot) time.Duration {
	return s.Limits().Deadline.Or(DefaultDeadline)
}
