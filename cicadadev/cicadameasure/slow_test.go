package cicadameasure

import (
	"testing"
	"time"

	"cicadalink.example/cicadaentry/cicadadispatch"
	"cicadalink.example/cicadakernel/cicadaadmit"
)

// A slowdown returns, for an endpoint, a function of time that multiplies the
// duration of its steps.
type slowdown func(endpoint int) func(time.Time) float64

const slowGroups = 5

// persistentSlowdown makes every fifth endpoint ten times slower from the middle
// of the warm-up on.
func persistentSlowdown(endpoint int) func(time.Time) float64 {
	start := time.Now().Add(warmUp / 2)
	return func(now time.Time) float64 {
		if endpoint%slowGroups == 0 && now.After(start) {
			return 10
		}
		return 1
	}
}

// rotatingSlowdown makes one fifth of the endpoints ten times slower for two
// seconds, then the next fifth, in turn.
func rotatingSlowdown(endpoint int) func(time.Time) float64 {
	return func(now time.Time) float64 {
		if int(now.Unix()/2)%slowGroups == endpoint%slowGroups {
			return 10
		}
		return 1
	}
}

func uniformSlowdown(int) func(time.Time) float64 {
	return func(time.Time) float64 { return 10 }
}

// A tailResult is the result of measureTail.
type tailResult struct {
	firstToken float64 // p99 latency in ms
	attempts   float64 // per request
	hedges     float64 // per request
	failed     int
	done       int
}

// measureTail measures the p99 latency to the first token, the attempts and the
// hedges of online requests under a slowdown.
func measureTail(t *testing.T, d deployment, rate float64, slowed slowdown, options ...cicadadispatch.Option) tailResult {
	t.Helper()
	var result tailResult
	inVirtualTime(t, func() {
		tb := newTestbed(testbedConfig{
			seed: 2, entries: d.entries, endpoints: d.endpoints, slowdown: slowed, options: options,
			policy: cicadaadmit.Policy{Slots: slotsPerEndpoint},
		})
		tb.startArrivals(constant(rate), tb.sendTypical)
		tb.run()
		result.attempts, result.hedges = tb.attemptRates()
		result.firstToken, result.failed, result.done = p99(tb.firstToken), tb.failed, tb.done
	})
	return result
}

// TestMeasureSlowedEndpoints measures requests while some or all endpoints are ten
// times slower, and compares the routing with simple selectors.
func TestMeasureSlowedEndpoints(t *testing.T) {
	t.Parallel()
	slowdowns := map[string]slowdown{"long": persistentSlowdown, "moments": rotatingSlowdown}
	for _, d := range deployments {
		normal := measureTail(t, d, d.rate, nil)
		for _, name := range []string{"long", "moments"} {
			system := measureTail(t, d, d.rate, slowdowns[name])
			prefix := d.name + "/slowed-" + name
			report(t, prefix+"-first-p99-ratio", ratio(system.firstToken, normal.firstToken), "ratio", 1, "<=1.3")
			report(t, prefix+"-hedges", system.hedges, "per request", 0, "<=0.03")
			for _, selector := range []string{"round-robin", "least-outstanding", "random-of-two"} {
				base := measureTail(t, d, d.rate, slowdowns[name], cicadadispatch.WithSelector(selectors[selector]), cicadadispatch.WithBudgets(0, 0))
				report(t, prefix+"-first-p99-"+selector, system.firstToken, "ms", base.firstToken, "none")
			}
		}
		all := measureTail(t, d, d.rate/10, uniformSlowdown)
		report(t, d.name+"/all-slow-attempts", all.attempts, "per request", 1, "<=1.1")
	}
}

// TestMeasureShortBehindLong measures short requests mixed with long ones, with
// and without a limit on the slots of long requests.
func TestMeasureShortBehindLong(t *testing.T) {
	t.Parallel()
	for _, d := range deployments {
		alone, _ := measureShortAndLong(t, d, 0, 0)
		withLimit, longTokens := measureShortAndLong(t, d, d.rate/15, slotsPerEndpoint*3/4)
		withoutLimit, unlimitedLongTokens := measureShortAndLong(t, d, d.rate/15, 0)
		report(t, d.name+"/short-first-p99-ratio", ratio(withLimit, alone), "ratio", ratio(withoutLimit, alone), "<=1.2")
		report(t, d.name+"/long-throughput-ratio", ratio(longTokens, unlimitedLongTokens), "ratio", 1, ">=0.9")
	}
}

