package cicadaorigin

import (
	"errors"
	"flag"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadaview"
)

var (
	seeds = flag.Int("seeds", 20, "number of seeds")
	first = flag.Int("first", 1, "first seed")
)

const (
	transit     = time.Millisecond
	detection   = 1200 * time.Millisecond // until the death of a member is known
	takeUpDelay = 50 * time.Millisecond   // from the death of an entry to its callers' return
)

// testFleet is a number of members that exchange messages, of which some are lost. Members
// die, and are replaced under their names without what they knew.
type testFleet struct {
	random    *rand.Rand
	seed      uint64
	mu        sync.Mutex // guards the state of members
	endpoints []cicadaview.Endpoint
	members   []*testMember
	history   History // as a member has stored it
}

type testMember struct {
	name     string
	tracker  *Tracker
	versions *Versions
	dead     bool
	cut      bool // gets and sends no messages
}

func newTestFleet(seed uint64, n int) *testFleet {
	f := &testFleet{random: rand.New(rand.NewPCG(seed, 0)), seed: seed}
	for i := range n {
		f.members = append(f.members, &testMember{name: fmt.Sprint("member-", i)})
	}
	for _, m := range f.members {
		f.start(m)
	}
	return f
}

func (f *testFleet) start(m *testMember) {
	f.mu.Lock()
	m.dead, m.versions = false, NewVersions()
	var tracker *Tracker
	tracker = NewTracker(m.name, m.versions, WithSend(func(to string, message Message) { f.deliver(m, tracker, to, message) }))
	m.tracker = tracker
	f.mu.Unlock()
	m.versions.SetHistory(f.history)
	m.versions.SetEndpoints(f.endpoints)
	f.introduce(m)
}

// introduce tells a member of the others that are live.
func (f *testFleet) introduce(m *testMember) {
	var names []string
	for _, other := range f.members {
		if other != m {
			names = append(names, other.name)
		}
	}
	m.tracker.SetMembers(names)
}

// lost reports whether a message is lost, as one in a hundred is. It does not depend on the
// order of messages that are sent at the same time.
func (f *testFleet) lost(to string, message Message) bool {
	about := message.Query
	switch {
	case message.Reply != nil:
		about = message.Reply.Stream
	case len(message.Records) > 0:
		about = message.Records[0].Stream
	}
	return xxhash.Sum64String(fmt.Sprint(f.seed, time.Now().UnixNano(), message.From, to, about))%100 == 0
}

func (f *testFleet) deliver(from *testMember, sender *Tracker, to string, message Message) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if from.dead || from.cut || from.tracker != sender || f.lost(to, message) {
		return
	}
	for _, m := range f.members {
		if m.name == to {
			receiver := m.tracker
			time.AfterFunc(transit, func() {
				if f.reachable(m, receiver) {
					receiver.Receive(message)
				}
			})
		}
	}
}

func (f *testFleet) reachable(m *testMember, tracker *Tracker) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !m.dead && !m.cut && m.tracker == tracker
}

// setCut sets whether a member gets and sends no messages.
func (f *testFleet) setCut(m *testMember, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m.cut = cut
}

func (f *testFleet) kill(members ...*testMember) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, m := range members {
		m.dead = true
	}
}

// gossip lets all members know the digests of the others.
func (f *testFleet) gossip() {
	for _, m := range f.members {
		for _, other := range f.members {
			if m != other && !m.dead && !other.dead && !m.cut && !other.cut {
				m.versions.SetPeer(other.name, other.versions.Digest())
			}
		}
		m.tracker.Update()
	}
}

func (f *testFleet) setVersions(known func(*testMember) bool, versions ...string) {
	f.endpoints = nil
	for i, v := range versions {
		f.endpoints = append(f.endpoints, cicadaview.Endpoint{ID: fmt.Sprint("e", i), Service: "s", SoftwareVersion: v, Slots: 1})
	}
	for _, m := range f.members {
		if known(m) {
			m.versions.SetEndpoints(f.endpoints)
		}
	}
}

func all(*testMember) bool { return true }

// takeUp kills a share of the members while each serves streams, and lets the callers of
// these return to others. It returns how many streams were taken up, and how many of them
// were found.
func (f *testFleet) takeUp(t *testing.T, share float64, versions []string) (taken, found int) {
	type stream struct {
		id     string
		origin Origin
	}
	var streams []stream
	var killed []*testMember
	for i, m := range f.members {
		if f.random.Float64() >= share {
			continue
		}
		killed = append(killed, m)
		for k := range 4 {
			s := stream{fmt.Sprintf("%d-%d-%d", i, k, f.random.Uint64()), Origin{Service: "s", Version: versions[f.random.IntN(len(versions))]}}
			m.tracker.Begin(s.id, s.origin, false)
			streams = append(streams, s)
		}
	}
	time.Sleep(2 * transit)
	f.kill(killed...)
	time.Sleep(takeUpDelay)
	for _, s := range streams {
		m := f.members[f.random.IntN(len(f.members))]
		if m.dead {
			continue
		}
		taken++
		start := time.Now()
		origin, err := m.tracker.Find(t.Context(), s.id, []string{"s"})
		assert.Assert(t, time.Since(start) <= (lookupTries+1)*lookupInterval)
		if errors.Is(err, ErrUnknown) {
			continue
		}
		found++
		assert.Equal(t, origin, s.origin, "stream %s", s.id)
	}
	for _, m := range killed {
		f.start(m)
	}
	f.gossip()
	return taken, found
}

