// Package cicadamember assigns members of a fleet to each other and to keys. Its
// functions are pure: every process that knows the same members computes the same
// assignment, so no election is needed.
//
// # Usage
//
//	watchers := cicadamember.Top("watch/ee-1", entriesOfDataCentre, 2)
//	names := cicadamember.Subset(self, entries, endpoints, cicadamember.DefaultSubset)
//
// The assignments are based on rendezvous hashing, so a member that joins or
// leaves changes only a small part of them.
package cicadamember

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultSubset is the number of endpoints of a group that one entry uses.
	DefaultSubset = 12
	// MinEntriesPerEndpoint is the minimum number of entries that use an endpoint,
	// if there are that many.
	MinEntriesPerEndpoint = 3
	// remoteFraction is the fraction of a subset outside the entry's own data
	// centre, so that a model remains available if all endpoints of the data
	// centre fail.
	remoteFraction = 0.25
	// maxLoadFactor bounds the number of entries that use one endpoint, relative
	// to the mean.
	maxLoadFactor = 1.15
)

// A Member is a process of the fleet: an entry or an endpoint.
type Member struct {
	Name       string
	DataCentre string
}

// score is the rendezvous hash of a key and a name.
func score(key, name string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(name)
	return d.Sum64()
}

// Rank returns the names in rendezvous order for a key, the highest score first.
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
	sorted := make([]string, len(names))
	for i, s := range ranked {
		sorted[i] = s.name
	}
	return sorted
}

// Top returns the first n names of Rank, or all when there are fewer.
func Top(key string, names []string, n int) []string {
	ranked := Rank(key, names)
	return ranked[:min(n, len(ranked))]
}

// Home returns the first name of Rank without sorting, or "" if there are no
// names.
func Home(key string, names []string) string {
	var (
		home      string
		bestScore uint64
	)
	for _, name := range names {
		s := score(key, name)
		if home == "" || s > bestScore || (s == bestScore && name < home) {
			home, bestScore = name, s
		}
	}
	return home
}

// Subset returns the sorted names of the endpoints that an entry uses: most of
// them in its own data centre, some in others. A size of 0 means DefaultSubset; the
// size is raised where MinEntriesPerEndpoint requires it. Over all entries, no
// endpoint is used by far more entries than the mean, and each is used by at least
// MinEntriesPerEndpoint entries if there are that many.
func Subset(self Member, entries, endpoints []Member, size int) []string {
	if size <= 0 {
		size = DefaultSubset
	}
	if len(entries) > 0 {
		size = max(size, (MinEntriesPerEndpoint*len(endpoints)+len(entries)-1)/len(entries))
	}
	if size >= len(endpoints) {
		return sortedNames(endpoints)
	}
	local, remote := splitByDataCentre(endpoints, self.DataCentre)
	localEntries, _ := splitByDataCentre(entries, self.DataCentre)
	localSize := min(len(local), size-int(float64(size)*remoteFraction))
	subset := assign("near/"+self.DataCentre, self.Name, localEntries, local, localSize)
	subset = append(subset, assign("far", self.Name, []Member{self}, remote, size-len(subset))...)
	slices.Sort(subset)
	return subset
}

func splitByDataCentre(members []Member, dataCentre string) (local, remote []Member) {
	for _, m := range members {
		if m.DataCentre == dataCentre {
			local = append(local, m)
		} else {
			remote = append(remote, m)
		}
	}
	return local, remote
}

func sortedNames(members []Member) []string {
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.Name
	}
	slices.Sort(names)
	return names
}

// assign assigns size endpoints to each entry in the entry's rendezvous order,
// skipping endpoints that have reached the load bound, and returns the endpoints of
// one entry. Entries are processed in a fixed order, so that all processes compute
// the same assignment.
func assign(key, self string, entries, endpoints []Member, size int) []string {
	if size <= 0 || len(endpoints) == 0 {
		return nil
	}
	size = min(size, len(endpoints))
	maxLoad := int(maxLoadFactor*float64(size*len(entries))/float64(len(endpoints))) + 1
	names := sortedNames(endpoints)
	load := make(map[string]int, len(names))
	for _, entry := range Rank(key, sortedNames(entries)) {
		assigned := takeBelowBound(Rank(entry, names), load, maxLoad, size)
		if entry == self {
			return assigned
		}
	}
	return takeBelowBound(Rank(self, names), load, maxLoad, size)
}

// takeBelowBound takes the first size names with less than maxLoad, filled up
// with names at maxLoad if there are too few, and updates load.
func takeBelowBound(ranked []string, load map[string]int, maxLoad, size int) []string {
	taken := make([]string, 0, size)
	var full []string
	for _, name := range ranked {
		if len(taken) == size {
			break
		}
		if load[name] >= maxLoad {
			full = append(full, name)
			continue
		}
		load[name]++
		taken = append(taken, name)
	}
	for _, name := range full[:min(len(full), size-len(taken))] {
		load[name]++
		taken = append(taken, name)
	}
	return taken
}
