package cicadasuspect

import (
	"bufio"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
)

// TestPartTable runs the scripts in testdata. Their commands are:
//
//	sound N PART...                  N requests with these parts have succeeded
//	success AGO PART...              one has succeeded that was sent that long ago
//	crash REQUEST ENDPOINT PART...   an endpoint has crashed before the first event
//	adopt PART REMAINING             another process reports a quarantine
//	told-sound PART...               another process has found parts sound
//	wait DURATION
//	quarantined PART... | none       these parts, and no others, are quarantined
func TestPartTable(t *testing.T) {
	scripts, err := filepath.Glob("testdata/*.txt")
	assert.NilError(t, err)
	assert.Assert(t, len(scripts) > 0)
	for _, script := range scripts {
		t.Run(strings.TrimSuffix(filepath.Base(script), ".txt"), func(t *testing.T) {
			p := &partPlayer{table: NewPartTable("me"), now: time.Unix(1000, 0), names: make(map[uint64]string)}
			file, err := os.Open(script)
			assert.NilError(t, err)
			defer file.Close()
			line := 0
			for lines := bufio.NewScanner(file); lines.Scan(); {
				line++
				if fields := strings.Fields(lines.Text()); len(fields) > 0 && fields[0] != "#" {
					p.play(t, line, fields)
				}
			}
		})
	}
}

// A partPlayer runs a script against a table, in virtual time.
type partPlayer struct {
	table *PartTable
	now   time.Time
	runs  uint64
	names map[uint64]string
}

func (p *partPlayer) parts(names []string) []uint64 {
	var parts []uint64
	for _, name := range names {
		part := xxhash.Sum64String(name)
		p.names[part] = name
		parts = append(parts, part)
	}
	return parts
}

func (p *partPlayer) play(t *testing.T, line int, fields []string) {
	args := fields[1:]
	switch fields[0] {
	case "sound":
		n, err := strconv.Atoi(args[0])
		assert.NilError(t, err)
		for range n {
			p.table.RecordSuccess(p.parts(args[1:]), p.now, p.now)
		}
	case "success":
		p.table.RecordSuccess(p.parts(args[1:]), p.now.Add(-p.duration(t, args[0])), p.now)
	case "crash":
		p.runs++
		p.table.RecordCrash(Crash{
			Request: xxhash.Sum64String(args[0]), Run: p.runs, Endpoint: xxhash.Sum64String(args[1]), Parts: p.parts(args[2:]),
		}, p.now)
		p.now = p.now.Add(time.Millisecond)
	case "adopt":
		p.table.Adopt(PartQuarantine{Part: p.parts(args[:1])[0], Remaining: p.duration(t, args[1])}, p.now)
	case "told-sound":
		p.now = p.now.Add(time.Millisecond)
		p.table.RecordSound(p.parts(args), p.now)
	case "wait":
		p.now = p.now.Add(p.duration(t, args[0]))
	case "quarantined":
		want := slices.DeleteFunc(args, func(name string) bool { return name == "none" })
		var got []string
		for part, name := range p.names {
			if _, _, ok := p.table.Quarantined([]uint64{part}, p.now); ok {
				got = append(got, name)
			}
		}
		slices.Sort(got)
		slices.Sort(want)
		assert.DeepEqual(t, strings.Join(got, " "), strings.Join(want, " "))
	default:
		t.Fatalf("line %d: unknown command %s", line, fields[0])
	}
}

func (p *partPlayer) duration(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	assert.NilError(t, err)
	return d
}

func TestBinomialTail(t *testing.T) {
	for _, c := range []struct {
		n, k int
		p    float64
		want float64
	}{
		{3, 0, 0.5, 1},
		{3, 3, 0.5, 0.125},
		{4, 3, 0.5, 0.3125},
		{1, 1, 1, 1},
	} {
		assert.Assert(t, math.Abs(binomialTail(c.n, c.k, c.p)-c.want) < 1e-9, "n=%d k=%d p=%v", c.n, c.k, c.p)
	}
}

// The first request after a quarantine is a trial: processes send the part again at
// different times.
func TestTrialsAreSpread(t *testing.T) {
	now := time.Unix(1000, 0)
	var ends []time.Duration
	for _, name := range []string{"a", "b", "c", "d", "e", "f", "g", "h"} {
		table := NewPartTable(name)
		table.Adopt(PartQuarantine{Part: 7, Remaining: partPeriod}, now)
		_, remaining, ok := table.Quarantined([]uint64{7}, now)
		assert.Assert(t, ok)
		ends = append(ends, remaining)
	}
	slices.Sort(ends)
	assert.Assert(t, ends[0] >= partPeriod && ends[len(ends)-1] <= 2*partPeriod)
	assert.Assert(t, ends[len(ends)-1]-ends[0] > partPeriod/2, "%v", ends)
}

func ExamplePartTable() {
	table := NewPartTable("entry-1")
	now := time.Unix(1000, 0)
	for i := range uint64(100) {
		table.RecordSuccess([]uint64{1, 10 + i%5}, now, now)
	}
	for i := range uint64(3) {
		table.RecordCrash(Crash{Request: i, Run: i, Endpoint: i, Parts: []uint64{1, 10, 99}}, now)
	}
	for _, q := range table.Quarantines(now) {
		fmt.Println(q.Part, q.Remaining)
	}
	// Output: 99 1m0s
}
