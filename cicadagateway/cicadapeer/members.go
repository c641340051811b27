package cicadapeer

import (
	"slices"
	"sort"
	"time"
)

// IsCoordinator reports whether this member is the coordinator: the first by name among the
// live members that reach the store and are not leaving. storeUp reports whether this
// member reaches it.
func (g *Group) IsCoordinator(storeUp bool) bool {
	if !storeUp {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, s := range g.members {
		if s.live && s.state.StoreUp && !s.state.Leaving && name < g.self.Name {
			return false
		}
	}
	return true
}

// Coordinator returns the name of the coordinator, see IsCoordinator, or "" if there is none.
func (g *Group) Coordinator(storeUp bool) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	first := ""
	if storeUp {
		first = g.self.Name
	}
	for name, s := range g.members {
		if s.live && s.state.StoreUp && !s.state.Leaving && (first == "" || name < first) {
			first = name
		}
	}
	return first
}

// InContact returns the sorted names of the live members of a role with which this member exchanges
// messages in both directions, and the number of known members of the role. Both include this member
// if it has the role. A member that has announced its shutdown is not counted once it is silent.
func (g *Group) InContact(role Role) (names []string, known int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if g.self.Role == role {
		names, known = append(names, g.self.Name), 1
	}
	for name, a := range g.addresses {
		s := g.members[name]
		if a.role != role || s != nil && !s.live && s.state.Leaving {
			continue
		}
		known++
		if s != nil && s.live && s.seenDirectly(now) && !slices.Contains(s.state.NotReceived, g.self.Name) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names, known
}

// StoreStable reports whether some live member has a stable connection to the store.
func (g *Group) StoreStable() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.members {
		if s.live && s.state.StoreStable {
			return true
		}
	}
	return false
}

// StoreUnsettled reports whether some live member has lately failed to reach the store.
func (g *Group) StoreUnsettled() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.members {
		if s.live && !s.state.StoreSettled {
			return true
		}
	}
	return false
}

// ReceivesDirectly reports whether this member receives the messages of the named member
// directly.
func (g *Group) ReceivesDirectly(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.members[name]
	return s != nil && s.live && s.seenDirectly(time.Now())
}

// RecentlySeen reports whether a state of the named member was received, directly or by
// relay, within removalTimeout.
func (g *Group) RecentlySeen(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members[name] != nil
}

// Names returns the names of the live members of all roles, and the number of all members
// that were lately seen.
func (g *Group) Names() (live []string, known int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, s := range g.members {
		if s.live {
			live = append(live, name)
		}
	}
	sort.Strings(live)
	return live, len(g.members)
}

// PeerReachesStore reports whether some live member reaches the platform's store.
func (g *Group) PeerReachesStore() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.members {
		if s.live && s.state.StoreUp {
			return true
		}
	}
	return false
}

// Live returns the states of the live members with the given role, sorted by name.
func (g *Group) Live(role Role) []State {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []State
	for _, s := range g.members {
		if s.live && s.state.Member.Role == role {
			out = append(out, s.state)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Member.Name < out[j].Member.Name })
	return out
}
