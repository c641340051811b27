package cicadaplatform

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/uber-go/tally/v4"
	"golang.org/x/time/rate"

	"cicadalink.example/cicadakernel/cicadaretry"
)

// A Class is the purpose of a write. Each class has its own share of the client's
// write budget.
type Class int

// Classes of writes, the most urgent first.
const (
	ClassLease Class = iota
	ClassConfig
	ClassClaim
	ClassResult
	ClassUpload
	classCount
)

var classNames = [classCount]string{"lease", "config", "claim", "result", "upload"}

// classShares is each class's share of the write budget. Classes don't borrow
// unused budget from each other, so that many uploads cannot delay a lease renewal.
var classShares = [classCount]float64{0.15, 0.10, 0.25, 0.30, 0.20}

// minClassRates is the minimum write rate of a class, in writes per second, however
// small the budget is. An entry that cannot renew a lease in time loses the shard;
// the number of shards limits the rate of lease writes.
var minClassRates = [classCount]float64{ClassLease: 40}

// String returns the class's name.
func (c Class) String() string { return classNames[c] }

const (
	defaultWriteRate = 100.0
	defaultDeadline  = 2 * time.Second
	minBackoff       = 50 * time.Millisecond
	maxBackoff       = 2 * time.Second
	burstSeconds     = 0.5
	minBurst         = 4
	// defaultChangesRate is the rate of ChangesAsOf, in calls per second, and changesBurst its burst.
	defaultChangesRate = 1.0
	changesBurst       = 2
)

// latencyBuckets are the histogram buckets of call durations, from 1 ms to 8 s.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// A Client calls the platform's Object API at limited rates. If the response to a
// write is lost, it reads the object back to find out whether the write took
// effect. While the store is unavailable it retries writes with exponential
// backoff and jitter.
type Client struct {
	backend      Backend
	deadline     time.Duration
	limits       [classCount]*rate.Limiter
	readLimit    *rate.Limiter
	changesLimit *rate.Limiter
	scope        tally.Scope
	writes       atomic.Int64
	reads        atomic.Int64
	verifyWrites bool
	unanswered   atomic.Bool // a read had no answer, and none has been answered since
	onAnswered   func()
}

// A ClientOption configures a Client.
type ClientOption func(*Client)

// WithWriteRate sets the client's write budget, in writes per second. The default
// is 100.
func WithWriteRate(perSecond float64) ClientOption {
	return func(c *Client) { c.setWriteRate(perSecond) }
}

// WithReadRate limits the rate of gets, lists, watches and VM list reads, in calls
// per second. By default it is unlimited.
func WithReadRate(perSecond float64) ClientOption {
	return func(c *Client) { c.setReadRate(perSecond) }
}

// SetRates changes the client's write and read budgets, in calls per second.
// Processes that share a budget call it when one of them starts or stops.
func (c *Client) SetRates(writes, reads float64) {
	c.setWriteRate(writes)
	c.setReadRate(reads)
}

func (c *Client) setWriteRate(perSecond float64) {
	for class := range classCount {
		share := max(perSecond*classShares[class], minClassRates[class])
		setLimit(c.limits[class], share)
	}
}

func (c *Client) setReadRate(perSecond float64) { setLimit(c.readLimit, perSecond) }

func setLimit(l *rate.Limiter, perSecond float64) {
	l.SetLimit(rate.Limit(perSecond))
	l.SetBurst(max(int(perSecond*burstSeconds), minBurst))
}

// WithDeadline sets the timeout of a single call other than Watch. The default is 2 s.
func WithDeadline(d time.Duration) ClientOption {
	return func(c *Client) { c.deadline = d }
}

// WithScope sets the metrics scope.
func WithScope(scope tally.Scope) ClientOption {
	return func(c *Client) { c.scope = scope }
}

// WithoutReadBack makes the client retry a write whose response was lost without
// reading the object back. It exists so that tests can show the failures that
// reading back prevents.
func WithoutReadBack() ClientOption {
	return func(c *Client) { c.verifyWrites = false }
}

