// Package cicadapeer distributes the state of each process of a deployment to all
// others. A process sends its state by UDP when it changes and as a heartbeat: its
// requests at each endpoint, whether it reaches the store, and the version of the
// configuration that it uses. Every message holds the whole state, so that the next
// message makes up for a lost one.
//
// # Usage
//
//	group, err := cicadapeer.New(ctx, self, log, localState, onState, onMembership)
//	group.SetMembers(members)
//	group.Notify() // the state has changed
//	for _, p := range group.Live(cicadapeer.RoleOwner) { ... }
package cicadapeer

import (
	"context"
	"errors"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"cicadalink.example/cicadakernel/cicadaretry"
	"cicadalink.example/cicadakernel/cicadatask"
)

const (
	heartbeatInterval = 250 * time.Millisecond
	// failureTimeout is the time without messages after which a member is considered
	// failed.
	failureTimeout = 1200 * time.Millisecond
	// stallLimit is how long the sender may make no progress.
	stallLimit = 10 * time.Second
	// restartTimeout is the time without messages from an incarnation after which one
	// with a lower number replaces it.
	restartTimeout = 2 * heartbeatInterval
	// minSendInterval is the shortest interval between two messages of a member.
	minSendInterval = 3 * time.Millisecond
	// maxReceiveRate limits the messages per second that a member receives from all
	// others together, on average.
	maxReceiveRate = 3000
	// sendBurst is the number of messages that a member may send above its average rate.
	sendBurst = 8
	// transitTime is how long a message is typically under way.
	transitTime = 3 * time.Millisecond
	// stalenessWeight is the weight of the newest message in Staleness.
	stalenessWeight = 1.0 / 64
	// removalTimeout is the time after which a member that sends no messages is removed.
	// Until then, messages are sent to it.
	removalTimeout = time.Minute
)

type memberState struct {
	state            State
	lastSeen         time.Time // directly or by relay
	lastSeenDirectly time.Time
	live             bool
}

func (s *memberState) seenDirectly(now time.Time) bool {
	return now.Sub(s.lastSeenDirectly) <= failureTimeout
}

// supersededBy reports whether state replaces the known state of a member. An
// incarnation with a lower number replaces the known one once that has sent no messages
// for restartTimeout, as the clock from which incarnations are numbered may have been
// set back in between. A relayed state of another incarnation does not replace one that
// was seen recently, as it may be an old state that the relaying member has not yet
// replaced.
func (s *memberState) supersededBy(state State, direct bool, now time.Time) bool {
	switch {
	case state.Incarnation == s.state.Incarnation:
		return state.Sequence > s.state.Sequence
	case state.Incarnation > s.state.Incarnation && direct:
		return true
	}
	return now.Sub(s.lastSeen) > restartTimeout
}

// A memberAddress is the address of a member and its parsed form.
type memberAddress struct {
	text string
	udp  *net.UDPAddr
	role Role
}

// A Group is one member's view of all members.
type Group struct {
	mu          sync.Mutex
	conn        *net.UDPConn
	listen      string // the local address, which others may know by another one
	self        Member
	incarnation int64
	startedAt   time.Time     // of this incarnation
	clockLead   time.Duration // of the wall clock on the monotonic clock since startedAt
	// confirmedFrom is the earliest SentAt of this member that confirms anything, see checkClocks.
	confirmedFrom uint64
	rosterSentAt  time.Time
	sentRoster    []RosterEntry // as this member's owner gave it
	sequence      uint64
	addresses     map[string]memberAddress
	members       map[string]*memberState
	missedBy      map[string]int // live members that do not receive the named member directly
	localState    func() State
	onState       func(State)
	onMembership  func()
	onMessage     func([]byte)
	log           hclog.Logger
	metrics       metrics
	notify        chan struct{}
	notifiedAt    atomic.Int64  // Unix nanoseconds of the first change not sent yet, or 0
	staleness     time.Duration // moving average, see Staleness
	wg            cicadatask.Group
}

// An Option configures a Group.
type Option func(*Group)

// WithScope sets the scope of the metrics.
func WithScope(scope tally.Scope) Option {
	return func(g *Group) { g.metrics = newMetrics(scope) }
}

