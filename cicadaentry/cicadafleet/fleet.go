// Package cicadafleet maintains an entry's view of the fleet: the other entries,
// the endpoints that it uses with their load, and the current configuration.
//
// A few entries of each data centre, the watchers, read the configuration log
// and the VM list from the platform; the others follow a watcher. Watchers are
// selected by rendezvous hashing, so no election is needed, and extra watchers do
// no harm. An entry that cannot follow any watcher reads from the platform itself.
//
// # Usage
//
//	fleet := cicadafleet.New(self, platform, configStore, pool, cicadafleet.WithLog(log))
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
	"github.com/uber-go/tally/v4"

	"cicadalink.example/cicadakernel/cicadaconfig"
	"cicadalink.example/cicadakernel/cicadamember"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadaretry"
	"cicadalink.example/cicadakernel/cicadatask"
	"cicadalink.example/cicadakernel/cicadawire"
)

const (
	watchersPerDataCentre = 2
	pollInterval          = 2 * time.Second
	// initialWatchRetry and maxWatchRetry bound the delay after a failed read. The
	// first delays are short, so that a few consecutive failures do not delay a
	// configuration change for long.
	initialWatchRetry       = 100 * time.Millisecond
	maxWatchRetry           = 400 * time.Millisecond
	followHeartbeatInterval = time.Second
	followTimeout           = 3 * time.Second
	startRetryInterval      = 200 * time.Millisecond
)

// A Fleet is an entry's view of the fleet.
type Fleet struct {
	self        cicadamember.Member
	platform    *cicadaplatform.Client
	configStore *cicadaconfig.Store
	config      *cicadaconfig.Replica
	table       *Table
	pool        *cicadawire.Pool
	log         hclog.Logger
	scope       tally.Scope
	peers       []string

	mu          sync.Mutex
	linkCancels map[*Endpoint]context.CancelFunc
	vmsJSON     []byte
	vmsChanged  chan struct{}
	wake        chan struct{}
	cancel      context.CancelFunc
	closed      bool
	tasks       cicadatask.Group
}

// ErrNotStarted reports a fleet that has not loaded the configuration yet, and so
// cannot serve followers.
var ErrNotStarted = merry.Sentinel("cicadafleet: not started")

// ErrClosed reports a fleet that was closed before it had started.
var ErrClosed = merry.Sentinel("cicadafleet: closed")

// An Option configures a Fleet.
type Option func(*Fleet)

// WithLog sets the logger.
func WithLog(log hclog.Logger) Option { return func(f *Fleet) { f.log = log } }

// WithScope sets the scope of the fleet's metrics.
func WithScope(scope tally.Scope) Option { return func(f *Fleet) { f.scope = scope } }

// WithPeers sets the addresses of entries from which to load the configuration if
// the platform is unavailable at start.
func WithPeers(addresses ...string) Option { return func(f *Fleet) { f.peers = addresses } }

