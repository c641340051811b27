package cicadacall

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadaentry/cicadadispatch"
	"cicadalink.example/cicadakernel/cicadaerror"
	"cicadalink.example/cicadakernel/cicadamemory"
	"cicadalink.example/cicadakernel/cicadawire"
)

// MaxResponseBytes is the maximum size of a response that is collected in memory.
const MaxResponseBytes = 16 << 20

const (
	// bufferGrowth is how many times its bytes a buffer that grows may take in memory.
	bufferGrowth = 2
	// deltaMemory is what a delta or header takes in memory besides its bytes, in bytes.
	deltaMemory = 64
)

// A Response collects the chunks of a response.
type Response struct {
	status  int
	headers []*cicadawire.Header
	text    []byte
	deltas  [][]byte
	size    int // bytes of text and deltas
	held    *cicadamemory.Reservation
}

// NewResponse returns an empty response. What it collects is held in a budget of memory, which
// may be nil, until Release.
func NewResponse(memory *cicadamemory.Budget) *Response {
	return &Response{held: memory.Reserve()}
}

// Release gives the memory of the response back.
func (r *Response) Release() { r.held.Release() }

// reserve reserves the memory of a chunk.
func (r *Response) reserve(chunk cicadadispatch.Chunk) error {
	size := bufferGrowth * (len(chunk.Data) + len(chunk.Extra))
	if len(chunk.Extra) > 0 {
		size += deltaMemory
	}
	for _, h := range chunk.Headers {
		size += len(h.GetName()) + len(h.GetValue()) + deltaMemory
	}
	if err := r.held.Grow(int64(size)); err != nil {
		return cicadaerror.New(cicadaerror.EngineFailed, "there is no memory for a response of more than %d bytes", r.size)
	}
	return nil
}

// Add appends a chunk. It fails if the data would exceed MaxResponseBytes, or if there is no
// memory for it.
func (r *Response) Add(chunk cicadadispatch.Chunk) error {
	if chunk.Head {
		r.status, r.headers = chunk.Status, chunk.Headers
	}
	r.size += len(chunk.Data) + len(chunk.Extra)
	if r.size > MaxResponseBytes {
		return cicadaerror.New(cicadaerror.TooLarge, "the response is larger than %d bytes", MaxResponseBytes)
	}
	if err := r.reserve(chunk); err != nil {
		return err
	}
	r.text = append(r.text, chunk.Data...)
	if len(chunk.Extra) > 0 {
		r.deltas = append(r.deltas, chunk.Extra)
	}
	return nil
}

// Status returns the HTTP status of a service's response.
func (r *Response) Status() int { return r.status }

// Headers returns the HTTP headers of a service's response.
func (r *Response) Headers() []*cicadawire.Header { return r.headers }

// Text returns the data of the response: the generated text, or a service's body.
func (r *Response) Text() []byte { return r.text }

// Usage is the usage object of an inference response.
type Usage struct {
	PromptTokens     int32 `json:"prompt_tokens"`
	CompletionTokens int32 `json:"completion_tokens"`
	TotalTokens      int32 `json:"total_tokens"`
}

// NewUsage returns the usage object for a result.
func NewUsage(r *cicadadispatch.Result) Usage {
	return Usage{
		PromptTokens:     r.PromptTokens(),
		CompletionTokens: r.OutputTokens(),
		TotalTokens:      r.PromptTokens() + r.OutputTokens(),
	}
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   Usage    `json:"usage"`
}

type choice struct {
	Index        int             `json:"index"`
	Text         *string         `json:"text,omitempty"`
	Message      json.RawMessage `json:"message,omitempty"`
	Logprobs     *struct{}       `json:"logprobs"`
	FinishReason string          `json:"finish_reason"`
}

// InferenceJSON returns the complete inference response as JSON.
func (r *Response) InferenceJSON(id, path, model string, created time.Time, result *cicadadispatch.Result) ([]byte, error) {
	c := completion{ID: id, Object: "text_completion", Created: created.Unix(), Model: model, Usage: NewUsage(result)}
	onlyChoice := choice{FinishReason: result.FinishReason()}
	if path == PathChat {
		c.Object = "chat.completion"
		message, err := r.mergedMessage()
		if err != nil {
			return nil, err
		}
		onlyChoice.Message = message
	} else {
		text := string(r.text)
		onlyChoice.Text = &text
	}
	c.Choices = []choice{onlyChoice}
	data, err := json.Marshal(c)
	if err != nil {
		return nil, merry.Errorf("encode response: %w", err)
	}
	return data, nil
}

// mergedMessage merges the deltas of a chat response into one message: strings are
// concatenated, lists are merged by the index field of their elements, and any
// other value replaces the previous one.
func (r *Response) mergedMessage() (json.RawMessage, error) {
	fields := map[string]any{"role": "assistant", "content": string(r.text)}
	for _, raw := range r.deltas {
		var delta map[string]any
		if err := json.Unmarshal(raw, &delta); err != nil {
			return nil, merry.Errorf("decode delta: %w", err)
		}
		delete(delta, "role")
		mergeFields(fields, delta)
	}
	data, err := json.Marshal(fields)
	if err != nil {
		return nil, merry.Errorf("encode message: %w", err)
	}
	return data, nil
}

// mergeFields merges the fields of from into into.
func mergeFields(into, from map[string]any) {
	for key, value := range from {
		into[key] = mergeValue(into[key], value)
	}
}

