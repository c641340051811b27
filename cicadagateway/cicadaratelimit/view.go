package cicadaratelimit

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadalink.example/cicadakernel/cicadamember"
)

const (
	// viewRefreshInterval is the time for which a list of members is reused.
	viewRefreshInterval = 20 * time.Millisecond
	// knownTime is how long an entry is known after contact with it has ended.
	knownTime = time.Minute
	// peerViewTime is how long another entry's view is used.
	peerViewTime = 10 * time.Second
	// viewsPerTick limits the views sent on one tick, so that their volume doesn't grow with
	// the number of entries.
	viewsPerTick = 8
	// viewDelay is the time after a change within which views of other entries may not contain it.
	viewDelay = time.Second
	// goneDelay is the time within which other entries learn that an entry is gone. Their views of
	// that entry are not used earlier.
	goneDelay = 600 * time.Millisecond
	// viewRepeatTime is how long views are sent after an entry was last in contact again, or after
	// a different view was last received.
	viewRepeatTime = 2 * time.Second
	// maxMissing limits the names in a View.
	maxMissing = 32
)

// Members are the entries that an entry knows.
type Members struct {
	// Live are the names of the entries with which messages pass both ways, including the
	// entry itself.
	Live []string
	// Known is the number of entries known within the last minute, including the entry
	// itself. It should count those that are registered and have not been heard yet: an
	// entry that starts while it is cut off from all others, and knows none, grants the whole
	// limit.
	Known int
}

// A view is what an entry knows of the others: which it is in contact with, and, where these
// are in contact with other entries than itself, which. Links that fail between some pairs of
// entries only let several entries be the home of one customer for different others. Each
// entry counts for one home, so that the shares of all homes add up to the limit.
type view struct {
	self    string
	live    []string // sorted
	known   int
	digest  uint64               // of live
	all     uint64               // digest of live and gone
	version uint64               // incremented when the view changes
	gone    map[string]time.Time // entries that were live, and when contact with them ended
	peers   map[string]peerView
	// rejoinedAt is when an entry that had been gone was last in contact again. While it was
	// gone, others may have been homes of the same customers.
	rejoinedAt time.Time
	changedAt  time.Time // of live
	// differenceSeenAt is when a view was last received that differs from this one. This view must
	// then be sent to the sender.
	differenceSeenAt time.Time
	refreshed        time.Time
	settled          bool // viewDelay has passed since the change
	learned          bool // goneDelay has passed since the change
	sendNext         int  // index of the live entry that is sent the next view
}

// A peerView is the last View received from another entry.
type peerView struct {
	View
	at time.Time
	// explained is set if the view follows from the names of the entries missing in it. If
	// not, the other entry is in contact with entries that this one has never known.
	explained bool
}

func newView(self string) *view {
	return &view{self: self, live: []string{self}, known: 1, gone: make(map[string]time.Time), peers: make(map[string]peerView)}
}

// set replaces the entries that are live and records those that are gone or back.
func (v *view) set(m Members, now time.Time) {
	v.refreshed = now
	live := slices.Sorted(slices.Values(m.Live))
	if _, ok := slices.BinarySearch(live, v.self); !ok {
		live = append(live, v.self)
		slices.Sort(live)
	}
	known := max(m.Known, len(live))
	if known == v.known && slices.Equal(live, v.live) {
		return
	}
	for _, name := range v.live {
		if _, ok := slices.BinarySearch(live, name); !ok {
			v.gone[name] = now
			delete(v.peers, name)
		}
	}
	for _, name := range live {
		if _, ok := v.gone[name]; ok {
			delete(v.gone, name)
			v.rejoinedAt = now
		}
	}
	v.live, v.known, v.digest = live, known, digestOf(live)
	v.changedAt, v.settled, v.learned = now, false, false
	v.update()
}

// update increments the version and computes what depends on the names in the view.
func (v *view) update() {
	v.version++
	v.all = v.digest
	for name := range v.gone {
		v.all ^= xxhash.Sum64String(name)
	}
	for name, p := range v.peers {
		p.explained = v.explains(p.View)
		v.peers[name] = p
	}
}

// explains reports whether a view is that of an entry in contact with all entries known here
// but those that it names.
func (v *view) explains(p View) bool {
	expected := v.all
	for _, name := range p.Missing {
		if _, gone := v.gone[name]; gone || v.isLive(name) {
			expected ^= xxhash.Sum64String(name)
		}
	}
	return p.Live == v.digest || p.Live == expected
}

// digestOf returns a hash of a set of names.
func digestOf(names []string) uint64 {
	digest := uint64(0)
	for _, name := range names {
		digest ^= xxhash.Sum64String(name)
	}
	return digest
}

