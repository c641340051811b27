package cicadacheck

import (
	"fmt"
	"slices"
	"strings"

	"cicadalink.example/cicadakernel/cicadaview"
)

func (c *comparison) compareCustomers() {
	if c.before.HasCustomers() != c.after.HasCustomers() {
		c.add(AccessChanged, Place{}.field(Customers), "every route that is not public %s", access(!c.after.HasCustomers()))
	}
	nameOf := func(customer *cicadaview.Customer) (string, bool) { return customer.Name, true }
	compare(c.before.Customers(), c.after.Customers(), nameOf, false, listComparison[cicadaview.Customer]{
		changed: func(i int, before, after *cicadaview.Customer) {
			c.compareCustomer(Place{}.element(Customers, i), before, after)
		},
		added: func(i int, after *cicadaview.Customer) {
			c.add(CustomersAdded, Place{}.element(Customers, i), "%s with %s", after.Name, keyNames(after))
		},
		removed: func(i int, before *cicadaview.Customer) {
			c.addRemoved(CustomersRemoved, Place{}.element(Customers, i), "%s with %s", before.Name, keyNames(before))
		},
	})
}

func (c *comparison) compareCustomer(at Place, before, after *cicadaview.Customer) {
	c.addLimit(at.field(Rate), after.Name+" requests per second", before.Rate.PerSecond, after.Rate.PerSecond, true)
	c.addLimit(at.field(Burst), after.Name+" burst", before.Rate.Burst, after.Rate.Burst, true)
	addIfChanged(c, PrioritiesChanged, at.field(Priority), after.Name+" priority", customerPriority(before), customerPriority(after))
	for i, digest := range after.Keys {
		if !slices.Contains(before.Keys, digest) && slices.Index(after.Keys, digest) == i {
			c.add(KeysAdded, at.element(Keys, i), "key %s of %s", KeyName(digest), after.Name)
		}
	}
	for i, digest := range before.Keys {
		if !slices.Contains(after.Keys, digest) && slices.Index(before.Keys, digest) == i {
			c.add(KeysWithdrawn, at.field(Keys), "key %s of %s", KeyName(digest), after.Name)
		}
	}
}

func customerPriority(c *cicadaview.Customer) string {
	if !c.HasPriority {
		return "that of the route"
	}
	return fmt.Sprint(c.Priority)
}

// keyNames returns the number and the names of a customer's keys, see KeyName.
func keyNames(c *cicadaview.Customer) string {
	switch len(c.Keys) {
	case 0:
		return "no key"
	case 1:
		return "key " + KeyName(c.Keys[0])
	}
	names := make([]string, 0, len(c.Keys))
	for _, digest := range c.Keys {
		names = append(names, KeyName(digest))
	}
	return fmt.Sprintf("%d keys: %s", len(names), strings.Join(names, ", "))
}
