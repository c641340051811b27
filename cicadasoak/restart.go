package main

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"cicadalink.example/cicadakernel/cicadaretry"
)

const (
	restartStreams = 24
	// killedAfter is how long the streams of a round have run when all processes are killed.
	killedAfter = 700 * time.Millisecond
	// restartRound is the time of a round, in which all processes are back.
	restartRound = 8 * time.Second
	// Callers return this often, after this time.
	returns     = 30
	returnDelay = 150 * time.Millisecond
)

// playAllKilled kills all processes, again and again, and lets the endpoints of a version crash for good at
// the same time, while streams that this version began are running and the next version has been released.
// Callers resume these streams as soon as an entry is back.
func (s *soak) playAllKilled(ctx context.Context) {
	c := newCaller(s.entries, s.checks, newRandom(s.random.Uint64()))
	s.releases = 1
	for end := time.Now().Add(s.duration); time.Now().Before(end) && ctx.Err() == nil; {
		next := time.Now().Add(restartRound)
		var callers sync.WaitGroup
		for range restartStreams {
			callers.Go(func() { s.streamThrough(ctx, c) })
		}
		cicadaretry.Sleep(ctx, killedAfter/2)
		s.releases++
		if err := s.release(fmt.Sprint("v", s.releases), s.cfg.endpoints); err != nil {
			s.log.Error("failed to release", "error", err)
			return
		}
		cicadaretry.Sleep(ctx, killedAfter/2)
		s.killAllBesideVersion()
		callers.Wait()
		cicadaretry.Sleep(ctx, time.Until(next))
	}
}

// killAllBesideVersion kills all processes, and ends all endpoints but those of the last release.
func (s *soak) killAllBesideVersion() {
	for _, p := range s.processes() {
		p.signal(syscall.SIGKILL)
	}
	s.mu.Lock()
	n := len(s.endpoints) - s.cfg.endpoints
	leaving := s.endpoints[:n]
	s.endpoints = s.endpoints[n:]
	s.mu.Unlock()
	for _, e := range leaving {
		s.store.remove("servers", e.id)
		e.crash()
	}
	s.checks.count("all processes killed")
}

// streamThrough receives a stream and returns to any entry until it is whole.
func (s *soak) streamThrough(ctx context.Context, c *caller) {
	st := &stream{}
	for range returns {
		if c.receive(ctx, c.anyEntry(), st, nil) {
			s.checks.count("streams whole")
			return
		}
		if st.last == 0 || !cicadaretry.Sleep(ctx, returnDelay) {
			s.checks.count("streams not begun")
			return
		}
	}
	s.checks.count("streams given up")
}
