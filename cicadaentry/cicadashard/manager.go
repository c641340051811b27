// Package cicadashard owns shards of the system's durable state: batch jobs,
// their items, and the claims of keyed calls. Each shard has one owner at a
// time, an entry that holds the shard's lease and appends to its log. The lease
// makes one owner likely; the log's fence makes a second one harmless.
//
// # Usage
//
//	manager := cicadashard.New(cfg, deps)
//	reply := manager.Job(ctx, request)      // here or at the shard's owner
//	reply, err := manager.Claim(ctx, claim) // likewise
//	manager.Close(ctx)                      // hand all shards over
//
// A customer's jobs are all in one shard, so its batch limits hold there
// without a distributed counter. Keyed calls are spread over a few
// shards, so that their claims share writes.
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
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadaretry"
	"cicadalink.example/cicadakernel/cicadawire"
)

const (
	// DefaultShards is how many shards a deployment has. It must not change
	// while jobs exist.
	DefaultShards = 16
	// claimShards is how many of the shards hold claims. A claim waits for others
	// to share its write, so few shards make few writes.
	claimShards   = 4
	candidates    = 3
	tryInterval   = 1500 * time.Millisecond
	renewInterval = 2 * time.Second
	ownerTimeout  = 10 * time.Second
	ownerRetry    = 200 * time.Millisecond
	releaseLimit  = 5 * time.Second
)

// ErrNotOwner reports a request for a shard that this entry does not own.
var ErrNotOwner = merry.Sentinel("cicadashard: not the shard's owner")

// A Runner carries requests to endpoints.
type Runner interface {
	Run(ctx context.Context, req *cicadadispatch.Request, sink func(cicadadispatch.Piece) error) (*cicadadispatch.Result, error)
}

// Peers finds the other entries.
type Peers interface {
	EntryNames() []string
}

// Deps are what a manager works with.
type Deps struct {
	// Store is the platform.
	Store *cicadaplatform.Client
	// Files are the uploaded files.
	Files *cicadafile.Files
	// Config returns the configuration in force.
	Config func() *cicadaconfig.Snapshot
	// Runner carries items to endpoints.
	Runner Runner
	// Peers are the other entries.
	Peers Peers
	// Dial returns the client of another entry.
	Dial func(address string) cicadawire.DRPCEntryClient
	// Ask asks the agents of a group what became of a keyed call.
	Ask func(ctx context.Context, group, customer, key string) (*cicadawire.AttemptReply, error)
	// Nonce returns numbers that do not repeat.
	Nonce func() uint64
	// Log and Scope are where the manager logs and counts.
	Log   hclog.Logger
	Scope tally.Scope
}

// Config is a manager's own settings.
type Config struct {
	// Name is the entry's name, and Address where other entries reach it.
	Name    string
	Address string
	// Shards is how many shards there are.
	Shards int
	// FlushInterval is how long results wait for others before they are
	// written, and ClaimInterval how long claims do.
	FlushInterval time.Duration
	ClaimInterval time.Duration
	// Width is how many batch items of one shard run at once.
	Width int
}

const (
	defaultFlush = 2 * time.Second
	defaultClaim = 50 * time.Millisecond
	defaultWidth = 256
)

// A Manager owns shards, and finds the owners of the others.
type Manager struct {
	cfg    Config
	deps   Deps
	id     string
	cancel context.CancelFunc
	tasks  conc.WaitGroup

	mu     sync.Mutex
	owners map[int]*owner
	known  map[int]string
}

