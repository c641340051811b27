// Package cicadabatch keeps accepted batch jobs and runs their items.
//
// A job is an object in the platform's store; so is each group of results, under
// the job's id and a consecutive number. Whoever creates a number first has
// decided what stands at its positions, so no lease is needed for safety: two
// owners of one job waste work, and do no harm. Which owner runs a job follows
// from rendezvous hashing over the owners that are live and reach the store.
//
// # Usage
//
//	owner := cicadabatch.NewOwner(ctx, "owner-1", store, table, client, config, owners, log)
//	answer := owner.Submit(ctx, submission)
//	answer = owner.Read(ctx, "7c41e0", 0, time.Second)
//
// Items start when a slot is idle, the one with the least slack first. When
// online requests need the slots, items are put aside and go on later after
// their last event, at any endpoint.
package cicadabatch

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"cicadalink.example/cicadagateway/cicadaexchange"
	"cicadalink.example/cicadagateway/cicadafollow"
	"cicadalink.example/cicadagateway/cicadaplace"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadaview"
)

const (
	// startDelay lets an owner hear of the others before it runs what it finds.
	startDelay = 900 * time.Millisecond
	tick       = 100 * time.Millisecond
	// flushDelay is how long a result waits for others of its job to be written
	// with it, and dueFlushDelay that while its job is due within dueSoon.
	flushDelay    = time.Second
	dueFlushDelay = 400 * time.Millisecond
	dueSoon       = 6 * time.Second
	// defaultKeep is how long after its acceptance a job stays readable at least.
	defaultKeep = 10 * time.Minute
	// maxClockError is how far the times of day of two VMs may differ. A job whose
	// age is known from another VM's clock is given up later by as much.
	maxClockError = 10 * time.Second
	controlQueue  = 256
)

// An Owner runs the jobs that fall to it. One goroutine holds its state.
type Owner struct {
	name     string
	store    *cicadaplatform.Client
	table    *cicadaplace.Table
	client   *cicadaexchange.Client
	config   func() *cicadaview.Config
	owners   func() []string
	sendOver func(ctx context.Context, job string, p []Progress) error
	copyOver func(ctx context.Context, p Checkpoint) error
	file     *CheckpointFile
	keep     time.Duration
	metrics  *metrics
	log      hclog.Logger
	control  chan func()
	wakeup   chan struct{}
	ctx      context.Context
	started  time.Time
	wg       conc.WaitGroup

	// The fields below belong to the control goroutine.
	jobs     map[string]*job
	pace     pace
	running  map[string][]*item // by endpoint
	assigned []string           // the owners at the last assignment, by which all jobs are mine or not
	looked   time.Time          // when the items that wait were looked through
	services map[string]bool    // for which items waited then

	checkpointed time.Time
	saving       bool // a checkpoint is being written
	saveWhole    bool // the next one must tell everything
	saveAfter    time.Time
	found        map[string]map[string]*recovered
	listed       bool // the store's list of jobs is known
	settled      bool // what was found belongs to jobs by now
}

// An Option changes an Owner as it is made.
type Option func(*Owner)

// WithHandOver sets what passes the progress of a job to the owner that it has
// moved to.
func WithHandOver(sendOver func(ctx context.Context, job string, p []Progress) error) Option {
	return func(o *Owner) { o.sendOver = sendOver }
}

// WithKeep sets how long after its acceptance a job stays readable. One that still
// runs then is kept until it is whole.
func WithKeep(keep time.Duration) Option { return func(o *Owner) { o.keep = keep } }

// WithCopies sets what passes checkpoints to the owner that would be next to run
// a job.
func WithCopies(copyOver func(ctx context.Context, p Checkpoint) error) Option {
	return func(o *Owner) { o.copyOver = copyOver }
}

// WithCheckpoints makes the owner keep checkpoints in a file and go on from those
// found there.
func WithCheckpoints(file *CheckpointFile) Option {
	return func(o *Owner) { o.file, o.found = file, file.found }
}

