package cicadaplace

import (
	"math"
	"time"
)

const (
	// speedMemory is the time constant with which samples lose weight.
	speedMemory = 2 * time.Second
	// minSpeedSamples is how many samples an estimate spans, however old they are, and how many
	// it takes until it counts fully.
	minSpeedSamples = 4.0
	// maxEstimateSamples is how many samples an estimate spans at most. More make it slower to
	// change, and hardly more exact.
	maxEstimateSamples = 30.0
	// speedHold is how long an estimate holds without samples. Then it fades, so that an endpoint
	// that gets no requests is tried again.
	speedHold = 3 * time.Second
	// speedFade is the time constant of fading.
	speedFade = 3 * time.Second
)

// maxSpeedStep is how far from the mean a sample counts, as a logarithm. One request that takes
// very long says little.
var maxSpeedStep = math.Log(4)

// A speedEstimate is a weighted mean of logarithms, in which old samples lose their weight.
type speedEstimate struct {
	mean   float64
	weight float64 // in samples
	at     time.Time
}

// add records a sample that stands for weight samples. If the estimate has begun to fade, a sample
// that agrees with it restores it, as a trial has shown no change, and another one finishes it.
func (e *speedEstimate) add(x, weight float64, now time.Time) {
	fade := e.fade(now)
	if e.agrees(x) {
		fade = 1
	}
	e.mean *= fade
	aged := e.weight * math.Exp(-max(now.Sub(e.at).Seconds(), 0)/speedMemory.Seconds())
	e.weight = fade * max(aged, min(e.weight, minSpeedSamples))
	x = min(max(x, e.mean-maxSpeedStep), e.mean+maxSpeedStep)
	e.weight += weight
	e.mean += (x - e.mean) * weight / e.weight
	e.weight = min(e.weight, maxEstimateSamples)
	e.at = now
}

// agrees reports whether a sample is at least half as far from the usual as the mean.
func (e *speedEstimate) agrees(x float64) bool { return x*e.mean >= e.mean*e.mean/2 }

// fade returns by how much the estimate still counts: 1 while it has recent samples.
func (e *speedEstimate) fade(now time.Time) float64 {
	idle := now.Sub(e.at) - speedHold
	if idle <= 0 || e.weight == 0 {
		return 1
	}
	return math.Exp(-idle.Seconds() / speedFade.Seconds())
}

// strength returns by how much the estimate counts, given its number of samples and their age.
func (e *speedEstimate) strength(now time.Time) float64 {
	return e.fade(now) * min(e.weight/minSpeedSamples, 1)
}
