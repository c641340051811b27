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
	// halfStrengthSamples is how many samples make an estimate count by half.
	halfStrengthSamples = minSpeedSamples / 2
	// maxEstimateSamples is how many samples an estimate spans at most. More make it slower to
	// change, and hardly more exact.
	maxEstimateSamples = 20.0
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

// add records a sample that stands for weight samples.
func (e *speedEstimate) add(x, weight float64, now time.Time) {
	e.settle(x, now)
	e.weight = max(e.recent(now), min(e.weight, minSpeedSamples))
	x = min(max(x, e.mean-maxSpeedStep), e.mean+maxSpeedStep)
	e.weight += weight
	e.mean += (x - e.mean) * weight / e.weight
	e.weight = min(e.weight, maxEstimateSamples)
	e.at = now
}

// settle takes account of a sample if the estimate has begun to fade. One that agrees with it
// restores it, as a trial has shown no change, and another one leaves of it what has not faded.
func (e *speedEstimate) settle(x float64, now time.Time) {
	fade := e.fade(now)
	if fade == 1 {
		return
	}
	e.weight = max(e.recent(now), min(e.weight, minSpeedSamples))
	if !e.agrees(x) {
		e.mean *= fade
		e.weight *= fade
	}
	e.at = now.Add(-speedHold)
}

// recent returns the weight that is left of the samples.
func (e *speedEstimate) recent(now time.Time) float64 {
	if e.weight == 0 {
		return 0
	}
	return e.weight * math.Exp(-max(now.Sub(e.at).Seconds(), 0)/speedMemory.Seconds())
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

// combine returns the mean of two estimates, weighted by their recent samples, and by how much it
// counts. Few samples count less, since their mean is less exact. Fading begins later by delay.
func combine(a, b *speedEstimate, now time.Time, delay time.Duration) (mean, strength float64) {
	weight := a.weight + b.weight
	if weight == 0 {
		return 0, 0
	}
	fade := 0.0
	for _, e := range [2]*speedEstimate{a, b} {
		if e.weight > 0 {
			fade = max(fade, e.fade(now.Add(-delay)))
		}
	}
	recentA, recentB := a.recent(now), b.recent(now)
	mean = (a.mean*recentA + b.mean*recentB) / max(recentA+recentB, math.SmallestNonzeroFloat64)
	return mean, fade * weight / (weight + halfStrengthSamples)
}

// shift changes the mean after the level of the service has changed.
func (e *speedEstimate) shift(by float64) {
	if e.weight > 0 {
		e.mean -= by
	}
}
