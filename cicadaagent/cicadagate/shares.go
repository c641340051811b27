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
	usage := u.get(customer, now)
	usage.running += n
	usage.lastChange = now
}

func (u *usageTable) get(customer string, now time.Time) *customerUsage {
	if u.byCustomer == nil {
		u.byCustomer = make(map[string]*customerUsage)
	}
	usage, ok := u.byCustomer[customer]
	if !ok {
		u.removeIdle(now)
		usage = &customerUsage{}
		u.byCustomer[customer] = usage
	}
	return usage
}

func (u *usageTable) removeIdle(now time.Time) {
	for customer, usage := range u.byCustomer {
		if usage.running == 0 && now.Sub(usage.lastChange) > customerIdleTimeout {
			delete(u.byCustomer, customer)
		}
	}
}

// running returns the number of running requests of a customer.
func (u *usageTable) running(customer string) int {
	if usage, ok := u.byCustomer[customer]; ok {
		return usage.running
	}
	return 0
}

// reachedFairShare reports whether a customer already uses at least its equal share of
// the slots. It reports false if no other customer is in the table.
func (u *usageTable) reachedFairShare(customer string, slots int) bool {
	return len(u.byCustomer) > 1 && u.running(customer)*len(u.byCustomer) >= slots
}
