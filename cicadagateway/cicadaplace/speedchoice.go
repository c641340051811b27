package cicadaplace

import "slices"

// slowness returns the ratio of the time that a request takes at the endpoint to that at a typical
// endpoint of the service.
func (e *endpointState) slowness() float64 {
	if e.speed == nil {
		return 1
	}
	return e.speed.slowness
}

// slownessCost is the cost, in requests, of an endpoint that takes twice as long as a typical one.
// It is added to the load and not multiplied by it: engines advance all running requests together,
// so load lengthens a request much less than slowness does, and a product would fill the fast
// endpoints first and make requests wait there.
const slownessCost = 2.5

// speedCost returns what the speed of the endpoint adds to its cost, in requests.
func (e *endpointState) speedCost() float64 { return slownessCost * (e.slowness() - 1) }

// avoidSlow removes the endpoints that are avoided, on trial with a request or at their load limit
// from the candidates if another one has an idle slot.
func avoidSlow(candidates []candidate) []candidate {
	avoided := func(c candidate) bool {
		s := c.endpoint.speed
		return s != nil && (s.avoided || s.trial && c.endpoint.total() > 0 || c.endpoint.atLoadLimit())
	}
	free := func(c candidate) bool { return !avoided(c) && c.endpoint.total() < c.endpoint.Slots }
	if !slices.ContainsFunc(candidates, free) {
		return candidates
	}
	return slices.DeleteFunc(candidates, avoided)
}

// slowBatchBonus, in requests, makes an endpoint that takes twice as long as a typical one preferred
// for batch items when loads are equal, which leaves fast ones to online requests.
const slowBatchBonus = 0.6

// batchCandidate returns an endpoint as a candidate for a batch item. Endpoints with the most idle
// slots are preferred, so that online requests find idle slots everywhere. An item that is urgent
// prefers fast ones, and any item takes those that are avoided last.
func batchCandidate(e *endpointState, urgent bool) candidate {
	cost := -float64(e.Slots - e.total())
	if urgent {
		cost += e.speedCost()
	} else {
		cost -= slowBatchBonus * (e.slowness() - 1)
	}
	if e.speed != nil && e.speed.avoided {
		cost += float64(e.Slots)
	}
	return candidate{e, cost}
}
