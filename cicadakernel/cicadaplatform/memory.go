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
	watchWait      = 10 * time.Second
	historyLimit   = 4096
	maxListObjects = 1000
)

// A FaultFunc decides what befalls a call before and after it takes effect. It
// may block to delay the call. An error from before means the call has no
// effect; an error from after means the effect stands and the answer is lost.
type FaultFunc func(ctx context.Context, call, name string) (before, after error)

// Memory is an in-memory Object API and VM list, the stand-in for the
// platform. Its zero value is not usable; call NewMemory.
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

// SetFault installs a fault, or removes it when f is nil.
func (m *Memory) SetFault(f FaultFunc) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.fault = f
}

// SetVM adds or replaces a row of the VM list.
func (m *Memory) SetVM(vm VM) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.vms[vm.Name] = vm
}

// RemoveVM drops a row of the VM list.
func (m *Memory) RemoveVM(name string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.vms, name)
}

// Calls returns how many calls of each kind have been made.
func (m *Memory) Calls() map[string]int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	counts := make(map[string]int64, len(m.calls))
	for call, n := range m.calls {
		counts[call] = n
	}
	return counts
}

// Backend returns the store's calls.
func (m *Memory) Backend() Backend {
	return Backend{
		Get:    m.get,
		List:   m.list,
		Create: m.create,
		Update: m.update,
		Delete: m.remove,
		Watch:  m.watch,
		VMs:    m.listVMs,
	}
}

func (m *Memory) call(ctx context.Context, call, name string) (after error, err error) { //nolint:revive // two outcomes of one fault
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
	after, err := m.call(ctx, "get", name)
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
	lost, err := m.call(ctx, "list", prefix)
	if err != nil {
		return Page{}, err
	}
	if lost != nil {
		return Page{}, merry.Errorf("list %s: %w", prefix, lost)
	}
	if limit <= 0 || limit > maxListObjects {
		limit = maxListObjects
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
	return m.write(ctx, "update", name, value, atVersion(version))
}

func (m *Memory) remove(ctx context.Context, name string, version int64) error {
	_, err := m.write(ctx, "delete", name, nil, atVersion(version))
	return err
}

func atVersion(version int64) func(Object, bool) error {
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

func (m *Memory) write(ctx context.Context, call, name string, value []byte, check func(Object, bool) error) (Object, error) {
	if len(value) > MaxValueSize {
		return Object{}, merry.Errorf("%s %s, %d bytes: %w", call, name, len(value), ErrTooLarge)
	}
	after, err := m.call(ctx, call, name)
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
	if len(m.history) > historyLimit {
		m.history = append([]Object(nil), m.history[len(m.history)-historyLimit/2:]...)
	}
	close(m.changed)
	m.changed = make(chan struct{})
	return obj, nil
}

func (m *Memory) watch(ctx context.Context, prefix string, from int64) (Page, error) {
	after, err := m.call(ctx, "watch", prefix)
	if err != nil {
		return Page{}, err
	}
	timer := time.NewTimer(watchWait)
	defer timer.Stop()
	for {
		changes, version, changed := m.since(prefix, from)
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

func (m *Memory) since(prefix string, from int64) ([]Object, int64, <-chan struct{}) {
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
	after, err := m.call(ctx, "vms", "")
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
