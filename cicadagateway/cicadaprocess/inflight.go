package cicadaprocess

import (
	"math"

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

// updateSenders passes the live processes that send requests to endpoints to the table.
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
