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
	homeDelay     = time.Millisecond
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

// limitedAccount returns a customer whose online rate is limited.
func limitedAccount(t *testing.T) *cicadaconfig.Account {
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
	account, ok := snapshot.Customer("shop")
	assert.Assert(t, ok)
	return account
}

// A limitResult says how a way of limiting did.
type limitResult struct {
	overshoot float64
	messages  float64
	delay     time.Duration
	used      float64
}

// limited offers requests to all entries, unevenly, and counts what passes in
// each window. Take decides and says how many messages it cost.
func limited(t *testing.T, offered float64, take func(entry int) (allowed bool, messages int)) limitResult {
	t.Helper()
	var result limitResult
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
			allowed, cost := take(entry)
			waited += time.Since(before)
			messages += cost
			requests++
			if allowed {
				passed[int64(time.Now().Sub(start)/limitWindow)]++
			}
		}
		for window := range windows {
			result.overshoot = max(result.overshoot, float64(passed[window]-limitRequests)/limitRequests)
			result.used += min(float64(passed[window])/limitRequests, 1) / float64(windows)
		}
		result.messages = float64(messages) / (float64(windows) * limitWindow.Seconds())
		result.delay = waited / time.Duration(requests)
	})
	return result
}

// leases is the way that the system limits: token leases from the home.
func leases(account *cicadaconfig.Account) func(int) (bool, int) {
	var limiters []*cicadaquota.Limiter
	var asked atomic.Int64
	for i := range limitEntries {
		name := fmt.Sprintf("entry-%d", i)
		limiters = append(limiters, cicadaquota.New(name, entryNames{}, func(_ context.Context, home string, req *cicadawire.GrantRequest) (*cicadawire.GrantReply, error) {
			asked.Add(1)
			time.Sleep(homeDelay)
			var at int
			_, _ = fmt.Sscanf(home, "entry-%d", &at)
			return limiters[at].ServeGrant(account, req), nil
		}))
	}
	return func(entry int) (bool, int) {
		before := asked.Load()
		d := limiters[entry].Acquire(context.Background(), account)
		if d.Allowed() {
			limiters[entry].Release(account)
		}
		return d.Allowed(), int(asked.Load() - before)
	}
}

// syncedCounters is the paper's way: each entry counts by itself and
// synchronises with a shared counter once a second.
func syncedCounters() func(int) (bool, int) {
	type local struct {
		since, total int64
		synced       time.Time
		window       int64
	}
	locals := make([]local, limitEntries)
	shared := make(map[int64]int64)
	return func(entry int) (bool, int) {
		l := &locals[entry]
		window := time.Now().UnixNano() / int64(limitWindow)
		if l.window != window {
			*l = local{window: window}
		}
		l.since++
		l.total++
		if time.Since(l.synced) <= time.Second {
			return l.total <= limitRequests, 0
		}
		time.Sleep(homeDelay)
		shared[window] += l.since
		l.total, l.since, l.synced = shared[window], 0, time.Now()
		return l.total <= limitRequests, 1
	}
}

func evenSplit() func(int) (bool, int) {
	var homes []*cicadalimit.Home
	for range limitEntries {
		homes = append(homes, cicadalimit.NewHome(cicadalimit.Share([]cicadalimit.Tier{{Requests: limitRequests, Per: limitWindow}}, limitEntries)))
	}
	return func(entry int) (bool, int) { return homes[entry].Grant(time.Now(), 1, 0).Tokens > 0, 0 }
}

func callPerRequest() func(int) (bool, int) {
	home := cicadalimit.NewHome([]cicadalimit.Tier{{Requests: limitRequests, Per: limitWindow}})
	return func(int) (bool, int) {
		time.Sleep(homeDelay)
		return home.Grant(time.Now(), 1, 0).Tokens > 0, 1
	}
}

func TestMeasureLimits(t *testing.T) {
	t.Parallel()
	account := limitedAccount(t)
	ways := []struct {
		name string
		take func(int) (bool, int)
	}{
		{"leases", leases(account)},
		{"paper-synced-counters", syncedCounters()},
		{"even-split", evenSplit()},
		{"call-per-request", callPerRequest()},
	}
	for _, way := range ways {
		r := limited(t, 300, way.take)
		report(t, "limits/"+way.name+"-overshoot", r.overshoot, "share", 0, "<=0")
		report(t, "limits/"+way.name+"-used", r.used, "share", 1, "none")
		report(t, "limits/"+way.name+"-messages", r.messages, "1/s", 300, "none")
		report(t, "limits/"+way.name+"-delay", float64(r.delay)/float64(time.Millisecond), "ms", 0, "none")
		if way.name == "leases" {
			assert.Assert(t, r.overshoot <= 0, "token leases let pass %.3f more than the limit", r.overshoot)
		}
	}
}