// Guards against streams that go on at another version after their entries were killed.
// While two versions serve, a third of the members dies again and again, and messages are
// lost. An origin that is found is right, and nine in ten are found.
func TestOriginsSurviveTheirEntries(t *testing.T) {
	for seed := *first; seed < *first+*seeds; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(uint64(seed), 5+seed%3*30)
				f.setVersions(all, "v1", "v2")
				time.Sleep(2 * startTime)
				f.gossip()
				taken, found := 0, 0
				for range 12 {
					a, b := f.takeUp(t, 0.35, []string{"v1", "v2"})
					taken, found = taken+a, found+b
					time.Sleep(detection)
				}
				assert.Assert(t, found*10 >= taken*9, "%d of %d found", found, taken)
			})
		})
	}
}

// Guards against streams that are refused although only one version can have begun them:
// after the other version has left, records are needed for Lifetime and no longer.
func TestOriginsWithoutRecords(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(1, 9)
		f.setVersions(all, "v1", "v1")
		time.Sleep(2 * startTime)
		f.gossip()
		find := func() error {
			_, err := f.members[0].tracker.Find(t.Context(), "unrecorded", []string{"s"})
			return err
		}
		assert.NilError(t, find())
		f.setVersions(all, "v1", "v2")
		f.gossip()
		assert.ErrorIs(t, find(), ErrUnknown)
		f.setVersions(all, "v2")
		f.gossip()
		time.Sleep(Lifetime - time.Second)
		assert.ErrorIs(t, find(), ErrUnknown)
		time.Sleep(2 * time.Second)
		f.gossip()
		assert.NilError(t, find())
	})
}

// Guards against streams whose origin is lost because their version was the only one when
// they began: they are recorded when another version is registered.
func TestRunningStreamsAreRecordedWhenAVersionIsAdded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(1, 9)
		f.setVersions(all, "v1")
		time.Sleep(2 * startTime)
		f.gossip()
		entry := f.members[3]
		for i := range 200 {
			entry.tracker.Begin(fmt.Sprint("stream-", i), Origin{Service: "s", Version: "v1"}, false)
		}
		time.Sleep(time.Second)
		f.setVersions(func(m *testMember) bool { return m != entry }, "v1", "v2")
		f.gossip() // the entry learns from another member that there is a version
		time.Sleep(2 * transit)
		f.kill(entry)
		found := 0
		for i := range 200 {
			origin, err := f.members[0].tracker.Find(t.Context(), fmt.Sprint("stream-", i), []string{"s"})
			if err == nil {
				found++
				assert.Equal(t, origin.Version, "v1")
			}
		}
		assert.Assert(t, found >= 190, "%d of 200 found", found)
	})
}

// Guards against streams that are refused because their route has two services, of which each
// has one version.
func TestStreamsOfRoutesWithTwoServicesAreRecorded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(1, 9)
		f.setVersions(all, "v1")
		time.Sleep(2 * startTime)
		f.gossip()
		f.members[3].tracker.Begin("stream", Origin{Service: "s", Version: "v1"}, true)
		time.Sleep(2 * transit)
		f.kill(f.members[3])
		origin, err := f.members[0].tracker.Find(t.Context(), "stream", []string{"other", "s"})
		assert.NilError(t, err)
		assert.Equal(t, origin.Service, "s")
	})
}

// Guards against a guess of a member that is cut off and does not know of a new version.
func TestIsolatedMemberDoesNotGuess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(1, 9)
		f.setVersions(all, "v1")
		time.Sleep(2 * startTime)
		f.gossip()
		m := f.members[0]
		f.setCut(m, true)
		f.setVersions(func(other *testMember) bool { return other != m }, "v1", "v2")
		m.versions.KeepPeers(nil)
		m.versions.SetIsolated(true)
		_, err := m.tracker.Find(t.Context(), "begun-elsewhere-at-v2", []string{"s"})
		assert.ErrorIs(t, err, ErrUnknown)
	})
}