// WithScope sets where items are counted.
func WithScope(scope tally.Scope) Option {
	return func(o *Owner) { o.metrics = newMetrics(scope) }
}

// NewOwner starts an owner. owners returns the names of the owners, this one
// included, that may run jobs now.
func NewOwner(ctx context.Context, name string, store *cicadaplatform.Client, table *cicadaplace.Table, client *cicadaexchange.Client,
	config func() *cicadaview.Config, owners func() []string, log hclog.Logger, opts ...Option,
) *Owner {
	o := &Owner{
		name: name, store: store, table: table, client: client, config: config, owners: owners, log: log,
		control: make(chan func(), controlQueue), wakeup: make(chan struct{}, 1), ctx: ctx, started: time.Now(),
		jobs: make(map[string]*job), running: make(map[string][]*item), services: make(map[string]bool),
		sendOver: func(context.Context, string, []Progress) error { return nil },
		copyOver: func(context.Context, Checkpoint) error { return nil },
		keep:     defaultKeep, saveWhole: true, metrics: newMetrics(tally.NoopScope),
	}
	for _, opt := range opts {
		opt(o)
	}
	o.wg.Go(func() {
		ticker := time.NewTicker(tick)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case f := <-o.control:
				f()
				continue
			case <-ticker.C:
				o.maintain()
			case <-o.wakeup:
			}
			o.schedule()
		}
	})
	return o
}

// Wake makes the owner look at the load anew.
func (o *Owner) Wake() {
	select {
	case o.wakeup <- struct{}{}:
	default:
	}
}

// do runs f in the control goroutine.
func (o *Owner) do(f func()) {
	select {
	case o.control <- f:
	case <-o.ctx.Done():
	}
}

// Apply takes in what the store holds of jobs.
func (o *Owner) Apply(c cicadafollow.Change) {
	objects, full := c.Objects(), c.Full()
	o.do(func() {
		for _, obj := range objects {
			o.applyJob(obj, full)
		}
		o.listed = o.listed || full
		o.Wake()
	})
}

func (o *Owner) applyJob(obj cicadaplatform.Object, full bool) {
	id := strings.TrimPrefix(obj.Name(), JobsPrefix)
	if obj.Value() == nil {
		o.forget(id)
		return
	}
	r, err := decodeRecord(obj.Value())
	if err != nil {
		o.log.Error("job refused", "job", id, "version", obj.Version(), "error", err)
		return
	}
	if known := o.jobs[id]; known != nil {
		known.version = max(known.version, obj.Version())
		if r.Ended && !known.ended {
			o.end(known)
		}
		return
	}
	now, age := time.Now(), time.Duration(0)
	if full {
		age = recordAge(r, now)
	}
	j := o.add(id, r, now.Add(-age))
	j.version, j.mineSince = obj.Version(), now
	if age > 0 {
		j.clockError = maxClockError
	}
}

// recordAge is how long ago a job was accepted by the time of day, which may
// differ between VMs: never negative, and never past the time to give up.
func recordAge(r record, now time.Time) time.Duration {
	age := time.Duration(now.UnixMilli()-r.AcceptedMs) * time.Millisecond
	return min(max(age, 0), time.Duration(r.GiveUpMs)*time.Millisecond)
}

func (o *Owner) add(id string, r record, accepted time.Time) *job {
	j := newJob(id, r, accepted)
	j.mine = ownerOf(id, o.assigned) == o.name
	o.jobs[id] = j
	o.recover(j)
	o.log.Info("job known", "job", id, "items", r.Total, "mine", j.mine, "ended", r.Ended, "age", time.Since(accepted).String())
	return j
}

func (o *Owner) forget(id string) {
	if j := o.jobs[id]; j != nil {
		o.stopAll(j, "job removed")
		delete(o.jobs, id)
	}
}

