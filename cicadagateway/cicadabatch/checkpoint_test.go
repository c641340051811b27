package cicadabatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"

	adapter "cicadalink.example/platform"
)

// eventsLostPerCrash is the number of events of an item that a crash can lose: those of
// one checkpoint interval and of the time until the checkpoint is written.
const eventsLostPerCrash = int((checkpointInterval + 2*tickInterval) / eventInterval)

func openCheckpoints(t *testing.T, dir string) *CheckpointFile {
	t.Helper()
	file, err := OpenCheckpoints(dir)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, file.log.Close()) })
	return file
}

// checkEventLimit checks that the engines sent no more events of any item than the
// item has, plus those that the given number of crashes can lose.
func (d *testDeployment) checkEventLimit(t *testing.T, events, crashes int) {
	t.Helper()
	for _, id := range d.startedItems() {
		sent, _ := d.eventsAndRuns(id)
		assert.Assert(t, sent <= events+crashes*eventsLostPerCrash, "%s: %d events sent", id, sent)
	}
}

// TestRestartResumesFromDiskCheckpoints guards against lost progress when all owners
// are killed at once, so that only their disks have it.
func TestRestartResumesFromDiskCheckpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, dir := newTestDeployment(), t.TempDir()
		o := d.startOwner("o1", fixedOwners("o1"), WithCheckpoints(openCheckpoints(t, dir)))
		time.Sleep(time.Second)
		o.call(t, submitCall("j", 200, 200))
		for range 2 {
			time.Sleep(3 * time.Second)
			o.stop()
			o = d.startOwner("o1", fixedOwners("o1"), WithCheckpoints(openCheckpoints(t, dir)))
		}
		time.Sleep(6 * time.Second)
		d.checkComplete(t, o.results(t, "j", 0), "j", 200, 200)
		o.stop()
		d.checkEventLimit(t, 200, 2)
	})
}

// TestNextOwnerResumesFromReplicatedCheckpoints guards against lost progress when an
// owner is lost together with its VM.
func TestNextOwnerResumesFromReplicatedCheckpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		var owner atomic.Value
		owner.Store("o1")
		owners := func() []string { return []string{owner.Load().(string)} }
		var o2 *testOwner
		o1 := d.startOwner("o1", owners, WithReplication(func(ctx context.Context, p Checkpoint) error {
			resp, err := o2.Handle(ctx, &Call{Kind: CallCheckpoint, Job: p.Job, Progress: p.Items})
			if err == nil && resp.Status != http.StatusOK {
				return errCheckpointGap
			}
			return err
		}))
		o2 = d.startOwner("o2", owners)
		defer o2.stop()
		time.Sleep(time.Second)
		o1.call(t, submitCall("j", 10, 200, 200))
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(o1.results(t, "j", 0).Results), 1)
		o1.stop()
		owner.Store("o2")
		time.Sleep(6 * time.Second)
		d.checkComplete(t, o2.results(t, "j", 0), "j", 10, 200, 200)
		d.checkEventLimit(t, 200, 1)
	})
}

// TestFinishedItemsSurviveStoreOutageAndRestart guards against finished items being run
// again when power fails at the end of a store outage, before their results are stored.
func TestFinishedItemsSurviveStoreOutageAndRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, dir := newTestDeployment(), t.TempDir()
		down := d.stopCreates()
		o := d.startOwner("o1", fixedOwners("o1"), WithCheckpoints(openCheckpoints(t, dir)))
		time.Sleep(time.Second)
		o.call(t, submitCall("j", 30, 422, 40))
		down.Store(true)
		time.Sleep(4 * time.Second)
		assert.Equal(t, len(o.results(t, "j", 0).Results), 0)
		o.stop()
		down.Store(false)
		o = d.startOwner("o1", fixedOwners("o1"), WithCheckpoints(openCheckpoints(t, dir)))
		defer o.stop()
		time.Sleep(3 * time.Second)
		p := o.results(t, "j", 0)
		assert.Equal(t, len(p.Results), 3)
		for _, r := range p.Results {
			_, runs := d.eventsAndRuns(r.ID)
			assert.Equal(t, runs, 1, "%s ran again", r.ID)
		}
	})
}

