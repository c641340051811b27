package cicadaprocess

import (
	"cmp"
	"time"
)

const (
	// maxSentReports limits the entries of an outbox in one message, and
	// maxPendingReports those that wait.
	maxSentReports    = 16
	maxPendingReports = 256
	// reportSends is the number of messages that hold an entry, unless maxSends says
	// otherwise. The first two follow its addition directly, the others are reportInterval
	// apart.
	reportSends    = 6
	promptSends    = 2
	reportInterval = 200 * time.Millisecond
)

// An outbox holds what is sent to peers in a few messages each, so that a lost message
// does no harm. The zero value is ready to use.
type outbox[T any] struct {
	entries []outboxEntry[T]
	// maxSends is the number of messages that hold an entry, or 0 for reportSends.
	maxSends int
}

type outboxEntry[T any] struct {
	value  T
	sends  int
	sentAt time.Time
}

// add adds an entry. If too many wait, the oldest is dropped.
func (o *outbox[T]) add(value T) {
	if len(o.entries) >= maxPendingReports {
		o.entries = o.entries[1:]
	}
	o.entries = append(o.entries, outboxEntry[T]{value: value})
}

// next returns the entries for the next message.
func (o *outbox[T]) next(now time.Time) []T {
	var out []T
	kept := o.entries[:0]
	for _, e := range o.entries {
		due := e.sends < promptSends || now.Sub(e.sentAt) >= reportInterval
		if due && len(out) < maxSentReports {
			out = append(out, e.value)
			e.sends, e.sentAt = e.sends+1, now
		}
		if e.sends < cmp.Or(o.maxSends, reportSends) {
			kept = append(kept, e)
		}
	}
	o.entries = kept
	return out
}

// A rotation selects some of a list in turn.
type rotation struct{ next int }

// selectFrom returns the next n values, or all if there are fewer.
func selectFrom[T any](r *rotation, all []T, n int) []T {
	n = min(n, len(all))
	out := make([]T, 0, n)
	for i := range n {
		out = append(out, all[(r.next+i)%len(all)])
	}
	r.next += n
	return out
}
