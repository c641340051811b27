package cicadaplatform

import (
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"

	"cicadalink.example/cicadakernel/cicadaretry"
)

const (
	// checkInterval is the time without an answered call after which a kept connection is checked
	// while watches wait, and checkTimeout limits a check.
	checkInterval = 2 * time.Second
	checkTimeout  = 2 * time.Second
	// spareCheckInterval is the time after which a spare connection is checked though other calls
	// are answered, so that it is kept. It is less than the time for which idle ones are.
	spareCheckInterval = 20 * time.Second
)

// beginWatch checks kept connections until the last watch has ended.
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

// checkKept makes a health check whenever no call was answered for checkInterval, of a connection of
// each pool in turn, and of a spare one at the latest after spareCheckInterval.
func (t *Transport) checkKept(ctx context.Context) {
	spareNext := false
	for {
		t.mu.Lock()
		c := t.current
		untilCheck := checkInterval - time.Since(t.answeredAt)
		untilSpare := spareCheckInterval - time.Since(c.spareCheckedAt)
		t.mu.Unlock()
		if wait := min(untilCheck, untilSpare); wait > 0 {
			if !cicadaretry.Sleep(ctx, wait) {
				return
			}
			continue
		}
		pool := c.base
		if spareNext || untilSpare <= 0 {
			pool = c.spare
			t.mu.Lock()
			c.spareCheckedAt = time.Now()
			t.mu.Unlock()
		}
		spareNext = pool == c.base
		// A check that was cancelled would close its connection.
		result := t.check(context.WithoutCancel(ctx), checkTimeout, func(req *http.Request) (*http.Response, error) {
			return t.send(c, pool, req, &call{})
		})
		if !result.isSuccess() && !cicadaretry.Sleep(ctx, checkInterval) {
			return
		}
	}
}

// A checkResult is what a health check has shown.
type checkResult struct {
	conn   *conn // may be nil
	reused bool
	status int // 0 if there was no answer
}

// isSuccess reports whether the store has answered by more than a refusal. A store that is slow may
// refuse calls at once.
func (r checkResult) isSuccess() bool {
	return r.status == http.StatusOK || r.status == http.StatusNotFound
}

// check makes a health check.
func (t *Transport) check(ctx context.Context, timeout time.Duration, send func(*http.Request) (*http.Response, error)) checkResult {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	used := &call{}
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: used.gotConn})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, t.checkURL, http.NoBody)
	if err != nil {
		return checkResult{}
	}
	res, err := send(req)
	result := checkResult{conn: used.conn.Load(), reused: used.reused.Load()}
	if err != nil {
		return result
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, io.LimitReader(res.Body, MaxValueSize)); err == nil {
		result.status = res.StatusCode
	}
	return result
}
