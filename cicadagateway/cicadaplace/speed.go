package cicadaplace

import (
	"math"
	"math/bits"
	"slices"
	"time"

	"github.com/uber-go/tally/v4"
)

// A speedKind is what a sample of an endpoint's speed measures.
type speedKind uint8

const (
	speedFirstEvent speedKind = iota // from sending a request to the first event
	speedPace                        // from one event to the next
	speedResponse                    // from sending a request to its complete response
	speedKinds
)

var speedKindNames = [speedKinds]string{"first-event", "pace", "response"}

const (
	// speedRefreshInterval is how often the slowness of a service's endpoints is computed. It grows
	// with the number of endpoints up to a maximum, as the cost does.
	speedRefreshInterval    = 100 * time.Millisecond
	speedRefreshPerEndpoint = time.Millisecond
	maxSpeedRefreshInterval = 500 * time.Millisecond
	// maxSlowness and minSlowness bound what an endpoint is taken for.
	maxSlowness = 8.0
	minSlowness = 1.0 / 3
	// speedDeadZone is how much slower or faster than the median an endpoint must be for this to
	// count. Without it, noise would order endpoints of the same speed.
	speedDeadZone = 1.15
	// avoidedSlowness is how slow an endpoint must be to be avoided, and maxAvoidedPart how much of
	// a service may be.
	avoidedSlowness = 2.0
	maxAvoidedPart  = 1.0 / 3
	// minLevelEndpoints is how many endpoints a process must have samples of to tell load from the
	// slowness of an endpoint.
	minLevelEndpoints = 3
	// ownDeviation is by how much what a process has measured must differ from what all have, for
	// an endpoint to count as slow for this process alone.
	ownDeviation = 1.5
	// lateFactor is how many times the usual time a request must have waited to count before
	// it gets its event, and again whenever that time has doubled.
	lateFactor = 3.0

	speedLoadBuckets = 4
	speedSizeBuckets = 16
	minCellSamples   = 3  // before a cell tells whether a sample is fast or slow
	cellMemory       = 50 // samples
)

var (
	logMinSlowness  = math.Log(minSlowness)
	logMaxSlowness  = math.Log(maxSlowness)
	logDeadZone     = math.Log(speedDeadZone)
	logOwnDeviation = math.Log(ownDeviation)
)

// A speedCell is the running mean of the logarithms of the times, in seconds, that a service takes
// for requests of one kind and size under one load. The slowness of the endpoints is taken out of
// it: slow endpoints get less load, and would else pass for the usual at low load.
type speedCell struct {
	mean    float64
	samples int
}

// maxCellStep is how far from the mean of a cell with many samples a sample counts, as a logarithm. An endpoint that
// has become slow is to raise its own estimate, and not the cells.
var maxCellStep = math.Log(1.5)

func (c *speedCell) trained() bool { return c.samples >= minCellSamples }

func (c *speedCell) add(x float64) {
	if c.samples >= cellMemory/2 {
		x = min(max(x, c.mean-maxCellStep), c.mean+maxCellStep)
	}
	c.samples = min(c.samples+1, cellMemory)
	c.mean += (x - c.mean) / float64(c.samples)
}

// A serviceSpeed is what is known about the speed of a service as a whole.
type serviceSpeed struct {
	cells [speedKinds][speedLoadBuckets][speedSizeBuckets]speedCell
	// level is added to all cells. It takes up what most endpoints show, which is load: at each
	// refresh, the median of their estimates becomes 0. Cells would do so too slowly, and estimates
	// without recent samples would then be compared with another usual.
	level       float64
	refreshedAt time.Time
	slow        int       // endpoints slower than the dead zone
	avoided     int       // endpoints that are avoided or on trial
	limited     int       // endpoints that run fewer requests well than they have slots
	values      []float64 // reused by refresh
}

// cell returns the cell of requests of a kind, with prompts of a size in tokens, at an endpoint
// that has load requests in its slots, and the cell that tells what is usual for these: the same, or
// that of the nearest load which is trained. Only slow endpoints may have had that load so far.
func (s *serviceSpeed) cell(kind speedKind, load, slots, size int) (own, usual *speedCell) {
	bucket := min(max(load, 0)*speedLoadBuckets/max(slots, 1), speedLoadBuckets-1)
	column := min(bits.Len(uint(max(size, 0))), speedSizeBuckets-1)
	own = &s.cells[kind][bucket][column]
	for distance := range speedLoadBuckets {
		for _, near := range [2]int{bucket + distance, bucket - distance} {
			if near >= 0 && near < speedLoadBuckets && s.cells[kind][near][column].trained() {
				return own, &s.cells[kind][near][column]
			}
		}
	}
	return own, own
}

