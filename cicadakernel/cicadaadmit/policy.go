// Package cicadaadmit implements admission control for one endpoint. Online
// requests have priority over batch items: batch items use only idle slots and
// are preempted when an online request needs one. Long requests may hold only
// part of the slots, so that short requests are not blocked behind them.
//
// Decisions are pure functions of a Policy and a State.
//
// # Usage
//
//	policy := cicadaadmit.Policy{Slots: 8, BatchReserve: 1, LongSlots: 4}
//	switch policy.AdmitOnline(state, long) {
//	case cicadaadmit.Admit:
//	case cicadaadmit.Preempt: // preempt a batch item first
//	case cicadaadmit.Wait:
//	}
package cicadaadmit

// LongRequestTokens is the number of output tokens at which a request counts as
// long.
const LongRequestTokens = 512

const (
	// queueDivisor is the number of slots per place in the queue. Because there
	// are fewer places than slots, a request waits only for a fraction of the run
	// time of another.
	queueDivisor   = 4
	minQueueLength = 2
	// One of every reserveDivisor slots is reserved for customers below their
	// fair share.
	reserveDivisor = 8
)

// A Decision specifies what to do with the next request in the queue.
type Decision int

const (
	// Wait leaves the request in the queue.
	Wait Decision = iota
	// Admit starts the request.
	Admit
	// Preempt starts the request after a batch item has been preempted.
	Preempt
)

// A Policy limits the requests that one endpoint runs concurrently.
type Policy struct {
	// Slots is the maximum number of concurrent requests.
	Slots int
	// BatchReserve is the number of slots that batch items leave free for the
	// next online requests.
	BatchReserve int
	// LongSlots is the maximum number of slots that long online requests hold; 0
	// means no limit.
	LongSlots int
	// OnlineWeight, from 0 to 1, is the fraction of the free slots that batch
	// items leave unused while online requests run: at 0 they use every free
	// slot above the reserve, at 1 none.
	OnlineWeight float64
}

// A State counts an endpoint's running and waiting requests. Preemptible is the
// number of running batch items that can be preempted, and Suspects the number
// of running requests that may crash the engine.
type State struct {
	Online        int
	OnlineLong    int
	Batch         int
	Preemptible   int
	OnlineWaiting int
	Suspects      int
}

func (s State) running() int { return s.Online + s.Batch }

// AdmitOnline decides whether the next online request may run.
func (p Policy) AdmitOnline(s State, long bool) Decision {
	if long && p.LongSlots > 0 && s.OnlineLong >= p.LongSlots {
		return Wait
	}
	if s.running() < p.Slots {
		return Admit
	}
	if s.Preemptible > 0 {
		return Preempt
	}
	return Wait
}

// AdmitBatch decides whether the next batch item may run. It never returns
// Preempt, and never Admit while an online request waits.
func (p Policy) AdmitBatch(s State) Decision {
	if s.OnlineWaiting > 0 || s.Batch >= p.BatchSlots(s.Online) {
		return Wait
	}
	return Admit
}

// BatchSlots returns the maximum number of slots for batch items while the given
// number of online requests run.
func (p Policy) BatchSlots(online int) int {
	free := p.Slots - p.BatchReserve - online
	if free <= 0 {
		return 0
	}
	if online > 0 {
		free -= int(p.OnlineWeight * float64(free))
	}
	return free
}

// QueueLimit returns the maximum number of online requests in the queue.
func (p Policy) QueueLimit() int { return max(p.Slots/queueDivisor, minQueueLength) }

// OnlyReserveLeft reports whether the slots that online requests do not hold are
// all reserved for customers below their fair share.
func (p Policy) OnlyReserveLeft(s State) bool {
	return p.Slots-s.Online <= p.Slots/reserveDivisor
}

// BatchExcess returns the number of running batch items to preempt so that batch
// items hold no more than BatchSlots.
func (p Policy) BatchExcess(s State) int {
	return min(max(s.Batch-p.BatchSlots(s.Online), 0), s.Preemptible)
}