// TestDiskWritesResumeAfterFailure covers a disk that fails writes for a while: items
// keep running, and the first checkpoint after the failure is full.
func TestDiskWritesResumeAfterFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, dir := newTestDeployment(), t.TempDir()
		file := openCheckpoints(t, dir)
		o := d.startOwner("o1", fixedOwners("o1"), WithCheckpoints(file))
		time.Sleep(time.Second)
		o.call(t, submitCall("j", 300, 300))
		time.Sleep(2 * time.Second)
		synctest.Wait()
		o.enqueueAndWait(func() {
			assert.Check(t, !o.saving)
			assert.Check(t, file.log.Close())
		})
		time.Sleep(saveRetryDelay + 2*time.Second)
		o.stop()
		entries, err := os.ReadDir(dir)
		assert.NilError(t, err)
		assert.Equal(t, len(entries), 1, "files written before the failure are removed")
		o = d.startOwner("o1", fixedOwners("o1"), WithCheckpoints(openCheckpoints(t, dir)))
		time.Sleep(8 * time.Second)
		d.checkComplete(t, o.results(t, "j", 0), "j", 300, 300)
		o.stop()
		d.checkEventLimit(t, 300, 1)
	})
}

// TestRecoveredProgressIsHandedOverToOwner covers a job that moved while its owner was
// down and stays with the new owner after the restart.
func TestRecoveredProgressIsHandedOverToOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d, dir := newTestDeployment(), t.TempDir()
		o1 := d.startOwner("o1", fixedOwners("o1"), WithCheckpoints(openCheckpoints(t, dir)))
		time.Sleep(time.Second)
		o1.call(t, submitCall("j", 300))
		time.Sleep(7 * time.Second)
		o1.stop()
		o2 := d.startOwner("o2", fixedOwners("o2"))
		defer o2.stop()
		o1 = d.startOwner("o1", fixedOwners("o2"), WithCheckpoints(openCheckpoints(t, dir)), WithHandOver(func(ctx context.Context, job string, p []Progress) error {
			_, err := o2.Handle(ctx, &Call{Kind: CallHandOver, Job: job, Progress: p})
			return err
		}))
		defer o1.stop()
		time.Sleep(6 * time.Second)
		d.checkComplete(t, o2.results(t, "j", 0), "j", 300)
		d.checkEventLimit(t, 300, 2)
	})
}

func TestUndecodableRecordsAreCounted(t *testing.T) {
	dir := t.TempDir()
	file := openCheckpoints(t, dir)
	_, err := file.save([]Checkpoint{{Job: "j", Items: []Progress{{Item: "j-0", Last: 1, Text: "a"}}}}, false)
	assert.NilError(t, err)
	assert.NilError(t, file.log.Append([]byte("\xff no list")))
	reopened := openCheckpoints(t, dir)
	assert.Equal(t, reopened.Jobs(), 1)
	assert.Equal(t, reopened.DecodeErrors(), 1)
	assert.Equal(t, reopened.TornFiles(), 0)
}

func TestNonContiguousCheckpointIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := newTestDeployment()
		o1 := d.startOwner("o1", fixedOwners("o1"))
		defer o1.stop()
		o2 := d.startOwner("o2", fixedOwners("o1"))
		defer o2.stop()
		time.Sleep(time.Second)
		o1.call(t, submitCall("j", 500))
		time.Sleep(100 * time.Millisecond)
		replicate := func(p Progress) int {
			p.Item = "j-0"
			return o2.call(t, &Call{Kind: CallCheckpoint, Job: "j", Progress: []Progress{p}}).Status
		}
		assert.Equal(t, replicate(Progress{From: 3, Last: 5, Text: "x"}), http.StatusConflict)
		assert.Equal(t, replicate(Progress{Last: 2, Text: "a\nb"}), http.StatusOK)
		base := xxhash.Sum64String("a\nb")
		assert.Equal(t, replicate(Progress{From: 2, Base: base + 1, Last: 3, Text: "\nc"}), http.StatusConflict, "of another run")
		assert.Equal(t, replicate(Progress{From: 2, Base: base, Last: 3, Text: "\nc"}), http.StatusOK)
		assert.Equal(t, replicate(Progress{From: 4, Last: 5, Text: "\ne"}), http.StatusConflict)
		assert.Equal(t, replicate(Progress{Last: 5, Text: "a\nb\nc\nd\ne"}), http.StatusOK)
		base = xxhash.Sum64String("a\nb\nc\nd\ne")
		assert.Equal(t, replicate(Progress{From: 5, Base: base + 1, Last: 5, State: adapter.StateComplete}), http.StatusConflict, "result of another run")
		assert.Equal(t, replicate(Progress{From: 5, Base: base, Last: 5, State: adapter.StateComplete}), http.StatusOK)
		var pending []adapter.Result
		o2.enqueueAndWait(func() { pending = append(pending, o2.jobs["j"].pending...) })
		assert.DeepEqual(t, pending, []adapter.Result{{ID: "j-0", State: adapter.StateComplete, Output: "a\nb\nc\nd\ne"}})
		assert.Equal(t, replicate(Progress{Listed: true}), http.StatusOK)
		o2.enqueueAndWait(func() { pending = o2.jobs["j"].pending })
		assert.Equal(t, len(pending), 0)
		unknownJob := o2.call(t, &Call{Kind: CallCheckpoint, Job: "k", Progress: []Progress{{Item: "k-0"}}})
		assert.Equal(t, unknownJob.Status, http.StatusConflict)
	})
}

