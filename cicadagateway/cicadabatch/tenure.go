package cicadabatch

import (
	"maps"
	"slices"
	"strings"
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
// own roster.
func yields(v cicadapeer.OwnerView, names []string) bool {
	return v.Since != 0 && (!v.RunsJobs || slices.Contains(names, v.Owner))
}

// checkTenure reports whether no other owner runs this owner's jobs. If another may have run them
// in the meantime, the results of these jobs are read again.
func (o *Owner) checkTenure(now time.Time) bool {
	views := o.peers()
	known := func(name string) bool {
		return slices.ContainsFunc(views, func(v cicadapeer.OwnerView) bool { return v.Owner == name })
	}
	o.roster.forget(known)
	o.tenure.forget(known)
	state := o.tenure.update(now, o.roster.names, views)
	if unconfirmed := strings.Join(state.unconfirmed, " "); unconfirmed != o.unconfirmed {
		o.log.Info("owners that do not confirm changed", "from", o.unconfirmed, "to", unconfirmed)
		o.unconfirmed = unconfirmed
	}
	if len(state.interrupting) > 0 {
		o.renewOwnership(now, state.interrupting)
	}
	return state.confirmed()
}

// renewOwnership treats the jobs of this owner as if they had just moved here from the named
// owners.
func (o *Owner) renewOwnership(now time.Time, from []string) {
	renewed := 0
	for _, j := range o.jobs {
		if j.owned && !j.allListed() {
			j.renew(now)
			renewed++
		}
	}
	o.metrics.renewals.Inc(1)
	o.log.Info("ownership renewed", "others", strings.Join(from, " "), "jobs", renewed)
}

// renew makes the owner read a job's results again, as if the job had just moved here.
func (j *job) renew(now time.Time) { j.ownedSince, j.loaded = now, false }
