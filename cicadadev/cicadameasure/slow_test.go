package cicadameasure

import (
	"testing"
	"time"

	"cicadalink.example/cicadaentry/cicadadispatch"
	"cicadalink.example/cicadakernel/cicadaadmit"
)

// A slowdown says by what factor an endpoint is slowed at a time.
type slowdown func(node int) func(time.Time) float64

const slowShare = 5

// forLong slows every fifth endpoint ten times from the middle of the warm-up
// on.
func forLong(node int) func(time.Time) float64 {
	start := time.Now().Add(warmUp / 2)
	return func(now time.Time) float64 {
		if node%slowShare == 0 && now.After(start) {
			return 10
		}
		return 1
	}
}

// forMoments slows each endpoint ten times for a fifth of the time, two seconds
// long, one set of endpoints after the other.
func forMoments(node int) func(time.Time) float64 {
	return func(now time.Time) float64 {
		if int(now.Unix()/2)%slowShare == node%slowShare {
			return 10
		}
		return 1
	}
}

func everywhere(int) func(time.Time) float64 {
	return func(time.Time) float64 { return 10 }
}

type tail struct {
	first    float64
	attempts float64
	hedges   float64
	failed   int
	done     int
}

// tailUnder measures the tail of online requests under a slowdown.
func tailUnder(t *testing.T, d deployment, rate float64, slow slowdown, options ...cicadadispatch.Option) tail {
	t.Helper()
	var result tail
	inVirtualTime(t, func() {
		r := newRig(rigConfig{
			seed: 2, fronts: d.fronts, nodes: d.nodes, slow: slow, options: options,
			policy: cicadaadmit.Policy{Slots: rigSlots},
		})
		r.arrivals(constant(rate), r.plainOnline)
		r.run()
		result.attempts, result.hedges = r.attempts()
		result.first, result.failed, result.done = p99(r.first), r.failed, r.done
	})
	return result
}

func TestMeasureSlowedEndpoints(t *testing.T) {
	t.Parallel()
	slowdowns := map[string]slowdown{"long": forLong, "moments": forMoments}
	for _, d := range deployments {
		fine := tailUnder(t, d, d.rate, nil)
		for _, name := range []string{"long", "moments"} {
			ours := tailUnder(t, d, d.rate, slowdowns[name])
			prefix := d.name + "/slowed-" + name
			report(t, prefix+"-first-p99-ratio", ratio(ours.first, fine.first), "ratio", 1, "<=1.3")
			report(t, prefix+"-hedges", ours.hedges, "per request", 0, "<=0.03")
			for _, picker := range []string{"round-robin", "least-outstanding", "random-of-two"} {
				base := tailUnder(t, d, d.rate, slowdowns[name], cicadadispatch.WithSelector(pickers[picker]), cicadadispatch.WithBudgets(0, 0))
				report(t, prefix+"-first-p99-"+picker, ours.first, "ms", base.first, "none")
			}
		}
		all := tailUnder(t, d, d.rate/10, everywhere)
		report(t, d.name+"/all-slow-attempts", all.attempts, "per request", 1, "<=1.1")
	}
}

// TestMeasureShortBehindLong mixes short requests with long ones.
func TestMeasureShortBehindLong(t *testing.T) {
	t.Parallel()
	for _, d := range deployments {
		alone, _ := shortAndLong(t, d, 0, 0)
		bounded, longs := shortAndLong(t, d, d.rate/15, rigSlots*3/4)
		open, openLongs := shortAndLong(t, d, d.rate/15, 0)
		report(t, d.name+"/short-first-p99-ratio", ratio(bounded, alone), "ratio", ratio(open, alone), "<=1.2")
		report(t, d.name+"/long-throughput-ratio", ratio(longs, openLongs), "ratio", 1, ">=0.9")
	}
}

