package cicadabatch

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strconv"
	"time"

	"cicadalink.example/cicadagateway/cicadaexchange"
	"cicadalink.example/cicadagateway/cicadaplace"
	"cicadalink.example/cicadakernel/cicadatask"
	"cicadalink.example/cicadakernel/cicadaview"
	adapter "cicadalink.example/platform"
)

const (
	// retryDelay is the initial delay before an item is retried.
	retryDelay = 50 * time.Millisecond
	// maxRetryDelay limits the delay, which doubles with each consecutive run that
	// fails without a new event, as the item may be crashing its endpoints.
	maxRetryDelay = 5 * time.Second
	// maxBackoffShift limits the doubling, so that the shift cannot overflow.
	maxBackoffShift = 10
	// maxPinnedPerEndpoint limits the items that an owner protects from preemption at
	// one endpoint, so that online requests can always get the other slots.
	maxPinnedPerEndpoint = 1
	// missingRouteGrace is how long the configuration may lack a job's route before
	// the job's items fail.
	missingRouteGrace    = 3 * time.Second
	maxExcludedEndpoints = 3 // endpoints excluded for an item
	// exclusionTime is how long after its last failed run an item avoids endpoints. They may
	// be the only ones with room.
	exclusionTime = 2 * time.Second
)

// schedule preempts items where online requests need their slots, and starts items
// where slots are idle.
func (o *Owner) schedule() {
	now := time.Now()
	if now.Sub(o.startedAt) < startDelay {
		return
	}
	o.pinUrgent(now)
	for endpoint, n := range o.table.PreemptionCounts() {
		for range n {
			o.preempt(endpoint, now)
		}
	}
	if now.Sub(o.lastScan) < tickInterval && !o.slotAvailable() {
		return
	}
	o.lastScan = now
	clear(o.waitingServices)
	for service, waiting := range o.waitingItems(now) {
		o.waitingServices[service] = slices.ContainsFunc(waiting, func(it *item) bool { return !it.continues() })
		if free, _ := o.table.FreeSlots(service); free > 0 {
			o.startWaiting(service, waiting, now)
		}
	}
}

// slotAvailable reports whether a service that had waiting items at the last scan has a
// slot for them, or no items were waiting then. Without this check, a long backlog would
// be scanned at each change of a peer's load, which would take most of the CPU time.
// Urgent items may take more slots, and items that continue an output may use fewer; both
// wait for the next scan.
func (o *Owner) slotAvailable() bool {
	for service, anyVersion := range o.waitingServices {
		if anyVersion && o.table.BatchSlots(service) > 0 {
			return true
		}
	}
	return len(o.waitingServices) == 0
}

// startWaiting starts waiting items of a service, in scheduling order, while slots are
// idle.
func (o *Owner) startWaiting(service string, waiting []*item, now time.Time) {
	slices.SortFunc(waiting, func(a, b *item) int {
		if o.estimate.less(a, b, now) {
			return -1
		}
		return 1
	})
	for _, it := range waiting {
		if !o.mayStart(it.job, now) {
			continue
		}
		o.checkVersion(it, service, now)
		req := it.slotRequest(service, now)
		grant := o.table.AcquireBatch(req, o.estimate.slack(it, now) < urgentSlack)
		if grant != nil {
			o.startRun(it, grant)
		} else if req.Unrestricted() {
			return
		}
	}
}

func removeItem(items []*item, target *item) []*item {
	for i, it := range items {
		if it == target {
			items[i] = items[len(items)-1]
			return items[:len(items)-1]
		}
	}
	return items
}

// waitingItems returns the items that can start now, by service.
func (o *Owner) waitingItems(now time.Time) map[string][]*item {
	config := o.config()
	if config == nil {
		return nil
	}
	byService := make(map[string][]*item)
	for _, j := range o.jobs {
		if !j.owned || !j.loaded || j.ended {
			continue
		}
		for _, it := range j.items {
			if it.state != itemWaiting || now.Before(it.notBefore) {
				continue
			}
			if route, ok := config.Route(j.record.Host, it.Path); ok {
				service := serviceOf(route, it)
				byService[service] = append(byService[service], it)
			}
		}
	}
	return byService
}

