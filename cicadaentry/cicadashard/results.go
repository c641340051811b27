package cicadashard

import (
	"context"
	"errors"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"cicadalink.example/cicadakernel/cicadaerror"
	"cicadalink.example/cicadakernel/cicadalog"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadawire"
)

// Results calls fn for each recorded item of a job, in the order in which they
// were recorded. It reads the shard's segments one at a time, and needs no
// owner.
func (m *Manager) Results(ctx context.Context, view *cicadawire.JobView, fn func(*cicadawire.ItemDone) error) error {
	log := cicadalog.New(m.deps.Store, shardPrefix(int(view.GetShard())), cicadaplatform.ClassResult)
	seen := make(map[int64]struct{})
	for _, seq := range view.GetSegments() {
		payload, err := log.Read(ctx, seq)
		if errors.Is(err, cicadaplatform.ErrNotFound) {
			return cicadaerror.New(cicadaerror.NotFound, "results of batch %s are past their retention", view.GetJob().GetId())
		}
		if err != nil {
			return cicadaerror.New(cicadaerror.Unavailable, "results cannot be read now: %w", err).RetryAfter(ownerTimeout)
		}
		segment := &cicadawire.Segment{}
		if err := proto.Unmarshal(payload, segment); err != nil {
			return merry.Errorf("decode segment %d: %w", seq, err)
		}
		if err := results(segment, view, seen, fn); err != nil {
			return err
		}
	}
	return nil
}

// results passes on the first record for each item; later ones do not count.
func results(segment *cicadawire.Segment, view *cicadawire.JobView, seen map[int64]struct{}, fn func(*cicadawire.ItemDone) error) error {
	for _, record := range segment.GetRecords() {
		item := record.GetItemDone()
		if item == nil || item.GetJob() != view.GetJob().GetId() {
			continue
		}
		if _, again := seen[item.GetIndex()]; again {
			continue
		}
		seen[item.GetIndex()] = struct{}{}
		if err := fn(item); err != nil {
			return err
		}
	}
	return nil
}
