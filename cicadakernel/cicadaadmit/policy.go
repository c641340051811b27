// Package cicadaadmit decides what an endpoint runs next. Online requests come
// before batch items: batch takes only slots that would stand idle, and gives
// them back at once. Long requests are held to a share of the slots, so that
// short ones always find some.
//
// The package holds no state and starts nothing: a Policy and a State go in, a
// decision comes out.
//
// # Usage
//
//	policy := cicadaadmit.Policy{Slots: 8, BatchReserve: 1, LongSlots: 4}
//	switch policy.Online(state, long) {
//	case cicadaadmit.Enter:
//	case cicadaadmit.Preempt: // stop the youngest batch item first
//	case cicadaadmit.Wait:
//	}
package cicadaadmit

// LongTokens is the number of output tokens from which a request counts as
// long.
const LongTokens = 512

const (
	// queueDivisor makes the queue a part of the slots, so that the wait is a
	// part of the time that a request runs.
	queueDivisor = 4
	minQueue     = 2
	// freeDivisor makes the slots that are kept for customers below their fair
	// share a part of all.
	freeDivisor = 8
)

// A Decision says what to do with a request that could run now.
type Decision int

// Decisions.
const (
	Wait Decision = iota
	Enter
	Preempt
)

// A Policy bounds what one endpoint runs at once.
type Policy struct {
	// Slots is how many requests run at once.
	Slots int
	// BatchReserve is how many slots batch leaves free for the next online
	// request.
	BatchReserve int
	// LongSlots is how many slots long online requests may hold; 0 means all.
	LongSlots int
	// OnlineWeight, from 0 to 1, says how far batch gives way while online
	// requests run: at 0 batch takes every free slot above the reserve, at 1
	// it takes none.
	OnlineWeight float64
}

// A State is what an endpoint runs and holds back.
type State struct {
	Online        int
	OnlineLong    int
	Batch         int
	Preemptible   int
	OnlineWaiting int
	Suspects      int
}

func (s State) running() int { return s.Online + s.Batch }

// Online decides about the next online request.
func (p Policy) Online(s State, long bool) Decision {
	if long && p.LongSlots > 0 && s.OnlineLong >= p.LongSlots {
		return Wait
	}
	if s.running() < p.Slots {
		return Enter
	}
	if s.Preemptible > 0 {
		return Preempt
	}
	return Wait
}

// Batch decides about the next batch item. It never answers Preempt, and never
// Enter while an online request waits.
func (p Policy) Batch(s State) Decision {
	if s.OnlineWaiting > 0 || s.Batch >= p.BatchSlots(s.Online) {
		return Wait
	}
	return Enter
}

// BatchSlots returns how many slots batch may hold beside online requests that
// run.
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

// QueueLimit returns how many online requests may wait.
func (p Policy) QueueLimit() int { return max(p.Slots/queueDivisor, minQueue) }

// KeepFree reports whether the slots left are those that a customer over its
// fair share may not take.
func (p Policy) KeepFree(s State) bool {
	return p.Slots-s.Online <= p.Slots/freeDivisor
}

// Surplus returns how many running batch items must stop for batch to hold no
// more than its slots.
func (p Policy) Surplus(s State) int {
	return min(max(s.Batch-p.BatchSlots(s.Online), 0), s.Preemptible)
}
