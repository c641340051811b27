package cicadaengine

import (
	"bufio"
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	reportPath = "/load"
	// maxReportBytes limits a report with its header.
	maxReportBytes = 2 * maxBodyBytes
	// maxReportTries limits the connections that are opened until one outlasts the report.
	maxReportTries = 3
	// maxVersionChanges limits how often a request that was not sent is tried again
	// because another process serves the address by then.
	maxVersionChanges = 3
)

// A processPool sends requests to the process that serves an engine's address. It proves the
// version of the process's software by its load report, which it reads on each new
// connection: a connection ends with the process that accepted it, so that all later requests
// on it are answered by that process. There must be no proxy between agent and engine.
type processPool struct {
	address string

	mu      sync.Mutex
	current *process // nil until a connection was opened
}

// A process sends requests on connections to processes of one software version only, or on
// any connection if the version could not be proved.
type process struct {
	engineClient
	software Software
}

// softwareChangedError reports that a new connection has led to other software. No request
// was sent on it.
type softwareChangedError struct{ software Software }

// Error describes the software.
func (e *softwareChangedError) Error() string {
	return fmt.Sprintf("engine was restarted with software %+v", e.software)
}

func newProcessPool(address string) *processPool { return &processPool{address: address} }

// send calls request with the current process, again with another one if the software was
// found to have changed before the request was sent.
func (p *processPool) send(ctx context.Context, request func(*process) (*http.Response, error)) (*http.Response, error) {
	current := p.get()
	if current == nil {
		software, err := p.readSoftware(ctx)
		if err != nil {
			return nil, transportError(ctx, err)
		}
		current = p.replace(nil, software)
	}
	for range maxVersionChanges {
		res, err := request(current)
		var changed *softwareChangedError
		if !errors.As(err, &changed) {
			return res, err
		}
		current = p.replace(current, changed.software)
	}
	return nil, merry.Errorf("software of the engine keeps changing: %w", ErrUnreachable)
}

// prove tries to prove the version of the current process if that has failed before.
func (p *processPool) prove(ctx context.Context) error {
	current := p.get()
	if current == nil || current.software.Proved {
		return nil
	}
	software, err := p.readSoftware(ctx)
	if err != nil {
		return transportError(ctx, err)
	}
	if software.Proved {
		p.replace(current, software)
	}
	return nil
}

func (p *processPool) get() *process {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current
}

// replace replaces a process by one with other software, unless another caller has done so,
// and returns the current one. Requests in progress at the former one go on.
func (p *processPool) replace(former *process, software Software) *process {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.current != former {
		return p.current
	}
	if former != nil {
		former.client.CloseIdleConnections()
	}
	p.current = p.newProcess(software)
	return p.current
}

func (p *processPool) newProcess(software Software) *process {
	current := &process{newEngineClient(p.address), software}
	if !software.Proved {
		return current
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, found, err := p.dial(ctx, network, address)
		if err == nil && found != software {
			closeIfOpen(conn)
			return nil, &softwareChangedError{found}
		}
		return conn, err
	}
	transport := current.client.Transport.(*http.Transport)
	transport.DialContext, transport.DialTLSContext = dial, dial
	return current
}

// readSoftware opens a connection to learn which software serves the address.
func (p *processPool) readSoftware(ctx context.Context) (Software, error) {
	u, err := url.Parse(p.address)
	if err != nil {
		return Software{}, merry.Errorf("parse address of engine: %w: %w", ErrUnreachable, err)
	}
	address := u.Host
	if u.Port() == "" {
		address = net.JoinHostPort(u.Hostname(), u.Scheme)
	}
	conn, software, err := p.dial(ctx, "tcp", address)
	closeIfOpen(conn)
	return software, err
}

func closeIfOpen(conn net.Conn) {
	if conn != nil {
		_ = conn.Close()
	}
}

// dial opens a connection and reads the report on it. It returns no connection, and software
// that is not proved, if the engine closes each connection after the report.
func (p *processPool) dial(ctx context.Context, network, address string) (net.Conn, Software, error) {
	for range maxReportTries {
		conn, err := p.dialConn(ctx, network, address)
		if err != nil {
			return nil, Software{}, err
		}
		software, reusable, err := p.readReport(ctx, conn)
		if err == nil && reusable {
			return conn, software, nil
		}
		_ = conn.Close()
		if err != nil {
			return nil, Software{}, err
		}
	}
	return nil, Software{}, nil
}

func (p *processPool) dialConn(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if u, err := url.Parse(p.address); err == nil && u.Scheme == "https" {
		return (&tls.Dialer{NetDialer: dialer}).DialContext(ctx, network, address)
	}
	return dialer.DialContext(ctx, network, address)
}

// readReport reads the report on a new connection. It reports whether the connection can be
// used for other requests.
func (p *processPool) readReport(ctx context.Context, conn net.Conn) (software Software, reusable bool, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, newEngineClient(p.address).baseURL+reportPath, nil)
	if err != nil {
		return Software{}, false, merry.Errorf("create request for report: %w: %w", ErrUnreachable, err)
	}
	_ = conn.SetDeadline(time.Now().Add(pollTimeout))
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	defer stop()
	if err := req.Write(conn); err != nil {
		return Software{}, false, merry.Errorf("request report: %w: %w", ErrUnreachable, err)
	}
	reader := bufio.NewReader(io.LimitReader(conn, maxReportBytes))
	res, err := http.ReadResponse(reader, req)
	if err != nil {
		return Software{}, false, merry.Errorf("read report: %w: %w", ErrUnreachable, err)
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return Software{}, false, merry.Errorf("read report: %w: %w", ErrUnreachable, err)
	}
	if !stop() {
		return Software{}, false, merry.Errorf("read report: %w", ctx.Err())
	}
	_ = conn.SetDeadline(time.Time{})
	software, err = softwareOf(res.StatusCode, body)
	return software, !res.Close && reader.Buffered() == 0, err
}

// softwareOf returns what a response to a request for the report proves. An engine without a
// report states no version, as one whose report has none.
func softwareOf(status int, body []byte) (Software, error) {
	switch {
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return Software{}, merry.Errorf("engine status %d for report: %w", status, ErrBusy)
	case status >= http.StatusInternalServerError:
		return Software{}, nil
	case status != http.StatusOK:
		return Software{Proved: true}, nil
	}
	report, err := decodeReport(bytes.NewReader(body))
	if err != nil {
		return Software{}, nil
	}
	return Software{Version: report.SoftwareVersion, Proved: true}, nil
}

func decodeReport(r io.Reader) (LoadReport, error) {
	var body struct {
		Running int      `json:"running"`
		Models  []string `json:"models"`
		AgeMs   int64    `json:"age_ms"`
		Version string   `json:"version"`
	}
	if err := json.NewDecoder(io.LimitReader(r, maxBodyBytes)).Decode(&body); err != nil {
		return LoadReport{}, merry.Errorf("decode load report: %w", err)
	}
	age := time.Duration(body.AgeMs) * time.Millisecond
	return LoadReport{Running: body.Running, Models: body.Models, Age: age, SoftwareVersion: body.Version}, nil
}
