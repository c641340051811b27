package cicadaplace

import "time"

// peerTimeout is how long the last counts of a peer remain valid.
const peerTimeout = 1500 * time.Millisecond

type peer struct {
	counts    map[string]InFlight // by endpoint
	batch     int                 // sum over counts
	updatedAt time.Time
}

// SetPeer replaces the counts of a peer, by endpoint. The Table keeps the map. The cost
// does not depend on the number of peers, because a process receives many messages from
// each of them.
func (t *Table) SetPeer(name string, counts map[string]InFlight) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	if now.After(t.nextExpiry) {
		t.expirePeers(now)
	}
	if old := t.peers[name]; old != nil {
		t.subtractPeer(old)
	}
	p := &peer{counts: counts, updatedAt: now}
	for _, n := range counts {
		p.batch += n.Batch
	}
	t.peers[name] = p
	t.addPeer(p)
	t.notePeerLimits(counts, now)
	t.grantWaiters()
}

func (t *Table) addPeer(p *peer) {
	for id, n := range p.counts {
		if e := t.endpointsByID[id]; e != nil {
			e.peers.Online += n.Online
			e.peers.Batch += n.Batch
		}
	}
}

func (t *Table) subtractPeer(p *peer) {
	for id, n := range p.counts {
		if e := t.endpointsByID[id]; e != nil {
			e.peers.Online -= n.Online
			e.peers.Batch -= n.Batch
		}
	}
}

// expirePeers removes the peers that have sent no message for peerTimeout.
func (t *Table) expirePeers(now time.Time) {
	oldest := now
	for name, p := range t.peers {
		if now.Sub(p.updatedAt) > peerTimeout {
			t.subtractPeer(p)
			delete(t.peers, name)
			continue
		}
		if p.updatedAt.Before(oldest) {
			oldest = p.updatedAt
		}
	}
	t.nextExpiry = oldest.Add(peerTimeout)
}

// sumPeers recomputes the sums of the peers' counts after the set of endpoints has
// changed.
func (t *Table) sumPeers() {
	for _, e := range t.endpointsByID {
		e.peers = InFlight{}
	}
	for _, p := range t.peers {
		t.addPeer(p)
	}
}
