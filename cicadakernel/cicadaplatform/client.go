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

// A Class orders calls by what gives way first when the budget is short.
type Class int

// Classes of calls, the most urgent first.
const (
	ClassLease Class = iota
	ClassConfig
	ClassClaim
	ClassResult
	ClassUpload
	classCount
)

var classNames = [classCount]string{"lease", "config", "claim", "result", "upload"}

// classShares divides the write budget; what a class does not use is not lent,
// so that a flood of uploads cannot delay a lease.
var classShares = [classCount]float64{0.15, 0.10, 0.25, 0.30, 0.20}

// classFloors are writes a second that a class has whatever the budget. The
// number of shards bounds the writes of leases, and an entry that cannot renew
// in time loses what it owns.
var classFloors = [classCount]float64{ClassLease: 40}

// String returns the class's name.
func (c Class) String() string { return classNames[c] }

const (
	defaultWriteRate = 100.0
	defaultDeadline  = 2 * time.Second
	firstBackoff     = 50 * time.Millisecond
	maxBackoff       = 2 * time.Second
	burstSeconds     = 0.5
	minBurst         = 4
)

// callBuckets reach from 1 ms to 8 s.
var callBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// A Client makes calls to the platform within a budget. It decides lost
// answers by reading back, and backs off with jitter while the store is down.
type Client struct {
	backend   Backend
	deadline  time.Duration
	limits    [classCount]*rate.Limiter
	readLimit *rate.Limiter
	scope     tally.Scope
	writes    atomic.Int64
	reads     atomic.Int64
	readBack  bool
}

// A ClientOption changes a Client as it is made.
type ClientOption func(*Client)

// WithWriteRate sets the client's write budget in writes a second.
func WithWriteRate(perSecond float64) ClientOption {
	return func(c *Client) { c.setWriteRate(perSecond) }
}

// WithReadRate bounds the client's reads, lists and watches a second. Without it
// they have no bound.
func WithReadRate(perSecond float64) ClientOption {
	return func(c *Client) { c.setReadRate(perSecond) }
}

// SetRates changes the client's budgets, as processes that share the store's rates
// come and go.
func (c *Client) SetRates(writes, reads float64) {
	c.setWriteRate(writes)
	c.setReadRate(reads)
}

func (c *Client) setWriteRate(perSecond float64) {
	for class := range classCount {
		share := max(perSecond*classShares[class], classFloors[class])
		setLimit(c.limits[class], share)
	}
}

func (c *Client) setReadRate(perSecond float64) { setLimit(c.readLimit, perSecond) }

func setLimit(l *rate.Limiter, perSecond float64) {
	l.SetLimit(rate.Limit(perSecond))
	l.SetBurst(max(int(perSecond*burstSeconds), minBurst))
}

// WithDeadline sets the time that one call may take.
func WithDeadline(d time.Duration) ClientOption {
	return func(c *Client) { c.deadline = d }
}

// WithScope sets where calls are counted.
func WithScope(scope tally.Scope) ClientOption {
	return func(c *Client) { c.scope = scope }
}

// WithoutReadBack makes the client repeat a write whose answer was lost as if it
// had had no effect. It exists so that tests can show what read-back prevents.
func WithoutReadBack() ClientOption {
	return func(c *Client) { c.readBack = false }
}

