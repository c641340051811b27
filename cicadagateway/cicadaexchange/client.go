// Package cicadaexchange is an HTTP/1.1 client for requests to endpoints over
// pooled connections. Unlike net/http, it distinguishes requests that were certainly
// not sent from those that an endpoint may have run, never retries a request, and
// rejects responses that belong to another request.
//
// # Usage
//
//	client := cicadaexchange.NewClient()
//	res, err := client.Do(ctx, "10.1.0.38:8147", cicadaexchange.Request{
//		Method: "POST", Target: "/quotes/7", Host: "desk.example", Header: h, Body: body,
//		EchoHeader: "X-Request-Id",
//	})
//	if errors.Is(err, cicadaexchange.ErrNotSent) { ... it can be sent to another endpoint ... }
//	defer res.Close()
//
// An endpoint may start anew under its address. A request may ask which incarnation responds, and
// may be meant for one of them, see Identification.
//
// A connection returns to the pool once its response was read completely and no
// further bytes follow.
package cicadaexchange

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadakernel/cicadamemory"
)

// Errors returned by Do and when reading a response.
var (
	// ErrNotSent reports that no byte of the request was sent.
	ErrNotSent = merry.Sentinel("cicadaexchange: request not sent")
	// ErrInvalidResponse reports that there is no complete and valid response to a request
	// that was sent. The endpoint may have run the request.
	ErrInvalidResponse = merry.Sentinel("cicadaexchange: invalid response")
	// ErrTooLarge reports a response header or body beyond its limit.
	ErrTooLarge = merry.Sentinel("cicadaexchange: response too large")
)

const (
	defaultDialTimeout  = 300 * time.Millisecond
	tcpUserTimeout      = 2 * time.Second // how long sent data may remain unacknowledged
	defaultIdleTimeout  = 4 * time.Second
	keepAliveMargin     = 500 * time.Millisecond // between the expiry in the pool and the endpoint's close
	maxIdlePerAddress   = 16
	maxSkippedResponses = 4        // informational responses and responses to other requests
	maxSkippedBodyBytes = 1 << 20  // of a response to another request
	maxFailedIDs        = 32       // of a connection, see conn.failedIDs
	maxHeaderBytes      = 64 << 10 // of a response
	maxDiscardedBytes   = 64 << 10 // of a body that nobody needs
	readBufferSize      = 4 << 10
)

// keepAliveConfig detects a dead connection within about three seconds.
var keepAliveConfig = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// A Request is a request to an endpoint.
type Request struct {
	Method string
	// Target is the path and query, which are sent unchanged.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// EchoHeader is the name of a header that the endpoint repeats in its response.
	// A response with another value belongs to another request.
	EchoHeader string
	// DeadlineHeader, if set, is the name of a header for the milliseconds that are left until
	// Deadline when the request is sent.
	DeadlineHeader string
	Deadline       time.Time
	// ConnectTimeout limits the time to open a connection. The client's own limit also applies. 0
	// means no further limit.
	ConnectTimeout time.Duration
	// Identify makes Do find out which incarnation of the endpoint responds, see
	// Response.StartedMs.
	Identify bool
	// StartedMs, if not 0, is the start of the only incarnation that may get the request. An
	// endpoint that states another start does not get it, and Do fails with ErrOtherIncarnation.
	// It requires Identify.
	StartedMs int64
	// SameProcess is set if the request is meant for the process that had the former connections
	// of this client. If the endpoint does not state its start, and that process has closed all
	// connections that were idle, Do fails with ErrOtherIncarnation.
	SameProcess bool
}

// id returns the value that identifies the request's response, or "".
func (r Request) id() string {
	if r.EchoHeader == "" {
		return ""
	}
	return r.Header.Get(r.EchoHeader)
}

// A Client sends requests and pools idle connections by address. It is safe for
// concurrent use.
type Client struct {
	mu        sync.Mutex
	idle      map[string][]*conn // by address, the most recently used last
	dial      func(ctx context.Context, address string) (net.Conn, error)
	onConnect func()
	onLost    func(address string)

	identification Identification
	starts         *startMemory
	memory         *cicadamemory.Budget
}

