package main

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"syscall"
	"testing"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

func startProxied(t *testing.T) *proxy {
	e, err := startEndpoint("e", "v1", true)
	assert.NilError(t, err)
	t.Cleanup(e.crash)
	return proxyOf(t, e)
}

func proxyOf(t *testing.T, e *endpoint) *proxy {
	p, err := startProxy(e.address)
	assert.NilError(t, err)
	t.Cleanup(p.close)
	return p
}

// stream reads one stream through a proxy and returns what the checks say.
func (p *proxy) stream(t *testing.T) (*checks, error) {
	c := newChecks(hclog.NewNullLogger())
	s := &stream{transcript: transcript{name: "s"}}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+p.address()+streamPrefix, strings.NewReader("prompt"))
	assert.NilError(t, err)
	req.Header.Set("X-Request-Id", "s")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return c, err
	}
	defer res.Body.Close()
	if err := newCaller(nil, c, newRandom(1)).readEvents(res.Body, s); err != nil {
		return c, err
	}
	s.end(c)
	return c, nil
}

func TestProxyDisturbsStreams(t *testing.T) {
	for name, c := range map[string]struct {
		d      disturbance
		broken bool
		want   string // violation
	}{
		"undisturbed": {undisturbed, false, ""},
		"cut":         {cutInEvent, true, ""},
		"doubled":     {eventDoubled, false, "event missing or doubled"},
		"again":       {eventAgain, false, "event missing or doubled"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startProxied(t)
			p.repeatEvery = 1
			p.disturb(c.d)
			checks, err := p.stream(t)
			assert.Equal(t, err != nil, c.broken)
			assert.Equal(t, len(checks.violations) > 0, c.want != "")
			assert.Equal(t, checks.violations[c.want] > 0, c.want != "")
		})
	}
}

func TestProxySendsAnswersTwice(t *testing.T) {
	p := startProxied(t)
	p.disturb(answerDoubled)
	conn, err := net.Dial("tcp", p.address())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET "+markerPath(1)+" HTTP/1.1\r\nHost: h\r\nX-Request-Id: x\r\n\r\n")
	assert.NilError(t, err)
	r := bufio.NewReader(conn)
	for range 2 {
		res, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		body, err := io.ReadAll(res.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "ok")
		assert.Equal(t, res.Header.Get("X-Request-Id"), "x")
	}
}

func TestProxyHoldsAnswersUntilUndisturbed(t *testing.T) {
	p := startProxied(t)
	p.disturb(answersHeld)
	ctx, cancel := context.WithCancel(t.Context())
	result := make(chan error, 1)
	go func() {
		checks, err := p.stream(t)
		assert.Equal(t, len(checks.violations), 0)
		cancel()
		result <- err
	}()
	p.disturb(silent)
	assert.NilError(t, ctx.Err()) // no answer has ended
	p.disturb(undisturbed)
	assert.NilError(t, <-result)
}

// TestResetOfAnAnswerWithoutALength shows that a crash does not look like the end of the answer.
func TestResetOfAnAnswerWithoutALength(t *testing.T) {
	e, err := startEndpoint("e", "v1", true)
	assert.NilError(t, err)
	e.incarnation().unframed.Store(true)
	e.putBehind(proxyOf(t, e))
	checks, err := e.proxy.stream(t)
	assert.NilError(t, err)
	assert.Equal(t, len(checks.violations), 0)
	result := make(chan error, 1)
	go func() {
		_, err := e.proxy.stream(t)
		result <- err
	}()
	for answering := false; !answering; {
		e.proxy.each(func(l *link) {
			l.mu.Lock()
			defer l.mu.Unlock()
			answering = answering || len(l.answer) > 0
		})
		runtime.Gosched()
	}
	e.crash()
	assert.Assert(t, <-result != nil)
}

// TestConnectionsThroughAProxyEndWithTheIncarnation guards against proxied connections that outlive the
// process that accepted them, and against restarted endpoints that register another address than the proxy's.
func TestConnectionsThroughAProxyEndWithTheIncarnation(t *testing.T) {
	e, err := startEndpoint("e", "v1", true)
	assert.NilError(t, err)
	t.Cleanup(func() { e.crash() })
	p := proxyOf(t, e)
	e.putBehind(p)
	assert.Equal(t, e.incarnation().registration("ready")["Addr"], p.address())
	conn, err := net.Dial("tcp", p.address())
	assert.NilError(t, err)
	defer conn.Close()
	r := bufio.NewReader(conn)
	// ask asks for the report on the connection, and returns the start that it states.
	ask := func() any {
		_, err := io.WriteString(conn, "GET "+reportPath+" HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		res, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		var report map[string]any
		assert.NilError(t, json.NewDecoder(res.Body).Decode(&report))
		return report["born"]
	}
	assert.Equal(t, ask(), float64(e.incarnation().started.UnixMilli()))
	assert.Equal(t, ask(), float64(e.incarnation().started.UnixMilli())) // the connection is kept
	e.crash()
	_, err = r.ReadByte()
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	assert.NilError(t, e.start("v2"))
	registration := e.incarnation().registration("ready")
	assert.Equal(t, registration["Addr"], p.address())
	res, err := http.Get("http://" + registration["Addr"].(string) + reportPath)
	assert.NilError(t, err)
	defer res.Body.Close()
	var report map[string]any
	assert.NilError(t, json.NewDecoder(res.Body).Decode(&report))
	assert.Equal(t, report["born"], float64(registration["born"].(int64)))
}

// TestAddressPassesOn shows that new connections reach the next endpoint.
func TestAddressPassesOn(t *testing.T) {
	p := startProxied(t)
	next, err := startEndpoint("next", otherService, true)
	assert.NilError(t, err)
	t.Cleanup(next.crash)
	p.passTo(next.address)
	checks, err := p.stream(t)
	assert.NilError(t, err)
	assert.Assert(t, checks.violations["run by another service"] > 0)
}