// TestCheckpointsWithRandomCrashes kills owners and restarts them with damaged files at
// random times, and lets both run the same job for a while. Each item must still be
// listed once with its whole output.
func TestCheckpointsWithRandomCrashes(t *testing.T) {
	for seed := *firstSeed; seed < *firstSeed+uint64(*seedCount)/4; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			synctest.Test(t, func(t *testing.T) { runCrashes(t, random) })
		})
	}
}

// ownerPair is two owners that the test kills and restarts.
type ownerPair struct {
	*testDeployment
	dir       string
	members   [2]atomic.Pointer[testOwner]
	ownerSets [2]atomic.Pointer[[]string] // by member: the owners that may run jobs in its view
}

func pairName(i int) string { return fmt.Sprint("o", i+1) }

// send delivers a call from one member to the other if that is running.
func (p *ownerPair) send(ctx context.Context, from int, c *Call) error {
	other := p.members[1-from].Load()
	if other == nil {
		return errCheckpointGap
	}
	resp, err := other.Handle(ctx, c)
	if err == nil && resp.Status != http.StatusOK {
		return errCheckpointGap
	}
	return err
}

func (p *ownerPair) startMember(t *testing.T, i int) {
	p.members[i].Store(p.startOwner(pairName(i), func() []string { return *p.ownerSets[i].Load() },
		WithCheckpoints(openCheckpoints(t, filepath.Join(p.dir, pairName(i)))),
		WithReplication(func(ctx context.Context, c Checkpoint) error {
			return p.send(ctx, i, &Call{Kind: CallCheckpoint, Job: c.Job, Progress: c.Items})
		}),
		WithHandOver(func(ctx context.Context, job string, all []Progress) error {
			return p.send(ctx, i, &Call{Kind: CallHandOver, Job: job, Progress: all})
		})))
}

// setOwners sets the same owners for all members.
func (p *ownerPair) setOwners(names ...string) {
	for i := range p.ownerSets {
		p.ownerSets[i].Store(&names)
	}
}

// partition makes each member see only itself, so that both run the same jobs.
func (p *ownerPair) partition() {
	for i := range p.ownerSets {
		p.ownerSets[i].Store(&[]string{pairName(i)})
	}
}

func (p *ownerPair) stopMember(i int) {
	p.members[i].Swap(nil).stop()
	synctest.Wait()
}

func runCrashes(t *testing.T, random *rand.Rand) {
	pair := &ownerPair{testDeployment: newTestDeployment(), dir: t.TempDir()}
	pair.dropAfter = random.IntN(60)
	pair.setOwners(pairName(0), pairName(1))
	pair.startMember(t, 0)
	pair.startMember(t, 1)
	time.Sleep(time.Second)
	events := []int{90, 150, 40, 120, 200}
	pair.members[0].Load().call(t, submitCall("j", events...))
	for range 3 + random.IntN(4) {
		time.Sleep(time.Duration(200+random.IntN(2000)) * time.Millisecond)
		var liveNames []string
		for i := range pair.members {
			if random.IntN(2) == 0 {
				liveNames = append(liveNames, pairName(i))
				continue
			}
			pair.stopMember(i)
			truncateNewestFile(t, filepath.Join(pair.dir, pairName(i)), random)
		}
		switch random.IntN(3) {
		case 0:
			pair.partition()
		case 1:
			if len(liveNames) > 0 {
				pair.setOwners(liveNames...)
			}
		}
		time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
		for i := range pair.members {
			if pair.members[i].Load() == nil {
				pair.startMember(t, i)
			}
		}
		time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
		pair.setOwners(pairName(0), pairName(1))
	}
	time.Sleep(20 * time.Second)
	for i := range pair.members {
		pair.checkComplete(t, pair.members[i].Load().results(t, "j", 0), "j", events...)
	}
	for i := range pair.members {
		pair.stopMember(i)
	}
}

// truncateNewestFile sometimes truncates the newest file of a directory, as a power
// loss can.
func truncateNewestFile(t *testing.T, dir string, random *rand.Rand) {
	entries, err := os.ReadDir(dir)
	assert.NilError(t, err)
	path := filepath.Join(dir, entries[len(entries)-1].Name())
	info, err := os.Stat(path)
	assert.NilError(t, err)
	if info.Size() > 0 && random.IntN(3) > 0 {
		assert.NilError(t, os.Truncate(path, random.Int64N(info.Size())))
	}
}
