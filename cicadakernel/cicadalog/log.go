// Package cicadalog keeps a log in the platform's Object API. Segment number N
// is the object PREFIX/log/N, created only if absent: the name is the fence.
// Of two writers that try the same number one fails, and learns that it no
// longer owns the log. Snapshots bound how much of the log is replayed.
//
// # Usage
//
//	log := cicadalog.New(store, "shard/007", cicadaplatform.ClassResult)
//	next, snapshot, err := log.LoadSnapshot(ctx)
//	next, err = log.Replay(ctx, next, func(seq int64, payload []byte) error {
//		return state.Apply(seq, payload)
//	})
//	err = log.Append(ctx, next, payload)
//	if errors.Is(err, cicadalog.ErrFenced) {
//		// Another owner wrote segment next.
//	}
//
// Payloads are compressed. A payload must hold something unique to its writer,
// because a lost answer is settled by reading the segment back.
package cicadalog

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"github.com/ansel1/merry/v2"
	"github.com/klauspost/compress/zstd"

	"cicadalink.example/cicadakernel/cicadaplatform"
)

// ErrFenced reports that the segment to be written exists: another writer owns
// the log.
var ErrFenced = merry.Sentinel("cicadalog: segment exists, another writer owns the log")

// ErrCorrupt reports a segment or snapshot that cannot be read.
var ErrCorrupt = merry.Sentinel("cicadalog: corrupt segment")

const (
	partSize       = 900 << 10
	maxPayloadSize = 64 << 20
	replayPage     = 64
	encoders       = 2
	trimPage       = 200
)

// The codecs make their channels when they are first used. They are used here,
// so that no test in virtual time owns them.
var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() *zstd.Encoder {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(encoders))
	if err != nil {
		panic(err)
	}
	enc.EncodeAll([]byte{0}, nil)
	return enc
}

func newDecoder() *zstd.Decoder {
	dec, err := zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxPayloadSize), zstd.WithDecoderConcurrency(encoders))
	if err != nil {
		panic(err)
	}
	return dec
}

// Compress packs a payload for the store.
func Compress(payload []byte) []byte {
	return encoder.EncodeAll(payload, make([]byte, 0, len(payload)/3+64))
}

// Decompress reverses Compress.
func Decompress(value []byte) ([]byte, error) {
	payload, err := decoder.DecodeAll(value, nil)
	if err != nil {
		return nil, merry.Errorf("decompress: %w: %w", ErrCorrupt, err)
	}
	return payload, nil
}

// A Log is one log in the store.
type Log struct {
	store  *cicadaplatform.Client
	prefix string
	class  cicadaplatform.Class
}

// New returns the log under a prefix. Writes are paced as the class.
func New(store *cicadaplatform.Client, prefix string, class cicadaplatform.Class) *Log {
	return &Log{store: store, prefix: prefix, class: class}
}

// SegmentPrefix returns the prefix of the segments' names, for a watch.
func (l *Log) SegmentPrefix() string { return l.prefix + "/log/" }

func (l *Log) segmentName(seq int64) string { return fmt.Sprintf("%s%012d", l.SegmentPrefix(), seq) }

func (l *Log) snapshotPrefix() string { return l.prefix + "/snapshot/" }

func (l *Log) snapshotName(seq int64, part int) string {
	return fmt.Sprintf("%s%012d/%04d", l.snapshotPrefix(), seq, part)
}

// SegmentNumber returns the number of a segment from its object's name.
func (l *Log) SegmentNumber(name string) (int64, error) {
	digits, ok := strings.CutPrefix(name, l.SegmentPrefix())
	if !ok {
		return 0, merry.Errorf("name %q: %w", name, ErrCorrupt)
	}
	seq, err := strconv.ParseInt(digits, 10, 64)
	if err != nil {
		return 0, merry.Errorf("name %q: %w", name, ErrCorrupt)
	}
	return seq, nil
}

// Append writes segment seq. ErrFenced means that it exists already.
func (l *Log) Append(ctx context.Context, seq int64, payload []byte) error {
	_, err := l.store.Create(ctx, l.class, l.segmentName(seq), Compress(payload))
	if errors.Is(err, cicadaplatform.ErrExists) {
		return merry.Errorf("append segment %d: %w", seq, ErrFenced)
	}
	if err != nil {
		return merry.Errorf("append segment %d: %w", seq, err)
	}
	return nil
}

// Read returns the payload of one segment.
func (l *Log) Read(ctx context.Context, seq int64) ([]byte, error) {
	obj, err := l.store.Get(ctx, l.segmentName(seq))
	if err != nil {
		return nil, merry.Errorf("read segment %d: %w", seq, err)
	}
	return Decompress(obj.Value())
}

// Replay calls apply for each segment from number from on, in order, and
// returns the number after the last.
func (l *Log) Replay(ctx context.Context, from int64, apply func(seq int64, payload []byte) error) (int64, error) {
	next, _, err := l.ReplayAt(ctx, from, apply)
	return next, err
}

