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
	itemTimeout          = 15 * time.Minute
	maxFailedAttempts    = 4
	maxItemResponseBytes = 700 << 10
	outcomeQueryTimeout  = 5 * time.Second
	outcomeQueryInterval = time.Second
	maxOutcomeQueries    = 30
	codeInvalidItem      = "invalid-item"
	// minLostDelay is the delay before an item runs again whose endpoint was lost. It
	// doubles with each further loss, up to maxLostDelay.
	minLostDelay = 20 * time.Millisecond
	maxLostDelay = 5 * time.Second
	maxLostShift = 8
)

// An itemLine is a line of a batch's input file, decoded from JSON.
type itemLine struct {
	CustomID string          `json:"custom_id"`
	Method   string          `json:"method"`
	URL      string          `json:"url"`
	Body     json.RawMessage `json:"body"`
}

// parseItem decodes a line of a job's input and fills in the defaults. The item
// is not nil even if the line is invalid, so that the error can be recorded
// under its custom ID.
func parseItem(line []byte, path string) (*itemLine, error) {
	var in itemLine
	if err := json.Unmarshal(line, &in); err != nil {
		return &in, cicadaerror.New(cicadaerror.BadRequest, "line is not a valid batch item: %s", err)
	}
	if in.Method == "" {
		in.Method = http.MethodPost
	}
	if in.URL == "" {
		in.URL = path
	}
	if in.URL != path && !strings.HasPrefix(in.URL, strings.TrimSuffix(path, "/")+"/") {
		return &in, cicadaerror.New(cicadaerror.BadRequest, "url %q does not match the batch's endpoint %q", in.URL, path)
	}
	if len(in.Body) == 0 && cicadacall.IsInferencePath(in.URL) {
		return &in, cicadaerror.New(cicadaerror.BadRequest, "body is missing")
	}
	return &in, nil
}

// newRequest builds the request that an item is run with.
func (r *jobRunner) newRequest(it *item, in *itemLine) (*cicadadispatch.Request, error) {
	config := r.owner.manager.deps.Config()
	customer, ok := config.Customer(it.job.accepted.GetCustomer())
	if !ok {
		return nil, cicadaerror.New(cicadaerror.Forbidden, "the customer no longer exists")
	}
	var req *cicadadispatch.Request
	var err error
	if cicadacall.IsInferencePath(in.URL) {
		req, _, err = cicadacall.NewInferenceRequest(config, customer, in.URL, in.Body)
	} else if name, path, ok := cicadacall.SplitServicePath(in.URL); ok {
		headers := []*cicadawire.Header{{Name: "Content-Type", Value: "application/json"}}
		req, err = cicadacall.NewServiceRequest(config, customer, in.Method, name, path, headers, in.Body)
	} else {
		err = cicadaerror.New(cicadaerror.BadRequest, "no such endpoint %q", in.URL)
	}
	if err != nil {
		return nil, err
	}
	req.Call.Class = cicadawire.CallClass_BATCH
	req.Deadline = time.Now().Add(itemTimeout)
	if req.Call.GetNonIdempotent() {
		req.Call.Headers = append(req.Call.Headers, &cicadawire.Header{Name: "Idempotency-Key", Value: itemKey(it)})
	}
	return req, nil
}

// itemKey returns the idempotency key of a non-idempotent item.
func itemKey(it *item) string {
	return it.job.accepted.GetId() + "/" + strconv.FormatInt(it.index, 10)
}

// runItem executes an item once.
func (r *jobRunner) runItem(ctx context.Context, it *item) itemOutcome {
	in, err := parseItem(it.line, it.job.accepted.GetPath())
	if err != nil {
		return itemOutcome{record: failedItem(in, err, codeInvalidItem)}
	}
	req, err := r.newRequest(it, in)
	if err != nil {
		return itemOutcome{record: failedItem(in, err, "")}
	}
	if it.outcomeUnknown {
		return r.resolveOutcome(ctx, it, in, req)
	}
	switch {
	case !req.Call.GetNonIdempotent():
		r.markIdempotent(it)
	case !r.claimItem(ctx, it):
		return itemOutcome{}
	default:
		req.Call.Key = it.claimAttempt
	}
	if !r.owner.lease.Valid() {
		return itemOutcome{backOff: true}
	}
	return r.dispatch(ctx, it, in, req)
}

