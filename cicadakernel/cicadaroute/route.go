// Package cicadaroute selects the endpoint for an attempt. Its functions are pure:
// they depend only on their arguments, among them a source of random numbers.
//
// An online attempt goes to the cheaper of two random endpoints. The cost is the
// expected time to the first token, derived from the last load report, the
// attempts sent since then and the endpoint's speed compared with its peers. A
// request with a prompt prefix goes to the prefix's home endpoint, selected by
// rendezvous hashing, while that is not much busier than the others. A batch
// attempt goes to the endpoint with the most free slots.
//
// # Usage
//
//	i := cicadaroute.SelectOnline(views, cicadaroute.Criteria{Prefix: hash}, rand.IntN)
//	if i < 0 {
//		// No endpoint can run the attempt.
//	}
package cicadaroute

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// outlierFactor is the ratio of an endpoint's latency to the median of its
	// peers at which it counts as an outlier.
	outlierFactor = 3.0
	// maxEjectedFraction bounds the fraction of a group's endpoints that are
	// ejected at the same time.
	maxEjectedFraction = 0.3
	// A prefix's home endpoint is used while its utilization is at most
	// affinityMaxUtilization times the mean plus affinityExtraRequests requests,
	// and its time to the first token at most affinityMaxLatency times the median.
	affinityMaxUtilization = 1.25
	affinityExtraRequests  = 1.0
	affinityMaxLatency     = 1.5
	// remoteCostFactor multiplies the cost of endpoints in other data centres.
	remoteCostFactor = 1.05
	// baseUtilization is added to an endpoint's utilization, so that the cost of
	// an idle endpoint still depends on its speed.
	baseUtilization = 0.25
	// minSamples is the number of latency samples needed for comparisons.
	minSamples                  = 5
	defaultMedianFirstTokenTime = 50 * time.Millisecond
)

// An EndpointView is an entry's knowledge of an endpoint, as input for routing.
type EndpointView struct {
	Name string
	// SameDataCentre is set for an endpoint in the entry's own data centre.
	SameDataCentre bool
	// Slots, Online, OnlineWaiting, Batch and BatchWaiting are from the agent's
	// last load report, corrected by the attempts started and ended since then.
	Slots         int
	Online        int
	OnlineWaiting int
	Batch         int
	BatchWaiting  int
	// InterTokenTime and FirstTokenTime are the average times between tokens
	// and to the first token, over Samples responses.
	InterTokenTime time.Duration
	FirstTokenTime time.Duration
	Samples        int
	// OldestWaiting is the age of the oldest attempt without a first token.
	OldestWaiting time.Duration
	// Unusable endpoints are draining or lost, or their engine is down.
	Unusable bool
	// Stalled endpoints have sent nothing for a while although attempts are in
	// progress.
	Stalled bool
	// Ejected endpoints are outliers, much slower than their peers.
	Ejected bool
	// ProbeDue endpoints were ejected and may now receive one attempt as a probe.
	ProbeDue bool
	// ProbeOverdue endpoints have been due for a probe for a while.
	ProbeOverdue bool
}

func (v *EndpointView) expectedFirstTokenTime() time.Duration {
	return max(v.FirstTokenTime, v.OldestWaiting, time.Millisecond)
}

// utilization is the ratio of online requests to slots. Waiting requests count
// twice.
func (v *EndpointView) utilization() float64 {
	return float64(v.Online+2*v.OnlineWaiting) / float64(max(v.Slots, 1))
}

// cost is the expected time to the first token, in arbitrary units. No endpoint
// counts as faster than the median, because averages decay with age.
func (v *EndpointView) cost(median time.Duration) float64 {
	cost := float64(max(v.expectedFirstTokenTime(), median)) * (baseUtilization + v.utilization())
	if !v.SameDataCentre {
		cost *= remoteCostFactor
	}
	return cost
}

// FreeBatchSlots returns the number of batch items that the endpoint could start
// immediately.
func (v *EndpointView) FreeBatchSlots() int {
	return v.Slots - v.Online - v.OnlineWaiting - v.Batch - v.BatchWaiting
}

// Criteria are the properties of a request that affect the selection.
type Criteria struct {
	// Prefix is the hash of the prompt's prefix, or 0.
	Prefix uint64
	// Exclude holds the names of endpoints that were already tried.
	Exclude []string
}

// SelectOnline returns the index of the endpoint for an online attempt, or -1.
// intn returns a random number below its argument.
func SelectOnline(views []EndpointView, req Criteria, intn func(int) int) int {
	usable := candidates(views, req.Exclude)
	if len(usable) == 0 {
		return -1
	}
	if i := selectByPrefix(views, usable, req.Prefix); i >= 0 {
		return i
	}
	a := usable[intn(len(usable))]
	b := usable[intn(len(usable))]
	median := medianFirstTokenTime(views)
	if views[b].cost(median) < views[a].cost(median) {
		return b
	}
	return a
}

