package cicadagate

import (
	"fmt"
	"sync"

	"cicadalink.example/cicadakernel/cicadawire"
)

// A fence keeps the highest fencing number of the engine orders and rejects orders
// with a lower one. Orders are executed one at a time; otherwise a newer order
// could reach the engine between the check of an older one and its execution. The
// zero value rejects every order until the highest number issued before is set with
// initialize.
type fence struct {
	mu          sync.Mutex
	initialized bool
	highest     int64
}

func (f *fence) initialize(highest int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.initialized = true
	f.highest = max(f.highest, highest)
}

// execute calls run if the order's fencing number is not lower than the highest.
func (f *fence) execute(order *cicadawire.EngineOrder, run func() error) *cicadawire.OrderReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.initialized {
		return &cicadawire.OrderReply{Reason: "the highest fencing number is not known yet"}
	}
	if order.GetFence() < f.highest {
		return &cicadawire.OrderReply{Highest: f.highest, Reason: fmt.Sprintf("fencing number %d is lower than the highest one, %d", order.GetFence(), f.highest)}
	}
	f.highest = order.GetFence()
	if err := run(); err != nil {
		return &cicadawire.OrderReply{Highest: f.highest, Reason: err.Error()}
	}
	return &cicadawire.OrderReply{Accepted: true, Highest: f.highest}
}
