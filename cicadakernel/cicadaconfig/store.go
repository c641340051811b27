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
	logPrefix = "config"
	// snapshotInterval is the number of revisions between stored snapshots.
	snapshotInterval = 256
)

// ErrNoChange reports a request that would not change any resource.
var ErrNoChange = merry.Sentinel("cicadaconfig: the request changes no resource")

// ErrNotFound reports a resource that does not exist.
var ErrNotFound = merry.Sentinel("cicadaconfig: resource does not exist")

// A ConflictError reports that a resource has changed since the operator read it.
// Its message contains the current and the rejected version.
type ConflictError struct {
	kind         Kind
	name         string
	expected     int64
	actual       int64
	currentBody  []byte
	rejectedBody []byte
}

// Error returns the resource, the revisions and both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("cicadaconfig: %s/%s has changed: expected revision %d, got revision %d\n--- current (revision %d)\n%s--- rejected\n%s",
		e.kind, e.name, e.expected, e.actual, e.actual, e.currentBody, e.rejectedBody)
}

// A Request is an operator's request to create, replace and delete resources in one
// change set.
type Request struct {
	Operator  string
	Reason    string
	Resources []Resource
	Deletes   []Reference
	// Expected holds the revision at which the operator read each resource, or 0 if
	// the resource must not exist. Resources without an entry are not checked.
	Expected map[Reference]int64
}

// A Reference identifies a resource.
type Reference struct {
	Kind Kind
	Name string
}

// A Store reads and writes the configuration in the platform's Object API.
type Store struct {
	client *cicadaplatform.Client
	log    *cicadalog.Log
	nonce  func() uint64
	now    func() time.Time
}

// NewStore returns a store that uses client. The nonce function must return a
// different number on each call, which makes every stored change set unique.
func NewStore(client *cicadaplatform.Client, nonce func() uint64) *Store {
	return &Store{
		client: client,
		log:    cicadalog.New(client, logPrefix, cicadaplatform.ClassConfig),
		nonce:  nonce,
		now:    time.Now,
	}
}

// Load reads the latest configuration from the platform.
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
		return nil, merry.Errorf("snapshot %d has unexpected revision %d: %w", next, base.revision, cicadalog.ErrCorrupt)
	}
	return s.CatchUp(ctx, base)
}

// CatchUp applies the revisions after base and returns the latest configuration.
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

// Changes returns the change sets after a revision, in order, and the store version
// to pass to Wait.
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

// Wait waits for a revision to be written after store version from. It returns the
// store version to pass to the next Wait. The result changed is false if the
// platform's watch timed out.
func (s *Store) Wait(ctx context.Context, from int64) (changed bool, version int64, err error) {
	page, err := s.client.Watch(ctx, s.log.SegmentPrefix(), from)
	if err != nil {
		return false, from, merry.Errorf("wait for configuration: %w", err)
	}
	return len(page.Objects()) > 0, page.Version(), nil
}

// Apply validates a request against the latest configuration and writes its change
// set as the next revision. The change and its audit entry are a single write. If
// another revision is written first, Apply validates the request again on top of
// that revision.
func (s *Store) Apply(ctx context.Context, req Request) (*cicadawire.ChangeSet, error) {
	current, err := s.Load(ctx)
	if err != nil {
		return nil, merry.Errorf("apply: %w", err)
	}
	for {
		set, err := s.newChangeSet(current, req)
		if err != nil {
			return nil, err
		}
		next, err := current.Next(set)
		if err != nil {
			return nil, err
		}
		err = s.write(ctx, set)
		if err == nil {
			s.saveSnapshotIfDue(ctx, next)
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

// Plan validates a request against a snapshot and returns the change set that Apply
// would write.
func (s *Store) Plan(current *Snapshot, req Request) (*cicadawire.ChangeSet, error) {
	set, err := s.newChangeSet(current, req)
	if err != nil {
		return nil, err
	}
	if _, err := current.Next(set); err != nil {
		return nil, err
	}
	return set, nil
}

// newChangeSet returns the change set of a request, without validating the resulting
// configuration.
func (s *Store) newChangeSet(current *Snapshot, req Request) (*cicadawire.ChangeSet, error) {
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

// addChange adds the change of a resource to set, unless the resource already has
// that content. It checks the revision that the request expects.
func addChange(set *cicadawire.ChangeSet, current *Snapshot, req Request, ref Reference, after []byte) error {
	old, _ := current.Get(ref.Kind, ref.Name)
	if expected, checked := req.Expected[ref]; checked && expected != old.revision {
		return &ConflictError{
			kind: ref.Kind, name: ref.Name, expected: expected, actual: old.revision,
			currentBody: old.body, rejectedBody: after,
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

// saveSnapshotIfDue saves a snapshot every snapshotInterval revisions. Errors are
// ignored, because the log is complete without the snapshot.
func (s *Store) saveSnapshotIfDue(ctx context.Context, current *Snapshot) {
	if current.revision%snapshotInterval != 0 {
		return
	}
	data, err := current.Encode()
	if err != nil {
		return
	}
	_ = s.log.SaveSnapshot(ctx, current.revision+1, data)
}

// Audit calls fn for each change set, in order, starting with revision from.
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

// RollBack returns a request that restores all resources to their state at a
// revision. It reads only the change sets after that revision.
func (s *Store) RollBack(ctx context.Context, revision int64) (Request, error) {
	var req Request
	restored := make(map[Reference]bool)
	latest := revision
	err := s.Audit(ctx, revision+1, func(set *cicadawire.ChangeSet) error {
		latest = set.GetRevision()
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
	if revision < 0 || latest == revision {
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
