package cicadajob

import (
	"slices"
	"sort"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"cicadalink.example/cicadakernel/cicadawire"
)

// Encode returns the state as a snapshot. The encoding is deterministic: equal
// states have equal snapshots.
func (s *State) Encode() ([]byte, error) {
	s.expireCalls()
	msg := &cicadawire.ShardSnapshot{Epoch: s.epoch, LatestMs: s.latestMs}
	for _, j := range s.Jobs("") {
		msg.Jobs = append(msg.Jobs, j.encode())
	}
	for _, c := range s.calls {
		msg.Calls = append(msg.Calls, &cicadawire.CallState{Claim: c.claim, Settled: c.settled})
	}
	sort.Slice(msg.Calls, func(i, k int) bool {
		return msg.Calls[i].GetClaim().GetAttempt() < msg.Calls[k].GetClaim().GetAttempt()
	})
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(msg)
	if err != nil {
		return nil, merry.Errorf("encode shard snapshot: %w", err)
	}
	return data, nil
}

func (j *Job) encode() *cicadawire.JobState {
	msg := &cicadawire.JobState{
		Job:         j.accepted,
		State:       j.state,
		Done:        j.done,
		Completed:   j.completed,
		Failed:      j.failed,
		CancelledMs: j.cancelledMs,
		EndedMs:     j.endedMs,
		Segments:    slices.Clone(j.segments),
	}
	for index, attempt := range j.claims {
		msg.Claims = append(msg.Claims, &cicadawire.ItemClaimed{Index: index, Attempt: attempt})
	}
	sort.Slice(msg.Claims, func(i, k int) bool { return msg.Claims[i].GetIndex() < msg.Claims[k].GetIndex() })
	return msg
}

// DecodeState returns the state held by an encoded snapshot.
func DecodeState(data []byte) (*State, error) {
	msg := &cicadawire.ShardSnapshot{}
	if err := proto.Unmarshal(data, msg); err != nil {
		return nil, merry.Errorf("decode shard snapshot: %w", err)
	}
	s := NewState()
	s.epoch, s.latestMs = msg.GetEpoch(), msg.GetLatestMs()
	for _, stored := range msg.GetJobs() {
		s.accept(stored.GetJob())
		s.jobs[stored.GetJob().GetId()].decode(stored)
	}
	for _, stored := range msg.GetCalls() {
		claim := stored.GetClaim()
		s.calls[callKey{claim.GetCustomer(), claim.GetKey()}] = &Call{claim: claim, settled: stored.GetSettled()}
	}
	return s, nil
}

func (j *Job) decode(stored *cicadawire.JobState) {
	j.state = stored.GetState()
	j.done = stored.GetDone()
	j.completed = stored.GetCompleted()
	j.failed = stored.GetFailed()
	j.cancelledMs = stored.GetCancelledMs()
	j.endedMs = stored.GetEndedMs()
	j.segments = stored.GetSegments()
	for _, claim := range stored.GetClaims() {
		j.claims[claim.GetIndex()] = claim.GetAttempt()
	}
}
