package cicadaview

import (
	"crypto/sha256"
	"strings"
)

// A KeyDigest is the SHA-256 digest of an API key. Keys themselves are not kept, so that no log
// line, stored object or message can contain one.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// A Customer is one customer of a deployment, whose requests carry one of its keys.
type Customer struct {
	// Name identifies the customer, also to endpoints.
	Name string
	// Keys holds the digests of the customer's keys.
	Keys []KeyDigest
	// Priority replaces that of the route if HasPriority is set; 0 is served first.
	Priority    int
	HasPriority bool
	// Rate limits the customer's online requests over all entries together.
	Rate RateLimit
}

// A RateLimit limits the requests of a customer. The zero value is no limit.
type RateLimit struct {
	// PerSecond is the rate in requests per second.
	PerSecond float64
	// Burst is the number of requests that may exceed the rate at once.
	Burst float64
}

// Limited reports whether there is a limit.
func (l RateLimit) Limited() bool { return l.PerSecond > 0 }

// PriorityOn returns the priority of the customer's requests on a route. The customer may be nil.
func (c *Customer) PriorityOn(r *Route) int {
	if c != nil && c.HasPriority {
		return c.Priority
	}
	return r.Priority
}

// SetCustomers sets the customers of a new configuration. It must be called before the configuration
// is shared. A key that two customers hold identifies neither of them, since a request must not run
// for the wrong one. Of two customers with the same name, the first takes effect. A customer whose name
// no header can hold has no requests, as these could not name it to endpoints.
func (c *Config) SetCustomers(customers []Customer) {
	c.configured.customers = customers
	c.customers = make(map[string]*Customer, len(customers))
	c.customersByKey = make(map[KeyDigest]*Customer, len(customers))
	for i := range customers {
		customer := &customers[i]
		if c.customers[customer.Name] != nil || customer.Name == "" || !ValidHeaderValue(customer.Name) {
			continue
		}
		c.customers[customer.Name] = customer
		for _, digest := range customer.Keys {
			if other, held := c.customersByKey[digest]; held && other != customer {
				c.customersByKey[digest] = nil
				continue
			}
			c.customersByKey[digest] = customer
		}
	}
}

// HasCustomers reports whether requests on routes that are not public need a key.
func (c *Config) HasCustomers() bool { return c.customers != nil }

// CustomerCount returns the number of customers with different names.
func (c *Config) CustomerCount() int { return len(c.customers) }

// Customer returns the customer with the given name.
func (c *Config) Customer(name string) (*Customer, bool) {
	customer, ok := c.customers[name]
	return customer, ok
}

// CustomerByKey returns the customer that holds a key.
func (c *Config) CustomerByKey(digest KeyDigest) (*Customer, bool) {
	customer := c.customersByKey[digest]
	return customer, customer != nil
}

// HasPublicBatch reports whether a batch route is public, so that jobs may belong to no customer.
func (c *Config) HasPublicBatch() bool {
	for _, hostRoutes := range c.hosts {
		for _, r := range hostRoutes {
			if r.Kind == Batch && r.Public {
				return true
			}
		}
	}
	return false
}

// ValidHeaderValue reports whether a string can be sent as the value of a header and arrives unchanged:
// it has no control characters, and no space around it.
func ValidHeaderValue(s string) bool {
	isControl := func(r rune) bool { return r < ' ' || r == 0x7f }
	return strings.TrimSpace(s) == s && !strings.ContainsFunc(s, isControl)
}
