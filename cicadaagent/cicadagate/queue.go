package cicadagate

import (
	"time"

	"cicadalink.example/cicadakernel/cicadaadmit"
)

// enqueue puts a task into its queue and starts it if a slot is available. If the
// task is rejected, enqueue returns the code and message of the ERROR frame.
func (g *Gate) enqueue(t *task) (code, message string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.draining {
		return CodeLeaving, "endpoint is draining"
	}
	if !g.engineUp.Load() {
		return CodeEngineUnreachable, "engine is down"
	}
	if t.isBatch() {
		if len(g.batchQueue) >= max(g.policy.Slots*batchQueuePerSlot, 1) {
			return CodeBusy, "batch queue is full"
		}
		g.batchQueue = append(g.batchQueue, t)
	} else {
		if g.exceedsFairShare(t) {
			return CodeBusy, "customer already uses its fair share of the endpoint"
		}
		g.onlineQueue = g.insertOnline(t)
	}
	g.schedule()
	if !t.isBatch() && g.rejectLast(t) {
		return CodeBusy, "online queue is full"
	}
	return "", ""
}

// rejectLast removes the last task of the online queue if the queue exceeds its
// limit. A request that would wait long is better served by another endpoint. It
// reports whether the last task is t, the one just enqueued, which the caller must
// then reject.
func (g *Gate) rejectLast(t *task) bool {
	if len(g.onlineQueue) <= g.policy.QueueLimit() {
		return false
	}
	last := g.onlineQueue[len(g.onlineQueue)-1]
	g.onlineQueue = g.onlineQueue[:len(g.onlineQueue)-1]
	g.state.OnlineWaiting = len(g.onlineQueue)
	if last == t {
		return true
	}
	last.rejection = errDisplaced
	close(last.decided)
	return false
}

// insertOnline returns the online queue with t inserted by urgency, then by the
// number of the customer's running requests, then by arrival.
func (g *Gate) insertOnline(t *task) []*task {
	queue := g.onlineQueue
	i := len(queue)
	for i > 0 && g.precedes(t, queue[i-1]) {
		i--
	}
	queue = append(queue, nil)
	copy(queue[i+1:], queue[i:])
	queue[i] = t
	return queue
}

// exceedsFairShare reports whether a request would take one of the last slots for a
// customer that already uses its fair share. Such a request is rejected at once: if
// it waited, the wait would be mistaken for a slow endpoint.
func (g *Gate) exceedsFairShare(t *task) bool {
	return g.policy.OnlyReserveLeft(g.state) && g.usage.reachedFairShare(t.call.GetCustomer(), g.policy.Slots)
}

// precedes reports whether t runs before another queued online request.
func (g *Gate) precedes(t, other *task) bool {
	if t.call.GetUrgency() != other.call.GetUrgency() {
		return t.call.GetUrgency() > other.call.GetUrgency()
	}
	return g.usage.running(t.call.GetCustomer()) < g.usage.running(other.call.GetCustomer())
}

// dequeue removes a task from its queue. It reports false if the task has already
// been started or rejected.
func (g *Gate) dequeue(t *task) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if t.running || t.rejection != nil {
		return false
	}
	g.onlineQueue = without(g.onlineQueue, t)
	g.batchQueue = without(g.batchQueue, t)
	g.schedule()
	return true
}

func without(queue []*task, t *task) []*task {
	for i, other := range queue {
		if other == t {
			return append(queue[:i:i], queue[i+1:]...)
		}
	}
	return queue
}

// requeue puts a preempted task at the head of the batch queue, or rejects it if
// the gate is draining.
func (g *Gate) requeue(t *task) {
	t.decided = make(chan struct{})
	if g.draining {
		t.rejection = errDraining
		close(t.decided)
		return
	}
	g.batchQueue = append([]*task{t}, g.batchQueue...)
}

// schedule starts queued tasks for as long as the policy allows, and preempts batch
// items above the policy's limit. The caller must hold g.mu.
func (g *Gate) schedule() {
	for g.startNextOnline() {
	}
	g.preemptExcess()
	for g.startNextBatch() {
	}
	g.state.OnlineWaiting = len(g.onlineQueue)
	if len(g.runningTasks) == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

func (g *Gate) startNextOnline() bool {
	g.state.OnlineWaiting = len(g.onlineQueue)
	for i, t := range g.onlineQueue {
		if t.call.GetSuspect() && g.state.Suspects > 0 {
			continue
		}
		decision := g.policy.AdmitOnline(g.state, t.long)
		if decision == cicadaadmit.Wait {
			continue
		}
		if decision == cicadaadmit.Preempt {
			g.preemptOne()
		}
		g.onlineQueue = append(g.onlineQueue[:i:i], g.onlineQueue[i+1:]...)
		g.start(t)
		return true
	}
	return false
}

func (g *Gate) startNextBatch() bool {
	g.state.OnlineWaiting = len(g.onlineQueue)
	if g.policy.AdmitBatch(g.state) != cicadaadmit.Admit {
		return false
	}
	for i, t := range g.batchQueue {
		if t.call.GetSuspect() && g.state.Suspects > 0 {
			continue
		}
		g.batchQueue = append(g.batchQueue[:i:i], g.batchQueue[i+1:]...)
		g.start(t)
		return true
	}
	return false
}

// preemptExcess preempts the batch items above the policy's limit.
func (g *Gate) preemptExcess() {
	for n := g.policy.BatchExcess(g.state); n > 0; n-- {
		g.preemptOne()
	}
}

// start assigns a slot to a task that has been removed from its queue.
func (g *Gate) start(t *task) {
	t.started, t.running, t.preempting = true, true, false
	t.startedAt = time.Now()
	g.runningTasks[t] = struct{}{}
	g.updateState(t, 1)
	close(t.decided)
}

// updateState adds delta, 1 or -1, to every count of g.state that includes t.
func (g *Gate) updateState(t *task, delta int) {
	if t.isBatch() {
		g.state.Batch += delta
		if !t.call.GetNonIdempotent() {
			g.state.Preemptible += delta
		}
	} else {
		g.state.Online += delta
		g.usage.add(t.call.GetCustomer(), delta, time.Now())
		if t.long {
			g.state.OnlineLong += delta
		}
	}
	if t.call.GetSuspect() {
		g.state.Suspects += delta
	}
}

// preemptOne preempts the batch item that loses the least if it cannot be resumed:
// the one with the fewest chunks, and among equals the latest arrival. Its slot
// counts as free at once.
func (g *Gate) preemptOne() {
	var victim *task
	for t := range g.runningTasks {
		if t.preemptible() && (victim == nil || t.chunks < victim.chunks ||
			(t.chunks == victim.chunks && t.arrival.After(victim.arrival))) {
			victim = t
		}
	}
	if victim == nil {
		return
	}
	victim.preempting = true
	g.updateState(victim, -1)
	if victim.cancel != nil {
		victim.cancel(errPreempted)
	}
	g.scope.Counter("batch_preempted").Inc(1)
}
