package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/go-hclog"

	"cicadalink.example/cicadakernel/cicadaretry"
)

// A soak is one run of a scenario.
type soak struct {
	*deployment
	checks   *checks
	log      hclog.Logger
	random   *rand.Rand // of the faults; callers have one of their own
	duration time.Duration
	// reportDelay is the time from the start of an upgraded endpoint to its first report.
	reportDelay time.Duration
	releases    int          // of endpoints, including the first
	config      atomic.Int64 // newest version of the configuration
	passed      int          // addresses that passed to another endpoint
	faults      sync.WaitGroup
	accepted    acceptedJobs
	// jobInterval is the time between submissions of jobs.
	jobInterval time.Duration
	onlyFault   string // part of the names of the faults of silent links to inject, or empty
	// noStreams keeps callers from sending new streams.
	noStreams atomic.Bool
	// sign adds a key to the requests of callers of all kinds, if there are customers.
	sign func(*http.Request)
	// oldKey is the key that was revoked last.
	oldKey atomic.Pointer[string]
}

// newCaller returns a caller of all entries.
func (s *soak) newCaller() *caller {
	c := newCaller(s.entries, s.checks, newRandom(s.random.Uint64()))
	c.sign = s.sign
	return c
}

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

var scenarios = map[string]func(context.Context, *soak){
	"random":                       func(ctx context.Context, s *soak) { s.playRandom(ctx) },
	"disorder":                     func(ctx context.Context, s *soak) { s.playDisorder(ctx, disorders) },
	"late-reads":                   func(ctx context.Context, s *soak) { s.playDisorder(ctx, lateReads) },
	"repeated-events":              func(ctx context.Context, s *soak) { s.playDisorder(ctx, repeats) },
	"customers":                    func(ctx context.Context, s *soak) { s.playCustomers(ctx) },
	"all-killed":                   func(ctx context.Context, s *soak) { s.playAllKilled(ctx) },
	"stopped-owners":               func(ctx context.Context, s *soak) { s.playStoppedOwners(ctx) },
	"silent-links":                 func(ctx context.Context, s *soak) { s.playSilentLinks(ctx) },
	"upgrades-in-place":            func(ctx context.Context, s *soak) { s.playUpgrades(ctx) },
	"release-beside-stopped-entry": func(ctx context.Context, s *soak) { s.playRelease(ctx) },
}

const (
	releaseStreams = 48
	stopBeforeWake = 2200 * time.Millisecond
	// Callers leave within this time before and after the stopped entry goes on.
	leaveBefore = 120 * time.Millisecond
	leaveAfter  = 180 * time.Millisecond
)

// playRelease stops one entry, registers endpoints of a new version meanwhile, lets streams
// begin at the other entries, and lets their callers resume them at the stopped entry around
// the moment at which it goes on.
func (s *soak) playRelease(ctx context.Context) {
	stopped, others := s.entries[0], s.entries[1:]
	c := newCaller(others, s.checks, newRandom(s.random.Uint64()))
	stopped.signal(syscall.SIGSTOP)
	cicadaretry.Sleep(ctx, 500*time.Millisecond)
	if err := s.release("v2", len(s.endpoints)); err != nil {
		s.log.Error("failed to release", "error", err)
		return
	}
	cicadaretry.Sleep(ctx, 700*time.Millisecond)
	wake := time.Now().Add(stopBeforeWake - 700*time.Millisecond)
	var callers sync.WaitGroup
	for i := range releaseStreams {
		callers.Go(func() {
			st := &stream{}
			leave := make(chan struct{})
			at := wake.Add(-leaveBefore + time.Duration(c.intN(int(leaveBefore+leaveAfter))))
			time.AfterFunc(time.Until(at), func() { close(leave) })
			if c.receive(ctx, others[i%len(others)], st, leave) || st.last == 0 {
				return
			}
			s.checks.count("begun at " + st.version)
			if c.receive(ctx, stopped, st, nil) {
				s.checks.count("went on at the stopped entry")
				return
			}
			for range maxResumes {
				if cicadaretry.Sleep(ctx, 2*retryDelay); c.receive(ctx, c.anyEntry(), st, nil) {
					s.checks.count("went on elsewhere")
					return
				}
			}
			s.checks.count("streams given up")
		})
	}
	cicadaretry.Sleep(ctx, time.Until(wake))
	stopped.signal(syscall.SIGCONT)
	callers.Wait()
}

