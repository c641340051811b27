// Package cicadaroute picks the endpoint for an attempt. It is pure: a list of
// views and a source of random numbers go in, an index comes out.
//
// An online attempt goes to the cheaper of two random endpoints, where cost is
// the expected time to the first token from the agent's fresh load, the
// attempts sent since, and the endpoint's speed compared with its peers. A
// request with a prompt prefix goes to the prefix's own endpoint while that is
// not much busier than the others. A batch attempt goes where most slots stand
// idle.
//
// # Usage
//
//	i := cicadaroute.Online(views, cicadaroute.Request{Prefix: hash}, rand.IntN)
//	if i < 0 {
//		// No endpoint may take the attempt.
//	}
package cicadaroute

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// slowFactor is how many times slower than its peers' median an endpoint
	// must be to be ejected.
	slowFactor = 3.0
	// maxEjectedShare bounds how many endpoints of a group are ejected at once.
	maxEjectedShare = 0.3
	// affinitySlack is how much busier than the mean a prefix's own endpoint may
	// be.
	affinitySlack = 1.25
	affinityExtra = 1.0
	// affinitySpeed is how much slower than its peers it may be.
	affinitySpeed = 1.5
	farPenalty    = 1.05
	// idleCost is the part of an endpoint's cost that does not grow with its
	// load.
	idleCost       = 0.25
	minimumSamples = 5
	defaultFirst   = 50 * time.Millisecond
)

// A View is what an entry knows of an endpoint when it decides.
type View struct {
	Name string
	// Near is set for an endpoint in the entry's own data centre.
	Near bool
	// Slots, Online, OnlineWaiting, Batch and BatchWaiting are the agent's last
	// report, corrected by what was sent and has ended since.
	Slots         int
	Online        int
	OnlineWaiting int
	Batch         int
	BatchWaiting  int
	// Token and First are the averages of the time between tokens and to the
	// first token, over Samples answers.
	Token   time.Duration
	First   time.Duration
	Samples int
	// OldestWaiting is how long the longest attempt has waited for its first
	// token.
	OldestWaiting time.Duration
	// Unusable endpoints are leaving, lost, or without the model.
	Unusable bool
	// Quiet endpoints have not been heard from lately while attempts wait.
	Quiet bool
	// Ejected endpoints are much slower than their peers.
	Ejected bool
	// Probing endpoints were ejected, and one attempt may try them again.
	Probing bool
	// Overdue endpoints have waited for such an attempt for a while.
	Overdue bool
}

func (v *View) first() time.Duration {
	return max(v.First, v.OldestWaiting, time.Millisecond)
}

// busy is the share of slots that online requests hold or wait for.
func (v *View) busy() float64 {
	return float64(v.Online+2*v.OnlineWaiting) / float64(max(v.Slots, 1))
}

// cost is the expected time to the first token, in arbitrary units. No endpoint
// counts as faster than the median, because old measurements fade.
func (v *View) cost(median time.Duration) float64 {
	cost := float64(max(v.first(), median)) * (idleCost + v.busy())
	if !v.Near {
		cost *= farPenalty
	}
	return cost
}

// BatchRoom returns how many batch items the endpoint could start at once.
func (v *View) BatchRoom() int {
	return v.Slots - v.Online - v.OnlineWaiting - v.Batch - v.BatchWaiting
}

// A Request is what matters of a request for the choice.
type Request struct {
	// Prefix is the hash of the prompt's prefix, or 0.
	Prefix uint64
	// Exclude holds the names of endpoints that have had an attempt.
	Exclude []string
}

// Online returns the index of the endpoint for an online attempt, or -1.
// intn returns a random number below its argument.
func Online(views []View, req Request, intn func(int) int) int {
	usable := candidates(views, req.Exclude)
	if len(usable) == 0 {
		return -1
	}
	if i := affine(views, usable, req.Prefix); i >= 0 {
		return i
	}
	a := usable[intn(len(usable))]
	b := usable[intn(len(usable))]
	median := medianFirst(views)
	if views[b].cost(median) < views[a].cost(median) {
		return b
	}
	return a
}

