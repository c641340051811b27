// Package cicadabatch stores accepted batch jobs and runs their items.
//
// A job is an object in the platform's store, and so is each chunk of its results,
// named by the job's id and a consecutive number. The first owner to create a chunk
// determines the results at its positions. Safety therefore needs no lease: two owners
// running the same job duplicate work but never store conflicting results. The owner of
// a job is selected by rendezvous hashing among the live owners that reach the store. A
// result is called listed once it is stored in a chunk.
//
// # Usage
//
//	owner := cicadabatch.NewOwner(ctx, "owner-1", store, table, client, config, owners, log)
//	resp, err := owner.Handle(ctx, &cicadabatch.Call{Kind: cicadabatch.CallSubmit, Job: "7c41e0", ...})
//	resp, err = owner.Handle(ctx, &cicadabatch.Call{Kind: cicadabatch.CallReadResults, Job: "7c41e0", Wait: time.Second})
//
// Items start when a slot is idle: those that can still be in time before those that
// are late, and the job with the earliest due time first. When online requests need the
// slots, items are preempted, and later resume after their last event at any endpoint of the
// software version that began their output. Where that is gone, they start anew.
package cicadabatch

import (
	"context"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/singleflight"

	"cicadalink.example/cicadagateway/cicadaexchange"
	"cicadalink.example/cicadagateway/cicadafollow"
	"cicadalink.example/cicadagateway/cicadapeer"
	"cicadalink.example/cicadagateway/cicadaplace"
	"cicadalink.example/cicadagateway/cicadareservation"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadatask"
	"cicadalink.example/cicadakernel/cicadaview"
)

const (
	// startDelay gives a new owner time to discover its peers before it runs jobs.
	startDelay   = 900 * time.Millisecond
	tickInterval = 100 * time.Millisecond
	// minPause is the time between two ticks from which on the event loop is said to have
	// been paused.
	minPause = time.Second
	// flushDelay is how long a result waits for others of its job to be stored in the
	// same chunk. urgentFlushDelay applies instead if the job is due within
	// urgentFlushWindow.
	flushDelay        = time.Second
	urgentFlushDelay  = 400 * time.Millisecond
	urgentFlushWindow = 6 * time.Second
	// defaultRetention is the minimum time that a job stays readable after its
	// acceptance.
	defaultRetention = 10 * time.Minute
	// maxClockSkew is the largest assumed difference between the wall clocks of two
	// VMs. A job whose age was computed from another VM's clock is abandoned later by
	// this much.
	maxClockSkew  = 10 * time.Second
	taskQueueSize = 256
	// stallLimit is how long the event loop may make no progress. It never waits for I/O.
	stallLimit = 10 * time.Second
)

// An Owner runs the jobs assigned to it. Its mutable state is accessed only by one event loop.
type Owner struct {
	name           string
	store          *cicadaplatform.Client
	table          *cicadaplace.Table
	client         *cicadaexchange.Client
	config         func() *cicadaview.Config
	owners         func() []string
	peers          func() []cicadapeer.OwnerView
	onRoster       func()
	sendHandOver   func(ctx context.Context, job string, p []Progress) error
	sendCheckpoint func(ctx context.Context, p Checkpoint) error
	sendWaiting    func(ctx context.Context, reports []WaitingTokens)
	limiter        *cicadareservation.Limiter // nil if the limits of routes are not enforced
	submissions    singleflight.Group         // by customer and job
	doubts         doubts
	checkpointFile *CheckpointFile
	retention      time.Duration
	endTimes       endTimes
	metrics        *metrics
	log            hclog.Logger
	tasks          chan func()
	wakeup         chan struct{}
	ctx            context.Context
	startedAt      time.Time
	published      atomic.Pointer[[]cicadapeer.RosterEntry] // the roster, see Roster
	wg             cicadatask.Group

	// The fields below are accessed only by the event loop.
	jobs            map[string]*job
	estimate        runEstimate
	running         map[string][]*item // by endpoint
	roster          *roster            // from which job.owned was last computed
	tenure          tenure
	assignments     int             // how often jobs may have moved to or from this owner
	unconfirmed     string          // names of the owners that did not confirm at the last check
	lastTick        time.Time       // when the event loop last did its periodic work
	lastScan        time.Time       // when the waiting items were last scanned
	waitingServices map[string]bool // services with waiting items at the last scan; true if some can run at any version

	lastCheckpoint time.Time
	saving         bool                                 // a checkpoint is being written
	saveFull       bool                                 // the next checkpoint must be full
	nextSaveAt     time.Time                            // earliest time of the next save, after a failed one
	recovered      map[string]map[string]*recoveredItem // by job and item
	jobsReceived   bool                                 // the store's list of jobs has been received
	recoveryDone   bool                                 // recovered progress has been assigned to jobs or dropped

	loads         loadBreaker
	view          JobsView  // nil if what Apply was called with is trusted
	jobsAsOf      time.Time // see confirmJobs
	catchingUp    bool      // a catch-up is in progress
	catchUpFailed bool      // the last one
	nextCatchUp   time.Time // earliest time of the next one, after one that failed

	lastWaitingReport time.Time
	lastWaitingRepeat time.Time // when reports of waiting tokens were last considered for repetition
}

