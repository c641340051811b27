package cicadaplace

import (
	"time"

	"cicadalink.example/cicadakernel/cicadaview"
)

// A Grant is a slot held at an endpoint until Release is called.
type Grant struct {
	table    *Table
	state    *endpointState
	endpoint cicadaview.Endpoint
	// registered is endpoint with its software version, even if that is in doubt.
	registered  cicadaview.Endpoint
	statedStart int64 // see RecordStart
	batch       bool
	grantedAt   time.Time
	waited      time.Duration
	load        int
	released    bool
	sampler     *Sampler // nil unless the request's speed is measured
	customer    uint64   // hash of the name
	work        float64  // in tokens, that the customer was charged with
}

// Endpoint returns the endpoint as it was when the slot was granted.
func (g *Grant) Endpoint() cicadaview.Endpoint { return g.endpoint }

// RecordStart records which incarnation of the endpoint has accepted the connection of the request,
// by the start that it has stated in Unix milliseconds, 0 if it states none, or a negative number if
// it states one, but has not on this connection. What it says later in its response concerns that
// incarnation, whichever is registered.
func (g *Grant) RecordStart(startedMs int64) {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	g.statedStart = startedMs
	g.state.statesStart = g.state.statesStart || startedMs != 0
}

// StatedStart returns what RecordStart has recorded.
func (g *Grant) StatedStart() int64 {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	return g.statedStart
}

// startedMs returns the start of the incarnation that serves the request, as it has stated it, or
// else as it was registered when the slot was granted.
func (g *Grant) startedMs() int64 {
	if g.statedStart > 0 {
		return g.statedStart
	}
	return g.endpoint.StartedMs
}

// Version returns the software version of the incarnation that serves the request. It is
// cicadaview.UnknownVersion if that incarnation is not registered, so that what is registered
// belongs to another one, or if its version is in doubt.
func (g *Grant) Version() string {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	switch {
	case g.statedStart != 0 && g.endpoint.StartedMs != 0:
	case g.registered.SoftwareVersion != "" && time.Now().Before(g.state.versionDoubtUntil):
		return cicadaview.UnknownVersion
	default:
		return g.endpoint.SoftwareVersion
	}
	for _, e := range []cicadaview.Endpoint{g.registered, g.state.Endpoint} {
		if e.StartedMs == g.statedStart {
			return e.SoftwareVersion
		}
	}
	return cicadaview.UnknownVersion
}

// WaitTime returns how long the request waited for the slot.
func (g *Grant) WaitTime() time.Duration { return g.waited }

// Load returns the number of requests that other grants, of this process and its
// peers, held at the endpoint when the slot was granted.
func (g *Grant) Load() int { return g.load }

func (t *Table) grantOnline(e *endpointState, since time.Time) *Grant {
	now := time.Now()
	g := &Grant{table: t, state: e, endpoint: e.grantedEndpoint(now), registered: e.Endpoint, grantedAt: now, waited: now.Sub(since), load: e.total()}
	e.local.Online++
	e.limit.take(now)
	return g
}

// Release frees the slot. Further calls do nothing.
func (g *Grant) Release() {
	t := g.table
	t.mu.Lock()
	if g.released {
		t.mu.Unlock()
		return
	}
	g.released = true
	g.stopSampling()
	if g.batch {
		g.state.local.Batch--
	} else {
		g.state.local.Online--
		svc := t.service(g.endpoint.Service)
		held := time.Since(g.grantedAt)
		svc.meanHold += time.Duration(holdSampleWeight * float64(held-svc.meanHold))
	}
	t.grantWaiters()
	t.mu.Unlock()
	t.onChange()
}

// RecordSuccess records that the endpoint responded. It ends the endpoint's backoff.
func (g *Grant) RecordSuccess() {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	g.state.backoff, g.state.backoffUntil, g.state.lastSuccess = 0, time.Time{}, time.Now()
}

// RecordFailure records that the endpoint could not be reached or sent no valid response.
// It puts the endpoint into backoff, which doubles with each consecutive failure. A
// failure reported during the backoff does not extend it.
func (g *Grant) RecordFailure() {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	g.state.backOff(time.Now())
}

// backOff starts or doubles the backoff of an endpoint. It reports false during a backoff.
func (e *endpointState) backOff(now time.Time) bool {
	if now.Before(e.backoffUntil) {
		return false
	}
	e.backoff = min(max(2*e.backoff, minBackoff), maxBackoff)
	e.backoffUntil = now.Add(e.backoff)
	return true
}

// RecordRefusal records that the endpoint refused the connection, as one does that has
// crashed. It looks idle to all processes, so peers are to be told (see WithOnRefusal).
func (g *Grant) RecordRefusal() {
	t := g.table
	t.mu.Lock()
	news := g.state.recordRefusal(time.Now())
	t.mu.Unlock()
	if news {
		t.onRefusal(g.endpoint.ID)
	}
}

// RecordPeerRefusal records that an endpoint refused a connection of a peer.
func (t *Table) RecordPeerRefusal(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.endpointsByID[id]; e != nil {
		e.recordRefusal(time.Now())
	}
}

// RecordOtherIncarnation records that the endpoint has stated another start than the registered
// one. Its registered software version is in doubt until it has registered again.
func (g *Grant) RecordOtherIncarnation() {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	if g.state.StartedMs == g.endpoint.StartedMs {
		g.state.versionDoubtUntil = time.Now().Add(versionDoubtTime)
	}
}

// RecordLost records that the process at an address may have ended. If an endpoint there does not
// state the start of its process, its registered software version is in doubt.
func (t *Table) RecordLost(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.endpointsByID {
		if e.Address == address && !e.statesStart && e.SoftwareVersion != "" {
			e.versionDoubtUntil = time.Now().Add(versionDoubtTime)
		}
	}
}

// versionDoubtTime is how long after a refused connection the registered software version of
// an endpoint is in doubt. Its process has ended, and the next one may register late.
const versionDoubtTime = 5 * time.Second

// recordRefusal starts a backoff after a refused connection. It reports false during one.
func (e *endpointState) recordRefusal(now time.Time) bool {
	e.versionDoubtUntil = now.Add(versionDoubtTime)
	return e.backOff(now)
}

// grantedEndpoint returns the endpoint as a request sees it: with an unknown software version if
// that is in doubt. Nothing is then continued elsewhere that begins there.
func (e *endpointState) grantedEndpoint(now time.Time) cicadaview.Endpoint {
	endpoint := e.Endpoint
	if endpoint.SoftwareVersion != "" && now.Before(e.versionDoubtUntil) {
		endpoint.SoftwareVersion = cicadaview.UnknownVersion
	}
	return endpoint
}

// RecordOverload records that the endpoint rejected the request because it had no capacity.
func (g *Grant) RecordOverload() {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	if until := time.Now().Add(overloadBackoff); until.After(g.state.backoffUntil) {
		g.state.backoffUntil = until
	}
}
