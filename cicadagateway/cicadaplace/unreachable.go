package cicadaplace

import "time"

const (
	// unreachableWindow is the time within which two processes must have failed to connect to an
	// endpoint, so that the others avoid it as well. One alone may be cut off itself.
	unreachableWindow = time.Second
	// recentSuccess is the time after a response from an endpoint during which failures of other
	// processes to connect to it are taken for faults of their links.
	recentSuccess = 500 * time.Millisecond
)

// An unreachableReport is the last report of a peer that could not connect to an endpoint.
type unreachableReport struct {
	peer string
	at   time.Time
}

// WithOnUnreachable sets a function that is called with the ID of an endpoint that this process could not
// connect to in time. It is to pass this on to peers, whose tables take it in by
// RecordPeerUnreachable.
func WithOnUnreachable(onUnreachable func(id string)) Option {
	return func(t *Table) { t.onUnreachable = onUnreachable }
}

// RecordUnreachable records that no connection to the endpoint could be opened in time. The endpoint is
// put into backoff, and peers are to be told (see WithOnUnreachable).
func (g *Grant) RecordUnreachable() {
	t := g.table
	t.mu.Lock()
	started := g.state.backOff(time.Now())
	t.mu.Unlock()
	if started {
		t.onUnreachable(g.endpoint.ID)
	}
}

// RecordPeerUnreachable records that a peer could not connect to an endpoint. If another process could not
// either, and this one has had no response lately, the endpoint is put into backoff.
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
	if confirmed && now.Sub(e.lastSuccess) > recentSuccess {
		e.backOff(now)
	}
}
