package cicadaplatform

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"
)

const (
	// watchTimeout is how long a watch waits for a change.
	watchTimeout = 10 * time.Second
	// maxHistory limits the number of changes kept for watches.
	maxHistory  = 4096
	maxPageSize = 1000
)

// A FaultFunc injects a fault into a call. It is called before the call takes effect
// and may block to delay it. With a non-nil before, the call fails with that error
// and has no effect. With a non-nil after, the call takes effect, but its response is
// lost and it fails with that error.
type FaultFunc func(ctx context.Context, call, name string) (before, after error)

// Memory is an in-memory implementation of the Object API and the VM list, for tests
// and cicadadev. Its zero value is not usable; call NewMemory.
type Memory struct {
	mu      sync.Mutex
	version int64
	objects map[string]Object
	history []Object
	changed chan struct{}
	vms     map[string]VM
	calls   map[string]int64
	fault   FaultFunc
}

// NewMemory returns an empty store.
func NewMemory() *Memory {
	return &Memory{
		objects: make(map[string]Object),
		changed: make(chan struct{}),
		vms:     make(map[string]VM),
		calls:   make(map[string]int64),
	}
}

// SetFault sets the fault function, or removes it if f is nil.
func (m *Memory) SetFault(f FaultFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
}

// SetVM adds a VM to the VM list, or replaces the VM of that name.
func (m *Memory) SetVM(vm VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vms[vm.Name] = vm
}

// RemoveVM removes a VM from the VM list.
func (m *Memory) RemoveVM(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.vms, name)
}

// Calls returns the number of calls made so far by kind: get, list, create, update,
// delete, watch and vms.
func (m *Memory) Calls() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := make(map[string]int64, len(m.calls))
	for call, n := range m.calls {
		counts[call] = n
	}
	return counts
}

// Backend returns a backend that calls the store.
func (m *Memory) Backend() Backend {
	return Backend{
		Get:     m.get,
		List:    m.list,
		Create:  m.create,
		Update:  m.update,
		Delete:  m.remove,
		Watch:   m.watch,
		Changes: m.readChanges,
		VMs:     m.listVMs,
	}
}

// beginCall counts a call and applies the fault function. The call fails at once if
// err is set, and after taking effect if after is set.
func (m *Memory) beginCall(ctx context.Context, call, name string) (after error, err error) { //nolint:revive // two errors of one fault function
	m.mu.Lock()
	m.calls[call]++
	fault := m.fault
	m.mu.Unlock()
	if err := ctx.Err(); err != nil {
		return nil, merry.Errorf("%s %s: %w: %w", call, name, ErrUnavailable, err)
	}
	if fault == nil {
		return nil, nil
	}
	before, after := fault(ctx, call, name)
	if before != nil {
		return nil, merry.Errorf("%s %s: %w", call, name, before)
	}
	return after, nil
}

func (m *Memory) get(ctx context.Context, name string) (Object, error) {
	after, err := m.beginCall(ctx, "get", name)
	if err != nil {
		return Object{}, err
	}
	m.mu.Lock()
	obj, ok := m.objects[name]
	m.mu.Unlock()
	if after != nil {
		return Object{}, merry.Errorf("get %s: %w", name, after)
	}
	if !ok {
		return Object{}, merry.Errorf("get %s: %w", name, ErrNotFound)
	}
	return obj, nil
}

func (m *Memory) list(ctx context.Context, prefix, after string, limit int) (Page, error) {
	afterErr, err := m.beginCall(ctx, "list", prefix)
	if err != nil {
		return Page{}, err
	}
	if afterErr != nil {
		return Page{}, merry.Errorf("list %s: %w", prefix, afterErr)
	}
	if limit <= 0 || limit > maxPageSize {
		limit = maxPageSize
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []Object
	for name, obj := range m.objects {
		if strings.HasPrefix(name, prefix) && name > after {
			found = append(found, obj)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].name < found[j].name })
	more := len(found) > limit
	if more {
		found = found[:limit]
	}
	return NewPage(found, m.version, more), nil
}

func (m *Memory) create(ctx context.Context, name string, value []byte) (Object, error) {
	return m.write(ctx, "create", name, value, func(_ Object, exists bool) error {
		if exists {
			return ErrExists
		}
		return nil
	})
}

