package cicadabatch

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadalink.example/cicadagateway/cicadaplace"
	adapter "cicadalink.example/platform"
)

type itemState int

const (
	itemWaiting itemState = iota
	itemRunning
	itemFinished // its result is known to this process but not stored yet
	itemListed   // its result is stored in a chunk and returned to readers
)

// An item is one item of a job and its state in this process. The output of a run that
// was preempted or interrupted is kept, and the next run resumes after it.
type item struct {
	adapter.Item
	itemProgress
	job               *job
	targetFraction    float64 // hash of the id, from 0 to 1, that selects one of the route's services
	state             itemState
	resultState       string       // final state, once it is finished
	run               *run         // current or latest run
	backoffShift      int          // doublings of the retry delay; 0 after a new event
	savedMark         progressMark // progress in the checkpoint file
	replicatedMark    progressMark // progress at the next owner
	handedOver        *Progress    // received while the item was running
	excludedEndpoints []string     // of the last failed runs, see excluded
	excludedUntil     time.Time
	notBefore         time.Time // of the next run
	emptyRests        int       // runs since the last event that brought no event, and no error
	otherIncarnations int       // runs since the last event that were not sent to another incarnation
	// versionBusySince is when the endpoints of the version that began the item's output were
	// first found busy while others were idle, or zero.
	versionBusySince time.Time
	grant            *cicadaplace.Grant
	stop             func()    // cancels the current run
	startedAt        time.Time // of the latest run
	pinned           bool      // protected from preemption
}

// A job is a batch job as an owner process knows it.
type job struct {
	id         string
	record     jobRecord
	acceptedAt time.Time // by the monotonic clock of this process
	// clockSkew is by how much acceptedAt may be too early, because it was computed
	// from the wall clock of another VM; otherwise 0.
	clockSkew      time.Duration
	items          []*item
	itemsByID      map[string]*item
	results        []adapter.Result   // listed, by position
	pending        []adapter.Result   // finished and not yet stored
	oldestPending  time.Time          // when the first of pending finished
	chunkCount     int                // chunks in results
	chunkVersions  []int64            // store versions of the chunks
	version        int64              // store version of the job
	writing        bool               // a chunk is being written
	maxChunkLength int                // results in the next chunk, after one was too large; 0 for no limit
	loaded         bool               // results were read from the store since the job moved
	bodiesMissing  bool               // items are stored in parts that were not read
	loading        bool               // results are being read
	ended          bool               // by a CallEndJob
	owned          bool               // this process runs the job
	ownedSince     time.Time          // when it moved here; zero if it was accepted here
	confirmedAt    time.Time          // when its creation in the store was begun, if it was accepted here
	loadStarted    time.Time          // when the latest read of results was begun
	refreshedAt    time.Time          // every result stored before is in memory, by the latest read that succeeded
	lastSource     resultSource       // of the latest answer to a reader
	noRouteSince   time.Time          // when the configuration was first found to have no route for the job
	waiters        []func()           // called once when results change
	cancelWrite    context.CancelFunc // cancels the chunk write in progress
	recoveredItems int                // items with progress from before the restart
	replicating    bool               // a checkpoint is being sent to the next owner
	replicateFull  bool               // the next checkpoint must be full
	// reportedWaiting is the last report of the job's waiting tokens: sent by this process
	// if it runs the job, otherwise received.
	reportedWaiting int64
	lastReport      time.Time     // when this process last sent one
	repeatAfter     time.Duration // from lastReport to its repetition
}

// A jobRecord is a job as stored in its object.
type jobRecord struct {
	Host        string         `json:"host"`
	Path        string         `json:"path"`
	Customer    string         `json:"customer,omitempty"` // owner of the job, sent to endpoints with its items; empty without customers
	AcceptedMs  int64          `json:"accepted-ms"`        // Unix time by the clock of the owner that accepted the job
	DueMs       int64          `json:"due-ms"`
	GiveUpMs    int64          `json:"give-up-ms"`
	Total       int            `json:"total"`
	Ended       bool           `json:"ended"`
	SubmittedBy string         `json:"submitted-by"`
	Parts       int            `json:"parts,omitempty"` // objects that hold the items, see storeJob
	Items       []adapter.Item `json:"items"`
}

