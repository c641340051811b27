package cicadaplace

import "github.com/uber-go/tally/v4"

// speedMetrics are the metrics of the learning of speeds. Their number does not depend on that of
// endpoints or services.
type speedMetrics struct {
	samples  [speedKinds]tally.Counter
	errors   tally.Counter // responses that counted as slow because they were errors
	late     tally.Counter // requests that counted as slow before they had their event
	sent     tally.Counter // samples sent to peers
	received tally.Counter // samples received from peers
	slow     tally.Gauge   // endpoints slower than the dead zone, over all services
	avoided  tally.Gauge   // endpoints avoided or on trial
	limited  tally.Gauge   // endpoints whose load limit is below their slots
}

// WithSpeedMetrics makes the table learn speeds, as WithSpeedLearning does, and report metrics.
func WithSpeedMetrics(scope tally.Scope) Option {
	return func(t *Table) {
		WithSpeedLearning()(t)
		t.speed.metrics = newSpeedMetrics(scope)
	}
}

func newSpeedMetrics(scope tally.Scope) speedMetrics {
	m := speedMetrics{
		errors: scope.Counter("speed_errors"), late: scope.Counter("speed_late"),
		sent: scope.Counter("speed_samples_sent"), received: scope.Counter("speed_samples_received"),
		slow: scope.Gauge("endpoints_slow"), avoided: scope.Gauge("endpoints_avoided"),
		limited: scope.Gauge("endpoints_load_limited"),
	}
	for kind, name := range speedKindNames {
		m.samples[kind] = scope.Tagged(map[string]string{"kind": name}).Counter("speed_samples")
	}
	return m
}

// report updates the gauges.
func (l *speedLearner) report() {
	slow, avoided, limited := 0, 0, 0
	for _, s := range l.services {
		slow += s.slow
		avoided += s.avoided
		limited += s.limited
	}
	l.metrics.slow.Update(float64(slow))
	l.metrics.avoided.Update(float64(avoided))
	l.metrics.limited.Update(float64(limited))
}
