package cicadaorigin

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a stream that begins at an unregistered incarnation, and is taken for one of the
// only version that the members know because the records of it were lost: its caller must get
// nothing.
func TestLostRecordOfAnUnregisteredIncarnationIsNotASingleVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(1, 9)
		f.setIncarnation("v1", 1)
		time.Sleep(2 * startTime)
		f.setCut(f.members[0], true) // from the members, not from its callers
		err := f.members[0].tracker.BeginUnregistered(t.Context(), "stream", "s", Incarnation{Endpoint: "e1", StartedMs: 2})
		assert.ErrorIs(t, err, ErrUnrecorded)
		for _, m := range f.members[1:] {
			assert.NilError(t, m.tracker.BeginUnregistered(t.Context(), m.name, "s", Incarnation{Endpoint: "e1", StartedMs: 2}))
		}
		time.Sleep(time.Second)
		for _, m := range f.members[1:] {
			for _, other := range f.members[1:] {
				origin, err := m.tracker.Find(t.Context(), other.name, []string{"s"})
				assert.Assert(t, errors.Is(err, ErrUnknown) || origin == unknownVersion, "%v, %v at %s", origin, err, m.name)
			}
		}
	})
}

// Guards against a member with the first record of a stream, and without the later one that has
// its version, that asks no other member.
func TestRecordWithoutAVersionIsCompletedByOtherMembers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(1, 9)
		f.setIncarnation("v1", 1)
		time.Sleep(2 * startTime)
		assert.NilError(t, f.members[0].tracker.BeginUnregistered(t.Context(), "stream", "s", Incarnation{Endpoint: "e1", StartedMs: 2}))
		time.Sleep(time.Second)
		var holder *testMember
		for _, m := range f.members[1:] {
			if _, ok := m.tracker.Origin("stream"); ok {
				holder = m
			}
		}
		assert.Assert(t, holder != nil)
		f.setCut(holder, true)
		f.setIncarnation("v2", 2)
		time.Sleep(time.Second)
		f.setCut(holder, false)
		origin, err := holder.tracker.Find(t.Context(), "stream", []string{"s"})
		assert.NilError(t, err)
		assert.Equal(t, origin, Origin{Service: "s", Version: "v2"})
	})
}
