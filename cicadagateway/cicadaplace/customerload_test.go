package cicadaplace

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadaview"
)

const (
	usageDelay     = 50 * time.Millisecond  // until a table receives the usage of another
	customerWait   = 250 * time.Millisecond // MaxWait of a request
	customerStream = 800 * time.Millisecond // mean time that a request holds its slot
	customerWork   = 400.0                  // mean tokens of a request
)

// A customerLoad is the load of one customer.
type customerLoad struct {
	name     string
	rate     func(at time.Duration) float64 // requests a second
	priority int
	size     float64 // of its requests, as a multiple of customerWork and customerStream
	entries  int     // that it uses, all if 0
}

// steady returns a customer that sends the same load at all times.
func steady(name string, rate float64) customerLoad {
	return customerLoad{name: name, rate: func(time.Duration) float64 { return rate }, size: 1}
}

// equalCustomers returns customers that send equal loads.
func equalCustomers(n int, rate float64) []customerLoad {
	loads := make([]customerLoad, n)
	for i := range loads {
		loads[i] = steady(fmt.Sprint("customer-", i), rate)
	}
	return loads
}

// A customerOutcome is what a customer got.
type customerOutcome struct {
	sent, served int
}

// satisfaction returns the fraction of a customer's requests that were served.
func (o *customerOutcome) satisfaction() float64 {
	return float64(o.served) / float64(max(o.sent, 1))
}

// customerOutcomes holds outcomes by customer.
type customerOutcomes map[string]*customerOutcome

// of returns the sum of the outcomes of customers, and Jain's fairness index of their satisfaction:
// 1 if all are equally satisfied, 1/n if one of n gets everything.
func (o customerOutcomes) of(loads []customerLoad) (total customerOutcome, fairness float64) {
	sum, squares := 0.0, 0.0
	for _, load := range loads {
		one := o[load.name]
		total.sent += one.sent
		total.served += one.served
		sum += one.satisfaction()
		squares += one.satisfaction() * one.satisfaction()
	}
	return total, sum * sum / (float64(len(loads)) * squares)
}

// A customerFleet is a number of tables that exchange their counts and the work of customers
// late.
type customerFleet struct {
	*simulation
	endpoints []cicadaview.Endpoint
	anonymous bool          // whether the tables are not told the customers
	patience  time.Duration // for how long callers retry

	mu       sync.Mutex
	outcomes customerOutcomes
}

func newCustomerFleet(tables, engines, slots int) *customerFleet {
	f := &customerFleet{
		simulation: &simulation{engines: make(map[string]chan struct{})}, endpoints: numberedEndpoints(engines, slots),
		outcomes: make(customerOutcomes),
	}
	for _, e := range f.endpoints {
		f.engines[e.ID] = make(chan struct{}, slots)
	}
	for i := range tables {
		table := NewTable(fmt.Sprint("entry-", i), WithStaleness(func() time.Duration { return usageDelay }))
		table.SetEndpoints(f.endpoints)
		f.entries = append(f.entries, table)
	}
	return f
}

// exchange delivers the state of each table to the others, usageDelay after it was taken.
func (f *customerFleet) exchange(ctx context.Context) {
	for ctx.Err() == nil {
		counts, usage := make([]map[string]InFlight, len(f.entries)), make([][]CustomerUsage, len(f.entries))
		for i, table := range f.entries {
			counts[i], usage[i] = table.LocalInFlight(), table.LocalUsage(8)
		}
		time.Sleep(usageDelay)
		for i, table := range f.entries {
			for j := range f.entries {
				if i != j {
					table.SetPeerUsage(fmt.Sprint("entry-", j), usage[j])
					table.SetPeer(fmt.Sprint("entry-", j), counts[j])
				}
			}
		}
	}
}

// play plays loads for a time and returns the outcomes by customer.
func (f *customerFleet) play(t *testing.T, duration time.Duration, loads []customerLoad) customerOutcomes {
	ctx, cancel := context.WithCancel(t.Context())
	go f.exchange(ctx)
	var senders, requests sync.WaitGroup
	start := time.Now()
	for _, load := range loads {
		f.outcomes[load.name] = &customerOutcome{}
	}
	for i, load := range loads {
		random := rand.New(rand.NewPCG(7, uint64(i)))
		senders.Go(func() {
			for {
				time.Sleep(time.Duration(random.ExpFloat64() / load.rate(time.Since(start)) * float64(time.Second)))
				if time.Since(start) >= duration {
					return
				}
				entry := f.entries[random.IntN(len(f.entries))]
				if load.entries > 0 {
					entry = f.entries[random.IntN(load.entries)]
				}
				size := load.size * (0.5 + random.Float64())
				requests.Go(func() { f.request(ctx, entry, load, size) })
			}
		})
	}
	senders.Wait()
	requests.Wait()
	cancel()
	time.Sleep(2 * usageDelay)
	return f.outcomes
}

func (f *customerFleet) request(ctx context.Context, entry *Table, load customerLoad, size float64) {
	req := SlotRequest{Service: "s", MaxWait: customerWait, Customer: load.name, Priority: load.priority, Work: size * customerWork}
	if f.anonymous {
		req.Customer, req.Priority = "", 0
	}
	start := time.Now()
	grant, err := entry.Acquire(ctx, req)
	for err != nil {
		retry := entry.RetryAfterFor(req)
		if time.Since(start)+retry > f.patience {
			break
		}
		time.Sleep(retry)
		grant, err = entry.Acquire(ctx, req)
	}
	f.count(load.name, err == nil)
	if err != nil {
		return
	}
	engine := f.engines[grant.Endpoint().ID]
	engine <- struct{}{}
	time.Sleep(time.Duration(size * float64(customerStream)))
	<-engine
	grant.Release()
}