// An Option configures an Owner.
type Option func(*Owner)

// WithHandOver sets the function that sends the progress of a job to the owner that
// the job has moved to.
func WithHandOver(send func(ctx context.Context, job string, p []Progress) error) Option {
	return func(o *Owner) { o.sendHandOver = send }
}

// WithRetention sets how long a job stays readable after its acceptance. A job that
// is still running then is kept until all its results are listed.
func WithRetention(retention time.Duration) Option { return func(o *Owner) { o.retention = retention } }

// WithReplication sets the function that sends checkpoints to the owner that would
// run a job if this one failed.
func WithReplication(send func(ctx context.Context, p Checkpoint) error) Option {
	return func(o *Owner) { o.sendCheckpoint = send }
}

// WithLimiter sets the limiter that keeps waiting tokens within the limits of routes. send
// reports the waiting tokens of jobs that other owners have accepted to the other owners.
func WithLimiter(limiter *cicadareservation.Limiter, send func(ctx context.Context, reports []WaitingTokens)) Option {
	return func(o *Owner) { o.limiter, o.sendWaiting = limiter, send }
}

// WithCheckpoints sets the file in which the owner stores checkpoints. The owner resumes
// items from the checkpoints that the file already contains.
func WithCheckpoints(file *CheckpointFile) Option {
	return func(o *Owner) { o.checkpointFile, o.recovered = file, file.recovered }
}

// WithPeers sets the function that returns what the other owners report, by which the owner
// knows whether they leave its jobs to it, and the function that is called when the owner's own
// Roster has changed and should be reported. Without it, the owner trusts its own view.
func WithPeers(peers func() []cicadapeer.OwnerView, onRoster func()) Option {
	return func(o *Owner) { o.peers, o.onRoster = peers, onRoster }
}

// WithScope sets the scope for the owner's metrics.
func WithScope(scope tally.Scope) Option {
	return func(o *Owner) { o.metrics = newMetrics(scope) }
}

// NewOwner starts an owner that runs until ctx ends. owners returns the names of the
// owners, including this one, that may currently run jobs.
func NewOwner(ctx context.Context, name string, store *cicadaplatform.Client, table *cicadaplace.Table, client *cicadaexchange.Client,
	config func() *cicadaview.Config, owners func() []string, log hclog.Logger, opts ...Option,
) *Owner {
	o := &Owner{
		name: name, store: store, table: table, client: client, config: config, owners: owners, log: log,
		tasks: make(chan func(), taskQueueSize), wakeup: make(chan struct{}, 1), ctx: ctx, startedAt: time.Now(),
		jobs: make(map[string]*job), running: make(map[string][]*item), waitingServices: make(map[string]bool),
		sendHandOver:   func(context.Context, string, []Progress) error { return nil },
		sendCheckpoint: func(context.Context, Checkpoint) error { return nil },
		peers:          func() []cicadapeer.OwnerView { return nil },
		onRoster:       func() {},
		roster:         newRoster(name), tenure: tenure{terms: make(map[string]term)},
		retention: defaultRetention, endTimes: newEndTimes(defaultEndLimit), saveFull: true, metrics: newMetrics(tally.NoopScope),
	}
	for _, opt := range opts {
		opt(o)
	}
	watch := cicadatask.NewWatch(ctx, "event loop of jobs", stallLimit)
	o.wg.Go(func() {
		ticker := time.NewTicker(tickInterval)
		defer ticker.Stop()
		for {
			watch.Progress()
			select {
			case <-ctx.Done():
				return
			case f := <-o.tasks:
				if ctx.Err() != nil {
					return // the ends of runs that were cancelled begin no others
				}
				f()
				continue
			case <-ticker.C:
				o.updateWaiting(time.Now())
				o.runMaintenance()
			case <-o.wakeup:
			}
			if ctx.Err() == nil {
				o.schedule()
			}
		}
	})
	return o
}

// Wake makes the owner reconsider which items to start and preempt, for instance
// after a change of load.
func (o *Owner) Wake() {
	select {
	case o.wakeup <- struct{}{}:
	default:
	}
}

// enqueue schedules f to run in the event loop.
func (o *Owner) enqueue(f func()) {
	select {
	case o.tasks <- f:
	case <-o.ctx.Done():
	}
}

// Apply applies a change of the job objects in the store.
func (o *Owner) Apply(c cicadafollow.Change) {
	objects, full, began := c.Objects(), c.Full(), c.Began()
	o.enqueue(func() {
		for _, obj := range objects {
			o.applyJob(obj, full)
		}
		o.confirmJobs(began)
		o.jobsReceived = o.jobsReceived || full
		o.Wake()
	})
}

