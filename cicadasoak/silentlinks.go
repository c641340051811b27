package main

import (
	"context"
	"slices"
	"strings"
	"syscall"
	"time"

	"cicadalink.example/cicadakernel/cicadaretry"
)

// linked are the scenarios in which processes reach each other and the store through proxies.
var linked = map[string]bool{"silent-links": true, "disorder": true, "customers": true}

const (
	// silentLinksStreams leaves slots for the items of jobs.
	silentLinksStreams = 10
	// silentLinksJobs makes up for the jobs that few faults in a row leave time for.
	silentLinksJobs = 300 * time.Millisecond
	// calmBetween is the calm between two faults, beside the recovery from the first.
	calmBetween = 4 * time.Second
	// powerLoss is how long all processes are down after a power failure.
	powerLoss = time.Second
)

// linkFaults are faults of the connections between processes, and to the store, that no process is told of.
var linkFaults = []fault{
	{"connections to an owner fall silent", func(ctx context.Context, s *soak, length time.Duration) {
		s.silence(ctx, length, s.pick(s.owners))
	}},
	{"connections to all owners fall silent", func(ctx context.Context, s *soak, length time.Duration) {
		s.silence(ctx, length, s.owners...)
	}},
	{"connections between all processes fall silent", func(ctx context.Context, s *soak, length time.Duration) {
		s.silence(ctx, length, s.processes()...)
	}},
	{"an owner hangs and looks alive", disturbOwner(silent)},
	{"answers of an owner held", disturbOwner(answersHeld)},
	{"link to a process cut", func(ctx context.Context, s *soak, length time.Duration) {
		p := s.pick(s.processes())
		s.cutOneWay(ctx, length, p, requestsHeld, p.link.udp.dropAll())
	}},
	{"link from a process cut", func(ctx context.Context, s *soak, length time.Duration) {
		p := s.pick(s.processes())
		s.cutOneWay(ctx, length, p, answersHeld, s.dropDatagramsFrom(p))
	}},
	{"connections between processes reset", func(_ context.Context, s *soak, _ time.Duration) {
		for _, p := range s.processes() {
			p.link.tcp.each((*link).reset)
		}
	}},
	{"connections to the store fall silent", func(_ context.Context, s *soak, _ time.Duration) {
		to := s.processes()
		if s.random.IntN(2) > 0 {
			to = []*process{s.pick(to)}
		}
		for _, p := range to {
			p.storeLink.each((*link).stick)
		}
	}},
	{"power lost by all", func(ctx context.Context, s *soak, _ time.Duration) { s.losePower(ctx) }},
}

// playSilentLinks injects faults of links one after the other, each followed by calm, while callers read
// jobs. Each kind comes once before one comes again.
func (s *soak) playSilentLinks(ctx context.Context) {
	s.jobInterval = silentLinksJobs
	s.checks.answersInCalm = true
	stop := s.startCallers(ctx, silentLinksStreams)
	var order []fault
	for end := time.Now().Add(s.duration); time.Now().Before(end); {
		if len(order) == 0 {
			order = s.shuffledLinkFaults()
		}
		if len(order) == 0 || !cicadaretry.Sleep(ctx, calmBetween) {
			break
		}
		s.inject(ctx, order[0])
		order = order[1:]
		s.faults.Wait()
		cicadaretry.Sleep(ctx, recoveryTime)
	}
	s.endCallers(ctx, stop)
}

// shuffledLinkFaults returns the faults that were asked for in a random order.
func (s *soak) shuffledLinkFaults() []fault {
	order := slices.DeleteFunc(slices.Clone(linkFaults), func(f fault) bool { return !strings.Contains(f.kind, s.onlyFault) })
	s.random.Shuffle(len(order), func(i, j int) { order[i], order[j] = order[j], order[i] })
	return order
}

// silence lets nothing pass on connections to processes for a time. Those that are open at its end
// stay silent for good; new ones are sound. Datagrams pass all the time.
func (s *soak) silence(ctx context.Context, length time.Duration, to ...*process) {
	s.log.Info("connections fall silent", "to", names(to))
	for _, p := range to {
		p.link.tcp.disturb(silent)
	}
	s.faults.Go(func() {
		cicadaretry.Sleep(ctx, length)
		for _, p := range to {
			p.link.tcp.disturbNew()
		}
	})
}

func names(of []*process) []string {
	var names []string
	for _, p := range of {
		names = append(names, p.name)
	}
	return names
}

// disturbOwner disturbs the connections to an owner, while datagrams pass.
func disturbOwner(d disturbance) func(context.Context, *soak, time.Duration) {
	return func(ctx context.Context, s *soak, length time.Duration) {
		s.cutOneWay(ctx, length, s.pick(s.owners), d, func() {})
	}
}

// cutOneWay disturbs the connections that a process accepts for a time, and then calls undo. Connections
// that the process opens are not disturbed, since nothing tells them from those of others.
func (s *soak) cutOneWay(ctx context.Context, length time.Duration, p *process, d disturbance, undo func()) {
	s.log.Info("connections disturbed", "to", p.name)
	p.link.tcp.disturb(d)
	s.faults.Go(func() {
		cicadaretry.Sleep(ctx, length)
		p.link.tcp.disturb(undisturbed)
		undo()
	})
}

// dropDatagramsFrom drops what a process sends to the others until undo is called.
func (s *soak) dropDatagramsFrom(p *process) (undo func()) {
	var undos []func()
	for _, other := range s.processes() {
		undos = append(undos, other.link.udp.dropFrom(p.ip))
	}
	return func() {
		for _, undo := range undos {
			undo()
		}
	}
}

// losePower kills all processes at once, lets them start again after a while, and reads all jobs at
// once as soon as the entries are ready.
func (s *soak) losePower(ctx context.Context) {
	c := newCaller(s.entries, s.checks, newRandom(s.random.Uint64()))
	for _, p := range s.processes() {
		p.downtime.Store(int64(powerLoss))
		p.signal(syscall.SIGKILL)
	}
	s.faults.Go(func() {
		cicadaretry.Sleep(ctx, powerLoss)
		within, cancel := context.WithTimeout(ctx, startTimeout)
		defer cancel()
		if err := s.waitEntries(within); err != nil {
			s.log.Warn("entries are not ready after a power failure", "error", err)
			return
		}
		s.readAllAtOnce(ctx, c)
		s.checks.disturb(0)
	})
}
