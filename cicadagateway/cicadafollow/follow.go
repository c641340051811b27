// Package cicadafollow keeps a local view of the objects under a prefix of the
// platform's store. It lists the objects, then watches for changes, and lists them
// again when the store has discarded the history that the watch needs.
//
// # Usage
//
//	link := cicadafollow.NewLink(log, nil)
//	f := cicadafollow.New(ctx, store, "servers/", link, log, func(c cicadafollow.Change) {
//		if c.Full() { ... }
//	})
//	f.Refresh() // a peer has a newer view
//
// While the store is unavailable, the last view stays in effect.
package cicadafollow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"

	"cicadalink.example/cicadakernel/cicadaclock"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadaretry"
	"cicadalink.example/cicadakernel/cicadatask"
)

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
	// watchStaleAfter is how long a failing watch is retried before the objects are
	// listed again.
	watchStaleAfter = 10 * time.Second
	pageSize        = 500
	// MaxPollInterval is the interval at which a polling follower lists the objects, unless
	// changes must be known sooner. A store may delay watch events by seconds.
	MaxPollInterval = 900 * time.Millisecond
)

// A Change is either a full list of the objects under a prefix or a set of changed
// objects.
type Change struct {
	objects []cicadaplatform.Object
	full    bool
	askedAt time.Duration // of a full list
	began   time.Time     // of the call
}

// Objects returns the objects. One with a nil value was deleted.
func (c Change) Objects() []cicadaplatform.Object { return c.objects }

// Full reports whether the change lists all objects under the prefix. An object that
// it does not contain does not exist.
func (c Change) Full() bool { return c.full }

// AskedAt returns the time at which the first call of a full list began, by cicadaclock.SinceBoot. The
// list reflects every write that was acknowledged before that time. ok is false for changes of a
// watch, which the store may deliver late.
func (c Change) AskedAt() (at time.Duration, ok bool) { return c.askedAt, c.full }

// Began returns the time at which the call that brought the change began. With this change and those before, every
// write that was acknowledged before that time has been passed on.
func (c Change) Began() time.Time { return c.began }

// A Follower keeps track of the objects under one prefix.
type Follower struct {
	store         *cicadaplatform.Client
	prefix        string
	link          *Link
	log           hclog.Logger
	apply         func(Change)
	refresh       chan struct{}
	shouldPoll    func() bool
	pollInterval  time.Duration
	clock         func() time.Duration
	coalesceDelay time.Duration
	asOf          atomic.Int64
	wg            cicadatask.Group

	// reading is held during a list, a catch-up, and while the changes of a watch are applied.
	reading     chan struct{}
	resume      chan struct{} // signals that a watch may have been lost, see Resume
	mu          sync.Mutex
	confirmedAt time.Time // see confirm
	failedAt    time.Time // see LastFailure
}

// An Option configures a Follower.
type Option func(*Follower)

// WithPoll makes the follower list the objects at intervals, instead of watching them,
// while shouldPoll returns true. It is enough that one process polls and notifies
// its peers of changes.
func WithPoll(shouldPoll func() bool) Option { return func(f *Follower) { f.shouldPoll = shouldPoll } }

// WithPollInterval sets the interval of WithPoll, if it is shorter than the default.
func WithPollInterval(d time.Duration) Option {
	return func(f *Follower) { f.pollInterval = min(d, MaxPollInterval) }
}

// WithCoalesceDelay makes the follower wait for d after a change before the next watch, so
// that changes in quick succession are read with one call.
func WithCoalesceDelay(d time.Duration) Option { return func(f *Follower) { f.coalesceDelay = d } }

// WithClock sets the clock of Change.AskedAt, which is cicadaclock.SinceBoot otherwise.
func WithClock(clock func() time.Duration) Option { return func(f *Follower) { f.clock = clock } }

// New starts a Follower of a prefix, which runs until ctx is done. It makes one call of apply at a time.
func New(ctx context.Context, store *cicadaplatform.Client, prefix string, link *Link, log hclog.Logger, apply func(Change), opts ...Option) *Follower {
	f := &Follower{
		store: store, prefix: prefix, link: link, log: log, apply: apply, refresh: make(chan struct{}, 1), resume: make(chan struct{}, 1),
		reading:    make(chan struct{}, 1),
		shouldPoll: func() bool { return false }, pollInterval: MaxPollInterval, clock: cicadaclock.SinceBoot,
	}
	for _, opt := range opts {
		opt(f)
	}
	link.subscribe(f.Resume)
	f.wg.Go(func() {
		backoff := minBackoff
		for ctx.Err() == nil {
			if f.listAndWatch(ctx) {
				backoff = minBackoff
				continue
			}
			f.pause(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
		}
	})
	return f
}

// AsOf returns the version of the store that the view reflects.
func (f *Follower) AsOf() int64 { return f.asOf.Load() }

// Refresh makes the follower list the objects immediately.
func (f *Follower) Refresh() {
	select {
	case f.refresh <- struct{}{}:
	default:
	}
}

// Wait waits until the follower has stopped.
func (f *Follower) Wait() { f.wg.Wait() }

// listAndWatch lists the objects and watches for changes until the objects must be
// listed again. It reports whether the list succeeded.
func (f *Follower) listAndWatch(ctx context.Context) bool {
	f.link.setPolling(f.shouldPoll())
	askedAt := time.Now()
	version, err := f.list(ctx)
	if err != nil {
		f.recordFailure(askedAt, err)
		f.link.Report(err)
		f.log.Debug("failed to list objects", "prefix", f.prefix, "error", err)
		return false
	}
	if f.shouldPoll() {
		f.pause(ctx, f.pollInterval)
		return true
	}
	f.link.setPolling(false)
	f.watch(ctx, version)
	return true
}

// pause waits for d, or until a refresh is requested or ctx is done.
func (f *Follower) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.refresh:
	case <-ctx.Done():
	}
}