// An Option configures a Client.
type Option func(*Client)

// WithDial sets the function that opens connections.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(c *Client) { c.dial = dial }
}

// WithOnConnect sets a function that is called for each new connection.
func WithOnConnect(onConnect func()) Option {
	return func(c *Client) { c.onConnect = onConnect }
}

// WithMemory sets the budget for the bytes of responses. A response that exceeds it fails with
// cicadamemory.ErrExhausted and ErrInvalidResponse, and its connection is closed. The default is
// a budget of the default size.
func WithMemory(memory *cicadamemory.Budget) Option {
	return func(c *Client) { c.memory = memory }
}

// NewClient returns a Client without connections.
func NewClient(opts ...Option) *Client {
	dialer := &net.Dialer{Timeout: defaultDialTimeout, KeepAliveConfig: keepAliveConfig, Control: setTCPUserTimeout}
	c := &Client{
		idle: make(map[string][]*conn),
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		onConnect: func() {}, onLost: func(string) {}, starts: newStartMemory(),
		memory: cicadamemory.NewBudget(0),
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Response wraps the http.Response of an endpoint. Its body is read with Read, and
// Close must be called.
type Response struct {
	*http.Response
	client     *Client
	conn       *conn
	stopCancel func() bool // stops closing the connection when the context ends
	id         string      // of the request
	complete   bool        // the body was read to its end
	framed     bool        // see Framed
	closed     bool
}

// Do sends a request and returns its response once the header was read. When ctx
// ends, the connection is closed, which cancels the request at the endpoint.
func (c *Client) Do(ctx context.Context, address string, req Request) (*Response, error) {
	if err := req.Validate(); err != nil {
		return nil, merry.Errorf("%w: %w", ErrNotSent, err)
	}
	cn, err := c.connect(ctx, address, req)
	if err != nil {
		return nil, err
	}
	cn.limit.activeAt = time.Now()
	stopCancel := context.AfterFunc(ctx, cn.cancel)
	if _, err := cn.Write(req.encode()); err != nil {
		stopCancel()
		c.abandon(cn)
		return nil, merry.Errorf("send request to %s: %w: %w", address, ErrInvalidResponse, err)
	}
	res, err := cn.readResponse(req)
	if err != nil {
		stopCancel()
		c.abandon(cn)
		return nil, merry.Errorf("read response from %s: %w: %w", address, ErrInvalidResponse, err)
	}
	return &Response{
		Response: res, client: c, conn: cn, stopCancel: stopCancel, id: req.id(),
		framed: res.ContentLength >= 0 || len(res.TransferEncoding) > 0,
	}, nil
}

// connect returns a connection for a request.
func (c *Client) connect(ctx context.Context, address string, req Request) (*conn, error) {
	if req.Identify && c.identification.Decode != nil {
		return c.getIdentifiedConn(ctx, address, req)
	}
	cn, err := c.getConn(ctx, address, req)
	if err == nil && req.SameProcess && cn.replacesLost {
		c.putIdle(cn, defaultIdleTimeout)
		return nil, merry.Errorf("%s closed all idle connections: %w: %w", address, ErrOtherIncarnation, ErrNotSent)
	}
	return cn, err
}

// encode returns the request in wire format.
func (r Request) encode() []byte {
	size := 256 + len(r.Body)
	for name, values := range r.Header {
		for _, v := range values {
			size += len(name) + len(v) + 4
		}
	}
	b := make([]byte, 0, size)
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if r.DeadlineHeader != "" {
		b = append(b, r.DeadlineHeader...)
		b = append(b, ": "...)
		b = strconv.AppendInt(b, max(time.Until(r.Deadline).Milliseconds(), 1), 10)
		b = append(b, "\r\n"...)
	}
	if len(r.Body) > 0 || r.Method == http.MethodPost || r.Method == http.MethodPut {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, r.Body...)
}

// readResponse reads the response header. It skips responses to other requests,
// because an endpoint may have sent an earlier response twice.
func (cn *conn) readResponse(req Request) (res *http.Response, err error) {
	defer func() {
		cn.limit.limited = false
		if err != nil {
			_ = cn.Close() // before others may use its memory
			cn.limit.held.Release()
		}
	}()
	for range maxSkippedResponses {
		cn.limit.begin()
		res, err := http.ReadResponse(cn.r, &http.Request{Method: req.Method})
		if err != nil {
			return nil, merry.Errorf("read header: %w", err)
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		if req.EchoHeader == "" {
			return res, nil
		}
		echo := res.Header.Get(req.EchoHeader)
		if echo == req.id() || echo == "" && !cn.reused {
			return res, nil
		}
		if echo == "" {
			return nil, merry.Errorf("response without %s on a reused connection: %w", req.EchoHeader, ErrInvalidResponse)
		}
		cn.limit.limited = false
		if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxSkippedBodyBytes)); err != nil || res.Close {
			return nil, merry.Errorf("response belongs to request %s: %w", echo, ErrInvalidResponse)
		}
	}
	return nil, merry.Errorf("too many responses to other requests: %w", ErrInvalidResponse)
}

// Read reads from the body. It returns io.EOF only at the end of a complete body.
func (r *Response) Read(p []byte) (int, error) {
	n, err := r.Body.Read(p)
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		r.complete = true
		return n, io.EOF
	}
	if err != nil {
		r.client.abandon(r.conn)
		return n, merry.Errorf("read body: %w: %w", ErrInvalidResponse, err)
	}
	return n, nil
}

