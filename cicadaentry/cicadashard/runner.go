package cicadashard

import (
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"cicadalink.example/cicadaentry/cicadafile"
	"cicadalink.example/cicadakernel/cicadajob"
	"cicadalink.example/cicadakernel/cicadaretry"
	"cicadalink.example/cicadakernel/cicadatask"
	"cicadalink.example/cicadakernel/cicadawire"
)

const (
	schedulingInterval = 250 * time.Millisecond
	busyBackoff        = 20 * time.Millisecond
	// maxDurations is how many durations of recent items are kept per job.
	maxDurations = 101
	// windowsUntilExpiry is the number of completion windows after which a job
	// expires.
	windowsUntilExpiry = 2
	forgetJobsInterval = time.Minute
	// maxSpeculativeStarts limits the speculative executions that are started in one
	// pass of the scheduling loop.
	maxSpeculativeStarts = 16
	// speculationRetryInterval is the minimum time between two speculative
	// executions of an item. Without it, an execution that finds no idle slot
	// would be started again immediately.
	speculationRetryInterval = 2 * time.Second
)

// A jobRunner schedules and runs the items of one shard's jobs.
type jobRunner struct {
	owner *owner
	tasks cicadatask.Group
	wake  chan struct{}

	mu            sync.Mutex
	jobs          map[string]*activeJob
	inFlight      int
	pausedUntil   time.Time
	lastForgetRun time.Time
}

// An activeJob is a job that has not ended, with its position in the input.
type activeJob struct {
	accepted       *cicadawire.JobAccepted
	ctx            context.Context //nolint:containedctx // ends with the job
	cancel         context.CancelFunc
	lines          *cicadafile.LineReader
	nextIndex      int64
	inputExhausted bool
	requeued       []*item
	running        map[int64]*item
	durationsMs    []float64
	endRecorded    bool
}

// An item is one line of a job's input and the state of its execution.
type item struct {
	job            *activeJob
	index          int64
	line           []byte
	claimAttempt   string
	started        time.Time
	failedAttempts int32
	lostEndpoints  int // that crashed or became unreachable during a run, up to maxLostShift
	executions     int
	outcomeUnknown bool
	needsNewClaim  bool
	// idempotent is set once the item's request is known to be idempotent. Only
	// then may it be executed twice at the same time.
	idempotent      bool
	nextSpeculation time.Time
	cancel          context.CancelFunc
}

func newJobRunner(owner *owner) *jobRunner {
	return &jobRunner{owner: owner, wake: make(chan struct{}, 1), jobs: make(map[string]*activeJob)}
}

func (r *jobRunner) close() {
	r.mu.Lock()
	for _, j := range r.jobs {
		j.cancel()
	}
	r.mu.Unlock()
	r.tasks.Wait()
}

