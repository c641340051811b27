package cicadarelay

import (
	"time"

	"github.com/uber-go/tally/v4"

	"cicadalink.example/cicadakernel/cicadaview"
)

// latencyBuckets reach from 1 ms to 16 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// metrics are the histograms of requests. Each is made once, since a look-up by
// tags costs more than the measurement.
type metrics struct {
	firstEvent tally.Histogram                     // of streams, from the request's arrival
	answer     map[cicadaview.Kind]tally.Histogram // from arrival to the end of a whole answer
	unanswered map[string]tally.Histogram          // from arrival to a failure, by its reason
	wait       tally.Histogram                     // for a slot
}

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{
		firstEvent: scope.Histogram("first_event_time", latencyBuckets),
		answer:     make(map[cicadaview.Kind]tally.Histogram),
		unanswered: make(map[string]tally.Histogram),
		wait:       scope.Histogram("slot_wait_time", latencyBuckets),
	}
	for _, kind := range []cicadaview.Kind{cicadaview.Safe, cicadaview.Unsafe, cicadaview.Stream} {
		m.answer[kind] = scope.Tagged(map[string]string{"kind": kind.String()}).Histogram("answer_time", latencyBuckets)
	}
	for _, reason := range []string{reasonFailed, reasonCallerLeft, reasonTimeout, reasonBusy, reasonNoEndpoint} {
		m.unanswered[reason] = scope.Tagged(map[string]string{"reason": reason}).Histogram("failure_time", latencyBuckets)
	}
	return m
}

// answered records a request that was answered whole.
func (m *metrics) answered(kind cicadaview.Kind, wait, firstEvent, took time.Duration) {
	if h := m.answer[kind]; h != nil {
		h.RecordDuration(took)
	}
	if kind == cicadaview.Stream {
		m.firstEvent.RecordDuration(firstEvent)
	}
	m.wait.RecordDuration(wait)
}

// failed records a request that was not answered.
func (m *metrics) failed(reason string, after time.Duration) {
	if h := m.unanswered[reason]; h != nil {
		h.RecordDuration(after)
	}
}