// New returns a fleet that has not been started.
func New(self cicadamember.Member, platform *cicadaplatform.Client, configStore *cicadaconfig.Store, pool *cicadawire.Pool, opts ...Option) *Fleet {
	f := &Fleet{
		self:        self,
		platform:    platform,
		configStore: configStore,
		config:      cicadaconfig.NewReplica(),
		table:       NewTable(self),
		pool:        pool,
		log:         hclog.NewNullLogger(),
		scope:       tally.NoopScope,
		linkCancels: make(map[*Endpoint]context.CancelFunc),
		vmsChanged:  make(chan struct{}),
		wake:        make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Config returns the replica of the current configuration.
func (f *Fleet) Config() *cicadaconfig.Replica { return f.config }

// ConfigStore returns the store of the configuration on the platform.
func (f *Fleet) ConfigStore() *cicadaconfig.Store { return f.configStore }

// Table returns the table of the entries and of the endpoints that this entry uses.
func (f *Fleet) Table() *Table { return f.table }

// Self returns the entry's name and data centre.
func (f *Fleet) Self() cicadamember.Member { return f.self }

// jitter returns a random duration below d.
func (f *Fleet) jitter(d time.Duration) time.Duration { return rand.N(max(d, 1)) }

// Start loads the configuration and the VM list from the platform, or from peers
// if the platform is unavailable, and then keeps them current until Close. It
// retries until it has loaded them or ctx ends.
func (f *Fleet) Start(ctx context.Context) error {
	for {
		err := f.loadInitial(ctx)
		if err == nil {
			break
		}
		f.log.Warn("failed to load the configuration, retrying", "error", err)
		if !cicadaretry.Sleep(ctx, startRetryInterval+f.jitter(startRetryInterval)) {
			return merry.Errorf("start fleet: %w", ctx.Err())
		}
	}
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		cancel()
		return merry.Errorf("start fleet: %w", ErrClosed)
	}
	f.cancel = cancel
	f.tasks.Go(func() { f.watchOrFollow(runCtx) })
	f.tasks.Go(func() { f.updateLinksOnChange(runCtx) })
	return nil
}

func (f *Fleet) started() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cancel != nil
}

// Close closes all links and stops all background work.
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

// loadInitial loads the configuration and the VM list from the platform or, if
// that fails, from peers.
func (f *Fleet) loadInitial(ctx context.Context) error {
	snapshot, err := f.configStore.Load(ctx)
	if err == nil {
		var vms []cicadaplatform.VM
		if vms, err = f.platform.VMs(ctx); err == nil {
			f.config.ReplaceIfNewer(snapshot)
			f.setVMs(vms)
			return nil
		}
	}
	if peerErr := f.loadFromPeers(ctx); peerErr != nil {
		return merry.Errorf("%w (and from peers: %w)", err, peerErr)
	}
	return nil
}

// loadFromPeers loads the VM list and the highest revision of the configuration
// that any peer has.
func (f *Fleet) loadFromPeers(ctx context.Context) error {
	gotVMs := false
	for _, address := range f.peers {
		update, err := f.fetchFromPeer(ctx, address)
		if err != nil {
			f.log.Debug("failed to fetch the configuration from peer", "address", address, "error", err)
			continue
		}
		if err := f.applyUpdate(update); err != nil {
			return err
		}
		gotVMs = gotVMs || len(update.GetVms()) > 0
	}
	if !gotVMs {
		return merry.Errorf("no peer returned a VM list")
	}
	return nil
}

func (f *Fleet) fetchFromPeer(ctx context.Context, address string) (*cicadawire.FollowUpdate, error) {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	stream, err := cicadawire.NewDRPCEntryClient(f.pool.Conn(address)).Follow(ctx, &cicadawire.FollowRequest{Revision: -1, Follower: f.self.Name})
	if err != nil {
		return nil, merry.Errorf("request configuration from peer: %w", err)
	}
	defer stream.Close()
	update, err := stream.Recv()
	if err != nil {
		return nil, merry.Errorf("request configuration from peer: %w", err)
	}
	return update, nil
}

// applyUpdate applies an update from another entry.
func (f *Fleet) applyUpdate(update *cicadawire.FollowUpdate) error {
	if err := f.config.ApplyUpdate(update); err != nil {
		return merry.Errorf("apply configuration: %w", err)
	}
	if len(update.GetVms()) == 0 {
		return nil
	}
	var vms []cicadaplatform.VM
	if err := json.Unmarshal(update.GetVms(), &vms); err != nil {
		return merry.Errorf("decode VM list: %w", err)
	}
	f.setVMs(vms)
	return nil
}

// setVMs stores the VM list and, if it has changed, closes the channel returned by
// vmList.
func (f *Fleet) setVMs(vms []cicadaplatform.VM) {
	data, err := json.Marshal(vms)
	if err != nil {
		return
	}
	f.mu.Lock()
	unchanged := string(data) == string(f.vmsJSON)
	f.vmsJSON = data
	if !unchanged {
		close(f.vmsChanged)
		f.vmsChanged = make(chan struct{})
	}
	f.mu.Unlock()
}

