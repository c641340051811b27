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
	// speedRefreshInterval is the interval at which the slowness of a service's endpoints is computed.
	// It grows with the number of endpoints, as the cost does, up to maxSpeedRefreshInterval.
	speedRefreshInterval    = 100 * time.Millisecond
	speedRefreshPerEndpoint = time.Millisecond
	maxSpeedRefreshInterval = 500 * time.Millisecond
	// maxSlowness and minSlowness bound the slowness of an endpoint.
	maxSlowness = 8.0
	minSlowness = 1.0 / 3
	// speedDeadZone is the ratio to the median within which an endpoint counts as typical. Without
	// it, noise would order endpoints of the same speed.
	speedDeadZone = 1.3
	// avoidedSlowness is the slowness from which an endpoint is avoided, and maxAvoidedFraction the
	// largest fraction of a service's endpoints that are.
	avoidedSlowness    = 2.0
	maxAvoidedFraction = 1.0 / 3
	// minLevelEndpoints is the number of endpoints with samples that a process needs to distinguish
	// load from the slowness of an endpoint.
	minLevelEndpoints = 3
	// ownDeviation is the ratio between the estimates of this process and of all processes from which
	// an endpoint counts as slow, or fast, for this process alone.
	ownDeviation = 1.5
	// lateFactor is the multiple of the baseline time after which a request that still waits gives a
	// sample. It gives another one each time its wait has doubled.
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
	own      speedEstimate // from this process's samples
	peers    speedEstimate // from those of peers
	unsent   speedEstimate // from this process's samples that have not been sent to peers
	sentMean float64       // the mean that was last sent to peers

	value    float64 // see estimate
	blend    float64 // weight of this process's samples in value, from 0 to 1
	relative float64 // logarithm of the slowness relative to the median
	slowness float64 // relative, beyond the dead zone; 1 within it
	avoided  bool
	// trial is set while the endpoint was slow and has had no samples for some time. It then gets
	// one request at a time.
	trial bool
	why   string
	limit loadLimit
	// ignorePeersUntil is the end of restartQuietTime after a restart of the endpoint.
	ignorePeersUntil time.Time
	// retryDelay is added to estimateHoldTime, so that processes try a slow endpoint at different
	// times.
	retryDelay time.Duration
}

// restartQuietTime is how long samples of peers are ignored after the restart of an endpoint, since
// they may be about the process that has ended.
const restartQuietTime = time.Second

// maxRetryDelay is the time over which processes spread their retries of a slow endpoint, so that
// the others learn the result from the first ones.
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

// resetSpeed sets the slowness of an endpoint that is new or has restarted to 1, without samples.
func (t *Table) resetSpeed(e *endpointState, id string, restarted bool) {
	if t.speed == nil {
		return
	}
	delay := time.Duration(hashFraction(t.name, id) * float64(maxRetryDelay))
	e.speed = &endpointSpeed{slowness: 1, why: whyNoSamples, retryDelay: delay}
	if restarted {
		e.speed.ignorePeersUntil = time.Now().Add(restartQuietTime)
	}
}

// learns reports whether the grant's request gives samples of its endpoint: the table learns speeds,
// and the endpoint has not restarted since the grant.
func (g *Grant) learns() bool {
	if g.table.speed == nil || g.state.speed == nil || g.released {
		return false
	}
	return g.endpoint.StartedMs == g.state.StartedMs || g.startedMs() == g.state.StartedMs
}

// speedCell returns the cells of the grant's request, see serviceSpeed.cell. The load during the
// request is approximated by the mean of the loads at the grant and now.
func (g *Grant) speedCell(kind speedKind, size int) (own, baseline *speedCell) {
	load := (g.load + max(g.state.total()-1, 0)) / 2
	return g.table.speed.service(g.endpoint.Service).cell(kind, load, g.state.Slots, size)
}

// recordSpeed records a sample of a kind that took the time d, for a prompt of size tokens. The
// caller must hold the table's lock.
func (g *Grant) recordSpeed(kind speedKind, d time.Duration, size int, now time.Time) {
	if !g.learns() || d <= 0 {
		return
	}
	x, speed := math.Log(d.Seconds()), g.state.speed
	cell, baseline := g.speedCell(kind, size)
	x -= g.table.speed.service(g.endpoint.Service).level
	if baseline.trained() {
		speed.add(x-baseline.mean, now)
	}
	if speed.why != whyFading { // otherwise relative is outdated
		cell.add(x - speed.relative)
	}
	g.table.speed.metrics.samples[kind].Inc(1)
}

// add records a sample of this process, the logarithm x of a ratio to the baseline.
func (s *endpointSpeed) add(x float64, now time.Time) {
	x = min(max(x, logMinSlowness), logMaxSlowness)
	s.peers.settle(x, now)
	s.own.add(x, 1, now)
	s.unsent.add(x, 1, now)
}

// RecordFirstEvent records the time from sending the request, with a prompt of some tokens, to the
// first event.
func (g *Grant) RecordFirstEvent(d time.Duration, promptTokens int) {
	g.lockAndRecord(speedFirstEvent, d, promptTokens)
}

// RecordPace records the mean time from one event to the next.
func (g *Grant) RecordPace(perEvent time.Duration) { g.lockAndRecord(speedPace, perEvent, 0) }

// RecordResponse records the time from sending the request to its complete response, which is not
// a stream.
func (g *Grant) RecordResponse(d time.Duration, promptTokens int) {
	g.lockAndRecord(speedResponse, d, promptTokens)
}

// lockAndRecord locks the table and records a sample.
func (g *Grant) lockAndRecord(kind speedKind, d time.Duration, size int) {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	g.recordSpeed(kind, d, size, time.Now())
}

// RecordErrorResponse records that the endpoint answered with an error of its own. It counts as a
// slow response regardless of its time, since an endpoint that fails fast must not attract requests.
func (g *Grant) RecordErrorResponse() {
	g.table.mu.Lock()
	defer g.table.mu.Unlock()
	if g.learns() {
		g.state.speed.add(logMaxSlowness, time.Now())
		g.table.speed.metrics.errors.Inc(1)
	}
}
