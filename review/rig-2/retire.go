package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

const (
	retireLimit = 10 * time.Second // DurationS of a retirement
	finishTime  = 18 * time.Second // FinishS
	readLimit   = 15 * time.Second // how long the job is asked for at the end
)

// A jobPage is a page of results.
type jobPage struct {
	Total   int
	Next    int
	Results []struct{ ID, State, Output string }
}

// submitJob submits a batch job with n items until it is accepted.
func submitJob(d *deployment, c *clients, n int) (id string, err error) {
	id = newID()
	var items []any
	for i := range n {
		items = append(items, map[string]any{
			"Id": fmt.Sprintf("%s%02x", id[:12], i), "Path": fmt.Sprintf("/b/%d", i), "Body": []byte("item"), "Tokens": 500,
			"Headers": map[string]string{"X-Model": "m", "X-Token-Count": "450,50", "X-Prompt-Prefix": "aa01:100,bb01:100,cc01:250"},
		})
	}
	body, err := json.Marshal(map[string]any{"Items": items})
	if err != nil {
		return "", err
	}
	for try := range 5 {
		a := c.send(d.entries[try%len(d.entries)].callers(), "POST", "/b/lot", map[string]string{"X-Request-Id": id, "Content-Type": "application/json"}, body, 4*time.Second)
		if a.status == http.StatusAccepted {
			d.rec.note("job %s is accepted", id)
			return id, nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return "", fmt.Errorf("job was not accepted")
}

// readJob reads all results of a job, at one entry after the other, until it has want of them or
// limit has passed. It returns the last page and whether there was one.
func readJob(d *deployment, c *clients, id string, want int, limit time.Duration) (page jobPage, ok bool) {
	end := time.Now().Add(limit)
	for n := 0; time.Now().Before(end); n++ {
		a := c.send(d.entries[n%len(d.entries)].callers(), "GET", "/cicadalink/lots/"+id+"?After=0", nil, nil, 3*time.Second)
		if a.status == http.StatusOK && json.Unmarshal([]byte(a.body), &page) == nil {
			ok = true
			if len(page.Results) >= want {
				return page, true
			}
		}
		time.Sleep(500 * time.Millisecond)
	}
	return page, ok
}

// retire asks for a machine to be emptied, and removes it together with its disk once the system says
// that it is. It reports whether that happened within the time of the request.
func (d *deployment) retire(p *process) bool {
	d.store.put("retirements", p.name, map[string]any{"DurationS": retireLimit.Seconds()})
	d.rec.note("the operator asks that %s be emptied", p.name)
	for end := time.Now().Add(retireLimit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		status, body := d.store.get("retirements", p.name)
		o, ok := body.(object)
		var s struct{ State string }
		if status != http.StatusOK || !ok || json.Unmarshal(o.Status, &s) != nil || s.State != "complete" {
			continue
		}
		d.rec.note("the system says that %s is empty: %s", p.name, o.Status)
		_ = p.cmd.Process.Kill()
		<-p.done
		_ = os.RemoveAll(filepath.Join(d.dir, p.name+".data"))
		d.rec.note("%s is removed, with its disk", p.name)
		return true
	}
	d.rec.note("%s is not empty after %s, and stays", p.name, retireLimit)
	return false
}

// playLastRetired retires the store machines one after the other, with no job unfinished. What the
// system does not call empty stays. A job that was accepted and read must stay readable.
func playLastRetired(rec *recorder, trouble bool) (verdict, error) {
	d, err := startDeployment(rec, 2, 2, func(d *deployment) error {
		d.config(1, route("r-lot", "/b/", "batch", "assist", map[string]any{"TimeoutMs": 15000, "DueMs": 18000, "MaxWaitS": 60, "Attempts": 3, "CanResume": true}))
		for range 4 {
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
	c.client.Transport.(*http.Transport).DisableKeepAlives = true // calls of batch jobs come on new channels
	id, err := submitJob(d, c, 4)
	if err != nil {
		return verdict{}, err
	}
	before, _ := readJob(d, c, id, 4, 20*time.Second)
	if len(before.Results) != 4 {
		return verdict{}, fmt.Errorf("the job has %d results of 4 before the disruption", len(before.Results))
	}
	rec.note("all 4 results were read")
	removed := 0
	if trouble {
		for _, p := range d.owners {
			if d.retire(p) {
				removed++
			}
			time.Sleep(contactTime)
		}
	}
	time.Sleep(finishTime)
	after, ok := readJob(d, c, id, 4, readLimit)
	switch {
	case !ok:
		return verdict{true, fmt.Sprintf("%d of %d store machines were called empty and removed; the job, of which all 4 results had been read, cannot be read any more for %s", removed, len(d.owners), readLimit)}, nil
	case len(after.Results) < 4:
		return verdict{true, fmt.Sprintf("%d results of 4 are left", len(after.Results))}, nil
	}
	return verdict{false, fmt.Sprintf("%d of %d store machines were removed; the job can be read with its 4 results", removed, len(d.owners))}, nil
}
