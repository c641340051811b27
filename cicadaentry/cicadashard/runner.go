package cicadashard

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/sourcegraph/conc"

	"cicadalink.example/cicadaentry/cicadafile"
	"cicadalink.example/cicadakernel/cicadajob"
	"cicadalink.example/cicadakernel/cicadaretry"
	"cicadalink.example/cicadakernel/cicadawire"
)

const (
	runnerTick     = 250 * time.Millisecond
	idleBackoff    = 20 * time.Millisecond
	keptDurations  = 101
	expiryWindows  = 2
	sweepJobsEvery = time.Minute
	maxSpeculative = 16
	// copyInterval is how long an item whose copy found no room waits for
	// another.
	copyInterval = 2 * time.Second
)

// A runner works off the jobs of one shard.
type runner struct {
	o     *owner
	tasks conc.WaitGroup
	wake  chan struct{}

	mu       sync.Mutex
	jobs     map[string]*jobRun
	inFlight int
	holdTill time.Time
	swept    time.Time
}

// A jobRun is a job that is being worked off.
type jobRun struct {
	accepted  *cicadawire.JobAccepted
	ctx       context.Context //nolint:containedctx // ends with the job
	cancel    context.CancelFunc
	lines     *cicadafile.Lines
	index     int64
	exhausted bool
	again     []*item
	running   map[int64]*item
	durations []float64
	ending    bool
}

// An item is one line of a job's input.
type item struct {
	job      *jobRun
	index    int64
	line     []byte
	claimed  string
	started  time.Time
	attempts int32
	cuts     int
	copies   int
	lost     bool
	reclaim  bool
	// repeatable is set once the item is known to be idempotent.
	repeatable bool
	nextCopy   time.Time
	cancel     context.CancelFunc
}

func newRunner(o *owner) *runner {
	return &runner{o: o, wake: make(chan struct{}, 1), jobs: make(map[string]*jobRun)}
}

func (r *runner) close() {
	r.mu.Lock()
	for _, j := range r.jobs {
		j.cancel()
	}
	r.mu.Unlock()
	r.tasks.Wait()
}

