// Package cicadajob implements the replicated state of one shard: its batch jobs,
// their items and the claims of calls with an idempotency key. The state is a
// deterministic function of the shard's log, so every process that replays the log
// has the same state.
//
// # Usage
//
//	state := cicadajob.NewState()
//	next, err := log.Replay(ctx, 1, func(seq int64, payload []byte) error {
//		return state.ApplySegment(seq, payload)
//	})
//	job, ok := state.Job("batch-1")
//
// Only the first result recorded for an item is kept; later ones are ignored. A job
// ends only when its end is recorded: after every item has a result, or after the
// job was cancelled or has expired.
package cicadajob

import (
	"slices"
	"sort"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"cicadalink.example/cicadakernel/cicadawire"
)

// States of a job in API responses.
const (
	StateInProgress = "in_progress"
	StateCancelling = "cancelling"
	StateCompleted  = "completed"
	StateCancelled  = "cancelled"
	StateExpired    = "expired"
)

// ErrUnknownJob reports a record for a job that the state does not hold.
var ErrUnknownJob = merry.Sentinel("cicadajob: unknown job")

// A Job is the state of one batch job. It is modified by its State and is not safe
// for concurrent use.
type Job struct {
	accepted    *cicadawire.JobAccepted
	state       string
	done        bitmap
	completed   int64
	failed      int64
	cancelledMs int64
	endedMs     int64
	segments    []int64          // segments that hold results
	claims      map[int64]string // item index to attempt
}

// ID returns the job's ID.
func (j *Job) ID() string { return j.accepted.GetId() }

// Accepted returns the record that created the job. The caller must not modify it.
func (j *Job) Accepted() *cicadawire.JobAccepted { return j.accepted }

// State returns one of the State constants.
func (j *Job) State() string { return j.state }

// Ended reports whether the job has ended.
func (j *Job) Ended() bool { return j.endedMs != 0 }

// EndedMs returns the time when the job ended, in Unix milliseconds, or 0.
func (j *Job) EndedMs() int64 { return j.endedMs }

// Completed returns the number of items that succeeded.
func (j *Job) Completed() int64 { return j.completed }

// Failed returns the number of items that failed.
func (j *Job) Failed() int64 { return j.failed }

// Remaining returns the number of items without a result.
func (j *Job) Remaining() int64 { return j.accepted.GetItems() - j.completed - j.failed }

// Done reports whether an item has a result.
func (j *Job) Done(index int64) bool { return j.done.has(index) }

// Claim returns the attempt that claimed a non-idempotent item without a result,
// if any.
func (j *Job) Claim(index int64) (string, bool) {
	attempt, ok := j.claims[index]
	return attempt, ok
}

// Segments returns the numbers of the segments that hold the job's results.
func (j *Job) Segments() []int64 { return slices.Clone(j.segments) }

// View returns the job as it is sent to other entries and to callers.
func (j *Job) View() *cicadawire.JobView {
	return &cicadawire.JobView{
		Job:         j.accepted,
		State:       j.state,
		Completed:   j.completed,
		Failed:      j.failed,
		EndedMs:     j.endedMs,
		CancelledMs: j.cancelledMs,
		Segments:    j.Segments(),
	}
}

// A Call is the claim of a non-idempotent call, and its outcome if known.
type Call struct {
	claim   *cicadawire.CallClaimed
	settled *cicadawire.CallSettled
}

// Claim returns the record of the claim.
func (c *Call) Claim() *cicadawire.CallClaimed { return c.claim }

// Settled returns the record of the outcome, or nil.
func (c *Call) Settled() *cicadawire.CallSettled { return c.settled }

// callRetention is how long the outcome of a settled call is kept, so that it can
// be returned when the caller repeats the request.
const callRetention = 24 * time.Hour

type callKey struct{ customer, key string }

// A State is the state of one shard. It is not safe for concurrent use.
type State struct {
	epoch    int64
	owner    string
	latestMs int64 // latest time of a claim of a call, in Unix milliseconds
	jobs     map[string]*Job
	keys     map[callKey]string // job ID by customer and idempotency key
	calls    map[callKey]*Call
}

// NewState returns the empty state, before the first segment of the log.
func NewState() *State {
	return &State{
		jobs:  make(map[string]*Job),
		keys:  make(map[callKey]string),
		calls: make(map[callKey]*Call),
	}
}

// Epoch returns the epoch number of the last owner.
func (s *State) Epoch() int64 { return s.epoch }

// Job returns the job with the given ID.
func (s *State) Job(id string) (*Job, bool) {
	j, ok := s.jobs[id]
	return j, ok
}

// JobByKey returns the job that a customer submitted with an idempotency key.
func (s *State) JobByKey(customer, key string) (*Job, bool) {
	id, ok := s.keys[callKey{customer, key}]
	if !ok {
		return nil, false
	}
	return s.Job(id)
}

// Jobs returns the jobs of a customer, or of all customers if customer is empty,
// newest first.
func (s *State) Jobs(customer string) []*Job {
	var found []*Job
	for _, j := range s.jobs {
		if customer == "" || j.accepted.GetCustomer() == customer {
			found = append(found, j)
		}
	}
	sort.Slice(found, func(i, k int) bool {
		a, b := found[i].accepted, found[k].accepted
		if a.GetCreatedMs() != b.GetCreatedMs() {
			return a.GetCreatedMs() > b.GetCreatedMs()
		}
		return a.GetId() < b.GetId()
	})
	return found
}

// Call returns the call that a customer made with an idempotency key.
func (s *State) Call(customer, key string) (*Call, bool) {
	c, ok := s.calls[callKey{customer, key}]
	return c, ok
}

