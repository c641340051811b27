package main

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	workerReturn = 3 * time.Second // the worker is back after some seconds
	retryBound   = 3               // retries that may reach workers after the third crash
	againEvery   = 2 * time.Second
	againTime    = 100 * time.Second
)

// deadly is the body of the request that crashes workers, and sound that of the others.
var (
	deadly = []byte("draft that crashes the worker")
	sound  = []byte("sound draft")
)

// startDeadly starts a deployment whose workers crash under the deadly request, before they answer.
func startDeadly(rec *recorder, trouble bool) (*deployment, error) {
	return startDeployment(rec, 3, 2, func(d *deployment) error {
		d.config(1, route("r-stream", "/s/", "stream", "assist", map[string]any{"GapAimMs": 400, "CanResume": false, "Sticky": true}))
		d.fleet.onRequest = func(wk *worker, _ http.ResponseWriter, _ *http.Request, body []byte) bool {
			if !trouble || !bytes.Equal(body, deadly) {
				return false
			}
			wk.crashAndReturn(workerReturn)
			return true
		}
		for range 8 {
			if _, err := d.fleet.start("assist", "z-a", "", 8); err != nil {
				return err
			}
		}
		return nil
	})
}

// judgeDeadly counts the retries of the deadly request that reached workers later than contactTime
// after the third crash.
func judgeDeadly(rec *recorder, d *deployment, c *clients, path string) verdict {
	crashes := d.fleet.crashTimes()
	if len(crashes) < 3 {
		return verdict{false, fmt.Sprintf("%d crashes; answers by status, 0 for cut: %v", len(crashes), counts(c.all()))}
	}
	from := crashes[2].Add(contactTime)
	retries := make(map[string]bool)
	for _, a := range d.fleet.snapshot() {
		if a.path == path && a.at.After(from) {
			retries[a.id] = true
			rec.note("retry %s reaches worker %s at %s, after the third crash at %s", a.id, a.worker, rec.at(a.at), rec.at(crashes[2]))
		}
	}
	text := fmt.Sprintf("%d crashes; %d retries reached workers later than %s after the third (at most %d may); answers by status, 0 for cut: %v",
		len(crashes), len(retries), contactTime, retryBound, counts(c.all()))
	return verdict{len(retries) > retryBound, text}
}

// playDeadlyAgain sends a request that crashes each worker before it answers to all entries, again and
// again for longer than the gateway remembers such a request.
func playDeadlyAgain(rec *recorder, trouble bool) (verdict, error) {
	d, err := startDeadly(rec, trouble)
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return verdict{}, err
	}
	c := newClients(rec)
	c.quiet = true
	stop := make(chan struct{})
	c.stream(d, soundInterval, "POST", "/s/sound", nil, sound, stop)
	for end := time.Now().Add(againTime); time.Now().Before(end); time.Sleep(againEvery) {
		for _, p := range d.entries {
			c.wg.Add(1)
			go func() {
				defer c.wg.Done()
				c.send(p.callers(), "POST", "/s/deadly", nil, deadly, 5*time.Second)
			}()
		}
	}
	close(stop)
	c.wg.Wait()
	return judgeDeadly(rec, d, c, "/s/deadly"), nil
}

const (
	partShare     = 0.05             // share of the requests that hold the deadly part
	partTime      = 22 * time.Second // how long they come
	partBound     = 3                // requests that may reach workers after the fifth crash
	soundInterval = 50 * time.Millisecond
	deadlyPart    = "dead01"
)

// playDeadlyPart sends requests with a part of the prompt that crashes each worker that begins to
// write an answer on it: the worker writes the first event and crashes. No two requests are alike.
func playDeadlyPart(rec *recorder, trouble bool) (verdict, error) {
	d, err := startDeployment(rec, 2, 2, func(d *deployment) error {
		d.config(1, route("r-stream", "/s/", "stream", "assist", map[string]any{"GapAimMs": 400, "CanResume": false, "Sticky": true}))
		d.fleet.onRequest = func(wk *worker, w http.ResponseWriter, r *http.Request, _ []byte) bool {
			if !trouble || !strings.Contains(r.Header.Get("X-Prompt-Prefix"), deadlyPart+":") {
				return false
			}
			w.Header().Set("Content-Type", "text/event-stream")
			sendEvent(w, r, 1)
			time.Sleep(eventInterval)
			wk.crashAndReturn(workerReturn)
			return true
		}
		for range 8 {
			if _, err := d.fleet.start("assist", "z-a", "", 8); err != nil {
				return err
			}
		}
		return nil
	})
	if d != nil {
		defer d.stop()
	}
	if err != nil {
		return verdict{}, err
	}
	c := newClients(rec)
	c.quiet = true
	n := 0
	send := func(part string) {
		n++
		entry, number := d.entries[n%len(d.entries)].callers(), n
		c.wg.Add(1)
		go func() {
			defer c.wg.Done()
			prefix := fmt.Sprintf("aa%02x:100,%s:100,%08x:250", (number+number/20)%20, part, number)
			path := "/s/sound"
			if part == deadlyPart {
				path = "/s/deadly"
			}
			c.send(entry, "POST", path, map[string]string{"X-Model": "m", "X-Token-Count": "450,20", "X-Prompt-Prefix": prefix}, []byte(fmt.Sprint("draft ", number)), 5*time.Second)
		}()
	}
	// Sound requests first, so that the gateway knows the usual parts.
	begin := time.Now().Add(10 * time.Second)
	end := begin.Add(partTime)
	every := int(1 / partShare)
	for now := time.Now(); now.Before(end); now = time.Now() {
		part := fmt.Sprintf("bb%03x", n%200)
		if now.After(begin) && n%every == 0 {
			part = deadlyPart
		}
		send(part)
		time.Sleep(soundInterval)
	}
	c.wg.Wait()
	return judgeDeadlyPart(rec, d, c), nil
}

// judgeDeadlyPart counts the requests with the deadly part that reached workers later than contactTime
// after the fifth crash.
func judgeDeadlyPart(rec *recorder, d *deployment, c *clients) verdict {
	crashes := d.fleet.crashTimes()
	if len(crashes) < 5 {
		return verdict{false, fmt.Sprintf("%d crashes; answers by status, 0 for cut: %v", len(crashes), counts(c.all()))}
	}
	from := crashes[4].Add(contactTime)
	reached := make(map[string]bool)
	for _, a := range d.fleet.snapshot() {
		if a.path == "/s/deadly" && a.at.After(from) {
			reached[a.id] = true
			rec.note("request %s with the part reaches worker %s at %s, after the fifth crash at %s", a.id, a.worker, rec.at(a.at), rec.at(crashes[4]))
		}
	}
	cut := 0
	for _, a := range c.all() {
		if a.path == "/s/sound" && a.status != http.StatusOK {
			cut++
		}
	}
	text := fmt.Sprintf("%d crashes; %d requests with the part reached workers later than %s after the fifth (at most %d may); %d sound requests without a complete answer; answers by status, 0 for cut: %v",
		len(crashes), len(reached), contactTime, partBound, cut, counts(c.all()))
	return verdict{len(reached) > partBound, text}
}