// A chunk is a group of results stored in one object. The chunks of a job have
// consecutive numbers and each is created at most once, so that two owners cannot
// write different results to the same positions.
type chunk struct {
	Writer  string           `json:"writer"`
	Results []adapter.Result `json:"results"`
	version int64            // store version
}

func newJob(id string, r jobRecord, acceptedAt time.Time) *job {
	j := &job{id: id, record: r, acceptedAt: acceptedAt, ended: r.Ended, reportedWaiting: tokensUnknown, itemsByID: make(map[string]*item, len(r.Items))}
	for _, spec := range r.Items {
		it := &item{Item: spec, job: j, targetFraction: float64(xxhash.Sum64String(spec.ID)) / math.MaxUint64}
		j.items = append(j.items, it)
		j.itemsByID[spec.ID] = it
	}
	return j
}

func (j *job) due() time.Time {
	return j.acceptedAt.Add(time.Duration(j.record.DueMs) * time.Millisecond)
}

func (j *job) giveUpAt() time.Time {
	return j.acceptedAt.Add(time.Duration(j.record.GiveUpMs)*time.Millisecond + j.clockSkew)
}

// finished reports whether every item has a result.
func (j *job) finished() bool {
	for _, it := range j.items {
		if it.state < itemFinished {
			return false
		}
	}
	return true
}

// allListed reports whether every result is stored.
func (j *job) allListed() bool { return len(j.results) >= j.record.Total }

// finish sets an item's result and queues it to be stored.
func (j *job) finish(it *item, state, output string, now time.Time) {
	it.state, it.resultState = itemFinished, state
	if len(j.pending) == 0 {
		j.oldestPending = now
	}
	j.pending = append(j.pending, adapter.Result{ID: it.ID, State: state, Output: output})
}

// resume applies a progress to an item that is waiting; it leaves other items unchanged.
// It reports false if the progress does not continue the item's output.
func (j *job) resume(it *item, p Progress) bool {
	if it.state != itemWaiting {
		return true
	}
	applied, replaced := it.apply(p)
	if !applied {
		return false
	}
	if replaced {
		it.savedMark, it.replicatedMark = progressMark{}, progressMark{} // they refer to the replaced output
	}
	switch p.State {
	case adapter.StateComplete:
		j.finish(it, p.State, it.output.String(), time.Now())
	case adapter.StateFailed:
		j.finish(it, p.State, "", time.Now())
	}
	return true
}

// discardProgress drops the progress of an item whose result another owner has listed.
// This process has not read that chunk yet.
func (j *job) discardProgress(it *item) {
	if it.state != itemWaiting && it.state != itemFinished {
		return
	}
	it.state, it.itemProgress = itemWaiting, itemProgress{}
	it.savedMark, it.replicatedMark = progressMark{}, progressMark{}
	j.dropPending(it.ID)
}

// appendChunk adds the results of the next chunk. A stored result replaces one that
// this process has computed itself. It returns the items that are still running, which
// the caller must stop.
func (j *job) appendChunk(c chunk) (superseded []*item) {
	j.chunkCount++
	j.chunkVersions = append(j.chunkVersions, c.version)
	for _, r := range c.Results {
		j.results = append(j.results, r)
		it := j.itemsByID[r.ID]
		if it == nil {
			continue
		}
		if it.state == itemRunning {
			superseded = append(superseded, it)
		}
		it.state = itemListed
		it.output.Reset()
		it.Body = nil
		j.dropPending(r.ID)
	}
	return superseded
}

// dropPending removes the pending result of an item.
func (j *job) dropPending(id string) {
	j.pending = slices.DeleteFunc(j.pending, func(r adapter.Result) bool { return r.ID == id })
}

// resultsPage returns the results from a position on, limited to about maxPageBytes
// but at least one if there is one.
func (j *job) resultsPage(after int) []adapter.Result {
	after = min(max(after, 0), len(j.results))
	size := 0
	for i, r := range j.results[after:] {
		size += r.EncodedSize()
		if size > maxPageBytes && i > 0 {
			return j.results[after : after+i]
		}
	}
	return j.results[after:]
}

// maxPageBytes limits the results in one response, as they are encoded.
const maxPageBytes = 900 << 10
