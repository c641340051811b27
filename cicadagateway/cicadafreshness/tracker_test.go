package cicadafreshness

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"cicadalink.example/cicadagateway/cicadaorigin"
)

// A single is a Tracker whose messages and calls are recorded.
type single struct {
	*Tracker
	now   time.Duration
	sent  []Message
	to    []string
	reads int
	newer []int64
}

func newSingle(limit time.Duration) *single {
	s := &single{now: time.Hour}
	s.Tracker = New("b", limit, func(to string, m Message) { s.to, s.sent = append(s.to, to), append(s.sent, m) },
		WithClock(func() time.Duration { return s.now }), WithMembers(func() []string { return []string{"a", "b", "c"} }),
		WithCoordinator(func() string { return "a" }), WithRead(func() { s.reads++ }),
		WithOnNewer(func(version int64) { s.newer = append(s.newer, version) }))
	return s
}

// query returns the last query.
func (s *single) query() Query { return *s.sent[len(s.sent)-1].Query }

func (s *single) tick(n int) {
	for range n {
		s.now += TickInterval
		s.Tick()
	}
}

// answer replies as the member that was queried last.
func (s *single) answer(q Query, version int64, age time.Duration) {
	s.Receive(Message{From: s.to[len(s.to)-1], Reply: &Reply{Query: q, Version: version, Age: age}})
}

// Guards against a reply that arrives very late and counts from its arrival.
func TestLateReplyIsAsOldAsItsQuery(t *testing.T) {
	s := newSingle(testLimit)
	s.SetVersion(1)
	s.tick(1)
	q := s.query()
	s.now += testLimit
	s.answer(q, 1, 100*time.Millisecond)
	age, ok := s.Age()
	assert.Assert(t, ok && age == testLimit+100*time.Millisecond, "%s", age)
	assert.Assert(t, !s.Fresh())
}

// Guards against replies to queries that this process did not send, or sent long ago, and against
// impossible ages.
func TestReplyToUnknownQueryIsIgnored(t *testing.T) {
	s := newSingle(testLimit)
	s.SetVersion(1)
	s.tick(1)
	q := s.query()
	other := q
	other.Incarnation++
	s.answer(other, 1, 0)
	other = q
	other.Stamp += time.Second
	s.answer(other, 1, 0)
	s.Receive(Message{From: "d", Reply: &Reply{Query: q, Version: 1}})
	assert.Assert(t, !s.Fresh())
	s.answer(q, 1, -time.Second)
	assert.Assert(t, !s.Fresh())
	s.tick(1)
	s.answer(s.query(), 1, 1<<62)
	assert.Assert(t, !s.Fresh())
}

// Guards against a version that a peer with an older one confirms, and against one that a newer
// one has replaced.
func TestVersionsOfReplies(t *testing.T) {
	s := newSingle(testLimit)
	s.SetVersion(2)
	s.tick(1)
	s.answer(s.query(), 1, 0)
	assert.Assert(t, !s.Fresh())
	s.tick(1)
	s.answer(s.query(), 3, 0)
	assert.Assert(t, !s.Fresh())
	assert.DeepEqual(t, s.newer, []int64{3})
	for range 30 {
		queries := len(s.sent)
		if s.tick(1); len(s.sent) > queries {
			s.answer(s.query(), 3, 0)
		}
	}
	assert.Assert(t, len(s.newer) <= 5, "%d reports in 3 s", len(s.newer))
	s.SetVersion(3)
	assert.Assert(t, s.Fresh())
	s.SetVersion(2)
	assert.Assert(t, !s.Fresh())
	s.RecordRead(5, s.now)
	s.SetVersion(4)
	assert.Assert(t, !s.Fresh(), "version 5 is confirmed, not version 4")
	s.SetVersion(5)
	assert.Assert(t, s.Fresh())
}

