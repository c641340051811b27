package cicadafreshness

import (
	"math"
	"time"
)

// never is the time of a confirmation that does not exist.
const never = time.Duration(math.MinInt64)

// A confirmation states that the store acknowledged no version newer than version before the time
// at. The statement then also holds for any newer version and for any earlier time.
type confirmation struct {
	version int64
	at      time.Duration
}

// age returns the age of a confirmation, if there is one.
func (c confirmation) age(now time.Duration) (time.Duration, bool) {
	if c.version <= 0 || c.at == never {
		return 0, false
	}
	return max(now-c.at, 0), true
}

// within reports whether a confirmation exists and is not older than limit.
func (c confirmation) within(limit, now time.Duration) bool {
	age, ok := c.age(now)
	return ok && age <= limit
}

// confirmations holds the confirmations that a process has received.
type confirmations struct {
	// inForce is the confirmation of the version in force.
	inForce confirmation
	// pending is the confirmation of a version newer than the one in force, if one is known.
	pending confirmation
}

func newConfirmations() confirmations {
	return confirmations{inForce: confirmation{at: never}, pending: confirmation{at: never}}
}

// newest returns the newest known version.
func (s *confirmations) newest() int64 { return max(s.inForce.version, s.pending.version) }

// best returns the confirmation of the newest known version, which need not be in force here.
func (s *confirmations) best() confirmation {
	return confirmation{version: s.newest(), at: max(s.inForce.at, s.pending.at)}
}

// add adds a confirmation. One of a version older than the newest known one is ignored: it comes
// from a store or a process that lags.
func (s *confirmations) add(c confirmation) {
	switch {
	case c.version <= 0 || c.version < s.newest():
	case c.version == s.inForce.version:
		s.inForce.at = max(s.inForce.at, c.at)
	default:
		s.pending = confirmation{version: c.version, at: max(s.pending.at, c.at)}
	}
}

// setVersion sets the version in force. The confirmation of an older version also confirms a newer
// one, but not the reverse.
func (s *confirmations) setVersion(version int64) {
	best := s.best()
	switch {
	case version < s.inForce.version:
		s.pending, s.inForce = best, confirmation{version: version, at: never}
	case version < s.pending.version:
		s.inForce.version = version
	default:
		s.inForce, s.pending = confirmation{version: version, at: best.at}, confirmation{at: never}
	}
}