func (f *customerFleet) count(customer string, served bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.outcomes[customer].sent++
	if served {
		f.outcomes[customer].served++
	}
}

// playLoads plays loads for playTime, with or without telling the tables the customers.
func playLoads(t *testing.T, anonymous bool, loads []customerLoad) (outcomes customerOutcomes) {
	synctest.Test(t, func(t *testing.T) {
		f := newCustomerFleet(fleetTables, fleetEngines, fleetSlots)
		f.anonymous = anonymous
		outcomes = f.play(t, playTime, loads)
	})
	return outcomes
}

const (
	playTime     = 2 * peakPeriod
	fleetTables  = 23
	fleetEngines = 12
	fleetSlots   = 8
	// fleetCapacity is the number of average requests a second that the engines can run.
	fleetCapacity = fleetEngines * fleetSlots * float64(time.Second) / float64(customerStream)
)

// Guards against an order that costs requests when nobody floods: all customers send 1.87 times
// the mean load for 2.4 s and 0.38 times for 3.4 s, and the peaks exceed the capacity.
func TestLoadWave(t *testing.T) {
	loads := equalCustomers(24, 0)
	for i := range loads {
		loads[i].rate = func(at time.Duration) float64 {
			if at%peakPeriod > peakStart {
				return 1.87 * 0.7 * fleetCapacity / 24
			}
			return 0.383 * 0.7 * fleetCapacity / 24
		}
	}
	before, _ := playLoads(t, true, loads).of(loads)
	total, fairness := playLoads(t, false, loads).of(loads)
	t.Logf("by arrival %+v, ranked %+v, fairness %.4f", before, total, fairness)
	assert.Assert(t, total.satisfaction() > before.satisfaction()-0.03)
	assert.Assert(t, fairness > 0.99)
}

// Guards against customers that lose requests because another one floods all entries or a few, with
// 1.7 times the capacity or, as within its limit, with half of it. The tables learn of each other's
// usage 50 ms late.
func TestFloodByOneOfManyCustomers(t *testing.T) {
	for _, flood := range []struct {
		name    string
		rate    float64 // as a fraction of the capacity
		entries int
	}{{"beyond all limits", 1.7, 0}, {"beyond all limits at two entries", 1.7, 2}, {"within its limit", 0.5, 0}, {"within its limit at two entries", 0.5, 2}} {
		t.Run(flood.name, func(t *testing.T) {
			loads := equalCustomers(24, 0.6*fleetCapacity/24)
			loads[0] = steady(loads[0].name, flood.rate*fleetCapacity)
			loads[0].entries = flood.entries
			before, _ := playLoads(t, true, loads).of(loads[1:])
			outcomes := playLoads(t, false, loads)
			others, fairness := outcomes.of(loads[1:])
			t.Logf("others by arrival %+v, ranked %+v, fairness %.4f, flooding %+v", before, others, fairness, outcomes[loads[0].name])
			assert.Assert(t, others.satisfaction() > 0.95)
			assert.Assert(t, fairness > 0.95)
			usual := 0.6 * fleetCapacity / 24 * playTime.Seconds() // requests of the flooding customer, had it not flooded
			assert.Assert(t, float64(outcomes[loads[0].name].served) > usual, "a flood must not cost its sender its own share")
			all := others.served + outcomes[loads[0].name].served
			assert.Assert(t, float64(all) > 0.9*fleetCapacity*playTime.Seconds() || flood.rate < 1, "slots must not be left idle in a flood: %d", all)
		})
	}
}

// Guards against small customers that lose requests, or against a large one that loses more than the
// engines cannot run, when a large customer sends most of the load.
func TestLargeCustomerAmongSmallOnes(t *testing.T) {
	for _, rate := range []float64{0.2, 0.65} {
		loads := append(equalCustomers(24, 0.5*fleetCapacity/24), steady("large", rate*fleetCapacity))
		loads[24].size = 1.1
		outcomes := playLoads(t, false, loads)
		small, _ := outcomes.of(loads[:24])
		large := outcomes["large"]
		t.Logf("small %+v, large %+v", small, large)
		assert.Assert(t, small.satisfaction() > 0.98)
		if rate < 0.5 {
			assert.Assert(t, large.satisfaction() > 0.98)
		} else {
			assert.Assert(t, float64(large.served)*1.1 > 0.38*fleetCapacity*playTime.Seconds())
		}
	}
}

// Guards against an overload that goes on after an outage: all callers that were refused meanwhile
// return when the endpoints are back, with ten times as many from one customer.
func TestRecoveryAfterAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newCustomerFleet(fleetTables, fleetEngines, fleetSlots)
		f.patience = 5 * time.Second
		setEndpoints := func(all []cicadaview.Endpoint) {
			for _, table := range f.entries {
				table.SetEndpoints(all)
			}
		}
		time.AfterFunc(3*time.Second, func() { setEndpoints(nil) })
		time.AfterFunc(6*time.Second, func() { setEndpoints(f.endpoints) })
		loads := equalCustomers(24, 0.5*fleetCapacity/24)
		loads[0] = steady(loads[0].name, 10*0.5*fleetCapacity/24)
		outcomes := f.play(t, 12*time.Second, loads)
		others, fairness := outcomes.of(loads[1:])
		t.Logf("others %+v, fairness %.4f, flooding %+v", others, fairness, outcomes[loads[0].name])
		assert.Assert(t, others.satisfaction() > 0.99)
		assert.Assert(t, fairness > 0.99)
		assert.Assert(t, outcomes[loads[0].name].satisfaction() > 0.7)
	})
}
