package cicadapeer

import (
	"cmp"
	"slices"
	"time"
)

// A RosterEntry is one of the owners among which an owner divides the jobs. The owner itself is
// one of them if it runs jobs.
type RosterEntry struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// Since changes when the owner that sends the roster may have run jobs of the named owner
	// while that was not in its roster.
	Since uint64
	// Incarnation and HeardAt are those of the newest state that the sender has of the named
	// owner; HeardAt is its SentAt.
	Incarnation int64
	HeardAt     uint64
}

// An OwnerView is what another owner has last reported about the division of the jobs, as far
// as it concerns this member.
type OwnerView struct {
	Owner       string
	Incarnation int64 // of the owner
	// Since is that of this member in the owner's roster, or 0 if it is not in it: the owner may
	// then run this member's jobs.
	Since uint64
	// RunsJobs reports whether the owner is in its own roster.
	RunsJobs bool
	// Leaving reports whether the owner is shutting down or is to be retired.
	Leaving bool
	// ValidUntil is the time until which the owner keeps this member in its roster even if it
	// hears no more of it. It is zero if the owner has not heard of this incarnation.
	ValidUntil time.Time
}

// rosterInterval is the time between two messages with a roster that has not changed. States are
// sent far more often, and a roster grows with the number of owners.
const rosterInterval = 200 * time.Millisecond

// nextRoster returns the roster for the next message, with what this member has heard of each
// owner, or nil if the receivers are to keep the one that they have. The caller must hold g.mu.
func (g *Group) nextRoster(roster []RosterEntry, now time.Time) []RosterEntry {
	if now.Sub(g.rosterSentAt) < rosterInterval && slices.Equal(roster, g.sentRoster) {
		return nil
	}
	g.rosterSentAt, g.sentRoster = now, roster
	stamped := slices.Clone(roster)
	for i := range stamped {
		if s := g.members[stamped[i].Name]; s != nil {
			stamped[i].Incarnation, stamped[i].HeardAt = s.state.Incarnation, s.state.SentAt
		}
	}
	return stamped
}

// sinceStart returns the time since the start of this incarnation as it is sent in SentAt.
func (g *Group) sinceStart(now time.Time) uint64 {
	return uint64(max(now.Sub(g.startedAt).Milliseconds(), 0))
}

// maxClockDrift is how much the wall clock may gain on the monotonic clock between two looks at
// them. It gains more if the VM was suspended, since the monotonic clock then stands still.
const maxClockDrift = 100 * time.Millisecond

// checkClocks notices a suspension that the monotonic clock has missed. What others have heard of
// this member before says nothing about the time since. A step of the wall clock is taken for a
// suspension too. The caller must hold g.mu.
func (g *Group) checkClocks(now time.Time) {
	lead := now.Round(0).Sub(g.startedAt.Round(0)) - now.Sub(g.startedAt) // Round removes the monotonic reading
	if lead-g.clockLead > maxClockDrift {
		g.log.Warn("wall clock gained on the monotonic clock", "by", (lead - g.clockLead).String())
		g.confirmedFrom = g.sinceStart(now) + 1
	}
	g.clockLead = lead
}

// OwnerViews returns the views of the other owners that have lately been heard of, live or not,
// sorted by name. An owner that only others have heard of has a view that confirms nothing.
func (g *Group) OwnerViews() []OwnerView {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.checkClocks(time.Now())
	var views []OwnerView
	unheard := make(map[string]bool)
	for name, s := range g.members {
		if s.state.Member.Role != RoleOwner {
			continue
		}
		views = append(views, g.viewOf(name, s.state))
		for _, e := range s.state.Roster {
			if s.live && e.Name != g.self.Name && g.members[e.Name] == nil {
				unheard[e.Name] = true
			}
		}
	}
	for name := range unheard {
		views = append(views, OwnerView{Owner: name, RunsJobs: true})
	}
	slices.SortFunc(views, func(a, b OwnerView) int { return cmp.Compare(a.Owner, b.Owner) })
	return views
}

func (g *Group) viewOf(name string, state State) OwnerView {
	v := OwnerView{Owner: name, Incarnation: state.Incarnation, Leaving: state.Leaving}
	for _, e := range state.Roster {
		switch e.Name {
		case name:
			v.RunsJobs = true
		case g.self.Name:
			v.Since = e.Since
			if e.Incarnation == g.incarnation && e.HeardAt >= g.confirmedFrom {
				v.ValidUntil = g.startedAt.Add(time.Duration(e.HeardAt)*time.Millisecond + failureTimeout)
			}
		}
	}
	return v
}
