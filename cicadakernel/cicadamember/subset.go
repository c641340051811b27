// Package cicadamember decides which members of a fleet deal with each other.
// Its functions are pure: every process that knows the same members computes
// the same answer, and no election is needed.
//
// # Usage
//
//	watchers := cicadamember.Top("watch/ee-1", entriesOfDataCentre, 2)
//	use := cicadamember.Subset(self, entries, endpoints, cicadamember.DefaultSubset)
//
// Ranking is by rendezvous hashing, so a member that comes or goes moves only
// its own share.
package cicadamember

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultSubset is how many endpoints of a group one entry uses.
	DefaultSubset = 12
	// MinHolders is how many entries should use each endpoint at least, where
	// there are as many.
	MinHolders = 3
	// farShare is the part of a subset that stands outside the entry's own
	// data centre, so that losing the data centre's endpoints loses no model.
	farShare = 0.25
	// loadSlack bounds how far above the mean the number of entries that use
	// one endpoint may lie.
	loadSlack = 1.15
)

// A Member is a process that others may deal with.
type Member struct {
	Name       string
	DataCentre string
}

func score(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Rank returns the names ordered by rendezvous hashing for a key.
func Rank(key string, names []string) []string {
	type scored struct {
		name  string
		score uint64
	}
	ranked := make([]scored, len(names))
	for i, name := range names {
		ranked[i] = scored{name, score(key, name)}
	}
	slices.SortFunc(ranked, func(a, b scored) int {
		if c := cmp.Compare(b.score, a.score); c != 0 {
			return c
		}
		return cmp.Compare(a.name, b.name)
	})
	result := make([]string, len(names))
	for i, s := range ranked {
		result[i] = s.name
	}
	return result
}

// Top returns the first n names of Rank, or all when there are fewer.
func Top(key string, names []string, n int) []string {
	ranked := Rank(key, names)
	return ranked[:min(n, len(ranked))]
}

// Home returns the first name of Rank, or "" when there are none.
func Home(key string, names []string) string {
	var (
		home string
		best uint64
	)
	for _, name := range names {
		s := score(key, name)
		if home == "" || s > best || (s == best && name < home) {
			home, best = name, s
		}
	}
	return home
}

// Subset returns the names of the endpoints that an entry uses: most of them
// in its own data centre, some elsewhere. Over all entries, no endpoint is used
// by far more entries than the mean, and each by MinHolders where there are as
// many entries.
func Subset(self Member, entries, endpoints []Member, size int) []string {
	if size <= 0 {
		size = DefaultSubset
	}
	if len(entries) > 0 {
		size = max(size, (MinHolders*len(endpoints)+len(entries)-1)/len(entries))
	}
	if size >= len(endpoints) {
		return sortedNames(endpoints)
	}
	near, far := split(endpoints, self.DataCentre)
	peers, _ := split(entries, self.DataCentre)
	nearSize := min(len(near), size-int(float64(size)*farShare))
	chosen := assign("near/"+self.DataCentre, self.Name, peers, near, nearSize)
	chosen = append(chosen, assign("far", self.Name, []Member{self}, far, size-len(chosen))...)
	slices.Sort(chosen)
	return chosen
}

func split(members []Member, dataCentre string) (near, far []Member) {
	for _, m := range members {
		if m.DataCentre == dataCentre {
			near = append(near, m)
		} else {
			far = append(far, m)
		}
	}
	return near, far
}

func sortedNames(members []Member) []string {
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.Name
	}
	slices.Sort(names)
	return names
}

// assign gives each entry size endpoints in its rendezvous order, skipping those
// that have reached the bound, and returns the share of one entry. Entries are
// served in a fixed order, so that all processes agree.
func assign(key, self string, entries, endpoints []Member, size int) []string {
	if size <= 0 || len(endpoints) == 0 {
		return nil
	}
	size = min(size, len(endpoints))
	bound := int(loadSlack*float64(size*len(entries))/float64(len(endpoints))) + 1
	names := sortedNames(endpoints)
	load := make(map[string]int, len(names))
	for _, entry := range Rank(key, sortedNames(entries)) {
		share := pick(Rank(entry, names), load, bound, size)
		if entry == self {
			return share
		}
	}
	return pick(Rank(self, names), load, bound, size)
}

func pick(ranked []string, load map[string]int, bound, size int) []string {
	share := make([]string, 0, size)
	var full []string
	for _, name := range ranked {
		if len(share) == size {
			break
		}
		if load[name] >= bound {
			full = append(full, name)
			continue
		}
		load[name]++
		share = append(share, name)
	}
	for _, name := range full[:min(len(full), size-len(share))] {
		load[name]++
		share = append(share, name)
	}
	return share
}
