package cicadaplace

import (
	"cmp"
	"math/rand/v2"
	"slices"
)

// A candidate is an endpoint that a request may use, and its cost in requests.
type candidate struct {
	endpoint *endpointState
	cost     float64
}

// spread selects an endpoint for a request while other processes select endpoints for
// about arrivals requests, the own included, from the same counts. If all of them chose
// the lowest cost, they would choose the same endpoint. Each endpoint is therefore chosen
// with the probability that lets the expected costs of the cheapest endpoints become
// equal: they are filled up to a common level. With one arrival, that is a random choice
// among the endpoints of the lowest cost.
//
// This is the basic method of Dahlin, "Interpreting Stale Load Information".
func spread(candidates []candidate, arrivals float64) *endpointState {
	if len(candidates) == 0 {
		return nil
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.cost, b.cost) })
	level, filled, sum := 0.0, 0, 0.0
	for filled < len(candidates) && (filled == 0 || candidates[filled].cost < level) {
		sum += candidates[filled].cost
		filled++
		level = (arrivals + sum) / float64(filled)
	}
	point := rand.Float64() * arrivals
	for _, c := range candidates[:filled] {
		if point -= level - c.cost; point < 0 {
			return c.endpoint
		}
	}
	return candidates[0].endpoint
}
