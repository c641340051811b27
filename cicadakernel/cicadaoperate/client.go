package cicadaoperate

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"mime/multipart"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadakernel/cicadaerror"
)

const (
	// maxErrorBody limits the size of an error response, in bytes.
	maxErrorBody = 1 << 20
	dialTimeout  = 5 * time.Second
	// responseTimeout is how long a response may take to begin once the request was sent. Entries
	// take up to 20 s for an operation.
	responseTimeout = 30 * time.Second
)

// A Client calls an entry with the key of an operator or of a customer. If the entry
// responds with an error, the client's error wraps it as a *cicadaerror.Error.
type Client struct {
	base   string
	key    string
	client *http.Client
}

// A ClientOption configures a Client.
type ClientOption func(*Client)

// WithTLS sets the TLS configuration.
func WithTLS(cfg *tls.Config) ClientOption {
	return func(c *Client) {
		transport := newTransport()
		transport.TLSClientConfig = cfg
		c.client.Transport = transport
	}
}

// newTransport returns a http.Transport that does not wait for a silent entry without end.
func newTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{DialContext: dialer.DialContext, ResponseHeaderTimeout: responseTimeout}
}

// NewClient returns a client of the entry at a base URL. The key is sent as a bearer
// token.
func NewClient(base, key string, opts ...ClientOption) *Client {
	transport := newTransport()
	transport.Proxy = http.ProxyFromEnvironment
	c := &Client{base: strings.TrimSuffix(base, "/"), key: key, client: &http.Client{Transport: transport}}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Apply creates, replaces and deletes resources in one change.
func (c *Client) Apply(ctx context.Context, req ApplyRequest) (*Change, error) {
	return call[Change](ctx, c, http.MethodPost, PathApply, req)
}

// RollBack makes a change that restores all resources to their state at a revision.
func (c *Client) RollBack(ctx context.Context, req RollBackRequest) (*Change, error) {
	return call[Change](ctx, c, http.MethodPost, PathRollBack, req)
}

// Resources returns the current resources of a kind and name. An empty kind or name
// matches all.
func (c *Client) Resources(ctx context.Context, kind, name string) (*Resources, error) {
	q := url.Values{"kind": {kind}, "name": {name}}
	return call[Resources](ctx, c, http.MethodGet, PathResources+"?"+q.Encode(), nil)
}

// Audit returns the changes starting with revision from, or the latest changes if
// from is 0, of resources of a kind and name. An empty kind or name matches all.
func (c *Client) Audit(ctx context.Context, from int64, kind, name string) (*AuditTrail, error) {
	q := url.Values{"kind": {kind}, "name": {name}}
	if from > 0 {
		q.Set("from", strconv.FormatInt(from, 10))
	}
	return call[AuditTrail](ctx, c, http.MethodGet, PathAudit+"?"+q.Encode(), nil)
}

// Status returns the status of all entries and agents.
func (c *Client) Status(ctx context.Context) (*Status, error) {
	return call[Status](ctx, c, http.MethodGet, PathStatus, nil)
}

// DrainVM drains an endpoint: it finishes its running calls and gets no new ones. If
// stop is set its agent exits afterwards.
func (c *Client) DrainVM(ctx context.Context, name string, stop bool) (*DrainResult, error) {
	verb := "drain"
	if stop {
		verb = "stop"
	}
	return call[DrainResult](ctx, c, http.MethodPost, PathVMs+"/"+url.PathEscape(name)+"/"+verb, nil)
}

// A Batch is a batch job.
type Batch struct {
	ID           string `json:"id"`
	Customer     string `json:"customer,omitempty"`
	Endpoint     string `json:"endpoint"`
	InputFileID  string `json:"input_file_id"`
	Status       string `json:"status"`
	OutputFileID string `json:"output_file_id"`
	ErrorFileID  string `json:"error_file_id"`
	CreatedAt    int64  `json:"created_at"`
	ExpiresAt    int64  `json:"expires_at"`
	Counts       struct {
		Total     int64 `json:"total"`
		Completed int64 `json:"completed"`
		Failed    int64 `json:"failed"`
	} `json:"request_counts"`
}

// Ended reports whether the job has ended.
func (b *Batch) Ended() bool { return b.Status != "in_progress" && b.Status != "cancelling" }

// SubmitBatch uploads a file and starts a batch job for it. Submitting the same file
// for the same endpoint again returns the existing job, unless the idempotency key
// differs.
func (c *Client) SubmitBatch(ctx context.Context, name string, file io.Reader, endpoint, window, key string) (*Batch, error) {
	id, err := c.upload(ctx, name, file)
	if err != nil {
		return nil, err
	}
	body := map[string]string{"input_file_id": id, "endpoint": endpoint, "completion_window": window}
	headers := http.Header{}
	if key != "" {
		headers.Set("Idempotency-Key", key)
	}
	data, err := json.Marshal(body)
	if err != nil {
		return nil, merry.Errorf("encode batch: %w", err)
	}
	headers.Set("Content-Type", "application/json")
	var batch Batch
	if err := c.do(ctx, http.MethodPost, "/v1/batches", headers, bytes.NewReader(data), decodeInto(&batch)); err != nil {
		return nil, merry.Errorf("submit batch: %w", err)
	}
	return &batch, nil
}

// upload streams a file to the entry and returns its ID.
func (c *Client) upload(ctx context.Context, name string, file io.Reader) (string, error) {
	reader, writer := io.Pipe()
	form := multipart.NewWriter(writer)
	go func() { //nolint:revive // ends when the request does
		_ = form.WriteField("purpose", "batch")
		part, err := form.CreateFormFile("file", name)
		if err == nil {
			_, err = io.Copy(part, file)
		}
		if err == nil {
			err = form.Close()
		}
		writer.CloseWithError(err)
	}()
	defer reader.Close()
	headers := http.Header{"Content-Type": {form.FormDataContentType()}}
	var uploaded struct {
		ID string `json:"id"`
	}
	if err := c.do(ctx, http.MethodPost, "/v1/files", headers, reader, decodeInto(&uploaded)); err != nil {
		return "", merry.Errorf("upload file: %w", err)
	}
	return uploaded.ID, nil
}

// Batch returns one of the customer's jobs.
func (c *Client) Batch(ctx context.Context, id string) (*Batch, error) {
	return call[Batch](ctx, c, http.MethodGet, "/v1/batches/"+url.PathEscape(id), nil)
}

// CancelBatch cancels one of the customer's jobs.
func (c *Client) CancelBatch(ctx context.Context, id string) (*Batch, error) {
	return call[Batch](ctx, c, http.MethodPost, "/v1/batches/"+url.PathEscape(id)+"/cancel", nil)
}

// Batches returns the customer's latest jobs, at most 100.
func (c *Client) Batches(ctx context.Context) ([]Batch, error) {
	list, err := call[struct {
		Data []Batch `json:"data"`
	}](ctx, c, http.MethodGet, "/v1/batches?limit=100", nil)
	if err != nil {
		return nil, err
	}
	return list.Data, nil
}

// CustomerBatches returns the latest jobs of a customer, or of all customers if
// customer is empty. It needs an operator's key.
func (c *Client) CustomerBatches(ctx context.Context, customer string) ([]Batch, error) {
	list, err := call[struct {
		Data []Batch `json:"data"`
	}](ctx, c, http.MethodGet, PathJobs+"?customer="+url.QueryEscape(customer), nil)
	if err != nil {
		return nil, err
	}
	return list.Data, nil
}

// CancelCustomerBatch cancels a customer's job. It needs an operator's key.
func (c *Client) CancelCustomerBatch(ctx context.Context, customer, id string) (*Batch, error) {
	return call[Batch](ctx, c, http.MethodPost, PathJobs+"/"+url.PathEscape(id)+"/cancel?customer="+url.QueryEscape(customer), nil)
}

// DownloadFile writes a job's output or error file to w.
func (c *Client) DownloadFile(ctx context.Context, fileID string, w io.Writer) error {
	err := c.do(ctx, http.MethodGet, "/v1/files/"+url.PathEscape(fileID)+"/content", nil, nil, func(r io.Reader) error {
		_, err := io.Copy(w, r)
		return err
	})
	if err != nil {
		return merry.Errorf("download file: %w", err)
	}
	return nil
}

// call sends body as JSON, if it is not nil, and decodes the JSON response.
func call[T any](ctx context.Context, c *Client, method, path string, body any) (*T, error) {
	var reader io.Reader
	headers := http.Header{}
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return nil, merry.Errorf("encode request: %w", err)
		}
		reader = bytes.NewReader(data)
		headers.Set("Content-Type", "application/json")
	}
	var out T
	if err := c.do(ctx, method, path, headers, reader, decodeInto(&out)); err != nil {
		return nil, merry.Errorf("%s %s: %w", method, path, err)
	}
	return &out, nil
}

