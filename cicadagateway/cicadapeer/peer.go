// Package cicadapeer keeps the processes of a deployment informed of each other.
// Each sends its state to all others by UDP, on change and as a heartbeat: what
// it has at each endpoint, whether it reaches the store, and the version of the
// configuration that it has in force. Every message is a whole state, so a lost
// one is made good by the next.
//
// # Usage
//
//	group, err := cicadapeer.New(ctx, "10.1.0.35:7660", self, log, state, received)
//	group.SetMembers(members)
//	group.Notify() // the state has changed
//	for _, p := range group.Live(cicadapeer.RoleOwner) { ... }
package cicadapeer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"
)

const (
	heartbeat = 250 * time.Millisecond
	// silence is how long a member may be silent before it counts as dead.
	silence = 1200 * time.Millisecond
	// restartSilence is how long an incarnation must have been silent before one
	// with a lower number replaces it.
	restartSilence = 2 * heartbeat
	// sendGap bounds how often a changing state is sent. It grows with the square
	// of the members beyond gapMembers, so that what each receives does not.
	sendGap    = 3 * time.Millisecond
	gapMembers = 20
	// forgetTime is how long a silent member is still sent to.
	forgetTime  = time.Minute
	maxDatagram = 60 << 10
)

// A Role is what a member does.
type Role uint8

// Roles of members.
const (
	RoleEntry Role = 1 + iota
	RoleOwner
)

// A Member is a process that can be reached.
type Member struct {
	Name    string `json:"name"`
	Role    Role   `json:"role"`
	Address string `json:"address"`
}

// A Load is what a member has at one endpoint.
type Load struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	Online   uint16
	Batch    uint16
}

// A State is what a member tells the others.
type State struct {
	_           struct{} `cbor:",toarray"`
	Member      Member
	Incarnation int64
	Sequence    uint64
	// StoreUp says that the member reaches the platform's store, which answered
	// it last StoreAge milliseconds before.
	StoreUp  bool
	StoreAge uint32
	// StoreSteady says that it has answered all along, for some seconds.
	StoreSteady bool
	// Leaving says that the member shuts down or is to be retired.
	Leaving       bool
	ConfigVersion int64
	// EndpointsAsOf is the store's version of the member's view of the
	// endpoints, and EndpointsDigest tells that view from others.
	EndpointsAsOf   int64
	EndpointsDigest uint64
	Loads           []Load
	// Missed names the known members that this one does not hear directly.
	Missed []string
	// Relayed are states of members that some other member does not hear.
	Relayed []State
	// Crashes are the latest runs that ended with their endpoint's connection.
	Crashes []Crash
}

// A Crash is a run of a request after which the endpoint fell silent.
type Crash struct {
	_       struct{} `cbor:",toarray"`
	Request uint64   // fingerprint of the request
	Run     string   // which run it was: endpoint and request id
}

type seen struct {
	state  State
	heard  time.Time // directly or through another member
	direct time.Time
	live   bool
}

func (s *seen) heardDirectly(now time.Time) bool { return now.Sub(s.direct) <= silence }

// supersededBy reports whether a state replaces the one that is known. An
// incarnation with a lower number is the later one if the known one has fallen
// silent: the clock that numbers them was set back between them. A relayed state of
// another incarnation may be an old one that its relay still believes.
func (s *seen) supersededBy(state State, direct bool, now time.Time) bool {
	switch {
	case state.Incarnation == s.state.Incarnation:
		return state.Sequence > s.state.Sequence
	case state.Incarnation > s.state.Incarnation && direct:
		return true
	}
	return now.Sub(s.heard) > restartSilence
}

// A Group is the set of members as one of them sees it.
type Group struct {
	mu          sync.Mutex
	conn        *net.UDPConn
	self        Member
	incarnation int64
	sequence    uint64
	addresses   map[string]*net.UDPAddr
	members     map[string]*seen
	state       func() State
	received    func(State)
	membership  func()
	log         hclog.Logger
	notify      chan struct{}
	wg          conc.WaitGroup
}

