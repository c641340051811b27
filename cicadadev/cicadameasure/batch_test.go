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

// A deployment of the brief: how many endpoints, entries and requests a second.
type deployment struct {
	name   string
	nodes  int
	fronts int
	rate   float64
	weight float64
}

var deployments = []deployment{
	{"puutookoda", 20, 4, 60, 0},
	{"vandenbroucke", 10, 3, 30, 0.5},
}

type mixture struct {
	first  float64
	median float64
	stats  engineStats
	batch  int
}

// mix measures online requests beside batch under one arrangement.
func mix(t *testing.T, d deployment, burst bool, arrange func(cfg *rigConfig) (class cicadawire.CallClass, group string, width int)) mixture {
	t.Helper()
	var m mixture
	inVirtualTime(t, func() {
		cfg := rigConfig{seed: 1, fronts: d.fronts, nodes: d.nodes, policy: cicadaadmit.Policy{Slots: rigSlots, OnlineWeight: d.weight}}
		class, group, width := arrange(&cfg)
		r := newRig(cfg)
		rate := constant(d.rate)
		if burst {
			rate = bursts(d.rate)
		}
		r.arrivals(rate, r.plainOnline)
		r.feedBatch(width, class, group)
		m.stats = r.run()
		m.first, m.median, m.batch = p99(r.first), p50(r.first), r.batch
	})
	return m
}

// bursts raises a rate five times for two seconds of every ten.
func bursts(rate float64) func(time.Time) float64 {
	return func(now time.Time) float64 {
		if now.Unix()%10 < 2 {
			return 5 * rate
		}
		return rate
	}
}

func ours(d deployment) func(*rigConfig) (cicadawire.CallClass, string, int) {
	return func(*rigConfig) (cicadawire.CallClass, string, int) {
		return cicadawire.CallClass_BATCH, groupName, d.nodes * rigSlots * 2
	}
}

func noBatch(*rigConfig) (cicadawire.CallClass, string, int) {
	return cicadawire.CallClass_BATCH, groupName, 0
}

// sharedQueue treats batch like online: first come, first served.
func sharedQueue(d deployment) func(*rigConfig) (cicadawire.CallClass, string, int) {
	return func(*rigConfig) (cicadawire.CallClass, string, int) {
		return cicadawire.CallClass_ONLINE, groupName, d.nodes * rigSlots
	}
}

// separate gives batch a quarter of the endpoints for itself.
func separate(d deployment) func(*rigConfig) (cicadawire.CallClass, string, int) {
	return func(cfg *rigConfig) (cicadawire.CallClass, string, int) {
		cfg.apart = d.nodes / 4
		return cicadawire.CallClass_BATCH, batchGroup, cfg.apart * rigSlots * 2
	}
}

func TestMeasureBatchBesideOnline(t *testing.T) {
	t.Parallel()
	for _, d := range deployments {
		for _, burst := range []bool{false, true} {
			name := d.name
			if burst {
				name += "-bursts"
			}
			alone := mix(t, d, burst, noBatch)
			with := mix(t, d, burst, ours(d))
			shared := mix(t, d, burst, sharedQueue(d))
			apart := mix(t, d, burst, separate(d))
			idle := mix(t, deployment{d.name, d.nodes, d.fronts, 0.001, d.weight}, false, ours(d))
			free := 1 - float64(with.stats.slotTime)/float64(time.Duration(d.nodes*rigSlots*(*seconds))*time.Second)
			perSecond := 1 / float64(*seconds)
			report(t, name+"/online-first-p99-ratio", ratio(with.first, alone.first), "ratio", ratio(shared.first, alone.first), "<=1.05")
			report(t, name+"/online-first-p99", with.first, "ms", alone.first, "<=320")
			report(t, name+"/online-first-p99-separate", apart.first, "ms", alone.first, "none")
			report(t, name+"/batch-tokens", float64(with.stats.batchTokens)*perSecond, "tokens/s", float64(apart.stats.batchTokens)*perSecond, "none")
			report(t, name+"/batch-share-of-idle", ratio(float64(with.stats.batchTokens), free*float64(idle.stats.batchTokens)), "ratio",
				ratio(float64(apart.stats.batchTokens), free*float64(idle.stats.batchTokens)), ">=0.95")
		}
	}
}
