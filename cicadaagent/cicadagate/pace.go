package cicadagate

import (
	"math"
	"sync"
	"time"
)

const (
	paceWeight   = 0.3
	paceHalfLife = 2 * time.Second
)

// pace averages the time to the first token and between tokens of online
// requests. What it holds fades, so that an engine that was slow a while ago
// does not look slow. The zero value is ready to use.
type pace struct {
	mu      sync.Mutex
	between float64
	first   float64
	at      time.Time
}

func (p *pace) token(now time.Time, d time.Duration, isFirst bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.at = now
	average := &p.between
	if isFirst {
		average = &p.first
	}
	if *average == 0 {
		*average = float64(d)
		return
	}
	*average += paceWeight * (float64(d) - *average)
}

func (p *pace) read(now time.Time) (between, first time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	fade := math.Exp2(-float64(now.Sub(p.at)) / float64(paceHalfLife))
	return time.Duration(p.between * fade), time.Duration(p.first * fade)
}
