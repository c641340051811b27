package cicadaplatform

import (
	"context"
	"net/http"
	"slices"
	"time"
)

const (
	// unansweredDelay is how long a call on a kept connection has no answer before a diagnosis.
	unansweredDelay = 500 * time.Millisecond
	// secondAttemptDelay is how long a read has no answer before it is sent once more. It leaves
	// the second attempt half of a call's deadline.
	secondAttemptDelay = defaultDeadline / 2
	// newCheckTimeout limits the time in which the store answers on a new connection, and
	// keptCheckMargin how much longer it may take on a kept one.
	newCheckTimeout = time.Second
	keptCheckMargin = 250 * time.Millisecond
)

// await watches over a call until it is stopped. It ends the call if its connection is among those
// that were replaced: a watch at once, another call when it had no answer for unansweredDelay.
func (t *Transport) await(c *connections, call *call) (stop func()) {
	if call.watch {
		stop := context.AfterFunc(c.replaced, call.endIfDead)
		return func() { stop() }
	}
	done := make(chan struct{})
	t.wg.Go(func() {
		timer := time.NewTimer(unansweredDelay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-done:
			return
		}
		for {
			timer.Reset(unansweredDelay)
			if call.reused.Load() {
				t.handleUnanswered(c, call)
			}
			select {
			case <-c.replaced.Done():
				call.endIfDead()
				return
			case <-timer.C:
			case <-done:
				return
			}
		}
	})
	return func() { close(done) }
}

// handleUnanswered has the connections diagnosed, unless that was done since the call was sent, and
// starts the second attempt of a read once it is due, if the store answers.
func (t *Transport) handleUnanswered(c *connections, call *call) {
	if !t.isDiagnosed(c, call.sentAt) {
		t.diagnose(c, call)
	}
	if call.onStalled != nil && time.Since(call.sentAt) >= secondAttemptDelay && t.isDiagnosed(c, call.sentAt) {
		call.onStalled()
	}
}

func (t *Transport) isDiagnosed(c *connections, since time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return c.diagnosedAt.After(since)
}

// diagnose replaces the connections if the store answers on a new one and not on a kept one while a
// call still waits. One diagnosis at a time is made for all calls.
func (t *Transport) diagnose(c *connections, call *call) {
	start := time.Now()
	t.mu.Lock()
	busy := c != t.current || c.diagnosing
	c.diagnosing = true
	t.mu.Unlock()
	if busy {
		return
	}
	base := t.newPool()
	answered := t.check(context.Background(), newCheckTimeout, base.RoundTrip).isSuccess()
	dead := answered && t.keptAreDead(c, call.sentAt, time.Since(start)+keptCheckMargin)
	t.mu.Lock()
	c.diagnosing = false
	if answered && !dead {
		c.diagnosedAt = start
	}
	replace := dead && !call.answered.Load() && c == t.current
	if replace {
		t.current = newConnections(base, t.newPool())
	}
	onDead := slices.Clone(t.onDead)
	t.mu.Unlock()
	if !replace {
		base.CloseIdleConnections()
		return
	}
	c.closeIdle()
	c.deadSince = call.sentAt
	c.replace()
	for _, f := range onDead {
		f(call.sentAt)
	}
}

// keptAreDead reports whether a health check of a connection that was kept at the given time has no
// answer. It is false if there is no such connection to check: what a call alone shows concerns its
// own connection.
func (t *Transport) keptAreDead(c *connections, at time.Time, timeout time.Duration) bool {
	ctx := context.WithValue(context.Background(), keptOnly{}, true)
	for _, pool := range []*http.Transport{c.spare, c.base} {
		if r := t.check(ctx, timeout, pool.RoundTrip); r.reused && r.conn != nil && !r.conn.openedAt.After(at) {
			return r.status == 0
		}
	}
	return false
}
