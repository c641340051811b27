package cicadasuspect

import "time"

const (
	frequencyPeriod  = 30 * time.Second
	maxFrequencyKeys = 8192
)

// frequencies counts the parts of sound requests over one to two periods, in bounded
// memory.
type frequencies struct {
	current, previous counts
	since             time.Time // when current began
}

type counts struct {
	requests int
	byPart   map[uint64]int
}

// add counts a request with the given parts.
func (f *frequencies) add(parts []uint64, now time.Time) {
	if f.current.byPart == nil || now.Sub(f.since) > frequencyPeriod || len(f.current.byPart) >= maxFrequencyKeys {
		f.previous, f.current = f.current, counts{byPart: make(map[uint64]int)}
		f.since = now
	}
	f.current.requests++
	for _, part := range parts {
		f.current.byPart[part]++
	}
}

// share returns the estimated share of sound requests that hold a part. A part that none
// of them held may still be in the next one.
func (f *frequencies) share(part uint64) float64 {
	with := f.current.byPart[part] + f.previous.byPart[part]
	all := f.current.requests + f.previous.requests
	return float64(with+1) / float64(all+1)
}
