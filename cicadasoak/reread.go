package main

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"cicadalink.example/cicadakernel/cicadaretry"
)

const (
	// rereadLimit is how long a job is read again at the end.
	rereadLimit = 15 * time.Second
	// rereaders is the number of jobs that are read again side by side.
	rereaders = 16
)

// endCallers lets the callers go on in calm, ends them, and reads all accepted jobs again.
func (s *soak) endCallers(ctx context.Context, stop func()) {
	cicadaretry.Sleep(ctx, calmTime)
	stop()
	s.checks.end()
	c := s.newCaller()
	forEach(rereaders, s.accepted.all(), func(r *jobReads) { c.readAgain(ctx, r) })
}

// readAllAtOnce sends one read of each accepted job at the same time.
func (s *soak) readAllAtOnce(ctx context.Context, c *caller) {
	jobs := slices.DeleteFunc(s.accepted.all(), (*jobReads).expired)
	forEach(len(jobs), jobs, func(r *jobReads) { c.readPage(ctx, c.anyEntry(), r, 0) })
}

// forEach calls f with each job and waits for all calls. So many are made side by side.
func forEach(limit int, jobs []*jobReads, f func(*jobReads)) {
	var calls sync.WaitGroup
	slots := make(chan struct{}, limit)
	for _, job := range jobs {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			f(job)
		})
	}
	calls.Wait()
}

// A reread is what a job that was read again from the start has given.
type reread struct {
	known    int // results that were read before
	answered bool
	listed   int
}

// check checks that a job was read, and that all results that were read came again. Each that came was
// compared with the one read before.
func (r reread) check(c *checks, job string) {
	c.count("jobs read again")
	switch {
	case !r.answered:
		c.violate(lostJob, job, fmt.Sprintf("no answer within %v", rereadLimit))
	case r.listed < r.known:
		c.violate(lostResults, job, fmt.Sprintf("%d of %d", r.listed, r.known))
	case r.listed < jobItems:
		c.count("jobs not whole at the end")
	}
}

// readAgain reads a job from the start until it is whole, and asks for the bodies of the items that
// are not listed. After a failure it asks the next entry.
func (c *caller) readAgain(ctx context.Context, reads *jobReads) {
	if reads.expired() {
		c.checks.count("jobs too old to be read again")
		return
	}
	within, cancel := context.WithTimeout(ctx, rereadLimit)
	defer cancel()
	var bodies sync.WaitGroup
	defer bodies.Wait()
	entry, asked, again := c.intN(len(c.entries)), false, reread{known: reads.known()}
	for again.listed < jobItems && within.Err() == nil {
		n, ok := c.readPage(within, c.entries[entry%len(c.entries)], reads, again.listed)
		again.listed, again.answered = again.listed+n, again.answered || ok
		switch {
		case !ok:
			entry++
			cicadaretry.Sleep(within, retryDelay)
		case n == 0 && !asked:
			asked = true
			bodies.Go(func() { c.readBodiesAgain(ctx, reads) })
		case n == 0:
			cicadaretry.Sleep(within, readInterval)
		}
	}
	if ctx.Err() == nil {
		again.check(c.checks, reads.job)
	}
}

// readBodiesAgain asks for the bodies of the items that are not listed.
func (c *caller) readBodiesAgain(ctx context.Context, reads *jobReads) {
	within, cancel := context.WithTimeout(ctx, rereadLimit)
	defer cancel()
	entry := c.intN(len(c.entries))
	for _, item := range reads.unlisted() {
		for !c.readBody(within, c.entries[entry%len(c.entries)], reads, item) {
			if within.Err() != nil {
				c.checks.violate(lostBody, reads.job, item)
				return
			}
			entry++
			cicadaretry.Sleep(within, retryDelay)
		}
	}
}
