package cicadaplace

import (
	"math"
	"time"
)

const (
	// paceWindow is the length of a stream over which one sample of its pace is taken.
	paceWindow = 250 * time.Millisecond
	// minPaceEvents is the number of events from which an incomplete window at the end of a stream
	// gives a sample.
	minPaceEvents = 3
	// blockedWrite is the duration of a write to a caller from which the caller counts as slow. The
	// next events have then waited in the endpoint's connection and give no sample.
	blockedWrite = 10 * time.Millisecond
)

// A Sampler measures how fast an endpoint serves one request, from the calls that the code which
// reads the response makes. A nil Sampler does nothing.
type Sampler struct {
	grant *Grant
	kind  speedKind // of the sample that is awaited
	size  int       // tokens of the prompt

	since   time.Time // start of the awaited sample: the request was sent, or the last event was read
	writing time.Time // when the current write to the caller began
	blocked bool      // the last write was blocked
	events  int       // in the current window
	window  time.Duration
	late    int // how often the current wait has counted as late
}

// StartSampling begins to measure a request that is about to be sent, whose prompt has a number of
// tokens. It returns nil if speeds are not learned. The measurement ends with the grant.
func (g *Grant) StartSampling(stream bool, promptTokens int) *Sampler {
	t := g.table
	t.mu.Lock()
	defer t.mu.Unlock()
	if !g.learns() {
		return nil
	}
	s := &Sampler{grant: g, kind: speedResponse, size: promptTokens, since: time.Now()}
	if stream {
		s.kind = speedFirstEvent
	}
	g.sampler = s
	t.speed.samplers[s] = struct{}{}
	return s
}

// stopSampling ends the measurement of a grant's request.
func (g *Grant) stopSampling() {
	if g.sampler != nil {
		delete(g.table.speed.samplers, g.sampler)
		g.sampler = nil
	}
}

// lock locks the table. It reports false, without locking, if the measurement has ended.
func (s *Sampler) lock() bool {
	if s == nil {
		return false
	}
	s.grant.table.mu.Lock()
	if s.grant.sampler == s {
		return true
	}
	s.grant.table.mu.Unlock()
	return false
}

func (s *Sampler) unlock() { s.grant.table.mu.Unlock() }

// Events records that n events were read.
func (s *Sampler) Events(n int) {
	if n == 0 || !s.lock() {
		return
	}
	defer s.unlock()
	now := time.Now()
	took := now.Sub(s.since)
	s.since, s.late = now, 0
	if s.kind == speedFirstEvent {
		s.grant.recordSpeed(s.kind, took, s.size, now)
		s.kind, s.size = speedPace, 0
		return
	}
	if s.blocked {
		s.blocked = false
		return
	}
	s.events += n
	if s.window += took; s.window >= paceWindow {
		s.endWindow(now)
	}
}

// endWindow records the mean pace of the current window and begins another.
func (s *Sampler) endWindow(now time.Time) {
	s.grant.recordSpeed(speedPace, s.window/time.Duration(s.events), 0, now)
	s.events, s.window = 0, 0
}

// BeginWrite records that events are being written to the caller, so that none are read.
func (s *Sampler) BeginWrite() {
	if s.lock() {
		s.writing = time.Now()
		s.unlock()
	}
}

// EndWrite records that events have been written to the caller.
func (s *Sampler) EndWrite() {
	if !s.lock() {
		return
	}
	defer s.unlock()
	if now := time.Now(); now.Sub(s.writing) >= blockedWrite {
		s.since, s.blocked = now, true
	}
	s.writing = time.Time{}
}

// Done records that the response has been read to its end.
func (s *Sampler) Done() {
	if !s.lock() {
		return
	}
	defer s.unlock()
	now := time.Now()
	switch {
	case s.kind == speedResponse:
		s.grant.recordSpeed(s.kind, now.Sub(s.since), s.size, now)
	case s.events >= minPaceEvents:
		s.endWindow(now)
	}
	s.grant.stopSampling()
}

// checkLate records samples of requests in flight that have waited long for their next event.
// Otherwise an endpoint that does not respond would give no samples.
func (t *Table) checkLate(now time.Time) {
	l := t.speed
	if now.Sub(l.checkedAt) < speedRefreshInterval {
		return
	}
	l.checkedAt = now
	for s := range l.samplers {
		s.checkLate(now)
	}
}

// checkLate records a sample if the request has waited lateFactor times its baseline, and again each
// time the wait has doubled since.
func (s *Sampler) checkLate(now time.Time) {
	if !s.writing.IsZero() || !s.grant.learns() {
		return
	}
	_, baseline := s.grant.speedCell(s.kind, s.size)
	x := math.Log(now.Sub(s.since).Seconds()) - baseline.mean - s.grant.table.speed.service(s.grant.endpoint.Service).level
	if !baseline.trained() || x < math.Log(lateFactor)+float64(s.late)*math.Ln2 {
		return
	}
	s.late++
	s.grant.state.speed.add(x, now)
	s.grant.table.speed.metrics.late.Inc(1)
}