func (r *jobRunner) markIdempotent(it *item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	it.idempotent = true
}

// claimItem records durably that a non-idempotent item is about to run. An existing
// claim under which the item has not run is reused. It reports false if the claim
// could not be recorded, for example because the shard has another owner, or if the
// item is done or claimed by another attempt.
func (r *jobRunner) claimItem(ctx context.Context, it *item) bool {
	if it.claimAttempt != "" && !it.needsNewClaim {
		return true
	}
	attempt := fmt.Sprintf("%s#%x", itemKey(it), r.owner.manager.deps.Nonce())
	claimed := &cicadawire.ItemClaimed{Job: it.job.accepted.GetId(), Index: it.index, Attempt: attempt, Replaces: it.claimAttempt}
	record := &cicadawire.Record{Kind: &cicadawire.Record_ItemClaimed{ItemClaimed: claimed}}
	if r.owner.commit(ctx, record) != nil {
		return false
	}
	done, currentAttempt := r.owner.itemState(it.job.accepted.GetId(), it.index)
	if done || currentAttempt != attempt {
		return false
	}
	r.mu.Lock()
	it.claimAttempt, it.needsNewClaim = attempt, false
	r.mu.Unlock()
	return true
}

func (r *jobRunner) dispatch(ctx context.Context, it *item, in *itemLine, req *cicadadispatch.Request) itemOutcome {
	response := cicadacall.NewResponse(r.owner.manager.deps.Memory)
	defer response.Release()
	result, err := r.owner.manager.deps.Dispatcher.Run(ctx, req, response.Add)
	if err == nil {
		return itemOutcome{record: r.completedItem(it, in, response, result)}
	}
	apiErr := cicadaerror.From(err)
	if apiErr.IsNotRun() && retryable(apiErr.Code()) {
		return itemOutcome{backOff: true}
	}
	if req.Call.GetNonIdempotent() {
		return r.resolveOutcome(ctx, it, in, req)
	}
	if ctx.Err() != nil {
		return itemOutcome{}
	}
	if apiErr.Code() == cicadaerror.Unavailable {
		return itemOutcome{delay: r.lostDelay(it)}
	}
	if !retryable(apiErr.Code()) || r.attemptsExhausted(it, apiErr.Code()) {
		return itemOutcome{record: failedItem(in, apiErr, "")}
	}
	return itemOutcome{backOff: true}
}

// lostDelay returns the delay before an item runs again whose endpoint crashed or became
// unreachable. Such an item does not fail, however often this happens: the items of a job
// are owed until the job ends.
func (r *jobRunner) lostDelay(it *item) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	delay := jittered(min(minLostDelay<<it.lostEndpoints, maxLostDelay))
	it.lostEndpoints = min(it.lostEndpoints+1, maxLostShift)
	return delay
}

