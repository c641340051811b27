package cicadaprocess

import "cicadalink.example/cicadagateway/cicadapeer"

// entryWriteShare is the part of the store's write rate for all entries: they write
// their addresses and nothing else.
const entryWriteShare = 0.1

// A budget is what one process may call of the store, a second.
type budget struct {
	writes float64
	reads  float64
}

// shareOf divides the rates that the store grants all processes among those that
// live. A process that hears nobody takes all: it knows of nobody to share with.
func shareOf(all budget, role string, entries, owners int) budget {
	share := budget{reads: all.reads / float64(max(entries+owners, 1))}
	if role == RoleOwner {
		share.writes = all.writes * (1 - entryWriteShare) / float64(max(owners, 1))
	} else {
		share.writes = all.writes * entryWriteShare / float64(max(entries, 1))
	}
	return share
}

// shareBudget sets this process's part of the store's rates anew, after processes
// have come or gone.
func (n *Node) shareBudget() {
	entries, owners := len(n.group.Live(cicadapeer.RoleEntry)), len(n.group.Live(cicadapeer.RoleOwner))
	if n.cfg.Role == RoleOwner {
		owners++
	} else {
		entries++
	}
	share := shareOf(budget{writes: n.cfg.storeWrites(), reads: n.cfg.storeReads()}, n.cfg.Role, entries, owners)
	n.store.SetRates(share.writes, share.reads)
	n.log.Debug("store budget", "writes", share.writes, "reads", share.reads, "entries", entries, "owners", owners)
}
