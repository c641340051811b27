package cicadaprocess

import (
	"math"
	"time"

	"cicadalink.example/cicadagateway/cicadapeer"
	"cicadalink.example/cicadagateway/cicadaplace"
)

// encodedWithdrawn is the encoding of cicadaplace.Withdrawn, and rateLimitUnits the number
// of units in one request a second.
const (
	encodedWithdrawn = -1
	rateLimitUnits   = 1000
)

func encodeInFlight(endpoint string, n cicadaplace.InFlight) cicadapeer.InFlight {
	out := cicadapeer.InFlight{Endpoint: endpoint, Online: uint16(n.Online), Batch: uint16(n.Batch)}
	switch {
	case n.RateLimit == cicadaplace.Withdrawn:
		out.RateLimit = encodedWithdrawn
	case n.RateLimit > 0:
		out.RateLimit = int64(math.Ceil(min(n.RateLimit, math.MaxInt32) * rateLimitUnits))
	}
	return out
}

func decodeInFlight(n cicadapeer.InFlight) cicadaplace.InFlight {
	out := cicadaplace.InFlight{Online: int(n.Online), Batch: int(n.Batch)}
	switch {
	case n.RateLimit == encodedWithdrawn:
		out.RateLimit = cicadaplace.Withdrawn
	case n.RateLimit > 0:
		out.RateLimit = float64(n.RateLimit) / rateLimitUnits
	}
	return out
}

// updateSenders tells the table which processes send requests to endpoints.
func (n *Node) updateSenders() {
	senders := cicadaplace.Senders{
		Online: memberNames(n.group.Live(cicadapeer.RoleEntry)), Batch: memberNames(n.group.Live(cicadapeer.RoleOwner)),
	}
	if n.cfg.Role == RoleOwner {
		senders.Batch = append(senders.Batch, n.cfg.Name)
	} else {
		senders.Online = append(senders.Online, n.cfg.Name)
	}
	n.table.SetSenders(senders)
}

func memberNames(states []cicadapeer.State) []string {
	names := make([]string, 0, len(states)+1)
	for _, s := range states {
		names = append(names, s.Member.Name)
	}
	return names
}

func encodeSpeeds(samples []cicadaplace.SpeedSample) []cicadapeer.SpeedSample {
	out := make([]cicadapeer.SpeedSample, 0, len(samples))
	for _, s := range samples {
		out = append(out, cicadapeer.SpeedSample{Endpoint: s.Endpoint, Ratio: s.Ratio, Weight: s.Weight})
	}
	return out
}

func decodeSpeeds(samples []cicadapeer.SpeedSample) []cicadaplace.SpeedSample {
	out := make([]cicadaplace.SpeedSample, 0, len(samples))
	for _, s := range samples {
		out = append(out, cicadaplace.SpeedSample{Endpoint: s.Endpoint, Ratio: s.Ratio, Weight: s.Weight})
	}
	return out
}

const (
	// usageInterval is the interval between the messages that hold the work of customers. Shares are
	// those of the last seconds, so that more messages would tell little more.
	usageInterval = 500 * time.Millisecond
	// maxSentUsage limits the customers in a message. The others' work hardly counts.
	maxSentUsage = 8
)

// nextUsage returns the work of customers for the next message to peers, or nil if that holds none.
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

func decodeUsage(usage []cicadapeer.CustomerUsage) []cicadaplace.CustomerUsage {
	out := make([]cicadaplace.CustomerUsage, 0, len(usage))
	for _, u := range usage {
		out = append(out, cicadaplace.CustomerUsage{Customer: u.Customer, Work: u.Work})
	}
	return out
}
