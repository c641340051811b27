// Package cicadacall converts an online call or a batch item into a request for the
// dispatcher, and the dispatcher's chunks into the response. It validates the body
// and checks whether the customer may use the model, adapter or service.
//
// # Usage
//
//	request, body, err := cicadacall.NewInferenceRequest(snapshot, customer, "/v1/completions", data)
//	request, err := cicadacall.NewServiceRequest(snapshot, customer, method, "order-ledger", "/orders", headers, data)
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

// Paths of the inference API and of services.
const (
	PathCompletions = "/v1/completions"
	PathChat        = "/v1/chat/completions"
	// ServicePrefix is the prefix of the paths of services.
	ServicePrefix = "/services/"
)

const (
	// DefaultDeadline is how long a request may take if the limits set no
	// deadline.
	DefaultDeadline  = 2 * time.Minute
	defaultMaxTokens = 256
	// promptPrefixBytes is the length of the prompt prefix that is used for
	// routing. Shorter prompts are routed without a prefix.
	promptPrefixBytes = 256
)

// An InferenceBody holds the fields of an inference request that are read here. All
// other fields are passed to the engine unchanged.
type InferenceBody struct {
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

// IncludeUsage reports whether the caller requested a usage event at the end of the
// stream.
func (b *InferenceBody) IncludeUsage() bool {
	return b.StreamOptions != nil && b.StreamOptions.IncludeUsage
}

// IsInferencePath reports whether path belongs to the inference API.
func IsInferencePath(path string) bool { return path == PathCompletions || path == PathChat }

// ParseInferenceBody parses and validates the body of an inference request.
func ParseInferenceBody(path string, data []byte) (*InferenceBody, error) {
	var b InferenceBody
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
		return nil, cicadaerror.New(cicadaerror.Unprocessable, "max_tokens must be greater than 0").Param("max_tokens")
	}
	if b.N != nil && *b.N != 1 {
		return nil, cicadaerror.New(cicadaerror.Unprocessable, "n must be 1").Param("n")
	}
	return &b, nil
}

// bodyError converts a JSON decoding error into an error for the caller.
func bodyError(err error) error {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) && typeErr.Field != "" {
		return cicadaerror.New(cicadaerror.Unprocessable, "field %s has the wrong type: %s", typeErr.Field, typeErr.Value).Param(typeErr.Field)
	}
	return cicadaerror.New(cicadaerror.BadRequest, "body is not a valid JSON request: %s", err)
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

func (b *InferenceBody) maxTokens() int32 {
	switch {
	case b.MaxCompletion != nil:
		return *b.MaxCompletion
	case b.MaxTokens != nil:
		return *b.MaxTokens
	}
	return defaultMaxTokens
}

// prefixHash returns a hash of the model and the prompt's prefix. It is used to
// route requests with the same prefix to the same endpoint. It returns 0 if the prompt
// is shorter than promptPrefixBytes.
func (b *InferenceBody) prefixHash() uint64 {
	text := []byte(b.Prompt)
	if len(b.Messages) > 0 {
		text = b.Messages
	}
	if len(text) < promptPrefixBytes {
		return 0
	}
	return xxhash.Sum64(append([]byte(b.Model+"\x00"), text[:promptPrefixBytes]...))
}

// Fingerprint returns a hash that identifies a request. It is used to recognise
// requests that have crashed an engine.
func Fingerprint(customer, path string, body []byte) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(customer)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(path)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return d.Sum64()
}

// NewInferenceRequest returns the request for the body of an inference call, and the
// parsed body.
func NewInferenceRequest(s *cicadaconfig.Snapshot, customer *cicadaconfig.ResolvedCustomer, path string, data []byte) (*cicadadispatch.Request, *InferenceBody, error) {
	b, err := ParseInferenceBody(path, data)
	if err != nil {
		return nil, nil, err
	}
	groups := s.GroupsByModel(b.Model)
	if !customer.MayUseModel(b.Model) || len(groups) == 0 {
		return nil, nil, cicadaerror.New(cicadaerror.NotFound, "model %q not found", b.Model).Param("model")
	}
	if b.Adapter != "" && !customer.MayUseAdapter(b.Adapter) {
		return nil, nil, cicadaerror.New(cicadaerror.NotFound, "adapter %q not found", b.Adapter).Param("adapter")
	}
	body, err := withStreaming(data)
	if err != nil {
		return nil, nil, err
	}
	call := &cicadawire.Call{
		Customer:    customer.Name(),
		Urgency:     customer.Urgency(),
		Model:       b.Model,
		Adapter:     b.Adapter,
		Method:      "POST",
		Path:        path,
		Body:        body,
		MaxTokens:   b.maxTokens(),
		Chat:        path == PathChat,
		Prefix:      b.prefixHash(),
		Fingerprint: Fingerprint(customer.Name(), path, data),
	}
	return &cicadadispatch.Request{Call: call, Groups: groups}, b, nil
}

// withStreaming returns the body with the fields set that request a stream with
// usage. Agents call engines only in this form.
func withStreaming(data []byte) ([]byte, error) {
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

// SplitServicePath splits a path of the form /services/NAME/REST into NAME and
// /REST. It reports false if the path has another form or NAME is empty.
func SplitServicePath(path string) (name, rest string, ok bool) {
	trimmed, ok := strings.CutPrefix(path, ServicePrefix)
	if !ok {
		return "", "", false
	}
	name, rest, _ = strings.Cut(trimmed, "/")
	return name, "/" + rest, name != ""
}

// NewServiceRequest returns the request for a call to a service. The service's
// routes specify whether the call is idempotent. A call that matches no route is
// idempotent only if its method is GET, HEAD or OPTIONS.
func NewServiceRequest(s *cicadaconfig.Snapshot, customer *cicadaconfig.ResolvedCustomer, method, name, path string, headers []*cicadawire.Header, body []byte) (*cicadadispatch.Request, error) {
	service, ok := s.Service(name)
	if !ok || !customer.MayUseService(name) {
		return nil, cicadaerror.New(cicadaerror.NotFound, "service %q not found", name)
	}
	call := &cicadawire.Call{
		Customer:      customer.Name(),
		Urgency:       customer.Urgency(),
		Service:       name,
		Method:        method,
		Path:          path,
		Headers:       headers,
		Body:          body,
		NonIdempotent: !isIdempotent(service, method, path),
		Fingerprint:   Fingerprint(customer.Name(), ServicePrefix+name+path, body),
	}
	return &cicadadispatch.Request{Call: call, Groups: []string{service.Group}}, nil
}

// isIdempotent reports whether a call is idempotent according to the longest route
// that matches it or, if there is none, its method.
func isIdempotent(service *cicadaconfig.Service, method, path string) bool {
	pathOnly, _, _ := strings.Cut(path, "?")
	longest, result := -1, method == "GET" || method == "HEAD" || method == "OPTIONS"
	for _, route := range service.Routes {
		if route.Method == method && routeMatches(route.Path, pathOnly) && len(route.Path) > longest {
			longest, result = len(route.Path), route.Idempotent
		}
	}
	return result
}

// routeMatches reports whether path equals the route's path or is below it.
func routeMatches(route, path string) bool {
	rest, ok := strings.CutPrefix(path, route)
	return ok && (rest == "" || strings.HasSuffix(route, "/") || strings.HasPrefix(rest, "/"))
}

// Deadline returns how long a request may take under the current limits.
func Deadline(s *cicadaconfig.Snapshot) time.Duration {
	return s.Limits().Deadline.Or(DefaultDeadline)
}
