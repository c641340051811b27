package cicadaexchange

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/sys/unix"

	"cicadalink.example/cicadakernel/cicadamemory"
)

// A conn is a connection to an endpoint.
type conn struct {
	net.Conn
	limit   *headerLimit
	r       *bufio.Reader
	address string
	expires time.Time
	reused  bool
	// failedIDs are the ids of requests that got a response on this connection which was not
	// a success. An endpoint may send such a response once more, and the same request may be
	// sent to it again.
	failedIDs []string
	// startedMs is the start of the incarnation that accepted the connection, in Unix
	// milliseconds, or 0 if the endpoint has not stated it; see Identification.
	startedMs  int64
	identified bool // whether the endpoint has been asked for its start
	ended      bool // whether the endpoint has closed the connection after it stated its start
	// replacesLost is set if the endpoint had closed all idle connections when this one was opened.
	replacesLost bool
	canceled     atomic.Bool // by the end of a request's context
	abandoned    bool        // see Client.abandon
}

// cancel closes the connection at the end of a request's context.
func (cn *conn) cancel() {
	cn.canceled.Store(true)
	_ = cn.Close()
}

// headerFieldMemory is what a header field takes in memory besides its bytes.
const headerFieldMemory = 128 // bytes

// A headerLimit limits the bytes that are read from a connection for one response header,
// so that an endpoint that sends bytes without end cannot exhaust the memory, and reserves the
// memory of the header.
type headerLimit struct {
	net.Conn
	limited  bool
	left     int
	activeAt time.Time // when bytes were last received, or began to be awaited
	ended    bool      // whether the blank line after the header was read
	line     int       // bytes of an incomplete line
	held     *cicadamemory.Reservation
	err      error // after which nothing is read, as not all readers of headers stop at the first error
}

// begin begins a header. The memory of the one before is given back.
func (l *headerLimit) begin() {
	l.held.Release()
	l.limited, l.left, l.ended, l.line, l.err = true, maxHeaderBytes, false, 0, nil
}

// Read implements io.Reader.
func (l *headerLimit) Read(p []byte) (int, error) {
	if !l.limited {
		return l.read(p)
	}
	if l.left <= 0 {
		l.err = ErrTooLarge
	}
	if l.err != nil {
		return 0, l.err
	}
	n, err := l.read(p[:min(len(p), l.left)])
	l.left -= n
	if l.err = l.held.Grow(l.headerMemory(p[:n])); l.err != nil {
		return 0, l.err
	}
	return n, err
}

func (l *headerLimit) read(p []byte) (int, error) {
	n, err := l.Conn.Read(p)
	if n > 0 {
		l.activeAt = time.Now()
	}
	return n, err
}

// headerMemory returns what the part of the received bytes that belongs to the header takes in
// memory.
func (l *headerLimit) headerMemory(b []byte) int64 {
	size := 0
	for len(b) > 0 && !l.ended {
		line, rest, complete := bytes.Cut(b, []byte("\n"))
		size += len(line)
		l.line += len(line)
		if complete {
			size += headerFieldMemory
			l.ended = l.line <= len("\r")
			l.line = 0
		}
		b = rest
	}
	return int64(size)
}

// setTCPUserTimeout sets TCP_USER_TIMEOUT, so that a connection fails if sent data
// is not acknowledged in time.
func setTCPUserTimeout(_, _ string, raw syscall.RawConn) error {
	var sockErr error
	err := raw.Control(func(fd uintptr) {
		sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	return errors.Join(err, sockErr)
}

// idleTimeout returns how long a connection may stay idle and still be reused. It is
// derived from the timeout in the Keep-Alive header of the response.
func idleTimeout(h http.Header) time.Duration {
	for part := range strings.SplitSeq(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return time.Duration(s)*time.Second - keepAliveMargin
		}
	}
	return defaultIdleTimeout
}

// putIdle adds a connection to the pool. A full pool closes the connection that has
// been idle for longest.
func (c *Client) putIdle(cn *conn, timeout time.Duration) {
	if timeout <= 0 {
		_ = cn.Close()
		return
	}
	cn.expires = time.Now().Add(timeout)
	cn.reused, cn.replacesLost = true, false
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[cn.address]
	if len(list) >= maxIdlePerAddress {
		_ = list[0].Close()
		list = list[1:]
	}
	c.idle[cn.address] = append(list, cn)
}

// getConn returns the most recently used idle connection that is reusable for the request, or a new
// connection.
func (c *Client) getConn(ctx context.Context, address string, req Request) (*conn, error) {
	lost := false
	for {
		cn := c.popIdle(address, req)
		if cn == nil {
			break
		}
		if cn.reusable() {
			return cn, nil
		}
		lost = true
		_ = cn.Close()
	}
	if lost {
		c.onLost(address)
	}
	raw, err := c.dialWithin(ctx, address, req.ConnectTimeout)
	if err != nil {
		return nil, merry.Errorf("connect to %s: %w: %w", address, ErrNotSent, err)
	}
	c.onConnect()
	cn := c.newConn(raw, address)
	cn.replacesLost = lost
	return cn, nil
}

// newConn returns a connection that was opened to an address.
func (c *Client) newConn(raw net.Conn, address string) *conn {
	limit := &headerLimit{Conn: raw, held: c.memory.Reserve()}
	return &conn{Conn: raw, limit: limit, r: bufio.NewReaderSize(limit, readBufferSize), address: address}
}

// dialWithin opens a connection within a time limit. A limit of 0 means none.
func (c *Client) dialWithin(ctx context.Context, address string, limit time.Duration) (net.Conn, error) {
	if limit <= 0 {
		return c.dial(ctx, address)
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	return c.dial(ctx, address)
}

// popIdle takes from the pool the most recently used idle connection on which the request has not
// failed and which does not lead to another incarnation than it is meant for. It returns nil if
// there is none, and closes the expired connections it finds.
func (c *Client) popIdle(address string, req Request) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	list := slices.DeleteFunc(c.idle[address], func(cn *conn) bool {
		expired := !now.Before(cn.expires)
		if expired {
			_ = cn.Close()
		}
		return expired
	})
	var found *conn
	for i := len(list) - 1; i >= 0; i-- {
		if !slices.Contains(list[i].failedIDs, req.id()) && list[i].mayServe(req) {
			found = list[i]
			list = slices.Delete(list, i, i+1)
			break
		}
	}
	c.idle[address] = list
	if len(list) == 0 {
		delete(c.idle, address)
	}
	return found
}

// reusable reports whether an idle connection is open and has no unread bytes.
func (cn *conn) reusable() bool {
	sc, ok := cn.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	reusable := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		reusable = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && reusable
}

// mayServe reports whether a connection is not known to lead to another incarnation than a request is
// meant for.
func (cn *conn) mayServe(req Request) bool {
	return req.StartedMs == 0 || !cn.identified || cn.startedMs == 0 || cn.startedMs == req.StartedMs
}

// CloseIdle closes the idle connections to an address.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	list := c.idle[address]
	delete(c.idle, address)
	c.mu.Unlock()
	for _, cn := range list {
		_ = cn.Close()
	}
}
