package main

import (
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// TestChecksFindEachFault shows that each check can fail.
func TestChecksFindEachFault(t *testing.T) {
	whole := make([]string, streamEvents)
	for i := range whole {
		whole[i] = eventData("s", "v1", i+1)
	}
	replaced := func(i int, data string) []string {
		out := append([]string(nil), whole...)
		out[i] = data
		return out
	}
	for rule, output := range map[string][]string{
		"":                          whole,
		"end before the last event": whole[:streamEvents-1],
		"event of another stream":   replaced(3, eventData("other", "v1", 4)),
		mixedVersions:               replaced(streamEvents-1, eventData("s", "v2", streamEvents)),
		"not an event":              replaced(3, "x"),
		"run by another service":    replaced(3, eventData("s", otherService, 4)),
	} {
		c := newChecks(hclog.NewNullLogger())
		c.checkOutput("s", strings.Join(output, "\n"))
		assert.Equal(t, c.violations[rule] > 0, rule != "", rule)
		assert.Equal(t, len(c.violations) > 0, rule != "")
	}
	c := newChecks(hclog.NewNullLogger())
	tr := &transcript{name: "s"}
	tr.add(c, 1, eventData("s", "v1", 1))
	tr.add(c, 3, eventData("s", "v1", 3))
	assert.Assert(t, c.violations["event missing or doubled"] == 1 && c.broken())
}

// TestMissingResultsAreFound shows that the check of results that were read can fail.
func TestMissingResultsAreFound(t *testing.T) {
	first, second := jobResult{ID: "a", State: "errored"}, jobResult{ID: "b", State: "errored"}
	for name, c := range map[string]struct {
		after int
		page  []jobResult
		sent  time.Duration // after the first read
		want  string
	}{
		"same":              {0, []jobResult{first, second}, time.Minute, ""},
		"rest":              {1, []jobResult{second}, time.Minute, ""},
		"not settled":       {0, nil, settleDelay / 2, ""},
		"missing":           {0, []jobResult{first}, 2 * settleDelay, missingResults},
		"missing after one": {1, nil, 2 * settleDelay, missingResults},
		"replaced":          {0, []jobResult{second, first}, time.Minute, "another result at a position"},
	} {
		checks := newChecks(hclog.NewNullLogger())
		reads := &jobReads{job: "j"}
		reads.add(checks, 0, []jobResult{first, second}, time.Now())
		reads.add(checks, c.after, c.page, time.Now().Add(c.sent))
		assert.Equal(t, checks.broken(), c.want != "", name)
		assert.Equal(t, checks.violations[c.want] > 0, c.want != "", name)
	}
}
