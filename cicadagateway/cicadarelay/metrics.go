package cicadarelay

import (
	"time"

	"github.com/uber-go/tally/v4"

	"cicadalink.example/cicadakernel/cicadaview"
)

// latencyBuckets range from 1 ms to 16 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 15)

// Who broke off a stream that went on, as the value of a tag. A caller breaks it off if its
// connection to the entry ends.
const (
	brokenOffByEndpoint = "endpoint"
	brokenOffByCaller   = "caller"
)

// metrics holds the latency histograms. They are created once because a lookup by
// tags costs more than recording a value.
type metrics struct {
	firstEventTime tally.Histogram                     // of streams, from arrival of the request
	responseTime   map[cicadaview.Kind]tally.Histogram // from arrival to the end of the response
	failureTime    map[string]tally.Histogram          // from arrival to the failure, by reason
	slotWaitTime   tally.Histogram
	resumed        map[string]tally.Counter // streams that went on, by whether the caller or the endpoint broke off
}

func newMetrics(scope tally.Scope) *metrics {
	m := &metrics{
		firstEventTime: scope.Histogram("first_event_time", latencyBuckets),
		responseTime:   make(map[cicadaview.Kind]tally.Histogram),
		failureTime:    make(map[string]tally.Histogram),
		slotWaitTime:   scope.Histogram("slot_wait_time", latencyBuckets),
		resumed:        make(map[string]tally.Counter),
	}
	for _, by := range []string{brokenOffByEndpoint, brokenOffByCaller} {
		m.resumed[by] = scope.Tagged(map[string]string{"by": by}).Counter("streams_resumed")
	}
	for _, kind := range []cicadaview.Kind{cicadaview.Safe, cicadaview.Unsafe, cicadaview.Stream} {
		m.responseTime[kind] = scope.Tagged(map[string]string{"kind": kind.String()}).Histogram("answer_time", latencyBuckets)
	}
	for _, reason := range []string{reasonFailed, reasonCallerDisconnected, reasonTimeout, reasonBusy, reasonNoEndpoint, reasonUnknownOrigin, reasonVersionGone, reasonKeyRevoked} {
		m.failureTime[reason] = scope.Tagged(map[string]string{"reason": reason}).Histogram("failure_time", latencyBuckets)
	}
	return m
}

// recordCompleted records a request whose response was sent completely.
func (m *metrics) recordCompleted(kind cicadaview.Kind, slotWait, firstEvent, total time.Duration) {
	if h := m.responseTime[kind]; h != nil {
		h.RecordDuration(total)
	}
	if kind == cicadaview.Stream {
		m.firstEventTime.RecordDuration(firstEvent)
	}
	m.slotWaitTime.RecordDuration(slotWait)
}

// countResumed counts a stream that went on at another endpoint, because the endpoint or
// the caller had broken it off.
func (m *metrics) countResumed(by string) { m.resumed[by].Inc(1) }

// recordFailed records a request that failed after the given time.
func (m *metrics) recordFailed(reason string, after time.Duration) {
	if h := m.failureTime[reason]; h != nil {
		h.RecordDuration(after)
	}
}
