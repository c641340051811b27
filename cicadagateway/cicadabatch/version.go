package cicadabatch

import (
	"slices"
	"time"

	"cicadalink.example/cicadagateway/cicadaorigin"
	"cicadalink.example/cicadagateway/cicadaplace"
	"cicadalink.example/cicadakernel/cicadaview"
)

// continues reports whether the next run of an item continues an output.
func (it *item) continues() bool { return it.lastEvent > 0 }

// serviceOf returns the service of an item's next run: the one that began the item's output
// if the route still has it.
func serviceOf(route *cicadaview.Route, it *item) string {
	began := func(t cicadaview.Target) bool { return t.Service == it.origin.Service }
	if it.continues() && slices.ContainsFunc(route.Targets, began) {
		return it.origin.Service
	}
	return route.SelectService(it.targetFraction)
}

// slotRequest returns the request for a slot of an item's next run.
func (it *item) slotRequest(service string, now time.Time) cicadaplace.SlotRequest {
	return cicadaplace.SlotRequest{
		Service: service, Avoid: it.excluded(now), Continues: it.continues(), Version: it.origin.Version,
	}
}

// checkVersion lets an item start anew if the version that began its output is gone. If the
// endpoints of that version are only busy, while others are idle, the item waits for them as
// long as the output took, so that it does at most twice the work that is necessary.
func (o *Owner) checkVersion(it *item, service string, now time.Time) {
	if !it.continues() {
		return
	}
	same, others := o.table.CountVersion(service, it.origin.Version)
	sameService := it.origin.Service == service
	switch {
	case others == 0 && same == 0:
		return // no endpoint is known at present
	case same > 0 && sameService && !o.versionBusyForLong(it, service, others, now):
		return
	}
	o.log.Info("item starts anew", "item", it.ID, "job", it.job.id, "event", it.lastEvent, "service", service,
		"began-at", it.origin.Service, "software-version", it.origin.Version, "endpoints", same, "others", others)
	o.metrics.restarted.Inc(1)
	it.restart()
}

// versionBusyForLong reports whether the endpoints of the version that began an item's output
// have been busy, while others were idle, for as long as the output took.
func (o *Owner) versionBusyForLong(it *item, service string, others int, now time.Time) bool {
	if others == 0 || o.table.BatchSlots(service) == 0 {
		it.versionBusySince = time.Time{}
		return false
	}
	if it.versionBusySince.IsZero() {
		it.versionBusySince = now
	}
	return now.Sub(it.versionBusySince) >= o.estimate.elapsed(it.lastEvent)
}

// maxOtherIncarnations is how many runs of an item in a row may find only other incarnations than
// those that can continue its output. An endpoint that has ceased to state its start is never known
// to be one of these.
const maxOtherIncarnations = 3

// countOtherIncarnation counts a run that was not sent because of the endpoint's incarnation. The
// item starts anew after the last one that it may have.
func (o *Owner) countOtherIncarnation(it *item) {
	if it.otherIncarnations++; it.otherIncarnations < maxOtherIncarnations || !it.continues() {
		return
	}
	o.log.Info("item starts anew", "item", it.ID, "job", it.job.id, "event", it.lastEvent, "other-incarnations", it.otherIncarnations)
	o.metrics.restarted.Inc(1)
	it.restart()
}

// restart discards the output of an item that is waiting.
func (it *item) restart() {
	it.itemProgress = itemProgress{failures: it.failures, generation: it.generation + 1}
	it.savedMark, it.replicatedMark = progressMark{}, progressMark{}
	it.versionBusySince, it.emptyRests, it.otherIncarnations = time.Time{}, 0, 0
}

// originOfRun returns where the output of the item's current run began: where the output of the
// item did, unless the run has started it.
func (it *item) originOfRun() cicadaorigin.Origin {
	if it.run.firstEvent > 0 || it.run.grant == nil {
		return it.origin
	}
	return it.run.origin()
}

// origin returns the service and the version of the incarnation that runs the item. The version is
// unknown while that incarnation is not registered, so that the output cannot be continued.
func (r *run) origin() cicadaorigin.Origin {
	return cicadaorigin.Origin{Service: r.grant.Endpoint().Service, Version: r.grant.Version()}
}