func (o *Owner) end(j *job) {
	o.log.Info("job ended", "job", j.id, "listed", len(j.results), "items", j.record.Total)
	j.ended = true
	o.stopAll(j, "job ended")
	for _, it := range j.items {
		it.Body = nil
	}
}

func (o *Owner) stopAll(j *job, reason string) {
	for _, it := range j.items {
		if it.state == itemRunning {
			o.log.Info("run ended", "item", it.ID, "job", j.id, "reason", reason)
			it.stop()
		}
	}
}

// maintain does what is due from time to time.
func (o *Owner) maintain() {
	now := time.Now()
	if now.Sub(o.started) < startDelay {
		return
	}
	o.assign()
	o.settleRecovered()
	o.checkpoint(now)
	for _, j := range o.jobs {
		switch {
		case now.Sub(j.accepted) > o.keep && (j.ended || j.listed() || !j.mine):
			o.expire(j)
		case j.mine && !j.loaded && !j.loading:
			o.load(j)
		case j.mine && j.loaded:
			o.giveUp(j, now)
			o.flush(j, now)
		}
	}
}

// assign looks up who runs each job after the set of owners has changed.
func (o *Owner) assign() {
	owners := o.owners()
	if slices.Equal(owners, o.assigned) {
		return
	}
	o.log.Info("owners changed", "from", strings.Join(o.assigned, " "), "to", strings.Join(owners, " "))
	o.assigned = owners
	for _, j := range o.jobs {
		mine := ownerOf(j.id, owners) == o.name
		if mine == j.mine {
			continue
		}
		j.mine, j.mineSince = mine, time.Now()
		o.log.Info("job moved", "job", j.id, "mine", mine, "listed", len(j.results))
		if !mine {
			o.stopAll(j, "job moved")
			if j.writing {
				j.stopWrite()
			}
			o.handOver(j)
		}
		j.loaded = false
	}
}

func (o *Owner) expire(j *job) {
	delete(o.jobs, j.id)
	if !j.mine {
		return
	}
	id, version, versions := j.id, j.version, j.versions
	o.wg.Go(func() {
		// The job goes first: results without a job are read by nobody, while a job
		// without its results would be run again.
		if err := o.store.Delete(o.ctx, cicadaplatform.ClassUpload, JobsPrefix+id, version); err != nil {
			o.log.Warn("old job not deleted", "job", id, "error", err)
			return
		}
		for n, v := range versions {
			if err := o.store.Delete(o.ctx, cicadaplatform.ClassUpload, chunkName(id, n), v); err != nil {
				o.log.Warn("old results not deleted", "job", id, "error", err)
			}
		}
	})
}

// load reads the results that the store has beyond those known.
func (o *Owner) load(j *job) {
	j.loading = true
	from := j.chunks
	o.wg.Go(func() {
		var chunks []chunk
		var err error
		for n := from; ; n++ {
			c, found, readErr := readChunk(o.ctx, o.store, j.id, n)
			if readErr != nil || !found {
				err = readErr
				break
			}
			chunks = append(chunks, c)
		}
		o.do(func() { o.loadDone(j, from, chunks, err) })
	})
}

func (o *Owner) loadDone(j *job, from int, chunks []chunk, err error) {
	j.loading = false
	if j.chunks == from {
		for _, c := range chunks {
			o.takeChunk(j, c)
		}
	}
	if err != nil {
		o.log.Warn("results not read", "job", j.id, "chunks", j.chunks, "error", err)
	} else {
		j.loaded = true
		j.refreshed = time.Now()
		o.log.Info("job loaded", "job", j.id, "chunks", j.chunks, "listed", len(j.results), "items", j.record.Total)
	}
	o.notify(j)
	o.Wake()
}

func (o *Owner) takeChunk(j *job, c chunk) {
	for _, it := range j.takeChunk(c) {
		it.stop()
	}
}

// notify lets those who wait for results look again.
func (o *Owner) notify(j *job) {
	waiters := j.waiters
	j.waiters = nil
	for _, wake := range waiters {
		wake()
	}
}
