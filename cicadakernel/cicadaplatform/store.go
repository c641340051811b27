// Package cicadaplatform is a client of the platform's Object API, which holds
// durable and shared state, and of its VM list.
//
// An object has a name, a version and a value of at most 1 MiB. A version is a
// positive number that grows with every write to the store. The store counts every
// call, a watch as one call however long it waits. Client therefore limits the rate
// of writes by class, and counts its calls.
//
// # Usage
//
//	backend, err := cicadaplatform.Open("http://127.0.0.1:7000")
//	store := cicadaplatform.NewClient(backend, cicadaplatform.WithWriteRate(100))
//	obj, err := store.Create(ctx, cicadaplatform.ClassConfig, "config/log/1", value)
//
// If the response to a write is lost, the backend returns ErrInDoubt. Client then
// reads the object back and compares the values to find out whether the write took
// effect, so every value must contain something unique to its writer.
//
// Memory is an in-memory platform for tests and cicadadev. Handler serves it over
// HTTP, and Open with an http URL returns a backend that calls such a server.
package cicadaplatform

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadakernel"
	"cicadalink.example/cicadakernel/cicadamemory"
)

// MaxValueSize is the largest value of an object as the store keeps it, in bytes. A backend may
// encode values, see Backend.ValueSize.
const MaxValueSize = 1 << 20

// Errors of the Object API.
var (
	ErrNotFound    = merry.Sentinel("cicadaplatform: object not found")
	ErrExists      = merry.Sentinel("cicadaplatform: object already exists")
	ErrConflict    = merry.Sentinel("cicadaplatform: object has another version")
	ErrUnavailable = merry.Sentinel("cicadaplatform: store unavailable, call did not take effect")
	ErrInDoubt     = merry.Sentinel("cicadaplatform: response lost, call may have taken effect")
	ErrTooLarge    = merry.Sentinel("cicadaplatform: value is larger than 1 MiB")
	ErrCompacted   = merry.Sentinel("cicadaplatform: changes after this version have been compacted")
)

// An Object is a named value at a version.
type Object struct {
	name    string
	version int64
	value   []byte
}

// NewObject returns an object. It is for implementations of Backend.
func NewObject(name string, version int64, value []byte) Object {
	return Object{name: name, version: version, value: value}
}

// Name returns the object's name.
func (o Object) Name() string { return o.name }

// Version returns the store version of the object's last write.
func (o Object) Version() int64 { return o.version }

// Value returns the object's value, which must not be modified. It is nil if the
// object is a deletion returned by Watch.
func (o Object) Value() []byte { return o.value }

// A Page is a result of List or Watch: objects and the store version at the time of
// the call, which is the version to pass to the next Watch.
type Page struct {
	objects    []Object
	version    int64
	more       bool
	unreadable int
}

// NewPage returns a page. It is for implementations of Backend.
func NewPage(objects []Object, version int64, more bool) Page {
	return Page{objects: objects, version: version, more: more}
}

// Objects returns the page's objects in name order (List) or in version order
// (Watch).
func (p Page) Objects() []Object { return p.objects }

// Version returns the store version at the time of the call.
func (p Page) Version() int64 { return p.version }

// More reports whether List stopped at its limit and more objects follow.
func (p Page) More() bool { return p.more }

// WithUnreadable returns the page with the number of objects that were left out because their
// names could not be read.
func (p Page) WithUnreadable(n int) Page {
	p.unreadable = n
	return p
}

// Unreadable returns the number of objects that were left out because their names could not be
// read.
func (p Page) Unreadable() int { return p.unreadable }

// A VMState is the state of a VM in the VM list.
type VMState string

// VM states.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// A VM is an entry of the VM list.
type VM struct {
	Name       string  `json:"name"`
	Role       string  `json:"role"`
	DataCentre string  `json:"data-centre"`
	Address    string  `json:"address"`
	Group      string  `json:"group,omitempty"`
	State      VMState `json:"state"`
}

// A Backend is the set of calls that a platform adapter implements. The errors that
// they return wrap those of this package.
type Backend struct {
	// Get returns an object, or ErrNotFound if it does not exist.
	Get func(ctx context.Context, name string) (Object, error)
	// List returns up to limit objects whose names have the prefix and sort after
	// the given name, in name order.
	List func(ctx context.Context, prefix, after string, limit int) (Page, error)
	// Create writes an object, or returns ErrExists if it exists.
	Create func(ctx context.Context, name string, value []byte) (Object, error)
	// Update replaces an object that is at the version. It returns ErrConflict if
	// the object has another version and ErrNotFound if it does not exist.
	Update func(ctx context.Context, name string, version int64, value []byte) (Object, error)
	// Delete removes an object that is at the version. It returns ErrConflict if
	// the object has another version and ErrNotFound if it does not exist.
	Delete func(ctx context.Context, name string, version int64) error
	// Watch waits for changes after version from to objects whose names have the
	// prefix. It returns the changes in version order, or an empty page if the
	// store's watch timeout has passed without a change.
	Watch func(ctx context.Context, prefix string, from int64) (Page, error)
	// Changes returns what Watch would return now, without waiting for a change.
	Changes func(ctx context.Context, prefix string, from int64) (Page, error)
	// VMs returns the platform's list of VMs.
	VMs func(ctx context.Context) ([]VM, error)
	// ValueSize returns the size of an object's value as the store keeps it, in bytes. If
	// ValueSize is nil, values are kept as they are.
	ValueSize func(name string, value []byte) int
	// OnDead adds a function that is called when kept connections to the store were found
	// dead, with a time since which nothing was received on one. If OnDead is
	// nil, that is not found out.
	OnDead func(f func(since time.Time))
	// SetMemory sets the budget for what the store sends, before the first call. It is nil if the
	// backend receives nothing from others.
	SetMemory func(memory *cicadamemory.Budget)
}

// Adapters is the registry of platform adapters by URL scheme.
var Adapters cicadakernel.Registry[func(address string) (Backend, error)]
