// Package cicadasuspect tracks requests that may crash endpoints (poison
// requests). When an endpoint crashes, every request in flight there becomes a
// suspect. A suspect is retried isolated from other suspects. A crash of a second
// endpoint quarantines it for a period, and a success removes it from the table.
//
// # Usage
//
//	var table cicadasuspect.Table
//	table.RecordCrash(fingerprint, "ee-1-w07", now)
//	switch table.Status(fingerprint, now, period) {
//	case cicadasuspect.Normal:
//	case cicadasuspect.Suspect:     // run it without other suspects
//	case cicadasuspect.Quarantined: // reject it
//	}
//
// A request that differs from those before it can crash endpoints too, by one part of its
// prompt. A PartTable finds such parts. A Monitor combines both tables.
//
// Tables of several processes converge: each report is sent to all of them, and
// reports may arrive in any order and more than once. A process that was away while the
// reports were sent learns the quarantines from the others: Quarantines returns them,
// and Adopt records them.
package cicadasuspect

import (
	"slices"
	"sync"
	"time"
)

const (
	// quarantineEndpoints is the number of crashed endpoints at which a request
	// is quarantined.
	quarantineEndpoints = 2
	maxRecords          = 10000
	// maxQuarantines limits the result of Quarantines.
	maxQuarantines = 32
)

// A Status specifies how a request is to be treated.
type Status int

const (
	// Normal requests have no recent crash.
	Normal Status = iota
	// Suspect requests were in flight at one crashed endpoint.
	Suspect
	// Quarantined requests were in flight at several crashed endpoints.
	Quarantined
)

// A Quarantine is a quarantined request and the time until the quarantine ends.
type Quarantine struct {
	Fingerprint uint64
	Remaining   time.Duration
}

type record struct {
	endpoints   map[string]struct{} // endpoints that crashed
	adopted     bool                // quarantined by another process
	lastCrashAt time.Time
}

func (r *record) quarantined() bool { return r.adopted || len(r.endpoints) >= quarantineEndpoints }

// A Table holds crash records by request fingerprint. The zero value is ready to
// use, and a Table is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	records map[uint64]*record
	latest  []uint64 // quarantined requests, the latest last
}

// RecordCrash records that an endpoint crashed with the request in flight.
func (t *Table) RecordCrash(fingerprint uint64, endpoint string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.getOrCreate(fingerprint, now)
	r.endpoints[endpoint] = struct{}{}
	r.lastCrashAt = now
	t.noteQuarantine(fingerprint, r)
}

// Quarantine quarantines a request, whose crashes were counted elsewhere.
func (t *Table) Quarantine(fingerprint uint64, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.getOrCreate(fingerprint, now)
	r.adopted, r.lastCrashAt = true, now
	t.noteQuarantine(fingerprint, r)
}

// noteQuarantine keeps the latest quarantines for Quarantines.
func (t *Table) noteQuarantine(fingerprint uint64, r *record) {
	if !r.quarantined() || slices.Contains(t.latest, fingerprint) {
		return
	}
	if len(t.latest) >= maxQuarantines {
		t.latest = t.latest[1:]
	}
	t.latest = append(t.latest, fingerprint)
}

// Adopt records a quarantine that another process reports, unless the request is
// quarantined here already. If it renewed a quarantine, two processes could keep it alive
// by telling each other. period is the other process's quarantine period.
func (t *Table) Adopt(q Quarantine, now time.Time, period time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	crashAt := now.Add(min(q.Remaining, period) - period)
	r := t.getOrCreate(q.Fingerprint, crashAt)
	if r.quarantined() && now.Sub(r.lastCrashAt) <= period {
		return
	}
	r.adopted = true
	if crashAt.After(r.lastCrashAt) {
		r.lastCrashAt = crashAt
	}
	t.noteQuarantine(q.Fingerprint, r)
}

// Quarantines returns the latest quarantines.
func (t *Table) Quarantines(now time.Time, period time.Duration) []Quarantine {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Quarantine
	t.latest = slices.DeleteFunc(t.latest, func(fingerprint uint64) bool {
		r, ok := t.records[fingerprint]
		if !ok || now.Sub(r.lastCrashAt) > period {
			return true
		}
		out = append(out, Quarantine{Fingerprint: fingerprint, Remaining: period - now.Sub(r.lastCrashAt)})
		return false
	})
	return out
}

func (t *Table) getOrCreate(fingerprint uint64, now time.Time) *record {
	if t.records == nil {
		t.records = make(map[uint64]*record)
	}
	r, ok := t.records[fingerprint]
	if !ok {
		t.evictOldest()
		r = &record{endpoints: make(map[string]struct{}), lastCrashAt: now}
		t.records[fingerprint] = r
	}
	return r
}

// evictOldest removes the record with the oldest last crash if the table is full.
func (t *Table) evictOldest() {
	if len(t.records) < maxRecords {
		return
	}
	var oldest uint64
	var oldestCrashAt time.Time
	for fingerprint, r := range t.records {
		if oldestCrashAt.IsZero() || r.lastCrashAt.Before(oldestCrashAt) {
			oldest, oldestCrashAt = fingerprint, r.lastCrashAt
		}
	}
	delete(t.records, oldest)
}

// RecordSuccess removes the record of a request that has succeeded, unless the
// request is quarantined.
func (t *Table) RecordSuccess(fingerprint uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r, ok := t.records[fingerprint]; ok && !r.quarantined() {
		delete(t.records, fingerprint)
	}
}

// Release ends a quarantine, as requested by an operator. It reports whether the
// table held the request.
func (t *Table) Release(fingerprint uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, known := t.records[fingerprint]
	delete(t.records, fingerprint)
	return known
}

// Status returns how a request is to be treated. A record expires a period after
// its last crash.
func (t *Table) Status(fingerprint uint64, now time.Time, period time.Duration) Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[fingerprint]
	if !ok {
		return Normal
	}
	if now.Sub(r.lastCrashAt) > period {
		delete(t.records, fingerprint)
		return Normal
	}
	if r.quarantined() {
		return Quarantined
	}
	return Suspect
}

// Remaining returns the time until a record expires.
func (t *Table) Remaining(fingerprint uint64, now time.Time, period time.Duration) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[fingerprint]
	if !ok {
		return 0
	}
	return max(period-now.Sub(r.lastCrashAt), 0)
}

// Len returns the number of records.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}
