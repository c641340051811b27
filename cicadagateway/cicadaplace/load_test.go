package cicadaplace

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadaview"
)

// simulation is a set of entries and owners that send requests to simulated engines
// and exchange their counts over a network with a delay. Each engine runs a limited
// number of requests at a time, in order of arrival.
type simulation struct {
	entries []*Table
	owners  []*Table
	engines map[string]chan struct{} // by endpoint; the capacity is the number of slots
}

const networkDelay = 4 * time.Millisecond

func newSimulation(ctx context.Context, entries, owners, engines, slots int) *simulation {
	s := &simulation{engines: make(map[string]chan struct{})}
	all := make([]cicadaview.Endpoint, engines)
	for i := range all {
		id := fmt.Sprintf("e%02d", i)
		all[i] = cicadaview.Endpoint{ID: id, Service: "s", Address: id, Slots: slots}
		s.engines[id] = make(chan struct{}, slots)
	}
	changes := make(map[string]chan struct{})
	tables := make(map[string]*Table)
	add := func(name string) *Table {
		changed := make(chan struct{}, 1)
		table := NewTable(name, WithOnChange(func() {
			select {
			case changed <- struct{}{}:
			default:
			}
		}))
		table.SetEndpoints(all)
		tables[name], changes[name] = table, changed
		return table
	}
	for i := range entries {
		s.entries = append(s.entries, add(fmt.Sprint("entry", i)))
	}
	for i := range owners {
		s.owners = append(s.owners, add(fmt.Sprint("owner", i)))
	}
	for name := range tables {
		go broadcast(ctx, name, tables, changes[name])
	}
	return s
}

// broadcast sends the counts of one process to all others, on every change and at
// regular intervals.
func broadcast(ctx context.Context, name string, tables map[string]*Table, changed chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(250 * time.Millisecond):
		}
		time.Sleep(networkDelay)
		counts := tables[name].LocalInFlight()
		for other, peer := range tables {
			if other != name {
				peer.SetPeer(name, counts)
			}
		}
	}
}

// runBatch starts batch items on every slot that is granted and preempts them on
// request. It adds the time that engines spent on items to busyTime.
func (s *simulation) runBatch(ctx context.Context, table *Table, busyTime *atomic.Int64) {
	type item struct {
		grant  *Grant
		cancel context.CancelFunc
	}
	running := make(map[string][]item)
	for ctx.Err() == nil {
		for id, n := range table.PreemptionCounts() {
			for range min(n, len(running[id])) {
				last := running[id][len(running[id])-1]
				running[id] = running[id][:len(running[id])-1]
				last.cancel()
				last.grant.Release()
			}
		}
		for {
			g := table.AcquireBatch("s", false, nil)
			if g == nil {
				break
			}
			itemCtx, cancel := context.WithCancel(ctx)
			id := g.Endpoint().ID
			running[id] = append(running[id], item{g, cancel})
			go func() {
				select {
				case s.engines[id] <- struct{}{}:
					start := time.Now()
					<-itemCtx.Done()
					busyTime.Add(int64(time.Since(start)))
					<-s.engines[id]
				case <-itemCtx.Done():
				}
			}()
		}
		time.Sleep(2 * time.Millisecond)
	}
}

// TestOnlinePeaksOverBatch guards against batch items that delay online requests.
// It runs the traffic pattern of the days with the highest load: online traffic that
// jumps between 0.38 and 1.87 times its mean every few seconds, while batch items
// fill all other slots. The first event must come within 300 ms for 99% of the
// requests, at most 1% may be refused, and batch items must keep the slots that
// online requests leave.
func TestOnlinePeaksOverBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const (
			engines, slots = 18, 8
			meanRate       = 82.0 // online requests per second
			meanRunTime    = 750 * time.Millisecond
			duration       = 23200 * time.Millisecond // four periods
		)
		random := rand.New(rand.NewPCG(7, 7))
		ctx, cancel := context.WithCancel(context.Background())
		s := newSimulation(ctx, 5, 4, engines, slots)
		var busyTime, refused atomic.Int64
		for _, owner := range s.owners {
			go s.runBatch(ctx, owner, &busyTime)
		}
		start := time.Now()
		waits := make(chan time.Duration, 10000)
		var requests sync.WaitGroup
		sent := 0
		for time.Since(start) < duration {
			rate := 0.383 * meanRate
			if time.Since(start)%(5800*time.Millisecond) > 3400*time.Millisecond {
				rate = 1.87 * meanRate
			}
			time.Sleep(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
			sent++
			entry := s.entries[random.IntN(len(s.entries))]
			runTime := time.Duration((0.5 + random.Float64()) * float64(meanRunTime))
			requests.Go(func() {
				begin := time.Now()
				g, err := entry.Acquire(ctx, SlotRequest{Service: "s", MaxWait: 210 * time.Millisecond})
				if err != nil {
					refused.Add(1)
					return
				}
				engine := s.engines[g.Endpoint().ID]
				engine <- struct{}{}
				waits <- time.Since(begin)
				time.Sleep(runTime)
				<-engine
				g.Release()
			})
		}
		time.Sleep(2 * meanRunTime)
		cancel()
		time.Sleep(time.Second) // for all goroutines to end
		requests.Wait()
		close(waits)
		var all []time.Duration
		for w := range waits {
			all = append(all, w)
		}
		slices.Sort(all)
		p99 := all[len(all)*99/100]
		batchSlots := time.Duration(busyTime.Load()).Seconds() / time.Since(start).Seconds()
		t.Logf("sent %d, refused %d, wait p50 %v p99 %v, batch slots %.1f", sent, refused.Load(), all[len(all)/2], p99, batchSlots)
		assert.Assert(t, p99 < 300*time.Millisecond, "99th percentile of the time to the first event is %v", p99)
		assert.Assert(t, int(refused.Load())*100 <= sent, "%d of %d refused", refused.Load(), sent)
		assert.Assert(t, batchSlots >= 50, "batch items must use at least 50 slots on average")
	})
}
