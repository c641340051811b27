package cicadafreshness

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// renewInterval is the time from a reply with a newer confirmation to the next query. It is
	// the time that the coordinator waits between two reads of the store, as the parent has no newer
	// confirmation before.
	renewInterval = 900 * time.Millisecond
	// retryInterval is the time until the parent is queried again that had no newer confirmation.
	// It doubles with every second such reply, up to maxRetryInterval.
	retryInterval    = 100 * time.Millisecond
	maxRetryInterval = 300 * time.Millisecond
	// roundInterval is the time between two rounds in which no member had a recent confirmation.
	roundInterval = 500 * time.Millisecond
	// treeInterval is the interval at which the root looks whether it still is the root.
	treeInterval = 300 * time.Millisecond
	// replyTimeout is shorter than the interval of Tick, so that the next member is queried at the
	// next call.
	replyTimeout = 80 * time.Millisecond
	// tickTolerance is how much early a call of Tick may be.
	tickTolerance = 20 * time.Millisecond
	// silentPeriod is how long a parent that did not reply is not queried first.
	silentPeriod = 2 * time.Second
	// rootLoad is the shortest average interval at which all processes together query the root as
	// the last candidate, if its children are not counted.
	rootLoad = 15 * time.Millisecond
	// fullRounds is the number of rounds in vain after which only one in sparseRounds queries other
	// members than the parent, as the store is probably down.
	fullRounds   = 4
	sparseRounds = 4
	// minAdvance is the difference between the times of two confirmations that come from different
	// reads of the store. Smaller ones are due to the times that messages take.
	minAdvance = 100 * time.Millisecond
	// keptQueries is the number of queries whose replies are accepted.
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
	attempt   int           // candidates of this round that were queried in vain
	round     int           // rounds in succession in which all candidates were queried in vain
	unchanged int           // replies in succession without a newer confirmation
	awaiting  bool          // the last query was not answered yet
	last      sentQuery
	sent      [keptQueries]sentQuery
	sentCount int
	// silent is the last parent that did not reply. It is not queried first until silentUntil.
	silent      string
	silentUntil time.Duration
}

// due reports whether it is time for a query. One that has not been answered makes the next
// candidate due.
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

// choose returns the member that is to be queried now, if any.
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
	rounds := uint64(time.Duration(len(t.members)) * rootLoad / roundInterval)
	hash := xxhash.Sum64String(t.members[t.self] + strconv.Itoa(round))
	return rounds <= 1 || hash%rounds == 0
}

// record records that a member is queried.
func (q *queries) record(member string, now time.Duration) {
	q.awaiting, q.last = true, sentQuery{stamp: now, to: member}
	q.sent[q.sentCount%keptQueries] = q.last
	q.sentCount++
}

// take reports whether a reply answers a query that was sent to this member and has not been
// answered before.
func (q *queries) take(from string, stamp time.Duration) bool {
	for i, s := range q.sent {
		if s.to != "" && s.to == from && s.stamp == stamp {
			q.sent[i] = sentQuery{}
			return true
		}
	}
	return false
}

// answered sets the time of the next query after a reply. advanced is set if it brought a newer
// confirmation, and sufficient if the best one is recent enough not to query other candidates.
func (q *queries) answered(from string, stamp, now time.Duration, advanced, sufficient bool) {
	isLast := q.last == sentQuery{stamp: stamp, to: from}
	if isLast {
		q.awaiting = false
	}
	switch {
	case advanced && sufficient:
		q.attempt, q.round, q.unchanged = 0, 0, 0
		q.next = stamp + renewInterval
	case !isLast: // a later query is to be answered
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
