package cicadapeer

import (
	"slices"
	"sort"
	"time"
)

// relayState returns the known members whose messages this member does not receive
// directly, and the states that it relays: those of members whose messages it receives
// directly and some live member does not. Of the members that receive the messages of
// such a member, the first by name relays its state.
func (g *Group) relayState(now time.Time) (notReceived []string, relayed []State) {
	for name := range g.addresses {
		if s := g.members[name]; s == nil || !s.seenDirectly(now) {
			notReceived = append(notReceived, name)
		}
	}
	sort.Strings(notReceived)
	for name := range g.missedBy {
		if s := g.members[name]; s != nil && s.live && s.seenDirectly(now) && g.isRelayFor(name) {
			state := s.state
			state.NotReceived, state.Relayed = nil, nil
			state.CrashReports, state.Quarantines, state.Refusals, state.Unreachable = nil, nil, nil, nil
			state.PartQuarantines, state.SoundParts, state.Speeds, state.Usage = nil, nil, nil, nil
			relayed = append(relayed, state)
		}
	}
	return notReceived, relayed
}

// countMissing adds n to the number of live members that do not receive the messages of
// each named member directly.
func (g *Group) countMissing(names []string, n int) {
	for _, name := range names {
		if g.missedBy[name] += n; g.missedBy[name] == 0 {
			delete(g.missedBy, name)
		}
	}
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

// RelayAddress returns the address of a live entry that receives the messages of the named
// member and whose messages this member receives directly. The entry relays calls to a
// member that this one does not reach.
func (g *Group) RelayAddress(name string) (address string, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	first := ""
	for other, s := range g.members {
		if other == name || !s.live || s.state.Member.Role != RoleEntry || !s.seenDirectly(now) || slices.Contains(s.state.NotReceived, name) {
			continue
		}
		if first == "" || other < first {
			first, address = other, s.state.Member.Address
		}
	}
	return address, first != ""
}
