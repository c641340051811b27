package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	longEvents   = 60
	longInterval = 450 * time.Millisecond // 27 s a stream
	longBudget   = 45 * time.Second       // of the clients, and the route's TimeoutMs
	longClients  = 42
	longWorkers  = 7
	slowAfter    = 5 * time.Second
	slowFactor   = 4               // x of srv_slow
	slowTime     = 5 * time.Second // for_s of srv_slow
	closeBound   = 3               // kept channels that may be closed without an answer
)

// playSlowWorker lets clients receive long streams on kept channels, and one worker of seven turn slow
// for a while. The streams are within the clients' time budget all the same.
func playSlowWorker(rec *recorder, trouble bool) (verdict, error) {
	var mu sync.Mutex
	var slowWorker *worker
	var slowFrom, slowUntil time.Time
	isSlow := func(wk *worker) bool {
		mu.Lock()
		defer mu.Unlock()
		now := time.Now()
		return wk == slowWorker && now.After(slowFrom) && now.Before(slowUntil)
	}
	d, err := startDeployment(rec, 2, 2, func(d *deployment) error {
		ms := longBudget.Milliseconds()
		d.config(1,
			route("r-stream", "/s/", "stream", "assist", map[string]any{"GapAimMs": 3000, "CanResume": false, "Sticky": true, "TimeoutMs": ms}),
			route("r-plain", "/plain/", "safe", "assist", nil))
		d.fleet.onRequest = func(wk *worker, w http.ResponseWriter, r *http.Request, _ []byte) bool {
			if !strings.HasPrefix(r.URL.Path, "/s/") {
				return false
			}
			w.Header().Set("Content-Type", "text/event-stream")
			for n := 1; n <= longEvents && sendEvent(w, r, n); n++ {
				for left := longInterval; left > 0 && r.Context().Err() == nil; left -= longInterval / 10 {
					time.Sleep(longInterval / 10)
					if isSlow(wk) {
						time.Sleep((slowFactor - 1) * longInterval / 10)
					}
				}
			}
			return true
		}
		for range longWorkers {
			wk, err := d.fleet.start("assist", "z-a", "", 8)
			if err != nil {
				return err
			}
			slowWorker = wk
		}
		return nil
	})
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return verdict{}, err
	}
	if trouble {
		mu.Lock()
		slowFrom = time.Now().Add(slowAfter)
		slowUntil = slowFrom.Add(slowTime)
		mu.Unlock()
		rec.note("worker %s is to work %d times slower from %s to %s", slowWorker.id, slowFactor, rec.at(slowFrom), rec.at(slowUntil))
	}
	var wg sync.WaitGroup
	streams := make([]attempt, longClients)
	for i := range longClients {
		c := newClients(rec)
		c.client.Transport.(*http.Transport).MaxConnsPerHost = 1
		wg.Add(1)
		go func() {
			defer wg.Done()
			entry := d.entries[i%len(d.entries)].callers()
			c.send(entry, "GET", "/plain/first", nil, nil, 5*time.Second) // opens the channel that is kept
			streams[i] = c.send(entry, "POST", "/s/long", nil, []byte("draft"), longBudget)
		}()
	}
	wg.Wait()
	closed := 0
	for _, a := range streams {
		complete := a.status == http.StatusOK && strings.Contains(a.body, fmt.Sprintf("id: %d\n", longEvents))
		if a.kept && !complete && a.status <= http.StatusOK && a.took < longBudget-time.Second {
			closed++
			rec.note("channel of stream %s is closed after %d ms with %d of %d events, error %v", a.id, a.took.Milliseconds(), strings.Count(a.body, "id: "), longEvents, a.err)
		}
	}
	text := fmt.Sprintf("%d kept channels of %d were closed before the end of their streams, which the clients would have waited for (at most %d may)", closed, longClients, closeBound)
	return verdict{closed > closeBound, text}, nil
}
