package cicadaconfig

import (
	"maps"
	"slices"
	"sort"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"cicadalink.example/cicadakernel/cicadawire"
)

// A Snapshot is the entire configuration at one revision. It is immutable.
type Snapshot struct {
	revision       int64
	resources      map[resourceID]Resource
	customers      map[string]*ResolvedCustomer
	customersByKey map[string]*ResolvedCustomer
	groupsByModel  map[string][]string
	limits         *Limits
}

// Empty returns the empty configuration, at revision 0.
func Empty() *Snapshot {
	s, err := newSnapshot(0, nil)
	if err != nil {
		panic(err)
	}
	return s
}

func newSnapshot(revision int64, resources map[resourceID]Resource) (*Snapshot, error) {
	s := &Snapshot{
		revision:       revision,
		resources:      resources,
		customers:      make(map[string]*ResolvedCustomer),
		customersByKey: make(map[string]*ResolvedCustomer),
		groupsByModel:  make(map[string][]string),
		limits:         &Limits{},
	}
	for _, r := range resources {
		if err := s.add(r); err != nil {
			return nil, err
		}
	}
	for _, groups := range s.groupsByModel {
		sort.Strings(groups)
	}
	return s, nil
}

// add validates the references of a resource and adds it to the indexes.
func (s *Snapshot) add(r Resource) error {
	switch spec := r.spec.(type) {
	case *Customer:
		return s.addCustomer(r.name, spec)
	case *Group:
		for _, model := range spec.Models {
			s.groupsByModel[model] = append(s.groupsByModel[model], r.name)
		}
	case *Service:
		if _, ok := s.resources[resourceID{KindGroup, spec.Group}]; !ok {
			return merry.Errorf("service/%s: group %q does not exist: %w", r.name, spec.Group, ErrInvalid)
		}
	case *Limits:
		if r.name != "default" {
			return merry.Errorf("limits/%s: the name must be default: %w", r.name, ErrInvalid)
		}
		s.limits = spec
	}
	return nil
}

func (s *Snapshot) addCustomer(name string, c *Customer) error {
	resource, ok := s.resources[resourceID{KindTemplate, c.Template}]
	if !ok {
		return merry.Errorf("customer/%s: template %q does not exist: %w", name, c.Template, ErrInvalid)
	}
	template := resource.spec.(*Template)
	for _, key := range c.Parameters.definedKeys() {
		if slices.Contains(template.Fixed, key) {
			return merry.Errorf("customer/%s: parameter %s is fixed by template %q: %w", name, key, c.Template, ErrInvalid)
		}
	}
	resolved := &ResolvedCustomer{name: name, suspended: c.Suspended, params: c.Parameters.withDefaults(template.Parameters)}
	s.customers[name] = resolved
	for _, key := range c.Keys {
		if other, exists := s.customersByKey[key]; exists {
			return merry.Errorf("customer/%s: duplicate key, also listed by customer/%s: %w", name, other.name, ErrInvalid)
		}
		s.customersByKey[key] = resolved
	}
	return nil
}

// Revision returns the revision of the last change set in the snapshot.
func (s *Snapshot) Revision() int64 { return s.revision }

// Get returns a resource.
func (s *Snapshot) Get(kind Kind, name string) (Resource, bool) {
	r, ok := s.resources[resourceID{kind, name}]
	return r, ok
}

// List returns the resources of a kind in name order. If kind is empty it returns
// all resources, ordered by kind and name.
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

// Customer returns a customer whose unset parameters have been taken from its
// template.
func (s *Snapshot) Customer(name string) (*ResolvedCustomer, bool) {
	customer, ok := s.customers[name]
	return customer, ok
}

// CustomerCount returns the number of customers.
func (s *Snapshot) CustomerCount() int { return len(s.customers) }

// CustomerByKey returns the customer that lists the hash of an API key.
func (s *Snapshot) CustomerByKey(hash string) (*ResolvedCustomer, bool) {
	customer, ok := s.customersByKey[hash]
	return customer, ok
}

// GroupsByModel returns the names of the groups that serve a model, in order.
func (s *Snapshot) GroupsByModel(model string) []string { return s.groupsByModel[model] }

// Group returns an endpoint group.
func (s *Snapshot) Group(name string) (*Group, bool) { return specOf[Group](s, KindGroup, name) }

// Service returns a plain service.
func (s *Snapshot) Service(name string) (*Service, bool) {
	return specOf[Service](s, KindService, name)
}

// specOf returns the spec of a resource, which must be a T.
func specOf[T any](s *Snapshot, kind Kind, name string) (*T, bool) {
	r, ok := s.resources[resourceID{kind, name}]
	if !ok {
		return nil, false
	}
	return r.spec.(*T), true
}

// Limits returns the fleet's limits, which must not be modified.
func (s *Snapshot) Limits() *Limits { return s.limits }

// CustomersByTemplate returns the names of the customers that are based on a
// template, in order.
func (s *Snapshot) CustomersByTemplate(template string) []string {
	var names []string
	for id, r := range s.resources {
		if c, ok := r.spec.(*Customer); ok && c.Template == template {
			names = append(names, id.name)
		}
	}
	sort.Strings(names)
	return names
}

// Next returns the snapshot that results from applying a change set, whose revision
// must be the next one.
func (s *Snapshot) Next(set *cicadawire.ChangeSet) (*Snapshot, error) {
	if set.GetRevision() != s.revision+1 {
		return nil, merry.Errorf("cannot apply revision %d to revision %d", set.GetRevision(), s.revision)
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

// Encode returns the snapshot in the format in which it is stored and sent.
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

// Decode decodes a snapshot that Encode returned.
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
