package cicadaplace

import (
	"cmp"
	"slices"
	"time"
)

// A Speed is how fast an endpoint is, as this process sees it.
type Speed struct {
	Endpoint string // ID
	Service  string
	// Slowness is how many times as long as at a typical endpoint of the service a request takes.
	Slowness float64
	// Avoided reports whether online requests are sent to the endpoint only if no other has an
	// idle slot.
	Avoided bool
	Weight  float64       // number of samples, of which old ones count less
	Age     time.Duration // of the latest sample
	Limit   int           // number of requests that the endpoint runs well, at most its slots
	// Why is the basis of Slowness: "shared" samples of all processes, "own" samples of this process
	// that differ from those, "fading" old samples, "no-samples", or "usual" for an endpoint near the
	// median.
	Why string
}

// Speeds returns the speed of each endpoint, sorted by service and endpoint, or nil if speeds are
// not learned.
func (t *Table) Speeds() []Speed {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.speed == nil {
		return nil
	}
	now := time.Now()
	var out []Speed
	for name, svc := range t.services {
		t.refreshSpeeds(name, svc, now)
		for _, e := range svc.endpoints {
			s := Speed{Endpoint: e.ID, Service: name, Slowness: e.speed.slowness, Avoided: e.speed.avoided, Weight: e.speed.weight(), Limit: e.speed.limit.requests(e.Slots), Why: e.speed.why}
			if s.Weight > 0 {
				s.Age = now.Sub(e.speed.latest())
			}
			out = append(out, s)
		}
	}
	slices.SortFunc(out, compareSpeeds)
	return out
}

func compareSpeeds(a, b Speed) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Endpoint, b.Endpoint))
}
