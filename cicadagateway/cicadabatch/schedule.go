package cicadabatch

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"cicadalink.example/cicadagateway/cicadaexchange"
	"cicadalink.example/cicadagateway/cicadaplace"
	adapter "cicadalink.example/platform"
)

const (
	// retryDelay is how long an item waits after a run that did not succeed.
	retryDelay = 50 * time.Millisecond
	// maxRetryDelay is the longest such wait. It doubles with each run that
	// breaks before the item gets on: the item may crash its endpoints.
	maxRetryDelay = 5 * time.Second
	maxBreaks     = 10
	// maxPinned is how many items an owner protects at one endpoint: the other
	// slots stay within the reach of online requests.
	maxPinned = 1
	// routeGrace is how long the configuration may lack a job's route before its
	// items are given up.
	routeGrace = 3 * time.Second
	maxAvoid   = 3 // endpoints that an item keeps away from
)

// schedule puts items aside where online requests need their slots, and starts
// items where slots are idle.
func (o *Owner) schedule() {
	now := time.Now()
	if now.Sub(o.started) < startDelay {
		return
	}
	o.pinUrgent(now)
	for endpoint, n := range o.table.Excess() {
		for range n {
			o.putAside(endpoint, now)
		}
	}
	if now.Sub(o.looked) < tick && !o.idle() {
		return
	}
	o.looked = now
	clear(o.services)
	for service, waiting := range o.waiting(now) {
		o.services[service] = true
		if free, _ := o.table.Free(service); free > 0 {
			o.fill(service, waiting, now)
		}
	}
}

// idle reports whether a service for which items waited at the last look has an
// idle slot. Looking through a long backlog each time that a peer's load changes
// would take most of the processor.
func (o *Owner) idle() bool {
	for service := range o.services {
		if free, _ := o.table.Free(service); free > 0 {
			return true
		}
	}
	return len(o.services) == 0
}

// fill starts items of a service in their order while slots are idle.
func (o *Owner) fill(service string, waiting []*item, now time.Time) {
	slices.SortFunc(waiting, func(a, b *item) int {
		if o.pace.less(a, b, now) {
			return -1
		}
		return 1
	})
	for _, it := range waiting {
		grant := o.table.AcquireBatch(service, o.pace.slack(it, now) < urgentSlack, it.avoid)
		if grant != nil {
			o.start(it, grant)
		} else if len(it.avoid) == 0 {
			return
		}
	}
}

func without(items []*item, gone *item) []*item {
	for i, it := range items {
		if it == gone {
			items[i] = items[len(items)-1]
			return items[:len(items)-1]
		}
	}
	return items
}

// waiting returns the items that may start now, by service.
func (o *Owner) waiting(now time.Time) map[string][]*item {
	config := o.config()
	if config == nil {
		return nil
	}
	out := make(map[string][]*item)
	for _, j := range o.jobs {
		if !j.mine || !j.loaded || j.ended {
			continue
		}
		for _, it := range j.items {
			if it.state != itemWaiting || now.Before(it.notBefore) {
				continue
			}
			if route, ok := config.Route(j.record.Host, it.Path); ok {
				service := route.Pick(it.point)
				out[service] = append(out[service], it)
			}
		}
	}
	return out
}

// pinUrgent marks running items that would be late if they were put aside. Their
// slots count as taken by online requests.
func (o *Owner) pinUrgent(now time.Time) {
	for _, running := range o.running {
		free := maxPinned - pinnedOf(running)
		for _, it := range running {
			if free <= 0 {
				break
			}
			if !it.pinned && o.pace.slack(it, now) < urgentSlack && it.job.due().After(now) {
				it.pinned = true
				it.grant.Pin()
				free--
			}
		}
	}
}

func pinnedOf(running []*item) int {
	n := 0
	for _, it := range running {
		if it.pinned {
			n++
		}
	}
	return n
}

func (o *Owner) putAside(endpoint string, now time.Time) {
	it := o.pace.putAside(o.running[endpoint], now)
	if it == nil {
		return
	}
	o.metrics.putAside.Inc(1)
	o.log.Info("item put aside", "item", it.ID, "job", it.job.id, "endpoint", endpoint, "event", it.last,
		"slack", o.pace.slack(it, now).String())
	it.stop()
	o.release(it)
}

// release takes an item from its endpoint; its run may still be ending.
func (o *Owner) release(it *item) {
	if it.grant == nil {
		return
	}
	id := it.grant.Endpoint().ID
	o.running[id] = without(o.running[id], it)
	if len(o.running[id]) == 0 {
		delete(o.running, id)
	}
	it.grant.Release()
	it.grant = nil
}

func (o *Owner) start(it *item, grant *cicadaplace.Grant) {
	endpoint := grant.Endpoint()
	ctx, cancel := context.WithCancel(o.ctx)
	it.state, it.grant, it.stop, it.started, it.pinned = itemRunning, grant, cancel, time.Now(), false
	o.running[endpoint.ID] = append(o.running[endpoint.ID], it)
	x := &run{last: it.last}
	it.run = x
	q := o.request(it, endpoint.ID)
	o.wg.Go(func() {
		defer cancel()
		ended, err := x.execute(ctx, o.client, q, endpoint)
		o.do(func() { o.runDone(it, x, grant, ended, err) })
	})
}