// An endpointSpeed is what is known about the speed of an endpoint. It is nil if speeds are not
// learned.
type endpointSpeed struct {
	own   speedEstimate // from this process's samples
	peers speedEstimate // from those of peers
	news  speedEstimate // from the own samples that peers have not been told
	told  float64       // the mean that peers were told last

	value    float64 // see estimate
	strength float64 // by how much the samples of all processes count in it
	blend    float64 // and by how much the own ones count instead

	relative float64 // logarithm of the slowness relative to the median
	slowness float64 // relative, beyond the dead zone; 1 within it
	avoided  bool
	// trial is set while the endpoint was slow and has had no samples for some time. It then gets
	// one request at a time.
	trial bool
	why   string
	limit loadLimit
	// peersFrom is when samples of peers count again after a restart: until then they may be
	// about the former process.
	peersFrom time.Time
	delay     time.Duration // by which this process tries a slow endpoint later than others
}

// restartQuietTime is how long after the restart of an endpoint samples of peers may be about the
// process that has ended.
const restartQuietTime = time.Second

// maxRetryDelay spreads the times at which processes try a slow endpoint again, so that the first
// ones find out for all.
const maxRetryDelay = 3 * time.Second

// Reasons for the slowness of an endpoint, see Speed.
const (
	whyNoSamples = "no-samples"
	whyShared    = "shared"
	whyOwn       = "own"
	whyUsual     = "usual" // within the dead zone
	whyFading    = "fading"
)

// A speedLearner holds the state of a Table that learns the speed of endpoints.
type speedLearner struct {
	services  map[string]*serviceSpeed
	samplers  map[*Sampler]struct{} // of requests in flight
	checkedAt time.Time             // when samplers were last checked
	budget    speedBudget
	metrics   speedMetrics
}

// WithSpeedLearning makes the table learn how fast endpoints are and prefer those where a request
// will be done soonest. Without it no state about speeds is kept.
func WithSpeedLearning() Option {
	return func(t *Table) {
		if t.speed == nil {
			t.speed = &speedLearner{services: make(map[string]*serviceSpeed), samplers: make(map[*Sampler]struct{}), metrics: newSpeedMetrics(tally.NoopScope)}
		}
	}
}

// service returns the state of a service, which is created if it is not known yet.
func (l *speedLearner) service(name string) *serviceSpeed {
	s := l.services[name]
	if s == nil {
		s = &serviceSpeed{}
		l.services[name] = s
	}
	return s
}

// resetSpeed begins anew, at slowness 1, for an endpoint that is new or has restarted.
func (t *Table) resetSpeed(e *endpointState, id string, restarted bool) {
	if t.speed == nil {
		return
	}
	delay := time.Duration(hashPart(t.name, id) * float64(maxRetryDelay))
	e.speed = &endpointSpeed{slowness: 1, why: whyNoSamples, delay: delay}
	if restarted {
		e.speed.peersFrom = time.Now().Add(restartQuietTime)
	}
}

// learns reports whether the grant's request may tell about the speed of its endpoint: the table
// learns speeds, and the endpoint has not restarted since.
func (g *Grant) learns() bool {
	if g.table.speed == nil || g.state.speed == nil || g.released {
		return false
	}
	return g.endpoint.StartedMs == g.state.StartedMs || g.startedMs() == g.state.StartedMs
}

// speedCell returns the cells of the grant's request, see serviceSpeed.cell. What the endpoint ran
// during the request is about the mean of what it ran at the start and runs now.
func (g *Grant) speedCell(kind speedKind, size int) (own, usual *speedCell) {
	load := (g.load + max(g.state.total()-1, 0)) / 2
	return g.table.speed.service(g.endpoint.Service).cell(kind, load, g.state.Slots, size)
}

// recordSpeed records that something took the time d.
func (g *Grant) recordSpeed(kind speedKind, d time.Duration, size int, now time.Time) {
	if !g.learns() || d <= 0 {
		return
	}
	x, speed := math.Log(d.Seconds()), g.state.speed
	cell, usual := g.speedCell(kind, size)
	x -= g.table.speed.service(g.endpoint.Service).level
	if usual.trained() {
		speed.add(x-usual.mean, now)
	}
	if speed.why != whyFading { // else relative is no longer what the endpoint is known for
		cell.add(x - speed.relative)
	}
	g.table.speed.metrics.samples[kind].Inc(1)
}

// add records a sample of this process.
func (s *endpointSpeed) add(x float64, now time.Time) {
	x = min(max(x, logMinSlowness), logMaxSlowness)
	s.peers.settle(x, now)
	s.own.add(x, 1, now)
	s.news.add(x, 1, now)
}

