package cicadagate

import (
	"math"
	"sync"
	"time"
)

const (
	// ewmaWeight is the weight of a new sample in the moving averages.
	ewmaWeight      = 0.3
	latencyHalfLife = 2 * time.Second
)

// latencies holds moving averages of the time to the first token and of the
// interval between tokens of online requests. The averages decay while there are no
// samples, so that an engine that was slow for a while is not considered slow after
// it has recovered. The zero value is ready to use.
type latencies struct {
	mu               sync.Mutex
	tokenInterval    float64
	timeToFirstToken float64
	updatedAt        time.Time
}

// record adds a sample: the time to the first token if isFirst is set, otherwise the
// interval between two tokens.
func (l *latencies) record(now time.Time, d time.Duration, isFirst bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.updatedAt = now
	average := &l.tokenInterval
	if isFirst {
		average = &l.timeToFirstToken
	}
	if *average == 0 {
		*average = float64(d)
		return
	}
	*average += ewmaWeight * (float64(d) - *average)
}

// read returns the averages, decayed by the time since the last sample.
func (l *latencies) read(now time.Time) (tokenInterval, timeToFirstToken time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	decay := math.Exp2(-float64(now.Sub(l.updatedAt)) / float64(latencyHalfLife))
	return time.Duration(l.tokenInterval * decay), time.Duration(l.timeToFirstToken * decay)
}
