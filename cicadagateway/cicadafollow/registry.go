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
	retainedCheckInterval = 250 * time.Millisecond
	// The loss of at least massLossCount endpoints and massLossFraction of all
	// endpoints within massLossWindow means that their registrations have expired in an
	// outage of the store that this process did not detect. They are retained for
	// massLossRetention, which ends before requests must stop going to endpoints that
	// were actually deleted.
	massLossCount     = 3
	massLossFraction  = 1.0 / 3
	massLossWindow    = 500 * time.Millisecond
	massLossRetention = 1800 * time.Millisecond
)

// A Registry is the set of registered endpoints. An endpoint whose registration
// disappears while the store is settled is removed immediately. If it disappears during
// an outage, the endpoint is retained until the store has settled. If many registrations
// disappear at once, the endpoints are retained for a short time, as this process may
// not have detected an outage.
type Registry struct {
	mu           sync.Mutex
	link         *Link
	log          hclog.Logger
	decode       func(id string, value []byte) (cicadaview.Endpoint, error)
	publish      func([]cicadaview.Endpoint)
	peerStable   func() bool // reports whether another process has a stable connection to the store
	endpoints    map[string]cicadaview.Endpoint
	retained     map[string]time.Time // endpoints without a registration, with the earliest time of their removal
	recentLosses []time.Time          // times of the losses within massLossWindow
	digest       atomic.Uint64
	wg           cicadatask.Group
}

// Digest returns a hash of the endpoints that does not depend on the order in which
// they became known.
func (g *Registry) Digest() uint64 { return g.digest.Load() }

// A RegistryOption configures a Registry.
type RegistryOption func(*Registry)

// WithPeerStable sets the function that reports whether another process has a stable
// connection to the store. If so, an interruption of this process's connection was not
// an outage of the store, and no registration has expired during it.
func WithPeerStable(peerStable func() bool) RegistryOption {
	return func(g *Registry) { g.peerStable = peerStable }
}

// NewRegistry returns an empty registry that calls publish with each new set of
// endpoints.
func NewRegistry(ctx context.Context, link *Link, log hclog.Logger, decode func(string, []byte) (cicadaview.Endpoint, error), publish func([]cicadaview.Endpoint), opts ...RegistryOption) *Registry {
	g := &Registry{link: link, log: log, decode: decode, publish: publish, endpoints: make(map[string]cicadaview.Endpoint), retained: make(map[string]time.Time), peerStable: func() bool { return false }}
	for _, opt := range opts {
		opt(g)
	}
	g.wg.Go(func() {
		for cicadaretry.Sleep(ctx, retainedCheckInterval) {
			g.removeRetained()
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
	now := time.Now()
	count := 0
	for _, id := range missing {
		if _, ok := g.endpoints[id]; ok && g.retained[id].IsZero() {
			g.recentLosses = append(g.recentLosses, now)
			count++
		}
	}
	for len(g.recentLosses) > 0 && now.Sub(g.recentLosses[0]) > massLossWindow {
		g.recentLosses = g.recentLosses[1:]
	}
	massLoss := len(g.recentLosses) >= massLossCount && float64(len(g.recentLosses)) >= massLossFraction*float64(len(g.endpoints))
	for _, id := range missing {
		if _, ok := g.endpoints[id]; !ok || !g.retained[id].IsZero() {
			continue
		}
		switch {
		case !g.missingMeansDeleted():
			g.log.Info("endpoint registration missing, endpoint retained until the store connection has settled", "endpoint", id)
			g.retained[id] = now
		case massLoss:
			g.log.Info("many endpoint registrations missing, endpoint retained", "endpoint", id, "vanished", count, "known", len(g.endpoints))
			g.retained[id] = now.Add(massLossRetention)
		default:
			g.log.Info("endpoint removed", "endpoint", id)
			delete(g.endpoints, id)
		}
	}
}

// missingMeansDeleted reports whether a registration that is missing from the store has
// been deleted.
func (g *Registry) missingMeansDeleted() bool {
	return g.link.Settled() || g.link.Up() && g.peerStable()
}

// removeRetained removes the retained endpoints that have not registered again in time.
func (g *Registry) removeRetained() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.retained) == 0 || !g.link.Up() {
		return
	}
	now, missingMeansDeleted := time.Now(), g.missingMeansDeleted()
	changed := false
	for id, until := range g.retained {
		if !missingMeansDeleted || now.Before(until) {
			continue
		}
		g.log.Info("endpoint removed after outage", "endpoint", id)
		delete(g.endpoints, id)
		delete(g.retained, id)
		changed = true
	}
	if changed {
		g.publishLocked()
	}
}

func (g *Registry) publishLocked() {
	all := make([]cicadaview.Endpoint, 0, len(g.endpoints))
	digest := uint64(0)
	for _, e := range g.endpoints {
		all = append(all, e)
		digest ^= xxhash.Sum64String(fmt.Sprint(e))
	}
	g.digest.Store(digest)
	g.publish(all)
}
