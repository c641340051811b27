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
	fade := e.fade(now)
	e.mean *= fade
	aged := e.weight * math.Exp(-max(now.Sub(e.at).Seconds(), 0)/speedMemory.Seconds())
	e.weight = fade * max(aged, min(e.weight, minSpeedSamples))
	x = min(max(x, e.mean-maxSpeedStep), e.mean+maxSpeedStep)
	e.weight += weight
	e.mean += (x - e.mean) * weight / e.weight
	e.at = now
}

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
