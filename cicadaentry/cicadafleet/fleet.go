// Package cicadafleet keeps an entry's picture of the fleet: the other
// entries, the endpoints that it uses and their load, and the configuration in
// force.
//
// A few entries of each data centre, the watchers, read the configuration log
// and the VM list from the platform; the others follow a watcher. Which entries
// watch follows from rendezvous hashing, so there is no election, and two that
// both watch do no harm. An entry that cannot follow anyone watches by itself.
//
// # Usage
//
//	fleet := cicadafleet.New(self, store, pool, cicadafleet.WithLog(log))
//	err := fleet.Start(ctx)          // returns once the configuration is known
//	group, ok := fleet.Table().Group("order-assistant")
//	snapshot := fleet.Config().Snapshot()
//	fleet.Close()
package cicadafleet

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"cicadalink.example/cicadakernel/cicadaconfig"
	"cicadalink.example/cicadakernel/cicadamember"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadaretry"
	"cicadalink.example/cicadakernel/cicadawire"
)

const (
	watchersOfDataCentre = 2
	pollInterval         = 2 * time.Second
	// firstWatchRetry and maxWatchRetry bound the wait after a read that failed:
	// short at first, so that a few failures in a row do not hold a change up.
	firstWatchRetry = 100 * time.Millisecond
	maxWatchRetry   = 400 * time.Millisecond
	followBeat      = time.Second
	followSilence   = 3 * time.Second
	startRetry      = 200 * time.Millisecond
)

// A Fleet is an entry's picture of the fleet.
type Fleet struct {
	self   cicadamember.Member
	store  *cicadaplatform.Client
	source *cicadaconfig.Store
	config *cicadaconfig.Holder
	table  *Table
	pool   *cicadawire.Pool
	log    hclog.Logger
	scope  tally.Scope
	peers  []string

	mu      sync.Mutex
	links   map[*Endpoint]context.CancelFunc
	vmsJSON []byte
	vmsNew  chan struct{}
	poke    chan struct{}
	cancel  context.CancelFunc
	closed  bool
	tasks   conc.WaitGroup
}

// ErrNotStarted reports a fleet that has not learnt the configuration yet, and
// so has nothing for followers.
var ErrNotStarted = merry.Sentinel("cicadafleet: not started")

// ErrClosed reports a fleet that was closed while it started.
var ErrClosed = merry.Sentinel("cicadafleet: closed")

// An Option changes a Fleet as it is made.
type Option func(*Fleet)

// WithLog sets the logger.
func WithLog(log hclog.Logger) Option { return func(f *Fleet) { f.log = log } }

// WithScope sets where the fleet counts.
func WithScope(scope tally.Scope) Option { return func(f *Fleet) { f.scope = scope } }

// WithPeers sets addresses of entries to ask while the platform is down.
func WithPeers(addresses ...string) Option { return func(f *Fleet) { f.peers = addresses } }

// New returns a fleet that is not started.
func New(self cicadamember.Member, store *cicadaplatform.Client, source *cicadaconfig.Store, pool *cicadawire.Pool, opts ...Option) *Fleet {
	f := &Fleet{
		self:   self,
		store:  store,
		source: source,
		config: cicadaconfig.NewHolder(),
		table:  NewTable(self),
		pool:   pool,
		log:    hclog.NewNullLogger(),
		scope:  tally.NoopScope,
		links:  make(map[*Endpoint]context.CancelFunc),
		vmsNew: make(chan struct{}),
		poke:   make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Config returns the configuration in force.
func (f *Fleet) Config() *cicadaconfig.Holder { return f.config }

// Source returns the configuration in the platform.
func (f *Fleet) Source() *cicadaconfig.Store { return f.source }

// Table returns the members that this entry deals with.
func (f *Fleet) Table() *Table { return f.table }

// Self returns the entry's name and data centre.
func (f *Fleet) Self() cicadamember.Member { return f.self }

func (f *Fleet) jitter(d time.Duration) time.Duration { return rand.N(max(d, 1)) }

// Start learns the configuration and the VM list, from the platform or, while
// that is down, from peers, and then keeps them current until Close.
func (f *Fleet) Start(ctx context.Context) error {
	for {
		err := f.learn(ctx)
		if err == nil {
			break
		}
		f.log.Warn("configuration not known yet", "error", err)
		if !cicadaretry.Wait(ctx, startRetry+f.jitter(startRetry)) {
			return merry.Errorf("start fleet: %w", ctx.Err())
		}
	}
	running, cancel := context.WithCancel(context.WithoutCancel(ctx))
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		cancel()
		return merry.Errorf("start fleet: %w", ErrClosed)
	}
	f.cancel = cancel
	f.tasks.Go(func() { f.keepCurrent(running) })
	f.tasks.Go(func() { f.relinkOnChange(running) })
	return nil
}

func (f *Fleet) started() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cancel != nil
}

// Close ends all links.
func (f *Fleet) Close() {
	f.mu.Lock()
	f.closed = true
	cancel := f.cancel
	f.mu.Unlock()
	if cancel != nil {
		cancel()
	}
	f.tasks.Wait()
}

func (f *Fleet) learn(ctx context.Context) error {
	snapshot, err := f.source.Load(ctx)
	if err == nil {
		var vms []cicadaplatform.VM
		if vms, err = f.store.VMs(ctx); err == nil {
			f.config.Offer(snapshot)
			f.setVMs(vms)
			return nil
		}
	}
	if peerErr := f.learnFromPeers(ctx); peerErr != nil {
		return merry.Errorf("%w (and from peers: %w)", err, peerErr)
	}
	return nil
}

