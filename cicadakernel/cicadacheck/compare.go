package cicadacheck

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"cicadalink.example/cicadakernel/cicadaview"
)

// An Effect is what a change does to callers.
type Effect string

// Effects of changes, in the order in which Compare groups them.
const (
	VersionNotNewer   Effect = "version-not-newer" // gateways ignore the new configuration
	AccessChanged     Effect = "access-changed"    // routes that need a key
	RoutesRemoved     Effect = "routes-removed"
	RoutesAdded       Effect = "routes-added"
	RoutesMoved       Effect = "routes-moved"   // other services or weights
	RoutesChanged     Effect = "routes-changed" // another kind, or resumable
	TimeoutsChanged   Effect = "timeouts-changed"
	LimitsLowered     Effect = "limits-lowered"
	LimitsRaised      Effect = "limits-raised"
	PrioritiesChanged Effect = "priorities-changed"
	CustomersRemoved  Effect = "customers-removed"
	CustomersAdded    Effect = "customers-added"
	KeysWithdrawn     Effect = "keys-withdrawn"
	KeysAdded         Effect = "keys-added"
	ServicesChanged   Effect = "services-changed"
)

// effects is the order of the groups.
var effects = []Effect{
	VersionNotNewer, AccessChanged, RoutesRemoved, RoutesAdded, RoutesMoved, RoutesChanged, TimeoutsChanged, LimitsLowered,
	LimitsRaised, PrioritiesChanged, CustomersRemoved, CustomersAdded, KeysWithdrawn, KeysAdded, ServicesChanged,
}

// A Change is one difference between two configurations.
type Change struct {
	effect  Effect
	field   string
	message string
}

// Effect returns what the change does to callers.
func (c Change) Effect() Effect { return c.effect }

// Field returns the path of the field in the new configuration, or in the old one for what was
// removed.
func (c Change) Field() string { return c.field }

// Message returns a description of the change.
func (c Change) Message() string { return c.message }

// MarshalJSON implements json.Marshaler.
func (c Change) MarshalJSON() ([]byte, error) {
	return json.Marshal(struct {
		Effect  Effect `json:"effect"`
		Field   string `json:"field"`
		Message string `json:"message"`
	}{c.effect, c.field, c.message})
}

// A comparison collects the changes between two configurations.
type comparison struct {
	options
	before, after *cicadaview.Config
	changes       []Change
}

// WithOldPaths sets how places of the old configuration are written in changes. The default is the
// function set by WithPaths.
func WithOldPaths(path func(Place) string) Option { return func(o *options) { o.oldPath = path } }

// Compare returns the differences between two configurations, grouped by their effects. A route is
// identified by its host and prefix, and services and customers by their names. Entries that never
// take effect are left out.
func Compare(before, after *cicadaview.Config, opts ...Option) []Change {
	c := &comparison{options: newOptions(opts), before: before, after: after}
	if after.Version() <= before.Version() {
		c.add(VersionNotNewer, Place{}.field(Version), "version %d does not replace version %d", after.Version(), before.Version())
	}
	c.compareRoutes()
	c.compareLimits()
	c.compareServices()
	c.compareCustomers()
	slices.SortStableFunc(c.changes, func(a, b Change) int { return slices.Index(effects, a.effect) - slices.Index(effects, b.effect) })
	return c.changes
}

func (c *comparison) add(effect Effect, at Place, format string, args ...any) {
	c.changes = append(c.changes, Change{effect, c.path(at), fmt.Sprintf(format, args...)})
}

// addRemoved adds a change about an entry that only the old configuration has.
func (c *comparison) addRemoved(effect Effect, at Place, format string, args ...any) {
	path := c.path
	if c.oldPath != nil {
		path = c.oldPath
	}
	c.changes = append(c.changes, Change{effect, path(at), fmt.Sprintf(format, args...)})
}

// addLimit adds a change of a limit. If zeroIsNone is set, 0 means that there is no limit.
func (c *comparison) addLimit(at Place, what string, before, after float64, zeroIsNone bool) {
	if before == after {
		return
	}
	describe := func(n float64) string {
		if n == 0 && zeroIsNone {
			return "no limit"
		}
		return fmt.Sprintf("%.15g", n) // whole numbers without an exponent
	}
	effect := LimitsRaised
	if after < before && (after != 0 || !zeroIsNone) || before == 0 && zeroIsNone {
		effect = LimitsLowered
	}
	c.add(effect, at, "%s: from %s to %s", what, describe(before), describe(after))
}

// addIfChanged adds a change of a value that is not a limit.
func addIfChanged[T comparable](c *comparison, effect Effect, at Place, what string, before, after T) {
	if before != after {
		c.add(effect, at, "%s: from %v to %v", what, before, after)
	}
}

func routeName(r *cicadaview.Route) string { return fmt.Sprintf("%s%s (%s)", r.Host, r.Prefix, r.Name) }

// entries returns the positions of those entries of a list that take effect, by their keys. Of
// several with one key, the last takes effect if lastCounts is set, and otherwise the first.
func entries[K comparable, T any](list []T, key func(*T) (K, bool), lastCounts bool) map[K]int {
	found := make(map[K]int, len(list))
	for i := range list {
		k, ok := key(&list[i])
		if _, exists := found[k]; ok && (!exists || lastCounts) {
			found[k] = i
		}
	}
	return found
}

