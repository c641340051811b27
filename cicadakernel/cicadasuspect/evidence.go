package cicadasuspect

import (
	"math"
	"slices"
)

// causesCrashes reports whether the crashes are evidence enough against a part.
func (t *PartTable) causesCrashes(part uint64) bool {
	with, all := t.crashedRequests(part)
	if len(with) < minCrashedRequests || binomialTail(len(all), len(with), t.sound.share(part)) > significance {
		return false
	}
	return !t.explainedByOther(part, len(with))
}

// crashedRequests returns the crashed requests that hold a part, and all crashed requests
// since the first of those.
func (t *PartTable) crashedRequests(part uint64) (with, all map[uint64]bool) {
	with, all = make(map[uint64]bool), make(map[uint64]bool)
	for _, c := range t.crashes {
		if c.explained {
			continue
		}
		if slices.Contains(c.Parts, part) {
			with[c.Request] = true
		}
		if len(with) > 0 {
			all[c.Request] = true
		}
	}
	return with, all
}

// explainedByOther reports whether most of the n crashed requests with a part share
// another part that explains their crashes better: one that fewer sound requests hold or,
// if as many do, one that comes later in the prompt.
func (t *PartTable) explainedByOther(part uint64, n int) bool {
	requests := make(map[uint64]map[uint64]bool) // by other part
	later := make(map[uint64]bool)
	for _, c := range t.crashes {
		at := slices.Index(c.Parts, part)
		if at < 0 || c.explained {
			continue
		}
		for i, other := range c.Parts {
			if other == part {
				continue
			}
			if requests[other] == nil {
				requests[other] = make(map[uint64]bool)
			}
			requests[other][c.Request] = true
			later[other] = i > at
		}
	}
	share := t.sound.share(part)
	for other, shared := range requests {
		otherShare := t.sound.share(other)
		if 2*len(shared) > n && (otherShare < share || (otherShare == share && later[other])) {
			return true
		}
	}
	return false
}

// binomialTail returns the probability of k successes or more in n trials.
func binomialTail(n, k int, p float64) float64 {
	if k <= 0 || p >= 1 {
		return 1
	}
	logGamma := func(x int) float64 { v, _ := math.Lgamma(float64(x + 1)); return v }
	sum := 0.0
	for i := k; i <= n; i++ {
		sum += math.Exp(logGamma(n) - logGamma(i) - logGamma(n-i) + float64(i)*math.Log(p) + float64(n-i)*math.Log1p(-p))
	}
	return min(sum, 1)
}
