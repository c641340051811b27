package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
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
	deadline     = 5 * time.Second
	maxResumes   = 6
	retryDelay   = 60 * time.Millisecond
	jobItems     = 6
	jobTimeout   = 30 * time.Second
	readInterval = 400 * time.Millisecond
	rereadTime   = 8 * time.Second
)

// A caller sends requests to entries, each on a connection of its own unless it keeps connections.
type caller struct {
	entries []*process
	checks  *checks
	client  *http.Client

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

type jobResult struct{ ID, State, Output string }

type resultsPage struct {
	Total, Next int
	Results     []jobResult
}

// settleDelay is how long after a result was read it may still be missing elsewhere.
const settleDelay = time.Second

// jobReads is what a caller has read of a job.
type jobReads struct {
	job       string
	results   []jobResult
	firstRead []time.Time // by position
}

// add checks a page of results against those read before: a result that was read at a position
// must be there, and the same, whatever entry is asked. sent is when the page was asked for.
func (r *jobReads) add(c *checks, after int, page []jobResult, sent time.Time) {
	for i, result := range page {
		position := after + i
		switch {
		case position < len(r.results) && r.results[position] != result:
			c.violate("another result at a position", r.job, fmt.Sprintf("position %d: %s, then %s", position, r.results[position].ID, result.ID))
		case position < len(r.results):
		case result.State == "complete":
			c.checkOutput(result.ID, result.Output)
		default:
			c.count("items failed")
		}
		if position >= len(r.results) {
			r.results, r.firstRead = append(r.results, result), append(r.firstRead, time.Now())
		}
	}
	for position := after + len(page); position < len(r.results); position++ {
		if age := sent.Sub(r.firstRead[position]); age > settleDelay {
			c.violate(missingResults, r.job, fmt.Sprintf("position %d was read %v before", position, age))
			return
		}
	}
}

// wholeFor reports whether all results were read at least d ago.
func (r *jobReads) wholeFor(d time.Duration) bool {
	return len(r.results) == jobItems && time.Since(r.firstRead[jobItems-1]) >= d
}

// runJob submits a job and reads it from any entry until all its results are listed, and for
// rereadTime after that.
func (c *caller) runJob(ctx context.Context) {
	job := c.id()
	var items []map[string]any
	for range jobItems {
		id := c.id()
		items = append(items, map[string]any{"Id": id, "Path": batchPrefix + id, "Headers": map[string]string{"X-Model": "m"}, "Body": []byte("prompt"), "Tokens": 100})
	}
	body, err := json.Marshal(map[string]any{"Items": items})
	if err != nil || !c.submit(ctx, job, body) {
		return
	}
	c.checks.count("jobs accepted")
	reads := &jobReads{job: job}
	for end := time.Now().Add(jobTimeout); time.Now().Before(end) && !reads.wholeFor(rereadTime); {
		if !cicadaretry.Sleep(ctx, readInterval) {
			return
		}
		after, sent := c.intN(len(reads.results)+1), time.Now()
		if page, ok := c.read(ctx, job, after); ok {
			reads.add(c.checks, after, page.Results, sent)
		}
	}
	if len(reads.results) == jobItems {
		c.checks.count("jobs whole")
	} else {
		c.checks.count("jobs not whole in time")
	}
}

func (c *caller) submit(ctx context.Context, job string, body []byte) bool {
	for range 3 {
		res, err := c.call(ctx, http.MethodPost, batchPrefix+job, map[string]string{"X-Request-Id": job}, body)
		if err == nil && res == http.StatusAccepted {
			return true
		}
		cicadaretry.Sleep(ctx, retryDelay)
	}
	return false
}

// call sends a request to any entry and returns the status.
func (c *caller) call(ctx context.Context, method, path string, header map[string]string, body []byte) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	res, err := c.do(ctx, c.anyEntry(), method, path, header, body)
	if err != nil {
		return 0, err
	}
	return res.StatusCode, res.Body.Close()
}

// read reads the results of a job from a position on at any entry. It reports false if there is no
// answer, or one that promises nothing.
func (c *caller) read(ctx context.Context, job string, after int) (page resultsPage, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	res, err := c.do(ctx, c.anyEntry(), http.MethodGet, fmt.Sprintf("/cicadalink/lots/%s?After=%d", job, after), nil, nil)
	if err != nil {
		return page, false
	}
	defer res.Body.Close()
	switch res.StatusCode {
	case http.StatusNotFound, http.StatusGone:
		c.checks.violate("accepted job not found", job, res.Status)
		return page, false
	case http.StatusOK:
		return page, json.NewDecoder(res.Body).Decode(&page) == nil
	}
	return page, false
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
