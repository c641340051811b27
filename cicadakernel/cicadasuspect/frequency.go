package cicadasuspect

import "time"

const (
	frequencyPeriod  = 30 * time.Second
	maxFrequencyKeys = 8192
)

// frequencies sums up the weights of sound requests and of their parts over one to two
// periods, in bounded memory.
type frequencies struct {
	current, previous counts
	since             time.Time // when current began
}

type counts struct {
	requests int
	weight   float64
	byPart   map[uint64]float64
}

// add adds a request with the given parts.
func (f *frequencies) add(parts []uint64, weight float64, now time.Time) {
	if f.current.byPart == nil || now.Sub(f.since) > frequencyPeriod || len(f.current.byPart) >= maxFrequencyKeys {
		f.previous, f.current = f.current, counts{byPart: make(map[uint64]float64)}
		f.since = now
	}
	f.current.requests++
	f.current.weight += weight
	for _, part := range parts {
		f.current.byPart[part] += weight
	}
}

// A sample is how many requests were seen, and how many of them hold a part. They are not
// whole numbers if requests have different weights.
type sample struct {
	with, all float64
}

// sample returns the requests that hold a part, in requests of mean weight.
func (f *frequencies) sample(part uint64) sample {
	weight, requests := f.current.weight+f.previous.weight, f.current.requests+f.previous.requests
	if weight <= 0 {
		return sample{}
	}
	mean := weight / float64(requests)
	return sample{with: (f.current.byPart[part] + f.previous.byPart[part]) / mean, all: float64(requests)}
}

// share returns the estimated share of requests that hold the part. One that none of them
// held may still be in the next one.
func (s sample) share() float64 { return (s.with + 1) / (s.all + 1) }
