package cicadafleet

import (
	"math"
	"sync"
	"time"

	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadaroute"
	"cicadalink.example/cicadakernel/cicadawire"
)

const (
	// quietAfter is how long an endpoint with attempts may stay silent before
	// new work goes elsewhere.
	quietAfter = 800 * time.Millisecond
	// lostAfter is how long an endpoint may stay silent before it counts as
	// lost.
	lostAfter  = 2500 * time.Millisecond
	paceWeight = 0.2
	// firstEjection and maxEjection bound how long a slow endpoint gets no new
	// work before one attempt tries it again.
	firstEjection = time.Second
	maxEjection   = 30 * time.Second
	// probePatience is how long the first attempt after an ejection waits for a
	// hedge to go beside it.
	probePatience = 500 * time.Millisecond
	// sampleHalfLife is the time in which what was measured of an endpoint loses
	// half its weight, so that one that was slow for a moment is tried again.
	sampleHalfLife = time.Second
	// freshSample is the age up to which this entry's own measurement stands
	// before the agent's.
	freshSample = 300 * time.Millisecond
	// stallFactor is how many times the usual time between tokens an endpoint
	// with running streams may stay silent before new work goes elsewhere.
	stallFactor = 3
	minStall    = 60 * time.Millisecond
	// maxOthers bounds by how much what this entry sends is multiplied to
	// account for the others.
	maxOthers = 8
)

// An Endpoint is what this entry knows of one endpoint. Its methods are safe
// for concurrent use.
type Endpoint struct {
	name       string
	address    string
	group      string
	dataCentre string
	near       bool
	now        func() time.Time

	mu        sync.Mutex
	load      *cicadawire.Load
	boot      int64
	connected bool
	leaving   bool
	lastHeard time.Time
	online    int
	batch     int
	baseline  struct{ online, batch int }
	waiting   map[*Attempt]time.Time
	streams   int
	token     time.Duration
	first     time.Duration
	samples   int
	sampledAt time.Time
	ejection  ejection
}

// An ejection is an endpoint's time without new work. Each ejection that
// follows another is twice as long; a probe that is not slow ends it.
type ejection struct {
	active bool
	period time.Duration
	until  time.Time
	probe  *Attempt
}

// eject starts an ejection, unless one lasts.
func (x *ejection) eject(now time.Time) {
	if x.active && now.Before(x.until) {
		return
	}
	x.period = min(max(2*x.period, firstEjection), maxEjection)
	x.active, x.until, x.probe = true, now.Add(x.period), nil
}

// lasts reports whether the endpoint gets no new work now.
func (x *ejection) lasts(now time.Time) bool {
	return x.active && (now.Before(x.until) || x.probe != nil)
}

// end ends the ejection after a probe that was not slow.
func (x *ejection) end() {
	x.active, x.probe = false, nil
	x.period /= 2
}

// NewEndpoint returns an endpoint of the VM list. Near says that it stands in
// the entry's own data centre.
func NewEndpoint(vm cicadaplatform.VM, near bool) *Endpoint {
	return &Endpoint{
		name:       vm.Name,
		address:    vm.Address,
		group:      vm.Group,
		dataCentre: vm.DataCentre,
		near:       near,
		now:        time.Now,
		load:       &cicadawire.Load{},
		waiting:    make(map[*Attempt]time.Time),
	}
}

// Name returns the endpoint's name.
func (e *Endpoint) Name() string { return e.name }

// Address returns the agent's address.
func (e *Endpoint) Address() string { return e.address }

// Group returns the endpoint's group.
func (e *Endpoint) Group() string { return e.group }

// DataCentre returns where the endpoint stands.
func (e *Endpoint) DataCentre() string { return e.dataCentre }

// Heard records that a message came from the endpoint's agent.
func (e *Endpoint) Heard() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastHeard = e.now()
}

// Report records a load report, as of now.
func (e *Endpoint) Report(load *cicadawire.Load) {
	if load == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.connected = true
	e.lastHeard = e.now()
	e.load = load
	e.leaving = e.leaving || load.GetLeaving()
	e.baseline.online, e.baseline.batch = e.online, e.batch
	e.learnPace(load)
}

// learnPace takes the agent's own measurement in, which the requests of all
// entries have made, unless this entry has a fresh one.
func (e *Endpoint) learnPace(load *cicadawire.Load) {
	if load.GetPrefillUs() == 0 || e.lastHeard.Sub(e.sampledAt) < freshSample {
		return
	}
	e.first = time.Duration(load.GetPrefillUs()) * time.Microsecond
	e.token = time.Duration(load.GetTokenUs()) * time.Microsecond
	e.samples++
	e.sampledAt = e.lastHeard
}

// SetBoot records the number of the agent's start.
func (e *Endpoint) SetBoot(boot int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot = boot
}

// Boot returns the number of the agent's start, or 0 when it is not known.
func (e *Endpoint) Boot() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.boot
}

// Disconnected records that the link to the agent broke.
func (e *Endpoint) Disconnected() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.connected = false
}

