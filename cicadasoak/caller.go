package main

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"

	"cicadalink.example/cicadakernel/cicadaretry"
)

const (
	deadline   = 5 * time.Second
	maxResumes = 6
	retryDelay = 60 * time.Millisecond
)

// A caller sends requests to entries, each on a connection of its own unless it keeps connections.
type caller struct {
	entries []*process
	checks  *checks
	client  *http.Client
	// sign adds the key of a customer to a request, if there are customers.
	sign func(*http.Request)

	mu     sync.Mutex
	random *rand.Rand
	next   int
}

func newCaller(entries []*process, c *checks, random *rand.Rand) *caller {
	return &caller{
		entries: entries, checks: c, random: random,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
	}
}

// keepConnections lets the caller use its connections for many requests.
func (c *caller) keepConnections() *caller {
	c.client.Transport = &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: streamCallers}
	return c
}

// countReused counts the requests that are sent on a connection that was in use before.
func (c *caller) countReused(conn httptrace.GotConnInfo) {
	if conn.Reused {
		c.checks.count("connections reused")
	}
}

// id returns a new request id.
func (c *caller) id() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return fmt.Sprintf("%08x%08x", c.next, c.random.Uint32())
}

func (c *caller) anyEntry() *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries[c.random.IntN(len(c.entries))]
}

func (c *caller) intN(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

// do sends a request; close the body of its response.
func (c *caller) do(ctx context.Context, p *process, method, path string, header map[string]string, body []byte) (*http.Response, error) {
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: c.countReused})
	req, err := http.NewRequestWithContext(ctx, method, "http://"+p.callers()+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Host = host
	for name, value := range header {
		req.Header.Set(name, value)
	}
	if c.sign != nil {
		c.sign(req)
	}
	return c.client.Do(req)
}

// A stream is one stream of a caller, over all its requests.
type stream struct {
	transcript
	begun string // id of the request that brought the first event
}

// receive sends one request of a stream to an entry and reads its events until it ends, or
// until leave is done. It reports whether the stream is complete.
func (c *caller) receive(ctx context.Context, p *process, s *stream, leave <-chan struct{}) (complete bool) {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	go func() {
		select {
		case <-leave:
			cancel()
		case <-ctx.Done():
		}
	}()
	id := c.id()
	header := map[string]string{"X-Request-Id": id, "X-Model": "m", "X-Token-Count": "250,40", "X-Prompt-Prefix": id + ":250", "X-Deadline-Ms": "5000"}
	if s.last > 0 {
		header["Last-Event-Id"], header["Resumes"] = strconv.Itoa(s.last), s.begun
	}
	res, err := c.do(ctx, p, http.MethodPost, streamPrefix+id, header, []byte("prompt"))
	if err != nil {
		return false
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		c.checks.count(fmt.Sprintf("status %d, resumed %t", res.StatusCode, s.last > 0))
		return false
	}
	if s.last == 0 {
		s.begun, s.name = id, id
	} else {
		c.checks.count("resumed")
	}
	if err := c.readEvents(res.Body, s); err != nil {
		return false
	}
	s.end(c.checks)
	return true
}

// readEvents checks whole events until the body ends.
func (c *caller) readEvents(body io.Reader, s *stream) error {
	r := bufio.NewReader(body)
	id, data := 0, ""
	for {
		line, err := r.ReadString('\n')
		if err == io.EOF && line == "" && data == "" {
			return nil
		}
		if err != nil {
			return err
		}
		name, value, _ := strings.Cut(strings.TrimSuffix(line, "\n"), ": ")
		switch name {
		case "id":
			id, _ = strconv.Atoi(value)
		case "data":
			data = value
		case "":
			s.add(c.checks, id, data)
			data = ""
		}
	}
}

// streamFrom receives a whole stream. It leaves the entry after a random time if restless is
// set, and resumes the stream elsewhere whenever it breaks off.
func (c *caller) streamFrom(ctx context.Context, restless bool) {
	s := &stream{}
	for range maxResumes {
		leave := make(chan struct{})
		if restless {
			timer := time.AfterFunc(time.Duration(c.intN(2000))*time.Millisecond, func() { close(leave) })
			defer timer.Stop()
		}
		if c.receive(ctx, c.anyEntry(), s, leave) {
			c.checks.count("streams whole")
			return
		}
		if ctx.Err() != nil || !cicadaretry.Sleep(ctx, retryDelay) {
			return
		}
	}
	c.checks.count("streams given up")
}

// watchConfig asks one entry for the newest version of the configuration that it has in force,
// which must not go back while the process runs.
func (c *caller) watchConfig(ctx context.Context, p *process, newest func() int) {
	reached, lifetime := 0, 0
	for cicadaretry.Sleep(ctx, 100*time.Millisecond) {
		if now := p.started(); now != lifetime {
			reached, lifetime = 0, now
		}
		version := newest()
		if reached > 0 && c.intN(2) == 0 {
			version = reached
		}
		status, err := c.probe(ctx, p, version)
		switch {
		case err != nil || p.started() != lifetime:
		case status == http.StatusOK:
			reached = max(reached, version)
		case status == http.StatusNotFound && version <= reached:
			c.checks.violate("configuration went back", p.name, fmt.Sprintf("version %d was in force", version))
		}
	}
}

func (c *caller) probe(ctx context.Context, p *process, version int) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	res, err := c.do(ctx, p, http.MethodGet, markerPath(version)+"x", map[string]string{"X-Request-Id": c.id(), "X-Deadline-Ms": "3000"}, nil)
	if err != nil {
		return 0, err
	}
	return res.StatusCode, res.Body.Close()
}
