package cicadadispatch

import "sync"

// holdings counts the online requests that run, by customer. The zero value is
// ready to use.
type holdings struct {
	mu         sync.Mutex
	byCustomer map[string]int
	running    int
}

// hold counts a request until the function that it returns is called.
func (h *holdings) hold(customer string) func() {
	h.add(customer, 1)
	return func() { h.add(customer, -1) }
}

func (h *holdings) add(customer string, n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byCustomer == nil {
		h.byCustomer = make(map[string]int)
	}
	h.running += n
	h.byCustomer[customer] += n
	if h.byCustomer[customer] == 0 {
		delete(h.byCustomer, customer)
	}
}

// count returns how many requests a customer has besides the one that asks, how
// many run in all, and of how many customers.
func (h *holdings) count(customer string) (held, running, customers int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.byCustomer[customer] - 1, h.running - 1, len(h.byCustomer)
}
