package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	workersOfService = 9
	replaced         = 4 // 0.45 of them
	replacedAtOnce   = 2
	releaseGap       = time.Second
	eventTime        = 50 * time.Millisecond
	eventTokens      = 2  // tokens in an event
	shortOutput      = 24 // events of a newer version for most items
	drainTime        = 2 * time.Second
	// stopAfter is after how many items that are complete at the newer version, and had more events of the
	// older one, an owner is stopped.
	stopAfter      = 12
	shorterRounds  = 3
	jobsOfRound    = 20
	itemsOfJob     = 12
	roundTime      = 30 * time.Second
	releaseAfter   = 600 * time.Millisecond
	ownerDownTime  = 300 * time.Millisecond
	linger         = 300 * time.Millisecond // how much longer than drainTime a worker serves that leaves
	newerNumerator = 4                      // of the length of an output at a newer version
	newerDivisor   = 15
)

// longOutput returns how many events an older version makes, and newerOutput how many a newer one.
func longOutput(tokens int) int { return tokens / eventTokens }

func newerOutput(tokens int) int { return longOutput(tokens) * newerNumerator / newerDivisor }

// shorterOutput plays rounds until a result is wrong. At the beginning of each, workers of two versions serve side by
// side. Those of the older one are replaced by others of the newer one, whose outputs are shorter, while items run, and
// an owner is stopped in order soon after. Each result must be the whole output of one version.
//
// An output has an event for each two tokens of its greatest length at the older version, and about a quarter as
// many at the newer one. Each fourth item may be three times as long as the others.
func (r *rig) shorterOutput() error {
	r.configure(1)
	newer, older := r.newVersion("2.0", newerOutput), r.newVersion("1.1", longOutput)
	if err := r.add(newer, workersOfService-replaced); err != nil {
		return err
	}
	if err := r.add(older, replaced); err != nil {
		return err
	}
	if err := r.start(2, 2, ""); err != nil {
		return err
	}
	for round := 1; round <= shorterRounds && r.log.brokenRules() == 0; round++ {
		if round > 1 && r.trouble {
			older = r.newVersion(fmt.Sprintf("1.%d", round), longOutput)
			if err := r.release(newer, older); err != nil {
				return err
			}
		}
		if err := r.playShorter(older, newer); err != nil {
			return err
		}
	}
	return nil
}

// A version is the workers of a version of the software.
type version struct {
	name    string
	events  func(tokens int) int
	onEvent func(version, id string, n int)
	started int
	workers []*worker
}

func (r *rig) newVersion(name string, events func(tokens int) int) *version {
	return &version{name: name, events: events}
}

// add starts workers of a version.
func (r *rig) add(v *version, n int) error {
	for range n {
		v.started++
		w, err := startWorker(workerConfig{
			id: fmt.Sprintf("i-%s-%d", v.name, v.started), service: "assistant", zone: "zone-a", version: v.name, ip: "127.0.0.1",
			outputs: v.events, slots: 8, interval: eventTime,
		}, r.log)
		if err != nil {
			return err
		}
		w.setOnEvent(v.onEvent)
		w.register(r.store, "ready")
		v.workers = append(v.workers, w)
	}
	return nil
}

// release replaces workers of a version by as many of another, replacedAtOnce at a time: the new ones start first,
// the old ones drain. It returns when the last one has left.
func (r *rig) release(from, to *version) error {
	var leaving sync.WaitGroup
	defer leaving.Wait()
	for i := 0; i < replaced; i += replacedAtOnce {
		if i > 0 {
			time.Sleep(releaseGap)
		}
		if err := r.add(to, replacedAtOnce); err != nil {
			return err
		}
		for range replacedAtOnce {
			w := from.workers[0]
			from.workers = from.workers[1:]
			leaving.Go(func() { w.leave(r.store, drainTime+linger) })
		}
	}
	return nil
}

// playShorter plays one round.
func (r *rig) playShorter(older, newer *version) error {
	progress := &outputs{older: older.name, sent: make(map[string]int), complete: make(map[string]bool)}
	newer.onEvent = progress.add
	for _, w := range append(older.workers, newer.workers...) {
		w.setOnEvent(progress.add)
	}
	var followers sync.WaitGroup
	defer followers.Wait()
	until := time.Now().Add(roundTime)
	for range jobsOfRound {
		j := newJob(itemsOfJob, 1000)
		if !r.client.submit(j, 5) {
			return fmt.Errorf("job not accepted")
		}
		followers.Go(func() {
			r.client.follow(j, until, func(j *job, position int, res result) {
				r.checkShorter(j, position, res, older.name, newer.name)
			})
		})
	}
	if !r.trouble {
		return nil
	}
	time.Sleep(releaseAfter)
	if err := r.release(older, newer); err != nil {
		return err
	}
	for end := time.Now().Add(5 * time.Second); progress.begunAnew() < stopAfter && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	r.owners[0].terminate(8 * time.Second)
	time.Sleep(ownerDownTime)
	return r.owners[0].start()
}

// checkShorter checks that a result is the whole output of one version.
func (r *rig) checkShorter(j *job, position int, res result, older, newer string) {
	tokens := j.tokens[res.ID]
	switch {
	case res.State != "complete":
		r.log.breaks("MIXED", "job %s position %d item %s: %s, though no worker has failed it", j.id, position, res.ID, res.State)
	case res.Output != wholeOutput(older, res.ID, longOutput(tokens)) && res.Output != wholeOutput(newer, res.ID, newerOutput(tokens)):
		lines := strings.Split(res.Output, "\n")
		r.log.breaks("MIXED", "job %s position %d item %s: complete with %d events, the last %q; whole are %d events of %s or %d of %s",
			j.id, position, res.ID, len(lines), lines[len(lines)-1], longOutput(tokens), older, newerOutput(tokens), newer)
	}
}

// outputs counts the events that workers have sent.
type outputs struct {
	older    string
	mu       sync.Mutex
	sent     map[string]int  // events of the older version, by item
	complete map[string]bool // items that are complete at the newer version
}

func (o *outputs) add(version, id string, n int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if version == o.older {
		o.sent[id] = n
	} else if n == shortOutput {
		o.complete[id] = true
	}
}

// begunAnew returns how many items are complete at the newer version that had more events of the older one.
func (o *outputs) begunAnew() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	n := 0
	for id := range o.complete {
		if o.sent[id] > shortOutput {
			n++
		}
	}
	return n
}
