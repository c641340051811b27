package cicadaratelimit

import (
	"fmt"
	"time"
)

// A Decision says whether a request may be served.
type Decision struct {
	allowed    bool
	known      bool
	retryAfter time.Duration
	home       string
}

// Allowed reports whether the request has got a token.
func (d Decision) Allowed() bool { return d.allowed }

// Known reports whether the state of the limit was known. If not, the request is not over the
// limit as far as this entry can tell, but must not be served either.
func (d Decision) Known() bool { return d.known }

// RetryAfter returns the time after which a refused caller may come back.
func (d Decision) RetryAfter() time.Duration { return d.retryAfter }

// Home returns the customer's home entry, or "" if it was not asked or is not known.
func (d Decision) Home() string { return d.home }

// String describes the decision for a log line.
func (d Decision) String() string {
	switch {
	case d.allowed:
		return "allowed"
	case d.known:
		return fmt.Sprintf("over the limit, retry after %s, home %q", d.retryAfter.Round(time.Millisecond), d.home)
	default:
		return fmt.Sprintf("limit not known, retry after %s, home %q", d.retryAfter.Round(time.Millisecond), d.home)
	}
}
