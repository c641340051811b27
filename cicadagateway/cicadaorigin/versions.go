package cicadaorigin

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadalink.example/cicadakernel/cicadaview"
)

const (
	// recordMargin is how much longer origins are recorded than they are needed. It covers
	// the time by which other members learn later that only one version is left.
	recordMargin = 5 * time.Second
	// startTime is the time after the start in which other members may not have been heard
	// yet.
	startTime = 1200 * time.Millisecond
)

// Versions knows which versions of each service have lately been registered, and whether
// all members know the same. It is safe for concurrent use.
type Versions struct {
	mu        sync.Mutex
	startedAt time.Time
	services  map[string]map[string]time.Time // service, version, and when it was last registered
	current   map[Origin]bool                 // registered now
	digest    uint64
	digestAt  time.Time
	// incarnations holds those of endpoints that are or were registered in the last Lifetime.
	incarnations map[Incarnation]registeredVersion
	peers        map[string]uint64 // digests of live members
	disagree     int               // members whose digest differs
	isolated     bool
	// awaitsHistory is set until the versions are known that were registered before this process
	// started, see AwaitHistory.
	awaitsHistory bool
}

// A History holds the versions of each service that may have streams in progress. It is kept
// where it outlives the members, since all of them may be lost at once.
type History map[string][]string

// AwaitHistory makes the versions uncertain until SetHistory is called.
func (v *Versions) AwaitHistory() {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.awaitsHistory = true
}

// SetHistory adds versions that may have streams from before this process was started.
func (v *Versions) SetHistory(h History) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.awaitsHistory = false
	now := time.Now()
	for service, versions := range h {
		if v.services[service] == nil {
			v.services[service] = make(map[string]time.Time)
		}
		for _, version := range versions {
			v.services[service][version] = now
		}
	}
	v.updateDigest(now)
}

// History returns the versions that may have streams in progress.
func (v *Versions) History() History {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.updateDigest(time.Now())
	h := make(History, len(v.services))
	for service, versions := range v.services {
		h[service] = slices.Sorted(maps.Keys(versions))
	}
	return h
}

// An Incarnation is one process of an endpoint.
type Incarnation struct {
	Endpoint  string // ID
	StartedMs int64  // Unix milliseconds
}

// A registeredVersion is the software version of an incarnation.
type registeredVersion struct {
	version string
	current bool      // registered now
	at      time.Time // when it was last registered, unless it is now
}

// NewVersions returns Versions without a version.
func NewVersions() *Versions {
	return &Versions{
		startedAt: time.Now(), services: make(map[string]map[string]time.Time), current: make(map[Origin]bool),
		incarnations: make(map[Incarnation]registeredVersion), peers: make(map[string]uint64),
	}
}

// SetEndpoints sets the registered endpoints. It reports whether a version was added.
func (v *Versions) SetEndpoints(all []cicadaview.Endpoint) (added bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	now := time.Now()
	for o := range v.current {
		v.services[o.Service][o.Version] = now
	}
	clear(v.current)
	for _, e := range all {
		o := Origin{Service: e.Service, Version: e.SoftwareVersion}
		v.current[o] = true
		if v.services[o.Service] == nil {
			v.services[o.Service] = make(map[string]time.Time)
		}
		if _, ok := v.services[o.Service][o.Version]; !ok {
			added = true
		}
		v.services[o.Service][o.Version] = now
	}
	v.setIncarnations(all, now)
	v.updateDigest(now)
	return added
}

func (v *Versions) setIncarnations(all []cicadaview.Endpoint, now time.Time) {
	for i, r := range v.incarnations {
		switch {
		case r.current:
			v.incarnations[i] = registeredVersion{version: r.version, at: now}
		case now.Sub(r.at) > Lifetime:
			delete(v.incarnations, i)
		}
	}
	for _, e := range all {
		if e.StartedMs != 0 {
			v.incarnations[Incarnation{Endpoint: e.ID, StartedMs: e.StartedMs}] = registeredVersion{version: e.SoftwareVersion, current: true}
		}
	}
}

