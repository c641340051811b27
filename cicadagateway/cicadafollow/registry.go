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
	"github.com/sourcegraph/conc"

	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadaretry"
	"cicadalink.example/cicadakernel/cicadaview"
)

const (
	// sweepInterval is how often endpoints held over an outage are looked at.
	sweepInterval = 250 * time.Millisecond
	// When so many endpoints, and so large a part of all, vanish within a short
	// time, their entries have lapsed while the store was away and this process did
	// not notice. They are held for a time that ends before requests must no
	// longer reach endpoints that are really gone.
	massCount  = 3
	massPart   = 1.0 / 3
	massWindow = 500 * time.Millisecond
	massHold   = 1800 * time.Millisecond
)

// A Registry is the set of endpoints that have registered. An endpoint whose
// entry vanishes while the store is settled is gone at once; one that vanishes
// over an outage is kept until the store has settled. A large part of all that
// vanishes at once is kept for a moment: an outage may pass unnoticed.
type Registry struct {
	mu      sync.Mutex
	link    *Link
	log     hclog.Logger
	decode  func(id string, value []byte) (cicadaview.Endpoint, error)
	publish func([]cicadaview.Endpoint)
	vouched func() bool // reports whether another process has had the store all along
	known   map[string]cicadaview.Endpoint
	missing map[string]time.Time // endpoints that are held, and until when at least
	lost    []time.Time          // when endpoints vanished last
	digest  atomic.Uint64
	wg      conc.WaitGroup
}

// Digest tells sets of endpoints apart, whatever the order in which they became
// known.
func (g *Registry) Digest() uint64 { return g.digest.Load() }

// A RegistryOption changes a Registry as it is made.
type RegistryOption func(*Registry)

// WithVouched sets what reports whether another process's connection to the store is
// steady. If it is, the store was not away while this process was cut off from it,
// and nothing that is missing on its return has lapsed.
func WithVouched(vouched func() bool) RegistryOption {
	return func(g *Registry) { g.vouched = vouched }
}

// NewRegistry returns an empty registry that calls publish with each new set.
func NewRegistry(ctx context.Context, link *Link, log hclog.Logger, decode func(string, []byte) (cicadaview.Endpoint, error), publish func([]cicadaview.Endpoint), opts ...RegistryOption) *Registry {
	g := &Registry{link: link, log: log, decode: decode, publish: publish, known: make(map[string]cicadaview.Endpoint), missing: make(map[string]time.Time), vouched: func() bool { return false }}
	for _, opt := range opts {
		opt(g)
	}
	g.wg.Go(func() {
		for cicadaretry.Wait(ctx, sweepInterval) {
			g.sweep()
		}
	})
	return g
}

// Apply takes in a change of the followed entries.
func (g *Registry) Apply(c Change) {
	g.mu.Lock()
	defer g.mu.Unlock()
	listed := make(map[string]bool, len(c.objects))
	var vanished []string
	for _, obj := range c.objects {
		_, id, _ := strings.Cut(obj.Name(), "/")
		listed[id] = true
		if obj.Value() == nil {
			vanished = append(vanished, id)
			continue
		}
		g.set(id, obj)
	}
	if c.full {
		for id := range g.known {
			if !listed[id] {
				vanished = append(vanished, id)
			}
		}
	}
	g.lose(vanished)
	g.publishLocked()
}

func (g *Registry) set(id string, obj cicadaplatform.Object) {
	endpoint, err := g.decode(id, obj.Value())
	if err != nil {
		g.log.Warn("endpoint entry refused", "endpoint", id, "version", obj.Version(), "error", err)
		delete(g.known, id)
		delete(g.missing, id)
		return
	}
	if old, ok := g.known[id]; !ok || old.Draining != endpoint.Draining || old.Address != endpoint.Address {
		g.log.Info("endpoint entry", "endpoint", id, "service", endpoint.Service, "address", endpoint.Address,
			"draining", endpoint.Draining, "version", obj.Version())
	}
	g.known[id] = endpoint
	delete(g.missing, id)
}

func (g *Registry) lose(vanished []string) {
	now := time.Now()
	present := 0
	for _, id := range vanished {
		if _, ok := g.known[id]; ok && g.missing[id].IsZero() {
			g.lost = append(g.lost, now)
			present++
		}
	}
	for len(g.lost) > 0 && now.Sub(g.lost[0]) > massWindow {
		g.lost = g.lost[1:]
	}
	mass := len(g.lost) >= massCount && float64(len(g.lost)) >= massPart*float64(len(g.known))
	for _, id := range vanished {
		if _, ok := g.known[id]; !ok || !g.missing[id].IsZero() {
			continue
		}
		switch {
		case !g.settled():
			g.log.Info("endpoint missing, held until the store settles", "endpoint", id)
			g.missing[id] = now
		case mass:
			g.log.Info("endpoint missing with many others, held", "endpoint", id, "vanished", present, "known", len(g.known))
			g.missing[id] = now.Add(massHold)
		default:
			g.log.Info("endpoint gone", "endpoint", id)
			delete(g.known, id)
		}
	}
}

// settled reports whether an entry that is missing from the store is gone.
func (g *Registry) settled() bool { return g.link.Settled() || g.link.Up() && g.vouched() }

// sweep forgets the endpoints that were held and have not come back.
func (g *Registry) sweep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.missing) == 0 || !g.link.Up() {
		return
	}
	now, settled := time.Now(), g.settled()
	changed := false
	for id, until := range g.missing {
		if !settled || now.Before(until) {
			continue
		}
		g.log.Info("endpoint gone after outage", "endpoint", id)
		delete(g.known, id)
		delete(g.missing, id)
		changed = true
	}
	if changed {
		g.publishLocked()
	}
}

func (g *Registry) publishLocked() {
	all := make([]cicadaview.Endpoint, 0, len(g.known))
	digest := uint64(0)
	for _, e := range g.known {
		all = append(all, e)
		digest ^= xxhash.Sum64String(fmt.Sprint(e))
	}
	g.digest.Store(digest)
	g.publish(all)
}
