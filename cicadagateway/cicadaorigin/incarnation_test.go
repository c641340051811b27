package cicadaorigin

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadaview"
)

var unknownVersion = Origin{Service: "s", Version: cicadaview.UnknownVersion}

// setIncarnation tells all members that an endpoint is registered.
func (f *testFleet) setIncarnation(version string, startedMs int64) {
	f.endpoints = []cicadaview.Endpoint{
		{ID: "e0", Service: "s", SoftwareVersion: "v1", Slots: 1, StartedMs: 1},
		{ID: "e1", Service: "s", SoftwareVersion: version, Slots: 1, StartedMs: startedMs},
	}
	for _, m := range f.members {
		m.versions.SetEndpoints(f.endpoints)
		m.tracker.Update()
	}
}

// Guards against streams that begin at the first endpoint of a new software version before it is
// registered, and are taken for streams of the only version that the members know.
func TestStreamOfAnUnregisteredIncarnationIsNotOfTheOnlyVersion(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newTestFleet(1, 9)
		f.setIncarnation("v1", 1)
		time.Sleep(2 * startTime)
		assert.NilError(t, f.members[0].tracker.BeginUnregistered(t.Context(), "stream", "s", Incarnation{Endpoint: "e1", StartedMs: 2}))
		f.members[0].tracker.End("stream")
		time.Sleep(time.Second)
		for _, m := range f.members {
			origin, err := m.tracker.Find(t.Context(), "stream", []string{"s"})
			assert.Assert(t, errors.Is(err, ErrUnknown) || origin == unknownVersion, "%v, %v at %s", origin, err, m.name)
		}
		f.setIncarnation("v2", 2)
		time.Sleep(time.Second)
		for _, m := range f.members {
			origin, err := m.tracker.Find(t.Context(), "stream", []string{"s"})
			assert.NilError(t, err)
			assert.Equal(t, origin, Origin{Service: "s", Version: "v2"}, "at %s", m.name)
		}
	})
}

// Guards against a registration that arrives while a stream begins and is missed.
func TestStreamIsOfTheVersionThatWasRegisteredMeanwhile(t *testing.T) {
	versions := NewVersions()
	tracker := NewTracker("me", versions)
	versions.SetEndpoints([]cicadaview.Endpoint{{ID: "e", Service: "s", SoftwareVersion: "v2", StartedMs: 2}})
	assert.NilError(t, tracker.BeginUnregistered(t.Context(), "stream", "s", Incarnation{Endpoint: "e", StartedMs: 2}))
	origin, ok := tracker.Origin("stream")
	assert.Assert(t, ok)
	assert.Equal(t, origin, Origin{Service: "s", Version: "v2"})
}

// Guards against incarnations that are forgotten while they are registered, and against those
// that are kept without end.
func TestIncarnationsAreForgottenAfterTheyLeave(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		versions := NewVersions()
		first, second := Incarnation{Endpoint: "e", StartedMs: 1}, Incarnation{Endpoint: "e", StartedMs: 2}
		set := func(i Incarnation, version string) {
			versions.SetEndpoints([]cicadaview.Endpoint{{ID: i.Endpoint, Service: "s", SoftwareVersion: version, StartedMs: i.StartedMs}})
		}
		set(first, "v1")
		time.Sleep(2 * Lifetime)
		set(second, "v2")
		version, ok := versions.VersionOf(first)
		assert.Assert(t, ok && version == "v1", "it was registered until now")
		time.Sleep(2 * Lifetime)
		set(second, "v2")
		_, ok = versions.VersionOf(first)
		assert.Assert(t, !ok)
		version, ok = versions.VersionOf(second)
		assert.Assert(t, ok && version == "v2")
	})
}

// Guards against a late record of unknown version that replaces the one with the version, and
// against streams of incarnations that never register and are kept without end.
func TestUnknownVersionsGiveWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tracker := NewTracker("me", NewVersions())
		found := Origin{Service: "s", Version: "v2"}
		tracker.Receive(Message{Records: []Record{{Stream: "stream", Origin: found}}})
		tracker.Receive(Message{Records: []Record{{Stream: "stream", Origin: unknownVersion}}})
		origin, ok := tracker.Origin("stream")
		assert.Assert(t, ok)
		assert.Equal(t, origin, found)
		assert.NilError(t, tracker.BeginUnregistered(t.Context(), "other", "s", Incarnation{Endpoint: "e", StartedMs: 2}))
		time.Sleep(Lifetime + time.Second)
		tracker.Update()
		assert.Equal(t, len(tracker.unregistered), 0)
	})
}
