// Package cicadafollow keeps a process's view of the platform's store current:
// it lists the objects under a prefix, then watches for changes, and lists again
// when the store has dropped its history.
//
// # Usage
//
//	link := cicadafollow.NewLink(log, nil)
//	f := cicadafollow.New(ctx, store, "servers/", link, log, func(c cicadafollow.Change) {
//		if c.Full() { ... }
//	})
//	f.Refresh() // a peer knows something newer
//
// While the store is away the last view stays in force.
package cicadafollow

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"

	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadaretry"
)

const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = time.Second
	// staleAfter is how long a failing watch is continued before the objects are
	// listed anew.
	staleAfter = 10 * time.Second
	pageLimit  = 500
	// pollInterval is how often a follower that polls lists the objects. A store
	// may keep watches mute for seconds, and what it holds must be known sooner.
	pollInterval = 900 * time.Millisecond
)

// A Change is either everything under the prefix or what has changed.
type Change struct {
	objects []cicadaplatform.Object
	full    bool
}

// Objects returns the objects; one with a nil value is gone.
func (c Change) Objects() []cicadaplatform.Object { return c.objects }

// Full reports whether objects that are not listed do not exist.
func (c Change) Full() bool { return c.full }

// A Follower follows the objects under one prefix.
type Follower struct {
	store  *cicadaplatform.Client
	prefix string
	link   *Link
	log    hclog.Logger
	apply  func(Change)
	poke   chan struct{}
	polls  func() bool
	gather time.Duration
	asOf   atomic.Int64
	wg     conc.WaitGroup
}

// An Option changes a Follower as it is made.
type Option func(*Follower)

// WithPoll makes the follower list the objects again and again, instead of
// watching, while polls returns true. One process that polls and tells its peers
// covers for all of them.
func WithPoll(polls func() bool) Option { return func(f *Follower) { f.polls = polls } }

// WithGather makes the follower wait after a change before it watches on, so that
// changes which come together cost one call.
func WithGather(d time.Duration) Option { return func(f *Follower) { f.gather = d } }

// New starts to follow a prefix until ctx ends. apply is called from one
// goroutine.
func New(ctx context.Context, store *cicadaplatform.Client, prefix string, link *Link, log hclog.Logger, apply func(Change), opts ...Option) *Follower {
	f := &Follower{
		store: store, prefix: prefix, link: link, log: log, apply: apply, poke: make(chan struct{}, 1),
		polls: func() bool { return false },
	}
	for _, opt := range opts {
		opt(f)
	}
	f.wg.Go(func() {
		wait := firstBackoff
		for ctx.Err() == nil {
			if f.once(ctx) {
				wait = firstBackoff
				continue
			}
			f.pause(ctx, wait/2+rand.N(wait))
			wait = min(2*wait, maxBackoff)
		}
	})
	return f
}

// AsOf returns the store's version that the view is as new as.
func (f *Follower) AsOf() int64 { return f.asOf.Load() }

// Refresh makes the follower list the objects now.
func (f *Follower) Refresh() {
	select {
	case f.poke <- struct{}{}:
	default:
	}
}

// Wait returns when the follower has ended.
func (f *Follower) Wait() { f.wg.Wait() }

// once lists and then watches until the list must be read anew. It reports
// whether the store answered.
func (f *Follower) once(ctx context.Context) bool {
	version, err := f.list(ctx)
	f.link.Report(err)
	if err != nil {
		f.log.Debug("list failed", "prefix", f.prefix, "error", err)
		return false
	}
	if f.polls() {
		f.pause(ctx, pollInterval)
		return true
	}
	f.watch(ctx, version)
	return true
}

// pause waits between two calls, unless the follower is poked.
func (f *Follower) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-f.poke:
	case <-ctx.Done():
	}
}

func (f *Follower) list(ctx context.Context) (int64, error) {
	var all []cicadaplatform.Object
	after, version := "", int64(0)
	for {
		page, err := f.store.List(ctx, f.prefix, after, pageLimit)
		if err != nil {
			return 0, err
		}
		if after == "" {
			version = page.Version()
		}
		all = append(all, page.Objects()...)
		if !page.More() || len(page.Objects()) == 0 {
			break
		}
		after = page.Objects()[len(page.Objects())-1].Name()
	}
	f.asOf.Store(version)
	f.apply(Change{objects: all, full: true})
	return version, nil
}

func (f *Follower) watch(ctx context.Context, version int64) {
	wait := firstBackoff
	answered := time.Now()
	for ctx.Err() == nil {
		page, poked, err := f.next(ctx, version)
		if poked || errors.Is(err, cicadaplatform.ErrCompacted) {
			f.log.Info("watch ended", "prefix", f.prefix, "version", version, "poked", poked)
			return
		}
		if err != nil {
			f.link.Report(err)
			if time.Since(answered) > staleAfter {
				return
			}
			cicadaretry.Wait(ctx, wait/2+rand.N(wait))
			wait = min(2*wait, maxBackoff)
			continue
		}
		f.link.Report(nil)
		answered, wait = time.Now(), firstBackoff
		version = max(version, page.Version())
		f.asOf.Store(version)
		if len(page.Objects()) > 0 {
			f.apply(Change{objects: page.Objects()})
			cicadaretry.Wait(ctx, f.gather)
		}
		if f.polls() {
			return
		}
	}
}

func (f *Follower) next(ctx context.Context, version int64) (page cicadaplatform.Page, poked bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg conc.WaitGroup
	done := make(chan struct{})
	hit := make(chan bool, 1)
	wg.Go(func() {
		select {
		case <-f.poke:
			cancel()
			hit <- true
		case <-done:
			hit <- false
		}
	})
	page, err = f.store.Watch(ctx, f.prefix, version)
	close(done)
	wg.Wait()
	poked = <-hit
	return page, poked && err != nil, err
}
