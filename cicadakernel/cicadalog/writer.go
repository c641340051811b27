package cicadalog

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"cicadalink.example/cicadakernel/cicadatask"
	"cicadalink.example/cicadakernel/cicadawire"
)

const (
	defaultFlushInterval  = 200 * time.Millisecond
	defaultUrgentInterval = 20 * time.Millisecond
	defaultSegmentBytes   = 2 << 20
	defaultPendingBytes   = 16 << 20
)

// ErrClosed reports that the writer was closed before the record was durable.
var ErrClosed = merry.Sentinel("cicadalog: writer closed")

// An ApplyFunc is called in log order for each durable segment.
type ApplyFunc func(seq int64, records []*cicadawire.Record)

// A Writer implements group commit: each flush writes the pending records as one
// segment. The writer stops at the first error, such as ErrFenced. It is safe for
// concurrent use.
type Writer struct {
	log             *Log
	name            string
	flushInterval   time.Duration
	urgentInterval  time.Duration
	maxSegmentBytes int
	maxPendingBytes int
	nonce           func() uint64
	apply           ApplyFunc

	mu           sync.Mutex
	spaceFreed   *sync.Cond // pendingBytes has decreased, or err is set
	pending      []pendingRecord
	pendingBytes int // includes records being flushed
	err          error
	next         int64
	urgent       bool // an urgent record is pending
	wake         chan struct{}
	stop         context.CancelFunc
	stopped      chan struct{}
	tasks        cicadatask.Group
}

type pendingRecord struct {
	record *cicadawire.Record
	size   int
	done   func(error)
}

// A WriterOption configures a Writer.
type WriterOption func(*Writer)

// WithFlushInterval sets how long a record waits for others before it is flushed.
func WithFlushInterval(d time.Duration) WriterOption {
	return func(w *Writer) { w.flushInterval = d }
}

// WithUrgentInterval sets how long an urgent record waits for others before it is
// flushed.
func WithUrgentInterval(d time.Duration) WriterOption {
	return func(w *Writer) { w.urgentInterval = d }
}

// WithPendingBytes sets the total size of pending records above which Add blocks.
func WithPendingBytes(n int) WriterOption {
	return func(w *Writer) { w.maxPendingBytes = n }
}

// NewWriter returns a writer that appends segments starting with number next, with
// name as the writer's name. It calls apply after each segment is durable, before it
// reports the commit to the callers of Add and Commit.
func NewWriter(log *Log, name string, next int64, nonce func() uint64, apply ApplyFunc, opts ...WriterOption) *Writer {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Writer{
		log:             log,
		name:            name,
		flushInterval:   defaultFlushInterval,
		urgentInterval:  defaultUrgentInterval,
		maxSegmentBytes: defaultSegmentBytes,
		maxPendingBytes: defaultPendingBytes,
		nonce:           nonce,
		apply:           apply,
		next:            next,
		wake:            make(chan struct{}, 1),
		stop:            cancel,
		stopped:         make(chan struct{}),
	}
	w.spaceFreed = sync.NewCond(&w.mu)
	for _, opt := range opts {
		opt(w)
	}
	w.tasks.Go(func() {
		defer close(w.stopped)
		w.run(ctx)
	})
	return w
}

// Next returns the number of the next segment.
func (w *Writer) Next() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.next
}

// Stopped returns a channel that is closed when the writer has stopped, because of
// an error or Close.
func (w *Writer) Stopped() <-chan struct{} { return w.stopped }

// Err returns the error that stopped the writer, or nil while it runs.
func (w *Writer) Err() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// Add queues a record. It calls done, if it is not nil, once the record is durable or the
// writer has stopped. Add blocks while the pending records exceed the size limit, which
// puts back-pressure on producers during an outage of the store.
func (w *Writer) Add(record *cicadawire.Record, done func(error)) {
	w.add(record, false, done)
}

