package cicadafreshness

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

const (
	testLimit      = 4 * time.Second
	heartbeat      = 250 * time.Millisecond
	failureTimeout = 1200 * time.Millisecond
	pollInterval   = 900 * time.Millisecond
	retryStore     = time.Second // until a follower tries again after a failed call
	followInterval = 50 * time.Millisecond
	catchUpDelay   = 200 * time.Millisecond
	sampleInterval = 20 * time.Millisecond
	udpHeader      = 28
)

// An event happens at a time of the simulation.
type event struct {
	at    time.Duration
	order int
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// A write is one of a configuration to the simulated store.
type write struct{ written, acked time.Duration }

// A fleet is a number of processes in virtual time, with a store whose writes make the versions
// 1, 2, and so on of the configuration.
type fleet struct {
	random *rand.Rand
	now    time.Duration
	queue  eventQueue
	order  int
	nodes  []*node
	writes []write // of version i+1

	storeDown    bool
	storeLatency time.Duration
	loss         float64 // of messages
	late         float64 // share of messages that take up to lateBy
	lateBy       time.Duration
	fanOut       int // of the tree
	// steady leaves out the messages by which members detect failures: all are known at once.
	steady bool
	// clock is that of a process, alter may change a message that a process receives, and dated
	// returns when a read counts from that was asked for at a time. They are replaced to show what
	// the check finds.
	clock func(*node) time.Duration
	alter func(*node, Message) Message
	dated func(n *node, askedAt time.Duration) time.Duration
	// violation is the first violation of the guarantee.
	violation string
}

// A node is a process of a fleet, with as much of a follower of the configuration as matters here.
type node struct {
	fleet     *fleet
	index     int
	name      string
	bootedAt  time.Duration // as an offset of its clock
	paused    time.Duration // time for which it was suspended in all
	pausedAt  time.Duration
	suspended bool
	dead      bool
	start     int      // number of starts
	backlog   []func() // what waits for a suspended process
	side      int      // processes on different sides do not exchange messages
	rejected  bool     // by the store
	noLink    map[int]bool

	tracker   *Tracker
	heard     []time.Duration
	peerUp    []bool
	storeUp   bool
	reading   bool
	refresh   bool
	readAt    time.Duration // when the last read ended
	watchedAt time.Duration
	version   int64
	reads     int
	requested int // reads that the Tracker asked for
	sent      int
	bytes     int // sent and received
}

// newSteadyFleet returns a fleet whose members know each other without messages.
func newSteadyFleet(n int) *fleet { return startFleet(1, n, true) }

func newFleet(seed uint64, n int) *fleet { return startFleet(seed, n, false) }

func startFleet(seed uint64, n int, steady bool) *fleet {
	f := &fleet{
		random: rand.New(rand.NewPCG(seed, 0)), steady: steady, fanOut: defaultFanOut, storeLatency: 20 * time.Millisecond,
		clock: func(n *node) time.Duration { return n.fleet.now + n.bootedAt },
		alter: func(_ *node, m Message) Message { return m },
		dated: func(_ *node, askedAt time.Duration) time.Duration { return askedAt },
	}
	f.write()
	for i := range n {
		n := &node{fleet: f, index: i, name: fmt.Sprintf("node-%03d", i), bootedAt: f.upTo(time.Hour), noLink: make(map[int]bool)}
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		n.startUp()
	}
	f.every(sampleInterval, f.check)
	return f
}

func (f *fleet) setFanOut(fanOut int) {
	f.fanOut = fanOut
	for _, n := range f.nodes {
		n.tracker.fanOut = fanOut
	}
}

func (f *fleet) upTo(d time.Duration) time.Duration {
	return time.Duration(f.random.Int64N(int64(d) + 1))
}

func (f *fleet) after(d time.Duration, run func()) {
	f.order++
	heap.Push(&f.queue, event{f.now + d, f.order, run})
}

func (f *fleet) every(d time.Duration, run func()) {
	f.after(d, func() {
		run()
		f.every(d, run)
	})
}

// run lets time pass.
func (f *fleet) run(d time.Duration) {
	end := f.now + d
	for len(f.queue) > 0 && f.queue[0].at <= end {
		e := heap.Pop(&f.queue).(event)
		f.now = e.at
		e.run()
	}
	f.now = end
}

// write writes a configuration. The store acknowledges it a little later.
func (f *fleet) write() {
	version := int64(len(f.writes) + 1)
	f.writes = append(f.writes, write{written: f.now, acked: f.now + f.upTo(50*time.Millisecond)})
	for _, n := range f.nodes {
		n.do(f.upTo(3*time.Second), func() { // by a watch
			if n.reachesStore() && n.storeUp {
				n.setVersion(version)
			}
		})
	}
}

// check looks for a process that takes a version for confirmed that was superseded more than the
// limit ago.
func (f *fleet) check() {
	for _, n := range f.nodes {
		n.check()
	}
}

func (n *node) check() {
	f := n.fleet
	if n.dead || n.suspended || f.violation != "" || !n.tracker.Fresh() {
		return
	}
	if next := int(n.version); next < len(f.writes) && f.writes[next].acked < f.now-testLimit {
		f.violation = fmt.Sprintf("%s has version %d at %s, version %d was acknowledged at %s", n.name, n.version, f.now, next+1, f.writes[next].acked)
	}
}

// do lets a process do something after d, if it is not started anew before. A suspended process
// does it when it resumes.
func (n *node) do(d time.Duration, run func()) {
	start := n.start
	n.fleet.after(d, func() { n.deliver(start, run) })
}

func (n *node) deliver(start int, run func()) {
	switch {
	case n.dead || n.start != start:
	case n.suspended:
		n.backlog = append(n.backlog, func() { n.deliver(start, run) })
	default:
		run()
		n.check()
	}
}

func (n *node) repeat(d time.Duration, run func()) {
	n.do(d, func() {
		run()
		n.repeat(d, run)
	})
}

func (n *node) now() time.Duration { return n.fleet.clock(n) }

func (n *node) startUp() {
	f := n.fleet
	n.start++
	n.dead, n.suspended, n.backlog = false, false, nil
	n.storeUp, n.reading, n.refresh, n.version = false, false, false, 0
	n.heard, n.peerUp = make([]time.Duration, len(f.nodes)), make([]bool, len(f.nodes))
	for i := range n.heard {
		n.heard[i] = never
	}
	n.tracker = New(n.name, testLimit, n.send, WithClock(n.now), WithMembers(n.members), WithCoordinator(n.coordinator),
		WithRead(n.readForTracker), WithOnNewer(func(int64) { n.do(catchUpDelay, n.requestRead) }))
	n.tracker.fanOut = f.fanOut
	n.do(f.upTo(TickInterval), func() { n.repeat(TickInterval, n.tracker.Tick) })
	if !f.steady {
		n.do(f.upTo(heartbeat), func() { n.repeat(heartbeat, n.sendState) })
	}
	n.repeat(followInterval, n.follow)
	n.requestRead()
}

func (n *node) kill() { n.dead = true }

// restart starts a process that is dead.
func (n *node) restart() {
	if n.dead {
		n.startUp()
	}
}

func (n *node) suspend() {
	if !n.suspended && !n.dead {
		n.suspended, n.pausedAt = true, n.fleet.now
	}
}

// resume lets a process go on. What has waited for it happens in any order, and a request may
// come before.
func (n *node) resume() {
	if !n.suspended || n.dead {
		return
	}
	n.suspended, n.paused = false, n.paused+n.fleet.now-n.pausedAt
	n.check()
	backlog := n.backlog
	n.backlog = nil
	for _, i := range n.fleet.random.Perm(len(backlog)) {
		backlog[i]()
	}
}

func (n *node) reaches(to *node) bool {
	return n.side == to.side && !n.noLink[to.index] && !to.noLink[n.index]
}

func (n *node) reachesStore() bool { return !n.fleet.storeDown && !n.rejected && n.side == 0 }

func (n *node) send(member string, m Message) {
	f := n.fleet
	b, err := cbor.Marshal(m)
	if err != nil {
		panic(err)
	}
	n.sent++
	n.bytes += len(b) + udpHeader
	i := slices.IndexFunc(f.nodes, func(n *node) bool { return n.name == member })
	if i < 0 || !n.reaches(f.nodes[i]) || f.random.Float64() < f.loss {
		return
	}
	delay := time.Millisecond + f.upTo(4*time.Millisecond)
	if f.random.Float64() < f.late {
		delay = f.upTo(f.lateBy)
	}
	to := f.nodes[i]
	to.do(delay, func() {
		to.bytes += len(b) + udpHeader
		var m Message
		if err := cbor.Unmarshal(b, &m); err != nil {
			panic(err)
		}
		to.tracker.Receive(f.alter(to, m))
	})
}

// sendState sends the state by which others know that this process is live.
func (n *node) sendState() {
	for _, to := range n.fleet.nodes {
		if to == n || to.dead || !n.reaches(to) {
			continue
		}
		up, version := n.storeUp, n.version
		to.do(time.Millisecond, func() {
			to.heard[n.index], to.peerUp[n.index] = n.fleet.now, up
			if version > to.version && to.version > 0 {
				to.do(catchUpDelay, to.requestRead)
			}
		})
	}
}

func (n *node) live(i int) bool {
	return n.fleet.steady || n.heard[i] != never && n.fleet.now-n.heard[i] <= failureTimeout
}

func (n *node) members() []string {
	var names []string
	for i, other := range n.fleet.nodes {
		if other != n && n.live(i) {
			names = append(names, other.name)
		}
	}
	return names
}

func (n *node) coordinator() string {
	for i, other := range n.fleet.nodes {
		if other == n && n.storeUp || other != n && n.live(i) && (n.peerUp[i] || n.fleet.steady) {
			return other.name
		}
	}
	return ""
}

// follow lists the configuration when the coordinator does so, and when the store is reached again.
func (n *node) follow() {
	f := n.fleet
	if f.now-n.watchedAt >= retryStore {
		n.watchedAt = f.now
		n.storeUp = n.storeUp && n.reachesStore()
	}
	wait := retryStore
	if n.coordinator() == n.name {
		wait = pollInterval
	} else if n.storeUp {
		return
	}
	if !n.reading && f.now-n.readAt >= wait {
		n.requestRead()
	}
}

// readForTracker reads the store as the Tracker asks for it.
func (n *node) readForTracker() {
	n.requested++
	n.requestRead()
}

// requestRead lets the follower list the configuration now, or again after a call in progress.
func (n *node) requestRead() {
	if n.reading {
		n.refresh = true
		return
	}
	n.reading, n.refresh = true, false
	n.reads++
	f := n.fleet
	askedAt := n.now()
	f.after(f.upTo(f.storeLatency), func() {
		ok, version := n.reachesStore(), int64(len(f.writes))
		n.do(f.upTo(f.storeLatency), func() { n.finishRead(ok, version, askedAt) })
	})
}

func (n *node) finishRead(ok bool, version int64, askedAt time.Duration) {
	n.reading = false
	n.storeUp = ok
	if ok {
		n.setVersion(version)
		n.tracker.RecordRead(version, n.fleet.dated(n, askedAt))
	}
	n.readAt = n.fleet.now
	if n.refresh && ok {
		n.requestRead()
	}
}

func (n *node) setVersion(version int64) {
	if version > n.version {
		n.version = version
		n.tracker.SetVersion(version)
	}
}

// stale returns the names of the live processes whose version is not confirmed.
func (f *fleet) stale() []string {
	var names []string
	for _, n := range f.nodes {
		if !n.dead && !n.suspended && !n.tracker.Fresh() {
			names = append(names, n.name)
		}
	}
	return names
}

// running returns the number of processes that are neither dead nor suspended.
func (f *fleet) running() int {
	count := 0
	for _, n := range f.nodes {
		if !n.dead && !n.suspended {
			count++
		}
	}
	return count
}

// reads returns the number of calls to the store by now.
func (f *fleet) reads() int {
	sum := 0
	for _, n := range f.nodes {
		sum += n.reads
	}
	return sum
}

// requested returns the number of reads that Trackers have asked for by now.
func (f *fleet) requested() int {
	sum := 0
	for _, n := range f.nodes {
		sum += n.requested
	}
	return sum
}

// assertFresh lets time pass, in which all live processes but the given ones must be fresh.
func (f *fleet) assertFresh(t *testing.T, d time.Duration, except ...*node) {
	t.Helper()
	for end := f.now + d; f.now < end; {
		f.run(sampleInterval)
		for _, n := range f.nodes {
			if !n.dead && !n.suspended && !slices.Contains(except, n) {
				age, ok := n.tracker.Age()
				assert.Assert(t, n.tracker.Fresh(), "%s at %s: confirmed %t, age %s", n.name, f.now, ok, age)
			}
		}
	}
	f.assertSound(t)
}

// assertSound checks that no process took a superseded version for confirmed.
func (f *fleet) assertSound(t *testing.T) {
	t.Helper()
	f.check()
	assert.Equal(t, f.violation, "")
}
