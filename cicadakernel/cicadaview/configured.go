package cicadaview

import "slices"

// configured holds the entries of a configuration in their order.
type configured struct {
	routes    []Route
	services  []Service
	customers []Customer
}

// Routes returns all routes in the order of the configuration, including those that never match.
func (c *Config) Routes() []Route { return slices.Clone(c.configured.routes) }

// Services returns all services in the order of the configuration, including several with one
// name.
func (c *Config) Services() []Service { return slices.Clone(c.configured.services) }

// Customers returns all customers in the order of the configuration, including several with one
// name.
func (c *Config) Customers() []Customer { return slices.Clone(c.configured.customers) }