// WithOnMessage sets the function that is called with each message that another member has
// sent by SendTo. It must not keep the slice.
func WithOnMessage(onMessage func([]byte)) Option {
	return func(g *Group) { g.onMessage = onMessage }
}

// WithListen sets the local address to listen on, if others reach the member at another one.
func WithListen(address string) Option {
	return func(g *Group) { g.listen = address }
}

// New starts listening on the address of self, unless WithListen sets another, and sends the
// state of self until ctx is done. localState returns that state. onState is called with each new state of another
// member, and onMembership when a member joins or leaves, restarts, or changes whether it
// reaches the store or is leaving.
func New(ctx context.Context, self Member, log hclog.Logger, localState func() State, onState func(State), onMembership func(), opts ...Option) (*Group, error) {
	startedAt := time.Now()
	g := &Group{
		listen: self.Address, self: self, incarnation: startedAt.UnixNano(), startedAt: startedAt,
		addresses: make(map[string]memberAddress), members: make(map[string]*memberState), missedBy: make(map[string]int),
		localState: localState, onState: onState, onMembership: onMembership, log: log, notify: make(chan struct{}, 1),
		metrics: newMetrics(tally.NoopScope), onMessage: func([]byte) {},
	}
	for _, opt := range opts {
		opt(g)
	}
	address, err := net.ResolveUDPAddr("udp4", g.listen)
	if err != nil {
		return nil, merry.Errorf("peer address: %w", err)
	}
	if g.conn, err = net.ListenUDP("udp4", address); err != nil {
		return nil, merry.Errorf("listen for peers: %w", err)
	}
	g.wg.Go(func() { g.receive() })
	g.wg.Go(func() {
		<-ctx.Done()
		_ = g.conn.Close()
	})
	g.wg.Go(func() { g.send(ctx) })
	return g, nil
}

// Wait waits until the group's goroutines have returned.
func (g *Group) Wait() { g.wg.Wait() }

// SetMembers adds members to send to. Members whose messages are received are added
// automatically.
func (g *Group) SetMembers(members []Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range members {
		g.setAddress(m)
	}
}

func (g *Group) setAddress(m Member) {
	if m.Name == g.self.Name || g.addresses[m.Name].text == m.Address {
		return
	}
	address, err := net.ResolveUDPAddr("udp4", m.Address)
	if err != nil {
		g.log.Warn("invalid peer address ignored", "peer", m.Name, "address", m.Address, "error", err)
		return
	}
	g.log.Info("peer address set", "peer", m.Name, "address", m.Address)
	g.addresses[m.Name] = memberAddress{text: m.Address, udp: address, role: m.Role}
}

// Notify requests that the state be sent soon.
func (g *Group) Notify() {
	g.notifiedAt.CompareAndSwap(0, time.Now().UnixNano())
	select {
	case g.notify <- struct{}{}:
	default:
	}
}

func (g *Group) send(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	limiter := rate.NewLimiter(rate.Inf, sendBurst)
	watch := cicadatask.NewWatch(ctx, "sender of peer states", stallLimit)
	for {
		watch.Progress()
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.expire()
		case <-g.notify:
		}
		if limiter.Wait(ctx) != nil {
			return // ctx is done
		}
		limiter.SetLimit(sendRate(g.sendState()))
		if !cicadaretry.Sleep(ctx, minSendInterval) {
			return
		}
	}
}

// sendRate returns the average rate of messages of a member that sends to n others.
func sendRate(n int) rate.Limit {
	perSecond := float64(maxReceiveRate) / float64(max(n, 1))
	return rate.Limit(max(perSecond, 1/heartbeatInterval.Seconds()))
}

// Staleness returns how old the states of other members are on average when they differ
// from the current ones.
func (g *Group) Staleness() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return transitTime + g.staleness
}

