package cicadaplace

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"cicadalink.example/cicadakernel/cicadaview"
)

func numberedEndpoints(n, slots int) []cicadaview.Endpoint {
	out := make([]cicadaview.Endpoint, n)
	for i := range out {
		out[i] = cicadaview.Endpoint{ID: fmt.Sprintf("e%03d", i), Service: "s", Address: "x", Slots: slots}
	}
	return out
}

// TestPeerCountsMatchTheirSum checks the sums over peers, which are kept up to date with
// each message, against a fresh addition after random messages, changes of the set of
// endpoints, and expired peers.
func TestPeerCountsMatchTheirSum(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := numberedEndpoints(6, 4)
		table := NewTable("me")
		table.SetEndpoints(all)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				table.SetEndpoints(all[rapid.IntRange(0, 3).Draw(t, "first"):rapid.IntRange(3, 6).Draw(t, "last")])
			case 1:
				table.mu.Lock()
				for _, p := range table.peers {
					p.updatedAt = p.updatedAt.Add(-2 * peerTimeout)
					break
				}
				table.nextExpiry = table.nextExpiry.Add(-2 * peerTimeout)
				table.mu.Unlock()
			default:
				counts := make(map[string]InFlight)
				for range rapid.IntRange(0, 4).Draw(t, "counts") {
					id := all[rapid.IntRange(0, 5).Draw(t, "endpoint")].ID
					counts[id] = InFlight{Online: rapid.IntRange(0, 5).Draw(t, "online"), Batch: rapid.IntRange(0, 5).Draw(t, "batch")}
				}
				table.SetPeer(fmt.Sprint("peer", rapid.IntRange(0, 3).Draw(t, "peer")), counts)
			}
			for id, e := range table.endpointsByID {
				var want InFlight
				for _, p := range table.peers {
					want.Online += p.counts[id].Online
					want.Batch += p.counts[id].Batch
				}
				assert.Equal(t, e.peers, want, id)
			}
		}
	})
}

// BenchmarkSetPeer measures the cost of one message of a peer in a fleet of many entries.
func BenchmarkSetPeer(b *testing.B) {
	for _, peers := range []int{10, 100, 700} {
		b.Run(fmt.Sprint("peers=", peers), func(b *testing.B) {
			table := NewTable("me")
			table.SetEndpoints(numberedEndpoints(160, 7))
			messages := make([]map[string]InFlight, peers)
			for i := range messages {
				messages[i] = make(map[string]InFlight)
				for range 13 {
					messages[i][fmt.Sprintf("e%03d", rand.IntN(160))] = InFlight{Online: 1}
				}
				table.SetPeer(fmt.Sprint("peer", i), messages[i])
			}
			names := make([]string, peers)
			for i := range names {
				names[i] = fmt.Sprint("peer", i)
			}
			b.ResetTimer()
			for i := range b.N {
				table.SetPeer(names[i%peers], messages[(i+i/peers)%peers])
			}
		})
	}
}