func (f *Follower) list(ctx context.Context) (int64, error) {
	if !f.acquire(ctx) {
		return 0, ctx.Err()
	}
	defer f.release()
	var all []cicadaplatform.Object
	after, version := "", int64(0)
	askedAt, began := f.clock(), time.Now()
	for {
		page, err := f.store.List(ctx, f.prefix, after, pageSize)
		if err != nil {
			return 0, err
		}
		if after == "" {
			version = page.Version()
		}
		f.reportUnreadable(page)
		all = append(all, page.Objects()...)
		if !page.More() || len(page.Objects()) == 0 {
			break
		}
		after = page.Objects()[len(page.Objects())-1].Name()
	}
	f.link.Report(nil)
	f.asOf.Store(version)
	f.apply(Change{objects: all, full: true, askedAt: askedAt, began: began})
	f.confirm(began)
	return version, nil
}

// reportUnreadable logs objects that were left out of a page.
func (f *Follower) reportUnreadable(page cicadaplatform.Page) {
	if n := page.Unreadable(); n > 0 {
		f.log.Warn("objects without a readable name ignored", "prefix", f.prefix, "objects", n, "version", page.Version())
	}
}

func (f *Follower) watch(ctx context.Context, version int64) {
	backoff := minBackoff
	lastSuccess := time.Now()
	for ctx.Err() == nil {
		askedAt := time.Now()
		page, interrupted, err := f.watchOnce(ctx, version)
		if interrupted == interruptedByRefresh || errors.Is(err, cicadaplatform.ErrCompacted) {
			f.log.Info("watch ended", "prefix", f.prefix, "version", version, "poked", interrupted == interruptedByRefresh)
			return
		}
		version = max(version, f.asOf.Load())
		if interrupted == interruptedByResume {
			f.log.Info("watch repeated", "prefix", f.prefix, "version", version, "waited", time.Since(askedAt).String())
			continue
		}
		if err != nil {
			f.recordFailure(askedAt, err)
			f.logFailedWatch(version, time.Since(askedAt), err)
			f.link.Report(err)
			if time.Since(lastSuccess) > watchStaleAfter {
				return
			}
			cicadaretry.Sleep(ctx, backoff/2+rand.N(backoff))
			backoff = min(2*backoff, maxBackoff)
			continue
		}
		f.link.Report(nil)
		lastSuccess, backoff = time.Now(), minBackoff
		if !f.acquire(ctx) {
			return
		}
		changed := f.applyPage(page, askedAt)
		f.release()
		version = max(version, f.asOf.Load())
		if changed {
			cicadaretry.Sleep(ctx, f.coalesceDelay)
		}
		if f.shouldPoll() {
			return
		}
	}
}

// logFailedWatch logs a watch that failed after a while. One that is refused at once is retried, and shows in the
// state of the link.
func (f *Follower) logFailedWatch(version int64, waited time.Duration, err error) {
	if waited >= maxBackoff {
		f.log.Info("watch failed", "prefix", f.prefix, "version", version, "waited", waited.String(), "error", err)
	}
}

// applyPage applies the changes of a watch or a catch-up that began at a time, unless they are known, and
// reports whether there were any.
func (f *Follower) applyPage(page cicadaplatform.Page, askedAt time.Time) bool {
	defer f.confirm(askedAt)
	f.reportUnreadable(page)
	if page.Version() <= f.asOf.Load() {
		return false
	}
	f.asOf.Store(page.Version())
	if len(page.Objects()) > 0 {
		f.apply(Change{objects: page.Objects(), began: askedAt})
	}
	return len(page.Objects()) > 0
}

// An interruption is why a watch ended without an answer.
type interruption int

const (
	notInterrupted interruption = iota
	interruptedByRefresh
	interruptedByResume
)

// watchOnce waits for changes after the given version. interrupted is why the call ended before its
// answer, if that was requested.
func (f *Follower) watchOnce(ctx context.Context, version int64) (page cicadaplatform.Page, interrupted interruption, err error) {
	select {
	case <-f.resume: // requested before this call
	default:
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg conc.WaitGroup
	done := make(chan struct{})
	requested := make(chan interruption, 1)
	wg.Go(func() {
		select {
		case <-f.refresh:
			requested <- interruptedByRefresh
			cancel()
		case <-f.resume:
			requested <- interruptedByResume
			cancel()
		case <-done:
			requested <- notInterrupted
		}
	})
	page, err = f.store.Watch(ctx, f.prefix, version)
	close(done)
	wg.Wait()
	if interrupted = <-requested; err == nil {
		interrupted = notInterrupted
	}
	return page, interrupted, err
}
