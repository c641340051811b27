package cicadaorigin

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadaview"
)

// Guards against streams that go on at the only version left after all members were killed, though
// another version, which has left meanwhile, began them.
func TestMembersThatWereAllKilledDoNotGuess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(1, 4)
		f.setVersions(all, "v1")
		f.gossip()
		time.Sleep(time.Minute)
		f.members[0].tracker.Begin("stream", Origin{Service: "s", Version: "v1"}, false)
		f.setVersions(all, "v1", "v2")
		f.gossip()
		time.Sleep(time.Second)
		f.history = f.members[0].versions.History()
		f.kill(f.members...)
		f.setVersions(func(*testMember) bool { return false }, "v2")
		time.Sleep(time.Second)
		for _, m := range f.members {
			f.start(m)
		}
		f.gossip()
		time.Sleep(startTime)
		f.gossip()
		origin, err := f.members[1].tracker.Find(t.Context(), "stream", []string{"s"})
		assert.Assert(t, errors.Is(err, ErrUnknown), "found %v", origin)
	})
}

// Guards against streams that are refused for longer than necessary after all members were killed.
func TestVersionsOfTheHistoryExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		versions := NewVersions()
		versions.AwaitHistory()
		versions.SetEndpoints([]cicadaview.Endpoint{{ID: "e", Service: "s", SoftwareVersion: "v2"}})
		time.Sleep(2 * startTime)
		_, ok := versions.Single("s")
		assert.Assert(t, !ok, "the history is not known")
		versions.SetHistory(History{"s": {"v1", "v2"}, "gone": {"v7"}})
		_, ok = versions.Single("s")
		assert.Assert(t, !ok, "streams of v1 may be resumed")
		assert.DeepEqual(t, versions.History(), History{"s": {"v1", "v2"}, "gone": {"v7"}})
		time.Sleep(Lifetime + recordMargin + time.Second)
		version, ok := versions.Single("s")
		assert.Assert(t, ok && version == "v2")
		assert.DeepEqual(t, versions.History(), History{"s": {"v2"}})
	})
}