func (o *Owner) applyJob(obj cicadaplatform.Object, full bool) {
	id := strings.TrimPrefix(obj.Name(), JobsPrefix)
	if obj.Value() == nil {
		o.removeJob(id)
		return
	}
	r, err := decodeRecord(obj.Value())
	if err != nil {
		o.log.Error("failed to decode job", "job", id, "version", obj.Version(), "error", err)
		return
	}
	if existing := o.jobs[id]; existing != nil {
		existing.version = max(existing.version, obj.Version())
		if r.Ended && !existing.ended {
			o.applyEnded(existing)
		}
		return
	}
	now, age := time.Now(), time.Duration(0)
	if full {
		age = recordAge(r, now)
	}
	j := o.addJob(id, r, now.Add(-age))
	j.version, j.ownedSince = obj.Version(), now
	if r.SubmittedBy != o.name {
		o.releaseTokens(r.Host, r.Path, r.Customer, id)
	}
	if age > 0 {
		j.clockSkew = maxClockSkew
	}
}

// recordAge returns the time since a job's acceptance. It compares the wall clocks of
// two VMs, so the result is limited to between zero and the job's give-up time.
func recordAge(r jobRecord, now time.Time) time.Duration {
	age := time.Duration(now.UnixMilli()-r.AcceptedMs) * time.Millisecond
	return min(max(age, 0), time.Duration(r.GiveUpMs)*time.Millisecond)
}

func (o *Owner) addJob(id string, r jobRecord, acceptedAt time.Time) *job {
	j := newJob(id, r, acceptedAt)
	j.owned = o.roster.ownerOf(id) == o.name
	j.bodiesMissing = r.Parts > 0 && !r.Ended
	o.jobs[id] = j
	o.restoreRecovered(j)
	o.log.Info("job known", "job", id, "items", r.Total, "mine", j.owned, "ended", r.Ended, "age", time.Since(acceptedAt).String())
	return j
}

func (o *Owner) removeJob(id string) {
	if j := o.jobs[id]; j != nil {
		o.stopRuns(j, "job removed")
		delete(o.jobs, id)
	}
}

func (o *Owner) applyEnded(j *job) {
	started := 0
	for _, it := range j.items {
		if it.run != nil {
			started++
		}
	}
	o.log.Info("job ended", "job", j.id, "listed", len(j.results), "started", started, "items", j.record.Total, "mine", j.owned)
	j.ended = true
	o.stopRuns(j, "job ended")
	for _, it := range j.items {
		it.Body = nil
	}
}

func (o *Owner) stopRuns(j *job, reason string) {
	for _, it := range j.items {
		if it.state == itemRunning {
			o.log.Info("run ended", "item", it.ID, "job", j.id, "reason", reason)
			it.stop()
		}
	}
}

// runMaintenance performs the periodic work: it reassigns jobs, writes checkpoints,
// deletes expired jobs, loads and stores results and abandons overdue items.
func (o *Owner) runMaintenance() {
	now := time.Now()
	o.recordPause(now)
	if now.Sub(o.startedAt) < startDelay {
		return
	}
	o.reassignJobs()
	o.checkTenure(now)
	o.handOverRecovered()
	o.checkpoint(now)
	for _, j := range o.jobs {
		switch {
		case now.Sub(j.acceptedAt) > o.retention && (j.ended || j.allListed() || !j.owned):
			o.expire(j)
		case j.owned && !j.loaded:
			o.loadResults(j, now)
		case j.owned && j.loaded:
			o.abandonItems(j, now)
			o.flush(j, now)
		}
	}
}

// recordPause records that the event loop did not run for at least minPause, as after the
// process was suspended.
func (o *Owner) recordPause(now time.Time) {
	if pause := now.Sub(o.lastTick); !o.lastTick.IsZero() && pause >= minPause {
		o.metrics.pauses.Inc(1)
		o.log.Warn("event loop paused", "for", pause.String(), "jobs", len(o.jobs))
	}
	o.lastTick = now
}

func (o *Owner) expire(j *job) {
	delete(o.jobs, j.id)
	if !j.owned {
		return
	}
	id, version, versions, parts := j.id, j.version, j.chunkVersions, j.record.Parts
	o.wg.Go(func() {
		// Delete the job first: results without a job are never read, but a job
		// without its results would be run again.
		if err := o.store.Delete(o.ctx, cicadaplatform.ClassUpload, JobsPrefix+id, version); err != nil {
			o.log.Warn("failed to delete expired job", "job", id, "error", err)
			return
		}
		for n, v := range versions {
			if err := o.store.Delete(o.ctx, cicadaplatform.ClassUpload, chunkName(id, n), v); err != nil {
				o.log.Warn("failed to delete expired results", "job", id, "error", err)
			}
		}
		if err := deleteParts(o.ctx, o.store, id, parts); err != nil {
			o.log.Warn("failed to delete expired items", "job", id, "error", err)
		}
	})
}

func (o *Owner) appendChunk(j *job, c chunk) {
	for _, it := range j.appendChunk(c) {
		it.stop()
	}
}

// notifyWaiters wakes the readers that wait for results.
func (o *Owner) notifyWaiters(j *job) {
	waiters := j.waiters
	j.waiters = nil
	for _, wake := range waiters {
		wake()
	}
}
