package cicadagate

import (
	"time"

	"cicadalink.example/cicadakernel/cicadaadmit"
)

func (g *Gate) enqueue(w *waiter) (code, message string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leaving {
		return CodeLeaving, "endpoint is leaving"
	}
	if !g.engineUp.Load() {
		return CodeNoEngine, "engine is down"
	}
	if w.isBatch() {
		if len(g.batch) >= max(g.policy.Slots*batchQueuePerSlot, 1) {
			return CodeBusy, "batch queue is full"
		}
		g.batch = append(g.batch, w)
	} else {
		if g.overShare(w) {
			return CodeBusy, "customer has its fair share of the endpoint"
		}
		g.online = g.insertOnline(w)
	}
	g.schedule()
	if !w.isBatch() && g.refuseLast(w) {
		return CodeBusy, "online queue is full"
	}
	return "", ""
}

// refuseLast keeps the online queue short: a request that would wait long does
// better elsewhere. The least urgent of those that came last gives way. It
// reports whether that is w, the request that has just come.
func (g *Gate) refuseLast(w *waiter) bool {
	if len(g.online) <= g.policy.QueueLimit() {
		return false
	}
	last := g.online[len(g.online)-1]
	g.online = g.online[:len(g.online)-1]
	g.state.OnlineWaiting = len(g.online)
	if last == w {
		return true
	}
	last.refused = errBusy
	close(last.enter)
	return false
}

// insertOnline keeps the more urgent first, within an urgency the customers that
// hold the least, and otherwise the order of arrival.
func (g *Gate) insertOnline(w *waiter) []*waiter {
	queue := g.online
	i := len(queue)
	for i > 0 && g.before(w, queue[i-1]) {
		i--
	}
	queue = append(queue, nil)
	copy(queue[i+1:], queue[i:])
	queue[i] = w
	return queue
}

// overShare reports whether a request would take one of the last slots for a
// customer that has its fair share. Such a request is refused at once: it would
// wait, and be taken for a sign of a slow endpoint.
func (g *Gate) overShare(w *waiter) bool {
	return g.policy.KeepFree(g.state) && g.shares.over(w.call.GetCustomer(), g.policy.Slots)
}

func (g *Gate) before(w, other *waiter) bool {
	if w.call.GetUrgency() != other.call.GetUrgency() {
		return w.call.GetUrgency() > other.call.GetUrgency()
	}
	return g.shares.running(w.call.GetCustomer()) < g.shares.running(other.call.GetCustomer())
}

// abandon removes a call that still waits, and reports whether it did.
func (g *Gate) abandon(w *waiter) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.running || w.refused != nil {
		return false
	}
	g.online = without(g.online, w)
	g.batch = without(g.batch, w)
	g.schedule()
	return true
}

func without(queue []*waiter, w *waiter) []*waiter {
	for i, other := range queue {
		if other == w {
			return append(queue[:i:i], queue[i+1:]...)
		}
	}
	return queue
}

func (g *Gate) requeue(w *waiter) {
	w.enter = make(chan struct{})
	if g.leaving {
		w.refused = errDraining
		close(w.enter)
		return
	}
	g.batch = append([]*waiter{w}, g.batch...)
}

// schedule lets calls enter for as long as the policy allows. The caller holds
// the lock.
func (g *Gate) schedule() {
	for g.enterOnline() {
	}
	g.stopSurplus()
	for g.enterBatch() {
	}
	g.state.OnlineWaiting = len(g.online)
	if len(g.runs) == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

func (g *Gate) enterOnline() bool {
	g.state.OnlineWaiting = len(g.online)
	for i, w := range g.online {
		if w.call.GetSuspect() && g.state.Suspects > 0 {
			continue
		}
		decision := g.policy.Online(g.state, w.long)
		if decision == cicadaadmit.Wait {
			continue
		}
		if decision == cicadaadmit.Preempt {
			g.preemptYoungest()
		}
		g.online = append(g.online[:i:i], g.online[i+1:]...)
		g.start(w)
		return true
	}
	return false
}

func (g *Gate) enterBatch() bool {
	g.state.OnlineWaiting = len(g.online)
	if g.policy.Batch(g.state) != cicadaadmit.Enter {
		return false
	}
	for i, w := range g.batch {
		if w.call.GetSuspect() && g.state.Suspects > 0 {
			continue
		}
		g.batch = append(g.batch[:i:i], g.batch[i+1:]...)
		g.start(w)
		return true
	}
	return false
}

func (g *Gate) stopSurplus() {
	for n := g.policy.Surplus(g.state); n > 0; n-- {
		g.preemptYoungest()
	}
}

func (g *Gate) start(w *waiter) {
	w.started, w.running, w.stopping = true, true, false
	w.entered = time.Now()
	g.runs[w] = struct{}{}
	g.count(w, 1)
	close(w.enter)
}

func (g *Gate) count(w *waiter, by int) {
	if w.isBatch() {
		g.state.Batch += by
		if !w.call.GetNonIdempotent() {
			g.state.Preemptible += by
		}
	} else {
		g.state.Online += by
		g.shares.add(w.call.GetCustomer(), by, time.Now())
		if w.long {
			g.state.OnlineLong += by
		}
	}
	if w.call.GetSuspect() {
		g.state.Suspects += by
	}
}

// preemptYoungest stops the batch item that loses the least, the one with the
// fewest tokens. Its slot counts as free from now on.
func (g *Gate) preemptYoungest() {
	var youngest *waiter
	for w := range g.runs {
		if w.preemptible() && (youngest == nil || w.tokens < youngest.tokens ||
			(w.tokens == youngest.tokens && w.arrival.After(youngest.arrival))) {
			youngest = w
		}
	}
	if youngest == nil {
		return
	}
	youngest.stopping = true
	g.count(youngest, -1)
	if youngest.cancel != nil {
		youngest.cancel(errPreempted)
	}
	g.scope.Counter("batch_preempted").Inc(1)
}
