// Package cicadaexplain extracts the lines about one request, job or item from the log
// files of a deployment and orders them by time.
//
// # Usage
//
//	timeline, err := cicadaexplain.Read("9c41d07be2a35f68", "entry-1.log", "owner-1.log")
//	err = timeline.Write(os.Stdout)
//
// Log lines are JSON objects. The source of a line is the name of its file. If a log
// collector has put a prefix before the object, the source is the last word of the
// prefix. The clocks of two processes may differ by seconds: if a line that must
// follow a line of another source has an earlier timestamp, all lines of its source
// are shifted by the difference, and Write reports the shift.
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
	maxLineBytes = 1 << 20
	// minNetworkDelay is the assumed minimum time between an event in one process and
	// its effect in another process.
	minNetworkDelay = time.Millisecond
)

// ErrNotFound reports that no log line mentions the ID.
var ErrNotFound = merry.Sentinel("cicadaexplain: id not found in the logs")

// causalOrder lists pairs of log messages about the same ID. If two processes log them,
// the effect can't be earlier than the cause.
var causalOrder = []struct{ cause, effect string }{
	{"job accepted", "job call"},
	{"job known", "job loaded"},
	{"job handed over", "progress taken over"},
}

// A line is one parsed log line.
type line struct {
	source    string
	timestamp time.Time
	shift     time.Duration // corrects the clock of the source
	message   string
	fields    map[string]any
	index     int // position among the log lines of the file
}

// correctedTime returns the time of the line with the shift applied.
func (l *line) correctedTime() time.Time { return l.timestamp.Add(l.shift) }

// A Timeline holds the log lines about one ID, ordered by time.
type Timeline struct {
	id     string
	lines  []*line
	shifts map[string]time.Duration // by source
}

// Read returns the lines of log files that mention an ID. For the ID of an item, it
// includes the lines about the item's job.
func Read(id string, files ...string) (*Timeline, error) {
	var all []*line
	for _, file := range files {
		lines, err := readFile(file)
		if err != nil {
			return nil, merry.Errorf("read %s: %w", file, err)
		}
		all = append(all, lines...)
	}
	jobs := jobsOfItem(id, all)
	t := &Timeline{id: id, shifts: make(map[string]time.Duration)}
	for _, l := range all {
		if l.mentions(id, jobs) {
			t.lines = append(t.lines, l)
		}
	}
	if len(t.lines) == 0 {
		return nil, merry.Errorf("%s: %w", id, ErrNotFound)
	}
	t.correctClocks()
	slices.SortStableFunc(t.lines, func(a, b *line) int { return a.correctedTime().Compare(b.correctedTime()) })
	return t, nil
}

func readFile(file string) ([]*line, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	var lines []*line
	scanner := bufio.NewScanner(f)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for scanner.Scan() {
		if l := parseLine(scanner.Text(), filepath.Base(file)); l != nil {
			l.index = len(lines)
			lines = append(lines, l)
		}
	}
	return lines, scanner.Err()
}

// parseLine parses a line of a log file. It returns nil if text isn't a log line.
func parseLine(text, file string) *line {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return nil
	}
	var fields map[string]any
	if json.Unmarshal([]byte(text[start:]), &fields) != nil {
		return nil
	}
	message, _ := fields["@message"].(string)
	timestampText, _ := fields["@timestamp"].(string)
	parsed, err := time.Parse(time.RFC3339Nano, timestampText)
	if err != nil || message == "" {
		return nil
	}
	source := file
	if words := strings.Fields(text[:start]); len(words) > 0 {
		source = words[len(words)-1]
	}
	return &line{source: source, timestamp: parsed, message: message, fields: fields}
}

// jobsOfItem returns the IDs of the jobs that contain an item.
func jobsOfItem(item string, lines []*line) map[string]bool {
	jobs := make(map[string]bool)
	for _, l := range lines {
		if l.fields["item"] == item {
			if job, ok := l.fields["job"].(string); ok {
				jobs[job] = true
			}
		}
	}
	return jobs
}

// mentions reports whether the line is about an ID or about one of jobs. A line about an
// item of a job is included only for the ID of that item.
func (l *line) mentions(id string, jobs map[string]bool) bool {
	if l.fields["id"] == id || l.fields["item"] == id || (l.fields["job"] == id && l.fields["item"] == nil) {
		return true
	}
	job, ok := l.fields["job"].(string)
	return ok && jobs[job] && l.fields["item"] == nil
}

// correctClocks shifts the lines of sources whose clocks are behind until all lines
// are in causal order. The number of rounds is limited because no shifts may exist that
// satisfy all rules.
func (t *Timeline) correctClocks() {
	for range len(t.lines) {
		shifted := false
		for _, rule := range causalOrder {
			shifted = t.enforceOrder(rule.cause, rule.effect) || shifted
		}
		if !shifted {
			return
		}
	}
}

// enforceOrder compares the first line with the cause message and the first line with
// the effect message. If the effect is earlier and from another source, it shifts all
// lines of the effect's source. It reports whether it shifted any lines.
func (t *Timeline) enforceOrder(cause, effect string) bool {
	causeLine, effectLine := t.firstWithMessage(cause), t.firstWithMessage(effect)
	if causeLine == nil || effectLine == nil || causeLine.source == effectLine.source ||
		!effectLine.correctedTime().Before(causeLine.correctedTime()) {
		return false
	}
	shift := causeLine.correctedTime().Sub(effectLine.correctedTime()) + minNetworkDelay
	t.shifts[effectLine.source] += shift
	for _, l := range t.lines {
		if l.source == effectLine.source {
			l.shift += shift
		}
	}
	return true
}

// firstWithMessage returns the first line with a message, or nil.
func (t *Timeline) firstWithMessage(message string) *line {
	for _, l := range t.lines {
		if l.message == message {
			return l
		}
	}
	return nil
}

// Write writes the shift of each source whose clock was corrected. Then it writes, for
// each log line, the time since the first line, the source, the message and the fields.
func (t *Timeline) Write(w io.Writer) error {
	start := t.lines[0].correctedTime()
	for _, source := range slices.Sorted(func(yield func(string) bool) {
		for source := range t.shifts {
			if !yield(source) {
				return
			}
		}
	}) {
		if _, err := fmt.Fprintf(w, "clock of %s moved by %v\n", source, t.shifts[source]); err != nil {
			return err
		}
	}
	for _, l := range t.lines {
		if _, err := fmt.Fprintf(w, "%+10.3fs  %-24s %-22s %s\n", l.correctedTime().Sub(start).Seconds(), l.source, l.message, l.formatFields()); err != nil {
			return err
		}
	}
	return nil
}

// formatFields returns the fields sorted by key, without those of the logger itself
// (@level, @message and the like).
func (l *line) formatFields() string {
	var keys []string
	for key := range l.fields {
		if !strings.HasPrefix(key, "@") && l.fields[key] != nil {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	parts := make([]string, len(keys))
	for i, key := range keys {
		parts[i] = fmt.Sprintf("%s=%v", key, l.fields[key])
	}
	return strings.Join(parts, " ")
}
