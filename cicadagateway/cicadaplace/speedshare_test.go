package cicadaplace

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadakernel/cicadaview"
)

// newSpeedTable returns a table that learns speeds and knows what is usual for a response.
func newSpeedTable(t *testing.T, name string, n, slots int) *Table {
	table := NewTable(name, WithSpeedLearning())
	table.SetEndpoints(endpoints(n, slots))
	for range 20 * n {
		respond(t, table, "", 100*time.Millisecond)
	}
	return table
}

// respond runs a request at an endpoint, or any.
func respond(t *testing.T, table *Table, endpoint string, took time.Duration) {
	t.Helper()
	req := SlotRequest{Service: "s"}
	for _, e := range table.services["s"].endpoints {
		if endpoint != "" && e.ID != endpoint {
			req.Avoid = append(req.Avoid, e.ID)
		}
	}
	g, err := table.Acquire(t.Context(), req)
	assert.NilError(t, err)
	g.RecordResponse(took, 0)
	g.Release()
}

// Guards against the table changing or keeping anything if speeds are not learned.
func TestWithoutSpeedLearning(t *testing.T) {
	table := NewTable("me")
	table.SetEndpoints(endpoints(2, 2))
	g := acquire(t, table, 0)
	sampler := g.StartSampling(true, 10)
	assert.Assert(t, sampler == nil)
	sampler.Events(1)
	sampler.BeginWrite()
	sampler.EndWrite()
	sampler.Done()
	g.RecordResponse(time.Second, 1)
	g.RecordErrorResponse()
	table.MergeSpeed([]SpeedSample{{Endpoint: "a", Ratio: 60, Weight: 9}}, time.Now())
	assert.Assert(t, table.Speeds() == nil && table.LocalSpeed(time.Now()) == nil)
	assert.Assert(t, table.speed == nil && table.endpointsByID["a"].speed == nil)
}

// Guards against the costs of endpoints of one speed changing.
func TestUsualEndpointsCostTheSame(t *testing.T) {
	table := newSpeedTable(t, "me", 2, 8)
	assert.Equal(t, table.endpointsByID["a"].speedCost(), 0.0)
}

// Guards against a sample being counted twice, and a peer that has sent an endpoint nothing not
// knowing that it is slow.
func TestPeersLearnSpeedsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		me, peer := newSpeedTable(t, "me", 3, 8), NewTable("peer", WithSpeedLearning())
		peer.SetEndpoints(endpoints(3, 8))
		for range 40 {
			respond(t, me, "b", 400*time.Millisecond)
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(speedRefreshInterval)
		samples := me.LocalSpeed(time.Now())
		assert.Equal(t, len(samples), 1)
		assert.Equal(t, samples[0].Endpoint, "b")
		assert.Equal(t, len(me.LocalSpeed(time.Now())), 0)
		peer.MergeSpeed(samples, time.Now())
		time.Sleep(speedRefreshInterval)
		assert.Equal(t, len(peer.LocalSpeed(time.Now())), 0) // only the origin tells
		for _, table := range []*Table{me, peer} {
			s := table.Speeds()[1]
			assert.Assert(t, s.Slowness > 2 && s.Slowness < 5 && s.Avoided, "%+v", s)
			assert.Equal(t, s.Why, whyShared)
		}
	})
}

// Guards against messages that grow with the number of endpoints, or their volume with that of
// processes.
func TestSpeedSamplesAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const n = 40
		table := NewTable("me", WithSpeedLearning())
		table.SetEndpoints(endpoints(n, 8))
		for range 729 {
			table.SetPeer(time.Now().String(), nil)
			time.Sleep(time.Millisecond)
		}
		sent := 0
		for range 20 {
			for i := range n {
				took := 100 * time.Millisecond
				if i < n/2 {
					took *= 5
				}
				for range 4 {
					respond(t, table, string(rune('a'+i)), took)
				}
			}
			samples := table.LocalSpeed(time.Now())
			assert.Assert(t, len(samples) <= maxSpeedSamples)
			sent += len(samples)
			time.Sleep(50 * time.Millisecond)
		}
		assert.Assert(t, sent > 0 && sent <= maxSpeedSamples+2, "%d samples in 1 s", sent)
	})
}

