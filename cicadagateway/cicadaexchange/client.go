// Package cicadaexchange sends requests to endpoints over kept HTTP/1.1
// connections. Unlike a general client it tells what was surely not sent from
// what an endpoint may have run, never repeats a request by itself, and takes no
// answer that belongs to another request.
//
// # Usage
//
//	client := cicadaexchange.NewClient()
//	answer, err := client.Do(ctx, "10.1.0.38:8147", cicadaexchange.Request{
//		Method: "POST", Target: "/quotes/7", Host: "desk.example", Header: h, Body: body,
//		EchoHeader: "X-Request-Id",
//	})
//	if errors.Is(err, cicadaexchange.ErrNotSent) { ... another endpoint may have it ... }
//	defer answer.Close()
//
// A connection goes back to the pool when its answer was read whole and nothing
// follows it.
package cicadaexchange

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"
)

// Errors of Do and of reading an answer.
var (
	// ErrNotSent reports that no byte of the request was sent.
	ErrNotSent = merry.Sentinel("cicadaexchange: request not sent")
	// ErrBroken reports that the request was sent and its answer did not come
	// whole; the endpoint may have run it.
	ErrBroken = merry.Sentinel("cicadaexchange: answer broken")
)

const (
	defaultDialTimeout = 300 * time.Millisecond
	userTimeout        = 2 * time.Second // unacknowledged data breaks a connection after this
	defaultIdle        = 4 * time.Second
	idleMargin         = 500 * time.Millisecond // before the time that the endpoint states
	maxIdlePerAddress  = 16
	maxStrayAnswers    = 4
	maxStrayBytes      = 1 << 20
	readBuffer         = 4 << 10
)

// endpointKeepAlive finds a silent connection within about three seconds.
var endpointKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// A Request is one request to an endpoint. The body is in memory.
type Request struct {
	Method string
	// Target is the path and query, sent as it is.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// EchoHeader names the header that the endpoint repeats in its answer.
	EchoHeader string
}

// A Client keeps idle connections by address. Its methods may be called by
// several goroutines.
type Client struct {
	mu     sync.Mutex
	idle   map[string][]*conn
	dialer func(ctx context.Context, address string) (net.Conn, error)
	opened func()
}

// An Option changes a Client as it is made.
type Option func(*Client)

// WithDial replaces the way that connections are made.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(c *Client) { c.dialer = dial }
}

// WithOpened calls a function for each new connection.
func WithOpened(opened func()) Option {
	return func(c *Client) { c.opened = opened }
}

// NewClient returns a client without connections.
func NewClient(opts ...Option) *Client {
	dialer := &net.Dialer{Timeout: defaultDialTimeout, KeepAliveConfig: endpointKeepAlive, Control: setUserTimeout}
	c := &Client{
		idle: make(map[string][]*conn),
		dialer: func(ctx context.Context, address string) (net.Conn, error) {
			return dialer.DialContext(ctx, "tcp", address)
		},
		opened: func() {},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}

type conn struct {
	net.Conn
	r       *bufio.Reader
	address string
	expires time.Time
	reused  bool
}

// An Answer is an endpoint's answer, whose body is read from it.
type Answer struct {
	*http.Response
	client *Client
	conn   *conn
	stop   func() bool
	whole  bool
	framed bool
	closed bool
}

// Do sends a request and returns the head of its answer. When ctx ends, the
// connection is closed, which ends the request at the endpoint.
func (c *Client) Do(ctx context.Context, address string, q Request) (*Answer, error) {
	k, err := c.take(ctx, address)
	if err != nil {
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = k.Close() })
	if _, err := k.Write(q.encode()); err != nil {
		stop()
		_ = k.Close()
		return nil, merry.Errorf("send to %s: %w: %w", address, ErrBroken, err)
	}
	res, err := k.readAnswer(q)
	if err != nil {
		stop()
		_ = k.Close()
		return nil, merry.Errorf("answer of %s: %w: %w", address, ErrBroken, err)
	}
	return &Answer{
		Response: res, client: c, conn: k, stop: stop,
		framed: res.ContentLength >= 0 || len(res.TransferEncoding) > 0,
	}, nil
}

