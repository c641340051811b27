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

// Results calls fn for the first recorded result of each item of a job, in the
// order in which they were recorded. It reads the shard's segments from the
// store, one at a time, and does not depend on the shard's owner.
func (m *Manager) Results(ctx context.Context, view *cicadawire.JobView, fn func(*cicadawire.ItemDone) error) error {
	log := cicadalog.New(m.deps.Store, shardPrefix(int(view.GetShard())), cicadaplatform.ClassResult)
	seen := make(map[int64]struct{})
	for _, seq := range view.GetSegments() {
		payload, err := log.Read(ctx, seq)
		if errors.Is(err, cicadaplatform.ErrNotFound) {
			return cicadaerror.New(cicadaerror.NotFound, "the retention period of the results of batch %s has passed", view.GetJob().GetId())
		}
		if err != nil {
			return cicadaerror.New(cicadaerror.Unavailable, "results are temporarily unavailable: %w", err).RetryAfter(ownerCallTimeout)
		}
		segment := &cicadawire.Segment{}
		if err := proto.Unmarshal(payload, segment); err != nil {
			return merry.Errorf("decode segment %d: %w", seq, err)
		}
		if err := eachNewResult(segment, view, seen, fn); err != nil {
			return err
		}
	}
	return nil
}

// eachNewResult calls fn for the job's results in a segment, and adds their items to
// seen. It skips items that are in seen, as only the first record of an item counts.
func eachNewResult(segment *cicadawire.Segment, view *cicadawire.JobView, seen map[int64]struct{}, fn func(*cicadawire.ItemDone) error) error {
	for _, record := range segment.GetRecords() {
		item := record.GetItemDone()
		if item == nil || item.GetJob() != view.GetJob().GetId() {
			continue
		}
		if _, duplicate := seen[item.GetIndex()]; duplicate {
			continue
		}
		seen[item.GetIndex()] = struct{}{}
		if err := fn(item); err != nil {
			return err
		}
	}
	return nil
}
