package cicadaview

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a key that two customers hold and that lets requests run in the name of one of them.
func TestKeyOfTwoCustomersIdentifiesNeither(t *testing.T) {
	shared, own := DigestKey("shared"), DigestKey("own")
	c := NewConfig(1, nil, nil, Limits{})
	assert.Assert(t, !c.HasCustomers())
	c.SetCustomers([]Customer{
		{Name: "a", Keys: []KeyDigest{shared}}, {Name: "b", Keys: []KeyDigest{shared, own}}, {Name: "c", Keys: []KeyDigest{shared}},
	})
	assert.Assert(t, c.HasCustomers())
	_, ok := c.CustomerByKey(shared)
	assert.Assert(t, !ok)
	b, ok := c.CustomerByKey(own)
	assert.Assert(t, ok)
	assert.Equal(t, b.Name, "b")
}

// Guards against a customer's priority of 0 that counts as unset, and against requests without a customer
// that lose the priority of their route.
// Guards against a customer's name that ends the header of a request to an endpoint.
func TestCustomerWithAnInvalidNameHasNoRequests(t *testing.T) {
	for _, name := range []string{"", "a\r\nX-Tenant: b", " a"} {
		c := NewConfig(1, nil, nil, Limits{})
		c.SetCustomers([]Customer{{Name: name, Keys: []KeyDigest{DigestKey("k")}}})
		_, ok := c.CustomerByKey(DigestKey("k"))
		assert.Assert(t, !ok, "%q", name)
	}
}

func TestPriorityOfACustomerReplacesThatOfTheRoute(t *testing.T) {
	r := &Route{Priority: 2}
	assert.Equal(t, (*Customer)(nil).PriorityOn(r), 2)
	assert.Equal(t, (&Customer{Priority: 0}).PriorityOn(r), 2)
	assert.Equal(t, (&Customer{Priority: 0, HasPriority: true}).PriorityOn(r), 0)
}