// RecordFirstEvent records the time from sending the request, with a prompt of some tokens, to the
// first event.
func (g *Grant) RecordFirstEvent(d time.Duration, promptTokens int) {
	g.recordLocked(speedFirstEvent, d, promptTokens)
}

// RecordPace records the mean time from one event to the next.
func (g *Grant) RecordPace(perEvent time.Duration) { g.recordLocked(speedPace, perEvent, 0) }

// RecordResponse records the time from sending the request to its complete response, which is not
// a stream.
func (g *Grant) RecordResponse(d time.Duration, promptTokens int) {
	g.recordLocked(speedResponse, d, promptTokens)
}

func (g *Grant) recordLocked(kind speedKind, d time.Duration, size int) {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	g.recordSpeed(kind, d, size, time.Now())
}

// RecordErrorResponse records that the endpoint answered with an error of its own. However fast it
// was, it counts as slow, as requests would else go where they fail.
func (g *Grant) RecordErrorResponse() {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	if g.learns() {
		g.state.speed.add(logMaxSlowness, time.Now())
		g.table.speed.metrics.errors.Inc(1)
	}
}

// refresh computes the slowness of all endpoints of a service from their estimates.
func (s *serviceSpeed) refresh(endpoints []*endpointState, now time.Time) {
	s.refreshedAt = now
	usable := s.adjustLevel(endpoints)
	s.values = s.values[:0]
	for _, e := range endpoints {
		if !e.Draining {
			s.values = append(s.values, e.speed.estimate(now))
		}
	}
	usual := median(s.values)
	s.level += usual
	s.slow, s.avoided, s.limited = 0, 0, 0
	for _, e := range endpoints {
		e.speed.shift(usual)
		e.speed.refresh(usual, now)
		e.speed.limit.update(e.speed.slowness, e.total(), e.Slots, now)
		if e.speed.limit.requests(e.Slots) < e.Slots {
			s.limited++
		}
		e.speed.avoided, e.speed.trial = false, false
		if e.Draining || e.speed.slowness <= 1 {
			continue
		}
		s.slow++
		e.speed.avoided = e.speed.slowness > avoidedSlowness
		e.speed.trial = e.speed.why == whyFading
		if e.speed.avoided || e.speed.trial {
			s.avoided++
		}
	}
	if float64(s.avoided) <= maxAvoidedPart*float64(usable) {
		return
	}
	s.avoided = 0
	for _, e := range endpoints {
		e.speed.avoided, e.speed.trial = false, false
	}
}

// adjustLevel moves what most endpoints show from the estimates of this process to the level of
// the service. Where peers have told about an endpoint, only what is beyond that counts. It returns
// how many endpoints may be used.
func (s *serviceSpeed) adjustLevel(endpoints []*endpointState) (usable int) {
	s.values = s.values[:0]
	for _, e := range endpoints {
		if e.Draining {
			continue
		}
		usable++
		if e.speed.own.weight > 0 {
			s.values = append(s.values, e.speed.own.mean-e.speed.peers.mean)
		}
	}
	if len(s.values) < min(minLevelEndpoints, usable) {
		return usable
	}
	shift := median(s.values)
	s.level += shift
	for _, e := range endpoints {
		e.speed.own.shift(shift)
		e.speed.news.shift(shift)
	}
	return usable
}

// estimate returns the logarithm of the slowness as far as it counts. It is that which all
// processes have measured, or what this one has if that is clearly different.
func (s *endpointSpeed) estimate(now time.Time) float64 {
	mean, strength := combine(&s.own, &s.peers, now, s.delay)
	s.strength, s.blend = strength, 0
	if s.own.weight > 0 && math.Abs(s.own.mean-mean) >= logOwnDeviation {
		s.blend = min(s.own.recent(now)/minSpeedSamples, 1)
	}
	s.value = mean*strength + s.blend*(s.own.mean-mean*strength)
	return s.value
}

// shift makes a slowness the usual one.
func (s *endpointSpeed) shift(usual float64) {
	s.own.shift(usual)
	s.peers.shift(usual)
	s.news.shift(usual)
}

// refresh computes the slowness relative to the usual estimate of the service.
func (s *endpointSpeed) refresh(usual float64, now time.Time) {
	s.relative = min(max(s.value-usual, logMinSlowness), logMaxSlowness)
	switch {
	case s.weight() == 0:
		s.slowness, s.why = 1, whyNoSamples
		return
	case math.Abs(s.relative) < logDeadZone:
		s.slowness, s.why = 1, whyUsual
		return
	case s.blend > 0.5:
		s.why = whyOwn
	case s.fading(now):
		s.why = whyFading
	default:
		s.why = whyShared
	}
	s.slowness = math.Exp(s.relative)
}

