package cicadafront

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/julienschmidt/httprouter"

	"cicadalink.example/cicadaentry/cicadacall"
	"cicadalink.example/cicadaentry/cicadashard"
	"cicadalink.example/cicadakernel/cicadaconfig"
	"cicadalink.example/cicadakernel/cicadaerror"
	"cicadalink.example/cicadakernel/cicadajob"
	"cicadalink.example/cicadakernel/cicadawire"
)

const (
	defaultCompletionWindow = 24 * time.Hour
	minCompletionWindow     = time.Minute
	maxCompletionWindow     = 14 * 24 * time.Hour
	maxMetadataBytes        = 16 << 10
	jobIDBytes              = 12
	defaultPageSize         = 20
	msPerDay                = 24 * 60 * 60 * 1000
)

type batchRequest struct {
	InputFileID      string          `json:"input_file_id"`
	Endpoint         string          `json:"endpoint"`
	CompletionWindow string          `json:"completion_window"`
	Metadata         json.RawMessage `json:"metadata"`
}

type batchBody struct {
	ID               string          `json:"id"`
	Object           string          `json:"object"`
	Endpoint         string          `json:"endpoint"`
	InputFileID      string          `json:"input_file_id"`
	CompletionWindow string          `json:"completion_window"`
	Status           string          `json:"status"`
	OutputFileID     *string         `json:"output_file_id"`
	ErrorFileID      *string         `json:"error_file_id"`
	CreatedAt        int64           `json:"created_at"`
	ExpiresAt        int64           `json:"expires_at"`
	CompletedAt      *int64          `json:"completed_at"`
	CancelledAt      *int64          `json:"cancelled_at"`
	ExpiredAt        *int64          `json:"expired_at"`
	RequestCounts    requestCounts   `json:"request_counts"`
	Metadata         json.RawMessage `json:"metadata"`
}

type requestCounts struct {
	Total     int64 `json:"total"`
	Completed int64 `json:"completed"`
	Failed    int64 `json:"failed"`
}

func newBatchBody(view *cicadawire.JobView) batchBody {
	job := view.GetJob()
	body := batchBody{
		ID:               job.GetId(),
		Object:           "batch",
		Endpoint:         job.GetPath(),
		InputFileID:      job.GetFile(),
		CompletionWindow: job.GetWindow(),
		Status:           view.GetState(),
		CreatedAt:        job.GetCreatedMs() / 1000,
		ExpiresAt:        job.GetDueMs() / 1000,
		RequestCounts:    requestCounts{Total: job.GetItems(), Completed: view.GetCompleted(), Failed: view.GetFailed()},
		Metadata:         json.RawMessage("null"),
	}
	if job.GetMetadata() != "" {
		body.Metadata = json.RawMessage(job.GetMetadata())
	}
	if view.GetEndedMs() == 0 {
		return body
	}
	ended := view.GetEndedMs() / 1000
	switch view.GetState() {
	case cicadajob.StateCompleted:
		body.CompletedAt = &ended
	case cicadajob.StateCancelled:
		body.CancelledAt = &ended
	case cicadajob.StateExpired:
		body.ExpiredAt = &ended
	}
	if view.GetCompleted() > 0 {
		id := outputPrefix + job.GetId()
		body.OutputFileID = &id
	}
	if view.GetFailed() > 0 {
		id := errorPrefix + job.GetId()
		body.ErrorFileID = &id
	}
	return body
}

// createBatch creates a batch job. It is idempotent even without an Idempotency-Key
// header: a repeated request of the same customer returns the existing job.
func (s *Server) createBatch(w http.ResponseWriter, r *http.Request, _ httprouter.Params, customer *cicadaconfig.ResolvedCustomer) error {
	data, err := s.readBody(w, r)
	if err != nil {
		return err
	}
	accepted, err := s.parseBatch(r, customer, data)
	if err != nil {
		return notRun(err)
	}
	if err := s.checkBatchQuota(r, customer, accepted); err != nil {
		return err
	}
	reply, err := s.Shards.Job(r.Context(), &cicadawire.JobRequest{
		Verb: cicadashard.VerbSubmit, Customer: customer.Name(), Job: accepted,
	})
	if err != nil {
		return err
	}
	return writeJSON(w, newBatchBody(reply.GetJobs()[0]))
}

