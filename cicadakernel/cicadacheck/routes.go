package cicadacheck

import (
	"net"
	"strings"
	"time"

	"cicadalink.example/cicadakernel/cicadaview"
)

func (c *checker) checkRoutes() {
	routes := c.config.Routes()
	names := make([]string, len(routes))
	for i := range routes {
		names[i] = routes[i].Name
	}
	c.checkNames(Routes, names, "metrics and logs cannot tell them apart")
	if len(routes) == 0 {
		c.add(Warning, Place{}.field(Routes), "no-routes", "no request matches a route")
	}
	matched := make(map[match]int, len(routes))
	for i := range routes {
		c.checkMatch(i, &routes[i], matched)
		c.checkTargets(i, &routes[i])
		c.checkTimes(i, &routes[i])
		c.checkKind(i, &routes[i])
	}
}

// A match identifies the requests that a route matches.
type match struct{ host, prefix string }

// matchOf returns the match of a route. ok is false if the route is ignored.
func matchOf(r *cicadaview.Route) (m match, ok bool) {
	m = match{r.Host, r.Prefix}
	if m.prefix == "" {
		m.prefix = "/" // every path begins with it
	}
	return m, len(r.Targets) > 0
}

// checkMatch reports a route that no request can match. matched holds the positions of earlier routes.
func (c *checker) checkMatch(i int, r *cicadaview.Route, matched map[match]int) {
	at := Place{}.element(Routes, i)
	_, _, err := net.SplitHostPort(r.Host)
	switch {
	case r.Host == "":
		c.add(Error, at.field(Host), "missing-host", "has no host, and every request names one")
	case err == nil || strings.ContainsAny(r.Host, "/ \t"):
		c.add(Error, at.field(Host), "host-never-matches", "%q is not a host name without a port, with which requests are compared", r.Host)
	}
	match, ok := matchOf(r)
	if !strings.HasPrefix(match.prefix, "/") {
		c.add(Error, at.field(Prefix), "prefix-never-matches", "%q does not begin with /, as every path does", r.Prefix)
	}
	if !ok {
		return // reported by checkTargets
	}
	if earlier, exists := matched[match]; exists {
		c.add(Error, at.field(Prefix), "shadowed-route", "never matches: %s has the same host and prefix", c.path(Place{}.element(Routes, earlier)))
		return
	}
	matched[match] = i
}

// checkTargets reports services of a route that are not configured, and weights that select none.
func (c *checker) checkTargets(i int, r *cicadaview.Route) {
	at := Place{}.element(Routes, i)
	if len(r.Targets) == 0 {
		c.add(Error, at.field(Targets), "no-target", "names no service and is ignored")
		return
	}
	total := 0.0
	seen := make(map[string]bool)
	for j, t := range r.Targets {
		total += t.Weight
		field := at.element(Targets, j).field(TargetService)
		if !c.services[t.Service] {
			c.add(Error, field, "unknown-service", "service %q is not configured", t.Service)
		}
		if seen[t.Service] {
			c.add(Warning, field, "repeated-target", "service %q is named twice", t.Service)
		}
		seen[t.Service] = true
	}
	if total <= 0 {
		c.add(Error, at.field(Targets), "no-weight", "the weights of all services are 0")
	}
}

// checkTimes reports times of a route that contradict each other.
func (c *checker) checkTimes(i int, r *cicadaview.Route) {
	at := Place{}.element(Routes, i)
	if r.Timeout > 0 && r.Timeout < r.Goal {
		c.add(Warning, at.field(Timeout), "timeout-below-goal", "%s is below the goal of %s", r.Timeout, r.Goal)
	}
	if r.Kind == cicadaview.Batch && r.GiveUpAfter > 0 && r.GiveUpAfter < r.Due {
		c.add(Warning, at.field(GiveUpAfter), "give-up-before-due", "items may be given up after %s, before they are due after %s", r.GiveUpAfter, r.Due)
	}
}

// checkKind reports fields that have no effect on routes of the kind, and limits of batch routes.
func (c *checker) checkKind(i int, r *cicadaview.Route) {
	at := Place{}.element(Routes, i)
	unused := func(field Field, set bool) {
		if set {
			c.add(Warning, at.field(field), "unused-field", "has no effect on a route of kind %s", r.Kind)
		}
	}
	if r.Kind != cicadaview.Stream {
		unused(Resumable, r.Resumable)
	}
	if r.Kind != cicadaview.Batch {
		unused(Due, r.Due != time.Duration(0))
		unused(GiveUpAfter, r.GiveUpAfter != time.Duration(0))
		unused(WaitingTokens, r.MaxWaitingTokens != 0)
		return
	}
	if r.MaxWaitingTokens > 0 && r.MaxWaitingTokens < int64(c.largestJob) {
		c.add(Warning, at.field(WaitingTokens), "cap-below-job", "%d tokens are less than one for each of the %d items that a job may have, so that such a job is never accepted",
			r.MaxWaitingTokens, c.largestJob)
	}
}
