package cicadabatch

import (
	"slices"
	"time"
)

// maxStoreAge is the maximum time since an owner's last response from the store. It
// applies only if an owner has lost its connection: the watch of another, idle owner
// may not have detected the same failure yet.
const maxStoreAge = 1500 * time.Millisecond

// A Candidate is a live owner and the state that it reports.
type Candidate struct {
	Name     string
	StoreUp  bool
	StoreAge time.Duration
	Leaving  bool
}

// Eligible returns the sorted names of the owners that may run jobs: those that are not
// shutting down and are connected to the store. If any owner has lost its connection,
// the others must also have had a recent response from the store. If no owner
// qualifies, it returns all that are not shutting down, so that jobs are not moved. If
// all are shutting down, it returns all.
func Eligible(all []Candidate) []string {
	anyDisconnected := slices.ContainsFunc(all, func(c Candidate) bool { return !c.StoreUp })
	eligible := filterNames(all, func(c Candidate) bool {
		return !c.Leaving && c.StoreUp && (!anyDisconnected || c.StoreAge < maxStoreAge)
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
