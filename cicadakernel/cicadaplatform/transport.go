package cicadaplatform

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadakernel/cicadaretry"
	"cicadalink.example/cicadakernel/cicadatask"
)

const (
	// silenceDelay is how long a call on a kept connection has no answer before a new connection is
	// tried.
	silenceDelay = 500 * time.Millisecond
	// probeTimeout limits the time in which the store answers on a new connection.
	probeTimeout = time.Second
	// checkInterval is the time without an answered call after which the kept connections are
	// checked while watches wait, and checkTimeout limits a check.
	checkInterval = 2 * time.Second
	checkTimeout  = 2 * time.Second
)

// errSilent ends a call on a connection that has fallen silent.
var errSilent = merry.Sentinel("cicadaplatform: connection has fallen silent")

// A Transport is a http.RoundTripper that keeps connections to the store and does not believe in
// them for ever. A kept connection may fall silent without being closed. If a call on one has no
// answer for a while, and the store answers a call on a new connection meanwhile, the Transport
// replaces all connections: it sends reads and watches again, and ends writes, whose outcome is then
// unknown. A store that is slow on new connections as well is left its time.
//
// A watch has no answer for as long as nothing happens, so that its connection shows nothing. While
// watches wait and no other calls are made, the Transport makes some itself.
type Transport struct {
	newBase  func() *http.Transport
	probeURL string
	checkURL string

	mu         sync.Mutex
	onSilent   []func(since time.Time)
	current    *connections
	answeredAt time.Time // when a call other than a watch was last answered, or the Transport made
	watches    int       // that wait
	stopChecks context.CancelFunc
	wg         cicadatask.Group
}

// connections are the connections that were opened between two replacements.
type connections struct {
	base     *http.Transport
	probing  bool // guarded by Transport.mu
	replaced context.Context
	replace  context.CancelFunc
}

// NewTransport returns a Transport that gets a http.Transport for its connections from newBase. It
// probes new connections with a GET of probeURL, which the store must answer no sooner than other
// reads, and checks kept ones with a GET of checkURL, which should be cheap.
func NewTransport(newBase func() *http.Transport, probeURL, checkURL string) *Transport {
	t := &Transport{newBase: newBase, probeURL: probeURL, checkURL: checkURL}
	t.current, t.answeredAt = t.newConnections(), time.Now()
	return t
}

func (t *Transport) newConnections() *connections {
	c := &connections{base: t.newBase()}
	c.replaced, c.replace = context.WithCancel(context.Background())
	return c
}

// OnSilent adds a function that is called when the connections have been replaced. Nothing was
// received on one of them since the given time.
func (t *Transport) OnSilent(f func(since time.Time)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.onSilent = append(t.onSilent, f)
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

// beginWatch checks the kept connections until the last watch has ended.
func (t *Transport) beginWatch() (end func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.watches++
	if t.watches == 1 {
		ctx, cancel := context.WithCancel(context.Background())
		t.stopChecks = cancel
		t.wg.Go(func() { t.checkKept(ctx) })
	}
	return func() {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.watches--
		if t.watches == 0 {
			t.stopChecks()
		}
	}
}

// checkKept makes a call whenever none was answered for checkInterval.
func (t *Transport) checkKept(ctx context.Context) {
	for {
		t.mu.Lock()
		idle := time.Since(t.answeredAt)
		t.mu.Unlock()
		if idle < checkInterval {
			if !cicadaretry.Sleep(ctx, checkInterval-idle) {
				return
			}
			continue
		}
		if !t.get(ctx, t, t.checkURL, checkTimeout) && !cicadaretry.Sleep(ctx, checkInterval) {
			return
		}
	}
}

func (t *Transport) roundTrip(req *http.Request, watches bool) (*http.Response, error) {
	for {
		t.mu.Lock()
		c := t.current
		t.mu.Unlock()
		res, err := t.send(c, req, watches)
		if !errors.Is(err, errSilent) || req.Method != http.MethodGet || req.Context().Err() != nil {
			return res, err
		}
	}
}

// send sends a request over one set of connections. It fails with errSilent if they were replaced
// because they have fallen silent.
func (t *Transport) send(c *connections, req *http.Request, watches bool) (*http.Response, error) {
	ctx, cancel := context.WithCancelCause(req.Context())
	call := &call{sentAt: time.Now(), end: func() { cancel(errSilent) }}
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { call.reused.Store(info.Reused) },
	})
	stopWaiting := t.await(c, call, watches)
	res, err := c.base.RoundTrip(req.WithContext(traced))
	call.answered.Store(err == nil)
	stopWaiting()
	if err != nil {
		if errors.Is(context.Cause(ctx), errSilent) {
			err = merry.Errorf("%w: %w", errSilent, err)
		}
		cancel(nil)
		return nil, err
	}
	if !watches {
		t.mu.Lock()
		t.answeredAt = time.Now()
		t.mu.Unlock()
	}
	res.Body = &responseBody{ReadCloser: res.Body, release: func() { cancel(nil) }}
	return res, nil
}

// A call is a request that waits for the header of its response.
type call struct {
	sentAt   time.Time
	reused   atomic.Bool // it was sent on a kept connection
	answered atomic.Bool
	end      func()
}

// await ends a call if the connections are replaced: a watch at once, another call when it had no
// answer for silenceDelay. It probes the store while such a call waits on a kept connection.
func (t *Transport) await(c *connections, call *call, watches bool) (stop func()) {
	if watches {
		stop := context.AfterFunc(c.replaced, call.end)
		return func() { stop() }
	}
	done := make(chan struct{})
	t.wg.Go(func() {
		timer := time.NewTimer(silenceDelay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-done:
			return
		}
		for {
			timer.Reset(silenceDelay)
			if call.reused.Load() {
				t.probe(c, call)
			}
			select {
			case <-c.replaced.Done():
				call.end()
				return
			case <-timer.C:
			case <-done:
				return
			}
		}
	})
	return func() { close(done) }
}

// probe replaces the connections if the store answers on a new one while a call still waits. One
// probe at a time is sent for all calls.
func (t *Transport) probe(c *connections, call *call) {
	t.mu.Lock()
	busy := c != t.current || c.probing
	c.probing = true
	t.mu.Unlock()
	if busy {
		return
	}
	next := t.newConnections()
	answered := t.get(context.Background(), next.base, t.probeURL, probeTimeout)
	t.mu.Lock()
	c.probing = false
	replace := answered && !call.answered.Load() && c == t.current
	if replace {
		t.current = next
	}
	onSilent := slices.Clone(t.onSilent)
	t.mu.Unlock()
	if !replace {
		next.base.CloseIdleConnections()
		next.replace()
		return
	}
	c.replace()
	c.base.CloseIdleConnections()
	for _, f := range onSilent {
		f(call.sentAt)
	}
}

// get reports whether a GET is answered in time, by more than a refusal: a store that is slow may
// refuse calls at once.
func (t *Transport) get(ctx context.Context, over http.RoundTripper, url string, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return false
	}
	res, err := over.RoundTrip(req)
	if err != nil {
		return false
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, io.LimitReader(res.Body, MaxValueSize))
	return err == nil && (res.StatusCode == http.StatusOK || res.StatusCode == http.StatusNotFound)
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