// learnFromPeers takes the highest revision that any peer holds.
func (f *Fleet) learnFromPeers(ctx context.Context) error {
	learned := false
	for _, address := range f.peers {
		update, err := f.askPeer(ctx, address)
		if err != nil {
			f.log.Debug("peer not reached", "address", address, "error", err)
			continue
		}
		if err := f.take(update); err != nil {
			return err
		}
		learned = learned || len(update.GetVms()) > 0
	}
	if !learned {
		return merry.Errorf("no peer answered")
	}
	return nil
}

func (f *Fleet) askPeer(ctx context.Context, address string) (*cicadawire.FollowUpdate, error) {
	ctx, cancel := context.WithTimeout(ctx, followSilence)
	defer cancel()
	stream, err := cicadawire.NewDRPCEntryClient(f.pool.Conn(address)).Follow(ctx, &cicadawire.FollowRequest{Revision: -1, Follower: f.self.Name})
	if err != nil {
		return nil, merry.Errorf("ask peer: %w", err)
	}
	defer stream.Close()
	update, err := stream.Recv()
	if err != nil {
		return nil, merry.Errorf("ask peer: %w", err)
	}
	return update, nil
}

// take puts an update from another entry in force.
func (f *Fleet) take(update *cicadawire.FollowUpdate) error {
	if err := f.config.Take(update); err != nil {
		return merry.Errorf("take configuration: %w", err)
	}
	if len(update.GetVms()) == 0 {
		return nil
	}
	var vms []cicadaplatform.VM
	if err := json.Unmarshal(update.GetVms(), &vms); err != nil {
		return merry.Errorf("take VM list: %w", err)
	}
	f.setVMs(vms)
	return nil
}

func (f *Fleet) setVMs(vms []cicadaplatform.VM) {
	data, err := json.Marshal(vms)
	if err != nil {
		return
	}
	f.mu.Lock()
	same := string(data) == string(f.vmsJSON)
	f.vmsJSON = data
	if !same {
		close(f.vmsNew)
		f.vmsNew = make(chan struct{})
	}
	f.mu.Unlock()
}

func (f *Fleet) vmList() ([]byte, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vmsJSON, f.vmsNew
}

// relinkOnChange follows changes of the VM list and of the groups.
func (f *Fleet) relinkOnChange(ctx context.Context) {
	for {
		_, vmsNew := f.vmList()
		configNew := f.config.Changed()
		f.relink(ctx)
		select {
		case <-vmsNew:
		case <-configNew:
		case <-ctx.Done():
			return
		}
	}
}

func (f *Fleet) relink(ctx context.Context) {
	data, _ := f.vmList()
	var vms []cicadaplatform.VM
	if json.Unmarshal(data, &vms) != nil {
		return
	}
	snapshot := f.config.Snapshot()
	added, removed := f.table.Update(vms, func(group string) int {
		if g, ok := snapshot.Group(group); ok {
			return g.Subset
		}
		return 0
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, e := range removed {
		if cancel, ok := f.links[e]; ok {
			cancel()
			delete(f.links, e)
		}
	}
	for _, e := range added {
		linked, cancel := context.WithCancel(ctx)
		f.links[e] = cancel
		f.tasks.Go(func() { f.keepLink(linked, e) })
	}
}

// Watches reports whether this entry reads from the platform for its data
// centre.
func (f *Fleet) Watches() bool { return slices.Contains(f.watchers(), f.self.Name) }

func (f *Fleet) watchers() []string {
	var names []string
	for _, vm := range f.table.Entries() {
		if vm.DataCentre == f.self.DataCentre {
			names = append(names, vm.Name)
		}
	}
	return cicadamember.Top("watch/"+f.self.DataCentre, names, watchersOfDataCentre)
}

// keepCurrent watches or follows, whichever falls to this entry.
func (f *Fleet) keepCurrent(ctx context.Context) {
	wait := firstWatchRetry
	for ctx.Err() == nil {
		if !f.Watches() && f.followAny(ctx) {
			continue
		}
		read, err := f.watch(ctx)
		if read {
			wait = firstWatchRetry
		}
		if err != nil {
			f.scope.Counter("platform_failures").Inc(1)
			cicadaretry.Wait(ctx, wait/2+f.jitter(wait))
			wait = min(2*wait, maxWatchRetry)
		}
	}
}

// CatchUp makes the entry read the configuration now, after a change that it
// has made itself.
func (f *Fleet) CatchUp(ctx context.Context) error {
	_, err := f.catchUp(ctx)
	return err
}

// catchUp returns the store's version from which a watch continues.
func (f *Fleet) catchUp(ctx context.Context) (int64, error) {
	sets, version, err := f.source.Changes(ctx, f.config.Snapshot().Revision())
	if err != nil {
		return 0, merry.Errorf("catch up: %w", err)
	}
	return version, f.config.Apply(sets)
}

// watch reads from the platform for one poll interval: a watch on the
// configuration log, and one read of the VM list. The list of the log that
// begins each interval repairs watches that come late. It reports whether it
// has read the log, and the first read that failed.
func (f *Fleet) watch(ctx context.Context) (read bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, pollInterval)
	defer cancel()
	version, err := f.catchUp(ctx)
	if err != nil {
		return false, err
	}
	if vms, err := f.store.VMs(ctx); err == nil {
		f.setVMs(vms)
	}
	for ctx.Err() == nil {
		changed, next, err := f.source.Wait(ctx, version)
		if ctx.Err() != nil {
			break
		}
		if err != nil {
			return true, err
		}
		version = next
		if !changed {
			continue
		}
		if version, err = f.catchUp(ctx); err != nil {
			return true, err
		}
	}
	return true, nil
}
