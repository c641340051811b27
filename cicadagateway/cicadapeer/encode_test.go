package cicadapeer

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

func stateOf(name string, endpoints int) State {
	s := State{Member: Member{Name: name, Role: RoleEntry, Address: "10.1.0.35:7660"}, Incarnation: 1, Sequence: 1}
	for i := range endpoints {
		s.InFlight = append(s.InFlight, InFlight{Endpoint: fmt.Sprintf("ee-north-a-order-assistant-%05d", i), Online: uint16(i)})
	}
	return s
}

// TestLargeStateFitsInDatagram guards against a member that is taken for failed because its
// state, with all that it relays in a partition, is too large to be sent or received.
func TestLargeStateFitsInDatagram(t *testing.T) {
	for name, c := range map[string]struct {
		endpoints, relayed int
		cut                bool
	}{
		"usual":                {160, 2, false},
		"half of the members":  {160, 60, true},
		"thousands of engines": {4000, 0, true},
		"both":                 {4000, 60, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := stateOf("self", c.endpoints)
			for i := range c.relayed {
				s.Relayed = append(s.Relayed, stateOf(fmt.Sprint("peer", i), c.endpoints))
			}
			message, cut, err := encodeState(s)
			assert.NilError(t, err)
			assert.Equal(t, cut, c.cut)
			assert.Assert(t, len(message) <= maxDatagramSize, "%d bytes", len(message))
			var got State
			assert.NilError(t, cbor.Unmarshal(message, &got))
			assert.Equal(t, got.Member, s.Member)
			assert.Assert(t, len(got.InFlight) > 0)
			busy := 0
			for _, l := range got.InFlight {
				busy = max(busy, int(l.Online))
			}
			assert.Equal(t, busy, c.endpoints-1, "the busiest endpoint was left out")
		})
	}
}
