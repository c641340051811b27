// Package cicadalog implements a segmented log on the platform's Object API.
// Segment number N is the object PREFIX/log/N, which is created only if it does not
// exist. This fences writers: if two of them write the same segment number, one gets
// ErrFenced, which means that it no longer owns the log. Snapshots bound the number
// of segments to replay.
//
// # Usage
//
//	log := cicadalog.New(store, "shard/007", cicadaplatform.ClassResult)
//	next, snapshot, err := log.LoadSnapshot(ctx)
//	next, err = log.Replay(ctx, next, func(seq int64, payload []byte) error {
//		return state.ApplySegment(seq, payload)
//	})
//	err = log.Append(ctx, next, payload)
//	if errors.Is(err, cicadalog.ErrFenced) {
//		// Another owner wrote segment next.
//	}
//
// Payloads are compressed. A payload must contain something unique to its writer:
// if the store's response to a write is lost, the segment is read back to find out
// who wrote it.
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

// ErrFenced reports that the segment to be written already exists, so another writer
// owns the log.
var ErrFenced = merry.Sentinel("cicadalog: segment exists, another writer owns the log")

// ErrCorrupt reports a segment or snapshot that cannot be read.
var ErrCorrupt = merry.Sentinel("cicadalog: corrupt segment")

const (
	// maxObjectSize is the intended maximum size of an object's value. It leaves
	// room for a header below the store's limit.
	maxObjectSize    = 900 << 10
	maxPayloadSize   = 64 << 20 // uncompressed
	listPageSize     = 64
	codecConcurrency = 2
	trimPageSize     = 200
)

// The codecs create their channels on first use. newEncoder and newDecoder trigger
// that during package initialization, because a channel that is created in a
// synctest bubble must not be used outside it.
var (
	encoder = newEncoder()
	decoder = newDecoder()
)

func newEncoder() *zstd.Encoder {
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(codecConcurrency))
	if err != nil {
		panic(err)
	}
	enc.EncodeAll([]byte{0}, nil)
	return enc
}

func newDecoder() *zstd.Decoder {
	dec, err := zstd.NewReader(nil, zstd.WithDecoderMaxMemory(maxPayloadSize), zstd.WithDecoderConcurrency(codecConcurrency))
	if err != nil {
		panic(err)
	}
	return dec
}

// Compress returns the compressed payload.
func Compress(payload []byte) []byte {
	return encoder.EncodeAll(payload, make([]byte, 0, len(payload)/3+64))
}

// Decompress returns the payload of a compressed value.
func Decompress(value []byte) ([]byte, error) {
	payload, err := decoder.DecodeAll(value, nil)
	if err != nil {
		return nil, merry.Errorf("decompress: %w: %w", ErrCorrupt, err)
	}
	return payload, nil
}

// A Log reads and writes one log and its snapshots.
type Log struct {
	store  *cicadaplatform.Client
	prefix string
	class  cicadaplatform.Class
}

// New returns the log stored under a prefix. Its writes are rate-limited as
// calls of the given class.
func New(store *cicadaplatform.Client, prefix string, class cicadaplatform.Class) *Log {
	return &Log{store: store, prefix: prefix, class: class}
}

// SegmentPrefix returns the common prefix of the names of the segment objects.
func (l *Log) SegmentPrefix() string { return l.prefix + "/log/" }

func (l *Log) segmentName(seq int64) string { return fmt.Sprintf("%s%012d", l.SegmentPrefix(), seq) }

func (l *Log) snapshotPrefix() string { return l.prefix + "/snapshot/" }

func (l *Log) snapshotName(seq int64, part int) string {
	return fmt.Sprintf("%s%012d/%04d", l.snapshotPrefix(), seq, part)
}

// SegmentNumber parses the name of a segment object and returns the segment's number.
func (l *Log) SegmentNumber(name string) (int64, error) {
	digits, ok := strings.CutPrefix(name, l.SegmentPrefix())
	if !ok {
		return 0, merry.Errorf("segment name %q: %w", name, ErrCorrupt)
	}
	seq, err := strconv.ParseInt(digits, 10, 64)
	if err != nil {
		return 0, merry.Errorf("segment name %q: %w", name, ErrCorrupt)
	}
	return seq, nil
}

// Append writes segment seq. It returns ErrFenced if the segment already exists.
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

// Replay calls apply for each segment, in order, starting with number from. It
// returns the number after the last segment.
func (l *Log) Replay(ctx context.Context, from int64, apply func(seq int64, payload []byte) error) (int64, error) {
	next, _, err := l.ReplayAt(ctx, from, apply)
	return next, err
}

