package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"cicadalink.example/cicadakernel/cicadaretry"
)

const (
	jobItems     = 6
	jobTimeout   = 30 * time.Second
	readInterval = 400 * time.Millisecond
	rereadTime   = 8 * time.Second
	// resultWait is how long a read allows the system to wait for a result, and readMargin how much
	// longer its caller waits.
	resultWait = time.Second
	readMargin = 1500 * time.Millisecond
	// settleDelay is how long after a result was read, or a job accepted, it may still be missing elsewhere.
	settleDelay = time.Second
	// retention is how long after its acceptance a job can be read.
	retention = 120 * time.Second
)

const itemBody = "prompt"

type jobResult struct{ ID, State, Output string }

type resultsPage struct {
	Total, Next int
	Results     []jobResult
}

// jobReads is an accepted job and what callers have read of it. It is safe for concurrent use.
type jobReads struct {
	job      string
	items    []string
	accepted time.Time

	mu        sync.Mutex
	results   []jobResult
	firstRead []time.Time // by position
}

// add checks a page of results against those read before: a result that was read at a position
// must be there, and the same, whatever entry is asked. sent is when the page was asked for.
func (r *jobReads) add(c *checks, after int, page []jobResult, sent time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
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

// known returns the number of results that were read.
func (r *jobReads) known() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.results)
}

// unlisted returns the items of which no result was read.
func (r *jobReads) unlisted() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(r.items), func(item string) bool {
		return slices.ContainsFunc(r.results, func(result jobResult) bool { return result.ID == item })
	})
}

// wholeFor reports whether all results were read at least d ago.
func (r *jobReads) wholeFor(d time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.results) == jobItems && time.Since(r.firstRead[jobItems-1]) >= d
}

// expired reports whether the job cannot be read again, with all that this may take, within its retention.
func (r *jobReads) expired() bool { return time.Since(r.accepted) > retention-2*rereadLimit }

// acceptedJobs are the jobs that got a 202. It is safe for concurrent use.
type acceptedJobs struct {
	mu   sync.Mutex
	jobs []*jobReads
}

func (a *acceptedJobs) add(r *jobReads) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.jobs = append(a.jobs, r)
}

// all returns the jobs in the order of their acceptance.
func (a *acceptedJobs) all() []*jobReads {
	a.mu.Lock()
	defer a.mu.Unlock()
	return slices.Clone(a.jobs)
}

// runJob submits a job and reads it from any entry until all its results are listed, and for
// rereadTime after that. Now and then it asks for the body of an item that is not listed.
func (c *caller) runJob(ctx context.Context, accepted *acceptedJobs) {
	reads := &jobReads{job: c.id()}
	var items []map[string]any
	for range jobItems {
		id := c.id()
		reads.items = append(reads.items, id)
		items = append(items, map[string]any{"Id": id, "Path": batchPrefix + id, "Headers": map[string]string{"X-Model": "m"}, "Body": []byte(itemBody), "Tokens": 100})
	}
	body, err := json.Marshal(map[string]any{"Items": items})
	if err != nil || !c.submit(ctx, reads.job, body) {
		return
	}
	reads.accepted = time.Now()
	accepted.add(reads)
	c.checks.count("jobs accepted")
	for end := time.Now().Add(jobTimeout); time.Now().Before(end) && !reads.wholeFor(rereadTime); {
		if !cicadaretry.Sleep(ctx, readInterval) {
			return
		}
		c.readPage(ctx, c.anyEntry(), reads, c.intN(reads.known()+1))
		if items := reads.unlisted(); len(items) > 0 && c.intN(3) == 0 {
			c.readBody(ctx, c.anyEntry(), reads, items[c.intN(len(items))])
		}
	}
	if reads.known() == jobItems {
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

// get reads from an entry, which may wait so long for a result. It returns 0 if no whole answer comes
// within the time for which a caller waits, and counts what came.
func (c *caller) get(ctx context.Context, p *process, path string, wait time.Duration) (status int, body []byte) {
	within, cancel := context.WithTimeout(ctx, wait+readMargin)
	defer cancel()
	header := map[string]string{}
	if wait > 0 {
		header["X-Wait-Ms"] = strconv.FormatInt(wait.Milliseconds(), 10)
	}
	sent := time.Now()
	res, err := c.do(within, p, http.MethodGet, path, header, nil)
	if err == nil {
		status = res.StatusCode
		body, err = io.ReadAll(res.Body)
		_ = res.Body.Close()
	}
	phase := c.checks.phase(sent)
	switch {
	case ctx.Err() != nil:
		return 0, nil
	case errors.Is(err, context.DeadlineExceeded):
		c.checks.count("reads unanswered " + phase)
		return 0, nil
	case err != nil:
		c.checks.count("reads broken off " + phase)
		return 0, nil
	}
	c.checks.count(fmt.Sprintf("reads answered %d %s", status, phase))
	return status, body
}

// readPage reads the results of a job from a position on at an entry, and checks them. It reports false
// if there is no answer, or one that promises nothing.
func (c *caller) readPage(ctx context.Context, p *process, reads *jobReads, after int) (n int, ok bool) {
	sent, wait := time.Now(), time.Duration(c.intN(2))*resultWait
	status, body := c.get(ctx, p, fmt.Sprintf("/cicadalink/lots/%s?After=%d", reads.job, after), wait)
	var page resultsPage
	switch {
	case status == http.StatusNotFound || status == http.StatusGone:
		c.checks.violate("accepted job not found", reads.job, fmt.Sprintf("status %d at %s", status, p.name))
		return 0, false
	case status != http.StatusOK || json.Unmarshal(body, &page) != nil:
		return 0, false
	}
	reads.add(c.checks, after, page.Results, sent)
	return len(page.Results), true
}

// readBody asks an entry for the body of an item that was not listed. It reports false if there is no
// answer, or one that promises nothing. An item that is not found has to be listed settleDelay later.
func (c *caller) readBody(ctx context.Context, p *process, reads *jobReads, item string) (ok bool) {
	sent := time.Now()
	status, body := c.get(ctx, p, fmt.Sprintf("/cicadalink/items/%s?Id=%s", reads.job, item), 0)
	switch {
	case status == http.StatusOK && !bytes.Equal(body, []byte(itemBody)):
		c.checks.violate("another body of an item", reads.job, item)
	case status == http.StatusNotFound && sent.Sub(reads.accepted) > settleDelay:
		return cicadaretry.Sleep(ctx, settleDelay) && c.expectListed(ctx, reads, item)
	}
	return status == http.StatusOK || status == http.StatusNotFound
}

// expectListed checks that an item that was not found is listed. It reports false if it cannot tell.
func (c *caller) expectListed(ctx context.Context, reads *jobReads, item string) (ok bool) {
	for slices.Contains(reads.unlisted(), item) {
		n, ok := c.readPage(ctx, c.anyEntry(), reads, reads.known())
		if !ok {
			return false
		}
		if n == 0 && slices.Contains(reads.unlisted(), item) {
			c.checks.violate("item of an accepted job not found", reads.job, item)
			return true
		}
	}
	return true
}
