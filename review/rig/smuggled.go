package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["smuggled"] = smuggled }

// smuggled hands in a batch job with an item whose headers name a transfer encoding and whose
// body holds a second request. No worker may run that second request.
func smuggled(rec *record) bool {
	const hidden = "5ec0bd5ec0bd5ec0"
	var mu sync.Mutex
	ran := map[string]int{}
	d := newDeployment(rec, 2, 3, 2, newConfig(batchRoute(0)), func(id string) script { return plain(id, 5, 50*time.Millisecond) })
	defer d.stop()
	for _, wk := range d.workers {
		wk.onRun = func(w, id string, last int) {
			rec.add("worker %s runs %s after event %d", w, id, last)
			mu.Lock()
			ran[id]++
			mu.Unlock()
		}
	}
	job := "7c41e09b52d6a3f8"
	it := newItem("e5b2907c14da6f38", 600)
	it.Body = []byte("0\r\n\r\nPOST /other/path HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Id: " + hidden + "\r\nContent-Length: 0\r\n\r\n")
	if d.trouble {
		it.Headers["Transfer-Encoding"] = "chunked"
	}
	if a := d.submit(d.entries[0], job, []item{it}, 4*time.Second); a.status != http.StatusAccepted {
		rec.add("the job was refused")
	}
	time.Sleep(5 * time.Second)
	results, total, a := d.readAll(d.entries[1], job)
	rec.add("client reads all: status %d, %d results of %d", a.status, len(results), total)
	mu.Lock()
	defer mu.Unlock()
	for id, n := range ran {
		rec.add("workers ran %s %d times", id, n)
	}
	if ran[hidden] > 0 {
		rec.add("UNASKED: a worker ran %s, which no client sent", hidden)
	}
	return ran[hidden] > 0
}
