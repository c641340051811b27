package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["refused"] = refused }

// refused hands in batch jobs while a route's limit on waiting tokens is nearly used up, and
// freezes one owner for 3.2 s. A job that is refused at every client attempt must never run.
func refused(rec *record) bool {
	const (
		limit  = 100_000
		tokens = 5_000
		freeze = 3200 * time.Millisecond
		probes = 24
		budget = 4 * time.Second // of a client, for the 202
	)
	var mu sync.Mutex
	released := map[string]chan struct{}{} // by item: closed when its run may go on to its end
	gate := func(id string) chan struct{} {
		mu.Lock()
		defer mu.Unlock()
		if released[id] == nil {
			released[id] = make(chan struct{})
		}
		return released[id]
	}
	ran := map[string]time.Time{}
	d := newDeployment(rec, 2, 3, 3, newConfig(batchRoute(limit)), func(id string) script {
		if id[0] == 'f' { // an item of a probe
			return plain(id, 5, 50*time.Millisecond)
		}
		// A long item: an event each 500 ms, for 30 s if it is not one of the shorter ones.
		s := plain(id, 60, 500*time.Millisecond)
		select {
		case <-gate(id):
			s.gap = time.Millisecond
		default:
		}
		return s
	})
	defer d.stop()
	for _, wk := range d.workers {
		wk.onRun = func(w, id string, last int) {
			rec.add("worker %s runs %s after event %d", w, id, last)
			mu.Lock()
			if _, ok := ran[id]; !ok {
				ran[id] = time.Now()
			}
			mu.Unlock()
		}
		plan := wk.plan
		wk.plan = func(id string) script {
			s := plan(id)
			if id[0] != 'f' && s.gap > time.Millisecond {
				slow := s.gap
				s.gap = 0
				s.hold = func(int) <-chan struct{} {
					next := make(chan struct{})
					go func() {
						select {
						case <-gate(id):
						case <-time.After(slow):
						}
						close(next)
					}()
					return next
				}
			}
			return s
		}
	}

	// Jobs of one item each use up 95 of 100 parts of the limit.
	accepted := map[string][]string{} // jobs, by the machine that accepted them
	used := 0
	for i := 0; i < 60 && used+tokens <= limit*95/100; i++ {
		job := fmt.Sprintf("a%015x", i*7919)
		a := d.submit(d.entries[i%2], job, []item{newItem("1"+job[1:], tokens)}, budget)
		if a.status == http.StatusAccepted {
			used += tokens
			by := d.acceptedBy(job)
			accepted[by] = append(accepted[by], job)
		}
	}
	rec.add("%d of %d tokens wait", used, limit)
	// The jobs of one owner have the shorter items. They finish now.
	var victim *machine
	for _, m := range d.owners {
		rec.add("%s has accepted %d jobs", m.name, len(accepted[m.name]))
		if victim == nil || len(accepted[m.name]) > len(accepted[victim.name]) {
			victim = m
		}
	}
	time.Sleep(2 * time.Second)
	for _, job := range accepted[victim.name] {
		close(gate("1" + job[1:]))
	}
	deadline := time.Now().Add(10 * time.Second)
	for _, job := range accepted[victim.name] {
		for {
			if results, _, _ := d.readAll(d.entries[0], job); len(results) == 1 {
				break
			}
			if time.Now().After(deadline) {
				fatal("job %s is not done in time", job)
			}
			time.Sleep(200 * time.Millisecond)
		}
	}
	rec.add("the jobs that %s accepted are complete", victim.name)
	time.Sleep(500 * time.Millisecond)

	woken := make(chan struct{})
	if d.trouble {
		d.signal(victim, syscall.SIGSTOP)
		time.AfterFunc(freeze, func() {
			d.signal(victim, syscall.SIGCONT)
			close(woken)
		})
	} else {
		close(woken)
	}
	time.Sleep(100 * time.Millisecond)

	// Clients hand in one job each, and again after a refusal, at the other entry.
	var clients sync.WaitGroup
	type outcome struct {
		job, item string
		statuses  []int
	}
	outcomes := make([]outcome, probes)
	for i := range probes {
		clients.Go(func() {
			o := outcome{job: fmt.Sprintf("b%015x", i*104729), item: fmt.Sprintf("f%015x", i*104729)}
			start := time.Now()
			for try := range 2 { // the client's retries: 1
				left := budget - time.Since(start)
				if left <= 0 {
					break
				}
				a := d.submit(d.entries[(i+try)%2], o.job, []item{newItem(o.item, tokens+1000)}, left+1500*time.Millisecond)
				o.statuses = append(o.statuses, a.status)
				if a.status != http.StatusTooManyRequests && a.status != http.StatusServiceUnavailable {
					break
				}
				time.Sleep(min(a.retryAfter, (budget-time.Since(start))/3))
			}
			outcomes[i] = o
		})
	}
	clients.Wait()
	<-woken
	time.Sleep(8 * time.Second)

	broken := 0
	mu.Lock()
	defer mu.Unlock()
	for _, o := range outcomes {
		all := len(o.statuses) > 0
		for _, status := range o.statuses {
			all = all && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable)
		}
		at, hasRun := ran[o.item]
		if all && hasRun {
			rec.add("REFUSED: job %s was answered %v at every attempt, and its item ran at %.3f s", o.job, o.statuses, at.Sub(rec.start).Seconds())
			broken++
			continue
		}
		rec.add("job %s was answered %v, its item ran: %v", o.job, o.statuses, hasRun)
	}
	return broken > 0
}
