// Package cicadashard manages the shards of the system's durable state: batch
// jobs, their items, and the claims of calls with an idempotency key. The owner
// of a shard is the entry that holds the shard's lease and appends to its log.
// A lease alone does not exclude two owners at once, for example after a pause
// of the process; fencing in the log rejects the appends of the former owner.
//
// # Usage
//
//	manager := cicadashard.New(cfg, deps)
//	reply, err := manager.Job(ctx, request) // locally or at the shard's owner
//	reply, err := manager.Claim(ctx, claim) // likewise
//	manager.Close()                         // release all shards
//
// All jobs of a customer are in one shard, so that the customer's batch limits can
// be enforced there without a distributed counter. Claims of keyed calls are spread
// over a few shards only, so that many of them share one write.
package cicadashard

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"
	"github.com/uber-go/tally/v4"

	"cicadalink.example/cicadaentry/cicadadispatch"
	"cicadalink.example/cicadaentry/cicadafile"
	"cicadalink.example/cicadakernel/cicadaconfig"
	"cicadalink.example/cicadakernel/cicadalease"
	"cicadalink.example/cicadakernel/cicadamember"
	"cicadalink.example/cicadakernel/cicadamemory"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadaretry"
	"cicadalink.example/cicadakernel/cicadatask"
	"cicadalink.example/cicadakernel/cicadawire"
)

const (
	// DefaultShardCount is the number of shards of a deployment that sets none.
	// The number must not change while jobs exist, because it decides which
	// shard holds a customer's jobs.
	DefaultShardCount = 16
	// claimShardCount is the number of shards that hold claims. Claims of one
	// shard are written together, so fewer shards mean fewer writes.
	claimShardCount      = 4
	candidatesPerShard   = 3
	leaseAttemptInterval = 1500 * time.Millisecond
	leaseRenewInterval   = 2 * time.Second
	ownerCallTimeout     = 10 * time.Second
	// ownerAttemptTimeout limits an attempt at a remote owner, so that others have time after one
	// over a connection that has fallen silent. Calls may be repeated.
	ownerAttemptTimeout = 3 * time.Second
	ownerRetryInterval  = 200 * time.Millisecond
	releaseTimeout      = 5 * time.Second
)

// ErrNotOwner reports a request for a shard that this entry does not own.
var ErrNotOwner = merry.Sentinel("cicadashard: not the shard's owner")

// A Dispatcher sends requests to endpoints. Run passes the chunks of the response
// to sink.
type Dispatcher interface {
	Run(ctx context.Context, req *cicadadispatch.Request, sink func(cicadadispatch.Chunk) error) (*cicadadispatch.Result, error)
}

// Peers lists the entries of the deployment, from which the candidates for a shard
// are selected.
type Peers interface {
	EntryNames() []string
}

// Deps holds the dependencies of a Manager.
type Deps struct {
	// Store is the client of the platform's Object API.
	Store *cicadaplatform.Client
	// Files stores the uploaded files, which are the input of jobs.
	Files *cicadafile.Store
	// Config returns the current configuration.
	Config func() *cicadaconfig.Snapshot
	// Dispatcher sends the requests of items, and queries to services.
	Dispatcher Dispatcher
	// Peers lists the entries of the deployment.
	Peers Peers
	// Dial returns a client of the entry at an address.
	Dial func(address string) cicadawire.DRPCEntryClient
	// QueryAttempt queries the agents of a group for the outcome of a keyed call.
	// The parameter key is the attempt under which the call was claimed.
	QueryAttempt func(ctx context.Context, group, customer, key string) (*cicadawire.AttemptReply, error)
	// Nonce returns numbers that are unique across all entries and restarts.
	Nonce func() uint64
	// Memory is the budget for responses that are collected; nil if they are limited one by one only.
	Memory *cicadamemory.Budget
	// Log receives log lines, and Scope metrics.
	Log   hclog.Logger
	Scope tally.Scope
}

