package cicadagate

import (
	"fmt"
	"sync"

	"cicadalink.example/cicadakernel/cicadawire"
)

// A fence keeps the highest fencing number of engine orders and refuses older
// ones. Orders pass one at a time, so an old one cannot overtake a newer one
// between the check and the engine. The zero value refuses every order until
// it learns the highest number given before.
type fence struct {
	mu      sync.Mutex
	known   bool
	highest int64
}

func (f *fence) learn(highest int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.known = true
	f.highest = max(f.highest, highest)
}

func (f *fence) pass(order *cicadawire.EngineOrder, give func() error) *cicadawire.OrderReply {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.known {
		return &cicadawire.OrderReply{Reason: "highest fencing number not known yet"}
	}
	if order.GetFence() < f.highest {
		return &cicadawire.OrderReply{Highest: f.highest, Reason: fmt.Sprintf("fencing number %d is below %d", order.GetFence(), f.highest)}
	}
	f.highest = order.GetFence()
	if err := give(); err != nil {
		return &cicadawire.OrderReply{Highest: f.highest, Reason: err.Error()}
	}
	return &cicadawire.OrderReply{Accepted: true, Highest: f.highest}
}