// mergeValue merges a field of a delta into its previous value. A null keeps the
// previous value.
func mergeValue(old, value any) any {
	switch v := value.(type) {
	case string:
		if s, ok := old.(string); ok {
			return s + v
		}
	case map[string]any:
		if m, ok := old.(map[string]any); ok {
			mergeFields(m, v)
			return m
		}
	case []any:
		list, _ := old.([]any)
		return mergeLists(list, v)
	case nil:
		return old
	}
	return value
}

// mergeLists merges each element with an index field into the element of list at
// that index. It appends elements without a valid index.
func mergeLists(list, parts []any) []any {
	for _, part := range parts {
		fields, ok := part.(map[string]any)
		index, indexed := fields["index"].(float64)
		if !ok || !indexed || index < 0 || int(index) > len(list) {
			list = append(list, part)
			continue
		}
		delete(fields, "index")
		if int(index) == len(list) {
			list = append(list, fields)
			continue
		}
		list[int(index)] = mergeValue(list[int(index)], fields)
	}
	return list
}

// A StreamEncoder formats a streamed inference response as server-sent events.
type StreamEncoder struct {
	eventPrefix []byte
	chat        bool
	started     bool
	buf         []byte
}

// NewStreamEncoder returns an encoder for one response to a call of the given path.
func NewStreamEncoder(id, path, model string, created time.Time) *StreamEncoder {
	s := &StreamEncoder{chat: path == PathChat}
	object := "text_completion"
	if s.chat {
		object = "chat.completion.chunk"
	}
	quotedID, _ := json.Marshal(id)
	quotedModel, _ := json.Marshal(model)
	s.eventPrefix = append(s.eventPrefix, `data: {"id":`...)
	s.eventPrefix = append(s.eventPrefix, quotedID...)
	s.eventPrefix = append(s.eventPrefix, `,"object":"`+object+`","created":`...)
	s.eventPrefix = strconv.AppendInt(s.eventPrefix, created.Unix(), 10)
	s.eventPrefix = append(s.eventPrefix, `,"model":`...)
	s.eventPrefix = append(s.eventPrefix, quotedModel...)
	s.eventPrefix = append(s.eventPrefix, `,"choices":`...)
	return s
}

// Chunk returns the event for a chunk of the response. The result is valid until the
// next call of a method.
func (s *StreamEncoder) Chunk(chunk cicadadispatch.Chunk) []byte {
	s.buf = append(s.buf[:0], s.eventPrefix...)
	if !s.chat {
		s.buf = append(s.buf, `[{"index":0,"text":`...)
		s.buf = appendJSONString(s.buf, chunk.Data)
	} else {
		s.buf = append(s.buf, `[{"index":0,"delta":`...)
		s.buf = s.appendDelta(s.buf, chunk)
	}
	s.buf = append(s.buf, ",\"logprobs\":null,\"finish_reason\":null}]}\n\n"...)
	s.started = true
	return s.buf
}

func (s *StreamEncoder) appendDelta(buf []byte, chunk cicadadispatch.Chunk) []byte {
	if len(chunk.Extra) > 0 {
		return append(buf, chunk.Extra...)
	}
	buf = append(buf, '{')
	if !s.started {
		buf = append(buf, `"role":"assistant",`...)
	}
	buf = append(buf, `"content":`...)
	buf = appendJSONString(buf, chunk.Data)
	return append(buf, '}')
}

// End returns the last events: the finish reason, the usage if includeUsage is set,
// and the end marker.
func (s *StreamEncoder) End(result *cicadadispatch.Result, includeUsage bool) []byte {
	reason, _ := json.Marshal(result.FinishReason())
	s.buf = append(s.buf[:0], s.eventPrefix...)
	if s.chat {
		s.buf = append(s.buf, `[{"index":0,"delta":{},"logprobs":null,"finish_reason":`...)
	} else {
		s.buf = append(s.buf, `[{"index":0,"text":"","logprobs":null,"finish_reason":`...)
	}
	s.buf = append(s.buf, reason...)
	s.buf = append(s.buf, "}]}\n\n"...)
	if includeUsage {
		usage, _ := json.Marshal(NewUsage(result))
		s.buf = append(s.buf, s.eventPrefix...)
		s.buf = append(s.buf, `[],"usage":`...)
		s.buf = append(s.buf, usage...)
		s.buf = append(s.buf, "}\n\n"...)
	}
	return append(s.buf, "data: [DONE]\n\n"...)
}

// ErrorEvent returns the event for an error that ends the stream. No end marker
// follows it, so that an incomplete response never looks complete.
func (s *StreamEncoder) ErrorEvent(err error) []byte {
	body, _ := json.Marshal(cicadaerror.From(err).Body())
	s.buf = append(s.buf[:0], "event: error\ndata: "...)
	s.buf = append(s.buf, body...)
	return append(s.buf, "\n\n"...)
}

// appendJSONString appends text as a JSON string. Printable ASCII that needs no
// escaping, the common case, is copied; other text is encoded by encoding/json.
func appendJSONString(buf, text []byte) []byte {
	for _, c := range text {
		if c < ' ' || c == '"' || c == '\\' || c >= 0x80 {
			quoted, _ := json.Marshal(string(text))
			return append(buf, quoted...)
		}
	}
	buf = append(buf, '"')
	buf = append(buf, text...)
	return append(buf, '"')
}