func (q Request) encode() []byte {
	size := 256 + len(q.Body)
	for name, values := range q.Header {
		for _, v := range values {
			size += len(name) + len(v) + 4
		}
	}
	b := make([]byte, 0, size)
	b = append(b, q.Method...)
	b = append(b, ' ')
	b = append(b, q.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, q.Host...)
	b = append(b, "\r\n"...)
	for name, values := range q.Header {
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, v...)
			b = append(b, "\r\n"...)
		}
	}
	if len(q.Body) > 0 || q.Method == http.MethodPost || q.Method == http.MethodPut {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(q.Body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	return append(b, q.Body...)
}

// readAnswer reads the head of the answer. Answers with another request's id
// are read and dropped: an endpoint may have sent one twice.
func (k *conn) readAnswer(q Request) (*http.Response, error) {
	for range maxStrayAnswers {
		res, err := http.ReadResponse(k.r, &http.Request{Method: q.Method})
		if err != nil {
			return nil, merry.Errorf("read head: %w", err)
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		echo := res.Header.Get(q.EchoHeader)
		if q.EchoHeader == "" || echo == "" || echo == q.Header.Get(q.EchoHeader) {
			return res, nil
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxStrayBytes)); err != nil || res.Close {
			return nil, merry.Errorf("answer belongs to request %s: %w", echo, ErrBroken)
		}
	}
	return nil, merry.Errorf("only answers of other requests: %w", ErrBroken)
}

// Read reads from the body. It returns io.EOF only at the end of a whole body.
func (a *Answer) Read(p []byte) (int, error) {
	n, err := a.Body.Read(p)
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		a.whole = true
		return n, io.EOF
	}
	if err != nil {
		return n, merry.Errorf("read body: %w: %w", ErrBroken, err)
	}
	return n, nil
}

// Framed reports whether the answer says where its body ends. One that does
// not ends with its connection.
func (a *Answer) Framed() bool { return a.framed }

// Close releases the connection. One whose answer was not read whole is closed,
// which ends the request at the endpoint.
func (a *Answer) Close() {
	if a.closed {
		return
	}
	a.closed = true
	live := a.stop()
	if !live || !a.whole || !a.framed || a.Response.Close || a.conn.r.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	a.client.put(a.conn, idleTime(a.Header))
}

func idleTime(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return time.Duration(s)*time.Second - idleMargin
		}
	}
	return defaultIdle
}

func (c *Client) put(k *conn, idle time.Duration) {
	if idle <= 0 {
		_ = k.Close()
		return
	}
	k.expires = time.Now().Add(idle)
	k.reused = true
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[k.address]
	if len(list) >= maxIdlePerAddress {
		_ = list[0].Close()
		list = list[1:]
	}
	c.idle[k.address] = append(list, k)
}

// take returns the most recently used idle connection that is still good, or a
// new one.
func (c *Client) take(ctx context.Context, address string) (*conn, error) {
	for {
		k := c.pop(address)
		if k == nil {
			break
		}
		if k.quiet() {
			return k, nil
		}
		_ = k.Close()
	}
	raw, err := c.dialer(ctx, address)
	if err != nil {
		return nil, merry.Errorf("connect to %s: %w: %w", address, ErrNotSent, err)
	}
	c.opened()
	return &conn{Conn: raw, r: bufio.NewReaderSize(raw, readBuffer), address: address}, nil
}

func (c *Client) pop(address string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[address]
	now := time.Now()
	for len(list) > 0 {
		k := list[len(list)-1]
		list = list[:len(list)-1]
		c.idle[address] = list
		if now.Before(k.expires) {
			return k
		}
		_ = k.Close()
	}
	delete(c.idle, address)
	return nil
}

// quiet reports whether the idle connection is open and holds no stray bytes.
func (k *conn) quiet() bool {
	sc, ok := k.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && quiet
}

// Drop closes the idle connections to an address.
func (c *Client) Drop(address string) {
	c.mu.Lock()
	list := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, k := range list {
		_ = k.Close()
	}
}