// pinUrgent protects running items that would be late after a preemption. Their slots
// then count as used by online requests.
func (o *Owner) pinUrgent(now time.Time) {
	for _, running := range o.running {
		free := maxPinnedPerEndpoint - countPinned(running)
		for _, it := range running {
			if free <= 0 {
				break
			}
			if !it.pinned && o.estimate.slack(it, now) < urgentSlack && it.job.due().After(now) {
				it.pinned = true
				it.grant.Pin()
				free--
			}
		}
	}
}

func countPinned(running []*item) int {
	n := 0
	for _, it := range running {
		if it.pinned {
			n++
		}
	}
	return n
}

// preempt stops the running item at an endpoint that is last in scheduling order, and
// frees its slot. It does nothing if all items there are pinned.
func (o *Owner) preempt(endpoint string, now time.Time) {
	it := o.estimate.preemptionVictim(o.running[endpoint], now)
	if it == nil {
		return
	}
	o.metrics.preempted.Inc(1)
	o.log.Info("item preempted", "item", it.ID, "job", it.job.id, "endpoint", endpoint, "event", it.lastEvent,
		"slack", o.estimate.slack(it, now).String())
	it.stop()
	o.release(it)
}

// release frees the slot of an item. Its run may not have ended yet.
func (o *Owner) release(it *item) {
	if it.grant == nil {
		return
	}
	id := it.grant.Endpoint().ID
	o.running[id] = removeItem(o.running[id], it)
	if len(o.running[id]) == 0 {
		delete(o.running, id)
	}
	it.grant.Release()
	it.grant = nil
}

func (o *Owner) startRun(it *item, grant *cicadaplace.Grant) {
	endpoint := grant.Endpoint()
	ctx, cancel := context.WithCancel(o.ctx)
	it.state, it.grant, it.stop, it.startedAt, it.pinned = itemRunning, grant, cancel, time.Now(), false
	it.versionBusySince = time.Time{}
	o.running[endpoint.ID] = append(o.running[endpoint.ID], it)
	r := &run{firstEvent: it.lastEvent, lastEvent: it.lastEvent, grant: grant, onRateLimit: grant.RecordRateLimit, onLeaving: grant.RecordLeaving}
	it.run = r
	req := o.runRequest(it, endpoint)
	o.wg.Go(func() {
		defer cancel()
		result, err := runBroken, error(nil)
		if failure := cicadatask.Try(func() { result, err = r.execute(ctx, o.client, req, endpoint) }); failure != nil {
			result, err = runBroken, failure
			o.log.Error("run panicked", "item", it.ID, "job", it.job.id, "error", failure)
		}
		o.enqueue(func() { o.endRun(it, r, grant, result, err) })
	})
}

func (o *Owner) runRequest(it *item, endpoint cicadaview.Endpoint) cicadaexchange.Request {
	header := itemHeader(it.Item)
	if o.dropsCredentials(it.job.record.Customer) {
		header.Del(adapter.HeaderKey)
		header.Del(adapter.HeaderCustomer)
	}
	if customer := it.job.record.Customer; customer != "" {
		header.Set(adapter.HeaderCustomer, customer)
	}
	header.Set(adapter.HeaderRequestID, it.ID)
	header.Set(adapter.HeaderExpectInstance, endpoint.ID)
	deadline := time.Now().Add(max(time.Until(it.job.giveUpAt()), time.Second))
	req := cicadaexchange.Request{
		Method: http.MethodPost, Target: it.Path, Host: it.job.record.Host, Header: header, Body: it.Body,
		EchoHeader: adapter.HeaderRequestID, DeadlineHeader: adapter.HeaderDeadline, Deadline: deadline,
		Identify: endpoint.StartedMs != 0,
	}
	if it.continues() {
		header.Set(adapter.HeaderLastEventID, strconv.Itoa(it.lastEvent))
		req.StartedMs, req.SameProcess = endpoint.StartedMs, true
	}
	return req
}

