package cicadareservation

import "time"

const (
	// drainWindow is the time constant of the moving average of a drain rate.
	drainWindow = 2 * time.Second
	// unresolvedTimeout is how long tokens are kept for a job that was submitted to the
	// store with an unknown outcome and has not appeared since.
	unresolvedTimeout = 10 * time.Second
)

// An account holds the waiting tokens of the jobs that one owner has accepted on a route.
type account struct {
	jobs  map[string]charge
	total int64
	drain drainRate
}

type charge struct {
	tokens    int64
	since     time.Time
	confirmed bool // the job is in the store
}

func (a *account) set(job string, c charge) {
	if a.jobs == nil {
		a.jobs = make(map[string]charge)
	}
	a.total += c.tokens - a.jobs[job].tokens
	if c.tokens <= 0 && c.confirmed {
		delete(a.jobs, job)
		return
	}
	a.jobs[job] = c
}

func (a *account) remove(job string) {
	a.total -= a.jobs[job].tokens
	delete(a.jobs, job)
}

// expire removes jobs whose submission was not resolved in time.
func (a *account) expire(now time.Time) {
	for job, c := range a.jobs {
		if !c.confirmed && now.Sub(c.since) > unresolvedTimeout {
			a.remove(job)
		}
	}
}

// A drainRate is a moving average of the tokens that finish per second.
type drainRate struct {
	perSecond float64
	updatedAt time.Time
}

// observe adds tokens that have finished since the last call.
func (d *drainRate) observe(tokens int64, now time.Time) {
	if d.updatedAt.IsZero() {
		d.updatedAt = now
		return
	}
	elapsed := now.Sub(d.updatedAt)
	if elapsed <= 0 {
		d.perSecond += float64(tokens) / drainWindow.Seconds()
		return
	}
	d.updatedAt = now
	weight := min(elapsed.Seconds()/drainWindow.Seconds(), 1)
	d.perSecond += weight * (float64(tokens)/elapsed.Seconds() - d.perSecond)
}
