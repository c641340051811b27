package cicadaplatform

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadakernel/cicadatask"
)

// errDead ends a call on a connection that was found dead.
var errDead = merry.Sentinel("cicadaplatform: connection is dead")

// A Transport is a http.RoundTripper that keeps connections to the store and leaves those that are
// dead though nothing has closed them. A call that has no answer for a while is evidence against its
// own connection only. The Transport then checks the health of the store on a new connection and on
// another kept one. If only the new one answers, all kept connections are taken for dead and
// replaced: reads and watches are sent again, and writes end, whose outcome is then unknown. If both
// answer, a read gets a second attempt, beside the first, and a write is left its time.
//
// A watch has no answer for as long as nothing happens, so that its connection shows nothing. While
// watches wait, the Transport makes health checks by itself.
type Transport struct {
	newBase  func() *http.Transport
	checkURL string

	mu         sync.Mutex
	onDead     []func(since time.Time)
	current    *connections
	answeredAt time.Time // when a call other than a watch was last answered, or the Transport made
	watches    int       // that wait
	stopChecks context.CancelFunc
	wg         cicadatask.Group
}

// NewTransport returns a Transport that gets a http.Transport for its connections from newBase. Its
// health checks are GETs of checkURL, which should be cheap.
func NewTransport(newBase func() *http.Transport, checkURL string) *Transport {
	t := &Transport{newBase: newBase, checkURL: checkURL}
	t.current, t.answeredAt = newConnections(t.newPool(), t.newPool()), time.Now()
	return t
}

// OnDead adds a function that is called when the connections have been replaced. Nothing was
// received on one of them since the given time.
func (t *Transport) OnDead(f func(since time.Time)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onDead = append(t.onDead, f)
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	return t.roundTrip(req, false)
}

// A WatchTransport sends watches, which have no answer for as long as nothing happens, over the
// connections of a Transport.
type WatchTransport struct{ t *Transport }

// Watches returns the http.RoundTripper for watches.
func (t *Transport) Watches() WatchTransport { return WatchTransport{t} }

// RoundTrip implements http.RoundTripper.
func (w WatchTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	defer w.t.beginWatch()()
	return w.t.roundTrip(req, true)
}

func (t *Transport) roundTrip(req *http.Request, watch bool) (*http.Response, error) {
	for {
		t.mu.Lock()
		c := t.current
		t.mu.Unlock()
		var res *http.Response
		var err error
		switch {
		case watch:
			res, err = t.send(c, c.base, req, &call{watch: true})
		case isRead(req):
			res, err = t.read(c, req)
		default:
			res, err = t.send(c, c.base, req, &call{})
		}
		if !errors.Is(err, errDead) || !isRead(req) || req.Context().Err() != nil {
			return res, err
		}
	}
}

func isRead(req *http.Request) bool {
	return req.Method == http.MethodGet && (req.Body == nil || req.Body == http.NoBody)
}

// read sends a read, and sends it once more beside the first attempt if that stalls.
func (t *Transport) read(c *connections, req *http.Request) (*http.Response, error) {
	type result struct {
		attempt int
		res     *http.Response
		err     error
	}
	results := make(chan result, 2)
	var cancels [2]context.CancelFunc
	start := func(attempt int, over *http.Transport, call *call) {
		ctx, cancel := context.WithCancel(req.Context())
		cancels[attempt] = cancel
		t.wg.Go(func() {
			res, err := t.send(c, over, req.WithContext(ctx), call)
			if err != nil {
				cancel()
			} else {
				res.Body = &responseBody{ReadCloser: res.Body, release: cancel}
			}
			results <- result{attempt, res, err}
		})
	}
	stalled := make(chan struct{})
	start(0, c.base, &call{onStalled: sync.OnceFunc(func() { close(stalled) })})
	select {
	case r := <-results:
		return r.res, r.err
	case <-stalled:
	}
	start(1, c.spare, &call{})
	r := <-results
	if r.err != nil {
		r = <-results
		return r.res, r.err
	}
	cancels[1-r.attempt]()
	t.wg.Go(func() {
		if other := <-results; other.err == nil {
			_ = other.res.Body.Close()
		}
	})
	return r.res, r.err
}

// send sends a request over one pool of connections. It fails with errDead if the request's
// connection was found dead.
func (t *Transport) send(c *connections, over *http.Transport, req *http.Request, call *call) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	call.connections, call.sentAt, call.end = c, time.Now(), func() { cancel(errDead) }
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: call.gotConn})
	stopWaiting := t.await(c, call)
	res, err := over.RoundTrip(req.WithContext(traced))
	call.answered.Store(err == nil)
	stopWaiting()
	if err != nil {
		if errors.Is(context.Cause(ctx), errDead) {
			err = merry.Errorf("%w: %w", errDead, err)
		}
		cancel(nil)
		return nil, err
	}
	if !call.watch {
		t.mu.Lock()
		t.answeredAt = time.Now()
		t.mu.Unlock()
	}
	res.Body = &responseBody{ReadCloser: res.Body, release: func() { cancel(nil) }}
	return res, nil
}

// A call is a request that waits for the header of its response.
type call struct {
	connections *connections
	watch       bool
	sentAt      time.Time
	reused      atomic.Bool // it was sent on a kept connection
	conn        atomic.Pointer[conn]
	answered    atomic.Bool
	end         func()
	onStalled   func() // may be nil; called when a second attempt is due
}

func (c *call) gotConn(info httptrace.GotConnInfo) {
	c.reused.Store(info.Reused)
	c.conn.Store(unwrapConn(info.Conn))
	if c.watch && c.connections.replaced.Err() != nil {
		c.endIfDead()
	}
}

// endIfDead ends a call whose connections were replaced, unless its own was active since.
func (c *call) endIfDead() {
	if conn := c.conn.Load(); conn != nil && !conn.activeAfter(c.connections.deadSince) {
		c.end()
	}
}

// responseBody releases the resources of a call once its body is closed.
type responseBody struct {
	io.ReadCloser
	release func()
}

// Close implements io.Closer.
func (b *responseBody) Close() error {
	defer b.release()
	return b.ReadCloser.Close()
}