func (r *jobRunner) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// loop is the shard's scheduling loop. It updates the active jobs after each change
// of the shard's state and starts items up to the concurrency limits.
func (r *jobRunner) loop(ctx context.Context) {
	ticker := time.NewTicker(schedulingInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		changed := r.owner.stateChange()
		r.syncJobs(ctx)
		for r.startNextItem(ctx) {
		}
		r.speculate(ctx)
		r.forgetEndedJobs(ctx)
		select {
		case <-changed:
		case <-r.wake:
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// syncJobs updates the active jobs from the shard's state: it adds new jobs,
// stops cancelled and expired ones, and records the end of those that are done.
func (r *jobRunner) syncJobs(ctx context.Context) {
	var jobsEnded []*cicadawire.JobEnded
	r.owner.mu.Lock()
	r.mu.Lock()
	now := time.Now()
	for _, j := range r.owner.state.Jobs("") {
		active := r.jobs[j.ID()]
		if j.Ended() {
			if active != nil {
				active.cancel()
				delete(r.jobs, j.ID())
			}
			continue
		}
		if active == nil {
			active = r.newActiveJob(ctx, j.Accepted())
			r.jobs[j.ID()] = active
		}
		if end := r.endState(j, active, now); end != "" && !active.endRecorded {
			active.endRecorded = true
			jobsEnded = append(jobsEnded, &cicadawire.JobEnded{Job: j.ID(), State: end, AtMs: now.UnixMilli()})
		}
	}
	r.mu.Unlock()
	r.owner.mu.Unlock()
	for _, end := range jobsEnded {
		r.owner.writer.Add(&cicadawire.Record{Kind: &cicadawire.Record_JobEnded{JobEnded: end}}, nil)
	}
}

func (r *jobRunner) newActiveJob(ctx context.Context, accepted *cicadawire.JobAccepted) *activeJob {
	ctx, cancel := context.WithCancel(ctx)
	return &activeJob{accepted: accepted, ctx: ctx, cancel: cancel, running: make(map[int64]*item)}
}

// endState returns the state in which a job ends now, or "" if it does not end. A
// job that is cancelled or has expired ends only when none of its items is
// running, so that the results of those that ran are recorded.
func (r *jobRunner) endState(j *cicadajob.Job, active *activeJob, now time.Time) string {
	window := j.Accepted().GetDueMs() - j.Accepted().GetCreatedMs()
	expired := now.UnixMilli() > j.Accepted().GetCreatedMs()+windowsUntilExpiry*window
	switch {
	case j.Remaining() == 0:
		return cicadajob.StateCompleted
	case j.State() == cicadajob.StateCancelling:
		return active.stop(cicadajob.StateCancelled)
	case expired:
		return active.stop(cicadajob.StateExpired)
	}
	return ""
}

// stop prevents the start of further items and cancels the running ones, except
// claimed ones, whose outcome must be recorded. It returns state if no item is
// running, and "" otherwise.
func (j *activeJob) stop(state string) string {
	j.inputExhausted = true
	j.requeued = nil
	for _, it := range j.running {
		if it.claimAttempt == "" && it.cancel != nil {
			it.cancel()
		}
	}
	if len(j.running) > 0 {
		return ""
	}
	return state
}

// startNextItem starts the next item by priority. It reports false if no item is
// ready, a limit is reached, or the input cannot be read now.
func (r *jobRunner) startNextItem(ctx context.Context) bool {
	j := r.nextJob()
	if j == nil {
		return false
	}
	it, err := r.nextItem(ctx, j)
	if err != nil {
		r.pause(schedulingInterval)
		return false
	}
	if it == nil {
		return true
	}
	r.startItem(it)
	return true
}

func (r *jobRunner) nextJob() *activeJob {
	r.mu.Lock()
	defer r.mu.Unlock()
	limit := r.owner.manager.cfg.MaxRunningItems
	now := time.Now()
	if r.inFlight >= limit || now.Before(r.pausedUntil) {
		return nil
	}
	demands, jobs := r.demands()
	i := cicadajob.SelectNext(demands, now.UnixMilli(), limit)
	if i < 0 {
		return nil
	}
	return jobs[i]
}

func (r *jobRunner) demands() ([]cicadajob.Demand, []*activeJob) {
	config := r.owner.manager.deps.Config()
	running := make(map[string]int)
	for _, j := range r.jobs {
		running[j.accepted.GetCustomer()] += len(j.running)
	}
	var demands []cicadajob.Demand
	var jobs []*activeJob
	for _, j := range r.jobs {
		customer, ok := config.Customer(j.accepted.GetCustomer())
		if !ok || customer.Suspended() || j.endRecorded {
			continue
		}
		remaining := int64(len(j.requeued))
		if !j.inputExhausted {
			remaining += max(j.accepted.GetItems()-j.nextIndex, 1)
		}
		demands = append(demands, cicadajob.Demand{
			Job:       j.accepted.GetId(),
			Customer:  j.accepted.GetCustomer(),
			Running:   running[j.accepted.GetCustomer()],
			Limit:     customer.Parameters().BatchConcurrency,
			Remaining: remaining,
			InFlight:  len(j.running),
			DueMs:     j.accepted.GetDueMs(),
			ItemMs:    mean(j.durationsMs),
		})
		jobs = append(jobs, j)
	}
	return demands, jobs
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

// nextItem returns a requeued item or the one on the next line of a job's input.
// It returns nil at the end of the input and for a line whose result is recorded
// already. Only the scheduling loop calls it.
func (r *jobRunner) nextItem(ctx context.Context, j *activeJob) (*item, error) {
	r.mu.Lock()
	if n := len(j.requeued); n > 0 {
		it := j.requeued[0]
		j.requeued = j.requeued[1:]
		r.mu.Unlock()
		return it, nil
	}
	r.mu.Unlock()
	if j.lines == nil {
		meta, err := r.owner.manager.deps.Files.Get(ctx, j.accepted.GetCustomer(), j.accepted.GetFile())
		if err != nil {
			return nil, err
		}
		j.lines = r.owner.manager.deps.Files.Lines(meta)
	}
	line, err := j.lines.Next(ctx)
	if errors.Is(err, io.EOF) {
		r.mu.Lock()
		j.inputExhausted = true
		r.mu.Unlock()
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	index := j.nextIndex
	r.mu.Lock()
	j.nextIndex++
	r.mu.Unlock()
	done, claimAttempt := r.owner.itemState(j.accepted.GetId(), index)
	if done {
		return nil, nil
	}
	return &item{job: j, index: index, line: line, claimAttempt: claimAttempt, outcomeUnknown: claimAttempt != ""}, nil
}

func (o *owner) itemState(id string, index int64) (done bool, claimAttempt string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	j, ok := o.state.Job(id)
	if !ok {
		return true, ""
	}
	claimAttempt, _ = j.Claim(index)
	return j.Done(index), claimAttempt
}

// startItem runs an item in the background.
func (r *jobRunner) startItem(it *item) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := it.job
	if j.endRecorded || j.ctx.Err() != nil {
		return
	}
	ctx, cancel := context.WithCancel(j.ctx)
	if it.started.IsZero() {
		it.started = time.Now()
	}
	it.cancel = cancel
	it.executions = 1
	j.running[it.index] = it
	r.inFlight++
	r.tasks.Go(func() {
		defer cancel()
		outcome := r.runItem(ctx, it)
		r.finishItem(it, outcome)
	})
}

// An itemOutcome is the outcome of one execution of an item. If record is nil, the
// item is requeued if backOff or requeue is set, or after delay if that is set. With
// backOff, the start of other items is also paused for a short time.
type itemOutcome struct {
	record  *cicadawire.ItemDone
	backOff bool
	requeue bool
	delay   time.Duration
}

// finishItem records an item's result or requeues the item. Recording blocks
// while the writer's buffer is full. The item counts as in flight until then,
// which applies backpressure to the start of others.
func (r *jobRunner) finishItem(it *item, outcome itemOutcome) {
	if outcome.record != nil {
		r.recordResult(it, outcome.record)
	}
	r.mu.Lock()
	r.inFlight--
	it.executions--
	j := it.job
	if it.executions == 0 {
		delete(j.running, it.index)
		if outcome.record == nil && (outcome.backOff || outcome.requeue) && j.ctx.Err() == nil {
			j.requeued = append(j.requeued, it)
		}
		if outcome.delay > 0 {
			r.requeueAfter(it, outcome.delay)
		}
	}
	if outcome.record != nil && !outcome.record.GetFailed() {
		j.durationsMs = append(j.durationsMs, float64(time.Since(it.started).Milliseconds()))
		if len(j.durationsMs) > maxDurations {
			j.durationsMs = j.durationsMs[1:]
		}
	}
	if outcome.backOff {
		r.pausedUntil = time.Now().Add(jittered(busyBackoff))
	}
	r.mu.Unlock()
	if outcome.backOff {
		cicadaretry.Sleep(it.job.ctx, jittered(busyBackoff))
	}
	r.wakeUp()
}

// requeueAfter requeues an item after a delay, unless its job has ended by then.
func (r *jobRunner) requeueAfter(it *item, delay time.Duration) {
	r.tasks.Go(func() {
		if !cicadaretry.Sleep(it.job.ctx, delay) {
			return
		}
		r.mu.Lock()
		it.job.requeued = append(it.job.requeued, it)
		r.mu.Unlock()
		r.wakeUp()
	})
}

func (r *jobRunner) recordResult(it *item, done *cicadawire.ItemDone) {
	done.Job = it.job.accepted.GetId()
	done.Index = it.index
	done.Attempts = max(it.failedAttempts, 1)
	r.owner.writer.Add(&cicadawire.Record{Kind: &cicadawire.Record_ItemDone{ItemDone: done}}, nil)
	r.owner.manager.deps.Scope.Counter("batch_items_done").Inc(1)
}

func (r *jobRunner) pause(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pausedUntil = time.Now().Add(jittered(d))
}

// speculate starts a second execution of stragglers. A straggler is an idempotent
// item that runs much longer than the others of its job, after all items of the job
// have been started.
func (r *jobRunner) speculate(ctx context.Context) {
	if ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if now.Before(r.pausedUntil) {
		return
	}
	started := 0
	for _, j := range r.jobs {
		if !j.inputExhausted && j.nextIndex < j.accepted.GetItems() || j.endRecorded {
			continue
		}
		for _, it := range j.running {
			runtimeMs := float64(now.Sub(it.started).Milliseconds())
			if started == maxSpeculativeStarts || it.executions != 1 || !it.idempotent || now.Before(it.nextSpeculation) ||
				!cicadajob.IsStraggler(runtimeMs, j.durationsMs, int64(len(j.requeued))) {
				continue
			}
			started++
			it.nextSpeculation = now.Add(speculationRetryInterval)
			r.startSpeculativeExecution(it)
		}
	}
}

func (r *jobRunner) startSpeculativeExecution(it *item) {
	it.executions++
	r.inFlight++
	r.owner.manager.deps.Scope.Counter("batch_items_speculated").Inc(1)
	cancelFirst := it.cancel
	ctx, cancel := context.WithCancel(it.job.ctx)
	it.cancel = func() {
		cancelFirst()
		cancel()
	}
	r.tasks.Go(func() {
		defer cancel()
		outcome := r.runItem(ctx, it)
		if outcome.record != nil {
			cancelFirst()
		}
		r.finishItem(it, outcome)
	})
}

// forgetEndedJobs removes ended jobs whose retention period has passed.
func (r *jobRunner) forgetEndedJobs(ctx context.Context) {
	if time.Since(r.lastForgetRun) < forgetJobsInterval || ctx.Err() != nil {
		return
	}
	r.lastForgetRun = time.Now()
	config := r.owner.manager.deps.Config()
	var expired []string
	r.owner.mu.Lock()
	for _, j := range r.owner.state.Jobs("") {
		customer, ok := config.Customer(j.Accepted().GetCustomer())
		if !ok || !j.Ended() {
			continue
		}
		if time.Since(time.UnixMilli(j.EndedMs())) > customer.Retention() {
			expired = append(expired, j.ID())
		}
	}
	r.owner.mu.Unlock()
	for _, id := range expired {
		record := &cicadawire.Record{Kind: &cicadawire.Record_JobForgotten{JobForgotten: &cicadawire.JobForgotten{Job: id}}}
		r.owner.writer.Add(record, nil)
	}
}
