package cicadasuspect

import (
	"math"
	"slices"
)

const (
	// minCrashedRequests is the number of different requests with a part that must have
	// crashed endpoints before the part is quarantined.
	minCrashedRequests = 3
	// minRequestCrashes is the number of endpoints that must have crashed under one request,
	// whatever it had got, before it is quarantined.
	minRequestCrashes = 3
	// significance is the largest probability at which as many crashes include a part by
	// chance, if the part is quarantined.
	significance = 1e-5
)

// causesCrashes reports whether the crashes are evidence enough against a part.
func (t *PartTable) causesCrashes(part uint64, p phase) bool {
	if p == beforeFirstEvent {
		return t.causesEarlyCrashes(part)
	}
	return t.causesAnyCrashes(part)
}

// causesEarlyCrashes reports whether the runs that got no event are evidence enough against a
// part.
func (t *PartTable) causesEarlyCrashes(part uint64) bool {
	with, all := t.earlyRequests(part)
	if len(with) < minCrashedRequests || binomialTail(len(all), len(with), t.sample(part, beforeFirstEvent).share()) > significance {
		return false
	}
	return !t.explainedByOther(part, beforeFirstEvent, len(with))
}

// earlyRequests returns the requests with a part that crashed endpoints before the first event, and all
// requests that did since the first of those.
func (t *PartTable) earlyRequests(part uint64) (with, all map[uint64]bool) {
	with, all = make(map[uint64]bool), make(map[uint64]bool)
	for _, c := range t.log.crashes {
		if c.cause != 0 {
			continue
		}
		for i := range c.runs {
			r := &c.runs[i]
			if r.answered {
				continue
			}
			if slices.Contains(r.early, part) {
				with[r.request] = true
			}
			if len(with) > 0 {
				all[r.request] = true
			}
		}
	}
	return with, all
}

// causesAnyCrashes reports whether all crashes are evidence enough against a part, however much of their
// answers the runs had got. Most runs that a crash ends have not caused it, so that
// crashes are counted and not runs. The first crash with the part is what it is suspected for, and
// only the others since then count as evidence. A crash of which only requests hold the part that
// were in others before does not count: a sound request is sent again after a crash, too.
func (t *PartTable) causesAnyCrashes(part uint64) bool {
	requests := make(map[uint64]bool)
	with, others, runs := 0, 0, 0 // crashes with the part; crashes after the first of them, and their runs
	for _, c := range t.log.crashes {
		if c.cause != 0 {
			continue
		}
		known := len(requests)
		holds := c.addRequests(requests, part)
		isNew := len(requests) > known
		if holds && !isNew {
			continue
		}
		if with > 0 {
			others++
			runs += len(c.runs)
		}
		if holds {
			with++
		}
	}
	if with < minCrashedRequests {
		return false
	}
	byChance := func(share float64) float64 {
		inCrash := 1 - math.Pow(1-share, float64(runs)/float64(others))
		return binomialTail(others, with-1, inCrash)
	}
	sound := t.sample(part, wholeRun)
	if byChance(sound.share()) > significance || sound.mean(byChance) > significance {
		return false
	}
	return !t.explainedByOther(part, wholeRun, len(requests))
}

// sample returns the sound requests that hold a part, among those that may be running in a
// phase. Requests that run for long are more often among those that a crash ends.
func (t *PartTable) sample(part uint64, p phase) sample {
	if p == beforeFirstEvent {
		return t.begun.sample(part)
	}
	largest := t.completed.sample(part)
	for _, s := range []sample{t.runTime.sample(part), t.released[part].before} {
		if s.all > 0 && s.share() > largest.share() {
			largest = s
		}
	}
	return largest
}

// explainedByOther reports whether most of the n crashed requests with a part share
// another part that explains their crashes better: one that fewer sound requests hold or,
// if as many do, one that comes later in the prompt.
func (t *PartTable) explainedByOther(part uint64, p phase, n int) bool {
	requests := make(map[uint64]map[uint64]bool) // by other part
	later := make(map[uint64]bool)
	for _, c := range t.log.crashes {
		if c.cause != 0 {
			continue
		}
		for i := range c.runs {
			r := &c.runs[i]
			candidates := r.candidates(p)
			at := slices.Index(candidates, part)
			if at < 0 {
				continue
			}
			for i, other := range candidates {
				if other == part {
					continue
				}
				if requests[other] == nil {
					requests[other] = make(map[uint64]bool)
				}
				requests[other][r.request] = true
				later[other] = i > at
			}
		}
	}
	share := t.sample(part, p).share()
	for other, shared := range requests {
		otherShare := t.sample(other, p).share()
		if 2*len(shared) > n && (otherShare < share || (otherShare == share && later[other])) {
			return true
		}
	}
	return false
}

// CrashesAgain reports whether one request, sent again and again, has crashed several endpoints,
// though it may have got events before: it was running in most of the crashes since the
// first of them, and got no complete answer.
func (t *PartTable) CrashesAgain(request uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	with, all := 0, 0
	for _, c := range t.log.crashes {
		if c.cause != 0 {
			continue
		}
		if c.ended(request) {
			with++
		}
		if with > 0 {
			all++
		}
	}
	return with >= minRequestCrashes && 2*with > all
}

const (
	// shareSteps is the number of values of a share over which mean integrates, and
	// shareDeviations how far above the estimate they go, in standard deviations.
	shareSteps      = 64
	shareDeviations = 8
)

// mean returns the mean of a function of the share of requests that hold the part, over the shares
// that agree with the sample. A process that has seen few requests may have missed most of those with
// a part by chance, while it hears of the crashes of all processes.
func (s sample) mean(of func(share float64) float64) float64 {
	// The share has a beta distribution.
	step := min((s.with+1+shareDeviations*math.Sqrt(s.with+1))/(s.all+1), 1) / shareSteps
	sum, total := 0.0, 0.0
	for i := range shareSteps {
		share := (float64(i) + 0.5) * step
		weight := math.Exp(s.with*math.Log(share/s.share()) + max(s.all-s.with, 0)*math.Log((1-share)/(1-min(s.share(), 0.5))))
		sum += weight * of(share)
		total += weight
	}
	return sum / total
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
