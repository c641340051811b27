package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["large"] = large }

// large keeps the platform's store down for 4.5 s while the items of a batch job finish. Their
// output is markup. All results must be listed when FinishS is over.
func large(rec *record) bool {
	const (
		items   = 90
		outage  = 4500 * time.Millisecond
		finishS = 18 * time.Second
		rows    = "<tr><td>12</td><td>7</td><td>5</td></tr>"
	)
	d := newDeployment(rec, 2, 3, 12, newConfig(batchRoute(0)), func(id string) script {
		// 236 events of about 60 bytes, as the site's sheet has them. Items differ in speed.
		var i int
		_, _ = fmt.Sscanf(id[14:], "%x", &i)
		return script{events: 236, gap: time.Duration(10+i/3) * time.Millisecond, data: func(n int) string {
			return (rows + rows)[:60-len(fmt.Sprint(n))] + fmt.Sprint(n)
		}}
	})
	defer d.stop()
	var lastRun atomic.Int64 // when a worker last had an item
	for _, wk := range d.workers {
		done := wk.onDone
		wk.onDone = func(w, id string, complete bool) {
			lastRun.Store(time.Now().UnixNano())
			done(w, id, complete)
		}
	}
	job := "7c41e09b52d6a3f8"
	var all []item
	for i := range items {
		all = append(all, newItem(fmt.Sprintf("e5b2907c14da6f%02x", i), 600))
	}
	d.store.onWrite = func(method, kind, name string, status, size int) {
		if kind == "cicada-results" {
			rec.add("store: %s %s %s of %d bytes: %d", method, kind, name, size, status)
		}
	}
	if a := d.submit(d.entries[0], job, all, 4*time.Second); a.status != http.StatusAccepted {
		fatal("the job was not accepted: %v", a)
	}
	time.Sleep(2800 * time.Millisecond)
	if d.trouble {
		rec.add("the store answers 503")
		d.store.setBusy(true)
	}
	time.Sleep(outage)
	if d.trouble {
		rec.add("the store answers again")
		d.store.setBusy(false)
	}
	end := time.Now().Add(finishS)
	calm := func() time.Duration { return time.Since(time.Unix(0, lastRun.Load())) }
	got := 0
	for time.Now().Before(end) || calm() < 6*time.Second && time.Now().Before(end.Add(30*time.Second)) {
		results, total, a := d.readAll(d.entries[1], job)
		rec.add("client reads all: status %d, %d results of %d, error %v", a.status, len(results), total, a.err)
		got = max(got, len(results))
		for _, r := range results {
			if want := d.workers[0].plan(r.ID).output(); r.State != "complete" || r.Output != want {
				rec.add("MIXED: item %s is %s with %d bytes of %d", r.ID, r.State, len(r.Output), len(want))
				return true
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	busy := 0
	for _, wk := range d.workers {
		busy += len(wk.slots)
	}
	rec.add("FinishS is over: %d of %d items are listed, %d slots of workers are taken, the last run ended %.1f s ago", got, items, busy, calm().Seconds())
	broken := got < items && busy == 0 && calm() > 5*time.Second
	if broken {
		rec.add("LOST: %d items are not listed", items-got)
	}
	return broken
}