func (s *Server) parseBatch(r *http.Request, customer *cicadaconfig.ResolvedCustomer, data []byte) (*cicadawire.JobAccepted, error) {
	var in batchRequest
	if err := json.Unmarshal(data, &in); err != nil {
		return nil, cicadaerror.New(cicadaerror.BadRequest, "body is not a valid JSON batch request: %s", err)
	}
	if !cicadacall.IsInferencePath(in.Endpoint) && !strings.HasPrefix(in.Endpoint, cicadacall.ServicePrefix) {
		return nil, cicadaerror.New(cicadaerror.Unprocessable, "endpoint must be %s, %s or a path below %s",
			cicadacall.PathCompletions, cicadacall.PathChat, cicadacall.ServicePrefix).Param("endpoint")
	}
	window, err := parseWindow(in.CompletionWindow)
	if err != nil {
		return nil, err
	}
	if len(in.Metadata) > maxMetadataBytes {
		return nil, cicadaerror.New(cicadaerror.TooLarge, "metadata is larger than %d bytes", maxMetadataBytes).Param("metadata")
	}
	meta, err := s.Files.Get(r.Context(), customer.Name(), in.InputFileID)
	if err != nil {
		return nil, err
	}
	if meta.GetLines() == 0 {
		return nil, cicadaerror.New(cicadaerror.Unprocessable, "the input file has no lines").Param("input_file_id")
	}
	digest := xxhash.Sum64String(strings.Join([]string{in.InputFileID, in.Endpoint, window.String(), string(in.Metadata)}, "\x00"))
	key := r.Header.Get(headerIdempotencyKey)
	if len(key) > maxKeyBytes {
		return nil, cicadaerror.New(cicadaerror.BadRequest, "%s is longer than %d bytes", headerIdempotencyKey, maxKeyBytes)
	}
	if key == "" {
		key = "content-" + strconv.FormatUint(digest, 16)
	}
	now := time.Now()
	return &cicadawire.JobAccepted{
		Id:        jobID(customer.Name(), key),
		Customer:  customer.Name(),
		Key:       key,
		Digest:    digest,
		File:      in.InputFileID,
		Path:      in.Endpoint,
		Items:     meta.GetLines(),
		CreatedMs: now.UnixMilli(),
		DueMs:     now.Add(window).UnixMilli(),
		Metadata:  string(in.Metadata),
		Window:    in.CompletionWindow,
	}, nil
}

// jobID derives a job's ID from the customer and the key, so that a repeated
// request gets the same ID at every entry.
func jobID(customer, key string) string {
	sum := sha256.Sum256([]byte(customer + "\x00" + key))
	return "batch-" + hex.EncodeToString(sum[:jobIDBytes])
}

func parseWindow(text string) (time.Duration, error) {
	if text == "" {
		return defaultCompletionWindow, nil
	}
	window, err := time.ParseDuration(text)
	if err != nil || window < minCompletionWindow || window > maxCompletionWindow {
		return 0, cicadaerror.New(cicadaerror.Unprocessable, "completion_window must be a duration such as 24h, from %s to %s", minCompletionWindow, maxCompletionWindow).
			Param("completion_window")
	}
	return window, nil
}

// checkBatchQuota rejects a job that would exceed the customer's limit of batch
// items in 24 hours. A job that exists already is not rejected.
func (s *Server) checkBatchQuota(r *http.Request, customer *cicadaconfig.ResolvedCustomer, accepted *cicadawire.JobAccepted) error {
	limit := customer.Parameters().BatchItemsPerDay
	if limit == 0 {
		return nil
	}
	total := accepted.GetItems()
	after := ""
	for {
		reply, err := s.Shards.Job(r.Context(), &cicadawire.JobRequest{Verb: cicadashard.VerbList, Customer: customer.Name(), After: after})
		if err != nil {
			return err
		}
		for _, view := range reply.GetJobs() {
			after = view.GetJob().GetId()
			if after == accepted.GetId() {
				return nil
			}
			if view.GetJob().GetCreatedMs() > accepted.GetCreatedMs()-msPerDay {
				total += view.GetJob().GetItems()
			}
		}
		if !reply.GetMore() {
			break
		}
	}
	if total > limit {
		return cicadaerror.New(cicadaerror.RateLimited, "%d batch items in 24 hours would exceed the limit of %d", total, limit).
			NotRun().RetryAfter(time.Hour)
	}
	return nil
}