// NewClient returns a client that calls backend.
func NewClient(backend Backend, opts ...ClientOption) *Client {
	c := &Client{
		backend: backend, deadline: defaultDeadline, scope: tally.NoopScope, verifyWrites: true,
		readLimit: rate.NewLimiter(rate.Inf, minBurst), changesLimit: rate.NewLimiter(defaultChangesRate, changesBurst), onAnswered: func() {},
	}
	for class := range classCount {
		c.limits[class] = rate.NewLimiter(0, 0)
	}
	c.setWriteRate(defaultWriteRate)
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// OnDead adds a function that is called when kept connections to the store were found to be
// dead, with a time since which nothing was received on one. Others of the process may have
// died with them.
func (c *Client) OnDead(f func(since time.Time)) {
	if c.backend.OnDead != nil {
		c.backend.OnDead(f)
	}
}

// Writes returns the number of writes the client has made.
func (c *Client) Writes() int64 { return c.writes.Load() }

// Reads returns the number of gets, lists, watches and VM list reads the client
// has made.
func (c *Client) Reads() int64 { return c.reads.Load() }

// acquireRead waits for the read budget and counts the call.
func (c *Client) acquireRead(ctx context.Context, kind string) error {
	return c.acquireReadFrom(ctx, c.readLimit, kind)
}

// acquireReadFrom waits for a budget and counts the call.
func (c *Client) acquireReadFrom(ctx context.Context, limit *rate.Limiter, kind string) error {
	if err := limit.Wait(ctx); err != nil {
		return merry.Errorf("wait for read rate limit: %w: %w", ErrUnavailable, err)
	}
	c.reads.Add(1)
	c.scope.Tagged(map[string]string{"call": kind}).Counter("platform_calls").Inc(1)
	return nil
}

// recordLatency records the duration of a call.
func (c *Client) recordLatency(kind string, start time.Time) {
	c.scope.Tagged(map[string]string{"call": kind}).Histogram("platform_call_time", latencyBuckets).RecordDuration(time.Since(start))
}

func (c *Client) countWrite(class Class) {
	c.writes.Add(1)
	c.scope.Tagged(map[string]string{"call": "write-" + class.String()}).Counter("platform_calls").Inc(1)
}

// Get returns an object, or ErrNotFound if it does not exist.
func (c *Client) Get(ctx context.Context, name string) (Object, error) {
	obj, _, err := c.GetAsOf(ctx, name)
	return obj, err
}

// GetAsOf does what Get does, and returns the time when the store was asked, after the wait for the
// read budget. What it returns reflects every write that was complete then.
func (c *Client) GetAsOf(ctx context.Context, name string) (Object, time.Time, error) {
	if err := c.acquireRead(ctx, "get"); err != nil {
		return Object{}, time.Time{}, err
	}
	asOf := time.Now()
	defer c.recordLatency("get", asOf)
	ctx, cancel := context.WithTimeout(ctx, c.deadline)
	defer cancel()
	obj, err := c.backend.Get(ctx, name)
	c.recordRead(err)
	if err != nil {
		return Object{}, asOf, merry.Errorf("read object: %w", err)
	}
	return obj, asOf, nil
}

// List returns up to limit objects whose names have the prefix and sort after the
// given name.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) (Page, error) {
	if err := c.acquireRead(ctx, "list"); err != nil {
		return Page{}, err
	}
	defer c.recordLatency("list", time.Now())
	ctx, cancel := context.WithTimeout(ctx, c.deadline)
	defer cancel()
	page, err := c.backend.List(ctx, prefix, after, limit)
	c.recordRead(err)
	if err != nil {
		return Page{}, merry.Errorf("list objects: %w", err)
	}
	return page, nil
}

// Watch waits for changes after store version from to objects whose names have the
// prefix. The page is empty if the store's watch timed out.
func (c *Client) Watch(ctx context.Context, prefix string, from int64) (Page, error) {
	if err := c.acquireRead(ctx, "watch"); err != nil {
		return Page{}, err
	}
	page, err := c.backend.Watch(ctx, prefix, from)
	if err != nil {
		return Page{}, merry.Errorf("watch objects: %w", err)
	}
	return page, nil
}

// VMs returns the platform's list of VMs.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	if err := c.acquireRead(ctx, "vms"); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.deadline)
	defer cancel()
	vms, err := c.backend.VMs(ctx)
	if err != nil {
		return nil, merry.Errorf("read VM list: %w", err)
	}
	return vms, nil
}

// ValueSize returns the size of an object's value as the store keeps it, in bytes. Writes of
// more than MaxValueSize fail with ErrTooLarge.
func (c *Client) ValueSize(name string, value []byte) int {
	if c.backend.ValueSize == nil {
		return len(value)
	}
	return c.backend.ValueSize(name, value)
}

