package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"time"
)

// An attempt is one attempt of a client and its answer.
type attempt struct {
	id     string
	entry  string
	path   string
	sentAt time.Time
	status int // 0 if there was no complete answer
	stamp  string
	kept   bool // whether it was sent on a channel kept from an earlier one
	body   string
	err    error
	took   time.Duration
}

// clients sends requests of callers. Each attempt has its own id and channel pool.
type clients struct {
	rec    *recorder
	client *http.Client
	quiet  bool // answers that are as expected are not written to the record

	mu       sync.Mutex
	attempts []attempt
	wg       sync.WaitGroup
}

func newClients(rec *recorder) *clients {
	return &clients{rec: rec, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 900 * time.Millisecond, DisableCompression: true}}}
}

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// send makes one attempt and waits for its end.
func (c *clients) send(entry, method, path string, headers map[string]string, body []byte, deadline time.Duration) attempt {
	a := attempt{id: newID(), entry: entry, path: path, sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), deadline+time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+entry+path, bytes.NewReader(body))
	if err != nil {
		a.err = err
		return a
	}
	req = req.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { a.kept = info.Reused }}))
	req.Host = host
	req.Header.Set("X-Request-Id", a.id)
	req.Header.Set("X-Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	req.Header.Set("X-Sent-Ns", strconv.FormatInt(a.sentAt.UnixNano(), 10))
	for k, v := range headers {
		req.Header.Set(k, v)
	}
	res, err := c.client.Do(req)
	if err == nil {
		var data []byte
		data, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
		a.body, a.stamp = string(data), res.Header.Get("X-Server-Stamp")
		if err == nil {
			a.status = res.StatusCode
		}
	}
	a.err, a.took = err, time.Since(a.sentAt)
	c.mu.Lock()
	c.attempts = append(c.attempts, a)
	c.mu.Unlock()
	if !c.quiet || a.status != http.StatusOK {
		c.rec.note("answer to %s at %s %s: status %d, stamp %q, after %d ms, error %v", a.id, entry, path, a.status, a.stamp, a.took.Milliseconds(), err)
	}
	return a
}

// stream sends requests at an interval, in turn to the entries, until stop is closed.
func (c *clients) stream(d *deployment, interval time.Duration, method, path string, headers map[string]string, body []byte, stop chan struct{}) {
	c.wg.Add(1)
	go func() {
		defer c.wg.Done()
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-ticker.C:
			case <-stop:
				return
			}
			entry := d.entries[n%len(d.entries)].callers()
			c.wg.Add(1)
			go func() {
				defer c.wg.Done()
				c.send(entry, method, path, headers, body, 5*time.Second)
			}()
		}
	}()
}

func (c *clients) all() []attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]attempt(nil), c.attempts...)
}

// counts returns how many attempts ended with each status, 0 for those without a complete answer.
func counts(all []attempt) map[int]int {
	n := make(map[int]int)
	for _, a := range all {
		n[a.status]++
	}
	return n
}