// shortAndLong returns the short requests' p99 to the first token, and the
// tokens of long requests.
func shortAndLong(t *testing.T, d deployment, longRate float64, longSlots int) (first, longTokens float64) {
	t.Helper()
	inVirtualTime(t, func() {
		r := newRig(rigConfig{seed: 3, fronts: d.fronts, nodes: d.nodes, policy: cicadaadmit.Policy{Slots: rigSlots, LongSlots: longSlots}})
		r.arrivals(constant(d.rate), r.plainOnline)
		if longRate > 0 {
			r.arrivals(constant(longRate), func(f *front) {
				r.online(f, requestShape{prompt: onlinePrompt, output: longOutput}, 0, 1, "long")
			})
		}
		stats := r.run()
		first = p99(r.short)
		longTokens = float64(stats.onlineTokens) - float64(r.tokens)
		if longTokens < 0 {
			longTokens = float64(stats.onlineTokens)
		}
	})
	return first, longTokens
}

// TestMeasurePrefixCache sends requests whose prompts begin alike.
func TestMeasurePrefixCache(t *testing.T) {
	t.Parallel()
	const prompts, length = 200, 1500
	d := deployments[0]
	measure := func(affinity bool) (hit, first float64) {
		inVirtualTime(t, func() {
			r := newRig(rigConfig{seed: 4, fronts: d.fronts, nodes: d.nodes, policy: cicadaadmit.Policy{Slots: rigSlots}})
			r.arrivals(constant(d.rate), func(f *front) {
				prefix := uint64(r.intn(prompts)+1) * 0x9e3779b97f4a7c15
				shape := requestShape{prompt: length, shared: length * 8 / 10, output: 10 + int(r.exp(onlineOutput))}
				r.onlineWithPrefix(f, shape, prefix, affinity)
			})
			stats := r.run()
			hit, first = ratio(float64(stats.hits), float64(stats.prompts)), p99(r.first)
		})
		return hit, first
	}
	hit, first := measure(true)
	otherHit, otherFirst := measure(false)
	report(t, "prefix/hit-share", hit, "ratio", otherHit, "none")
	report(t, "prefix/first-p99", first, "ms", otherFirst, "none")
}

// TestMeasureOverload offers twice what the endpoints can do.
func TestMeasureOverload(t *testing.T) {
	t.Parallel()
	d := deployments[1]
	capacity := overload(t, d, 110)
	double := overload(t, d, 220)
	queued := overload(t, d, 220, cicadadispatch.WithoutShedding())
	report(t, "overload/goodput-at-double", ratio(double, capacity), "ratio", ratio(queued, capacity), ">=0.95")
}

// overload returns the requests a second whose first token came within the
// users' bound.
func overload(t *testing.T, d deployment, rate float64, options ...cicadadispatch.Option) float64 {
	t.Helper()
	const bound = 320 * time.Millisecond
	good := 0.0
	inVirtualTime(t, func() {
		r := newRig(rigConfig{seed: 5, fronts: d.fronts, nodes: d.nodes, options: options, policy: cicadaadmit.Policy{Slots: rigSlots}})
		r.arrivals(constant(rate), r.plainOnline)
		r.run()
		within := int64(0)
		for _, bar := range r.first.Distribution() {
			if bar.To <= bound.Microseconds() {
				within += bar.Count
			}
		}
		good = float64(within) / float64(*seconds)
	})
	return good
}

// TestMeasureFlood lets one customer flood the endpoints beside another that
// keeps to its usual rate.
func TestMeasureFlood(t *testing.T) {
	t.Parallel()
	d := deployments[1]
	measure := func(flood float64, options ...cicadadispatch.Option) (first float64, refused float64) {
		inVirtualTime(t, func() {
			r := newRig(rigConfig{seed: 7, fronts: d.fronts, nodes: d.nodes, options: options, policy: cicadaadmit.Policy{Slots: rigSlots}})
			other := newBooks()
			r.arrivals(constant(d.rate), r.plainOnline)
			if flood > 0 {
				r.arrivals(constant(flood), func(f *front) { r.onlineFor(other, f, "flood") })
			}
			r.run()
			first, refused = p99(r.first), float64(r.refused)/float64(max(r.refused+r.done, 1))
		})
		return first, refused
	}
	alone, _ := measure(0)
	beside, refused := measure(400)
	unfair, _ := measure(400, cicadadispatch.WithoutShedding())
	report(t, "flood/other-first-p99-ratio", ratio(beside, alone), "ratio", ratio(unfair, alone), "<=1.1")
	report(t, "flood/other-refused", refused, "share", 0, "none")
}