const (
	ownerStop = 4 * time.Second
	// ownerPause is the time between the end of one stop and the next.
	ownerPause = 4 * time.Second
	// peakMargin is how long the peak of streams goes on after an owner was stopped, and how long
	// before the owner goes on the next one begins.
	peakMargin = 300 * time.Millisecond
	// peakCallers are more than all slots, so that items wait during a peak.
	peakCallers = 2 * streamCallers
)

// playStoppedOwners stops the owners one after the other while callers read their jobs. Streams
// take all slots, but not while an owner is stopped: other owners run its items then, and it runs
// none itself when it goes on, so that only others tell it what has become of its jobs.
func (s *soak) playStoppedOwners(ctx context.Context) {
	stop := s.startCallers(ctx, peakCallers)
	for end := time.Now().Add(s.duration); time.Now().Before(end) && cicadaretry.Sleep(ctx, ownerPause); {
		p := s.pick(s.owners)
		s.log.Info("owner stopped", "owner", p.name)
		s.checks.disturb(ownerStop)
		p.signal(syscall.SIGSTOP)
		cicadaretry.Sleep(ctx, peakMargin)
		s.noStreams.Store(true)
		cicadaretry.Sleep(ctx, ownerStop-2*peakMargin)
		s.noStreams.Store(false)
		cicadaretry.Sleep(ctx, peakMargin)
		p.signal(syscall.SIGCONT)
		s.checks.count("owners stopped")
	}
	s.endCallers(ctx, stop)
}

const (
	streamCallers = 40
	jobInterval   = 700 * time.Millisecond
	faultInterval = 700 * time.Millisecond
	// calmTime is the time without faults at the end.
	calmTime    = 8 * time.Second
	maxVersions = 2 // of endpoints that serve side by side
	// keptShare is how many callers there are for each that keeps its connections.
	keptShare = 4
)

// playRandom keeps callers of all kinds busy while random faults overlap.
func (s *soak) playRandom(ctx context.Context) {
	stop := s.startCallers(ctx, streamCallers)
	s.injectFaults(ctx, faults)
	s.endCallers(ctx, stop)
}

// startCallers starts callers of all kinds, so many of them for streams. The returned function stops
// them and waits for them.
func (s *soak) startCallers(ctx context.Context, streams int) (stop func()) {
	s.releases = 1
	s.config.Store(1)
	c, kept := s.newCaller(), s.newCaller().keepConnections()
	ctx, cancel := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i := range streams {
		c := c
		if i%keptShare == 0 {
			c = kept
		}
		callers.Go(func() {
			for ctx.Err() == nil {
				if !s.noStreams.Load() {
					c.streamFrom(ctx, c.intN(2) == 0)
				}
				cicadaretry.Sleep(ctx, retryDelay)
			}
		})
	}
	for _, p := range s.entries {
		callers.Go(func() { c.watchConfig(ctx, p, func() int { return int(s.config.Load()) }) })
	}
	callers.Go(func() {
		for cicadaretry.Sleep(ctx, s.jobInterval) {
			callers.Go(func() { c.runJob(ctx, &s.accepted) })
		}
	})
	return func() {
		cancel()
		callers.Wait()
	}
}

// injectFaults injects faults for the duration and waits until they are over.
func (s *soak) injectFaults(ctx context.Context, faults []fault) {
	for end := time.Now().Add(s.duration); time.Now().Before(end) && cicadaretry.Sleep(ctx, time.Duration(s.random.Int64N(int64(2*faultInterval)))); {
		s.inject(ctx, faults[s.random.IntN(len(faults))])
	}
	s.faults.Wait()
}

// inject injects a fault for a random time.
func (s *soak) inject(ctx context.Context, f fault) {
	length := 300*time.Millisecond + time.Duration(s.random.Int64N(int64(3700*time.Millisecond)))
	s.log.Info("fault", "kind", f.kind, "for", length.String())
	s.checks.disturb(length)
	f.inject(ctx, s, length)
	s.checks.count("fault " + f.kind)
}

// A fault is a disruption from outside the processes.
type fault struct {
	kind   string
	inject func(ctx context.Context, s *soak, length time.Duration)
}

