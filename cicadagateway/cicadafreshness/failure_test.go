package cicadafreshness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const settleTime = 3 * time.Second

// settled returns a fleet without faults whose processes have all started.
func settled(t *testing.T, n int) *fleet {
	t.Helper()
	f := newFleet(1, n)
	f.run(settleTime)
	f.assertFresh(t, settleTime)
	return f
}

// Guards against a process that goes on with a revoked key while it is partitioned from the
// store and from all others.
func TestKeyRevokedDuringPartition(t *testing.T) {
	f := settled(t, 23)
	n := f.nodes[20]
	n.side = 1
	f.write()
	f.run(testLimit + 100*time.Millisecond)
	assert.Assert(t, !n.tracker.Fresh())
	f.run(10 * time.Second)
	assert.Assert(t, !n.tracker.Fresh())
	n.side = 0
	f.run(2 * time.Second)
	assert.Equal(t, n.version, int64(2))
	f.assertFresh(t, settleTime)
}

// Guards against a process that takes what has waited in its socket buffers while it was suspended
// for a recent confirmation.
func TestKeyRevokedDuringSuspension(t *testing.T) {
	f := settled(t, 23)
	n := f.nodes[20]
	n.suspend()
	f.write()
	f.run(testLimit + 100*time.Millisecond)
	n.side = 1 // nothing but what has waited reaches it
	n.resume()
	assert.Assert(t, !n.tracker.Fresh())
	f.run(10 * time.Second)
	assert.Assert(t, !n.tracker.Fresh())
	n.side = 0
	f.run(2 * time.Second)
	f.assertFresh(t, settleTime)
}

// Guards against a parent that was suspended and answers the queries that have waited as if its
// confirmation were recent.
func TestParentResumes(t *testing.T) {
	f := settled(t, 40)
	for _, n := range f.nodes[1 : 1+defaultFanOut] {
		n.suspend()
	}
	f.write()
	f.run(testLimit + time.Second)
	for _, n := range f.nodes[1 : 1+defaultFanOut] {
		n.resume()
	}
	f.run(time.Second)
	f.assertFresh(t, settleTime)
}

// Guards against a process that is confirmed after a restart by what its predecessor knew, or by
// the replies to its predecessor's queries.
func TestRestart(t *testing.T) {
	f := settled(t, 23)
	n := f.nodes[20]
	n.kill()
	f.run(time.Second)
	n.startUp()
	assert.Assert(t, !n.tracker.Fresh())
	f.run(time.Second)
	f.assertFresh(t, settleTime)

	n.kill()
	n.startUp()
	n.rejected = true
	f.run(2 * time.Second)
	n.setVersion(1)
	assert.Assert(t, n.tracker.Fresh(), "peers confirm a version that is in force")
	f.assertSound(t)
}

// Guards against keys that are refused because the store rejects a VM, while its peers reach the
// store, and against a rejected VM that takes its version for the newest one.
func TestStoreRejectsProcess(t *testing.T) {
	f := settled(t, 23)
	n := f.nodes[20]
	n.rejected = true
	f.assertFresh(t, 20*time.Second)
	f.write()
	f.run(testLimit + 100*time.Millisecond)
	assert.Assert(t, !n.tracker.Fresh())
	n.rejected = false
	f.run(2 * time.Second)
	f.assertFresh(t, settleTime)
}

// Guards against keys that are refused, and against reads of the store, because parents die.
func TestParentsDie(t *testing.T) {
	f := settled(t, 60)
	reads := f.reads()
	f.nodes[1].kill()
	f.nodes[2].kill()
	f.assertFresh(t, 10*time.Second)
	polls := int(10*time.Second/pollInterval) + 1
	assert.Assert(t, f.reads()-reads <= polls, "%d reads", f.reads()-reads)
}

// Guards against a tree in which ages add up to more than the limit, or to so much that the store
// is read: four levels below the root, of which one parent dies.
func TestDeepTree(t *testing.T) {
	const fanOut, size = 2, 31 // the levels hold 1, 2, 4, 8 and 16 processes
	f := newFleet(1, size)
	f.setFanOut(fanOut)
	f.run(2 * settleTime)
	assert.Equal(t, f.nodes[size-1].tracker.level, 4)
	reads := f.reads()
	f.assertFresh(t, 10*time.Second)
	f.nodes[1].kill()
	f.assertFresh(t, 10*time.Second)
	polls := int(20*time.Second/pollInterval) + 1
	assert.Assert(t, f.reads()-reads <= polls, "%d reads", f.reads()-reads)
}

// Guards against processes that rely on a parent which replies, but whose confirmation is old.
func TestParentIsStale(t *testing.T) {
	f := settled(t, 60)
	parent := f.nodes[1]
	parent.rejected = true
	for _, other := range f.nodes[:1+defaultFanOut] {
		parent.noLink[other.index] = other != parent
	}
	reads := f.reads() - parent.reads
	f.assertFresh(t, 20*time.Second, parent)
	polls := int(20*time.Second/pollInterval) + 1
	assert.Assert(t, f.reads()-parent.reads-reads <= polls, "%d reads", f.reads()-parent.reads-reads)
}

// Guards against keys that are refused because the coordinator dies, or loses the store, and
// against reads of the store by all processes when this happens.
func TestCoordinatorChanges(t *testing.T) {
	f := settled(t, 60)
	reads := f.reads()
	f.nodes[0].kill()
	f.assertFresh(t, 10*time.Second)
	f.nodes[1].rejected = true
	f.assertFresh(t, 10*time.Second)
	polls := int(20*time.Second/pollInterval) + 1
	assert.Assert(t, f.reads()-reads <= polls+2*defaultFanOut, "%d reads", f.reads()-reads)
}

// Guards against processes that confirm each other without the store after all have restarted, and
// against a start that takes long.
func TestAllRestart(t *testing.T) {
	f := settled(t, 60)
	for _, n := range f.nodes {
		n.kill()
	}
	f.write()
	f.storeDown = true
	for _, n := range f.nodes {
		n.startUp()
		n.setVersion(1)
	}
	f.run(10 * time.Second)
	assert.Equal(t, len(f.stale()), len(f.nodes))
	f.storeDown = false
	f.run(2 * time.Second)
	f.assertFresh(t, settleTime)
	for _, n := range f.nodes {
		n.kill()
		n.startUp()
	}
	f.run(time.Second)
	f.assertFresh(t, settleTime)
}

// Guards against processes that confirm each other while the store is down.
func TestStoreDown(t *testing.T) {
	f := settled(t, 60)
	f.storeDown = true
	f.run(testLimit + 100*time.Millisecond)
	assert.Equal(t, len(f.stale()), len(f.nodes))
	f.run(10 * time.Second)
	assert.Equal(t, len(f.stale()), len(f.nodes))
	f.storeDown = false
	f.run(2 * time.Second)
	f.assertFresh(t, settleTime)
}
