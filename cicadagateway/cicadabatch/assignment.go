package cicadabatch

import (
	"slices"
	"strings"
	"time"

	"cicadalink.example/cicadagateway/cicadapeer"
)

// Roster returns the owners among which this owner divides the jobs.
func (o *Owner) Roster() []cicadapeer.RosterEntry {
	if entries := o.published.Load(); entries != nil {
		return *entries
	}
	return nil
}

func (o *Owner) publishRoster() {
	entries := o.roster.entries()
	o.published.Store(&entries)
	o.onRoster()
}

// reassignJobs recomputes which jobs this owner runs if the set of owners has changed.
func (o *Owner) reassignJobs() {
	before := o.roster.names
	if !o.roster.set(o.owners()) {
		return
	}
	o.assignments++
	o.log.Info("owners changed", "from", strings.Join(before, " "), "to", strings.Join(o.roster.names, " "))
	o.publishRoster()
	for _, j := range o.jobs {
		owned := o.roster.ownerOf(j.id) == o.name
		if owned == j.owned {
			continue
		}
		j.owned, j.ownedSince = owned, time.Now()
		o.log.Info("job moved", "job", j.id, "mine", owned, "listed", len(j.results))
		if !owned {
			o.stopRuns(j, "job moved")
			if j.writing {
				j.cancelWrite()
			}
			o.handOver(j)
		}
		j.loaded = false
	}
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
	o.assignments++
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
