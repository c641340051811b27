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
	snapshotEvery = 200
	trimEvery     = 50
)

// An owner holds one shard: its state, its log's writer, and its jobs' runner.
type owner struct {
	m      *Manager
	shard  int
	lease  *cicadalease.Lease
	log    *cicadalog.Log
	writer *cicadalog.Writer

	mu        sync.Mutex
	state     *cicadajob.State
	changed   chan struct{}
	snapshots chan snapshot
}

// A snapshot is an encoded state and the number of the segment after it.
type snapshot struct {
	next   int64
	oldest int64
	data   []byte
}

func newOwner(m *Manager, shard int, lease *cicadalease.Lease) *owner {
	return &owner{
		m:         m,
		shard:     shard,
		lease:     lease,
		log:       cicadalog.New(m.deps.Store, shardPrefix(shard), cicadaplatform.ClassResult),
		changed:   make(chan struct{}),
		snapshots: make(chan snapshot, 1),
	}
}

// open replays the log and starts a new epoch. Once the epoch's segment stands,
// no earlier owner can append.
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
	o.writer = cicadalog.NewWriter(o.log, o.m.id, next+1, o.m.deps.Nonce, o.applied,
		cicadalog.WithFlushInterval(o.m.cfg.FlushInterval), cicadalog.WithUrgentInterval(o.m.cfg.ClaimInterval))
	return nil
}

func (o *owner) appendEpoch(ctx context.Context, seq int64) error {
	epoch := &cicadawire.Epoch{Owner: o.m.id, Number: o.state.Epoch() + 1}
	record := &cicadawire.Record{Kind: &cicadawire.Record_Epoch{Epoch: epoch}}
	segment := &cicadawire.Segment{Writer: o.m.id, Nonce: o.m.deps.Nonce(), Records: []*cicadawire.Record{record}}
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

// applied takes a durable segment into the state.
func (o *owner) applied(seq int64, records []*cicadawire.Record) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.state.Apply(seq, records)
	close(o.changed)
	o.changed = make(chan struct{})
	if seq%snapshotEvery != 0 {
		return
	}
	data, err := o.state.Encode()
	if err != nil {
		return
	}
	select {
	case o.snapshots <- snapshot{next: seq + 1, oldest: o.state.OldestSegment(seq + 1), data: data}:
	default:
	}
}

// run works on the shard until ctx ends or the writer stops.
func (o *owner) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := newRunner(o)
	defer r.close()
	r.tasks.Go(func() { o.saveSnapshots(ctx) })
	r.tasks.Go(func() { r.loop(ctx) })
	r.tasks.Go(func() { o.sweepCalls(ctx) })
	defer cancel()
	select {
	case <-o.writer.Stopped():
		return o.writer.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// close writes what is pending and stops the writer.
func (o *owner) close(ctx context.Context) {
	if o.writer == nil {
		return
	}
	o.writer.Drain(ctx)
	o.writer.Close()
}

// saveSnapshots saves snapshots off the writer's path, and trims the log below
// what is still readable.
func (o *owner) saveSnapshots(ctx context.Context) {
	for {
		select {
		case s := <-o.snapshots:
			if err := o.log.SaveSnapshot(ctx, s.next, s.data); err != nil {
				o.m.deps.Scope.Counter("snapshot_failures").Inc(1)
				continue
			}
			if err := o.log.Trim(ctx, min(s.oldest, s.next), s.next); err != nil {
				o.m.deps.Scope.Counter("trim_failures").Inc(1)
			}
		case <-ctx.Done():
			return
		}
	}
}

// watchState returns a channel that is closed at the next change of the state.
func (o *owner) watchState() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.changed
}

// commit makes a record durable.
func (o *owner) commit(ctx context.Context, record *cicadawire.Record) error {
	err := o.writer.CommitUrgent(ctx, record)
	if errors.Is(err, cicadalog.ErrFenced) || errors.Is(err, cicadalog.ErrClosed) {
		return merry.Errorf("%w: %w", ErrNotOwner, err)
	}
	return err
}

func (o *owner) view(j *cicadajob.Job) *cicadawire.JobView {
	v := j.View()
	v.Shard = int32(o.shard)
	return v
}

// jobs returns a page of a customer's jobs, the newest first.
func (o *owner) jobs(customer, after string, limit int) ([]*cicadawire.JobView, bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	all := o.state.Jobs(customer)
	start := 0
	if after != "" {
		start = slices.IndexFunc(all, func(j *cicadajob.Job) bool { return j.ID() == after }) + 1
	}
	var page []*cicadawire.JobView
	for _, j := range all[start:] {
		if len(page) == limit {
			return page, true
		}
		page = append(page, o.view(j))
	}
	return page, false
}

func jittered(d time.Duration) time.Duration { return d*3/4 + rand.N(d/2) }
