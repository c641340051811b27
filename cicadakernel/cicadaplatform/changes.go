package cicadaplatform

import (
	"context"
	"errors"
	"time"

	"github.com/ansel1/merry/v2"
	"golang.org/x/time/rate"
)

// WithOnAnswered sets a function that is called when a read was answered after one that had no answer. A
// watch that waits may have been lost like that one.
func WithOnAnswered(f func()) ClientOption {
	return func(c *Client) { c.onAnswered = f }
}

// SetChangesRate sets the budget of ChangesAsOf, in calls per second, which is apart from that of other reads: a
// call would wait behind all of them. The default is 1.
func (c *Client) SetChangesRate(perSecond float64) { c.changesLimit.SetLimit(rate.Limit(perSecond)) }

// ChangesAsOf returns the changes after store version from to objects whose names have the prefix, without
// waiting for one, and the time when the store was asked, after the wait for its budget. The page reflects every
// write that was complete then. timeout limits the call; asOf is zero if it was not made.
func (c *Client) ChangesAsOf(ctx context.Context, prefix string, from int64, timeout time.Duration) (page Page, asOf time.Time, err error) {
	if err := c.acquireReadFrom(ctx, c.changesLimit, "changes"); err != nil {
		return Page{}, time.Time{}, err
	}
	asOf = time.Now()
	defer c.recordLatency("changes", asOf)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	page, err = c.backend.Changes(ctx, prefix, from)
	c.recordRead(err)
	if err != nil {
		return Page{}, asOf, merry.Errorf("read changes: %w", err)
	}
	return page, asOf, nil
}

// recordRead records the outcome of a read other than a watch. One that was refused, or that ended with its
// caller, shows nothing.
func (c *Client) recordRead(err error) {
	switch {
	case errors.Is(err, ErrUnavailable) || errors.Is(err, context.Canceled):
	case errors.Is(err, ErrInDoubt):
		c.unanswered.Store(true)
	case c.unanswered.CompareAndSwap(true, false):
		c.onAnswered()
	}
}
