package cicadabatch

import (
	"slices"
	"time"
)

// maxStoreAge is how old the store's last response to an owner may be for the owner to
// count as connected while another owner has lost the store: an idle watch can take
// long to fail.
const maxStoreAge = 1500 * time.Millisecond

// A Candidate is the state of a live owner as seen by its peers.
type Candidate struct {
	Name     string
	StoreUp  bool
	StoreAge time.Duration
	Leaving  bool
}

// Eligible returns the sorted names of the owners that may run jobs. While all owners
// reach the store, these are all except those that are shutting down. If some have
// lost the store, jobs move to the owners that had a recent response from it; if no
// owner had one, jobs stay where they are.
func Eligible(all []Candidate) []string {
	lost := slices.ContainsFunc(all, func(c Candidate) bool { return !c.StoreUp })
	eligible := filterNames(all, func(c Candidate) bool {
		return !c.Leaving && c.StoreUp && (!lost || c.StoreAge < maxStoreAge)
	})
	if len(eligible) == 0 {
		eligible = filterNames(all, func(c Candidate) bool { return !c.Leaving })
	}
	if len(eligible) == 0 {
		eligible = filterNames(all, func(Candidate) bool { return true })
	}
	slices.Sort(eligible)
	return eligible
}

func filterNames(all []Candidate, keep func(Candidate) bool) []string {
	var kept []string
	for _, c := range all {
		if keep(c) {
			kept = append(kept, c.Name)
		}
	}
	return kept
}
