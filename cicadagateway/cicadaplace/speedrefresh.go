package cicadaplace

import (
	"math"
	"slices"
	"time"
)

// refresh computes the slowness of all endpoints of a service from their estimates.
func (s *serviceSpeed) refresh(endpoints []*endpointState, now time.Time) {
	s.refreshedAt = now
	usable := s.adjustLevel(endpoints)
	s.values = s.values[:0]
	for _, e := range endpoints {
		if !e.Draining {
			s.values = append(s.values, e.speed.estimate(now))
		}
	}
	center := median(s.values)
	s.level += center
	s.slow, s.avoided, s.limited = 0, 0, 0
	for _, e := range endpoints {
		e.speed.shift(center)
		e.speed.refresh(center, now)
		e.speed.limit.update(e.speed.slowness, e.total(), e.Slots, now)
		s.count(e)
	}
	if float64(s.avoided) <= maxAvoidedFraction*float64(usable) {
		return
	}
	// Avoiding them all would set aside more than maxAvoidedFraction of the service.
	s.avoided = 0
	for _, e := range endpoints {
		e.speed.avoided, e.speed.trial = false, false
	}
}

// count decides whether an endpoint is to be avoided and counts it.
func (s *serviceSpeed) count(e *endpointState) {
	slow := !e.Draining && e.speed.slowness > 1
	e.speed.avoided = slow && e.speed.slowness > avoidedSlowness
	e.speed.trial = slow && e.speed.why == whyFading
	if slow {
		s.slow++
	}
	if e.speed.avoided || e.speed.trial {
		s.avoided++
	}
	if e.speed.limit.requests(e.Slots) < e.Slots {
		s.limited++
	}
}

// adjustLevel moves the median of this process's estimates to the level of the service. Only the
// difference of an estimate from that of peers counts. It returns the number of endpoints that may
// be used.
func (s *serviceSpeed) adjustLevel(endpoints []*endpointState) (usable int) {
	s.values = s.values[:0]
	for _, e := range endpoints {
		if e.Draining {
			continue
		}
		usable++
		if e.speed.own.weight > 0 {
			s.values = append(s.values, e.speed.own.mean-e.speed.peers.mean)
		}
	}
	if len(s.values) < min(minLevelEndpoints, usable) {
		return usable
	}
	shift := median(s.values)
	s.level += shift
	for _, e := range endpoints {
		e.speed.own.shift(shift)
		e.speed.unsent.shift(shift)
	}
	return usable
}

// estimate returns the logarithm of the slowness, reduced while it rests on few or old samples. It
// is that of all processes, or that of this process if the two differ clearly.
func (s *endpointSpeed) estimate(now time.Time) float64 {
	mean, strength := combine(&s.own, &s.peers, now, s.retryDelay)
	s.blend = 0
	if s.own.weight > 0 && math.Abs(s.own.mean-mean) >= logOwnDeviation {
		s.blend = min(s.own.recent(now)/minSpeedSamples, 1)
	}
	s.value = mean*strength + s.blend*(s.own.mean-mean*strength)
	return s.value
}

// shift subtracts a change of the level of the service from all estimates.
func (s *endpointSpeed) shift(by float64) {
	s.own.shift(by)
	s.peers.shift(by)
	s.unsent.shift(by)
}

// refresh computes the slowness relative to center, the median estimate of the service.
func (s *endpointSpeed) refresh(center float64, now time.Time) {
	s.relative = min(max(s.value-center, logMinSlowness), logMaxSlowness)
	switch {
	case s.weight() == 0:
		s.relative, s.slowness, s.why = 0, 1, whyNoSamples
		return
	case math.Abs(s.relative) < logDeadZone:
		s.slowness, s.why = 1, whyUsual
		return
	case s.blend > 0.5: // the samples of this process count more than those of all
		s.why = whyOwn
	case s.fading(now):
		s.why = whyFading
	default:
		s.why = whyShared
	}
	s.slowness = math.Exp(s.relative)
}

// weight returns the number of samples of all processes.
func (s *endpointSpeed) weight() float64 { return s.own.weight + s.peers.weight }

// latest returns the time of the latest sample.
func (s *endpointSpeed) latest() time.Time {
	if s.own.at.After(s.peers.at) {
		return s.own.at
	}
	return s.peers.at
}

// fading reports whether the latest sample is so old that the estimate fades.
func (s *endpointSpeed) fading(now time.Time) bool {
	return now.Sub(s.latest()) > estimateHoldTime+s.retryDelay
}

// median returns the median of values, which it sorts, or 0.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	n := len(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}

// refreshInterval returns the interval between two computations for a service of so many endpoints.
func refreshInterval(endpoints int) time.Duration {
	return min(max(speedRefreshInterval, time.Duration(endpoints)*speedRefreshPerEndpoint), maxSpeedRefreshInterval)
}

// refreshSpeeds computes the slowness of a service's endpoints if refreshInterval has passed since it
// was last computed.
func (t *Table) refreshSpeeds(name string, svc *service, now time.Time) {
	if t.speed == nil {
		return
	}
	t.checkLate(now)
	if s := t.speed.service(name); now.Sub(s.refreshedAt) >= refreshInterval(len(svc.endpoints)) {
		s.refresh(svc.endpoints, now)
		t.speed.report()
	}
}
