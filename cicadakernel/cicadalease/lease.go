// Package cicadalease implements leases stored as objects of the platform. The
// holder of a lease renews it periodically. Another process may acquire the lease
// after it has observed no change for the lease duration, measured with its own
// monotonic clock. Clocks of different processes are never compared, so clock
// steps have no effect.
//
// A lease does not guarantee a single owner, because a paused holder does not
// detect that its lease has expired. An owner's writes must therefore be fenced
// too, as cicadalog does.
//
// # Usage
//
//	lease := cicadalease.New(store, "shard/007/lease", "entry-1", "127.0.0.1:7001", nonce)
//	held, err := lease.TryAcquire(ctx) // succeeds if it is free or has expired
//	err = lease.Renew(ctx)             // every Duration/3 while held
//	err = lease.Release(ctx)           // lets another process acquire it at once
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

// Duration is how long a lease is valid without renewal. Another process waits for
// TakeoverMargin longer before it acquires the lease.
const (
	Duration       = 5 * time.Second
	TakeoverMargin = time.Second
)

// ErrLost reports that another process has acquired the lease.
var ErrLost = merry.Sentinel("cicadalease: lease lost")

// A Lease is one process's handle on a lease.
type Lease struct {
	store   *cicadaplatform.Client
	name    string
	owner   string
	address string
	nonce   func() uint64

	mu         sync.Mutex
	version    int64 // object version of value, or 0
	value      *cicadawire.LeaseValue
	changedAt  time.Time // when version was first observed
	held       bool
	validUntil time.Time
}

// New returns a handle on the lease stored in the named object. The address is
// where other processes reach the owner. Each call of nonce must return a different
// number.
func New(store *cicadaplatform.Client, name, owner, address string, nonce func() uint64) *Lease {
	return &Lease{store: store, name: name, owner: owner, address: address, nonce: nonce}
}

// Valid reports whether this process holds the lease and has renewed it within
// Duration.
func (l *Lease) Valid() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held && time.Now().Before(l.validUntil)
}

// Owner returns the owner and address that were last observed, which may be out of
// date.
func (l *Lease) Owner() (owner, address string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.value.GetOwner(), l.value.GetAddress()
}

// Refresh reads the lease without trying to acquire it.
func (l *Lease) Refresh(ctx context.Context) error {
	obj, err := l.store.Get(ctx, l.name)
	if errors.Is(err, cicadaplatform.ErrNotFound) {
		l.observe(0, &cicadawire.LeaseValue{})
		return nil
	}
	if err != nil {
		return merry.Errorf("read lease: %w", err)
	}
	value := &cicadawire.LeaseValue{}
	if err := proto.Unmarshal(obj.Value(), value); err != nil {
		return merry.Errorf("decode lease: %w", err)
	}
	l.observe(obj.Version(), value)
	return nil
}

// observe records the state that was read, and the time if the version has changed.
func (l *Lease) observe(version int64, value *cicadawire.LeaseValue) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.value == nil || version != l.version {
		l.changedAt = time.Now()
	}
	l.version = version
	l.value = value
}

// TryAcquire reads the lease and acquires it if it is free or has expired. It
// reports whether it acquired the lease.
func (l *Lease) TryAcquire(ctx context.Context) (bool, error) {
	if err := l.Refresh(ctx); err != nil {
		return false, err
	}
	l.mu.Lock()
	version, value, unchangedFor := l.version, l.value, time.Since(l.changedAt)
	l.mu.Unlock()
	if value.GetOwner() != "" && unchangedFor < Duration+TakeoverMargin {
		return false, nil
	}
	return l.acquire(ctx, version, value.GetTerm()+1)
}

func (l *Lease) acquire(ctx context.Context, version, term int64) (bool, error) {
	started := time.Now()
	value := &cicadawire.LeaseValue{Owner: l.owner, Address: l.address, Nonce: l.nonce(), Term: term}
	obj, err := l.write(ctx, version, value)
	if isConflict(err) {
		return false, nil
	}
	if err != nil {
		return false, merry.Errorf("acquire lease: %w", err)
	}
	l.setHeld(obj.Version(), value, started)
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

// setHeld records a write of this process. The lease is valid from the start of the
// write, because other processes may observe it at any time after that.
func (l *Lease) setHeld(version int64, value *cicadawire.LeaseValue, started time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.version, l.value, l.changedAt = version, value, started
	l.held, l.validUntil = true, started.Add(Duration)
}

// isConflict reports whether a write failed because another process has changed the
// object.
func isConflict(err error) bool {
	return errors.Is(err, cicadaplatform.ErrConflict) || errors.Is(err, cicadaplatform.ErrExists) || errors.Is(err, cicadaplatform.ErrNotFound)
}

// Renew extends a held lease. It returns ErrLost if the lease is not held any more.
func (l *Lease) Renew(ctx context.Context) error {
	l.mu.Lock()
	version, current, held := l.version, l.value, l.held
	l.mu.Unlock()
	if !held {
		return merry.Errorf("renew lease: %w", ErrLost)
	}
	started := time.Now()
	value := &cicadawire.LeaseValue{Owner: l.owner, Address: l.address, Nonce: l.nonce(), Term: current.GetTerm()}
	obj, err := l.write(ctx, version, value)
	if isConflict(err) {
		l.setLost()
		return merry.Errorf("renew lease: %w", ErrLost)
	}
	if err != nil {
		return merry.Errorf("renew lease: %w", err)
	}
	l.setHeld(obj.Version(), value, started)
	return nil
}

// setLost also discards the value, so that the next value read counts as a change
// and starts a full wait for expiry.
func (l *Lease) setLost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held = false
	l.value = nil
}

// Release releases a held lease, so that another process can acquire it at once.
func (l *Lease) Release(ctx context.Context) error {
	l.mu.Lock()
	version, current, held := l.version, l.value, l.held
	l.held = false
	l.mu.Unlock()
	if !held {
		return nil
	}
	value := &cicadawire.LeaseValue{Nonce: l.nonce(), Term: current.GetTerm()}
	if _, err := l.write(ctx, version, value); err != nil && !isConflict(err) {
		return merry.Errorf("release lease: %w", err)
	}
	return nil
}
