package main

import (
	"fmt"
	"strings"
	"time"
)

// playSilentStore lets the open channels to the store fall silent, while new ones work, and then
// changes the configuration and lets a worker drain.
func playSilentStore(rec *recorder, trouble bool) (verdict, error) {
	var leaving *worker
	first := func(service string) map[string]any {
		return route("r-moved", "/plain/", "safe", service, map[string]any{"TimeoutMs": 3000})
	}
	stream := route("r-stream", "/s/", "stream", "assist", map[string]any{"GapAimMs": 400, "CanResume": false, "Sticky": true})
	d, err := startDeployment(rec, 3, 2, true, func(d *deployment) error {
		d.config(1, stream, first("assist"))
		for i := range 6 {
			wk, err := d.fleet.start("assist", "z-a", "", 5)
			if err != nil {
				return err
			}
			if i == 0 {
				leaving = wk
			}
		}
		for range 3 {
			if _, err := d.fleet.start("ledger", "z-b", "", 5); err != nil {
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
	c.stream(d, 20*time.Millisecond, "POST", "/s/1", nil, sound, stop)
	c.stream(d, 20*time.Millisecond, "GET", "/plain/1", nil, nil, stop)
	time.Sleep(3 * time.Second)
	silentAt := time.Now()
	if trouble {
		for _, x := range d.proxies {
			x.silence()
		}
		rec.note("the open channels to the store fall silent")
	}
	time.Sleep(1050 * time.Millisecond)
	changedAt := d.config(2, stream, first("ledger"))
	drainedAt := leaving.register("draining")
	rec.note("worker %s reports that it drains, acknowledged at %s", leaving.id, rec.at(drainedAt))
	time.Sleep(7 * time.Second)
	close(stop)
	c.wg.Wait()
	inTouch := silentAt.Add(contactTime)
	late, oldRoute := 0, 0
	for _, a := range d.fleet.snapshot() {
		if a.worker == leaving.id && a.at.Sub(drainedAt) > drainTime && a.at.After(inTouch) {
			late++
			rec.note("request %s reaches draining worker %.3f s after the acknowledgement, %.3f s after the silence", a.id, a.at.Sub(drainedAt).Seconds(), a.at.Sub(silentAt).Seconds())
		}
	}
	for _, a := range c.all() {
		if strings.HasPrefix(a.path, "/plain/") && a.sentAt.Sub(changedAt) > configApplyTime && a.sentAt.After(inTouch) && strings.HasPrefix(a.body, "assist") {
			oldRoute++
			rec.note("request %s sent %.3f s after the change is run by the old service", a.id, a.sentAt.Sub(changedAt).Seconds())
		}
	}
	text := fmt.Sprintf("%d requests reached a draining worker late, %d were run by the old service late; %v", late, oldRoute, counts(c.all()))
	return verdict{late+oldRoute > 0, text}, nil
}
