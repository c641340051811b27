package cicadaprocess

import (
	"github.com/fxamacker/cbor/v2"

	"cicadalink.example/cicadagateway/cicadafreshness"
	"cicadalink.example/cicadagateway/cicadaratelimit"
)

// The first key of a message to one member identifies its kind. These are the lowest keys of
// cicadafreshness.Message and cicadaratelimit.Message; the keys of origin messages are lower.
const (
	firstFreshnessKey = 10
	firstRateLimitKey = 20
)

// receiveMessage dispatches a message that another member has sent to this one.
func (n *Node) receiveMessage(b []byte) {
	switch key := firstMapKey(b); {
	case key >= firstFreshnessKey && !n.followersStarted.Load(): // the tracker and the limiter may not be set yet
	case key >= firstRateLimitKey:
		receive(n, b, n.quotas != nil && n.directory.listed.Load(), func(m cicadaratelimit.Message) { n.quotas.Receive(m) })
	case key >= firstFreshnessKey:
		receive(n, b, n.freshness != nil, func(m cicadafreshness.Message) { n.freshness.Receive(m) })
	default:
		n.receiveOriginMessage(b)
	}
}

// receive decodes a message and passes it to handle. Messages of a kind that this process does not
// want are dropped.
func receive[M any](n *Node, b []byte, wanted bool, handle func(M)) {
	if !wanted {
		return
	}
	var m M
	if err := cbor.Unmarshal(b, &m); err != nil {
		n.log.Warn("invalid peer message ignored", "error", err)
		return
	}
	handle(m)
}

// firstMapKey returns the first key of a CBOR map with small unsigned integers as keys, or 0 if there
// is none.
func firstMapKey(b []byte) int {
	const (
		maxShortKey = 23   // larger ones take another byte
		oneByteKey  = 0x18 // precedes a key of one byte
	)
	switch {
	case len(b) < 2:
		return 0
	case b[1] <= maxShortKey:
		return int(b[1])
	case b[1] == oneByteKey && len(b) > 2:
		return int(b[2])
	}
	return 0
}

// sendMessage sends a message to one member.
func (n *Node) sendMessage(member string, m any) {
	message, err := cbor.Marshal(m)
	if err != nil {
		n.log.Error("failed to encode message", "to", member, "error", err)
		return
	}
	if g := n.group; g != nil {
		g.SendTo(member, message)
	}
}