// SelectBatch returns the index of the endpoint for a batch attempt, or -1 if no
// endpoint has a free slot. Ties are broken at random, so that entries do not all
// select the same endpoint.
func SelectBatch(views []EndpointView, req Criteria, intn func(int) int) int {
	usable := candidates(views, req.Exclude)
	if len(usable) == 0 {
		return -1
	}
	best, offset := -1, intn(len(usable))
	for k := range usable {
		i := usable[(k+offset)%len(usable)]
		if views[i].FreeBatchSlots() <= 0 {
			continue
		}
		if best < 0 || views[i].FreeBatchSlots() > views[best].FreeBatchSlots() {
			best = i
		}
	}
	return best
}

// candidates returns the indices of the endpoints that can run an attempt: the
// healthy ones or, if there are none, the ejected and stalled ones. It never
// returns an excluded endpoint.
func candidates(views []EndpointView, exclude []string) []int {
	var healthy, degraded []int
	for i := range views {
		v := &views[i]
		if v.Unusable || slices.Contains(exclude, v.Name) {
			continue
		}
		if v.Stalled || v.Ejected {
			degraded = append(degraded, i)
			continue
		}
		healthy = append(healthy, i)
	}
	if len(healthy) > 0 {
		return healthy
	}
	return degraded
}

// selectByPrefix returns the index of the prefix's home endpoint, or -1 if that is
// too busy or too slow. The home is selected by rendezvous hashing.
func selectByPrefix(views []EndpointView, usable []int, prefix uint64) int {
	if prefix == 0 {
		return -1
	}
	home, bestScore := -1, uint64(0)
	sum := 0.0
	for _, i := range usable {
		sum += views[i].utilization()
		score := xxhash.Sum64String(views[i].Name) ^ prefix
		score = mix(score)
		if home < 0 || score > bestScore {
			home, bestScore = i, score
		}
	}
	mean := sum / float64(len(usable))
	v := &views[home]
	if v.utilization() > affinityMaxUtilization*mean+affinityExtraRequests/float64(max(v.Slots, 1)) {
		return -1
	}
	if float64(v.expectedFirstTokenTime()) > affinityMaxLatency*float64(medianFirstTokenTime(views)) {
		return -1
	}
	return home
}

// mix is the finalizer of the 64-bit MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func medianFirstTokenTime(views []EndpointView) time.Duration {
	return median(views, func(v *EndpointView) time.Duration { return v.FirstTokenTime })
}

// median returns the median of a metric over the usable endpoints with enough
// samples.
func median(views []EndpointView, metric func(*EndpointView) time.Duration) time.Duration {
	var values []time.Duration
	for i := range views {
		if v := &views[i]; !v.Unusable && v.Samples >= minSamples {
			values = append(values, metric(v))
		}
	}
	if len(values) == 0 {
		return defaultMedianFirstTokenTime
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// DetectOutliers reports for each endpoint whether it is to be ejected because it
// is much slower than its peers. It ejects the slowest ones first, and no more
// than maxEjectedFraction of the usable endpoints. Because endpoints are compared
// with each other, a fleet that is slow as a whole remains in service.
func DetectOutliers(views []EndpointView) []bool {
	ejected := make([]bool, len(views))
	type outlier struct {
		index  int
		factor float64
	}
	var outliers []outlier
	usable := 0
	tokenMedian := median(views, func(v *EndpointView) time.Duration { return v.InterTokenTime })
	firstMedian := medianFirstTokenTime(views)
	for i := range views {
		v := &views[i]
		if v.Unusable {
			continue
		}
		usable++
		factor := 0.0
		if v.Samples >= minSamples {
			factor = max(ratio(v.InterTokenTime, tokenMedian), ratio(v.FirstTokenTime, firstMedian))
		}
		factor = max(factor, ratio(v.OldestWaiting, firstMedian))
		if factor >= outlierFactor {
			outliers = append(outliers, outlier{i, factor})
		}
	}
	slices.SortFunc(outliers, func(a, b outlier) int {
		if a.factor != b.factor {
			if a.factor > b.factor {
				return -1
			}
			return 1
		}
		return a.index - b.index
	})
	allowed := int(maxEjectedFraction * float64(usable))
	for _, o := range outliers[:min(len(outliers), allowed)] {
		ejected[o.index] = true
	}
	return ejected
}

func ratio(a, b time.Duration) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// shedThresholds holds for each urgency the load, in requests per slot, at which
// requests are rejected. Above one request per slot, a request waits for the whole
// run time of another, which is longer than interactive users wait.
var shedThresholds = [...]float64{0.95, 1.05, 1.15, 1.3}

// Load returns the number of online requests per slot over all usable endpoints.
func Load(views []EndpointView) float64 {
	slots, requests := 0, 0
	for i := range views {
		if v := &views[i]; !v.Unusable {
			slots += v.Slots
			requests += v.Online + v.OnlineWaiting
		}
	}
	if slots == 0 {
		return 0
	}
	return float64(requests) / float64(slots)
}

// ShouldShed reports whether a request of the given urgency is to be rejected
// because the endpoints are overloaded. Less urgent requests are rejected first.
func ShouldShed(load float64, urgency int32) bool {
	level := min(max(int(urgency), 0), len(shedThresholds)-1)
	return load >= shedThresholds[level]
}
