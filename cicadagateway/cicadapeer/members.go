package cicadapeer

import (
	"sort"
	"time"
)

// First reports whether this member is, by name, the first of those that reach
// the store. storeUp says whether this one does.
func (g *Group) First(storeUp bool) bool {
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

// StoreSteady reports whether the store has answered a live member all along.
func (g *Group) StoreSteady() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.members {
		if s.live && s.state.StoreSteady {
			return true
		}
	}
	return false
}

// Direct reports whether this member hears the one named directly.
func (g *Group) Direct(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.members[name]
	return s != nil && s.live && s.heardDirectly(time.Now())
}

// Heard reports whether the member named has been heard within the last minute.
func (g *Group) Heard(name string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.members[name] != nil
}

// Live returns the states of the live members of a role, by name.
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
