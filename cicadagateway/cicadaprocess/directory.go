package cicadaprocess

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/sourcegraph/conc"

	"cicadalink.example/cicadagateway/cicadafollow"
	"cicadalink.example/cicadagateway/cicadapeer"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadaretry"
	adapter "cicadalink.example/platform"
)

const (
	peersPrefix   = adapter.OwnKind + "peers/"
	registerPause = 500 * time.Millisecond // between tries to register
	// tidyInterval is how often entries of processes that are gone are looked for.
	tidyInterval = 15 * time.Second
	// goneTime is how long a process must not have been heard before its entry is
	// deleted. One that lives all the same sees that and registers anew.
	goneTime = 90 * time.Second
)

// A directory keeps the addresses of all processes in the store, where they find
// each other.
type directory struct {
	self  cicadapeer.Member
	store *cicadaplatform.Client
	log   hclog.Logger
	found func([]cicadapeer.Member) // takes the processes that are registered
	heard func(name string) bool    // reports whether a process has been heard lately
	tidy  func() bool               // reports whether it falls to this process to delete entries

	mu      sync.Mutex
	entries map[string]directoryEntry // by the object's name
	missing chan struct{}             // this process's entry is gone
	wg      conc.WaitGroup
}

type directoryEntry struct {
	version int64
	member  string
	since   time.Time // when the process was heard last, or the entry seen first
}

// start registers this process and keeps the directory tidy until ctx ends.
func (d *directory) start(ctx context.Context) {
	d.entries, d.missing = make(map[string]directoryEntry), make(chan struct{}, 1)
	d.wg.Go(func() {
		for d.register(ctx) {
			select {
			case <-d.missing:
				d.log.Warn("entry gone, registering anew", "name", d.self.Name)
			case <-ctx.Done():
				return
			}
		}
	})
	d.wg.Go(func() {
		for cicadaretry.Wait(ctx, tidyInterval) {
			d.deleteGone(ctx)
		}
	})
}

// register writes this process's address to the store. It reports false when ctx
// ends first.
func (d *directory) register(ctx context.Context) bool {
	value, err := json.Marshal(d.self)
	if err != nil {
		d.log.Error("not registered", "error", err)
		return false
	}
	for {
		err := d.put(ctx, peersPrefix+d.self.Name, value)
		if err == nil {
			d.log.Info("registered", "name", d.self.Name, "address", d.self.Address)
			return true
		}
		d.log.Debug("not registered yet", "error", err)
		if !cicadaretry.Wait(ctx, registerPause) {
			return false
		}
	}
}

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

// apply takes in what the store holds of the directory.
func (d *directory) apply(c cicadafollow.Change) {
	d.found(d.take(c, time.Now()))
}

func (d *directory) take(c cicadafollow.Change, now time.Time) []cicadapeer.Member {
	d.mu.Lock()
	defer d.mu.Unlock()
	own, known := peersPrefix+d.self.Name, d.entries
	_, was := known[own]
	if c.Full() {
		d.entries = make(map[string]directoryEntry, len(known))
	}
	var members []cicadapeer.Member
	for _, obj := range c.Objects() {
		if obj.Value() == nil {
			delete(d.entries, obj.Name())
			continue
		}
		var m cicadapeer.Member
		if err := json.Unmarshal(obj.Value(), &m); err != nil {
			d.log.Warn("peer entry refused", "name", strings.TrimPrefix(obj.Name(), peersPrefix), "error", err)
			continue
		}
		members = append(members, m)
		next := directoryEntry{version: obj.Version(), member: m.Name, since: now}
		if old, ok := known[obj.Name()]; ok && old.version == next.version {
			next.since = old.since
		}
		d.entries[obj.Name()] = next
	}
	if _, is := d.entries[own]; was && !is {
		d.signalMissing()
	}
	return members
}

func (d *directory) signalMissing() {
	select {
	case d.missing <- struct{}{}:
	default:
	}
}

// deleteGone deletes the entries of processes that have not been heard for long.
func (d *directory) deleteGone(ctx context.Context) {
	if !d.tidy() {
		return
	}
	for name, version := range d.gone(time.Now()) {
		err := d.store.Delete(ctx, cicadaplatform.ClassUpload, name, version)
		d.log.Info("entry of a gone process deleted", "name", strings.TrimPrefix(name, peersPrefix), "version", version, "error", err)
	}
}

func (d *directory) gone(now time.Time) map[string]int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	gone := make(map[string]int64)
	for name, entry := range d.entries {
		switch {
		case entry.member == d.self.Name || d.heard(entry.member):
			entry.since = now
			d.entries[name] = entry
		case now.Sub(entry.since) > goneTime:
			gone[name] = entry.version
		}
	}
	return gone
}
