package cicadashard

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"cicadalink.example/cicadaentry/cicadacall"
	"cicadalink.example/cicadaentry/cicadadispatch"
	"cicadalink.example/cicadakernel/cicadaerror"
	"cicadalink.example/cicadakernel/cicadaretry"
	"cicadalink.example/cicadakernel/cicadawire"
)

const (
	itemDeadline    = 15 * time.Minute
	maxItemAttempts = 4
	maxItemCuts     = 16
	maxItemAnswer   = 700 << 10
	lookUpDeadline  = 5 * time.Second
	lookUpRetry     = time.Second
	lookUpAttempts  = 30
	codeInvalidItem = "invalid-item"
)

// itemLine is one line of a batch's input.
type itemLine struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// parseItem reads a line of a job's input.
func parseItem(line []byte, path string) (*itemLine, error) {
	var in itemLine
	if err := json.Unmarshal(line, &in); err != nil {
		return &in, cicadaerror.New(cicadaerror.BadRequest, "line is not a JSON object of an item: %s", err)
	}
	if in.Method == "" {
		in.Method = http.MethodPost
	}
	if in.URL == "" {
		in.URL = path
	}
	if in.URL != path && !strings.HasPrefix(in.URL, strings.TrimSuffix(path, "/")+"/") {
		return &in, cicadaerror.New(cicadaerror.BadRequest, "url %q is not the batch's endpoint %q", in.URL, path)
	}
	if len(in.Body) == 0 && cicadacall.IsInference(in.URL) {
		return &in, cicadaerror.New(cicadaerror.BadRequest, "body is missing")
	}
	return &in, nil
}

// request returns the request of an item.
func (r *runner) request(it *item, in *itemLine) (*cicadadispatch.Request, error) {
	config := r.o.m.deps.Config()
	account, ok := config.Customer(it.job.accepted.GetCustomer())
	if !ok {
		return nil, cicadaerror.New(cicadaerror.Forbidden, "the customer is gone")
	}
	var req *cicadadispatch.Request
	var err error
	if cicadacall.IsInference(in.URL) {
		req, _, err = cicadacall.Inference(config, account, in.URL, in.Body)
	} else if name, path, ok := cicadacall.SplitService(in.URL); ok {
		headers := []*cicadawire.Header{{Name: "Content-Type", Value: "application/json"}}
		req, err = cicadacall.Service(config, account, in.Method, name, path, headers, in.Body)
	} else {
		err = cicadaerror.New(cicadaerror.BadRequest, "no such endpoint %q", in.URL)
	}
	if err != nil {
		return nil, err
	}
	req.Call.Class = cicadawire.CallClass_BATCH
	req.Deadline = time.Now().Add(itemDeadline)
	if req.Call.GetNonIdempotent() {
		req.Call.Headers = append(req.Call.Headers, &cicadawire.Header{Name: "Idempotency-Key", Value: itemKey(it)})
	}
	return req, nil
}

// itemKey is the idempotency key of a non-idempotent item.
func itemKey(it *item) string {
	return it.job.accepted.GetId() + "/" + strconv.FormatInt(it.index, 10)
}

// work runs an item once.
func (r *runner) work(ctx context.Context, it *item) itemEnd {
	in, err := parseItem(it.line, it.job.accepted.GetPath())
	if err != nil {
		return itemEnd{record: failed(in, err, codeInvalidItem)}
	}
	req, err := r.request(it, in)
	if err != nil {
		return itemEnd{record: failed(in, err, "")}
	}
	if it.lost {
		return r.settleLost(ctx, it, in, req)
	}
	switch {
	case !req.Call.GetNonIdempotent():
		r.markRepeatable(it)
	case !r.claim(ctx, it):
		return itemEnd{}
	default:
		req.Call.Key = it.claimed
	}
	if !r.o.lease.Valid() {
		return itemEnd{busy: true}
	}
	return r.dispatch(ctx, it, in, req)
}

func (r *runner) markRepeatable(it *item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	it.repeatable = true
}

// claim records that a non-idempotent item is about to run, unless it holds a
// claim under which it has not run. It reports false when the shard is lost.
func (r *runner) claim(ctx context.Context, it *item) bool {
	if it.claimed != "" && !it.reclaim {
		return true
	}
	attempt := fmt.Sprintf("%s#%x", itemKey(it), r.o.m.deps.Nonce())
	claimed := &cicadawire.ItemClaimed{Job: it.job.accepted.GetId(), Index: it.index, Attempt: attempt, Replaces: it.claimed}
	record := &cicadawire.Record{Kind: &cicadawire.Record_ItemClaimed{ItemClaimed: claimed}}
	if r.o.commit(ctx, record) != nil {
		return false
	}
	done, holder := r.o.itemState(it.job.accepted.GetId(), it.index)
	if done || holder != attempt {
		return false
	}
	r.mu.Lock()
	it.claimed, it.reclaim = attempt, false
	r.mu.Unlock()
	return true
}

func (r *runner) dispatch(ctx context.Context, it *item, in *itemLine, req *cicadadispatch.Request) itemEnd {
	var answer cicadacall.Answer
	result, err := r.o.m.deps.Runner.Run(ctx, req, answer.Add)
	if err == nil {
		return itemEnd{record: r.completed(it, in, &answer, result)}
	}
	known := cicadaerror.From(err)
	if known.IsNotRun() && retryable(known.Code()) {
		return itemEnd{busy: true}
	}
	if req.Call.GetNonIdempotent() {
		return r.settleLost(ctx, it, in, req)
	}
	if ctx.Err() != nil {
		return itemEnd{}
	}
	if !retryable(known.Code()) || r.spent(it, known.Code()) {
		return itemEnd{record: failed(in, known, "")}
	}
	return itemEnd{busy: true}
}

