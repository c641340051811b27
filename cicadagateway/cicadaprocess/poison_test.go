package cicadaprocess

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cicadalink.example/cicadagateway/cicadapeer"
	"cicadalink.example/cicadakernel/cicadasuspect"
)

const (
	poisonPart   = 666
	firstParts   = 20  // that requests begin with
	secondParts  = 900 // that follow the first
	crashDelay   = 100 * time.Millisecond
	soundRunTime = 800 * time.Millisecond
	firstEvent   = 20 * time.Millisecond
)

// poisonedFleet is a number of processes that learn of crashes from each other. Messages
// are lost now and then, and some processes are cut off for a time.
type poisonedFleet struct {
	random     *rand.Rand
	processes  []*crashEvidence
	cutUntil   []time.Time // until when a process gets no messages
	endpoints  int
	inFlight   map[uint64][]*fleetRun // by endpoint
	midway     bool                   // whether poison requests crash endpoints after their first event
	randomly   float64                // share of sound requests during which the endpoint crashes midway
	requests   uint64
	crashedAt  []time.Time // by poison requests
	poisonSent []time.Time // by processes that were not cut off within testContactTime
	refused    int         // sound requests
	sound      int
	timers     []*timerQueue // one for each delay
}

// A fleetRun is a run of a request.
type fleetRun struct {
	crash   cicadasuspect.Crash // if its endpoint crashes now
	process *crashEvidence
	sentAt  time.Time
	ended   bool
}

// A timerQueue holds functions that run a fixed delay after they were added, in that order.
type timerQueue struct {
	delay time.Duration
	due   []time.Time
	funcs []func()
}

func (f *poisonedFleet) after(delay time.Duration, run func()) {
	for _, q := range f.timers {
		if q.delay == delay {
			q.due, q.funcs = append(q.due, time.Now().Add(delay)), append(q.funcs, run)
			return
		}
	}
	f.timers = append(f.timers, &timerQueue{delay: delay})
	f.after(delay, run)
}

func (f *poisonedFleet) runTimers() {
	for _, q := range f.timers {
		for len(q.due) > 0 && !time.Now().Before(q.due[0]) {
			run := q.funcs[0]
			q.due, q.funcs = q.due[1:], q.funcs[1:]
			run()
		}
	}
}

func newPoisonedFleet(seed uint64, processes, endpoints int) *poisonedFleet {
	f := &poisonedFleet{
		random: rand.New(rand.NewPCG(seed, 0)), endpoints: endpoints, cutUntil: make([]time.Time, processes),
		inFlight: make(map[uint64][]*fleetRun),
	}
	for i := range processes {
		f.processes = append(f.processes, newTestEvidence(fmt.Sprint("process-", i)))
	}
	return f
}

// exchange delivers the messages of all processes, each with a probability.
func (f *poisonedFleet) exchange(lossPercent int) {
	now := time.Now()
	for i, p := range f.processes {
		var s cicadapeer.State
		p.addTo(&s, now)
		if len(s.CrashReports)+len(s.Quarantines)+len(s.PartQuarantines)+len(s.SoundParts) == 0 {
			continue
		}
		for j, other := range f.processes {
			if i != j && now.After(f.cutUntil[i]) && now.After(f.cutUntil[j]) && f.random.IntN(100) >= lossPercent {
				other.merge(s, now)
			}
		}
	}
}

// send handles a request at a random process. A poison request crashes its endpoint, with
// all requests there.
func (f *poisonedFleet) send(poison bool) {
	i := f.random.IntN(len(f.processes))
	p := f.processes[i]
	f.requests++
	first, second := uint64(1+f.random.IntN(firstParts)), uint64(1000+f.random.IntN(secondParts))
	parts := []uint64{first, second}
	if poison {
		parts = []uint64{3, 1001, poisonPart}
	}
	now := time.Now()
	if _, refused := p.monitor.Check(f.requests, parts, now); refused {
		if !poison {
			f.refused++
		}
		return
	}
	endpoint := f.random.Uint64N(uint64(f.endpoints))
	run := &fleetRun{process: p, sentAt: now, crash: cicadasuspect.Crash{Request: f.requests, Run: f.requests, Parts: parts, SentAt: now}}
	f.inFlight[endpoint] = append(f.inFlight[endpoint], run)
	if !poison {
		f.sound++
		f.after(firstEvent, run.answer)
		f.after(soundRunTime, run.complete)
		if f.random.Float64() < f.randomly {
			f.after(crashDelay, func() { f.crash(endpoint) })
		}
		return
	}
	if now.Sub(f.cutUntil[i]) > testContactTime {
		f.poisonSent = append(f.poisonSent, now)
	}
	if f.midway {
		f.after(firstEvent, run.answer)
	}
	f.after(crashDelay, func() {
		if !run.ended {
			f.crashedAt = append(f.crashedAt, time.Now())
			f.crash(endpoint)
		}
	})
}

