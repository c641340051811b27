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

	"cicadalink.example/cicadakernel/cicadaplatform"
	adapter "cicadalink.example/platform"
)

// costOfCrash is how many events of an item a crash may cost: those of a checkpoint
// interval, and of the time that it takes to be written.
const costOfCrash = int((checkpointInterval + 2*tick) / eventTime)

func opened(t *testing.T, dir string) *CheckpointFile {
	t.Helper()
	file, err := OpenCheckpoints(dir)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, file.log.Close()) })
	return file
}

// madeAtMost checks that no item made more events than it has, and those that a
// number of crashes may cost.
func (s *site) madeAtMost(t *testing.T, events, crashes int) {
	t.Helper()
	for _, id := range s.items() {
		n, _ := s.made(id)
		assert.Assert(t, n <= events+crashes*costOfCrash, "%s made %d events", id, n)
	}
}

// TestRestartedOwnerGoesOnFromItsDisk answers owners that all are killed at once.
func TestRestartedOwnerGoesOnFromItsDisk(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, dir := newSite(), t.TempDir()
		o := s.start("o1", only("o1"), WithCheckpoints(opened(t, dir)))
		time.Sleep(time.Second)
		o.call(t, submission("j", 200, 200))
		for range 2 {
			time.Sleep(3 * time.Second)
			o.stop()
			o = s.start("o1", only("o1"), WithCheckpoints(opened(t, dir)))
		}
		time.Sleep(6 * time.Second)
		s.whole(t, o.results(t, "j", 0), "j", 200, 200)
		o.stop()
		s.madeAtMost(t, 200, 2)
	})
}

// TestNextOwnerGoesOnFromCopies answers an owner that is lost with its VM.
func TestNextOwnerGoesOnFromCopies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite()
		var owner atomic.Value
		owner.Store("o1")
		owners := func() []string { return []string{owner.Load().(string)} }
		var o2 *member
		o1 := s.start("o1", owners, WithCopies(func(ctx context.Context, p Checkpoint) error {
			a, err := o2.Handle(ctx, &Call{Kind: CallCheckpoint, Job: p.Job, Progress: p.Items})
			if err == nil && a.Status != http.StatusOK {
				return errGap
			}
			return err
		}))
		o2 = s.start("o2", owners)
		defer o2.stop()
		time.Sleep(time.Second)
		o1.call(t, submission("j", 10, 200, 200))
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(o1.results(t, "j", 0).Results), 1)
		o1.stop()
		owner.Store("o2")
		time.Sleep(6 * time.Second)
		s.whole(t, o2.results(t, "j", 0), "j", 10, 200, 200)
		s.madeAtMost(t, 200, 1)
	})
}

// TestFinishedItemsOutlastAnOutageAndARestart answers a power loss at the end of an
// outage of the store: what was finished meanwhile is listed and not run again.
func TestFinishedItemsOutlastAnOutageAndARestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, dir := newSite(), t.TempDir()
		var down atomic.Bool
		create := s.backend.Create
		s.backend.Create = func(ctx context.Context, name string, value []byte) (cicadaplatform.Object, error) {
			if down.Load() {
				return cicadaplatform.Object{}, cicadaplatform.ErrUnavailable
			}
			return create(ctx, name, value)
		}
		o := s.start("o1", only("o1"), WithCheckpoints(opened(t, dir)))
		time.Sleep(time.Second)
		o.call(t, submission("j", 30, 422, 40))
		down.Store(true)
		time.Sleep(4 * time.Second)
		assert.Equal(t, len(o.results(t, "j", 0).Results), 0)
		o.stop()
		down.Store(false)
		o = s.start("o1", only("o1"), WithCheckpoints(opened(t, dir)))
		defer o.stop()
		time.Sleep(3 * time.Second)
		p := o.results(t, "j", 0)
		assert.Equal(t, len(p.Results), 3)
		for _, r := range p.Results {
			_, runs := s.made(r.ID)
			assert.Equal(t, runs, 1, "%s ran again", r.ID)
		}
	})
}

