package cicadaprocess

import "cicadalink.example/cicadagateway/cicadapeer"

// entryWriteFraction is the fraction of the store's write rate that all entries share.
// It is small because entries write only their registrations.
const entryWriteFraction = 0.1

// An owner's catch-ups may take maxCatchUpRate of its reads, in calls per second, and at most catchUpFraction.
const (
	maxCatchUpRate  = 1.0
	catchUpFraction = 0.25
)

// storeRates are numbers of store calls per second.
type storeRates struct {
	writes   float64
	reads    float64 // without catch-ups
	catchUps float64
}

// processRates returns one process's share of the store's total rates. Reads are divided
// evenly among all processes. Writes are divided between the roles, then evenly within
// each role. A process without known peers gets the whole write rate of its role.
func processRates(total storeRates, role string, entries, owners int) storeRates {
	rates := storeRates{reads: total.reads / float64(max(entries+owners, 1))}
	if role == RoleOwner {
		rates.writes = total.writes * (1 - entryWriteFraction) / float64(max(owners, 1))
		rates.catchUps = min(maxCatchUpRate, rates.reads*catchUpFraction)
		rates.reads -= rates.catchUps
	} else {
		rates.writes = total.writes * entryWriteFraction / float64(max(entries, 1))
	}
	return rates
}

// updateStoreRates recomputes this process's share of the store's rates. It is called
// when the set of live processes changes.
func (n *Node) updateStoreRates() {
	entries, owners := len(n.group.Live(cicadapeer.RoleEntry)), len(n.group.Live(cicadapeer.RoleOwner))
	if n.cfg.Role == RoleOwner {
		owners++
	} else {
		entries++
	}
	rates := processRates(storeRates{writes: n.cfg.storeWriteRate(), reads: n.cfg.storeReadRate()}, n.cfg.Role, entries, owners)
	n.store.SetRates(rates.writes, rates.reads)
	n.store.SetChangesRate(rates.catchUps)
	n.log.Debug("store rates updated", "writes", rates.writes, "reads", rates.reads, "entries", entries, "owners", owners)
}
