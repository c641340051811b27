package cicadasuspect

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// partPeriod is how long a part is quarantined after its last crash. The period doubles
	// with each new quarantine of the part, up to maxPartPeriod.
	partPeriod    = time.Minute
	maxPartPeriod = 10 * time.Minute
	// probation is how long after the end of a quarantine a single crash renews it.
	probation = 10 * time.Minute
	// releaseMemory is how long a release is remembered, for other processes that have not heard of
	// it.
	releaseMemory = maxPartPeriod
	// maxMessageDelay is how long a message to another process takes at most, unless it is lost.
	maxMessageDelay = 250 * time.Millisecond
	maxPartLevel    = 8
	maxQuarantine   = 256 // parts
)

// A Crash reports a run that ended with the crash of its endpoint.
type Crash struct {
	Request  uint64   // fingerprint
	Run      uint64   // identifies the run
	Endpoint uint64   // identifies the endpoint
	Parts    []uint64 // of the prompt that other requests may share, in order
	SentAt   time.Time
	// Answered is set if the run had got an event.
	Answered bool
	// Lost is set if the endpoint may not have crashed, and only the answer was lost.
	Lost bool
}

// A PartQuarantine is a quarantined part of prompts, the time until the quarantine ends,
// and how often the part was quarantined before.
type PartQuarantine struct {
	Part      uint64
	Remaining time.Duration
	Level     int
	// Since is when the crash was reported that it was suspected for.
	Since time.Time
	// Early is set if the part is known to crash endpoints before the first event only, so
	// that an event acquits it.
	Early bool
}

type partState struct {
	since time.Time // when its first crash was reported
	until time.Time
	level int
	early bool // see PartQuarantine
	// before is the sample of sound requests before the quarantine.
	before sample
}

// A PartTable finds parts of prompts that crash endpoints, whatever else a request holds.
// Requests with such a part differ, so that the fingerprint of one says nothing about the
// next one.
//
// Each crash leaves the requests that ran at the endpoint as candidates, one of which caused
// it. A part is quarantined if several of them hold it, no request with the part that was
// sent after the first crash has succeeded, more of them hold it than its share of sound
// requests explains, and no other part explains the same crashes better.
//
// This is decided twice. Among the candidates that had got no event, which are few, any event
// acquits a part. Among all candidates only a complete answer does, since a part may also crash
// endpoints later.
//
// A PartTable is safe for concurrent use.
type PartTable struct {
	name string

	mu        sync.Mutex
	log       crashLog
	states    map[uint64]*partState
	begun     frequencies        // of parts, by requests that got their first event
	completed frequencies        // of parts, by requests that were answered completely
	runTime   frequencies        // of parts, by the time for which those ran
	released  map[uint64]release // by part, within releaseMemory
}

// NewPartTable returns a table of the named process. Its quarantines end some time after
// those of other processes, so that the first request after a quarantine is a trial and
// its crash warns the others.
func NewPartTable(name string) *PartTable {
	return &PartTable{
		name: name, states: make(map[uint64]*partState), released: make(map[uint64]release),
	}
}

// RecordCrash records a crash, seen by this process or another one. It returns the parts
// that are quarantined for it. Each run must be recorded once.
func (t *PartTable) RecordCrash(c Crash, now time.Time) (quarantined []uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	crash := t.log.at(c.Endpoint, c.SentAt, now)
	if part, ok := t.knownCause(c); ok {
		crash.cause = part
		return t.renew(part, now)
	}
	crash.add(c)
	if crash.cause != 0 {
		return nil
	}
	for _, part := range c.Parts {
		early := !c.Answered && t.causesCrashes(part, beforeFirstEvent)
		if early || t.causesCrashes(part, wholeRun) {
			t.quarantine(part, early, now)
			quarantined = append(quarantined, part)
		}
	}
	return quarantined
}

func (t *PartTable) expire(now time.Time) {
	t.log.expire(now)
	for part, s := range t.states {
		if now.Sub(s.until) > probation {
			delete(t.states, part)
		}
	}
	for part, r := range t.released {
		if now.Sub(r.at) > releaseMemory {
			delete(t.released, part)
		}
	}
}

