// Package cicadafreshness tracks whether the configuration in force at this process was recently
// confirmed to be the newest one, so that a revoked key is not accepted for longer than a limit,
// even by a process that is partitioned, was suspended, or is rejected by the store.
//
// The coordinator reads the store at intervals. The other processes learn its confirmation and
// its age through a tree over the live members: each queries its parent and includes the time of its
// own clock. The reply echoes this time and adds the version and the age of the parent's
// confirmation. The sender's confirmation dates from the time of its query minus this age. Clocks of
// two processes are therefore never compared, and any delay of a message or suspension of a process
// makes the confirmation look older, never younger. If a parent has no recent confirmation, other
// members are queried, and finally the store is read.
//
// # Usage
//
//	tracker := cicadafreshness.New("entry-1", 4*time.Second, send,
//		cicadafreshness.WithMembers(liveNames), cicadafreshness.WithCoordinator(coordinator),
//		cicadafreshness.WithRead(follower.Refresh), cicadafreshness.WithOnNewer(fetch))
//	tracker.SetVersion(config.Version())                  // in force
//	tracker.RecordRead(listed.Version(), listAskedAt)     // the store was asked then
//	tracker.Receive(message)
//	for range ticker.C { tracker.Tick() }                 // every TickInterval
//	if !tracker.Fresh() { ... refuse requests with keys ... }
//
// Times are those of cicadaclock.SinceBoot, which also counts suspensions.
package cicadafreshness

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"cicadalink.example/cicadakernel/cicadaclock"
)

const (
	// TickInterval is the time between calls of Tick.
	TickInterval = 100 * time.Millisecond
	// queryFraction and readFraction are the ages of a confirmation, as fractions of the limit, from
	// which candidates other than the parent are queried and the store is read. The former is
	// smaller, so that other members are queried before the store is read.
	queryFraction = 0.375
	readFraction  = 0.5
	// maxAge is the greatest age that a reply may state.
	maxAge = time.Hour
)

// A Tracker tracks the confirmation of the configuration in force. It is safe for concurrent use.
type Tracker struct {
	self        string
	limit       time.Duration
	send        func(member string, m Message)
	clock       func() time.Duration
	members     func() []string
	coordinator func() string
	read        func()
	onNewer     func(version int64)
	log         hclog.Logger
	metrics     metrics
	incarnation uint64
	fanOut      int
	// confirmedAt is the time of the confirmation of the version in force, or never.
	confirmedAt atomic.Int64

	mu            sync.Mutex
	confirmations confirmations
	queries       queries
	reads         reads
	newer         newerReport
	level         int // of this process in the tree
	wasFresh      bool
}

// An Option configures a Tracker.
type Option func(*Tracker)

// WithClock sets the clock, which is cicadaclock.SinceBoot otherwise. It must also count the time
// during which the machine was suspended.
func WithClock(clock func() time.Duration) Option { return func(t *Tracker) { t.clock = clock } }

// WithMembers sets the function that returns the sorted names of the live members.
func WithMembers(members func() []string) Option { return func(t *Tracker) { t.members = members } }

// WithCoordinator sets the function that returns the name of the member that reads the store at
// intervals, or "" if it is unknown.
func WithCoordinator(coordinator func() string) Option {
	return func(t *Tracker) { t.coordinator = coordinator }
}

// WithRead sets the function that makes this process read the configuration from the store. It must
// not block. The caller reports the result with RecordRead.
func WithRead(read func()) Option { return func(t *Tracker) { t.read = read } }

// WithOnNewer sets the function that is called when a peer has a version newer than the one in
// force. It must not block.
func WithOnNewer(onNewer func(version int64)) Option {
	return func(t *Tracker) { t.onNewer = onNewer }
}

// WithLog sets the log.
func WithLog(log hclog.Logger) Option { return func(t *Tracker) { t.log = log } }

// WithScope sets the scope of the metrics.
func WithScope(scope tally.Scope) Option {
	return func(t *Tracker) { t.metrics = newMetrics(scope) }
}

