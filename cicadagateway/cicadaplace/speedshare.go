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
	// maxSpeedSampleRate limits the samples a second that a process gets from all its peers, so
	// that their volume doesn't grow with the number of processes.
	maxSpeedSampleRate = 800.0
	// minSpeedNews is how far from the usual the mean of one sample must be to be worth telling, as
	// a logarithm; that of n samples may be nearer by the square root of n. This is about two
	// standard errors.
	minSpeedNews = 0.6
	// maxSpeedWeight limits the weight of one sample of a peer.
	maxSpeedWeight = 32
	// speedRatioUnit is the unit of a SpeedSample's ratio, as a logarithm.
	speedRatioUnit = 1.0 / 32
)

// A SpeedSample is what a process has lately measured at an endpoint and not told before.
type SpeedSample struct {
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

// refill adds the tokens of the time since the last call if processes share the maximum rate.
func (b *speedBudget) refill(processes int, now time.Time) {
	if b.filledAt.IsZero() {
		b.tokens = maxSpeedSamples
	} else {
		b.tokens = min(b.tokens+now.Sub(b.filledAt).Seconds()*maxSpeedSampleRate/float64(processes), maxSpeedSamples)
	}
	b.filledAt = now
}

// LocalSpeed returns what peers are to be told about the speed of endpoints: at most 16 samples,
// those first that say most. Each is returned once, to be sent to all peers in one message and not
// to be relayed. If that is lost, peers miss these samples.
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
	news := t.speedNews(now)
	news = news[:min(len(news), int(budget.tokens))]
	budget.tokens -= float64(len(news))
	out := make([]SpeedSample, len(news))
	for i, n := range news {
		out[i] = n.sample
		n.speed.told, n.speed.news = n.speed.news.mean, speedEstimate{}
	}
	t.speed.metrics.sent.Inc(int64(len(out)))
	return out
}

// speedNews is a sample that peers may be told, and how much it says.
type speedNews struct {
	speed  *endpointSpeed
	sample SpeedSample
	score  float64
}

// speedNews returns what is worth telling, that which says most first. An endpoint that is near
// the median is not worth telling, unless it is taken for a slower or faster one, or was told to be.
func (t *Table) speedNews(now time.Time) []speedNews {
	var all []speedNews
	for id, e := range t.endpointsByID {
		s := e.speed
		if s.news.weight < 0.5 || s.news.fade(now) < 1 {
			continue
		}
		score := math.Sqrt(s.news.weight) * max(math.Abs(s.news.mean), math.Abs(s.relative), math.Abs(s.told))
		if score < minSpeedNews {
			continue
		}
		sample := SpeedSample{Endpoint: id, Ratio: quantizeRatio(s.news.mean), Weight: uint8(min(math.Round(s.news.weight), maxSpeedWeight))}
		all = append(all, speedNews{s, sample, score})
	}
	slices.SortFunc(all, func(a, b speedNews) int { return cmp.Compare(b.score, a.score) })
	return all
}

// quantizeRatio returns a ratio in units of speedRatioUnit.
func quantizeRatio(ratio float64) int8 {
	ratio = min(max(ratio, logMinSlowness), logMaxSlowness)
	return int8(math.Round(ratio / speedRatioUnit))
}

// MergeSpeed takes in samples of a peer, each once.
func (t *Table) MergeSpeed(samples []SpeedSample, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.speed == nil {
		return
	}
	for _, sample := range samples {
		e := t.endpointsByID[sample.Endpoint]
		if e == nil || sample.Weight == 0 || now.Before(e.speed.peersFrom) {
			continue
		}
		ratio := min(max(float64(sample.Ratio)*speedRatioUnit, logMinSlowness), logMaxSlowness)
		e.speed.own.settle(ratio, now)
		e.speed.peers.add(ratio, float64(min(sample.Weight, maxSpeedWeight)), now)
	}
	t.speed.metrics.received.Inc(int64(len(samples)))
}