// Create writes an object that must not exist. It retries until the outcome is
// known or ctx ends. ErrExists means that another writer has created the object.
func (c *Client) Create(ctx context.Context, class Class, name string, value []byte) (Object, error) {
	obj, err := c.resolveWrite(ctx, class, name, value, func(ctx context.Context) (Object, error) {
		return c.backend.Create(ctx, name, value)
	})
	if err != nil {
		return Object{}, merry.Errorf("create object: %w", err)
	}
	return obj, nil
}

// Update replaces an object that must be at the given version. It retries until
// the outcome is known or ctx ends. ErrConflict means that the object has another
// version.
func (c *Client) Update(ctx context.Context, class Class, name string, version int64, value []byte) (Object, error) {
	obj, err := c.resolveWrite(ctx, class, name, value, func(ctx context.Context) (Object, error) {
		return c.backend.Update(ctx, name, version, value)
	})
	if err != nil {
		return Object{}, merry.Errorf("update object: %w", err)
	}
	return obj, nil
}

// Delete removes an object that must be at the given version. It succeeds if the
// object does not exist. It does not retry.
func (c *Client) Delete(ctx context.Context, class Class, name string, version int64) error {
	if err := c.acquireWrite(ctx, class); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, c.deadline)
	defer cancel()
	err := c.backend.Delete(ctx, name, version)
	if err != nil && !errors.Is(err, ErrNotFound) {
		return merry.Errorf("delete object: %w", err)
	}
	return nil
}

// acquireWrite waits for the class's write budget and counts the write.
func (c *Client) acquireWrite(ctx context.Context, class Class) error {
	if err := c.limits[class].Wait(ctx); err != nil {
		return merry.Errorf("wait for %s write rate limit: %w: %w", class, ErrUnavailable, err)
	}
	c.countWrite(class)
	return nil
}

// resolveWrite retries a write until its outcome is known. Retrying is safe because
// the write is conditional and its value is unique to the writer. If the response
// to any attempt was lost and the outcome is still unknown when ctx ends, the error
// is ErrInDoubt, because that attempt may have taken effect.
func (c *Client) resolveWrite(ctx context.Context, class Class, name string, value []byte, write func(context.Context) (Object, error)) (Object, error) {
	inDoubt := false
	for backoff := minBackoff; ; backoff = min(2*backoff, maxBackoff) {
		if err := c.acquireWrite(ctx, class); err != nil {
			return Object{}, markInDoubt(inDoubt, err)
		}
		obj, err := c.tryWrite(ctx, write)
		if err == nil {
			return obj, nil
		}
		if isRejection(err) && !inDoubt {
			return Object{}, err
		}
		if !isRejection(err) {
			inDoubt = inDoubt || (c.verifyWrites && !errors.Is(err, ErrUnavailable))
		}
		if inDoubt {
			obj, found, readErr := c.readBack(ctx, name, value)
			if readErr == nil && found {
				return obj, nil
			}
			if readErr == nil && isRejection(err) {
				return Object{}, err
			}
		}
		if !cicadaretry.Sleep(ctx, backoff/2+rand.N(backoff)) {
			return Object{}, markInDoubt(inDoubt, err)
		}
	}
}

func (c *Client) tryWrite(ctx context.Context, write func(context.Context) (Object, error)) (Object, error) {
	defer c.recordLatency("write", time.Now())
	ctx, cancel := context.WithTimeout(ctx, c.deadline)
	defer cancel()
	return write(ctx)
}

// readBack reports whether the object holds the value that this client wrote.
func (c *Client) readBack(ctx context.Context, name string, value []byte) (Object, bool, error) {
	obj, err := c.Get(ctx, name)
	if errors.Is(err, ErrNotFound) {
		return Object{}, false, nil
	}
	if err != nil {
		return Object{}, false, err
	}
	return obj, bytes.Equal(obj.Value(), value), nil
}

// isRejection reports whether the store has refused the write, so that this attempt
// has had no effect.
func isRejection(err error) bool {
	return errors.Is(err, ErrExists) || errors.Is(err, ErrConflict) || errors.Is(err, ErrTooLarge) || errors.Is(err, ErrNotFound)
}

// markInDoubt wraps err in ErrInDoubt if inDoubt is set.
func markInDoubt(inDoubt bool, err error) error {
	if inDoubt && !errors.Is(err, ErrInDoubt) {
		return merry.Errorf("%w: %w", ErrInDoubt, err)
	}
	return err
}
