package cicadacall

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadaentry/cicadadispatch"
	"cicadalink.example/cicadakernel/cicadaerror"
	"cicadalink.example/cicadakernel/cicadawire"
)

// MaxAnswer is the largest answer that is kept whole, in bytes.
const MaxAnswer = 16 << 20

// An Answer is an answer that is collected whole.
type Answer struct {
	status  int
	headers []*cicadawire.Header
	text    []byte
	extra   [][]byte
}

// Add takes a piece of the answer.
func (a *Answer) Add(p cicadadispatch.Piece) error {
	if p.Head {
		a.status, a.headers = p.Status, p.Headers
	}
	if len(a.text)+len(p.Data) > MaxAnswer {
		return cicadaerror.New(cicadaerror.TooLarge, "the answer is larger than %d bytes", MaxAnswer)
	}
	a.text = append(a.text, p.Data...)
	if len(p.Extra) > 0 {
		a.extra = append(a.extra, p.Extra)
	}
	return nil
}

// Status returns the HTTP status of a plain service's answer.
func (a *Answer) Status() int { return a.status }

// Headers returns the headers of a plain service's answer.
func (a *Answer) Headers() []*cicadawire.Header { return a.headers }

// Text returns the answer's bytes.
func (a *Answer) Text() []byte { return a.text }

// Usage is the usage part of an inference answer.
type Usage struct {
	PromptTokens     int32 `json:"prompt_tokens"`
	CompletionTokens int32 `json:"completion_tokens"`
	TotalTokens      int32 `json:"total_tokens"`
}

// UsageOf returns the usage of a result.
func UsageOf(r *cicadadispatch.Result) Usage {
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

// Inference returns the JSON of a whole inference answer.
func (a *Answer) Inference(id, path, model string, created time.Time, result *cicadadispatch.Result) ([]byte, error) {
	c := completion{ID: id, Object: "text_completion", Created: created.Unix(), Model: model, Usage: UsageOf(result)}
	one := choice{FinishReason: result.Finish()}
	if path == PathChat {
		c.Object = "chat.completion"
		message, err := a.message()
		if err != nil {
			return nil, err
		}
		one.Message = message
	} else {
		text := string(a.text)
		one.Text = &text
	}
	c.Choices = []choice{one}
	data, err := json.Marshal(c)
	if err != nil {
		return nil, merry.Errorf("encode answer: %w", err)
	}
	return data, nil
}

// message merges the deltas of a chat answer into one message: strings are
// joined, lists of parts are merged by their index, other values replace.
func (a *Answer) message() (json.RawMessage, error) {
	fields := map[string]any{"role": "assistant", "content": string(a.text)}
	for _, raw := range a.extra {
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

func mergeFields(into, from map[string]any) {
	for key, value := range from {
		into[key] = mergeValue(into[key], value)
	}
}

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

func mergeLists(list, parts []any) []any {
	for _, part := range parts {
		fields, ok := part.(map[string]any)
		position, indexed := fields["index"].(float64)
		if !ok || !indexed || position < 0 || int(position) > len(list) {
			list = append(list, part)
			continue
		}
		delete(fields, "index")
		if int(position) == len(list) {
			list = append(list, fields)
			continue
		}
		list[int(position)] = mergeValue(list[int(position)], fields)
	}
	return list
}

// A Stream formats the events of a streamed inference answer.
type Stream struct {
	head    []byte
	chat    bool
	started bool
	buf     []byte
}

// NewStream returns a formatter for one answer.
func NewStream(id, path, model string, created time.Time) *Stream {
	s := &Stream{chat: path == PathChat}
	object := "text_completion"
	if s.chat {
		object = "chat.completion.chunk"
	}
	quotedID, _ := json.Marshal(id)
	quotedModel, _ := json.Marshal(model)
	s.head = append(s.head, `data: {"id":`...)
	s.head = append(s.head, quotedID...)
	s.head = append(s.head, `,"object":"`+object+`","created":`...)
	s.head = strconv.AppendInt(s.head, created.Unix(), 10)
	s.head = append(s.head, `,"model":`...)
	s.head = append(s.head, quotedModel...)
	s.head = append(s.head, `,"choices":`...)
	return s
}

// Piece returns the event of a piece of the answer. The result is valid until
// the next call.
func (s *Stream) Piece(p cicadadispatch.Piece) []byte {
	s.buf = append(s.buf[:0], s.head...)
	if !s.chat {
		s.buf = append(s.buf, `[{"index":0,"text":`...)
		s.buf = appendQuoted(s.buf, p.Data)
	} else {
		s.buf = append(s.buf, `[{"index":0,"delta":`...)
		s.buf = s.appendDelta(s.buf, p)
	}
	s.buf = append(s.buf, ",\"logprobs\":null,\"finish_reason\":null}]}\n\n"...)
	s.started = true
	return s.buf
}

func (s *Stream) appendDelta(buf []byte, p cicadadispatch.Piece) []byte {
	if len(p.Extra) > 0 {
		return append(buf, p.Extra...)
	}
	buf = append(buf, '{')
	if !s.started {
		buf = append(buf, `"role":"assistant",`...)
	}
	buf = append(buf, `"content":`...)
	buf = appendQuoted(buf, p.Data)
	return append(buf, '}')
}

// End returns the last events: the finish reason, the usage if asked for, and
// the end mark.
func (s *Stream) End(result *cicadadispatch.Result, includeUsage bool) []byte {
	reason, _ := json.Marshal(result.Finish())
	s.buf = append(s.buf[:0], s.head...)
	if s.chat {
		s.buf = append(s.buf, `[{"index":0,"delta":{},"logprobs":null,"finish_reason":`...)
	} else {
		s.buf = append(s.buf, `[{"index":0,"text":"","logprobs":null,"finish_reason":`...)
	}
	s.buf = append(s.buf, reason...)
	s.buf = append(s.buf, "}]}\n\n"...)
	if includeUsage {
		usage, _ := json.Marshal(UsageOf(result))
		s.buf = append(s.buf, s.head...)
		s.buf = append(s.buf, `[],"usage":`...)
		s.buf = append(s.buf, usage...)
		s.buf = append(s.buf, "}\n\n"...)
	}
	return append(s.buf, "data: [DONE]\n\n"...)
}

// Failure returns the event of an error that ends a stream. No end mark
// follows it, so a cut answer never looks whole.
func (s *Stream) Failure(err error) []byte {
	body, _ := json.Marshal(cicadaerror.From(err).Body())
	s.buf = append(s.buf[:0], "event: error\ndata: "...)
	s.buf = append(s.buf, body...)
	return append(s.buf, "\n\n"...)
}

// appendQuoted appends text as a JSON string. Plain text, the common case, is
// copied; other text goes through encoding/json.
func appendQuoted(buf, text []byte) []byte {
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