// Batch returns the index of the endpoint for a batch attempt, or -1 when no
// endpoint has an idle slot. Ties are broken at random, so that entries do not
// all choose alike.
func Batch(views []View, req Request, intn func(int) int) int {
	usable := candidates(views, req.Exclude)
	if len(usable) == 0 {
		return -1
	}
	best, offset := -1, intn(len(usable))
	for k := range usable {
		i := usable[(k+offset)%len(usable)]
		if views[i].BatchRoom() <= 0 {
			continue
		}
		if best < 0 || views[i].BatchRoom() > views[best].BatchRoom() {
			best = i
		}
	}
	return best
}

// candidates returns the endpoints that may take an attempt: the healthy ones
// if there are any, else the slow and quiet ones, else, among those that had an
// attempt, none.
func candidates(views []View, exclude []string) []int {
	var healthy, rest []int
	for i := range views {
		v := &views[i]
		if v.Unusable || slices.Contains(exclude, v.Name) {
			continue
		}
		if v.Quiet || v.Ejected {
			rest = append(rest, i)
			continue
		}
		healthy = append(healthy, i)
	}
	if len(healthy) > 0 {
		return healthy
	}
	return rest
}

func affine(views []View, usable []int, prefix uint64) int {
	if prefix == 0 {
		return -1
	}
	home, best := -1, uint64(0)
	sum := 0.0
	for _, i := range usable {
		sum += views[i].busy()
		s := xxhash.Sum64String(views[i].Name) ^ prefix
		s = mix(s)
		if home < 0 || s > best {
			home, best = i, s
		}
	}
	mean := sum / float64(len(usable))
	v := &views[home]
	if v.busy() > affinitySlack*mean+affinityExtra/float64(max(v.Slots, 1)) {
		return -1
	}
	if float64(v.first()) > affinitySpeed*float64(medianFirst(views)) {
		return -1
	}
	return home
}

// mix spreads the bits of a number (the finalizer of the 64-bit Murmur hash).
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

func medianFirst(views []View) time.Duration {
	return median(views, func(v *View) time.Duration { return v.First })
}

func median(views []View, of func(*View) time.Duration) time.Duration {
	var values []time.Duration
	for i := range views {
		if v := &views[i]; !v.Unusable && v.Samples >= minimumSamples {
			values = append(values, of(v))
		}
	}
	if len(values) == 0 {
		return defaultFirst
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// Eject returns which endpoints are much slower than their peers, the slowest
// first, and never more than a share of them. Comparing with peers keeps a
// fleet that is slow as a whole in service.
func Eject(views []View) []bool {
	ejected := make([]bool, len(views))
	type slow struct {
		index  int
		factor float64
	}
	var found []slow
	usable := 0
	tokenMedian := median(views, func(v *View) time.Duration { return v.Token })
	firstMedian := medianFirst(views)
	for i := range views {
		v := &views[i]
		if v.Unusable {
			continue
		}
		usable++
		factor := 0.0
		if v.Samples >= minimumSamples {
			factor = max(ratio(v.Token, tokenMedian), ratio(v.First, firstMedian))
		}
		factor = max(factor, ratio(v.OldestWaiting, firstMedian))
		if factor >= slowFactor {
			found = append(found, slow{i, factor})
		}
	}
	slices.SortFunc(found, func(a, b slow) int {
		if a.factor != b.factor {
			if a.factor > b.factor {
				return -1
			}
			return 1
		}
		return a.index - b.index
	})
	allowed := int(maxEjectedShare * float64(usable))
	for _, s := range found[:min(len(found), allowed)] {
		ejected[s.index] = true
	}
	return ejected
}

func ratio(a, b time.Duration) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// shedAt is the load, in requests per slot, from which requests of each urgency
// are refused. Above one request a slot, requests wait for as long as others
// run, which is longer than a person does.
var shedAt = [...]float64{0.95, 1.05, 1.15, 1.3}

// Load returns the online requests per slot of the endpoints.
func Load(views []View) float64 {
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

// Shed reports whether a request of an urgency is to be refused because the
// endpoints have too much to do. The less urgent go first.
func Shed(load float64, urgency int32) bool {
	level := min(max(int(urgency), 0), len(shedAt)-1)
	return load >= shedAt[level]
}