// SetLeaving records whether the VM list or the agent says that the endpoint is
// leaving.
func (e *Endpoint) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// Load returns the last load report.
func (e *Endpoint) Load() *cicadawire.Load {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load
}

// State returns the endpoint's state in a word, for status.
func (e *Endpoint) State() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.leaving:
		return "leaving"
	case !e.connected || e.now().Sub(e.lastHeard) > lostAfter:
		return "lost"
	case !e.load.GetEngineUp():
		return "engine-down"
	case e.ejection.active:
		return "slow"
	}
	return "live"
}

// View returns the endpoint as routing sees it.
func (e *Endpoint) View() cicadaroute.View {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	silent := now.Sub(e.lastHeard)
	v := cicadaroute.View{
		Name:          e.name,
		Near:          e.near,
		Slots:         int(e.load.GetSlots()),
		Online:        max(int(e.load.GetOnlineRunning())+e.sentSince(), e.online, 0),
		OnlineWaiting: int(e.load.GetOnlineWaiting()),
		Batch:         max(int(e.load.GetBatchRunning())+e.batch-e.baseline.batch, e.batch, 0),
		BatchWaiting:  int(e.load.GetBatchWaiting()),
		Token:         e.token,
		First:         e.first,
		Samples:       e.samples,
		Unusable:      e.leaving || !e.connected || !e.load.GetEngineUp() || silent > lostAfter,
		Quiet:         e.quiet(silent),
		Ejected:       e.ejection.lasts(now),
		Probing:       e.ejection.active && !e.ejection.lasts(now),
		Overdue:       e.ejection.active && now.Sub(e.ejection.until) > probePatience,
	}
	for _, since := range e.waiting {
		v.OldestWaiting = max(v.OldestWaiting, now.Sub(since))
	}
	fade := math.Exp2(-float64(now.Sub(e.sampledAt)) / float64(sampleHalfLife))
	v.Token = time.Duration(float64(v.Token) * fade)
	v.First = time.Duration(float64(v.First) * fade)
	return v
}

// sentSince estimates by how much the online requests have grown since the last
// report: by what this entry has sent, and by as much from each other entry in
// proportion to what it had running.
func (e *Endpoint) sentSince() int {
	own := e.online - e.baseline.online
	reported := int(e.load.GetOnlineRunning() + e.load.GetOnlineWaiting())
	if own <= 0 || e.baseline.online == 0 || reported <= e.baseline.online {
		return own
	}
	return min(own*reported/e.baseline.online, own*maxOthers)
}

// quiet reports that the endpoint has been silent for longer than it should be
// with the attempts that it has.
func (e *Endpoint) quiet(silent time.Duration) bool {
	if e.online+e.batch > 0 && silent > quietAfter {
		return true
	}
	return e.streams > 0 && silent > max(stallFactor*e.token, minStall)
}

// eject records that the endpoint is much slower than its peers.
func (e *Endpoint) eject() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ejection.eject(e.now())
}

// An Attempt is one attempt on an endpoint, for its books.
type Attempt struct {
	endpoint *Endpoint
	batch    bool
	started  time.Time
	last     time.Time
	seen     bool
	ended    bool
}

// Begin enters an attempt in the endpoint's books.
func (e *Endpoint) Begin(batch bool) *Attempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if e.online+e.batch == 0 && now.Sub(e.lastHeard) < lostAfter {
		e.lastHeard = now
	}
	a := &Attempt{endpoint: e, batch: batch, started: now, last: now}
	if batch {
		e.batch++
	} else {
		e.online++
		e.waiting[a] = now
		if e.ejection.active && e.ejection.probe == nil {
			e.ejection.probe = a
		}
	}
	return a
}

// Probe reports whether the attempt tries an endpoint that was ejected.
func (a *Attempt) Probe() bool {
	a.endpoint.mu.Lock()
	defer a.endpoint.mu.Unlock()
	return a.endpoint.ejection.probe == a
}

// Token records a piece of the answer, and returns the time to it when it is
// the first.
func (a *Attempt) Token() (first time.Duration, isFirst bool) {
	e := a.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	e.lastHeard = now
	gap := now.Sub(a.last)
	a.last = now
	if a.batch {
		return 0, false
	}
	delete(e.waiting, a)
	if a.seen {
		average(&e.token, gap)
		return 0, false
	}
	a.seen = true
	e.streams++
	if e.ejection.probe == a {
		e.first = gap
		e.ejection.end()
	}
	average(&e.first, gap)
	e.samples++
	e.sampledAt = now
	return gap, true
}

func average(mean *time.Duration, sample time.Duration) {
	if *mean == 0 {
		*mean = sample
		return
	}
	*mean += time.Duration(paceWeight * float64(sample-*mean))
}

// End takes the attempt out of the books.
func (a *Attempt) End() {
	e := a.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	delete(e.waiting, a)
	if a.seen {
		e.streams--
	}
	if e.ejection.probe == a {
		e.ejection.eject(e.now())
	}
	if a.batch {
		e.batch--
	} else {
		e.online--
	}
}