// ReplayAt is Replay that also returns the store's version as of the end of the
// log, from which a watch continues.
func (l *Log) ReplayAt(ctx context.Context, from int64, apply func(seq int64, payload []byte) error) (next, version int64, err error) {
	next = from
	after := l.segmentName(from - 1)
	for {
		page, err := l.store.List(ctx, l.SegmentPrefix(), after, replayPage)
		if err != nil {
			return next, 0, merry.Errorf("replay log: %w", err)
		}
		for _, obj := range page.Objects() {
			if err := l.replayOne(obj, next, apply); err != nil {
				return next, 0, err
			}
			next++
			after = obj.Name()
		}
		if !page.More() {
			return next, page.Version(), nil
		}
	}
}

func (l *Log) replayOne(obj cicadaplatform.Object, want int64, apply func(int64, []byte) error) error {
	seq, err := l.SegmentNumber(obj.Name())
	if err != nil {
		return err
	}
	if seq != want {
		return merry.Errorf("segment %d follows %d: %w", seq, want-1, ErrCorrupt)
	}
	payload, err := Decompress(obj.Value())
	if err != nil {
		return merry.Errorf("segment %d: %w", seq, err)
	}
	if err := apply(seq, payload); err != nil {
		return merry.Errorf("apply segment %d: %w", seq, err)
	}
	return nil
}

// SaveSnapshot writes the state as of before segment next. The first part is
// written last, so a snapshot without it is ignored.
func (l *Log) SaveSnapshot(ctx context.Context, next int64, payload []byte) error {
	packed := Compress(payload)
	parts := max((len(packed)+partSize-1)/partSize, 1)
	for part := parts - 1; part >= 0; part-- {
		chunk := packed[part*partSize : min((part+1)*partSize, len(packed))]
		if part == 0 {
			chunk = append([]byte{byte(parts >> 8), byte(parts)}, chunk...)
		}
		_, err := l.store.Create(ctx, l.class, l.snapshotName(next, part), chunk)
		if err != nil && !errors.Is(err, cicadaplatform.ErrExists) {
			return merry.Errorf("save snapshot %d: %w", next, err)
		}
	}
	return nil
}

// LoadSnapshot returns the newest snapshot and the number of the first segment
// after it. Without a snapshot the payload is nil and the number is 1.
func (l *Log) LoadSnapshot(ctx context.Context) (int64, []byte, error) {
	newest, head, err := l.newestSnapshot(ctx)
	if err != nil {
		return 0, nil, err
	}
	if newest == 0 {
		return 1, nil, nil
	}
	if len(head) < 2 {
		return 0, nil, merry.Errorf("snapshot %d: %w", newest, ErrCorrupt)
	}
	parts := int(head[0])<<8 | int(head[1])
	packed := append([]byte(nil), head[2:]...)
	for part := 1; part < parts; part++ {
		obj, err := l.store.Get(ctx, l.snapshotName(newest, part))
		if err != nil {
			return 0, nil, merry.Errorf("load snapshot %d part %d: %w", newest, part, err)
		}
		packed = append(packed, obj.Value()...)
	}
	payload, err := Decompress(packed)
	if err != nil {
		return 0, nil, merry.Errorf("snapshot %d: %w", newest, err)
	}
	return newest, payload, nil
}

func (l *Log) newestSnapshot(ctx context.Context) (int64, []byte, error) {
	var (
		newest int64
		head   []byte
		after  string
	)
	for {
		page, err := l.store.List(ctx, l.snapshotPrefix(), after, replayPage)
		if err != nil {
			return 0, nil, merry.Errorf("find snapshot: %w", err)
		}
		for _, obj := range page.Objects() {
			after = obj.Name()
			digits, isHead := strings.CutSuffix(strings.TrimPrefix(obj.Name(), l.snapshotPrefix()), "/0000")
			if !isHead {
				continue
			}
			seq, err := strconv.ParseInt(digits, 10, 64)
			if err != nil {
				return 0, nil, merry.Errorf("snapshot name %q: %w", obj.Name(), ErrCorrupt)
			}
			newest, head = seq, obj.Value()
		}
		if !page.More() {
			return newest, head, nil
		}
	}
}

// Trim deletes segments below keep and snapshots below newest. It stops after
// a page of each, to spread the writes.
func (l *Log) Trim(ctx context.Context, keep, newest int64) error {
	if err := l.trimBelow(ctx, l.SegmentPrefix(), l.segmentName(keep)); err != nil {
		return merry.Errorf("trim segments: %w", err)
	}
	if err := l.trimBelow(ctx, l.snapshotPrefix(), l.snapshotName(newest, 0)); err != nil {
		return merry.Errorf("trim snapshots: %w", err)
	}
	return nil
}

func (l *Log) trimBelow(ctx context.Context, prefix, bound string) error {
	page, err := l.store.List(ctx, prefix, "", trimPage)
	if err != nil {
		return err
	}
	for _, obj := range page.Objects() {
		if obj.Name() >= bound {
			return nil
		}
		if err := l.store.Delete(ctx, l.class, obj.Name(), obj.Version()); err != nil {
			return err
		}
	}
	return nil
}
