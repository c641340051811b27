package cicadabatch

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"cicadalink.example/cicadakernel/cicadaplatform"
	adapter "cicadalink.example/platform"
)

const (
	acceptTime   = 2500 * time.Millisecond // for the store to take a job
	refreshAfter = 300 * time.Millisecond  // age at which another owner's job is read anew
	// doubtTime is how long after a job has moved here its results are read anew as
	// well: the store may still do a write of the former owner.
	doubtTime  = 10 * time.Second
	readTime   = 2 * time.Second // for the store to answer a read
	retryAfter = 300 * time.Millisecond
)

// A Call is a call on a job, as entries pass it on.
type Call struct {
	Kind   CallKind
	Job    string
	Host   string
	Path   string
	Due    time.Duration
	GiveUp time.Duration
	Body   []byte
	After  int
	Item   string
	Wait   time.Duration
	// Relayed calls come from a process that does not reach the owner.
	Relayed bool
	// Progress is what a CallHandOver hands over, and what a CallCheckpoint copies.
	Progress []Progress
}

// A CallKind says what a Call asks for.
type CallKind int

// Kinds of calls.
const (
	CallSubmit CallKind = iota
	CallRead
	CallItem
	CallEnd
	CallHandOver
	CallCheckpoint
)

// An Answer is the answer to a Call, with an HTTP status.
type Answer struct {
	Status     int
	Body       []byte
	JSON       bool
	RetryAfter time.Duration
}

func refused() Answer { return Answer{Status: http.StatusServiceUnavailable, RetryAfter: retryAfter} }

// inDoubt promises nothing: a write may take effect later.
func inDoubt() Answer { return Answer{Status: http.StatusBadGateway} }

// Handle answers a call.
func (o *Owner) Handle(ctx context.Context, c *Call) (*Answer, error) {
	var a Answer
	switch c.Kind {
	case CallSubmit:
		a = o.submit(ctx, c)
	case CallRead:
		a = o.read(ctx, c)
	case CallItem:
		a = o.itemBody(ctx, c)
	case CallEnd:
		a = o.endJob(ctx, c)
	case CallHandOver:
		o.do(func() { o.adopt(c.Job, c.Progress) })
		a = Answer{Status: http.StatusOK}
	case CallCheckpoint:
		a = o.takeCopy(c)
	default:
		a = Answer{Status: http.StatusBadRequest}
	}
	return &a, nil
}

// ask runs f in the control goroutine and waits for it.
func (o *Owner) ask(f func()) {
	done := make(chan struct{})
	o.do(func() {
		f()
		close(done)
	})
	select {
	case <-done:
	case <-o.ctx.Done():
	}
}

func (o *Owner) submit(ctx context.Context, c *Call) Answer {
	known := false
	o.ask(func() { known = o.jobs[c.Job] != nil })
	if known {
		return Answer{Status: http.StatusAccepted}
	}
	items, err := adapter.DecodeJob(c.Body)
	if err != nil {
		o.log.Warn("submission refused", "job", c.Job, "error", err)
		return Answer{Status: http.StatusBadRequest}
	}
	now := time.Now()
	r := record{
		Host: c.Host, Path: c.Path, AcceptedMs: now.UnixMilli(), DueMs: c.Due.Milliseconds(), GiveUpMs: c.GiveUp.Milliseconds(),
		Total: len(items), SubmittedBy: o.name, Items: items,
	}
	value, err := json.Marshal(r)
	if err != nil {
		o.log.Error("submission not encoded", "job", c.Job, "error", err)
		return Answer{Status: http.StatusInternalServerError}
	}
	ctx, cancel := context.WithTimeout(ctx, acceptTime)
	defer cancel()
	obj, err := o.store.Create(ctx, cicadaplatform.ClassClaim, JobsPrefix+c.Job, value)
	if err != nil && !errors.Is(err, cicadaplatform.ErrExists) {
		return o.notAccepted(c, err)
	}
	o.log.Info("job accepted", "job", c.Job, "items", len(items), "repeat", err != nil, "took", time.Since(now).String())
	if err == nil {
		o.do(func() {
			if o.jobs[c.Job] == nil {
				j := o.add(c.Job, r, now)
				j.version = obj.Version()
				j.loaded = true // it is new: there are no results yet
			}
			o.Wake()
		})
	}
	return Answer{Status: http.StatusAccepted}
}

func (o *Owner) notAccepted(c *Call, err error) Answer {
	o.log.Warn("job not accepted", "job", c.Job, "error", err)
	switch {
	case errors.Is(err, cicadaplatform.ErrTooLarge):
		return Answer{Status: http.StatusRequestEntityTooLarge}
	case errors.Is(err, cicadaplatform.ErrInDoubt):
		return inDoubt()
	case errors.Is(err, cicadaplatform.ErrUnavailable):
		return refused()
	}
	return inDoubt()
}

