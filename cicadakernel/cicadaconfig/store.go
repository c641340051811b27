package cicadaconfig

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"cicadalink.example/cicadakernel/cicadalog"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadawire"
)

const (
	logPrefix        = "config"
	snapshotInterval = 256
)

// ErrNoChange reports a change set that changes nothing.
var ErrNoChange = merry.Sentinel("cicadaconfig: no change")

// ErrNotFound reports a resource that does not exist.
var ErrNotFound = merry.Sentinel("cicadaconfig: resource does not exist")

// A ConflictError reports that a resource has changed since the operator read
// it. It shows both versions.
type ConflictError struct {
	kind     Kind
	name     string
	expected int64
	actual   int64
	theirs   []byte
	ours     []byte
}

// Error names the resource and the revisions, and shows both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("cicadaconfig: %s/%s has changed: it was expected at revision %d and is at %d\n--- in force (revision %d)\n%s--- refused\n%s",
		e.kind, e.name, e.expected, e.actual, e.actual, e.theirs, e.ours)
}

// A Request asks for a change set.
type Request struct {
	Operator  string
	Reason    string
	Resources []Resource
	Deletes   []Reference
	// Expected holds the revision at which the operator read each resource, 0
	// for one that should not exist. Resources without an entry are not checked.
	Expected map[Reference]int64
}

// A Reference names a resource.
type Reference struct {
	Kind Kind
	Name string
}

// A Store is the configuration in the platform's Object API.
type Store struct {
	client *cicadaplatform.Client
	log    *cicadalog.Log
	nonce  func() uint64
	now    func() time.Time
}

// NewStore returns the configuration of a platform; nonce returns numbers that
// do not repeat.
func NewStore(client *cicadaplatform.Client, nonce func() uint64) *Store {
	return &Store{
		client: client,
		log:    cicadalog.New(client, logPrefix, cicadaplatform.ClassConfig),
		nonce:  nonce,
		now:    time.Now,
	}
}

// Load reads the newest configuration from the platform.
func (s *Store) Load(ctx context.Context) (*Snapshot, error) {
	next, data, err := s.log.LoadSnapshot(ctx)
	if err != nil {
		return nil, merry.Errorf("load configuration: %w", err)
	}
	base := Empty()
	if data != nil {
		if base, err = Decode(data); err != nil {
			return nil, err
		}
	}
	if base.revision != next-1 {
		return nil, merry.Errorf("snapshot %d holds revision %d: %w", next, base.revision, cicadalog.ErrCorrupt)
	}
	return s.CatchUp(ctx, base)
}

// CatchUp returns base with the revisions that have come since.
func (s *Store) CatchUp(ctx context.Context, base *Snapshot) (*Snapshot, error) {
	current := base
	_, err := s.log.Replay(ctx, base.revision+1, func(_ int64, payload []byte) error {
		set := &cicadawire.ChangeSet{}
		if err := proto.Unmarshal(payload, set); err != nil {
			return merry.Errorf("decode change set: %w", err)
		}
		next, err := current.Next(set)
		if err != nil {
			return err
		}
		current = next
		return nil
	})
	if err != nil {
		return nil, merry.Errorf("read configuration: %w", err)
	}
	return current, nil
}

// Changes returns the change sets after a revision, in order, and the store's
// version from which Wait continues.
func (s *Store) Changes(ctx context.Context, revision int64) ([]*cicadawire.ChangeSet, int64, error) {
	var sets []*cicadawire.ChangeSet
	_, version, err := s.log.ReplayAt(ctx, revision+1, func(_ int64, payload []byte) error {
		set := &cicadawire.ChangeSet{}
		if err := proto.Unmarshal(payload, set); err != nil {
			return merry.Errorf("decode change set: %w", err)
		}
		sets = append(sets, set)
		return nil
	})
	if err != nil {
		return nil, 0, merry.Errorf("read changes: %w", err)
	}
	return sets, version, nil
}

// Wait waits for a revision written after a store version, and returns the
// store's version from which to go on. It returns without one when the
// platform's watch times out.
func (s *Store) Wait(ctx context.Context, from int64) (changed bool, version int64, err error) {
	page, err := s.client.Watch(ctx, s.log.SegmentPrefix(), from)
	if err != nil {
		return false, from, merry.Errorf("wait for configuration: %w", err)
	}
	return len(page.Objects()) > 0, page.Version(), nil
}

// Apply validates a change set against the newest configuration and makes it
// the next revision. The change and its audit entry are one write. When
// another operator's revision comes first, the request is checked again on top
// of it.
func (s *Store) Apply(ctx context.Context, req Request) (*cicadawire.ChangeSet, error) {
	current, err := s.Load(ctx)
	if err != nil {
		return nil, merry.Errorf("apply: %w", err)
	}
	for {
		set, err := s.plan(current, req)
		if err != nil {
			return nil, err
		}
		next, err := current.Next(set)
		if err != nil {
			return nil, err
		}
		err = s.write(ctx, set)
		if err == nil {
			s.maybeSnapshot(ctx, next)
			return set, nil
		}
		if !errors.Is(err, cicadalog.ErrFenced) {
			return nil, merry.Errorf("apply: %w", err)
		}
		if current, err = s.CatchUp(ctx, current); err != nil {
			return nil, merry.Errorf("apply: %w", err)
		}
	}
}