// weight returns the number of samples of all processes.
func (s *endpointSpeed) weight() float64 { return s.own.weight + s.peers.weight }

// latest returns the time of the latest sample.
func (s *endpointSpeed) latest() time.Time {
	if s.own.at.After(s.peers.at) {
		return s.own.at
	}
	return s.peers.at
}

// fading reports whether the samples have grown old.
func (s *endpointSpeed) fading(now time.Time) bool { return now.Sub(s.latest()) > speedHold+s.delay }

// median returns the median of values, which it sorts, or 0.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	n := len(values)
	return (values[(n-1)/2] + values[n/2]) / 2
}

func refreshInterval(endpoints int) time.Duration {
	return min(max(speedRefreshInterval, time.Duration(endpoints)*speedRefreshPerEndpoint), maxSpeedRefreshInterval)
}

// refreshSpeeds brings the slowness of a service's endpoints up to date.
func (t *Table) refreshSpeeds(name string, svc *service, now time.Time) {
	if t.speed == nil {
		return
	}
	t.checkLate(now)
	if s := t.speed.service(name); now.Sub(s.refreshedAt) >= refreshInterval(len(svc.endpoints)) {
		s.refresh(svc.endpoints, now)
		t.speed.report()
	}
}

// slowness returns how many times as long as at a typical endpoint of the service a request takes.
func (e *endpointState) slowness() float64 {
	if e.speed == nil {
		return 1
	}
	return e.speed.slowness
}

// expectedTime returns the time until a request that is sent to the endpoint is done, in units of
// a typical request and less one, if it has a load, in requests.
func (e *endpointState) expectedTime(load float64) float64 {
	if slowness := e.slowness(); slowness != 1 {
		return (load+1)*slowness - 1
	}
	return load
}

// avoidSlow removes the endpoints that are avoided, or run as many requests as they run well, from
// the candidates if another one has an idle slot.
func avoidSlow(candidates []candidate) []candidate {
	avoided := func(c candidate) bool {
		s := c.endpoint.speed
		return s != nil && (s.avoided || s.trial && c.endpoint.total() > 0 || c.endpoint.pastLimit())
	}
	free := func(c candidate) bool { return !avoided(c) && c.endpoint.total() < c.endpoint.Slots }
	if !slices.ContainsFunc(candidates, free) {
		return candidates
	}
	return slices.DeleteFunc(candidates, avoided)
}

// batchCandidate returns an endpoint as a candidate for a batch item. Endpoints with the most idle
// slots are preferred, and among these slower ones, which leaves fast ones to online requests. An
// item that is urgent goes where it will be done soonest, and any item to one that is avoided last.
func batchCandidate(e *endpointState, urgent bool) candidate {
	weight := e.slowness()
	if urgent || weight > avoidedSlowness {
		weight = 1 / weight
	}
	return candidate{e, -weight * float64(e.Slots-e.total()), weight}
}

// A Speed is how fast an endpoint is, as this process sees it.
type Speed struct {
	Endpoint string
	Service  string
	// Slowness is how many times as long as at a typical endpoint of the service a request takes.
	Slowness float64
	// Avoided reports whether online requests are sent to the endpoint only if no other has an
	// idle slot.
	Avoided bool
	Weight  float64       // of the samples, in samples
	Age     time.Duration // of the latest sample
	Limit   int           // how many requests the endpoint runs well, at most its slots
	// Why is what Slowness follows from: "shared" samples of all processes, "own" samples that
	// differ from those, "fading" ones that grow old, "no-samples", or "usual" for an endpoint
	// that is near the median.
	Why string
}

// Speeds returns the speed of each endpoint, sorted by service and endpoint, or nil if speeds are
// not learned.
func (t *Table) Speeds() []Speed {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.speed == nil {
		return nil
	}
	now := time.Now()
	var out []Speed
	for name, svc := range t.services {
		t.refreshSpeeds(name, svc, now)
		for _, e := range svc.endpoints {
			s := Speed{Endpoint: e.ID, Service: name, Slowness: e.speed.slowness, Avoided: e.speed.avoided, Weight: e.speed.weight(), Limit: e.speed.limit.requests(e.Slots), Why: e.speed.why}
			if s.Weight > 0 {
				s.Age = now.Sub(e.speed.latest())
			}
			out = append(out, s)
		}
	}
	slices.SortFunc(out, compareSpeeds)
	return out
}
