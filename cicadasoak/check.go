package main

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
)

// maxMixedStreams is the number of streams that may hold events of two versions if processes are disturbed.
const maxMixedStreams = 2

// checks collects what breaks the order of streams, of the outputs of items, of configurations
// and of results. It is safe for concurrent use.
type checks struct {
	log hclog.Logger
	// maxMixed is the number of streams and outputs that may hold events of two versions.
	maxMixed int

	mu         sync.Mutex
	counts     map[string]int
	violations map[string]int
	// disturbedUntil is when the processes have recovered from the faults so far.
	disturbedUntil time.Time
	ended          bool
}

func newChecks(log hclog.Logger) *checks {
	return &checks{log: log, maxMixed: maxMixedStreams, counts: make(map[string]int), violations: make(map[string]int)}
}

// recoveryTime is how long after the end of a fault its effects are to be expected.
const recoveryTime = 3 * time.Second

// disturb notes that a fault begins now that ends after a time.
func (c *checks) disturb(length time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until := time.Now().Add(length + recoveryTime); until.After(c.disturbedUntil) {
		c.disturbedUntil = until
	}
}

// end notes that there are no more faults and no more traffic.
func (c *checks) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
}

// phase tells whether something that lasted from a time until now met faults.
func (c *checks) phase(from time.Time) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.ended:
		return "at the end"
	case from.Before(c.disturbedUntil): // of a fault that began before or meanwhile
		return "under faults"
	}
	return "in calm"
}

// count counts an outcome that breaks no rule.
func (c *checks) count(outcome string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[outcome]++
}

func (c *checks) violate(rule, subject, detail string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations[rule]++
	c.log.Error("out of order", "rule", rule, "subject", subject, "detail", detail)
}

// Rules that are named more than once.
const (
	mixedVersions  = "two versions in one stream"
	missingResults = "results that were read are missing"
	lostJob        = "accepted job lost at the end"
	lostResults    = "results that were read lost at the end"
	lostBody       = "body of an item lost at the end"
)

// broken reports whether a rule was broken.
func (c *checks) broken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for rule, n := range c.violations {
		if rule != mixedVersions || n > c.maxMixed {
			return true
		}
	}
	return false
}

func (c *checks) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return fmt.Sprintf("violations %v, counted %v", c.violations, c.counts)
}

// A transcript is what a caller has of one stream, over all its requests, or the output of an
// item.
type transcript struct {
	name    string
	last    int // id of the last event
	version string
	mixed   bool // reported
}

// add checks the next event.
func (t *transcript) add(c *checks, id int, data string) {
	var stream, version string
	var n int
	if _, err := fmt.Sscanf(data, "%s %s %d", &stream, &version, &n); err != nil {
		c.violate("not an event", t.name, data)
		return
	}
	if stream != t.name || n != id {
		c.violate("event of another stream", t.name, data)
	}
	if version == otherService {
		c.violate("run by another service", t.name, data)
	}
	if id != t.last+1 {
		c.violate("event missing or doubled", t.name, fmt.Sprintf("event %d follows event %d", id, t.last))
	}
	t.last = id
	if t.version == "" {
		t.version = version
	}
	if version != t.version && !t.mixed {
		t.mixed = true
		c.violate(mixedVersions, t.name, fmt.Sprintf("event %d of %s, begun at %s", id, version, t.version))
	}
}

// end checks that a stream that ended without an error is whole.
func (t *transcript) end(c *checks) {
	if t.last != streamEvents {
		c.violate("end before the last event", t.name, fmt.Sprintf("event %d of %d", t.last, streamEvents))
	}
}

// checkOutput checks the output of an item that is listed as complete.
func (c *checks) checkOutput(item, output string) {
	t := &transcript{name: item}
	for i, line := range strings.Split(output, "\n") {
		t.add(c, i+1, line)
	}
	t.end(c)
	if t.mixed {
		c.count("outputs of two versions")
	}
}