// sendState sends the state to all known members and returns their number.
func (g *Group) sendState() int {
	notifiedAt := g.notifiedAt.Swap(0)
	state := g.localState()
	if notifiedAt != 0 {
		state.SendDelay = uint16(min(max(time.Now().UnixNano()-notifiedAt, 0)/int64(time.Millisecond), math.MaxUint16))
	}
	g.mu.Lock()
	state = g.stamp(state, time.Now())
	addresses := make([]*net.UDPAddr, 0, len(g.addresses))
	for _, a := range g.addresses {
		addresses = append(addresses, a.udp)
	}
	g.mu.Unlock()
	message, cut, err := encodeState(state)
	if err != nil {
		g.log.Error("failed to encode peer state", "error", err)
		return len(addresses)
	}
	if cut {
		g.metrics.cut.Inc(1)
	}
	for _, a := range addresses {
		if _, err := g.conn.WriteToUDP(message, a); err != nil {
			g.log.Debug("failed to send peer state", "address", a.String(), "error", err)
		}
	}
	g.metrics.recordSent(len(message), len(addresses))
	return len(addresses)
}

// stamp adds to a state what identifies it and what this member knows of the others. The caller
// must hold g.mu.
func (g *Group) stamp(state State, now time.Time) State {
	g.sequence++
	state.Member, state.Incarnation, state.Sequence, state.SentAt = g.self, g.incarnation, g.sequence, g.sinceStart(now)
	state.NotReceived, state.Relayed = g.relayState(now)
	state.Roster = g.nextRoster(state.Roster, now)
	return state
}

func (g *Group) receive() {
	buf := make([]byte, maxDatagramSize)
	for {
		n, _, err := g.conn.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			g.log.Debug("failed to receive peer message", "error", err)
			continue
		}
		g.metrics.recordReceived(n)
		if isMap(buf[:n]) {
			g.onMessage(buf[:n])
			continue
		}
		var state State
		if err := cbor.Unmarshal(buf[:n], &state); err != nil {
			g.log.Warn("invalid peer message ignored", "error", err)
			continue
		}
		g.applyState(state, true)
		for _, relayed := range state.Relayed {
			g.applyState(relayed, false)
		}
	}
}

// applyState records the state of another member, received directly or by relay.
func (g *Group) applyState(state State, direct bool) {
	name := state.Member.Name
	if name == g.self.Name || name == "" {
		return
	}
	g.mu.Lock()
	old, now := g.members[name], time.Now()
	if old != nil && !old.supersededBy(state, direct, now) {
		g.mu.Unlock()
		return
	}
	if direct {
		delay := time.Duration(state.SendDelay) * time.Millisecond
		g.staleness += time.Duration(stalenessWeight * float64(delay-g.staleness))
	}
	next := &memberState{state: state, lastSeen: now, live: true}
	switch {
	case direct:
		next.lastSeenDirectly = now
	case old != nil:
		next.lastSeenDirectly, next.state.NotReceived = old.lastSeenDirectly, old.state.NotReceived
	}
	if old != nil && state.Roster == nil && old.state.Incarnation == state.Incarnation {
		next.state.Roster = old.state.Roster
	}
	changed := old == nil || !old.live || old.state.StoreUp != state.StoreUp || old.state.Leaving != state.Leaving ||
		old.state.Incarnation != state.Incarnation
	if old == nil || !old.live {
		g.log.Info("peer live", "peer", name, "incarnation", state.Incarnation)
	}
	if old != nil && old.live {
		g.countMissing(old.state.NotReceived, -1)
	}
	g.countMissing(next.state.NotReceived, 1)
	g.members[name] = next
	g.setAddress(state.Member)
	g.mu.Unlock()
	g.onState(state)
	if changed {
		g.onMembership()
	}
}

func (g *Group) expire() {
	g.mu.Lock()
	lost := false
	for name, s := range g.members {
		if s.live && time.Since(s.lastSeen) > failureTimeout {
			g.log.Warn("peer timed out", "peer", name, "age", time.Since(s.lastSeen).String())
			s.live, lost = false, true
			g.countMissing(s.state.NotReceived, -1)
		}
		if !s.live && time.Since(s.lastSeen) > removalTimeout {
			delete(g.members, name)
			delete(g.addresses, name)
		}
	}
	g.mu.Unlock()
	if lost {
		g.onMembership()
	}
}
