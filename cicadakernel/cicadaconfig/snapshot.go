package cicadaconfig

import (
	"maps"
	"slices"
	"sort"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"cicadalink.example/cicadakernel/cicadawire"
)

// A Snapshot is the whole configuration at one revision. It is immutable.
type Snapshot struct {
	revision  int64
	resources map[resourceID]Resource
	accounts  map[string]*Account
	keys      map[string]*Account
	models    map[string][]string
	limits    *Limits
}

// Empty returns the configuration before the first revision.
func Empty() *Snapshot {
	s, err := newSnapshot(0, nil)
	if err != nil {
		panic(err)
	}
	return s
}

func newSnapshot(revision int64, resources map[resourceID]Resource) (*Snapshot, error) {
	s := &Snapshot{
		revision:  revision,
		resources: resources,
		accounts:  make(map[string]*Account),
		keys:      make(map[string]*Account),
		models:    make(map[string][]string),
		limits:    &Limits{},
	}
	for _, r := range resources {
		if err := s.add(r); err != nil {
			return nil, err
		}
	}
	for _, groups := range s.models {
		sort.Strings(groups)
	}
	return s, nil
}

func (s *Snapshot) add(r Resource) error {
	switch spec := r.spec.(type) {
	case *Customer:
		return s.addCustomer(r.name, spec)
	case *Group:
		for _, model := range spec.Models {
			s.models[model] = append(s.models[model], r.name)
		}
	case *Service:
		if _, ok := s.resources[resourceID{KindGroup, spec.Group}]; !ok {
			return merry.Errorf("service/%s: group %q does not exist: %w", r.name, spec.Group, ErrInvalid)
		}
	case *Limits:
		if r.name != "default" {
			return merry.Errorf("limits/%s: expected the name default: %w", r.name, ErrInvalid)
		}
		s.limits = spec
	}
	return nil
}

func (s *Snapshot) addCustomer(name string, c *Customer) error {
	base, ok := s.resources[resourceID{KindTemplate, c.Template}]
	if !ok {
		return merry.Errorf("customer/%s: template %q does not exist: %w", name, c.Template, ErrInvalid)
	}
	template := base.spec.(*Template)
	for _, key := range c.Parameters.given() {
		if slices.Contains(template.Fixed, key) {
			return merry.Errorf("customer/%s: parameter %s is fixed by template %q: %w", name, key, c.Template, ErrInvalid)
		}
	}
	account := &Account{name: name, suspended: c.Suspended, params: c.Parameters.over(template.Parameters)}
	s.accounts[name] = account
	for _, key := range c.Keys {
		if other, taken := s.keys[key]; taken {
			return merry.Errorf("customer/%s: a key is also a key of customer/%s: %w", name, other.name, ErrInvalid)
		}
		s.keys[key] = account
	}
	return nil
}

// Revision returns the number of the last change set in the snapshot.
func (s *Snapshot) Revision() int64 { return s.revision }

// Get returns a resource.
func (s *Snapshot) Get(kind Kind, name string) (Resource, bool) {
	r, ok := s.resources[resourceID{kind, name}]
	return r, ok
}

// List returns the resources of a kind in name order, or of every kind when it
// is empty.
func (s *Snapshot) List(kind Kind) []Resource {
	var found []Resource
	for id, r := range s.resources {
		if kind == "" || id.kind == kind {
			found = append(found, r)
		}
	}
	sort.Slice(found, func(i, j int) bool {
		a, b := found[i].id(), found[j].id()
		if a.kind != b.kind {
			return slices.Index(Kinds, a.kind) < slices.Index(Kinds, b.kind)
		}
		return a.name < b.name
	})
	return found
}

// Customer returns a customer with its template's parameters filled in.
func (s *Snapshot) Customer(name string) (*Account, bool) {
	a, ok := s.accounts[name]
	return a, ok
}

// Accounts returns how many customers there are.
func (s *Snapshot) Accounts() int { return len(s.accounts) }

// CustomerByKey returns the customer that a key's hash belongs to.
func (s *Snapshot) CustomerByKey(hash string) (*Account, bool) {
	a, ok := s.keys[hash]
	return a, ok
}

// GroupsOf returns the names of the groups that serve a model.
func (s *Snapshot) GroupsOf(model string) []string { return s.models[model] }

// Group returns a group.
func (s *Snapshot) Group(name string) (*Group, bool) { return spec[Group](s, KindGroup, name) }

// Service returns a plain service.
func (s *Snapshot) Service(name string) (*Service, bool) {
	return spec[Service](s, KindService, name)
}

func spec[T any](s *Snapshot, kind Kind, name string) (*T, bool) {
	r, ok := s.resources[resourceID{kind, name}]
	if !ok {
		return nil, false
	}
	return r.spec.(*T), true
}

// Limits returns the fleet's limits, which must not be changed.
func (s *Snapshot) Limits() *Limits { return s.limits }

// CustomersOf returns the names of the customers made from a template.
func (s *Snapshot) CustomersOf(template string) []string {
	var names []string
	for id, r := range s.resources {
		if c, ok := r.spec.(*Customer); ok && c.Template == template {
			names = append(names, id.name)
		}
	}
	sort.Strings(names)
	return names
}

// Next returns the snapshot after a change set. The set must be the next
// revision.
func (s *Snapshot) Next(set *cicadawire.ChangeSet) (*Snapshot, error) {
	if set.GetRevision() != s.revision+1 {
		return nil, merry.Errorf("revision %d does not follow %d", set.GetRevision(), s.revision)
	}
	resources := maps.Clone(s.resources)
	if resources == nil {
		resources = make(map[resourceID]Resource)
	}
	for _, change := range set.GetChanges() {
		id := resourceID{Kind(change.GetKind()), change.GetName()}
		if len(change.GetAfter()) == 0 {
			delete(resources, id)
			continue
		}
		r, err := parseResource(id.String(), rawDocument{line: 1, text: change.GetAfter()})
		if err != nil {
			return nil, merry.Errorf("revision %d: %w", set.GetRevision(), err)
		}
		r.revision = set.GetRevision()
		resources[id] = r
	}
	return newSnapshot(set.GetRevision(), resources)
}

// Encode returns the snapshot in its stored form.
func (s *Snapshot) Encode() ([]byte, error) {
	msg := &cicadawire.ConfigSnapshot{Revision: s.revision}
	for _, r := range s.List("") {
		msg.Resources = append(msg.Resources, &cicadawire.ConfigResource{
			Kind: string(r.kind), Name: r.name, Body: r.body, Revision: r.revision,
		})
	}
	data, err := proto.Marshal(msg)
	if err != nil {
		return nil, merry.Errorf("encode configuration: %w", err)
	}
	return data, nil
}

// Decode returns the snapshot of a stored form.
func Decode(data []byte) (*Snapshot, error) {
	msg := &cicadawire.ConfigSnapshot{}
	if err := proto.Unmarshal(data, msg); err != nil {
		return nil, merry.Errorf("decode configuration: %w", err)
	}
	resources := make(map[resourceID]Resource, len(msg.GetResources()))
	for _, stored := range msg.GetResources() {
		id := resourceID{Kind(stored.GetKind()), stored.GetName()}
		r, err := parseResource(id.String(), rawDocument{line: 1, text: stored.GetBody()})
		if err != nil {
			return nil, merry.Errorf("decode configuration: %w", err)
		}
		r.revision = stored.GetRevision()
		resources[id] = r
	}
	return newSnapshot(msg.GetRevision(), resources)
}
