package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["abandoned"] = abandoned }

// abandoned keeps the platform's store down for 4.5 s while batch jobs with running items pass
// their MaxWaitS. Batch jobs that are handed in after the outage must be done when FinishS is
// over.
func abandoned(rec *record) bool {
	const (
		maxWait = 60 * time.Second
		outage  = 4500 * time.Millisecond
		finishS = 18 * time.Second
		jobs    = 6
		later   = 12
	)
	d := newDeployment(rec, 2, 3, 3, newConfig(batchRoute(0)), func(id string) script {
		if id[0] == '1' { // a long item: 378 events, the most of the sheet
			return plain(id, 378, 190*time.Millisecond)
		}
		return plain(id, 20, 50*time.Millisecond)
	})
	defer d.stop(false)
	var lastRun atomic.Int64 // when a worker last had an item
	for _, wk := range d.workers {
		done := wk.onDone
		wk.onDone = func(w, id string, complete bool) {
			lastRun.Store(time.Now().UnixNano())
			done(w, id, complete)
		}
	}
	first := time.Now()
	for i := range jobs {
		job := fmt.Sprintf("a%015x", i*7919)
		if a := d.submit(d.entries[i%2], job, []item{newItem("1"+job[1:], 600)}, 4*time.Second); a.status != http.StatusAccepted {
			fatal("a job was not accepted: %v", a)
		}
	}
	time.Sleep(time.Until(first.Add(maxWait - 1500*time.Millisecond)))
	if d.trouble {
		rec.add("the store answers 503")
		d.store.setBusy(true)
	}
	time.Sleep(outage)
	if d.trouble {
		rec.add("the store answers again")
		d.store.setBusy(false)
	}
	time.Sleep(2 * time.Second)

	// Clients hand in one job each, and once more after a failure.
	var clients sync.WaitGroup
	accepted := make([]bool, later)
	job := func(i int) string { return fmt.Sprintf("b%015x", i*104729) }
	for i := range later {
		clients.Go(func() {
			for try := range 2 {
				a := d.submit(d.entries[(i+try)%2], job(i), []item{newItem("2"+job(i)[1:], 600), newItem("3"+job(i)[1:], 600)}, 5500*time.Millisecond)
				if a.status == http.StatusAccepted {
					accepted[i] = true
					return
				}
				time.Sleep(max(a.retryAfter, 100*time.Millisecond))
			}
		})
	}
	clients.Wait()
	time.Sleep(finishS)
	busy := 0
	for _, wk := range d.workers {
		busy += len(wk.slots)
	}
	calm := time.Since(time.Unix(0, lastRun.Load()))
	rec.add("FinishS is over, %d slots of workers are taken, the last run ended %.1f s ago", busy, calm.Seconds())
	if busy > 0 || calm < 5*time.Second {
		fatal("the workers are not idle")
	}
	var broken atomic.Bool
	check := func(job string, items int) {
		clients.Go(func() {
			results, total, a := d.readAll(d.entries[0], job)
			rec.add("client reads job %s: status %d, %d results of %d", job, a.status, len(results), total)
			if len(results) < items {
				rec.add("LOST: job %s was accepted, and %d of its items are neither complete nor errored", job, items-len(results))
				broken.Store(true)
			}
		})
	}
	for i := range jobs {
		check(fmt.Sprintf("a%015x", i*7919), 1)
	}
	for i := range later {
		if !accepted[i] {
			rec.add("job %s was not accepted", job(i))
			continue
		}
		check(job(i), 2)
	}
	clients.Wait()
	return broken.Load()
}