// knownCause returns the part of a crashed run that is or was quarantined for such crashes.
func (t *PartTable) knownCause(c Crash) (uint64, bool) {
	for _, part := range slices.Backward(c.Parts) {
		if s := t.states[part]; s != nil && !(s.early && c.Answered) {
			return part, true
		}
	}
	return 0, false
}

// renew prolongs a quarantine after another crash. If it had ended, it begins anew for a
// longer period and is returned.
func (t *PartTable) renew(part uint64, now time.Time) (quarantined []uint64) {
	s := t.states[part]
	if now.After(s.until) {
		s.level = min(s.level+1, maxPartLevel)
		s.since = now
		quarantined = []uint64{part}
	}
	s.until = now.Add(periodAt(s.level))
	return quarantined
}

func periodAt(level int) time.Duration { return min(partPeriod<<level, maxPartPeriod) }

// quarantine quarantines a part. The crashes that it explains are no evidence against
// other parts.
func (t *PartTable) quarantine(part uint64, early bool, now time.Time) {
	since := t.log.explain(part, now)
	t.setState(part, &partState{since: since, until: now.Add(partPeriod), early: early})
}

func (t *PartTable) setState(part uint64, s *partState) {
	if len(t.states) >= maxQuarantine {
		t.evictEarliest()
	}
	s.before = t.sample(part, wholeRun)
	t.states[part] = s
}

func (t *PartTable) evictEarliest() {
	var earliest uint64
	var until time.Time
	for part, s := range t.states {
		if until.IsZero() || s.until.Before(until) {
			earliest, until = part, s.until
		}
	}
	delete(t.states, earliest)
}

// Adopt records a quarantine that another process reports. If the part has been found sound since, it
// returns that instead, and the other process should be told.
func (t *PartTable) Adopt(q PartQuarantine, now time.Time) (sound SoundPart, void bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if r, ok := t.released[q.Part]; ok && r.voids(q) {
		return r.sound, true
	}
	level := min(max(q.Level, 0), maxPartLevel)
	s := t.states[q.Part]
	if s != nil && (now.Before(s.until) || s.level > level) {
		s.early = s.early && q.Early
		return SoundPart{}, false
	}
	if q.Remaining > 0 {
		t.log.explain(q.Part, now)
		t.setState(q.Part, &partState{
			since: q.Since.Add(-maxMessageDelay), until: now.Add(min(q.Remaining, maxPartPeriod)), level: level, early: q.Early,
		})
	}
	return SoundPart{}, false
}

// Quarantined returns a quarantined part among parts and the time until its quarantine
// ends at this process.
func (t *PartTable) Quarantined(parts []uint64, now time.Time) (part uint64, remaining time.Duration, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		if s := t.states[part]; s != nil {
			if remaining := s.until.Sub(now) + t.trialDelay(part, s.level); remaining > 0 {
				return part, remaining, true
			}
		}
	}
	return 0, 0, false
}

// trialDelay returns how much later than the quarantine's end this process sends the part
// to endpoints again.
func (t *PartTable) trialDelay(part uint64, level int) time.Duration {
	var key [8]byte
	for i := range key {
		key[i] = byte(part >> (8 * i))
	}
	h := xxhash.New()
	_, _ = h.WriteString(t.name)
	_, _ = h.Write(key[:])
	return time.Duration(float64(h.Sum64()) / math.MaxUint64 * float64(periodAt(level)))
}

// Quarantines returns the parts that are quarantined, sorted.
func (t *PartTable) Quarantines(now time.Time) []PartQuarantine {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []PartQuarantine
	for part, s := range t.states {
		if remaining := s.until.Sub(now); remaining > 0 {
			out = append(out, PartQuarantine{Part: part, Remaining: remaining, Level: s.level, Since: s.since, Early: s.early})
		}
	}
	slices.SortFunc(out, func(a, b PartQuarantine) int {
		if a.Part < b.Part {
			return -1
		}
		return 1
	})
	return out
}