// OpenCalls returns the calls that are not settled, ordered by attempt.
func (s *State) OpenCalls() []*Call {
	var open []*Call
	for _, c := range s.calls {
		if c.settled == nil {
			open = append(open, c)
		}
	}
	sort.Slice(open, func(i, k int) bool { return open[i].claim.GetAttempt() < open[k].claim.GetAttempt() })
	return open
}

// ApplySegment applies an encoded segment.
func (s *State) ApplySegment(seq int64, payload []byte) error {
	segment := &cicadawire.Segment{}
	if err := proto.Unmarshal(payload, segment); err != nil {
		return merry.Errorf("decode segment: %w", err)
	}
	s.Apply(seq, segment.GetRecords())
	return nil
}

// Apply applies the records of segment seq. It ignores obsolete records, such as a
// second result for an item.
func (s *State) Apply(seq int64, records []*cicadawire.Record) {
	for _, record := range records {
		s.applyRecord(seq, record)
	}
}

func (s *State) applyRecord(seq int64, record *cicadawire.Record) {
	switch kind := record.GetKind().(type) {
	case *cicadawire.Record_Epoch:
		s.epoch, s.owner = kind.Epoch.GetNumber(), kind.Epoch.GetOwner()
	case *cicadawire.Record_JobAccepted:
		s.accept(kind.JobAccepted)
	case *cicadawire.Record_ItemDone:
		s.finishItem(seq, kind.ItemDone)
	case *cicadawire.Record_ItemClaimed:
		s.claimItem(kind.ItemClaimed)
	case *cicadawire.Record_JobCancelled:
		s.cancel(kind.JobCancelled)
	case *cicadawire.Record_JobEnded:
		s.end(kind.JobEnded)
	case *cicadawire.Record_JobForgotten:
		s.forget(kind.JobForgotten.GetJob())
	case *cicadawire.Record_CallClaimed:
		s.claimCall(kind.CallClaimed)
	case *cicadawire.Record_CallSettled:
		s.settleCall(kind.CallSettled)
	}
}

func (s *State) accept(accepted *cicadawire.JobAccepted) {
	if _, known := s.jobs[accepted.GetId()]; known {
		return
	}
	s.jobs[accepted.GetId()] = &Job{accepted: accepted, state: StateInProgress, claims: make(map[int64]string)}
	s.keys[callKey{accepted.GetCustomer(), accepted.GetKey()}] = accepted.GetId()
}

func (s *State) finishItem(seq int64, item *cicadawire.ItemDone) {
	j, ok := s.jobs[item.GetJob()]
	if !ok || j.Ended() || item.GetIndex() < 0 || item.GetIndex() >= j.accepted.GetItems() || !j.done.set(item.GetIndex()) {
		return
	}
	if item.GetFailed() {
		j.failed++
	} else {
		j.completed++
	}
	delete(j.claims, item.GetIndex())
	if n := len(j.segments); n == 0 || j.segments[n-1] != seq {
		j.segments = append(j.segments, seq)
	}
}

func (s *State) claimItem(claim *cicadawire.ItemClaimed) {
	j, ok := s.jobs[claim.GetJob()]
	if !ok || j.Ended() || j.Done(claim.GetIndex()) {
		return
	}
	if j.claims[claim.GetIndex()] == claim.GetReplaces() {
		j.claims[claim.GetIndex()] = claim.GetAttempt()
	}
}

func (s *State) cancel(cancelled *cicadawire.JobCancelled) {
	j, ok := s.jobs[cancelled.GetJob()]
	if !ok || j.Ended() || j.cancelledMs != 0 {
		return
	}
	j.cancelledMs = cancelled.GetAtMs()
	j.state = StateCancelling
}

func (s *State) end(ended *cicadawire.JobEnded) {
	j, ok := s.jobs[ended.GetJob()]
	if !ok || j.Ended() {
		return
	}
	j.endedMs = ended.GetAtMs()
	j.state = ended.GetState()
	j.claims = nil
}

func (s *State) forget(id string) {
	j, ok := s.jobs[id]
	if !ok {
		return
	}
	delete(s.jobs, id)
	delete(s.keys, callKey{j.accepted.GetCustomer(), j.accepted.GetKey()})
}

func (s *State) claimCall(claim *cicadawire.CallClaimed) {
	key := callKey{claim.GetCustomer(), claim.GetKey()}
	s.latestMs = max(s.latestMs, claim.GetAtMs())
	if _, claimed := s.calls[key]; claimed {
		return
	}
	s.calls[key] = &Call{claim: claim}
}

func (s *State) settleCall(settled *cicadawire.CallSettled) {
	key := callKey{settled.GetCustomer(), settled.GetKey()}
	c, ok := s.calls[key]
	if !ok || c.settled != nil || c.claim.GetAttempt() != settled.GetAttempt() {
		return
	}
	if settled.GetOutcome() == cicadawire.Settlement_RELEASED {
		delete(s.calls, key)
		return
	}
	c.settled = settled
}

// expireCalls removes settled calls whose claim is older than callRetention. It
// compares only times from the log, so that every owner removes the same calls.
func (s *State) expireCalls() {
	for key, c := range s.calls {
		if c.settled != nil && c.claim.GetAtMs() < s.latestMs-callRetention.Milliseconds() {
			delete(s.calls, key)
		}
	}
}

// OldestSegment returns the number of the oldest segment that holds results of a
// known job, or next if there is none.
func (s *State) OldestSegment(next int64) int64 {
	oldest := next
	for _, j := range s.jobs {
		if len(j.segments) > 0 {
			oldest = min(oldest, j.segments[0])
		}
	}
	return oldest
}