// job returns a customer's job.
func (s *Server) job(r *http.Request, customer *cicadaconfig.ResolvedCustomer, id string) (*cicadawire.JobView, error) {
	reply, err := s.Shards.Job(r.Context(), &cicadawire.JobRequest{Verb: cicadashard.VerbGet, Customer: customer.Name(), Id: id})
	if err != nil {
		return nil, err
	}
	return reply.GetJobs()[0], nil
}

func (s *Server) getBatch(w http.ResponseWriter, r *http.Request, ps httprouter.Params, customer *cicadaconfig.ResolvedCustomer) error {
	view, err := s.job(r, customer, ps.ByName("id"))
	if err != nil {
		return err
	}
	return writeJSON(w, newBatchBody(view))
}

func (s *Server) listBatches(w http.ResponseWriter, r *http.Request, _ httprouter.Params, customer *cicadaconfig.ResolvedCustomer) error {
	limit := defaultPageSize
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n <= 0 {
			return cicadaerror.New(cicadaerror.BadRequest, "limit must be a positive integer").Param("limit")
		}
		limit = n
	}
	reply, err := s.Shards.Job(r.Context(), &cicadawire.JobRequest{
		Verb: cicadashard.VerbList, Customer: customer.Name(), After: r.URL.Query().Get("after"), Limit: int32(min(limit, 1<<20)),
	})
	if err != nil {
		return err
	}
	list := listBody[batchBody]{Object: "list", Data: []batchBody{}, HasMore: reply.GetMore()}
	for _, view := range reply.GetJobs() {
		list.Data = append(list.Data, newBatchBody(view))
	}
	return writeJSON(w, list)
}

func (s *Server) cancelBatch(w http.ResponseWriter, r *http.Request, ps httprouter.Params, customer *cicadaconfig.ResolvedCustomer) error {
	reply, err := s.Shards.Job(r.Context(), &cicadawire.JobRequest{
		Verb: cicadashard.VerbCancel, Customer: customer.Name(), Id: ps.ByName("id"),
	})
	if err != nil {
		return err
	}
	return writeJSON(w, newBatchBody(reply.GetJobs()[0]))
}

type resultLine struct {
	ID       string          `json:"id"`
	CustomID string          `json:"custom_id"`
	Response *resultResponse `json:"response"`
	Error    *resultError    `json:"error"`
}

type resultResponse struct {
	StatusCode int32           `json:"status_code"`
	RequestID  string          `json:"request_id"`
	Body       json.RawMessage `json:"body"`
}

type resultError struct {
	Code     string `json:"code"`
	Message  string `json:"message"`
	Attempts int32  `json:"attempts"`
}

func newResultLine(item *cicadawire.ItemDone) resultLine {
	id := item.GetJob() + "-" + strconv.FormatInt(item.GetIndex(), 10)
	line := resultLine{ID: id, CustomID: item.GetCustomId()}
	line.Response = &resultResponse{StatusCode: item.GetStatus(), RequestID: id, Body: json.RawMessage(item.GetBody())}
	if len(item.GetBody()) == 0 {
		line.Response.Body = json.RawMessage("null")
	}
	if !item.GetFailed() {
		return line
	}
	var body cicadaerror.Body
	_ = json.Unmarshal(item.GetBody(), &body)
	message := body.Error.Message
	if message == "" {
		message = "status " + strconv.Itoa(int(item.GetStatus()))
	}
	line.Error = &resultError{Code: item.GetCode(), Message: message, Attempts: item.GetAttempts()}
	return line
}

// writeResults streams the successful or the failed results of a job as JSON
// lines.
func (s *Server) writeResults(w http.ResponseWriter, r *http.Request, customer *cicadaconfig.ResolvedCustomer, id string, failed bool) error {
	view, err := s.job(r, customer, id)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/jsonl")
	body := &countingWriter{w: w}
	encoder := json.NewEncoder(body)
	err = s.Shards.Results(r.Context(), view, func(item *cicadawire.ItemDone) error {
		if item.GetFailed() != failed {
			return nil
		}
		return encoder.Encode(newResultLine(item))
	})
	if err != nil {
		return abortIfStarted(body, w, err)
	}
	return nil
}