// crash crashes an endpoint, which is back at once.
func (f *poisonedFleet) crash(endpoint uint64) {
	for _, run := range f.inFlight[endpoint] {
		if run.ended {
			continue
		}
		run.ended = true
		run.crash.Endpoint = endpoint
		run.process.monitor.RecordCrash(run.crash, time.Now())
	}
	f.inFlight[endpoint] = nil
}

func (r *fleetRun) answer() {
	if !r.ended {
		r.crash.Answered = true
		r.process.monitor.RecordAnswer(r.crash.Parts, r.sentAt, time.Now())
	}
}

func (r *fleetRun) complete() {
	if !r.ended {
		r.ended = true
		r.process.monitor.RecordSuccess(r.crash.Request, r.crash.Parts, r.sentAt, time.Now())
	}
}

// lateRequests returns the poison requests that were sent later than testContactTime after
// the fifth crash.
func (f *poisonedFleet) lateRequests() int {
	if len(f.crashedAt) < 5 {
		return 0
	}
	late := 0
	for _, at := range f.poisonSent {
		if at.Sub(f.crashedAt[4]) > testContactTime {
			late++
		}
	}
	return late
}

// This guards against requests with a poison prompt part that reach endpoints again, at
// processes that missed the reports or after the end of a quarantine, whether they crash them before or
// after the first event, and against refusing sound requests for crashes of other causes.
func TestPoisonPromptPartInFleets(t *testing.T) {
	const (
		maxLate        = 3
		numPoisonSeeds = 4
		warmUp         = 5 * time.Second
		length         = 150 * time.Second
		randomLength   = 30 * time.Second // with crashes of other causes
	)
	for _, test := range []struct {
		processes, endpoints int
		perSecond            int // sound requests
		poisonPerSecond      float64
		lossPercent          int
		midway               bool
		randomly             float64 // see poisonedFleet
	}{
		{5, 18, 80, 4, 0, false, 0},
		{5, 18, 80, 4, 30, false, 0},
		{23, 49, 200, 10, 30, false, 0},
		{60, 100, 300, 15, 50, false, 0},
		{3, 9, 40, 0.5, 30, false, 0},
		{5, 18, 80, 4, 0, true, 0},
		{5, 18, 80, 4, 30, true, 0},
		{23, 49, 200, 10, 30, true, 0},
		{60, 100, 300, 15, 50, true, 0},
		{3, 9, 40, 0.5, 30, true, 0},
		{5, 18, 80, 4, 30, true, 0.01},
		{3, 9, 40, 0.0001, 30, true, 0.025},
		{23, 49, 200, 0.0001, 30, true, 0.04},
	} {
		for seed := range uint64(numPoisonSeeds) {
			name := fmt.Sprintf("%d processes, %v a second, loss %d, midway %v, random %v, seed %d",
				test.processes, test.poisonPerSecond, test.lossPercent, test.midway, test.randomly, seed)
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newPoisonedFleet(seed, test.processes, test.endpoints)
					f.midway, f.randomly = test.midway, test.randomly
					start, length := time.Now(), length
					if test.randomly > 0 {
						length = randomLength
					}
					gap := time.Second / time.Duration(test.perSecond)
					nextMessage, nextPoison := start, start.Add(warmUp)
					poisonGap := time.Duration(float64(time.Second) / test.poisonPerSecond)
					for ; time.Since(start) < length; time.Sleep(gap) {
						now := time.Now()
						f.runTimers()
						f.send(false)
						if now.After(nextPoison) {
							nextPoison = now.Add(poisonGap)
							f.send(true)
						}
						if now.After(nextMessage) {
							nextMessage = now.Add(testHeartbeat)
							f.exchange(test.lossPercent)
							if f.random.IntN(20) == 0 {
								f.cutUntil[f.random.IntN(test.processes)] = now.Add(5 * time.Second)
							}
						}
					}
					assert.Assert(t, f.lateRequests() <= maxLate, "%d late, %d crashes", f.lateRequests(), len(f.crashedAt))
					assert.Assert(t, f.refused*100 <= f.sound, "%d of %d sound requests refused", f.refused, f.sound)
				})
			})
		}
	}
}