// New returns a manager and starts to compete for shards.
func New(cfg Config, deps Deps) *Manager {
	if cfg.Shards == 0 {
		cfg.Shards = DefaultShards
	}
	if cfg.FlushInterval == 0 {
		cfg.FlushInterval = defaultFlush
	}
	if cfg.ClaimInterval == 0 {
		cfg.ClaimInterval = defaultClaim
	}
	if cfg.Width == 0 {
		cfg.Width = defaultWidth
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &Manager{
		cfg:    cfg,
		deps:   deps,
		id:     fmt.Sprintf("%s/%x", cfg.Name, deps.Nonce()),
		cancel: cancel,
		owners: make(map[int]*owner),
		known:  make(map[int]string),
	}
	for shard := range cfg.Shards {
		m.tasks.Go(func() { m.compete(ctx, shard) })
	}
	return m
}

// Close hands all shards over and waits until that is done.
func (m *Manager) Close() {
	m.cancel()
	m.tasks.Wait()
}

// Owned returns the numbers of the shards that this entry owns.
func (m *Manager) Owned() []int {
	m.mu.Lock()
	defer m.mu.Unlock()
	var owned []int
	for shard := range m.owners {
		owned = append(owned, shard)
	}
	return owned
}

// Answering returns the numbers of the shards for which this entry would answer
// now: those that it owns under a valid lease.
func (m *Manager) Answering() []int {
	var answering []int
	for shard := range m.cfg.Shards {
		if _, ok := m.owner(shard); ok {
			answering = append(answering, shard)
		}
	}
	return answering
}

// ShardOfCustomer returns the shard of a customer's jobs.
func (m *Manager) ShardOfCustomer(customer string) int {
	return int(xxhash.Sum64String(customer) % uint64(m.cfg.Shards))
}

// ShardOfKey returns the shard of a keyed call.
func (m *Manager) ShardOfKey(customer, key string) int {
	return int(xxhash.Sum64String(customer+"\x00"+key) % uint64(min(m.cfg.Shards, claimShards)))
}

func shardPrefix(shard int) string { return fmt.Sprintf("shard/%03d", shard) }

func (m *Manager) newLease(shard int) *cicadalease.Lease {
	return cicadalease.New(m.deps.Store, shardPrefix(shard)+"/lease", m.id, m.cfg.Address, m.deps.Nonce)
}

// isCandidate reports whether this entry is among those that try for a shard.
func (m *Manager) isCandidate(shard int) bool {
	names := m.deps.Peers.EntryNames()
	for _, name := range cicadamember.Top(shardPrefix(shard), names, candidates) {
		if name == m.cfg.Name {
			return true
		}
	}
	return len(names) == 0
}

// compete tries for a shard's lease, and owns the shard while it holds it.
func (m *Manager) compete(ctx context.Context, shard int) {
	lease := m.newLease(shard)
	for {
		if m.isCandidate(shard) {
			held, err := lease.Try(ctx)
			if err != nil && ctx.Err() == nil {
				m.deps.Scope.Counter("lease_failures").Inc(1)
			}
			if held {
				m.own(ctx, shard, lease)
			}
		}
		if !cicadaretry.Wait(ctx, jittered(tryInterval)) {
			return
		}
	}
}

// own runs a shard until its lease or its log is lost, or ctx ends.
func (m *Manager) own(ctx context.Context, shard int, lease *cicadalease.Lease) {
	o := newOwner(m, shard, lease)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var tasks conc.WaitGroup
	tasks.Go(func() {
		defer cancel()
		m.renew(ctx, lease)
	})
	err := o.open(ctx)
	if err == nil {
		m.deps.Log.Info("shard owned", "shard", shard, "epoch", o.epoch(), "next", o.writer.Next())
		m.setOwner(shard, o)
		err = o.run(ctx)
		m.setOwner(shard, nil)
	}
	cancel()
	tasks.Wait()
	release, stop := context.WithTimeout(context.WithoutCancel(ctx), releaseLimit)
	defer stop()
	o.close(release)
	_ = lease.Release(release)
	m.deps.Log.Info("shard given up", "shard", shard, "cause", err)
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

func (m *Manager) renew(ctx context.Context, lease *cicadalease.Lease) {
	for cicadaretry.Wait(ctx, renewInterval) {
		err := lease.Renew(ctx)
		if errors.Is(err, cicadalease.ErrLost) {
			return
		}
	}
}

// owner returns the shard's owner here, if its lease is valid now. A holder that
// was paused past its term must not answer: another may own the shard.
func (m *Manager) owner(shard int) (*owner, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.owners[shard]
	if !ok || !o.lease.Valid() {
		return nil, false
	}
	return o, true
}

// address returns where a shard's owner is, from memory or from its lease.
func (m *Manager) address(ctx context.Context, shard int) (string, error) {
	m.mu.Lock()
	address, ok := m.known[shard]
	m.mu.Unlock()
	if ok {
		return address, nil
	}
	lease := m.newLease(shard)
	if err := lease.Look(ctx); err != nil {
		return "", merry.Errorf("find owner of shard %d: %w", shard, err)
	}
	_, address = lease.Owner()
	if address == "" || address == m.cfg.Address {
		return "", merry.Errorf("shard %d: %w", shard, ErrNotOwner)
	}
	m.mu.Lock()
	m.known[shard] = address
	m.mu.Unlock()
	return address, nil
}

func (m *Manager) forget(shard int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.known, shard)
}

// atOwner calls here if this entry owns the shard, else there with the owner's
// client, until one answers. Both report ErrNotOwner to have the owner looked
// up again.
func (m *Manager) atOwner(ctx context.Context, shard int, here func(*owner) error, there func(cicadawire.DRPCEntryClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, ownerTimeout)
	defer cancel()
	for {
		err := m.tryOwner(ctx, shard, here, there)
		if err == nil || !errors.Is(err, ErrNotOwner) {
			return err
		}
		m.forget(shard)
		if !cicadaretry.Wait(ctx, jittered(ownerRetry)) {
			return merry.Errorf("shard %d has no owner: %w", shard, err)
		}
	}
}

func (m *Manager) tryOwner(ctx context.Context, shard int, here func(*owner) error, there func(cicadawire.DRPCEntryClient) error) error {
	if o, ok := m.owner(shard); ok {
		return here(o)
	}
	address, err := m.address(ctx, shard)
	if err != nil {
		return merry.Errorf("%w: %w", ErrNotOwner, err)
	}
	return there(m.deps.Dial(address))
}
