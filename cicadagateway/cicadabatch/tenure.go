package cicadabatch

import (
	"maps"
	"slices"
	"time"

	"cicadalink.example/cicadagateway/cicadapeer"
)

// An owner knows all results of its jobs only if no other owner runs them. The owners divide the
// jobs each by its own view of the others, and an owner that was suspended or cut off finds its
// view as it was, while others have run its jobs in the meantime. It therefore does not trust its
// own view. Each owner reports its roster, and for each owner in it the newest message that it has
// heard of that owner. From this a tenure determines whether all others leave the jobs of this
// owner to it: for how long they do so even if they hear no more of it, and whether any of them
// may have run its jobs since they last did so.

// A term is the part of an owner's report that stays the same as long as that owner leaves the
// jobs of this one to it.
type term struct {
	incarnation int64
	since       uint64
}

// A tenure tracks whether all other owners leave an owner's jobs to it.
type tenure struct {
	terms map[string]term // by owner: the latest under which it left the jobs to this owner
}

// A tenureState is the state of a tenure at one time.
type tenureState struct {
	// unconfirmed names the owners that may run jobs of this owner now.
	unconfirmed []string
	// interrupting names the owners that leave the jobs to this owner but may have run them
	// since they last did so.
	interrupting []string
}

// confirmed reports whether no other owner runs this owner's jobs.
func (s tenureState) confirmed() bool { return len(s.unconfirmed) == 0 }

// update applies the reports of the other owners. names is this owner's own roster.
func (t *tenure) update(now time.Time, names []string, views []cicadapeer.OwnerView) tenureState {
	var state tenureState
	for _, v := range views {
		if v.Leaving && !v.RunsJobs {
			continue // it does not return to its roster before it has ended
		}
		if !now.Before(v.ValidUntil) || !yields(v, names) {
			state.unconfirmed = append(state.unconfirmed, v.Owner)
			continue
		}
		current := term{incarnation: v.Incarnation, since: v.Since}
		if t.terms[v.Owner] != current {
			t.terms[v.Owner] = current
			state.interrupting = append(state.interrupting, v.Owner)
		}
	}
	return state
}

// forget forgets the owners that are not known any more. One that returns interrupts the tenure.
func (t *tenure) forget(known func(name string) bool) {
	maps.DeleteFunc(t.terms, func(name string, _ term) bool { return !known(name) })
}

// yields reports whether an owner leaves to this one the jobs that this one owns according to its
// own roster: it has this one in its roster, and if it runs jobs itself, this one counts it too.
func yields(v cicadapeer.OwnerView, names []string) bool {
	return v.Since != 0 && (!v.RunsJobs || slices.Contains(names, v.Owner))
}