var faults = []fault{
	{"entry stopped", func(ctx context.Context, s *soak, length time.Duration) { s.suspend(ctx, s.pick(s.entries), length) }},
	{"owner stopped", func(ctx context.Context, s *soak, length time.Duration) { s.suspend(ctx, s.pick(s.owners), length) }},
	{"process killed", func(_ context.Context, s *soak, _ time.Duration) { s.pick(s.processes()).signal(syscall.SIGKILL) }},
	{"entry terminated", func(_ context.Context, s *soak, _ time.Duration) { s.faults.Go(s.pick(s.entries).terminate) }},
	{"store refuses all", func(ctx context.Context, s *soak, length time.Duration) { s.refuseStore(ctx, s.processes(), length) }},
	{"store refuses one", func(ctx context.Context, s *soak, length time.Duration) {
		s.refuseStore(ctx, []*process{s.pick(s.processes())}, length)
	}},
	{"configuration", func(_ context.Context, s *soak, _ time.Duration) { s.setConfig(int(s.config.Add(1))) }},
	{"endpoint crash", func(ctx context.Context, s *soak, length time.Duration) { s.crashEndpoint(ctx, length) }},
	{"release", func(ctx context.Context, s *soak, _ time.Duration) { s.replaceEndpoints(ctx) }},
	{"release beside a stopped entry", func(ctx context.Context, s *soak, length time.Duration) {
		s.suspend(ctx, s.pick(s.entries), length)
		s.replaceEndpoints(ctx)
	}},
}

func (s *soak) pick(from []*process) *process { return from[s.random.IntN(len(from))] }

func (s *soak) suspend(ctx context.Context, p *process, length time.Duration) {
	p.signal(syscall.SIGSTOP)
	s.faults.Go(func() {
		cicadaretry.Sleep(ctx, length)
		p.signal(syscall.SIGCONT)
	})
}

func (s *soak) refuseStore(ctx context.Context, to []*process, length time.Duration) {
	for _, p := range to {
		p.front.refusing.Store(true)
	}
	s.faults.Go(func() {
		cicadaretry.Sleep(ctx, length)
		for _, p := range to {
			p.front.refusing.Store(false)
		}
	})
}

func (s *soak) anyEndpoint() *endpoint {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.endpoints[s.random.IntN(len(s.endpoints))]
}

// crashEndpoint crashes an endpoint and starts it again at its address.
func (s *soak) crashEndpoint(ctx context.Context, length time.Duration) {
	e := s.anyEndpoint()
	if !e.take() {
		return
	}
	e.crash()
	s.faults.Go(func() {
		defer e.giveBack()
		cicadaretry.Sleep(ctx, length)
		s.startAgain(e)
	})
}

// startAgain starts an endpoint again with its version, and registers it unless it has left meanwhile.
func (s *soak) startAgain(e *endpoint) {
	if err := e.start(e.incarnation().version); err != nil {
		s.log.Error("failed to start endpoint again", "endpoint", e.id, "error", err)
		return
	}
	s.registerServing(e, e.incarnation())
}

// registerServing registers an incarnation of an endpoint unless the endpoint has left. It reports
// whether it has registered it.
func (s *soak) registerServing(e *endpoint, i *incarnation) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	serving := slices.Contains(s.endpoints, e)
	if serving {
		s.register(i, "ready")
	}
	return serving
}

// drainTime is how long an endpoint serves after it has reported that it is draining.
const drainTime = 4 * time.Second

// replaceEndpoints starts endpoints of a new version, and lets the oldest version leave if more
// than maxVersions serve.
func (s *soak) replaceEndpoints(ctx context.Context) {
	s.releases++
	if err := s.release(fmt.Sprint("v", s.releases), s.cfg.endpoints); err != nil {
		s.log.Error("failed to release", "error", err)
		return
	}
	s.mu.Lock()
	var leaving []*endpoint
	if n := len(s.endpoints) - maxVersions*s.cfg.endpoints; n > 0 {
		leaving, s.endpoints = s.endpoints[:n], s.endpoints[n:]
	}
	s.mu.Unlock()
	for _, e := range leaving {
		s.register(e.incarnation(), "draining")
	}
	s.faults.Go(func() {
		cicadaretry.Sleep(ctx, drainTime)
		for _, e := range leaving {
			s.store.remove("servers", e.id)
			e.crash()
		}
	})
}
