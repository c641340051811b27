package cicadapeer

import (
	"cmp"
	"slices"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
)

// maxDatagramSize limits a message, in bytes. Receivers read no more.
const maxDatagramSize = 60 << 10

// encodeState encodes a state in at most maxDatagramSize. If it is larger, it leaves out states
// that are relayed, and then the endpoints with the fewest requests in flight; cut reports that.
// The caller passes the relayed states in random order, so that others are left out next time.
func encodeState(state State) (message []byte, cut bool, err error) {
	for {
		message, err = cbor.Marshal(state)
		if err != nil {
			return nil, cut, merry.Errorf("encode state: %w", err)
		}
		if len(message) <= maxDatagramSize {
			return message, cut, nil
		}
		cut = true
		switch {
		case len(state.Relayed) > 0:
			state.Relayed = state.Relayed[:len(state.Relayed)/2]
		case len(state.InFlight) > 0:
			state.InFlight = busiest(state.InFlight, len(state.InFlight)/2)
		default:
			return nil, cut, merry.Errorf("encode state: %d bytes exceed a datagram", len(message))
		}
	}
}

// busiest returns the n endpoints with the most requests in flight.
func busiest(all []InFlight, n int) []InFlight {
	sorted := slices.Clone(all)
	slices.SortFunc(sorted, func(a, b InFlight) int {
		return cmp.Compare(int(b.Online)+int(b.Batch), int(a.Online)+int(a.Batch))
	})
	return sorted[:n]
}