// expire removes entries that are no longer known.
func (v *view) expire(now time.Time) {
	before := len(v.gone) + len(v.peers)
	maps.DeleteFunc(v.gone, func(_ string, at time.Time) bool { return now.Sub(at) > knownTime })
	maps.DeleteFunc(v.peers, func(_ string, p peerView) bool { return now.Sub(p.at) > peerViewTime })
	settled, learned := now.Sub(v.changedAt) >= viewDelay, now.Sub(v.changedAt) >= goneDelay
	if settled != v.settled || learned != v.learned || len(v.gone)+len(v.peers) != before {
		v.settled, v.learned = settled, learned
		v.update()
	}
}

// complete reports whether the entry is in contact with all others that it knows, at least one.
func (v *view) complete() bool { return len(v.live) > 1 && len(v.live) == v.known }

func (v *view) isLive(name string) bool {
	_, ok := slices.BinarySearch(v.live, name)
	return ok
}

// rank returns the live and the gone entries in the order of preference for a customer's home.
func (v *view) rank(customer string) []string {
	names := slices.Clone(v.live)
	for name := range v.gone {
		names = append(names, name)
	}
	return cicadamember.Rank(homeKey(customer), names)
}

func homeKey(customer string) string { return "limit/" + customer }

// home returns the customer's home entry other than skip, or "" if there is none.
func (v *view) home(customer, skip string) string {
	live := v.live
	if skip != "" {
		live = slices.DeleteFunc(slices.Clone(live), func(name string) bool { return name == skip })
	}
	return cicadamember.Home(homeKey(customer), live)
}

// allKnown returns the number of entries known to this one, or to those in contact. One that
// has just started knows fewer than these.
func (v *view) allKnown() int {
	known := v.known
	for _, p := range v.peers {
		known = max(known, p.Known)
	}
	return known
}

// share returns the share of a customer's limit that this entry may grant: the entries in
// contact whose home it is, out of all that are known. skip does not count as a home.
func (v *view) share(customer, skip string) float64 {
	if len(v.gone) == 0 && len(v.peers) == 0 {
		if v.home(customer, skip) != v.self {
			return 0
		}
		return float64(len(v.live)) / float64(v.known)
	}
	ranked := v.rank(customer)
	votes := 0
	for _, voter := range v.live {
		for _, candidate := range ranked {
			if candidate != skip && v.reaches(voter, candidate) {
				if candidate == v.self {
					votes++
				}
				break
			}
		}
	}
	return float64(votes) / float64(v.allKnown())
}

// reaches reports whether a voter is in contact with a candidate.
func (v *view) reaches(voter, candidate string) bool {
	p, ok := v.peers[voter]
	switch {
	case voter == candidate:
		return true
	case v.justGone(candidate):
		return false
	case !ok || voter == v.self || p.Live == v.digest:
		return v.isLive(candidate)
	case !p.explained && !v.settled:
		return v.isLive(candidate)
	case !p.explained:
		return candidate != v.self
	default:
		return !slices.Contains(p.Missing, candidate)
	}
}

// justGone reports whether contact with an entry has ended a moment ago.
func (v *view) justGone(name string) bool {
	at, ok := v.gone[name]
	return ok && v.refreshed.Sub(at) < goneDelay
}

// homeSince returns since when no other entry can have been the customer's home in the view
// of entries that are now in contact.
func (v *view) homeSince(customer string, started time.Time) time.Time {
	since := started
	if v.rejoinedAt.After(since) {
		since = v.rejoinedAt
	}
	for _, name := range v.rank(customer) {
		if name == v.self {
			break
		}
		if at, ok := v.gone[name]; ok && at.After(since) {
			since = at
		}
	}
	return since
}

// setPeer records the View received from another entry.
func (v *view) setPeer(name string, p View, now time.Time) {
	if !v.isLive(name) {
		return
	}
	if p.Live != v.digest {
		v.differenceSeenAt = now
	}
	old, ok := v.peers[name]
	v.peers[name] = peerView{View: p, at: now, explained: v.explains(p)}
	if !ok || old.Live != p.Live || old.Known != p.Known || !slices.Equal(old.Missing, p.Missing) {
		v.version++
	}
}

// message returns the view for others. If too many entries are missing for one message, the
// view is not explained by the names.
func (v *view) message() View {
	missing := slices.Sorted(maps.Keys(v.gone))
	return View{Live: v.digest, Missing: missing[:min(len(missing), maxMissing)], Known: v.known}
}

// receivers returns the entries that are to be sent the view on this tick. There are none
// while all entries have been in contact with each other for a while.
func (v *view) receivers(now time.Time) []string {
	if len(v.gone) == 0 && now.Sub(v.rejoinedAt) > viewRepeatTime && now.Sub(v.differenceSeenAt) > viewRepeatTime {
		return nil
	}
	names := make([]string, 0, viewsPerTick)
	for range min(viewsPerTick, len(v.live)) {
		v.sendNext = (v.sendNext + 1) % len(v.live)
		if name := v.live[v.sendNext]; name != v.self {
			names = append(names, name)
		}
	}
	return names
}
