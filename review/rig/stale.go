package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["stale"] = stale }

// stale freezes the machine that accepted a batch job for 4 s and wakes it. Meanwhile another
// one lists results and clients read them. After ContactMs more, clients read them again.
func stale(rec *record) bool {
	const (
		items  = 12
		freeze = 4 * time.Second
	)
	route := batchRoute(0)
	route["DueMs"] = 40000
	d := newDeployment(rec, 2, 3, 2, newConfig(route, streamRoute()), func(id string) script {
		if id[0] == 'd' { // a draft for a person
			var n int
			_, _ = fmt.Sscanf(id[1:], "%x", &n)
			return plain(id, 10, time.Duration(60+n*37%80)*time.Millisecond)
		}
		return plain(id, 20, 50*time.Millisecond)
	})
	defer d.stop()

	// Traffic of persons in steps: high, low, high.
	var high atomic.Bool
	high.Store(true)
	var clients sync.WaitGroup
	ended := make(chan struct{})
	var drafts, served atomic.Int64
	for c := range 24 {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-ended:
					return
				default:
				}
				if !high.Load() {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				id := fmt.Sprintf("d%02x%04x", c, n)
				drafts.Add(1)
				a := call(http.MethodPost, d.entries[c%2].front, "/draft/"+id, map[string]string{
					"X-Request-Id": id, "X-Model": "m", "X-Token-Count": "250,20", "X-Prompt-Prefix": "5c1e07a2:100," + id + ":250", "X-Deadline-Ms": "5000",
				}, []byte("draft"), 5*time.Second)
				rec.add("draft %s: status %d, error %v", id, a.status, a.err)
				if a.status == http.StatusOK && a.err == nil {
					served.Add(1)
				} else {
					time.Sleep(max(a.retryAfter, 20*time.Millisecond))
				}
			}
		})
	}
	time.Sleep(2 * time.Second)

	job := "7c41e09b52d6a3f8"
	var all []item
	for i := range items {
		all = append(all, newItem(fmt.Sprintf("e5b2907c14da6f%02x", i), 600))
	}
	if a := d.submit(d.entries[0], job, all, 4*time.Second); a.status != http.StatusAccepted {
		fatal("the job was not accepted: %v", a)
	}
	owner := d.owner(d.acceptedBy(job))
	time.Sleep(time.Second)

	// Clients read from the start all the time, at both entries.
	firstRead := map[int]time.Time{} // by position
	content := map[int]result{}
	var mu sync.Mutex
	broken := 0
	var awake atomic.Int64 // from when on the machines are in touch again
	awake.Store(time.Now().Add(time.Hour).UnixNano())
	for c := range 2 {
		clients.Go(func() {
			time.Sleep(time.Duration(c) * 250 * time.Millisecond)
			for {
				select {
				case <-ended:
					return
				case <-time.After(500 * time.Millisecond):
				}
				sent := time.Now()
				p, a := d.read(d.entries[c], job, 0, 0)
				rec.add("client reads job from 0 at %s: status %d, %d results of %d, error %v", d.entries[c].name, a.status, len(p.Results), p.Total, a.err)
				if a.err != nil || a.status != http.StatusOK && a.status != http.StatusNotFound && a.status != http.StatusGone {
					continue
				}
				mu.Lock()
				for i, r := range p.Results {
					if _, ok := firstRead[i]; !ok {
						firstRead[i], content[i] = time.Now(), r
					}
					if content[i] != r {
						rec.add("position %d holds another result than before: %v, %v", i, content[i], r)
						broken++
					}
				}
				for i, at := range firstRead {
					if i >= len(p.Results) && sent.Sub(at) > settle && sent.UnixNano() > awake.Load() {
						rec.add("LOST: position %d was read %.3f s ago, and %s has nothing there", i, sent.Sub(at).Seconds(), d.entries[c].name)
						broken++
					}
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(10 * time.Second)
	if d.trouble {
		d.signal(owner, syscall.SIGSTOP)
	} else {
		awake.Store(0)
	}
	time.Sleep(300 * time.Millisecond)
	high.Store(false)
	rec.add("traffic low: %d drafts sent, %d served", drafts.Load(), served.Load())
	time.Sleep(freeze - 600*time.Millisecond)
	high.Store(true)
	rec.add("traffic high")
	time.Sleep(300 * time.Millisecond)
	if d.trouble {
		d.signal(owner, syscall.SIGCONT)
		awake.Store(time.Now().Add(contact).UnixNano())
	}
	time.Sleep(contact + 4*time.Second)
	high.Store(false)
	rec.add("traffic low: %d drafts sent, %d served", drafts.Load(), served.Load())
	time.Sleep(4 * time.Second)
	close(ended)
	clients.Wait()
	results, total, a := d.readAll(d.entries[1], job)
	rec.add("at the end: status %d, %d results of %d", a.status, len(results), total)
	if len(firstRead) == 0 {
		fatal("no result was read")
	}
	return broken > 0
}
