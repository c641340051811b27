package cicadafreshness

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// renewInterval is the time from a query whose reply had a newer confirmation to the next query.
	// It equals the interval at which the coordinator reads the store (pollInterval of cicadafollow),
	// since the parent has no newer confirmation earlier.
	renewInterval = 900 * time.Millisecond
	// retryInterval is the time until a parent without a newer confirmation is queried again. It
	// doubles with every second such reply, up to maxRetryInterval.
	retryInterval    = 100 * time.Millisecond
	maxRetryInterval = 300 * time.Millisecond
	// roundInterval is the time from a round in which no member had a recent confirmation to the
	// next round.
	roundInterval = 500 * time.Millisecond
	// treeInterval is the interval at which the root checks whether it is still the root.
	treeInterval = 300 * time.Millisecond
	// replyTimeout is the time after which a query counts as unanswered. It is shorter than
	// TickInterval, so that the next member is queried at the next call.
	replyTimeout = 80 * time.Millisecond
	// tickTolerance is how early a call of Tick may be for a query that is due.
	tickTolerance = 20 * time.Millisecond
	// silentPeriod is how long a parent that did not reply is skipped in favour of other members.
	silentPeriod = 2 * time.Second
	// rootQueryInterval is the shortest average interval between the queries that all processes
	// other than its children send to the root as their last candidate.
	rootQueryInterval = 15 * time.Millisecond
	// fullRounds is the number of unsuccessful rounds after which only one round in sparseRounds
	// queries members other than the parent, since the store is probably down.
	fullRounds   = 4
	sparseRounds = 4
	// minAdvance is the smallest difference between the times of confirmations from different reads of
	// the store. Smaller differences are caused by message delays.
	minAdvance = 100 * time.Millisecond
	// keptQueries is the number of latest queries whose replies are accepted.
	keptQueries = 16
)

// A sentQuery is a query whose reply may still arrive.
type sentQuery struct {
	stamp time.Duration
	to    string
}

// queries decides when which member is queried.
type queries struct {
	next      time.Duration // time of the next query
	attempt   int           // index of the next candidate in this round
	round     int           // consecutive rounds in which no candidate had a recent confirmation
	unchanged int           // consecutive replies without a newer confirmation
	awaiting  bool          // the last query has not been answered yet
	last      sentQuery
	sent      [keptQueries]sentQuery
	sentCount int
	// silent is the last parent that did not reply. It is skipped until silentUntil.
	silent      string
	silentUntil time.Duration
}

// due reports whether it is time for a query. If the last query has timed out, it moves on to the
// next candidate.
func (q *queries) due(now time.Duration) bool {
	if !q.awaiting {
		return now >= q.next-tickTolerance
	}
	if now-q.last.stamp < replyTimeout {
		return false
	}
	if q.attempt == 0 {
		q.silent, q.silentUntil = q.last.to, now+silentPeriod
	}
	q.awaiting = false
	q.attempt++
	q.next = now
	return true
}

// choose returns the member to query now. If all candidates of the round have been queried, it ends
// the round and returns none.
func (q *queries) choose(t tree, now time.Duration) (member string, ok bool) {
	candidates := t.candidates(q.round)
	if len(candidates) == 0 {
		q.attempt, q.next = 0, now+treeInterval
		return "", false
	}
	sparse := q.round >= fullRounds && q.round%sparseRounds != 0
	switch {
	case sparse:
		candidates = candidates[:1]
	case t.level() > 1 && !t.mayQueryRoot(q.round):
		candidates = candidates[:len(candidates)-1]
	}
	if q.attempt == 0 && !sparse && candidates[0] == q.silent && now < q.silentUntil {
		q.attempt = 1
	}
	if q.attempt >= len(candidates) {
		q.attempt, q.next = 0, now+roundInterval
		q.round++
		return "", false
	}
	return candidates[q.attempt], true
}

// mayQueryRoot reports whether the root is queried in a round, if it is not the parent. The more
// processes there are, the fewer rounds of each do so.
func (t tree) mayQueryRoot(round int) bool {
	rounds := uint64(time.Duration(len(t.members)) * rootQueryInterval / roundInterval)
	hash := xxhash.Sum64String(t.members[t.self] + strconv.Itoa(round))
	return rounds <= 1 || hash%rounds == 0
}

// record records a query that is sent to a member.
func (q *queries) record(member string, now time.Duration) {
	q.awaiting, q.last = true, sentQuery{stamp: now, to: member}
	q.sent[q.sentCount%keptQueries] = q.last
	q.sentCount++
}

// take removes the query that a reply of a member answers. It reports false if there is none, or it
// was answered before.
func (q *queries) take(from string, stamp time.Duration) bool {
	for i, s := range q.sent {
		if s.to != "" && s.to == from && s.stamp == stamp {
			q.sent[i] = sentQuery{}
			return true
		}
	}
	return false
}

// answered sets the time of the next query after a reply. advanced is set if the reply had a newer
// confirmation, and sufficient if the best one is so recent that no other candidate is queried.
func (q *queries) answered(from string, stamp, now time.Duration, advanced, sufficient bool) {
	isLast := q.last == sentQuery{stamp: stamp, to: from}
	if isLast {
		q.awaiting = false
	}
	switch {
	case advanced && sufficient:
		q.attempt, q.round, q.unchanged = 0, 0, 0
		q.next = stamp + renewInterval
	case !isLast: // the reply to a later query sets the time
	case sufficient:
		q.next = stamp + min(retryInterval<<(min(q.unchanged, maxShift)/2), maxRetryInterval)
		q.attempt, q.round = 0, 0
		q.unchanged++
	default:
		q.attempt++
		q.next = now
	}
}

// maxShift keeps retryInterval from overflowing. maxRetryInterval is reached before.
const maxShift = 10