// Guards against streams that go on at the version that a member knew before it was suspended or
// cut off, which it has not noticed yet.
func TestMemberThatMissedAReleaseDoesNotGuess(t *testing.T) {
	for name, reconnect := range map[string]bool{"goes on": true, "is cut off": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newTestFleet(1, 9)
				f.setVersions(all, "v1")
				time.Sleep(2 * startTime)
				f.gossip()
				m, entry := f.members[0], f.members[3]
				f.setCut(m, true)
				f.setVersions(func(other *testMember) bool { return other != m }, "v1", "v2")
				f.gossip()
				const streams = 200
				for i := range streams {
					entry.tracker.Begin(fmt.Sprint("stream-", i), Origin{Service: "s", Version: "v2"}, false)
				}
				time.Sleep(2 * transit)
				f.setCut(m, !reconnect)
				found := 0
				for i := range streams {
					origin, err := m.tracker.Find(t.Context(), fmt.Sprint("stream-", i), []string{"s"})
					if err != nil {
						assert.ErrorIs(t, err, ErrUnknown)
						continue
					}
					found++
					assert.Equal(t, origin.Version, "v2")
				}
				if reconnect {
					assert.Assert(t, found*10 >= streams*9, "%d of %d found", found, streams)
				} else {
					assert.Equal(t, found, 0)
				}
			})
		})
	}
}

// Guards against streams of the only version that are refused, or held up, because some of the
// members that are asked are dead.
func TestSingleVersionIsFoundBesideDeadMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(1, 9)
		f.setVersions(all, "v1")
		time.Sleep(2 * startTime)
		f.gossip()
		find := func(i int) time.Duration {
			start := time.Now()
			origin, err := f.members[0].tracker.Find(t.Context(), fmt.Sprint("stream-", i), []string{"s"})
			assert.NilError(t, err)
			assert.Equal(t, origin.Version, "v1")
			return time.Since(start)
		}
		for i := range 100 {
			assert.Assert(t, find(i) <= 2*transit+lookupInterval, "no member is dead")
		}
		f.kill(f.members[5:]...)
		for i := range 100 {
			assert.Assert(t, find(i) <= (lookupTries+1)*lookupInterval)
		}
	})
}

// A member that has just started has not heard yet of versions that others know.
func TestStartingMemberDoesNotGuess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(1, 3)
		f.setVersions(all, "v1")
		_, err := f.members[0].tracker.Find(t.Context(), "stream", []string{"s"})
		assert.ErrorIs(t, err, ErrUnknown)
	})
}

// Guards against streams that are refused because all members have just started, although
// they agree that one version serves.
func TestStartedMembersThatAgreeDoNotRefuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(1, 3)
		f.setVersions(all, "v1")
		f.gossip()
		origin, err := f.members[0].tracker.Find(t.Context(), "stream", []string{"s"})
		assert.NilError(t, err)
		assert.Equal(t, origin.Version, "v1")
	})
}

// The memory for records is limited, and they expire.
func TestRecordsExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := NewTracker("me", NewVersions())
		for i := range maxRecords + 10 {
			tracker.Receive(Message{From: "other", Records: []Record{{Stream: fmt.Sprint(i), Origin: Origin{Service: "s", Version: "v"}}}})
		}
		assert.Equal(t, len(tracker.records.byStream), maxRecords)
		_, ok := tracker.known("5")
		assert.Equal(t, ok, false)
		_, ok = tracker.known("500")
		assert.Equal(t, ok, true)
		time.Sleep(Lifetime + time.Second)
		_, ok = tracker.known("500")
		assert.Equal(t, ok, false)
		tracker.Receive(Message{From: "other", Records: []Record{{Stream: "new"}}})
		assert.Equal(t, len(tracker.records.byStream), 1)
	})
}

// Lists of members that differ by a few choose mostly the same members.
func TestRank(t *testing.T) {
	var members []string
	for i := range 730 {
		members = append(members, fmt.Sprint("member-", i))
	}
	hits := 0
	for i := range 1000 {
		id := fmt.Sprint("stream-", i)
		asked := rank(id, hashMembers(members[10:]), askedMembers)
		for _, holder := range rank(id, hashMembers(members[:720]), holders) {
			for _, other := range asked {
				if other == holder {
					hits++
				}
			}
		}
	}
	assert.Assert(t, hits >= 2900, "%d of 3000", hits)
	assert.Equal(t, len(rank("x", hashMembers(members[:2]), holders)), 2)
}

func BenchmarkBegin(b *testing.B) {
	versions := NewVersions()
	tracker := NewTracker("me", versions)
	var members []string
	for i := range 730 {
		members = append(members, fmt.Sprint("member-", i))
	}
	tracker.SetMembers(members)
	for i := 0; b.Loop(); i++ {
		tracker.Begin(fmt.Sprint(i), Origin{Service: "s", Version: "v"}, false)
	}
}

// A record fits the design size: at 34,000 streams a second, 730 members, three copies and 28
// bytes of headers, a member spends less than 19 KB a second on them.
func TestRecordsFitTheDesignSize(t *testing.T) {
	message, err := cbor.Marshal(Message{Records: []Record{{
		Stream: "92221cac542c4197", Origin: Origin{Service: "order-assistant", Version: "v1.1"},
	}}})
	assert.NilError(t, err)
	perSecond := 34000.0 / 730 * holders * float64(len(message)+28)
	t.Logf("%d bytes a record, %.0f bytes a second", len(message), perSecond)
	assert.Assert(t, perSecond < 19000)
}
