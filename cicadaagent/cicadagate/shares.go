package cicadagate

import "time"

// customerIdleTimeout is how long after its last request a customer still counts in
// the calculation of the fair share.
const customerIdleTimeout = 10 * time.Second

// usageTable counts the running online requests of each customer. The zero value is
// ready to use.
type usageTable struct {
	byCustomer map[string]*customerUsage
}

type customerUsage struct {
	running    int
	lastChange time.Time
}

// add adds n, which is negative when requests end, to a customer's running requests.
func (u *usageTable) add(customer string, n int, now time.Time) {
	entry := u.get(customer, now)
	entry.running += n
	entry.lastChange = now
}

func (u *usageTable) get(customer string, now time.Time) *customerUsage {
	if u.byCustomer == nil {
		u.byCustomer = make(map[string]*customerUsage)
	}
	entry, ok := u.byCustomer[customer]
	if !ok {
		u.removeIdle(now)
		entry = &customerUsage{}
		u.byCustomer[customer] = entry
	}
	return entry
}

func (u *usageTable) removeIdle(now time.Time) {
	for customer, entry := range u.byCustomer {
		if entry.running == 0 && now.Sub(entry.lastChange) > customerIdleTimeout {
			delete(u.byCustomer, customer)
		}
	}
}

// running returns the number of running requests of a customer.
func (u *usageTable) running(customer string) int {
	if entry, ok := u.byCustomer[customer]; ok {
		return entry.running
	}
	return 0
}

// hasFairShare reports whether a customer already uses at least its equal share of
// the slots. It reports false if no other customer is in the table.
func (u *usageTable) hasFairShare(customer string, slots int) bool {
	return len(u.byCustomer) > 1 && u.running(customer)*len(u.byCustomer) >= slots
}
