package cicadabatch

import (
	"strings"

	"github.com/cespare/xxhash/v2"

	"cicadalink.example/cicadagateway/cicadaorigin"
	"cicadalink.example/cicadakernel/cicadaview"
)

// A Progress is the progress of an item, either complete or since an earlier event. It
// is sent to other owners and stored for a restart.
type Progress struct {
	Item string
	// From is the id of the last event that the receiver is assumed to have; Text
	// begins after it. If From is 0, the progress is full.
	From int
	// Base is the hash of the output up to From. If two owners have run the item, it
	// prevents the output of one from being appended to that of the other.
	Base uint64
	// Origin is where the output began. Only there it can be continued.
	Origin cicadaorigin.Origin
	// Generation is how often the item had begun anew before this output, as far as its owner knew.
	Generation int
	Last       int    // id of the last event in Text
	Text       string // output
	Failures   int
	State      string // the item's final state if its result is not listed yet
	// Listed is set if the item's result is listed and its progress no longer needed.
	Listed bool
}

// itemProgress is the combined output of an item's runs.
type itemProgress struct {
	output    strings.Builder
	origin    cicadaorigin.Origin // of output, if it has an event
	lastEvent int                 // id of the last event in output
	failures  int                 // responses that reported a failure of the item
	// generation is how often the item has begun anew. An output of a later generation has replaced those
	// before; outputs of one generation may differ, as two owners may have run the item.
	generation int
}

// apply adds a received progress. Which output it belongs to follows from the generation and the bytes, never
// from the number of events: the later output of an item may be the shorter one. A result takes its own output
// with it. apply reports false if the progress does not continue this output, so that the full progress is needed,
// and replaced if it replaces this output.
func (ip *itemProgress) apply(p Progress) (applied, replaced bool) {
	ip.failures = max(ip.failures, p.Failures)
	switch {
	case p.State == "" && (p.Generation < ip.generation || ip.contains(p)):
		return true, false
	case p.From == 0:
		ip.output.Reset()
		replaced = true
	case !ip.continuedBy(p):
		return false, false
	}
	ip.output.WriteString(p.Text)
	ip.origin, ip.generation, ip.lastEvent = p.Origin, p.Generation, p.Last
	return true, replaced
}

// contains reports whether a full progress is the beginning of this output, or all of it.
func (ip *itemProgress) contains(p Progress) bool {
	return p.From == 0 && p.Generation == ip.generation && p.Last <= ip.lastEvent &&
		(p.Last == 0 || sameOrigin(p.Origin, ip.origin)) && strings.HasPrefix(ip.output.String(), p.Text)
}

// continuedBy reports whether a progress begins where this output ends.
func (ip *itemProgress) continuedBy(p Progress) bool {
	return p.From == ip.lastEvent && p.Generation == ip.generation && sameOrigin(p.Origin, ip.origin) &&
		p.Base == xxhash.Sum64String(ip.output.String())
}

// resume applies a progress from a source to an item, see job.resume. It logs a result that was taken
// over, unless it only continues the output known here, which happens to each item that is replicated.
func (o *Owner) resume(it *item, p Progress, source string) bool {
	state, known, origin := it.state, it.lastEvent, it.origin
	continued := it.job.resume(it, p)
	if state != itemWaiting || it.state != itemFinished {
		return continued
	}
	if known > 0 && (p.Last < known || !sameOrigin(p.Origin, origin)) || source != sourceCheckpoint {
		o.log.Info("result taken over", "item", it.ID, "job", it.job.id, "source", source, "outcome", it.resultState,
			"known-event", known, "known-version", origin.Version, "from-event", p.From, "sent-event", p.Last, "sent-version", p.Origin.Version,
			"event", it.lastEvent, "bytes", it.output.Len())
	}
	return continued
}

// Sources of progress, as they are logged.
const (
	sourceCheckpoint = "checkpoint" // replicated by the owner of the job
	sourceHandOver   = "hand-over"
	sourceFile       = "file" // the checkpoint file of a former process
)

// sameOrigin reports whether two progresses of the same output may have the origins a and b: the
// version may be known to one only.
func sameOrigin(a, b cicadaorigin.Origin) bool {
	unknown := a.Version == cicadaview.UnknownVersion || b.Version == cicadaview.UnknownVersion
	return a == b || a.Service == b.Service && unknown
}

// progress returns the full progress of an item that is not running.
func (it *item) progress() Progress {
	return Progress{Item: it.ID, Origin: it.origin, Generation: it.generation, Last: it.lastEvent, Text: it.output.String(), Failures: it.failures}
}

// currentEvent returns the id of an item's last event, including the events of a run in
// progress.
func (it *item) currentEvent() int {
	if it.state != itemRunning {
		return it.lastEvent
	}
	_, last := it.run.snapshot()
	return last
}

// collectRun adds the events that the current run has received to the item's output.
func (it *item) collectRun() {
	output, last := it.run.snapshot()
	it.origin = it.originOfRun()
	it.output.WriteString(output)
	it.lastEvent = last
}

// A progressMark records how much of an item's progress has been saved or sent.
type progressMark struct {
	event     int
	outputLen int // of the output up to event, in bytes
	failures  int
	state     itemState
}

// progressSince returns the progress of an item since a mark, and the mark after it. ok
// is false if there is no new progress.
func (it *item) progressSince(since progressMark) (p Progress, next progressMark, ok bool) {
	next = progressMark{event: it.lastEvent, outputLen: it.output.Len(), failures: it.failures, state: it.state}
	switch {
	case it.state == itemListed:
		return Progress{Item: it.ID, Listed: true}, next, since != progressMark{} && since.state != itemListed
	case since.state >= itemFinished:
		return Progress{}, since, false
	}
	text, origin := it.output.String(), it.origin
	if it.state == itemRunning {
		runOutput, last := it.run.snapshot()
		origin = it.originOfRun() // after the first event, as the endpoint states its start before
		text += runOutput
		next.event, next.outputLen = last, len(text)
	}
	p = Progress{
		Item: it.ID, From: since.event, Origin: origin, Generation: it.generation, Last: next.event, Text: text[since.outputLen:],
		Failures: it.failures,
	}
	if since.event > 0 {
		p.Base = xxhash.Sum64String(text[:since.outputLen])
	}
	if it.state == itemFinished {
		p.State = it.resultState
	}
	return p, next, next.event > since.event || next.failures > since.failures || p.State != ""
}
