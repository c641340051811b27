package cicadapeer

import (
	"slices"
	"sort"
	"time"
)

// relayState returns the known members that are not heard directly, and the states that
// this member relays: those of members that it hears directly and some live member does
// not. Of the members that hear such a member, the first by name relays its state.
func (g *Group) relayState(now time.Time) (notHeard []string, relayed []State) {
	for name := range g.addresses {
		if s := g.members[name]; s == nil || !s.heardDirectly(now) {
			notHeard = append(notHeard, name)
		}
	}
	sort.Strings(notHeard)
	for name, s := range g.members {
		if s.live && s.heardDirectly(now) && g.notHeardBySome(name) && g.isRelayFor(name) {
			state := s.state
			state.NotReceived, state.Relayed, state.CrashReports = nil, nil, nil
			relayed = append(relayed, state)
		}
	}
	return notHeard, relayed
}

// notHeardBySome reports whether some live member does not hear the named member
// directly.
func (g *Group) notHeardBySome(name string) bool {
	for other, s := range g.members {
		if other != name && s.live && slices.Contains(s.state.NotReceived, name) {
			return true
		}
	}
	return false
}

// isRelayFor reports whether this member is the one to relay the state of the named
// member.
func (g *Group) isRelayFor(name string) bool {
	for other, s := range g.members {
		if other != name && other < g.self.Name && s.live && !slices.Contains(s.state.NotReceived, name) {
			return false
		}
	}
	return true
}

// RelayAddress returns the address of a live entry that hears the named member and that this
// member hears directly. It relays calls to a member that this one does not reach.
func (g *Group) RelayAddress(name string) (address string, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	first := ""
	for other, s := range g.members {
		if other == name || !s.live || s.state.Member.Role != RoleEntry || !s.heardDirectly(now) || slices.Contains(s.state.NotReceived, name) {
			continue
		}
		if first == "" || other < first {
			first, address = other, s.state.Member.Address
		}
	}
	return address, first != ""
}
