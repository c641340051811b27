package cicadaprocess

import "cicadalink.example/cicadagateway/cicadapeer"

// entryWriteFraction is the fraction of the store's write rate that all entries share.
// It is small because entries write only their registrations.
const entryWriteFraction = 0.1

// storeRates are numbers of store calls per second.
type storeRates struct {
	writes float64
	reads  float64
}

// processRates divides the store's total rates among the live processes. A process that
// knows no peers gets its role's whole share, as it knows of nobody to share with.
func processRates(total storeRates, role string, entries, owners int) storeRates {
	rates := storeRates{reads: total.reads / float64(max(entries+owners, 1))}
	if role == RoleOwner {
		rates.writes = total.writes * (1 - entryWriteFraction) / float64(max(owners, 1))
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
	rates := processRates(storeRates{writes: n.cfg.storeWrites(), reads: n.cfg.storeReads()}, n.cfg.Role, entries, owners)
	n.store.SetRates(rates.writes, rates.reads)
	n.log.Debug("store rates", "writes", rates.writes, "reads", rates.reads, "entries", entries, "owners", owners)
}
