package cicadapeer

// cborMap is the major type of a CBOR map, in the top bits of its first byte.
const (
	cborMap            = 5
	cborMajorTypeShift = 5
)

// isMap reports whether a datagram is a CBOR map. States are arrays; messages to single
// members are maps.
func isMap(b []byte) bool { return len(b) > 0 && b[0]>>cborMajorTypeShift == cborMap }

// SendTo sends a message, which must be a CBOR map, to one member. It does not block, and
// the message may be lost. A message to an unknown member is dropped.
func (g *Group) SendTo(member string, message []byte) {
	g.mu.Lock()
	to := g.addresses[member].udp
	g.mu.Unlock()
	if to == nil || !isMap(message) {
		return
	}
	if _, err := g.conn.WriteToUDP(message, to); err != nil {
		g.log.Debug("failed to send peer message", "peer", member, "error", err)
		return
	}
	g.metrics.recordMessageSent(len(message))
}
