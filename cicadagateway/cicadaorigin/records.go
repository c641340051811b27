package cicadaorigin

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cicadalink.example/cicadakernel/cicadaview"
)

type storedRecord struct {
	origin  Origin
	addedAt time.Time
}

// A recordSet keeps records for Lifetime, and the newest maxRecords of them.
type recordSet struct {
	byStream map[string]storedRecord
	queue    []queuedRecord // in order of addition
}

type queuedRecord struct {
	stream  string
	addedAt time.Time
}

// add adds a record, or renews it. One of unknown version does not replace one whose version is known.
func (s *recordSet) add(r Record, now time.Time) {
	if known, ok := s.get(r.Stream, now); ok && r.Origin.Version == cicadaview.UnknownVersion && known.Service == r.Origin.Service {
		r.Origin = known
	}
	s.byStream[r.Stream] = storedRecord{origin: r.Origin, addedAt: now}
	s.queue = append(s.queue, queuedRecord{stream: r.Stream, addedAt: now})
	for len(s.queue) > 0 && (len(s.queue) > maxRecords || now.Sub(s.queue[0].addedAt) > Lifetime) {
		oldest := s.queue[0]
		s.queue = s.queue[1:]
		if s.byStream[oldest.stream].addedAt.Equal(oldest.addedAt) {
			delete(s.byStream, oldest.stream)
		}
	}
}

func (s *recordSet) get(stream string, now time.Time) (Origin, bool) {
	r, ok := s.byStream[stream]
	if !ok || now.Sub(r.addedAt) > Lifetime {
		return Origin{}, false
	}
	return r.origin, true
}

// A memberHash is the name of a member and its hash.
type memberHash struct {
	name string
	hash uint64
}

func hashMembers(names []string) []memberHash {
	members := make([]memberHash, len(names))
	for i, name := range names {
		members[i] = memberHash{name, xxhash.Sum64String(name)}
	}
	return members
}

// mix returns a hash of two hashes. It is the finalizer of MurmurHash3.
func mix(a, b uint64) uint64 {
	h := a ^ b
	h = (h ^ h>>33) * 0xff51afd7ed558ccd
	h = (h ^ h>>33) * 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// rank returns the names of the n members that rank first for a stream by rendezvous
// hashing, or of all if there are fewer.
func rank(stream string, members []memberHash, n int) []string {
	hash := xxhash.Sum64String(stream)
	first := make([]memberHash, 0, n+1)
	for _, member := range members {
		h := mix(member.hash, hash)
		at := len(first)
		for at > 0 && first[at-1].hash < h {
			at--
		}
		if at < n {
			first = slices.Insert(first, at, memberHash{member.name, h})
			first = first[:min(len(first), n)]
		}
	}
	names := make([]string, len(first))
	for i, member := range first {
		names[i] = member.name
	}
	return names
}
