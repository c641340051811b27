package cicadaprocess

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/hashicorp/go-hclog"

	"cicadalink.example/cicadagateway/cicadafollow"
	"cicadalink.example/cicadagateway/cicadapeer"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadaretry"
	"cicadalink.example/cicadakernel/cicadatask"
	adapter "cicadalink.example/platform"
)

const (
	peersPrefix        = adapter.OwnKindPrefix + "peers/"
	registerRetryDelay = 500 * time.Millisecond // between attempts to register
	// cleanupInterval is the interval at which expired registrations are deleted.
	cleanupInterval = 15 * time.Second
	// registrationTTL is how long a process must not have been seen before its
	// registration is deleted. A process that is alive registers again when it sees the
	// deletion.
	registrationTTL = 90 * time.Second
)

// directory registers the address of this process in the store, where the processes
// discover each other, and deletes registrations of processes that no longer exist.
type directory struct {
	self         cicadapeer.Member
	store        *cicadaplatform.Client
	log          hclog.Logger
	onMembers    func([]cicadapeer.Member) // receives the members that are registered
	recentlySeen func(name string) bool    // reports whether a process was seen recently
	isCleaner    func() bool               // reports whether this process is the one that deletes registrations

	listed        atomic.Bool // the registrations in the store have been received
	mu            sync.Mutex
	registrations map[string]registration // by object name
	removed       chan struct{}           // signals that this process's registration was deleted
	wg            cicadatask.Group
}

type registration struct {
	version  int64
	member   string
	lastSeen time.Time // when the process was last seen, or its registration first seen
}

// start registers this process, and keeps it registered and expired registrations
// deleted until ctx is done.
func (d *directory) start(ctx context.Context) {
	d.registrations, d.removed = make(map[string]registration), make(chan struct{}, 1)
	d.wg.Go(func() {
		for d.register(ctx) {
			select {
			case <-d.removed:
				d.log.Warn("registration deleted, registering again", "name", d.self.Name)
			case <-ctx.Done():
				return
			}
		}
	})
	d.wg.Go(func() {
		for cicadaretry.Sleep(ctx, cleanupInterval) {
			d.deleteExpired(ctx)
		}
	})
}

// register writes this process's address to the store, retrying until it succeeds. It
// returns false if ctx is done first.
func (d *directory) register(ctx context.Context) bool {
	value, err := json.Marshal(d.self)
	if err != nil {
		d.log.Error("failed to encode registration", "error", err)
		return false
	}
	for {
		err := d.put(ctx, peersPrefix+d.self.Name, value)
		if err == nil {
			d.log.Info("registered", "name", d.self.Name, "address", d.self.Address)
			return true
		}
		d.log.Debug("failed to register, retrying", "error", err)
		if !cicadaretry.Sleep(ctx, registerRetryDelay) {
			return false
		}
	}
}

// put creates the object, or updates it if its value differs.
func (d *directory) put(ctx context.Context, name string, value []byte) error {
	_, err := d.store.Create(ctx, cicadaplatform.ClassLease, name, value)
	if !errors.Is(err, cicadaplatform.ErrExists) {
		return err
	}
	old, err := d.store.Get(ctx, name)
	if err != nil {
		return err
	}
	if string(old.Value()) == string(value) {
		return nil
	}
	_, err = d.store.Update(ctx, cicadaplatform.ClassLease, name, old.Version(), value)
	return err
}

// apply processes a change of the registrations in the store.
func (d *directory) apply(c cicadafollow.Change) {
	d.onMembers(d.update(c, time.Now()))
	if c.Full() {
		d.listed.Store(true)
	}
}

func (d *directory) update(c cicadafollow.Change, now time.Time) []cicadapeer.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	own, known := peersPrefix+d.self.Name, d.registrations
	_, wasRegistered := known[own]
	if c.Full() {
		d.registrations = make(map[string]registration, len(known))
	}
	var members []cicadapeer.Member
	for _, obj := range c.Objects() {
		if obj.Value() == nil {
			delete(d.registrations, obj.Name())
			continue
		}
		m, err := decodeMember(obj)
		if err != nil {
			d.log.Warn("invalid peer registration ignored", "name", strings.TrimPrefix(obj.Name(), peersPrefix), "error", err)
			continue
		}
		members = append(members, m)
		next := registration{version: obj.Version(), member: m.Name, lastSeen: now}
		if old, ok := known[obj.Name()]; ok && old.version == next.version {
			next.lastSeen = old.lastSeen
		}
		d.registrations[obj.Name()] = next
	}
	if _, isRegistered := d.registrations[own]; wasRegistered && !isRegistered {
		d.signalRemoved()
	}
	return members
}

// decodeMember decodes a registration. One whose name is not that of its object is damaged.
func decodeMember(obj cicadaplatform.Object) (cicadapeer.Member, error) {
	var m cicadapeer.Member
	if err := json.Unmarshal(obj.Value(), &m); err != nil {
		return m, merry.Errorf("decode registration: %w", err)
	}
	if peersPrefix+m.Name != obj.Name() {
		return m, merry.Errorf("registration of %q under another name", m.Name)
	}
	return m, nil
}

func (d *directory) signalRemoved() {
	select {
	case d.removed <- struct{}{}:
	default:
	}
}

// deleteExpired deletes the registrations of processes that have not been seen for
// registrationTTL.
func (d *directory) deleteExpired(ctx context.Context) {
	if !d.isCleaner() {
		return
	}
	for name, version := range d.expired(time.Now()) {
		err := d.store.Delete(ctx, cicadaplatform.ClassUpload, name, version)
		d.log.Info("expired registration deletion", "name", strings.TrimPrefix(name, peersPrefix), "version", version, "error", err)
	}
}

func (d *directory) expired(now time.Time) map[string]int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	versions := make(map[string]int64)
	for name, reg := range d.registrations {
		switch {
		case reg.member == d.self.Name || d.recentlySeen(reg.member):
			reg.lastSeen = now
			d.registrations[name] = reg
		case now.Sub(reg.lastSeen) > registrationTTL:
			versions[name] = reg.version
		}
	}
	return versions
}
