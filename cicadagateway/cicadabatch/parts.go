package cicadabatch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadakernel/cicadaplatform"
	adapter "cicadalink.example/platform"
)

// The items of a job that is too large for one object are stored in parts, before the job. The
// job's object then holds only what identifies them. It is what accepts the job: parts without a
// job are never read, and a repeated submission finds them.

const partsPrefix = adapter.OwnKindPrefix + "items/"

// partOverheadBytes is enough for what an object holds beside its items.
const partOverheadBytes = 4 << 10

// A part holds some of the items of a job.
type part struct {
	Items []adapter.Item `json:"items"`
}

func partName(id string, number int) string { return fmt.Sprintf("%s%s.%05d", partsPrefix, id, number) }

// storeJob stores a job, with its items in as many parts as are necessary, or none.
func storeJob(ctx context.Context, store *cicadaplatform.Client, id string, r jobRecord) (obj cicadaplatform.Object, parts int, err error) {
	name := JobsPrefix + id
	value, err := cicadaplatform.EncodeJSON(r)
	if err != nil {
		return obj, 0, merry.Errorf("encode job: %w", err)
	}
	if store.ValueSize(name, value) > cicadaplatform.MaxValueSize {
		if r.Parts, err = storeParts(ctx, store, id, r.Items); err != nil {
			return obj, 0, err
		}
		r.Items = withoutBodies(r.Items)
		if value, err = cicadaplatform.EncodeJSON(r); err != nil {
			return obj, 0, merry.Errorf("encode job: %w", err)
		}
	}
	obj, err = store.Create(ctx, cicadaplatform.ClassClaim, name, value)
	return obj, r.Parts, err
}

// storeParts stores the items of a job in parts and returns their number.
func storeParts(ctx context.Context, store *cicadaplatform.Client, id string, items []adapter.Item) (int, error) {
	parts, err := splitItems(store, id, items)
	if err != nil {
		return 0, err
	}
	for n, value := range parts {
		_, err := store.Create(ctx, cicadaplatform.ClassClaim, partName(id, n), value)
		if err != nil && !errors.Is(err, cicadaplatform.ErrExists) {
			return 0, merry.Errorf("store items: %w", notAccepted(err))
		}
	}
	return len(parts), nil
}

// notAccepted returns the error of a write before that of the job's object. Whatever became of
// the write, the job is not accepted, so that the error is never ErrInDoubt.
func notAccepted(err error) error {
	if errors.Is(err, cicadaplatform.ErrInDoubt) {
		return merry.Errorf("%w: %v", cicadaplatform.ErrUnavailable, err)
	}
	return err
}

// splitItems encodes items in as many parts as necessary. It fails with ErrTooLarge if one item is
// too large for an object.
func splitItems(store *cicadaplatform.Client, id string, items []adapter.Item) ([][]byte, error) {
	var parts [][]byte
	var current part
	size := 0
	flush := func() error {
		value, err := cicadaplatform.EncodeJSON(current)
		parts, current, size = append(parts, value), part{}, 0
		return err
	}
	for _, it := range items {
		value, err := cicadaplatform.EncodeJSON(it)
		if err != nil {
			return nil, merry.Errorf("encode item: %w", err)
		}
		itemSize := store.ValueSize(partsPrefix, value)
		if itemSize > cicadaplatform.MaxValueSize-partOverheadBytes {
			return nil, merry.Errorf("item %s of %s, %d bytes: %w", it.ID, id, itemSize, cicadaplatform.ErrTooLarge)
		}
		if size+itemSize > cicadaplatform.MaxValueSize-partOverheadBytes {
			if err := flush(); err != nil {
				return nil, merry.Errorf("encode items: %w", err)
			}
		}
		current.Items = append(current.Items, it)
		size += itemSize
	}
	if err := flush(); err != nil {
		return nil, merry.Errorf("encode items: %w", err)
	}
	return parts, nil
}

// withoutBodies returns what identifies items, and how many tokens they have.
func withoutBodies(items []adapter.Item) []adapter.Item {
	out := make([]adapter.Item, len(items))
	for i, it := range items {
		out[i] = adapter.Item{ID: it.ID, Path: it.Path, Tokens: it.Tokens}
	}
	return out
}

// readParts reads the items of a job that is stored in parts.
func readParts(ctx context.Context, store *cicadaplatform.Client, id string, parts int) ([]adapter.Item, error) {
	var items []adapter.Item
	for n := range parts {
		obj, err := store.Get(ctx, partName(id, n))
		if err != nil {
			return nil, merry.Errorf("read items: %w", err)
		}
		var p part
		if err := json.Unmarshal(obj.Value(), &p); err != nil {
			return nil, merry.Errorf("decode items: %w", err)
		}
		items = append(items, p.Items...)
	}
	return items, nil
}

// deleteParts deletes the items of a job that is stored in parts.
func deleteParts(ctx context.Context, store *cicadaplatform.Client, id string, parts int) error {
	for n := range parts {
		obj, err := store.Get(ctx, partName(id, n))
		if errors.Is(err, cicadaplatform.ErrNotFound) {
			continue
		}
		if err != nil {
			return merry.Errorf("read items: %w", err)
		}
		if err := store.Delete(ctx, cicadaplatform.ClassUpload, obj.Name(), obj.Version()); err != nil {
			return merry.Errorf("delete items: %w", err)
		}
	}
	return nil
}

// setBodies completes the items of a job with what its parts hold.
func (j *job) setBodies(items []adapter.Item) error {
	complete := make(map[string]adapter.Item, len(items))
	for _, it := range items {
		complete[it.ID] = it
	}
	for id := range j.itemsByID {
		if _, ok := complete[id]; !ok {
			return merry.Errorf("item %s of %s is in no part", id, j.id)
		}
	}
	for id, it := range j.itemsByID {
		if it.state != itemListed && !j.ended {
			it.Item = complete[id]
		}
	}
	j.bodiesMissing = false
	return nil
}
