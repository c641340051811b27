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
	VersionNotNewer   Effect = "version-not-newer"
	AccessChanged     Effect = "access-changed"
	RoutesRemoved     Effect = "routes-removed"
	RoutesAdded       Effect = "routes-added"
	RoutesMoved       Effect = "routes-moved"
	RoutesChanged     Effect = "routes-changed"
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

// A comparison collects the changes from one configuration to another.
type comparison struct {
	options
	before, after *cicadaview.Config
	changes       []Change
}

// WithOldPaths sets how places of the old configuration are written in changes. The default is
// that of the new one.
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

// addRemoved adds a change of what stands in the old configuration only.
func (c *comparison) addRemoved(effect Effect, at Place, format string, args ...any) {
	path := c.path
	if c.oldPath != nil {
		path = c.oldPath
	}
	c.changes = append(c.changes, Change{effect, path(at), fmt.Sprintf(format, args...)})
}

// addLimit adds a change of a limit, of which 0 is none if zeroIsNone is set.
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

// entries returns the positions of those entries that take effect, by their names.
func entries[K comparable, T any](list []T, name func(*T) (K, bool), lastCounts bool) map[K]int {
	found := make(map[K]int, len(list))
	for i := range list {
		key, ok := name(&list[i])
		if _, exists := found[key]; ok && (!exists || lastCounts) {
			found[key] = i
		}
	}
	return found
}

func (c *comparison) compareRoutes() {
	before, after := c.before.Routes(), c.after.Routes()
	old, current := entries(before, matchOf, false), entries(after, matchOf, false)
	for i := range after {
		id, _ := matchOf(&after[i])
		if at, ok := current[id]; !ok || at != i {
			continue
		}
		if j, exists := old[id]; exists {
			c.compareRoute(Place{}.element(Routes, i), &before[j], &after[i])
		} else {
			c.add(RoutesAdded, Place{}.element(Routes, i), "%s to %s", routeName(&after[i]), targetNames(&after[i]))
		}
	}
	for i := range before {
		id, _ := matchOf(&before[i])
		if at, ok := old[id]; !ok || at != i {
			continue
		}
		if _, remains := current[id]; !remains {
			c.addRemoved(RoutesRemoved, Place{}.element(Routes, i), "%s to %s", routeName(&before[i]), targetNames(&before[i]))
		}
	}
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
	before, after := c.before.Services(), c.after.Services()
	old, current := entries(before, nameOf, true), entries(after, nameOf, true)
	for i := range after {
		s, at := &after[i], Place{}.element(Services, i)
		if current[s.Name] != i {
			continue
		}
		j, exists := old[s.Name]
		if !exists {
			c.add(ServicesChanged, at, "%s added", s.Name)
			continue
		}
		addIfChanged(c, ServicesChanged, at.field(Slots), s.Name+" slots", before[j].Slots, s.Slots)
		c.addLimit(at.field(Connections), s.Name+" connections", float64(before[j].MaxConnections), float64(s.MaxConnections), true)
	}
	for i := range before {
		if _, remains := current[before[i].Name]; !remains && old[before[i].Name] == i {
			c.addRemoved(ServicesChanged, Place{}.element(Services, i), "%s removed", before[i].Name)
		}
	}
}