// TestFailedDiskIsTriedAgain answers a disk that refuses writes for a while: items go
// on meanwhile, and later checkpoints hold everything again.
func TestFailedDiskIsTriedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, dir := newSite(), t.TempDir()
		file := opened(t, dir)
		o := s.start("o1", only("o1"), WithCheckpoints(file))
		time.Sleep(time.Second)
		o.call(t, submission("j", 300, 300))
		time.Sleep(2 * time.Second)
		synctest.Wait()
		o.ask(func() {
			assert.Check(t, !o.saving)
			assert.Check(t, file.log.Close())
		})
		time.Sleep(saveRetry + 2*time.Second)
		o.stop()
		entries, err := os.ReadDir(dir)
		assert.NilError(t, err)
		assert.Equal(t, len(entries), 1, "what was written before the fault is removed")
		o = s.start("o1", only("o1"), WithCheckpoints(opened(t, dir)))
		time.Sleep(8 * time.Second)
		s.whole(t, o.results(t, "j", 0), "j", 300, 300)
		o.stop()
		s.madeAtMost(t, 300, 1)
	})
}

// TestRecoveredProgressGoesToTheOwner answers a job that moved while the owner that
// had run it was away, and did not come back to it.
func TestRecoveredProgressGoesToTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, dir := newSite(), t.TempDir()
		o1 := s.start("o1", only("o1"), WithCheckpoints(opened(t, dir)))
		time.Sleep(time.Second)
		o1.call(t, submission("j", 300))
		time.Sleep(7 * time.Second)
		o1.stop()
		o2 := s.start("o2", only("o2"))
		defer o2.stop()
		o1 = s.start("o1", only("o2"), WithCheckpoints(opened(t, dir)), WithHandOver(func(ctx context.Context, job string, p []Progress) error {
			_, err := o2.Handle(ctx, &Call{Kind: CallHandOver, Job: job, Progress: p})
			return err
		}))
		defer o1.stop()
		time.Sleep(6 * time.Second)
		s.whole(t, o2.results(t, "j", 0), "j", 300)
		s.madeAtMost(t, 300, 2)
	})
}

func TestRecordsThatCannotBeDecodedAreCounted(t *testing.T) {
	dir := t.TempDir()
	file := opened(t, dir)
	_, err := file.save([]Checkpoint{{Job: "j", Items: []Progress{{Item: "j-0", Last: 1, Text: "a"}}}}, false)
	assert.NilError(t, err)
	assert.NilError(t, file.log.Append([]byte("\xff no list")))
	again := opened(t, dir)
	assert.Equal(t, again.Jobs(), 1)
	assert.Equal(t, again.Refused(), 1)
	assert.Equal(t, again.Torn(), 0)
}

func TestCopyThatDoesNotFollowOnIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite()
		o1 := s.start("o1", only("o1"))
		defer o1.stop()
		o2 := s.start("o2", only("o1"))
		defer o2.stop()
		time.Sleep(time.Second)
		o1.call(t, submission("j", 500))
		time.Sleep(100 * time.Millisecond)
		copied := func(p Progress) int {
			p.Item = "j-0"
			return o2.call(t, &Call{Kind: CallCheckpoint, Job: "j", Progress: []Progress{p}}).Status
		}
		assert.Equal(t, copied(Progress{From: 3, Last: 5, Text: "x"}), http.StatusConflict)
		assert.Equal(t, copied(Progress{Last: 2, Text: "a\nb"}), http.StatusOK)
		base := xxhash.Sum64String("a\nb")
		assert.Equal(t, copied(Progress{From: 2, Base: base + 1, Last: 3, Text: "\nc"}), http.StatusConflict, "of another run")
		assert.Equal(t, copied(Progress{From: 2, Base: base, Last: 3, Text: "\nc"}), http.StatusOK)
		assert.Equal(t, copied(Progress{From: 4, Last: 5, Text: "\ne"}), http.StatusConflict)
		assert.Equal(t, copied(Progress{Last: 5, Text: "a\nb\nc\nd\ne"}), http.StatusOK)
		assert.Equal(t, copied(Progress{From: 5, Last: 5, State: adapter.StateComplete}), http.StatusOK)
		var pending []adapter.Result
		o2.ask(func() { pending = append(pending, o2.jobs["j"].pending...) })
		assert.DeepEqual(t, pending, []adapter.Result{{ID: "j-0", State: adapter.StateComplete, Output: "a\nb\nc\nd\ne"}})
		assert.Equal(t, copied(Progress{Listed: true}), http.StatusOK)
		o2.ask(func() { pending = o2.jobs["j"].pending })
		assert.Equal(t, len(pending), 0)
		unknown := o2.call(t, &Call{Kind: CallCheckpoint, Job: "k", Progress: []Progress{{Item: "k-0"}}})
		assert.Equal(t, unknown.Status, http.StatusConflict)
	})
}