// Plan returns the change set that Apply would write on top of a snapshot.
func (s *Store) Plan(current *Snapshot, req Request) (*cicadawire.ChangeSet, error) {
	set, err := s.plan(current, req)
	if err != nil {
		return nil, err
	}
	if _, err := current.Next(set); err != nil {
		return nil, err
	}
	return set, nil
}

func (s *Store) plan(current *Snapshot, req Request) (*cicadawire.ChangeSet, error) {
	set := &cicadawire.ChangeSet{
		Revision: current.revision + 1,
		Operator: req.Operator,
		Reason:   req.Reason,
		AtMs:     s.now().UnixMilli(),
		Nonce:    s.nonce(),
	}
	for _, r := range req.Resources {
		if err := addChange(set, current, req, Reference{r.kind, r.name}, r.body); err != nil {
			return nil, err
		}
	}
	for _, ref := range req.Deletes {
		if _, ok := current.Get(ref.Kind, ref.Name); !ok {
			return nil, merry.Errorf("delete %s/%s: %w", ref.Kind, ref.Name, ErrNotFound)
		}
		if err := addChange(set, current, req, ref, nil); err != nil {
			return nil, err
		}
	}
	if len(set.GetChanges()) == 0 {
		return nil, merry.Wrap(ErrNoChange)
	}
	return set, nil
}

func addChange(set *cicadawire.ChangeSet, current *Snapshot, req Request, ref Reference, after []byte) error {
	old, _ := current.Get(ref.Kind, ref.Name)
	if expected, checked := req.Expected[ref]; checked && expected != old.revision {
		return &ConflictError{
			kind: ref.Kind, name: ref.Name, expected: expected, actual: old.revision,
			theirs: old.body, ours: after,
		}
	}
	if bytes.Equal(old.body, after) {
		return nil
	}
	set.Changes = append(set.Changes, &cicadawire.Change{
		Kind: string(ref.Kind), Name: ref.Name, Before: old.body, After: after, BeforeRevision: old.revision,
	})
	return nil
}

func (s *Store) write(ctx context.Context, set *cicadawire.ChangeSet) error {
	payload, err := proto.Marshal(set)
	if err != nil {
		return merry.Errorf("encode change set: %w", err)
	}
	return s.log.Append(ctx, set.GetRevision(), payload)
}

// maybeSnapshot saves a snapshot at every snapshotInterval revisions. A failure
// is no loss: the log is whole without it.
func (s *Store) maybeSnapshot(ctx context.Context, current *Snapshot) {
	if current.revision%snapshotInterval != 0 {
		return
	}
	data, err := current.Encode()
	if err != nil {
		return
	}
	_ = s.log.SaveSnapshot(ctx, current.revision+1, data)
}

// Audit calls fn for each change set from a revision on, in order.
func (s *Store) Audit(ctx context.Context, from int64, fn func(*cicadawire.ChangeSet) error) error {
	_, err := s.log.Replay(ctx, max(from, 1), func(_ int64, payload []byte) error {
		set := &cicadawire.ChangeSet{}
		if err := proto.Unmarshal(payload, set); err != nil {
			return merry.Errorf("decode change set: %w", err)
		}
		return fn(set)
	})
	if err != nil {
		return merry.Errorf("read audit trail: %w", err)
	}
	return nil
}

// RollBack returns the request that restores every resource as it was at a
// revision. It reads only the change sets since then.
func (s *Store) RollBack(ctx context.Context, revision int64) (Request, error) {
	var req Request
	restored := make(map[Reference]bool)
	newest := revision
	err := s.Audit(ctx, revision+1, func(set *cicadawire.ChangeSet) error {
		newest = set.GetRevision()
		for _, change := range set.GetChanges() {
			ref := Reference{Kind(change.GetKind()), change.GetName()}
			if restored[ref] {
				continue
			}
			restored[ref] = true
			if err := req.restore(ref, change.GetBefore()); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return Request{}, merry.Errorf("roll back: %w", err)
	}
	if revision < 0 || newest == revision {
		return Request{}, merry.Errorf("roll back: no revision comes after %d: %w", revision, ErrInvalid)
	}
	return req, nil
}

func (r *Request) restore(ref Reference, body []byte) error {
	if len(body) == 0 {
		r.Deletes = append(r.Deletes, ref)
		return nil
	}
	resource, err := parseResource(string(ref.Kind)+"/"+ref.Name, rawDocument{line: 1, text: body})
	if err != nil {
		return merry.Errorf("restore %s/%s: %w", ref.Kind, ref.Name, err)
	}
	r.Resources = append(r.Resources, resource)
	return nil
}