// Config holds the settings of a Manager. Zero values select the defaults.
type Config struct {
	// Name is the entry's name, and Address the address at which other entries
	// reach it.
	Name    string
	Address string
	// Shards is the number of shards, the same at every entry.
	Shards int
	// FlushInterval is how long item results are collected before they are
	// written together, and ClaimInterval how long claims are.
	FlushInterval time.Duration
	ClaimInterval time.Duration
	// MaxRunningItems limits the batch items of one shard that run at once.
	MaxRunningItems int
}

const (
	defaultFlushInterval   = 2 * time.Second
	defaultClaimInterval   = 50 * time.Millisecond
	defaultMaxRunningItems = 256
)

// A Manager runs the shards that this entry owns, and forwards requests for the
// others to their owners.
type Manager struct {
	cfg     Config
	deps    Deps
	ownerID string
	cancel  context.CancelFunc
	tasks   cicadatask.Group

	mu             sync.Mutex
	owners         map[int]*owner
	ownerAddresses map[int]string
}

// New returns a manager and starts its attempts to acquire the shards' leases.
func New(cfg Config, deps Deps) *Manager {
	if cfg.Shards == 0 {
		cfg.Shards = DefaultShardCount
	}
	if cfg.FlushInterval == 0 {
		cfg.FlushInterval = defaultFlushInterval
	}
	if cfg.ClaimInterval == 0 {
		cfg.ClaimInterval = defaultClaimInterval
	}
	if cfg.MaxRunningItems == 0 {
		cfg.MaxRunningItems = defaultMaxRunningItems
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{
		cfg:            cfg,
		deps:           deps,
		ownerID:        fmt.Sprintf("%s/%x", cfg.Name, deps.Nonce()),
		cancel:         cancel,
		owners:         make(map[int]*owner),
		ownerAddresses: make(map[int]string),
	}
	for shard := range cfg.Shards {
		m.tasks.Go(func() { m.acquireShard(ctx, shard) })
	}
	return m
}

// Close releases all shards and waits until that is done.
func (m *Manager) Close() {
	m.cancel()
	m.tasks.Wait()
}

// OwnedShards returns the numbers of the shards that this entry owns, including
// those whose lease has expired but which are not closed yet.
func (m *Manager) OwnedShards() []int {
	m.mu.Lock()
	defer m.mu.Unlock()
	var owned []int
	for shard := range m.owners {
		owned = append(owned, shard)
	}
	return owned
}

// ServingShards returns the numbers of the shards for which this entry handles
// requests now: those that it owns under a valid lease.
func (m *Manager) ServingShards() []int {
	var serving []int
	for shard := range m.cfg.Shards {
		if _, ok := m.localOwner(shard); ok {
			serving = append(serving, shard)
		}
	}
	return serving
}

// ShardOfCustomer returns the number of the shard that holds a customer's jobs.
func (m *Manager) ShardOfCustomer(customer string) int {
	return int(xxhash.Sum64String(customer) % uint64(m.cfg.Shards))
}

// ShardOfKey returns the number of the shard that holds the claim of a keyed
// call.
func (m *Manager) ShardOfKey(customer, key string) int {
	return int(xxhash.Sum64String(customer+"\x00"+key) % uint64(min(m.cfg.Shards, claimShardCount)))
}

func shardPrefix(shard int) string { return fmt.Sprintf("shard/%03d", shard) }

func (m *Manager) newLease(shard int) *cicadalease.Lease {
	return cicadalease.New(m.deps.Store, shardPrefix(shard)+"/lease", m.ownerID, m.cfg.Address, m.deps.Nonce)
}

// isCandidate reports whether this entry is one of the candidatesPerShard entries
// that may acquire a shard.
func (m *Manager) isCandidate(shard int) bool {
	names := m.deps.Peers.EntryNames()
	for _, name := range cicadamember.Top(shardPrefix(shard), names, candidatesPerShard) {
		if name == m.cfg.Name {
			return true
		}
	}
	return len(names) == 0
}

// acquireShard tries repeatedly to acquire a shard's lease while this entry is a
// candidate, and runs the shard while it holds the lease. It returns when ctx ends.
func (m *Manager) acquireShard(ctx context.Context, shard int) {
	lease := m.newLease(shard)
	for {
		if m.isCandidate(shard) {
			held, err := lease.TryAcquire(ctx)
			if err != nil && ctx.Err() == nil {
				m.deps.Scope.Counter("lease_failures").Inc(1)
			}
			if held {
				m.runShard(ctx, shard, lease)
			}
		}
		if !cicadaretry.Sleep(ctx, jittered(leaseAttemptInterval)) {
			return
		}
	}
}

// runShard runs a shard until its lease is lost, its log's writer stops, or ctx
// ends. It then closes the shard and releases the lease.
func (m *Manager) runShard(ctx context.Context, shard int, lease *cicadalease.Lease) {
	o := newOwner(m, shard, lease)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var tasks conc.WaitGroup
	tasks.Go(func() {
		defer cancel()
		m.renewLease(ctx, lease)
	})
	err := o.open(ctx)
	if err == nil {
		m.deps.Log.Info("shard acquired", "shard", shard, "epoch", o.epoch(), "next", o.writer.Next())
		m.setOwner(shard, o)
		err = o.run(ctx)
		m.setOwner(shard, nil)
	}
	cancel()
	tasks.Wait()
	releaseCtx, cancelRelease := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancelRelease()
	o.close(releaseCtx)
	_ = lease.Release(releaseCtx)
	m.deps.Log.Info("shard released", "shard", shard, "cause", err)
}

func (m *Manager) setOwner(shard int, o *owner) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o == nil {
		delete(m.owners, shard)
		return
	}
	m.owners[shard] = o
}