func decodeInto(v any) func(io.Reader) error {
	return func(r io.Reader) error { return json.NewDecoder(r).Decode(v) }
}

// do sends a request and passes the body of a successful response to decode.
func (c *Client) do(ctx context.Context, method, path string, headers http.Header, body io.Reader, decode func(io.Reader) error) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return merry.Errorf("build request: %w", err)
	}
	for name, values := range headers {
		req.Header[name] = values
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	res, err := c.client.Do(req)
	if err != nil {
		return merry.Errorf("send request: %w", err)
	}
	defer res.Body.Close()
	if res.StatusCode >= http.StatusBadRequest {
		return decodeError(res)
	}
	if err := decode(res.Body); err != nil {
		return merry.Errorf("read response: %w", err)
	}
	return nil
}

// decodeError returns the error of an error response.
func decodeError(res *http.Response) error {
	var body cicadaerror.Body
	if err := json.NewDecoder(io.LimitReader(res.Body, maxErrorBody)).Decode(&body); err != nil || body.Error.Code == "" {
		return merry.Errorf("entry responded with status %d", res.StatusCode)
	}
	return cicadaerror.New(body.Error.Code, "%s", body.Error.Message)
}

// String returns the kind and name of a reference.
func (r Reference) String() string { return fmt.Sprintf("%s/%s", r.Kind, r.Name) }
