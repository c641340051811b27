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
	// stalledAfter is how long an endpoint with attempts in progress may send
	// nothing before new requests go to other endpoints.
	stalledAfter = 800 * time.Millisecond
	// lostAfter is how long an endpoint may send nothing before it is considered
	// lost.
	lostAfter = 2500 * time.Millisecond
	// ewmaWeight is the weight of a new sample in the moving averages.
	ewmaWeight = 0.2
	// initialEjection and maxEjection bound how long a slow endpoint gets no new
	// attempts before a probe.
	initialEjection = time.Second
	maxEjection     = 30 * time.Second
	// probeOverdueAfter is how long after an ejection period an endpoint is probed
	// only by attempts that can be hedged. After that, any online attempt may be the
	// probe.
	probeOverdueAfter = 500 * time.Millisecond
	// sampleHalfLife is the half-life of the measured latencies, so that an
	// endpoint that was slow for a short time is used again.
	sampleHalfLife = time.Second
	// ownSampleMaxAge is the age up to which this entry's own measurement takes
	// precedence over the agent's.
	ownSampleMaxAge = 300 * time.Millisecond
	// An endpoint with active streams counts as stalled if it sends nothing for
	// stallFactor times its average interval between tokens, and at least for
	// minStall. New requests then go to other endpoints.
	stallFactor = 3
	minStall    = 60 * time.Millisecond
	// maxExtrapolation is the maximum ratio of the estimated new requests of all
	// entries to the new requests of this entry.
	maxExtrapolation = 8
)

// An Endpoint holds the state of one endpoint as known to this entry: its load, its
// latencies, and this entry's attempts there. Its methods are safe for concurrent
// use.
type Endpoint struct {
	name           string
	address        string
	group          string
	dataCentre     string
	sameDataCentre bool
	now            func() time.Time

	mu                 sync.Mutex
	load               *cicadawire.Load
	boot               int64
	connected          bool
	leaving            bool
	lastMessageAt      time.Time
	onlineAttempts     int
	batchAttempts      int
	attemptsAtReport   struct{ online, batch int }
	awaitingFirstToken map[*Attempt]time.Time
	activeStreams      int
	tokenInterval      time.Duration
	timeToFirstToken   time.Duration
	samples            int
	sampledAt          time.Time
	ejection           ejection
}

// An ejection is a period during which an endpoint gets no new attempts. After the
// period, a single probe is sent. The ejection ends when the probe receives its first
// chunk. If the probe ends before that, for example because it is slow and its hedge
// is used instead, the ejection restarts with twice the period.
type ejection struct {
	active bool
	period time.Duration
	until  time.Time
	probe  *Attempt
}

// start starts an ejection, unless the period of the current one has not passed.
func (x *ejection) start(now time.Time) {
	if x.active && now.Before(x.until) {
		return
	}
	x.period = min(max(2*x.period, initialEjection), maxEjection)
	x.active, x.until, x.probe = true, now.Add(x.period), nil
}

// blocks reports whether the endpoint gets no new attempts now, because the
// period has not passed or a probe is in progress.
func (x *ejection) blocks(now time.Time) bool {
	return x.active && (now.Before(x.until) || x.probe != nil)
}

// end ends the ejection after a successful probe and halves the period of the next
// one.
func (x *ejection) end() {
	x.active, x.probe = false, nil
	x.period /= 2
}

// NewEndpoint returns the endpoint of a VM. sameDataCentre is true if it is in the
// entry's own data centre.
func NewEndpoint(vm cicadaplatform.VM, sameDataCentre bool) *Endpoint {
	return &Endpoint{
		name:               vm.Name,
		address:            vm.Address,
		group:              vm.Group,
		dataCentre:         vm.DataCentre,
		sameDataCentre:     sameDataCentre,
		now:                time.Now,
		load:               &cicadawire.Load{},
		awaitingFirstToken: make(map[*Attempt]time.Time),
	}
}

// Name returns the endpoint's name.
func (e *Endpoint) Name() string { return e.name }

// Address returns the address of the endpoint's agent.
func (e *Endpoint) Address() string { return e.address }

