package cicadashard

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
	"google.golang.org/protobuf/proto"

	"cicadalink.example/cicadakernel/cicadajob"
	"cicadalink.example/cicadakernel/cicadalease"
	"cicadalink.example/cicadakernel/cicadalog"
	"cicadalink.example/cicadakernel/cicadaplatform"
	"cicadalink.example/cicadakernel/cicadawire"
)

const (
	segmentsPerSnapshot = 200
	segmentsPerTrim     = 50
)

// An owner runs a shard that this entry owns. It holds the lease, the log and its
// writer, and the state replayed from the log.
type owner struct {
	manager *Manager
	shard   int
	lease   *cicadalease.Lease
	log     *cicadalog.Log
	writer  *cicadalog.Writer

	mu               sync.Mutex
	state            *cicadajob.State
	stateChanged     chan struct{}
	pendingSnapshots chan snapshot
}

// A snapshot is an encoded state, the number of the first segment that it does
// not cover, and the number of the oldest segment that the state refers to.
type snapshot struct {
	nextSegment   int64
	oldestSegment int64
	data          []byte
}

func newOwner(manager *Manager, shard int, lease *cicadalease.Lease) *owner {
	return &owner{
		manager:          manager,
		shard:            shard,
		lease:            lease,
		log:              cicadalog.New(manager.deps.Store, shardPrefix(shard), cicadaplatform.ClassResult),
		stateChanged:     make(chan struct{}),
		pendingSnapshots: make(chan snapshot, 1),
	}
}

// open replays the log and starts a new epoch. Once the epoch's segment is
// written, appends by earlier owners fail.
func (o *owner) open(ctx context.Context) error {
	next, data, err := o.log.LoadSnapshot(ctx)
	if err != nil {
		return merry.Errorf("open shard: %w", err)
	}
	state := cicadajob.NewState()
	if data != nil {
		if state, err = cicadajob.DecodeState(data); err != nil {
			return merry.Errorf("open shard: %w", err)
		}
	}
	o.state = state
	for {
		next, err = o.log.Replay(ctx, next, state.ApplySegment)
		if err != nil {
			return merry.Errorf("open shard: %w", err)
		}
		err = o.appendEpoch(ctx, next)
		if err == nil {
			break
		}
		if !errors.Is(err, cicadalog.ErrFenced) {
			return merry.Errorf("open shard: %w", err)
		}
	}
	o.writer = cicadalog.NewWriter(o.log, o.manager.ownerID, next+1, o.manager.deps.Nonce, o.applySegment,
		cicadalog.WithFlushInterval(o.manager.cfg.FlushInterval), cicadalog.WithUrgentInterval(o.manager.cfg.ClaimInterval))
	return nil
}

func (o *owner) appendEpoch(ctx context.Context, seq int64) error {
	epoch := &cicadawire.Epoch{Owner: o.manager.ownerID, Number: o.state.Epoch() + 1}
	record := &cicadawire.Record{Kind: &cicadawire.Record_Epoch{Epoch: epoch}}
	segment := &cicadawire.Segment{Writer: o.manager.ownerID, Nonce: o.manager.deps.Nonce(), Records: []*cicadawire.Record{record}}
	payload, err := proto.Marshal(segment)
	if err != nil {
		return merry.Errorf("encode epoch: %w", err)
	}
	if err := o.log.Append(ctx, seq, payload); err != nil {
		return merry.Errorf("start epoch: %w", err)
	}
	o.state.Apply(seq, segment.GetRecords())
	return nil
}

func (o *owner) epoch() int64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.state.Epoch()
}

// applySegment applies a durable segment to the state, and queues a snapshot
// every segmentsPerSnapshot segments unless one is still waiting to be saved.
func (o *owner) applySegment(seq int64, records []*cicadawire.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state.Apply(seq, records)
	close(o.stateChanged)
	o.stateChanged = make(chan struct{})
	if seq%segmentsPerSnapshot != 0 {
		return
	}
	data, err := o.state.Encode()
	if err != nil {
		return
	}
	select {
	case o.pendingSnapshots <- snapshot{nextSegment: seq + 1, oldestSegment: o.state.OldestSegment(seq + 1), data: data}:
	default:
	}
}

// run runs the shard's jobs and resolves its overdue claims until ctx ends or
// the writer stops.
func (o *owner) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	runner := newJobRunner(o)
	defer runner.close()
	runner.tasks.Go(func() { o.saveSnapshots(ctx) })
	runner.tasks.Go(func() { runner.loop(ctx) })
	runner.tasks.Go(func() { o.resolveOverdueClaims(ctx) })
	defer cancel()
	select {
	case <-o.writer.Stopped():
		return o.writer.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// close flushes pending records and stops the writer.
func (o *owner) close(ctx context.Context) {
	if o.writer == nil {
		return
	}
	o.writer.Drain(ctx)
	o.writer.Close()
}

// saveSnapshots saves snapshots without blocking the writer, and then deletes
// the log segments that neither the snapshot's replay nor a result reader needs.
func (o *owner) saveSnapshots(ctx context.Context) {
	for {
		select {
		case s := <-o.pendingSnapshots:
			if err := o.log.SaveSnapshot(ctx, s.nextSegment, s.data); err != nil {
				o.manager.deps.Scope.Counter("snapshot_failures").Inc(1)
				continue
			}
			if err := o.log.Trim(ctx, min(s.oldestSegment, s.nextSegment), s.nextSegment); err != nil {
				o.manager.deps.Scope.Counter("trim_failures").Inc(1)
			}
		case <-ctx.Done():
			return
		}
	}
}

// stateChange returns a channel that is closed at the next change of the state.
func (o *owner) stateChange() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.stateChanged
}

// commit writes a record and waits until it is durable. It returns ErrNotOwner
// if another owner has fenced the log or the writer is closed.
func (o *owner) commit(ctx context.Context, record *cicadawire.Record) error {
	err := o.writer.CommitUrgent(ctx, record)
	if errors.Is(err, cicadalog.ErrFenced) || errors.Is(err, cicadalog.ErrClosed) {
		return merry.Errorf("%w: %w", ErrNotOwner, err)
	}
	return err
}

func (o *owner) jobView(j *cicadajob.Job) *cicadawire.JobView {
	view := j.View()
	view.Shard = int32(o.shard)
	return view
}

// jobs returns a page of a customer's jobs, newest first, and reports whether
// more follow.
func (o *owner) jobs(customer, after string, limit int) ([]*cicadawire.JobView, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	jobs := o.state.Jobs(customer)
	start := 0
	if after != "" {
		start = slices.IndexFunc(jobs, func(j *cicadajob.Job) bool { return j.ID() == after }) + 1
	}
	var page []*cicadawire.JobView
	for _, j := range jobs[start:] {
		if len(page) == limit {
			return page, true
		}
		page = append(page, o.jobView(j))
	}
	return page, false
}

// jittered returns a random duration from 0.75 d to 1.25 d.
func jittered(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2) }