// find makes sure that a job and its results are known. It returns an answer if
// the call cannot be served.
func (o *Owner) find(ctx context.Context, id string) (*job, *Answer) {
	var j *job
	fresh := false
	look := func() {
		j = o.jobs[id]
		fresh = j != nil && j.current(time.Now())
	}
	o.ask(look)
	if fresh {
		return j, nil
	}
	ctx, cancel := context.WithTimeout(ctx, readTime)
	defer cancel()
	if j == nil {
		if a := o.fetch(ctx, id); a != nil {
			return nil, a
		}
	}
	for {
		loaded := make(chan struct{})
		o.ask(func() {
			look()
			if j == nil || fresh {
				close(loaded)
				return
			}
			j.waiters = append(j.waiters, func() { close(loaded) })
			if !j.loading {
				o.load(j)
			}
		})
		select {
		case <-loaded:
		case <-ctx.Done():
			a := refused()
			return nil, &a
		}
		o.ask(look)
		if fresh {
			return j, nil
		}
		if j == nil || ctx.Err() != nil {
			a := refused()
			return nil, &a
		}
	}
}

// current reports whether all results of the job that anyone may have read are known
// here.
func (j *job) current(now time.Time) bool {
	if !j.loaded {
		return false
	}
	return j.listed() || j.mine && now.Sub(j.mineSince) > doubtTime || now.Sub(j.refreshed) < refreshAfter
}

// fetch reads a job that is not known from the store.
func (o *Owner) fetch(ctx context.Context, id string) *Answer {
	obj, err := o.store.Get(ctx, JobsPrefix+id)
	if errors.Is(err, cicadaplatform.ErrNotFound) {
		return &Answer{Status: http.StatusNotFound}
	}
	if err != nil {
		o.log.Warn("job not read", "job", id, "error", err)
		a := refused()
		return &a
	}
	o.ask(func() { o.applyJob(obj, true) })
	return nil
}

func (o *Owner) read(ctx context.Context, c *Call) Answer {
	end := time.Now().Add(c.Wait)
	for {
		j, failed := o.find(ctx, c.Job)
		if failed != nil {
			return *failed
		}
		var page []adapter.Result
		total := 0
		more := make(chan struct{})
		o.ask(func() {
			page = append(page, j.page(c.After)...)
			total = j.record.Total
			if len(page) == 0 && !j.listed() && !j.ended && time.Now().Before(end) {
				j.waiters = append(j.waiters, func() { close(more) })
			} else {
				close(more)
			}
		})
		if len(page) > 0 || !waitFor(ctx, more, end) {
			return o.results(j, total, c.After, page)
		}
	}
}

// waitFor waits for news until end. It reports whether a look is worth it.
func waitFor(ctx context.Context, news chan struct{}, end time.Time) bool {
	left := time.Until(end)
	if left <= 0 {
		return false
	}
	timer := time.NewTimer(left)
	defer timer.Stop()
	select {
	case <-news:
		return time.Now().Before(end)
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

func (o *Owner) results(j *job, total, after int, page []adapter.Result) Answer {
	body, err := adapter.EncodeResults(total, max(after, 0)+len(page), page)
	if err != nil {
		o.log.Error("results not encoded", "job", j.id, "error", err)
		return Answer{Status: http.StatusInternalServerError}
	}
	return Answer{Status: http.StatusOK, Body: body, JSON: true}
}

func (o *Owner) itemBody(ctx context.Context, c *Call) Answer {
	j, failed := o.find(ctx, c.Job)
	if failed != nil {
		return *failed
	}
	a := Answer{Status: http.StatusNotFound}
	o.ask(func() {
		if it := j.byID[c.Item]; it != nil && it.state != itemListed && !j.ended {
			a = Answer{Status: http.StatusOK, Body: it.Body}
		}
	})
	return a
}

// endJob records in the store that a job is ended. Watchers see it.
func (o *Owner) endJob(ctx context.Context, c *Call) Answer {
	ctx, cancel := context.WithTimeout(ctx, acceptTime)
	defer cancel()
	for {
		obj, err := o.store.Get(ctx, JobsPrefix+c.Job)
		if errors.Is(err, cicadaplatform.ErrNotFound) {
			return Answer{Status: http.StatusNotFound}
		}
		if err != nil {
			o.log.Warn("job not ended", "job", c.Job, "error", err)
			return refused()
		}
		done, a := o.markEnded(ctx, obj)
		if done {
			return a
		}
	}
}

func (o *Owner) markEnded(ctx context.Context, obj cicadaplatform.Object) (bool, Answer) {
	r, err := decodeRecord(obj.Value())
	if err != nil {
		o.log.Error("job not ended", "name", obj.Name(), "error", err)
		return true, Answer{Status: http.StatusInternalServerError}
	}
	if !r.Ended {
		r.Ended = true
		for i := range r.Items {
			r.Items[i] = adapter.Item{ID: r.Items[i].ID, Path: r.Items[i].Path}
		}
		value, err := json.Marshal(r)
		if err != nil {
			return true, Answer{Status: http.StatusInternalServerError}
		}
		next, err := o.store.Update(ctx, cicadaplatform.ClassClaim, obj.Name(), obj.Version(), value)
		if errors.Is(err, cicadaplatform.ErrConflict) {
			return false, Answer{}
		}
		if err != nil {
			o.log.Warn("job not ended", "name", obj.Name(), "error", err)
			return true, refused()
		}
		obj = next
	}
	o.ask(func() { o.applyJob(obj, true) })
	return true, Answer{Status: http.StatusOK}
}
