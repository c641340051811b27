package cicadalog

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"cicadalink.example/cicadakernel/cicadawire"
)

const (
	defaultFlushInterval  = 200 * time.Millisecond
	defaultUrgentInterval = 20 * time.Millisecond
	defaultFlushBytes     = 2 << 20
	defaultPendingBytes   = 16 << 20
)

// ErrClosed reports an append to a writer that has stopped.
var ErrClosed = merry.Sentinel("cicadalog: writer closed")

// An Applied is called in log order for each durable segment.
type Applied func(seq int64, records []*cicadawire.Record)

// A Writer commits records in groups: a flush packs all that is pending into
// one segment. It stops for good when it is fenced.
type Writer struct {
	log      *Log
	name     string
	interval time.Duration
	soon     time.Duration
	maxBytes int
	limit    int
	nonce    func() uint64
	applied  Applied

	mu      sync.Mutex
	room    *sync.Cond
	pending []pendingRecord
	size    int
	err     error
	next    int64
	urgent  bool
	wake    chan struct{}
	stop    context.CancelFunc
	stopped chan struct{}
	tasks   conc.WaitGroup
}

type pendingRecord struct {
	record *cicadawire.Record
	size   int
	done   func(error)
}

// A WriterOption changes a Writer as it is made.
type WriterOption func(*Writer)

// WithFlushInterval sets how long a record waits for others to join it.
func WithFlushInterval(d time.Duration) WriterOption {
	return func(w *Writer) { w.interval = d }
}

// WithUrgentInterval sets how long an urgent record waits for others.
func WithUrgentInterval(d time.Duration) WriterOption {
	return func(w *Writer) { w.soon = d }
}

// WithPendingBytes sets how much may wait in memory before Append blocks.
func WithPendingBytes(n int) WriterOption {
	return func(w *Writer) { w.limit = n }
}

// NewWriter returns a writer that appends from segment next on, under the
// owner's name. Applied is called after each segment is durable and before the
// callers of its records are told.
func NewWriter(log *Log, name string, next int64, nonce func() uint64, applied Applied, opts ...WriterOption) *Writer {
	ctx, cancel := context.WithCancel(context.Background())
	w := &Writer{
		log:      log,
		name:     name,
		interval: defaultFlushInterval,
		soon:     defaultUrgentInterval,
		maxBytes: defaultFlushBytes,
		limit:    defaultPendingBytes,
		nonce:    nonce,
		applied:  applied,
		next:     next,
		wake:     make(chan struct{}, 1),
		stop:     cancel,
		stopped:  make(chan struct{}),
	}
	w.room = sync.NewCond(&w.mu)
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

// Stopped is closed when the writer has stopped, fenced or closed.
func (w *Writer) Stopped() <-chan struct{} { return w.stopped }

// Err returns why the writer stopped, or nil while it runs.
func (w *Writer) Err() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.err
}

// Add queues a record; done is called once when its fate is known. Add blocks
// while too much is pending: this is the back-pressure on producers during an
// outage of the store.
func (w *Writer) Add(record *cicadawire.Record, done func(error)) {
	w.add(record, false, done)
}

func (w *Writer) add(record *cicadawire.Record, urgent bool, done func(error)) {
	size := proto.Size(record)
	w.mu.Lock()
	for w.err == nil && w.size > 0 && w.size+size > w.limit {
		w.room.Wait()
	}
	if w.err != nil {
		err := w.err
		w.mu.Unlock()
		done(err)
		return
	}
	w.pending = append(w.pending, pendingRecord{record: record, size: size, done: done})
	w.size += size
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

// CommitUrgent is Commit for a record that a caller waits for. What is pending
// goes out with it.
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

// Close stops the writer at once. Records that are not durable fail.
func (w *Writer) Close() {
	w.stop()
	w.tasks.Wait()
}

// Drain waits until nothing is pending or the writer has stopped.
func (w *Writer) Drain(ctx context.Context) {
	for {
		w.mu.Lock()
		empty := w.size == 0 || w.err != nil
		w.mu.Unlock()
		if empty {
			return
		}
		timer := time.NewTimer(w.interval)
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
			w.fail(nil, merry.Wrap(ErrClosed))
			return
		}
		w.gather(ctx)
		for batch := w.take(); len(batch) > 0; batch = w.take() {
			if err := w.flush(ctx, batch); err != nil {
				w.fail(batch, err)
				return
			}
		}
	}
}

// gather waits for the flush interval, for the shorter one once an urgent record
// is pending, or until a segment is full.
func (w *Writer) gather(ctx context.Context) {
	due := time.NewTimer(w.interval)
	defer due.Stop()
	var soon <-chan time.Time
	for {
		w.mu.Lock()
		full, urgent := w.size >= w.maxBytes, w.urgent
		w.mu.Unlock()
		if full {
			return
		}
		if urgent && soon == nil {
			timer := time.NewTimer(w.soon)
			defer timer.Stop()
			soon = timer.C
		}
		select {
		case <-w.wake:
		case <-soon:
			return
		case <-due.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (w *Writer) take() []pendingRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, size := 0, 0
	for n < len(w.pending) && (n == 0 || size+w.pending[n].size <= w.maxBytes) {
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

// flush writes a batch as one segment, or as two halves when it does not
// compress below the store's limit for a value.
func (w *Writer) flush(ctx context.Context, batch []pendingRecord) error {
	segment := &cicadawire.Segment{Writer: w.name, Nonce: w.nonce()}
	for _, p := range batch {
		segment.Records = append(segment.Records, p.record)
	}
	payload, err := proto.Marshal(segment)
	if err != nil {
		return merry.Errorf("encode segment: %w", err)
	}
	if len(batch) > 1 && len(payload) > partSize && len(Compress(payload)) > partSize {
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
	w.commit(segment.Records, batch)
	return nil
}

func (w *Writer) commit(records []*cicadawire.Record, batch []pendingRecord) {
	seq := w.next
	w.applied(seq, records)
	w.mu.Lock()
	w.next++
	for _, p := range batch {
		w.size -= p.size
	}
	w.room.Broadcast()
	w.mu.Unlock()
	for i := range batch {
		if batch[i].done != nil {
			batch[i].done(nil)
			batch[i].done = nil
		}
	}
}

func (w *Writer) fail(batch []pendingRecord, err error) {
	w.mu.Lock()
	w.err = err
	batch = append(batch, w.pending...)
	w.pending = nil
	w.room.Broadcast()
	w.mu.Unlock()
	for _, p := range batch {
		if p.done != nil {
			p.done(err)
		}
	}
}