// New listens at the member's address and sends its state until ctx ends. state
// returns the member's own state; received is called with each newer state of
// another member, and membership when a member comes or goes.
func New(ctx context.Context, self Member, log hclog.Logger, state func() State, received func(State), membership func()) (*Group, error) {
	address, err := net.ResolveUDPAddr("udp4", self.Address)
	if err != nil {
		return nil, merry.Errorf("peer address: %w", err)
	}
	conn, err := net.ListenUDP("udp4", address)
	if err != nil {
		return nil, merry.Errorf("listen for peers: %w", err)
	}
	g := &Group{
		conn: conn, self: self, incarnation: time.Now().UnixNano(),
		addresses: make(map[string]*net.UDPAddr), members: make(map[string]*seen),
		state: state, received: received, membership: membership, log: log, notify: make(chan struct{}, 1),
	}
	g.wg.Go(func() { g.receive() })
	g.wg.Go(func() {
		<-ctx.Done()
		_ = conn.Close()
	})
	g.wg.Go(func() { g.send(ctx) })
	return g, nil
}

// Wait returns when the group's goroutines have ended.
func (g *Group) Wait() { g.wg.Wait() }

// SetMembers names the processes to send to. Members that are heard are added by
// themselves.
func (g *Group) SetMembers(members []Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range members {
		g.learn(m)
	}
}

func (g *Group) learn(m Member) {
	if m.Name == g.self.Name {
		return
	}
	address, err := net.ResolveUDPAddr("udp4", m.Address)
	if err != nil {
		g.log.Warn("peer address refused", "peer", m.Name, "address", m.Address, "error", err)
		return
	}
	if old := g.addresses[m.Name]; old == nil || old.String() != address.String() {
		g.log.Info("peer known", "peer", m.Name, "address", m.Address)
	}
	g.addresses[m.Name] = address
}

// Notify sends the state soon.
func (g *Group) Notify() {
	select {
	case g.notify <- struct{}{}:
	default:
	}
}

func (g *Group) send(ctx context.Context) {
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	gap := time.NewTimer(0)
	defer gap.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			g.expire()
		case <-g.notify:
		}
		gap.Reset(gapFor(g.sendState()))
		select {
		case <-ctx.Done():
			return
		case <-gap.C:
		}
	}
}

// gapFor returns the time between two states of a member, when there are n others.
func gapFor(n int) time.Duration {
	if n <= gapMembers {
		return sendGap
	}
	return min(sendGap*time.Duration(n*n)/(gapMembers*gapMembers), heartbeat)
}

// sendState sends the state to all members and returns how many there are.
func (g *Group) sendState() int {
	state := g.state()
	g.mu.Lock()
	g.sequence++
	state.Member, state.Incarnation, state.Sequence = g.self, g.incarnation, g.sequence
	state.Missed, state.Relayed = g.relay(time.Now())
	addresses := make([]*net.UDPAddr, 0, len(g.addresses))
	for _, a := range g.addresses {
		addresses = append(addresses, a)
	}
	g.mu.Unlock()
	message, err := cbor.Marshal(state)
	if err != nil {
		g.log.Error("peer state not encoded", "error", err)
		return len(addresses)
	}
	for _, a := range addresses {
		if _, err := g.conn.WriteToUDP(message, a); err != nil {
			g.log.Debug("peer send failed", "address", a.String(), "error", err)
		}
	}
	return len(addresses)
}

func (g *Group) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := g.conn.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			g.log.Debug("peer receive failed", "error", err)
			continue
		}
		var state State
		if err := cbor.Unmarshal(buf[:n], &state); err != nil {
			g.log.Warn("peer message refused", "error", err)
			continue
		}
		g.take(state, true)
		for _, relayed := range state.Relayed {
			g.take(relayed, false)
		}
	}
}

// take takes in a member's state, heard directly or through another member.
func (g *Group) take(state State, direct bool) {
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
	next := &seen{state: state, heard: now, live: true}
	switch {
	case direct:
		next.direct = now
	case old != nil:
		next.direct, next.state.Missed = old.direct, old.state.Missed
	}
	changed := old == nil || !old.live || old.state.StoreUp != state.StoreUp || old.state.Leaving != state.Leaving ||
		old.state.Incarnation != state.Incarnation
	if old == nil || !old.live {
		g.log.Info("peer live", "peer", name, "incarnation", state.Incarnation)
	}
	g.members[name] = next
	g.learn(state.Member)
	g.mu.Unlock()
	g.received(state)
	if changed {
		g.membership()
	}
}

func (g *Group) expire() {
	g.mu.Lock()
	lost := false
	for name, s := range g.members {
		if s.live && time.Since(s.heard) > silence {
			g.log.Warn("peer silent", "peer", name, "age", time.Since(s.heard).String())
			s.live, lost = false, true
		}
		if !s.live && time.Since(s.heard) > forgetTime {
			delete(g.members, name)
			delete(g.addresses, name)
		}
	}
	g.mu.Unlock()
	if lost {
		g.membership()
	}
}