func (m *Memory) update(ctx context.Context, name string, version int64, value []byte) (Object, error) {
	return m.write(ctx, "update", name, value, requireVersion(version))
}

func (m *Memory) remove(ctx context.Context, name string, version int64) error {
	_, err := m.write(ctx, "delete", name, nil, requireVersion(version))
	return err
}

// requireVersion returns a check that the object exists at the version.
func requireVersion(version int64) func(Object, bool) error {
	return func(obj Object, exists bool) error {
		if !exists {
			return ErrNotFound
		}
		if obj.version != version {
			return ErrConflict
		}
		return nil
	}
}

// write writes an object, or deletes it if value is nil, provided that check accepts
// the current object.
func (m *Memory) write(ctx context.Context, call, name string, value []byte, check func(Object, bool) error) (Object, error) {
	if len(value) > MaxValueSize {
		return Object{}, merry.Errorf("%s %s, %d bytes: %w", call, name, len(value), ErrTooLarge)
	}
	after, err := m.beginCall(ctx, call, name)
	if err != nil {
		return Object{}, err
	}
	obj, err := m.commit(name, value, check)
	if after != nil {
		return Object{}, merry.Errorf("%s %s: %w", call, name, after)
	}
	if err != nil {
		return Object{}, merry.Errorf("%s %s: %w", call, name, err)
	}
	return obj, nil
}

// commit performs a write without faults and wakes the watches.
func (m *Memory) commit(name string, value []byte, check func(Object, bool) error) (Object, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	old, exists := m.objects[name]
	if err := check(old, exists); err != nil {
		return Object{}, err
	}
	m.version++
	obj := NewObject(name, m.version, value)
	if value == nil {
		delete(m.objects, name)
	} else {
		m.objects[name] = obj
	}
	m.history = append(m.history, obj)
	if len(m.history) > maxHistory {
		m.history = append([]Object(nil), m.history[len(m.history)-maxHistory/2:]...)
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return obj, nil
}

func (m *Memory) watch(ctx context.Context, prefix string, from int64) (Page, error) {
	after, err := m.beginCall(ctx, "watch", prefix)
	if err != nil {
		return Page{}, err
	}
	timer := time.NewTimer(watchTimeout)
	defer timer.Stop()
	for {
		changes, version, changed := m.changesSince(prefix, from)
		if len(changes) > 0 {
			if after != nil {
				return Page{}, merry.Errorf("watch %s: %w", prefix, after)
			}
			return NewPage(changes, version, false), nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return NewPage(nil, version, false), nil
		case <-ctx.Done():
			return Page{}, merry.Errorf("watch %s: %w: %w", prefix, ErrUnavailable, ctx.Err())
		}
	}
}

// changesSince returns the changes after a version to objects with the prefix, the
// store's version, and a channel that is closed at the next change.
func (m *Memory) readChanges(ctx context.Context, prefix string, from int64) (Page, error) {
	after, err := m.beginCall(ctx, "changes", prefix)
	if err != nil {
		return Page{}, err
	}
	changes, version, _ := m.changesSince(prefix, from)
	if after != nil {
		return Page{}, merry.Errorf("changes of %s: %w", prefix, after)
	}
	return NewPage(changes, version, false), nil
}

func (m *Memory) changesSince(prefix string, from int64) ([]Object, int64, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var changes []Object
	start := sort.Search(len(m.history), func(i int) bool { return m.history[i].version > from })
	for _, obj := range m.history[start:] {
		if strings.HasPrefix(obj.name, prefix) {
			changes = append(changes, obj)
		}
	}
	return changes, m.version, m.changed
}

func (m *Memory) listVMs(ctx context.Context) ([]VM, error) {
	after, err := m.beginCall(ctx, "vms", "")
	if err != nil {
		return nil, err
	}
	if after != nil {
		return nil, merry.Errorf("vms: %w", after)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	vms := make([]VM, 0, len(m.vms))
	for _, vm := range m.vms {
		vms = append(vms, vm)
	}
	sort.Slice(vms, func(i, j int) bool { return vms[i].Name < vms[j].Name })
	return vms, nil
}
