package cicadaplace

import (
	"math/rand/v2"
	"time"
)

// idleShare is the part of a service's slots that batch items leave idle for online
// requests. Requests that come together find slots there; the rest take those of
// batch items. The more slots there are, the smaller a part evens out the traffic,
// but a slot kept idle at each endpoint costs batch more than it helps.
const idleShare = 1.0 / 16

// AcquireBatch returns a slot for a batch item, or nil. It never waits, and takes
// one of the last idle slots of a service only for an urgent item. Endpoints to
// avoid are used when there is no other.
func (t *Table) AcquireBatch(service string, urgent bool, avoid []string) *Grant {
	t.mu.Lock()
	now := time.Now()
	svc := t.service(service)
	if !urgent && svc.idle(now) <= max(1, int(idleShare*float64(svc.slots))) {
		t.mu.Unlock()
		return nil
	}
	w := Want{Avoid: avoid}
	if !svc.usable(w) {
		w.Avoid = nil
	}
	var found *endpoint
	most := 0.0
	for _, e := range svc.endpoints {
		free := e.Slots - e.total()
		if e.Draining || w.avoids(e.ID) || now.Before(e.restTill) || free <= 0 {
			continue
		}
		if rank := float64(free) + jitter*rand.Float64(); found == nil || rank > most {
			found, most = e, rank
		}
	}
	if found == nil {
		t.mu.Unlock()
		return nil
	}
	g := &Grant{table: t, at: found, endpoint: found.Endpoint, batch: true, taken: now, load: found.total()}
	found.own.Batch++
	t.mu.Unlock()
	t.changed()
	return g
}

// Excess returns, by endpoint, how many of its own batch items this sender
// should put aside so that online requests get their slots. Where several
// senders have items at an endpoint, those with the most yield first, and all
// senders agree who that is.
func (t *Table) Excess() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out map[string]int
	for id, e := range t.byID {
		over := min(e.total()-e.Slots, e.batch())
		if over <= 0 || e.own.Batch == 0 {
			continue
		}
		if mine := t.share(id, e, over); mine > 0 {
			if out == nil {
				out = make(map[string]int)
			}
			out[id] = mine
		}
	}
	return out
}

func (t *Table) share(id string, e *endpoint, over int) int {
	counts := map[string]int{t.name: e.own.Batch}
	for name, p := range t.peers {
		if n := p.counts[id].Batch; n > 0 {
			counts[name] = n
		}
	}
	mine := 0
	for range over {
		most := ""
		for name, n := range counts {
			if n > 0 && (most == "" || n > counts[most] || (n == counts[most] && name < most)) {
				most = name
			}
		}
		if most == "" {
			break
		}
		counts[most]--
		if most == t.name {
			mine++
		}
	}
	return mine
}

// Pin keeps a batch item's slot from being taken: it counts as online from now
// on.
func (g *Grant) Pin() {
	t := g.table
	t.mu.Lock()
	if g.done || !g.batch {
		t.mu.Unlock()
		return
	}
	g.batch = false
	g.at.own.Batch--
	g.at.own.Online++
	t.mu.Unlock()
	t.changed()
}

// Free returns the slots of a service that nobody holds, and all its slots.
func (t *Table) Free(service string) (free, slots int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	svc := t.service(service)
	return svc.idle(time.Now()), svc.slots
}

// idle returns the slots that nobody holds at endpoints that do not rest after a
// failure.
func (s *service) idle(now time.Time) int {
	idle := 0
	for _, e := range s.endpoints {
		if !e.Draining && !now.Before(e.restTill) {
			idle += max(e.Slots-e.total(), 0)
		}
	}
	return idle
}

// A Load is what this sender knows of a service's load.
type Load struct {
	Service string
	Slots   int // of endpoints that are not draining
	Idle    int // slots that nobody holds
	Waiting int // requests that wait here
}

// Loads returns the load of each service.
func (t *Table) Loads() []Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	var loads []Load
	for name, svc := range t.services {
		loads = append(loads, Load{Service: name, Slots: svc.slots, Idle: svc.idle(time.Now()), Waiting: len(svc.waiters)})
	}
	return loads
}