// Group returns the name of the endpoint's group.
func (e *Endpoint) Group() string { return e.group }

// DataCentre returns the name of the endpoint's data centre.
func (e *Endpoint) DataCentre() string { return e.dataCentre }

// SoftwareVersion returns the version of the endpoint's engine as last reported, or "".
func (e *Endpoint) SoftwareVersion() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.load.GetSoftwareVersion()
}

// RecordMessage records that a message from the endpoint's agent was received.
func (e *Endpoint) RecordMessage() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastMessageAt = e.now()
}

// UpdateLoad records a load report that was received now. A nil report is ignored.
func (e *Endpoint) UpdateLoad(load *cicadawire.Load) {
	if load == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.connected = true
	e.lastMessageAt = e.now()
	e.load = load
	e.leaving = e.leaving || load.GetLeaving()
	e.attemptsAtReport.online, e.attemptsAtReport.batch = e.onlineAttempts, e.batchAttempts
	e.adoptLatencies(load)
}

// adoptLatencies adopts the latencies that the agent has measured over the
// requests of all entries, unless this entry has a recent measurement of its own.
func (e *Endpoint) adoptLatencies(load *cicadawire.Load) {
	if load.GetPrefillUs() == 0 || e.lastMessageAt.Sub(e.sampledAt) < ownSampleMaxAge {
		return
	}
	e.timeToFirstToken = time.Duration(load.GetPrefillUs()) * time.Microsecond
	e.tokenInterval = time.Duration(load.GetTokenUs()) * time.Microsecond
	e.samples++
	e.sampledAt = e.lastMessageAt
}

// SetBoot records the agent's boot number, which differs after each start.
func (e *Endpoint) SetBoot(boot int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.boot = boot
}

// Boot returns the agent's boot number, or 0 if it is not known.
func (e *Endpoint) Boot() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.boot
}

// MarkDisconnected records that the connection to the agent was lost.
func (e *Endpoint) MarkDisconnected() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.connected = false
}

// SetLeaving records whether the endpoint is leaving, according to the VM list or
// the agent.
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

// State returns the endpoint's state as shown by the status command: live, slow,
// engine-down, lost or leaving.
func (e *Endpoint) State() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case e.leaving:
		return "leaving"
	case !e.connected || e.now().Sub(e.lastMessageAt) > lostAfter:
		return "lost"
	case !e.load.GetEngineUp():
		return "engine-down"
	case e.ejection.active:
		return "slow"
	}
	return "live"
}

// View returns the endpoint's state as input for routing.
func (e *Endpoint) View() cicadaroute.EndpointView {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	silence := now.Sub(e.lastMessageAt)
	v := cicadaroute.EndpointView{
		Name:           e.name,
		SameDataCentre: e.sameDataCentre,
		Slots:          int(e.load.GetSlots()),
		Online:         max(int(e.load.GetOnlineRunning())+e.onlineGrowth(), e.onlineAttempts, 0),
		OnlineWaiting:  int(e.load.GetOnlineWaiting()),
		Batch:          max(int(e.load.GetBatchRunning())+e.batchAttempts-e.attemptsAtReport.batch, e.batchAttempts, 0),
		BatchWaiting:   int(e.load.GetBatchWaiting()),
		InterTokenTime: e.tokenInterval,
		FirstTokenTime: e.timeToFirstToken,
		Samples:        e.samples,
		Unusable:       e.leaving || !e.connected || !e.load.GetEngineUp() || silence > lostAfter,
		Stalled:        e.stalled(silence),
		Ejected:        e.ejection.blocks(now),
		ProbeDue:       e.ejection.active && !e.ejection.blocks(now),
		ProbeOverdue:   e.ejection.active && now.Sub(e.ejection.until) > probeOverdueAfter,
	}
	for _, since := range e.awaitingFirstToken {
		v.OldestWaiting = max(v.OldestWaiting, now.Sub(since))
	}
	decay := math.Exp2(-float64(now.Sub(e.sampledAt)) / float64(sampleHalfLife))
	v.InterTokenTime = time.Duration(float64(v.InterTokenTime) * decay)
	v.FirstTokenTime = time.Duration(float64(v.FirstTokenTime) * decay)
	return v
}

