package cicadaexchange

import (
	"sync"
	"time"
)

const (
	// statedMemory is how long an address is remembered at which an endpoint has stated its start.
	statedMemory = 10 * time.Minute
	// reportSkipTime is how long endpoints at an address are not asked for their start after one has
	// not stated it, and longReportSkipTime if none has ever done so.
	reportSkipTime     = time.Second
	longReportSkipTime = 30 * time.Second
	// maxStatedAddresses is the number of addresses above which old ones are removed.
	maxStatedAddresses = 1 << 12
)

// startMemory knows which addresses have endpoints that state their start. It is safe for
// concurrent use.
type startMemory struct {
	mu           sync.Mutex
	statedAt     map[string]time.Time
	skippedUntil map[string]time.Time
	pruneAbove   int
}

func newStartMemory() *startMemory {
	return &startMemory{statedAt: make(map[string]time.Time), skippedUntil: make(map[string]time.Time), pruneAbove: maxStatedAddresses}
}

// record records that an endpoint at an address has stated its start.
func (m *startMemory) record(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.statedAt[address] = time.Now()
	if len(m.statedAt) <= m.pruneAbove {
		return
	}
	for old, at := range m.statedAt {
		if time.Since(at) > statedMemory {
			delete(m.statedAt, old)
		}
	}
	m.pruneAbove = max(2*len(m.statedAt), maxStatedAddresses)
}

// unstated returns the start of an incarnation that has not stated it.
func (m *startMemory) unstated(address string) int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.stated(address) {
		return UnknownStart
	}
	return 0
}

func (m *startMemory) stated(address string) bool {
	at, ok := m.statedAt[address]
	return ok && time.Since(at) <= statedMemory
}

// skip records that the endpoint at an address has not stated its start.
func (m *startMemory) skip(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	skipTime := longReportSkipTime
	if m.stated(address) {
		skipTime = reportSkipTime
	}
	m.skippedUntil[address] = time.Now().Add(skipTime)
}

// skipped reports whether the endpoint at an address is not to be asked for its start at present.
func (m *startMemory) skipped(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	until, ok := m.skippedUntil[address]
	if ok && !time.Now().Before(until) {
		delete(m.skippedUntil, address)
		return false
	}
	return ok
}
