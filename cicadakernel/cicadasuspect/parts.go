package cicadasuspect

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// minCrashedRequests is the number of different requests with a part that must have
	// crashed endpoints before the part is quarantined.
	minCrashedRequests = 3
	// significance is the largest probability at which as many crashed requests hold a
	// part by chance, if the part is quarantined.
	significance = 1e-5
	// reportWindow is how long a report counts, and maxReports limits the reports that are
	// kept.
	reportWindow = 30 * time.Second
	maxReports   = 128
	// partPeriod is how long a part is quarantined after its last crash. The period doubles
	// with each new quarantine of the part, up to maxPartPeriod.
	partPeriod    = time.Minute
	maxPartPeriod = 10 * time.Minute
	// probation is how long after the end of a quarantine a single crash renews it.
	probation = 10 * time.Minute
	// soundHold is how long a part that was found sound is not quarantined at the word of
	// another process, which may not know it yet.
	soundHold     = 5 * time.Second
	maxPartLevel  = 8
	maxQuarantine = 256 // parts
)

// A Crash reports a run during which the connection to the endpoint broke before the
// first event.
type Crash struct {
	Request  uint64   // fingerprint
	Run      uint64   // identifies the run
	Endpoint uint64   // identifies the endpoint
	Parts    []uint64 // of the prompt that other requests may share, in order
}

// A PartQuarantine is a quarantined part of prompts, the time until the quarantine ends,
// and how often the part was quarantined before.
type PartQuarantine struct {
	Part      uint64
	Remaining time.Duration
	Level     int
}

type partCrash struct {
	Crash
	at        time.Time
	explained bool // by a part that is quarantined
}

type partState struct {
	since time.Time // when its first crash was reported
	until time.Time
	level int
}

// A PartTable finds parts of prompts that crash endpoints, whatever else a request holds.
// Requests with such a part differ, so that the fingerprint of one says nothing about the
// next one.
//
// Each crash leaves the requests without an event as candidates, one of which caused it.
// A part is quarantined if several of them hold it, no request with the part that was
// sent after the first crash has succeeded, more of them hold it than its share of sound
// requests explains, and no other part explains the same crashes better.
//
// A PartTable is safe for concurrent use.
type PartTable struct {
	name string

	mu      sync.Mutex
	crashes []partCrash // the oldest first
	states  map[uint64]*partState
	soundAt map[uint64]time.Time // parts found sound within soundHold
	sound   frequencies
}

// NewPartTable returns a table of the named process. Its quarantines end some time after
// those of other processes, so that the first request after a quarantine is a trial and
// its crash warns the others.
func NewPartTable(name string) *PartTable {
	return &PartTable{name: name, states: make(map[uint64]*partState), soundAt: make(map[uint64]time.Time)}
}

// RecordCrash records a crash, seen by this process or another one. It returns the parts
// that are quarantined for it. Each run must be recorded once.
func (t *PartTable) RecordCrash(c Crash, now time.Time) (quarantined []uint64) {
	if len(c.Parts) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if part, ok := t.knownCause(c.Parts); ok {
		return t.renew(part, now)
	}
	if len(t.crashes) >= maxReports {
		t.crashes = t.crashes[1:]
	}
	t.crashes = append(t.crashes, partCrash{Crash: Crash{Request: c.Request, Endpoint: c.Endpoint, Parts: slices.Clone(c.Parts)}, at: now})
	for _, part := range c.Parts {
		if t.causesCrashes(part) {
			t.quarantine(part, now)
			quarantined = append(quarantined, part)
		}
	}
	return quarantined
}

func (t *PartTable) expire(now time.Time) {
	t.crashes = slices.DeleteFunc(t.crashes, func(c partCrash) bool { return now.Sub(c.at) > reportWindow })
	for part, s := range t.states {
		if now.Sub(s.until) > probation {
			delete(t.states, part)
		}
	}
	for part, at := range t.soundAt {
		if now.Sub(at) > soundHold {
			delete(t.soundAt, part)
		}
	}
}

// knownCause returns the part among parts that is or was quarantined.
func (t *PartTable) knownCause(parts []uint64) (uint64, bool) {
	for _, part := range slices.Backward(parts) {
		if t.states[part] != nil {
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

// quarantine quarantines a part. The crashes that it explains, and those of other
// requests at the same endpoints, are no evidence against other parts.
func (t *PartTable) quarantine(part uint64, now time.Time) {
	since := now
	var endpoints []uint64
	for _, c := range t.crashes {
		if slices.Contains(c.Parts, part) {
			endpoints = append(endpoints, c.Endpoint)
			if c.at.Before(since) {
				since = c.at
			}
		}
	}
	for i := range t.crashes {
		if slices.Contains(endpoints, t.crashes[i].Endpoint) {
			t.crashes[i].explained = true
		}
	}
	t.setState(part, &partState{since: since, until: now.Add(partPeriod)})
}

func (t *PartTable) setState(part uint64, s *partState) {
	if len(t.states) >= maxQuarantine {
		t.evictEarliest()
	}
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

// RecordSuccess records that a request with the given parts, sent at sentAt, was answered,
// at least in part. It returns the parts that were under suspicion and are found sound,
// which other processes should be told.
func (t *PartTable) RecordSuccess(parts []uint64, sentAt, now time.Time) (sound []uint64) {
	if len(parts) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sound.add(parts, now)
	for _, part := range parts {
		if t.acquit(part, sentAt, now) {
			sound = append(sound, part)
		}
	}
	return sound
}

// acquit drops the evidence against a part from before sentAt. It reports whether this
// matters to others: the part was quarantined or close to it.
func (t *PartTable) acquit(part uint64, sentAt, now time.Time) bool {
	dropped := 0
	for i := range t.crashes {
		c := &t.crashes[i]
		if at := slices.Index(c.Parts, part); at >= 0 && !c.explained && c.at.Before(sentAt) {
			c.Parts = slices.Delete(c.Parts, at, at+1)
			dropped++
		}
	}
	s := t.states[part]
	if s != nil && s.since.Before(sentAt) {
		delete(t.states, part)
		t.soundAt[part] = now
		return true
	}
	return dropped >= minCrashedRequests-1
}

// RecordSound records that another process has found parts sound.
func (t *PartTable) RecordSound(parts []uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, part := range parts {
		t.acquit(part, now, now)
	}
}

// Adopt records a quarantine that another process reports.
func (t *PartTable) Adopt(q PartQuarantine, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	if _, sound := t.soundAt[q.Part]; sound || q.Remaining <= 0 {
		return
	}
	level := min(max(q.Level, 0), maxPartLevel)
	s := t.states[q.Part]
	if s != nil && (now.Before(s.until) || s.level > level) {
		return
	}
	t.setState(q.Part, &partState{since: now, until: now.Add(min(q.Remaining, maxPartPeriod)), level: level})
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
			out = append(out, PartQuarantine{Part: part, Remaining: remaining, Level: s.level})
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
