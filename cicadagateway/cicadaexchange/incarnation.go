package cicadaexchange

import (
	"context"
	"net/http"
	"time"

	"github.com/ansel1/merry/v2"
)

// ErrOtherIncarnation reports that another incarnation of the endpoint than the request asks for
// has accepted the connection, or may have. The request was not sent.
var ErrOtherIncarnation = merry.Sentinel("cicadaexchange: other incarnation of the endpoint")

const (
	// identifyTimeout limits the time in which an endpoint states its start on a new connection.
	identifyTimeout = 150 * time.Millisecond
	maxReportBytes  = 64 << 10
	// maxIdentified limits the connections that are opened for one request because endpoints close
	// them after they have stated their start.
	maxIdentified = 2
)

// An Identification says how an endpoint is asked for the start of its incarnation. A connection
// stays with the incarnation that has accepted it, so that each connection is asked once.
type Identification struct {
	// Target is the path of a GET request that needs no slot.
	Target string
	// Decode returns the start in Unix milliseconds from the body of a response with status 200,
	// or 0 if it states none.
	Decode func(body []byte) (startedMs int64)
}

// WithIdentification sets how endpoints are asked for the start of their incarnation. Without it
// none is asked.
func WithIdentification(i Identification) Option {
	return func(c *Client) { c.identification = i }
}

// UnknownStart is the start of an incarnation that has not stated it, at an address where others
// have lately.
const UnknownStart = -1

// getIdentifiedConn returns a connection for a request that asks which incarnation responds: one on
// which the endpoint has stated its start, or will not do so. A request for one incarnation gets
// no other connection.
func (c *Client) getIdentifiedConn(ctx context.Context, address string, req Request) (*conn, error) {
	for opened := 0; ; {
		cn, err := c.getConn(ctx, address, req)
		if err != nil {
			return nil, err
		}
		if !cn.reused {
			opened++
		}
		c.prepare(cn, opened)
		if err := c.identify(ctx, cn, req.EchoHeader); err != nil {
			c.abandon(cn)
			if ctx.Err() != nil || req.StartedMs != 0 && c.starts.unstated(address) == UnknownStart && opened >= maxIdentified {
				return nil, err
			}
			continue
		}
		switch {
		case req.StartedMs != 0 && !cn.serves(req):
			c.keepOrClose(cn)
			return nil, merry.Errorf("%s was started at %d, not at %d: %w: %w", address, cn.startedMs, req.StartedMs, ErrOtherIncarnation, ErrNotSent)
		case cn.ended:
			_ = cn.Close()
		default:
			return cn, nil
		}
	}
}

// prepare decides whether the endpoint is asked for its start on a connection, the last of those that
// were opened for a request. It is asked again where it has not stated its start before.
func (c *Client) prepare(cn *conn, opened int) {
	if opened > maxIdentified {
		c.starts.skip(cn.address)
	}
	skipped := c.starts.skipped(cn.address)
	switch {
	case skipped && !cn.identified:
		cn.identified, cn.startedMs = true, c.starts.unstated(cn.address)
	case !skipped && cn.startedMs == UnknownStart:
		cn.identified = false
	}
}

// serves reports whether a connection leads to the incarnation that a request is meant for. One on
// which the endpoint states no start does unless it replaces those of a process that has ended.
func (cn *conn) serves(req Request) bool {
	return cn.startedMs == req.StartedMs || cn.startedMs == 0 && !(req.SameProcess && cn.replacesLost)
}

// keepOrClose returns a connection to the pool unless the endpoint has closed it.
func (c *Client) keepOrClose(cn *conn) {
	if cn.ended {
		_ = cn.Close()
		return
	}
	c.putIdle(cn, defaultIdleTimeout)
}

// identify asks the endpoint on a connection for the start of its incarnation, unless it has been
// asked.
func (c *Client) identify(ctx context.Context, cn *conn, echoHeader string) error {
	if cn.identified {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, identifyTimeout)
	defer cancel()
	stopCancel := context.AfterFunc(ctx, cn.cancel)
	err := c.readReport(cn, echoHeader)
	if !stopCancel() {
		c.starts.skip(cn.address) // it may be slow for all
		err = ctx.Err()
	}
	if err != nil {
		return merry.Errorf("identify %s: %w: %w: %w", cn.address, ErrOtherIncarnation, ErrNotSent, err)
	}
	cn.identified, cn.reused = true, true
	return nil
}

// readReport requests the report of the endpoint and sets the start that it states.
func (c *Client) readReport(cn *conn, echoHeader string) error {
	req := Request{Method: http.MethodGet, Target: c.identification.Target, Host: cn.address}
	cn.limit.activeAt = time.Now()
	if _, err := cn.Write(req.encode()); err != nil {
		return merry.Errorf("request report: %w", err)
	}
	raw, err := cn.readResponse(req)
	if err != nil {
		return err
	}
	defer cn.limit.held.Release()
	cn.startedMs = 0
	if id := raw.Header.Get(echoHeader); id != "" {
		return merry.Errorf("response belongs to request %s: %w", id, ErrInvalidResponse)
	}
	body, err := (&Response{Response: raw, client: c, conn: cn}).ReadAll(maxReportBytes)
	if err != nil {
		return merry.Errorf("read report: %w", err)
	}
	defer body.Release()
	cn.ended = raw.Close || cn.r.Buffered() > 0
	if raw.StatusCode == http.StatusOK {
		cn.startedMs = max(c.identification.Decode(body.Bytes()), 0)
	}
	if cn.startedMs != 0 {
		c.starts.record(cn.address)
		return nil
	}
	cn.startedMs = c.starts.unstated(cn.address)
	c.starts.skip(cn.address)
	return nil
}
