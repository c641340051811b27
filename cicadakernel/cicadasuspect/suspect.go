// Package cicadasuspect keeps track of requests that may crash endpoints. When
// an endpoint dies, everything in flight there is suspect. A suspect is run
// again apart from other suspects; a second crash on a different endpoint
// quarantines it for a time, and an answer clears it.
//
// # Usage
//
//	var table cicadasuspect.Table
//	table.Crashed(fingerprint, "ee-1-w07", now)
//	switch table.Verdict(fingerprint, now, period) {
//	case cicadasuspect.Clear:
//	case cicadasuspect.Suspect:     // run it apart
//	case cicadasuspect.Quarantined: // refuse it
//	}
//
// Tables of several processes converge: each report is passed to all of them,
// and reports may arrive in any order and more than once.
package cicadasuspect

import (
	"sync"
	"time"
)

const (
	crashesToQuarantine = 2
	maxTracked          = 10000
)

// A Verdict says how a request is to be treated.
type Verdict int

// Verdicts.
const (
	Clear Verdict = iota
	Suspect
	Quarantined
)

type record struct {
	endpoints map[string]struct{}
	last      time.Time
}

// A Table holds suspicions by fingerprint. The zero value is ready to use.
type Table struct {
	mu      sync.Mutex
	records map[uint64]*record
}

// Crashed records that an endpoint died with the request in flight.
func (t *Table) Crashed(fingerprint uint64, endpoint string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.get(fingerprint, now)
	r.endpoints[endpoint] = struct{}{}
	r.last = now
}

func (t *Table) get(fingerprint uint64, now time.Time) *record {
	if t.records == nil {
		t.records = make(map[uint64]*record)
	}
	r, ok := t.records[fingerprint]
	if !ok {
		t.makeRoom()
		r = &record{endpoints: make(map[string]struct{}), last: now}
		t.records[fingerprint] = r
	}
	return r
}

// makeRoom drops the record that was longest without a crash.
func (t *Table) makeRoom() {
	if len(t.records) < maxTracked {
		return
	}
	var oldest uint64
	var at time.Time
	for fingerprint, r := range t.records {
		if at.IsZero() || r.last.Before(at) {
			oldest, at = fingerprint, r.last
		}
	}
	delete(t.records, oldest)
}

// Answered clears a request that has been answered, unless it is quarantined.
func (t *Table) Answered(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[fingerprint]; ok && len(r.endpoints) < crashesToQuarantine {
		delete(t.records, fingerprint)
	}
}

// Release ends a quarantine at an operator's word.
func (t *Table) Release(fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, known := t.records[fingerprint]
	delete(t.records, fingerprint)
	return known
}

// Verdict returns how a request is to be treated. Suspicion and quarantine end
// a period after the last crash.
func (t *Table) Verdict(fingerprint uint64, now time.Time, period time.Duration) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[fingerprint]
	if !ok {
		return Clear
	}
	if now.Sub(r.last) > period {
		delete(t.records, fingerprint)
		return Clear
	}
	if len(r.endpoints) >= crashesToQuarantine {
		return Quarantined
	}
	return Suspect
}

// Remaining returns how long a quarantine still lasts.
func (t *Table) Remaining(fingerprint uint64, now time.Time, period time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[fingerprint]
	if !ok {
		return 0
	}
	return max(period-now.Sub(r.last), 0)
}

// Len returns how many requests are tracked.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}
