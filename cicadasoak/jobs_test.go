package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// A fakeSystem answers reads of one job in place of the entries.
type fakeSystem struct {
	listed  []jobResult
	from    time.Time                  // nothing is listed before
	body    string                     // of items, or empty if they are not found
	refuses func(*http.Request) int    // status to refuse with, or 0
	silent  func(r *http.Request) bool // no answer comes
}

// RoundTrip implements http.RoundTripper.
func (f *fakeSystem) RoundTrip(r *http.Request) (*http.Response, error) {
	if f.silent != nil && f.silent(r) {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	w := httptest.NewRecorder()
	switch {
	case f.refuses != nil && f.refuses(r) != 0:
		w.WriteHeader(f.refuses(r))
	case !strings.HasPrefix(r.URL.Path, "/cicadalink/items/"):
		after, _ := strconv.Atoi(r.URL.Query().Get("After"))
		results := f.listed[min(after, len(f.listed)):]
		if time.Now().Before(f.from) {
			results = nil
		}
		_ = json.NewEncoder(w).Encode(resultsPage{Total: jobItems, Next: after + len(results), Results: results})
	case f.body == "":
		w.WriteHeader(http.StatusNotFound)
	default:
		_, _ = w.WriteString(f.body)
	}
	return w.Result(), nil
}

// results returns so many results of items 0 and on.
func results(n int) []jobResult {
	var out []jobResult
	for i := range n {
		out = append(out, jobResult{ID: strconv.Itoa(i), State: "errored"})
	}
	return out
}

// newReader returns a caller of two entries that a system plays, and a job that was accepted.
func newReader(f *fakeSystem) (*caller, *jobReads) {
	c := newCaller([]*process{{name: "a", ip: "a"}, {name: "b", ip: "b"}}, newChecks(hclog.NewNullLogger()), newRandom(1))
	c.client.Transport = f
	reads := &jobReads{job: "j", accepted: time.Now()}
	for i := range jobItems {
		reads.items = append(reads.items, strconv.Itoa(i))
	}
	return c, reads
}

func always(*http.Request) bool { return true }

// TestJobsLostAtTheEndAreFound shows that each check of the last reads of a job can fail, and that one
// entry that does not answer is no loss.
func TestJobsLostAtTheEndAreFound(t *testing.T) {
	isBody := func(r *http.Request) bool { return strings.Contains(r.URL.Path, "/items/") }
	other := results(jobItems)
	other[2].Output = "other"
	for name, c := range map[string]struct {
		system fakeSystem
		want   string
	}{
		"whole":             {fakeSystem{listed: results(jobItems)}, ""},
		"unfinished":        {fakeSystem{listed: results(4), body: itemBody}, ""},
		"one entry silent":  {fakeSystem{listed: results(jobItems), silent: func(r *http.Request) bool { return r.URL.Hostname() == "a" }}, ""},
		"silent":            {fakeSystem{silent: always}, lostJob},
		"refused":           {fakeSystem{refuses: func(*http.Request) int { return http.StatusServiceUnavailable }}, lostJob},
		"not found":         {fakeSystem{refuses: func(*http.Request) int { return http.StatusNotFound }}, "accepted job not found"},
		"results lost":      {fakeSystem{listed: results(2), body: itemBody}, lostResults},
		"result changed":    {fakeSystem{listed: other}, "another result at a position"},
		"item not found":    {fakeSystem{listed: results(4)}, "item of an accepted job not found"},
		"body changed":      {fakeSystem{listed: results(4), body: "other"}, "another body of an item"},
		"bodies unanswered": {fakeSystem{listed: results(4), silent: isBody}, lostBody},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reader, reads := newReader(&c.system)
				reads.add(reader.checks, 0, results(3), time.Now())
				time.Sleep(2 * settleDelay)
				reader.readAgain(t.Context(), reads)
				assert.Equal(t, reader.checks.broken(), c.want != "", reader.checks.summary())
				assert.Equal(t, reader.checks.violations[c.want] > 0, c.want != "", reader.checks.summary())
			})
		})
	}
}

// TestItemFinishedMeanwhileMayBeMissing guards against a check of bodies that takes an item that has just
// been listed, or a job that has just been accepted, for a loss.
func TestItemFinishedMeanwhileMayBeMissing(t *testing.T) {
	for name, c := range map[string]struct {
		age    time.Duration
		listed int // after the body was asked for
		want   bool
	}{
		"listed":        {2 * settleDelay, 1, false},
		"not listed":    {2 * settleDelay, 0, true},
		"just accepted": {settleDelay / 2, 0, false},
	} {
		synctest.Test(t, func(t *testing.T) {
			reader, reads := newReader(&fakeSystem{listed: results(c.listed), from: time.Now().Add(c.age + settleDelay/2)})
			time.Sleep(c.age)
			reader.readBody(t.Context(), reader.entries[0], reads, "0")
			assert.Equal(t, reader.checks.violations["item of an accepted job not found"] == 1, c.want, name)
		})
	}
}

// TestReadsWithoutAnAnswerAreCounted shows that callers give up readMargin beyond what they allow, and that
// reads under faults, in calm and at the end are told apart.
func TestReadsWithoutAnAnswerAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reader, reads := newReader(&fakeSystem{silent: always})
		counts := reader.checks.counts
		for _, wait := range []time.Duration{0, resultWait} {
			sent := time.Now()
			status, _ := reader.get(t.Context(), reader.entries[0], "/", wait)
			assert.Equal(t, status, 0)
			assert.Equal(t, time.Since(sent), wait+readMargin)
		}
		assert.Equal(t, counts["reads unanswered in calm"], 2)
		time.AfterFunc(readMargin/2, func() { reader.checks.disturb(time.Minute) })
		reader.readPage(t.Context(), reader.entries[0], reads, 0)
		reader.client.Transport = &fakeSystem{refuses: func(*http.Request) int { return http.StatusServiceUnavailable }}
		reader.readPage(t.Context(), reader.entries[0], reads, 0)
		assert.Equal(t, counts["reads unanswered under faults"], 1)
		assert.Equal(t, counts["reads answered 503 under faults"], 1)
		time.Sleep(time.Minute + recoveryTime)
		assert.Equal(t, reader.checks.phase(time.Now()), "in calm")
		reader.checks.end()
		assert.Equal(t, reader.checks.phase(time.Now()), "at the end")
		assert.Assert(t, !reader.checks.broken())
	})
}

// TestJobsBeyondTheirRetentionAreNotReadAgain guards against a long run that takes a job which need not
// be kept any more for a loss.
func TestJobsBeyondTheirRetentionAreNotReadAgain(t *testing.T) {
	for age, lost := range map[time.Duration]int{retention - 2*rereadLimit: 1, retention - rereadLimit: 0} {
		synctest.Test(t, func(t *testing.T) {
			reader, reads := newReader(&fakeSystem{silent: always})
			time.Sleep(age)
			reader.readAgain(t.Context(), reads)
			assert.Equal(t, reader.checks.violations[lostJob], lost)
			assert.Equal(t, reader.checks.counts["jobs too old to be read again"], 1-lost)
		})
	}
}
