// Package cicadamemory limits the memory that a process uses for bytes received from others.
// What one peer may send is limited where it is read; a Budget limits what all of them together
// make the process keep.
//
// # Usage
//
//	budget := cicadamemory.NewBudget(32<<20, cicadamemory.WithScope(scope, "responses"))
//
//	body, err := budget.ReadAll(res.Body, 16<<20)
//	if errors.Is(err, cicadamemory.ErrExhausted) { ... close the connection ... }
//	defer body.Release()
//	_, err = body.WriteTo(w)
//
// Bytes that are kept in another form are held by a Reservation:
//
//	held := budget.Reserve()
//	defer held.Release()
//	if err := held.Grow(n); err != nil { ... }
//
// A reservation grows only as long as it is not larger than what remains free, the dynamic
// threshold of "Dynamic Queue Length Thresholds for Shared-Memory Packet Switches" (Choudhury
// and Hahne). So the largest reservations fail first, and n endless responses leave free what
// one of them may hold, 1/(n+1) of the budget, for others. Nothing waits for memory.
package cicadamemory

import (
	"sync/atomic"

	"github.com/ansel1/merry/v2"
	"github.com/uber-go/tally/v4"
)

// DefaultLimit is the limit of a Budget for which none is set, in bytes.
const DefaultLimit = 32 << 20

// ErrExhausted reports that a reservation would be larger than what is left of the budget.
var ErrExhausted = merry.Sentinel("cicadamemory: memory for received bytes exhausted")

// A Budget limits the bytes that are reserved at a time. It is safe for concurrent use.
type Budget struct {
	limit     int64
	used      atomic.Int64
	gauge     tally.Gauge
	exhausted tally.Counter
}

// An Option configures a Budget.
type Option func(*Budget)

// WithScope reports the metrics received_bytes_held and received_bytes_refused to a scope, tagged
// with what the budget is for.
func WithScope(scope tally.Scope, purpose string) Option {
	return func(b *Budget) {
		tagged := scope.Tagged(map[string]string{"of": purpose})
		b.gauge, b.exhausted = tagged.Gauge("received_bytes_held"), tagged.Counter("received_bytes_refused")
	}
}

// NewBudget returns a Budget of limit bytes, or of DefaultLimit if limit is not positive.
func NewBudget(limit int64, opts ...Option) *Budget {
	if limit <= 0 {
		limit = DefaultLimit
	}
	b := &Budget{limit: limit, gauge: tally.NoopScope.Gauge(""), exhausted: tally.NoopScope.Counter("")}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Limit returns the limit in bytes.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the bytes that are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

// UpdateGauge sets the gauge of the bytes that are reserved.
func (b *Budget) UpdateGauge() { b.gauge.Update(float64(b.Used())) }

// Reserve returns an empty Reservation. That of a nil Budget is not limited.
func (b *Budget) Reserve() *Reservation {
	if b == nil {
		return nil
	}
	return &Reservation{budget: b}
}

// A Reservation is a part of a Budget. It is not safe for concurrent use. A nil Reservation is
// not limited.
type Reservation struct {
	budget *Budget
	size   int64
}

// Size returns the reserved bytes.
func (r *Reservation) Size() int64 {
	if r == nil {
		return 0
	}
	return r.size
}

// Grow reserves n more bytes. It fails with ErrExhausted, and reserves none, if the reservation
// would be larger than what is left free.
func (r *Reservation) Grow(n int64) error {
	if r == nil || n <= 0 {
		return nil
	}
	b := r.budget
	for {
		used := b.used.Load()
		if r.size+n > b.limit-used-n {
			b.exhausted.Inc(1)
			return merry.Errorf("%d bytes held, %d more: %w", r.size, n, ErrExhausted)
		}
		if b.used.CompareAndSwap(used, used+n) {
			r.size += n
			return nil
		}
	}
}

// Resize makes the reservation size bytes large. Only an enlargement can fail.
func (r *Reservation) Resize(size int64) error {
	if r == nil {
		return nil
	}
	if size >= r.size {
		return r.Grow(size - r.size)
	}
	r.budget.used.Add(size - r.size)
	r.size = size
	return nil
}

// Release gives all bytes back. The Reservation may be used again.
func (r *Reservation) Release() {
	if r != nil {
		_ = r.Resize(0)
	}
}
