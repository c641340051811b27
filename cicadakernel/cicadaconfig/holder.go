package cicadaconfig

import (
	"sync"
	"sync/atomic"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"cicadalink.example/cicadakernel/cicadawire"
)

// maxRecentChangeSets is the number of change sets that a Replica keeps for its
// followers.
const maxRecentChangeSets = 512

// A Replica is a process's copy of the configuration. It keeps the current snapshot
// and recent change sets, so that other processes can follow it. Its revision never
// decreases. Snapshot takes no lock; all methods are safe for concurrent use.
type Replica struct {
	current atomic.Pointer[Snapshot]
	mu      sync.Mutex
	recent  []*cicadawire.ChangeSet
	changed chan struct{}
}

// NewReplica returns a replica that holds the empty configuration.
func NewReplica() *Replica {
	r := &Replica{changed: make(chan struct{})}
	r.current.Store(Empty())
	return r
}

// Snapshot returns the current configuration.
func (r *Replica) Snapshot() *Snapshot { return r.current.Load() }

// Changed returns a channel that is closed at the next change.
func (r *Replica) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// ReplaceIfNewer replaces the current snapshot with s if s has a higher revision, and
// reports whether it did.
func (r *Replica) ReplaceIfNewer(s *Snapshot) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Revision() <= r.current.Load().Revision() {
		return false
	}
	r.recent = nil
	r.publish(s)
	return true
}

// publish makes s the current snapshot. The caller must hold r.mu.
func (r *Replica) publish(s *Snapshot) {
	r.current.Store(s)
	close(r.changed)
	r.changed = make(chan struct{})
}

// Apply applies change sets that follow the current revision. It skips those that
// are already applied. If a revision is missing it returns an error and the caller
// must request a snapshot.
func (r *Replica) Apply(sets []*cicadawire.ChangeSet) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.current.Load()
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
		r.recent = append(r.recent, set)
	}
	if len(r.recent) > maxRecentChangeSets {
		r.recent = append([]*cicadawire.ChangeSet(nil), r.recent[len(r.recent)-maxRecentChangeSets:]...)
	}
	if applied != current {
		r.publish(applied)
	}
	return nil
}

// UpdateSince returns the update for a follower at a revision: the change sets after
// that revision if the replica still holds all of them, otherwise a snapshot.
func (r *Replica) UpdateSince(revision int64) (*cicadawire.FollowUpdate, error) {
	r.mu.Lock()
	current, recent := r.current.Load(), r.recent
	r.mu.Unlock()
	update := &cicadawire.FollowUpdate{Revision: current.Revision()}
	if revision >= current.Revision() {
		return update, nil
	}
	if sets, ok := changeSetsAfter(recent, revision, current.Revision()); ok {
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

// changeSetsAfter returns the change sets from revision+1 to current, and whether recent
// holds all of them.
func changeSetsAfter(recent []*cicadawire.ChangeSet, revision, current int64) ([]*cicadawire.ChangeSet, bool) {
	for i, set := range recent {
		if set.GetRevision() == revision+1 && recent[len(recent)-1].GetRevision() == current {
			return recent[i:], true
		}
	}
	return nil, false
}

// ApplyUpdate applies an update that another process's UpdateSince returned.
func (r *Replica) ApplyUpdate(update *cicadawire.FollowUpdate) error {
	if len(update.GetChanges()) == 0 {
		return nil
	}
	if update.GetSnapshot() {
		s, err := Decode(update.GetChanges())
		if err != nil {
			return err
		}
		r.ReplaceIfNewer(s)
		return nil
	}
	sets := &cicadawire.ChangeSets{}
	if err := proto.Unmarshal(update.GetChanges(), sets); err != nil {
		return merry.Errorf("decode change sets: %w", err)
	}
	return r.Apply(sets.GetSets())
}