// ReplayAt is like Replay. It also returns the store version at which the log was
// read, from which a watch can continue.
func (l *Log) ReplayAt(ctx context.Context, from int64, apply func(seq int64, payload []byte) error) (next, version int64, err error) {
	next = from
	after := l.segmentName(from - 1)
	for {
		page, err := l.store.List(ctx, l.SegmentPrefix(), after, listPageSize)
		if err != nil {
			return next, 0, merry.Errorf("replay log: %w", err)
		}
		for _, obj := range page.Objects() {
			if err := l.replaySegment(obj, next, apply); err != nil {
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

func (l *Log) replaySegment(obj cicadaplatform.Object, wantSeq int64, apply func(int64, []byte) error) error {
	seq, err := l.SegmentNumber(obj.Name())
	if err != nil {
		return err
	}
	if seq != wantSeq {
		return merry.Errorf("segment %d follows segment %d: %w", seq, wantSeq-1, ErrCorrupt)
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

// SaveSnapshot writes a snapshot of the state before segment next. The compressed
// payload is stored in parts of at most maxObjectSize. Part 0, which starts with
// the number of parts, is written last: a snapshot without it is incomplete and
// ignored.
func (l *Log) SaveSnapshot(ctx context.Context, next int64, payload []byte) error {
	compressed := Compress(payload)
	parts := max((len(compressed)+maxObjectSize-1)/maxObjectSize, 1)
	for part := parts - 1; part >= 0; part-- {
		chunk := compressed[part*maxObjectSize : min((part+1)*maxObjectSize, len(compressed))]
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

// LoadSnapshot returns the number of the first segment after the newest snapshot,
// and the snapshot's payload. If there is no snapshot, it returns 1 and nil.
func (l *Log) LoadSnapshot(ctx context.Context) (int64, []byte, error) {
	newest, firstPart, err := l.newestSnapshot(ctx)
	if err != nil {
		return 0, nil, err
	}
	if newest == 0 {
		return 1, nil, nil
	}
	if len(firstPart) < 2 {
		return 0, nil, merry.Errorf("snapshot %d: %w", newest, ErrCorrupt)
	}
	parts := int(firstPart[0])<<8 | int(firstPart[1])
	compressed := append([]byte(nil), firstPart[2:]...)
	for part := 1; part < parts; part++ {
		obj, err := l.store.Get(ctx, l.snapshotName(newest, part))
		if err != nil {
			return 0, nil, merry.Errorf("load snapshot %d part %d: %w", newest, part, err)
		}
		compressed = append(compressed, obj.Value()...)
	}
	payload, err := Decompress(compressed)
	if err != nil {
		return 0, nil, merry.Errorf("snapshot %d: %w", newest, err)
	}
	return newest, payload, nil
}

// newestSnapshot returns the number and part 0 of the newest complete snapshot, or 0
// if there is none.
func (l *Log) newestSnapshot(ctx context.Context) (int64, []byte, error) {
	var (
		newest    int64
		firstPart []byte
		after     string
	)
	for {
		page, err := l.store.List(ctx, l.snapshotPrefix(), after, listPageSize)
		if err != nil {
			return 0, nil, merry.Errorf("list snapshots: %w", err)
		}
		for _, obj := range page.Objects() {
			after = obj.Name()
			digits, isFirstPart := strings.CutSuffix(strings.TrimPrefix(obj.Name(), l.snapshotPrefix()), "/0000")
			if !isFirstPart {
				continue
			}
			seq, err := strconv.ParseInt(digits, 10, 64)
			if err != nil {
				return 0, nil, merry.Errorf("snapshot name %q: %w", obj.Name(), ErrCorrupt)
			}
			newest, firstPart = seq, obj.Value()
		}
		if !page.More() {
			return newest, firstPart, nil
		}
	}
}

// Trim deletes the segments before oldestSegment and the snapshots before
// newestSnapshot. Each call deletes at most one page of both, to spread the writes
// over time.
func (l *Log) Trim(ctx context.Context, oldestSegment, newestSnapshot int64) error {
	if err := l.trimBelow(ctx, l.SegmentPrefix(), l.segmentName(oldestSegment)); err != nil {
		return merry.Errorf("trim segments: %w", err)
	}
	if err := l.trimBelow(ctx, l.snapshotPrefix(), l.snapshotName(newestSnapshot, 0)); err != nil {
		return merry.Errorf("trim snapshots: %w", err)
	}
	return nil
}

func (l *Log) trimBelow(ctx context.Context, prefix, bound string) error {
	page, err := l.store.List(ctx, prefix, "", trimPageSize)
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
