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
	idleConnections = 256
	idleTimeout     = 90 * time.Second
	dialLimit       = time.Second
	plainChunk      = 32 << 10
	healthLimit     = time.Second
	bodyLimit       = 64 << 10
)

func init() {
	Adapters.Register("plain", openPlain)
}

type httpEngine struct {
	base   string
	client *http.Client
}

func newHTTPEngine(address string) httpEngine {
	dialer := &net.Dialer{Timeout: dialLimit}
	transport := &http.Transport{
		MaxIdleConnsPerHost: idleConnections,
		IdleConnTimeout:     idleTimeout,
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
	}
	return httpEngine{base: strings.TrimSuffix(address, "/"), client: &http.Client{Transport: transport}}
}

func (e httpEngine) healthy(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, healthLimit)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.base+"/health", nil)
	if err != nil {
		return false
	}
	res, err := e.client.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, io.LimitReader(res.Body, bodyLimit))
	_ = res.Body.Close()
	return res.StatusCode < http.StatusInternalServerError
}

// do sends a request once. It never repeats one by itself, because the engine
// may have run it.
func (e httpEngine) do(ctx context.Context, method, path string, headers []*cicadawire.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, e.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, &RefusedError{Status: http.StatusBadRequest, Message: "bad path or method"}
	}
	withoutReplay(req, body)
	for _, h := range headers {
		req.Header.Add(h.GetName(), h.GetValue())
	}
	res, err := e.client.Do(req)
	if err == nil {
		return res, nil
	}
	return nil, classify(ctx, err)
}

// withoutReplay keeps the transport from sending a request again by itself. It
// would do so on a broken connection for a GET, for a body that can be rewound,
// and for any request with an Idempotency-Key and no body.
func withoutReplay(req *http.Request, body []byte) {
	req.GetBody = nil
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.ContentLength = int64(len(body))
}

func classify(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return merry.Errorf("call engine: %w", context.Cause(ctx))
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return merry.Errorf("call engine: %w: %w", ErrNotStarted, err)
	}
	return merry.Errorf("call engine: %w: %w", ErrDied, err)
}

type plainEngine struct {
	httpEngine
}

func openPlain(address string) (*Engine, error) {
	e := plainEngine{newHTTPEngine(address)}
	return &Engine{Run: e.run, Healthy: e.healthy}, nil
}

// hopHeaders are those of one connection; they are not passed on.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// EndToEnd returns the headers of h that are meant for the other end.
func EndToEnd(h http.Header) []*cicadawire.Header {
	var kept []*cicadawire.Header
	for name, values := range h {
		if hopHeaders[name] {
			continue
		}
		for _, value := range values {
			kept = append(kept, &cicadawire.Header{Name: name, Value: value})
		}
	}
	return kept
}

func (e plainEngine) run(ctx context.Context, call *cicadawire.Call, emit func(Chunk) error) (Result, error) {
	res, err := e.do(ctx, call.GetMethod(), call.GetPath(), call.GetHeaders(), call.GetBody())
	if err != nil {
		return Result{}, err
	}
	defer res.Body.Close()
	if err := emit(Chunk{Head: true, Status: res.StatusCode, Headers: EndToEnd(res.Header)}); err != nil {
		return Result{}, err
	}
	buf := make([]byte, plainChunk)
	for {
		n, err := res.Body.Read(buf)
		if n > 0 {
			if err := emit(Chunk{Data: bytes.Clone(buf[:n])}); err != nil {
				return Result{}, err
			}
		}
		if errors.Is(err, io.EOF) {
			return Result{Finish: "stop"}, nil
		}
		if err != nil {
			return Result{}, classify(ctx, err)
		}
	}
}
