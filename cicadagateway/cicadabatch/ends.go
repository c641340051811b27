package cicadabatch

import (
	"context"
	"time"
)

// An owner learns from the store that a job was ended, as any owner may acknowledge the end. A watch of the
// jobs that shows nothing is no sign that there was none: it may have been lost in a silence of the store, or this
// process may have been suspended. Before an item starts, the owner's knowledge of its job is therefore
// confirmed by a call that the store has answered. While the store does not answer, items start without.

const (
	// defaultEndLimit is the longest time for which items of a job may still reach endpoints after its
	// end was acknowledged, unless it is set.
	defaultEndLimit = 3 * time.Second
	// catchUpPause is the time until the next attempt where no call could be made.
	catchUpPause = 100 * time.Millisecond
)

// endTimes are what follows from the limit on the time after a job's end.
type endTimes struct {
	// maxAge is how old the confirmation may be when an item starts. The rest of the limit is for the
	// item's way to an endpoint.
	maxAge time.Duration
	// timeout limits a call that confirms the jobs, and interval is the time from one that failed to the next.
	timeout, interval time.Duration
	// away is how long after a call that failed the store counts as away: until the next one has failed, and
	// less than the limit.
	away time.Duration
}

func newEndTimes(limit time.Duration) endTimes {
	return endTimes{maxAge: limit * 2 / 3, timeout: limit / 3, interval: limit * 2 / 5, away: limit * 4 / 5}
}

// A JobsView is the follower of the jobs in the store, which calls Owner.Apply.
type JobsView interface {
	// CatchUp calls Owner.Apply with the changes up to now. When it returns, Apply has been called with every
	// change that was acknowledged before asOf. timeout limits its call to the store.
	CatchUp(ctx context.Context, timeout time.Duration) (asOf time.Time, err error)
	// LastFailure returns the time at which the last call that the store has not answered was made.
	LastFailure() time.Time
}

// WithEndLimit sets the longest time for which items of a job may still reach endpoints after its end was
// acknowledged.
func WithEndLimit(limit time.Duration) Option {
	return func(o *Owner) { o.endTimes = newEndTimes(limit) }
}

// Follow sets the view by which the owner confirms its knowledge of jobs. Without it, the owner trusts
// what Apply was called with.
func (o *Owner) Follow(view JobsView) { o.enqueue(func() { o.view = view }) }

// mayStart reports whether items of a job may start: that the job was not ended has been confirmed within
// the end limit, or the store is away. If not, the owner catches up with the jobs.
func (o *Owner) mayStart(j *job, now time.Time) bool {
	if o.view == nil {
		return true
	}
	if now.Sub(o.jobsAsOf) <= o.endTimes.maxAge || now.Sub(j.confirmedAt) <= o.endTimes.maxAge {
		return true
	}
	o.catchUp(now)
	return now.Sub(o.view.LastFailure()) < o.endTimes.away
}

// catchUp starts to catch up with the jobs, unless that is in progress or has just failed.
func (o *Owner) catchUp(now time.Time) {
	if o.catchingUp || now.Before(o.nextCatchUp) {
		return
	}
	o.catchingUp = true
	o.metrics.catchUps.Inc(1)
	o.wg.Go(func() {
		asOf, err := o.view.CatchUp(o.ctx, o.endTimes.timeout)
		o.enqueue(func() { o.caughtUp(now, asOf, err) })
	})
}

// confirmJobs records that every change of the jobs that was acknowledged before asOf has been applied.
func (o *Owner) confirmJobs(asOf time.Time) {
	if asOf.After(o.jobsAsOf) {
		o.jobsAsOf = asOf
	}
}

// caughtUp ends a catch-up that began at a time. The changes that it brought have been applied.
func (o *Owner) caughtUp(startedAt, asOf time.Time, err error) {
	o.catchingUp = false
	o.confirmJobs(asOf)
	if err != nil {
		o.nextCatchUp = startedAt.Add(o.endTimes.interval)
		if o.view.LastFailure().Before(startedAt) {
			o.nextCatchUp = time.Now().Add(catchUpPause) // the store was not asked
		}
	}
	if failed := err != nil; failed != o.catchUpFailed {
		o.catchUpFailed = failed
		o.log.Info("state of the jobs in the store", "confirmed", !failed, "took", time.Since(startedAt).String(), "error", err)
	}
	o.Wake()
}
