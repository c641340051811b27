package cicadafreshness

import (
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	seeds = flag.Int("seeds", 60, "number of seeds")
	first = flag.Int("first", 1, "first seed")
)

const (
	historyTime = 40 * time.Second
	maxFault    = 12 * time.Second
	// maxBytesPerSecond is the control traffic that a process may have in all.
	maxBytesPerSecond = 19_000
)

// playHistory plays random faults, restarts and configuration changes, and returns the share of
// samples at which processes were fresh. change may turn off a protection.
func playHistory(seed int, change func(*fleet)) (f *fleet, fresh float64) {
	f = newFleet(uint64(seed), 3+seed%21)
	change(f)
	f.setFanOut([]int{2, defaultFanOut}[f.random.IntN(2)])
	f.loss, f.late, f.lateBy = f.random.Float64()*0.2, f.random.Float64()*0.1, maxFault
	f.storeLatency = f.upTo(time.Second)
	f.playWrites()
	for range 1 + len(f.nodes)/2 {
		f.playFault()
	}
	samples, hits := 0, 0
	for f.now < historyTime {
		f.run(sampleInterval)
		running := f.running()
		samples += running
		hits += running - len(f.stale())
	}
	return f, float64(hits) / float64(samples)
}

func (f *fleet) playWrites() {
	f.after(f.upTo(8*time.Second), func() {
		if f.now < historyTime {
			f.write()
			f.playWrites()
		}
	})
}

// playFault lets one fault after another happen to a process or to the store.
func (f *fleet) playFault() {
	f.after(f.upTo(maxFault), func() {
		if f.now >= historyTime {
			return
		}
		end := f.fail(f.nodes[f.random.IntN(len(f.nodes))])
		f.after(f.upTo(maxFault), func() {
			end()
			f.playFault()
		})
	})
}

// fail begins a random fault, and returns what ends it.
func (f *fleet) fail(n *node) (end func()) {
	switch f.random.IntN(7) {
	case 0:
		n.side = 1 + f.random.IntN(2)
		return func() { n.side = 0 }
	case 1, 2:
		n.suspend()
		return n.resume
	case 3:
		n.kill()
		return n.restart
	case 4:
		n.rejected = true
		return func() { n.rejected = false }
	case 5:
		other := f.random.IntN(len(f.nodes))
		n.noLink[other] = true
		return func() { delete(n.noLink, other) }
	default:
		f.storeDown = true
		return func() { f.storeDown = false }
	}
}

// heal ends all faults.
func (f *fleet) heal() {
	f.loss, f.late, f.storeLatency, f.storeDown = 0, 0, 20*time.Millisecond, false
	for _, n := range f.nodes {
		n.side, n.rejected = 0, false
		clear(n.noLink)
		n.resume()
		n.restart()
	}
}

// Guards against every sequence of faults by which a process takes a version for confirmed that
// was superseded more than the limit ago, and against processes that stay without a confirmation
// after the faults.
func TestNoSupersededVersionIsFresh(t *testing.T) {
	share := 0.0
	for seed := *first; seed < *first+*seeds; seed++ {
		f, fresh := playHistory(seed, func(*fleet) {})
		assert.Equal(t, f.violation, "", "seed %d", seed)
		share += fresh / float64(*seeds)
		f.heal()
		f.run(4 * time.Second)
		f.assertFresh(t, 2*time.Second)
	}
	t.Logf("%d seeds: %.2f of all samples fresh", *seeds, share)
	assert.Assert(t, share > 0.5, "the histories must show processes with confirmations")
}

// Guards against a check that finds nothing: without any one of the protections, some history
// violates the guarantee.
func TestHistoriesFindMissingProtections(t *testing.T) {
	for name, change := range map[string]func(*fleet){
		"clock that stops during suspensions": func(f *fleet) {
			f.clock = func(n *node) time.Duration { return f.now + n.bootedAt - n.paused }
		},
		"replies without the age of the confirmation": func(f *fleet) {
			f.alter = func(_ *node, m Message) Message {
				if m.Reply != nil {
					m.Reply.Age = 0
				}
				return m
			}
		},
		"replies that count from the last query": func(f *fleet) {
			f.alter = func(n *node, m Message) Message {
				if m.Reply != nil {
					q := &n.tracker.queries
					q.record(m.From, q.last.stamp)
					m.Reply.Query = Query{Incarnation: n.tracker.incarnation, Stamp: q.last.stamp}
				}
				return m
			}
		},
		"reads that count from their end": func(f *fleet) {
			f.dated = func(n *node, _ time.Duration) time.Duration { return n.now() }
		},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := 1; seed <= 60; seed++ {
				if f, _ := playHistory(seed, change); f.violation != "" {
					t.Logf("seed %d: %s", seed, f.violation)
					return
				}
			}
			t.Error("no history violates the guarantee")
		})
	}
}

// A load is what the processes of a fleet have sent and read over a period.
type load struct {
	mean, most          float64 // messages a second sent by a process, and by the busiest
	meanBytes, maxBytes float64 // bytes a second sent and received
	oldest              time.Duration
	reads, requested    float64 // reads of the store a second, and those that Trackers asked for
}

func (f *fleet) measure(period time.Duration) (l load) {
	for _, n := range f.nodes {
		n.sent, n.bytes = 0, 0
	}
	reads, requested, seconds := f.reads(), f.requested(), period.Seconds()
	for end := f.now + period; f.now < end; {
		f.run(sampleInterval)
		for _, n := range f.nodes {
			age, _ := n.tracker.Age()
			l.oldest = max(l.oldest, age)
		}
	}
	for _, n := range f.nodes {
		messages, bytes := float64(n.sent)/seconds, float64(n.bytes)/seconds
		l.mean, l.most = l.mean+messages/float64(len(f.nodes)), max(l.most, messages)
		l.meanBytes, l.maxBytes = l.meanBytes+bytes/float64(len(f.nodes)), max(l.maxBytes, bytes)
	}
	l.reads, l.requested = float64(f.reads()-reads)/seconds, float64(f.requested()-requested)/seconds
	return l
}

// Guards against messages and reads whose number grows with the number of processes, and shows how
// many there are without faults and while the store is down.
func TestMessageCounts(t *testing.T) {
	const period = 10 * time.Second
	const format = "%3d processes, %s: %.1f messages/s sent on average, %.0f by the busiest; " +
		"%.0f bytes/s sent and received on average, %.0f by the busiest; oldest confirmation %s; %.1f reads/s, %.1f of them requested"
	for _, size := range []int{23, 300, 730} {
		f := newSteadyFleet(size)
		f.run(settleTime)
		l := f.measure(period)
		t.Logf(format, size, "calm", l.mean, l.most, l.meanBytes, l.maxBytes, l.oldest.Round(time.Millisecond), l.reads, l.requested)
		assert.Assert(t, l.mean < 5)
		assert.Assert(t, l.maxBytes < maxBytesPerSecond)
		assert.Assert(t, l.oldest < testLimit/2, "the store would be read")
		assert.Assert(t, l.reads <= 1/pollInterval.Seconds())
		assert.Equal(t, l.requested, 0.0)

		f.storeDown = true
		l = f.measure(period)
		t.Logf(format, size, "store down", l.mean, l.most, l.meanBytes, l.maxBytes, l.oldest.Round(time.Millisecond), l.reads, l.requested)
		assert.Assert(t, l.maxBytes < maxBytesPerSecond)
	}
}
