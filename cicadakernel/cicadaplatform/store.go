// Package cicadaplatform talks to the platform: its Object API, which holds
// whatever must last or be agreed, and its VM list.
//
// An object has a name, a version and a value of at most a megabyte. A version
// is a positive number that grows with every write to the store. The store
// counts each call, a waiting watch as one; Client therefore paces writes by
// class and counts calls.
//
// # Usage
//
//	backend, err := cicadaplatform.Open("http://127.0.0.1:7000")
//	store := cicadaplatform.NewClient(backend, cicadaplatform.WithWriteRate(100))
//	obj, err := store.Create(ctx, cicadaplatform.ClassConfig, "config/log/1", value)
//
// A write whose answer is lost ends in ErrInDoubt at the backend. Client reads
// the object back and decides from what it holds, so callers must put
// something unique to the writer in every value.
//
// Memory is the stand-in that tests and cicadadev use; Handler serves it over
// HTTP, and Open with an http URL speaks to that.
package cicadaplatform

import (
	"context"

	"github.com/ansel1/merry/v2"

	"cicadalink.example/cicadakernel"
)

// MaxValueSize is the largest value of an object, in bytes.
const MaxValueSize = 1 << 20

// Errors of the Object API.
var (
	ErrNotFound    = merry.Sentinel("cicadaplatform: object not found")
	ErrExists      = merry.Sentinel("cicadaplatform: object exists")
	ErrConflict    = merry.Sentinel("cicadaplatform: object version differs")
	ErrUnavailable = merry.Sentinel("cicadaplatform: store unavailable, call had no effect")
	ErrInDoubt     = merry.Sentinel("cicadaplatform: answer lost, call may have had an effect")
	ErrTooLarge    = merry.Sentinel("cicadaplatform: value over a megabyte")
	ErrCompacted   = merry.Sentinel("cicadaplatform: history before this version is gone")
)

// An Object is one named value at one version.
type Object struct {
	name    string
	version int64
	value   []byte
}

// NewObject returns an object; backends use it.
func NewObject(name string, version int64, value []byte) Object {
	return Object{name: name, version: version, value: value}
}

// Name returns the object's name.
func (o Object) Name() string { return o.name }

// Version returns the store's version at which the object was last written.
func (o Object) Version() int64 { return o.version }

// Value returns the object's value, which must not be changed. It is nil in a
// change that deletes.
func (o Object) Value() []byte { return o.value }

// A Page is an answer to List or Watch: objects, and the store's version as of
// the answer, from which a watch continues.
type Page struct {
	objects []Object
	version int64
	more    bool
}

// NewPage returns a page; backends use it.
func NewPage(objects []Object, version int64, more bool) Page {
	return Page{objects: objects, version: version, more: more}
}

// Objects returns the page's objects in name order (List) or in version order
// (Watch).
func (p Page) Objects() []Object { return p.objects }

// Version returns the store's version as of the answer.
func (p Page) Version() int64 { return p.version }

// More reports whether a List stopped at its limit.
func (p Page) More() bool { return p.more }

// A VMState is a VM's state in the VM list.
type VMState string

// States of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// A VM is one row of the VM list.
type VM struct {
	Name       string  `json:"name"`
	Role       string  `json:"role"`
	DataCentre string  `json:"data-centre"`
	Address    string  `json:"address"`
	Group      string  `json:"group,omitempty"`
	State      VMState `json:"state"`
}

// A Backend is the set of calls that a platform adapter provides. Calls return
// the errors of this package, wrapped.
type Backend struct {
	// Get returns an object, or ErrNotFound.
	Get func(ctx context.Context, name string) (Object, error)
	// List returns up to limit objects with the prefix whose names come after
	// the given one, in name order.
	List func(ctx context.Context, prefix, after string, limit int) (Page, error)
	// Create writes an object that does not exist, or returns ErrExists.
	Create func(ctx context.Context, name string, value []byte) (Object, error)
	// Update writes an object that is at the version, or returns ErrConflict.
	Update func(ctx context.Context, name string, version int64, value []byte) (Object, error)
	// Delete removes an object that is at the version, or returns ErrConflict.
	Delete func(ctx context.Context, name string, version int64) error
	// Watch waits for changes under the prefix after a version and returns
	// them, or an empty page when none came within the store's wait time.
	Watch func(ctx context.Context, prefix string, from int64) (Page, error)
	// VMs returns the VM list.
	VMs func(ctx context.Context) ([]VM, error)
}

// Adapters holds the platform adapters by URL scheme.
var Adapters cicadakernel.Registry[func(address string) (Backend, error)]
