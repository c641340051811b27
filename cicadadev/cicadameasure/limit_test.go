package cicadameasure

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadaentry/cicadaquota"
	"cicadalink.example/cicadakernel/cicadaconfig"
	"cicadalink.example/cicadakernel/cicadalimit"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadawire"
)

const (
	limitEntries  = 4
	limitRequests = 1000
	limitWindow   = 10 * time.Second
	grantDelay    = time.Millisecond
)

type entryNames struct{}

// EntryNames returns the names of the entries.
func (entryNames) EntryNames() []string {
	var names []string
	for i := range limitEntries {
		names = append(names, fmt.Sprintf("entry-%d", i))
	}
	return names
}

// limitedCustomer returns a customer with an online rate limit.
func limitedCustomer(t *testing.T) *cicadaconfig.ResolvedCustomer {
	t.Helper()
	text := fmt.Sprintf("kind: template\nname: desk\nparameters:\n  online-rate:\n    - {requests: %d, per: %s}\n---\nkind: customer\nname: shop\ntemplate: desk\n",
		limitRequests, limitWindow)
	resources, err := cicadaconfig.ParseResources("limits.yaml", []byte(text))
	assert.NilError(t, err)
	store := cicadaconfig.NewStore(cicadaplatform.NewClient(cicadaplatform.NewMemory().Backend()), rand.Uint64)
	_, err = store.Apply(t.Context(), cicadaconfig.Request{Resources: resources})
	assert.NilError(t, err)
	snapshot, err := store.Load(t.Context())
	assert.NilError(t, err)
	customer, ok := snapshot.Customer("shop")
	assert.Assert(t, ok)
	return customer
}

// limitMetrics holds the measurements of one rate-limiting strategy.
type limitMetrics struct {
	overshoot   float64       // largest fraction above the limit in a window
	messages    float64       // per second
	delay       time.Duration // mean time of a decision
	utilization float64       // mean fraction of the limit used in a window
}

// measureLimit offers requests unevenly to all entries and counts those that pass
// in each window. The acquire function decides on a request and returns the
// number of messages that the decision took.
func measureLimit(t *testing.T, offered float64, acquire func(entry int) (allowed bool, messages int)) limitMetrics {
	t.Helper()
	var result limitMetrics
	inVirtualTime(t, func() {
		windows := int64(*seconds)/int64(limitWindow/time.Second) + 2
		passed := make(map[int64]int64)
		messages, requests := 0, 0
		var waited time.Duration
		random := rand.New(rand.NewPCG(6, 0))
		start := time.Now().Truncate(limitWindow)
		for now := time.Now(); now.Sub(start) < time.Duration(windows)*limitWindow; now = time.Now() {
			time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / offered))
			entry := min(random.IntN(limitEntries), random.IntN(limitEntries))
			before := time.Now()
			allowed, cost := acquire(entry)
			waited += time.Since(before)
			messages += cost
			requests++
			if allowed {
				passed[int64(time.Now().Sub(start)/limitWindow)]++
			}
		}
		for window := range windows {
			result.overshoot = max(result.overshoot, float64(passed[window]-limitRequests)/limitRequests)
			result.utilization += min(float64(passed[window])/limitRequests, 1) / float64(windows)
		}
		result.messages = float64(messages) / (float64(windows) * limitWindow.Seconds())
		result.delay = waited / time.Duration(requests)
	})
	return result
}

// tokenLeases is the system's strategy: entries lease tokens from the customer's home
// entry.
func tokenLeases(customer *cicadaconfig.ResolvedCustomer) func(int) (bool, int) {
	var limiters []*cicadaquota.Limiter
	var grantRequests atomic.Int64
	for i := range limitEntries {
		name := fmt.Sprintf("entry-%d", i)
		limiters = append(limiters, cicadaquota.New(name, entryNames{}, func(_ context.Context, home string, req *cicadawire.GrantRequest) (*cicadawire.GrantReply, error) {
			grantRequests.Add(1)
			time.Sleep(grantDelay)
			var at int
			_, _ = fmt.Sscanf(home, "entry-%d", &at)
			return limiters[at].ServeGrant(customer, req), nil
		}))
	}
	return func(entry int) (bool, int) {
		before := grantRequests.Load()
		d := limiters[entry].Acquire(context.Background(), customer)
		if d.Allowed() {
			limiters[entry].Release(customer)
		}
		return d.Allowed(), int(grantRequests.Load() - before)
	}
}

// syncedCounters is a strategy from the literature: each entry counts locally and
// synchronises with a shared counter once a second.
func syncedCounters() func(int) (bool, int) {
	type local struct {
		unsynced, total int64
		synced          time.Time
		window          int64
	}
	locals := make([]local, limitEntries)
	shared := make(map[int64]int64)
	return func(entry int) (bool, int) {
		l := &locals[entry]
		window := time.Now().UnixNano() / int64(limitWindow)
		if l.window != window {
			*l = local{window: window}
		}
		l.unsynced++
		l.total++
		if time.Since(l.synced) <= time.Second {
			return l.total <= limitRequests, 0
		}
		time.Sleep(grantDelay)
		shared[window] += l.unsynced
		l.total, l.unsynced, l.synced = shared[window], 0, time.Now()
		return l.total <= limitRequests, 1
	}
}

// evenSplit gives each entry an equal fraction of the limit.
func evenSplit() func(int) (bool, int) {
	var homes []*cicadalimit.Counter
	for range limitEntries {
		homes = append(homes, cicadalimit.NewCounter(cicadalimit.EvenShare([]cicadalimit.Tier{{Requests: limitRequests, Per: limitWindow}}, limitEntries)))
	}
	return func(entry int) (bool, int) { return homes[entry].Grant(time.Now(), 1, 0).Tokens > 0, 0 }
}

// callPerRequest calls one shared counter for each request.
func callPerRequest() func(int) (bool, int) {
	home := cicadalimit.NewCounter([]cicadalimit.Tier{{Requests: limitRequests, Per: limitWindow}})
	return func(int) (bool, int) {
		time.Sleep(grantDelay)
		return home.Grant(time.Now(), 1, 0).Tokens > 0, 1
	}
}

// TestMeasureLimits compares token leases with other strategies for a rate limit that
// all entries share. Token leases must never exceed the limit.
func TestMeasureLimits(t *testing.T) {
	t.Parallel()
	customer := limitedCustomer(t)
	strategies := []struct {
		name    string
		acquire func(int) (bool, int)
	}{
		{"leases", tokenLeases(customer)},
		{"paper-synced-counters", syncedCounters()},
		{"even-split", evenSplit()},
		{"call-per-request", callPerRequest()},
	}
	for _, strategy := range strategies {
		r := measureLimit(t, 300, strategy.acquire)
		report(t, "limits/"+strategy.name+"-overshoot", r.overshoot, "share", 0, "<=0")
		report(t, "limits/"+strategy.name+"-used", r.utilization, "share", 1, "none")
		report(t, "limits/"+strategy.name+"-messages", r.messages, "1/s", 300, "none")
		report(t, "limits/"+strategy.name+"-delay", float64(r.delay)/float64(time.Millisecond), "ms", 0, "none")
		if strategy.name == "leases" {
			assert.Assert(t, r.overshoot <= 0, "token leases exceeded the limit by a share of %.3f", r.overshoot)
		}
	}
}
