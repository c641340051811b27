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
//	sound N PART...                  N requests with these parts have succeeded, which ran for 1s
//	long N PART...                   the same, but they ran for 10s
//	success AGO PART...              one that was sent that long ago has got its first event
//	complete AGO PART...             one that was sent that long ago was answered completely
//	crash REQUEST ENDPOINT PART...   an endpoint has crashed before the first event
//	midway REQUEST ENDPOINT PART...  an endpoint has crashed after the first event
//	adopt PART REMAINING AGE         another process reports a quarantine for early crashes, the first
//	                                 of them that long ago
//	adopt-any PART REMAINING AGE     the same for crashes at any time
//	told-sound PART...               another process has seen a first event with these parts
//	told-complete AGO PART...        another process has seen a complete answer to a request with
//	                                 these parts that was sent that long ago
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
	case "sound", "long":
		n, err := strconv.Atoi(args[0])
		assert.NilError(t, err)
		for range n {
			p.succeed(soundRunTime[fields[0]], p.parts(args[1:]))
		}
	case "success":
		p.table.RecordAnswer(p.parts(args[1:]), p.now.Add(-p.duration(t, args[0])), p.now)
	case "complete":
		p.table.RecordSuccess(0, p.parts(args[1:]), p.now.Add(-p.duration(t, args[0])), p.now)
	case "crash", "midway":
		p.runs++
		p.table.RecordCrash(Crash{
			Request: xxhash.Sum64String(args[0]), Run: p.runs, Endpoint: xxhash.Sum64String(args[1]), Parts: p.parts(args[2:]),
			SentAt: p.now.Add(-crashRunTime), Answered: fields[0] == "midway",
		}, p.now)
		p.now = p.now.Add(time.Millisecond)
	case "adopt", "adopt-any":
		p.table.Adopt(PartQuarantine{
			Part: p.parts(args[:1])[0], Remaining: p.duration(t, args[1]), Since: p.now.Add(-p.duration(t, args[2])), Early: fields[0] == "adopt",
		}, p.now)
	case "told-sound":
		p.now = p.now.Add(time.Millisecond)
		p.tell(p.now, false, p.parts(args))
	case "told-complete":
		p.tell(p.now.Add(-p.duration(t, args[0])), true, p.parts(args[1:]))
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

// soundRunTime is how long the requests of a command run.
var soundRunTime = map[string]time.Duration{"sound": time.Second, "long": 10 * time.Second}

// crashRunTime is how long a run takes that a crash ends.
const crashRunTime = 100 * time.Millisecond

// succeed plays a request that was answered completely.
func (p *partPlayer) succeed(took time.Duration, parts []uint64) {
	p.table.RecordAnswer(parts, p.now.Add(-took), p.now)
	p.table.RecordSuccess(0, parts, p.now.Add(-took), p.now)
}

// tell plays the report of another process that parts are sound.
func (p *partPlayer) tell(sentAt time.Time, complete bool, parts []uint64) {
	for _, part := range parts {
		p.table.RecordSound(SoundPart{Part: part, SentAt: sentAt, Complete: complete}, p.now)
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
		table.RecordAnswer([]uint64{1, 10 + i%5}, now, now)
	}
	for i := range uint64(3) {
		table.RecordCrash(Crash{Request: i, Run: i, Endpoint: i, Parts: []uint64{1, 10, 99}}, now)
	}
	for _, q := range table.Quarantines(now) {
		fmt.Println(q.Part, q.Remaining)
	}
	// Output: 99 1m0s
}