// spent counts a failed attempt and reports whether the item has had enough of
// them. An engine that fails tells more against an item than an endpoint that
// goes away, and a lack of endpoints tells nothing.
func (r *runner) spent(it *item, code cicadaerror.Code) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch code {
	case cicadaerror.Overloaded:
		return false
	case cicadaerror.Unavailable:
		it.cuts++
	default:
		it.attempts++
	}
	return it.attempts >= maxItemAttempts || it.cuts >= maxItemCuts
}

func retryable(code cicadaerror.Code) bool {
	switch code {
	case cicadaerror.Overloaded, cicadaerror.Unavailable, cicadaerror.EngineFailed, cicadaerror.Timeout, cicadaerror.Internal:
		return true
	}
	return false
}

func (r *runner) completed(it *item, in *itemLine, answer *cicadacall.Answer, result *cicadadispatch.Result) *cicadawire.ItemDone {
	done := &cicadawire.ItemDone{Status: http.StatusOK, CustomId: in.CustomID}
	if !cicadacall.IsInference(in.URL) {
		done.Status, done.Body = int32(answer.Status()), jsonBody(answer.Text())
		done.Failed = answer.Status() >= http.StatusBadRequest
	} else {
		var body struct {
			Model string `json:"model"`
		}
		_ = json.Unmarshal(in.Body, &body)
		id := "cmpl-" + it.job.accepted.GetId() + "-" + strconv.FormatInt(it.index, 10)
		data, err := answer.Inference(id, in.URL, body.Model, time.Now(), result)
		if err != nil {
			return failed(in, cicadaerror.New(cicadaerror.EngineFailed, "engine's answer is not readable"), "")
		}
		done.Body = data
	}
	if len(done.GetBody()) > maxItemAnswer {
		return failed(in, cicadaerror.New(cicadaerror.TooLarge, "the item's answer is larger than %d bytes", maxItemAnswer), "")
	}
	return done
}

// jsonBody returns an answer as JSON: as it is, or as a string.
func jsonBody(text []byte) []byte {
	if json.Valid(text) {
		return text
	}
	quoted, _ := json.Marshal(string(text))
	return quoted
}

func failed(in *itemLine, err error, code string) *cicadawire.ItemDone {
	known := cicadaerror.From(err)
	if code == "" {
		code = string(known.Code())
	}
	body, _ := json.Marshal(known.Body())
	return &cicadawire.ItemDone{Failed: true, Status: int32(known.Status()), CustomId: in.CustomID, Body: body, Code: code}
}

// settleLost finds out what became of a claimed item whose outcome this owner
// does not know. It is never run again.
func (r *runner) settleLost(ctx context.Context, it *item, in *itemLine, req *cicadadispatch.Request) itemEnd {
	r.mu.Lock()
	it.lost = true
	r.mu.Unlock()
	for range lookUpAttempts {
		reply, err := r.o.m.lookInto(ctx, lookUp{req.Call.GetCustomer(), req.Call.GetService(), itemKey(it), it.claimed})
		if err == nil && reply.GetState() == cicadawire.AttemptState_FINISHED {
			done := &cicadawire.ItemDone{Status: reply.GetStatus(), Body: jsonBody(reply.GetBody()), CustomId: in.CustomID}
			done.Failed = reply.GetStatus() >= http.StatusBadRequest
			return itemEnd{record: done}
		}
		if errors.Is(err, errNotFoundThere) {
			r.mu.Lock()
			it.lost, it.reclaim = false, true
			r.mu.Unlock()
			return itemEnd{retry: true}
		}
		if err == nil {
			break
		}
		if !cicadaretry.Wait(ctx, lookUpRetry) {
			return itemEnd{}
		}
	}
	unknown := cicadaerror.New(cicadaerror.OutcomeUnknown, "the item was started and its outcome cannot be found out")
	return itemEnd{record: failed(in, unknown, "")}
}

// errNotFoundThere reports that a service's look-up route knows no such call.
var errNotFoundThere = errors.New("cicadashard: service does not know the call")

// askService asks a service's look-up route what became of a call. Its path
// holds {key}.
func (m *Manager) askService(ctx context.Context, l lookUp, path string) (*cicadawire.AttemptReply, error) {
	config := m.deps.Config()
	account, ok := config.Customer(l.customer)
	if !ok {
		return nil, nil
	}
	at := strings.ReplaceAll(path, "{key}", url.PathEscape(l.key))
	req, err := cicadacall.Service(config, account, http.MethodGet, l.service, at, nil, nil)
	if err != nil {
		return nil, nil
	}
	req.Call.NonIdempotent = false
	req.Deadline = time.Now().Add(lookUpDeadline)
	var answer cicadacall.Answer
	if _, err := m.deps.Runner.Run(ctx, req, answer.Add); err != nil {
		return nil, err
	}
	switch answer.Status() {
	case http.StatusOK:
		return &cicadawire.AttemptReply{State: cicadawire.AttemptState_FINISHED, Status: http.StatusOK, Body: answer.Text()}, nil
	case http.StatusNotFound:
		return nil, errNotFoundThere
	}
	return nil, nil
}
