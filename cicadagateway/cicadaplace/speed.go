package cicadaplace

import (
	"math"
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
	speedDeadZone = 1.3
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
)

var (
	logMinSlowness  = math.Log(minSlowness)
	logMaxSlowness  = math.Log(maxSlowness)
	logDeadZone     = math.Log(speedDeadZone)
	logOwnDeviation = math.Log(ownDeviation)
)

// An endpointSpeed is what is known about the speed of an endpoint. It is nil if speeds are not
// learned.
type endpointSpeed struct {
	own   speedEstimate // from this process's samples
	peers speedEstimate // from those of peers
	news  speedEstimate // from the own samples that peers have not been told
	told  float64       // the mean that peers were told last

	value    float64 // see estimate
	blend    float64 // by how much the own samples count in it instead of those of all
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
