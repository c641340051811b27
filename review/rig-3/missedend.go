package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

const (
	contactTime = 3 * time.Second // ContactMs
	cancelTime  = 3 * time.Second // CancelMs
	// quietTime is the time before the first job. Watches on which nothing happens are as old then.
	quietTime      = 7 * time.Second
	silenceTime    = 8800 * time.Millisecond
	silenceAfter   = 300 * time.Millisecond // after the last submission
	endAfter       = 6 * time.Second        // after the beginning of the silence
	watchTime      = 12 * time.Second       // after the end of the silence
	jobsToEnd      = 12
	itemsToEnd     = 12
	workersWithout = 2
)

// missedEnd lets the store be silent for one owner, ends all jobs meanwhile, and sees whether their items run after
// the store answers that owner again.
func (r *rig) missedEnd() error {
	r.configure(1)
	started := &starts{}
	for i := range workersWithout {
		w, err := startWorker(workerConfig{
			id: fmt.Sprintf("i-%d", i), service: "assistant", zone: "zone-a", version: "1.0", ip: "127.0.0.1",
			outputs: func(int) int { return 60 }, slots: 8, interval: eventTime,
		}, r.log)
		if err != nil {
			return err
		}
		w.onRun = func(id string, reached time.Time) { started.add(id, w.id, reached) }
		w.register(r.store, "ready")
	}
	if err := r.start(2, 2, ""); err != nil {
		return err
	}
	time.Sleep(quietTime)
	var jobs []*job
	for range jobsToEnd {
		j := newJob(itemsToEnd, 1000)
		if !r.client.submit(j, 5) {
			return fmt.Errorf("job not accepted")
		}
		jobs = append(jobs, j)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(silenceAfter)
	if r.trouble {
		r.log.add("the store is silent for %s", r.owners[0].name)
		r.owners[0].front.setSilent(true)
	}
	begun := time.Now()
	time.Sleep(endAfter)
	var ends sync.WaitGroup
	acked := make([]time.Time, len(jobs))
	for i, j := range jobs {
		ends.Go(func() { acked[i] = r.client.end(j) })
	}
	time.Sleep(time.Until(begun.Add(silenceTime)))
	r.owners[0].front.setSilent(false)
	back := time.Now()
	r.log.add("the store answers all processes")
	time.Sleep(watchTime)
	ends.Wait()
	for i, j := range jobs {
		if acked[i].IsZero() {
			r.log.add("the end of job %s was not acknowledged", j.id)
			continue
		}
		for _, item := range j.items {
			for _, s := range started.of(item) {
				late := s.at.Sub(acked[i])
				if late > cancelTime && s.at.Sub(back) > contactTime {
					r.log.breaks("UNASKED", "job %s item %s reached %s %v after the ack of the job's end and %v after the store was back, and runs",
						j.id, item, s.worker, late.Round(time.Millisecond), s.at.Sub(back).Round(time.Millisecond))
				}
			}
		}
	}
	return nil
}

// starts holds when items that run had reached their workers.
type starts struct {
	mu   sync.Mutex
	runs map[string][]start
}

type start struct {
	at     time.Time
	worker string
}

func (s *starts) add(id, worker string, reached time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.runs == nil {
		s.runs = make(map[string][]start)
	}
	s.runs[id] = append(s.runs[id], start{at: reached, worker: worker})
}

func (s *starts) of(id string) []start {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

// end ends a job and returns when that was acknowledged.
func (c *client) end(j *job) time.Time {
	for range 30 {
		p := c.entries[int(j.id[0])%len(c.entries)]
		status, _, err := c.call(p, http.MethodDelete, "/cicadalink/lots/"+j.id, nil, nil)
		c.log.add("end job=%s at=%s status=%d error=%v", j.id, p.name, status, err)
		if err == nil && status == http.StatusOK {
			return time.Now()
		}
		time.Sleep(200 * time.Millisecond)
	}
	return time.Time{}
}
