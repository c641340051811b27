package main

import (
	"fmt"
	"time"
)

const (
	reclaimNotice = 2500 * time.Millisecond // x of scale_in, reclaim
	reclaimReturn = 4 * time.Second         // others come 4 s later
	reclaimCalm   = 2500 * time.Millisecond
	reclaimRounds = 11
	zoneWorkers   = 6
	// requestInterval is the time between two requests at one of the two entries.
	requestInterval = 185 * time.Millisecond
)

// playZoneReclaimed takes the workers of the zone in which the entries are away, several times, and lets
// others come. They never report that they drain: their entries are removed, and they serve for a while
// longer; their answers say that they leave. No request may reach them later than drainTime after the
// store has acknowledged the removal.
func playZoneReclaimed(rec *recorder, trouble bool) (verdict, error) {
	var workers []*worker
	startZone := func(d *deployment, zone string) ([]*worker, error) {
		var started []*worker
		for range zoneWorkers {
			wk, err := d.fleet.start("assist", zone, "", 5)
			if err != nil {
				return nil, err
			}
			started = append(started, wk)
		}
		return started, nil
	}
	d, err := startDeployment(rec, 2, 2, func(d *deployment) error {
		d.config(1, route("r-stream", "/s/", "stream", "assist", map[string]any{"GapAimMs": 400, "CanResume": false, "Sticky": true}))
		for _, zone := range []string{"z-b", "z-c", "z-a"} {
			var err error
			if workers, err = startZone(d, zone); err != nil {
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
	c.stream(d, requestInterval, "POST", "/s/1", nil, []byte("draft"), stop)
	time.Sleep(2 * time.Second)
	gone := make(map[string]time.Time) // acknowledgement of the removal
	for range reclaimRounds {
		if trouble {
			for _, wk := range workers {
				gone[wk.id] = wk.unregister()
				rec.note("entry of %s is removed, acknowledged at %s", wk.id, rec.at(gone[wk.id]))
			}
		}
		time.Sleep(reclaimNotice)
		if trouble {
			for _, wk := range workers {
				wk.crash()
			}
			rec.note("these workers end")
		}
		time.Sleep(reclaimReturn)
		if trouble {
			if workers, err = startZone(d, "z-a"); err != nil {
				return verdict{}, err
			}
		}
		time.Sleep(reclaimCalm)
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
	text := fmt.Sprintf("%d requests reached workers later than %s after their removal was acknowledged (the last %.3f s after it); answers by status, 0 for cut: %v", late, drainTime, longest.Seconds(), counts(c.all()))
	return verdict{late > 0, text}, nil
}
