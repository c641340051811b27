// Package cicadaview holds a process's view of a deployment: the routes configured
// by operators and the registered endpoints. A configuration is an immutable
// snapshot; each change creates a new one.
//
// # Usage
//
//	config := cicadaview.NewConfig(7, routes, services, limits)
//	route, ok := config.Route("desk.example", "/quotes/17")
//	service := route.SelectService(rand.Float64())
//
// The fields of Route, Service and Endpoint are exported because a platform adapter
// sets them from decoded objects.
package cicadaview

import (
	"slices"
	"strings"
	"time"
)

// A Kind specifies what a route serves and which of its requests may be repeated.
type Kind int

// Kinds of routes.
const (
	// Unsafe requests run at most once.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Stream requests have a stream of events as their response. They run at most
	// once unless the route is resumable.
	Stream
	// Batch routes accept jobs of many items.
	Batch
)

var kindNames = [...]string{"unsafe", "safe", "stream", "batch"}

// String returns the kind's name.
func (k Kind) String() string { return kindNames[k] }

// A Target is a service that receives a fraction of a route's requests, in
// proportion to its weight.
type Target struct {
	Service string
	Weight  float64
}

// A Route maps the requests for a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds the time until a response begins.
	Timeout time.Duration
	// Goal is the target response time; a later response is of less value.
	Goal time.Duration
	// PauseGoal is the target for the longest pause between events of a stream.
	PauseGoal time.Duration
	// Due is the time from the submission of a job to its due time.
	Due time.Duration
	// GiveUpAfter is the time from the submission of a job after which its items
	// may be abandoned.
	GiveUpAfter time.Duration
	// MaxWaitingTokens limits the tokens of a batch route's accepted items that have not
	// finished, of each customer or, without customers, of all callers together. 0 means no limit.
	MaxWaitingTokens int64
	// MaxAttempts is the maximum number of endpoints that one request runs on.
	MaxAttempts int
	// Priority orders routes when capacity is short; 0 is served first.
	Priority int
	// Resumable streams can be continued by another endpoint after an event.
	Resumable bool
	// Public routes serve requests without a key.
	Public  bool
	Targets []Target
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Batch || (r.Kind == Stream && r.Resumable)
}

// SelectService returns the service for a point between 0 and 1. If the point is
// random, each service is selected with a probability in proportion to its weight.
// The route must have a target.
func (r *Route) SelectService(point float64) string {
	total := 0.0
	for _, t := range r.Targets {
		total += t.Weight
	}
	point *= total
	for _, t := range r.Targets {
		if point < t.Weight {
			return t.Service
		}
		point -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// A Service is a group of interchangeable endpoints.
type Service struct {
	Name string
	// Slots is the number of concurrent requests of each endpoint, or 0 if it is
	// known only from the endpoints' registrations.
	Slots int
	// MaxConnections is the maximum number of connections to one endpoint, from
	// all callers together.
	MaxConnections int
	// Engine reports whether the endpoints are model engines.
	Engine bool
}

// Limits bound requests and connections of callers.
type Limits struct {
	MaxHeaderBytes int64
	MaxBodyBytes   int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
}

// A Config is one version of the configuration.
type Config struct {
	version  int64
	hosts    map[string][]*Route
	services map[string]Service
	limits   Limits
	// customers is nil if the deployment has no customers.
	customers      map[string]*Customer
	customersByKey map[KeyDigest]*Customer
	// configured holds all entries as configured, including those that never take effect.
	configured configured
}

// NewConfig returns a configuration. Routes without a target are ignored.
func NewConfig(version int64, routes []Route, services []Service, limits Limits) *Config {
	c := &Config{version: version, hosts: make(map[string][]*Route), services: make(map[string]Service, len(services)), limits: limits}
	c.configured.routes, c.configured.services = routes, services
	for i := range routes {
		if len(routes[i].Targets) > 0 {
			c.hosts[routes[i].Host] = append(c.hosts[routes[i].Host], &routes[i])
		}
	}
	for _, hostRoutes := range c.hosts {
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	return c
}

// Version returns the configuration's version; a higher version is newer.
func (c *Config) Version() int64 { return c.version }

// Limits returns the limits for callers.
func (c *Config) Limits() Limits { return c.limits }

// Service returns the service with the given name, or the zero value if it is not
// configured.
func (c *Config) Service(name string) Service { return c.services[name] }

// Route returns the host's route with the longest prefix that matches the path.
func (c *Config) Route(host, path string) (*Route, bool) {
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// RouteCount returns the number of routes.
func (c *Config) RouteCount() int {
	n := 0
	for _, hostRoutes := range c.hosts {
		n += len(hostRoutes)
	}
	return n
}

// UnknownVersion is the software version of an output or an endpoint whose version cannot be told. No
// endpoint registers it.
const UnknownVersion = "\x00"

// An Endpoint is one registered process of a service.
type Endpoint struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	// SoftwareVersion is the version of the endpoint's software, or "" if it has registered none. An
	// output that one version began can be continued only by the same version.
	SoftwareVersion string
	// Draining endpoints accept no new requests.
	Draining bool
	// StartedMs is the start time of this incarnation of the endpoint, in Unix
	// milliseconds, or 0 if unknown.
	StartedMs int64
}