func (r *runner) nudge() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// loop is the shard's control thread: it takes in changes of the jobs and
// starts items as long as there is room.
func (r *runner) loop(ctx context.Context) {
	ticker := time.NewTicker(runnerTick)
	defer ticker.Stop()
	for ctx.Err() == nil {
		changed := r.o.watchState()
		r.syncJobs(ctx)
		for r.startNext(ctx) {
		}
		r.speculate(ctx)
		r.sweepJobs(ctx)
		select {
		case <-changed:
		case <-r.wake:
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// syncJobs brings the runs in line with the state: new jobs start, cancelled
// ones stop, finished ones end.
func (r *runner) syncJobs(ctx context.Context) {
	var ended []*cicadawire.JobEnded
	r.o.mu.Lock()
	r.mu.Lock()
	now := time.Now()
	for _, j := range r.o.state.Jobs("") {
		run := r.jobs[j.ID()]
		if j.Ended() {
			if run != nil {
				run.cancel()
				delete(r.jobs, j.ID())
			}
			continue
		}
		if run == nil {
			run = r.newRun(ctx, j.Accepted())
			r.jobs[j.ID()] = run
		}
		if end := r.endOf(j, run, now); end != "" && !run.ending {
			run.ending = true
			ended = append(ended, &cicadawire.JobEnded{Job: j.ID(), State: end, AtMs: now.UnixMilli()})
		}
	}
	r.mu.Unlock()
	r.o.mu.Unlock()
	for _, end := range ended {
		r.o.writer.Add(&cicadawire.Record{Kind: &cicadawire.Record_JobEnded{JobEnded: end}}, nil)
	}
}

func (r *runner) newRun(ctx context.Context, accepted *cicadawire.JobAccepted) *jobRun {
	ctx, cancel := context.WithCancel(ctx)
	return &jobRun{accepted: accepted, ctx: ctx, cancel: cancel, running: make(map[int64]*item)}
}

// endOf returns the state in which a job ends now, or "". A job that is
// cancelled or expires ends once nothing of it runs, so that what has run is
// recorded.
func (r *runner) endOf(j *cicadajob.Job, run *jobRun, now time.Time) string {
	window := j.Accepted().GetDueMs() - j.Accepted().GetCreatedMs()
	expired := now.UnixMilli() > j.Accepted().GetCreatedMs()+expiryWindows*window
	switch {
	case j.Remaining() == 0:
		return cicadajob.StateCompleted
	case j.State() == cicadajob.StateCancelling:
		return run.stop(cicadajob.StateCancelled)
	case expired:
		return run.stop(cicadajob.StateExpired)
	}
	return ""
}

// stop cancels what may be cancelled, and returns the end state once nothing
// runs.
func (j *jobRun) stop(state string) string {
	j.exhausted = true
	j.again = nil
	for _, it := range j.running {
		if it.claimed == "" && it.cancel != nil {
			it.cancel()
		}
	}
	if len(j.running) > 0 {
		return ""
	}
	return state
}

// startNext starts the item that is most pressing. It reports false when there
// is none or no room for it.
func (r *runner) startNext(ctx context.Context) bool {
	j := r.nextJob()
	if j == nil {
		return false
	}
	it, err := r.nextItem(ctx, j)
	if err != nil {
		r.hold(runnerTick)
		return false
	}
	if it == nil {
		return true
	}
	r.start(it)
	return true
}

func (r *runner) nextJob() *jobRun {
	r.mu.Lock()
	defer r.mu.Unlock()
	width := r.o.m.cfg.Width
	now := time.Now()
	if r.inFlight >= width || now.Before(r.holdTill) {
		return nil
	}
	demands, runs := r.demands()
	i := cicadajob.Next(demands, now.UnixMilli(), width)
	if i < 0 {
		return nil
	}
	return runs[i]
}

func (r *runner) demands() ([]cicadajob.Demand, []*jobRun) {
	config := r.o.m.deps.Config()
	running := make(map[string]int)
	for _, j := range r.jobs {
		running[j.accepted.GetCustomer()] += len(j.running)
	}
	var demands []cicadajob.Demand
	var runs []*jobRun
	for _, j := range r.jobs {
		account, ok := config.Customer(j.accepted.GetCustomer())
		if !ok || account.Suspended() || j.ending {
			continue
		}
		remaining := int64(len(j.again))
		if !j.exhausted {
			remaining += max(j.accepted.GetItems()-j.index, 1)
		}
		demands = append(demands, cicadajob.Demand{
			Job:       j.accepted.GetId(),
			Customer:  j.accepted.GetCustomer(),
			Running:   running[j.accepted.GetCustomer()],
			Limit:     account.Parameters().BatchConcurrency,
			Remaining: remaining,
			InFlight:  len(j.running),
			DueMs:     j.accepted.GetDueMs(),
			ItemMs:    mean(j.durations),
		})
		runs = append(runs, j)
	}
	return demands, runs
}

func mean(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// nextItem returns the next item of a job that is not accounted for, or nil
// when the line read is. Only the control thread calls it.
func (r *runner) nextItem(ctx context.Context, j *jobRun) (*item, error) {
	r.mu.Lock()
	if n := len(j.again); n > 0 {
		it := j.again[0]
		j.again = j.again[1:]
		r.mu.Unlock()
		return it, nil
	}
	r.mu.Unlock()
	if j.lines == nil {
		meta, err := r.o.m.deps.Files.Get(ctx, j.accepted.GetCustomer(), j.accepted.GetFile())
		if err != nil {
			return nil, err
		}
		j.lines = r.o.m.deps.Files.Lines(meta)
	}
	line, err := j.lines.Next(ctx)
	if errors.Is(err, io.EOF) {
		r.mu.Lock()
		j.exhausted = true
		r.mu.Unlock()
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	index := j.index
	r.mu.Lock()
	j.index++
	r.mu.Unlock()
	done, claimed := r.o.itemState(j.accepted.GetId(), index)
	if done {
		return nil, nil
	}
	return &item{job: j, index: index, line: line, claimed: claimed, lost: claimed != ""}, nil
}

func (o *owner) itemState(id string, index int64) (done bool, claimed string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	j, ok := o.state.Job(id)
	if !ok {
		return true, ""
	}
	claimed, _ = j.Claim(index)
	return j.Done(index), claimed
}

// start runs an item in the background.
func (r *runner) start(it *item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := it.job
	if j.ending || j.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(j.ctx)
	if it.started.IsZero() {
		it.started = time.Now()
	}
	it.cancel = cancel
	it.copies = 1
	j.running[it.index] = it
	r.inFlight++
	r.tasks.Go(func() {
		defer cancel()
		end := r.work(ctx, it)
		r.finish(it, end)
	})
}

// An itemEnd says what became of one run of an item.
type itemEnd struct {
	record *cicadawire.ItemDone
	busy   bool
	retry  bool
}

// finish records an item's result, or puts it back. Recording may block while
// too much waits for the store; the item counts as in flight until then, which
// holds back the start of others.
func (r *runner) finish(it *item, end itemEnd) {
	if end.record != nil {
		r.record(it, end.record)
	}
	r.mu.Lock()
	r.inFlight--
	it.copies--
	j := it.job
	if it.copies == 0 {
		delete(j.running, it.index)
		if end.record == nil && (end.busy || end.retry) && j.ctx.Err() == nil {
			j.again = append(j.again, it)
		}
	}
	if end.record != nil && !end.record.GetFailed() {
		j.durations = append(j.durations, float64(time.Since(it.started).Milliseconds()))
		if len(j.durations) > keptDurations {
			j.durations = j.durations[1:]
		}
	}
	if end.busy {
		r.holdTill = time.Now().Add(jittered(idleBackoff))
	}
	r.mu.Unlock()
	if end.busy {
		cicadaretry.Wait(it.job.ctx, jittered(idleBackoff))
	}
	r.nudge()
}

func (r *runner) record(it *item, done *cicadawire.ItemDone) {
	done.Job = it.job.accepted.GetId()
	done.Index = it.index
	done.Attempts = max(it.attempts, 1)
	r.o.writer.Add(&cicadawire.Record{Kind: &cicadawire.Record_ItemDone{ItemDone: done}}, nil)
	r.o.m.deps.Scope.Counter("batch_items_done").Inc(1)
}

func (r *runner) hold(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holdTill = time.Now().Add(jittered(d))
}

// speculate starts a second copy of items that run much longer than the others
// of a job that has nothing left to start.
func (r *runner) speculate(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Before(r.holdTill) {
		return
	}
	started := 0
	for _, j := range r.jobs {
		if !j.exhausted && j.index < j.accepted.GetItems() || j.ending {
			continue
		}
		for _, it := range j.running {
			ran := float64(now.Sub(it.started).Milliseconds())
			if started == maxSpeculative || it.copies != 1 || !it.repeatable || now.Before(it.nextCopy) ||
				!cicadajob.Straggler(ran, j.durations, int64(len(j.again))) {
				continue
			}
			started++
			it.nextCopy = now.Add(copyInterval)
			r.startCopy(it)
		}
	}
}

func (r *runner) startCopy(it *item) {
	it.copies++
	r.inFlight++
	r.o.m.deps.Scope.Counter("batch_items_speculated").Inc(1)
	first := it.cancel
	ctx, cancel := context.WithCancel(it.job.ctx)
	it.cancel = func() {
		first()
		cancel()
	}
	r.tasks.Go(func() {
		defer cancel()
		end := r.work(ctx, it)
		if end.record != nil {
			first()
		}
		r.finish(it, end)
	})
}

// sweepJobs forgets ended jobs whose retention has passed.
func (r *runner) sweepJobs(ctx context.Context) {
	if time.Since(r.swept) < sweepJobsEvery || ctx.Err() != nil {
		return
	}
	r.swept = time.Now()
	config := r.o.m.deps.Config()
	var forgotten []string
	r.o.mu.Lock()
	for _, j := range r.o.state.Jobs("") {
		account, ok := config.Customer(j.Accepted().GetCustomer())
		if !ok || !j.Ended() {
			continue
		}
		if time.Since(time.UnixMilli(j.EndedMs())) > account.Retention() {
			forgotten = append(forgotten, j.ID())
		}
	}
	r.o.mu.Unlock()
	for _, id := range forgotten {
		record := &cicadawire.Record{Kind: &cicadawire.Record_JobForgotten{JobForgotten: &cicadawire.JobForgotten{Job: id}}}
		r.o.writer.Add(record, nil)
	}
}
