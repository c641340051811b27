package cicadabatch

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

// ownerOf selects the owner that runs a job, by rendezvous hashing.
func ownerOf(id string, owners []string) string {
	best, highest := "", uint64(0)
	for _, name := range owners {
		if h := xxhash.Sum64String(name + " " + id); best == "" || h > highest {
			best, highest = name, h
		}
	}
	return best
}

// rankPeers sorts owners by the rendezvous hash of a job, its owner first.
func rankPeers(id string, owners []Peer) []Peer {
	owners = slices.Clone(owners)
	hash := func(p Peer) uint64 { return xxhash.Sum64String(p.Name + " " + id) }
	slices.SortFunc(owners, func(a, b Peer) int {
		switch x, y := hash(a), hash(b); {
		case x > y:
			return -1
		case x < y:
			return 1
		}
		return 0
	})
	return owners
}