// onlineGrowth estimates how many online requests all entries have added at the
// endpoint since the last load report. It extrapolates from this entry's new
// attempts, assuming that its share of the requests has not changed.
func (e *Endpoint) onlineGrowth() int {
	newAttempts := e.onlineAttempts - e.attemptsAtReport.online
	reported := int(e.load.GetOnlineRunning() + e.load.GetOnlineWaiting())
	if newAttempts <= 0 || e.attemptsAtReport.online == 0 || reported <= e.attemptsAtReport.online {
		return newAttempts
	}
	return min(newAttempts*reported/e.attemptsAtReport.online, newAttempts*maxExtrapolation)
}

// stalled reports whether the endpoint has sent nothing for longer than expected,
// given its attempts in progress.
func (e *Endpoint) stalled(silence time.Duration) bool {
	if e.onlineAttempts+e.batchAttempts > 0 && silence > stalledAfter {
		return true
	}
	return e.activeStreams > 0 && silence > max(stallFactor*e.tokenInterval, minStall)
}

// eject ejects the endpoint because it is much slower than its peers.
func (e *Endpoint) eject() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.ejection.start(e.now())
}

// An Attempt tracks one attempt at an endpoint.
type Attempt struct {
	endpoint      *Endpoint
	batch         bool
	startedAt     time.Time
	lastTokenAt   time.Time
	gotFirstToken bool
	ended         bool
}

// BeginAttempt starts to track an attempt. The first online attempt after an
// ejection period is the probe.
func (e *Endpoint) BeginAttempt(batch bool) *Attempt {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	if e.onlineAttempts+e.batchAttempts == 0 && now.Sub(e.lastMessageAt) < lostAfter {
		e.lastMessageAt = now
	}
	a := &Attempt{endpoint: e, batch: batch, startedAt: now, lastTokenAt: now}
	if batch {
		e.batchAttempts++
	} else {
		e.onlineAttempts++
		e.awaitingFirstToken[a] = now
		if e.ejection.active && e.ejection.probe == nil {
			e.ejection.probe = a
		}
	}
	return a
}

// IsProbe reports whether the attempt is the probe of an ejected endpoint.
func (a *Attempt) IsProbe() bool {
	a.endpoint.mu.Lock()
	defer a.endpoint.mu.Unlock()
	return a.endpoint.ejection.probe == a
}

// RecordChunk records that a chunk of the response was received. For the first chunk
// of an online attempt it returns the time since the start of the attempt.
func (a *Attempt) RecordChunk() (timeToFirst time.Duration, isFirst bool) {
	e := a.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	now := e.now()
	e.lastMessageAt = now
	gap := now.Sub(a.lastTokenAt)
	a.lastTokenAt = now
	if a.batch {
		return 0, false
	}
	delete(e.awaitingFirstToken, a)
	if a.gotFirstToken {
		updateEWMA(&e.tokenInterval, gap)
		return 0, false
	}
	a.gotFirstToken = true
	e.activeStreams++
	if e.ejection.probe == a {
		e.timeToFirstToken = gap
		e.ejection.end()
	}
	updateEWMA(&e.timeToFirstToken, gap)
	e.samples++
	e.sampledAt = now
	return gap, true
}

// updateEWMA adds a sample to an exponentially weighted moving average.
func updateEWMA(mean *time.Duration, sample time.Duration) {
	if *mean == 0 {
		*mean = sample
		return
	}
	*mean += time.Duration(ewmaWeight * float64(sample-*mean))
}

// End stops tracking the attempt. A probe that ends before its first chunk
// restarts the ejection. Only the first call has an effect.
func (a *Attempt) End() {
	e := a.endpoint
	e.mu.Lock()
	defer e.mu.Unlock()
	if a.ended {
		return
	}
	a.ended = true
	delete(e.awaitingFirstToken, a)
	if a.gotFirstToken {
		e.activeStreams--
	}
	if e.ejection.probe == a {
		e.ejection.start(e.now())
	}
	if a.batch {
		e.batchAttempts--
	} else {
		e.onlineAttempts--
	}
}
