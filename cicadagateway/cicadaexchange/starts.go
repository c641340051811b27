package cicadaexchange

import (
	"sync"
	"time"
)

const (
	// statedMemory is how long an address is remembered at which an endpoint has stated its start.
	statedMemory = 10 * time.Minute
	// reportSkipTime is how long endpoints at an address are not asked for their start after they
	// have not responded.
	reportSkipTime = time.Second
	// maxStatedAddresses is the number of addresses above which old ones are removed.
	maxStatedAddresses = 1 << 12
)

// startMemory knows which addresses have endpoints that state their start. It is safe for
// concurrent use.
type startMemory struct {
	mu         sync.Mutex
	statedAt   map[string]time.Time
	skippedAt  map[string]time.Time
	pruneAbove int
}

func newStartMemory() *startMemory {
	return &startMemory{statedAt: make(map[string]time.Time), skippedAt: make(map[string]time.Time), pruneAbove: maxStatedAddresses}
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
	if at, ok := m.statedAt[address]; ok && time.Since(at) <= statedMemory {
		return UnknownStart
	}
	return 0
}

// skip records that an endpoint has not responded to the request for its start.
func (m *startMemory) skip(address string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.skippedAt[address] = time.Now()
}

// skipped reports whether the endpoint at an address is not to be asked for its start at present.
func (m *startMemory) skipped(address string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	at, ok := m.skippedAt[address]
	if ok && time.Since(at) > reportSkipTime {
		delete(m.skippedAt, address)
		return false
	}
	return ok
}
