package cicadameasure

import (
	"errors"
	"testing"
	"time"

	"cicadalink.example/cicadakernel/cicadaadmit"
	"cicadalink.example/cicadakernel/cicadaerror"
	"cicadalink.example/cicadakernel/cicadawire"
)

func isOverload(err error) bool {
	var known *cicadaerror.Error
	return errors.As(err, &known) && (known.Code() == cicadaerror.Overloaded || known.Code() == cicadaerror.RateLimited)
}

// A deployment describes a reference deployment and its rate of online requests
// per second.
type deployment struct {
	name      string
	endpoints int
	entries   int
	rate      float64
	weight    float64 // OnlineWeight of the scheduling policy
}

var deployments = []deployment{
	{"puutookoda", 20, 4, 60, 0},
	{"vandenbroucke", 10, 3, 30, 0.5},
}

// A mixResult is the result of measureMix.
type mixResult struct {
	firstToken float64 // p99 latency in ms
	median     float64 // median latency in ms
	stats      engineStats
	batchDone  int
}

// measureMix measures online requests together with batch requests. The configure
// function can change the testbed, and returns the class, group and number of
// concurrent batch requests.
func measureMix(t *testing.T, d deployment, burst bool, configure func(cfg *testbedConfig) (class cicadawire.CallClass, group string, concurrency int)) mixResult {
	t.Helper()
	var m mixResult
	inVirtualTime(t, func() {
		cfg := testbedConfig{seed: 1, entries: d.entries, endpoints: d.endpoints, policy: cicadaadmit.Policy{Slots: slotsPerEndpoint, OnlineWeight: d.weight}}
		class, group, concurrency := configure(&cfg)
		tb := newTestbed(cfg)
		rate := constant(d.rate)
		if burst {
			rate = bursts(d.rate)
		}
		tb.startArrivals(rate, tb.sendTypical)
		tb.startBatch(concurrency, class, group)
		m.stats = tb.run()
		m.firstToken, m.median, m.batchDone = p99(tb.firstToken), p50(tb.firstToken), tb.batchDone
	})
	return m
}

// bursts multiplies a rate by five for two seconds of every ten.
func bursts(rate float64) func(time.Time) float64 {
	return func(now time.Time) float64 {
		if now.Unix()%10 < 2 {
			return 5 * rate
		}
		return rate
	}
}

// systemPolicy sends batch requests with their own class to all endpoints.
func systemPolicy(d deployment) func(*testbedConfig) (cicadawire.CallClass, string, int) {
	return func(*testbedConfig) (cicadawire.CallClass, string, int) {
		return cicadawire.CallClass_BATCH, groupName, d.endpoints * slotsPerEndpoint * 2
	}
}

func noBatch(*testbedConfig) (cicadawire.CallClass, string, int) {
	return cicadawire.CallClass_BATCH, groupName, 0
}

// sharedQueue treats batch requests like online requests: first come, first
// served.
func sharedQueue(d deployment) func(*testbedConfig) (cicadawire.CallClass, string, int) {
	return func(*testbedConfig) (cicadawire.CallClass, string, int) {
		return cicadawire.CallClass_ONLINE, groupName, d.endpoints * slotsPerEndpoint
	}
}

// dedicatedEndpoints reserves a quarter of the endpoints for batch requests.
func dedicatedEndpoints(d deployment) func(*testbedConfig) (cicadawire.CallClass, string, int) {
	return func(cfg *testbedConfig) (cicadawire.CallClass, string, int) {
		cfg.dedicated = d.endpoints / 4
		return cicadawire.CallClass_BATCH, batchGroup, cfg.dedicated * slotsPerEndpoint * 2
	}
}

// TestMeasureBatchBesideOnline measures online requests with and without batch requests
// beside them, and compares the scheduling with a shared queue and with dedicated
// endpoints.
func TestMeasureBatchBesideOnline(t *testing.T) {
	t.Parallel()
	for _, d := range deployments {
		for _, burst := range []bool{false, true} {
			name := d.name
			if burst {
				name += "-bursts"
			}
			alone := measureMix(t, d, burst, noBatch)
			with := measureMix(t, d, burst, systemPolicy(d))
			shared := measureMix(t, d, burst, sharedQueue(d))
			dedicated := measureMix(t, d, burst, dedicatedEndpoints(d))
			idle := measureMix(t, deployment{d.name, d.endpoints, d.entries, 0.001, d.weight}, false, systemPolicy(d))
			idleShare := 1 - float64(with.stats.slotTime)/float64(time.Duration(d.endpoints*slotsPerEndpoint*(*seconds))*time.Second)
			perSecond := 1 / float64(*seconds)
			report(t, name+"/online-first-p99-ratio", ratio(with.firstToken, alone.firstToken), "ratio", ratio(shared.firstToken, alone.firstToken), "<=1.05")
			report(t, name+"/online-first-p99", with.firstToken, "ms", alone.firstToken, "<=320")
			report(t, name+"/online-first-p99-separate", dedicated.firstToken, "ms", alone.firstToken, "none")
			report(t, name+"/batch-tokens", float64(with.stats.batchTokens)*perSecond, "tokens/s", float64(dedicated.stats.batchTokens)*perSecond, "none")
			report(t, name+"/batch-share-of-idle", ratio(float64(with.stats.batchTokens), idleShare*float64(idle.stats.batchTokens)), "ratio",
				ratio(float64(dedicated.stats.batchTokens), idleShare*float64(idle.stats.batchTokens)), ">=0.95")
		}
	}
}
