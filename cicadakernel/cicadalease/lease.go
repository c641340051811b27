// Package cicadalease holds leases on objects of the platform. A lease has a
// term; whoever holds it renews it, and another may take it over once it has
// not changed for the term, measured on the taker's own monotonic clock. No two
// clocks are compared, so a clock step does no harm.
//
// A lease makes one owner likely, not certain: its holder may be paused. What
// an owner writes must be fenced as well, as cicadalog does.
//
// # Usage
//
//	lease := cicadalease.New(store, "shard/007/lease", "entry-1", "127.0.0.1:7001", nonce)
//	held, err := lease.Try(ctx)    // take it if it is free or has lapsed
//	err = lease.Renew(ctx)         // every Term/3 while held
//	err = lease.Release(ctx)       // hand over at once
package cicadalease

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadawire"
)

// Term is how long a lease lasts without renewal, and Margin how much longer a
// taker waits.
const (
	Term   = 5 * time.Second
	Margin = time.Second
)

// ErrLost reports that another holder has the lease.
var ErrLost = merry.Sentinel("cicadalease: lease lost")

// A Lease is one process's view of a lease.
type Lease struct {
	store   *cicadaplatform.Client
	name    string
	owner   string
	address string
	nonce   func() uint64

	mu       sync.Mutex
	version  int64
	seen     *cicadawire.LeaseValue
	seenAt   time.Time
	held     bool
	validTil time.Time
}

// New returns a lease on the named object. The address is where other
// processes reach the owner; nonce returns numbers that do not repeat.
func New(store *cicadaplatform.Client, name, owner, address string, nonce func() uint64) *Lease {
	return &Lease{store: store, name: name, owner: owner, address: address, nonce: nonce}
}

// Valid reports whether the lease is held and was renewed within its term.
func (l *Lease) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held && time.Now().Before(l.validTil)
}

// Owner returns the owner and address last seen, which may be out of date.
func (l *Lease) Owner() (owner, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.seen.GetOwner(), l.seen.GetAddress()
}

// Look reads the lease without trying to take it.
func (l *Lease) Look(ctx context.Context) error {
	obj, err := l.store.Get(ctx, l.name)
	if errors.Is(err, cicadaplatform.ErrNotFound) {
		l.note(0, &cicadawire.LeaseValue{})
		return nil
	}
	if err != nil {
		return merry.Errorf("look at lease: %w", err)
	}
	value := &cicadawire.LeaseValue{}
	if err := proto.Unmarshal(obj.Value(), value); err != nil {
		return merry.Errorf("decode lease: %w", err)
	}
	l.note(obj.Version(), value)
	return nil
}

func (l *Lease) note(version int64, value *cicadawire.LeaseValue) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.seen == nil || version != l.version {
		l.seenAt = time.Now()
	}
	l.version = version
	l.seen = value
}

// Try looks at the lease and takes it when it is free or has lapsed. It
// reports whether this process holds it now.
func (l *Lease) Try(ctx context.Context) (bool, error) {
	if err := l.Look(ctx); err != nil {
		return false, err
	}
	l.mu.Lock()
	version, value, idle := l.version, l.seen, time.Since(l.seenAt)
	l.mu.Unlock()
	if value.GetOwner() != "" && idle < Term+Margin {
		return false, nil
	}
	return l.take(ctx, version, value.GetTerm()+1)
}

func (l *Lease) take(ctx context.Context, version, term int64) (bool, error) {
	started := time.Now()
	value := &cicadawire.LeaseValue{Owner: l.owner, Address: l.address, Nonce: l.nonce(), Term: term}
	obj, err := l.write(ctx, version, value)
	if isLost(err) {
		return false, nil
	}
	if err != nil {
		return false, merry.Errorf("take lease: %w", err)
	}
	l.hold(obj.Version(), value, started)
	return true, nil
}

func (l *Lease) write(ctx context.Context, version int64, value *cicadawire.LeaseValue) (cicadaplatform.Object, error) {
	data, err := proto.Marshal(value)
	if err != nil {
		return cicadaplatform.Object{}, merry.Errorf("encode lease: %w", err)
	}
	if version == 0 {
		return l.store.Create(ctx, cicadaplatform.ClassLease, l.name, data)
	}
	return l.store.Update(ctx, cicadaplatform.ClassLease, l.name, version, data)
}

func (l *Lease) hold(version int64, value *cicadawire.LeaseValue, started time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version, l.seen, l.seenAt = version, value, started
	l.held, l.validTil = true, started.Add(Term)
}

func isLost(err error) bool {
	return errors.Is(err, cicadaplatform.ErrConflict) || errors.Is(err, cicadaplatform.ErrExists) || errors.Is(err, cicadaplatform.ErrNotFound)
}

// Renew extends a held lease, or returns ErrLost.
func (l *Lease) Renew(ctx context.Context) error {
	l.mu.Lock()
	version, seen, held := l.version, l.seen, l.held
	l.mu.Unlock()
	if !held {
		return merry.Errorf("renew lease: %w", ErrLost)
	}
	started := time.Now()
	value := &cicadawire.LeaseValue{Owner: l.owner, Address: l.address, Nonce: l.nonce(), Term: seen.GetTerm()}
	obj, err := l.write(ctx, version, value)
	if isLost(err) {
		l.drop()
		return merry.Errorf("renew lease: %w", ErrLost)
	}
	if err != nil {
		return merry.Errorf("renew lease: %w", err)
	}
	l.hold(obj.Version(), value, started)
	return nil
}

func (l *Lease) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = false
	l.seen = nil
}

// Release gives a held lease up, so that another may take it at once.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	version, seen, held := l.version, l.seen, l.held
	l.held = false
	l.mu.Unlock()
	if !held {
		return nil
	}
	value := &cicadawire.LeaseValue{Nonce: l.nonce(), Term: seen.GetTerm()}
	if _, err := l.write(ctx, version, value); err != nil && !isLost(err) {
		return merry.Errorf("release lease: %w", err)
	}
	return nil
}
