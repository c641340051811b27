package cicadaplace

import (
	"time"

	"cicadalink.example/cicadakernel/cicadaview"
)

// A Grant is a slot at an endpoint, until it is released.
type Grant struct {
	table    *Table
	at       *endpoint
	endpoint cicadaview.Endpoint
	batch    bool
	taken    time.Time
	waited   time.Duration
	load     int
	done     bool
}

// Endpoint returns the endpoint as it was when the slot was granted.
func (g *Grant) Endpoint() cicadaview.Endpoint { return g.endpoint }

// Waited returns how long the request waited for the slot.
func (g *Grant) Waited() time.Duration { return g.waited }

// Load returns the requests that were known at the endpoint when the slot was
// granted.
func (g *Grant) Load() int { return g.load }

func (t *Table) grant(e *endpoint, since time.Time) *Grant {
	now := time.Now()
	g := &Grant{table: t, at: e, endpoint: e.Endpoint, taken: now, waited: now.Sub(since), load: e.total()}
	e.own.Online++
	return g
}

// Release gives the slot back.
func (g *Grant) Release() {
	t := g.table
	t.mu.Lock()
	if g.done {
		t.mu.Unlock()
		return
	}
	g.done = true
	if g.batch {
		g.at.own.Batch--
	} else {
		g.at.own.Online--
		svc := t.service(g.endpoint.Service)
		held := time.Since(g.taken)
		svc.hold += time.Duration(holdSmoothing * float64(held-svc.hold))
	}
	t.wake()
	t.mu.Unlock()
	t.changed()
}

// Succeeded records an answer of the endpoint.
func (g *Grant) Succeeded() {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	g.at.rest, g.at.restTill = 0, time.Time{}
}

// Failed records that the endpoint could not be reached or broke off. It gets no
// requests for a time that doubles with each failure.
func (g *Grant) Failed() {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	now := time.Now()
	if now.Before(g.at.restTill) {
		return
	}
	g.at.rest = min(max(2*g.at.rest, firstRest), maxRest)
	g.at.restTill = now.Add(g.at.rest)
}

// Full records that the endpoint had no room for the request.
func (g *Grant) Full() {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	if till := time.Now().Add(fullRest); till.After(g.at.restTill) {
		g.at.restTill = till
	}
}
