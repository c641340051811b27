package cicadaplace

import (
	"time"
)

// onlineReserve is the fraction of a service's slots that batch items leave idle for
// bursts of online requests. A burst beyond the reserve preempts batch items. The
// reserve is taken from the service as a whole because bursts average out over many
// slots: one idle slot at each endpoint would cost batch items more than it helps
// online requests.
const onlineReserve = 1.0 / 16

// AcquireBatch returns a slot for a batch item, or nil. It never waits. Only an
// urgent item may take a slot of the online reserve. Endpoints in req.Avoid are used
// only if there is no other.
func (t *Table) AcquireBatch(req SlotRequest, urgent bool) *Grant {
	t.mu.Lock()
	now := time.Now()
	svc := t.service(req.Service)
	unseen := t.unseenItems(svc, now)
	unlimited, limited := svc.batchSlots(now)
	useUnlimited := urgent || unlimited > unseen
	if !useUnlimited && limited == 0 {
		t.mu.Unlock()
		return nil
	}
	if !svc.hasCandidate(req) {
		req.Avoid = nil
	}
	t.refreshSpeeds(req.Service, svc, now)
	t.candidates = t.candidates[:0]
	for _, e := range svc.endpoints {
		if !req.allows(e) || now.Before(e.backoffUntil) || e.total() >= e.Slots {
			continue
		}
		if !e.limit.allows(now) || (!useUnlimited && !e.limit.active(now)) {
			continue
		}
		t.candidates = append(t.candidates, batchCandidate(e, urgent))
	}
	best := spread(t.candidates, 1+float64(unseen))
	if best == nil {
		t.mu.Unlock()
		return nil
	}
	svc.batchGrants = append(svc.batchGrants, now)
	g := &Grant{table: t, state: best, endpoint: best.grantedEndpoint(now), registered: best.Endpoint, batch: true, grantedAt: now, load: best.total()}
	best.local.Batch++
	best.limit.take(now)
	t.mu.Unlock()
	t.onChange()
	return g
}

// unseenItems estimates how many batch items other processes have started that their last
// messages do not include yet. Processes see the same idle slots at about the same time,
// so each assumes that the others have started as many items as itself.
func (t *Table) unseenItems(svc *service, now time.Time) int {
	window := 2 * t.staleness() // for the own message to arrive and that of a peer to return
	for len(svc.batchGrants) > 0 && now.Sub(svc.batchGrants[0]) > window {
		svc.batchGrants = svc.batchGrants[1:]
	}
	others := 0
	for _, p := range t.peers {
		if p.batch > 0 {
			others++
		}
	}
	return others * len(svc.batchGrants)
}

// PreemptionCounts returns, by endpoint, how many batch items of this process must be
// preempted to free their slots for online requests. If several processes run
// items at an endpoint, those with the most items preempt first. From the same
// counts, all processes compute the same division.
func (t *Table) PreemptionCounts() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out map[string]int
	for id, e := range t.endpointsByID {
		excess := min(e.total()-e.Slots, e.batch())
		if excess <= 0 || e.local.Batch == 0 {
			continue
		}
		if n := t.preemptionShare(id, e, excess); n > 0 {
			if out == nil {
				out = make(map[string]int)
			}
			out[id] = n
		}
	}
	return out
}

// preemptionShare returns how many of the excess batch items at an endpoint this
// process must preempt. Each preemption in turn is assigned to the process that has
// the most items left; ties go to the name that sorts first.
func (t *Table) preemptionShare(id string, e *endpointState, excess int) int {
	counts := map[string]int{t.name: e.local.Batch}
	for name, p := range t.peers {
		if n := p.counts[id].Batch; n > 0 {
			counts[name] = n
		}
	}
	share := 0
	for range excess {
		largest := ""
		for name, n := range counts {
			if n > 0 && (largest == "" || n > counts[largest] || (n == counts[largest] && name < largest)) {
				largest = name
			}
		}
		if largest == "" {
			break
		}
		counts[largest]--
		if largest == t.name {
			share++
		}
	}
	return share
}

// Pin exempts a batch item from preemption: from now on it counts as an online
// request.
func (g *Grant) Pin() {
	t := g.table
	t.mu.Lock()
	if g.released || !g.batch {
		t.mu.Unlock()
		return
	}
	g.batch = false
	g.state.local.Batch--
	g.state.local.Online++
	t.mu.Unlock()
	t.onChange()
}

// FreeSlots returns the number of idle slots of a service and the number of all its
// slots.
func (t *Table) FreeSlots(service string) (free, slots int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	svc := t.service(service)
	return svc.idleSlots(time.Now()), svc.slots
}

// CountVersion returns how many endpoints of a service have a software version and are not
// draining, and how many others there are. One whose version is in doubt counts as either.
func (t *Table) CountVersion(service, version string) (same, others int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	for _, e := range t.service(service).endpoints {
		if e.Draining {
			continue
		}
		if e.SoftwareVersion == version {
			same++
		}
		if e.SoftwareVersion != version || now.Before(e.versionDoubtUntil) {
			others++
		}
	}
	return same, others
}

// BatchSlots returns the number of idle slots of a service that an item which is not urgent
// may take. It is 0 while only the online reserve is idle.
func (t *Table) BatchSlots(service string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	unlimited, limited := t.service(service).batchSlots(time.Now())
	return max(unlimited, 0) + limited
}

// batchSlots returns the idle slots that items may take: those at endpoints without a limit
// less the online reserve, and those at limited endpoints for which this process has tokens.
// Online requests cannot take the latter in a burst.
func (s *service) batchSlots(now time.Time) (unlimited, limited int) {
	slots := 0
	for _, e := range s.endpoints {
		if e.Draining {
			continue
		}
		idle := e.idleSlots(now)
		if e.limit.active(now) {
			limited += idle
			continue
		}
		unlimited += idle
		slots += e.Slots
	}
	return unlimited - reservedSlots(slots), limited
}

// reservedSlots returns how many of a service's slots batch items leave idle.
func reservedSlots(slots int) int { return max(1, int(onlineReserve*float64(slots))) }

// idleSlots returns the number of idle slots at endpoints that are neither
// draining nor in backoff.
func (s *service) idleSlots(now time.Time) int {
	idle := 0
	for _, e := range s.endpoints {
		if !e.Draining {
			idle += e.idleSlots(now)
		}
	}
	return idle
}

// idleSlots returns the number of idle slots, of a limited endpoint only those for which
// this process has tokens. It is 0 during a backoff.
func (e *endpointState) idleSlots(now time.Time) int {
	if now.Before(e.backoffUntil) {
		return 0
	}
	idle := max(e.Slots-e.total(), 0)
	if e.limit.active(now) {
		e.limit.refill(now)
		idle = min(idle, max(int(e.limit.tokens), 0))
	}
	return idle
}

// A Load is the load of a service as this process sees it.
type Load struct {
	Service string
	Slots   int // excludes draining endpoints
	Idle    int // excludes draining endpoints and those in backoff
	Waiting int // requests queued in this process
}

// Loads returns the load of each service.
func (t *Table) Loads() []Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	var loads []Load
	for name, svc := range t.services {
		loads = append(loads, Load{Service: name, Slots: svc.slots, Idle: svc.idleSlots(time.Now()), Waiting: len(svc.waiters)})
	}
	return loads
}