// vmList returns the VM list as JSON and a channel that is closed when it changes.
func (f *Fleet) vmList() ([]byte, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.vmsJSON, f.vmsChanged
}

// updateLinksOnChange updates the links whenever the VM list or the configuration
// changes.
func (f *Fleet) updateLinksOnChange(ctx context.Context) {
	for {
		_, vmsChanged := f.vmList()
		configChanged := f.config.Changed()
		f.updateLinks(ctx)
		select {
		case <-vmsChanged:
		case <-configChanged:
		case <-ctx.Done():
			return
		}
	}
}

// updateLinks updates the table, closes the links to endpoints that are no longer
// used and opens links to new ones.
func (f *Fleet) updateLinks(ctx context.Context) {
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
		if cancel, ok := f.linkCancels[e]; ok {
			cancel()
			delete(f.linkCancels, e)
		}
	}
	for _, e := range added {
		linkCtx, cancel := context.WithCancel(ctx)
		f.linkCancels[e] = cancel
		f.tasks.Go(func() { f.maintainLink(linkCtx, e) })
	}
}

// IsWatcher reports whether this entry is one of its data centre's watchers.
func (f *Fleet) IsWatcher() bool { return slices.Contains(f.watcherNames(), f.self.Name) }

// watcherNames returns the names of the watchers of the entry's data centre.
func (f *Fleet) watcherNames() []string {
	var names []string
	for _, vm := range f.table.Entries() {
		if vm.DataCentre == f.self.DataCentre {
			names = append(names, vm.Name)
		}
	}
	return cicadamember.Top("watch/"+f.self.DataCentre, names, watchersPerDataCentre)
}

// watchOrFollow keeps the configuration and the VM list current: it watches the
// platform if the entry is a watcher or cannot follow one; otherwise it follows one.
func (f *Fleet) watchOrFollow(ctx context.Context) {
	wait := initialWatchRetry
	for ctx.Err() == nil {
		if !f.IsWatcher() && f.followAny(ctx) {
			continue
		}
		read, err := f.watch(ctx)
		if read {
			wait = initialWatchRetry
		}
		if err != nil {
			f.scope.Counter("platform_failures").Inc(1)
			cicadaretry.Sleep(ctx, wait/2+f.jitter(wait))
			wait = min(2*wait, maxWatchRetry)
		}
	}
}

// RefreshConfig reads the configuration from the platform. It is used after the
// entry has changed the configuration itself.
func (f *Fleet) RefreshConfig(ctx context.Context) error {
	_, err := f.refreshConfig(ctx)
	return err
}

// refreshConfig applies the changes since the current revision. It returns the
// store version from which a watch continues.
func (f *Fleet) refreshConfig(ctx context.Context) (int64, error) {
	changeSets, version, err := f.configStore.Changes(ctx, f.config.Snapshot().Revision())
	if err != nil {
		return 0, merry.Errorf("read configuration changes: %w", err)
	}
	return version, f.config.Apply(changeSets)
}

// watch reads from the platform for one poll interval: it reads the configuration
// log and the VM list once, and then watches the log. The read at the start of
// each interval finds changes that a watch reports late or never. It reports
// whether the log was read, and returns the first error of a read of the log.
func (f *Fleet) watch(ctx context.Context) (read bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, pollInterval)
	defer cancel()
	version, err := f.refreshConfig(ctx)
	if err != nil {
		return false, err
	}
	if vms, err := f.platform.VMs(ctx); err == nil {
		f.setVMs(vms)
	}
	for ctx.Err() == nil {
		changed, next, err := f.configStore.Wait(ctx, version)
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
		if version, err = f.refreshConfig(ctx); err != nil {
			return true, err
		}
	}
	return true, nil
}
