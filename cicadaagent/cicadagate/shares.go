package cicadagate

import "time"

// shareMemory is how long a customer counts for the fair share after its last
// request.
const shareMemory = 10 * time.Second

// shares counts the online requests that run, by customer. The zero value is
// ready to use.
type shares struct {
	byCustomer map[string]*share
}

type share struct {
	running int
	seen    time.Time
}

// add counts a request that starts or, with n below 0, ends.
func (s *shares) add(customer string, n int, now time.Time) {
	held := s.get(customer, now)
	held.running += n
	held.seen = now
}

func (s *shares) get(customer string, now time.Time) *share {
	if s.byCustomer == nil {
		s.byCustomer = make(map[string]*share)
	}
	held, ok := s.byCustomer[customer]
	if !ok {
		s.forget(now)
		held = &share{}
		s.byCustomer[customer] = held
	}
	return held
}

func (s *shares) forget(now time.Time) {
	for customer, held := range s.byCustomer {
		if held.running == 0 && now.Sub(held.seen) > shareMemory {
			delete(s.byCustomer, customer)
		}
	}
}

// running returns how many requests of a customer run.
func (s *shares) running(customer string) int {
	if held, ok := s.byCustomer[customer]; ok {
		return held.running
	}
	return 0
}

// over reports whether a customer holds its fair share of the slots already,
// beside others that have come lately.
func (s *shares) over(customer string, slots int) bool {
	return len(s.byCustomer) > 1 && s.running(customer)*len(s.byCustomer) >= slots
}
