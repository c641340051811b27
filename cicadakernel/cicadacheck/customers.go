package cicadacheck

import (
	"cicadalink.example/cicadakernel/cicadaview"
)

func (c *checker) checkCustomers() {
	customers := c.config.Customers()
	if c.config.HasCustomers() && len(customers) == 0 {
		c.add(Warning, Place{}.field(Customers), "no-customers", "the list is empty, so that every request on a route that is not public is refused")
	}
	names := make([]string, len(customers))
	for i := range customers {
		names[i] = customers[i].Name
	}
	c.checkNames(Customers, names, "the first one takes effect")
	holders := make(map[cicadaview.KeyDigest]int)
	for i := range customers {
		c.checkName(i, customers[i].Name)
		c.checkKeys(i, &customers[i], holders)
		c.checkRate(i, customers[i].Rate)
	}
}

// checkName reports a name that cannot be sent to endpoints in a header.
func (c *checker) checkName(i int, name string) {
	if !cicadaview.ValidHeaderValue(name) {
		c.add(Error, Place{}.element(Customers, i).field(Name), "invalid-name", "%q cannot be sent in a header: it has control characters or space around it", name)
	}
}

// checkKeys reports a customer without keys, and keys that identify no customer. holders maps each key
// seen so far to the position of its first customer.
func (c *checker) checkKeys(i int, customer *cicadaview.Customer, holders map[cicadaview.KeyDigest]int) {
	at := Place{}.element(Customers, i)
	if len(customer.Keys) == 0 {
		c.add(Warning, at.field(Keys), "customer-without-key", "customer %q holds no key, so that no request is its own", customer.Name)
	}
	for j, digest := range customer.Keys {
		field := at.element(Keys, j)
		holder, held := holders[digest]
		switch {
		case digest == cicadaview.DigestKey(""):
			c.add(Error, field, "empty-key", "a key must not be empty")
		case held && holder == i:
			c.add(Warning, field, "repeated-key", "key %s is listed twice", KeyName(digest))
		case held:
			c.add(Error, field, "key-of-two-customers", "key %s is also held by %s, and identifies neither", KeyName(digest), c.path(Place{}.element(Customers, holder)))
		default:
			holders[digest] = i
		}
	}
}

// checkRate reports a limit that admits no request, or of which one half is missing.
func (c *checker) checkRate(i int, rate cicadaview.RateLimit) {
	at := Place{}.element(Customers, i)
	switch {
	case rate.PerSecond > 0 && rate.Burst == 0:
		c.add(Warning, at.field(Burst), "no-burst", "is missing or 0, although the customer has a rate of %g/s and one request needs a burst of 1", rate.PerSecond)
	case rate.Burst > 0 && rate.Burst < 1:
		c.add(Error, at.field(Burst), "burst-below-one", "a burst of %g admits no request", rate.Burst)
	case rate.Burst > 0 && rate.PerSecond == 0:
		c.add(Warning, at.field(Rate), "burst-without-rate", "is missing or 0, although the customer has a burst of %g", rate.Burst)
	}
}
