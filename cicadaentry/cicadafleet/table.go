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

// outlierCheckInterval is the minimum time between two comparisons of a group's
// endpoints.
const outlierCheckInterval = 20 * time.Millisecond

// membership is an immutable snapshot of the entries and of the endpoints that this
// entry uses.
type membership struct {
	entries []cicadaplatform.VM
	groups  map[string]*Group
}

// A Group is the subset of an endpoint group that this entry uses.
type Group struct {
	name      string
	endpoints []*Endpoint

	mu                sync.Mutex
	outliersCheckedAt time.Time
}

// NewGroup returns a group of endpoints.
func NewGroup(name string, endpoints ...*Endpoint) *Group {
	return &Group{name: name, endpoints: endpoints}
}

// Endpoints returns the group's endpoints. The caller must not modify the slice.
func (g *Group) Endpoints() []*Endpoint { return g.endpoints }

// Views returns the endpoints' state as input for routing, in the order of
// Endpoints. At most once per outlierCheckInterval it also compares the endpoints
// and ejects those that are much slower than the others.
func (g *Group) Views(now time.Time) []cicadaroute.EndpointView {
	views := make([]cicadaroute.EndpointView, len(g.endpoints))
	for i, e := range g.endpoints {
		views[i] = e.View()
	}
	g.mu.Lock()
	checkNow := now.Sub(g.outliersCheckedAt) >= outlierCheckInterval
	if checkNow {
		g.outliersCheckedAt = now
	}
	g.mu.Unlock()
	if checkNow {
		for i, ejected := range cicadaroute.DetectOutliers(views) {
			if ejected {
				g.endpoints[i].eject()
				views[i].Ejected = true
			}
		}
	}
	return views
}

// A Table holds the entries of the fleet and the endpoints that this entry uses.
// Entries and groups are read without a lock.
type Table struct {
	self    cicadamember.Member
	current atomic.Pointer[membership]

	mu        sync.Mutex
	endpoints map[string]*Endpoint
	vms       []cicadaplatform.VM
}

// NewTable returns an empty table for the entry self.
func NewTable(self cicadamember.Member) *Table {
	t := &Table{self: self, endpoints: make(map[string]*Endpoint)}
	t.current.Store(&membership{groups: make(map[string]*Group)})
	return t
}

// Group returns the subset of a group that this entry uses.
func (t *Table) Group(name string) (*Group, bool) {
	g, ok := t.current.Load().groups[name]
	return g, ok
}

// Groups returns the groups, sorted by name.
func (t *Table) Groups() []*Group {
	groups := t.current.Load().groups
	var sorted []*Group
	for _, name := range slices.Sorted(maps.Keys(groups)) {
		sorted = append(sorted, groups[name])
	}
	return sorted
}

// Entries returns the live entries of the VM list. The caller must not modify the
// slice.
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

// EntryAddress returns the address of a live entry.
func (t *Table) EntryAddress(name string) (string, bool) {
	for _, vm := range t.Entries() {
		if vm.Name == name {
			return vm.Address, true
		}
	}
	return "", false
}

// VMs returns the VM list of the last Update.
func (t *Table) VMs() []cicadaplatform.VM {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.vms
}

// Update applies a VM list. The function subsetSize returns the size of the subset
// of a group's endpoints that each entry uses. Update returns the endpoints to which
// the entry must open links, and those that it no longer uses.
func (t *Table) Update(vms []cicadaplatform.VM, subsetSize func(group string) int) (added, removed []*Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.vms = vms
	next := &membership{groups: make(map[string]*Group)}
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
		selected, newEndpoints := t.selectEndpoints(entries, endpoints, subsetSize(group), used)
		added = append(added, newEndpoints...)
		next.groups[group] = NewGroup(group, selected...)
	}
	for name, e := range t.endpoints {
		if used[name] != e {
			removed = append(removed, e)
		}
	}
	t.endpoints = used
	t.current.Store(next)
	return added, removed
}

func memberOf(vm cicadaplatform.VM) cicadamember.Member {
	return cicadamember.Member{Name: vm.Name, DataCentre: vm.DataCentre}
}

// selectEndpoints selects the endpoints of one group that the entry uses, and adds
// them to used. Endpoints that are leaving are kept until they are removed from
// the VM list, but do not count towards the subset.
func (t *Table) selectEndpoints(entries []cicadamember.Member, vms []cicadaplatform.VM, size int, used map[string]*Endpoint) (selected, added []*Endpoint) {
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
		_, known := t.endpoints[vm.Name]
		if known && vm.State == cicadaplatform.VMLeaving {
			names = append(names, vm.Name)
		}
	}
	for _, name := range names {
		vm := byName[name]
		e, known := t.endpoints[name]
		if !known || e.address != vm.Address {
			e = NewEndpoint(vm, vm.DataCentre == t.self.DataCentre)
			added = append(added, e)
		}
		if vm.State == cicadaplatform.VMLeaving {
			e.SetLeaving(true)
		}
		used[name] = e
		selected = append(selected, e)
	}
	return selected, added
}
