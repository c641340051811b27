// Package cicadaview holds what a process knows of a deployment: the routes that
// operators configured and the endpoints that registered themselves. Both are
// immutable snapshots; a change makes a new one.
//
// # Usage
//
//	config := cicadaview.NewConfig(7, routes, services, limits)
//	route, ok := config.Route("desk.example", "/quotes/17")
//	service := route.Pick(rand.Float64())
//
// The fields of Route, Service and Endpoint are exported because a platform
// adapter fills them from what it decodes.
package cicadaview

import (
	"slices"
	"strings"
	"time"
)

// A Kind says what a route carries and what may be repeated.
type Kind int

// Kinds of routes.
const (
	// Unsafe requests run once at most.
	Unsafe Kind = iota
	// Safe requests are idempotent.
	Safe
	// Stream requests are answered with events, and run once at most unless
	// the route is resumable.
	Stream
	// Batch routes take jobs of many items.
	Batch
)

var kindNames = [...]string{"unsafe", "safe", "stream", "batch"}

// String returns the kind's name.
func (k Kind) String() string { return kindNames[k] }

// A Target is a service that takes a share of a route's requests.
type Target struct {
	Service string
	Weight  float64
}

// A Route maps a host and a path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout bounds how long a caller waits for an answer to begin.
	Timeout time.Duration
	// Goal is the time within which an answer has its full value.
	Goal time.Duration
	// PauseGoal is the longest pause between events of a stream in time.
	PauseGoal time.Duration
	// Due is how long after its submission a job's results are due.
	Due time.Duration
	// GiveUpAfter is how long after its submission an item may be given up.
	GiveUpAfter time.Duration
	// Attempts is how many endpoints one request may run on.
	Attempts int
	// Rank orders routes when capacity is short; 0 is served first.
	Rank int
	// Resumable streams may go on at another endpoint after an event.
	Resumable bool
	Targets   []Target
}

// Idempotent reports whether a request of the route may run more than once.
func (r *Route) Idempotent() bool {
	return r.Kind == Safe || r.Kind == Batch || (r.Kind == Stream && r.Resumable)
}

// Pick returns the service for a point between 0 and 1, by the targets' weights.
func (r *Route) Pick(point float64) string {
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
	// Slots is how many requests an endpoint of the service runs at once, or 0
	// when only the endpoints say so.
	Slots int
	// MaxConnections bounds the connections of all callers to one endpoint.
	MaxConnections int
	// Engine reports whether the endpoints are model engines.
	Engine bool
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeader   int64
	MaxBody     int64
	HeaderTime  time.Duration
	IdleTimeout time.Duration
}

// A Config is one version of the configuration.
type Config struct {
	version  int64
	hosts    map[string][]*Route
	services map[string]Service
	limits   Limits
}

// NewConfig returns a configuration. Routes without a target are left out.
func NewConfig(version int64, routes []Route, services []Service, limits Limits) *Config {
	c := &Config{version: version, hosts: make(map[string][]*Route), services: make(map[string]Service, len(services)), limits: limits}
	for i := range routes {
		if len(routes[i].Targets) > 0 {
			c.hosts[routes[i].Host] = append(c.hosts[routes[i].Host], &routes[i])
		}
	}
	for _, host := range c.hosts {
		slices.SortStableFunc(host, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, s := range services {
		c.services[s.Name] = s
	}
	return c
}

// Version returns the configuration's version; a greater one is newer.
func (c *Config) Version() int64 { return c.version }

// Limits returns the bounds on what callers may send.
func (c *Config) Limits() Limits { return c.limits }

// Service returns a service by name; it is the zero value if none is known.
func (c *Config) Service(name string) Service { return c.services[name] }

// Route returns the route of a host with the longest prefix of the path.
func (c *Config) Route(host, path string) (*Route, bool) {
	for _, r := range c.hosts[host] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// Routes returns the number of routes.
func (c *Config) Routes() int {
	n := 0
	for _, host := range c.hosts {
		n += len(host)
	}
	return n
}

// An Endpoint is one registered process of a service.
type Endpoint struct {
	ID         string
	Service    string
	Address    string
	DataCentre string
	Slots      int
	// Draining endpoints take no new requests.
	Draining bool
	// Started is when this incarnation started, in Unix milliseconds, or 0.
	Started int64
}
