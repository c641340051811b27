package cicadapeer

import (
	"slices"
	"sort"
	"time"
)

// relay returns which known members are not heard directly, and the states of
// those that are and that a live member misses. The first member by name that hears
// such a one relays it.
func (g *Group) relay(now time.Time) (missed []string, relayed []State) {
	for name := range g.addresses {
		if s := g.members[name]; s == nil || !s.heardDirectly(now) {
			missed = append(missed, name)
		}
	}
	sort.Strings(missed)
	for name, s := range g.members {
		if s.live && s.heardDirectly(now) && g.missed(name) && g.relays(name) {
			state := s.state
			state.Missed, state.Relayed, state.Crashes = nil, nil, nil
			relayed = append(relayed, state)
		}
	}
	return missed, relayed
}

// missed reports whether a live member does not hear the one named.
func (g *Group) missed(name string) bool {
	for other, s := range g.members {
		if other != name && s.live && slices.Contains(s.state.Missed, name) {
			return true
		}
	}
	return false
}

// relays reports whether it falls to this member to relay the one named.
func (g *Group) relays(name string) bool {
	for other, s := range g.members {
		if other != name && other < g.self.Name && s.live && !slices.Contains(s.state.Missed, name) {
			return false
		}
	}
	return true
}

// Through returns the address of a live entry that hears the member named and is
// heard here, for calls to a member that this one does not reach.
func (g *Group) Through(name string) (address string, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	first := ""
	for other, s := range g.members {
		if other == name || !s.live || s.state.Member.Role != RoleEntry || !s.heardDirectly(now) || slices.Contains(s.state.Missed, name) {
			continue
		}
		if first == "" || other < first {
			first, address = other, s.state.Member.Address
		}
	}
	return address, first != ""
}
