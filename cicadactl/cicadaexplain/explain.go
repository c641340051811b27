// Package cicadaexplain gathers from log files what the processes of a deployment
// decided about one request, job or item, and puts it in order.
//
// # Usage
//
//	chain, err := cicadaexplain.Read("9c41d07be2a35f68", "entry-1.log", "owner-1.log")
//	err = chain.Write(os.Stdout)
//
// Lines are JSON objects as the programs write them; what stands before the
// object, such as a collector's time stamp and the process's name, is kept as the
// line's source. Clocks of processes may differ by seconds. Where one line can
// only have followed another, the later process's lines are moved by the
// difference, and Write says by how much.
package cicadaexplain

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	maxLine = 1 << 20 // bytes
	// networkTime is the least time between a line and one that followed it in
	// another process.
	networkTime = time.Millisecond
)

// ErrNotFound reports that no line speaks of the id.
var ErrNotFound = merry.Sentinel("cicadaexplain: id not found in the logs")

// follows says which message can only come after which, for the same id, in
// different processes.
var follows = []struct{ cause, effect string }{
	{"job accepted", "job call"},
	{"job known", "job loaded"},
	{"job handed over", "progress taken over"},
}

// A line is one decision as it was logged.
type line struct {
	source string
	at     time.Time
	shift  time.Duration
	text   string
	fields map[string]any
	order  int
}

func (l *line) time() time.Time { return l.at.Add(l.shift) }

// A Chain is what was decided about one id, in order.
type Chain struct {
	id     string
	lines  []*line
	shifts map[string]time.Duration
}

// Read gathers the lines of log files that speak of an id. For an item's id the
// lines of its job are gathered too.
func Read(id string, files ...string) (*Chain, error) {
	var all []*line
	for _, file := range files {
		lines, err := readFile(file)
		if err != nil {
			return nil, merry.Errorf("read %s: %w", file, err)
		}
		all = append(all, lines...)
	}
	ids := related(id, all)
	c := &Chain{id: id, shifts: make(map[string]time.Duration)}
	for _, l := range all {
		if l.speaksOf(id, ids) {
			c.lines = append(c.lines, l)
		}
	}
	if len(c.lines) == 0 {
		return nil, merry.Errorf("%s: %w", id, ErrNotFound)
	}
	c.align()
	slices.SortStableFunc(c.lines, func(a, b *line) int { return a.time().Compare(b.time()) })
	return c, nil
}

func readFile(file string) ([]*line, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var lines []*line
	scanner := bufio.NewScanner(f)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLine)
	for scanner.Scan() {
		if l := parse(scanner.Text(), filepath.Base(file)); l != nil {
			l.order = len(lines)
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}

// parse returns a line, or nil if the text is no log line.
func parse(text, file string) *line {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return nil
	}
	var fields map[string]any
	if json.Unmarshal([]byte(text[start:]), &fields) != nil {
		return nil
	}
	message, _ := fields["@message"].(string)
	stamp, _ := fields["@timestamp"].(string)
	at, err := time.Parse(time.RFC3339Nano, stamp)
	if err != nil || message == "" {
		return nil
	}
	source := file
	if words := strings.Fields(text[:start]); len(words) > 0 {
		source = words[len(words)-1]
	}
	return &line{source: source, at: at, text: message, fields: fields}
}

// related returns the ids whose lines belong to the story of id: an item's job.
func related(id string, all []*line) map[string]bool {
	ids := make(map[string]bool)
	for _, l := range all {
		if l.fields["item"] == id {
			if job, ok := l.fields["job"].(string); ok {
				ids[job] = true
			}
		}
	}
	return ids
}

func (l *line) speaksOf(id string, jobs map[string]bool) bool {
	if l.fields["id"] == id || l.fields["item"] == id || (l.fields["job"] == id && l.fields["item"] == nil) {
		return true
	}
	job, ok := l.fields["job"].(string)
	return ok && jobs[job] && l.fields["item"] == nil
}

// align moves the lines of processes whose clocks are behind.
func (c *Chain) align() {
	for range len(c.lines) {
		moved := false
		for _, rule := range follows {
			moved = c.apply(rule.cause, rule.effect) || moved
		}
		if !moved {
			return
		}
	}
}

func (c *Chain) apply(cause, effect string) bool {
	first, last := c.first(cause), c.first(effect)
	if first == nil || last == nil || first.source == last.source || !last.time().Before(first.time()) {
		return false
	}
	by := first.time().Sub(last.time()) + networkTime
	c.shifts[last.source] += by
	for _, l := range c.lines {
		if l.source == last.source {
			l.shift += by
		}
	}
	return true
}

func (c *Chain) first(text string) *line {
	for _, l := range c.lines {
		if l.text == text {
			return l
		}
	}
	return nil
}

// Write prints the chain, a line for each decision: the time since the first, the
// process, the decision, and the inputs that decided it.
func (c *Chain) Write(w io.Writer) error {
	start := c.lines[0].time()
	for _, source := range slices.Sorted(func(yield func(string) bool) {
		for s := range c.shifts {
			if !yield(s) {
				return
			}
		}
	}) {
		if _, err := fmt.Fprintf(w, "clock of %s moved by %v\n", source, c.shifts[source]); err != nil {
			return err
		}
	}
	for _, l := range c.lines {
		if _, err := fmt.Fprintf(w, "%+10.3fs  %-24s %-22s %s\n", l.time().Sub(start).Seconds(), l.source, l.text, l.inputs()); err != nil {
			return err
		}
	}
	return nil
}

func (l *line) inputs() string {
	var names []string
	for name := range l.fields {
		if !strings.HasPrefix(name, "@") && l.fields[name] != nil {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	parts := make([]string, len(names))
	for i, name := range names {
		parts[i] = fmt.Sprintf("%s=%v", name, l.fields[name])
	}
	return strings.Join(parts, " ")
}
