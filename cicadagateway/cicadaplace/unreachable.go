package cicadaplace

import "time"

const (
	// unreachableWindow is the time within which two peers must report an endpoint as unreachable
	// before this process avoids it. A single peer may itself be cut off.
	unreachableWindow = time.Second
	// successWindow is the time after a response from an endpoint during which reports of peers are
	// attributed to faults of their links.
	successWindow = 500 * time.Millisecond
)

// An unreachableReport is the last report of a peer that could not connect to an endpoint.
type unreachableReport struct {
	peer string
	at   time.Time
}

// WithOnUnreachable sets a function that is called with the ID of an endpoint to which this process
// could not connect in time. The function reports this to peers, which pass it to
// RecordPeerUnreachable.
func WithOnUnreachable(onUnreachable func(id string)) Option {
	return func(t *Table) { t.onUnreachable = onUnreachable }
}

// RecordUnreachable records that no connection to the endpoint could be opened in time. It puts the
// endpoint into backoff and reports it to peers, see WithOnUnreachable.
func (g *Grant) RecordUnreachable() {
	t := g.table
	t.mu.Lock()
	started := g.state.backOff(time.Now())
	t.mu.Unlock()
	if started {
		t.onUnreachable(g.endpoint.ID)
	}
}

// RecordPeerUnreachable records that a peer could not connect to an endpoint. The endpoint is put into
// backoff if another peer has reported the same within unreachableWindow and this process has had no
// response from it within successWindow.
func (t *Table) RecordPeerUnreachable(peer, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.endpointsByID[id]
	if e == nil {
		return
	}
	now := time.Now()
	confirmed := e.unreachable.peer != "" && e.unreachable.peer != peer && now.Sub(e.unreachable.at) <= unreachableWindow
	e.unreachable = unreachableReport{peer: peer, at: now}
	if confirmed && now.Sub(e.lastSuccess) > successWindow {
		e.backOff(now)
	}
}
