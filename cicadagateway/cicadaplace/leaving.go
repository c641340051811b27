package cicadaplace

import (
	"time"

	"cicadalink.example/cicadakernel/cicadaview"
)

// leavingRetention is how long it is remembered that an endpoint which is no longer
// registered is leaving. An old list may register it again.
const leavingRetention = 10 * time.Minute

// A leavingMark records that an incarnation of an endpoint has said that it is leaving.
type leavingMark struct {
	startedMs int64
	at        time.Time
}

// RecordLeaving records that the endpoint has said in a response that it is leaving. It gets
// no further requests until it has started anew, whatever is registered.
func (g *Grant) RecordLeaving() {
	t := g.table
	t.mu.Lock()
	defer t.mu.Unlock()
	id, startedMs := g.endpoint.ID, g.startedMs()
	if mark, ok := t.leaving[id]; ok && mark.startedMs >= startedMs {
		return
	}
	t.leaving[id] = leavingMark{startedMs: startedMs, at: time.Now()}
	e := t.endpointsByID[id]
	if e == nil || e.Draining || !t.saidLeaving(e.Endpoint) {
		return
	}
	e.Draining = true
	t.service(e.Service).slots -= e.Slots
	t.onLeaving(id)
}

// saidLeaving reports whether this incarnation of an endpoint has said that it is leaving.
func (t *Table) saidLeaving(e cicadaview.Endpoint) bool {
	mark, ok := t.leaving[e.ID]
	return ok && e.StartedMs <= mark.startedMs
}

// forgetLeaving removes the marks of endpoints that have not been registered for long.
func (t *Table) forgetLeaving(now time.Time) {
	for id, mark := range t.leaving {
		if t.endpointsByID[id] == nil && now.Sub(mark.at) > leavingRetention {
			delete(t.leaving, id)
		}
	}
}
