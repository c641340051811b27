package cicadabatch

import (
	"slices"
	"time"
)

// freshStore is how recent an owner's last answer of the store must be to count
// while another owner has lost the store: a watch may wait long before it fails.
const freshStore = 1500 * time.Millisecond

// A Candidate is a live owner as its peers know it.
type Candidate struct {
	Name     string
	StoreUp  bool
	StoreAge time.Duration
	Leaving  bool
}

// Eligible returns the names of the owners that may run jobs, in order. While all
// reach the store these are all that do not leave. When some have lost it, jobs
// move to those that have surely not; when nobody is sure, jobs stay.
func Eligible(all []Candidate) []string {
	lost := slices.ContainsFunc(all, func(c Candidate) bool { return !c.StoreUp })
	able := names(all, func(c Candidate) bool {
		return !c.Leaving && c.StoreUp && (!lost || c.StoreAge < freshStore)
	})
	if len(able) == 0 {
		able = names(all, func(c Candidate) bool { return !c.Leaving })
	}
	if len(able) == 0 {
		able = names(all, func(Candidate) bool { return true })
	}
	slices.Sort(able)
	return able
}

func names(all []Candidate, keep func(Candidate) bool) []string {
	var out []string
	for _, c := range all {
		if keep(c) {
			out = append(out, c.Name)
		}
	}
	return out
}
