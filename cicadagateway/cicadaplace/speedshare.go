package cicadaplace

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// maxSpeedSamples limits the samples in one message.
	maxSpeedSamples = 16
	// maxSpeedSampleRate limits the samples per second that a process receives from all its peers, so
	// that their volume does not grow with the number of processes.
	maxSpeedSampleRate = 800.0
	// minSampleScore is the score from which a sample is sent. The score is the deviation from the
	// median, as a logarithm, times the square root of the number of samples. This value is about two
	// standard errors.
	minSampleScore = 0.6
	// maxSpeedWeight limits the weight of one sample of a peer.
	maxSpeedWeight = 32
	// speedRatioUnit is the unit of a SpeedSample's ratio, as a logarithm.
	speedRatioUnit = 1.0 / 32
)

// A SpeedSample sums up the samples of an endpoint that a process has taken since its last one.
type SpeedSample struct {
	// Endpoint is the ID of the endpoint.
	Endpoint string
	// Ratio is the logarithm of the slowness relative to the median of the service, in
	// units of 1/32.
	Ratio int8
	// Weight is the number of samples.
	Weight uint8
}

// A speedBudget is a token bucket for samples that are sent.
type speedBudget struct {
	tokens   float64
	filledAt time.Time
}

// refill adds the tokens since the last call, at this process's share of maxSpeedSampleRate.
func (b *speedBudget) refill(processes int, now time.Time) {
	if b.filledAt.IsZero() {
		b.tokens = maxSpeedSamples
	} else {
		b.tokens = min(b.tokens+now.Sub(b.filledAt).Seconds()*maxSpeedSampleRate/float64(processes), maxSpeedSamples)
	}
	b.filledAt = now
}

// LocalSpeed returns the samples of endpoints that the caller sends to all peers in one message: at
// most 16, in the order of their significance. Each is returned only once, so it must not be
// relayed, and peers that miss the message miss its samples.
func (t *Table) LocalSpeed(now time.Time) []SpeedSample {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.speed == nil {
		return nil
	}
	budget := &t.speed.budget
	if budget.refill(len(t.peers)+1, now); budget.tokens < 1 {
		return nil
	}
	for name, svc := range t.services {
		t.refreshSpeeds(name, svc, now)
	}
	unsent := t.unsentSamples(now)
	unsent = unsent[:min(len(unsent), int(budget.tokens))]
	budget.tokens -= float64(len(unsent))
	out := make([]SpeedSample, len(unsent))
	for i, u := range unsent {
		out[i] = u.sample
		u.speed.sentMean, u.speed.unsent = u.speed.unsent.mean, speedEstimate{}
	}
	t.speed.metrics.sent.Inc(int64(len(out)))
	return out
}

// An unsentSample is a sample that may be sent to peers, and its significance.
type unsentSample struct {
	speed  *endpointSpeed
	sample SpeedSample
	score  float64 // see minSampleScore
}

// unsentSamples returns the samples to be sent, the most significant first. Samples near the median
// are left out, unless the endpoint counts as slow or fast here, or did when its last sample was
// sent.
func (t *Table) unsentSamples(now time.Time) []unsentSample {
	var all []unsentSample
	for id, e := range t.endpointsByID {
		s := e.speed
		if math.Round(s.unsent.weight) < 1 || s.unsent.fade(now) < 1 {
			continue
		}
		score := math.Sqrt(s.unsent.weight) * max(math.Abs(s.unsent.mean), math.Abs(s.relative), math.Abs(s.sentMean))
		if score < minSampleScore {
			continue
		}
		sample := SpeedSample{Endpoint: id, Ratio: quantizeRatio(s.unsent.mean), Weight: uint8(min(math.Round(s.unsent.weight), maxSpeedWeight))}
		all = append(all, unsentSample{s, sample, score})
	}
	slices.SortFunc(all, func(a, b unsentSample) int { return cmp.Compare(b.score, a.score) })
	return all
}

// quantizeRatio returns the logarithm of a ratio in units of speedRatioUnit.
func quantizeRatio(ratio float64) int8 {
	ratio = min(max(ratio, logMinSlowness), logMaxSlowness)
	return int8(math.Round(ratio / speedRatioUnit))
}

// MergeSpeed records samples received from a peer. Each must be passed only once.
func (t *Table) MergeSpeed(samples []SpeedSample, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.speed == nil {
		return
	}
	for _, sample := range samples {
		e := t.endpointsByID[sample.Endpoint]
		if e == nil || sample.Weight == 0 || now.Before(e.speed.ignorePeersUntil) {
			continue
		}
		ratio := min(max(float64(sample.Ratio)*speedRatioUnit, logMinSlowness), logMaxSlowness)
		e.speed.own.settle(ratio, now)
		e.speed.peers.add(ratio, float64(min(sample.Weight, maxSpeedWeight)), now)
	}
	t.speed.metrics.received.Inc(int64(len(samples)))
}