// ReadAll reads the body to its end. It fails with ErrTooLarge beyond limit bytes. The memory of
// the body must be released.
func (r *Response) ReadAll(limit int64) (*cicadamemory.Buffer, error) {
	body := r.client.memory.NewBuffer()
	err := body.ReadAll(r, limit)
	if err == nil {
		return body, nil
	}
	_ = r.conn.Close() // before others may use its memory
	body.Release()
	switch {
	case errors.Is(err, cicadamemory.ErrTooLarge):
		return nil, merry.Errorf("body: %w: %w", ErrInvalidResponse, ErrTooLarge)
	case errors.Is(err, cicadamemory.ErrExhausted):
		return nil, merry.Errorf("body: %w: %w", ErrInvalidResponse, err)
	}
	return nil, err
}

// Memory returns the budget for the bytes of responses.
func (r *Response) Memory() *cicadamemory.Budget { return r.client.memory }

// Discard reads the rest of a short body, so that the connection can be reused. After a
// long one, Close closes the connection.
func (r *Response) Discard() { _, _ = io.CopyN(io.Discard, r, maxDiscardedBytes) }

// StartedMs returns the start of the incarnation of the endpoint that sent the response, in Unix
// milliseconds. It is 0 if the request does not ask for it or the endpoint states none, and
// UnknownStart if the endpoint has done so on other connections only.
func (r *Response) StartedMs() int64 { return r.conn.startedMs }

// Framed reports whether the response has a Content-Length or a transfer encoding.
// If not, its body ends when the connection is closed.
func (r *Response) Framed() bool { return r.framed }

// Close returns the connection to the pool, or closes it if it cannot be reused. If
// the response was not read completely, this cancels the request at the endpoint.
func (r *Response) Close() {
	if r.closed {
		return
	}
	r.closed = true
	open := r.stopCancel()
	if r.id != "" && r.StatusCode != http.StatusOK {
		r.conn.failedIDs = append(r.conn.failedIDs, r.id)
	}
	if !open || !r.complete || !r.framed || r.Response.Close || r.conn.r.Buffered() > 0 || len(r.conn.failedIDs) > maxFailedIDs {
		_ = r.conn.Close()
		r.conn.limit.held.Release()
		return
	}
	r.conn.limit.held.Release()
	r.client.putIdle(r.conn, idleTimeout(r.Header))
}

// RefusedConnection reports whether an error of Do means that the endpoint refused the
// connection, so that no process listens at its address.
func RefusedConnection(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }

// ConnectionTimedOut reports whether an error of Do means that no connection could be opened in time.
func ConnectionTimedOut(err error) bool {
	var netErr net.Error
	return errors.Is(err, ErrNotSent) && errors.As(err, &netErr) && netErr.Timeout()
}