// measureShortAndLong returns the p99 latency to the first token of short
// requests, and the number of tokens generated for long requests.
func measureShortAndLong(t *testing.T, d deployment, longRate float64, longSlots int) (firstToken, longTokens float64) {
	t.Helper()
	inVirtualTime(t, func() {
		tb := newTestbed(testbedConfig{seed: 3, entries: d.entries, endpoints: d.endpoints, policy: cicadaadmit.Policy{Slots: slotsPerEndpoint, LongSlots: longSlots}})
		tb.startArrivals(constant(d.rate), tb.sendTypical)
		if longRate > 0 {
			tb.startArrivals(constant(longRate), func(e *entry) {
				tb.sendOnline(e, requestShape{prompt: meanOnlinePromptTokens, output: longOutputTokens}, 0, 1, "long")
			})
		}
		stats := tb.run()
		firstToken = p99(tb.shortFirstToken)
		longTokens = float64(stats.onlineTokens) - float64(tb.tokens)
		if longTokens < 0 {
			longTokens = float64(stats.onlineTokens)
		}
	})
	return firstToken, longTokens
}

// TestMeasurePrefixCache measures requests with shared prompt prefixes, with and
// without prefix affinity.
func TestMeasurePrefixCache(t *testing.T) {
	t.Parallel()
	const prompts, length = 200, 1500
	d := deployments[0]
	measure := func(affinity bool) (hitShare, firstToken float64) {
		inVirtualTime(t, func() {
			tb := newTestbed(testbedConfig{seed: 4, entries: d.entries, endpoints: d.endpoints, policy: cicadaadmit.Policy{Slots: slotsPerEndpoint}})
			tb.startArrivals(constant(d.rate), func(e *entry) {
				prefix := uint64(tb.intn(prompts)+1) * 0x9e3779b97f4a7c15
				shape := requestShape{prompt: length, shared: length * 8 / 10, output: 10 + int(tb.expRandom(meanOnlineOutputTokens))}
				tb.sendWithPrefix(e, shape, prefix, affinity)
			})
			stats := tb.run()
			hitShare, firstToken = ratio(float64(stats.hits), float64(stats.prompts)), p99(tb.firstToken)
		})
		return hitShare, firstToken
	}
	hitShare, firstToken := measure(true)
	loadOnlyHitShare, loadOnlyFirstToken := measure(false)
	report(t, "prefix/hit-share", hitShare, "ratio", loadOnlyHitShare, "none")
	report(t, "prefix/first-p99", firstToken, "ms", loadOnlyFirstToken, "none")
}

// TestMeasureOverload measures the goodput at twice the load that the endpoints can
// serve, with and without load shedding.
func TestMeasureOverload(t *testing.T) {
	t.Parallel()
	d := deployments[1]
	capacity := measureGoodput(t, d, 110)
	double := measureGoodput(t, d, 220)
	queued := measureGoodput(t, d, 220, cicadadispatch.WithoutShedding())
	report(t, "overload/goodput-at-double", ratio(double, capacity), "ratio", ratio(queued, capacity), ">=0.95")
}

// measureGoodput returns the number of requests per second whose first token
// arrives within the required bound.
func measureGoodput(t *testing.T, d deployment, rate float64, options ...cicadadispatch.Option) float64 {
	t.Helper()
	const maxFirstToken = 320 * time.Millisecond
	goodput := 0.0
	inVirtualTime(t, func() {
		tb := newTestbed(testbedConfig{seed: 5, entries: d.entries, endpoints: d.endpoints, options: options, policy: cicadaadmit.Policy{Slots: slotsPerEndpoint}})
		tb.startArrivals(constant(rate), tb.sendTypical)
		tb.run()
		goodCount := int64(0)
		for _, bucket := range tb.firstToken.Distribution() {
			if bucket.To <= maxFirstToken.Microseconds() {
				goodCount += bucket.Count
			}
		}
		goodput = float64(goodCount) / float64(*seconds)
	})
	return goodput
}

// TestMeasureFlood measures the effect of a customer that floods the endpoints on
// another customer that keeps its normal rate.
func TestMeasureFlood(t *testing.T) {
	t.Parallel()
	d := deployments[1]
	measure := func(flood float64, options ...cicadadispatch.Option) (firstToken float64, refused float64) {
		inVirtualTime(t, func() {
			tb := newTestbed(testbedConfig{seed: 7, entries: d.entries, endpoints: d.endpoints, options: options, policy: cicadaadmit.Policy{Slots: slotsPerEndpoint}})
			floodOutcomes := newOutcomes()
			tb.startArrivals(constant(d.rate), tb.sendTypical)
			if flood > 0 {
				tb.startArrivals(constant(flood), func(e *entry) { tb.sendOnlineFor(floodOutcomes, e, "flood") })
			}
			tb.run()
			firstToken, refused = p99(tb.firstToken), float64(tb.refused)/float64(max(tb.refused+tb.done, 1))
		})
		return firstToken, refused
	}
	alone, _ := measure(0)
	underFlood, refused := measure(400)
	withoutShedding, _ := measure(400, cicadadispatch.WithoutShedding())
	report(t, "flood/other-first-p99-ratio", ratio(underFlood, alone), "ratio", ratio(withoutShedding, alone), "<=1.1")
	report(t, "flood/other-refused", refused, "share", 0, "none")
}