// attemptsExhausted counts a failed attempt and reports whether the item has used up its
// attempts. An overload is not counted.
func (r *jobRunner) attemptsExhausted(it *item, code cicadaerror.Code) bool {
	if code == cicadaerror.Overloaded {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	it.failedAttempts++
	return it.failedAttempts >= maxFailedAttempts
}

func retryable(code cicadaerror.Code) bool {
	switch code {
	case cicadaerror.Overloaded, cicadaerror.Unavailable, cicadaerror.EngineFailed, cicadaerror.Timeout, cicadaerror.Internal:
		return true
	}
	return false
}

func (r *jobRunner) completedItem(it *item, in *itemLine, response *cicadacall.Response, result *cicadadispatch.Result) *cicadawire.ItemDone {
	done := &cicadawire.ItemDone{Status: http.StatusOK, CustomId: in.CustomID}
	if !cicadacall.IsInferencePath(in.URL) {
		done.Status, done.Body = int32(response.Status()), jsonBody(response.Text())
		done.Failed = response.Status() >= http.StatusBadRequest
	} else {
		var body struct {
			Model string `json:"model"`
		}
		_ = json.Unmarshal(in.Body, &body)
		id := "cmpl-" + it.job.accepted.GetId() + "-" + strconv.FormatInt(it.index, 10)
		data, err := response.InferenceJSON(id, in.URL, body.Model, time.Now(), result)
		if err != nil {
			return failedItem(in, cicadaerror.New(cicadaerror.EngineFailed, "the engine's response is malformed"), "")
		}
		done.Body = data
	}
	if len(done.GetBody()) > maxItemResponseBytes {
		return failedItem(in, cicadaerror.New(cicadaerror.TooLarge, "the item's response is larger than %d bytes", maxItemResponseBytes), "")
	}
	return done
}

// jsonBody returns a response body unchanged if it is valid JSON, else as a JSON
// string.
func jsonBody(text []byte) []byte {
	if json.Valid(text) {
		return text
	}
	quoted, _ := json.Marshal(string(text))
	return quoted
}

func failedItem(in *itemLine, err error, code string) *cicadawire.ItemDone {
	apiErr := cicadaerror.From(err)
	if code == "" {
		code = string(apiErr.Code())
	}
	body, _ := json.Marshal(apiErr.Body())
	return &cicadawire.ItemDone{Failed: true, Status: int32(apiErr.Status()), CustomId: in.CustomID, Body: body, Code: code}
}

// resolveOutcome queries the outcome of a claimed item that may have run. The
// item runs again only if the service confirms that it has not run. If the outcome
// cannot be determined, the item fails with outcome-unknown.
func (r *jobRunner) resolveOutcome(ctx context.Context, it *item, in *itemLine, req *cicadadispatch.Request) itemOutcome {
	r.mu.Lock()
	it.outcomeUnknown = true
	r.mu.Unlock()
	for range maxOutcomeQueries {
		reply, err := r.owner.manager.queryOutcome(ctx, outcomeQuery{req.Call.GetCustomer(), req.Call.GetService(), itemKey(it), it.claimAttempt})
		if err == nil && reply.GetState() == cicadawire.AttemptState_FINISHED {
			done := &cicadawire.ItemDone{Status: reply.GetStatus(), Body: jsonBody(reply.GetBody()), CustomId: in.CustomID}
			done.Failed = reply.GetStatus() >= http.StatusBadRequest
			return itemOutcome{record: done}
		}
		if errors.Is(err, errUnknownToService) {
			r.mu.Lock()
			it.outcomeUnknown, it.needsNewClaim = false, true
			r.mu.Unlock()
			return itemOutcome{requeue: true}
		}
		if err == nil {
			break
		}
		if !cicadaretry.Sleep(ctx, outcomeQueryInterval) {
			return itemOutcome{}
		}
	}
	unknown := cicadaerror.New(cicadaerror.OutcomeUnknown, "the item was started and its outcome cannot be determined")
	return itemOutcome{record: failedItem(in, unknown, "")}
}

// errUnknownToService reports that a service's look-up route has no record of a
// call, so the call has not run.
var errUnknownToService = errors.New("cicadashard: service has no record of the call")

// queryService queries a service's look-up route for the outcome of a call. The
// placeholder {key} in its path stands for the idempotency key. The reply is nil
// if the customer may not call the service any more, or if the status of the response
// is neither 200 nor 404.
func (m *Manager) queryService(ctx context.Context, query outcomeQuery, path string) (*cicadawire.AttemptReply, error) {
	config := m.deps.Config()
	customer, ok := config.Customer(query.customer)
	if !ok {
		return nil, nil
	}
	lookUpPath := strings.ReplaceAll(path, "{key}", url.PathEscape(query.key))
	req, err := cicadacall.NewServiceRequest(config, customer, http.MethodGet, query.service, lookUpPath, nil, nil)
	if err != nil {
		return nil, nil
	}
	req.Call.NonIdempotent = false
	req.Deadline = time.Now().Add(outcomeQueryTimeout)
	response := cicadacall.NewResponse(m.deps.Memory)
	defer response.Release()
	if _, err := m.deps.Dispatcher.Run(ctx, req, response.Add); err != nil {
		return nil, err
	}
	switch response.Status() {
	case http.StatusOK:
		return &cicadawire.AttemptReply{State: cicadawire.AttemptState_FINISHED, Status: http.StatusOK, Body: response.Text()}, nil
	case http.StatusNotFound:
		return nil, errUnknownToService
	}
	return nil, nil
}
