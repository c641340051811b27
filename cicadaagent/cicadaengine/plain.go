package cicadaengine

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadakernel/cicadawire"
)

const (
	maxIdleConnections    = 256
	idleConnectionTimeout = 90 * time.Second
	dialTimeout           = time.Second
	readBufferBytes       = 32 << 10
	// pollTimeout limits health checks and requests for load reports.
	pollTimeout = time.Second
	// maxBodyBytes limits the header of a response, and the body of one that is not streamed.
	maxBodyBytes = 64 << 10
)

func init() {
	Adapters.Register("plain", openPlain)
}

// engineClient is the HTTP client that both adapters use.
type engineClient struct {
	baseURL string
	client  *http.Client
}

func newEngineClient(address string) engineClient {
	dialer := &net.Dialer{Timeout: dialTimeout}
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleConnectionTimeout,
		DialContext:         dialer.DialContext,
		DisableCompression:  true,

		MaxResponseHeaderBytes: maxBodyBytes,
	}
	return engineClient{baseURL: strings.TrimSuffix(address, "/"), client: &http.Client{Transport: transport}}
}

// healthy reports whether the engine responds to a health check with a status below
// 500.
func (c engineClient) healthy(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+"/health", nil)
	if err != nil {
		return false
	}
	res, err := c.client.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, maxBodyBytes))
	_ = res.Body.Close()
	return res.StatusCode < http.StatusInternalServerError
}

// do sends a request. It never retries one, because the engine may have executed it.
func (c engineClient) do(ctx context.Context, method, path string, headers []*cicadawire.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return nil, &RefusedError{Status: http.StatusBadRequest, Message: "invalid path or method"}
	}
	disableTransportRetry(req, body)
	for _, h := range headers {
		req.Header.Add(h.GetName(), h.GetValue())
	}
	res, err := c.client.Do(req)
	if err == nil {
		return res, nil
	}
	return nil, transportError(ctx, err)
}

// disableTransportRetry prevents http.Transport from retrying a request after a
// connection failure. Without it, the transport retries GET requests, requests whose
// body can be rewound, and requests with an Idempotency-Key header and no body.
func disableTransportRetry(req *http.Request, body []byte) {
	req.GetBody = nil
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.ContentLength = int64(len(body))
}

// transportError returns the error for a failed request, or for a failure to read its
// response. It wraps the cause of ctx if ctx has ended, ErrUnreachable or ErrBusy if no
// connection could be opened, and otherwise ErrCrashed.
func transportError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return merry.Errorf("call engine: %w", context.Cause(ctx))
	}
	if errors.Is(err, ErrUnreachable) || errors.Is(err, ErrBusy) {
		return merry.Errorf("call engine: %w", err)
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return merry.Errorf("call engine: %w: %w", ErrUnreachable, err)
	}
	return merry.Errorf("call engine: %w: %w", ErrCrashed, err)
}

type plainEngine struct {
	engineClient
}

func openPlain(address string) (*Engine, error) {
	e := plainEngine{newEngineClient(address)}
	return &Engine{Run: e.run, Healthy: e.healthy}, nil
}

// hopByHopHeaders are the headers that apply to a single connection and are not
// forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// ForwardedHeaders returns the headers of h that are to be forwarded.
func ForwardedHeaders(h http.Header) []*cicadawire.Header {
	var headers []*cicadawire.Header
	for name, values := range h {
		if hopByHopHeaders[name] {
			continue
		}
		for _, value := range values {
			headers = append(headers, &cicadawire.Header{Name: name, Value: value})
		}
	}
	return headers
}

func (e plainEngine) run(ctx context.Context, call *cicadawire.Call, emit func(Chunk) error) (Result, error) {
	res, err := e.do(ctx, call.GetMethod(), call.GetPath(), call.GetHeaders(), call.GetBody())
	if err != nil {
		return Result{}, err
	}
	defer res.Body.Close()
	if err := emit(Chunk{Head: true, Status: res.StatusCode, Headers: ForwardedHeaders(res.Header)}); err != nil {
		return Result{}, err
	}
	buf := make([]byte, readBufferBytes)
	for {
		n, err := res.Body.Read(buf)
		if n > 0 {
			if err := emit(Chunk{Data: bytes.Clone(buf[:n])}); err != nil {
				return Result{}, err
			}
		}
		if errors.Is(err, io.EOF) {
			return Result{FinishReason: "stop"}, nil
		}
		if err != nil {
			return Result{}, transportError(ctx, err)
		}
	}
}
