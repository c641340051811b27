package cicadaplace

import "time"

const (
	// limitSlowness is how many times slower than at a light load an endpoint that is more than half
	// full must be to be taken to run too many requests, and limitFastSlowness that below which it
	// may run more.
	limitSlowness     = 1.4
	limitFastSlowness = 1.15
	// lightWeight is the weight of the newest slowness in that at a light load.
	lightWeight   = 0.2
	limitInterval = 500 * time.Millisecond // between changes of a limit
	limitDecrease = 0.8                    // factor on the limit
	limitIncrease = 0.1                    // requests
	minLimitPart  = 0.5                    // of the slots
)

// A loadLimit is how many requests an endpoint runs well, at most its slots. Online requests go
// beyond it only if no other endpoint has an idle slot. It follows from the slowness, which is
// relative to what the service takes under the same load, compared with that at a light load: an
// endpoint that is always slow runs as many requests as others. Additive increase, multiplicative
// decrease. All processes share the slowness and the load, and so have about the same limit.
type loadLimit struct {
	light     float64 // slowness while at most half full, or 0 if not known
	cut       float64 // by how much the limit is less than the slots
	changedAt time.Time
}

// requests returns the limit.
func (l *loadLimit) requests(slots int) int { return slots - int(l.cut) }

// update changes the limit of an endpoint with a slowness and a load.
func (l *loadLimit) update(slowness float64, load, slots int, now time.Time) {
	if now.Sub(l.changedAt) < limitInterval {
		return
	}
	l.changedAt = now
	limit, least := float64(slots)-l.cut, minLimitPart*float64(slots)
	if float64(load) <= least {
		l.recordLight(slowness)
	}
	switch {
	case l.light > 0 && slowness > limitSlowness*l.light && float64(load) > least:
		limit = max(min(limit, float64(load))*limitDecrease, least)
	case slowness <= limitFastSlowness*max(l.light, 1):
		limit = min(limit+limitIncrease, float64(slots))
	}
	l.cut = float64(slots) - limit
}

// recordLight records the slowness at a light load.
func (l *loadLimit) recordLight(slowness float64) {
	if l.light == 0 {
		l.light = slowness
		return
	}
	l.light += lightWeight * (slowness - l.light)
}

// pastLimit reports whether the endpoint runs as many requests as it runs well.
func (e *endpointState) pastLimit() bool { return e.total() >= e.speed.limit.requests(e.Slots) }