// New returns a Tracker without a confirmation for the named process. send sends a message to
// another member without blocking, and may lose it.
func New(self string, limit time.Duration, send func(member string, m Message), opts ...Option) *Tracker {
	t := &Tracker{
		self: self, limit: limit, send: send, clock: cicadaclock.SinceBoot,
		members: func() []string { return nil }, coordinator: func() string { return "" },
		read: func() {}, onNewer: func(int64) {}, log: hclog.NewNullLogger(), metrics: newMetrics(tally.NoopScope),
		incarnation: rand.Uint64(), fanOut: defaultFanOut,
		confirmations: newConfirmations(), reads: reads{overdueSince: never, interval: readInterval}, newer: newerReport{last: never},
	}
	t.confirmedAt.Store(int64(never))
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// RecordRead records that the store was asked at askedAt and that the newest version was version.
// A version older than one that is known confirms nothing.
func (t *Tracker) RecordRead(version int64, askedAt time.Duration) {
	now := t.clock()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmations.add(confirmation{version: version, at: min(askedAt, now)})
	t.publish()
}

// SetVersion records the version of the configuration that is in force at this process.
func (t *Tracker) SetVersion(version int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmations.setVersion(version)
	t.publish()
}

// publish makes the confirmation of the version in force available without the lock.
func (t *Tracker) publish() {
	at := t.confirmations.inForce.at
	if t.confirmations.inForce.version <= 0 {
		at = never
	}
	t.confirmedAt.Store(int64(at))
}

// Age returns the age of the confirmation of the version in force, if there is one.
func (t *Tracker) Age() (time.Duration, bool) {
	at := time.Duration(t.confirmedAt.Load())
	if at == never {
		return 0, false
	}
	return max(t.clock()-at, 0), true
}

// Fresh reports whether the version in force was confirmed to be the newest within the limit.
func (t *Tracker) Fresh() bool {
	age, ok := t.Age()
	return ok && age <= t.limit
}

// Tick queries other members and requests reads of the store as they become due. It must be
// called every TickInterval.
func (t *Tracker) Tick() {
	now := t.clock()
	t.mu.Lock()
	queryDue := t.queries.due(now)
	t.mu.Unlock()
	if queryDue {
		t.query(newTree(t.self, t.coordinator(), t.members(), t.fanOut))
	}
	t.mu.Lock()
	readDue := t.reads.due(t.confirmed(readFraction, now), readDelay(t.self, t.level, t.limit), now)
	t.mu.Unlock()
	if readDue {
		t.metrics.readsRequested.Inc(1)
		t.read()
	}
	t.reportChange()
}

// confirmed reports whether the best confirmation is not older than a fraction of the limit. The
// caller must hold t.mu.
func (t *Tracker) confirmed(fraction float64, now time.Duration) bool {
	return t.confirmations.best().within(time.Duration(fraction*float64(t.limit)), now)
}

// query sends a query to the next candidate, if there is one.
func (t *Tracker) query(tree tree) {
	now := t.clock()
	t.mu.Lock()
	t.level = tree.level()
	member, ok := t.queries.choose(tree, now)
	if ok {
		t.queries.record(member, now)
	}
	t.mu.Unlock()
	if ok {
		t.metrics.queriesSent.Inc(1)
		t.send(member, Message{From: t.self, Query: &Query{Incarnation: t.incarnation, Stamp: now}})
	}
}

// reportChange logs when the configuration in force begins or ceases to be confirmed.
func (t *Tracker) reportChange() {
	fresh := t.Fresh()
	t.mu.Lock()
	changed := fresh != t.wasFresh
	t.wasFresh = fresh
	version := t.confirmations.inForce.version
	t.mu.Unlock()
	switch {
	case !changed:
	case fresh:
		t.log.Info("configuration confirmed", "version", version)
	default:
		t.metrics.expired.Inc(1)
		t.log.Warn("configuration not confirmed within the limit", "version", version, "limit", t.limit.String())
	}
}

// Receive handles a message of another process. Messages of other kinds are ignored.
func (t *Tracker) Receive(m Message) {
	if m.Reply != nil {
		t.receiveReply(m.From, *m.Reply)
	}
	if m.Query != nil {
		t.metrics.repliesSent.Inc(1)
		reply := t.reply(*m.Query)
		t.send(m.From, Message{From: t.self, Reply: &reply})
	}
}

// reply returns the best confirmation, which may be of a version that is not in force here yet.
func (t *Tracker) reply(q Query) Reply {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Reply{Query: q}
	best := t.confirmations.best()
	if age, ok := best.age(t.clock()); ok && age <= maxAge {
		r.Version, r.Age = best.version, age
	}
	return r
}

// receiveReply records the confirmation of a reply and schedules the next query.
func (t *Tracker) receiveReply(from string, r Reply) {
	now := t.clock()
	t.mu.Lock()
	if r.Query.Incarnation != t.incarnation || !t.queries.take(from, r.Query.Stamp) {
		t.mu.Unlock()
		t.metrics.repliesIgnored.Inc(1)
		return
	}
	before := t.confirmations.best().at
	if r.Age >= 0 && r.Age <= maxAge {
		t.confirmations.add(confirmation{version: r.Version, at: r.Query.Stamp - r.Age})
		t.publish()
	}
	advanced := t.confirmations.best().at >= before+minAdvance
	t.queries.answered(from, r.Query.Stamp, now, advanced, t.confirmed(queryFraction, now))
	newer := r.Version > t.confirmations.inForce.version && t.newer.due(r.Version, now)
	t.mu.Unlock()
	if newer {
		t.onNewer(r.Version)
	}
}