// A listComparison holds what is called for the entries of two lists that take effect.
type listComparison[T any] struct {
	changed func(i int, before, after *T) // in both lists, at i in the new one
	added   func(i int, after *T)         // only in the new list
	removed func(i int, before *T)        // only in the old list
}

// compare compares two lists whose entries are identified by key. See entries for lastCounts.
func compare[K comparable, T any](before, after []T, key func(*T) (K, bool), lastCounts bool, l listComparison[T]) {
	old, current := entries(before, key, lastCounts), entries(after, key, lastCounts)
	for i := range after {
		k, _ := key(&after[i])
		if at, ok := current[k]; !ok || at != i {
			continue
		}
		if j, exists := old[k]; exists {
			l.changed(i, &before[j], &after[i])
		} else {
			l.added(i, &after[i])
		}
	}
	for i := range before {
		k, _ := key(&before[i])
		if at, ok := old[k]; !ok || at != i {
			continue
		}
		if _, remains := current[k]; !remains {
			l.removed(i, &before[i])
		}
	}
}

func (c *comparison) compareRoutes() {
	compare(c.before.Routes(), c.after.Routes(), matchOf, false, listComparison[cicadaview.Route]{
		changed: func(i int, before, after *cicadaview.Route) {
			c.compareRoute(Place{}.element(Routes, i), before, after)
		},
		added: func(i int, after *cicadaview.Route) {
			c.add(RoutesAdded, Place{}.element(Routes, i), "%s to %s", routeName(after), targetNames(after))
		},
		removed: func(i int, before *cicadaview.Route) {
			c.addRemoved(RoutesRemoved, Place{}.element(Routes, i), "%s to %s", routeName(before), targetNames(before))
		},
	})
}

func (c *comparison) compareRoute(at Place, before, after *cicadaview.Route) {
	name := routeName(after)
	addIfChanged(c, RoutesMoved, at.field(Targets), name, targetNames(before), targetNames(after))
	addIfChanged(c, RoutesChanged, at.field(Kind), name+" kind", before.Kind, after.Kind)
	addIfChanged(c, RoutesChanged, at.field(Resumable), name+" resumable", before.Resumable, after.Resumable)
	if before.Public != after.Public {
		c.add(AccessChanged, at.field(Public), "%s %s", name, access(after.Public))
	}
	addIfChanged(c, TimeoutsChanged, at.field(Timeout), name+" timeout", before.Timeout, after.Timeout)
	addIfChanged(c, TimeoutsChanged, at.field(Goal), name+" goal", before.Goal, after.Goal)
	addIfChanged(c, TimeoutsChanged, at.field(PauseGoal), name+" goal of pauses", before.PauseGoal, after.PauseGoal)
	addIfChanged(c, TimeoutsChanged, at.field(Due), name+" due time", before.Due, after.Due)
	addIfChanged(c, TimeoutsChanged, at.field(GiveUpAfter), name+" time until items are given up", before.GiveUpAfter, after.GiveUpAfter)
	c.addLimit(at.field(WaitingTokens), name+" waiting tokens", float64(before.MaxWaitingTokens), float64(after.MaxWaitingTokens), true)
	c.addLimit(at.field(Attempts), name+" attempts", float64(before.MaxAttempts), float64(after.MaxAttempts), false)
	addIfChanged(c, PrioritiesChanged, at.field(Priority), name+" priority", before.Priority, after.Priority)
}

func access(public bool) string {
	if public {
		return "needs no key"
	}
	return "needs a key"
}

// targetNames returns the services of a route and their shares of its requests.
func targetNames(r *cicadaview.Route) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	names := make([]string, 0, len(r.Targets))
	for _, t := range r.Targets {
		name := t.Service
		if len(r.Targets) > 1 && total > 0 {
			name += fmt.Sprintf(" %.4g%%", 100*t.Weight/total)
		}
		names = append(names, name)
	}
	return strings.Join(names, ", ")
}

func (c *comparison) compareLimits() {
	before, after, at := c.before.Limits(), c.after.Limits(), Place{}.field(Limits)
	c.addLimit(at.field(HeaderBytes), "bytes of a header", float64(before.MaxHeaderBytes), float64(after.MaxHeaderBytes), false)
	c.addLimit(at.field(BodyBytes), "bytes of a body", float64(before.MaxBodyBytes), float64(after.MaxBodyBytes), false)
	addIfChanged(c, TimeoutsChanged, at.field(HeaderTimeout), "time for a header", before.HeaderTimeout, after.HeaderTimeout)
	addIfChanged(c, TimeoutsChanged, at.field(IdleTimeout), "time of an idle connection", before.IdleTimeout, after.IdleTimeout)
}

func (c *comparison) compareServices() {
	nameOf := func(s *cicadaview.Service) (string, bool) { return s.Name, true }
	compare(c.before.Services(), c.after.Services(), nameOf, true, listComparison[cicadaview.Service]{
		changed: func(i int, before, after *cicadaview.Service) {
			at := Place{}.element(Services, i)
			addIfChanged(c, ServicesChanged, at.field(Slots), after.Name+" slots", before.Slots, after.Slots)
			c.addLimit(at.field(Connections), after.Name+" connections", float64(before.MaxConnections), float64(after.MaxConnections), true)
		},
		added: func(i int, after *cicadaview.Service) {
			c.add(ServicesChanged, Place{}.element(Services, i), "%s added", after.Name)
		},
		removed: func(i int, before *cicadaview.Service) {
			c.addRemoved(ServicesChanged, Place{}.element(Services, i), "%s removed", before.Name)
		},
	})
}
