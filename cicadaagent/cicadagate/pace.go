package cicadagate

import (
	"sync"
	"time"
)

const paceWeight = 0.1

// pace averages the time to the first token and between tokens. The zero value
// is ready to use.
type pace struct {
	mu      sync.Mutex
	between float64
	first   float64
}

func (p *pace) token(d time.Duration, isFirst bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
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

func (p *pace) read() (between, first time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return time.Duration(p.between), time.Duration(p.first)
}
