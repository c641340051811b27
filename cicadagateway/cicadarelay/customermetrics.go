package cicadarelay

import (
	"sync"

	"github.com/uber-go/tally/v4"
)

const (
	// maxCustomerSeries limits the customers with counters of their own, so that the number of series
	// does not grow with that of customers.
	maxCustomerSeries = 64
	// otherCustomers is the tag of all customers beyond maxCustomerSeries.
	otherCustomers = "other"
)

// customerCounters count the requests of customers.
type customerCounters struct {
	scope tally.Scope

	mu     sync.Mutex
	byName map[string]customerCounter
}

// A customerCounter counts the requests of one customer, or of all others.
type customerCounter struct {
	admitted tally.Counter // within the rate limit, or without one
	refused  tally.Counter // above the rate limit
	unknown  tally.Counter // refused because the rate limit could not be checked
}

func newCustomerCounters(scope tally.Scope) *customerCounters {
	return &customerCounters{scope: scope, byName: make(map[string]customerCounter)}
}

// of returns the counter of a customer, or that of all others beyond maxCustomerSeries.
func (c *customerCounters) of(customer string) customerCounter {
	c.mu.Lock()
	defer c.mu.Unlock()
	if counter, ok := c.byName[customer]; ok {
		return counter
	}
	if len(c.byName) >= maxCustomerSeries {
		customer = otherCustomers
		if counter, ok := c.byName[customer]; ok {
			return counter
		}
	}
	requests := func(outcome string) tally.Counter {
		return c.scope.Tagged(map[string]string{"customer": customer, "outcome": outcome}).Counter("customer_requests")
	}
	counter := customerCounter{admitted: requests("admitted"), refused: requests(reasonRateLimit), unknown: requests(reasonUnknownLimit)}
	c.byName[customer] = counter
	return counter
}
