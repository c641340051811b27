package cicadaprocess

import (
	"time"

	"cicadalink.example/cicadagateway/cicadapeer"
	"cicadalink.example/cicadagateway/cicadaplace"
)

// encodeSpeeds converts samples for a message to peers.
func encodeSpeeds(samples []cicadaplace.SpeedSample) []cicadapeer.SpeedSample {
	out := make([]cicadapeer.SpeedSample, 0, len(samples))
	for _, s := range samples {
		out = append(out, cicadapeer.SpeedSample{Endpoint: s.Endpoint, Ratio: s.Ratio, Weight: s.Weight})
	}
	return out
}

// decodeSpeeds converts samples of a message from a peer.
func decodeSpeeds(samples []cicadapeer.SpeedSample) []cicadaplace.SpeedSample {
	out := make([]cicadaplace.SpeedSample, 0, len(samples))
	for _, s := range samples {
		out = append(out, cicadaplace.SpeedSample{Endpoint: s.Endpoint, Ratio: s.Ratio, Weight: s.Weight})
	}
	return out
}

const (
	// usageInterval is the interval between messages with the work of customers. Work decays over
	// seconds, so more frequent reports would hardly change the order.
	usageInterval = 500 * time.Millisecond
	// maxSentUsage limits the customers in a message, so that its size does not grow with their number.
	maxSentUsage = 8
)

// nextUsage returns the work of customers for the next message to peers, or nil until usageInterval has
// passed since the last message with usage.
func (n *Node) nextUsage(now time.Time) []cicadapeer.CustomerUsage {
	if now.Sub(n.usageSentAt) < usageInterval {
		return nil
	}
	var out []cicadapeer.CustomerUsage
	for _, u := range n.table.LocalUsage(maxSentUsage) {
		out = append(out, cicadapeer.CustomerUsage{Customer: u.Customer, Work: u.Work})
	}
	if out != nil {
		n.usageSentAt = now
	}
	return out
}

// decodeUsage converts the work of customers in a message from a peer.
func decodeUsage(usage []cicadapeer.CustomerUsage) []cicadaplace.CustomerUsage {
	out := make([]cicadaplace.CustomerUsage, 0, len(usage))
	for _, u := range usage {
		out = append(out, cicadaplace.CustomerUsage{Customer: u.Customer, Work: u.Work})
	}
	return out
}
