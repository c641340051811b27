package cicadaplace

import "time"

const (
	// lowerLimitSlowness is the ratio to the slowness at a light load above which the limit of an
	// endpoint that is more than half full is lowered, and raiseLimitSlowness the ratio up to which it
	// is raised.
	lowerLimitSlowness = 1.4
	raiseLimitSlowness = 1.15
	// lightWeight is the weight of a new sample in the moving average of the slowness at a light load.
	lightWeight      = 0.2
	limitInterval    = 500 * time.Millisecond // between changes of a limit
	limitDecrease    = 0.8                    // factor of the limit
	limitIncrease    = 0.1                    // requests
	minLimitFraction = 0.5                    // of the slots; also the largest light load
)

// A loadLimit is the number of requests that an endpoint runs well, at most its slots. Online
// requests exceed it only if no other endpoint has an idle slot. It changes by additive increase and
// multiplicative decrease, depending on the ratio between the current slowness and that at a light
// load, so that an endpoint that is always slow runs as many requests as others. All processes share
// the slowness and the load, and therefore have about the same limit.
type loadLimit struct {
	light     float64 // slowness while at most half full, or 0 if not known
	cut       float64 // slots minus the limit
	changedAt time.Time
}

// requests returns the limit for an endpoint with so many slots.
func (l *loadLimit) requests(slots int) int { return slots - int(l.cut) }

// update adjusts the limit to the current slowness and load of the endpoint.
func (l *loadLimit) update(slowness float64, load, slots int, now time.Time) {
	if now.Sub(l.changedAt) < limitInterval {
		return
	}
	l.changedAt = now
	limit, least := float64(slots)-l.cut, minLimitFraction*float64(slots)
	if float64(load) <= least {
		l.recordLight(slowness)
	}
	switch {
	case l.light > 0 && slowness > lowerLimitSlowness*l.light && float64(load) > least:
		limit = max(min(limit, float64(load))*limitDecrease, least)
	case slowness <= raiseLimitSlowness*max(l.light, 1):
		limit = min(limit+limitIncrease, float64(slots))
	}
	l.cut = float64(slots) - limit
}

// recordLight adds a sample of the slowness at a light load to its moving average.
func (l *loadLimit) recordLight(slowness float64) {
	if l.light == 0 {
		l.light = slowness
		return
	}
	l.light += lightWeight * (slowness - l.light)
}

// atLoadLimit reports whether the endpoint has reached its load limit.
func (e *endpointState) atLoadLimit() bool { return e.total() >= e.speed.limit.requests(e.Slots) }