func (m *Manager) renewLease(ctx context.Context, lease *cicadalease.Lease) {
	for cicadaretry.Sleep(ctx, leaseRenewInterval) {
		err := lease.Renew(ctx)
		if errors.Is(err, cicadalease.ErrLost) {
			return
		}
	}
}

// localOwner returns the owner of a shard if it is this entry and its lease is valid.
// After a pause that outlasted the lease, another entry may own the shard, so
// requests must not be handled here.
func (m *Manager) localOwner(shard int) (*owner, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.owners[shard]
	if !ok || !o.lease.Valid() {
		return nil, false
	}
	return o, true
}

// ownerAddress returns the address of the entry that owns a shard, from the cache
// or else from the shard's lease.
func (m *Manager) ownerAddress(ctx context.Context, shard int) (string, error) {
	m.mu.Lock()
	address, ok := m.ownerAddresses[shard]
	m.mu.Unlock()
	if ok {
		return address, nil
	}
	lease := m.newLease(shard)
	if err := lease.Refresh(ctx); err != nil {
		return "", merry.Errorf("find owner of shard %d: %w", shard, err)
	}
	_, address = lease.Owner()
	if address == "" || address == m.cfg.Address {
		return "", merry.Errorf("shard %d: %w", shard, ErrNotOwner)
	}
	m.mu.Lock()
	m.ownerAddresses[shard] = address
	m.mu.Unlock()
	return address, nil
}

func (m *Manager) forgetOwner(shard int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.ownerAddresses, shard)
}

// callOwner calls local if this entry owns the shard, else remote with a client
// of the owner. If the call returns ErrNotOwner, it looks up the owner again and
// retries until ownerCallTimeout.
func (m *Manager) callOwner(ctx context.Context, shard int, local func(*owner) error, remote func(context.Context, cicadawire.DRPCEntryClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, ownerCallTimeout)
	defer cancel()
	for {
		err := m.callOwnerOnce(ctx, shard, local, remote)
		if err == nil || !errors.Is(err, ErrNotOwner) {
			return err
		}
		m.forgetOwner(shard)
		if !cicadaretry.Sleep(ctx, jittered(ownerRetryInterval)) {
			return merry.Errorf("shard %d has no owner: %w", shard, err)
		}
	}
}

func (m *Manager) callOwnerOnce(ctx context.Context, shard int, local func(*owner) error, remote func(context.Context, cicadawire.DRPCEntryClient) error) error {
	if o, ok := m.localOwner(shard); ok {
		return local(o)
	}
	address, err := m.ownerAddress(ctx, shard)
	if err != nil {
		return merry.Errorf("%w: %w", ErrNotOwner, err)
	}
	ctx, cancel := context.WithTimeout(ctx, ownerAttemptTimeout)
	defer cancel()
	return remote(ctx, m.deps.Dial(address))
}
