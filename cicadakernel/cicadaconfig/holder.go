package cicadaconfig

import (
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"cicadalink.example/cicadakernel/cicadawire"
)

// keptSets is how many recent change sets a Holder keeps for its followers.
const keptSets = 512

// A Holder is the configuration in force in one process. Its revision only
// grows. Reading it takes no lock.
type Holder struct {
	current atomic.Pointer[Snapshot]
	mu      sync.Mutex
	recent  []*cicadawire.ChangeSet
	changed chan struct{}
}

// NewHolder returns a holder of the empty configuration.
func NewHolder() *Holder {
	h := &Holder{changed: make(chan struct{})}
	h.current.Store(Empty())
	return h
}

// Snapshot returns the configuration in force.
func (h *Holder) Snapshot() *Snapshot { return h.current.Load() }

// Changed returns a channel that is closed at the next change.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Offer puts a snapshot in force if it is newer, and reports whether it was.
func (h *Holder) Offer(s *Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Revision() <= h.current.Load().Revision() {
		return false
	}
	h.recent = nil
	h.publish(s)
	return true
}

func (h *Holder) publish(s *Snapshot) {
	h.current.Store(s)
	close(h.changed)
	h.changed = make(chan struct{})
}

// Apply puts change sets in force that follow the current revision. Sets that
// it has are skipped; a gap is an error, and the caller asks for a snapshot.
func (h *Holder) Apply(sets []*cicadawire.ChangeSet) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.current.Load()
	applied := current
	for _, set := range sets {
		if set.GetRevision() <= applied.Revision() {
			continue
		}
		next, err := applied.Next(set)
		if err != nil {
			return merry.Errorf("apply change set: %w", err)
		}
		applied = next
		h.recent = append(h.recent, set)
	}
	if len(h.recent) > keptSets {
		h.recent = append([]*cicadawire.ChangeSet(nil), h.recent[len(h.recent)-keptSets:]...)
	}
	if applied != current {
		h.publish(applied)
	}
	return nil
}

// Since returns what a follower at a revision lacks: change sets where they
// are at hand, else a whole snapshot.
func (h *Holder) Since(revision int64) (*cicadawire.FollowUpdate, error) {
	h.mu.Lock()
	current, recent := h.current.Load(), h.recent
	h.mu.Unlock()
	update := &cicadawire.FollowUpdate{Revision: current.Revision()}
	if revision >= current.Revision() {
		return update, nil
	}
	if sets, ok := setsAfter(recent, revision, current.Revision()); ok {
		data, err := proto.Marshal(&cicadawire.ChangeSets{Sets: sets})
		if err != nil {
			return nil, merry.Errorf("encode change sets: %w", err)
		}
		update.Changes = data
		return update, nil
	}
	data, err := current.Encode()
	if err != nil {
		return nil, err
	}
	update.Changes, update.Snapshot = data, true
	return update, nil
}

func setsAfter(recent []*cicadawire.ChangeSet, revision, current int64) ([]*cicadawire.ChangeSet, bool) {
	for i, set := range recent {
		if set.GetRevision() == revision+1 && recent[len(recent)-1].GetRevision() == current {
			return recent[i:], true
		}
	}
	return nil, false
}

// Take puts an update from Since in force.
func (h *Holder) Take(update *cicadawire.FollowUpdate) error {
	if len(update.GetChanges()) == 0 {
		return nil
	}
	if update.GetSnapshot() {
		s, err := Decode(update.GetChanges())
		if err != nil {
			return err
		}
		h.Offer(s)
		return nil
	}
	sets := &cicadawire.ChangeSets{}
	if err := proto.Unmarshal(update.GetChanges(), sets); err != nil {
		return merry.Errorf("decode change sets: %w", err)
	}
	return h.Apply(sets.GetSets())
}