// Guards against most of a service being set aside.
func TestNoMoreThanAThirdIsAvoided(t *testing.T) {
	for slow, avoided := range map[int]int{2: 2, 3: 3, 4: 0} {
		synctest.Test(t, func(t *testing.T) {
			table := newSpeedTable(t, "me", 9, 8)
			for range 40 {
				for i := range 9 {
					took := 100 * time.Millisecond
					if i < slow {
						took *= 4
					}
					respond(t, table, string(rune('a'+i)), took)
				}
				time.Sleep(50 * time.Millisecond)
			}
			time.Sleep(speedRefreshInterval)
			n := 0
			for _, s := range table.Speeds() {
				if s.Avoided {
					n++
				}
			}
			assert.Equal(t, n, avoided)
			assert.Assert(t, table.Speeds()[0].Slowness > 1.5)
		})
	}
}

// Guards against the samples of peers about a process that has ended counting for its successor.
func TestSamplesOfAFormerProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newSpeedTable(t, "me", 2, 8)
		all := endpoints(2, 8)
		all[0].StartedMs = 7
		g := acquire(t, table, 0)
		table.SetEndpoints(all)
		g.RecordResponse(time.Hour, 0)
		late := []SpeedSample{{Endpoint: "a", Ratio: 60, Weight: 9}}
		table.MergeSpeed(late, time.Now())
		assert.Equal(t, table.endpointsByID["a"].speed.peers.weight, 0.0)
		time.Sleep(restartQuietTime)
		table.MergeSpeed(late, time.Now())
		assert.Assert(t, table.endpointsByID["a"].speed.peers.weight > 0)
	})
}

// Guards against batch items taking fast endpoints while slower ones are idle, and against slots
// staying idle.
func TestBatchItemsLeaveFastEndpoints(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newSpeedTable(t, "me", 3, 8)
		for range 40 {
			respond(t, table, "a", 180*time.Millisecond)
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(speedRefreshInterval)
		slow := 0
		for range 400 {
			g := table.AcquireBatch(SlotRequest{Service: "s"}, false)
			if g.Endpoint().ID == "a" {
				slow++
			}
			g.Release()
		}
		assert.Assert(t, slow > 400*2/5, "%d of 400 to one of three endpoints", slow)
		assert.Assert(t, table.AcquireBatch(SlotRequest{Service: "s"}, true).Endpoint().ID != "a")
		assert.Assert(t, table.AcquireBatch(SlotRequest{Service: "s"}, true) != nil)
		for range 22 {
			assert.Assert(t, table.AcquireBatch(SlotRequest{Service: "s"}, true) != nil)
		}
		free, _ := table.FreeSlots("s")
		assert.Equal(t, free, 0)
	})
}

// Guards against a caller that reads slowly passing for a slow endpoint, while events wait in the
// endpoint's connection.
func TestSlowCallerGivesNoSample(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable("me", WithSpeedLearning())
		table.SetEndpoints([]cicadaview.Endpoint{{ID: "a", Service: "s", Slots: 8}})
		for _, blocked := range []time.Duration{0, time.Second} {
			g := acquire(t, table, 0)
			sampler := g.StartSampling(true, 10)
			for range 40 {
				time.Sleep(20 * time.Millisecond)
				sampler.Events(1)
				sampler.BeginWrite()
				time.Sleep(blocked)
				table.Speeds()
				sampler.EndWrite()
			}
			sampler.Done()
			g.Release()
			assert.Equal(t, len(table.speed.samplers), 0)
			_, usual := g.speedCell(speedPace, 0)
			assert.Assert(t, usual.samples >= 3)
			assert.Assert(t, usual.mean < -3.8, "%v", usual.mean) // ln of 22 ms
		}
		assert.Equal(t, table.Speeds()[0].Slowness, 1.0)
	})
}