// TestCheckpointsUnderCrashes kills and starts owners with damaged files at random
// times, and lets both run the same job for a while; each item must be listed once with its whole output.
func TestCheckpointsUnderCrashes(t *testing.T) {
	for seed := *first; seed < *first+uint64(*seeds)/4; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 1))
			synctest.Test(t, func(t *testing.T) { crashes(t, random) })
		})
	}
}

// pair is two owners that are killed and started.
type pair struct {
	*site
	dir     string
	members [2]atomic.Pointer[member]
	views   [2]atomic.Pointer[[]string] // the owners that may run jobs, as each member sees it
}

func pairName(i int) string { return fmt.Sprint("o", i+1) }

// send brings a call from a member to the other one, if that lives.
func (p *pair) send(ctx context.Context, from int, c *Call) error {
	other := p.members[1-from].Load()
	if other == nil {
		return errGap
	}
	a, err := other.Handle(ctx, c)
	if err == nil && a.Status != http.StatusOK {
		return errGap
	}
	return err
}

func (p *pair) startMember(t *testing.T, i int) {
	p.members[i].Store(p.start(pairName(i), func() []string { return *p.views[i].Load() },
		WithCheckpoints(opened(t, filepath.Join(p.dir, pairName(i)))),
		WithCopies(func(ctx context.Context, c Checkpoint) error {
			return p.send(ctx, i, &Call{Kind: CallCheckpoint, Job: c.Job, Progress: c.Items})
		}),
		WithHandOver(func(ctx context.Context, job string, all []Progress) error {
			return p.send(ctx, i, &Call{Kind: CallHandOver, Job: job, Progress: all})
		})))
}

// see makes all members see the same owners.
func (p *pair) see(names ...string) {
	for i := range p.views {
		p.views[i].Store(&names)
	}
}

// split makes each member see itself alone: both run what they know.
func (p *pair) split() {
	for i := range p.views {
		p.views[i].Store(&[]string{pairName(i)})
	}
}

func (p *pair) stopMember(i int) {
	p.members[i].Swap(nil).stop()
	synctest.Wait()
}

func crashes(t *testing.T, random *rand.Rand) {
	p := &pair{site: newSite(), dir: t.TempDir()}
	p.cutAt = random.IntN(60)
	p.see(pairName(0), pairName(1))
	p.startMember(t, 0)
	p.startMember(t, 1)
	time.Sleep(time.Second)
	events := []int{90, 150, 40, 120, 200}
	p.members[0].Load().call(t, submission("j", events...))
	for range 3 + random.IntN(4) {
		time.Sleep(time.Duration(200+random.IntN(2000)) * time.Millisecond)
		var live []string
		for i := range p.members {
			if random.IntN(2) == 0 {
				live = append(live, pairName(i))
				continue
			}
			p.stopMember(i)
			damage(t, filepath.Join(p.dir, pairName(i)), random)
		}
		switch random.IntN(3) {
		case 0:
			p.split()
		case 1:
			if len(live) > 0 {
				p.see(live...)
			}
		}
		time.Sleep(time.Duration(random.IntN(2000)) * time.Millisecond)
		for i := range p.members {
			if p.members[i].Load() == nil {
				p.startMember(t, i)
			}
		}
		time.Sleep(time.Duration(random.IntN(1000)) * time.Millisecond)
		p.see(pairName(0), pairName(1))
	}
	time.Sleep(20 * time.Second)
	for i := range p.members {
		p.whole(t, p.members[i].Load().results(t, "j", 0), "j", events...)
	}
	for i := range p.members {
		p.stopMember(i)
	}
}

// damage cuts the newest file of a folder short, as a power loss may.
func damage(t *testing.T, dir string, random *rand.Rand) {
	entries, err := os.ReadDir(dir)
	assert.NilError(t, err)
	path := filepath.Join(dir, entries[len(entries)-1].Name())
	info, err := os.Stat(path)
	assert.NilError(t, err)
	if info.Size() > 0 && random.IntN(3) > 0 {
		assert.NilError(t, os.Truncate(path, random.Int64N(info.Size())))
	}
}
