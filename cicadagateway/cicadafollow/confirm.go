package cicadafollow

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadakernel/cicadaplatform"
)

// A watch that waits shows nothing: it may have no answer because nothing changes, or because it was lost.
// What a follower knows is confirmed only by calls that were answered.

// ErrNotListed reports that a follower cannot catch up, as it has not listed the objects yet.
var ErrNotListed = merry.Sentinel("cicadafollow: objects not listed yet")

// CatchUp passes on the changes up to now, without waiting for the watch. Every write that was acknowledged
// before asOf has been passed on when it returns. timeout limits its call to the store, not the wait until it may be
// made. It makes none if a list that began meanwhile has done so.
func (f *Follower) CatchUp(ctx context.Context, timeout time.Duration) (asOf time.Time, err error) {
	calledAt := time.Now()
	if !f.acquire(ctx) {
		return time.Time{}, merry.Errorf("wait for a list: %w", ctx.Err())
	}
	defer f.release()
	switch asOf := f.confirmed(); {
	case asOf.IsZero():
		return time.Time{}, merry.Wrap(ErrNotListed)
	case !asOf.Before(calledAt):
		return asOf, nil
	}
	page, askedAt, err := f.store.ChangesAsOf(ctx, f.prefix, f.asOf.Load(), timeout)
	if err != nil {
		f.recordFailure(askedAt, err)
		if errors.Is(err, cicadaplatform.ErrCompacted) {
			f.Refresh()
		}
		return time.Time{}, merry.Errorf("catch up: %w", err)
	}
	f.link.Report(nil)
	f.applyPage(page, askedAt)
	return askedAt, nil
}

// LastFailure returns the time at which the last call that the store has not answered was made, or the zero time.
func (f *Follower) LastFailure() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.failedAt
}

// recordFailure records that a call that was made at a time has failed. One that was not made, whose time is zero,
// or that ended with its caller, shows nothing of the store.
func (f *Follower) recordFailure(askedAt time.Time, err error) {
	if errors.Is(err, cicadaplatform.ErrCompacted) || errors.Is(err, context.Canceled) {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failedAt = latest(f.failedAt, askedAt)
}

// confirm records that every write that was acknowledged before asOf has been passed on.
func (f *Follower) confirm(asOf time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmedAt = latest(f.confirmedAt, asOf)
}

func (f *Follower) confirmed() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmedAt
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// acquire waits until no other call reads the objects. It reports false if ctx ends first.
func (f *Follower) acquire(ctx context.Context) bool {
	select {
	case f.reading <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (f *Follower) release() { <-f.reading }

// Resume makes the follower repeat a watch that waits, which may have been lost.
func (f *Follower) Resume() {
	select {
	case f.resume <- struct{}{}:
	default:
	}
}