// VersionOf returns the software version of an incarnation of an endpoint. It reports false if
// that incarnation has not been registered lately.
func (v *Versions) VersionOf(i Incarnation) (version string, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	r, ok := v.incarnations[i]
	return r.version, ok
}

// registered reports whether a version is, or was lately, that of a service.
func (v *Versions) registered(o Origin) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	_, ok := v.services[o.Service][o.Version]
	return ok
}

// lastRegistered returns when a version was last registered.
func (v *Versions) lastRegistered(o Origin, at, now time.Time) time.Time {
	if v.current[o] {
		return now
	}
	return at
}

// updateDigest removes old versions and computes the digest of those that may have streams.
func (v *Versions) updateDigest(now time.Time) {
	digest := uint64(0)
	for service, versions := range v.services {
		for version, at := range versions {
			o := Origin{Service: service, Version: version}
			age := now.Sub(v.lastRegistered(o, at, now))
			if age > Lifetime+recordMargin {
				delete(versions, version)
			}
			if age <= Lifetime {
				digest ^= xxhash.Sum64String(service + "\x00" + version)
			}
		}
		if len(versions) == 0 {
			delete(v.services, service)
		}
	}
	v.digestAt = now
	if digest != v.digest {
		v.digest = digest
		v.countDisagreeing()
	}
}

func (v *Versions) countDisagreeing() {
	v.disagree = 0
	for _, digest := range v.peers {
		if digest != v.digest {
			v.disagree++
		}
	}
}

// digestInterval is how often versions are removed from the digest.
const digestInterval = 200 * time.Millisecond

// Digest returns a hash of the versions of all services that may have streams in progress.
// It is 0 before there are any.
func (v *Versions) Digest() uint64 {
	v.mu.Lock()
	defer v.mu.Unlock()
	if now := time.Now(); now.Sub(v.digestAt) >= digestInterval {
		v.updateDigest(now)
	}
	return v.digest
}

// SetPeer sets the digest of another member. A digest of 0 is that of a member without
// endpoints, which has no streams. It reports whether the digest has become a different
// one than that of this process.
func (v *Versions) SetPeer(member string, digest uint64) (disagrees bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.peers[member] == digest {
		return false
	}
	if digest == 0 {
		delete(v.peers, member)
	} else {
		v.peers[member] = digest
	}
	v.countDisagreeing()
	return digest != 0 && digest != v.digest
}

// KeepPeers removes the digests of all but the given members.
func (v *Versions) KeepPeers(live []string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	kept := make(map[string]uint64, len(live))
	for _, member := range live {
		if digest, ok := v.peers[member]; ok {
			kept[member] = digest
		}
	}
	v.peers = kept
	v.countDisagreeing()
}

// SetIsolated sets whether this process may miss the versions that other members know,
// because it reaches too few of them or none that reaches the registrations.
func (v *Versions) SetIsolated(isolated bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.isolated = isolated
}

// Recorded reports whether the origins of a service's streams are recorded at other
// members, because more than one version may have streams in progress.
func (v *Versions) Recorded(service string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.uncertain() || len(v.services[service]) != 1
}

// Single returns the only version of a service that can have begun a stream which is still
// resumed. ok is false if there are several, or if other members may know of another one.
func (v *Versions) Single(service string) (version string, ok bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.uncertain() {
		return "", false
	}
	now, found := time.Now(), 0
	for candidate, at := range v.services[service] {
		if now.Sub(v.lastRegistered(Origin{Service: service, Version: candidate}, at, now)) <= Lifetime {
			version = candidate
			found++
		}
	}
	return version, found == 1
}

func (v *Versions) uncertain() bool {
	unheard := len(v.peers) == 0 && time.Since(v.startedAt) < startTime
	return v.isolated || v.disagree > 0 || unheard || v.awaitsHistory
}