func (w *Writer) add(record *cicadawire.Record, urgent bool, done func(error)) {
	size := proto.Size(record)
	w.mu.Lock()
	for w.err == nil && w.pendingBytes > 0 && w.pendingBytes+size > w.maxPendingBytes {
		w.spaceFreed.Wait()
	}
	if w.err != nil {
		err := w.err
		w.mu.Unlock()
		if done != nil {
			done(err)
		}
		return
	}
	w.pending = append(w.pending, pendingRecord{record: record, size: size, done: done})
	w.pendingBytes += size
	w.urgent = w.urgent || urgent
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// Commit adds a record and waits until it is durable.
func (w *Writer) Commit(ctx context.Context, record *cicadawire.Record) error {
	return w.commitAndWait(ctx, record, false)
}

// CommitUrgent is like Commit for a record that delays a caller's response. It
// flushes the pending records after the urgent interval.
func (w *Writer) CommitUrgent(ctx context.Context, record *cicadawire.Record) error {
	return w.commitAndWait(ctx, record, true)
}

func (w *Writer) commitAndWait(ctx context.Context, record *cicadawire.Record, urgent bool) error {
	result := make(chan error, 1)
	w.add(record, urgent, func(err error) { result <- err })
	select {
	case err := <-result:
		return err
	case <-ctx.Done():
		return merry.Errorf("wait for commit: %w", ctx.Err())
	}
}

// Close stops the writer immediately. Records that are not durable fail.
func (w *Writer) Close() {
	w.stop()
	w.tasks.Wait()
}

// Drain waits until no records are pending, the writer has stopped or ctx is done.
func (w *Writer) Drain(ctx context.Context) {
	for {
		w.mu.Lock()
		drained := w.pendingBytes == 0 || w.err != nil
		w.mu.Unlock()
		if drained {
			return
		}
		timer := time.NewTimer(w.flushInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
	}
}

func (w *Writer) run(ctx context.Context) {
	for {
		select {
		case <-w.wake:
		case <-ctx.Done():
			w.setFailed(nil, merry.Wrap(ErrClosed))
			return
		}
		w.waitForFlush(ctx)
		for batch := w.nextBatch(); len(batch) > 0; batch = w.nextBatch() {
			if err := w.flush(ctx, batch); err != nil {
				w.setFailed(batch, err)
				return
			}
		}
	}
}

// waitForFlush waits for the flush interval, or for the urgent interval after it has
// found an urgent record. It returns early when a segment is full.
func (w *Writer) waitForFlush(ctx context.Context) {
	flushTimer := time.NewTimer(w.flushInterval)
	defer flushTimer.Stop()
	var urgentTimer <-chan time.Time
	for {
		w.mu.Lock()
		full, urgent := w.pendingBytes >= w.maxSegmentBytes, w.urgent
		w.mu.Unlock()
		if full {
			return
		}
		if urgent && urgentTimer == nil {
			timer := time.NewTimer(w.urgentInterval)
			defer timer.Stop()
			urgentTimer = timer.C
		}
		select {
		case <-w.wake:
		case <-urgentTimer:
			return
		case <-flushTimer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// nextBatch removes and returns pending records of at most maxSegmentBytes in total,
// but at least one record if any is pending.
func (w *Writer) nextBatch() []pendingRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, size := 0, 0
	for n < len(w.pending) && (n == 0 || size+w.pending[n].size <= w.maxSegmentBytes) {
		size += w.pending[n].size
		n++
	}
	batch := w.pending[:n:n]
	w.pending = w.pending[n:]
	if len(w.pending) == 0 {
		w.urgent = false
	}
	return batch
}

// flush writes a batch as one segment. If the compressed segment is larger than
// maxObjectSize, it splits the batch in half and flushes both halves.
func (w *Writer) flush(ctx context.Context, batch []pendingRecord) error {
	segment := &cicadawire.Segment{Writer: w.name, Nonce: w.nonce()}
	for _, p := range batch {
		segment.Records = append(segment.Records, p.record)
	}
	payload, err := proto.Marshal(segment)
	if err != nil {
		return merry.Errorf("encode segment: %w", err)
	}
	if len(batch) > 1 && len(payload) > maxObjectSize && len(Compress(payload)) > maxObjectSize {
		if err := w.flush(ctx, batch[:len(batch)/2]); err != nil {
			return err
		}
		return w.flush(ctx, batch[len(batch)/2:])
	}
	if err := w.log.Append(ctx, w.next, payload); err != nil {
		if errors.Is(err, context.Canceled) {
			return merry.Errorf("%w: %w", ErrClosed, err)
		}
		return err
	}
	w.completeBatch(segment.Records, batch)
	return nil
}

// completeBatch applies a durable segment and reports the commit of its records.
func (w *Writer) completeBatch(records []*cicadawire.Record, batch []pendingRecord) {
	seq := w.next
	w.apply(seq, records)
	w.mu.Lock()
	w.next++
	for _, p := range batch {
		w.pendingBytes -= p.size
	}
	w.spaceFreed.Broadcast()
	w.mu.Unlock()
	for i := range batch {
		if batch[i].done != nil {
			batch[i].done(nil)
			batch[i].done = nil
		}
	}
}

// setFailed records err and reports it for the batch and all pending records.
func (w *Writer) setFailed(batch []pendingRecord, err error) {
	w.mu.Lock()
	w.err = err
	batch = append(batch, w.pending...)
	w.pending = nil
	w.spaceFreed.Broadcast()
	w.mu.Unlock()
	for _, p := range batch {
		if p.done != nil {
			p.done(err)
		}
	}
}
