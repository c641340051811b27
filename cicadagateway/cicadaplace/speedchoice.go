package cicadaplace

import "slices"

// slowness returns how many times as long as at a typical endpoint of the service a request takes.
func (e *endpointState) slowness() float64 {
	if e.speed == nil {
		return 1
	}
	return e.speed.slowness
}

// expectedTime returns the time until a request that is sent to the endpoint is done, in units of
// a typical request and less one, if it has a load, in requests.
func (e *endpointState) expectedTime(load float64) float64 {
	if slowness := e.slowness(); slowness != 1 {
		return (load+1)*slowness - 1
	}
	return load
}

// avoidSlow removes the endpoints that are avoided, or run as many requests as they run well, from
// the candidates if another one has an idle slot.
func avoidSlow(candidates []candidate) []candidate {
	avoided := func(c candidate) bool {
		s := c.endpoint.speed
		return s != nil && (s.avoided || s.trial && c.endpoint.total() > 0 || c.endpoint.pastLimit())
	}
	free := func(c candidate) bool { return !avoided(c) && c.endpoint.total() < c.endpoint.Slots }
	if !slices.ContainsFunc(candidates, free) {
		return candidates
	}
	return slices.DeleteFunc(candidates, avoided)
}

// batchCandidate returns an endpoint as a candidate for a batch item. Endpoints with the most idle
// slots are preferred, and among these slower ones, which leaves fast ones to online requests. An
// item that is urgent goes where it will be done soonest, and any item to one that is avoided last.
func batchCandidate(e *endpointState, urgent bool) candidate {
	weight := e.slowness()
	if urgent || weight > avoidedSlowness {
		weight = 1 / weight
	}
	return candidate{e, -weight * float64(e.Slots-e.total()), weight}
}
