package cicadabatch

import (
	"maps"
	"slices"

	"cicadalink.example/cicadagateway/cicadapeer"
)

// A roster holds the owners among which an owner divides the jobs, itself included if it runs
// jobs. It tells the others whether their jobs may have been run here while they were not in it.
type roster struct {
	self    string
	names   []string          // sorted
	since   map[string]uint64 // by owner, also of those that have left the roster
	changes uint64            // number given to the latest change of since
}

func newRoster(self string) *roster { return &roster{self: self, since: make(map[string]uint64)} }

// set sets the owners. It reports false if they are the same as before.
func (r *roster) set(names []string) bool {
	if slices.Equal(names, r.names) {
		return false
	}
	r.names = names
	for _, name := range names {
		if _, ok := r.since[name]; !ok {
			r.renumber(name)
		}
	}
	return true
}

// ownerOf returns the owner that runs a job.
func (r *roster) ownerOf(job string) string { return ownerOf(job, r.names) }

// recordWrite records that this owner is about to store results of a job. It reports whether the
// job would be run by an owner that has left the roster, which is to be told about it.
func (r *roster) recordWrite(job string) bool {
	changed := false
	for name := range r.since {
		if !slices.Contains(r.names, name) && ownerOf(job, []string{r.self, name}) == name {
			r.renumber(name)
			changed = true
		}
	}
	return changed
}

// forget forgets the owners that have left the roster and are not known any more. One that returns
// gets a new number.
func (r *roster) forget(known func(name string) bool) {
	maps.DeleteFunc(r.since, func(name string, _ uint64) bool { return !slices.Contains(r.names, name) && !known(name) })
}

func (r *roster) renumber(name string) {
	r.changes++
	r.since[name] = r.changes
}

// entries returns the roster as it is sent to the other members.
func (r *roster) entries() []cicadapeer.RosterEntry {
	entries := make([]cicadapeer.RosterEntry, len(r.names))
	for i, name := range r.names {
		entries[i] = cicadapeer.RosterEntry{Name: name, Since: r.since[name]}
	}
	return entries
}