// endRun applies the outcome of a run to its item.
func (o *Owner) endRun(it *item, r *run, grant *cicadaplace.Grant, result outcome, err error) {
	if it.run != r {
		return // abandoned in the meantime, and runs again
	}
	o.release(it)
	if it.state != itemRunning {
		return // listed or abandoned in the meantime
	}
	now := time.Now()
	fromStart := it.lastEvent == 0
	it.state = itemWaiting
	if r.lastEvent > it.lastEvent {
		it.backoffShift, it.emptyRests, it.otherIncarnations = 0, 0, 0
	}
	it.collectRun()
	maxAttempts := 1
	if config := o.config(); config != nil {
		if route, ok := config.Route(it.job.record.Host, it.Path); ok {
			maxAttempts = route.MaxAttempts
		}
	}
	o.log.Info("run ended", "item", it.ID, "job", it.job.id, "outcome", result.String(), "endpoint", grant.Endpoint().ID,
		"software-version", grant.Endpoint().SoftwareVersion, "registered-start", grant.Endpoint().StartedMs, "start", grant.StatedStart(), "from-event", r.firstEvent, "event", it.lastEvent,
		"status", r.status, "rate-limit", r.rateLimit, "failures", it.failures, "took", now.Sub(it.startedAt).String(),
		"slack", o.estimate.slack(it, now).String(), "error", err)
	o.metrics.runs[result].Inc(1)
	switch result {
	case runComplete:
		grant.RecordSuccess()
		if !it.confirmEnd(r) {
			o.backOff(it, grant, now)
			break
		}
		if fromStart {
			o.metrics.runTime.RecordDuration(now.Sub(it.startedAt))
			o.estimate.observe(now.Sub(it.startedAt), it.lastEvent)
		}
		it.job.finish(it, adapter.StateComplete, it.output.String(), now)
	case runRejected:
		it.job.finish(it, adapter.StateFailed, "", now)
	case runFailed:
		it.failures++
		if it.failures >= maxAttempts {
			it.job.finish(it, adapter.StateFailed, "", now)
			break
		}
		o.backOff(it, grant, now)
	case runBroken, runNotStarted:
		switch {
		case errors.Is(err, cicadaexchange.ErrOtherIncarnation):
			grant.RecordOtherIncarnation()
			o.countOtherIncarnation(it)
		case cicadaexchange.RefusedConnection(err):
			grant.RecordRefusal()
		default:
			grant.RecordFailure()
		}
		o.backOff(it, grant, now)
	case runFull:
		grant.RecordOverload()
		it.notBefore = now.Add(retryDelay)
	case runStopped:
	}
	if it.state == itemWaiting && it.handedOver != nil {
		o.applyHandOver(it)
	}
	if it.state == itemWaiting && !it.job.owned && it.lastEvent > 0 {
		o.sendProgress(it.job, []Progress{it.progress()})
	}
	o.flush(it.job, now)
	o.Wake()
}

// backOff delays the next run of an item and excludes the endpoint of the last one.
func (o *Owner) backOff(it *item, grant *cicadaplace.Grant, now time.Time) {
	it.notBefore = now.Add(min(retryDelay<<it.backoffShift, maxRetryDelay))
	it.backoffShift = min(it.backoffShift+1, maxBackoffShift)
	it.excludedEndpoints = append(it.excludedEndpoints, grant.Endpoint().ID)
	if len(it.excludedEndpoints) > maxExcludedEndpoints {
		it.excludedEndpoints = it.excludedEndpoints[1:]
	}
	it.excludedUntil = now.Add(exclusionTime)
}

// excluded returns the endpoints that an item avoids.
func (it *item) excluded(now time.Time) []string {
	if now.After(it.excludedUntil) {
		it.excludedEndpoints = nil
	}
	return it.excludedEndpoints
}

// routeMissing reports whether the configuration has had no route for a job for more
// than missingRouteGrace.
func (o *Owner) routeMissing(j *job, now time.Time) bool {
	config := o.config()
	if config == nil {
		return false
	}
	if _, ok := config.Route(j.record.Host, j.record.Path); ok {
		j.noRouteSince = time.Time{}
		return false
	}
	if j.noRouteSince.IsZero() {
		j.noRouteSince = now
	}
	return now.Sub(j.noRouteSince) > missingRouteGrace
}

// abandonItems sets the unfinished items of a job to failed if the job has passed its
// give-up time or lost its route.
func (o *Owner) abandonItems(j *job, now time.Time) {
	expired := j.record.GiveUpMs > 0 && !now.Before(j.giveUpAt())
	if j.ended || j.finished() || (!expired && !o.routeMissing(j, now)) {
		return
	}
	for _, it := range j.items {
		if it.state == itemRunning {
			it.stop()
			o.release(it)
			it.collectRun() // checkpoints may hold this output
			it.state = itemWaiting
		}
		if it.state == itemWaiting {
			o.log.Warn("item abandoned", "item", it.ID, "job", j.id, "event", it.lastEvent, "late", expired)
			j.finish(it, adapter.StateFailed, "", now)
		}
	}
}