// NewClient returns a client of a backend.
func NewClient(backend Backend, opts ...ClientOption) *Client {
	c := &Client{
		backend: backend, deadline: defaultDeadline, scope: tally.NoopScope, readBack: true,
		readLimit: rate.NewLimiter(rate.Inf, minBurst),
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

// Writes returns how many writes the client has made.
func (c *Client) Writes() int64 { return c.writes.Load() }

// Reads returns how many reads, lists and watches the client has made.
func (c *Client) Reads() int64 { return c.reads.Load() }

// countRead waits for the read budget and counts a call.
func (c *Client) countRead(ctx context.Context, kind string) error {
	if err := c.readLimit.Wait(ctx); err != nil {
		return merry.Errorf("wait for read budget: %w: %w", ErrUnavailable, err)
	}
	c.reads.Add(1)
	c.scope.Tagged(map[string]string{"call": kind}).Counter("platform_calls").Inc(1)
	return nil
}

// timed records how long a call took.
func (c *Client) timed(kind string, start time.Time) {
	c.scope.Tagged(map[string]string{"call": kind}).Histogram("platform_call_time", callBuckets).RecordDuration(time.Since(start))
}

func (c *Client) countWrite(class Class) {
	c.writes.Add(1)
	c.scope.Tagged(map[string]string{"call": "write-" + class.String()}).Counter("platform_calls").Inc(1)
}

// Get returns an object, or ErrNotFound.
func (c *Client) Get(ctx context.Context, name string) (Object, error) {
	if err := c.countRead(ctx, "get"); err != nil {
		return Object{}, err
	}
	defer c.timed("get", time.Now())
	ctx, cancel := context.WithTimeout(ctx, c.deadline)
	defer cancel()
	obj, err := c.backend.Get(ctx, name)
	if err != nil {
		return Object{}, merry.Errorf("read object: %w", err)
	}
	return obj, nil
}

// List returns a page of the objects under a prefix.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) (Page, error) {
	if err := c.countRead(ctx, "list"); err != nil {
		return Page{}, err
	}
	defer c.timed("list", time.Now())
	ctx, cancel := context.WithTimeout(ctx, c.deadline)
	defer cancel()
	page, err := c.backend.List(ctx, prefix, after, limit)
	if err != nil {
		return Page{}, merry.Errorf("list objects: %w", err)
	}
	return page, nil
}

// Watch waits for changes under a prefix after a version.
func (c *Client) Watch(ctx context.Context, prefix string, from int64) (Page, error) {
	if err := c.countRead(ctx, "watch"); err != nil {
		return Page{}, err
	}
	page, err := c.backend.Watch(ctx, prefix, from)
	if err != nil {
		return Page{}, merry.Errorf("watch objects: %w", err)
	}
	return page, nil
}

// VMs returns the VM list.
func (c *Client) VMs(ctx context.Context) ([]VM, error) {
	if err := c.countRead(ctx, "vms"); err != nil {
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

// Create writes an object that must not exist. It retries until the outcome is
// known or ctx ends; ErrExists means that another writer's value stands there.
func (c *Client) Create(ctx context.Context, class Class, name string, value []byte) (Object, error) {
	obj, err := c.settle(ctx, class, name, value, func(ctx context.Context) (Object, error) {
		return c.backend.Create(ctx, name, value)
	})
	if err != nil {
		return Object{}, merry.Errorf("create object: %w", err)
	}
	return obj, nil
}

// Update writes an object that must be at a version. It retries until the
// outcome is known or ctx ends; ErrConflict means that the object has moved on.
func (c *Client) Update(ctx context.Context, class Class, name string, version int64, value []byte) (Object, error) {
	obj, err := c.settle(ctx, class, name, value, func(ctx context.Context) (Object, error) {
		return c.backend.Update(ctx, name, version, value)
	})
	if err != nil {
		return Object{}, merry.Errorf("update object: %w", err)
	}
	return obj, nil
}

// Delete removes an object at a version. An object that is gone is a success.
func (c *Client) Delete(ctx context.Context, class Class, name string, version int64) error {
	if err := c.pace(ctx, class); err != nil {
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

func (c *Client) pace(ctx context.Context, class Class) error {
	if err := c.limits[class].Wait(ctx); err != nil {
		return merry.Errorf("wait for %s write budget: %w: %w", class, ErrUnavailable, err)
	}
	c.countWrite(class)
	return nil
}

// settle repeats a write until its outcome is known. Repeating is safe because
// the write is conditional and its value is unique to the writer. Once one
// attempt was in doubt, giving up is reported as in doubt too.
func (c *Client) settle(ctx context.Context, class Class, name string, value []byte, write func(context.Context) (Object, error)) (Object, error) {
	doubt := false
	for wait := firstBackoff; ; wait = min(2*wait, maxBackoff) {
		if err := c.pace(ctx, class); err != nil {
			return Object{}, inDoubtIf(doubt, err)
		}
		obj, err := c.attempt(ctx, write)
		if err == nil {
			return obj, nil
		}
		if isRefusal(err) && !doubt {
			return Object{}, err
		}
		if !isRefusal(err) {
			doubt = doubt || (c.readBack && !errors.Is(err, ErrUnavailable))
		}
		if doubt {
			obj, found, readErr := c.readOwn(ctx, name, value)
			if readErr == nil && found {
				return obj, nil
			}
			if readErr == nil && isRefusal(err) {
				return Object{}, err
			}
		}
		if !cicadaretry.Wait(ctx, wait/2+rand.N(wait)) {
			return Object{}, inDoubtIf(doubt, err)
		}
	}
}

func (c *Client) attempt(ctx context.Context, write func(context.Context) (Object, error)) (Object, error) {
	defer c.timed("write", time.Now())
	ctx, cancel := context.WithTimeout(ctx, c.deadline)
	defer cancel()
	return write(ctx)
}

func (c *Client) readOwn(ctx context.Context, name string, value []byte) (Object, bool, error) {
	obj, err := c.Get(ctx, name)
	if errors.Is(err, ErrNotFound) {
		return Object{}, false, nil
	}
	if err != nil {
		return Object{}, false, err
	}
	return obj, bytes.Equal(obj.Value(), value), nil
}

func isRefusal(err error) bool {
	return errors.Is(err, ErrExists) || errors.Is(err, ErrConflict) || errors.Is(err, ErrTooLarge) || errors.Is(err, ErrNotFound)
}

func inDoubtIf(doubt bool, err error) error {
	if doubt && !errors.Is(err, ErrInDoubt) {
		return merry.Errorf("%w: %w", ErrInDoubt, err)
	}
	return err
}
