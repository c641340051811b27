package cicadafleet

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cicadalink.example/cicadakernel/cicadamember"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadaroute"
)

// Roles of VMs in the VM list.
const (
	RoleEntry    = "entry"
	RoleEndpoint = "endpoint"
)

const compareInterval = 20 * time.Millisecond

// members is the fleet as of one moment; it is immutable.
type members struct {
	entries []cicadaplatform.VM
	groups  map[string]*Group
}

// A Group is the part of an endpoint group that this entry uses.
type Group struct {
	name      string
	endpoints []*Endpoint

	mu         sync.Mutex
	comparedAt time.Time
}

// NewGroup returns a group of endpoints.
func NewGroup(name string, endpoints ...*Endpoint) *Group {
	return &Group{name: name, endpoints: endpoints}
}

// Endpoints returns the group's endpoints, which must not be changed.
func (g *Group) Endpoints() []*Endpoint { return g.endpoints }

// Views returns the endpoints as routing sees them, in the order of Endpoints.
// From time to time it compares them with each other first.
func (g *Group) Views(now time.Time) []cicadaroute.View {
	views := make([]cicadaroute.View, len(g.endpoints))
	for i, e := range g.endpoints {
		views[i] = e.View()
	}
	g.mu.Lock()
	due := now.Sub(g.comparedAt) >= compareInterval
	if due {
		g.comparedAt = now
	}
	g.mu.Unlock()
	if due {
		for i, ejected := range cicadaroute.Eject(views) {
			if ejected {
				g.endpoints[i].eject()
				views[i].Ejected = true
			}
		}
	}
	return views
}

// A Table holds the members of the fleet that this entry deals with. Reading it
// takes no lock.
type Table struct {
	self    cicadamember.Member
	current atomic.Pointer[members]

	mu    sync.Mutex
	known map[string]*Endpoint
	last  []cicadaplatform.VM
}

// NewTable returns an empty table of an entry.
func NewTable(self cicadamember.Member) *Table {
	t := &Table{self: self, known: make(map[string]*Endpoint)}
	t.current.Store(&members{groups: make(map[string]*Group)})
	return t
}

// Group returns the part of a group that this entry uses.
func (t *Table) Group(name string) (*Group, bool) {
	g, ok := t.current.Load().groups[name]
	return g, ok
}

// Groups returns the groups in name order.
func (t *Table) Groups() []*Group {
	groups := t.current.Load().groups
	var found []*Group
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		found = append(found, groups[name])
	}
	return found
}

// Entries returns the live entries of the VM list, which must not be changed.
func (t *Table) Entries() []cicadaplatform.VM { return t.current.Load().entries }

// EntryNames returns the names of the live entries.
func (t *Table) EntryNames() []string {
	entries := t.Entries()
	names := make([]string, len(entries))
	for i, vm := range entries {
		names[i] = vm.Name
	}
	return names
}

// EntryAddress returns the address of an entry.
func (t *Table) EntryAddress(name string) (string, bool) {
	for _, vm := range t.Entries() {
		if vm.Name == name {
			return vm.Address, true
		}
	}
	return "", false
}

// VMs returns the VM list that the table was made from.
func (t *Table) VMs() []cicadaplatform.VM {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.last
}

// Update takes a VM list in, with the subset size of each group. It returns the
// endpoints that the entry must now link to, and those it no longer uses.
func (t *Table) Update(vms []cicadaplatform.VM, subsetOf func(group string) int) (added, removed []*Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.last = vms
	next := &members{groups: make(map[string]*Group)}
	byGroup := make(map[string][]cicadaplatform.VM)
	var entries []cicadamember.Member
	for _, vm := range vms {
		switch {
		case vm.Role == RoleEntry && vm.State == cicadaplatform.VMLive:
			next.entries = append(next.entries, vm)
			entries = append(entries, memberOf(vm))
		case vm.Role == RoleEndpoint:
			byGroup[vm.Group] = append(byGroup[vm.Group], vm)
		}
	}
	used := make(map[string]*Endpoint)
	for group, endpoints := range byGroup {
		chosen, fresh := t.choose(entries, endpoints, subsetOf(group), used)
		added = append(added, fresh...)
		next.groups[group] = NewGroup(group, chosen...)
	}
	for name, e := range t.known {
		if used[name] != e {
			removed = append(removed, e)
		}
	}
	t.known = used
	t.current.Store(next)
	return added, removed
}

func memberOf(vm cicadaplatform.VM) cicadamember.Member {
	return cicadamember.Member{Name: vm.Name, DataCentre: vm.DataCentre}
}

// choose picks the endpoints of one group that the entry uses. Endpoints that
// leave stay until they are gone from the list, but do not count for the
// subset.
func (t *Table) choose(entries []cicadamember.Member, vms []cicadaplatform.VM, size int, used map[string]*Endpoint) (chosen, added []*Endpoint) {
	var live []cicadamember.Member
	byName := make(map[string]cicadaplatform.VM, len(vms))
	for _, vm := range vms {
		byName[vm.Name] = vm
		if vm.State == cicadaplatform.VMLive {
			live = append(live, memberOf(vm))
		}
	}
	names := cicadamember.Subset(t.self, entries, live, size)
	for _, vm := range vms {
		_, known := t.known[vm.Name]
		if known && vm.State == cicadaplatform.VMLeaving {
			names = append(names, vm.Name)
		}
	}
	for _, name := range names {
		vm := byName[name]
		e, known := t.known[name]
		if !known || e.address != vm.Address {
			e = NewEndpoint(vm, vm.DataCentre == t.self.DataCentre)
			added = append(added, e)
		}
		if vm.State == cicadaplatform.VMLeaving {
			e.SetLeaving(true)
		}
		used[name] = e
		chosen = append(chosen, e)
	}
	return chosen, added
}