func (o *Owner) request(it *item, endpoint string) cicadaexchange.Request {
	h := make(http.Header, len(it.Headers)+4)
	for name, value := range it.Headers {
		h.Set(name, value)
	}
	h.Set(adapter.HeaderRequestID, it.ID)
	h.Set(adapter.HeaderExpect, endpoint)
	left := max(time.Until(it.job.giveUpAt()), time.Second)
	h.Set(adapter.HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	if it.last > 0 {
		h.Set(adapter.HeaderLastEventID, strconv.Itoa(it.last))
	}
	return cicadaexchange.Request{
		Method: http.MethodPost, Target: it.Path, Host: it.job.record.Host, Header: h, Body: it.Body,
		EchoHeader: adapter.HeaderRequestID,
	}
}

// runDone takes in how a run ended.
func (o *Owner) runDone(it *item, x *run, grant *cicadaplace.Grant, ended outcome, err error) {
	o.release(it)
	if it.state != itemRunning {
		return // listed meanwhile
	}
	now := time.Now()
	fresh := it.last == 0
	it.state = itemWaiting
	it.output.WriteString(x.text.String())
	if x.last > it.last {
		it.breaks = 0
	}
	it.last = x.last
	attempts := 1
	if config := o.config(); config != nil {
		if route, ok := config.Route(it.job.record.Host, it.Path); ok {
			attempts = route.Attempts
		}
	}
	o.log.Info("run ended", "item", it.ID, "job", it.job.id, "outcome", ended.String(), "endpoint", grant.Endpoint().ID,
		"status", x.status, "event", it.last, "failures", it.failures, "took", now.Sub(it.started).String(),
		"slack", o.pace.slack(it, now).String(), "error", err)
	o.metrics.runs[ended].Inc(1)
	switch ended {
	case runComplete:
		grant.Succeeded()
		if fresh {
			o.metrics.runTime.RecordDuration(now.Sub(it.started))
			o.pace.add(now.Sub(it.started), it.last)
		}
		it.job.finish(it, adapter.StateComplete, it.output.String(), now)
	case runRejected:
		it.job.finish(it, adapter.StateFailed, "", now)
	case runFailed:
		it.failures++
		if it.failures >= attempts {
			it.job.finish(it, adapter.StateFailed, "", now)
			break
		}
		o.avoid(it, grant, now)
	case runBroken, runNotRun:
		grant.Failed()
		o.avoid(it, grant, now)
	case runFull:
		grant.Full()
		it.notBefore = now.Add(retryDelay)
	case runStopped:
	}
	if it.state == itemWaiting && it.adopted != nil {
		o.takeProgress(it)
	}
	if it.state == itemWaiting && !it.job.mine && it.last > 0 {
		o.sendProgress(it.job, []Progress{it.progress()})
	}
	o.flush(it.job, now)
	o.Wake()
}

func (o *Owner) avoid(it *item, grant *cicadaplace.Grant, now time.Time) {
	it.notBefore = now.Add(min(retryDelay<<it.breaks, maxRetryDelay))
	it.breaks = min(it.breaks+1, maxBreaks)
	it.avoid = append(it.avoid, grant.Endpoint().ID)
	if len(it.avoid) > maxAvoid {
		it.avoid = it.avoid[1:]
	}
}

// routeGone reports whether the configuration has had no route for a job for
// some time.
func (o *Owner) routeGone(j *job, now time.Time) bool {
	config := o.config()
	if config == nil {
		return false
	}
	if _, ok := config.Route(j.record.Host, j.record.Path); ok {
		j.routeless = time.Time{}
		return false
	}
	if j.routeless.IsZero() {
		j.routeless = now
	}
	return now.Sub(j.routeless) > routeGrace
}

// giveUp ends the items of a job whose time is over or whose route is gone.
func (o *Owner) giveUp(j *job, now time.Time) {
	late := j.record.GiveUpMs > 0 && !now.Before(j.giveUpAt())
	if j.ended || j.done() || (!late && !o.routeGone(j, now)) {
		return
	}
	for _, it := range j.items {
		if it.state == itemRunning {
			it.stop()
			o.release(it)
			it.state = itemWaiting
		}
		if it.state == itemWaiting {
			o.log.Warn("item given up", "item", it.ID, "job", j.id, "event", it.last, "late", late)
			j.finish(it, adapter.StateFailed, "", now)
		}
	}
}

// flush writes the pending results of a job when it is time.
func (o *Owner) flush(j *job, now time.Time) {
	if len(j.pending) == 0 || j.writing || !j.loaded {
		return
	}
	if !j.done() && now.Sub(j.oldest) < j.flushDelay(now) {
		return
	}
	j.writing = true
	number := j.chunks
	c := chunk{Writer: o.name, Results: append([]adapter.Result(nil), j.pending[:split(j.pending)]...)}
	ctx, cancel := context.WithCancel(o.ctx)
	j.stopWrite = cancel
	o.wg.Go(func() {
		defer cancel()
		written, err := writeChunk(ctx, o.store, j.id, number, c)
		o.do(func() { o.flushDone(j, number, written, err) })
	})
}

// flushDelay is how long results of the job may wait to be written together. They
// last meanwhile in the checkpoints.
func (j *job) flushDelay(now time.Time) time.Duration {
	if j.due().Sub(now) < dueSoon {
		return dueFlushDelay
	}
	return flushDelay
}

func (o *Owner) flushDone(j *job, number int, written chunk, err error) {
	j.writing = false
	if err != nil {
		o.log.Warn("results not written", "job", j.id, "chunk", number, "error", err)
		return
	}
	if written.Writer != o.name {
		o.log.Warn("another owner wrote results", "job", j.id, "chunk", number, "owner", written.Writer)
	}
	if j.chunks == number {
		o.takeChunk(j, written)
	}
	o.metrics.left.RecordDuration(time.Until(j.due()))
	o.log.Info("results listed", "job", j.id, "chunk", number, "listed", len(j.results), "items", j.record.Total,
		"left", time.Until(j.due()).String())
	o.notify(j)
	o.flush(j, time.Now())
}
