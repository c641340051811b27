package cicadadeployment

import (
	"testing"
	"time"

	"github.com/sourcegraph/conc"
	"gotest.tools/v3/assert"
)

// startUpgradeDeployment starts an entry with two engines of version v1 that are down for a
// moment when they restart.
func startUpgradeDeployment(t *testing.T) *Deployment {
	t.Helper()
	d, err := Start(t.Context(), WithEntries(1), WithEngines(2), WithSoftwareVersions("v1", "v1"),
		WithTokenTime(3*time.Millisecond), WithDownTime(30*time.Millisecond))
	assert.NilError(t, err)
	t.Cleanup(d.Close)
	waitUntil(t, func() bool { return d.reportedVersions(0) == 1 })
	return d
}

// startStream starts a stream, which must be complete and have the text of a version. It
// returns when the stream is running, with the number of its engine.
func (d *Deployment) startStream(t *testing.T, version string) (engine int, tasks *conc.WaitGroup) {
	t.Helper()
	tasks = &conc.WaitGroup{}
	before := d.Engine(0).Tokens() + d.Engine(1).Tokens()
	tasks.Go(func() {
		text, complete, err := readStream(t.Context(), d.EntryURL(0), "quote")
		assert.Check(t, err)
		assert.Check(t, complete, "stream ended early")
		assert.Check(t, text == expectedText(version, "quote"), "stream is not all of version %s", version)
	})
	waitUntil(t, func() bool { return d.Engine(0).Running()+d.Engine(1).Running() == 1 })
	if d.Engine(1).Running() == 1 {
		engine = 1
	}
	waitUntil(t, func() bool { return d.Engine(0).Tokens()+d.Engine(1).Tokens() > before })
	return engine, tasks
}

// restart restarts an engine and waits until it is up.
func (d *Deployment) restart(t *testing.T, engine int, version string) {
	t.Helper()
	d.Engine(engine).Restart(version)
	waitUntil(t, func() bool { return respondsOK(d.EngineURL(engine) + "/health") })
}

// Guards against streams that go on at an engine that was restarted with another software
// version, of which its agent does not know yet.
func TestStreamDoesNotGoOnAtUpgradedEngine(t *testing.T) {
	d := startUpgradeDeployment(t)
	engine, tasks := d.startStream(t, "v1")
	d.restart(t, 1-engine, "v2")
	d.Engine(engine).Crash()
	tasks.Wait()
}

// Guards against streams that are taken for the output of the version that their engine had
// before it was restarted.
func TestStreamBegunAtUpgradedEngineStaysThere(t *testing.T) {
	d := startUpgradeDeployment(t)
	d.restart(t, 0, "v2")
	d.restart(t, 1, "v2")
	engine, tasks := d.startStream(t, "v2")
	d.restart(t, 1-engine, "v1")
	d.Engine(engine).Crash()
	tasks.Wait()
}