// Guards against a read that began before another one and ends after it, and against a store that
// lags.
func TestReadsOutOfOrder(t *testing.T) {
	s := newSingle(testLimit)
	s.SetVersion(2)
	s.RecordRead(2, s.now-time.Second)
	s.RecordRead(2, s.now-2*time.Second)
	s.RecordRead(1, s.now)
	age, _ := s.Age()
	assert.Equal(t, age, time.Second)
	s.now += testLimit - time.Second
	assert.Assert(t, s.Fresh())
	s.now++
	assert.Assert(t, !s.Fresh())
}

// Guards against a process that loses its confirmation although the version that was read comes
// into force only a moment later.
func TestNewVersionComesIntoForceAfterRead(t *testing.T) {
	s := newSingle(testLimit)
	s.SetVersion(1)
	s.RecordRead(1, s.now)
	s.now += time.Second
	s.RecordRead(2, s.now)
	assert.Assert(t, s.Fresh())
	s.now += time.Second
	s.SetVersion(2)
	age, _ := s.Age()
	assert.Equal(t, age, time.Second)
}

// Guards against a store that is read too often by a process which gets no confirmation.
func TestReadsAreLimited(t *testing.T) {
	s := newSingle(testLimit)
	s.tick(4)
	assert.Assert(t, s.reads <= 1)
	s.tick(6)
	assert.Equal(t, s.reads, 1)
	s.tick(100)
	assert.Assert(t, s.reads >= 3 && s.reads <= 5, "%d reads in 11 s", s.reads)
}

// Guards against a parent that is queried again and again without a reply, while others may know.
func TestNextCandidateIsQueried(t *testing.T) {
	s := newSingle(testLimit)
	s.tick(3)
	assert.DeepEqual(t, s.to, []string{"a", "c"})
	s.tick(30)
	assert.Assert(t, len(s.to) <= 12, "%d queries in 3.3 s", len(s.to))
}

// Guards against datagrams of other kinds that are taken for messages of this package, and the other
// way round.
func TestMessagesDifferFromThoseOfOtherKinds(t *testing.T) {
	b, err := cbor.Marshal(cicadaorigin.Message{From: "a", Query: "stream"})
	assert.NilError(t, err)
	var m Message
	assert.NilError(t, cbor.Unmarshal(b, &m))
	assert.Assert(t, m.Empty() && m.From == "")
	b, err = cbor.Marshal(Message{From: "a", Query: &Query{Stamp: time.Second}})
	assert.NilError(t, err)
	var other cicadaorigin.Message
	assert.NilError(t, cbor.Unmarshal(b, &other))
	assert.Assert(t, other.From == "" && other.Query == "" && other.Reply == nil)
	assert.NilError(t, cbor.Unmarshal(b, &m))
	assert.Assert(t, !m.Empty() && m.Query.Stamp == time.Second)
}

// Guards against members without a parent, and against parents with too many children.
func TestTree(t *testing.T) {
	names := []string{"a", "c", "d"}
	assert.DeepEqual(t, newTree("b", "c", names, 2).members, []string{"c", "a", "b", "d"})
	assert.DeepEqual(t, newTree("b", "b", names, 2).members, []string{"b", "a", "c", "d"})
	assert.DeepEqual(t, newTree("b", "", names, 2).members, []string{"a", "b", "c", "d"})
	members := make([]string, 5000)
	for i := range members {
		members[i] = string(rune('a'+i/1000)) + string(rune('0'+i/100%10)) + string(rune('0'+i/10%10)) + string(rune('0'+i%10))
	}
	children := make(map[string]int)
	depth := 0
	for i := 1; i < len(members); i++ {
		tree := tree{members: members, self: i, fanOut: defaultFanOut}
		depth = max(depth, tree.level())
		candidates := tree.candidates(i)
		children[candidates[0]]++
		assert.Assert(t, len(candidates) >= 1+alternatives)
		assert.Assert(t, candidates[0] != members[i] && candidates[1] != members[i])
	}
	assert.Equal(t, depth, 4)
	for _, n := range children {
		assert.Assert(t, n <= defaultFanOut)
	}
}
