package cicadabatch

import (
	"maps"
	"net/http"
	"sync"
	"time"
)

// doubtTTL is how long a submission whose outcome was unknown may still take effect, as far as refusals are concerned.
const doubtTTL = 30 * time.Second

// doubts remembers the jobs of which a submission ended with an unknown outcome. The zero value is ready to use.
type doubts struct {
	mu   sync.Mutex
	jobs map[string]time.Time // when the last such submission ended
}

// apply returns the response to a submission in the light of earlier ones of the same job: a refusal says that
// nothing of the job runs, which is not known after one whose outcome is unknown.
func (d *doubts) apply(job string, resp Response, now time.Time) Response {
	d.mu.Lock()
	defer d.mu.Unlock()
	maps.DeleteFunc(d.jobs, func(_ string, at time.Time) bool { return now.Sub(at) >= doubtTTL })
	_, inDoubt := d.jobs[job]
	switch resp.Status {
	case http.StatusBadGateway:
		if d.jobs == nil {
			d.jobs = make(map[string]time.Time)
		}
		d.jobs[job] = now
	case http.StatusAccepted:
		delete(d.jobs, job)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		if inDoubt {
			return outcomeUnknown()
		}
	}
	return resp
}
