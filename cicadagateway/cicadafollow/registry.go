package cicadafollow

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"

	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadaretry"
	"cicadalink.example/cicadakernel/cicadatask"
	"cicadalink.example/cicadakernel/cicadaview"
)

const (
	// retainedCheckInterval is the interval at which retained endpoints are checked.
	retainedCheckInterval = 50 * time.Millisecond
	// defaultRetention is how long an endpoint is retained if nobody knows whether the store was
	// away when its registration disappeared.
	defaultRetention = 250 * time.Millisecond
)

// A Registry is the set of registered endpoints. A registration disappears because it was
// deleted, or because it has expired in an outage of the store, of which the endpoint knows nothing.
// What tells one from the other is what this process and its peers know of the store, not how many
// registrations disappear:
//
//   - If calls of one of them have succeeded all the time, it was deleted, and the endpoint is
//     removed at once.
//   - If one of them has lately failed to reach the store, the endpoint is retained until the store
//     has been back for the time in which endpoints register again.
//   - Otherwise the endpoint is retained for a short time, in which one of them may report either.
type Registry struct {
	mu            sync.Mutex
	link          *Link
	log           hclog.Logger
	decode        func(id string, value []byte) (cicadaview.Endpoint, error)
	publish       func([]cicadaview.Endpoint)
	peerStable    func() bool // reports whether another process has a stable connection to the store
	peerUnsettled func() bool // reports whether another process has lately failed to reach the store
	retention     time.Duration
	endpoints     map[string]cicadaview.Endpoint
	retained      map[string]time.Time // endpoints without a registration, with the time when it disappeared
	digest        atomic.Uint64
	wake          chan struct{} // signals that endpoints are retained
	wg            cicadatask.Group
}

// Digest returns a hash of the endpoints that are registered, without those that are retained. It
// does not depend on the order in which they became known.
func (g *Registry) Digest() uint64 { return g.digest.Load() }

// A RegistryOption configures a Registry.
type RegistryOption func(*Registry)

// WithPeerStable sets the function that reports whether another process has a stable
// connection to the store. If so, an interruption of this process's connection was not
// an outage of the store, and no registration has expired during it.
func WithPeerStable(peerStable func() bool) RegistryOption {
	return func(g *Registry) { g.peerStable = peerStable }
}

// WithPeerUnsettled sets the function that reports whether another process has lately failed to reach
// the store, which this process may not have noticed.
func WithPeerUnsettled(peerUnsettled func() bool) RegistryOption {
	return func(g *Registry) { g.peerUnsettled = peerUnsettled }
}

// WithRetention sets how long an endpoint is retained if nobody knows whether the store was away when
// its registration disappeared.
func WithRetention(d time.Duration) RegistryOption { return func(g *Registry) { g.retention = d } }

// NewRegistry returns an empty registry that calls publish with each new set of
// endpoints.
func NewRegistry(ctx context.Context, link *Link, log hclog.Logger, decode func(string, []byte) (cicadaview.Endpoint, error), publish func([]cicadaview.Endpoint), opts ...RegistryOption) *Registry {
	g := &Registry{
		link: link, log: log, decode: decode, publish: publish, retention: defaultRetention,
		endpoints: make(map[string]cicadaview.Endpoint), retained: make(map[string]time.Time), wake: make(chan struct{}, 1),
		peerStable: func() bool { return false }, peerUnsettled: func() bool { return false },
	}
	for _, opt := range opts {
		opt(g)
	}
	g.wg.Go(func() {
		for {
			select {
			case <-g.wake:
			case <-ctx.Done():
				return
			}
			for g.removeRetained() {
				if !cicadaretry.Sleep(ctx, retainedCheckInterval) {
					return
				}
			}
		}
	})
	return g
}

// Apply applies a change of the registrations.
func (g *Registry) Apply(c Change) {
	g.mu.Lock()
	defer g.mu.Unlock()
	listed := make(map[string]bool, len(c.objects))
	var missing []string
	for _, obj := range c.objects {
		_, id, _ := strings.Cut(obj.Name(), "/")
		listed[id] = true
		if obj.Value() == nil {
			missing = append(missing, id)
			continue
		}
		g.add(id, obj)
	}
	if c.full {
		for id := range g.endpoints {
			if !listed[id] {
				missing = append(missing, id)
			}
		}
	}
	g.removeMissing(missing)
	g.publishLocked()
}

func (g *Registry) add(id string, obj cicadaplatform.Object) {
	endpoint, err := g.decode(id, obj.Value())
	if err != nil {
		g.log.Warn("invalid endpoint registration", "endpoint", id, "version", obj.Version(), "error", err)
		delete(g.endpoints, id)
		delete(g.retained, id)
		return
	}
	if old, ok := g.endpoints[id]; !ok || old.Draining != endpoint.Draining || old.Address != endpoint.Address ||
		old.SoftwareVersion != endpoint.SoftwareVersion || old.StartedMs != endpoint.StartedMs {
		g.log.Info("endpoint registration updated", "endpoint", id, "service", endpoint.Service, "address", endpoint.Address,
			"software-version", endpoint.SoftwareVersion, "registered-start", endpoint.StartedMs, "draining", endpoint.Draining, "version", obj.Version())
	}
	g.endpoints[id] = endpoint
	delete(g.retained, id)
}

func (g *Registry) removeMissing(missing []string) {
	state := g.storeState()
	for _, id := range missing {
		_, known := g.endpoints[id]
		_, retained := g.retained[id]
		switch {
		case !known || retained:
		case state == storeStable:
			g.log.Info("endpoint removed", "endpoint", id)
			delete(g.endpoints, id)
		default:
			g.log.Info("endpoint registration missing, endpoint retained", "endpoint", id, "store", state.String())
			g.retained[id] = time.Now()
		}
	}
	if len(g.retained) > 0 {
		select {
		case g.wake <- struct{}{}:
		default:
		}
	}
}

// A storeState is what is known of the store in the time before now.
type storeState int

const (
	storeUnknown   storeState = iota
	storeStable               // it has answered all the time
	storeDisturbed            // it may have been away
)

var storeStateNames = [...]string{"unknown", "stable", "disturbed"}

func (s storeState) String() string { return storeStateNames[s] }

// storeState returns what this process and its peers know of the store.
func (g *Registry) storeState() storeState {
	switch {
	case g.link.Stable() || g.link.Up() && g.peerStable():
		return storeStable
	case !g.link.Settled() || g.peerUnsettled():
		return storeDisturbed
	}
	return storeUnknown
}

// removeRetained removes the retained endpoints that have not registered again in time. It reports
// whether others are left.
func (g *Registry) removeRetained() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	state, changed := g.storeState(), false
	for id, since := range g.retained {
		if state == storeDisturbed || state == storeUnknown && time.Since(since) < g.retention {
			continue
		}
		g.log.Info("endpoint removed after its registration was missing", "endpoint", id, "for", time.Since(since).String(), "store", state.String())
		delete(g.endpoints, id)
		delete(g.retained, id)
		changed = true
	}
	if changed {
		g.publishLocked()
	}
	return len(g.retained) > 0
}

func (g *Registry) publishLocked() {
	all := make([]cicadaview.Endpoint, 0, len(g.endpoints))
	digest := uint64(0)
	for id, e := range g.endpoints {
		all = append(all, e)
		if _, retained := g.retained[id]; !retained {
			digest ^= xxhash.Sum64String(fmt.Sprint(e))
		}
	}
	g.digest.Store(digest)
	g.publish(all)
}
