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
	itemFinished // its result is known and not yet listed
	itemListed
)

// An item is one item of a job on its way. What a run has put out is kept when
// the run is put aside or breaks, and the next run goes on after it.
type item struct {
	adapter.Item
	partial
	job       *job
	point     float64 // where the item falls among its route's services, 0 to 1
	state     itemState
	result    string // its state as listed, once it is finished
	run       *run   // its present or latest run
	breaks    int    // runs that broke since the item last got on
	saved     mark   // in the checkpoint file
	copied    mark   // at the next owner
	adopted   *Progress
	avoid     []string
	notBefore time.Time
	grant     *cicadaplace.Grant
	stop      func()
	started   time.Time
	pinned    bool
}

// A job is an accepted batch job at its owner.
type job struct {
	id       string
	record   record
	accepted time.Time // by the steady clock of this process
	// clockError is by how much accepted may be too early, since it was reckoned
	// from another VM's time of day.
	clockError time.Duration
	items      []*item
	byID       map[string]*item
	results    []adapter.Result // listed, by position
	pending    []adapter.Result // finished and not yet written
	oldest     time.Time        // when the oldest of pending finished
	chunks     int              // chunks of results that are known
	versions   []int64          // the store's, of the chunks
	version    int64            // the store's, of the job
	writing    bool
	loaded     bool
	loading    bool
	ended      bool
	mine       bool
	mineSince  time.Time // when it moved here; zero if it was accepted here
	refreshed  time.Time
	routeless  time.Time // since when the configuration has had no route for the job
	waiters    []func()
	stopWrite  context.CancelFunc // ends the write of results that is under way
	recovered  int                // items with progress from before this process started
	copying    bool               // a checkpoint is on its way to the next owner
	copyWhole  bool               // the next checkpoint must tell everything
}

// A record is what the store holds of a job.
type record struct {
	Host        string         `json:"host"`
	Path        string         `json:"path"`
	AcceptedMs  int64          `json:"accepted-ms"` // Unix time of the acceptor
	DueMs       int64          `json:"due-ms"`
	GiveUpMs    int64          `json:"give-up-ms"`
	Total       int            `json:"total"`
	Ended       bool           `json:"ended"`
	SubmittedBy string         `json:"submitted-by"`
	Items       []adapter.Item `json:"items"`
}

// A chunk is a group of results that were written together. Chunks of a job
// have consecutive numbers, so that two owners cannot write the same positions.
type chunk struct {
	Writer  string           `json:"writer"`
	Results []adapter.Result `json:"results"`
	version int64            // the store's
}

func newJob(id string, r record, accepted time.Time) *job {
	j := &job{id: id, record: r, accepted: accepted, ended: r.Ended, byID: make(map[string]*item, len(r.Items))}
	for _, it := range r.Items {
		next := &item{Item: it, job: j, point: float64(xxhash.Sum64String(it.ID)) / math.MaxUint64}
		j.items = append(j.items, next)
		j.byID[it.ID] = next
	}
	return j
}

func (j *job) due() time.Time {
	return j.accepted.Add(time.Duration(j.record.DueMs) * time.Millisecond)
}

func (j *job) giveUpAt() time.Time {
	return j.accepted.Add(time.Duration(j.record.GiveUpMs)*time.Millisecond + j.clockError)
}

// done reports whether every item has a result.
func (j *job) done() bool {
	for _, it := range j.items {
		if it.state < itemFinished {
			return false
		}
	}
	return true
}

// listed reports whether every result has been written.
func (j *job) listed() bool { return len(j.results) >= j.record.Total }

// finish records an item's result.
func (j *job) finish(it *item, state, output string, now time.Time) {
	it.state, it.result = itemFinished, state
	if len(j.pending) == 0 {
		j.oldest = now
	}
	j.pending = append(j.pending, adapter.Result{ID: it.ID, State: state, Output: output})
}

// resume makes an item that does not run go on from a progress. It reports false
// if the progress goes on from another output than the item's.
func (j *job) resume(it *item, p Progress) bool {
	if it.state != itemWaiting {
		return true
	}
	before := it.last
	if !it.take(p) {
		return false
	}
	if p.From == 0 && it.last > before {
		it.saved, it.copied = mark{}, mark{} // of the output that was replaced
	}
	switch p.State {
	case adapter.StateComplete:
		j.finish(it, p.State, it.output.String(), time.Now())
	case adapter.StateFailed:
		j.finish(it, p.State, "", time.Now())
	}
	return true
}

// forget drops an item's progress: its result is listed, here not yet known.
func (j *job) forget(it *item) {
	if it.state != itemWaiting && it.state != itemFinished {
		return
	}
	it.state, it.partial = itemWaiting, partial{}
	it.saved, it.copied = mark{}, mark{}
	j.withdraw(it.ID)
}

// takeChunk lists the results of the next chunk. A result for an item that this
// process was still running, or had finished itself, replaces its own.
func (j *job) takeChunk(c chunk) (overtaken []*item) {
	j.chunks++
	j.versions = append(j.versions, c.version)
	for _, r := range c.Results {
		j.results = append(j.results, r)
		it := j.byID[r.ID]
		if it == nil {
			continue
		}
		if it.state == itemRunning {
			overtaken = append(overtaken, it)
		}
		it.state = itemListed
		it.output.Reset()
		it.Body = nil
		j.withdraw(r.ID)
	}
	return overtaken
}

// withdraw drops the pending result of an item.
func (j *job) withdraw(id string) {
	j.pending = slices.DeleteFunc(j.pending, func(r adapter.Result) bool { return r.ID == id })
}

// page returns the results from a position on, about maxPage bytes of them.
func (j *job) page(after int) []adapter.Result {
	after = min(max(after, 0), len(j.results))
	size := 0
	for i, r := range j.results[after:] {
		size += len(r.Output) + resultOverhead
		if size > maxPage && i > 0 {
			return j.results[after : after+i]
		}
	}
	return j.results[after:]
}

const (
	maxPage        = 900 << 10 // bytes of a page of results
	resultOverhead = 128       // bytes of a result beside its output
)
