package main

import (
	"fmt"
	"time"
)

const (
	reclaimNotice = 2500 * time.Millisecond // x of scale_in, reclaim
	reclaimReturn = 4 * time.Second         // others come 4 s later
)

// playZoneReclaimed takes the workers of one zone after another away. They never report that they
// drain: their entries are removed, and they serve for a while longer. No request may reach them
// later than drainTime after the store has acknowledged that.
func playZoneReclaimed(rec *recorder, trouble bool) (verdict, error) {
	zones := []string{"z-a", "z-b", "z-c"}
	workers := make(map[string][]*worker)
	startZone := func(d *deployment, zone string) error {
		workers[zone] = nil
		for range 3 {
			wk, err := d.fleet.start("assist", zone, "", 5)
			if err != nil {
				return err
			}
			workers[zone] = append(workers[zone], wk)
		}
		return nil
	}
	d, err := startDeployment(rec, 2, 2, func(d *deployment) error {
		d.config(1, route("r-stream", "/s/", "stream", "assist", map[string]any{"GapAimMs": 400, "CanResume": false, "Sticky": true}))
		for _, zone := range zones {
			if err := startZone(d, zone); err != nil {
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
	stop := make(chan struct{})
	c.stream(d, 20*time.Millisecond, "POST", "/s/1", nil, []byte("draft"), stop)
	time.Sleep(2 * time.Second)
	gone := make(map[string]time.Time) // acknowledgement of the removal
	for _, zone := range zones {
		if trouble {
			leaving := workers[zone]
			for _, wk := range leaving {
				gone[wk.id] = wk.unregister()
				rec.note("entry of %s is removed, acknowledged at %s", wk.id, rec.at(gone[wk.id]))
			}
			time.Sleep(reclaimNotice)
			for _, wk := range leaving {
				wk.crash()
				rec.note("worker %s ends", wk.id)
			}
		} else {
			time.Sleep(reclaimNotice)
		}
		time.Sleep(reclaimReturn)
		if trouble {
			if err := startZone(d, zone); err != nil {
				return verdict{}, err
			}
		}
		time.Sleep(4 * time.Second)
	}
	close(stop)
	c.wg.Wait()
	late := 0
	longest := time.Duration(0)
	for _, a := range d.fleet.snapshot() {
		at, ok := gone[a.worker]
		if !ok {
			continue
		}
		if after := a.at.Sub(at); after > drainTime {
			late++
			longest = max(longest, after)
			rec.note("request %s reaches %s at %s, %.3f s after the acknowledgement that it is gone", a.id, a.worker, rec.at(a.at), after.Seconds())
		}
	}
	n := counts(c.all())
	text := fmt.Sprintf("%d requests reached workers later than %s after their removal was acknowledged (the last %.3f s after it); answers by status, 0 for cut: %v", late, drainTime, longest.Seconds(), n)
	return verdict{late > 0, text}, nil
}
