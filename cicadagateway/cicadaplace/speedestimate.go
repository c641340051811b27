package cicadaplace

import (
	"math"
	"time"
)

const (
	// sampleTimeConstant is the time constant with which samples lose weight.
	sampleTimeConstant = 2 * time.Second
	// minSpeedSamples is the number of samples that an estimate spans at least, however old they are,
	// and the number from which the samples of this process alone count fully.
	minSpeedSamples = 4.0
	// halfStrengthSamples is the number of samples with which an estimate has half of its effect.
	halfStrengthSamples = minSpeedSamples / 2
	// maxEstimateSamples is the number of samples that an estimate spans at most. More would make it
	// slower to change and hardly more exact.
	maxEstimateSamples = 20.0
	// estimateHoldTime is how long an estimate is kept without samples. Then it fades, so that an
	// endpoint that gets no requests is tried again.
	estimateHoldTime = 3 * time.Second
	// estimateFadeTime is the time constant of fading.
	estimateFadeTime = 3 * time.Second
)

// maxSampleDeviation limits the difference of a sample from the mean, as a logarithm, so that a
// single request that takes very long has little effect.
var maxSampleDeviation = math.Log(4)

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
	x = min(max(x, e.mean-maxSampleDeviation), e.mean+maxSampleDeviation)
	e.weight += weight
	e.mean += (x - e.mean) * weight / e.weight
	e.weight = min(e.weight, maxEstimateSamples)
	e.at = now
}

// settle ends the fading of an estimate when a sample arrives. A sample that agrees with the
// estimate restores it; another one keeps only the part that has not faded.
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
	e.at = now.Add(-estimateHoldTime)
}

// recent returns the weight that is left of the samples.
func (e *speedEstimate) recent(now time.Time) float64 {
	if e.weight == 0 {
		return 0
	}
	return e.weight * math.Exp(-max(now.Sub(e.at).Seconds(), 0)/sampleTimeConstant.Seconds())
}

// agrees reports whether a sample deviates from the baseline in the direction of the mean and by at
// least half as much.
func (e *speedEstimate) agrees(x float64) bool { return x*e.mean >= e.mean*e.mean/2 }

// fade returns the fraction of the estimate that has not faded: 1 while it has recent samples.
func (e *speedEstimate) fade(now time.Time) float64 {
	idle := now.Sub(e.at) - estimateHoldTime
	if idle <= 0 || e.weight == 0 {
		return 1
	}
	return math.Exp(-idle.Seconds() / estimateFadeTime.Seconds())
}

// combine returns the mean of two estimates, weighted by their recent samples, and its strength from
// 0 to 1, which grows with the number of samples and falls as they fade. Fading begins later by
// delay.
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

// shift subtracts a change of the level of the service from the mean.
func (e *speedEstimate) shift(by float64) {
	if e.weight > 0 {
		e.mean -= by
	}
}
