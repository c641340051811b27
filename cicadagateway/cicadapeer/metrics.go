package cicadapeer

import "github.com/uber-go/tally/v4"

// metrics counts the messages between members.
type metrics struct {
	sent, sentBytes         tally.Counter
	received, receivedBytes tally.Counter
	messageSize             tally.Gauge   // of the last message sent, in bytes
	cut                     tally.Counter // states that did not fit in a datagram
}

func newMetrics(scope tally.Scope) metrics {
	return metrics{
		sent:          scope.Counter("peer_messages_sent"),
		sentBytes:     scope.Counter("peer_bytes_sent"),
		received:      scope.Counter("peer_messages_received"),
		receivedBytes: scope.Counter("peer_bytes_received"),
		messageSize:   scope.Gauge("peer_message_size"),
		cut:           scope.Counter("peer_states_cut"),
	}
}

// recordSent records a message of the given size that was sent to n members.
func (m *metrics) recordSent(size, n int) {
	m.sent.Inc(int64(n))
	m.sentBytes.Inc(int64(size * n))
	m.messageSize.Update(float64(size))
}

// recordMessageSent records a message to one member, which is not a state.
func (m *metrics) recordMessageSent(size int) {
	m.sent.Inc(1)
	m.sentBytes.Inc(int64(size))
}

func (m *metrics) recordReceived(size int) {
	m.received.Inc(1)
	m.receivedBytes.Inc(int64(size))
}
